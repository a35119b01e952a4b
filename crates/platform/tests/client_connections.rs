//! The ways in which client connections and the process end. Each test forces one of them on real connections and checks that
//! pending replies are still delivered. The table of all of them is `docs/design/endings.md`.

use common::{BackendAction, Client, Latch, GOOD_REPLY, TEST_TIMEOUT};
use rig::{always, ms, queries, query, wait_until, Fixture, Script};
use std::io::{ErrorKind, Read, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Instant;

mod common;
mod rig;

/// Reads a connection to its end. Returns the bytes, and whether it ended with FIN rather than with a reset.
fn read_to_end(client: &mut Client) -> (Vec<u8>, bool) {
    let mut all = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        match client.stream.read(&mut chunk) {
            Ok(0) => return (all, true),
            Ok(n) => all.extend_from_slice(&chunk[..n]),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => return (all, false),
            Err(e) => panic!("no end: {e}"),
        }
    }
}

/// The ingress is blocked past the time at which a drain closes the listener, while the system queues connections for it. All of
/// them are answered.
#[test]
fn accepted_connections_are_served_before_the_listener_closes() {
    let fixture = Fixture::start(vec![always(BackendAction::Reply(GOOD_REPLY))]);
    fixture.drain.close();
    std::thread::sleep(ms(200));
    fixture.block_thread(ms(700)); // past the end of the accept phase
    std::thread::sleep(ms(50));
    let mut clients: Vec<Client> = (0..24).map(|_| fixture.client()).collect();
    for (n, client) in (1..).zip(&mut clients) {
        client.query(n, 4000);
    }
    for client in &mut clients {
        let reply = client.reply_text();
        assert!(reply == "value" || reply.starts_with("-BUSY"), "{reply}");
        assert_eq!(client.reply_text(), "closed");
    }
}

/// Requests that arrive after the ingress has closed the connection are not forwarded. The client reads the end of the stream, and
/// the connection is not reset.
#[test]
fn a_request_that_crosses_the_close_is_not_read() {
    let fixture = Fixture::start(vec![always(BackendAction::Reply(GOOD_REPLY))]);
    let mut client = fixture.idle_client();
    fixture.drain.close();
    assert_eq!(client.reply_text(), "closed");
    client.write(&queries(1, 3));
    std::thread::sleep(ms(50));
    assert!(client.stream.write_all(&queries(4, 1)).is_ok(), "the connection was reset");
    client.shutdown_write();
    wait_until("the ingress to stop", || fixture.is_stopped());
    assert_eq!(fixture.received_commands(), 0);
}

/// Commands that were read and wait behind open requests are answered in a drain too.
#[test]
fn buffered_commands_are_answered_in_a_drain() {
    let latch = Latch::closed();
    let fixture = Fixture::start(vec![Box::new(move |_, _| BackendAction::ReplyWhen(latch, GOOD_REPLY))]);
    let mut client = fixture.client();
    let mut idle = fixture.idle_client();
    client.write(&queries(1, 60));
    wait_until("a request at a backend", || fixture.received_commands() > 0);
    fixture.drain.close();
    assert_eq!(idle.reply_text(), "closed"); // the drain has begun
    latch.open();
    for n in 0..60 {
        let reply = client.reply_text();
        assert!(reply == "value" || reply.starts_with('-'), "reply {n}: {reply}");
    }
    assert_eq!(client.reply_text(), "closed");
}

/// When a drain starts, one connection has sent half a command and another one nothing yet. Both requests are read and answered.
#[test]
fn requests_in_transit_are_answered_in_a_drain() {
    let fixture = Fixture::start(vec![always(BackendAction::Reply(GOOD_REPLY))]);
    let mut idle = fixture.idle_client();
    let mut partial = fixture.idle_client();
    let mut unused = fixture.client();
    let bytes = query(1);
    partial.write(&bytes[..20]);
    wait_until("three open connections", || fixture.open_connections() >= 3);
    fixture.drain.close();
    assert_eq!(idle.reply_text(), "closed");
    partial.write(&bytes[20..]);
    unused.write(&query(2));
    for client in [&mut partial, &mut unused] {
        assert_eq!((client.reply_text().as_str(), client.reply_text().as_str()), ("value", "closed"));
    }
}

