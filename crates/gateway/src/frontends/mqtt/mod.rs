//! The MQTT frontend, for MQTT 5.0 and 3.1.1. Each publish is a request.
//!
//! The answer to a publish is its PUBACK (QoS 1) or PUBREC (QoS 2), and a message to its response topic if it has one. A
//! publish of QoS 0 without a response topic is a request as well, but gets no answer.
//!
//! - [`connection`]: event loop of a connection
//! - [`connect`]: CONNECT: authentication, session takeover, negotiated limits
//! - [`publish`]: conversion of publishes and wills to requests
//! - [`answers`]: conversion of the driver's answers to MQTT
//! - [`authentication`]: users and passwords
//! - [`sessions`]: idle sessions, and the connections that own the other sessions
//! - [`snapshot`]: the file that stores idle sessions
//! - [`topics`]: account and class of a topic

mod answers;
mod authentication;
mod connect;
mod connection;
mod publish;
mod sessions;
mod snapshot;
mod topics;

use super::{Frontend, FrontendContext, REJECTION_TIMEOUT};
use crate::connection_gate::Permit;
use crate::ledger::lock;
use crate::settings;
use authentication::Authenticator;
use chalkgap_runtime::{BoxFuture, Micros, Shared, Stream};
use chalkgap_transport::{Pipe, Turn};
use chalkgap_wire::mqtt::reason;
use chalkgap_wire::mqtt::server::{Event, Limits, Server};
use sessions::Sessions;
use std::sync::{Arc, Mutex};

/// Maximum number of packet identifiers of QoS 2 publishes that a session remembers.
const MAX_REMEMBERED_IDENTIFIERS: usize = 1024;

/// The MQTT frontend.
#[derive(Clone)]
pub(crate) struct MqttFrontend {
    shared: Arc<SharedState>,
}

/// State shared by all connections of the frontend.
struct SharedState {
    settings: settings::Mqtt,
    sessions: Mutex<Sessions>,
    authenticator: Authenticator,
}

impl MqttFrontend {
    pub fn new(runtime: &Shared, settings: settings::Mqtt) -> Self {
        let authenticator = Authenticator::new(runtime);
        let sessions = Mutex::default();
        MqttFrontend { shared: Arc::new(SharedState { settings, sessions, authenticator }) }
    }
}

impl Frontend for MqttFrontend {
    type Context = FrontendContext;

    fn serve(
        &self,
        context: FrontendContext,
        stream: Box<dyn Stream>,
        permit: Permit,
    ) -> BoxFuture<'static, ()> {
        Box::pin(connection::serve(self.shared.clone(), context, stream, permit))
    }

    fn reject(
        &self,
        runtime: Shared,
        stream: Box<dyn Stream>,
        retry_after: Micros,
    ) -> BoxFuture<'static, ()> {
        Box::pin(reject(self.shared.clone(), runtime, stream, retry_after))
    }
}

/// Rejects a connection. Waits up to [`REJECTION_TIMEOUT`] for CONNECT, because the form of the rejection depends on the
/// version in it.
async fn reject(shared: Arc<SharedState>, runtime: Shared, stream: Box<dyn Stream>, retry_after: Micros) {
    let (_commands, no_commands) = async_channel::bounded::<()>(1);
    let (_signal_sender, no_signal) = async_channel::bounded(1);
    let server = Server::new(shared.protocol_limits());
    let mut pipe = Pipe::new(runtime.clone(), stream, server, no_commands, no_signal);
    let deadline = runtime.now() + REJECTION_TIMEOUT;
    while let Turn::Read = pipe.turn(Some(deadline), true).await {
        if let Some(Event::Connect(_)) = pipe.conn.event() {
            pipe.conn.refuse(reason::SERVER_BUSY, answers::retry_after_property(retry_after));
            break;
        }
    }
    pipe.close(deadline).await;
}

impl SharedState {
    fn protocol_limits(&self) -> Limits {
        Limits {
            packet_bytes: self.settings.most_packet,
            receive_maximum: self.settings.receive_maximum,
            topic_alias_maximum: self.settings.topic_aliases,
            remembered_identifiers: MAX_REMEMBERED_IDENTIFIERS,
        }
    }
}
