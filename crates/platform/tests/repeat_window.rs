//! The window in which backends recognize a repeated request by its key. Guards against an effect that happens twice because an
//! attempt is written after the key is forgotten.

use chalkgap_runtime::faulty_runtime::FaultyRuntime;
use chalkgap_runtime::Stream;
use common::{discovery, known, BackendAction, Journal, Latch, GOOD_REPLY};
use rig::{ms, wait_until, Fixture, FullListener, StallingStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

mod common;
mod rig;

const LONG_CONNECT_TIMEOUT: (&str, &str) =
    ("\"connect_timeout_us\":250000", "\"connect_timeout_us\":5000000");
const TWO_ATTEMPTS: (&str, &str) = ("\"most_tries\":3", "\"most_tries\":2");

/// The first attempt waits for its connection, and a later one is written meanwhile. What the connection of the first attempt
/// receives once it is up, about a second after it was begun.
fn written_to_the_overtaken_attempt(window: (&str, &str)) -> Vec<u8> {
    let listener = FullListener::new();
    let latch = Latch::closed();
    let journal = Journal::default();
    let port = common::backend(journal.clone(), move |_, _| BackendAction::ReplyWhen(latch, GOOD_REPLY));
    let changes = [LONG_CONNECT_TIMEOUT, TWO_ATTEMPTS, window];
    let fixture = Fixture::start_with_ports(journal, &[listener.port], &changes);
    wait_until("a watch", || !fixture.discovery.watches.lock().unwrap().is_empty());
    let mut client = fixture.client();
    client.submit(1);
    listener.wait_for_syn();
    fixture.discovery.send_change(&known(&[listener.port, port]).replace("\"seq\":1", "\"seq\":2"));
    wait_until("the second attempt", || fixture.received_commands() == 1);
    let received = listener.accept_and_read(ms(1500));
    latch.open();
    assert_eq!(client.reply_text(), "value");
    received
}

/// The first attempt was written whenever its connection came up, long after the second one had run.
#[test]
fn an_overtaken_attempt_is_not_written_after_the_window() {
    assert_eq!(written_to_the_overtaken_attempt(("\"window_us\":5000000", "\"window_us\":450000")), b"");
}

/// Within the window the overtaken attempt is written.
#[test]
fn an_overtaken_attempt_is_written_within_the_window() {
    assert!(!written_to_the_overtaken_attempt(("\"window_us\":5000000", "\"window_us\":4000000")).is_empty());
}

/// The first attempt is written in part when the second one runs, and its backend takes the rest after the window.
#[test]
fn a_partly_written_attempt_is_not_completed_after_the_window() {
    let journal = Journal::default();
    let latch = Latch::closed();
    let ports = [(); 2]
        .map(|()| common::backend(journal.clone(), move |_, _| BackendAction::ReplyWhen(latch, GOOD_REPLY)));
    let connections = Arc::new(AtomicUsize::new(0));
    let stall_first = move |stream: Box<dyn Stream>| {
        // Connections to discovery are not counted.
        let is_first =
            ports.contains(&stream.peer().port()) && connections.fetch_add(1, Ordering::SeqCst) == 0;
        match is_first {
            true => Box::new(StallingStream::new(stream, 50, ms(1200))) as Box<dyn Stream>,
            false => stream,
        }
    };
    let fixture = Fixture::start_on(
        |system| Arc::new(FaultyRuntime::new(system).connected_streams(stall_first)),
        journal,
        discovery(known(&ports)),
        &ports,
        &[TWO_ATTEMPTS, ("\"window_us\":5000000", "\"window_us\":450000")],
    );
    let mut client = fixture.client();
    client.submit(1);
    wait_until("the second attempt", || fixture.received_commands() == 1);
    std::thread::sleep(ms(1500));
    assert_eq!(fixture.received_commands(), 1, "the first attempt was completed");
    latch.open();
    assert_eq!(client.reply_text(), "value");
}
