//! What a node says about requests that it was sent: `POST /chalkgap.intake.v1.Truth/Ask`. A node that says NEVER will
//! not run that request later either: it bars the name. A node remembers requests for as long as its fleet agrees on.
#![allow(missing_docs)] // the fields' comments say it

/// `:path` of the call.
pub const ASK: &str = "/chalkgap.intake.v1.Truth/Ask";
/// The field of an attempt that says when its request was taken, in microseconds since 1970: what nodes count use by.
pub const ACCEPTED_AT_HEADER: &str = "x-request-entered";
/// Requests in one question.
pub const MAX_REQUESTS: usize = 4096;

/// The question.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Question {
    /// Names of requests, as in `x-request-id`.
    #[prost(string, repeated, tag = "1")]
    pub requests: Vec<String>,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum ExecutionStatus {
    /// The node cannot say.
    Unknown = 0,
    /// It has not run, and will not.
    Never = 1,
    /// It is in work.
    Running = 2,
    /// It ran.
    Ran = 3,
}

/// The answer: one for each request, in the question's order.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Answer {
    #[prost(enumeration = "ExecutionStatus", repeated, tag = "1")]
    pub statuses: Vec<i32>,
}
