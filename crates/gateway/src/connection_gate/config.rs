//! Configuration of a connection gate.

use crate::settings::Compiled;
use chalkgap_admission::minimum_throughput::MinimumThroughput;
use chalkgap_admission::KnownClientLimits;
use chalkgap_admission::{Caps, CidrBlock, DescriptorReservations};
use std::path::PathBuf;

/// Minimum capacity for addresses that are remembered although they have no connection.
const MIN_REMEMBERED_ADDRESSES: usize = 1024;

/// Configuration of a [`ConnectionGate`](super::ConnectionGate).
pub struct ConnectionGateConfig {
    /// The file descriptors that are reserved for each use.
    pub reservations: DescriptorReservations,
    /// Maximum number of descriptors in use; has no effect if the process's own limit is lower.
    pub max_descriptors: u64,
    /// Limits of connection admission.
    pub caps: Caps,
    /// How many addresses are remembered as known clients, and for how long.
    pub known_clients: KnownClientLimits,
    /// Blocks of addresses that always count as known clients.
    pub always_known: Vec<CidrBlock>,
    /// The file in which known clients are stored. `None`: they are forgotten at a restart.
    pub known_clients_file: Option<PathBuf>,
    /// The throughput below which a client counts as too slow.
    pub minimum_throughput: MinimumThroughput,
}

impl ConnectionGateConfig {
    /// Creates the configuration that the settings describe.
    pub(crate) fn new(settings: &Compiled) -> ConnectionGateConfig {
        let admission = &settings.settings.admission;
        let descriptors = &settings.settings.descriptors;
        let frontend = &settings.settings.front;
        ConnectionGateConfig {
            reservations: DescriptorReservations {
                listeners: descriptors.listeners,
                nodes: descriptors.nodes,
                peers: descriptors.peers,
                files: descriptors.files,
                spare: descriptors.spare,
                max_clients: frontend.max_connections as u64,
            },
            max_descriptors: u64::MAX,
            caps: Caps {
                per_address: admission.per_address,
                per_prefix: admission.per_prefix,
                per_second: admission.per_second,
                handshakes: admission.handshakes,
                handshakes_per_address: admission.handshakes_per_address,
                reserve: admission.reserve,
                preferred_reserve: admission.preferred,
                max_remembered_addresses: admission.known.max(MIN_REMEMBERED_ADDRESSES),
                rejection_responses_per_second: admission.words_per_s,
                idle_eviction: None,
            },
            known_clients: KnownClientLimits {
                max_addresses: admission.known,
                max_per_account: admission.known_per_account,
                remember_for: admission.known_for_s.saturating_mul(1_000_000),
            },
            always_known: settings.named.clone(),
            known_clients_file: admission.snapshot.clone(),
            minimum_throughput: MinimumThroughput {
                grace_period: frontend.patience_ms * 1000,
                bytes_per_second: admission.bytes_per_s,
            },
        }
    }
}
