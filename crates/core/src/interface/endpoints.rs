//! Endpoints: how discovery lists them, what they report, and how attempts at them end.

use super::{BackendId, Micros};

/// The state of an endpoint as listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Availability {
    /// It takes requests.
    #[default]
    Ready,
    /// It finishes its requests and takes no new ones.
    Draining,
    /// It was removed.
    Gone,
}

/// An entry of the list of endpoints.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// Its identity.
    pub backend: BackendId,
    /// Its zone.
    pub zone: u8,
    /// Its cell: the endpoints of a cell know each other's idempotency keys.
    pub cell: u16,
    /// The kind of its machine.
    pub kind: u16,
    /// Its state.
    pub availability: Availability,
    /// Its weight, see [`WeightMeaning`](super::WeightMeaning).
    pub weight: f64,
    /// When its process last started; 0 for long ago.
    pub started_at: Micros,
}

/// How a list of endpoints is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Changed entries only.
    Delta,
    /// The whole list: an endpoint that is not in it is gone.
    Snapshot,
    /// The whole list as last held before a restart, perhaps stale.
    Cached,
    /// A call to discovery failed; the list stays as it was.
    Failed,
}

/// The load that an endpoint reported, as far as it reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests being served.
    pub in_flight: Option<f64>,
    /// Requests waiting.
    pub queued: Option<f64>,
    /// Share of the processors in use.
    pub utilization: Option<f64>,
    /// Recent service time in milliseconds.
    pub latency_ms: Option<f64>,
    /// Requests served a second.
    pub requests_per_second: Option<f64>,
    /// Errors a second.
    pub errors_per_second: Option<f64>,
}

/// How an attempt, a health check or a call to the shared counter ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error answer; it may have run.
    Error,
    /// Rejected before any work was done.
    Rejected,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}
