//! Connections to backends: each is a task that carries one request at a time; [`Connections`] is the driver's side of them.
//! What passed on the connection gives the outcome; when in doubt the attempt may have run.

use crate::answer::{take, Answered, Budget};
use crate::pool::{Checkout, Pool};
use crate::request::Work;
use async_channel::{Receiver, Sender};
use bytes::{Buf, Bytes, BytesMut};
use chalkgap::frontend::{AttemptResult, DriverEvent, OutboundAttempt, Upstream};
use chalkgap_core::{BackendId, Outcome, RequestId};
use chalkgap_runtime::{Alarm, Micros, Shared, Stream};
use chalkgap_transport::while_alive;
use futures_lite::{future, AsyncRead, AsyncWrite, Stream as _};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;

const READ: usize = 16 << 10;
/// A reset that comes so soon after a request says something of the connection and little of the backend.
const AT_ONCE: Micros = 5000;
/// A start, two withdrawals and a stop, and one more of each that crossed the end of a request.
const ROOM: usize = 8;

enum Command {
    Start(Box<OutboundAttempt<Work>>),
    Stop {
        id: RequestId,
        attempt: u16,
    },
    /// Only if nothing of it has been written.
    Withdraw {
        id: RequestId,
        attempt: u16,
    },
}

/// What every connection's task needs.
#[derive(Clone)]
struct World {
    runtime: Shared,
    driver: Sender<DriverEvent<Work>>,
    figures: Arc<DriverLimits>,
}

/// What connections go by.
pub struct DriverLimits {
    /// Names of the values in a load report.
    pub report: Vec<String>,
    /// A connection still not made after this is not made.
    pub connect_timeout: Micros,
    /// An idle connection is closed after this; less than the backend's own limit.
    pub idle: Micros,
    /// What answers under way may take of the memory.
    pub answers: Arc<Budget>,
}

/// All connections to backends.
pub struct Connections {
    world: World,
    kill: Receiver<()>,
    pool: Pool,
    /// Dropped to end a connection.
    commands: HashMap<u64, Sender<Command>>,
}

impl Connections {
    /// At most `most` connections.
    pub fn new(
        runtime: Shared,
        driver: Sender<DriverEvent<Work>>,
        figures: DriverLimits,
        most: usize,
        kill: Receiver<()>,
    ) -> Self {
        let world = World { runtime, driver, figures: Arc::new(figures) };
        Connections { world, kill, pool: Pool::new(most), commands: HashMap::new() }
    }
}

impl Upstream for Connections {
    type Work = Work;

    fn start(&mut self, backend: BackendId, address: SocketAddr, call: OutboundAttempt<Work>) -> Option<u64> {
        let number = match self.pool.take(self.world.runtime.now(), backend, address) {
            Checkout::Reuse(number) => number,
            Checkout::Full => return None,
            Checkout::Open { number, close } => {
                if let Some(victim) = close {
                    self.commands.remove(&victim);
                }
                let (commands, receiver) = async_channel::bounded(ROOM);
                let task = run(self.world.clone(), number, address, receiver);
                self.world.runtime.spawn(Box::pin(while_alive(self.kill.clone(), task))).detach();
                self.commands.insert(number, commands);
                number
            }
        };
        let sent = self.commands.get(&number).map(|c| c.try_send(Command::Start(Box::new(call))));
        if !matches!(sent, Some(Ok(()))) {
            self.connection_closed(number, false);
            self.attempt_finished(number);
            return None;
        }
        Some(number)
    }

    fn cancel(&mut self, connection: u64, id: RequestId, attempt: u16) {
        if let Some(commands) = self.commands.get(&connection) {
            // Full: it was told already. To give an attempt up is to end its connection.
            let _ = commands.try_send(Command::Stop { id, attempt });
            self.connection_closed(connection, false);
        }
    }

    fn cancel_unsent(&mut self, connection: u64, id: RequestId, attempt: u16) {
        if let Some(commands) = self.commands.get(&connection) {
            let _ = commands.try_send(Command::Withdraw { id, attempt }); // full: it was told already
        }
    }

    fn attempt_finished(&mut self, connection: u64) {
        if !self.pool.free(self.world.runtime.now(), connection) {
            self.commands.remove(&connection);
        }
    }

