//! The task of one connection: connects, executes commands, closes the connection after it was idle for `keepalive_ms`,
//! and reports the result of every attempt that was started on it.

use super::calls::{result_without_answer, OpenCall};
use super::{Command, OutboundAttempt, SharedParts};
use crate::messages::{AttemptResult, DriverEvent};
use async_channel::Receiver;
use chalkgap_core::{Outcome, RequestId};
use chalkgap_runtime::{Micros, Stream};
use chalkgap_transport::{Pipe, Turn};
use chalkgap_wire::http2::{Code, Config, Connection, OpenError};
use futures_lite::future;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Maximum time for closing a connection, in microseconds.
const CLOSE_TIMEOUT: Micros = 100_000;
/// Flow-control window granted to a node for each stream, in bytes (RFC 9113, section 5.2).
const STREAM_WINDOW: u32 = 1 << 20;
/// Flow-control window granted to a node for the whole connection, in bytes.
const CONNECTION_WINDOW: u32 = 8 << 20;

/// State of a connection's task.
pub(super) struct ConnectionTask {
    pub shared: SharedParts,
    pub address: SocketAddr,
    /// Set to false when the connection accepts no further calls; shared with its pool.
    pub accepts_calls: Arc<AtomicBool>,
    /// Attempts that are not yet written to the connection.
    pub unsent: VecDeque<Box<OutboundAttempt>>,
    /// Calls that are written, by stream id.
    pub open: HashMap<u32, OpenCall>,
    /// Results that the driver has not received yet.
    pub results: Vec<AttemptResult>,
    pub idle_since: Micros,
    close_when_idle: bool,
}

/// Runs one connection to its end.
pub(super) async fn run(
    shared: SharedParts,
    address: SocketAddr,
    commands: Receiver<Command>,
    accepts_calls: Arc<AtomicBool>,
    kill: Receiver<()>,
) {
    let idle_since = shared.runtime.now();
    let mut task = ConnectionTask {
        shared,
        address,
        accepts_calls,
        unsent: VecDeque::new(),
        open: HashMap::new(),
        results: Vec::new(),
        idle_since,
        close_when_idle: false,
    };
    let unsent_outcome = task.serve(&commands, kill).await;
    task.accepts_calls.store(false, Ordering::Relaxed);
    // The channel is closed before it is drained, so that no attempt can be queued after the last read and stay without
    // a result.
    commands.close();
    while let Ok(command) = commands.try_recv() {
        if let Command::Start(call) = command {
            task.unsent.push_back(call);
        }
    }
    task.end_unsent(unsent_outcome);
    let open = std::mem::take(&mut task.open);
    task.results.extend(open.values().map(|open| result_without_answer(&open.call, Outcome::Reset)));
    task.report_results().await;
}

