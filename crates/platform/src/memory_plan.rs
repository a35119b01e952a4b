//! How an ingress divides its memory limit.

use crate::connection_limits::descriptor_split;
use chalkgap::memory;
use chalkgap_core::CUSTOMER_RECORD_BYTES;

/// Bytes that each client's connection may hold whatever the others hold: more than a usual command.
pub(crate) const GUARANTEED_CLIENT_BYTES: usize = 512;
/// Upper bound of the memory of a client's connection without the bytes that the budget counts.
pub(crate) const CLIENT_CONNECTION_BYTES: usize = 8 << 10;
/// The same for a connection to a backend.
pub(crate) const BACKEND_CONNECTION_BYTES: usize = 4 << 10;

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
    memory::budget_bytes(memory_bytes, fixed.resident_bytes + clients + backends + customers)
}
