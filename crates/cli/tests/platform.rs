//! `chalkgap platform`: its configuration, and signals while clients send requests.

use common::{backend, config, discovery, BackendAction, Client, Journal, GOOD_REPLY};
use running::{command, file, Running};
use rustix::process::Signal;
use std::io::Read;
use std::path::PathBuf;
use std::time::{Duration, Instant};

#[path = "../../platform/tests/common/mod.rs"]
mod common;
mod running;

fn known(ports: &[u16], seq: u64) -> String {
    common::known(ports).replace("\"seq\":1", &format!("\"seq\":{seq}"))
}

#[test]
fn an_invalid_configuration_is_reported_in_one_line() {
    let fails = |path: Option<&PathBuf>| {
        let mut command = command();
        path.map(|p| command.env("RELAY_CONFIG", p));
        let mut child = command.spawn().unwrap();
        let mut error = String::new();
        child.stderr.take().unwrap().read_to_string(&mut error).unwrap();
        assert_eq!(error.lines().count(), 1, "{error}");
        (child.wait().unwrap().code(), error)
    };
    let (code, error) = fails(None);
    assert_eq!(code, Some(3));
    assert!(error.contains("RELAY_CONFIG: expected the path"), "{error}");
    let broken = file("broken", "{\"name\": 1");
    let (code, error) = fails(Some(&broken));
    assert_eq!(code, Some(3));
    assert!(error.contains("broken.json") && error.contains("line 1"), "{error}");
    let occupied = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = format!("\"listen\":\"{}\"", occupied.local_addr().unwrap());
    let text = config(1, 1, &[]).replace("\"listen\":\"127.0.0.1:0\"", &listen);
    let path = file("taken", &text);
    let mut child = command().env("RELAY_CONFIG", &path).spawn().unwrap();
    let mut error = String::new();
    child.stderr.take().unwrap().read_to_string(&mut error).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(4));
    assert!(error.contains("listen: 127.0.0.1:") && error.contains("cannot be bound"), "{error}");
    let _ = (std::fs::remove_file(broken), std::fs::remove_file(path));
}

/// SIGHUP switches to another discovery address while clients send requests. An invalid file changes nothing.
#[test]
fn sighup_changes_the_discovery_address_under_load() {
    let old_journal = Journal::default();
    let new_journal = Journal::default();
    let ports = [
        backend(old_journal.clone(), |_, _| BackendAction::Reply(GOOD_REPLY)),
        backend(new_journal.clone(), |_, _| BackendAction::Reply(GOOD_REPLY)),
    ];
    let old_discovery = discovery(known(&ports[..1], 5));
    let new_discovery = discovery(known(&ports[1..], 6));
    let mut running = Running::start("hup", &config(1, old_discovery.port, &ports[..1]));
    let mut client = Client::connect(running.address);
    let mut id = 0;
    let mut ask = |client: &mut Client| {
        id += 1;
        client.query(id, 3000);
        assert_eq!(client.reply_text(), "value");
    };
    (0..20).for_each(|_| ask(&mut client));
    std::fs::write(&running.file, "not JSON").unwrap();
    running.signal(Signal::HUP);
    (0..20).for_each(|_| ask(&mut client));
    assert!(new_journal.lock().unwrap().is_empty());
    std::fs::write(&running.file, config(1, new_discovery.port, &ports[..1])).unwrap();
    running.signal(Signal::HUP);
    let until = Instant::now() + common::TEST_TIMEOUT;
    while new_journal.lock().unwrap().is_empty() {
        assert!(Instant::now() < until, "requests go to the backend of the new list");
        ask(&mut client);
    }
    let before = old_journal.lock().unwrap().len();
    (0..20).for_each(|_| ask(&mut client));
    assert_eq!(
        old_journal.lock().unwrap().len(),
        before,
        "no requests go to the backend that the new list lacks"
    );
    assert!(running.child.try_wait().unwrap().is_none(), "the process runs after SIGHUP");
}

/// Requests that were accepted before and just after SIGTERM are answered. Then the process ends with exit code 0.
#[test]
fn sigterm_under_load_answers_accepted_requests() {
    let journal = Journal::default();
    let port = backend(journal.clone(), |n, _| {
        if n == 0 {
            BackendAction::NoReply
        } else {
            BackendAction::Reply(GOOD_REPLY)
        }
    });
    let discovery = discovery(known(&[port], 5));
    let mut running = Running::start("term", &config(1, discovery.port, &[port]));
    let mut slow = Client::connect(running.address);
    slow.submit(1);
    while journal.lock().unwrap().is_empty() {
        std::thread::sleep(Duration::from_millis(5));
    }
    running.signal(Signal::TERM);
    let mut client = Client::connect(running.address);
    let mut id = 100;
    let mut served = 0;
    loop {
        id += 1;
        client.query(id, 3000);
        match client.reply_text().as_str() {
            "value" => served += 1,
            "closed" => break, // the process closed the connection without reading the request
            other => panic!("{other}"),
        }
    }
    assert!(served > 0, "new connections are served after SIGTERM");
    let answer = slow.reply_text();
    assert!(answer == "value" || answer.starts_with('-'), "{answer}");
    assert_eq!(running.exit_code(), Some(0));
}