/// SIGKILL comes 0.7 s plus the longest deadline (three seconds at most) after SIGTERM. Before that, all requests are answered and
/// the process has exited, even if a client neither sends nor closes.
#[test]
fn shutdown_ends_before_the_kill_with_any_deadline() {
    let drain_with_deadline = |deadline: u64| {
        let limit = format!("\"give_up_us\":{}", deadline * 1000);
        let changes = [("\"give_up_us\":4000000", &*limit), ("\"give_up_us\":7500000", &*limit)];
        let fixture = Fixture::start_with_changes(vec![always(BackendAction::NoReply)], &changes);
        let mut early = fixture.client();
        early.submit(1); // with a deadline of three seconds
        wait_until("the first request at a backend", || fixture.received_commands() > 0);
        fixture.drain.close();
        let started = Instant::now();
        std::thread::sleep(ms(380)); // connections are still accepted
        let mut late = fixture.client();
        let attributes =
            format!("c=report-upload,t=team,d={deadline},k=5c0f6e1a2b3d4c59,units=1,spread=1,first=0");
        late.send(&["SVC.SUBMIT", "0000000000000007", "0000000000000009", &attributes, "body"]);
        let mut silent = fixture.client(); // sends nothing and does not close
        let kill_after = ms(deadline.min(3000) + 700);
        for client in [&mut early, &mut late] {
            let reply = client.reply_text();
            assert!(reply.starts_with('-'), "deadline {deadline} ms: {reply}");
            assert!(
                started.elapsed() < kill_after,
                "deadline {deadline} ms: answered after {:?}",
                started.elapsed()
            );
        }
        wait_until("the ingress to stop", || fixture.is_stopped());
        assert!(
            started.elapsed() < kill_after,
            "deadline {deadline} ms: stopped after {:?}",
            started.elapsed()
        );
        assert_eq!(silent.reply_text(), "closed");
    };
    std::thread::scope(|scope| {
        for deadline in [300, 1000, 3000, 10_000] {
            scope.spawn(move || drain_with_deadline(deadline));
        }
    });
}

/// The error reply before a close reaches the client although bytes that it sent are unread.
#[test]
fn the_last_reply_survives_unread_bytes() {
    let fixture = Fixture::start(vec![always(BackendAction::Reply(GOOD_REPLY))]);
    let mut client = fixture.client();
    let mut bytes = b"*4\r\n$-5\r\n".to_vec();
    bytes.resize(60_000, b'x');
    client.write(&bytes);
    let (received, ended_with_fin) = read_to_end(&mut client);
    assert!(received.starts_with(b"-ERR unreadable"), "{:?}", String::from_utf8_lossy(&received));
    assert!(ended_with_fin, "a reset would discard a reply that is still in transit");
}

