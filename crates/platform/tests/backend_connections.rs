//! The ways in which backend connections end. Each test forces one of them on a real connection. The table of all of them is
//! `docs/design/endings.md`.

use chalkgap_runtime::faulty_runtime::FaultyRuntime;
use chalkgap_runtime::Stream;
use common::{backend, discovery, known, BackendAction, Journal, Latch, GOOD_REPLY};
use rig::{first, ms, next_command, scripted, wait_until, Fixture, FullListener, UnacknowledgedStream};
use std::io::Write;
use std::sync::Arc;

mod common;
mod rig;

/// Nothing is written to a connection that is established after its client has disconnected, after its backend was marked as
/// draining, or after the repeat window.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario in its order")]
fn nothing_is_written_to_a_late_connection() {
    const LONG_CONNECT_TIMEOUT: (&str, &str) =
        ("\"connect_timeout_us\":250000", "\"connect_timeout_us\":5000000");
    const NO_CANCEL: (&str, &str) = ("\"cancelling\":true", "\"cancelling\":false");
    std::thread::scope(|scope| {
        for change in [LONG_CONNECT_TIMEOUT, NO_CANCEL] {
            scope.spawn(move || {
                let listener = FullListener::new();
                let fixture = Fixture::start_with_ports(
                    Journal::default(),
                    &[listener.port],
                    &[LONG_CONNECT_TIMEOUT, change][usize::from(change == LONG_CONNECT_TIMEOUT)..],
                );
                let mut client = fixture.client();
                client.query(1, 4000);
                listener.wait_for_syn();
                drop(client);
                std::thread::sleep(ms(100)); // the time within which the ingress must notice
                assert_eq!(
                    listener.accept_and_read(ms(2500)),
                    b"",
                    "its client has disconnected, {change:?}"
                );
            });
        }
        scope.spawn(|| {
            let listener = FullListener::new();
            let grace = ("\"drain_grace_us\":2000000", "\"drain_grace_us\":200000");
            let fixture = Fixture::start_with_ports(
                Journal::default(),
                &[listener.port],
                &[LONG_CONNECT_TIMEOUT, grace],
            );
            wait_until("a watch", || !fixture.discovery.watches.lock().unwrap().is_empty());
            let mut client = fixture.client();
            client.query(1, 4000);
            listener.wait_for_syn();
            let draining = known(&[listener.port])
                .replace("\"ready\"", "\"draining\"")
                .replace("\"seq\":1", "\"seq\":2");
            fixture.discovery.send_change(&draining.replace("\"whole\":true", "\"whole\":false"));
            assert_eq!(listener.accept_and_read(ms(2500)), b"", "its backend drains");
            assert!(client.reply_text().starts_with("-BUSY"), "the request did not run");
        });
        scope.spawn(|| {
            // The first attempt may have run. The retry starts at once, and its connection is established a second later.
            let window = ("\"window_us\":5000000", "\"window_us\":600000");
            let two_attempts = ("\"most_tries\":3", "\"most_tries\":2"); // a third attempt would open another connection
            let listener = FullListener::new();
            let latch = Latch::closed();
            let journal = Journal::default();
            let port = {
                let journal = journal.clone();
                scripted(move |_, mut stream| {
                    let mut buffer = bytes::BytesMut::new();
                    if let Some(arguments) = next_command(&mut stream, &mut buffer) {
                        journal.lock().unwrap().push(arguments);
                        latch.wait();
                    }
                })
            };
            let fixture =
                Fixture::start_with_ports(journal, &[port], &[LONG_CONNECT_TIMEOUT, window, two_attempts]);
            wait_until("a watch", || !fixture.discovery.watches.lock().unwrap().is_empty());
            let mut client = fixture.client();
            client.submit(1);
            wait_until("the first attempt", || fixture.received_commands() == 1);
            let other = known(&[listener.port]).replace("\"seq\":1", "\"seq\":2");
            fixture.discovery.send_change(&other); // a complete list without the first backend
            std::thread::sleep(ms(100));
            latch.open(); // the first backend closes its connection without a reply
            listener.wait_for_syn();
            assert_eq!(listener.accept_and_read(ms(2500)), b"", "the repeat window has passed");
            assert!(client.reply_text().starts_with("-ERR"), "the request may have run");
        });
    });
}

