//! Queries to nodes about the execution of requests that were sent to them: `POST /chalkgap.intake.v1.Truth/Ask`.
//!
//! A node that answers [`ExecutionStatus::Never`] blocks the request id, so that the request cannot run later either.
//! Nodes remember requests for a time that is configured for the whole fleet.
#![allow(missing_docs)] // only fields that need an explanation have one

/// `:path` of the call.
pub const ASK: &str = "/chalkgap.intake.v1.Truth/Ask";
/// Header of an attempt with the time at which its request was accepted, in microseconds since 1970. Nodes assign the
/// request's use to this time.
pub const ACCEPTED_AT_HEADER: &str = "x-request-entered";
/// Maximum number of requests in a question.
pub const MAX_REQUESTS: usize = 4096;

/// The request message.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Question {
    /// Request ids, as in the header `x-request-id`.
    #[prost(string, repeated, tag = "1")]
    pub requests: Vec<String>,
}

/// Whether a node has run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum ExecutionStatus {
    /// The node does not know.
    Unknown = 0,
    /// The request has not run on this node and will not run.
    Never = 1,
    /// The request is running.
    Running = 2,
    /// The request has run.
    Ran = 3,
}

/// The answer message: one status for each request, in the order of the question.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Answer {
    #[prost(enumeration = "ExecutionStatus", repeated, tag = "1")]
    pub statuses: Vec<i32>,
}
