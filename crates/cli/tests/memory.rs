//! Memory of a `chalkgap platform` process. The test guards against state that grows with the number of customers seen.

use common::{backend, config, discovery, known, BackendAction, Journal, GOOD_REPLY};
use running::Running;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

#[path = "../../platform/tests/common/mod.rs"]
mod common;
#[path = "running/process_memory.rs"]
mod process_memory;
mod running;

/// The process's limit, in MB.
const MEMORY_LIMIT_MB: u64 = 16;
const CLIENTS: u64 = 20;
/// Commands that a client sends at once.
const COMMANDS_AT_ONCE: u64 = 400;
/// Commands of a client, each of a customer of its own.
const COMMANDS_OF_CLIENT: u64 = 4000;

/// Sends commands of ever new customers and reads all answers.
fn run_client(address: SocketAddr, number: u64) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(common::TEST_TIMEOUT)).unwrap();
    let mut chunk = [0; 64 << 10];
    for first in (0..COMMANDS_OF_CLIENT).step_by(COMMANDS_AT_ONCE as usize) {
        let mut batch = bytes::BytesMut::new();
        for offset in 0..COMMANDS_AT_ONCE {
            let customer = format!("{:016x}", number * COMMANDS_OF_CLIENT + first + offset);
            let attributes = b"c=sig-check,t=starter,d=4000,units=1,spread=1,first=0";
            let arguments = [&b"SVC.QUERY"[..], customer.as_bytes(), customer.as_bytes(), attributes];
            chalkgap_resp::put_command(&mut batch, &arguments);
        }
        stream.write_all(&batch).unwrap();
        let mut received = Vec::new();
        while count_answers(&received) < COMMANDS_AT_ONCE {
            let count = stream.read(&mut chunk).unwrap();
            assert!(count > 0, "the connection ended");
            received.extend_from_slice(&chunk[..count]);
        }
    }
}

/// Each answer is an error line or a value.
fn count_answers(received: &[u8]) -> u64 {
    received.split(|byte| *byte == b'\n').filter(|line| matches!(line.first(), Some(b'-' | b'$'))).count()
        as u64
}

/// Each customer's record was kept for 20 s at least, and for days in a plan with a large burst: an ingress that saw many
/// customers went over its memory limit and was killed.
#[test]
fn customers_that_come_once_do_not_exceed_the_memory_limit() {
    let port = backend(Journal::default(), |_, _| BackendAction::Reply(GOOD_REPLY));
    let text = config(1, discovery(known(&[port])).port, &[port]);
    let limit = format!("\"memory_mb\":{MEMORY_LIMIT_MB}");
    let process = Running::start("memory", &text.replace("\"memory_mb\":64", &limit));
    let id = process.child.id();
    let is_done = Arc::new(AtomicBool::new(false));
    let largest = Arc::new(AtomicU64::new(0));
    let watcher = {
        let (is_done, largest) = (is_done.clone(), largest.clone());
        spawn(move || {
            while !is_done.load(Ordering::Relaxed) {
                largest.fetch_max(process_memory::anonymous_bytes(id), Ordering::Relaxed);
                sleep(Duration::from_millis(10));
            }
        })
    };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            spawn({
                let address = process.address;
                move || run_client(address, number)
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().unwrap());
    is_done.store(true, Ordering::Relaxed);
    watcher.join().unwrap();
    let largest = largest.load(Ordering::Relaxed);
    assert!(
        largest < MEMORY_LIMIT_MB << 20,
        "{} kB after {} customers",
        largest >> 10,
        CLIENTS * COMMANDS_OF_CLIENT
    );
}
