//! Section `upstream`: connections to nodes.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Connections to nodes.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
#[garde(allow_unvalidated)]
pub struct Upstream {
    /// Timeout of connecting to a node, its first SETTINGS frame included, in milliseconds.
    #[garde(range(min = 1, max = 60_000))]
    pub connect_timeout_ms: u64,
    /// Idle timeout, in milliseconds: a connection without an attempt is closed after this time.
    #[garde(range(min = 10, max = 86_400_000))]
    pub keepalive_ms: u64,
    /// Maximum number of connections to a node.
    #[garde(range(min = 1, max = 64))]
    pub connections: usize,
    /// Maximum number of concurrent attempts on a connection.
    #[garde(range(min = 1, max = 10_000))]
    pub max_streams: usize,
    /// Maximum size of a node's answer, in bytes.
    #[garde(range(min = 64, max = 16 << 20))]
    pub most_message: usize,
}

impl Default for Upstream {
    fn default() -> Self {
        Upstream {
            connect_timeout_ms: 250,
            keepalive_ms: 15_000,
            connections: 4,
            max_streams: 100,
            most_message: 1 << 20,
        }
    }
}