impl ConnectionTask {
    /// Runs the connection until it closes. Returns the outcome of the attempts that were never written.
    async fn serve(&mut self, commands: &Receiver<Command>, kill: Receiver<()>) -> Outcome {
        let runtime = self.shared.runtime.clone();
        let upstream = self.shared.settings.settings.upstream.clone();
        let connect_deadline = runtime.now() + upstream.connect_timeout_ms * 1000;
        let Some(stream) = self.connect(connect_deadline).await else { return Outcome::ConnectFailed };
        let config = Config {
            max_streams: 0,
            stream_window: STREAM_WINDOW,
            connection_window: CONNECTION_WINDOW,
            ..Config::default()
        };
        let mut pipe = Pipe::new(runtime.clone(), stream, Connection::client(config), commands.clone(), kill);
        loop {
            let idle_deadline = self.idle_since + upstream.keepalive_ms * 1000;
            let deadline = match pipe.conn.settings_received() {
                false => Some(connect_deadline),
                true => self.open.is_empty().then_some(idle_deadline),
            };
            match pipe.turn(deadline, true).await {
                Turn::Command(command) => {
                    self.execute(command, &mut pipe);
                    while let Some(command) = pipe.command() {
                        self.execute(command, &mut pipe);
                    }
                }
                Turn::Read => {}
                Turn::Time if !pipe.conn.settings_received() => return Outcome::ConnectFailed, // no SETTINGS in time
                Turn::Time if self.unsent.is_empty() => {
                    pipe.conn.shutdown();
                    pipe.close(runtime.now() + CLOSE_TIMEOUT).await;
                    return Outcome::NotSent;
                }
                Turn::Time => {}
                Turn::ProtocolError(error) => {
                    tracing::warn!(node = %self.address, %error, "protocol error, closing connection to node");
                    self.handle_events(&mut pipe);
                    self.report_results().await;
                    pipe.close(runtime.now() + CLOSE_TIMEOUT).await;
                    return Outcome::NotSent;
                }
                Turn::Signal | Turn::Closed => {
                    let is_established = pipe.conn.settings_received();
                    return if is_established { Outcome::NotSent } else { Outcome::ConnectFailed };
                }
            }
            self.handle_events(&mut pipe);
            self.write_unsent(&mut pipe);
            self.report_results().await;
            let idle = self.open.is_empty() && self.unsent.is_empty();
            if idle && (pipe.conn.finished() || self.close_when_idle) {
                return Outcome::NotSent;
            }
            if pipe.conn.can_open() == Err(OpenError::GoingAway) && !self.unsent.is_empty() {
                self.end_unsent(Outcome::NotSent);
                self.report_results().await;
            }
        }
    }

    async fn connect(&self, deadline: Micros) -> Option<Box<dyn Stream>> {
        let runtime = &self.shared.runtime;
        let timeout = async {
            runtime.sleep_until(deadline).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        future::or(runtime.connect(self.address), timeout).await.ok()
    }

    fn execute(&mut self, command: Command, pipe: &mut Pipe<Command>) {
        match command {
            Command::Start(call) => self.unsent.push_back(call),
            Command::CancelUnsent { id, attempt } => {
                self.cancel_unsent(id, attempt);
            }
            Command::Cancel { id, attempt } => {
                if !self.cancel_unsent(id, attempt) {
                    self.cancel_open(id, attempt, pipe);
                }
            }
            Command::CloseWhenIdle => self.close_when_idle = true,
        }
    }

    /// Ends an attempt if it is not written yet. Returns false otherwise.
    fn cancel_unsent(&mut self, id: RequestId, attempt: u16) -> bool {
        let position = self.unsent.iter().position(|call| call.id == id && call.attempt == attempt);
        let Some(call) = position.and_then(|position| self.unsent.remove(position)) else { return false };
        self.results.push(result_without_answer(&call, Outcome::NotSent));
        true
    }

    /// Resets the stream of an attempt. A linear search suffices, as the settings limit the streams of a connection.
    fn cancel_open(&mut self, id: RequestId, attempt: u16, pipe: &mut Pipe<Command>) {
        let is_attempt = |open: &OpenCall| open.call.id == id && open.call.attempt == attempt;
        let stream = self.open.iter().find(|(_, open)| is_attempt(open)).map(|(stream, _)| *stream);
        let Some((stream, open)) = stream.and_then(|stream| self.open.remove_entry(&stream)) else { return };
        pipe.conn.reset(stream, Code::CANCEL);
        self.results.push(result_without_answer(&open.call, Outcome::Cancelled));
        self.idle_since = self.shared.runtime.now();
    }

    /// Ends all attempts that are not written yet.
    fn end_unsent(&mut self, outcome: Outcome) {
        let unsent = std::mem::take(&mut self.unsent);
        self.results.extend(unsent.iter().map(|call| result_without_answer(call, outcome)));
    }

    async fn report_results(&mut self) {
        for result in self.results.drain(..) {
            // Fails only after the instance has stopped.
            let _ = self.shared.driver.send(DriverEvent::AttemptEnded(Box::new(result))).await;
        }
    }
}
