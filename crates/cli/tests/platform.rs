//! The command on the platform: its configuration, and its signals while clients ask.

use common::{backend, config, discovery, Act, Client, Journal, GOOD};
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
fn a_configuration_that_is_not_taken_is_one_clear_line() {
    let fails = |path: Option<&PathBuf>| {
        let mut command = command();
        path.map(|p| command.env("RELAY_CONFIG", p));
        let mut child = command.spawn().unwrap();
        let mut said = String::new();
        child.stderr.take().unwrap().read_to_string(&mut said).unwrap();
        assert_eq!(said.lines().count(), 1, "{said}");
        (child.wait().unwrap().code(), said)
    };
    let (code, said) = fails(None);
    assert_eq!(code, Some(3));
    assert!(said.contains("RELAY_CONFIG: expected the path"), "{said}");
    let broken = file("broken", "{\"name\": 1");
    let (code, said) = fails(Some(&broken));
    assert_eq!(code, Some(3));
    assert!(said.contains("broken.json") && said.contains("line 1"), "{said}");
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let listen = format!("\"listen\":\"{}\"", taken.local_addr().unwrap());
    let text = config(1, 1, &[]).replace("\"listen\":\"127.0.0.1:0\"", &listen);
    let path = file("taken", &text);
    let mut child = command().env("RELAY_CONFIG", &path).spawn().unwrap();
    let mut said = String::new();
    child.stderr.take().unwrap().read_to_string(&mut said).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(4));
    assert!(said.contains("listen: 127.0.0.1:") && said.contains("cannot be bound"), "{said}");
    let _ = (std::fs::remove_file(broken), std::fs::remove_file(path));
}

/// Discovery moves while clients ask; a file that cannot be read changes nothing.
#[test]
fn sighup_moves_discovery_under_load() {
    let (old, new) = (Journal::default(), Journal::default());
    let ports = [backend(old.clone(), |_, _| Act::Say(GOOD)), backend(new.clone(), |_, _| Act::Say(GOOD))];
    let (a, b) = (discovery(known(&ports[..1], 5)), discovery(known(&ports[1..], 6)));
    let mut running = Running::start("hup", &config(1, a.port, &ports[..1]));
    let mut client = Client::connect(running.address);
    let mut id = 0;
    let mut ask = |client: &mut Client| {
        id += 1;
        client.query(id, 3000);
        assert_eq!(client.text(), "value");
    };
    (0..20).for_each(|_| ask(&mut client));
    std::fs::write(&running.file, "not JSON").unwrap();
    running.signal(Signal::HUP);
    (0..20).for_each(|_| ask(&mut client));
    assert!(new.lock().unwrap().is_empty());
    std::fs::write(&running.file, config(1, b.port, &ports[..1])).unwrap();
    running.signal(Signal::HUP);
    let until = Instant::now() + common::PATIENCE;
    while new.lock().unwrap().is_empty() {
        assert!(Instant::now() < until, "the new list is followed");
        ask(&mut client);
    }
    let before = old.lock().unwrap().len();
    (0..20).for_each(|_| ask(&mut client));
    assert_eq!(old.lock().unwrap().len(), before, "what the new list does not have is gone");
    assert!(running.child.try_wait().unwrap().is_none(), "SIGHUP ends nothing");
}

/// What was taken before and just after SIGTERM gets its answer; then the process ends well.
#[test]
fn sigterm_under_load_answers_what_was_taken() {
    let journal = Journal::default();
    let port = backend(journal.clone(), |n, _| if n == 0 { Act::Nothing } else { Act::Say(GOOD) });
    let d = discovery(known(&[port], 5));
    let mut running = Running::start("term", &config(1, d.port, &[port]));
    let mut slow = Client::connect(running.address);
    slow.submit(1);
    while journal.lock().unwrap().is_empty() {
        std::thread::sleep(Duration::from_millis(5));
    }
    running.signal(Signal::TERM);
    let (mut kept, mut id, mut served) = (Client::connect(running.address), 100, 0);
    loop {
        id += 1;
        kept.query(id, 3000);
        match kept.text().as_str() {
            "value" => served += 1,
            "closed" => break, // between requests: the last one was not read
            other => panic!("{other}"),
        }
    }
    assert!(served > 0, "connections still came after SIGTERM");
    let answer = slow.text();
    assert!(answer == "value" || answer.starts_with('-'), "{answer}");
    assert_eq!(running.ended(), Some(0));
}
