//! A fake network: every link, by pair of parties and direction, may be cut, lossy, delayed, slow or half-open, for datagrams
//! and for streams. Traffic passes relays on loopback: a [`Relay`] for each receiver of datagrams, which identifies senders by
//! their addresses, and a [`StreamRelay`] for each pair of parties with streams.

pub use chalkgap_runtime::link_faults::{Cut, LinkFaults};

use chalkgap_runtime::link_faults::CUT_POLL_INTERVAL_MICROS;
use chalkgap_runtime::{Datagrams, Listener, Micros, Shared, Stream};
use chalkgap_transport::while_alive;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Maximum time that a datagram waits in the queue of a slow link; datagrams that would wait longer are dropped.
const MAX_QUEUE_MICROS: Micros = 1_000_000;

/// An end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Party {
    /// An ingress, by number.
    Ingress(u16),
    /// A node, by number.
    Node(usize),
    /// The registry that pushes endpoint lists.
    Registry,
}

#[derive(Default)]
struct State {
    /// Faults for datagrams of the links that are not in `links`.
    default_faults: LinkFaults,
    /// Faults by sender and receiver.
    links: HashMap<(Party, Party), LinkFaults>,
    /// Senders of datagrams by their addresses.
    senders: HashMap<SocketAddr, Party>,
    /// Number of datagrams that relays received, and their bytes, by sender and first byte.
    sent: HashMap<(Party, u8), (u64, u64)>,
}

/// The faults of all links.
#[derive(Clone, Default)]
pub struct Network {
    state: Arc<Mutex<State>>,
}

impl Network {
    /// Creates a network whose links have `default_faults` for datagrams and no faults for streams.
    pub fn new(default_faults: LinkFaults) -> Network {
        let network = Network::default();
        network.lock().default_faults = default_faults;
        network
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the faults for datagrams of the links that have none of their own.
    pub fn default_faults(&self) -> LinkFaults {
        self.lock().default_faults
    }

    /// Replaces the faults of a link in one direction; `None` restores the default.
    pub fn set(&self, from: Party, to: Party, faults: Option<LinkFaults>) {
        let mut state = self.lock();
        match faults {
            Some(faults) => state.links.insert((from, to), faults),
            None => state.links.remove(&(from, to)),
        };
    }

    /// Registers the address that a party sends datagrams from.
    pub fn register_sender(&self, address: SocketAddr, party: Party) {
        self.lock().senders.insert(address, party);
    }

    /// Returns the number of datagrams that were sent, and their bytes, by sender and first byte.
    pub fn sent(&self) -> HashMap<(Party, u8), (u64, u64)> {
        self.lock().sent.clone()
    }

    /// Returns the present faults of a link. The default faults apply to datagrams only, not to a `stream`.
    fn faults(&self, from: Option<Party>, to: Party, stream: bool) -> LinkFaults {
        let state = self.lock();
        let link = from.and_then(|from| state.links.get(&(from, to)).copied());
        link.unwrap_or_else(|| if stream { LinkFaults::default() } else { state.default_faults })
    }
}

/// A relay of datagrams to one party. Stopped when dropped.
pub struct Relay {
    address: SocketAddr,
    _kill: async_channel::Sender<()>,
}

impl Relay {
    /// Starts a relay to `party`, which receives datagrams at `to`.
    ///
    /// # Errors
    /// Returns the system's error if no socket can be bound.
    pub fn start(
        runtime: Shared,
        network: Network,
        party: Party,
        to: SocketAddr,
        seed: u64,
    ) -> io::Result<Relay> {
        let socket: Arc<dyn Datagrams> = Arc::from(runtime.datagrams(([127, 0, 0, 1], 0).into())?);
        let address = socket.address();
        let (kill, killed) = async_channel::bounded::<()>(1);
        let relay_runtime = runtime.clone();
        let task = async move {
            let runtime = relay_runtime;
            let mut rng = SmallRng::seed_from_u64(seed);
            let mut buffer = [0; 2000];
            // When each slow link has transmitted its queue.
            let mut free_at: HashMap<Party, Micros> = HashMap::new();
            loop {
                let Ok((len, source)) = socket.receive(&mut buffer).await else { continue };
                let from = network.lock().senders.get(&source).copied();
                if let Some(from) = from {
                    let mut state = network.lock();
                    let sent = state.sent.entry((from, buffer[0])).or_default();
                    *sent = (sent.0 + 1, sent.1 + len as u64);
                }
                let faults = network.faults(from, party, false);
                if faults.cut.is_some() || rng.random::<f64>() < faults.loss {
                    continue;
                }
                let now = runtime.now();
                let mut begin = now;
                if let (Some(from), true) = (from, faults.rate > 0) {
                    let free_at = free_at.entry(from).or_insert(now);
                    begin = now.max(*free_at);
                    if begin > now + MAX_QUEUE_MICROS {
                        continue;
                    }
                    *free_at = begin + faults.transmission_time(len);
                }
                for _ in 0..1 + u32::from(rng.random::<f64>() < faults.double) {
                    let at = begin + faults.transmission_time(len) + faults.sample_delay(&mut rng);
                    let socket = socket.clone();
                    let bytes = buffer[..len].to_vec();
                    let timer = runtime.clone();
                    let delivery = async move {
                        timer.sleep_until(at).await;
                        let _ = socket.send(&bytes, to).await; // after an error the datagram is lost
                    };
                    runtime.spawn(Box::pin(delivery)).detach();
                }
            }
        };
        runtime.spawn(Box::pin(while_alive(killed, task))).detach();
        Ok(Relay { address, _kill: kill })
    }

