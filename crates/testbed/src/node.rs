//! A stand-in intake node: cores that work in order of arrival, a cold start with falling over, a cell that drops
//! repeats of a key, load reports, and faults on command.

use crate::journal::{Journal, Seen, CALL_ENTRY};
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use chalkgap_runtime::{Listener, Micros, Shared, Stream};
use chalkgap_transport::{while_alive, Pipe, Turn};
use chalkgap_wire::grpc::{self, Deframer, Status};
use chalkgap_wire::http2::{Code, Config, Connection, Event, Field};
use chalkgap_wire::intake::{self, Done, Work};
use chalkgap_wire::orca;
use chalkgap_wire::truth::{self, Answer, Fate, Question};
use prost::Message;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What a node is.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Requests in work at once.
    pub cores: usize,
    /// Work is divided by it.
    pub speed: f64,
    /// Mean work of each class in microseconds; a class that is not there costs nothing.
    pub work: HashMap<String, f64>,
    /// Share of the capacity at the start of the process.
    pub cold_from: f64,
    /// Until it is warm; 0: it starts warm.
    pub cold_time: Micros,
    /// It falls over when sent more than this multiple of its present capacity ...
    pub fall_factor: f64,
    /// ... for this long.
    pub fall_time: Micros,
    /// Requests that may wait; more are refused unseen (REFUSED_STREAM).
    pub queue: usize,
    /// Its cell's memory of keys.
    pub cell: Cell,
    /// Its own count of what it ran, which outlives its process.
    pub tally: Tally,
    /// Seed of its work times and faults.
    pub seed: u64,
}

impl Default for Machine {
    fn default() -> Self {
        Machine {
            cores: 3,
            speed: 1.0,
            work: HashMap::new(),
            cold_from: 0.2,
            cold_time: 0,
            fall_factor: 3.0,
            fall_time: 2_000_000,
            queue: 10_000,
            cell: Cell::new("", 5_000_000),
            tally: Tally::default(),
            seed: 1,
        }
    }
}

/// The keys that the nodes of a cell remember, one memory for all of them.
#[derive(Clone, Debug)]
pub struct Cell {
    /// Its name.
    pub name: String,
    window: Micros,
    keys: Arc<Mutex<HashMap<String, (Micros, String)>>>,
}

impl Cell {
    /// A cell that drops repeats for `window`.
    pub fn new(name: &str, window: Micros) -> Self {
        Cell { name: name.into(), window, keys: Arc::default() }
    }

    /// Notes a key; for a repeat, the request that it came with first.
    fn repeat(&self, key: &str, request: &str, now: Micros) -> Option<String> {
        let mut keys = lock(&self.keys);
        if keys.len() > 100_000 {
            keys.retain(|_, (at, _)| now - *at <= self.window);
        }
        match keys.get(key) {
            Some((at, first)) if now.saturating_sub(*at) <= self.window => Some(first.clone()),
            _ => {
                keys.insert(key.into(), (now, request.into()));
                None
            }
        }
    }
}

/// What a request used at a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Used {
    /// Whose.
    pub account: String,
    /// Units.
    pub units: u64,
    /// When the ingress took it, by its own word; 0 where it did not say.
    pub entered: Micros,
}

#[derive(Debug, Default)]
struct Counts {
    ran: BTreeMap<String, Used>,
    running: BTreeSet<String>,
    barred: BTreeSet<String>,
}

/// A node's own count by request, kept on what stands for its disk.
#[derive(Clone, Debug, Default)]
pub struct Tally(Arc<Mutex<Counts>>);

impl Tally {
    /// All that ran, by the request's name.
    pub fn ran(&self) -> BTreeMap<String, Used> {
        lock(&self.0).ran.clone()
    }

    /// A process starts: what was in work died with the one before.
    fn restart(&self) {
        lock(&self.0).running.clear();
    }

    /// Takes a request into work; false if it was said that it will never run.
    fn begin(&self, request: &str) -> bool {
        let mut c = lock(&self.0);
        let fits = !c.barred.contains(request);
        if fits {
            c.running.insert(request.into());
        }
        fits
    }

    /// Its effect is there; false if it was said that it will never run.
    fn run(&self, request: &str, used: Used) -> bool {
        let mut c = lock(&self.0);
        c.running.remove(request);
        let fits = !c.barred.contains(request);
        if fits {
            c.ran.insert(request.into(), used);
        }
        fits
    }

    fn fate(&self, request: &str) -> Fate {
        let mut c = lock(&self.0);
        if c.ran.contains_key(request) {
            Fate::Ran
        } else if c.running.contains(request) {
            Fate::Running
        } else {
            c.barred.insert(request.into());
            Fate::Never
        }
    }
}

