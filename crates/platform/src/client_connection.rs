//! The task of one client connection: bytes go to its [`Session`], requests to the driver, and answers back.

use crate::frontend::{FrontendContext, LINGER_MICROS};
use crate::session::{IncomingRequest, Session, MAX_PENDING_COMMANDS};
use async_channel::Sender;
use chalkgap::frontend::{Answer, DriverEvent, Permit, RequestEnd, Response};
use chalkgap::telemetry::add;
use chalkgap_core::RequestId;
use chalkgap_runtime::{Micros, Stream};
use chalkgap_transport::{Pipe, Turn};
use std::collections::HashMap;
use std::sync::atomic::Ordering;

/// How long a connection may take to send its first command, and any command once it has begun.
const COMMAND_TIMEOUT_MICROS: Micros = 2_200_000;
/// How long a client whose connection is to be closed may take to send the rest of a command.
const CLOSING_COMMAND_TIMEOUT_MICROS: Micros = 400_000;
/// How long a client may leave its replies unread.
const UNREAD_REPLY_TIMEOUT_MICROS: Micros = 10_000_000;

type ClientPipe = Pipe<Response, Session>;

/// A request in flight.
struct OpenRequest {
    /// Its number at the driver.
    request: RequestId,
    /// The id that its client gave it.
    client_id: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ClientState {
    Connected,
    Left,
}

/// When the connection's task has to act by itself.
struct Deadlines {
    /// Pending requests fail.
    fail_pending: Option<Micros>,
    /// No command has arrived since the connection was admitted.
    first_command: Option<Micros>,
    /// A command that has begun is still incomplete.
    partial_command: Option<Micros>,
    /// Replies are still unread.
    unread_reply: Option<Micros>,
    /// A command that has begun is still incomplete, in a graceful shutdown.
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
        ];
        all.into_iter().flatten().min()
    }
}

pub(crate) struct ClientConnection {
    context: FrontendContext,
    permit: Permit,
    response_sender: Sender<Response>,
    /// Requests in flight by their tokens.
    open_requests: HashMap<u32, OpenRequest>,
    admitted_at: Micros,
    partial_command_since: Option<Micros>,
    /// When the graceful shutdown reached this connection.
    closing_since: Option<Micros>,
}

impl ClientConnection {
    /// Serves a connection to its end.
    pub(crate) async fn serve(context: FrontendContext, stream: Box<dyn Stream>, permit: Permit) {
        let (response_sender, responses) = async_channel::bounded(MAX_PENDING_COMMANDS);
        let session = Session::new(context.parser.clone());
        let mut pipe = Pipe::new(context.runtime.clone(), stream, session, responses, permit.signal.clone());
        let mut connection = ClientConnection {
            admitted_at: context.runtime.now(),
            context,
            permit,
            response_sender,
            open_requests: HashMap::new(),
            partial_command_since: None,
            closing_since: None,
        };
        while connection.turn(&mut pipe).await == ClientState::Connected {
            if pipe.conn.is_finished() {
                let until = connection.context.runtime.now() + LINGER_MICROS;
                connection.permit.linger(pipe.close(until)).await;
                break;
            }
        }
        connection.cancel_requests().await;
    }

