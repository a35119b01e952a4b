//! A world without a system: one thread, a clock that jumps to the next thing that happens, streams, datagrams and files in
//! memory, randomness from a seed. What runs on it runs in no real time, and alike each time.
//!
//! A [`World`] has [`Host`]s, each a [`Runtime`]: a machine with an address, a disk and a clock of its own. A host that is
//! killed loses its tasks, its streams and what its disk had not synced; started again it has what is left.

pub use crate::link_faults::{Cut, LinkFaults};

use crate::link_faults::LOOK;
use crate::{Append, BoxFuture, Datagrams, Files, Listener, Micros, Runtime, Stream, Task};
use async_executor::Executor;
use futures_lite::future;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

/// Bytes that may be under way in one direction of a stream.
const WINDOW: usize = 256 << 10;
/// Datagrams that may wait at a socket.
const DATAGRAMS: usize = 4096;

/// What links do that nobody has set.
pub const USUAL: LinkFaults =
    LinkFaults { delay: (100, 300), loss: 0.0, double: 0.0, tail: 0.0, rate: 0, cut: None, half_open: false };

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One direction of a stream.
#[derive(Default)]
struct Way {
    /// Bytes with the time when they are there.
    under_way: VecDeque<(Micros, Vec<u8>)>,
    held: usize,
    /// The writer has closed; the reader sees the end after all bytes.
    ended: bool,
    /// Nothing more goes: the reader is gone, or a host died.
    reset: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

impl Way {
    fn wake(&mut self) {
        self.reader.take().into_iter().chain(self.writer.take()).for_each(Waker::wake);
    }
}

struct Door {
    host: u32,
    /// Of that host: one of an earlier life that is dropped late leaves the later one alone.
    life: u64,
    waiting: VecDeque<End>,
    waker: Option<Waker>,
}

struct Mailbox {
    host: u32,
    life: u64,
    letters: VecDeque<(SocketAddr, Vec<u8>)>,
    waker: Option<Waker>,
}

#[derive(Default)]
struct Content {
    safe: Vec<u8>,
    loose: Vec<u8>,
}

struct State {
    now: Micros,
    rng: SmallRng,
    weather: LinkFaults,
    /// Those between two hosts, in one direction, that are not as usual.
    links: BTreeMap<(u32, u32), LinkFaults>,
    set: u64,
    timers: BTreeMap<(Micros, u64), Waker>,
    doors: BTreeMap<SocketAddr, Door>,
    boxes: BTreeMap<SocketAddr, Mailbox>,
    /// Datagrams under way.
    letters: BTreeMap<(Micros, u64), (SocketAddr, SocketAddr, Vec<u8>)>,
    /// Directions of streams, with the hosts at their ends.
    ways: Vec<(u32, u32, std::sync::Weak<Mutex<Way>>)>,
    disks: BTreeMap<(u32, PathBuf), Content>,
    ports: u16,
    lives: BTreeMap<u32, u64>,
}

/// The world.
#[derive(Clone)]
pub struct World {
    state: Arc<Mutex<State>>,
    executor: Arc<Executor<'static>>,
}

/// A machine in the world, as long as it lives.
pub struct Host {
    world: World,
    no: u32,
    /// What its clock is ahead by.
    ahead: Micros,
    life: u64,
    death: async_channel::Receiver<()>,
    files: Disk,
}

/// Kills its host when it is dropped, or told to.
pub struct Power {
    world: World,
    no: u32,
    off: Option<async_channel::Sender<()>>,
}

impl World {
    /// A world that begins at a time, with all chance from a seed.
    pub fn new(seed: u64, begin: Micros) -> World {
        let state = State {
            now: begin,
            rng: SmallRng::seed_from_u64(seed),
            weather: USUAL,
            links: BTreeMap::new(),
            set: 0,
            timers: BTreeMap::new(),
            doors: BTreeMap::new(),
            boxes: BTreeMap::new(),
            letters: BTreeMap::new(),
            ways: Vec::new(),
            disks: BTreeMap::new(),
            ports: 40_000,
            lives: BTreeMap::new(),
        };
        World { state: Arc::new(Mutex::new(state)), executor: Arc::new(Executor::new()) }
    }

