//! Limits the memory of the replies from backends that are being received.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// A limit on the total number of bytes reserved by all connections.
pub struct MemoryBudget {
    max_bytes: usize,
    reserved_bytes: AtomicUsize,
}

/// Bytes reserved from a [`MemoryBudget`], returned to it on drop.
pub struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(MemoryBudget { max_bytes, reserved_bytes: AtomicUsize::new(0) })
    }

    /// Creates an empty reservation.
    pub fn reservation(self: &Arc<Self>) -> MemoryReservation {
        MemoryReservation { budget: self.clone(), bytes: 0 }
    }
}

impl MemoryReservation {
    /// Reserves `bytes` more. Returns false and reserves nothing if that would exceed the budget.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let max_bytes = self.budget.max_bytes;
        let add = |reserved: usize| reserved.checked_add(bytes).filter(|total| *total <= max_bytes);
        let reserved = self.budget.reserved_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        if reserved.is_err() {
            return false;
        }
        self.bytes += bytes;
        true
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.reserved_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
