//! How an ingress divides its file descriptors, and the limits of its connection gate.

use chalkgap::frontend::ConnectionGateConfig;
use chalkgap_admission::minimum_throughput::MinimumThroughput;
use chalkgap_admission::KnownClientLimits;
use chalkgap_admission::{Caps, DescriptorReservations, IdleEviction};
use chalkgap_runtime::Micros;

/// Number of descriptors for the runtime, listeners, discovery and standard streams.
const OWN_DESCRIPTORS: u64 = 20;
/// When descriptors are short, a client that has been silent since it connected, or idle, for this time may be evicted.
const EVICTABLE_AFTER_MICROS: Micros = 50_000;

/// Divides the descriptors: about a third is for connections to backends, and as many are for client connections with requests.
/// The others are for client connections that are idle or never send a request.
pub(crate) fn descriptor_split(descriptors: u64) -> DescriptorReservations {
    let spare = (descriptors / 20).max(8);
    let nodes = descriptors * 35 / 100;
    let clients = descriptors.saturating_sub(nodes + spare + OWN_DESCRIPTORS);
    DescriptorReservations {
        listeners: OWN_DESCRIPTORS,
        nodes,
        peers: 0,
        files: 0,
        spare,
        max_clients: clients,
    }
}

/// Returns the limits of the connection gate. There are no limits by address, because all clients connect through one proxy and
/// share its address.
///
/// A connection with a pending request is never evicted. Of the others, the one that has been idle the longest is evicted
/// first, even if it has been idle for only a short time: its client loses an idle connection, whereas a rejected new client
/// would lose a request.
pub(crate) fn gate_config(descriptors: u64) -> ConnectionGateConfig {
    ConnectionGateConfig {
        reservations: descriptor_split(descriptors),
        max_descriptors: descriptors,
        caps: Caps {
            per_address: u32::MAX,
            per_prefix: u32::MAX,
            per_second: 1e9,
            handshakes: u32::MAX / 2,
            handshakes_per_address: u32::MAX / 2,
            reserve: 0.0,
            preferred_reserve: 0.0,
            max_remembered_addresses: 64,
            rejection_responses_per_second: 200.0,
            idle_eviction: Some(IdleEviction {
                min_open_connections: descriptors / 4,
                handshake_after: EVICTABLE_AFTER_MICROS,
                idle_after: EVICTABLE_AFTER_MICROS,
            }),
        },
        known_clients: KnownClientLimits { max_addresses: 64, max_per_account: 4, remember_for: 60_000_000 },
        always_known: Vec::new(),
        known_clients_file: None,
        minimum_throughput: MinimumThroughput { grace_period: 2_000_000, bytes_per_second: 1 },
    }
}
