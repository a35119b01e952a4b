//! Endings: the instant in which something is still owed, forced on real connections every time. The table of all of them is
//! `docs/design/endings.md`.

use chalkgap_resp::put_command;
use common::{backend, known, Act, Client, ConnectionGate, Journal, GOOD, PATIENCE};
use rig::{always, first, next_command, scripted, until, Fixture, Late, Script};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

mod common;
mod rig;

const LIST: &str = "c=sig-check,t=team,d=4000,units=1,spread=1,first=0";

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn query(id: u64) -> Vec<u8> {
    let mut out = bytes::BytesMut::new();
    let id = format!("{id:016x}");
    let words = [&b"SVC.QUERY"[..], b"0000000000000007", id.as_bytes(), LIST.as_bytes()];
    put_command(&mut out, &words);
    out.to_vec()
}

fn queries(from: u64, count: u64) -> Vec<u8> {
    (from..from + count).flat_map(query).collect()
}

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

// ---- SIGTERM ----

/// While the ingress stands still the system accepts connections for it, and the time to close the listener comes. All of them
/// are answered.
#[test]
fn what_the_system_accepted_is_taken_before_the_listener_closes() {
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
fn what_was_read_and_not_begun_is_answered_in_a_drain() {
    let gate = ConnectionGate::closed();
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
fn what_is_on_its_way_when_connections_end_is_answered() {
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
fn the_end_comes_before_the_kill_with_any_deadline() {
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

// ---- a connection that this side closes ----

/// Its last word must not be destroyed by what the client had sent beyond it.
#[test]
fn the_last_answer_survives_unread_bytes() {
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
fn who_finds_no_room_is_told_so() {
    let gate = ConnectionGate::closed();
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

// ---- a client that leaves ----

/// An ingress whose requests wait for a place, as its backends say nothing until the test's word; aims are long, so that they
/// wait for long.
fn waiting(cancel: bool) -> (Fixture, &'static ConnectionGate) {
    let gate = ConnectionGate::closed();
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
fn a_client_that_leaves_is_noticed_while_nothing_is_read() {
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
fn a_client_that_leaves_with_its_answers_unread_is_noticed() {
    let (answers, errors) = (ConnectionGate::closed(), ConnectionGate::closed());
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
fn floods_that_leave_cost_nobody_anything() {
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

// ---- attempts ----

/// A connection that comes up after its client has left, after its backend was told to drain, or when the repeat window is
/// over: nothing is written on it.
#[test]
fn nothing_is_written_to_a_late_connection() {
    const PATIENT: (&str, &str) = ("\"connect_timeout_us\":250000", "\"connect_timeout_us\":5000000");
    const NO_CANCEL: (&str, &str) = ("\"cancelling\":true", "\"cancelling\":false");
    std::thread::scope(|s| {
        for change in [PATIENT, NO_CANCEL] {
            s.spawn(move || {
                let late = Late::new();
                let f = Fixture::over(
                    Journal::default(),
                    &[late.port],
                    &[PATIENT, change][usize::from(change == PATIENT)..],
                );
                let mut c = f.client();
                c.query(1, 4000);
                late.asked();
                drop(c);
                std::thread::sleep(ms(100)); // so long it may take until nothing begins
                assert_eq!(late.let_up(ms(2500)), b"", "its client has left, {change:?}");
            });
        }
        s.spawn(|| {
            let late = Late::new();
            let grace = ("\"drain_grace_us\":2000000", "\"drain_grace_us\":200000");
            let f = Fixture::over(Journal::default(), &[late.port], &[PATIENT, grace]);
            until("the watch", || !f.discovery.watches.lock().unwrap().is_empty());
            let mut c = f.client();
            c.query(1, 4000);
            late.asked();
            let drains =
                known(&[late.port]).replace("\"ready\"", "\"draining\"").replace("\"seq\":1", "\"seq\":2");
            f.discovery.tell(&drains.replace("\"whole\":true", "\"whole\":false"));
            assert_eq!(late.let_up(ms(2500)), b"", "its backend drains");
            assert!(c.text().starts_with("-BUSY"), "it never ran");
        });
        s.spawn(|| {
            // The first attempt may have run; its repeat is decided at once, and its connection comes up a second later.
            let window = ("\"window_us\":5000000", "\"window_us\":600000");
            let two = ("\"most_tries\":3", "\"most_tries\":2"); // a third would go by a connection of its own
            let (late, gate, journal) = (Late::new(), ConnectionGate::closed(), Journal::default());
            let port = {
                let journal = journal.clone();
                scripted(move |_, mut stream| {
                    let mut buffer = bytes::BytesMut::new();
                    if let Some(words) = next_command(&mut stream, &mut buffer) {
                        journal.lock().unwrap().push(words);
                        gate.wait();
                    }
                })
            };
            let f = Fixture::over(journal, &[port], &[PATIENT, window, two]);
            until("the watch", || !f.discovery.watches.lock().unwrap().is_empty());
            let mut c = f.client();
            c.submit(1);
            until("the first attempt", || f.seen() == 1);
            let other = known(&[late.port]).replace("\"seq\":1", "\"seq\":2");
            f.discovery.tell(&other); // the whole list: the first one is named no more
            std::thread::sleep(ms(100));
            gate.open(); // it ends its connection without an answer
            late.asked();
            assert_eq!(late.let_up(ms(2500)), b"", "the window is over");
            assert!(c.text().starts_with("-ERR"), "it may have run");
        });
    });
}

/// A second answer, some milliseconds behind the first one, belongs to nobody: the next request must not take it for its own.
#[test]
fn a_second_answer_that_comes_late_is_never_served() {
    let port = scripted(|_, mut stream| {
        let mut buffer = bytes::BytesMut::new();
        while let Some(words) = next_command(&mut stream, &mut buffer) {
            let answer = format!("*3\r\n$16\r\n{}\r\n$-1\r\n$-1\r\n", words[2]);
            let _ = stream.write_all(answer.as_bytes());
            std::thread::sleep(ms(8));
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    let f = Fixture::over(Journal::default(), &[port], &[]);
    let mut c = f.client();
    for id in 1..40u64 {
        c.query(id, 2000);
        assert_eq!(c.text(), format!("{id:016x}"));
        std::thread::sleep(ms(id % 12));
    }
}

/// Half a line from a backend on a connection that rests: it is of no further use, and the next request is unharmed.
#[test]
fn half_a_line_on_a_resting_connection_harms_nobody() {
    let noise = ConnectionGate::closed();
    let port = scripted(move |n, mut stream| {
        let mut buffer = bytes::BytesMut::new();
        while next_command(&mut stream, &mut buffer).is_some() {
            let _ = stream.write_all(GOOD);
            if n == 0 {
                noise.wait();
                let _ = stream.write_all(b"*3\r\n$5\r\not");
            }
        }
    });
    let f = Fixture::over(Journal::default(), &[port], &[]);
    let mut c = f.client();
    c.query(1, 2000);
    assert_eq!(c.text(), "value");
    noise.open();
    std::thread::sleep(ms(100));
    for id in 2..10 {
        c.query(id, 2000);
        assert_eq!(c.text(), "value");
    }
}

// ---- discovery ----

/// An agent by the test's word: `answers` says what becomes of the n-th call.
fn agent(list: String, answers: impl Fn(usize, bool, &mut TcpStream, &str) + Send + Sync + 'static) -> u16 {
    let list = Arc::new(list);
    scripted(move |n, mut stream| {
        let (mut head, mut byte) = (Vec::new(), [0]);
        while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|n| n > 0) {
            head.push(byte[0]);
        }
        answers(n, String::from_utf8_lossy(&head).contains("watch=1"), &mut stream, &list);
    })
}

fn whole(stream: &mut TcpStream, list: &str) {
    let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
}

/// Ready in bounded time whatever discovery does, and clients are served from the list that was known.
#[test]
fn ready_whatever_discovery_does() {
    let hang = |_: &mut TcpStream| std::thread::sleep(PATIENCE);
    let trickle = |stream: &mut TcpStream| {
        for byte in b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{\"seq\":".iter().cycle() {
            if stream.write_all(&[*byte]).is_err() {
                return;
            }
            std::thread::sleep(ms(100));
        }
    };
    let end = |_: &mut TcpStream| {};
    let refused = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port();
    let port = backend(Journal::default(), |_, _| Act::Say(GOOD));
    let moods: [fn(&mut TcpStream); 3] = [hang, trickle, end];
    let agents = moods.map(|mood| agent(String::new(), move |_, _, stream, _| mood(stream)));
    for at in agents.into_iter().chain([refused]) {
        let begin = Instant::now();
        let d = common::Discovery { port: at, ..common::Discovery::default() };
        let f = Fixture::from(Journal::default(), d, &[port], &[]);
        let mut c = f.client();
        c.send(&["PING"]);
        assert_eq!(c.text(), "+PONG");
        assert!(begin.elapsed() < ms(5000), "ready after {:?}", begin.elapsed());
        c.query(1, 2000);
        assert_eq!(c.text(), "value");
    }
}

/// The watch falls silent; then two calls hang, and one is cut off in its list: what discovery has is known within 6 s all the
/// same.
#[test]
fn a_change_is_known_within_six_seconds_whatever_becomes_of_calls() {
    let (old, new) = (Journal::default(), Journal::default());
    let ports = [backend(old, |_, _| Act::Say(GOOD)), backend(new.clone(), |_, _| Act::Say(GOOD))];
    let changed = Arc::new(AtomicBool::new(false));
    let next = known(&ports[1..]).replace("\"seq\":1", "\"seq\":2");
    let calls = Arc::new(std::sync::Mutex::new(Vec::new()));
    let (c, seen) = (changed.clone(), calls.clone());
    let at = agent(known(&ports[..1]), move |_, watch, stream, list| {
        let changed = c.load(Ordering::SeqCst);
        let n = {
            let mut calls = seen.lock().unwrap();
            calls.push((Instant::now(), watch, changed));
            calls.iter().filter(|c| c.2).count()
        };
        match (changed, watch, n) {
            (false, false, _) => whole(stream, list),
            (true, false, 1 | 2) => std::thread::sleep(PATIENCE),
            (true, false, 3) => {
                let _ = write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                    next.len(),
                    &next[..60]
                );
                std::thread::sleep(PATIENCE);
            }
            (true, false, _) => whole(stream, &next),
            (_, true, _) => {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
                std::thread::sleep(PATIENCE); // silent
            }
        }
    });
    let d = common::Discovery { port: at, ..common::Discovery::default() };
    let f = Fixture::from(Journal::default(), d, &ports[..1], &[]);
    until("the watch", || calls.lock().unwrap().iter().any(|c| c.1));
    changed.store(true, Ordering::SeqCst);
    known_within_six_seconds(&f, &new);
}

/// Asks until a backend is asked that the list of the moment names, and the one before did not.
fn known_within_six_seconds(f: &Fixture, new: &Journal) {
    let (begin, mut c) = (Instant::now(), f.client());
    for id in 1.. {
        c.query(id, 2000);
        assert_eq!(c.text(), "value");
        if !new.lock().unwrap().is_empty() {
            return;
        }
        assert!(begin.elapsed() < ms(6000), "not known after {:?}", begin.elapsed());
        std::thread::sleep(ms(10));
    }
}

/// What such a service gives to a watch that has changes.
fn watched(stream: &mut TcpStream, list: &str) {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let _ = write!(stream, "{head}{:x}\r\n{list}\n\r\n", list.len() + 1);
    std::thread::sleep(PATIENCE);
}

const TURNED_AWAY: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

/// Lists are asked for, and the service refuses, as it has more calls than it can take: it is left alone for longer each time,
/// and is asked within four seconds when it can be reached again. Seen where 22 of 32 ingresses asked it ten times a second each,
/// and neither they nor the others had a change within half a minute.
#[test]
fn a_service_that_refuses_is_left_alone() {
    let (old, new) = (Journal::default(), Journal::default());
    let ports = [backend(old, |_, _| Act::Say(GOOD)), backend(new.clone(), |_, _| Act::Say(GOOD))];
    let (well, calls) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let (w, c) = (well.clone(), calls.clone());
    let list = known(&ports[1..]).replace("\"seq\":1", "\"seq\":2");
    let at = agent(list, move |_, _, stream, list| {
        c.fetch_add(1, Ordering::SeqCst);
        if w.load(Ordering::SeqCst) {
            watched(stream, list);
        } else {
            let _ = stream.write_all(TURNED_AWAY);
        }
    });
    let d = common::Discovery { port: at, ..common::Discovery::default() };
    let ask = ("\"membership_mode\":\"push\"", "\"membership_mode\":\"ask\"");
    let f = Fixture::from(Journal::default(), d, &ports[..1], &[ask]);
    std::thread::sleep(ms(5000));
    let asked = calls.load(Ordering::SeqCst);
    assert!((2..=6).contains(&asked), "asked {asked} times in five seconds");
    well.store(true, Ordering::SeqCst);
    known_within_six_seconds(&f, &new);
}

/// Lists are asked for, and an outage ends a moment after a call was made: in an outage a call is refused when it has waited for
/// its whole turn. What the service has is known 6 s later, though it refuses the next one at once and lets the one after that
/// wait. Seen where 276 ingresses came back together: eight of them asked again after 2 to 4 s, twice.
#[test]
fn an_outage_that_ends_between_two_calls_is_found_where_lists_are_asked_for() {
    let (old, new) = (Journal::default(), Journal::default());
    let ports = [backend(old, |_, _| Act::Say(GOOD)), backend(new.clone(), |_, _| Act::Say(GOOD))];
    let calls = Arc::new(AtomicUsize::new(0));
    let c = calls.clone();
    let list = known(&ports[1..]).replace("\"seq\":1", "\"seq\":2");
    let at = agent(list, move |_, _, stream, list| match c.fetch_add(1, Ordering::SeqCst) {
        0 | 1 => {
            std::thread::sleep(ms(2010));
            let _ = stream.write_all(TURNED_AWAY);
        }
        2 => stream.write_all(TURNED_AWAY).unwrap_or_default(),
        _ => {
            std::thread::sleep(ms(1900));
            watched(stream, list);
        }
    });
    let d = common::Discovery { port: at, ..common::Discovery::default() };
    let ask = ("\"membership_mode\":\"push\"", "\"membership_mode\":\"ask\"");
    let f = Fixture::from(Journal::default(), d, &ports[..1], &[ask]);
    until("a second call", || calls.load(Ordering::SeqCst) == 2);
    known_within_six_seconds(&f, &new);
    assert_eq!(calls.load(Ordering::SeqCst), 4);
}

/// Idle clients hold all that clients may have while discovery is down. When it is back it is reached, and so is a new backend.
#[test]
fn idle_clients_do_not_keep_discovery_out() {
    let (old, new) = (Journal::default(), Journal::default());
    let ports = [backend(old, |_, _| Act::Say(GOOD)), backend(new.clone(), |_, _| Act::Say(GOOD))];
    let place = TcpListener::bind("127.0.0.1:0").unwrap();
    let at: SocketAddr = place.local_addr().unwrap();
    drop(place); // nobody listens there yet
    let d = common::Discovery { port: at.port(), ..common::Discovery::default() };
    let f = Fixture::from(Journal::default(), d, &ports[..1], &[("\"sockets\":256", "\"sockets\":64")]);
    let idle: Vec<TcpStream> = (0..200).filter_map(|_| TcpStream::connect(f.address).ok()).collect();
    std::thread::sleep(ms(500));
    let back = discovery_at(at, known(&ports[1..]).replace("\"seq\":1", "\"seq\":2"));
    let begin = Instant::now();
    let mut id = 0;
    while new.lock().unwrap().is_empty() {
        id += 1;
        let mut c = f.client();
        c.query(id, 2000);
        let text = c.text();
        assert!(text == "value" || text.starts_with("-BUSY"), "{text}");
        assert!(begin.elapsed() < ms(6000), "not known after {:?}", begin.elapsed());
        std::thread::sleep(ms(10));
    }
    drop((idle, back));
}

fn discovery_at(at: SocketAddr, list: String) -> common::Discovery {
    let listener = TcpListener::bind(at).unwrap();
    common::serve_discovery(listener, list)
}

/// Answers that are cut, have no end, or come with too much, in these orders too: the client gets one whole answer.
#[test]
fn spoilt_answers_end_in_one_whole_answer() {
    for act in [
        Act::SayAndEnd(b"*3\r\n$5\r\nval"),
        Act::SayAndEnd(b"*3\r\n$5\r\nvalue\r\n$-1\r\n"),
        Act::Say(b"*3\r\n$70000\r\nv"),
        Act::Say(b"*1000000\r\n"),
    ] {
        let f = Fixture::start(vec![first(act, Act::Say(GOOD)), first(act, Act::Say(GOOD))]);
        let mut c = f.client();
        c.query(1, 3900);
        let text = c.text();
        assert!(text == "value" || text.starts_with('-'), "{text}");
        c.send(&["PING"]);
        assert_eq!(c.text(), "+PONG", "and no more than one");
    }
}
