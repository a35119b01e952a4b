//! Actions: the outputs of a gateway, to be carried out by its host.

use super::{BackendId, GatewayId, Micros, RequestId};

/// An output of a gateway. The host carries actions out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an endpoint. It ends with an [`Event::AttemptFinished`](super::Event::AttemptFinished).
    StartAttempt {
        /// The request.
        id: RequestId,
        /// The endpoint.
        backend: BackendId,
        /// When to give the attempt up; 0 to give it up at the client's deadline.
        give_up_at: Micros,
        /// No byte of the attempt may be written after this time, however long its connection takes; 0 for no limit. An
        /// attempt that has not started by then ends with [`Outcome::NotSent`](super::Outcome::NotSent).
        start_by: Micros,
    },
    /// Give the request its final answer: rejected. Sending the request again is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it sends the request again; 0 for no advice.
        retry_after: Micros,
    },
    /// Give the request its final answer: failed. The request may have run.
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
        /// Delay from now.
        delay: Micros,
        /// Token to pass with the event.
        token: u32,
    },
    /// Send a message of at most 256 bytes to one peer, or to all.
    SendGossip {
        /// The receiver; `None` for all peers.
        to: Option<GatewayId>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Check the health of an endpoint.
    CheckHealth(BackendId),
    /// Close idle connections to an endpoint.
    CloseIdle(BackendId),
    /// Subscribe to discovery if true, otherwise unsubscribe.
    WatchEndpoints(bool),
    /// Fetch the whole list of endpoints once.
    FetchEndpoints,
    /// Add an amount to the shared counter.
    AddToCounter {
        /// Name of the counter.
        name: u64,
        /// Amount to add.
        delta: f64,
        /// Lifetime of the counter if it is created.
        lifetime: Micros,
    },
    /// Write a line to the log.
    Log(String),
}
