//! A deterministic simulation of hosts and their network, on one thread: the clock jumps to the next event, streams,
//! datagrams and files are in memory, and randomness comes from a seed. Runs take no real time and repeat exactly for a seed.
//!
//! A [`Simulation`] has [`Host`]s, each a [`Runtime`] with its own address, disk and clock. A host that is killed loses its
//! tasks, its streams and the file contents that were not synced. A restarted host has the synced contents.

mod datagrams;
mod files;
mod streams;

pub use crate::link_faults::{Cut, LinkFaults};

use crate::link_faults::CUT_POLL_INTERVAL_MICROS;
use crate::{BoxFuture, Datagrams, Files, Listener, Micros, Runtime, Stream, Task};
use async_executor::Executor;
use datagrams::SimulatedSocket;
use files::{Disk, FileContent};
use futures_lite::future;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Poll, Waker};
use streams::{Direction, SimulatedListener, SimulatedStream};

/// Maximum number of bytes that are in flight or unread in one direction of a stream.
const WINDOW_BYTES: usize = 256 << 10;
/// Maximum number of received datagrams that a socket queues; more are dropped.
const MAX_QUEUED_DATAGRAMS: usize = 4096;

/// Start of the port range that ports are assigned from where port 0 is requested.
const FIRST_PORT: u16 = 40_000;

/// Initial faults of all links: a delay of 100 to 300 microseconds and nothing else.
pub const DEFAULT_LINK: LinkFaults =
    LinkFaults { delay: (100, 300), loss: 0.0, double: 0.0, tail: 0.0, rate: 0, cut: None, half_open: false };

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct ListenerState {
    host: u32,
    /// Generation of the host that bound it: dropping a listener of an earlier generation does not remove this one.
    generation: u64,
    /// Streams that wait to be accepted.
    pending: VecDeque<SimulatedStream>,
    waker: Option<Waker>,
}

struct SocketState {
    host: u32,
    generation: u64,
    received: VecDeque<(SocketAddr, Vec<u8>)>,
    waker: Option<Waker>,
}

struct State {
    now: Micros,
    rng: SmallRng,
    /// Faults of the links that are not in `links`.
    default_link: LinkFaults,
    /// Faults by sending and receiving host.
    links: BTreeMap<(u32, u32), LinkFaults>,
    /// Last sequence number of a timer or datagram; orders those of the same time.
    sequence: u64,
    timers: BTreeMap<(Micros, u64), Waker>,
    listeners: BTreeMap<SocketAddr, ListenerState>,
    sockets: BTreeMap<SocketAddr, SocketState>,
    /// Sender, receiver and content of each datagram in flight, by arrival time and sequence number.
    datagrams: BTreeMap<(Micros, u64), (SocketAddr, SocketAddr, Vec<u8>)>,
    /// Directions of streams, with the connecting and the accepting host.
    directions: Vec<(u32, u32, std::sync::Weak<Mutex<Direction>>)>,
    /// Files by host and path.
    disks: BTreeMap<(u32, PathBuf), FileContent>,
    /// Last port that was assigned.
    last_port: u16,
    /// Generation of each host: incremented when the host is started and when it is killed.
    generations: BTreeMap<u32, u64>,
}

/// A simulation of hosts and the links between them.
#[derive(Clone)]
pub struct Simulation {
    state: Arc<Mutex<State>>,
    executor: Arc<Executor<'static>>,
}

/// A simulated host, from its start until it is killed.
pub struct Host {
    simulation: Simulation,
    number: u32,
    /// How far its clock is ahead of the simulation's.
    clock_ahead: Micros,
    generation: u64,
    /// Closed when the host is killed.
    killed: async_channel::Receiver<()>,
    files: Disk,
}

/// Keeps a host running. Kills it when dropped or by [`HostGuard::kill`].
pub struct HostGuard {
    simulation: Simulation,
    number: u32,
    /// Dropped to cancel the host's tasks.
    kill: Option<async_channel::Sender<()>>,
}