/// Clients beyond the connection limit are rejected with a reply, without their request being read, as long as there are
/// descriptors for that.
#[test]
fn clients_beyond_the_limit_are_rejected_with_a_reply() {
    let latch = Latch::closed();
    let long_objective = ("\"objective_us\":1000000", "\"objective_us\":3900000");
    let fixture = Fixture::start_with_changes(
        vec![Box::new(move |_, _| BackendAction::ReplyWhen(latch, GOOD_REPLY))],
        &[("\"sockets\":256", "\"sockets\":64"), long_objective],
    );
    let mut clients: Vec<Client> = (0..40).map(|_| fixture.client()).collect();
    for (n, client) in (1..).zip(&mut clients) {
        client.query(n, 4000);
    }
    let started = Instant::now();
    let mut refused = 0;
    let mut waiting = 0;
    for client in &mut clients {
        client.stream.set_read_timeout(Some(ms(20))).unwrap();
        let mut chunk = [0; 64];
        match client.stream.read(&mut chunk) {
            Ok(0) => panic!("closed without a reply"),
            Ok(n) => {
                assert!(chunk[..n].starts_with(b"-BUSY"), "{:?}", String::from_utf8_lossy(&chunk[..n]));
                refused += 1;
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => waiting += 1,
            Err(e) => panic!("reset: {e}"),
        }
    }
    assert!(refused > 0 && waiting > 0, "{refused} refused, {waiting} accepted, {:?}", started.elapsed());
    latch.open();
}

/// Starts an ingress whose backends reply when the returned latch opens. Latency objectives are long, so that requests stay
/// queued.
fn start_with_queued_requests(cancel: bool) -> (Fixture, &'static Latch) {
    let latch = Latch::closed();
    let mut changes = vec![
        ("\"objective_us\":1000000", "\"objective_us\":20000000"),
        ("\"give_up_us\":4000000", "\"give_up_us\":20000000"),
    ];
    if !cancel {
        changes.push(("\"cancelling\":true", "\"cancelling\":false"));
    }
    (
        Fixture::start_with_changes(
            vec![Box::new(move |_, _| BackendAction::ReplyWhen(latch, GOOD_REPLY))],
            &changes,
        ),
        latch,
    )
}

/// Extends the deadline of encoded queries to nine seconds.
fn with_long_deadline(bytes: Vec<u8>) -> Vec<u8> {
    String::from_utf8(bytes).unwrap().replace("d=4000", "d=9000").into_bytes()
}

/// The ingress does not read from a client in several states. In each it notices within 0.25 s that the client has disconnected,
/// and does not send its queued requests when backends have capacity again.
#[test]
fn a_disconnect_is_noticed_while_nothing_is_read() {
    type Case = (&'static str, fn(&mut Client));
    let cases: [Case; 4] = [
        ("32 open requests", |client| client.write(&with_long_deadline(queries(1, 32)))),
        ("32 open requests and unread ones", |client| client.write(&with_long_deadline(queries(1, 300)))),
        ("a protocol error behind open requests", |client| {
            client.write(&with_long_deadline(queries(1, 20)));
            client.write(b"*4\r\n$-5\r\n");
        }),
        ("a protocol error and further bytes", |client| {
            client.write(&with_long_deadline(queries(1, 20)));
            client.write(b"*4\r\n$-5\r\n");
            client.write(&[b'x'; 30_000]);
        }),
    ];
    for cancel in [true, false] {
        for (case, prepare) in &cases {
            let (fixture, latch) = start_with_queued_requests(cancel);
            let mut client = fixture.client();
            prepare(&mut client);
            wait_until("requests at a backend", || fixture.received_commands() > 0);
            std::thread::sleep(ms(50));
            let before = fixture.received_commands();
            assert!(before < 20, "{case}: expected queued requests, {before} were sent");
            drop(client);
            std::thread::sleep(ms(250));
            latch.open();
            std::thread::sleep(ms(150));
            assert_eq!(
                fixture.received_commands(),
                before,
                "{case}, cancel {cancel}: sent for a client that has disconnected"
            );
        }
    }
}

/// The ingress does not read from a client that does not read its replies. It still notices that the client has disconnected.
#[test]
fn a_disconnect_with_unread_replies_is_noticed() {
    let values = Latch::closed();
    let errors = Latch::closed();
    let big: &'static [u8] = {
        let value = vec![b'v'; 900_000];
        let mut out = format!("*3\r\n${}\r\n", value.len()).into_bytes();
        out.extend_from_slice(&value);
        out.extend_from_slice(b"\r\n$-1\r\n$-1\r\n");
        Box::leak(out.into_boxed_slice())
    };
    // The first 12 replies fill all buffers between the ingress and the client. The other attempts end in errors and would be retried.
    let count = Arc::new(AtomicUsize::new(0));
    let script = || -> Script {
        let count = count.clone();
        Box::new(move |_, _| match count.fetch_add(1, Ordering::SeqCst) {
            0..=11 => BackendAction::ReplyWhen(values, big),
            _ => BackendAction::ReplyWhen(errors, b"-ERR failed\r\n"),
        })
    };
    let fixture = Fixture::start_with_changes(
        (0..4).map(|_| script()).collect(),
        &[
            ("\"objective_us\":1000000", "\"objective_us\":20000000"),
            ("\"give_up_us\":4000000", "\"give_up_us\":20000000"),
            ("\"memory_mb\":64", "\"memory_mb\":640"),
        ],
    );
    let mut client = fixture.client();
    client.write(&with_long_deadline(queries(1, 16)));
    wait_until("all requests at backends", || fixture.received_commands() == 16);
    values.open();
    std::thread::sleep(ms(300));
    client.shutdown_write(); // a full close with unread replies sends a reset, which a write would report
    std::thread::sleep(ms(100));
    errors.open();
    std::thread::sleep(ms(300));
    assert_eq!(fixture.received_commands(), 16, "an attempt for a client that has disconnected");
}

/// Clients send thousands of requests and disconnect: no further request of theirs is forwarded, and other clients are served.
#[test]
fn floods_that_disconnect_do_not_harm_others() {
    let fixture = Fixture::start(vec![always(BackendAction::Reply(GOOD_REPLY))]);
    let mut good = fixture.client();
    for n in 0..2u64 {
        let mut floods: Vec<Client> = (0..60).map(|_| fixture.client()).collect();
        for (m, client) in (0..).zip(&mut floods) {
            client.stream.set_write_timeout(Some(ms(50))).unwrap();
            let _ = client.stream.write(&queries(1_000_000 * (n + 1) + 1000 * m, 400));
        }
        drop(floods);
        std::thread::sleep(ms(300));
        let before = fixture.received_commands();
        std::thread::sleep(ms(200));
        assert_eq!(fixture.received_commands(), before, "sent for clients that have disconnected");
        // The flood keeps the alert raised for a while. Other clients are served, at once or when they retry.
        let deadline = Instant::now() + TEST_TIMEOUT;
        for retry in 0.. {
            good.query(10_000 * (n + 1) + retry, 4000);
            let reply = good.reply_text();
            if reply == "value" {
                break;
            }
            assert!(reply.starts_with("-BUSY") && Instant::now() < deadline, "{reply}");
            std::thread::sleep(ms(100));
        }
    }
}
