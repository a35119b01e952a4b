//! The task of one client connection. It passes received bytes to the connection's [`Session`], requests to the driver, and
//! the driver's answers to the client.

use crate::frontend::{FrontendContext, LINGER_MICROS};
use crate::memory_plan::{CLIENT_CONNECTION_BYTES, GUARANTEED_CLIENT_BYTES};
use crate::session::{IncomingRequest, Session};
use async_channel::Sender;
use chalkgap::frontend::{Answer, DriverEvent, Permit, RequestEnd, Response};
use chalkgap::telemetry::add;
use chalkgap_core::RequestId;
use chalkgap_runtime::{Micros, Stream};
use chalkgap_transport::{MemoryOwner, Pipe, Turn};
use std::collections::HashMap;
use std::sync::atomic::Ordering;

/// Timeout for a client's first command, and for the rest of any partly received command.
const COMMAND_TIMEOUT_MICROS: Micros = 2_200_000;
/// Shorter timeout for the rest of a partly received command on a connection that is to be closed.
const CLOSING_COMMAND_TIMEOUT_MICROS: Micros = 400_000;
/// How long commands are still read and rejected after the pending ones were answered as failed. A client may send without end.
const REJECTING_MICROS: Micros = 100_000;
/// A client that leaves replies unread for longer than this is disconnected.
const UNREAD_REPLY_TIMEOUT_MICROS: Micros = 10_000_000;

type ClientPipe = Pipe<Response, Session>;

#[derive(Clone, Copy, PartialEq, Eq)]
enum ClientState {
    Connected,
    /// All that has arrived is answered and the connection is to be closed.
    Finished,
    Disconnected,
}

/// Times at which the connection has to act if nothing else happens before; `None` for a deadline that does not apply now.
struct Deadlines {
    /// When pending requests are answered as failed, in a graceful shutdown.
    fail_pending: Option<Micros>,
    /// When the connection is closed if no command has arrived since it was admitted.
    first_command: Option<Micros>,
    /// When the connection is closed if a partly received command is still incomplete.
    partial_command: Option<Micros>,
    /// When the connection is closed if the client has still not read its replies.
    unread_reply: Option<Micros>,
    /// When reading ends, shortly before the process is killed.
    end_of_input: Option<Micros>,
    /// When a command that has not arrived completely is no longer awaited, in a graceful shutdown.
    closing_command: Option<Micros>,
}

impl Deadlines {
    fn earliest(&self) -> Option<Micros> {
        let all = [
            self.fail_pending,
            self.first_command,
            self.partial_command,
            self.unread_reply,
            self.closing_command,
            self.end_of_input,
        ];
        all.into_iter().flatten().min()
    }
}

pub(crate) struct ClientConnection {
    context: FrontendContext,
    permit: Permit,
    response_sender: Sender<Response>,
    /// The ids under which the driver knows the requests in flight, by token.
    open_requests: HashMap<u32, RequestId>,
    admitted_at: Micros,
    /// When the partly received command began; `None` if there is none.
    partial_command_since: Option<Micros>,
    /// When the graceful shutdown of this connection began.
    closing_since: Option<Micros>,
    /// Whether the pending requests were answered as failed because the process is about to be killed.
    pending_failed: bool,
}

impl ClientConnection {
    /// Serves a connection until it is closed.
    pub(crate) async fn serve(context: FrontendContext, stream: Box<dyn Stream>, permit: Permit) {
        let _memory = context.memory.draw(MemoryOwner::Connections, CLIENT_CONNECTION_BYTES);
        // The pending commands bound it. A bounded channel would allocate its whole capacity, even for an idle connection.
        let (response_sender, responses) = async_channel::unbounded();
        let session = Session::new(context.parser.clone()).with_memory(context.memory.clone());
        let mut pipe = Pipe::new(context.runtime.clone(), stream, session, responses, permit.signal.clone())
            .with_memory(context.memory.clone(), GUARANTEED_CLIENT_BYTES);
        let mut connection = ClientConnection {
            admitted_at: context.runtime.now(),
            context,
            permit,
            response_sender,
            open_requests: HashMap::new(),
            partial_command_since: None,
            closing_since: None,
            pending_failed: false,
        };
        let mut state = ClientState::Connected;
        while state == ClientState::Connected {
            state = connection.turn(&mut pipe).await;
        }
        if state == ClientState::Finished {
            let until = connection.context.runtime.now() + LINGER_MICROS;
            connection.permit.linger(pipe.close(until)).await;
        }
        connection.cancel_requests().await;
    }

