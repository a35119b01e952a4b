//! What fronts, ways out, sources and the ledger say to the driver, and what it says to them. Beneath all of these: each
//! knows this room, none has to know another for it.

use crate::nodes::NodeList;
use crate::settings::Customer;
use async_channel::Sender;
use bytes::Bytes;
use chalkgap_core::{BackendId, Endpoint, EndpointUpdate, LoadReport, Outcome, RequestId};
use chalkgap_runtime::Micros;
use std::net::SocketAddr;

/// What nodes get of a request.
#[derive(Clone)]
pub struct Work {
    /// The framed message.
    pub(crate) body: Bytes,
    /// What they drop repeats by.
    pub(crate) idempotency_key: Option<Bytes>,
}

/// A client's request, as a front hands it over. Its work is opaque to the driver: only the way out reads it.
pub struct PendingRequest<W = Work> {
    /// Never used twice by an instance.
    pub id: RequestId,
    /// Index of its class.
    pub class: u8,
    /// The name that the ledger keeps it under.
    pub account: String,
    /// Whose it is.
    pub customer: Customer,
    /// What it draws from the quota.
    pub units: f64,
    /// When its client abandons it.
    pub deadline: Micros,
    /// For nodes.
    pub work: W,
    /// Where its answer goes. The front bounds its asks by the room of this channel.
    pub response_sender: Sender<Response>,
    /// The front's name for it.
    pub token: u32,
}

/// The one thing that a front hears of each ask.
pub struct Response {
    /// The front's name for it.
    pub token: u32,
    /// The request.
    pub id: RequestId,
    /// What became of it.
    pub answer: Answer,
}

/// A final answer.
#[derive(Debug)]
pub enum Answer {
    /// A node's answer.
    Served {
        /// What it gave.
        body: Bytes,
        /// Which one.
        node: SocketAddr,
    },
    /// Trying again is harmless.
    Rejected {
        /// How long to keep away; 0: no advice.
        retry_after: Micros,
    },
    /// It may have run.
    Failed {
        /// Its time was over.
        late: bool,
    },
    /// None: the client left.
    ClientGone,
}

/// How an attempt ended, as its connection saw it.
#[derive(Debug)]
pub struct AttemptResult {
    /// The request.
    pub id: RequestId,
    /// The number of its attempt.
    pub attempt: u16,
    /// How it ended.
    pub outcome: Outcome,
    /// The answer, with [`Outcome::Ok`].
    pub body: Bytes,
    /// The node's load, as it says.
    pub report: Option<LoadReport>,
    /// The customer's metered use, where nodes tell it.
    pub metered_use: Option<f64>,
    /// What the node says it used.
    pub used_units: Option<u32>,
    /// It ran nothing, as the request's key had come before.
    pub deduplicated: bool,
}

impl AttemptResult {
    /// An attempt that brought nothing back.
    pub fn without_answer(id: RequestId, attempt: u16, outcome: Outcome) -> Self {
        let (body, report, metered, units, repeat) = (Bytes::new(), None, None, None, false);
        AttemptResult {
            id,
            attempt,
            outcome,
            body,
            report,
            metered_use: metered,
            used_units: units,
            deduplicated: repeat,
        }
    }
}

/// What happens to an instance.
pub enum DriverEvent<W = Work> {
    /// A client asks.
    Request(Box<PendingRequest<W>>),
    /// A client left.
    ClientGone(RequestId),
    /// An attempt ended.
    AttemptEnded(Box<AttemptResult>),
    /// A connection to a node has ended, or will with the attempt that is out on it.
    ConnectionClosed {
        /// Its number.
        connection: u64,
        /// It broke as soon as it was written to.
        broke_on_first_write: bool,
    },
    /// A message of a peer.
    Gossip {
        /// The sender's number.
        from: u16,
        /// The message.
        bytes: Vec<u8>,
    },
    /// The view of the fleet has lost a peer, or has it again.
    PeerReachability {
        /// Its number.
        peer: u16,
        /// It counts as in.
        reachable: bool,
    },
    /// A whole list of nodes.
    NodeList {
        /// The list.
        list: Box<NodeList>,
        /// It was kept from an earlier life.
        cached: bool,
    },
    /// A list, or changes to it, already in the module's words.
    Endpoints {
        /// How to read it.
        update: EndpointUpdate,
        /// Its lines, with where each node listens.
        endpoints: Vec<(Endpoint, SocketAddr)>,
    },
    /// The ledger's disk has more, or has failed.
    LedgerProgress,
}

/// An attempt to be made.
pub struct OutboundAttempt<W = Work> {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt.
    pub attempt: u16,
    /// Index of the class.
    pub class: u8,
    /// What the front handed over.
    pub work: W,
    /// When the request's entry in the ledger was written.
    pub ledger_entry_at: Option<Micros>,
    /// When the attempt is given up.
    pub deadline: Micros,
    /// Nothing of it may be written any more after this.
    pub start_by: Option<Micros>,
}

/// A way out: connections to nodes in some protocol. What is started ends with [`DriverEvent::AttemptEnded`], and the driver ends it
/// by its own clock whatever the connection says. An implementation's counts bound what it is handed.
pub trait Upstream: Send {
    /// What a front hands over for nodes.
    type Work: Clone + Send + 'static;
    /// Hands a call to a connection and gives the connection's number; none: there is no room, nothing was written.
    fn start(
        &mut self,
        backend: BackendId,
        address: SocketAddr,
        call: OutboundAttempt<Self::Work>,
    ) -> Option<u64>;
    /// An attempt is called off, or its time is up.
    fn stop(&mut self, connection: u64, id: RequestId, attempt: u16);
    /// Nobody waits for a call any more, or its backend may get nothing new: if nothing of it was written, nothing is, and
    /// it ends as moot. One that has begun goes on.
    fn withdraw(&mut self, connection: u64, id: RequestId, attempt: u16);
    /// A call of this connection has ended.
    fn ended(&mut self, connection: u64);
    /// The connection has ended, or will with the attempt that is out on it; `broke`: as soon as it was written to.
    fn closed(&mut self, _link: u64, _broke: bool) {}
    /// Forgets nodes that are not listed: their connections end with their last call.
    fn retain(&mut self, listed: &dyn Fn(BackendId) -> bool);
    /// Closes the idle connections to a node.
    fn close_idle(&mut self, backend: BackendId);
}

/// What nodes see a request of a start's name as.
pub(crate) fn request_name(name: &str, id: RequestId) -> String {
    format!("{name}-{}", id.0)
}
