//! A flood of client connections from many loopback addresses, to test a gateway's limits on connections.

use chalkgap_runtime::{Micros, Shared, Stream, Task};
use chalkgap_wire::http2::{Code, Config, Connection, Event};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};

/// The result of a probe connection to an ingress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The ingress accepted the connection: it answered a PING.
    Accepted,
    /// The ingress rejected the connection by GOAWAY with ENHANCE_YOUR_CALM.
    Rejected,
    /// The connection failed or was closed without a GOAWAY.
    Closed,
    /// The ingress neither answered nor closed the connection within two seconds.
    TimedOut,
}

const PROBE_TIMEOUT_MICROS: Micros = 2_000_000;

/// Opens an HTTP/2 connection from the address `from` to an ingress and sends a PING. Returns the outcome, the microseconds
/// that it took, and the stream unless it is closed or rejected.
pub async fn probe(
    runtime: &Shared,
    from: Option<IpAddr>,
    to: SocketAddr,
) -> (ProbeOutcome, Micros, Option<Box<dyn Stream>>) {
    let start = runtime.now();
    let Ok(mut stream) = runtime.connect_from(from, to).await else {
        return (ProbeOutcome::Closed, runtime.now() - start, None);
    };
    let mut conn = Connection::client(Config::default());
    conn.ping();
    let preface = conn.output().split();
    let _ = stream.write_all(&preface).await; // if the connection is closed, the read reports it
    let mut buffer = [0; 1000];
    loop {
        let timeout = async {
            runtime.sleep_until(start + PROBE_TIMEOUT_MICROS).await;
            None
        };
        let read = future::or(async { Some(stream.read(&mut buffer).await.unwrap_or(0)) }, timeout).await;
        let took = runtime.now() - start;
        match read {
            None => return (ProbeOutcome::TimedOut, took, Some(stream)),
            Some(0) => return (ProbeOutcome::Closed, took, None),
            Some(n) => drop(conn.receive(0, &buffer[..n])),
        }
        while let Some(event) = conn.event() {
            match event {
                Event::GoAway(Code::ENHANCE_YOUR_CALM) => return (ProbeOutcome::Rejected, took, None),
                // An ingress that rejects the connection sends GOAWAY together with its SETTINGS, and so before any PONG.
                Event::Pong => return (ProbeOutcome::Accepted, took, Some(stream)),
                _ => {}
            }
        }
    }
}

/// The results of a flood.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// Number of connections that were accepted.
    pub accepted: u64,
    /// Number of connections that were rejected by GOAWAY.
    pub rejected: u64,
    /// Number of connections that failed or were closed without a GOAWAY.
    pub closed: u64,
    /// Number of connections that timed out.
    pub timed_out: u64,
    /// How long each rejected or closed connection took, in microseconds.
    pub refusals: Vec<Micros>,
}

/// The parameters of a flood.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The address of the ingress.
    pub to: SocketAddr,
    /// Number of source addresses, from 127.16.0.1 on, each in a /24 of its own.
    pub addresses: u32,
    /// Number of new connections per second.
    pub per_second: f64,
    /// Maximum number of accepted connections that are held idle; the oldest is closed when a new one exceeds it.
    pub hold: usize,
    /// When the flood stops opening connections.
    pub until: Micros,
}

/// Returns the source address of the given index.
pub fn address(index: u32) -> IpAddr {
    Ipv4Addr::from(0x7f10_0001 + ((index % 0xef00) << 8)).into()
}

/// Starts a flood. The task completes at the time `plan.until`; the results are updated while it runs.
pub fn start(runtime: &Shared, plan: Plan) -> (Task, Arc<Mutex<Results>>) {
    let results = Arc::new(Mutex::new(Results::default()));
    let shared_results = results.clone();
    let flood_runtime = runtime.clone();
    let held: Arc<Mutex<VecDeque<Box<dyn Stream>>>> = Arc::default();
    let task = runtime.spawn(Box::pin(async move {
        let runtime = flood_runtime;
        let start = runtime.now();
        let mut started = 0u32;
        while runtime.now() < plan.until {
            let due = start + (f64::from(started) * 1e6 / plan.per_second) as Micros;
            if due > runtime.now() {
                runtime.sleep_until(due).await;
            }
            let from = address(started % plan.addresses.max(1));
            let probe_runtime = runtime.clone();
            let results = shared_results.clone();
            let held = held.clone();
            started += 1;
            let connection = async move {
                let (outcome, took, stream) = probe(&probe_runtime, Some(from), plan.to).await;
                let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                match outcome {
                    ProbeOutcome::Accepted => results.accepted += 1,
                    ProbeOutcome::Rejected => results.rejected += 1,
                    ProbeOutcome::Closed => results.closed += 1,
                    ProbeOutcome::TimedOut => results.timed_out += 1,
                }
                if matches!(outcome, ProbeOutcome::Rejected | ProbeOutcome::Closed) {
                    results.refusals.push(took);
                }
                drop(results);
                if let Some(stream) = stream.filter(|_| outcome == ProbeOutcome::Accepted) {
                    let mut held = held.lock().unwrap_or_else(PoisonError::into_inner);
                    held.push_back(stream);
                    while held.len() > plan.hold {
                        held.pop_front();
                    }
                }
            };
            runtime.spawn(Box::pin(connection)).detach();
        }
    }));
    (task, results)
}