    fn connection_closed(&mut self, connection: u64, broke: bool) {
        if self.pool.closed(self.world.runtime.now(), connection, broke) {
            self.commands.remove(&connection);
        }
    }

    fn retain(&mut self, listed: &dyn Fn(BackendId) -> bool) {
        for connection in self.pool.retain(listed) {
            self.commands.remove(&connection);
        }
    }

    fn close_idle(&mut self, backend: BackendId) {
        for connection in self.pool.close_idle(backend) {
            self.commands.remove(&connection);
        }
    }
}

/// How an exchange ended.
struct Exchange {
    answered: Answered,
    /// All of the request was written.
    written: bool,
}

/// Whether the time to begin is over.
fn late(call: &OutboundAttempt<Work>, now: Micros) -> bool {
    call.start_by.is_some_and(|by| now > by)
}

fn without(outcome: Outcome) -> Answered {
    Answered { outcome, value: Bytes::new(), report: None, usable: false }
}

/// A connection's life: until nobody can give it requests any more.
async fn run(world: World, number: u64, address: SocketAddr, commands: Receiver<Command>) {
    let mut connection = Connection {
        stream: None,
        commands: Box::pin(commands),
        alarm: Alarm::new(world.runtime.clone()),
        idle_since: 0,
    };
    while let Some(call) = connection.next(&world, number).await {
        let began = world.runtime.now();
        let idle = connection.stream.is_some().then(|| began.saturating_sub(connection.idle_since));
        let answered = connection.carry(&world, address, &call).await;
        let Answered { outcome, value, report, usable } = answered;
        let now = world.runtime.now();
        let took = now.saturating_sub(began);
        tracing::debug!(backend = %address, ?outcome, took, ?idle, usable, "attempt ended");
        if usable {
            connection.idle_since = now;
        } else {
            connection.stream = None;
            // First: once it hears of the attempt's end the pool might give the connection away.
            let broke = outcome == Outcome::Reset && took < AT_ONCE;
            let closed = DriverEvent::ConnectionClosed { connection: number, broke_on_first_write: broke };
            let _ = world.driver.send(closed).await; // closed: the instance has stopped
        }
        let ended = AttemptResult {
            body: value,
            report,
            ..AttemptResult::without_answer(call.id, call.attempt, outcome)
        };
        let _ = world.driver.send(DriverEvent::AttemptEnded(Box::new(ended))).await;
    }
}

struct Connection {
    stream: Option<Box<dyn Stream>>,
    commands: Pin<Box<Receiver<Command>>>,
    alarm: Alarm,
    idle_since: Micros,
}

impl Connection {
    /// Waits for the next request. A connection that grows too old, ends or says something unasked meanwhile is closed.
    async fn next(&mut self, world: &World, number: u64) -> Option<Box<OutboundAttempt<Work>>> {
        loop {
            let until = self.stream.is_some().then_some(self.idle_since + world.figures.idle);
            let next = future::poll_fn(|cx| {
                // Before a command is taken: a request must not be written to a connection that has ended.
                if let Some(stream) = &mut self.stream {
                    if Pin::new(stream).poll_read(cx, &mut [0; 1]).is_ready() {
                        return Poll::Ready(None);
                    }
                }
                match self.commands.as_mut().poll_next(cx) {
                    Poll::Ready(command) => Poll::Ready(Some(command)),
                    Poll::Pending => self.alarm.poll(until, cx).map(|()| None),
                }
            });
            match next.await {
                Some(Some(Command::Start(call))) => return Some(call),
                Some(Some(Command::Stop { .. } | Command::Withdraw { .. })) => {} // its request has ended already
                Some(None) => return None,
                None => {
                    self.stream = None;
                    let _ = world
                        .driver
                        .send(DriverEvent::ConnectionClosed {
                            connection: number,
                            broke_on_first_write: false,
                        })
                        .await;
                }
            }
        }
    }

