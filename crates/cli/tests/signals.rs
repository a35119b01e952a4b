//! Signals in series, as supervisors and terminals send them: the accepted requests are answered nevertheless.

use chalkgap::runtime::system::System;
use chalkgap_testbed::journal::{Journal as NodeJournal, Seen};
use chalkgap_testbed::node::{Faults, Machine, Node};
use common::{backend, config, discovery, known, BackendAction, Client, Journal, Latch, GOOD_REPLY};
use running::{command, file, Running};
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

#[path = "../../platform/tests/common/mod.rs"]
mod common;
mod running;

/// Longer than the time within which a second SIGINT counts as a repetition of the first.
const INTERRUPT_PAUSE: Duration = Duration::from_millis(600);

fn signal(child: &Child, signal: Signal) {
    kill_process(Pid::from_child(child), signal).unwrap();
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + common::TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A process that drains must not end before its accepted requests are answered, whatever follows the first signal.
#[test]
fn repeated_signals_do_not_end_a_drain() {
    let series: [&[Signal]; 3] = [
        &[Signal::TERM, Signal::TERM, Signal::TERM],
        &[Signal::TERM, Signal::HUP, Signal::TERM, Signal::INT],
        &[Signal::INT, Signal::INT, Signal::TERM, Signal::HUP],
    ];
    for (no, signals) in series.iter().enumerate() {
        let latch = Latch::closed();
        let journal = Journal::default();
        let port = backend(journal.clone(), |_, _| BackendAction::ReplyWhen(latch, GOOD_REPLY));
        let discovery = discovery(known(&[port]));
        let mut running = Running::start(&format!("series{no}"), &config(1, discovery.port, &[port]));
        let mut client = Client::connect(running.address);
        client.submit(1);
        wait_until("the request at the backend", || journal.lock().unwrap().len() == 1);
        for signal in *signals {
            running.signal(*signal);
            std::thread::sleep(Duration::from_millis(20)); // equal signals that are pending together arrive once
        }
        latch.open();
        assert_eq!(client.reply_text(), "value", "{signals:?}");
        assert_eq!(running.exit_code(), Some(0), "{signals:?}");
    }
}

/// A person at a terminal can end a drain by a second SIGINT.
#[test]
fn a_second_interrupt_ends_a_drain_at_once() {
    let journal = Journal::default();
    let port = backend(journal.clone(), |_, _| BackendAction::NoReply);
    let discovery = discovery(known(&[port]));
    let mut running = Running::start("interrupt", &config(1, discovery.port, &[port]));
    let mut client = Client::connect(running.address);
    client.submit(1);
    wait_until("the request at the backend", || journal.lock().unwrap().len() == 1);
    running.signal(Signal::INT);
    std::thread::sleep(INTERRUPT_PAUSE);
    running.signal(Signal::INT);
    assert_eq!(client.reply_text(), "closed");
    assert_eq!(running.exit_code(), Some(0));
}

/// A process that is told to stop before it listens must not begin to listen: its host kills it at a time counted from the signal.
#[test]
fn a_signal_during_the_start_ends_the_process() {
    let silent_discovery = TcpListener::bind("127.0.0.1:0").unwrap(); // never accepts, so the start waits for its list
    let port = silent_discovery.local_addr().unwrap().port();
    let file = file("early", &config(1, port, &[1]));
    let mut child = command().env("RELAY_CONFIG", &file).spawn().unwrap();
    wait_until("signal handlers", || running::handles_sigterm(&child));
    signal(&child, Signal::HUP);
    signal(&child, Signal::TERM);
    let mut log = String::new();
    child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(0), "{log}");
    assert!(!log.contains("started"), "{log}");
    std::fs::remove_file(file).unwrap();
}

