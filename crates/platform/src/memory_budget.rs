//! Bounds the memory that replies from backends take together while they arrive.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// A limit on the bytes held by all connections together.
pub struct MemoryBudget {
    max_bytes: usize,
    reserved_bytes: AtomicUsize,
}

/// A part of a [`MemoryBudget`], returned when it is dropped.
pub struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    /// A budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(MemoryBudget { max_bytes, reserved_bytes: AtomicUsize::new(0) })
    }

    /// A reservation of no bytes yet.
    pub fn reservation(self: &Arc<Self>) -> MemoryReservation {
        MemoryReservation { budget: self.clone(), bytes: 0 }
    }
}

impl MemoryReservation {
    /// Reserves more bytes. False, with nothing changed, if that would exceed the budget.
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
