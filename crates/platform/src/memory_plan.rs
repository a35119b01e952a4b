//! How an ingress divides its memory limit.

use crate::connection_limits::descriptor_split;
use chalkgap_core::CUSTOMER_RECORD_BYTES;

/// The part of the limit that is kept free, as a divisor.
const SPARE_DIVISOR: u64 = 10;
/// Upper bound of the memory of a client's connection without the bytes that the budget counts.
pub(crate) const CLIENT_CONNECTION_BYTES: usize = 8 << 10;
/// The same for a connection to a backend.
pub(crate) const BACKEND_CONNECTION_BYTES: usize = 4 << 10;
/// The budget is at least the limit divided by this, however little is left.
const MIN_BUDGET_DIVISOR: u64 = 16;
/// Memory that the heap needs for a number of bytes held, in percent: between allocations it has gaps.
const HEAP_PERCENT: u64 = 125;

/// What an ingress holds that does not depend on what peers send.
pub(crate) struct FixedMemory {
    /// Resident memory of the process before it serves anybody.
    pub(crate) resident_bytes: u64,
    /// The limit of file descriptors.
    pub(crate) descriptors: u64,
    /// The number of customers that are kept.
    pub(crate) max_customers: usize,
}

/// Returns how many bytes may be held for peers in a process with this memory limit.
pub(crate) fn budget_bytes(memory_bytes: u64, fixed: &FixedMemory) -> usize {
    let descriptors = descriptor_split(fixed.descriptors);
    let clients = descriptors.max_clients * CLIENT_CONNECTION_BYTES as u64;
    let backends = descriptors.nodes * BACKEND_CONNECTION_BYTES as u64;
    let customers = (fixed.max_customers * CUSTOMER_RECORD_BYTES) as u64;
    let usable = memory_bytes - memory_bytes / SPARE_DIVISOR;
    let left = usable.saturating_sub(fixed.resident_bytes + clients + backends + customers);
    (left * 100 / HEAP_PERCENT).max(memory_bytes / MIN_BUDGET_DIVISOR) as usize
}