impl Simulation {
    /// Creates a simulation whose clock starts at `begin` and whose randomness derives from `seed`.
    pub fn new(seed: u64, begin: Micros) -> Simulation {
        let state = State {
            now: begin,
            rng: SmallRng::seed_from_u64(seed),
            default_link: DEFAULT_LINK,
            links: BTreeMap::new(),
            sequence: 0,
            timers: BTreeMap::new(),
            listeners: BTreeMap::new(),
            sockets: BTreeMap::new(),
            datagrams: BTreeMap::new(),
            directions: Vec::new(),
            disks: BTreeMap::new(),
            last_port: FIRST_PORT,
            generations: BTreeMap::new(),
        };
        Simulation { state: Arc::new(Mutex::new(state)), executor: Arc::new(Executor::new()) }
    }

    /// Replaces the faults of all links that have none of their own.
    pub fn set_default_link(&self, faults: LinkFaults) {
        lock(&self.state).default_link = faults;
    }

    /// Replaces the faults of the link from one host to another, in this direction; `None` restores the default.
    pub fn set_link(&self, from: u32, to: u32, faults: Option<LinkFaults>) {
        let affected: Vec<Arc<Mutex<Direction>>> = {
            let mut state = lock(&self.state);
            match faults {
                Some(faults) => state.links.insert((from, to), faults),
                None => state.links.remove(&(from, to)),
            };
            let reset = faults.is_some_and(|faults| faults.cut == Some(Cut::Reset));
            let between =
                |d: &&(u32, u32, _)| reset && ((d.0, d.1) == (from, to) || (d.1, d.0) == (from, to));
            state.directions.iter().filter(between).filter_map(|d| d.2.upgrade()).collect()
        };
        for direction in affected {
            let mut direction = lock(&direction);
            direction.reset = true;
            direction.wake();
        }
    }

    /// Starts or restarts host `number`, with the files that its disk has. Its clock is `clock_ahead` microseconds ahead of
    /// the simulation's.
    pub fn host(&self, number: u32, clock_ahead: Micros) -> (Arc<Host>, HostGuard) {
        let (kill, killed) = async_channel::bounded(1);
        let generation = {
            let mut state = lock(&self.state);
            let generation = state.generations.entry(number).or_default();
            *generation += 1;
            *generation
        };
        let files = Disk { state: self.state.clone(), host: number, generation };
        let host = Host { simulation: self.clone(), number, clock_ahead, generation, killed, files };
        (Arc::new(host), HostGuard { simulation: self.clone(), number, kill: Some(kill) })
    }

    /// Runs until `main` completes and returns its result, or `None` if all tasks wait and no event is left.
    pub fn run<T: 'static>(&self, main: impl Future<Output = T> + 'static) -> Option<T> {
        let local = async_executor::LocalExecutor::new();
        let mut task = local.spawn(main);
        loop {
            // Runs the tasks that are ready at the current time, in the order in which they were woken.
            while local.try_tick() || self.executor.try_tick() {}
            if let Some(result) = future::block_on(future::poll_once(&mut task)) {
                return Some(result);
            }
            if !self.advance() {
                return None;
            }
        }
    }

    /// Advances the clock to the next timer or datagram; returns false if there is none.
    fn advance(&self) -> bool {
        let mut woken = Vec::new();
        {
            let mut state = lock(&self.state);
            let timer = state.timers.keys().next().map(|key| key.0);
            let datagram = state.datagrams.keys().next().map(|key| key.0);
            let Some(at) = timer.into_iter().chain(datagram).min() else { return false };
            state.now = state.now.max(at);
            let now = state.now;
            while let Some(entry) = state.datagrams.first_entry().filter(|e| e.key().0 <= now) {
                let (from, to, bytes) = entry.remove();
                let socket = state.sockets.get_mut(&to);
                if let Some(socket) = socket.filter(|s| s.received.len() < MAX_QUEUED_DATAGRAMS) {
                    socket.received.push_back((from, bytes));
                    woken.extend(socket.waker.take());
                }
            }
            while let Some(entry) = state.timers.first_entry().filter(|e| e.key().0 <= now) {
                woken.push(entry.remove());
            }
        }
        woken.into_iter().for_each(Waker::wake);
        true
    }
}

