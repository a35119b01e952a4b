//! Section `fleet`: the gateways of the fleet, and the messages between them.

use super::validation::hex_key;
use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The gateways of the fleet, the id and zone of this one, and the messages between them.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Fleet {
    /// Number of gateways in the fleet.
    #[garde(range(min = 1, max = 10_000))]
    pub ingresses: u16,
    /// Id of this gateway, from 0 to `ingresses` - 1. Unique in the fleet.
    pub me: u16,
    /// Names of all zones, in the same order at every gateway.
    #[garde(length(min = 1, max = 255))]
    pub zones: Vec<String>,
    /// Name of this gateway's zone.
    pub zone: String,
    /// Messages between gateways. Without it, this gateway neither sends nor receives any.
    #[serde(default)]
    #[garde(dive)]
    pub peers: Option<Peers>,
    /// Clock tick of the decisions, in microseconds. Timed work is done at least every five ticks.
    #[serde(default = "default_tick_us")]
    #[garde(range(min = 200, max = 50_000))]
    pub tick_us: u64,
}

fn default_tick_us() -> u64 {
    2000
}

/// Messages between gateways, as authenticated datagrams.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Peers {
    /// Address on which this gateway receives datagrams.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Address of every gateway, in the order of their ids, this one included. May be empty with `view`.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    pub addresses: Vec<SocketAddr>,
    /// Key shared by all gateways: 32 bytes as hexadecimal digits.
    #[garde(custom(hex_key))]
    pub key: String,
    /// Maximum number of messages accepted per second. Messages beyond it are dropped.
    #[serde(default = "default_messages_per_second")]
    #[garde(range(min = 1.0, max = 1e6))]
    pub per_second: f64,
    /// Membership detection. Without it, the members are the gateways in `addresses` and never change.
    #[serde(default)]
    #[garde(dive)]
    pub view: Option<FleetView>,
}

fn default_messages_per_second() -> f64 {
    100.0
}

/// Membership detection: gateways that join, leave, fail or return are detected by the others within a bounded time.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct FleetView {
    /// Addresses of gateways that may be running when this one starts. One that answers is enough.
    #[schemars(with = "Vec<String>")]
    #[garde(length(min = 1, max = 64))]
    pub seeds: Vec<SocketAddr>,
    /// Address at which other gateways reach this one, if it differs from `peers.listen`.
    #[serde(default)]
    #[schemars(with = "Option<String>")]
    pub address: Option<SocketAddr>,
    /// Protocol period, in milliseconds: the interval between two probes by a gateway. Detection takes a few periods.
    #[serde(default = "default_round_ms")]
    #[garde(range(min = 50, max = 60_000))]
    pub round_ms: u64,
    /// Minimum suspicion timeout, in milliseconds: the time a suspected gateway has to refute. Longer in larger fleets.
    #[serde(default)]
    #[garde(range(max = 86_400_000))]
    pub objection_ms: u64,
    /// Maximum number of membership messages sent per second.
    #[serde(default = "default_membership_messages_per_second")]
    #[garde(range(min = 5.0, max = 1e4))]
    pub per_second: f64,
}

fn default_round_ms() -> u64 {
    500
}

fn default_membership_messages_per_second() -> f64 {
    40.0
}
