//! Messages between an ingress and a node. Each attempt is one unary gRPC call, `POST
//! /chalkgap.intake.v1.Intake/CLASS`.
//!
//! The header `grpc-timeout` carries the remaining time, and `idempotency-key` the request's key if its class uses
//! keys. The node sends its load report in the trailer `endpoint-load-metrics`. It resets a call that it has not
//! processed with REFUSED_STREAM (RFC 9113, section 8.7). After any error status, the request may have run.
#![allow(missing_docs)] // only fields that need an explanation have one

use crate::ratelimit::Entry;

/// Prefix of `:path`; the class follows.
pub const PATH_PREFIX: &str = "/chalkgap.intake.v1.Intake/";
/// Header with the idempotency key of a request whose class uses keys.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the id of the client's request, which is the same for all its attempts.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// The request message.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Work {
    /// The customer's account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Units that the request takes from the account's quota.
    #[prost(uint32, tag = "2")]
    pub units: u32,
    /// The client's descriptor entries that the ingress does not use itself.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// The client's payload; empty if its protocol has none.
    #[prost(bytes = "bytes", tag = "4")]
    pub payload: bytes::Bytes,
}

/// The answer message.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Done {
    /// Body that is passed to the client unchanged.
    #[prost(bytes = "bytes", tag = "1")]
    pub body: bytes::Bytes,
    /// Units that the request used; if absent, those of [`Work::units`].
    #[prost(uint32, optional, tag = "2")]
    pub units: Option<u32>,
    /// The node has seen the idempotency key before and did not run this attempt. In this case, `units` is what the
    /// request used; if `units` is absent, the node does not know whether an earlier attempt of the request ran.
    #[prost(bool, tag = "3")]
    pub repeat: bool,
}
