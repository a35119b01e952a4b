//! The ends of connections to backends, forced on real connections every time. The table of all of them is
//! `docs/design/endings.md`.

use common::{known, Act, Journal, Latch, GOOD};
use rig::{first, ms, next_command, scripted, until, Fixture, Late};
use std::io::Write;

mod common;
mod rig;

/// A connection that comes up after its client has left, after its backend was told to drain, or when the repeat window is
/// over: nothing is written on it.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario in its order")]
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
            let (late, gate, journal) = (Late::new(), Latch::closed(), Journal::default());
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
fn a_late_second_reply_is_never_served() {
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
fn a_partial_line_on_an_idle_connection_is_harmless() {
    let noise = Latch::closed();
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

/// Answers that are cut, have no end, or come with too much, in these orders too: the client gets one whole answer.
#[test]
fn malformed_replies_end_in_one_final_answer() {
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
