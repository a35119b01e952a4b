//! Handles of connections: [`Permit`] of an admitted one, [`Rejection`] of a rejected one.

use super::ConnectionGate;
use async_channel::Receiver;
use chalkgap_admission::minimum_throughput::MinimumThroughput;
use chalkgap_admission::{Admission, ConnId};
use chalkgap_runtime::Micros;
use futures_lite::future;
use std::future::Future;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// An admitted connection. When it is dropped, the connection counts as closed.
pub struct Permit {
    pub(super) gate: Arc<ConnectionGate>,
    pub(super) id: ConnId,
    /// Closes when the connection is evicted or the drain begins; see [`Permit::draining`].
    pub signal: Receiver<()>,
}

/// How a request on a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The request was served. The client's address becomes a known client.
    Served {
        /// The account's number.
        account: u64,
        /// Whether the account's plan is preferred (has the highest price).
        preferred: bool,
    },
    /// The request was rejected.
    Rejected,
    /// The request ended otherwise, or does not count for admission.
    Other,
}

impl Permit {
    fn with_admission<T>(&self, act: impl FnOnce(&mut Admission, Micros, ConnId) -> T) -> T {
        let now = self.gate.runtime.now();
        act(&mut self.gate.state().admission, now, self.id)
    }

    /// Records that the client has completed its handshake.
    pub fn handshake_completed(&self) {
        self.with_admission(|admission, now, id| admission.handshake_completed(now, id));
    }

    /// Records that a request has arrived.
    pub fn request_started(&self) {
        self.with_admission(|admission, now, id| admission.request_started(now, id));
    }

    /// Records that a request has ended.
    pub fn request_ended(&self, end: RequestEnd) {
        let served = match end {
            RequestEnd::Served { account, preferred } => Some((account, preferred)),
            RequestEnd::Rejected | RequestEnd::Other => None,
        };
        let rejected = end == RequestEnd::Rejected;
        self.with_admission(|admission, now, id| admission.request_ended(now, id, served, rejected));
    }

    /// Returns the time by which the timeouts of clients are measured. It does not advance while this process stalls.
    pub fn time_without_stalls(&self) -> Micros {
        self.with_admission(|admission, now, _| admission.time_without_stalls(now))
    }

    /// Returns the earliest time at which bytes that are read now may have arrived. After a stall of this process, that
    /// is the time before the stall.
    pub fn earliest_arrival(&self) -> Micros {
        self.gate.state().stall_detector.earliest_arrival(self.gate.runtime.now())
    }

    /// Returns true if `signal` is closed because the gateway drains, and not because this connection is evicted.
    pub fn draining(&self) -> bool {
        self.gate.state().draining
    }

    /// Refuses an eviction, because a request has arrived on the connection in the meantime. Returns the new signal.
    pub fn refuse_eviction(&self) -> Receiver<()> {
        let mut state = self.gate.state();
        let (signal, receiver) = async_channel::bounded(1);
        if !state.draining {
            state.admission.eviction_refused(self.gate.runtime.now(), self.id);
            state.signals.insert(self.id, signal);
        }
        receiver
    }

    /// Runs the lingering close of a connection: `close` writes the remaining bytes and waits for the client to close
    /// its side. It is cut short when another connection needs the descriptor.
    pub async fn linger(&self, close: impl Future<Output = ()>) {
        let (keep_open, cut_short) = async_channel::bounded::<()>(1);
        {
            let mut state = self.gate.state();
            state.admission.linger_started(self.gate.runtime.now(), self.id);
            state.lingering.insert(self.id, keep_open);
            state.end_lingering_for_others();
        }
        let cut_short = async {
            let _ = cut_short.recv().await; // nothing is ever sent: it ends when the sender is dropped
        };
        future::or(close, cut_short).await;
    }

    /// Returns the throughput below which the client counts as too slow.
    pub fn minimum_throughput(&self) -> MinimumThroughput {
        self.gate.minimum_throughput
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.gate.runtime.now();
        let mut state = self.gate.state();
        state.admission.closed(now, self.id);
        state.signals.remove(&self.id);
        state.lingering.remove(&self.id);
    }
}

/// A connection that was not admitted.
pub struct Rejection {
    /// Time after which the client may reconnect, in microseconds.
    pub retry_after: Micros,
    /// Held while the rejection is written. `None`: no spare descriptor is free, and the connection is closed at once.
    pub slot: Option<RejectionSlot>,
}

/// The right to keep one spare descriptor open while a rejection is written. Returned to the gate when dropped.
pub struct RejectionSlot(Arc<ConnectionGate>);

impl RejectionSlot {
    /// Takes a slot, if fewer than half of the spare descriptors are in use for rejections.
    pub(super) fn take(gate: &Arc<ConnectionGate>) -> Option<RejectionSlot> {
        if gate.rejections_in_progress.load(Ordering::Relaxed) >= gate.reservations.spare / 2 {
            return None;
        }
        gate.rejections_in_progress.fetch_add(1, Ordering::Relaxed);
        Some(RejectionSlot(gate.clone()))
    }
}

impl Drop for RejectionSlot {
    fn drop(&mut self) {
        self.0.rejections_in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}
