//! Section `classes`: request classes.

use super::one;
use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A request class: latency objective, deadline, priority weight and retry safety of its requests.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Class {
    /// Name of the class, as it is sent by clients and to nodes.
    #[garde(length(min = 1, max = 100), pattern("^[A-Za-z0-9._-]+$"))]
    pub name: String,
    /// Latency objective, in milliseconds. An answer within it has the full priority weight.
    #[garde(range(min = 1, max = 86_400_000))]
    pub aim_ms: u64,
    /// Maximum time that a client waits for the answer, in milliseconds. A shorter timeout of the client applies.
    #[garde(range(min = 1, max = 86_400_000))]
    pub deadline_ms: u64,
    /// Priority weight of a request.
    #[serde(default = "one")]
    #[garde(range(min = 0.0, max = 1e9))]
    pub worth: f64,
    /// Fraction of the priority weight that is left for an answer after the latency objective.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1.0))]
    pub late_worth: f64,
    /// Retry safety: whether a request that may have run may be sent again.
    #[garde(dive)]
    pub repeat: Repeat,
}

/// Retry safety: whether a request that may have run may be sent again.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Repeat {
    /// Requests are idempotent and may always be sent again.
    Safe,
    /// A request that may have run is never sent again.
    Once,
    /// A request may be sent again to nodes that drop duplicates by its idempotency key.
    Keyed {
        /// Nodes that share idempotency keys with the node of the first attempt.
        #[garde(skip)]
        group: Group,
        /// Time for which these nodes remember a key, in milliseconds.
        #[garde(range(min = 1, max = 86_400_000))]
        window_ms: u64,
    },
}

/// A group of nodes that share idempotency keys.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// All nodes.
    All,
    /// The nodes in the zone of the first attempt's node.
    Zone,
    /// The nodes in the cell of the first attempt's node.
    Cell,
}
