//! An ingress on real connections while discovery hangs, rejects requests or is down. The table of all such cases is
//! `docs/design/endings.md`; the virtual clock's part is in `discovery.rs`.

use common::{backend, known, Act, Journal, GOOD, PATIENCE};
use rig::{ms, scripted, until, Fixture};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Instant;

mod common;
mod rig;

const REJECTION: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

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
fn a_change_is_known_within_six_seconds_whatever_happens_to_requests() {
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

/// Lists are asked for, and the service refuses, as it has more calls than it can take: it is left alone for longer each time,
/// and is asked within four seconds when it can be reached again. Seen where 22 of 32 ingresses asked it ten times a second each,
/// and neither they nor the others had a change within half a minute.
#[test]
fn a_rejecting_service_is_retried_with_backoff() {
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
            let _ = stream.write_all(REJECTION);
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
fn an_outage_that_ends_between_two_polls_is_noticed() {
    let (old, new) = (Journal::default(), Journal::default());
    let ports = [backend(old, |_, _| Act::Say(GOOD)), backend(new.clone(), |_, _| Act::Say(GOOD))];
    let calls = Arc::new(AtomicUsize::new(0));
    let c = calls.clone();
    let list = known(&ports[1..]).replace("\"seq\":1", "\"seq\":2");
    let at = agent(list, move |_, _, stream, list| match c.fetch_add(1, Ordering::SeqCst) {
        0 | 1 => {
            std::thread::sleep(ms(2010));
            let _ = stream.write_all(REJECTION);
        }
        2 => stream.write_all(REJECTION).unwrap_or_default(),
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
fn idle_clients_do_not_block_discovery() {
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