/// What is wrong with a node. Shares are of attempts, from 0 to 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Faults {
    /// Connections are closed at once.
    pub refuse: bool,
    /// It takes connections and says nothing, not even SETTINGS.
    pub mute: bool,
    /// Attempts are taken and never answered.
    pub hang: bool,
    /// Attempts that fail at once, without having run.
    pub fail: f64,
    /// The only class that fails so; none: all do.
    pub fail_class: Option<String>,
    /// Attempts whose answer breaks off in its middle, after they ran.
    pub halfway: f64,
    /// Work takes this many times longer; 0 and 1: as usual.
    pub slow: f64,
    /// Questions about requests get no word: it has forgotten.
    pub forgets: bool,
    /// Attempts that cost more ...
    pub tail: f64,
    /// ... this many times.
    pub tail_cost: f64,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Engine {
    machine: Machine,
    faults: Faults,
    born: Micros,
    busy: usize,
    line: VecDeque<Sender<()>>,
    /// Work sent to it lately, while cold.
    sent: VecDeque<(Micros, f64)>,
    fallen: bool,
    rng: SmallRng,
}

impl Engine {
    fn warmth(&self, now: Micros) -> f64 {
        let (m, age) = (&self.machine, now.saturating_sub(self.born));
        if age >= m.cold_time {
            return 1.0;
        }
        m.cold_from + (1.0 - m.cold_from) * age as f64 / m.cold_time as f64
    }

    /// A request arrives: its work in microseconds of one core. Falls over where a cold node is sent too much.
    fn arrive(&mut self, class: &str, now: Micros) -> f64 {
        let mean = self.machine.work.get(class).copied().unwrap_or(0.0);
        let spread = LogNormal::new(0.0f64, 0.3).map_or(1.0, |d| d.sample(&mut self.rng));
        let dear = self.faults.tail > 0.0 && self.rng.random::<f64>() < self.faults.tail;
        let work =
            mean * spread / self.machine.speed * if dear { self.faults.tail_cost.max(1.0) } else { 1.0 };
        let (warmth, m) = (self.warmth(now), &self.machine);
        if warmth < 1.0 {
            self.sent.push_back((now, work));
            while self.sent.front().is_some_and(|s| now - s.0 > m.fall_time) {
                self.sent.pop_front();
            }
            let sent: f64 = self.sent.iter().map(|s| s.1).sum();
            let capacity = m.cores as f64 * warmth * m.fall_time as f64;
            self.fallen |= sent > m.fall_factor * capacity;
        }
        work * self.faults.slow.max(1.0) / warmth
    }
}

/// A node that runs. Dropped, it dies.
pub struct Node {
    address: SocketAddr,
    engine: Arc<Mutex<Engine>>,
    drain: Option<Sender<()>>,
    kill: Option<Sender<()>>,
}

struct World {
    runtime: Shared,
    journal: Journal,
    engine: Arc<Mutex<Engine>>,
    node: SocketAddr,
    drain: Receiver<()>,
    kill: Receiver<()>,
}

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn start(runtime: Shared, at: SocketAddr, machine: Machine, journal: Journal) -> io::Result<Node> {
        let listener = runtime.listen(at)?;
        machine.tally.restart();
        let (drain, drained) = async_channel::bounded(1);
        let (kill, killed) = async_channel::bounded(1);
        let rng = SmallRng::seed_from_u64(machine.seed);
        let engine = Arc::new(Mutex::new(Engine {
            machine,
            faults: Faults::default(),
            born: runtime.now(),
            busy: 0,
            line: VecDeque::new(),
            sent: VecDeque::new(),
            fallen: false,
            rng,
        }));
        let address = listener.address();
        let world = World {
            runtime: runtime.clone(),
            journal,
            engine: engine.clone(),
            node: address,
            drain: drained,
            kill: killed,
        };
        let world = Arc::new(world);
        spawn(&world, listen(world.clone(), listener));
        Ok(Node { address, engine, drain: Some(drain), kill: Some(kill) })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// When its process started.
    pub fn born(&self) -> Micros {
        lock(&self.engine).born
    }

    /// Changes what is wrong with it.
    pub fn faults(&self, faults: Faults) {
        lock(&self.engine).faults = faults;
    }

    /// Tells all connections to go away; what it has is finished, new connections are taken.
    pub fn drain(&mut self) {
        self.drain = None;
    }

    /// Dies: all connections break.
    pub fn kill(&mut self) {
        self.kill = None;
    }
}

