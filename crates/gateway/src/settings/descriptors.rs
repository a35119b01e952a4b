//! Section `descriptors`: how the process's file descriptors are divided.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How the process's file descriptors are divided. Clients get the rest, up to `front.max_connections`.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
#[garde(allow_unvalidated)]
pub struct Descriptors {
    /// For listeners and the runtime itself.
    #[garde(range(min = 4, max = 100_000))]
    pub listeners: u64,
    /// For connections to nodes.
    #[garde(range(min = 1, max = 1_000_000))]
    pub nodes: u64,
    /// For sockets between gateways.
    #[garde(range(min = 1, max = 100_000))]
    pub peers: u64,
    /// For files.
    #[garde(range(min = 4, max = 100_000))]
    pub files: u64,
    /// For connections that are being rejected, and those that are accepted while another one closes.
    #[garde(range(min = 1, max = 100_000))]
    pub spare: u64,
}

impl Default for Descriptors {
    fn default() -> Self {
        Descriptors { listeners: 16, nodes: 256, peers: 8, files: 32, spare: 16 }
    }
}
