//! The messages between an ingress and an intake node: one unary gRPC call an attempt, `POST
//! /chalkgap.intake.v1.Intake/CLASS`. The request's key, where its class has one, is in `idempotency-key`, the time
//! left in `grpc-timeout`; the node's load report comes as the trailer `endpoint-load-metrics`. A node that has not
//! looked at a call says so with REFUSED_STREAM; any error status means that it may have run.
#![allow(missing_docs)] // the fields' comments say it

use crate::ratelimit::Entry;

/// What comes before the class in `:path`.
pub const PATH_PREFIX: &str = "/chalkgap.intake.v1.Intake/";
/// The field that carries the key of a keyed class.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// The field that names the client's request, alike for all its attempts.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// A request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Work {
    /// Whose it is.
    #[prost(string, tag = "1")]
    pub account: String,
    /// What it draws from the quota.
    #[prost(uint32, tag = "2")]
    pub units: u32,
    /// The client's descriptor entries that mean nothing to the ingress.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// The body, where the front's protocol has one.
    #[prost(bytes = "bytes", tag = "4")]
    pub payload: bytes::Bytes,
}

/// An answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Done {
    /// For the client, as it is.
    #[prost(bytes = "bytes", tag = "1")]
    pub body: bytes::Bytes,
    /// What it used; absent: what was asked for.
    #[prost(uint32, optional, tag = "2")]
    pub units: Option<u32>,
    /// The request's key had come before: this attempt ran nothing, and `units`, if it is there, is what the request
    /// used. If it is not there, the node cannot say whether an earlier attempt of the same request ran.
    #[prost(bool, tag = "3")]
    pub repeat: bool,
}
