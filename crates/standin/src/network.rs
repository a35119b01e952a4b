//! A stand-in for the network: every link, by pair and direction, may be cut, lossy, late, slow or half-open, for
//! datagrams and for streams. What goes over it is moved by relays on loopback: one for each receiver of datagrams, who
//! knows senders by their addresses, and one for each pair that streams go between.

use chalkgap_pipe::while_alive;
use chalkgap_runtime::{Datagrams, Listener, Micros, Shared, Stream};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How often a relay of streams looks whether its link has changed.
const LOOK: Micros = 10_000;
/// What a loss costs a stream: it is sent again after this.
const AGAIN: Micros = 200_000;
/// A slow link's queue; datagrams that would wait longer are lost.
const QUEUE: Micros = 1_000_000;

/// A place that links go between.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Party {
    /// An ingress, by number.
    Ingress(u16),
    /// A node, by number.
    Node(usize),
    /// The roster.
    Roster,
}

/// How a link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Nothing comes through, and nothing says so.
    Silent,
    /// Streams are reset, and new ones closed at once; datagrams are lost.
    Reset,
}

/// What a link does in one direction. Shares are from 0 to 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Weather {
    /// Lost; on a stream it comes later.
    pub loss: f64,
    /// Datagrams sent twice.
    pub double: f64,
    /// The least and the longest way. With a span, datagrams overtake each other.
    pub delay: (Micros, Micros),
    /// Share that is as late again as ten longest ways.
    pub tail: f64,
    /// Bytes a second; 0: any number.
    pub rate: u64,
    /// Nothing goes through.
    pub cut: Option<Cut>,
    /// An end of a stream is not passed on: the other side holds it for open.
    pub half_open: bool,
}

impl Weather {
    /// How long something is under way.
    fn late(&self, rng: &mut SmallRng) -> Micros {
        let tail = if rng.random::<f64>() < self.tail { 10 * self.delay.1 } else { 0 };
        rng.random_range(self.delay.0..=self.delay.1.max(self.delay.0)) + tail
    }

    /// How long so many bytes take to pass.
    fn passing(&self, bytes: usize) -> Micros {
        (bytes as u64 * 1_000_000).checked_div(self.rate).unwrap_or(0)
    }
}

#[derive(Default)]
struct State {
    usual: Weather,
    links: HashMap<(Party, Party), Weather>,
    /// Whose datagrams come from where.
    senders: HashMap<SocketAddr, Party>,
    /// Datagrams that were handed to relays, and their bytes, by sender and first byte.
    sent: HashMap<(Party, u8), (u64, u64)>,
}

/// All links.
#[derive(Clone, Default)]
pub struct Network {
    state: Arc<Mutex<State>>,
}

impl Network {
    /// A network on which all links of datagrams are alike to begin with; streams pass at once.
    pub fn new(usual: Weather) -> Network {
        let network = Network::default();
        network.lock().usual = usual;
        network
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the links do that nobody has set.
    pub fn usual(&self) -> Weather {
        self.lock().usual.clone()
    }

    /// Changes a link in one direction; none: it is like the others again.
    pub fn set(&self, from: Party, to: Party, weather: Option<Weather>) {
        let mut s = self.lock();
        match weather {
            Some(w) => s.links.insert((from, to), w),
            None => s.links.remove(&(from, to)),
        };
    }

    /// Datagrams from this address are that one's.
    pub fn sends_from(&self, address: SocketAddr, party: Party) {
        self.lock().senders.insert(address, party);
    }

    /// Datagrams that each party has sent, and their bytes, by what is in their first byte.
    pub fn sent(&self) -> HashMap<(Party, u8), (u64, u64)> {
        self.lock().sent.clone()
    }

    /// A link as it is now; `stream`: what is usual for datagrams alone is not in it.
    fn weather(&self, from: Option<Party>, to: Party, stream: bool) -> Weather {
        let s = self.lock();
        let link = from.and_then(|f| s.links.get(&(f, to)).cloned());
        link.unwrap_or_else(|| if stream { Weather::default() } else { s.usual.clone() })
    }
}

/// The way of datagrams to one party.
pub struct Relay {
    address: SocketAddr,
    _kill: async_channel::Sender<()>,
}

impl Relay {
    /// Starts a way to `party`, which receives at `to`.
    ///
    /// # Errors
    /// No socket can be bound.
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
        let world = runtime.clone();
        let task = async move {
            let (mut rng, mut buffer) = (SmallRng::seed_from_u64(seed), [0; 2000]);
            // When each slow link is free again.
            let mut free: HashMap<Party, Micros> = HashMap::new();
            loop {
                let Ok((n, source)) = socket.receive(&mut buffer).await else { continue };
                let from = network.lock().senders.get(&source).copied();
                if let Some(from) = from {
                    let mut state = network.lock();
                    let sent = state.sent.entry((from, buffer[0])).or_default();
                    *sent = (sent.0 + 1, sent.1 + n as u64);
                }
                let w = network.weather(from, party, false);
                if w.cut.is_some() || rng.random::<f64>() < w.loss {
                    continue;
                }
                let now = world.now();
                let mut begin = now;
                if let (Some(from), true) = (from, w.rate > 0) {
                    let at = free.entry(from).or_insert(now);
                    begin = now.max(*at);
                    if begin > now + QUEUE {
                        continue;
                    }
                    *at = begin + w.passing(n);
                }
                for _ in 0..1 + u32::from(rng.random::<f64>() < w.double) {
                    let at = begin + w.passing(n) + w.late(&mut rng);
                    let (socket, bytes, world2) = (socket.clone(), buffer[..n].to_vec(), world.clone());
                    let late = async move {
                        world2.sleep_until(at).await;
                        let _ = socket.send(&bytes, to).await; // nobody there: lost
                    };
                    world.spawn(Box::pin(late)).detach();
                }
            }
        };
        runtime.spawn(Box::pin(while_alive(killed, task))).detach();
        Ok(Relay { address, _kill: kill })
    }

