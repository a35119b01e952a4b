//! Clients of a soak, each on a thread of its own.

use crate::common::Client;
use crate::history::{Ending, RefusedConnection, Request, Seconds};
use crate::scenario::Crowd;
use bytes::BytesMut;
use chalkgap_resp::put_command;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// Clients connect anew for this long after SIGTERM.
const CONNECT_FOR: Duration = Duration::from_millis(400);
/// Shortest timeout of a request in milliseconds.
pub const MIN_TIMEOUT_MS: u64 = 100;
/// Requests of a client that reads slowly.
const SLOW_READER_REQUESTS: u64 = 20;
/// Pause between two reads of such a client.
const SLOW_READER_PAUSE: Duration = Duration::from_millis(10);

/// A process, as its clients know it.
#[derive(Clone)]
pub struct Target {
    pub process: usize,
    pub address: SocketAddr,
    /// When the first SIGTERM was sent, in microseconds since the start of the run; `u64::MAX` before that.
    pub sigterm_at: Arc<AtomicU64>,
}

/// What all clients of a run share.
#[derive(Clone)]
pub struct Shared {
    pub begin: Instant,
    pub next_id: Arc<AtomicU64>,
    /// Set after the last process has ended.
    pub stop: Arc<AtomicBool>,
    /// Longest timeout of a request in milliseconds.
    pub deadline_ms: u64,
}

/// What a client recorded.
#[derive(Default)]
pub struct Record {
    pub requests: Vec<Request>,
    pub refused: Vec<RefusedConnection>,
}

pub struct Connection {
    pub client: Client,
    is_new: bool,
    pub connected_at: Seconds,
}

impl Shared {
    pub fn now(&self) -> Seconds {
        self.begin.elapsed().as_secs_f64()
    }

    pub fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::SeqCst)
    }

    fn may_connect(&self, target: &Target) -> bool {
        let sigterm_at = Duration::from_micros(target.sigterm_at.load(Ordering::SeqCst));
        self.begin.elapsed() < sigterm_at.saturating_add(CONNECT_FOR)
    }

    /// Connects. Records a refused connection.
    pub fn connect(&self, target: &Target, record: &mut Record) -> Option<Connection> {
        let client = Client::try_connect(target.address);
        let connected_at = self.now();
        if client.is_none() {
            record.refused.push(RefusedConnection { at: connected_at, process: target.process });
        }
        let client = client?;
        client.stream.set_nodelay(true).unwrap();
        Some(Connection { client, is_new: true, connected_at })
    }

    /// Sends a request and waits for its reply.
    fn request(&self, target: &Target, connection: &mut Connection, rng: &mut SmallRng) -> Request {
        let id = self.next_id();
        let timeout_ms = rng.random_range(MIN_TIMEOUT_MS..=self.deadline_ms);
        let sent_at = self.now();
        send_request(&mut connection.client, id, timeout_ms, rng.random());
        let text = connection.client.reply_text();
        let ended_at = self.now();
        let ending = match text.as_str() {
            "closed" => Ending::Closed,
            error if error.starts_with('-') => Ending::Error(text),
            _ => Ending::Value(text),
        };
        Request {
            id,
            process: target.process,
            is_first: std::mem::replace(&mut connection.is_new, false),
            connected_at: connection.connected_at,
            sent_at,
            previous_reply_at: sent_at,
            ended_at,
            timeout: timeout_ms as f64 / 1e3,
            ending,
        }
    }
}

fn send_request(client: &mut Client, id: u64, timeout_ms: u64, submit: bool) {
    client.write(&encode_request(id, timeout_ms, submit.then_some("body")));
}

/// Encodes a submit with this body, or a query if there is none.
pub fn encode_request(id: u64, timeout_ms: u64, body: Option<&str>) -> BytesMut {
    let id_text = format!("{id:016x}");
    let customer = format!("{:016x}", id % 40);
    let mut bytes = BytesMut::new();
    if let Some(body) = body {
        let attributes =
            format!("c=report-upload,t=team,d={timeout_ms},k={:016x},units=1,spread=1,first=0", !id);
        put_command(&mut bytes, &["SVC.SUBMIT", &customer, &id_text, &attributes, body].map(str::as_bytes));
    } else {
        let attributes = format!("c=sig-check,t=team,d={timeout_ms},units=1,spread=1,first=0");
        put_command(&mut bytes, &["SVC.QUERY", &customer, &id_text, &attributes].map(str::as_bytes));
    }
    bytes
}

/// Starts a client that sends one request after the other, on one connection as long as that is open.
pub fn steady(shared: Shared, target: Target, seed: u64) -> JoinHandle<Record> {
    spawn(move || {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut record = Record::default();
        let mut connection = None;
        while !shared.stop.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(rng.random_range(0..40)));
            let mut open = match connection.take() {
                Some(open) => open,
                None if !shared.may_connect(&target) => break,
                None => match shared.connect(&target, &mut record) {
                    Some(open) => open,
                    None => continue,
                },
            };
            let request = shared.request(&target, &mut open, &mut rng);
            if request.ending != Ending::Closed {
                connection = Some(open);
            }
            record.requests.push(request);
        }
        record
    })
}

/// Starts a crowd of clients, which connect at once.
pub fn crowd(shared: &Shared, target: &Target, crowd: Crowd, seed: u64) -> Vec<JoinHandle<Record>> {
    let spawn_all = |count: usize, client: fn(&Shared, &Target, u64) -> Record| {
        (0..count as u64).map(move |number| {
            let (shared, target) = (shared.clone(), target.clone());
            spawn(move || client(&shared, &target, seed << 12 | number))
        })
    };
    spawn_all(crowd.silent, silent)
        .chain(spawn_all(crowd.partial, partial))
        .chain(spawn_all(crowd.slow_readers, slow_reader))
        .chain(spawn_all(crowd.active, active))
        .collect()
}

fn active(shared: &Shared, target: &Target, seed: u64) -> Record {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut record = Record::default();
    if let Some(mut connection) = shared.connect(target, &mut record) {
        let request = shared.request(target, &mut connection, &mut rng);
        record.requests.push(request);
    }
    record
}

fn silent(shared: &Shared, target: &Target, _seed: u64) -> Record {
    let mut record = Record::default();
    if let Some(mut connection) = shared.connect(target, &mut record) {
        let _ = connection.client.reply_text();
    }
    record
}

fn partial(shared: &Shared, target: &Target, _seed: u64) -> Record {
    let mut record = Record::default();
    if let Some(mut connection) = shared.connect(target, &mut record) {
        connection.client.write(b"*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n00000");
        let _ = connection.client.reply_text();
    }
    record
}

/// Its requests are not recorded: their replies arrive as late as it reads them.
fn slow_reader(shared: &Shared, target: &Target, seed: u64) -> Record {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut record = Record::default();
    let Some(mut connection) = shared.connect(target, &mut record) else { return record };
    for _ in 0..SLOW_READER_REQUESTS {
        let id = shared.next_id();
        send_request(&mut connection.client, id, shared.deadline_ms, rng.random());
    }
    while !shared.stop.load(Ordering::SeqCst)
        && connection.client.stream.read(&mut [0; 8]).is_ok_and(|count| count > 0)
    {
        sleep(SLOW_READER_PAUSE);
    }
    record
}
