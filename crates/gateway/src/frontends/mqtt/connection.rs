//! The event loop of an MQTT client's connection.

use super::answers::MqttAnswer;
use super::publish::OpenPublish;
use super::sessions::IdleSession;
use super::{lock, SharedState};
use crate::connection_gate::Permit;
use crate::frontends::FrontendContext;
use crate::memory::GUARANTEED_CLIENT_BYTES;
use crate::messages::{DriverEvent, Response};
use crate::telemetry::add;
use async_channel::{Receiver, Sender};
use chalkgap_core::RequestId;
use chalkgap_runtime::{Micros, Stream};
use chalkgap_transport::{MemoryOwner, Pipe, Turn};
use chalkgap_wire::mqtt::packet::{Filter, Subscribe, Unsubscribe, Will};
use chalkgap_wire::mqtt::server::{connack_code, Event, Server, Session};
use chalkgap_wire::mqtt::{reason, Error, Properties, QoS};
use futures_lite::future;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::Arc;

/// Maximum number of subscriptions of a connection.
const MAX_SUBSCRIPTIONS: usize = 100;
/// Maximum time that a closing connection waits for the client to close its side.
const LINGER_TIMEOUT: Micros = 500_000;

pub(super) type ClientPipe = Pipe<Response, Server>;

/// State of a connection.
pub(super) struct MqttConnection {
    pub shared: Arc<SharedState>,
    pub context: FrontendContext,
    pub permit: Permit,
    pub peer: SocketAddr,
    /// Publishes that wait for the driver's response, by token of the request.
    pub open_publishes: HashMap<u32, OpenPublish>,
    pub last_token: u32,
    pub response_sender: Sender<Response>,
    pub subscriptions: Vec<String>,
    pub user: Option<String>,
    /// Key of the client's session; empty until the client is accepted.
    pub session_key: String,
    /// Number that identifies this connection as the owner of its session.
    pub connection_number: u64,
    /// Closed when another connection takes over the session.
    pub taken_over: Option<Receiver<()>>,
    pub will: Option<Will>,
    /// Time for which the session outlives the connection.
    pub session_expiry: Micros,
    pub draining: bool,
    /// Whether the client has sent DISCONNECT.
    pub disconnected: bool,
}

/// Deadlines for a connection's current turn.
struct TurnDeadlines {
    /// Deadline for CONNECT, and after it for the next packet by the keep alive interval.
    keep_alive: Option<Micros>,
    /// Deadline for the client to read unread output.
    unread_output: Option<Micros>,
}

impl TurnDeadlines {
    fn next(&self) -> Option<Micros> {
        [self.keep_alive, self.unread_output].into_iter().flatten().min()
    }
}

/// Serves a connection until it is closed.
pub(super) async fn serve(
    shared: Arc<SharedState>,
    context: FrontendContext,
    stream: Box<dyn Stream>,
    permit: Permit,
) {
    let runtime = context.runtime.clone();
    // `open_publishes` bounds the responses in the channel.
    let (response_sender, responses) = async_channel::unbounded();
    let server = Server::new(shared.protocol_limits());
    let max_open = 2 * usize::from(shared.settings.receive_maximum);
    let peer = stream.peer();
    let _memory = context.memory.draw(MemoryOwner::Connections, GUARANTEED_CLIENT_BYTES);
    let mut pipe = Pipe::new(runtime.clone(), stream, server, responses.clone(), permit.signal.clone())
        .with_memory(context.memory.clone(), GUARANTEED_CLIENT_BYTES);
    let mut connection = MqttConnection::new(shared, context, permit, peer, response_sender);
    let opened_at = runtime.now();
    let mut last_packet_at = opened_at;
    let mut received = 0;
    loop {
        if connection.draining && connection.open_publishes.is_empty() {
            pipe.conn.disconnect(reason::SERVER_BUSY, Some("this ingress drains"));
        }
        if pipe.conn.closed() {
            break;
        }
        let deadlines = connection.deadlines(&pipe, opened_at, last_packet_at);
        let may_read = !connection.draining && connection.open_publishes.len() < max_open;
        let taken_over = async {
            connection.wait_for_takeover().await;
            None
        };
        let turn = async { Some(pipe.turn(deadlines.next(), may_read).await) };
        let turn = future::or(taken_over, turn).await;
        let flow = match turn {
            Some(turn) => {
                // Whether the client is read may have changed during the turn.
                let deadlines = connection.deadlines(&pipe, opened_at, last_packet_at);
                connection.on_turn(turn, &deadlines, &mut pipe)
            }
            None => connection.on_taken_over(&mut pipe),
        };
        if flow.is_break() {
            break;
        }
        if pipe.conn.received() != received {
            received = pipe.conn.received();
            last_packet_at = runtime.now();
        }
        connection.handle_events(&mut pipe).await;
    }
    connection.finish(pipe, responses).await;
}