    /// Carries one request to its end.
    async fn carry(&mut self, world: &World, address: SocketAddr, call: &OutboundAttempt<Work>) -> Answered {
        let runtime = &world.runtime;
        if self.stream.is_none() {
            let until = runtime.now() + world.figures.connect_timeout;
            let connect = async { Some(runtime.connect(address).await.ok()) };
            let late = async {
                runtime.sleep_until(until).await;
                Some(None)
            };
            let stopped = self.stopped(call);
            match future::or(stopped, future::or(connect, late)).await {
                Some(Some(stream)) => self.stream = Some(stream),
                Some(None) => return without(Outcome::ConnectFailed),
                None => return without(Outcome::NotSent), // called off before anything was written
            }
        }
        let left = call.deadline.saturating_sub(runtime.now());
        if left == 0 || late(call, runtime.now()) {
            return Answered { usable: true, ..without(Outcome::NotSent) }; // nothing was written: it serves the next one
        }
        let mut out = BytesMut::with_capacity(256);
        call.work.put(&mut out, left.div_ceil(1000));
        let Exchange { answered, written } = self.exchange(world, call, out).await;
        match (written, answered.outcome) {
            // The backend begins a command with its last byte: it was never begun, whatever came back.
            (false, Outcome::Cancelled) => without(Outcome::NotSent),
            (false, Outcome::Rejected) => Answered { usable: false, ..answered },
            (false, _) => without(Outcome::ConnectFailed),
            (true, _) => answered,
        }
    }

    /// None once the call is called off, or nobody waits for it any more.
    async fn stopped<T>(&mut self, call: &OutboundAttempt<Work>) -> Option<T> {
        loop {
            match future::poll_fn(|cx| self.commands.as_mut().poll_next(cx)).await {
                Some(Command::Stop { id, attempt } | Command::Withdraw { id, attempt })
                    if (id, attempt) != (call.id, call.attempt) => {}
                _ => return None,
            }
        }
    }

    async fn exchange(&mut self, world: &World, call: &OutboundAttempt<Work>, mut out: BytesMut) -> Exchange {
        let (mut input, mut share) = (BytesMut::new(), world.figures.answers.share());
        let Some(stream) = &mut self.stream else {
            return Exchange { answered: without(Outcome::ConnectFailed), written: false };
        };
        let (commands, alarm, runtime, whole) =
            (&mut self.commands, &mut self.alarm, &world.runtime, out.len());
        let answered = future::poll_fn(|cx| {
            loop {
                match commands.as_mut().poll_next(cx) {
                    Poll::Ready(Some(Command::Stop { id, attempt })) => {
                        if (id, attempt) == (call.id, call.attempt) {
                            return Poll::Ready(without(Outcome::Cancelled));
                        }
                    }
                    Poll::Ready(Some(Command::Withdraw { id, attempt })) => {
                        if (id, attempt) == (call.id, call.attempt) && out.len() == whole {
                            return Poll::Ready(without(Outcome::Cancelled));
                        }
                    }
                    Poll::Ready(_) => return Poll::Ready(without(Outcome::Cancelled)),
                    Poll::Pending => break,
                }
            }
            // A backend begins with the last byte.
            if !out.is_empty() && (late(call, runtime.now()) || alarm.poll(call.start_by, cx).is_ready()) {
                return Poll::Ready(without(Outcome::Cancelled));
            }
            while !out.is_empty() {
                match Pin::new(&mut *stream).poll_write(cx, &out) {
                    Poll::Ready(Ok(n)) if n > 0 => out.advance(n),
                    Poll::Ready(_) => return Poll::Ready(without(Outcome::Reset)),
                    Poll::Pending => break,
                }
            }
            let mut buffer = [0; READ];
            loop {
                match Pin::new(&mut *stream).poll_read(cx, &mut buffer) {
                    Poll::Ready(Ok(n)) if n > 0 => {
                        if !share.take(n) {
                            // Nobody's memory is to be had for it: it has run, and nobody will see its answer.
                            return Poll::Ready(without(Outcome::Reset));
                        }
                        input.extend_from_slice(&buffer[..n]);
                        if let Some(answered) = take(&mut input, &world.figures.report) {
                            return Poll::Ready(answered);
                        }
                    }
                    Poll::Ready(_) => return Poll::Ready(without(Outcome::Reset)),
                    Poll::Pending => return Poll::Pending,
                }
            }
        })
        .await;
        Exchange { answered, written: out.is_empty() }
    }
}
