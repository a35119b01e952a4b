//! Connections to nodes: HTTP/2, pooled, one gRPC call an attempt. Each connection is a task; [`Connections`] is the
//! driver's side of them. What passed on the connection gives the outcome; when in doubt the attempt may have run.

use crate::messages::{self, node_request_id, AttemptResult, DriverEvent, Upstream, Work};
use crate::settings::Compiled;
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use chalkgap_core::{BackendId, LoadReport, Outcome, RequestId};
use chalkgap_runtime::{Micros, Shared};
use chalkgap_transport::{while_alive, Pipe, Turn};
use chalkgap_wire::grpc::{self, Deframer, Status};
use chalkgap_wire::http2::{Code, Config, Connection, Event, Field};
use chalkgap_wire::intake::{self, Done};
use chalkgap_wire::{orca, truth};
use futures_lite::future;
use prost::Message;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

type OutboundAttempt = messages::OutboundAttempt<Work>;

/// What a connection is told.
pub(crate) enum Command {
    Start(Box<OutboundAttempt>),
    /// Called off, or its time is up.
    Stop {
        id: RequestId,
        attempt: u16,
    },
    /// Called off if it is not yet written.
    Withdraw {
        id: RequestId,
        attempt: u16,
    },
    /// To be closed as soon as it is idle.
    Close,
}

struct PooledConnection {
    backend: BackendId,
    commands: Sender<Command>,
    /// It takes new calls: the node has not said that it goes away.
    usable: Arc<AtomicBool>,
    out: usize,
}

/// All connections to nodes, as the driver sees them.
pub struct Connections {
    world: World,
    kill: Receiver<()>,
    connections: HashMap<u64, PooledConnection>,
    pools: BTreeMap<BackendId, Vec<u64>>,
    next: u64,
    most: usize,
}

/// What every connection's task needs.
#[derive(Clone)]
struct World {
    runtime: Shared,
    settings: Arc<Compiled>,
    driver: Sender<DriverEvent>,
    /// Sets this start's requests apart from all others.
    name: Arc<str>,
}

impl Connections {
    pub(crate) fn new(
        runtime: Shared,
        settings: Arc<Compiled>,
        driver: Sender<DriverEvent>,
        kill: Receiver<()>,
        name: &str,
    ) -> Self {
        let most = settings.settings.descriptors.nodes as usize;
        let world = World { runtime, settings, driver, name: name.into() };
        Connections { world, kill, connections: HashMap::new(), pools: BTreeMap::new(), next: 1, most }
    }

    /// Tells a connection; nothing happens where it has ended.
    fn command(&self, connection: u64, command: Command) {
        if let Some(l) = self.connections.get(&connection) {
            let _ = l.commands.try_send(command);
        }
    }
}

impl Upstream for Connections {
    type Work = Work;

    fn start(&mut self, backend: BackendId, address: SocketAddr, call: OutboundAttempt) -> Option<u64> {
        let limits = &self.world.settings.settings.upstream;
        let (most, wanted) = (limits.max_streams, limits.connections);
        let pool = self.pools.entry(backend).or_default();
        let connections = &mut self.connections;
        pool.retain(|n| {
            let alive = connections.get(n).is_some_and(|l| l.out > 0 || !l.commands.is_closed());
            if !alive {
                connections.remove(n);
            }
            alive
        });
        let open = |n: &&u64| {
            let l = &connections[*n];
            l.out < most && !l.commands.is_closed() && l.usable.load(Ordering::Relaxed)
        };
        let usable = pool.iter().filter(|n| connections[*n].usable.load(Ordering::Relaxed)).count();
        let number = match pool.iter().filter(open).min_by_key(|n| connections[*n].out) {
            Some(n) => *n,
            // As many as have a descriptor set aside for them, whatever clients hold.
            None if usable < wanted && pool.len() < 2 * wanted && connections.len() < self.most => {
                let n = self.next;
                self.next += 1;
                // A start and a stop for each of the calls that `out` allows, and the word to close.
                let (commands, receiver) = async_channel::unbounded();
                let usable = Arc::new(AtomicBool::new(true));
                let task = run(self.world.clone(), address, receiver, usable.clone(), self.kill.clone());
                self.world.runtime.spawn(Box::pin(while_alive(self.kill.clone(), task))).detach();
                connections.insert(n, PooledConnection { backend, commands, usable, out: 0 });
                pool.push(n);
                n
            }
            None => return None,
        };
        let connection = connections.get_mut(&number)?;
        connection.commands.try_send(Command::Start(Box::new(call))).ok()?;
        connection.out += 1;
        Some(number)
    }

