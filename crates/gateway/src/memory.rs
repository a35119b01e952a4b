//! The memory of a gateway: how much may be held for peers, and a task that reports who holds it when it is short and returns
//! freed memory to the system.

use chalkgap_runtime::{Micros, Shared};
use chalkgap_transport::{MemoryBudget, MemoryOwner};
use std::sync::Arc;

/// Interval at which the budget is looked at.
const CHECK_MICROS: Micros = 500_000;
/// Shortest time between two reports.
const REPORT_INTERVAL_MICROS: Micros = 5_000_000;
/// Freed memory is returned once this much less is held than before.
const MIN_RELEASED_BYTES: usize = 128 << 10;

/// The part of the limit that is kept free, as a divisor.
const SPARE_DIVISOR: u64 = 10;
/// The budget is at least the limit divided by this, however little is left.
const MIN_BUDGET_DIVISOR: u64 = 16;
/// Memory that the heap needs for a number of bytes held, in percent: between allocations it has gaps.
const HEAP_PERCENT: u64 = 125;
/// Bytes that each client's connection of `serve` may hold whatever the others hold: its header table and a usual call.
pub(crate) const GUARANTEED_CLIENT_BYTES: usize = 8 << 10;

/// Returns how many bytes may be held for peers by a process with this memory limit, of which `fixed` are needed in any case.
pub fn budget_bytes(limit: u64, fixed: u64) -> usize {
    let usable = limit - limit / SPARE_DIVISOR;
    let left = usable.saturating_sub(fixed);
    (left * 100 / HEAP_PERCENT).max(limit / MIN_BUDGET_DIVISOR) as usize
}

/// Watches a budget. Runs until it is dropped.
pub async fn watch(runtime: Shared, memory: Arc<MemoryBudget>) {
    let mut most_held = 0;
    let mut next_report = 0;
    loop {
        let now = runtime.now();
        runtime.sleep_until(now + CHECK_MICROS).await;
        if memory.is_exhausted_for(MemoryOwner::ClientBuffers) && now >= next_report {
            next_report = now + REPORT_INTERVAL_MICROS;
            tracing::warn!(memory = %memory, "memory is short, clients are read only as it becomes free");
        }
        let held = memory.held_bytes() + memory.held_by(MemoryOwner::Connections);
        most_held = held.max(most_held);
        if most_held - held >= MIN_RELEASED_BYTES {
            runtime.release_free_memory();
            most_held = held;
        }
    }
}