    /// Changes the weather of all links that have none of their own.
    pub fn weather(&self, weather: LinkFaults) {
        lock(&self.state).weather = weather;
    }

    /// Changes the link from one host to another, in this direction; none: it is like the others again.
    pub fn link(&self, from: u32, to: u32, weather: Option<LinkFaults>) {
        let hit: Vec<Arc<Mutex<Way>>> = {
            let mut s = lock(&self.state);
            match weather {
                Some(w) => s.links.insert((from, to), w),
                None => s.links.remove(&(from, to)),
            };
            let reset = weather.is_some_and(|w| w.cut == Some(Cut::Reset));
            let between =
                |w: &&(u32, u32, _)| reset && ((w.0, w.1) == (from, to) || (w.1, w.0) == (from, to));
            s.ways.iter().filter(between).filter_map(|w| w.2.upgrade()).collect()
        };
        for way in hit {
            let mut w = lock(&way);
            w.reset = true;
            w.wake();
        }
    }

    /// Starts a host, or starts it again with what its disk kept.
    pub fn host(&self, no: u32, ahead: Micros) -> (Arc<Host>, Power) {
        let (off, death) = async_channel::bounded(1);
        let life = {
            let mut s = lock(&self.state);
            let life = s.lives.entry(no).or_default();
            *life += 1;
            *life
        };
        let files = Disk { state: self.state.clone(), no, life };
        let host = Host { world: self.clone(), no, ahead, life, death, files };
        (Arc::new(host), Power { world: self.clone(), no, off: Some(off) })
    }

    /// Runs until a future ends, or nothing can happen any more: none then.
    pub fn run<T: 'static>(&self, main: impl Future<Output = T> + 'static) -> Option<T> {
        let local = async_executor::LocalExecutor::new();
        let mut task = local.spawn(main);
        loop {
            // All that can go on without time passing, in the order in which it was woken.
            while local.try_tick() || self.executor.try_tick() {}
            if let Some(done) = future::block_on(future::poll_once(&mut task)) {
                return Some(done);
            }
            if !self.next() {
                return None;
            }
        }
    }

    /// Goes on to the next time at which something happens.
    fn next(&self) -> bool {
        let mut woken = Vec::new();
        {
            let mut s = lock(&self.state);
            let timer = s.timers.keys().next().map(|t| t.0);
            let letter = s.letters.keys().next().map(|t| t.0);
            let Some(at) = timer.into_iter().chain(letter).min() else { return false };
            s.now = s.now.max(at);
            let now = s.now;
            while let Some(entry) = s.letters.first_entry().filter(|e| e.key().0 <= now) {
                let (from, to, bytes) = entry.remove();
                if let Some(b) = s.boxes.get_mut(&to).filter(|b| b.letters.len() < DATAGRAMS) {
                    b.letters.push_back((from, bytes));
                    woken.extend(b.waker.take());
                }
            }
            while let Some(entry) = s.timers.first_entry().filter(|e| e.key().0 <= now) {
                woken.push(entry.remove());
            }
        }
        woken.into_iter().for_each(Waker::wake);
        true
    }
}

impl State {
    fn wake_at(&mut self, at: Micros, waker: Waker) {
        self.set += 1;
        self.timers.insert((at, self.set), waker);
    }

    fn link(&self, from: u32, to: u32) -> LinkFaults {
        self.links.get(&(from, to)).copied().unwrap_or(self.weather)
    }

    fn address(&mut self, no: u32, at: SocketAddr) -> SocketAddr {
        let ip = if at.ip().is_unspecified() { address(no) } else { at.ip() };
        if at.port() != 0 {
            return SocketAddr::new(ip, at.port());
        }
        self.ports = self.ports.checked_add(1).unwrap_or(40_000);
        SocketAddr::new(ip, self.ports)
    }
}