    fn cancel(&mut self, connection: u64, id: RequestId, attempt: u16) {
        self.command(connection, Command::Stop { id, attempt });
    }

    fn cancel_unsent(&mut self, connection: u64, id: RequestId, attempt: u16) {
        self.command(connection, Command::Withdraw { id, attempt });
    }

    fn attempt_finished(&mut self, connection: u64) {
        let Some(l) = self.connections.get_mut(&connection) else { return };
        l.out = l.out.saturating_sub(1);
        if l.out == 0 && !self.pools.contains_key(&l.backend) {
            self.connections.remove(&connection); // its node is listed no more
        }
    }

    fn retain(&mut self, listed: &dyn Fn(BackendId) -> bool) {
        let connections = &mut self.connections;
        self.pools.retain(|id, pool| {
            let keep = listed(*id);
            if !keep {
                pool.iter().for_each(|n| {
                    if connections.get(n).is_some_and(|l| l.out == 0) {
                        connections.remove(n);
                    }
                });
            }
            keep
        });
    }

    fn close_idle(&mut self, backend: BackendId) {
        for n in self.pools.get(&backend).into_iter().flatten() {
            self.command(*n, Command::Close);
        }
    }
}

struct Open {
    call: Box<OutboundAttempt>,
    body: Deframer,
    answer: Option<Bytes>,
    /// The answer's fields were seen, and its status was 200.
    good: bool,
}

struct Task {
    world: World,
    address: SocketAddr,
    usable: Arc<AtomicBool>,
    /// Not yet written to the connection.
    waiting: VecDeque<Box<OutboundAttempt>>,
    open: HashMap<u32, Open>,
    /// To be told to the driver.
    ended: Vec<AttemptResult>,
    idle_since: Micros,
    closing: bool,
}

fn ended(call: &OutboundAttempt, outcome: Outcome) -> AttemptResult {
    AttemptResult::without_answer(call.id, call.attempt, outcome)
}

async fn run(
    world: World,
    address: SocketAddr,
    commands: Receiver<Command>,
    usable: Arc<AtomicBool>,
    alive: Receiver<()>,
) {
    let idle_since = world.runtime.now();
    let mut task = Task {
        world,
        address,
        usable,
        waiting: VecDeque::new(),
        open: HashMap::new(),
        ended: Vec::new(),
        idle_since,
        closing: false,
    };
    let never_ran = task.serve(&commands, alive).await;
    // What was told but never written, what waits and what was still under way: each is told how it ended.
    task.usable.store(false, Ordering::Relaxed);
    commands.close();
    while let Ok(command) = commands.try_recv() {
        if let Command::Start(call) = command {
            task.waiting.push_back(call);
        }
    }
    let waiting = std::mem::take(&mut task.waiting);
    task.ended.extend(waiting.iter().map(|call| ended(call, never_ran)));
    let open = std::mem::take(&mut task.open);
    task.ended.extend(open.values().map(|o| ended(&o.call, Outcome::Reset)));
    task.tell().await;
}

impl Task {
    async fn tell(&mut self) {
        for e in self.ended.drain(..) {
            let _ = self.world.driver.send(DriverEvent::AttemptEnded(Box::new(e))).await;
            // closed: the instance has stopped
        }
    }

