//! What fronts, ways out, sources and the ledger say to the driver, and what it says to them. Beneath all of these: each
//! knows this room, none has to know another for it.

use crate::nodes::NodeList;
use crate::settings::Customer;
use async_channel::Sender;
use bytes::Bytes;
use chalkgap_core::{BackendId, Listed, Outcome, Report, RequestId, RosterKind};
use chalkgap_runtime::Micros;
use std::net::SocketAddr;

/// What nodes get of a request.
#[derive(Clone)]
pub struct Work {
    /// The framed message.
    pub(crate) body: Bytes,
    /// What they drop repeats by.
    pub(crate) key: Option<Bytes>,
}

/// A client's request, as a front hands it over. Its work is opaque to the driver: only the way out reads it.
pub struct Ask<W = Work> {
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
    pub reply: Sender<Reply>,
    /// The front's name for it.
    pub token: u32,
}

/// The one thing that a front hears of each ask.
pub struct Reply {
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
    Refused {
        /// How long to keep away; 0: no advice.
        pause: Micros,
    },
    /// It may have run.
    Failed {
        /// Its time was over.
        late: bool,
    },
    /// None: the client left.
    Gone,
}

/// How an attempt ended, as its connection saw it.
#[derive(Debug)]
pub struct Ended {
    /// The request.
    pub id: RequestId,
    /// The number of its attempt.
    pub attempt: u16,
    /// How it ended.
    pub outcome: Outcome,
    /// The answer, with [`Outcome::Ok`].
    pub body: Bytes,
    /// The node's load, as it says.
    pub report: Option<Report>,
    /// The customer's metered use, where nodes tell it.
    pub metered: Option<f64>,
    /// What the node says it used.
    pub units: Option<u32>,
    /// It ran nothing, as the request's key had come before.
    pub repeat: bool,
}

impl Ended {
    /// An attempt that brought nothing back.
    pub fn without_answer(id: RequestId, attempt: u16, outcome: Outcome) -> Self {
        let (body, report, metered, units, repeat) = (Bytes::new(), None, None, None, false);
        Ended { id, attempt, outcome, body, report, metered, units, repeat }
    }
}

/// What happens to an instance.
pub enum Input<W = Work> {
    /// A client asks.
    Ask(Box<Ask<W>>),
    /// A client left.
    Gone(RequestId),
    /// An attempt ended.
    Ended(Box<Ended>),
    /// A connection to a node has ended, or will with the attempt that is out on it.
    ConnectionClosed {
        /// Its number.
        connection: u64,
        /// It broke as soon as it was written to.
        broke: bool,
    },
    /// A message of a peer.
    Peer {
        /// The sender's number.
        from: u16,
        /// The message.
        bytes: Vec<u8>,
    },
    /// The view of the fleet has lost a peer, or has it again.
    Reach {
        /// Its number.
        peer: u16,
        /// It counts as in.
        there: bool,
    },
    /// A whole list of nodes.
    Nodes {
        /// The list.
        list: Box<NodeList>,
        /// It was kept from an earlier life.
        cached: bool,
    },
    /// A list, or changes to it, already in the module's words.
    Roster {
        /// How to read it.
        kind: RosterKind,
        /// Its lines, with where each node listens.
        lines: Vec<(Listed, SocketAddr)>,
    },
    /// The ledger's disk has more, or has failed.
    Durable,
}

/// An attempt to be made.
pub struct Call<W = Work> {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt.
    pub attempt: u16,
    /// Index of the class.
    pub class: u8,
    /// What the front handed over.
    pub work: W,
    /// When the request's entry in the ledger was written.
    pub entered: Option<Micros>,
    /// When the attempt is given up.
    pub until: Micros,
    /// Nothing of it may be written any more after this.
    pub begin_by: Option<Micros>,
}

/// A way out: connections to nodes in some protocol. What is started ends with [`Input::Ended`], and the driver ends it
/// by its own clock whatever the connection says. An implementation's counts bound what it is handed.
pub trait Upstream: Send {
    /// What a front hands over for nodes.
    type Work: Clone + Send + 'static;
    /// Hands a call to a connection and gives the connection's number; none: there is no room, nothing was written.
    fn start(&mut self, backend: BackendId, address: SocketAddr, call: Call<Self::Work>) -> Option<u64>;
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
