//! Clients of an ingress whose memory is short: which of them wait, which are closed, and which are served.

use common::{BackendAction, Client, GOOD_REPLY};
use rig::{always, ms, submit, Fixture};
use std::thread::sleep;
use std::time::{Duration, Instant};

mod common;
mod rig;

/// The limit is so low that 125 KB are left for the buffers of clients.
const SHORT_MEMORY: [(&str, &str); 1] = [("\"memory_mb\":64", "\"memory_mb\":4")];
/// A bad client is owed an error or a close within this time.
const BAD_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Length of the body of a long submit.
const LONG_BODY_BYTES: usize = 64 << 10;

fn long_submit(id: u64) -> Vec<u8> {
    submit(id, &"x".repeat(LONG_BODY_BYTES))
}

fn fixture() -> Fixture {
    Fixture::start_with_changes(vec![always(BackendAction::Reply(GOOD_REPLY))], &SHORT_MEMORY)
}

/// Connects a client that sends this part of a submit of 64 KiB.
fn half_submit(fixture: &Fixture, id: u64, sent_bytes: usize) -> Client {
    let mut client = fixture.client();
    client.write(&long_submit(id)[..sent_bytes]);
    client
}

/// The last one to come was the one that waited, however long the others had left their commands half sent.
#[test]
fn the_largest_and_oldest_half_command_makes_room() {
    let fixture = fixture();
    let mut largest = half_submit(&fixture, 1, 60_000);
    sleep(ms(100));
    let mut other = half_submit(&fixture, 2, 30_000);
    sleep(ms(400));
    let mut whole = fixture.client();
    let began = Instant::now();
    whole.write(&long_submit(3));
    assert_eq!(whole.reply_text(), "value");
    assert!(began.elapsed() < ms(500), "it took {:?}", began.elapsed());
    assert_eq!(largest.reply_text(), "-BUSY");
    other.write(&long_submit(2)[30_000..]);
    assert_eq!(other.reply_text(), "value");
}

/// While others hold all memory, a short command is served at once, and a long one that finds no room ends in time.
#[test]
fn short_commands_do_not_wait_for_memory() {
    let fixture = fixture();
    let _holders: Vec<Client> = (0..12).map(|id| half_submit(&fixture, 100 + id, 40_000)).collect();
    sleep(ms(100));
    let mut usual = fixture.client();
    for id in 0..20 {
        let began = Instant::now();
        usual.query(1000 + id, 3000);
        assert_eq!(usual.reply_text(), "value");
        assert!(began.elapsed() < ms(500), "it took {:?}", began.elapsed());
    }
    let began = Instant::now();
    let mut late = half_submit(&fixture, 200, 60_000);
    assert!(late.reply_text().starts_with('-'));
    assert_eq!(late.reply_text(), "closed");
    assert!(began.elapsed() < BAD_CLIENT_TIMEOUT, "it took {:?}", began.elapsed());
}

/// A client on a slow link is served as long as there is room.
#[test]
fn a_slow_client_is_served_when_there_is_room() {
    let fixture = fixture();
    let mut client = fixture.client();
    for part in long_submit(1).chunks(4096) {
        client.write(part);
        sleep(ms(60));
    }
    assert_eq!(client.reply_text(), "value");
}
