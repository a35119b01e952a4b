//! Clients that mean harm, or are just too many: connections from many addresses of the loopback net.

use chalkgap_runtime::{Micros, Shared, Stream, Task};
use chalkgap_wire::http2::{Code, Config, Connection, Event};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};

/// How a knock at an ingress's door ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knock {
    /// Let in: its SETTINGS were acknowledged.
    In,
    /// Told to keep away (GOAWAY, ENHANCE_YOUR_CALM).
    Told,
    /// Closed without a word.
    Closed,
    /// Neither, for two seconds.
    Hanging,
}

/// Connects from an address, greets, and sees what comes of it; the time is that from the connection on.
pub async fn knock(
    runtime: &Shared,
    from: Option<IpAddr>,
    to: SocketAddr,
) -> (Knock, Micros, Option<Box<dyn Stream>>) {
    let begun = runtime.now();
    let Ok(mut stream) = runtime.connect_from(from, to).await else {
        return (Knock::Closed, runtime.now() - begun, None);
    };
    let mut conn = Connection::client(Config::default());
    conn.ping();
    let hello = conn.output().split();
    let _ = stream.write_all(&hello).await; // closed already: the read says so
    let mut buffer = [0; 1000];
    loop {
        let late = async {
            runtime.sleep_until(begun + 2_000_000).await;
            None
        };
        let read = future::or(async { Some(stream.read(&mut buffer).await.unwrap_or(0)) }, late).await;
        let took = runtime.now() - begun;
        match read {
            None => return (Knock::Hanging, took, Some(stream)),
            Some(0) => return (Knock::Closed, took, None),
            Some(n) => drop(conn.receive(0, &buffer[..n])),
        }
        while let Some(event) = conn.event() {
            match event {
                Event::GoAway(Code::ENHANCE_YOUR_CALM) => return (Knock::Told, took, None),
                // A refusal sends its word with its SETTINGS, before it could answer this.
                Event::Pong => return (Knock::In, took, Some(stream)),
                _ => {}
            }
        }
    }
}

/// What a flood has seen.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Let in.
    pub entered: u64,
    /// Told to keep away.
    pub told: u64,
    /// Closed without a word.
    pub closed: u64,
    /// Left hanging.
    pub hanging: u64,
    /// How long each refusal took.
    pub refusals: Vec<Micros>,
}

/// A flood.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Where to.
    pub to: SocketAddr,
    /// From so many addresses, 127.16.0.1 and on, each in a /24 of its own.
    pub addresses: u32,
    /// Connections a second.
    pub per_second: f64,
    /// Connections that are held, idle; the oldest goes for a new one.
    pub hold: usize,
    /// When it ends.
    pub until: Micros,
}

/// The n-th address of a flood.
pub fn address(n: u32) -> IpAddr {
    Ipv4Addr::from(0x7f10_0001 + ((n % 0xef00) << 8)).into()
}

/// Starts a flood; it ends by itself, at the latest when its plan says so.
pub fn start(runtime: &Shared, plan: Plan) -> (Task, Arc<Mutex<Seen>>) {
    let seen = Arc::new(Mutex::new(Seen::default()));
    let (world, result) = (runtime.clone(), seen.clone());
    let held: Arc<Mutex<VecDeque<Box<dyn Stream>>>> = Arc::default();
    let task = runtime.spawn(Box::pin(async move {
        let (begun, mut n) = (world.now(), 0u32);
        while world.now() < plan.until {
            let due = begun + (f64::from(n) * 1e6 / plan.per_second) as Micros;
            if due > world.now() {
                world.sleep_until(due).await;
            }
            let (from, world2, result, held) =
                (address(n % plan.addresses.max(1)), world.clone(), result.clone(), held.clone());
            n += 1;
            let one = async move {
                let (end, took, stream) = knock(&world2, Some(from), plan.to).await;
                let mut seen = result.lock().unwrap_or_else(PoisonError::into_inner);
                match end {
                    Knock::In => seen.entered += 1,
                    Knock::Told => seen.told += 1,
                    Knock::Closed => seen.closed += 1,
                    Knock::Hanging => seen.hanging += 1,
                }
                if matches!(end, Knock::Told | Knock::Closed) {
                    seen.refusals.push(took);
                }
                drop(seen);
                if let Some(stream) = stream.filter(|_| end == Knock::In) {
                    let mut held = held.lock().unwrap_or_else(PoisonError::into_inner);
                    held.push_back(stream);
                    while held.len() > plan.hold {
                        held.pop_front();
                    }
                }
            };
            world.spawn(Box::pin(one)).detach();
        }
    }));
    (task, seen)
}