/// The host at an address.
fn host_at(at: SocketAddr) -> u32 {
    match at.ip() {
        IpAddr::V4(ip) => u32::from(ip) & 0x00ff_ffff,
        IpAddr::V6(_) => 0,
    }
}

/// The address of a host.
pub fn address(no: u32) -> IpAddr {
    let [_, a, b, c] = no.to_be_bytes();
    Ipv4Addr::new(10, a, b, c).into()
}

impl Power {
    /// The host dies: tasks, streams and listeners go, and of its files what was not synced.
    pub fn kill(&mut self) {
        let Some(off) = self.off.take() else { return };
        drop(off);
        let ways: Vec<Arc<Mutex<Way>>> = {
            let mut s = lock(&self.world.state);
            let no = self.no;
            *s.lives.entry(no).or_default() += 1;
            s.doors.retain(|_, d| d.host != no);
            s.boxes.retain(|_, b| b.host != no);
            s.disks.iter_mut().filter(|d| d.0 .0 == no).for_each(|d| d.1.loose.clear());
            let hit = s.ways.iter().filter(|w| w.0 == no || w.1 == no);
            let hit = hit.filter_map(|w| w.2.upgrade()).collect();
            s.ways.retain(|w| w.0 != no && w.1 != no && w.2.strong_count() > 0);
            hit
        };
        for way in ways {
            let mut w = lock(&way);
            w.reset = true;
            w.wake();
        }
    }
}

impl Drop for Power {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---- streams ----

/// One end of a stream.
struct End {
    state: Arc<Mutex<State>>,
    /// This host, and the other one.
    hosts: (u32, u32),
    peer: SocketAddr,
    read: Arc<Mutex<Way>>,
    write: Arc<Mutex<Way>>,
}

impl Stream for End {
    fn peer(&self) -> SocketAddr {
        self.peer
    }

