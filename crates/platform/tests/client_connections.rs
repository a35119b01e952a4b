//! The ends of client connections and of the process, forced on real connections every time: what is still owed then is
//! delivered. The table of all of them is `docs/design/endings.md`.

use common::{Act, Client, Latch, GOOD, PATIENCE};
use rig::{always, ms, queries, query, until, Fixture, Script};
use std::io::{ErrorKind, Read, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Instant;

mod common;
mod rig;

/// Reads what is left of a connection: its bytes, and whether it ended in order (not by a reset).
fn rest(client: &mut Client) -> (Vec<u8>, bool) {
    let (mut all, mut piece) = (Vec::new(), [0; 4096]);
    loop {
        match client.stream.read(&mut piece) {
            Ok(0) => return (all, true),
            Ok(n) => all.extend_from_slice(&piece[..n]),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => return (all, false),
            Err(e) => panic!("no end: {e}"),
        }
    }
}

/// While the ingress stands still the system accepts connections for it, and the time to close the listener comes. All of them
/// are answered.
#[test]
fn accepted_connections_are_served_before_the_listener_closes() {
    let f = Fixture::start(vec![always(Act::Say(GOOD))]);
    f.drain.close();
    std::thread::sleep(ms(200));
    f.stand_still(ms(700)); // over the end of the time in which clients are taken
    std::thread::sleep(ms(50));
    let mut clients: Vec<Client> = (0..24).map(|_| f.client()).collect();
    for (n, c) in (1..).zip(&mut clients) {
        c.query(n, 4000);
    }
    for c in &mut clients {
        let text = c.text();
        assert!(text == "value" || text.starts_with("-BUSY"), "{text}");
        assert_eq!(c.text(), "closed");
    }
}

/// A request that crosses the end of its connection: the client sees that end, no reset, and nothing of the request is sent
/// on.
#[test]
fn a_request_that_crosses_the_close_is_not_read() {
    let f = Fixture::start(vec![always(Act::Say(GOOD))]);
    let mut c = f.resting();
    f.drain.close();
    assert_eq!(c.text(), "closed");
    c.write(&queries(1, 3));
    std::thread::sleep(ms(50));
    assert!(c.stream.write_all(&queries(4, 1)).is_ok(), "a reset has come back");
    c.finish();
    until("the end", || f.ended());
    assert_eq!(f.seen(), 0);
}

/// Commands that were read, and wait for their turn behind those that are open, are answered in a drain as well.
#[test]
fn buffered_commands_are_answered_in_a_drain() {
    let gate = Latch::closed();
    let f = Fixture::start(vec![Box::new(move |_, _| Act::SayWhen(gate, GOOD))]);
    let (mut c, mut rests) = (f.client(), f.resting());
    c.write(&queries(1, 60));
    until("a request", || f.seen() > 0);
    f.drain.close();
    assert_eq!(rests.text(), "closed"); // the drain has begun for all
    gate.open();
    for n in 0..60 {
        let text = c.text();
        assert!(text == "value" || text.starts_with('-'), "answer {n}: {text}");
    }
    assert_eq!(c.text(), "closed");
}

/// Half a command, and a connection that has sent nothing yet, when connections are told to end: what has begun to come is
/// taken and answered.
#[test]
fn requests_in_transit_are_answered_in_a_drain() {
    let f = Fixture::start(vec![always(Act::Say(GOOD))]);
    let (mut rests, mut half, mut new) = (f.resting(), f.resting(), f.client());
    let bytes = query(1);
    half.write(&bytes[..20]);
    until("both are there", || f.open() >= 3);
    f.drain.close();
    assert_eq!(rests.text(), "closed");
    half.write(&bytes[20..]);
    new.write(&query(2));
    for c in [&mut half, &mut new] {
        assert_eq!((c.text().as_str(), c.text().as_str()), ("value", "closed"));
    }
}

/// SIGKILL follows SIGTERM by the longest deadline, three seconds at most, and 0.7 s: all is answered before, with a little to
/// spare, and the process has ended by itself, whatever clients do.
#[test]
fn shutdown_ends_before_the_kill_with_any_deadline() {
    let play = |deadline: u64| {
        let limit = format!("\"give_up_us\":{}", deadline * 1000);
        let changes = [("\"give_up_us\":4000000", &*limit), ("\"give_up_us\":7500000", &*limit)];
        let f = Fixture::with(vec![always(Act::Nothing)], &changes);
        let mut early = f.client();
        early.submit(1); // for up to three seconds
        until("it is out", || f.seen() > 0);
        f.drain.close();
        let begin = Instant::now();
        std::thread::sleep(ms(380)); // clients still come
        let mut late = f.client();
        let list = format!("c=report-upload,t=team,d={deadline},k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0");
        late.send(&["SVC.SUBMIT", "0000000000000007", "0000000000000009", &list, "body"]);
        let mut quiet = f.client(); // asks nothing, closes nothing
        let killed = ms(deadline.min(3000) + 700);
        for c in [&mut early, &mut late] {
            let text = c.text();
            assert!(text.starts_with('-'), "{deadline}: {text}");
            assert!(begin.elapsed() < killed, "{deadline}: answered after {:?}", begin.elapsed());
        }
        until("the end", || f.ended());
        assert!(begin.elapsed() < killed, "{deadline}: ended after {:?}", begin.elapsed());
        assert_eq!(quiet.text(), "closed");
    };
    std::thread::scope(|s| {
        for deadline in [300, 1000, 3000, 10_000] {
            s.spawn(move || play(deadline));
        }
    });
}

/// Its last word must not be destroyed by what the client had sent beyond it.
#[test]
fn the_last_reply_survives_unread_bytes() {
    let f = Fixture::start(vec![always(Act::Say(GOOD))]);
    let mut c = f.client();
    let mut bytes = b"*4\r\n$-5\r\n".to_vec();
    bytes.resize(60_000, b'x');
    c.write(&bytes);
    let (said, in_order) = rest(&mut c);
    assert!(said.starts_with(b"-ERR unreadable"), "{:?}", String::from_utf8_lossy(&said));
    assert!(in_order, "a reset would take the answer with it where it is still on its way");
}

/// No room: who comes is refused in words, with its request unread, as long as descriptors last.
#[test]
fn clients_beyond_the_limit_are_rejected_with_a_reply() {
    let gate = Latch::closed();
    let long = ("\"objective_us\":1000000", "\"objective_us\":3900000");
    let f = Fixture::with(
        vec![Box::new(move |_, _| Act::SayWhen(gate, GOOD))],
        &[("\"sockets\":256", "\"sockets\":64"), long],
    );
    let mut inside: Vec<Client> = (0..40).map(|_| f.client()).collect();
    for (n, c) in (1..).zip(&mut inside) {
        c.query(n, 4000);
    }
    let begin = Instant::now();
    let (mut refused, mut waiting) = (0, 0);
    for c in &mut inside {
        c.stream.set_read_timeout(Some(ms(20))).unwrap();
        let mut piece = [0; 64];
        match c.stream.read(&mut piece) {
            Ok(0) => panic!("closed without a word"),
            Ok(n) => {
                assert!(piece[..n].starts_with(b"-BUSY"), "{:?}", String::from_utf8_lossy(&piece[..n]));
                refused += 1;
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => waiting += 1,
            Err(e) => panic!("reset: {e}"),
        }
    }
    assert!(refused > 0 && waiting > 0, "{refused} refused, {waiting} let in, {:?}", begin.elapsed());
    gate.open();
}

/// An ingress whose requests wait for a place, as its backends say nothing until the test's word; aims are long, so that they
/// wait for long.
fn waiting(cancel: bool) -> (Fixture, &'static Latch) {
    let gate = Latch::closed();
    let mut changes = vec![
        ("\"objective_us\":1000000", "\"objective_us\":20000000"),
        ("\"give_up_us\":4000000", "\"give_up_us\":20000000"),
    ];
    if !cancel {
        changes.push(("\"cancelling\":true", "\"cancelling\":false"));
    }
    (Fixture::with(vec![Box::new(move |_, _| Act::SayWhen(gate, GOOD))], &changes), gate)
}

fn with_time(bytes: Vec<u8>) -> Vec<u8> {
    String::from_utf8(bytes).unwrap().replace("d=4000", "d=9000").into_bytes()
}

/// In each of the states in which a client is not read from, its leaving is noticed: nothing of it that waited is sent on
/// when places become free, 0.25 s later.
#[test]
fn a_disconnect_is_noticed_while_nothing_is_read() {
    type Leave = (&'static str, fn(&mut Client));
    let leave: [Leave; 4] = [
        ("32 are open", |c| c.write(&with_time(queries(1, 32)))),
        ("32 are open and more lies unread", |c| c.write(&with_time(queries(1, 300)))),
        ("it broke the form behind open requests", |c| {
            c.write(&with_time(queries(1, 20)));
            c.write(b"*4\r\n$-5\r\n");
        }),
        ("it broke the form and sent on", |c| {
            c.write(&with_time(queries(1, 20)));
            c.write(b"*4\r\n$-5\r\n");
            c.write(&[b'x'; 30_000]);
        }),
    ];
    for cancel in [true, false] {
        for (what, act) in &leave {
            let (f, gate) = waiting(cancel);
            let mut c = f.client();
            act(&mut c);
            until("some are out", || f.seen() > 0);
            std::thread::sleep(ms(50));
            let before = f.seen();
            assert!(before < 20, "{what}: the others wait: {before}");
            drop(c);
            std::thread::sleep(ms(250));
            gate.open();
            std::thread::sleep(ms(150));
            assert_eq!(f.seen(), before, "{what}, cancel {cancel}: sent on for a client that has left");
        }
    }
}

/// A client that reads nothing of what it is owed is not read from either.
#[test]
fn a_disconnect_with_unread_replies_is_noticed() {
    let (answers, errors) = (Latch::closed(), Latch::closed());
    let big: &'static [u8] = {
        let value = vec![b'v'; 900_000];
        let mut out = format!("*3\r\n${}\r\n", value.len()).into_bytes();
        out.extend_from_slice(&value);
        out.extend_from_slice(b"\r\n$-1\r\n$-1\r\n");
        Box::leak(out.into_boxed_slice())
    };
    // The first answers fill every buffer on the way to the client; the other attempts end in errors, and would be made again.
    let count = Arc::new(AtomicUsize::new(0));
    let script = || -> Script {
        let count = count.clone();
        Box::new(move |_, _| match count.fetch_add(1, Ordering::SeqCst) {
            0..=11 => Act::SayWhen(answers, big),
            _ => Act::SayWhen(errors, b"-ERR failed\r\n"),
        })
    };
    let f = Fixture::with(
        (0..4).map(|_| script()).collect(),
        &[
            ("\"objective_us\":1000000", "\"objective_us\":20000000"),
            ("\"give_up_us\":4000000", "\"give_up_us\":20000000"),
            ("\"memory_mb\":64", "\"memory_mb\":640"),
        ],
    );
    let mut c = f.client();
    c.write(&with_time(queries(1, 16)));
    until("all are out", || f.seen() == 16);
    answers.open();
    std::thread::sleep(ms(300));
    c.finish(); // closed outright, its unread answers would make it a reset, which a writer hears of
    std::thread::sleep(ms(100));
    errors.open();
    std::thread::sleep(ms(300));
    assert_eq!(f.seen(), 16, "a further attempt for a client that has left");
}

/// Thousands of requests, thousands of connections, and gone: nothing is sent on for them, and others are served meanwhile.
#[test]
fn floods_that_disconnect_do_not_harm_others() {
    let f = Fixture::start(vec![always(Act::Say(GOOD))]);
    let mut good = f.client();
    for n in 0..2u64 {
        let mut floods: Vec<Client> = (0..60).map(|_| f.client()).collect();
        for (m, c) in (0..).zip(&mut floods) {
            c.stream.set_write_timeout(Some(ms(50))).unwrap();
            let _ = c.stream.write(&queries(1_000_000 * (n + 1) + 1000 * m, 400));
        }
        drop(floods);
        std::thread::sleep(ms(300));
        let before = f.seen();
        std::thread::sleep(ms(200));
        assert_eq!(f.seen(), before, "sent on for clients that have left");
        // What the flood asked for weighs on the alert for a while; others are served, at once or when they come again.
        let end = Instant::now() + PATIENCE;
        for again in 0.. {
            good.query(10_000 * (n + 1) + again, 4000);
            let text = good.text();
            if text == "value" {
                break;
            }
            assert!(text.starts_with("-BUSY") && Instant::now() < end, "{text}");
            std::thread::sleep(ms(100));
        }
    }
}
