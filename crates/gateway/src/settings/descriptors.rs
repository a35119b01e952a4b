//! Section `descriptors`: division of the process's file descriptors among their uses.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Division of the process's file descriptors among their uses. Clients get the rest, up to `front.max_connections`.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
#[garde(allow_unvalidated)]
pub struct Descriptors {
    /// Descriptors for listeners and the runtime itself.
    #[garde(range(min = 4, max = 100_000))]
    pub listeners: u64,
    /// Descriptors for connections to nodes.
    #[garde(range(min = 1, max = 1_000_000))]
    pub nodes: u64,
    /// Descriptors for sockets between gateways.
    #[garde(range(min = 1, max = 100_000))]
    pub peers: u64,
    /// Descriptors for files.
    #[garde(range(min = 4, max = 100_000))]
    pub files: u64,
    /// Descriptors for connections that are being rejected, and for those accepted while another one closes.
    #[garde(range(min = 1, max = 100_000))]
    pub spare: u64,
}

impl Default for Descriptors {
    fn default() -> Self {
        Descriptors { listeners: 16, nodes: 256, peers: 8, files: 32, spare: 16 }
    }
}
