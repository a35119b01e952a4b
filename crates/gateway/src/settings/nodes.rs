//! Section `nodes`: discovery of the nodes.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Discovery of the nodes: the source of the node list.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Nodes {
    /// Source of the node list.
    pub source: ListSource,
    /// File that caches the last list for the next start. Without it, a gateway starts without nodes.
    #[serde(default)]
    pub cache: Option<PathBuf>,
    /// Maximum number of nodes in a list.
    #[serde(default = "default_most_nodes")]
    #[garde(range(min = 1, max = 60_000))]
    pub most: usize,
    /// Meaning of the sizes in a list.
    #[serde(default)]
    pub sizes: Sizes,
}

fn default_most_nodes() -> usize {
    10_000
}

/// A source of node lists.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum ListSource {
    /// A file that is polled for changes.
    File {
        /// Path of the file.
        path: PathBuf,
        /// Polling interval, in milliseconds.
        #[serde(default = "default_poll_interval_ms")]
        every_ms: u64,
    },
    /// A discovery service that pushes changes.
    Roster {
        /// Address of the service.
        #[schemars(with = "String")]
        address: SocketAddr,
    },
    /// The program that embeds the library passes lists to the instance's handle.
    Handle,
}

fn default_poll_interval_ms() -> u64 {
    200
}

/// Meaning of a node's size.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Sizes {
    /// Sizes are ignored.
    #[default]
    None,
    /// A size is the node's capacity, at least roughly.
    Capacity,
}