fn spawn(world: &Arc<World>, task: impl std::future::Future<Output = ()> + Send + 'static) {
    world.runtime.spawn(Box::pin(while_alive(world.kill.clone(), task))).detach();
}

async fn listen(world: Arc<World>, listener: Box<dyn Listener>) {
    loop {
        let Ok(stream) = listener.accept().await else {
            world.runtime.sleep_until(world.runtime.now() + 10_000).await;
            continue;
        };
        let (refuse, mute) = {
            let e = lock(&world.engine);
            (e.faults.refuse || e.fallen, e.faults.mute)
        };
        if mute {
            let world = world.clone();
            spawn(&world.clone(), async move {
                let held = stream;
                world.runtime.sleep_until(world.runtime.now() + 60_000_000).await;
                drop(held);
            });
        } else if !refuse {
            spawn(&world, serve(world.clone(), stream));
        }
    }
}

/// An attempt is over, for its connection.
enum Over {
    Served(u32, Done),
    Halfway(u32, Done),
    Failed(u32),
    Told(u32, Answer),
}

async fn serve(world: Arc<World>, stream: Box<dyn Stream>) {
    let (over, ends) = async_channel::bounded(1000);
    let config = Config { max_streams: 1000, ..Config::default() };
    let conn = Connection::server(config);
    let mut pipe = Pipe::new(world.runtime.clone(), stream, conn, ends, world.drain.clone());
    let mut calls: HashMap<u32, (Vec<Field>, Deframer)> = HashMap::new();
    loop {
        match pipe.turn(None, true).await {
            Turn::Command(end) => finish(&world, end, &mut pipe),
            Turn::Read | Turn::Time => {}
            Turn::Signal => pipe.conn.shutdown(),
            Turn::Bad(_) | Turn::Closed => break,
        }
        while let Some(event) = pipe.conn.event() {
            match event {
                Event::Headers { stream, fields, end: false } => {
                    calls.entry(stream).or_insert_with(|| (fields, Deframer::new(1 << 20)));
                }
                Event::Headers { stream, .. } => pipe.conn.reset(stream, Code::PROTOCOL_ERROR),
                Event::Data { stream, data, .. } => {
                    pipe.conn.consumed(stream, data.len());
                    let Some((_, body)) = calls.get_mut(&stream) else { continue };
                    body.push(&data);
                    let Some(message) = body.message().ok().flatten() else { continue };
                    let Some((fields, _)) = calls.remove(&stream) else { continue };
                    if fields.iter().any(|f| f.name == ":path" && f.value == truth::ASK) {
                        if let Ok(question) = Question::decode(message) {
                            finish(&world, Over::Told(stream, tell(&world, &question)), &mut pipe);
                        }
                    } else if let Ok(work) = Work::decode(message) {
                        begin(&world, stream, &fields, &work, &over, &mut pipe);
                    }
                }
                Event::Reset { stream, .. } => {
                    calls.remove(&stream);
                }
                _ => {}
            }
        }
        if pipe.conn.finished() || lock(&world.engine).fallen {
            break;
        }
    }
    pipe.close(world.runtime.now() + 1_000_000).await;
}

fn tell(world: &World, question: &Question) -> Answer {
    let (tally, forgets) = {
        let e = lock(&world.engine);
        (e.machine.tally.clone(), e.faults.forgets)
    };
    let fate = |r: &String| if forgets { Fate::Unknown } else { tally.fate(r) };
    Answer { fates: question.requests.iter().map(|r| fate(r).into()).collect() }
}

