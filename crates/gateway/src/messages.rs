//! The messages between the driver and its surroundings: frontends, upstream connections, discovery, peers and the
//! ledger. They stand apart from all of these, so that none has to depend on another.

use crate::node_list::NodeList;
use crate::settings::Customer;
use async_channel::Sender;
use bytes::Bytes;
use chalkgap_core::{BackendId, Endpoint, EndpointUpdate, LoadReport, Outcome, RequestId};
use chalkgap_runtime::Micros;
use std::net::SocketAddr;

/// The part of a request that is forwarded to nodes.
#[derive(Clone)]
pub struct Work {
    /// The message with its gRPC framing.
    pub(crate) body: Bytes,
    /// The key by which nodes recognize duplicates.
    pub(crate) idempotency_key: Option<Bytes>,
}

/// A client's request as a frontend passes it to the driver. The driver does not read `work`; only [`Upstream`] does.
pub struct PendingRequest<W = Work> {
    /// Unique within an instance.
    pub id: RequestId,
    /// Index of its class in the settings.
    pub class: u8,
    /// The account under which the ledger records it.
    pub account: String,
    /// The customer whose quota it uses.
    pub customer: Customer,
    /// Units that it takes from the quota.
    pub units: f64,
    /// When its client stops waiting.
    pub deadline: Micros,
    /// Forwarded to nodes.
    pub work: W,
    /// Receives the response. The frontend bounds its open requests by the capacity of this channel.
    pub response_sender: Sender<Response>,
    /// Returned in the response; identifies the call to the frontend.
    pub token: u32,
}

/// The one response to a [`PendingRequest`].
pub struct Response {
    /// The token of the request.
    pub token: u32,
    /// The request.
    pub id: RequestId,
    /// Its final answer.
    pub answer: Answer,
}

/// A final answer.
#[derive(Debug)]
pub enum Answer {
    /// A node has answered.
    Served {
        /// The body of the node's answer.
        body: Bytes,
        /// The node's address.
        node: SocketAddr,
    },
    /// The request has not run; it may be retried without risk.
    Rejected {
        /// When to retry, in microseconds from now; 0 for no advice.
        retry_after: Micros,
    },
    /// The request may have run.
    Failed {
        /// Its deadline has passed.
        late: bool,
    },
    /// No answer, because the client has gone.
    ClientGone,
}

/// The end of an attempt, as its connection saw it.
#[derive(Debug)]
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt within the request.
    pub attempt: u16,
    /// How it ended.
    pub outcome: Outcome,
    /// The answer's body, with [`Outcome::Ok`].
    pub body: Bytes,
    /// The node's load report.
    pub report: Option<LoadReport>,
    /// The customer's metered use, from nodes that report it.
    pub metered_use: Option<f64>,
    /// Units that the node reports as used.
    pub used_units: Option<u32>,
    /// The node ran nothing, because it had seen the request's idempotency key before.
    pub deduplicated: bool,
}

impl AttemptResult {
    /// The result of an attempt that received no answer.
    pub fn without_answer(id: RequestId, attempt: u16, outcome: Outcome) -> Self {
        AttemptResult {
            id,
            attempt,
            outcome,
            body: Bytes::new(),
            report: None,
            metered_use: None,
            used_units: None,
            deduplicated: false,
        }
    }
}

/// An event that the driver handles.
pub enum DriverEvent<W = Work> {
    /// A client's request has arrived.
    Request(Box<PendingRequest<W>>),
    /// The client of a request has gone.
    ClientGone(RequestId),
    /// An attempt has ended.
    AttemptEnded(Box<AttemptResult>),
    /// A connection to a node has closed, or will when its last attempt ends.
    ConnectionClosed {
        /// The connection's number.
        connection: u64,
        /// It broke as soon as it was written to.
        broke_on_first_write: bool,
    },
    /// Gossip has arrived.
    Gossip {
        /// The id of the sending peer.
        from: u16,
        /// The message.
        bytes: Vec<u8>,
    },
    /// The membership has lost a peer, or regained it.
    PeerReachability {
        /// The id of the peer.
        peer: u16,
        /// Whether it counts as a member now.
        reachable: bool,
    },
    /// A complete list of nodes.
    NodeList {
        /// The list.
        list: Box<NodeList>,
        /// It was read from the cache of an earlier incarnation.
        cached: bool,
    },
    /// A snapshot of the endpoints, or a change to them, in the core's types.
    Endpoints {
        /// Whether it is a snapshot or a change.
        update: EndpointUpdate,
        /// The endpoints with their addresses.
        endpoints: Vec<(Endpoint, SocketAddr)>,
    },
    /// More ledger entries are durable, or the ledger's disk has failed.
    LedgerProgress,
}

/// An attempt that is to be made.
pub struct OutboundAttempt<W = Work> {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt within the request.
    pub attempt: u16,
    /// Index of the request's class in the settings.
    pub class: u8,
    /// Forwarded to the node.
    pub work: W,
    /// When the request's ledger entry was written.
    pub ledger_entry_at: Option<Micros>,
    /// When the attempt is given up.
    pub deadline: Micros,
    /// After this, an attempt that has not begun must not begin.
    pub start_by: Option<Micros>,
}

/// Connections to nodes in some protocol.
///
/// Each attempt that [`start`](Upstream::start) accepts ends with one [`DriverEvent::AttemptEnded`]; the driver also ends
/// it at its deadline, whatever the connection reports. An implementation bounds the attempts it accepts.
pub trait Upstream: Send {
    /// The part of a request that is forwarded to nodes.
    type Work: Clone + Send + 'static;

    /// Hands an attempt to a connection and returns the connection's number. `None`: there is no capacity, and nothing
    /// was written.
    fn start(
        &mut self,
        backend: BackendId,
        address: SocketAddr,
        call: OutboundAttempt<Self::Work>,
    ) -> Option<u64>;

    /// Cancels an attempt, or ends it at its deadline.
    fn cancel(&mut self, connection: u64, id: RequestId, attempt: u16);

    /// Cancels an attempt if nothing of it was written; it then ends with [`Outcome::NotSent`]. One that has begun
    /// continues.
    fn cancel_unsent(&mut self, connection: u64, id: RequestId, attempt: u16);

    /// An attempt on this connection has ended.
    fn attempt_finished(&mut self, connection: u64);

    /// The connection has closed, or will when its last attempt ends.
    fn connection_closed(&mut self, _connection: u64, _broke_on_first_write: bool) {}

    /// Drops the pools of backends that are no longer listed: their connections close after their last attempt.
    fn retain(&mut self, listed: &dyn Fn(BackendId) -> bool);

    /// Closes the idle connections to a backend.
    fn close_idle(&mut self, backend: BackendId);
}

/// The id under which nodes see a request: unique over all instances and their restarts.
pub(crate) fn node_request_id(instance_name: &str, id: RequestId) -> String {
    format!("{instance_name}-{}", id.0)
}
