//! A stand-in for the network: every link, by pair and direction, may be cut, lossy, late, slow or half-open, for
//! datagrams and for streams. What goes over it is moved by relays on loopback: one for each receiver of datagrams, who
//! knows senders by their addresses, and one for each pair that streams go between.

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

#[derive(Default)]
struct State {
    usual: LinkFaults,
    links: HashMap<(Party, Party), LinkFaults>,
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
    pub fn new(usual: LinkFaults) -> Network {
        let network = Network::default();
        network.lock().usual = usual;
        network
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the links do that nobody has set.
    pub fn usual(&self) -> LinkFaults {
        self.lock().usual
    }

    /// Changes a link in one direction; none: it is like the others again.
    pub fn set(&self, from: Party, to: Party, weather: Option<LinkFaults>) {
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
    fn weather(&self, from: Option<Party>, to: Party, stream: bool) -> LinkFaults {
        let s = self.lock();
        let link = from.and_then(|f| s.links.get(&(f, to)).copied());
        link.unwrap_or_else(|| if stream { LinkFaults::default() } else { s.usual })
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
                    *at = begin + w.transmission_time(n);
                }
                for _ in 0..1 + u32::from(rng.random::<f64>() < w.double) {
                    let at = begin + w.transmission_time(n) + w.sample_delay(&mut rng);
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
            runtime.sleep_until(runtime.now() + CUT_POLL_INTERVAL_MICROS).await;
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
                    Some(Cut::Silent) => world.sleep_until(world.now() + CUT_POLL_INTERVAL_MICROS).await,
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
            runtime.sleep_until(runtime.now() + CUT_POLL_INTERVAL_MICROS).await;
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
            runtime.sleep_until(runtime.now() + CUT_POLL_INTERVAL_MICROS).await;
        };
        if n == 0 {
            while network.weather(Some(from), to, true).half_open {
                runtime.sleep_until(runtime.now() + CUT_POLL_INTERVAL_MICROS).await;
            }
            let _ = write.close().await; // it may have ended itself
            return;
        }
        let late = w.sample_stream_delay(&mut rng) + w.transmission_time(n);
        if late > 0 {
            runtime.sleep_until(runtime.now() + late).await;
        }
        if write.write_all(&buffer[..n]).await.is_err() {
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use chalkgap_runtime::simulated_runtime::Simulation;

    const LINK: (Party, Party) = (Party::Ingress(1), Party::Node(0));

    /// Reads some, or gives up after a while.
    async fn read(
        runtime: &Shared,
        stream: &mut Box<dyn Stream>,
        wait: Micros,
    ) -> Option<io::Result<Vec<u8>>> {
        let mut buffer = [0; 64];
        let sleep = async {
            runtime.sleep_until(runtime.now() + wait).await;
            None
        };
        let got = async { Some(stream.read(&mut buffer).await) };
        Some(future::or(got, sleep).await?.map(|n| buffer[..n].to_vec()))
    }

    #[test]
    fn streams_are_cut_reset_slowed_and_held_for_open_by_link_and_direction() {
        let world = Simulation::new(1, 1_000_000);
        let (host, _on) = world.host(1, 0);
        let runtime: Shared = host;
        world
            .run(async move {
                let listener = runtime.listen(([127, 0, 0, 1], 0).into()).unwrap();
                let network = Network::default();
                let way = Way::start(runtime.clone(), network.clone(), LINK, listener.address(), 7).unwrap();
                let mut near = runtime.connect(way.address()).await.unwrap();
                let mut far = listener.accept().await.unwrap();
                let set = |from, to, w| network.set(from, to, Some(w));
                let (there, back) = (LINK, (LINK.1, LINK.0));
                set(there.0, there.1, LinkFaults { cut: Some(Cut::Silent), ..LinkFaults::default() });
                near.write_all(b"up").await.unwrap();
                far.write_all(b"down").await.unwrap();
                assert_eq!(read(&runtime, &mut near, 1_000_000).await.unwrap().unwrap(), b"down");
                assert!(read(&runtime, &mut far, 60_000_000).await.is_none(), "nothing, and nothing says so");
                network.set(there.0, there.1, None);
                assert_eq!(
                    read(&runtime, &mut far, 1_000_000).await.unwrap().unwrap(),
                    b"up",
                    "nothing was lost"
                );
                set(back.0, back.1, LinkFaults { rate: 1000, ..LinkFaults::default() });
                let begun = runtime.now();
                far.write_all(&[7; 50]).await.unwrap();
                assert_eq!(read(&runtime, &mut near, 1_000_000).await.unwrap().unwrap().len(), 50);
                assert!((50_000..80_000).contains(&(runtime.now() - begun)), "50 bytes at 1,000 a second");
                set(back.0, back.1, LinkFaults { half_open: true, ..LinkFaults::default() });
                drop(far);
                assert!(read(&runtime, &mut near, 60_000_000).await.is_none(), "held for open");
                network.set(back.0, back.1, None);
                assert!(
                    matches!(read(&runtime, &mut near, 1_000_000).await, Some(Ok(end)) if end.is_empty())
                );
                let mut near = runtime.connect(way.address()).await.unwrap();
                let _far = listener.accept().await.unwrap();
                set(there.0, there.1, LinkFaults { cut: Some(Cut::Reset), ..LinkFaults::default() });
                let ends = |got: Option<io::Result<Vec<u8>>>| {
                    matches!(got, Some(Err(_))) || matches!(got, Some(Ok(b)) if b.is_empty())
                };
                assert!(ends(read(&runtime, &mut near, 1_000_000).await), "what is there ends");
                let mut new = runtime.connect(way.address()).await.unwrap();
                assert!(ends(read(&runtime, &mut new, 1_000_000).await), "and what is new");
            })
            .expect("it came to its end");
    }

    #[test]
    fn datagrams_know_their_link_by_who_sends() {
        let world = Simulation::new(2, 1_000_000);
        let (host, _on) = world.host(1, 0);
        let runtime: Shared = host;
        world
            .run(async move {
                let socket = || runtime.datagrams(([127, 0, 0, 1], 0).into()).unwrap();
                let (a, b, c) = (socket(), socket(), socket());
                let network = Network::default();
                let party = Party::Ingress(2);
                let relay = Relay::start(runtime.clone(), network.clone(), party, c.address(), 7).unwrap();
                network.sends_from(a.address(), Party::Ingress(0));
                network.sends_from(b.address(), Party::Ingress(1));
                let cut = LinkFaults { cut: Some(Cut::Silent), ..LinkFaults::default() };
                network.set(Party::Ingress(0), party, Some(cut));
                network.set(party, Party::Ingress(1), Some(cut)); // the other way: of no concern
                for n in 0..10 {
                    a.send(&[1, n], relay.address()).await.unwrap();
                    b.send(&[2, n], relay.address()).await.unwrap();
                }
                let mut got = Vec::new();
                let end = runtime.now() + 1_000_000;
                let mut buffer = [0; 8];
                loop {
                    let late = async {
                        runtime.sleep_until(end).await;
                        None
                    };
                    match future::or(async { c.receive(&mut buffer).await.ok() }, late).await {
                        Some(_) => got.push(buffer[0]),
                        None => break,
                    }
                }
                assert_eq!(got, [2; 10]);
                assert_eq!(
                    network.sent()[&(Party::Ingress(0), 1)],
                    (10, 20),
                    "what was sent, arrived or not"
                );
            })
            .expect("it came to its end");
    }
}
