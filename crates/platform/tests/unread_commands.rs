//! Commands that have arrived while the ingress does not read from their connection, because of the limit of pending commands or of
//! unsent output. Whatever ends the connection, they are read and answered first.

use common::{BackendAction, Client, Latch, GOOD_REPLY};
use rig::{always, ms, queries, query, wait_until, Fixture, Script};
use std::io::{Read, Write};
use std::net::Shutdown;
use std::sync::atomic::{AtomicUsize, Ordering};

mod common;
mod rig;

/// The backends reply at once.
const QUICK: BackendAction = BackendAction::Reply(GOOD_REPLY);
/// Pending commands of one connection beyond which nothing is read.
const PENDING: u64 = 32;
/// Commands that are read with the pending ones: they arrive together.
const BUFFERED: u64 = 8;
/// Later commands, which stay in the socket.
const UNREAD: u64 = 20;
const SENT: u64 = PENDING + BUFFERED + UNREAD;

/// A client whose last commands are unread, as the backends do not reply before the latch opens.
fn client_with_unread_commands(fixture: &Fixture) -> Client {
    let mut client = fixture.client();
    client.write(&queries(1, PENDING + BUFFERED));
    wait_until("a request at a backend", || fixture.received_commands() > 0);
    std::thread::sleep(ms(50)); // the first commands are read as one
    client.write(&queries(1 + PENDING + BUFFERED, UNREAD));
    client
}

fn backends_that_wait_for(latch: &'static Latch) -> Vec<Script> {
    vec![Box::new(move |_, _| BackendAction::ReplyWhen(latch, GOOD_REPLY))]
}

/// Reads `count` replies and then the end of the connection. Each reply is a value or an error.
fn assert_answered(client: &mut Client, count: u64) {
    for number in 1..=count {
        let reply = client.reply_text();
        assert!(reply == "value" || reply.starts_with('-'), "reply {number} of {count}: {reply}");
    }
    assert_eq!(client.reply_text(), "closed");
}

/// Begins a drain, and returns once idle connections are closed.
fn drain(fixture: &Fixture, mut idle: Client) {
    fixture.drain.close();
    assert_eq!(idle.reply_text(), "closed");
}

/// A drain closed the connection over commands that were unread behind 32 pending ones.
#[test]
fn commands_behind_the_pending_limit_are_answered_in_a_drain() {
    let latch = Latch::closed();
    let fixture = Fixture::start(backends_that_wait_for(latch));
    let idle = fixture.idle_client();
    let mut client = client_with_unread_commands(&fixture);
    drain(&fixture, idle);
    latch.open();
    assert_answered(&mut client, SENT);
}

/// A drain closed the connection over commands that arrived while one was pending, far below the limit.
#[test]
fn commands_that_arrive_in_a_drain_are_answered() {
    let latch = Latch::closed();
    let fixture = Fixture::start(backends_that_wait_for(latch));
    let idle = fixture.idle_client();
    let mut client = fixture.client();
    client.write(&query(1));
    wait_until("a request at a backend", || fixture.received_commands() > 0);
    drain(&fixture, idle);
    client.write(&queries(2, 5));
    std::thread::sleep(ms(50));
    latch.open();
    assert_answered(&mut client, 6);
}

/// A drain gave up a partly received command whose rest could not be read for the pending ones before it.
#[test]
fn a_partial_command_behind_pending_ones_is_answered_in_a_drain() {
    let latch = Latch::closed();
    let fixture = Fixture::start(backends_that_wait_for(latch));
    let idle = fixture.idle_client();
    let mut client = fixture.client();
    let last = query(PENDING + 1);
    client.write(&queries(1, PENDING));
    client.write(&last[..20]);
    wait_until("a request at a backend", || fixture.received_commands() > 0);
    drain(&fixture, idle);
    std::thread::sleep(ms(600)); // longer than a draining connection waits for the rest of a command
    latch.open();
    assert_ne!(client.reply_text(), "closed");
    std::thread::sleep(ms(50));
    client.write(&last[20..]);
    assert_answered(&mut client, PENDING);
}

/// Shortly before the kill the ingress closed the connection over unread commands. They are rejected.
#[test]
fn unread_commands_are_rejected_before_the_kill() {
    let limits = [
        ("\"give_up_us\":4000000", "\"give_up_us\":10000000"),
        ("\"objective_us\":1000000", "\"objective_us\":9000000"),
    ];
    let fixture = Fixture::start_with_changes(vec![always(BackendAction::NoReply)], &limits);
    let idle = fixture.idle_client();
    let mut client = fixture.client();
    let long = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap().replace("d=4000", "d=9900").into_bytes();
    client.write(&long(queries(1, PENDING + BUFFERED)));
    wait_until("a request at a backend", || fixture.received_commands() > 0);
    std::thread::sleep(ms(50));
    client.write(&long(queries(1 + PENDING + BUFFERED, UNREAD)));
    drain(&fixture, idle);
    assert_answered(&mut client, SENT);
}