    fn left(&self) -> bool {
        let s = lock(&self.state);
        let link = s.link(self.hosts.1, self.hosts.0);
        let way = lock(&self.read);
        // A side that was shut is known once all that was sent before it has come.
        let come = way.under_way.back().is_none_or(|(at, _)| *at <= s.now);
        link.cut != Some(Cut::Silent) && !link.half_open && (way.reset || way.ended && come)
    }
}

impl futures_lite::AsyncRead for End {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        let mut s = lock(&self.state);
        let link = s.link(self.hosts.1, self.hosts.0);
        let mut way = lock(&self.read);
        let over = way.reset || way.ended && way.under_way.is_empty();
        if link.cut == Some(Cut::Silent) || link.half_open && over {
            let again = s.now + LOOK;
            s.wake_at(again, cx.waker().clone());
            return Poll::Pending;
        }
        if way.reset {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let ended = way.ended;
        match way.under_way.front_mut() {
            Some((at, bytes)) if *at <= s.now => {
                let n = bytes.len().min(buffer.len());
                buffer[..n].copy_from_slice(&bytes[..n]);
                bytes.drain(..n);
                if bytes.is_empty() {
                    way.under_way.pop_front();
                }
                way.held -= n;
                if let Some(w) = way.writer.take() {
                    w.wake();
                }
                Poll::Ready(Ok(n))
            }
            Some((at, _)) => {
                s.wake_at(*at, cx.waker().clone());
                way.reader = Some(cx.waker().clone());
                Poll::Pending
            }
            None if ended => Poll::Ready(Ok(0)),
            None => {
                way.reader = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }
}

impl futures_lite::AsyncWrite for End {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let mut s = lock(&self.state);
        let mut way = lock(&self.write);
        if way.reset || way.ended {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let n = bytes.len().min(WINDOW - way.held.min(WINDOW));
        if n == 0 {
            way.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        // In order: nothing overtakes what was written before.
        let last = way.under_way.back().map_or(0, |w| w.0);
        let link = s.link(self.hosts.0, self.hosts.1);
        let at = (s.now + link.late_on_stream(&mut s.rng)).max(last) + link.passing(n);
        way.under_way.push_back((at, bytes[..n].to_vec()));
        way.held += n;
        if let Some(reader) = way.reader.take() {
            s.wake_at(at, reader);
        }
        Poll::Ready(Ok(n))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut way = lock(&self.write);
        way.ended = true;
        way.wake();
        Poll::Ready(Ok(()))
    }
}

impl Drop for End {
    fn drop(&mut self) {
        let mut write = lock(&self.write);
        write.ended = true;
        write.wake();
        drop(write);
        let mut read = lock(&self.read);
        read.reset = true;
        read.wake();
    }
}

struct Accepts {
    state: Arc<Mutex<State>>,
    at: SocketAddr,
    life: u64,
}

impl Listener for Accepts {
    fn address(&self) -> SocketAddr {
        self.at
    }

    fn accept(&self) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(future::poll_fn(|cx| {
            let mut s = lock(&self.state);
            let Some(door) = s.doors.get_mut(&self.at).filter(|d| d.life == self.life) else {
                return Poll::Pending;
            };
            if let Some(end) = door.waiting.pop_front() {
                return Poll::Ready(Ok(Box::new(end) as Box<dyn Stream>));
            }
            door.waker = Some(cx.waker().clone());
            Poll::Pending
        }))
    }
}

impl Drop for Accepts {
    fn drop(&mut self) {
        let mut s = lock(&self.state);
        if s.doors.get(&self.at).is_some_and(|d| d.life == self.life) {
            s.doors.remove(&self.at);
        }
    }
}

struct Post {
    state: Arc<Mutex<State>>,
    at: SocketAddr,
    life: u64,
}

impl Datagrams for Post {
    fn address(&self) -> SocketAddr {
        self.at
    }

    fn send<'a>(&'a self, bytes: &'a [u8], to: SocketAddr) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            let mut s = lock(&self.state);
            let link = s.link(host_at(self.at), host_at(to));
            if s.rng.random::<f64>() < link.loss || link.cut.is_some() {
                return Ok(());
            }
            let copies = 1 + u32::from(s.rng.random::<f64>() < link.double);
            for _ in 0..copies {
                let at = s.now + link.late(&mut s.rng) + link.passing(bytes.len());
                s.set += 1;
                let key = (at, s.set);
                s.letters.insert(key, (self.at, to, bytes.to_vec()));
            }
            Ok(())
        })
    }

    fn receive<'a>(&'a self, buffer: &'a mut [u8]) -> BoxFuture<'a, io::Result<(usize, SocketAddr)>> {
        Box::pin(future::poll_fn(move |cx| {
            let mut s = lock(&self.state);
            let Some(b) = s.boxes.get_mut(&self.at).filter(|b| b.life == self.life) else {
                return Poll::Pending;
            };
            if let Some((from, bytes)) = b.letters.pop_front() {
                let n = bytes.len().min(buffer.len());
                buffer[..n].copy_from_slice(&bytes[..n]);
                return Poll::Ready(Ok((n, from)));
            }
            b.waker = Some(cx.waker().clone());
            Poll::Pending
        }))
    }
}

impl Drop for Post {
    fn drop(&mut self) {
        let mut s = lock(&self.state);
        if s.boxes.get(&self.at).is_some_and(|b| b.life == self.life) {
            s.boxes.remove(&self.at);
        }
    }
}

// ---- files ----

struct Disk {
    state: Arc<Mutex<State>>,
    no: u32,
    life: u64,
}

struct Log {
    state: Arc<Mutex<State>>,
    no: u32,
    life: u64,
    path: PathBuf,
}

/// The files of a life that is over are out of reach.
fn alive(s: &State, no: u32, life: u64) -> io::Result<()> {
    match s.lives.get(&no) {
        Some(now) if *now == life => Ok(()),
        _ => Err(io::Error::other("the machine is off")),
    }
}

