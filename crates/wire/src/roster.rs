//! The messages of a roster, which pushes node lists: `POST /chalkgap.roster.v1.Roster/Watch`, one request, then a
//! stream of whole lists for as long as the call lives, the first at once.
#![allow(missing_docs)] // the fields' comments say it

/// `:path` of the call.
pub const WATCH: &str = "/chalkgap.roster.v1.Roster/Watch";

/// Who asks.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WatchRequest {
    /// The ingress's number.
    #[prost(uint32, tag = "1")]
    pub ingress: u32,
    /// The revision that it has; 0 for none.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// A whole list.
#[derive(Clone, PartialEq, prost::Message)]
pub struct List {
    /// Grows with each change.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// What is not there is gone.
    #[prost(message, repeated, tag = "2")]
    pub nodes: Vec<Node>,
}

/// A node.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Node {
    /// Address and port as text.
    #[prost(string, tag = "1")]
    pub address: String,
    #[prost(string, tag = "2")]
    pub zone: String,
    #[prost(string, tag = "3")]
    pub cell: String,
    #[prost(string, tag = "4")]
    pub kind: String,
    /// 0: takes work, 1: draining, 2: gone.
    #[prost(uint32, tag = "5")]
    pub state: u32,
    #[prost(double, tag = "6")]
    pub size: f64,
    /// Start of its process, in milliseconds since 1970.
    #[prost(uint64, tag = "7")]
    pub started_ms: u64,
}
