//! Section `upstream`: connections to nodes.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Connections to nodes.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
#[garde(allow_unvalidated)]
pub struct Upstream {
    /// How long connecting and the first SETTINGS may take, in milliseconds.
    #[garde(range(min = 1, max = 60_000))]
    pub connect_timeout_ms: u64,
    /// An idle connection is closed after this, in milliseconds.
    #[garde(range(min = 10, max = 86_400_000))]
    pub keepalive_ms: u64,
    /// Most connections to one node.
    #[garde(range(min = 1, max = 64))]
    pub connections: usize,
    /// Most concurrent attempts on one connection.
    #[garde(range(min = 1, max = 10_000))]
    pub max_streams: usize,
    /// Most bytes of a node's answer.
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
