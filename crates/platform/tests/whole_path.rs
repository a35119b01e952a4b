//! The ingress on loopback, judged from what clients and backends saw on their sockets.

use common::{backend, Act, Journal, GOOD};
use rig::{always, first, Fixture};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

mod common;
mod rig;

#[test]
fn a_request_is_forwarded_unchanged_but_for_its_deadline() {
    let f = Fixture::start(vec![always(Act::Say(GOOD))]);
    let mut c = f.client();
    c.send(&["PING"]);
    assert_eq!(c.text(), "+PONG");
    c.query(1, 900);
    c.submit(2);
    assert_eq!((c.text(), c.text()), ("value".into(), "value".into()));
    let seen = f.journal.lock().unwrap().clone();
    assert_eq!(seen.len(), 2);
    let query = seen.iter().find(|w| w[0] == "SVC.QUERY").unwrap();
    assert_eq!(query[1..3], ["0000000000000007", "0000000000000001"]);
    let d: u64 = query[3].split(',').find_map(|i| i.strip_prefix("d=")).unwrap().parse().unwrap();
    assert!((1..=900).contains(&d), "{d}");
    assert_eq!(
        query[3].replace(&format!("d={d}"), "d=900"),
        "c=sig-check,t=team,d=900,units=1,spread=1,first=0"
    );
    let submit = seen.iter().find(|w| w[0] == "SVC.SUBMIT").unwrap();
    assert!(submit[3].contains("k=5c0f6e1a2b3d4c59") && submit[4] == "body");
}

/// The table of outcomes, row by row, as a client of a class that may not run twice elsewhere sees it: what never ran is
/// tried again or refused, what may have run is tried again in its cell with its key.
#[test]
fn outcomes_row_by_row() {
    // Spoilt in several ways, an error, turned away, ended after the request: all are tried again with the same key.
    for act in [
        Act::Say(b"noise\r\n"),
        Act::Say(b"*3\r\n$3000000000\r\nvvvv"),
        Act::Say(b"*3\r\n$4\r\nvalue\r\n$-1\r\n$-1\r\n"),
        Act::Say(b"-ERR failed\r\n"),
        Act::Say(b"-BUSY\r\n"),
        Act::SayAndEnd(b""),
        Act::SayAndEnd(b"*3\r\n$5\r\nva"),
    ] {
        let f = Fixture::start(vec![first(act, Act::Say(GOOD)), first(act, Act::Say(GOOD))]);
        let mut c = f.client();
        c.submit(1);
        assert_eq!(c.text(), "value", "served with nothing but a whole answer");
        let seen = f.journal.lock().unwrap();
        assert!(seen.len() >= 2 && seen.iter().all(|w| w[3].contains("k=5c0f6e1a2b3d4c59")));
    }
    // Nobody listens: it never ran, and the refusal says so at once.
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port();
    let f = Fixture::over(Journal::default(), &[closed], &[]);
    let mut c = f.client();
    c.submit(1);
    assert!(c.text().starts_with("-BUSY"));
    // It never answers and may have run: failed, in time, and not refused.
    let f = Fixture::start(vec![always(Act::Nothing)]);
    let mut c = f.client();
    c.submit(1);
    assert!(c.text().starts_with("-ERR"));
}

/// What comes behind a good answer belongs to nobody: the next request must not take it for its own.
#[test]
fn bytes_behind_a_reply_are_never_served() {
    const TWICE: &[u8] = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n*3\r\n$5\r\nother\r\n$-1\r\n$-1\r\n";
    let f = Fixture::start(vec![first(Act::Say(TWICE), Act::Say(GOOD))]);
    let mut c = f.client();
    for id in 1..20 {
        c.query(id, 2000);
        assert_eq!(c.text(), "value");
    }
}

/// Bad clients get an error or a close, no word of theirs reaches a backend, and a usual client beside them is served.
#[test]
fn misbehaving_clients_do_not_harm_others() {
    let f = Fixture::start(vec![always(Act::Say(GOOD))]);
    let mut good = f.client();
    let list = "c=sig-check,t=team,d=480,units=1,spread=1,first=0";
    let bad_lists = [
        list.replace("team", "gold"),
        list.replace("sig-check", "x"),
        list.replace("480", "-480"),
        list.replace("480", "soon"),
        list.replace("units=1", "units=1000000"),
        list.replace("units=1", "units=-1"),
        list.replace("spread=1", "spread=99"),
        list.replace("first=0", "first=x"),
        String::new(),
    ];
    for (n, bad) in bad_lists.iter().enumerate() {
        let mut c = f.client();
        c.send(&["SVC.QUERY", "0000000000000007", "00000000000000aa", bad]);
        let text = c.text();
        assert!(text.starts_with("-ERR"), "{bad}: {text}");
        good.query(n as u64 + 1, 2000);
        assert_eq!(good.text(), "value");
    }
    let raw: [&[u8]; 7] = [
        b"GET / HTTP/1.1\r\n\r\n",
        &[b'x'; 5000],
        b"*4\r\n$-5\r\n",
        b"*99999999\r\n",
        b"*4\r\n$9\r\nSVC.QUERY\r\n$60000000\r\nxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
        b"*1\r\n$3\r\nPINGPING\r\n",
        b"\r\n\r\n",
    ];
    for (n, bytes) in raw.iter().enumerate() {
        let mut c = f.client();
        c.write(bytes);
        let text = c.text();
        assert!(text.starts_with("-ERR") || text == "closed", "{text}");
        good.query(n as u64 + 100, 2000);
        assert_eq!(good.text(), "value");
    }
    assert_eq!(f.seen(), bad_lists.len() + raw.len(), "only the usual client's requests reached a backend");
}

