//! Endpoints: how discovery lists them, what they report, and how attempts at them end.

use super::{BackendId, Micros};

/// The state of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Availability {
    /// It accepts requests.
    #[default]
    Ready,
    /// It finishes its requests and accepts no new ones.
    Draining,
    /// It was removed.
    Gone,
}

/// An entry in the list of endpoints.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// Its id.
    pub backend: BackendId,
    /// Its zone.
    pub zone: u8,
    /// Its cell: the endpoints of a cell share their idempotency keys.
    pub cell: u16,
    /// The kind of machine that it runs on.
    pub kind: u16,
    /// Its state.
    pub availability: Availability,
    /// Its weight, see [`WeightMeaning`](super::WeightMeaning).
    pub weight: f64,
    /// When its process last started; 0 if that is long ago.
    pub started_at: Micros,
}

/// The meaning of a list of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Changed entries only.
    Delta,
    /// The whole list: an endpoint that is not in it was removed.
    Snapshot,
    /// A whole list that was stored before a restart; it may be out of date.
    Cached,
    /// No list: a call to discovery failed, and the previous list still holds.
    Failed,
}

/// The load that an endpoint reported; `None` for values that it does not report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Number of requests being served.
    pub in_flight: Option<f64>,
    /// Number of requests waiting.
    pub queued: Option<f64>,
    /// Share of the processors in use, from 0 to 1.
    pub utilization: Option<f64>,
    /// Recent service time in milliseconds.
    pub latency_ms: Option<f64>,
    /// Requests served per second.
    pub requests_per_second: Option<f64>,
    /// Errors per second.
    pub errors_per_second: Option<f64>,
}

/// How an attempt, a health check or a call to the shared counter ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was served.
    Ok,
    /// The endpoint answered with an error; the request may have run.
    Error,
    /// The endpoint rejected the request before it did any work.
    Rejected,
    /// No answer arrived in time; the request may have run.
    TimedOut,
    /// No connection was established; the request never ran.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

impl Outcome {
    /// Returns whether this outcome proves that the attempt never ran.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}