impl MqttConnection {
    fn new(
        shared: Arc<SharedState>,
        context: FrontendContext,
        permit: Permit,
        peer: SocketAddr,
        response_sender: Sender<Response>,
    ) -> Self {
        MqttConnection {
            shared,
            context,
            permit,
            peer,
            open_publishes: HashMap::new(),
            last_token: 0,
            response_sender,
            subscriptions: Vec::new(),
            user: None,
            session_key: String::new(),
            connection_number: 0,
            taken_over: None,
            will: None,
            session_expiry: 0,
            draining: false,
            disconnected: false,
        }
    }

    fn deadlines(&self, pipe: &ClientPipe, opened_at: Micros, last_packet_at: Micros) -> TurnDeadlines {
        let minimum = self.permit.minimum_throughput();
        let keep_alive = if pipe.conn.open() {
            let silent_since = pipe.awaiting_since(last_packet_at);
            pipe.conn.keep_alive_timeout().map(|seconds| silent_since + (seconds * 1e6) as Micros)
        } else {
            Some(opened_at + minimum.grace_period)
        };
        let unread_output = pipe.backlog().map(|(since, written)| minimum.deadline(since, written));
        TurnDeadlines { keep_alive, unread_output }
    }

    /// Completes when another connection takes over the session.
    async fn wait_for_takeover(&self) {
        match &self.taken_over {
            // No message is sent; `recv` returns when the sender is dropped.
            Some(taken_over) => drop(taken_over.recv().await),
            None => future::pending().await,
        }
    }

    fn on_taken_over(&mut self, pipe: &mut ClientPipe) -> ControlFlow<()> {
        add(&self.context.telemetry.mqtt_taken_over);
        pipe.conn.disconnect(reason::SESSION_TAKEN_OVER, None);
        self.will = None; // the client is still connected, by the other connection
        ControlFlow::Break(())
    }

    /// Handles the result of a turn. Breaks if the connection is to be closed.
    fn on_turn(
        &mut self,
        turn: Turn<Response, Error>,
        deadlines: &TurnDeadlines,
        pipe: &mut ClientPipe,
    ) -> ControlFlow<()> {
        match turn {
            Turn::Read => ControlFlow::Continue(()),
            Turn::Command(response) => {
                self.answer(response, pipe);
                while let Some(response) = pipe.command() {
                    self.answer(response, pipe);
                }
                ControlFlow::Continue(())
            }
            Turn::Time => self.check_progress(deadlines, pipe),
            Turn::Signal => self.on_signal(pipe),
            Turn::ProtocolError(error) => {
                add(&self.context.telemetry.connections_bad);
                tracing::debug!(peer = %self.peer, %error, "protocol error, closing client connection");
                if pipe.conn.version().is_none() || self.session_key.is_empty() {
                    pipe.conn.refuse(connack_code(&error), Properties::default());
                }
                ControlFlow::Break(())
            }
            Turn::Closed => ControlFlow::Break(()),
        }
    }