impl State {
    fn wake_at(&mut self, at: Micros, waker: Waker) {
        self.sequence += 1;
        self.timers.insert((at, self.sequence), waker);
    }

    fn link(&self, from: u32, to: u32) -> LinkFaults {
        self.links.get(&(from, to)).copied().unwrap_or(self.default_link)
    }

    /// Replaces an unspecified IP address by the host's, and port 0 by the next port.
    fn bind_address(&mut self, host: u32, at: SocketAddr) -> SocketAddr {
        let ip = if at.ip().is_unspecified() { address(host) } else { at.ip() };
        if at.port() != 0 {
            return SocketAddr::new(ip, at.port());
        }
        self.last_port = self.last_port.checked_add(1).unwrap_or(FIRST_PORT);
        SocketAddr::new(ip, self.last_port)
    }
}

/// Returns the number of the host that has the IP address `at`.
fn host_at(at: SocketAddr) -> u32 {
    match at.ip() {
        IpAddr::V4(ip) => u32::from(ip) & 0x00ff_ffff,
        IpAddr::V6(_) => 0,
    }
}

/// Returns the IP address of a host: 10.0.0.0 plus its number.
pub fn address(host: u32) -> IpAddr {
    let [_, a, b, c] = host.to_be_bytes();
    Ipv4Addr::new(10, a, b, c).into()
}

impl HostGuard {
    /// Kills the host: cancels its tasks, resets its streams, unbinds its listeners and sockets, and discards the contents
    /// of its files that were not synced.
    pub fn kill(&mut self) {
        let Some(kill) = self.kill.take() else { return };
        drop(kill);
        let affected: Vec<Arc<Mutex<Direction>>> = {
            let mut state = lock(&self.simulation.state);
            let number = self.number;
            *state.generations.entry(number).or_default() += 1;
            state.listeners.retain(|_, l| l.host != number);
            state.sockets.retain(|_, s| s.host != number);
            state.disks.iter_mut().filter(|f| f.0 .0 == number).for_each(|f| f.1.unsynced.clear());
            let affected = state.directions.iter().filter(|d| d.0 == number || d.1 == number);
            let affected = affected.filter_map(|d| d.2.upgrade()).collect();
            state.directions.retain(|d| d.0 != number && d.1 != number && d.2.strong_count() > 0);
            affected
        };
        for direction in affected {
            let mut direction = lock(&direction);
            direction.reset = true;
            direction.wake();
        }
    }
}

impl Drop for HostGuard {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Fails if this generation of the host was killed.
fn check_running(state: &State, host: u32, generation: u64) -> io::Result<()> {
    match state.generations.get(&host) {
        Some(current) if *current == generation => Ok(()),
        _ => Err(io::Error::other(format!("host {host} was killed"))),
    }
}

impl Runtime for Host {
    fn now(&self) -> Micros {
        lock(&self.simulation.state).now + self.clock_ahead
    }

    fn sleep_until(&self, at: Micros) -> BoxFuture<'static, ()> {
        let shared = self.simulation.state.clone();
        let at = at.saturating_sub(self.clock_ahead);
        Box::pin(future::poll_fn(move |cx| {
            let mut state = lock(&shared);
            if state.now >= at {
                return Poll::Ready(());
            }
            // Wakers of earlier polls stay registered; the wakeups that they cause in addition are harmless.
            state.wake_at(at, cx.waker().clone());
            Poll::Pending
        }))
    }