    /// Serves the connection to its end; gives what became of calls that were not written.
    async fn serve(&mut self, commands: &Receiver<Command>, alive: Receiver<()>) -> Outcome {
        let runtime = self.world.runtime.clone();
        let upstream = self.world.settings.settings.upstream.clone();
        let connect_by = runtime.now() + upstream.connect_timeout_ms * 1000;
        let timeout = async {
            runtime.sleep_until(connect_by).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let Ok(stream) = future::or(runtime.connect(self.address), timeout).await else {
            return Outcome::ConnectFailed;
        };
        let config = Config {
            max_streams: 0,
            stream_window: 1 << 20,
            connection_window: 8 << 20,
            ..Config::default()
        };
        let mut pipe =
            Pipe::new(runtime.clone(), stream, Connection::client(config), commands.clone(), alive);
        loop {
            let idle_end = self.idle_since + upstream.keepalive_ms * 1000;
            let until = match pipe.conn.greeted() {
                false => Some(connect_by),
                true => self.open.is_empty().then_some(idle_end),
            };
            match pipe.turn(until, true).await {
                Turn::Command(c) => {
                    self.command(c, &mut pipe);
                    while let Some(c) = pipe.command() {
                        self.command(c, &mut pipe);
                    }
                }
                Turn::Read => {}
                Turn::Time if !pipe.conn.greeted() => return Outcome::ConnectFailed, // never said SETTINGS
                Turn::Time if self.waiting.is_empty() => {
                    pipe.conn.shutdown();
                    pipe.close(runtime.now() + 100_000).await;
                    return Outcome::NotSent;
                }
                Turn::Time => {}
                Turn::Bad(e) => {
                    tracing::warn!(node = %self.address, error = %e, "connection to a node given up");
                    self.events(&mut pipe);
                    self.tell().await;
                    pipe.close(runtime.now() + 100_000).await;
                    return Outcome::NotSent;
                }
                Turn::Signal | Turn::Closed => {
                    let greeted = pipe.conn.greeted();
                    return if greeted { Outcome::NotSent } else { Outcome::ConnectFailed };
                }
            }
            self.events(&mut pipe);
            self.flush(&mut pipe);
            self.tell().await;
            if self.open.is_empty() && self.waiting.is_empty() && (pipe.conn.finished() || self.closing) {
                return Outcome::NotSent;
            }
            if pipe.conn.can_open() == Err(chalkgap_wire::http2::OpenError::GoingAway)
                && !self.waiting.is_empty()
            {
                let waiting = std::mem::take(&mut self.waiting);
                self.ended.extend(waiting.iter().map(|call| ended(call, Outcome::NotSent)));
                self.tell().await;
            }
        }
    }

    fn command(&mut self, command: Command, pipe: &mut Pipe<Command>) {
        match command {
            Command::Start(call) => self.waiting.push_back(call),
            Command::Withdraw { id, attempt } => {
                self.withdraw(id, attempt);
            }
            Command::Stop { id, attempt } => {
                if self.withdraw(id, attempt) {
                    return;
                }
                let this = |c: &OutboundAttempt| c.id == id && c.attempt == attempt;
                // Few are open on one connection; the list is bounded by the settings.
                let found = self.open.iter().find(|(_, o)| this(&o.call)).map(|(s, _)| *s);
                if let Some((stream, o)) = found.and_then(|s| self.open.remove_entry(&s)) {
                    pipe.conn.reset(stream, Code::CANCEL);
                    self.ended.push(ended(&o.call, Outcome::Cancelled));
                    self.idle_since = self.world.runtime.now();
                }
            }
            Command::Close => self.closing = true,
        }
    }

    /// Takes back a call that is not yet written; false if it is.
    fn withdraw(&mut self, id: RequestId, attempt: u16) -> bool {
        let at = self.waiting.iter().position(|c| c.id == id && c.attempt == attempt);
        let Some(call) = at.and_then(|at| self.waiting.remove(at)) else { return false };
        self.ended.push(ended(&call, Outcome::NotSent));
        true
    }

    /// Opens streams for what waits.
    fn flush(&mut self, pipe: &mut Pipe<Command>) {
        while pipe.conn.greeted() && pipe.conn.can_open().is_ok() {
            let Some(call) = self.waiting.pop_front() else { return };
            let now = self.world.runtime.now();
            let left = call.deadline.saturating_sub(now);
            if left == 0 || call.start_by.is_some_and(|by| now > by) {
                self.ended.push(ended(&call, Outcome::NotSent));
                continue;
            }
            let class = &self.world.settings.settings.classes[usize::from(call.class)].name;
            let mut fields = vec![
                Field::constant(":method", "POST"),
                Field::constant(":scheme", "http"),
                Field::new(":path", format!("{}{class}", intake::SERVICE)),
                Field::new(":authority", self.address.to_string()),
                Field::constant("content-type", "application/grpc"),
                Field::constant("te", "trailers"),
                Field::new("grpc-timeout", grpc::format_timeout(left)),
                Field::new(intake::REQUEST, node_request_id(&self.world.name, call.id)),
            ];
            if let Some(at) = call.ledger_entry_at {
                fields.push(Field::new(truth::ENTERED, at.to_string()));
            }
            if let Some(key) = &call.work.idempotency_key {
                fields.push(Field::new(intake::KEY, key.clone()));
            }
            let Ok(stream) = pipe.conn.open(&fields, false) else {
                self.ended.push(ended(&call, Outcome::NotSent));
                continue;
            };
            // The stream is new and its buffer empty: nothing to fail.
            let _ = pipe.conn.data(stream, call.work.body.clone(), true);
            let body = Deframer::new(self.world.settings.settings.upstream.most_message);
            self.open.insert(stream, Open { call, body, answer: None, good: false });
        }
    }

    fn events(&mut self, pipe: &mut Pipe<Command>) {
        while let Some(event) = pipe.conn.event() {
            match event {
                Event::Headers { stream, fields, end } => {
                    let Some(o) = self.open.get_mut(&stream) else { continue };
                    if !o.good {
                        o.good = fields.iter().any(|f| f.name == ":status" && f.value == "200");
                    }
                    if end || !o.good {
                        self.close(stream, &fields, pipe);
                    }
                }
                Event::Data { stream, data, end } => {
                    pipe.conn.consumed(stream, data.len());
                    let Some(o) = self.open.get_mut(&stream) else { continue };
                    o.body.push(&data);
                    match o.body.message() {
                        Ok(Some(m)) if o.answer.is_none() => o.answer = Some(m),
                        Ok(None) if !end => {}
                        // Too large, a second message, or an end without trailers: no answer, and it ran.
                        _ => self.close(stream, &[], pipe),
                    }
                }
                Event::Reset { stream, code, ours } => {
                    let Some(o) = self.open.remove(&stream) else { continue };
                    let never = code == Code::REFUSED_STREAM && !ours;
                    self.ended.push(ended(&o.call, if never { Outcome::Rejected } else { Outcome::Reset }));
                    self.idle_since = self.world.runtime.now();
                }
                Event::GoAway(code) => {
                    self.usable.store(false, Ordering::Relaxed);
                    tracing::debug!(node = %self.address, %code, "node goes away");
                }
                Event::Ready | Event::Pong => {}
            }
        }
    }

    /// The answer is whole, or there will be none.
    fn close(&mut self, stream: u32, trailers: &[Field], pipe: &mut Pipe<Command>) {
        let Some(o) = self.open.remove(&stream) else { return };
        pipe.conn.reset(stream, Code::CANCEL); // nothing where it is closed already
        self.idle_since = self.world.runtime.now();
        let status = Status::from_fields(trailers);
        let done = o.answer.filter(|_| o.good && status.code == grpc::Code::Ok && !o.body.partial());
        let done = done.and_then(|m| Done::decode(m).ok());
        let load = trailers.iter().find(|f| f.name == orca::TRAILER).and_then(|f| orca::parse(&f.value));
        let outcome = if done.is_some() { Outcome::Ok } else { Outcome::Error };
        let report = load.map(|l| LoadReport {
            in_flight: l.in_flight,
            queued: l.queue,
            utilization: l.cpu_utilization.or(l.application_utilization),
            latency_ms: l.latency_ms,
            requests_per_second: l.rps,
            errors_per_second: l.eps,
        });
        let Done { body, units, repeat } = done.unwrap_or_default();
        self.ended.push(AttemptResult {
            report,
            body,
            used_units: units,
            deduplicated: repeat,
            ..ended(&o.call, outcome)
        });
    }
}
