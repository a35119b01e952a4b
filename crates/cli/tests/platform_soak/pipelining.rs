//! Clients of a soak that keep several commands on one connection until it ends.

use crate::clients::{encode_request, Record, Shared, Target, MIN_TIMEOUT_MS};
use crate::history::{Ending, Request, Seconds};
use crate::scenario::Pipelining;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::VecDeque;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::Duration;

/// Pause in milliseconds before a client sends as many commands as it has got replies.
const PAUSE_MS: std::ops::Range<u64> = 20..80;

/// A command without a reply.
struct Sent {
    id: u64,
    timeout_ms: u64,
    /// After the last byte was written, or before the first one as long as it is being written.
    at: Seconds,
    is_written: bool,
}

/// What the two threads of a client share.
#[derive(Clone, Default)]
struct Window {
    /// Commands without a reply, in their order.
    sent: Arc<Mutex<VecDeque<Sent>>>,
    /// Set when the connection has ended.
    ended: Arc<AtomicBool>,
}

/// Starts a client that keeps commands on its connection until that ends.
pub fn start(shared: Shared, target: Target, pipelining: Pipelining, seed: u64) -> JoinHandle<Record> {
    spawn(move || {
        let mut record = Record::default();
        let Some(mut connection) = shared.connect(&target, &mut record) else { return record };
        let window = Window::default();
        let stream = connection.client.stream.try_clone().unwrap();
        let writer = {
            let (shared, window) = (shared.clone(), window.clone());
            spawn(move || write_commands(&shared, stream, pipelining, &window, seed))
        };
        let mut previous_reply_at = connection.connected_at;
        let mut is_first = true;
        let mut ended = |sent: Sent, ending: Ending| {
            let ended_at = shared.now();
            record.requests.push(Request {
                id: sent.id,
                process: target.process,
                is_first: std::mem::replace(&mut is_first, false),
                connected_at: connection.connected_at,
                sent_at: sent.at,
                previous_reply_at: std::mem::replace(&mut previous_reply_at, ended_at),
                ended_at,
                timeout: sent.timeout_ms as f64 / 1e3,
                ending,
            });
        };
        loop {
            let ending = match connection.client.reply_text() {
                text if text == "closed" => break,
                error if error.starts_with('-') => Ending::Error(error),
                text => Ending::Value(text),
            };
            let sent = window.sent.lock().unwrap().pop_front();
            ended(sent.expect("a reply to no command"), ending);
        }
        window.ended.store(true, Ordering::SeqCst);
        let _ = connection.client.stream.shutdown(Shutdown::Both); // ends a write that waits
        writer.join().unwrap();
        let unanswered = std::mem::take(&mut *window.sent.lock().unwrap());
        unanswered.into_iter().filter(|sent| sent.is_written).for_each(|sent| ended(sent, Ending::Closed));
        record
    })
}

fn write_commands(
    shared: &Shared,
    mut stream: TcpStream,
    pipelining: Pipelining,
    window: &Window,
    seed: u64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while !window.ended.load(Ordering::SeqCst) {
        while window.sent.lock().unwrap().len() < pipelining.window {
            let id = shared.next_id();
            let timeout_ms = rng.random_range(MIN_TIMEOUT_MS..=shared.deadline_ms);
            let body =
                rng.random::<bool>().then(|| "b".repeat(rng.random_range(0..=pipelining.max_body_bytes)));
            let bytes = encode_request(id, timeout_ms, body.as_deref());
            let sent = Sent { id, timeout_ms, at: shared.now(), is_written: false };
            window.sent.lock().unwrap().push_back(sent);
            if stream.write_all(&bytes).is_err() {
                return;
            }
            let mut unanswered = window.sent.lock().unwrap();
            if let Some(sent) = unanswered.iter_mut().rfind(|sent| sent.id == id) {
                (sent.at, sent.is_written) = (shared.now(), true);
            }
        }
        sleep(Duration::from_millis(rng.random_range(PAUSE_MS)));
    }
}