    fn spawn(&self, task: BoxFuture<'static, ()>) -> Task {
        let killed = self.killed.clone();
        self.simulation.executor.spawn(async move {
            let cancelled = async move {
                let _ = killed.recv().await; // returns when the sender in `HostGuard` is dropped
            };
            future::or(cancelled, task).await;
        })
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        let mut state = lock(&self.simulation.state);
        check_running(&state, self.number, self.generation)?;
        let at = state.bind_address(self.number, at);
        if state.listeners.contains_key(&at) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let generation = self.generation;
        let listener = ListenerState { host: self.number, generation, pending: VecDeque::new(), waker: None };
        state.listeners.insert(at, listener);
        Ok(Box::new(SimulatedListener { state: self.simulation.state.clone(), at, generation }))
    }

    fn connect_from(
        &self,
        from: Option<IpAddr>,
        to: SocketAddr,
    ) -> BoxFuture<'static, io::Result<Box<dyn Stream>>> {
        let shared = self.simulation.state.clone();
        let client = self.number;
        let generation = self.generation;
        let arrival = {
            let mut state = lock(&shared);
            let delay = state.link(client, host_at(to)).sample_stream_delay(&mut state.rng);
            state.now + delay
        };
        let wait = self.sleep_until(arrival + self.clock_ahead);
        Box::pin(async move {
            wait.await;
            // A connection attempt hangs while the link is cut silently.
            future::poll_fn(|cx| {
                let mut state = lock(&shared);
                if state.link(client, host_at(to)).cut != Some(Cut::Silent) {
                    return Poll::Ready(());
                }
                let next_poll = state.now + CUT_POLL_INTERVAL_MICROS;
                state.wake_at(next_poll, cx.waker().clone());
                Poll::Pending
            })
            .await;
            let mut state = lock(&shared);
            check_running(&state, client, generation)?;
            if state.link(client, host_at(to)).cut == Some(Cut::Reset) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let from = state.bind_address(client, SocketAddr::new(from.unwrap_or(address(client)), 0));
            let Some(server) = state.listeners.get(&to).map(|l| l.host) else {
                return Err(io::ErrorKind::ConnectionRefused.into());
            };
            let to_server = Arc::new(Mutex::new(Direction::default()));
            let to_client = Arc::new(Mutex::new(Direction::default()));
            state.directions.push((client, server, Arc::downgrade(&to_server)));
            state.directions.push((client, server, Arc::downgrade(&to_client)));
            if state.directions.len() % 256 == 0 {
                state.directions.retain(|d| d.2.strong_count() > 0);
            }
            let server_end = SimulatedStream {
                state: shared.clone(),
                local_host: server,
                peer_host: client,
                peer: from,
                read: to_server.clone(),
                write: to_client.clone(),
            };
            if let Some(listener) = state.listeners.get_mut(&to) {
                listener.pending.push_back(server_end);
                listener.waker.take().into_iter().for_each(Waker::wake);
            }
            let client_end = SimulatedStream {
                state: shared.clone(),
                local_host: client,
                peer_host: server,
                peer: to,
                read: to_client,
                write: to_server,
            };
            Ok(Box::new(client_end) as Box<dyn Stream>)
        })
    }

    fn datagrams(&self, at: SocketAddr) -> io::Result<Box<dyn Datagrams>> {
        let mut state = lock(&self.simulation.state);
        check_running(&state, self.number, self.generation)?;
        let at = state.bind_address(self.number, at);
        if state.sockets.contains_key(&at) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let generation = self.generation;
        let socket = SocketState { host: self.number, generation, received: VecDeque::new(), waker: None };
        state.sockets.insert(at, socket);
        Ok(Box::new(SimulatedSocket { state: self.simulation.state.clone(), at, generation }))
    }

    fn files(&self) -> &dyn Files {
        &self.files
    }

    fn random(&self) -> u64 {
        lock(&self.simulation.state).rng.random()
    }

    fn descriptors(&self) -> u64 {
        20_000
    }
}
