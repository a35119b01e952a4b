//! Node lists from a discovery service, which streams them in a gRPC call.

use super::MAX_LIST_BYTES;
use crate::messages::DriverEvent;
use crate::node_list::{Node, NodeList, State};
use crate::telemetry::{add, Telemetry};
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use chalkgap_runtime::{Micros, Shared, Stream};
use chalkgap_transport::{Pipe, Turn};
use chalkgap_wire::grpc::{self, Deframer, Status};
use chalkgap_wire::http2::{Config, Connection, Event, Field};
use chalkgap_wire::roster;
use futures_lite::future;
use prost::Message;
use std::net::SocketAddr;
use std::sync::Arc;

/// Initial backoff between two calls, in microseconds. It doubles after each call that brought no new list.
const MIN_BACKOFF: Micros = 50_000;
/// Maximum backoff between two calls, in microseconds.
const MAX_BACKOFF: Micros = 5_000_000;
/// Maximum time for connecting, and again until the service's SETTINGS, in microseconds.
const ANSWER_TIMEOUT: Micros = 5_000_000;
/// Maximum time from the start of a call to the service's SETTINGS, if the call before was not answered in time. There is no
/// backoff after such a call: it takes as long as a shorter one with the longest backoff.
const LONG_ANSWER_TIMEOUT: Micros = ANSWER_TIMEOUT + MAX_BACKOFF;
/// Time without data after which the connection is pinged, and after the same time again closed, in microseconds.
const PING_AFTER: Micros = 5_000_000;

/// Why a call to the discovery service ended.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error("{0}")]
    Connect(std::io::Error),
    #[error("{0}")]
    Protocol(chalkgap_wire::http2::ConnError),
    #[error("{0}")]
    InvalidList(String),
    #[error("{0}")]
    Status(Status),
    /// The service reset the call, or announced with GOAWAY that it closes the connection.
    #[error("service reset the call or sent GOAWAY: {0}")]
    Reset(chalkgap_wire::http2::Code),
    #[error("service ended the call")]
    Ended,
    /// The connection was not established, or the service's SETTINGS did not arrive, within this time.
    #[error("no answer from the service within {} ms", .0 / 1000)]
    Unanswered(Micros),
    /// No data arrived for [`PING_AFTER`], and none for the same time after a ping.
    #[error("timed out waiting for data from the service")]
    Silent,
    /// The connection was closed, or the instance is stopping.
    #[error("connection closed")]
    Closed,
    #[error("instance stopped")]
    Stopped,
}

/// Keeps a call to the discovery service open and passes each list to the driver, until the instance stops.
pub(crate) async fn watch(
    runtime: Shared,
    telemetry: Arc<Telemetry>,
    gateway: u16,
    address: SocketAddr,
    driver: Sender<DriverEvent>,
    alive: Receiver<()>,
) {
    let mut backoff = MIN_BACKOFF;
    let mut logged = false;
    let mut watcher = Watcher { runtime: runtime.clone(), gateway, address, driver, alive, revision: 0 };
    let mut previous_unanswered = false;
    loop {
        let revision_before = watcher.revision;
        let Err(error) = watcher.call(previous_unanswered).await;
        if watcher.driver.is_closed() {
            return;
        }
        let revision = watcher.revision;
        if revision != revision_before {
            backoff = MIN_BACKOFF;
            logged = false;
        }
        add(&telemetry.lists_bad);
        if !logged {
            logged = true; // one log line for each outage
            tracing::warn!(roster = %address, %error, revision, "discovery call ended, keeping the last list");
        }
        let unanswered = matches!(error, CallError::Unanswered(_));
        let delay = if unanswered && previous_unanswered { MIN_BACKOFF } else { backoff };
        // Jitter spreads the reconnects of gateways that lost the service at the same time.
        let jitter = runtime.random() % (delay / 2);
        runtime.sleep_until(runtime.now() + delay / 2 + jitter).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
        previous_unanswered = unanswered;
    }
}

/// State that is kept between calls to the discovery service.
struct Watcher {
    runtime: Shared,
    gateway: u16,
    address: SocketAddr,
    driver: Sender<DriverEvent>,
    alive: Receiver<()>,
    /// Revision of the last list that the driver was sent.
    revision: u64,
}