    fn check_progress(&mut self, deadlines: &TurnDeadlines, pipe: &mut ClientPipe) -> ControlFlow<()> {
        let now = self.context.runtime.now();
        let minimum = self.permit.minimum_throughput();
        if pipe.backlog().is_some_and(|(since, written)| minimum.is_too_slow(now, since, written)) {
            add(&self.context.telemetry.too_slow);
            return ControlFlow::Break(());
        }
        if deadlines.keep_alive.is_some_and(|deadline| now >= deadline) {
            pipe.conn.disconnect(reason::KEEP_ALIVE_TIMEOUT, None);
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    }

    /// Handles the signal of the gate: it evicts this connection, or the drain begins.
    fn on_signal(&mut self, pipe: &mut ClientPipe) -> ControlFlow<()> {
        if self.permit.draining() {
            self.draining = true;
            return ControlFlow::Continue(());
        }
        if self.open_publishes.is_empty() {
            pipe.conn.disconnect(reason::SERVER_BUSY, Some("idle, and others need the room"));
            return ControlFlow::Break(());
        }
        // The connection was idle when the gate chose to evict it, but has an open publish now.
        pipe.watch(self.permit.refuse_eviction());
        ControlFlow::Continue(())
    }

    async fn handle_events(&mut self, pipe: &mut ClientPipe) {
        while let Some(event) = pipe.conn.event() {
            match event {
                Event::Connect(connect) => self.on_connect(*connect, pipe).await,
                Event::Publish(publish) => self.on_publish(publish, pipe).await,
                Event::UnknownDuplicate(publish) => self.reject_unknown_duplicate(&publish, pipe),
                Event::Subscribe(subscribe) => self.on_subscribe(&subscribe, pipe),
                Event::Unsubscribe(unsubscribe) => self.on_unsubscribe(&unsubscribe, pipe),
                Event::Disconnect { will, expiry } => self.on_disconnect(will, expiry),
            }
        }
    }

    fn on_subscribe(&mut self, subscribe: &Subscribe, pipe: &mut ClientPipe) {
        let codes = subscribe.filters.iter().map(|filter| self.subscribe(filter)).collect();
        pipe.conn.subscribed(subscribe.packet, codes);
    }

    /// Adds a subscription with QoS 0. Returns the reason code for SUBACK.
    fn subscribe(&mut self, filter: &Filter) -> u8 {
        if filter.filter.starts_with("$share/") {
            return reason::SHARED_SUBSCRIPTIONS_NOT_SUPPORTED;
        }
        if self.subscriptions.contains(&filter.filter) {
            return reason::SUCCESS;
        }
        if self.subscriptions.len() >= MAX_SUBSCRIPTIONS {
            return reason::QUOTA_EXCEEDED;
        }
        self.subscriptions.push(filter.filter.clone());
        reason::SUCCESS
    }

    fn on_unsubscribe(&mut self, unsubscribe: &Unsubscribe, pipe: &mut ClientPipe) {
        let codes = unsubscribe.filters.iter().map(|filter| self.unsubscribe(filter)).collect();
        pipe.conn.unsubscribed(unsubscribe.packet, codes);
    }

    /// Removes a subscription. Returns the reason code for UNSUBACK.
    fn unsubscribe(&mut self, filter: &str) -> u8 {
        match self.subscriptions.iter().position(|known| known == filter) {
            Some(position) => {
                self.subscriptions.swap_remove(position);
                reason::SUCCESS
            }
            None => reason::NO_SUBSCRIPTION_EXISTED,
        }
    }

    fn on_disconnect(&mut self, with_will: bool, expiry_seconds: Option<u32>) {
        self.disconnected = true;
        if !with_will {
            self.will = None; // a normal DISCONNECT discards the will [MQTT-3.1.2-10]
        }
        // A session with an expiry interval of 0 cannot be extended by DISCONNECT (MQTT 5.0, section 3.14.2.2.2).
        if let Some(seconds) = expiry_seconds.filter(|_| self.session_expiry > 0) {
            self.session_expiry = self.bounded_expiry(seconds);
        }
    }

    /// Closes the connection, releases its session after the open publishes are answered, and publishes its will.
    async fn finish(mut self, mut pipe: ClientPipe, responses: Receiver<Response>) {
        let runtime = self.context.runtime.clone();
        if !self.disconnected {
            self.cancel_repeatable_publishes().await;
        }
        let mut session = pipe.conn.take_session();
        self.permit.linger(pipe.close(runtime.now() + LINGER_TIMEOUT)).await;
        if self.session_key.is_empty() {
            return; // the client was never accepted
        }
        self.complete_session(&mut session, &responses).await;
        self.release_session(session);
        if let Some(will) = self.will.take() {
            self.publish_will(will).await;
        }
    }

    fn release_session(&self, session: Session) {
        let now = self.context.runtime.now();
        let session = IdleSession { session, expires_at: now + self.session_expiry };
        let session = (self.session_expiry > 0).then_some(session);
        let mut sessions = lock(&self.shared.sessions);
        sessions.release(&self.session_key, self.connection_number, session, now, &self.shared.settings);
    }

    /// Cancels open publishes of QoS 1, after a connection that ended without DISCONNECT. The client will send them again
    /// on its next connection, and answers to the current ones could not reach it. Publishes of QoS 0 and 2 continue.
    async fn cancel_repeatable_publishes(&self) {
        let at_least_once = self.open_publishes.values().filter(|open| open.qos == QoS::AtLeastOnce);
        let ids: Vec<RequestId> = at_least_once.map(|open| open.id).collect();
        for id in ids {
            // Fails if the instance has stopped.
            let _ = self.context.driver.send(DriverEvent::ClientGone(id)).await;
        }
    }

    /// Waits for the answers to all open publishes, each of which arrives by the request's deadline, and adds those to
    /// publishes of QoS 2 to the session. A connection that takes over the session waits for this, up to a timeout.
    async fn complete_session(&mut self, session: &mut Session, responses: &Receiver<Response>) {
        while !self.open_publishes.is_empty() {
            let Ok(response) = responses.recv().await else { break };
            let Some(publish) = self.close_publish(&response) else { continue };
            let answer = MqttAnswer::from(response.answer);
            if publish.qos == QoS::ExactlyOnce {
                session.record_response(publish.packet, answer.code, answer.properties);
            }
        }
    }
}
