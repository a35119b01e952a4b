//! The event loop of a gRPC client's connection.

use super::calls::Call;
use super::slow_clients::ProgressWatch;
use crate::connection_gate::Permit;
use crate::frontends::FrontendContext;
use crate::memory::GUARANTEED_CLIENT_BYTES;
use crate::messages::{DriverEvent, Response};
use crate::telemetry::add;
use async_channel::Sender;
use bytes::Bytes;
use chalkgap_core::RequestId;
use chalkgap_runtime::{Micros, Stream};
use chalkgap_transport::{MemoryOwner, OwnerState, Pipe, Turn};
use chalkgap_wire::grpc::{Code, Status};
use chalkgap_wire::http2::{self, Config, ConnError, Connection, Event};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::ControlFlow;

/// Maximum time that a closing connection waits for the client to close its side.
const LINGER_TIMEOUT: Micros = 1_000_000;

pub(super) type ClientPipe = Pipe<Response>;

/// State of a connection.
pub(super) struct ClientConnection {
    pub context: FrontendContext,
    pub permit: Permit,
    pub peer: SocketAddr,
    /// Open calls by stream.
    pub calls: HashMap<u32, Call>,
    /// Number of requests without a response of the driver, cancelled ones included.
    pub awaiting_response: usize,
    pub response_sender: Sender<Response>,
    pub draining: bool,
    pub progress: ProgressWatch,
}

/// Serves a connection until it is closed.
pub(super) async fn serve(context: FrontendContext, stream: Box<dyn Stream>, permit: Permit) {
    let frontend = &context.settings.settings.front;
    let max_awaiting_response = 2 * frontend.max_streams as usize;
    let config = Config { max_streams: frontend.max_streams, ..Config::default() };
    let peer = stream.peer();
    // `awaiting_response` bounds the responses in the channel. A bounded channel would allocate its whole capacity, even
    // for an idle connection: hundreds of KiB.
    let (response_sender, responses) = async_channel::unbounded();
    let runtime = context.runtime.clone();
    let progress = ProgressWatch::new(permit.time_without_stalls(), runtime.now());
    let server = Connection::server(config);
    let _memory = context.memory.draw(MemoryOwner::Connections, GUARANTEED_CLIENT_BYTES);
    let mut pipe = Pipe::new(runtime.clone(), stream, server, responses, permit.signal.clone())
        .with_memory(context.memory.clone(), GUARANTEED_CLIENT_BYTES);
    let mut connection = ClientConnection {
        context,
        permit,
        peer,
        calls: HashMap::new(),
        awaiting_response: 0,
        response_sender,
        draining: false,
        progress,
    };
    let mut handshake_reported = false;
    loop {
        let next_check = connection.next_progress_check(&pipe);
        let may_read = connection.awaiting_response < max_awaiting_response;
        let turn = pipe.turn(Some(next_check), may_read).await;
        if connection.on_turn(turn, &mut pipe).is_break() {
            break;
        }
        connection.handle_events(&mut pipe).await;
        pipe.set_owner_state(connection.owner_state());
        if !handshake_reported && pipe.conn.settings_received() {
            handshake_reported = true;
            connection.permit.handshake_completed();
        }
        if pipe.conn.finished() {
            break;
        }
    }
    connection.cancel_calls().await;
    connection.permit.linger(pipe.close(runtime.now() + LINGER_TIMEOUT)).await;
}

impl ClientConnection {
    /// Returns what is held for the client beside the state of the protocol.
    fn owner_state(&self) -> OwnerState {
        let unfinished_bytes = self.calls.values().map(Call::unfinished_bytes).sum();
        OwnerState { unfinished_bytes, has_requests: self.awaiting_response > 0 }
    }

