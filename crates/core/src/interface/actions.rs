//! Actions: what a gateway asks its host to do.

use super::{BackendId, GatewayId, Micros, RequestId};

/// What a gateway asks its host to do. The host carries actions out in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an endpoint. It ends with an [`Event::AttemptFinished`](super::Event::AttemptFinished).
    StartAttempt {
        /// The request.
        id: RequestId,
        /// The endpoint.
        backend: BackendId,
        /// When to give the attempt up; 0 for the client's deadline.
        give_up_at: Micros,
        /// Nothing of the attempt may be written after this, however long its connection takes; 0 for no limit. An
        /// attempt that has not started by then ends with [`Outcome::NotSent`](super::Outcome::NotSent).
        start_by: Micros,
    },
    /// Final answer: rejected; sending the request again is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should stay away; 0 gives no advice.
        retry_after: Micros,
    },
    /// Final answer: failed; the request may have run.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u16,
    },
    /// Wake the gateway after a delay with [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// From now.
        delay: Micros,
        /// Comes back with the event.
        token: u32,
    },
    /// Send a message of at most 256 bytes to one peer, or to all.
    SendGossip {
        /// The receiver; none means all.
        to: Option<GatewayId>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Check the health of an endpoint.
    CheckHealth(BackendId),
    /// Close idle connections to an endpoint.
    CloseIdle(BackendId),
    /// Subscribe to discovery, or no longer.
    WatchEndpoints(bool),
    /// Fetch the whole list of endpoints once.
    FetchEndpoints,
    /// Add to a number of the shared counter.
    AddToCounter {
        /// Its name.
        name: u64,
        /// The amount.
        delta: f64,
        /// How long a new number lives.
        lifetime: Micros,
    },
    /// A line for the log.
    Log(String),
}
