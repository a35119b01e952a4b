//! Watches the memory of an ingress: reports who holds it when it is short, and returns freed memory to the system.

use chalkgap_runtime::{Micros, Shared};
use chalkgap_transport::{MemoryBudget, MemoryOwner};
use std::sync::Arc;

/// Interval at which the budget is looked at.
const CHECK_MICROS: Micros = 500_000;
/// Shortest time between two reports.
const REPORT_INTERVAL_MICROS: Micros = 5_000_000;
/// Freed memory is returned once this much less is held than before.
const MIN_RELEASED_BYTES: usize = 512 << 10;

/// Runs until it is dropped.
pub(crate) async fn run(runtime: Shared, memory: Arc<MemoryBudget>) {
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