    /// Where datagrams for the party go.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// The way of streams from one party to another.
pub struct Way {
    address: SocketAddr,
    _kill: async_channel::Sender<()>,
}

impl Way {
    /// Starts a way for the streams that `link.0` opens to `link.1`, which listens at `to`.
    ///
    /// # Errors
    /// No socket can be bound.
    pub fn start(
        runtime: Shared,
        network: Network,
        link: (Party, Party),
        to: SocketAddr,
        seed: u64,
    ) -> io::Result<Way> {
        let listener = runtime.listen(([127, 0, 0, 1], 0).into())?;
        let address = listener.address();
        let (kill, killed) = async_channel::bounded::<()>(1);
        let (world, alive) = (runtime.clone(), killed.clone());
        let task = accept(world, network, link, to, seed, (listener, alive));
        runtime.spawn(Box::pin(while_alive(killed, task))).detach();
        Ok(Way { address, _kill: kill })
    }

    /// Where the streams are opened to.
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
    (listener, alive): (Box<dyn Listener>, async_channel::Receiver<()>),
) {
    let mut count = 0;
    loop {
        let Ok(stream) = listener.accept().await else {
            runtime.sleep_until(runtime.now() + LOOK).await;
            continue;
        };
        count += 1;
        let (world, network, seed) = (runtime.clone(), network.clone(), seed ^ count << 20);
        let task = async move {
            // Where a link is cut without a sign, a connection that is tried hangs, as on a real one: here it has been
            // taken, and says nothing.
            loop {
                let w = network.weather(Some(link.0), link.1, true);
                match w.cut {
                    Some(Cut::Reset) => return,
                    Some(Cut::Silent) => world.sleep_until(world.now() + LOOK).await,
                    None => break,
                }
            }
            if let Ok(there) = world.connect(to).await {
                carry(&world, &network, link, stream, there, seed).await;
            }
        };
        runtime.spawn(Box::pin(while_alive(alive.clone(), task))).detach();
    }
}

/// Carries bytes both ways until both sides have ended, or the link is reset. Dropping both is the reset.
async fn carry(
    runtime: &Shared,
    network: &Network,
    (a, b): (Party, Party),
    here: Box<dyn Stream>,
    there: Box<dyn Stream>,
    seed: u64,
) {
    let (from_here, to_here) = futures_lite::io::split(here);
    let (from_there, to_there) = futures_lite::io::split(there);
    let out = pump(runtime, network, (a, b), from_here, to_there, seed);
    let back = pump(runtime, network, (b, a), from_there, to_here, seed + 1);
    let both = future::zip(out, back);
    let reset = async {
        loop {
            let cut = |f, t| network.weather(Some(f), t, true).cut == Some(Cut::Reset);
            if cut(a, b) || cut(b, a) {
                return;
            }
            runtime.sleep_until(runtime.now() + LOOK).await;
        }
    };
    let ended = async {
        both.await;
    };
    future::or(ended, reset).await;
}

async fn pump(
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
        let n = read.read(&mut buffer).await.unwrap_or(0);
        let w = loop {
            let w = network.weather(Some(from), to, true);
            if w.cut != Some(Cut::Silent) {
                break w;
            }
            runtime.sleep_until(runtime.now() + LOOK).await;
        };
        if n == 0 {
            while network.weather(Some(from), to, true).half_open {
                runtime.sleep_until(runtime.now() + LOOK).await;
            }
            let _ = write.close().await; // it may have ended itself
            return;
        }
        let again = if rng.random::<f64>() < w.loss { AGAIN } else { 0 };
        let late = w.late(&mut rng) + w.passing(n) + again;
        if late > 0 {
            runtime.sleep_until(runtime.now() + late).await;
        }
        if write.write_all(&buffer[..n]).await.is_err() {
            return;
        }
    }
}
