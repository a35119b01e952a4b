//! Backends whose reply to a request is the request's id, and which record each arrival.

use crate::common::command_arguments;
use crate::history::Arrival;
use crate::scenario::BackendKind;
use bytes::BytesMut;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Every request of this number hangs at a hanging backend.
const HANGS_EVERY: u64 = 3;
/// Every request of this number gets half a reply from a backend that breaks off.
const BREAKS_EVERY: u64 = 4;

/// What all backends of a run share.
#[derive(Clone)]
pub struct Shared {
    pub begin: Instant,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Longest time that a slow backend takes for a request.
    pub longest_work: Duration,
}

/// Starts a backend. Returns its port.
pub fn start(kind: BackendKind, shared: Shared) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let port = listener.local_addr().unwrap().port();
    let count = Arc::new(AtomicU64::new(0));
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (shared, count) = (shared.clone(), count.clone());
            spawn(move || serve(kind, stream, &shared, &count));
        }
    });
    port
}

fn serve(kind: BackendKind, mut stream: TcpStream, shared: &Shared, count: &AtomicU64) {
    stream.set_nodelay(true).unwrap();
    let mut buffer = BytesMut::new();
    let mut chunk = [0; 4096];
    loop {
        while let Some(arguments) = command_arguments(&mut buffer) {
            let id = u64::from_str_radix(&arguments[2], 16).unwrap();
            let at = shared.begin.elapsed().as_secs_f64();
            let is_submit = arguments[0] == "SVC.SUBMIT";
            shared.arrivals.lock().unwrap().push(Arrival { at, id, is_submit });
            let number = count.fetch_add(1, Ordering::Relaxed) + 1;
            let reply = format!("*3\r\n$16\r\n{id:016x}\r\n$-1\r\n$7\r\ndepth=2\r\n");
            match kind {
                BackendKind::Hanging if number % HANGS_EVERY == 0 => continue,
                BackendKind::BreakingOff if number % BREAKS_EVERY == 0 => {
                    let _ = stream.write_all(&reply.as_bytes()[..12]);
                    return;
                }
                BackendKind::Slow => sleep(shared.longest_work.mul_f64((id % 97) as f64 / 97.0)),
                _ => {}
            }
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => buffer.extend_from_slice(&chunk[..count]),
            _ => return,
        }
    }
}
