//! The ingress on loopback, tested by what clients and backends receive on their sockets.

use common::{backend, BackendAction, Journal, GOOD_REPLY};
use rig::{always, first, Fixture};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

mod common;
mod rig;

#[test]
fn a_request_is_forwarded_unchanged_but_for_its_deadline() {
    let fixture = Fixture::start(vec![always(BackendAction::Reply(GOOD_REPLY))]);
    let mut client = fixture.client();
    client.send(&["PING"]);
    assert_eq!(client.reply_text(), "+PONG");
    client.query(1, 900);
    client.submit(2);
    assert_eq!((client.reply_text(), client.reply_text()), ("value".into(), "value".into()));
    let commands = fixture.journal.lock().unwrap().clone();
    assert_eq!(commands.len(), 2);
    let query = commands.iter().find(|w| w[0] == "SVC.QUERY").unwrap();
    assert_eq!(query[1..3], ["0000000000000007", "0000000000000001"]);
    let deadline: u64 =
        query[3].split(',').find_map(|attribute| attribute.strip_prefix("d=")).unwrap().parse().unwrap();
    assert!((1..=900).contains(&deadline), "{deadline} ms");
    assert_eq!(
        query[3].replace(&format!("d={deadline}"), "d=900"),
        "c=sig-check,t=team,d=900,units=1,spread=1,first=0"
    );
    let submit = commands.iter().find(|w| w[0] == "SVC.SUBMIT").unwrap();
    assert!(submit[3].contains("k=5c0f6e1a2b3d4c59") && submit[4] == "body");
}

/// The replies that a client gets for each outcome of an attempt, in a class whose requests carry a key. A request that did not run
/// is retried or refused. A request that may have run is retried in its cell with its key.
#[test]
fn each_outcome_is_retried_or_reported() {
    // Malformed replies, an error, a rejection, a close after the command: each is retried with the same key.
    for action in [
        BackendAction::Reply(b"noise\r\n"),
        BackendAction::Reply(b"*3\r\n$3000000000\r\nvvvv"),
        BackendAction::Reply(b"*3\r\n$4\r\nvalue\r\n$-1\r\n$-1\r\n"),
        BackendAction::Reply(b"-ERR failed\r\n"),
        BackendAction::Reply(b"-BUSY\r\n"),
        BackendAction::ReplyAndClose(b""),
        BackendAction::ReplyAndClose(b"*3\r\n$5\r\nva"),
    ] {
        let fixture = Fixture::start(vec![
            first(action, BackendAction::Reply(GOOD_REPLY)),
            first(action, BackendAction::Reply(GOOD_REPLY)),
        ]);
        let mut client = fixture.client();
        client.submit(1);
        assert_eq!(client.reply_text(), "value", "the client gets only a complete reply");
        let commands = fixture.journal.lock().unwrap();
        assert!(commands.len() >= 2 && commands.iter().all(|w| w[3].contains("k=5c0f6e1a2b3d4c59")));
    }
    // The backend's port is closed: the request did not run, and it is refused at once.
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port();
    let fixture = Fixture::start_with_ports(Journal::default(), &[closed], &[]);
    let mut client = fixture.client();
    client.submit(1);
    assert!(client.reply_text().starts_with("-BUSY"));
    // The backend never replies: the request may have run, so it fails by its deadline and is not refused.
    let fixture = Fixture::start(vec![always(BackendAction::NoReply)]);
    let mut client = fixture.client();
    client.submit(1);
    assert!(client.reply_text().starts_with("-ERR"));
}

/// Bytes after a valid reply belong to no request. They must not be served as the reply to the next one.
#[test]
fn bytes_behind_a_reply_are_never_served() {
    const TWO_REPLIES: &[u8] = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n*3\r\n$5\r\nother\r\n$-1\r\n$-1\r\n";
    let fixture =
        Fixture::start(vec![first(BackendAction::Reply(TWO_REPLIES), BackendAction::Reply(GOOD_REPLY))]);
    let mut client = fixture.client();
    for id in 1..20 {
        client.query(id, 2000);
        assert_eq!(client.reply_text(), "value");
    }
}

