//! Messages to the consumer of billing batches: `POST /chalkgap.billing.v1.Billing/Hand`.
//!
//! The consumer keeps streams of batches, numbered without gaps. If a batch has the next number of its stream, the
//! consumer stores it durably before it answers. If the number is already stored, the consumer returns the stored
//! batch.
#![allow(missing_docs)] // only fields that need an explanation have one

/// `:path` of the call.
pub const HAND: &str = "/chalkgap.billing.v1.Billing/Hand";

/// Delivers a batch.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HandRequest {
    #[prost(string, tag = "1")]
    pub stream: String,
    /// Number of the batch in its stream, from 1.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// An encoded `chalkgap_ledger::entry::Batch`.
    #[prost(bytes = "bytes", tag = "3")]
    pub batch: bytes::Bytes,
}

/// The consumer's answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HandResponse {
    /// Last stored number of the stream.
    #[prost(uint64, tag = "1")]
    pub last: u64,
    /// The batch that is stored under the requested number; empty if none is.
    #[prost(bytes = "bytes", tag = "2")]
    pub batch: bytes::Bytes,
}