impl Watcher {
    /// Makes one call and reads lists until it ends. `wait_longer` gives the service more time for its first answer.
    async fn call(&mut self, wait_longer: bool) -> Result<std::convert::Infallible, CallError> {
        let started_at = self.runtime.now();
        let connect_timeout = if wait_longer { LONG_ANSWER_TIMEOUT } else { ANSWER_TIMEOUT };
        let stream = self.connect(connect_timeout).await?;
        let settings_until = match wait_longer {
            true => started_at + LONG_ANSWER_TIMEOUT,
            false => self.runtime.now() + ANSWER_TIMEOUT,
        };
        let (_commands, no_commands) = async_channel::bounded::<()>(1);
        let connection = Connection::client(Config { max_streams: 0, ..Config::default() });
        let mut pipe = Pipe::new(self.runtime.clone(), stream, connection, no_commands, self.alive.clone());
        let mut call = None;
        let mut body = Deframer::new(MAX_LIST_BYTES as usize);
        let mut last_activity = self.runtime.now();
        let mut ping_sent = false;
        loop {
            let until = match pipe.conn.settings_received() {
                true => last_activity + PING_AFTER,
                false => settings_until,
            };
            match pipe.turn(Some(until), true).await {
                Turn::Read => {
                    last_activity = self.runtime.now();
                    ping_sent = false;
                }
                Turn::Time if !pipe.conn.settings_received() => {
                    return Err(CallError::Unanswered(self.runtime.now() - started_at))
                }
                Turn::Time if ping_sent => return Err(CallError::Silent),
                Turn::Time => {
                    pipe.conn.ping();
                    last_activity = self.runtime.now();
                    ping_sent = true;
                }
                Turn::ProtocolError(error) => return Err(CallError::Protocol(error)),
                Turn::Closed | Turn::Signal => return Err(CallError::Closed),
                Turn::Command(()) => {}
            }
            while let Some(event) = pipe.conn.event() {
                self.handle(&mut pipe.conn, event, call, &mut body).await?;
            }
            if call.is_none() && pipe.conn.settings_received() && pipe.conn.can_open().is_ok() {
                call = self.open_call(&mut pipe.conn);
            }
        }
    }

    /// Handles an event of the connection. `call` is the stream of the call, and `body` its partly received message.
    async fn handle(
        &mut self,
        connection: &mut Connection,
        event: Event,
        call: Option<u32>,
        body: &mut Deframer,
    ) -> Result<(), CallError> {
        match event {
            Event::Data { stream, data, end } if call == Some(stream) => {
                connection.consumed(stream, data.len());
                body.push(&data);
                self.pass_lists(body).await?;
                if end {
                    return Err(CallError::Ended);
                }
                Ok(())
            }
            Event::Headers { end: true, fields, .. } => Err(CallError::Status(Status::from_fields(&fields))),
            Event::Reset { code, .. } | Event::GoAway(code) => Err(CallError::Reset(code)),
            _ => Ok(()),
        }
    }

    async fn connect(&self, within: Micros) -> Result<Box<dyn Stream>, CallError> {
        let deadline = self.runtime.now() + within;
        let timeout = async {
            self.runtime.sleep_until(deadline).await;
            Err(CallError::Unanswered(within))
        };
        let connected = async { self.runtime.connect(self.address).await.map_err(CallError::Connect) };
        future::or(connected, timeout).await
    }

    /// Opens the call's stream and returns its id.
    fn open_call(&self, connection: &mut Connection) -> Option<u32> {
        let fields = [
            Field::constant(":method", "POST"),
            Field::constant(":scheme", "http"),
            Field::constant(":path", roster::WATCH),
            Field::new(":authority", self.address.to_string()),
            Field::constant("content-type", "application/grpc"),
            Field::constant("te", "trailers"),
        ];
        let stream = connection.open(&fields, false).ok()?;
        let request = roster::WatchRequest { ingress: self.gateway.into(), revision: self.revision };
        // Cannot fail: the stream is new.
        let _ = connection.data(stream, grpc::frame(&request), true);
        Some(stream)
    }

    /// Passes the lists that are complete in `body` to the driver.
    async fn pass_lists(&mut self, body: &mut Deframer) -> Result<(), CallError> {
        loop {
            let message = body.message().map_err(|status| CallError::InvalidList(status.to_string()))?;
            let Some(message) = message else { return Ok(()) };
            let list = decode(message).map_err(CallError::InvalidList)?;
            let revision = list.revision;
            let event = DriverEvent::NodeList { list: Box::new(list), cached: false };
            self.driver.send(event).await.map_err(|_| CallError::Stopped)?;
            self.revision = revision;
        }
    }
}

fn decode(message: Bytes) -> Result<NodeList, String> {
    let list = roster::List::decode(message).map_err(|error| error.to_string())?;
    let nodes = list.nodes.into_iter().enumerate().map(|(index, node)| convert(index, node));
    Ok(NodeList { revision: list.revision, nodes: nodes.collect::<Result<_, _>>()? })
}

fn convert(index: usize, node: roster::Node) -> Result<Node, String> {
    let address = node.address.parse().map_err(|_| {
        format!("nodes[{index}].address: expected an address and a port, found {:?}", node.address)
    })?;
    let state = match node.state {
        roster::NODE_READY => State::Ready,
        roster::NODE_DRAINING => State::Draining,
        roster::NODE_REMOVED => State::Gone,
        other => return Err(format!("nodes[{index}].state: expected 0 to 2, found {other}")),
    };
    let roster::Node { zone, cell, kind, size, started_ms, .. } = node;
    Ok(Node { address, zone, cell, kind, state, size, started_ms })
}