/// Silence and half a command end in an error and a close, and not by somebody else's clock.
#[test]
fn silent_clients_and_partial_commands_time_out() {
    let f = Fixture::start(vec![always(Act::Say(GOOD))]);
    let (mut silent, mut half) = (f.client(), f.client());
    half.write(b"*4\r\n$9\r\nSVC.QU");
    for c in [&mut silent, &mut half] {
        assert!(c.text().starts_with("-ERR"));
        assert_eq!(c.text(), "closed");
    }
    // One that sends whole commands without a pause always has a piece of the next one there: it is no half command.
    let mut busy = f.client();
    let mut one = bytes::BytesMut::new();
    let list = "c=sig-check,t=team,d=480,units=1,spread=1,first=0";
    for n in 0..60u64 {
        let id = format!("{:016x}", n + 500);
        one.clear();
        let words: [&[u8]; 4] = [b"SVC.QUERY", b"0000000000000007", id.as_bytes(), list.as_bytes()];
        chalkgap_resp::put_command(&mut one, &words);
        busy.write(if n == 0 { &one } else { &one[10..] });
        busy.write(&one[..10]); // the beginning of the next
        assert_eq!(busy.text(), "value");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// The id of an open request is taken once; its owner's request is unharmed.
#[test]
fn an_open_id_cannot_be_reused() {
    let f = Fixture::start(vec![always(Act::Nothing)]);
    let (mut owner, mut thief) = (f.client(), f.client());
    owner.submit(5);
    while f.seen() == 0 {
        std::thread::sleep(Duration::from_millis(5));
    }
    thief.submit(5);
    assert_eq!(thief.text(), "-ERR id: a request of this id is open");
    assert_eq!(owner.text(), "-ERR no answer in time");
    thief.submit(5);
    assert!(thief.text() != "-ERR id: a request of this id is open", "it is open no more");
}

/// A drain told by a change reaches the module: no request goes there any more. An address that comes back under another
/// name is another backend.
#[test]
fn discovery_changes_move_the_load() {
    let journal = Journal::default();
    let (old, new) = (Journal::default(), Journal::default());
    let ports = [backend(old.clone(), always(Act::Say(GOOD))), backend(new.clone(), always(Act::Say(GOOD)))];
    let f = Fixture::over(journal, &ports[..1], &[]);
    let mut c = f.client();
    c.query(1, 2000);
    assert_eq!((c.text(), old.lock().unwrap().len()), ("value".into(), 1));
    while f.discovery.watches.lock().unwrap().is_empty() {
        std::thread::sleep(Duration::from_millis(5));
    }
    let line = |host: &str, port: u16, health: &str| {
        format!(
            r#"{{"host":"{host}","dial":"127.0.0.1:{port}","site":"bldg-b","class":"k","block":2,"health":"{health}","share":1.0,"born_ms":0}}"#
        )
    };
    let (name, other) = (format!("s-{}", ports[0]), line("s-new", ports[1], "ready"));
    let change =
        format!(r#"{{"seq":2,"whole":false,"hosts":[{},{other}]}}"#, line(&name, ports[0], "draining"));
    f.discovery.tell(&change);
    let mut id = 1;
    while new.lock().unwrap().is_empty() {
        id += 1;
        c.query(id, 2000);
        assert_eq!(c.text(), "value");
    }
    let before = old.lock().unwrap().len();
    for n in 0..20 {
        c.query(1000 + n, 2000);
        assert_eq!(c.text(), "value");
    }
    assert_eq!(old.lock().unwrap().len(), before, "nothing goes to one that drains");
    let change = format!(
        r#"{{"seq":3,"whole":true,"hosts":[{},{}]}}"#,
        line("s-reborn", ports[0], "ready"),
        line("s-new", ports[1], "draining")
    );
    f.discovery.tell(&change);
    let mut id = 2000;
    while old.lock().unwrap().len() == before {
        id += 1;
        c.query(id, 2000);
        assert_eq!(c.text(), "value");
    }
}

/// SIGTERM's way: new connections for a while, kept ones used until they are closed between requests, everything taken
/// answered, and then the end.
#[test]
fn a_drain_answers_accepted_requests() {
    let f = Fixture::start(vec![Box::new(|n, _| if n == 0 { Act::Nothing } else { Act::Say(GOOD) })]);
    let mut slow = f.client();
    slow.submit(1);
    while f.seen() == 0 {
        std::thread::sleep(Duration::from_millis(5));
    }
    let mut kept = f.client();
    kept.query(2, 2000);
    assert_eq!(kept.text(), "value");
    f.drain.close();
    let mut late = f.client();
    late.query(3, 2000);
    assert_eq!(late.text(), "value", "connections still come");
    kept.query(4, 2000);
    assert_eq!(kept.text(), "value", "kept ones are in use");
    assert_eq!(kept.text(), "closed", "between requests");
    assert!(slow.text().starts_with('-') || f.seen() > 1, "answered before the end");
    let until = Instant::now() + common::PATIENCE;
    while !f.end.load(Ordering::SeqCst) {
        assert!(Instant::now() < until, "it ends");
        std::thread::sleep(Duration::from_millis(10));
    }
}