impl Append for Log {
    fn append<'a>(&'a mut self, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            let mut s = lock(&self.state);
            alive(&s, self.no, self.life)?;
            s.disks.entry((self.no, self.path.clone())).or_default().loose.extend(bytes);
            Ok(())
        })
    }

    fn sync<'a>(&'a mut self) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            let mut s = lock(&self.state);
            alive(&s, self.no, self.life)?;
            let file = s.disks.entry((self.no, self.path.clone())).or_default();
            let loose = std::mem::take(&mut file.loose);
            file.safe.extend(loose);
            Ok(())
        })
    }
}

impl Disk {
    fn with<T>(&self, act: impl FnOnce(&mut State, u32) -> io::Result<T>) -> io::Result<T> {
        let mut s = lock(&self.state);
        alive(&s, self.no, self.life)?;
        act(&mut s, self.no)
    }
}

impl Files for Disk {
    fn append<'a>(&'a self, path: &'a Path, len: u64) -> BoxFuture<'a, io::Result<Box<dyn Append>>> {
        Box::pin(async move {
            self.with(|s, no| {
                let file = s.disks.entry((no, path.to_owned())).or_default();
                let loose = std::mem::take(&mut file.loose);
                file.safe.extend(loose);
                file.safe.truncate(usize::try_from(len).unwrap_or(usize::MAX));
                Ok(())
            })?;
            let (state, no, life) = (self.state.clone(), self.no, self.life);
            Ok(Box::new(Log { state, no, life, path: path.to_owned() }) as Box<dyn Append>)
        })
    }

    fn names<'a>(&'a self, folder: &'a Path) -> BoxFuture<'a, io::Result<Vec<String>>> {
        Box::pin(async move {
            self.with(|s, no| {
                let here = s.disks.keys().filter(|k| k.0 == no && k.1.parent() == Some(folder));
                Ok(here.filter_map(|k| Some(k.1.file_name()?.to_str()?.to_owned())).collect())
            })
        })
    }

    fn read<'a>(&'a self, path: &'a Path, most: u64) -> BoxFuture<'a, io::Result<Vec<u8>>> {
        Box::pin(async move {
            self.with(|s, no| {
                let file = s.disks.get(&(no, path.to_owned())).ok_or(io::ErrorKind::NotFound)?;
                let bytes = [&file.safe[..], &file.loose].concat();
                if bytes.len() as u64 > most {
                    return Err(io::ErrorKind::FileTooLarge.into());
                }
                Ok(bytes)
            })
        })
    }

    fn replace<'a>(&'a self, path: &'a Path, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            self.with(|s, no| {
                s.disks.insert((no, path.to_owned()), Content { safe: bytes, loose: Vec::new() });
                Ok(())
            })
        })
    }

    fn create<'a>(&'a self, path: &'a Path, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<bool>> {
        Box::pin(async move {
            self.with(|s, no| {
                let key = (no, path.to_owned());
                let new = !s.disks.contains_key(&key);
                if new {
                    s.disks.insert(key, Content { safe: bytes, loose: Vec::new() });
                }
                Ok(new)
            })
        })
    }

    fn remove<'a>(&'a self, path: &'a Path) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            self.with(|s, no| {
                s.disks.remove(&(no, path.to_owned()));
                Ok(())
            })
        })
    }

    fn stamp<'a>(&'a self, path: &'a Path) -> BoxFuture<'a, io::Result<(Micros, u64)>> {
        Box::pin(async move {
            self.with(|s, no| {
                let file = s.disks.get(&(no, path.to_owned())).ok_or(io::ErrorKind::NotFound)?;
                Ok((0, (file.safe.len() + file.loose.len()) as u64))
            })
        })
    }
}

// ---- the runtime ----

impl Runtime for Host {
    fn now(&self) -> Micros {
        lock(&self.world.state).now + self.ahead
    }

