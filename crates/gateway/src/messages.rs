//! Messages between the driver and the frontends, upstream connections, discovery, peers and ledger. They have a module
//! of their own, so that none of these modules has to depend on another.

use crate::node_list::NodeList;
use crate::repeat_window::RepeatWindow;
use crate::settings::Customer;
use async_channel::Sender;
use bytes::Bytes;
use chalkgap_core::{BackendId, LoadReport, Outcome, RequestId};
use chalkgap_runtime::Micros;
use std::net::SocketAddr;

/// The part of a request that is forwarded to nodes.
#[derive(Clone)]
pub struct Work {
    /// The message with its gRPC framing.
    pub(crate) body: Bytes,
    /// The idempotency key, by which nodes recognize duplicates.
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
    /// Number of units that it takes from the quota.
    pub units: f64,
    /// Time at which its client stops waiting, in microseconds.
    pub deadline: Micros,
    /// The part that is forwarded to nodes.
    pub work: W,
    /// Receives the response. The frontend bounds its open requests by the capacity of this channel.
    pub response_sender: Sender<Response>,
    /// Identifies the call to the frontend; copied to the response.
    pub token: u32,
}

/// The one response to a [`PendingRequest`].
pub struct Response {
    /// The token of the request.
    pub token: u32,
    /// The id of the request.
    pub id: RequestId,
    /// Its final answer.
    pub answer: Answer,
}

/// A final answer.
#[derive(Debug)]
pub enum Answer {
    /// A node has answered the request.
    Served {
        /// The body of the node's answer.
        body: Bytes,
        /// The node's address.
        node: SocketAddr,
    },
    /// The request has not run; it may be retried without risk.
    Rejected {
        /// Time after which the client should retry, in microseconds; 0 for no advice.
        retry_after: Micros,
    },
    /// The request failed, and may have run.
    Failed {
        /// Whether the request's deadline has passed.
        late: bool,
    },
    /// No answer is sent, because the client has cancelled the request or has disconnected.
    ClientGone,
}

/// The result of an attempt, as its connection reports it.
#[derive(Debug)]
pub struct AttemptResult {
    /// The id of the request.
    pub id: RequestId,
    /// The number of the attempt within the request.
    pub attempt: u16,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The body of the node's answer; empty unless the outcome is [`Outcome::Ok`].
    pub body: Bytes,
    /// The load report in the node's answer.
    pub report: Option<LoadReport>,
    /// The customer's metered use, if the node reports it.
    pub metered_use: Option<f64>,
    /// Number of units that the node reports as used.
    pub used_units: Option<u32>,
    /// Whether the node did not run the request because it has already seen the request's idempotency key.
    pub deduplicated: bool,
}

impl AttemptResult {
    /// Creates the result of an attempt that received no answer.
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
    /// The client of a request has cancelled it or has disconnected.
    ClientGone(RequestId),
    /// An attempt has ended.
    AttemptEnded(Box<AttemptResult>),
    /// A connection to a node has closed, or closes as soon as its last attempt ends.
    ConnectionClosed {
        /// The connection's number.
        connection: u64,
        /// Whether the connection broke immediately after a request was written to it.
        broke_on_first_write: bool,
    },
    /// A gossip message has arrived.
    Gossip {
        /// The id of the sending peer.
        from: u16,
        /// The message.
        bytes: Vec<u8>,
    },
    /// The membership protocol has lost a peer, or has found it again.
    PeerReachability {
        /// The id of the peer.
        peer: u16,
        /// Whether the peer counts as a member now.
        reachable: bool,
    },
    /// A complete list of nodes.
    NodeList {
        /// The list.
        list: Box<NodeList>,
        /// Whether the list was read from the cache file, which an earlier start of this instance has written.
        cached: bool,
    },
    /// More ledger entries are durable, or the ledger's disk has failed.
    LedgerProgress,
}

/// An attempt that a connection has to make.
pub struct OutboundAttempt<W = Work> {
    /// The id of the request.
    pub id: RequestId,
    /// The number of the attempt within the request.
    pub attempt: u16,
    /// Index of the request's class in the settings.
    pub class: u8,
    /// The part of the request that is forwarded to the node.
    pub work: W,
    /// Time of the ledger entry that opened the request, in microseconds. `None`: the request has no ledger entry.
    pub ledger_entry_at: Option<Micros>,
    /// Deadline of the attempt, in microseconds. The attempt times out if it has no result by then.
    pub deadline: Micros,
    /// Latest time at which the attempt may be written to a connection, in microseconds, as known when it started.
    /// `None`: no limit.
    pub start_by: Option<Micros>,
    /// The window in which all attempts of the request have to be written. `None`: the request has no idempotency key.
    pub repeat_window: Option<RepeatWindow>,
}

impl<W> OutboundAttempt<W> {
    /// Returns the latest time at which the attempt may be written to a connection, in microseconds. It becomes earlier
    /// when another attempt of the request is written first. `None`: no limit.
    pub fn write_by(&self) -> Option<Micros> {
        let window_end = self.repeat_window.as_ref().and_then(RepeatWindow::end);
        self.start_by.into_iter().chain(window_end).min()
    }

    /// Returns whether the attempt may be written at `now`.
    pub fn may_be_written(&self, now: Micros) -> bool {
        self.write_by().is_none_or(|write_by| now <= write_by)
    }

    /// Records that the attempt has been written completely. `now` is a time before its last byte was written.
    pub fn record_written(&self, now: Micros) {
        if let Some(window) = &self.repeat_window {
            window.record_written(now);
        }
    }
}

/// Connections to nodes in some protocol.
///
/// Each attempt that [`start`](Upstream::start) accepts ends with one [`DriverEvent::AttemptEnded`]. At its deadline,
/// the driver ends an attempt without waiting for this event. An implementation limits the number of attempts that it
/// accepts.
pub trait Upstream: Send {
    /// The part of a request that is forwarded to nodes.
    type Work: Clone + Send + 'static;

    /// Hands an attempt to a connection and returns the connection's number. `None`: no connection has capacity, and
    /// nothing was written.
    fn start(
        &mut self,
        backend: BackendId,
        address: SocketAddr,
        call: OutboundAttempt<Self::Work>,
    ) -> Option<u64>;

    /// Cancels an attempt. The driver also calls this for an attempt whose deadline has passed.
    fn cancel(&mut self, connection: u64, id: RequestId, attempt: u16);

    /// Cancels an attempt if nothing of it was written; it then ends with [`Outcome::NotSent`]. An attempt that was
    /// written continues.
    fn cancel_unsent(&mut self, connection: u64, id: RequestId, attempt: u16);

    /// Called when an attempt on this connection has ended.
    fn attempt_finished(&mut self, connection: u64);

    /// Called when the connection has closed, or closes as soon as its last attempt ends.
    fn connection_closed(&mut self, _connection: u64, _broke_on_first_write: bool) {}

    /// Drops the pools of backends that are no longer listed: their connections close after their last attempt.
    fn retain(&mut self, listed: &dyn Fn(BackendId) -> bool);

    /// Closes the idle connections to a backend.
    fn close_idle(&mut self, backend: BackendId);
}

/// Returns the id by which nodes know a request. It is unique across all instances and their restarts.
pub(crate) fn node_request_id(instance_name: &str, id: RequestId) -> String {
    format!("{instance_name}-{}", id.0)
}
