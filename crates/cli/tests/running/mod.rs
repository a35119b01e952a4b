//! Starts `chalkgap platform` processes.
#![allow(dead_code)] // not every test binary uses all of it

use crate::common;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A running `chalkgap platform` process. Killed when dropped.
pub struct Running {
    pub child: Child,
    /// Address on which it listens for clients.
    pub address: SocketAddr,
    /// Path of its configuration file, which is removed when this is dropped.
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

/// Whether a process handles SIGTERM, from the mask of caught signals in `/proc`.
pub fn handles_sigterm(child: &Child) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap();
    let mask = status.lines().find_map(|line| line.strip_prefix("SigCgt:")).unwrap().trim().to_owned();
    u64::from_str_radix(&mask, 16).unwrap() & (1 << (Signal::TERM.as_raw() - 1)) != 0
}

/// Returns the address of a process. It differs between processes, fleets, and test runs at the same time.
pub fn address(fleet: u8, no: usize) -> Ipv4Addr {
    let pid = std::process::id();
    let third = (pid / 127 + u32::from(fleet)) % 250 + 1;
    Ipv4Addr::new(127, 64 + (pid % 127) as u8, third as u8, no as u8 + 1)
}

/// Address on which a process of a fleet listens for clients.
pub fn client_address(fleet: u8, no: usize) -> SocketAddr {
    (address(fleet, no), 6379).into()
}

/// Address on which a process of a fleet receives datagrams of its peers.
pub fn peer_address(fleet: u8, no: usize) -> SocketAddr {
    (address(fleet, no), 7946).into()
}

/// Makes replacements in a configuration, each as (old text, new text). Panics if an old text does not occur.
pub fn with_replacements(mut text: String, changes: &[(String, String)]) -> String {
    for (from, to) in changes {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    text
}

/// Returns the configuration of a fleet's `no`-th process. `peers` are the addresses at which it reaches all processes, by
/// number.
pub fn member_config(fleet: u8, no: usize, peers: &[SocketAddr], discovery: u16, backends: &[u16]) -> String {
    let n = peers.len();
    let text = common::config(n as u16, discovery, backends);
    let peers: Vec<String> = peers.iter().map(|a| format!("\"{a}\"")).collect();
    let own = [
        (vec!["\"127.0.0.1:1\""; n].join(","), peers.join(",")),
        ("\"slot_no\":0".into(), format!("\"slot_no\":{no}")),
        ("\"listen\":\"127.0.0.1:0\"".into(), format!("\"listen\":\"{}\"", client_address(fleet, no))),
        (
            "\"peer_listen\":\"127.0.0.1:0\"".into(),
            format!("\"peer_listen\":\"{}\"", peer_address(fleet, no)),
        ),
    ];
    with_replacements(text, &own)
}

impl Running {
    /// Starts a process with the configuration `text` and waits until it logs the address on which it listens.
    pub fn start(name: &str, text: &str) -> Running {
        let file = file(name, text);
        let mut child = command().env("RELAY_CONFIG", &file).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        let address = loop {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "the process ended before it listened");
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

    /// Waits for the process to end. Returns its exit code, or `None` if it still runs after [`common::TEST_TIMEOUT`].
    pub fn exit_code(&mut self) -> Option<i32> {
        let deadline = Instant::now() + common::TEST_TIMEOUT;
        while Instant::now() < deadline {
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
