//! Messages of the registry that pushes node lists: `POST /chalkgap.roster.v1.Roster/Watch`. The call has one request
//! and a stream of answers. Each answer is a complete list; the first is sent immediately.
#![allow(missing_docs)] // only fields that need an explanation have one

/// `:path` of the call.
pub const WATCH: &str = "/chalkgap.roster.v1.Roster/Watch";

/// The request of an ingress.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WatchRequest {
    /// Number of the ingress.
    #[prost(uint32, tag = "1")]
    pub ingress: u32,
    /// Revision of the list that the ingress has; 0 if it has none.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// A complete list of nodes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct List {
    /// Revision of the list, which increases with each change.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// All nodes. A node that is not in the list has been removed.
    #[prost(message, repeated, tag = "2")]
    pub nodes: Vec<Node>,
}

/// The [`Node::state`] of a node that accepts requests.
pub const NODE_READY: u32 = 0;
/// The [`Node::state`] of a node that drains.
pub const NODE_DRAINING: u32 = 1;
/// The [`Node::state`] of a node that was removed.
pub const NODE_REMOVED: u32 = 2;

/// A node of the list.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Node {
    /// Socket address as text.
    #[prost(string, tag = "1")]
    pub address: String,
    #[prost(string, tag = "2")]
    pub zone: String,
    #[prost(string, tag = "3")]
    pub cell: String,
    /// Kind of the node's machine.
    #[prost(string, tag = "4")]
    pub kind: String,
    /// [`NODE_READY`], [`NODE_DRAINING`] or [`NODE_REMOVED`].
    #[prost(uint32, tag = "5")]
    pub state: u32,
    /// Capacity of the node relative to other nodes; a positive number.
    #[prost(double, tag = "6")]
    pub size: f64,
    /// Start of the node's process, in milliseconds since 1970.
    #[prost(uint64, tag = "7")]
    pub started_ms: u64,
}
