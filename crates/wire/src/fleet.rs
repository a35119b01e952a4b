//! Calls between ingresses about what they have in their ledgers: `POST /chalkgap.fleet.v1.Ledger/Have` and `/Fetch`.
//! Each message is a [`Sealed`] one; what is inside is the ledger's.
#![allow(missing_docs)] // the fields' comments say it

use bytes::Bytes;

/// `:path` of the question what the other has: an empty body; the answer is [`Ranges`].
pub const HAVE: &str = "/chalkgap.fleet.v1.Ledger/Have";
/// `:path` of the question for entries: [`Ranges`]; the answer is [`Entries`].
pub const FETCH: &str = "/chalkgap.fleet.v1.Ledger/Fetch";

/// A message between ingresses with a keyed hash over all of it and the call's path.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Sealed {
    #[prost(uint32, tag = "1")]
    pub from: u32,
    #[prost(uint32, tag = "2")]
    pub to: u32,
    /// Drawn by who asks, the same in the answer: an answer is good for its own question alone.
    #[prost(fixed64, tag = "3")]
    pub nonce: u64,
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
    #[prost(bytes = "bytes", tag = "5")]
    pub hash: Bytes,
}

/// Numbers of an incarnation.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Range {
    #[prost(uint32, tag = "1")]
    pub ingress: u32,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub from: u64,
    #[prost(uint64, tag = "4")]
    pub to: u64,
}

/// A list of them.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Ranges {
    #[prost(message, repeated, tag = "1")]
    pub ranges: Vec<Range>,
}

/// Entries, each as it is in a ledger.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Entries {
    #[prost(bytes = "bytes", repeated, tag = "1")]
    pub entries: Vec<Bytes>,
}