const SERVE_SETTINGS: &str = r#"
settings = {
    "fleet": {"ingresses": 1, "me": 0, "zones": ["a"], "zone": "a"},
    "front": {"listen": "127.0.0.1:0"},
    "classes": [{"name": "sig-check", "aim_ms": 1000, "deadline_ms": 2000, "repeat": "safe"}],
    "plans": [{"name": "all", "rate": 10000, "burst": 10000}],
    "accounts": {"one": {"plan": "all"}},
    "rules": {"drain_grace_ms": 2000, "cold_from": 0.2, "cold_ms": 0, "fall_factor": 3.0, "fall_ms": 2000},
    "nodes": {"source": {"file": {"path": given["list"]}}},
}
"#;

/// Starts a node that accepts requests and answers none. It runs until the test process ends.
fn hanging_node(journal: NodeJournal) -> SocketAddr {
    let (sender, address) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let system = System::new();
        system.clone().run(async move {
            let at = "127.0.0.1:0".parse().unwrap();
            let node = Node::start(system.clone(), at, Machine::default(), journal).unwrap();
            node.set_faults(Faults { hang: true, ..Faults::default() });
            sender.send(node.address()).unwrap();
            std::future::pending::<()>().await;
        });
    });
    address.recv().unwrap()
}

/// Starts `chalkgap serve` with one node. Returns the process, and the folder of its files.
fn start_serve(name: &str, node: SocketAddr, stdout: Stdio) -> (Child, PathBuf) {
    let folder = std::env::temp_dir().join(format!("chalkgap-signals-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let list = folder.join("list.json");
    std::fs::write(&list, format!(r#"{{"nodes": [{{"address": "{node}", "zone": "a"}}]}}"#)).unwrap();
    let settings = folder.join("settings.star");
    std::fs::write(&settings, SERVE_SETTINGS).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_chalkgap"))
        .arg("serve")
        .arg(&settings)
        .args(["--set", &format!("list={}", list.display())])
        .stdout(stdout)
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    (child, folder)
}

/// `serve` must not end because nobody reads the line that it prints.
#[test]
fn serve_runs_with_a_closed_standard_output() {
    let (reader, writer) = UnixStream::pair().unwrap();
    drop(reader);
    let node = ([127, 0, 0, 1], 1).into();
    let (mut ingress, folder) = start_serve("closed", node, Stdio::from(OwnedFd::from(writer)));
    wait_until("signal handlers", || running::handles_sigterm(&ingress));
    signal(&ingress, Signal::TERM);
    assert_eq!(ingress.wait().unwrap().code(), Some(0));
    std::fs::remove_dir_all(folder).unwrap();
}

/// `serve` answers the accepted requests too: SIGHUP does not end it, and a second SIGTERM does not end its drain.
#[test]
fn serve_answers_accepted_requests_after_repeated_signals() {
    let journal = NodeJournal::default();
    let node = hanging_node(journal.clone());
    let (mut ingress, folder) = start_serve("series", node, Stdio::piped());
    let line = BufReader::new(ingress.stdout.take().unwrap()).lines().next().unwrap().unwrap();
    let addresses: serde_json::Value = serde_json::from_str(&line).unwrap();
    signal(&ingress, Signal::HUP);
    let mut ask = Command::new(env!("CARGO_BIN_EXE_chalkgap"))
        .args(["ask", addresses["grpc"].as_str().unwrap(), "--account", "one", "--class", "sig-check"])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    wait_until("the request at the node", || {
        journal.entries().iter().any(|(_, seen)| matches!(seen, Seen::Arrived { .. }))
    });
    for repeated in [Signal::TERM, Signal::TERM, Signal::HUP] {
        signal(&ingress, repeated);
        std::thread::sleep(Duration::from_millis(20)); // equal signals that are pending together arrive once
    }
    // A request of a class that may be repeated is refused at its deadline; 11 would be a broken connection.
    assert_eq!(ask.wait().unwrap().code(), Some(10));
    assert_eq!(ingress.wait().unwrap().code(), Some(0));
    std::fs::remove_dir_all(folder).unwrap();
}