/// Clients with invalid input get an error or a close, nothing of their input reaches a backend, and a valid client is served
/// meanwhile.
#[test]
fn misbehaving_clients_do_not_harm_others() {
    let fixture = Fixture::start(vec![always(BackendAction::Reply(GOOD_REPLY))]);
    let mut good = fixture.client();
    let attributes = "c=sig-check,t=team,d=480,units=1,spread=1,first=0";
    let bad_attributes = [
        attributes.replace("team", "gold"),
        attributes.replace("sig-check", "x"),
        attributes.replace("480", "-480"),
        attributes.replace("480", "soon"),
        attributes.replace("units=1", "units=1000000"),
        attributes.replace("units=1", "units=-1"),
        attributes.replace("spread=1", "spread=99"),
        attributes.replace("first=0", "first=x"),
        String::new(),
    ];
    for (n, bad) in bad_attributes.iter().enumerate() {
        let mut client = fixture.client();
        client.send(&["SVC.QUERY", "0000000000000007", "00000000000000aa", bad]);
        let reply = client.reply_text();
        assert!(reply.starts_with("-ERR"), "{bad}: {reply}");
        good.query(n as u64 + 1, 2000);
        assert_eq!(good.reply_text(), "value");
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
        let mut client = fixture.client();
        client.write(bytes);
        let reply = client.reply_text();
        assert!(reply.starts_with("-ERR") || reply == "closed", "{reply}");
        good.query(n as u64 + 100, 2000);
        assert_eq!(good.reply_text(), "value");
    }
    assert_eq!(
        fixture.received_commands(),
        bad_attributes.len() + raw.len(),
        "only the valid client's requests reached a backend"
    );
}

