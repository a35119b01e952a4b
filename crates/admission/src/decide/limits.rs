//! Limits of connection admission.

use crate::Micros;

/// Limits of connection admission.
#[derive(Clone, Copy, Debug)]
pub struct Caps {
    /// Maximum number of open connections of an address; four times as many for a known address.
    pub per_address: u32,
    /// Maximum number of open connections of a prefix (IPv4 /24, IPv6 /64); eight times as many for an IPv6 /48. Not
    /// applied to known addresses: other addresses of their prefix cannot keep them out.
    pub per_prefix: u32,
    /// Connection attempts of an address per second, and the burst; four times as many for a known address.
    pub per_second: f64,
    /// Maximum number of connections with an incomplete handshake; a quarter more for known addresses.
    pub handshakes: u32,
    /// Maximum number of connections of one address with an incomplete handshake. Not applied to known addresses.
    pub handshakes_per_address: u32,
    /// Fraction of the clients' descriptors reserved for known clients.
    pub reserve: f64,
    /// Fraction of the clients' descriptors, within `reserve`, reserved for clients with a preferred plan.
    pub preferred_reserve: f64,
    /// Maximum number of addresses without an open connection that are remembered.
    pub max_remembered_addresses: usize,
    /// Maximum number of rejections per second that are answered; further connections are closed without a response.
    pub rejection_responses_per_second: f64,
    /// When a new connection evicts an idle one although there is capacity; `None`: never.
    pub idle_eviction: Option<IdleEviction>,
}

/// Eviction of idle connections of any priority before the clients' descriptors are used up. For deployments where all
/// clients connect through one proxy and have the same address.
#[derive(Clone, Copy, Debug)]
pub struct IdleEviction {
    /// Number of open connections, without those that are closing, at which eviction starts. Below the clients'
    /// descriptors, because clients that limit their own connections and fill that limit with idle ones cannot open
    /// another; the ingress does not see those attempts.
    pub min_open_connections: u64,
    /// Time since its admission after which a connection with an incomplete handshake can be evicted. For a protocol
    /// without a handshake, the caller reports the first command with
    /// [`Admission::handshake_completed`](super::Admission::handshake_completed).
    pub handshake_after: Micros,
    /// Time without an open request after which a connection with a completed handshake can be evicted.
    pub idle_after: Micros,
}
