//! Section `admission`: connection admission.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// Connection admission: which connections of clients are accepted.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
#[garde(allow_unvalidated)]
pub struct Admission {
    /// Maximum number of open connections per address. A known client may have four times as many.
    #[garde(range(min = 1, max = 1_000_000))]
    pub per_address: u32,
    /// Maximum number of open connections per prefix (IPv4 /24, IPv6 /64). Those of known clients do not count.
    #[garde(range(min = 1, max = 1_000_000))]
    pub per_prefix: u32,
    /// Maximum number of new connections per second and address; also the burst.
    #[garde(range(min = 0.01, max = 1e6))]
    pub per_second: f64,
    /// Maximum number of connections whose handshake is not complete.
    #[garde(range(min = 1, max = 1_000_000))]
    pub handshakes: u32,
    /// Maximum number of connections per address whose handshake is not complete.
    #[garde(range(min = 1, max = 1_000_000))]
    pub handshakes_per_address: u32,
    /// Fraction of the connections that is reserved for known clients.
    #[garde(range(min = 0.0, max = 0.95))]
    pub reserve: f64,
    /// Fraction of the connections, within the reserve, that is reserved for clients of the plans with the highest
    /// `price`.
    #[garde(range(min = 0.0, max = 0.95))]
    pub preferred: f64,
    /// Maximum number of addresses remembered as known clients.
    #[garde(range(min = 0, max = 10_000_000))]
    pub known: usize,
    /// Maximum number of addresses that become known clients by requests of the same account.
    #[garde(range(min = 1, max = 1_000_000))]
    pub known_per_account: usize,
    /// Time for which an address stays a known client after its last served request, in seconds.
    #[garde(range(min = 1, max = 31_536_000))]
    pub known_for_s: u64,
    /// Addresses and address blocks that are always known clients, such as `10.1.0.0/16`.
    pub named: Vec<String>,
    /// File that stores the known clients for the next start. Without it, they are lost at a restart.
    pub snapshot: Option<PathBuf>,
    /// Maximum number of rejected connections answered per second. Further ones are closed without an answer.
    #[garde(range(min = 1.0, max = 1e6))]
    pub words_per_s: f64,
    /// Idle timeout, in milliseconds: a connection without a call is closed after this time.
    #[garde(range(min = 10, max = 86_400_000))]
    pub idle_ms: u64,
    /// Minimum throughput at which a client sends messages and reads answers, in bytes per second. Applies after
    /// `front.patience_ms`.
    #[garde(range(min = 1, max = 1_000_000_000))]
    pub bytes_per_s: u64,
}

impl Default for Admission {
    fn default() -> Self {
        Admission {
            per_address: 256,
            per_prefix: 1024,
            per_second: 200.0,
            handshakes: 1024,
            handshakes_per_address: 128,
            reserve: 0.3,
            preferred: 0.1,
            known: 50_000,
            known_per_account: 64,
            known_for_s: 86_400,
            named: Vec::new(),
            snapshot: None,
            words_per_s: 500.0,
            idle_ms: 600_000,
            bytes_per_s: 1000,
        }
    }
}
