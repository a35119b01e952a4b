//! How an ingress splits its descriptors, and whom its connection gate admits.

use chalkgap::frontend::ConnectionGateConfig;
use chalkgap_admission::minimum_throughput::MinimumThroughput;
use chalkgap_admission::KnownClientLimits;
use chalkgap_admission::{Caps, DescriptorReservations, IdleEviction};
use chalkgap_runtime::Micros;

/// Descriptors for the runtime, listeners, discovery and standard streams.
const OWN_DESCRIPTORS: u64 = 20;
/// How long a client that has sent no command, or is idle, may stay when descriptors are short.
const EVICTABLE_AFTER_MICROS: Micros = 50_000;

/// Clients use at most a third of the descriptors for requests, and backends get as many; the rest is for connections that
/// are idle or never send a request.
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

/// All clients come through one proxy, so their addresses do not tell them apart: no limit is by address.
///
/// A connection with an open request is never evicted. Of the others the longest idle one is, however short that is: it
/// costs its client a connection, where a rejected newcomer loses a request.
pub(crate) fn gate_config(descriptors: u64) -> ConnectionGateConfig {
    ConnectionGateConfig {
        split: descriptor_split(descriptors),
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
