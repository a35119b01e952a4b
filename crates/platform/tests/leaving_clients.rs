//! Clients that leave while their requests are open, and ids that come again.

use common::{BackendAction, Client, Latch, GOOD_REPLY};
use rig::{always, ms, queries, submit, wait_until, Fixture, Script};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

mod common;
mod rig;

const FIRST_ID: u64 = 100;
/// Length of the body of a long submit.
const LONG_BODY_BYTES: usize = 64 << 10;
/// An attempt that begins later than this after its client has left is a lost request; each time limit is 50 ms longer on sockets.
const LATEST_ATTEMPT: Duration = Duration::from_millis(100 + 50);

/// Number of times that each id has arrived at backends.
fn arrivals(fixture: &Fixture) -> HashMap<String, usize> {
    let mut arrivals = HashMap::new();
    for arguments in fixture.journal.lock().unwrap().iter() {
        *arrivals.entry(arguments[2].clone()).or_default() += 1;
    }
    arrivals
}

/// A client sends `commands`, leaves and sends them again.
fn check_that_no_id_runs_twice(commands: &[u8]) {
    let latch = Latch::closed();
    let fixture = Fixture::start(vec![always(BackendAction::ReplyWhen(latch, GOOD_REPLY))]);
    let mut first = fixture.client();
    first.write(commands);
    wait_until("the first attempt", || fixture.received_commands() > 0);
    sleep(ms(100));
    drop(first);
    sleep(ms(20));
    let mut second = fixture.client();
    second.write(commands);
    sleep(ms(300));
    let ran_twice = arrivals(&fixture).into_values().filter(|count| *count > 1).count();
    assert_eq!(ran_twice, 0, "ids ran twice");
    let refused = second.reply_text();
    assert!(refused.starts_with("-ERR id"), "{refused}");
    latch.open();
}

/// The id of a request was free as soon as its client had left, although an attempt of it was under way: it ran twice.
#[test]
fn an_id_that_comes_again_does_not_run_while_an_attempt_of_it_may_run() {
    check_that_no_id_runs_twice(&queries(FIRST_ID, 20));
    let submits = (FIRST_ID..FIRST_ID + 20).flat_map(|id| submit(id, "body"));
    check_that_no_id_runs_twice(&submits.collect::<Vec<_>>());
}

/// An id is free again once its request has been answered.
#[test]
fn an_id_may_come_again_after_its_answer() {
    let fixture = Fixture::start(vec![always(BackendAction::Reply(GOOD_REPLY))]);
    let mut client = fixture.client();
    for _ in 0..3 {
        client.query(FIRST_ID, 3000);
        assert_eq!(client.reply_text(), "value");
    }
}

/// The end of a connection stands behind the bytes that are not read: attempts went on for as long as there were commands.
#[test]
fn no_attempt_begins_after_a_client_has_left_with_much_unread() {
    let arrived_at: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let script = || {
        let arrived_at = arrived_at.clone();
        let script: Script = Box::new(move |_, _| {
            arrived_at.lock().unwrap().push(Instant::now());
            sleep(ms(400));
            BackendAction::Reply(GOOD_REPLY)
        });
        script
    };
    let fixture = Fixture::start((0..9).map(|_| script()).collect());
    let body = "x".repeat(LONG_BODY_BYTES);
    let client: Client = fixture.client();
    client.stream.set_nonblocking(true).unwrap();
    let began = Instant::now();
    let first = (FIRST_ID..FIRST_ID + 32).flat_map(|id| submit(id, "body"));
    let behind = (FIRST_ID + 32..FIRST_ID + 332).flat_map(|id| submit(id, &body));
    let mut unsent: Vec<u8> = first.chain(behind).collect();
    while began.elapsed() < ms(200) {
        // A client that leaves with unread answers resets the connection, which does not hide the end.
        while (&client.stream).read(&mut [0; 4096]).is_ok_and(|count| count > 0) {}
        match (&client.stream).write(&unsent) {
            Ok(count) => drop(unsent.drain(..count)),
            Err(_) => sleep(ms(1)),
        }
    }
    drop(client);
    let left_at = Instant::now();
    sleep(ms(2500));
    let arrived_at = arrived_at.lock().unwrap();
    let late = arrived_at.iter().filter(|at| **at > left_at + LATEST_ATTEMPT).count();
    assert_eq!(late, 0, "of {} attempts began late", arrived_at.len());
}