/// A silent client and one that sent a part of a command get an error, and their connections are closed. Timeouts are counted
/// for each client separately: another client that sends continuously is served.
#[test]
fn silent_clients_and_partial_commands_time_out() {
    let fixture = Fixture::start(vec![always(BackendAction::Reply(GOOD_REPLY))]);
    let (mut silent, mut partial) = (fixture.client(), fixture.client());
    partial.write(b"*4\r\n$9\r\nSVC.QU");
    for client in [&mut silent, &mut partial] {
        assert!(client.reply_text().starts_with("-ERR"));
        assert_eq!(client.reply_text(), "closed");
    }
    // A client that sends commands without a pause always has part of the next one buffered. That is not a partial command.
    let mut busy = fixture.client();
    let mut command = bytes::BytesMut::new();
    let attributes = "c=sig-check,t=team,d=480,units=1,spread=1,first=0";
    for n in 0..60u64 {
        let id = format!("{:016x}", n + 500);
        command.clear();
        let words: [&[u8]; 4] = [b"SVC.QUERY", b"0000000000000007", id.as_bytes(), attributes.as_bytes()];
        chalkgap_resp::put_command(&mut command, &words);
        busy.write(if n == 0 { &command } else { &command[10..] });
        busy.write(&command[..10]); // the first bytes of the next command
        assert_eq!(busy.reply_text(), "value");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// A request with the id of an open one is rejected, and the open request is not affected. The id is free again when its attempt,
/// which got no answer, cannot run any more and the window of its key has passed.
#[test]
fn an_open_id_cannot_be_reused() {
    let fixture = Fixture::start(vec![always(BackendAction::NoReply)]);
    let (mut owner, mut other) = (fixture.client(), fixture.client());
    owner.submit(5);
    while fixture.received_commands() == 0 {
        std::thread::sleep(Duration::from_millis(5));
    }
    let window_end = Instant::now() + Duration::from_secs(5);
    other.submit(5);
    assert_eq!(other.reply_text(), "-ERR id: a request of this id is open");
    assert_eq!(owner.reply_text(), "-ERR no answer in time");
    other.submit(5);
    assert_eq!(other.reply_text(), "-ERR id: a request of this id is open", "its attempt may still run");
    std::thread::sleep(window_end.saturating_duration_since(Instant::now()));
    other.submit(5);
    assert!(other.reply_text() != "-ERR id: a request of this id is open", "the id is free again");
}

/// A backend that a change marks as draining gets no further requests. An address that returns under another name is another
/// backend.
#[test]
fn requests_follow_discovery_changes() {
    let journal = Journal::default();
    let old_journal = Journal::default();
    let new_journal = Journal::default();
    let ports = [
        backend(old_journal.clone(), always(BackendAction::Reply(GOOD_REPLY))),
        backend(new_journal.clone(), always(BackendAction::Reply(GOOD_REPLY))),
    ];
    let fixture = Fixture::start_with_ports(journal, &ports[..1], &[]);
    let mut client = fixture.client();
    client.query(1, 2000);
    assert_eq!((client.reply_text(), old_journal.lock().unwrap().len()), ("value".into(), 1));
    while fixture.discovery.watches.lock().unwrap().is_empty() {
        std::thread::sleep(Duration::from_millis(5));
    }
    let backend_entry = |host: &str, port: u16, health: &str| {
        format!(
            r#"{{"host":"{host}","dial":"127.0.0.1:{port}","site":"bldg-b","class":"k","block":2,"health":"{health}","share":1.0,"born_ms":0}}"#
        )
    };
    let name = format!("s-{}", ports[0]);
    let other = backend_entry("s-new", ports[1], "ready");
    let change = format!(
        r#"{{"seq":2,"whole":false,"hosts":[{},{other}]}}"#,
        backend_entry(&name, ports[0], "draining")
    );
    fixture.discovery.send_change(&change);
    let mut id = 1;
    while new_journal.lock().unwrap().is_empty() {
        id += 1;
        client.query(id, 2000);
        assert_eq!(client.reply_text(), "value");
    }
    let before = old_journal.lock().unwrap().len();
    for n in 0..20 {
        client.query(1000 + n, 2000);
        assert_eq!(client.reply_text(), "value");
    }
    assert_eq!(old_journal.lock().unwrap().len(), before, "a draining backend got requests");
    let change = format!(
        r#"{{"seq":3,"whole":true,"hosts":[{},{}]}}"#,
        backend_entry("s-renamed", ports[0], "ready"),
        backend_entry("s-new", ports[1], "draining")
    );
    fixture.discovery.send_change(&change);
    let mut id = 2000;
    while old_journal.lock().unwrap().len() == before {
        id += 1;
        client.query(id, 2000);
        assert_eq!(client.reply_text(), "value");
    }
}

/// A drain, as SIGTERM starts it: the ingress accepts connections for a while, closes existing ones between requests, answers all
/// accepted requests, and stops.
#[test]
fn a_drain_answers_accepted_requests() {
    let fixture = Fixture::start(vec![Box::new(|n, _| {
        if n == 0 {
            BackendAction::NoReply
        } else {
            BackendAction::Reply(GOOD_REPLY)
        }
    })]);
    let mut slow = fixture.client();
    slow.submit(1);
    while fixture.received_commands() == 0 {
        std::thread::sleep(Duration::from_millis(5));
    }
    let mut existing = fixture.client();
    existing.query(2, 2000);
    assert_eq!(existing.reply_text(), "value");
    fixture.drain.close();
    let mut late = fixture.client();
    late.query(3, 2000);
    assert_eq!(late.reply_text(), "value", "connections are still accepted");
    existing.query(4, 2000);
    assert_eq!(existing.reply_text(), "value", "existing connections are still served");
    assert_eq!(existing.reply_text(), "closed", "closed between requests");
    let answer = slow.reply_text();
    assert!(answer == "value" || answer.starts_with('-'), "answered before the ingress stopped: {answer}");
    let deadline = Instant::now() + common::TEST_TIMEOUT;
    while !fixture.stopped.load(Ordering::SeqCst) {
        assert!(Instant::now() < deadline, "the ingress did not stop");
        std::thread::sleep(Duration::from_millis(10));
    }
}
