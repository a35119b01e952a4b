//! The command `chalkgap platform` as a process of its own.
#![allow(dead_code)] // each test file uses its part

use crate::common;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
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