    /// Waits for something to happen and acts on it.
    async fn turn(&mut self, pipe: &mut ClientPipe) -> ClientState {
        let deadlines = self.deadlines(pipe);
        let read = pipe.conn.wants_input();
        match pipe.turn(deadlines.earliest(), read).await {
            Turn::Read => {}
            Turn::Command(response) => {
                self.answer(response, &mut pipe.conn);
                while let Some(response) = pipe.command() {
                    self.answer(response, &mut pipe.conn);
                }
            }
            Turn::Signal => self.on_close_signal(pipe),
            Turn::Time => {
                if self.on_deadline(&deadlines, pipe).await == ClientState::Left {
                    return ClientState::Left;
                }
            }
            Turn::ProtocolError(never) => match never {},
            Turn::Closed => {
                tracing::debug!(open_requests = self.open_requests.len(), read, "client disconnected");
                return ClientState::Left;
            }
        }
        let commands_before = pipe.conn.commands_received();
        if self.forward_requests(pipe).await == ClientState::Left {
            return ClientState::Left;
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
        let closing_since = self.closing_since.filter(|_| session.wants_input());
        Deadlines {
            fail_pending: (fail_pending_at > 0).then_some(fail_pending_at),
            first_command: awaits_first_command.then_some(self.admitted_at + COMMAND_TIMEOUT_MICROS),
            partial_command: self.partial_command_since.map(|since| since + COMMAND_TIMEOUT_MICROS),
            unread_reply: pipe.backlog().map(|(since, _)| since + UNREAD_REPLY_TIMEOUT_MICROS),
            closing_command: closing_since.map(|since| since + CLOSING_COMMAND_TIMEOUT_MICROS),
        }
    }

    /// The connection is to be closed. Where input is wanted, the signal is seen only when nothing is left to read.
    fn on_close_signal(&mut self, pipe: &mut ClientPipe) {
        let now = self.context.runtime.now();
        let partial_command = self.partial_command_since;
        let is_sending = partial_command.is_some_and(|since| now < since + CLOSING_COMMAND_TIMEOUT_MICROS);
        if self.permit.draining() {
            self.closing_since = Some(now);
            pipe.conn.start_draining();
        } else if pipe.conn.is_idle() && !is_sending {
            pipe.conn.stop_reading();
        } else {
            pipe.watch(self.permit.refuse_eviction());
        }
    }

    async fn on_deadline(&mut self, deadlines: &Deadlines, pipe: &mut ClientPipe) -> ClientState {
        let now = self.context.runtime.now();
        let is_due = |deadline: Option<Micros>| deadline.is_some_and(|deadline| deadline <= now);
        if is_due(deadlines.fail_pending) {
            self.fail_pending(&mut pipe.conn).await;
        } else if is_due(deadlines.unread_reply) {
            return ClientState::Left;
        } else if is_due(deadlines.closing_command) {
            pipe.conn.abandon_partial_command();
        } else if is_due(deadlines.partial_command) || is_due(deadlines.first_command) {
            add(&self.context.telemetry.too_slow);
            pipe.conn.fail("ERR no whole command in time");
        }
        ClientState::Connected
    }

    /// Hands the requests that the client has sent to the driver.
    async fn forward_requests(&mut self, pipe: &mut ClientPipe) -> ClientState {
        loop {
            let next = pipe.conn.next_request(|id| self.context.open_ids().insert(id));
            let Some(IncomingRequest { token, request }) = next else { return ClientState::Connected };
            self.permit.request_started();
            let client_id = request.id;
            let pending = self.context.pending_request(token, request, self.response_sender.clone());
            self.open_requests.insert(token, OpenRequest { request: pending.id, client_id });
            match pipe.hand_over(&self.context.driver, DriverEvent::Request(Box::new(pending))).await {
                Some(true) => {}
                Some(false) => pipe.conn.stop_reading(), // the instance has stopped
                None => return ClientState::Left,
            }
        }
    }

    /// A client that sends without a pause always has the beginning of a command in the buffer: the time counts from the
    /// last complete command.
    fn update_partial_command(&mut self, commands_before: u64, session: &Session) {
        let awaits_rest = session.has_partial_command() && session.wants_input();
        let command_completed = commands_before != session.commands_received();
        self.partial_command_since = match self.partial_command_since {
            _ if !awaits_rest => None,
            Some(since) if !command_completed => Some(since),
            _ => Some(self.context.runtime.now()),
        };
    }

    fn answer(&mut self, response: Response, session: &mut Session) {
        let Some(open_request) = self.open_requests.remove(&response.token) else { return };
        self.context.open_ids().remove(&open_request.client_id);
        let rejected = matches!(response.answer, Answer::Rejected { .. });
        self.permit.request_ended(if rejected { RequestEnd::Rejected } else { RequestEnd::Other });
        session.answer(response.token, response.answer);
    }

    /// Answers all pending requests as failed, in the words of a timeout, and rejects what is not parsed yet: the process is
    /// about to be killed.
    async fn fail_pending(&mut self, session: &mut Session) {
        for token in self.cancel_requests().await {
            self.permit.request_ended(RequestEnd::Other);
            session.answer(token, Answer::Failed { late: true });
        }
        session.reject_buffered_commands();
    }

    /// Cancels the requests in flight and returns their tokens.
    async fn cancel_requests(&mut self) -> Vec<u32> {
        let open_requests = std::mem::take(&mut self.open_requests);
        for open_request in open_requests.values() {
            self.context.open_ids().remove(&open_request.client_id);
            // Fails only when the instance has stopped.
            let _ = self.context.driver.send(DriverEvent::ClientGone(open_request.request)).await;
        }
        open_requests.into_keys().collect()
    }
}
