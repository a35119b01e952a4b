//! Messages between ingresses about their ledgers: `POST /chalkgap.fleet.v1.Ledger/Have` and `/Fetch`. Requests and
//! answers are [`Sealed`] messages whose bodies are the messages named here.
#![allow(missing_docs)] // only fields that need an explanation have one

use bytes::Bytes;

/// `:path` of the call that lists the receiver's entries. The request's body is empty, the answer's is [`Ranges`].
pub const HAVE: &str = "/chalkgap.fleet.v1.Ledger/Have";
/// `:path` of the call that fetches entries. The request's body is [`Ranges`], the answer's is [`Entries`].
pub const FETCH: &str = "/chalkgap.fleet.v1.Ledger/Fetch";

/// A message between two ingresses, authenticated by a keyed hash over its other fields, its direction and the `:path`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Sealed {
    /// Number of the sending ingress.
    #[prost(uint32, tag = "1")]
    pub from: u32,
    /// Number of the receiving ingress.
    #[prost(uint32, tag = "2")]
    pub to: u32,
    /// Random number chosen by the caller and repeated in the answer, so that an answer is valid only for its request.
    #[prost(fixed64, tag = "3")]
    pub nonce: u64,
    #[prost(bytes = "bytes", tag = "4")]
    pub body: Bytes,
    #[prost(bytes = "bytes", tag = "5")]
    pub hash: Bytes,
}

/// Entries of one incarnation of an ingress, by their numbers from `from` to `to`, both included.
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

/// Ranges of entries.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Ranges {
    #[prost(message, repeated, tag = "1")]
    pub ranges: Vec<Range>,
}

/// Ledger entries in their stored encoding.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Entries {
    #[prost(bytes = "bytes", repeated, tag = "1")]
    pub entries: Vec<Bytes>,
}
