//! The command `chalkgap platform` as a process of its own.
#![allow(dead_code)] // each test file uses its part

use crate::common;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub struct Running {
    pub child: Child,
    pub address: SocketAddr,
    pub file: PathBuf,
}

pub fn command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_chalkgap"));
    command.arg("platform").env_remove("RELAY_CONFIG").stdout(Stdio::null()).stderr(Stdio::piped());
    command
}

pub fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("chalkgap-platform-{}-{name}.json", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// Each process has an address of its own, and so has each fleet of each run of the tests.
pub fn address(fleet: u8, no: usize) -> Ipv4Addr {
    let pid = std::process::id();
    let third = (pid / 127 + u32::from(fleet)) % 250 + 1;
    Ipv4Addr::new(127, 64 + (pid % 127) as u8, third as u8, no as u8 + 1)
}

/// Where a fleet's process listens for clients.
pub fn listens(fleet: u8, no: usize) -> SocketAddr {
    (address(fleet, no), 6379).into()
}

/// Where a fleet's process hears its peers.
pub fn hears(fleet: u8, no: usize) -> SocketAddr {
    (address(fleet, no), 7946).into()
}

/// A text with each of these changed for another, which must be there.
pub fn changed(mut text: String, changes: &[(String, String)]) -> String {
    for (from, to) in changes {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    text
}

/// The configuration of a fleet's `no`-th process; `peers`: where it reaches each, by their numbers.
pub fn member(fleet: u8, no: usize, peers: &[SocketAddr], discovery: u16, backends: &[u16]) -> String {
    let n = peers.len();
    let text = common::config(n as u16, discovery, backends);
    let peers: Vec<String> = peers.iter().map(|a| format!("\"{a}\"")).collect();
    let own = [
        (vec!["\"127.0.0.1:1\""; n].join(","), peers.join(",")),
        ("\"slot_no\":0".into(), format!("\"slot_no\":{no}")),
        ("\"listen\":\"127.0.0.1:0\"".into(), format!("\"listen\":\"{}\"", listens(fleet, no))),
        ("\"peer_listen\":\"127.0.0.1:0\"".into(), format!("\"peer_listen\":\"{}\"", hears(fleet, no))),
    ];
    changed(text, &own)
}

impl Running {
    pub fn start(name: &str, text: &str) -> Running {
        let file = file(name, text);
        let mut child = command().env("RELAY_CONFIG", &file).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        let address = loop {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "it ended before it listened");
            if let Some((_, address)) =
                line.trim().split_once("address=").filter(|_| line.contains("started"))
            {
                break address.parse().unwrap();
            }
        };
        std::thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        Running { child, address, file }
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    pub fn ended(&mut self) -> Option<i32> {
        let until = Instant::now() + common::PATIENCE;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}
