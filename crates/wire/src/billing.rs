//! What a billing consumer is told: `POST /chalkgap.billing.v1.Billing/Hand`. It keeps sequences of numbered batches;
//! it takes the batch that comes next in its stream, for good before it says so, and gives back the one that it has to
//! whoever brings a number that is there.
#![allow(missing_docs)] // the fields' comments say it

/// `:path` of the call.
pub const HAND: &str = "/chalkgap.billing.v1.Billing/Hand";

/// A batch is handed over.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HandRequest {
    #[prost(string, tag = "1")]
    pub stream: String,
    /// From 1.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The batch (`chalkgap_ledger::entry::Batch`).
    #[prost(bytes = "bytes", tag = "3")]
    pub batch: bytes::Bytes,
}

/// The word on it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HandResponse {
    /// The last number of the stream that is there.
    #[prost(uint64, tag = "1")]
    pub last: u64,
    /// The batch that is there under the number; empty where there is none.
    #[prost(bytes = "bytes", tag = "2")]
    pub batch: bytes::Bytes,
}