    /// Waits for the next event (bytes, an answer, the close signal or a deadline) and handles it.
    async fn turn(&mut self, pipe: &mut ClientPipe) -> ClientState {
        let deadlines = self.deadlines(pipe);
        let read = pipe.conn.wants_input();
        let turn = if pipe.conn.can_close() {
            match pipe.turn_before_close(deadlines.earliest(), read).await {
                Some(turn) => turn,
                None => return ClientState::Finished,
            }
        } else {
            pipe.turn(deadlines.earliest(), read).await
        };
        match turn {
            Turn::Read => {}
            Turn::Command(response) => {
                self.answer(response, &mut pipe.conn);
                while let Some(response) = pipe.command() {
                    self.answer(response, &mut pipe.conn);
                }
            }
            Turn::Signal => self.on_close_signal(pipe),
            Turn::Time => {
                if self.on_deadline(pipe).await == ClientState::Disconnected {
                    return ClientState::Disconnected;
                }
            }
            Turn::ProtocolError(never) => match never {},
            Turn::Closed => {
                tracing::debug!(open_requests = self.open_requests.len(), read, "client disconnected");
                return ClientState::Disconnected;
            }
        }
        let commands_before = pipe.conn.commands_received();
        if self.forward_requests(pipe).await == ClientState::Disconnected {
            return ClientState::Disconnected;
        }
        if commands_before == 0 && pipe.conn.commands_received() > 0 {
            self.permit.handshake_completed();
        }
        self.update_partial_command(commands_before, &pipe.conn);
        ClientState::Connected
    }

    fn deadlines(&self, pipe: &ClientPipe) -> Deadlines {
        let session = &pipe.conn;
        let fail_pending_at = self.context.fail_pending_at.load(Ordering::Relaxed);
        let awaits_first_command = session.commands_received() == 0 && !session.has_stopped_reading();
        let partial_command = self.partial_command_since.map(|since| pipe.awaiting_since(since));
        let closing_since = self.closing_since.filter(|_| session.awaits_only_input());
        let closing_command = closing_since.map(|since| partial_command.unwrap_or(since).max(since));
        Deadlines {
            fail_pending: (fail_pending_at > 0 && !self.pending_failed).then_some(fail_pending_at),
            end_of_input: (self.pending_failed && !session.has_stopped_reading())
                .then_some(fail_pending_at + REJECTING_MICROS),
            first_command: awaits_first_command.then_some(self.admitted_at + COMMAND_TIMEOUT_MICROS),
            partial_command: partial_command.map(|since| since + COMMAND_TIMEOUT_MICROS),
            unread_reply: pipe.backlog().map(|(since, _)| since + UNREAD_REPLY_TIMEOUT_MICROS),
            closing_command: closing_command.map(|since| since + CLOSING_COMMAND_TIMEOUT_MICROS),
        }
    }

    /// Handles the gate's signal to close the connection.
    fn on_close_signal(&mut self, pipe: &mut ClientPipe) {
        let now = self.context.runtime.now();
        let partial_command = self.partial_command_since;
        let awaits_partial_command =
            partial_command.is_some_and(|since| now < since + CLOSING_COMMAND_TIMEOUT_MICROS);
        if self.permit.draining() {
            self.closing_since = Some(now);
            pipe.conn.start_draining();
        } else if pipe.conn.is_idle() && !awaits_partial_command {
            pipe.conn.stop_reading();
        } else {
            // The gate wants to evict the connection, which is in use: the gate is told so, and may signal again later.
            pipe.watch(self.permit.refuse_eviction());
        }
    }

