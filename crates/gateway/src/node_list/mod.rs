//! The list of nodes: its format in files and in memory, and its conversion to the core's endpoints.
//!
//! There is no I/O here; the `discovery` module obtains lists.

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
    /// Increases with each change.
    #[serde(default)]
    pub revision: u64,
    /// The nodes. One that is not in the list is gone.
    pub nodes: Vec<Node>,
}

impl NodeList {
    /// Parses a list in JSON.
    ///
    /// # Errors
    /// [`ListError::Form`].
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
    /// Its size, with the meaning that the settings give it.
    #[serde(default = "default_size")]
    pub size: f64,
    /// When its process started, in milliseconds since 1970; 0 if that is long ago.
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
    /// It does.
    #[default]
    Ready,
    /// It completes those that it has.
    Draining,
    /// It has been removed.
    Gone,
}