/// The kernel of a backend without TCP_NODELAY sends a small second reply only once the first one is acknowledged. On a connection
/// that has served a request, the ingress's kernel delays that acknowledgement beyond the reuse delay and sends it with the next
/// request. The second reply then arrives behind the ingress's check of the idle connection, and is served to that request.
#[test]
fn a_second_reply_that_the_backends_kernel_delays_is_never_served() {
    let port = scripted(|_, mut stream| {
        let mut buffer = bytes::BytesMut::new();
        let mut first_on_connection = true;
        while let Some(arguments) = next_command(&mut stream, &mut buffer) {
            let reply = format!("*3\r\n$16\r\n{}\r\n$-1\r\n$-1\r\n", arguments[2]);
            let _ = stream.write_all(reply.as_bytes());
            if !first_on_connection {
                std::thread::sleep(ms(8));
                let _ = stream.write_all(reply.as_bytes());
            }
            first_on_connection = false;
        }
    });
    let fixture = Fixture::start_with_ports(Journal::default(), &[port], &[]);
    let mut client = fixture.client();
    let mut wrong = Vec::new();
    for id in 1..40u64 {
        client.query(id, 2000);
        let expected = format!("{id:016x}");
        let reply = client.reply_text();
        if reply != expected {
            wrong.push((expected, reply));
        }
        std::thread::sleep(ms(25)); // longer than the reuse delay, shorter than a delayed acknowledgement
    }
    assert!(wrong.is_empty(), "{} wrong replies, as (request, reply): {wrong:?}", wrong.len());
}

/// Where the system cannot acknowledge a reply at once, a connection is not reused while its acknowledgement may be delayed: the
/// second reply of a backend would be served to the next request.
#[test]
fn connections_are_reused_late_where_acknowledgements_are_delayed() {
    let port = scripted(|_, mut stream| {
        let mut buffer = bytes::BytesMut::new();
        let mut first_on_connection = true;
        while let Some(arguments) = next_command(&mut stream, &mut buffer) {
            let reply = format!("*3\r\n$16\r\n{}\r\n$-1\r\n$-1\r\n", arguments[2]);
            let _ = stream.write_all(reply.as_bytes());
            if !first_on_connection {
                std::thread::sleep(ms(8));
                let _ = stream.write_all(reply.as_bytes());
            }
            first_on_connection = false;
        }
    });
    let fixture = Fixture::start_on(
        |system| {
            let unacknowledged = |stream| Box::new(UnacknowledgedStream(stream)) as Box<dyn Stream>;
            Arc::new(FaultyRuntime::new(system).connected_streams(unacknowledged))
        },
        Journal::default(),
        discovery(known(&[port])),
        &[port],
        &[],
    );
    let mut client = fixture.client();
    for id in 1..40u64 {
        client.query(id, 2000);
        assert_eq!(client.reply_text(), format!("{id:016x}"));
        std::thread::sleep(ms(25)); // longer than the reuse delay after an acknowledgement
    }
}

/// If a backend sends half a line on an idle connection, the connection is not used again, and the next requests are served.
#[test]
fn a_partial_line_on_an_idle_connection_is_harmless() {
    let noise = Latch::closed();
    let port = scripted(move |n, mut stream| {
        let mut buffer = bytes::BytesMut::new();
        while next_command(&mut stream, &mut buffer).is_some() {
            let _ = stream.write_all(GOOD_REPLY);
            if n == 0 {
                noise.wait();
                let _ = stream.write_all(b"*3\r\n$5\r\not");
            }
        }
    });
    let fixture = Fixture::start_with_ports(Journal::default(), &[port], &[]);
    let mut client = fixture.client();
    client.query(1, 2000);
    assert_eq!(client.reply_text(), "value");
    noise.open();
    std::thread::sleep(ms(100));
    for id in 2..10 {
        client.query(id, 2000);
        assert_eq!(client.reply_text(), "value");
    }
}