    /// Handles a deadline that has passed. What the turn has read and written may have ended or prolonged it.
    async fn on_deadline(&mut self, pipe: &mut ClientPipe) -> ClientState {
        let now = self.context.runtime.now();
        let deadlines = self.deadlines(pipe);
        let is_due = |deadline: Option<Micros>| deadline.is_some_and(|deadline| deadline <= now);
        if is_due(deadlines.fail_pending) {
            self.fail_pending(&mut pipe.conn).await;
        } else if is_due(deadlines.end_of_input) {
            pipe.conn.stop_reading();
        } else if is_due(deadlines.unread_reply) {
            return ClientState::Disconnected;
        } else if is_due(deadlines.closing_command) {
            pipe.conn.stop_reading();
        } else if is_due(deadlines.partial_command) || is_due(deadlines.first_command) {
            add(&self.context.telemetry.too_slow);
            let error = if pipe.awaits_memory() { "BUSY" } else { "ERR no whole command in time" };
            pipe.conn.fail(error);
        }
        ClientState::Connected
    }

    /// Forwards the client's requests to the driver.
    async fn forward_requests(&mut self, pipe: &mut ClientPipe) -> ClientState {
        loop {
            let mut reservation = None;
            let next = pipe.conn.next_request(|id| {
                reservation = self.context.open_ids.reserve(self.context.runtime.now(), id);
                reservation.is_some()
            });
            let Some(IncomingRequest { token, mut request }) = next else { return ClientState::Connected };
            self.permit.request_started();
            request.command.hold_id(reservation);
            let pending = self.context.pending_request(token, request, self.response_sender.clone());
            self.open_requests.insert(token, pending.id);
            match pipe.hand_over(&self.context.driver, DriverEvent::Request(Box::new(pending))).await {
                Some(true) => {}
                Some(false) => pipe.conn.stop_reading(), // the driver has stopped
                None => return ClientState::Disconnected,
            }
        }
    }

    /// Updates the start time of the partly received command. A client that pipelines commands may always have a part of one in
    /// the buffer, so the time restarts with each complete command.
    fn update_partial_command(&mut self, commands_before: u64, session: &Session) {
        let awaits_rest = session.has_partial_command() && session.parses_commands();
        let command_completed = commands_before != session.commands_received();
        self.partial_command_since = match self.partial_command_since {
            _ if !awaits_rest => None,
            Some(since) if !command_completed => Some(since),
            _ => Some(self.context.runtime.now()),
        };
    }

    fn answer(&mut self, response: Response, session: &mut Session) {
        if self.open_requests.remove(&response.token).is_none() {
            return;
        }
        let rejected = matches!(response.answer, Answer::Rejected { .. });
        self.permit.request_ended(if rejected { RequestEnd::Rejected } else { RequestEnd::Other });
        session.answer(response.token, response.answer);
    }

    /// Answers all pending requests with the error for a timeout and rejects the commands that are not parsed yet, those that
    /// are still unread included. Called when the process is about to be killed.
    async fn fail_pending(&mut self, session: &mut Session) {
        self.pending_failed = true;
        for token in self.cancel_requests().await {
            self.permit.request_ended(RequestEnd::Other);
            session.answer(token, Answer::Failed { late: true });
        }
        session.start_rejecting();
    }

    /// Cancels the requests in flight and returns their tokens.
    async fn cancel_requests(&mut self) -> Vec<u32> {
        let open_requests = std::mem::take(&mut self.open_requests);
        for request in open_requests.values() {
            // Fails only when the driver has stopped.
            let _ = self.context.driver.send(DriverEvent::ClientGone(*request)).await;
        }
        open_requests.into_keys().collect()
    }
}