    fn sleep_until(&self, at: Micros) -> BoxFuture<'static, ()> {
        let (state, at) = (self.world.state.clone(), at.saturating_sub(self.ahead));
        Box::pin(future::poll_fn(move |cx| {
            let mut s = lock(&state);
            if s.now >= at {
                return Poll::Ready(());
            }
            // Whoever polls last is woken; a waker of before wakes a task that looks and goes on waiting.
            s.wake_at(at, cx.waker().clone());
            Poll::Pending
        }))
    }

    fn spawn(&self, task: BoxFuture<'static, ()>) -> Task {
        let death = self.death.clone();
        self.world.executor.spawn(async move {
            let dead = async move {
                let _ = death.recv().await; // its other end is the power
            };
            future::or(dead, task).await;
        })
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        let mut s = lock(&self.world.state);
        alive(&s, self.no, self.life)?;
        let at = s.address(self.no, at);
        if s.doors.contains_key(&at) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        s.doors.insert(at, Door { host: self.no, life: self.life, waiting: VecDeque::new(), waker: None });
        Ok(Box::new(Accepts { state: self.world.state.clone(), at, life: self.life }))
    }

    fn connect_from(
        &self,
        from: Option<IpAddr>,
        to: SocketAddr,
    ) -> BoxFuture<'static, io::Result<Box<dyn Stream>>> {
        let (state, no, life) = (self.world.state.clone(), self.no, self.life);
        let arrive = {
            let mut s = lock(&state);
            let delay = s.link(no, host_at(to)).late_on_stream(&mut s.rng);
            s.now + delay
        };
        let wait = self.sleep_until(arrive + self.ahead);
        Box::pin(async move {
            wait.await;
            // Where a link is cut without a sign the connection hangs.
            future::poll_fn(|cx| {
                let mut s = lock(&state);
                if s.link(no, host_at(to)).cut != Some(Cut::Silent) {
                    return Poll::Ready(());
                }
                let again = s.now + LOOK;
                s.wake_at(again, cx.waker().clone());
                Poll::Pending
            })
            .await;
            let mut s = lock(&state);
            alive(&s, no, life)?;
            if s.link(no, host_at(to)).cut == Some(Cut::Reset) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let near = s.address(no, SocketAddr::new(from.unwrap_or(address(no)), 0));
            let Some(host) = s.doors.get(&to).map(|d| d.host) else {
                return Err(io::ErrorKind::ConnectionRefused.into());
            };
            let (a, b) = (Arc::new(Mutex::new(Way::default())), Arc::new(Mutex::new(Way::default())));
            s.ways.push((no, host, Arc::downgrade(&a)));
            s.ways.push((no, host, Arc::downgrade(&b)));
            if s.ways.len() % 256 == 0 {
                s.ways.retain(|w| w.2.strong_count() > 0);
            }
            let (hosts, state2) = ((host, no), state.clone());
            let far = End { state: state2, hosts, peer: near, read: a.clone(), write: b.clone() };
            if let Some(door) = s.doors.get_mut(&to) {
                door.waiting.push_back(far);
                if let Some(waker) = door.waker.take() {
                    waker.wake();
                }
            }
            let hosts = (no, host);
            Ok(Box::new(End { state: state.clone(), hosts, peer: to, read: b, write: a }) as Box<dyn Stream>)
        })
    }

    fn datagrams(&self, at: SocketAddr) -> io::Result<Box<dyn Datagrams>> {
        let mut s = lock(&self.world.state);
        alive(&s, self.no, self.life)?;
        let at = s.address(self.no, at);
        if s.boxes.contains_key(&at) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        s.boxes.insert(at, Mailbox { host: self.no, life: self.life, letters: VecDeque::new(), waker: None });
        Ok(Box::new(Post { state: self.world.state.clone(), at, life: self.life }))
    }

    fn files(&self) -> &dyn Files {
        &self.files
    }

    fn random(&self) -> u64 {
        lock(&self.world.state).rng.random()
    }

    fn descriptors(&self) -> u64 {
        20_000
    }
}
