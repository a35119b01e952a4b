//! The time in which the attempts of a request with an idempotency key may be written.

use chalkgap_runtime::Micros;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Value of [`RepeatWindow::first_written_at`] before any attempt has been written.
const NOT_WRITTEN: u64 = 0;

/// Shared by the attempts of one request. It begins when the last byte of any of them has been written, as a backend may
/// run the request from then on, and ends when backends may have forgotten the idempotency key. An attempt that waits
/// for its connection may be overtaken by a later one, so the number of the attempt does not matter.
#[derive(Clone, Debug)]
pub struct RepeatWindow {
    /// When the first attempt was written, in microseconds.
    first_written_at: Arc<AtomicU64>,
    length: Micros,
}

impl RepeatWindow {
    /// Creates a window of this length, in microseconds, that has not begun.
    pub fn new(length: Micros) -> Self {
        RepeatWindow { first_written_at: Arc::new(AtomicU64::new(NOT_WRITTEN)), length }
    }

    /// Begins the window at `now` unless it has begun.
    pub fn record_written(&self, now: Micros) {
        // Fails if another attempt was recorded before.
        let _ = self.first_written_at.compare_exchange(NOT_WRITTEN, now, Ordering::AcqRel, Ordering::Acquire);
    }

    /// Returns the latest time at which an attempt may be written; `None` before the window has begun.
    pub fn end(&self) -> Option<Micros> {
        let first_written_at = self.first_written_at.load(Ordering::Acquire);
        (first_written_at != NOT_WRITTEN).then(|| first_written_at.saturating_add(self.length))
    }
}