/// Size of the values that fill the buffers between the ingress and a client that does not read.
const LARGE_VALUE_BYTES: usize = 900_000;
/// Commands with such a value. Their values exceed what the system buffers by more than the ingress holds before it stops reading.
const LARGE_VALUES: u64 = 16;

/// Size of such a client's receive buffer.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;

fn large_reply() -> &'static [u8] {
    let mut reply = format!("*3\r\n${LARGE_VALUE_BYTES}\r\n").into_bytes();
    reply.resize(reply.len() + LARGE_VALUE_BYTES, b'v');
    reply.extend_from_slice(b"\r\n$-1\r\n$-1\r\n");
    Box::leak(reply.into_boxed_slice())
}

/// Starts an ingress whose backends reply with large values, and then take the action `later`, and a client that reads none of them. It has sent `behind` after its commands.
fn start_with_unsent_output(
    behind: &[u8],
    later: BackendAction,
    more_changes: &[(&str, &str)],
) -> (Fixture, Client) {
    let reply = large_reply();
    let count: &'static AtomicUsize = Box::leak(Box::default());
    let script = || -> Script {
        Box::new(move |_, arguments| {
            let is_large =
                arguments[0] == "SVC.QUERY" && count.fetch_add(1, Ordering::SeqCst) < LARGE_VALUES as usize;
            if is_large {
                BackendAction::Reply(reply)
            } else {
                later
            }
        })
    };
    let mut changes = vec![("\"memory_mb\":64", "\"memory_mb\":640")];
    changes.extend_from_slice(more_changes);
    let fixture = Fixture::start_with_changes((0..4).map(|_| script()).collect(), &changes);
    let mut client = fixture.client();
    socket2::SockRef::from(&client.stream).set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    client.write(&[&queries(1, LARGE_VALUES), behind].concat());
    wait_until("all requests at backends", || count.load(Ordering::SeqCst) >= LARGE_VALUES as usize);
    std::thread::sleep(ms(200)); // the replies reach the ingress, and fill all buffers to the client
    (fixture, client)
}

/// Reads the large values and `count` replies behind them.
fn assert_answered_behind_large_values(client: &mut Client, count: u64) {
    for number in 1..=LARGE_VALUES {
        assert_eq!(client.reply_text().len(), LARGE_VALUE_BYTES, "value {number}");
    }
    for number in 1..=count {
        let reply = client.reply_text();
        assert!(reply == "value" || reply.starts_with("-BUSY"), "reply {number} of {count}: {reply}");
    }
}

/// A drain cut off output that the client had not read within 0.3 s, and closed the connection over the commands behind it.
#[test]
fn unsent_output_and_the_commands_behind_it_are_completed_in_a_drain() {
    let (fixture, mut client) = start_with_unsent_output(b"", QUICK, &[]);
    let idle = fixture.idle_client();
    client.write(&queries(1 + LARGE_VALUES, UNREAD));
    drain(&fixture, idle);
    std::thread::sleep(ms(600));
    assert_answered_behind_large_values(&mut client, UNREAD);
    assert_eq!(client.reply_text(), "closed");
}

/// Values before a malformed command were cut off if the client had not read them within 0.3 s.
#[test]
fn unsent_output_before_a_malformed_command_is_completed() {
    let (_fixture, mut client) = start_with_unsent_output(b"*4\r\n$-5\r\n", QUICK, &[]);
    std::thread::sleep(ms(600));
    assert_answered_behind_large_values(&mut client, 0);
    let error = client.reply_text();
    assert!(error.starts_with("-ERR unreadable command"), "{error}");
    assert_eq!(client.reply_text(), "closed");
}

/// The timeout for the rest of a command ran while unsent output kept the ingress from reading that rest.
#[test]
fn a_command_behind_unsent_output_does_not_time_out() {
    let last = query(1 + LARGE_VALUES);
    let (_fixture, mut client) = start_with_unsent_output(&last[..20], QUICK, &[]);
    client.write(&last[20..]);
    std::thread::sleep(ms(2600)); // longer than the timeout for the rest of a command
    assert_answered_behind_large_values(&mut client, 1);
}

/// A client that sends commands without end, which need no backend, does not keep the ingress from serving another one.
#[test]
fn endless_commands_that_need_no_backend_do_not_delay_others() {
    let fixture = Fixture::start(vec![always(QUICK)]);
    let mut good = fixture.client();
    let flood = fixture.client();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let pings = b"*1\r\n$4\r\nPING\r\n".repeat(4000);
            while (&flood.stream).write_all(&pings).is_ok() {}
        });
        scope.spawn(|| {
            let mut chunk = vec![0; 1 << 16];
            while (&flood.stream).read(&mut chunk).is_ok_and(|count| count > 0) {}
        });
        std::thread::sleep(ms(200));
        for id in 1..=20 {
            good.query(id, 4000);
            assert_eq!(good.reply_text(), "value");
        }
        flood.stream.shutdown(Shutdown::Both).unwrap();
    });
}