fn begin(
    world: &Arc<World>,
    stream: u32,
    fields: &[Field],
    work: &Work,
    over: &Sender<Over>,
    pipe: &mut Pipe<Over>,
) {
    let text = |name: &str| {
        let field = fields.iter().find(|f| f.name == name)?;
        Some(String::from_utf8_lossy(&field.value).into_owned())
    };
    let path = text(":path").unwrap_or_default();
    let class = path.strip_prefix(intake::SERVICE).unwrap_or_default().to_owned();
    let key = text(intake::KEY);
    let call = work.entries.iter().find(|e| e.key == CALL_ENTRY).and_then(|e| e.value.parse().ok());
    let call = call.unwrap_or_default();
    let now = world.runtime.now();
    let mut e = lock(&world.engine);
    if e.line.len() >= e.machine.queue {
        return pipe.conn.reset(stream, Code::REFUSED_STREAM); // not looked at: it did not arrive
    }
    let (node, cell) = (world.node, e.machine.cell.clone());
    let request = text(intake::REQUEST).unwrap_or_default();
    let entered = text(truth::ENTERED).and_then(|t| t.parse().ok()).unwrap_or(0);
    let used = Used { account: work.account.clone(), units: work.units.into(), entered };
    let tally = e.machine.tally.clone();
    let arrived =
        Seen::Arrived { node, cell: cell.name.clone(), call, request: request.clone(), key: key.clone() };
    world.journal.note(now, arrived);
    let was = e.fallen;
    let micros = e.arrive(&class, now);
    if e.fallen {
        if !was {
            world.journal.note(now, Seen::Fell { node });
        }
        return;
    }
    let faults = e.faults.clone();
    if faults.hang {
        return;
    }
    let fails = faults.fail_class.as_ref().is_none_or(|c| *c == class);
    if fails && faults.fail > 0.0 && e.rng.random::<f64>() < faults.fail {
        drop(e);
        return finish(world, Over::Failed(stream), pipe);
    }
    let halfway = faults.halfway > 0.0 && e.rng.random::<f64>() < faults.halfway;
    if let Some(first) = key.as_ref().and_then(|k| cell.repeat(k, &request, now)) {
        drop(e);
        // Another request brought this key: this one used nothing. If it was this one, who knows how that attempt ended.
        let units = (first != request).then_some(0);
        let done = Done { body: Bytes::from_static(b"known"), units, repeat: true };
        return finish(world, Over::Served(stream, done), pipe);
    }
    if !tally.begin(&request) {
        drop(e);
        return finish(world, Over::Failed(stream), pipe);
    }
    let (turn, my_turn) = async_channel::bounded(1);
    if e.busy < e.machine.cores {
        e.busy += 1;
        let _ = turn.try_send(()); // new and empty
    } else {
        e.line.push_back(turn);
    }
    drop(e);
    let (world2, over) = (world.clone(), over.clone());
    spawn(world, async move {
        let _ = my_turn.recv().await;
        if micros >= 1.0 {
            world2.runtime.sleep_until(world2.runtime.now() + micros as Micros).await;
        }
        {
            let mut e = lock(&world2.engine);
            match e.line.pop_front() {
                Some(next) => drop(next.try_send(())),
                None => e.busy -= 1,
            }
        }
        let end = if tally.run(&request, used) {
            world2.journal.note(world2.runtime.now(), Seen::Ran { node: world2.node, call, key });
            let done = Done { body: Bytes::from(format!("done {call}")), ..Done::default() };
            if halfway {
                Over::Halfway(stream, done)
            } else {
                Over::Served(stream, done)
            }
        } else {
            Over::Failed(stream)
        };
        let _ = over.send(end).await; // closed: nobody waits for it any more
    });
}

fn finish(world: &World, end: Over, pipe: &mut Pipe<Over>) {
    let queue = lock(&world.engine).line.len() as f64;
    let load = orca::format(&orca::Load { queue: Some(queue), ..orca::Load::default() });
    let head =
        || vec![Field::constant(":status", "200"), Field::constant("content-type", "application/grpc")];
    let trailers = |status: Status| {
        let mut fields = status.fields();
        fields.push(Field::new(orca::TRAILER, load.clone()));
        fields
    };
    // Errors: the ingress has reset the call.
    let _ = match end {
        Over::Told(stream, answer) => {
            let sent = pipe.conn.headers(stream, head(), false);
            let sent = sent.and_then(|()| pipe.conn.data(stream, grpc::frame(&answer), false));
            sent.and_then(|()| pipe.conn.headers(stream, trailers(Status::new(grpc::Code::Ok, "")), true))
        }
        Over::Served(stream, done) => {
            let sent = pipe.conn.headers(stream, head(), false);
            let sent = sent.and_then(|()| pipe.conn.data(stream, grpc::frame(&done), false));
            sent.and_then(|()| pipe.conn.headers(stream, trailers(Status::new(grpc::Code::Ok, "")), true))
        }
        Over::Halfway(stream, done) => {
            let whole = grpc::frame(&done);
            let sent = pipe.conn.headers(stream, head(), false);
            let sent = sent.and_then(|()| pipe.conn.data(stream, whole.slice(..whole.len() / 2), false));
            pipe.conn.output(); // the half goes out before the reset
            pipe.conn.reset(stream, Code::INTERNAL_ERROR);
            sent
        }
        Over::Failed(stream) => {
            let mut fields = head();
            fields.extend(trailers(Status::new(grpc::Code::Internal, "told to fail")));
            pipe.conn.headers(stream, fields, true)
        }
    };
}