    /// Returns the address to which datagrams for the party are sent.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// A relay of the streams from one party to another. Stopped when dropped.
pub struct StreamRelay {
    address: SocketAddr,
    _kill: async_channel::Sender<()>,
}

impl StreamRelay {
    /// Starts a relay for the streams that `link.0` opens to `link.1`, which listens at `to`.
    ///
    /// # Errors
    /// Returns the system's error if no socket can be bound.
    pub fn start(
        runtime: Shared,
        network: Network,
        link: (Party, Party),
        to: SocketAddr,
        seed: u64,
    ) -> io::Result<StreamRelay> {
        let listener = runtime.listen(([127, 0, 0, 1], 0).into())?;
        let address = listener.address();
        let (kill, killed) = async_channel::bounded::<()>(1);
        let task = accept(runtime.clone(), network, link, to, seed, (listener, killed.clone()));
        runtime.spawn(Box::pin(while_alive(killed, task))).detach();
        Ok(StreamRelay { address, _kill: kill })
    }

    /// Returns the address to which streams are opened.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept(
    runtime: Shared,
    network: Network,
    link: (Party, Party),
    to: SocketAddr,
    seed: u64,
    (listener, killed): (Box<dyn Listener>, async_channel::Receiver<()>),
) {
    let mut count = 0;
    loop {
        let Ok(stream) = listener.accept().await else {
            runtime.sleep_until(runtime.now() + CUT_POLL_INTERVAL_MICROS).await;
            continue;
        };
        count += 1;
        let task_runtime = runtime.clone();
        let network = network.clone();
        let seed = seed ^ count << 20;
        let task = async move {
            let runtime = task_runtime;
            // While the link is cut silently, a real connection attempt would hang. The relay has accepted the connection
            // already, so it leaves it idle instead.
            loop {
                match network.faults(Some(link.0), link.1, true).cut {
                    Some(Cut::Reset) => return,
                    Some(Cut::Silent) => {
                        runtime.sleep_until(runtime.now() + CUT_POLL_INTERVAL_MICROS).await;
                    }
                    None => break,
                }
            }
            if let Ok(target) = runtime.connect(to).await {
                relay(&runtime, &network, link, stream, target, seed).await;
            }
        };
        runtime.spawn(Box::pin(while_alive(killed.clone(), task))).detach();
    }
}

/// Relays bytes in both directions until both have ended or the link is reset. A reset drops both streams.
async fn relay(
    runtime: &Shared,
    network: &Network,
    (source, target): (Party, Party),
    source_stream: Box<dyn Stream>,
    target_stream: Box<dyn Stream>,
    seed: u64,
) {
    let (from_source, to_source) = futures_lite::io::split(source_stream);
    let (from_target, to_target) = futures_lite::io::split(target_stream);
    let forward = copy(runtime, network, (source, target), from_source, to_target, seed);
    let backward = copy(runtime, network, (target, source), from_target, to_source, seed + 1);
    let both = future::zip(forward, backward);
    let reset = async {
        loop {
            let is_reset = |from, to| network.faults(Some(from), to, true).cut == Some(Cut::Reset);
            if is_reset(source, target) || is_reset(target, source) {
                return;
            }
            runtime.sleep_until(runtime.now() + CUT_POLL_INTERVAL_MICROS).await;
        }
    };
    let ended = async {
        both.await;
    };
    future::or(ended, reset).await;
}

/// Copies bytes in one direction of a stream with the faults of the link, until the end of the stream or an error.
async fn copy(
    runtime: &Shared,
    network: &Network,
    (from, to): (Party, Party),
    mut read: impl futures_lite::AsyncRead + Unpin,
    mut write: impl futures_lite::AsyncWrite + Unpin,
    seed: u64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut buffer = vec![0; 16 << 10];
    loop {
        let len = read.read(&mut buffer).await.unwrap_or(0);
        let faults = loop {
            let faults = network.faults(Some(from), to, true);
            if faults.cut != Some(Cut::Silent) {
                break faults;
            }
            runtime.sleep_until(runtime.now() + CUT_POLL_INTERVAL_MICROS).await;
        };
        if len == 0 {
            while network.faults(Some(from), to, true).half_open {
                runtime.sleep_until(runtime.now() + CUT_POLL_INTERVAL_MICROS).await;
            }
            let _ = write.close().await; // fails if the receiver closed the stream first
            return;
        }
        let delay = faults.sample_stream_delay(&mut rng) + faults.transmission_time(len);
        if delay > 0 {
            runtime.sleep_until(runtime.now() + delay).await;
        }
        if write.write_all(&buffer[..len]).await.is_err() {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
