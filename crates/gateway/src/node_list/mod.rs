//! The list of nodes: its format in files and in memory, and its conversion to the core's endpoints.
//!
//! This module does no I/O. The `discovery` module obtains lists.

mod endpoint_ids;
#[cfg(test)]
mod tests;

pub use endpoint_ids::{backend_id, EndpointIds, ListError};

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A complete list of nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeList {
    /// Version of the list; it increases with each change.
    #[serde(default)]
    pub revision: u64,
    /// All nodes. A node that is not in the list counts as removed.
    pub nodes: Vec<Node>,
}

impl NodeList {
    /// Parses a list in JSON.
    ///
    /// # Errors
    /// Returns [`ListError::Malformed`] if `bytes` is not a list in JSON.
    pub fn parse(bytes: &[u8]) -> Result<NodeList, ListError> {
        Ok(serde_json::from_slice(bytes)?)
    }
}

/// A node in a list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// The address on which it listens, which also identifies it.
    pub address: SocketAddr,
    /// Its zone, one of those in the settings.
    pub zone: String,
    /// Its cell. Nodes of one cell share idempotency keys.
    #[serde(default)]
    pub cell: String,
    /// The kind of its machine.
    #[serde(default)]
    pub kind: String,
    /// Whether it accepts requests.
    #[serde(default)]
    pub state: State,
    /// Its size, a positive number whose meaning the settings define.
    #[serde(default = "default_size")]
    pub size: f64,
    /// Time at which its process started, in milliseconds since 1970; 0 if it started long ago.
    #[serde(default)]
    pub started_ms: u64,
}

fn default_size() -> f64 {
    1.0
}

/// Whether a node accepts requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The node accepts requests.
    #[default]
    Ready,
    /// The node completes its open requests and accepts no further ones.
    Draining,
    /// The node has been removed.
    Gone,
}