/// Replies that are truncated, incomplete or too long are not passed on: the client gets exactly one final reply.
#[test]
fn malformed_replies_end_in_one_final_answer() {
    for action in [
        BackendAction::ReplyAndClose(b"*3\r\n$5\r\nval"),
        BackendAction::ReplyAndClose(b"*3\r\n$5\r\nvalue\r\n$-1\r\n"),
        BackendAction::Reply(b"*3\r\n$70000\r\nv"),
        BackendAction::Reply(b"*1000000\r\n"),
    ] {
        let fixture = Fixture::start(vec![
            first(action, BackendAction::Reply(GOOD_REPLY)),
            first(action, BackendAction::Reply(GOOD_REPLY)),
        ]);
        let mut client = fixture.client();
        client.query(1, 3900);
        let reply = client.reply_text();
        assert!(reply == "value" || reply.starts_with('-'), "{reply}");
        client.send(&["PING"]);
        assert_eq!(client.reply_text(), "+PONG", "the client got a second reply");
    }
}

/// Returns the record of a backend in a list.
fn record(name: &str, port: u16, health: &str, started_at_millis: u64) -> String {
    let list = known(&[port]);
    let record = &list[list.find('[').unwrap() + 1..list.rfind(']').unwrap()];
    record
        .replace(&format!("\"host\":\"s-{port}\""), &format!("\"host\":\"{name}\""))
        .replace("\"ready\"", &format!("\"{health}\""))
        .replace("\"born_ms\":0", &format!("\"born_ms\":{started_at_millis}"))
}

/// An attempt that waited for its connection was written to another backend, which had taken the address of its own one.
#[test]
fn nothing_is_written_to_a_backend_that_took_the_address_of_another() {
    let listener = FullListener::new();
    let changes = [
        ("\"connect_timeout_us\":250000", "\"connect_timeout_us\":5000000"),
        ("\"most_tries\":3", "\"most_tries\":1"), // a further attempt would be answered first
    ];
    let fixture = Fixture::start_with_ports(Journal::default(), &[listener.port], &changes);
    wait_until("a watch", || !fixture.discovery.watches.lock().unwrap().is_empty());
    let mut client = fixture.client();
    client.query(1, 4000);
    listener.wait_for_syn();
    let other = backend(Journal::default(), |_, _| BackendAction::Reply(GOOD_REPLY));
    let moved = record(&format!("s-{}", listener.port), other, "ready", 0);
    let newcomer = record("s-newcomer", listener.port, "draining", 0);
    fixture.discovery.send_change(&format!("{{\"seq\":2,\"whole\":false,\"hosts\":[{moved},{newcomer}]}}"));
    assert_eq!(listener.accept_and_read(ms(2500)), b"", "the newcomer drains");
    assert!(client.reply_text().starts_with("-BUSY"), "the request did not run");
}

/// A connection to the process that a backend had before its restart was used for requests to the new one.
#[test]
fn no_connection_outlives_the_process_of_its_backend() {
    let connections = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let port = {
        let connections = connections.clone();
        scripted(move |_, mut stream| {
            connections.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
            let mut buffer = bytes::BytesMut::new();
            while next_command(&mut stream, &mut buffer).is_some() {
                stream.write_all(GOOD_REPLY).unwrap();
            }
        })
    };
    let fixture = Fixture::start_with_ports(Journal::default(), &[port], &[]);
    wait_until("a watch", || !fixture.discovery.watches.lock().unwrap().is_empty());
    let mut client = fixture.client();
    for id in 1..4 {
        client.query(id, 4000);
        assert_eq!(client.reply_text(), "value");
        std::thread::sleep(ms(50));
    }
    assert_eq!(connections.load(std::sync::atomic::Ordering::SeqCst), 1);
    let restarted = record(&format!("s-{port}"), port, "ready", 1_700_000_000_000);
    fixture.discovery.send_change(&format!("{{\"seq\":2,\"whole\":false,\"hosts\":[{restarted}]}}"));
    std::thread::sleep(ms(100));
    client.query(4, 4000);
    assert_eq!(client.reply_text(), "value");
    assert_eq!(connections.load(std::sync::atomic::Ordering::SeqCst), 2, "of the old and the new process");
}