    /// Handles the result of a turn. Breaks if the connection is to be closed.
    fn on_turn(&mut self, turn: Turn<Response>, pipe: &mut ClientPipe) -> ControlFlow<()> {
        match turn {
            Turn::Read => {}
            Turn::Command(response) => {
                self.answer(response, pipe);
                while let Some(response) = pipe.command() {
                    self.answer(response, pipe);
                }
            }
            Turn::Time => {
                if let Some(reason) = self.check_progress(pipe) {
                    pipe.conn.abort(ConnError { code: http2::Code::ENHANCE_YOUR_CALM, reason });
                    add(&self.context.telemetry.too_slow);
                    add(&self.context.telemetry.connections_bad);
                    return ControlFlow::Break(());
                }
            }
            Turn::Signal => return self.on_signal(pipe),
            Turn::ProtocolError(error) => {
                add(&self.context.telemetry.connections_bad);
                tracing::debug!(peer = %self.peer, %error, "protocol error, closing client connection");
                return ControlFlow::Break(());
            }
            Turn::Closed => return ControlFlow::Break(()),
        }
        ControlFlow::Continue(())
    }

    /// Handles the signal of the gate: it evicts this connection, or the drain begins.
    fn on_signal(&mut self, pipe: &mut ClientPipe) -> ControlFlow<()> {
        let draining = self.permit.draining();
        if !draining && !self.calls.is_empty() {
            // The connection was idle when the gate chose to evict it, but has a call now.
            pipe.watch(self.permit.refuse_eviction());
            return ControlFlow::Continue(());
        }
        self.draining = true;
        pipe.conn.shutdown();
        if draining {
            return ControlFlow::Continue(());
        }
        pipe.conn.reject("idle, and others need the room; retry-after: 1");
        ControlFlow::Break(())
    }

    /// Cancels the calls that wait for the driver's response, at the end of the connection.
    async fn cancel_calls(&mut self) {
        for call in std::mem::take(&mut self.calls).into_values() {
            if let Call::Waiting { id, .. } = call {
                self.report_client_gone(id).await;
            }
        }
    }

    async fn report_client_gone(&self, id: RequestId) {
        let _ = self.context.driver.send(DriverEvent::ClientGone(id)).await; // fails if the instance has stopped
    }

    async fn handle_events(&mut self, pipe: &mut ClientPipe) {
        while let Some(event) = pipe.conn.event() {
            match event {
                // Trailers of a client have no meaning in this service.
                Event::Headers { stream, .. } if self.calls.contains_key(&stream) => {}
                Event::Headers { stream, fields, end } => {
                    let opened = self.open_call(stream, &fields, pipe);
                    if opened && end {
                        let status = Status::new(Code::InvalidArgument, "expected one message, found none");
                        self.end_invalid(stream, &status, pipe);
                    }
                }
                Event::Data { stream, data, end } => {
                    pipe.conn.consumed(stream, data.len());
                    if self.on_data(stream, &data, end, pipe).await.is_break() {
                        return;
                    }
                }
                Event::Reset { stream, .. } => {
                    if let Some(Call::Waiting { id, .. }) = self.calls.remove(&stream) {
                        self.report_client_gone(id).await;
                    }
                }
                Event::Ready | Event::GoAway(_) | Event::Pong => {}
            }
        }
    }

    /// Handles bytes of a call's message. Breaks if the client has disconnected or the instance has stopped.
    async fn on_data(
        &mut self,
        stream: u32,
        data: &Bytes,
        end: bool,
        pipe: &mut ClientPipe,
    ) -> ControlFlow<()> {
        match self.read_message(stream, data, end, pipe) {
            Ok(None) => {}
            Ok(Some(request)) => {
                self.awaiting_response += 1;
                self.permit.request_started();
                let event = DriverEvent::Request(request);
                if pipe.hand_over(&self.context.driver, event).await != Some(true) {
                    return ControlFlow::Break(());
                }
            }
            Err(status) => self.end_invalid(stream, &status, pipe),
        }
        ControlFlow::Continue(())
    }
}
