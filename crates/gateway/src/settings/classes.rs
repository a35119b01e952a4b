//! Section `classes`: kinds of requests.

use super::one;
use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A request class.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Class {
    /// Its name, as clients and nodes use it.
    #[garde(length(min = 1, max = 100), pattern("^[A-Za-z0-9._-]+$"))]
    pub name: String,
    /// Latency objective, in milliseconds: an answer within it has the full priority weight.
    #[garde(range(min = 1, max = 86_400_000))]
    pub aim_ms: u64,
    /// The longest that a client waits, in milliseconds.
    #[garde(range(min = 1, max = 86_400_000))]
    pub deadline_ms: u64,
    /// Priority weight of a request.
    #[serde(default = "one")]
    #[garde(range(min = 0.0, max = 1e9))]
    pub worth: f64,
    /// Fraction of the priority weight that an answer after the latency objective has.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1.0))]
    pub late_worth: f64,
    /// Whether a request that may have run may be retried.
    #[garde(dive)]
    pub repeat: Repeat,
}

/// Retry safety: whether a request that may have run may be sent again.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Repeat {
    /// Always: it is idempotent.
    Safe,
    /// Never.
    Once,
    /// To nodes that drop duplicates by the request's idempotency key.
    Keyed {
        /// The nodes that share keys with the node of the first attempt.
        #[garde(skip)]
        group: Group,
        /// How long these nodes remember a key, in milliseconds.
        #[garde(range(min = 1, max = 86_400_000))]
        window_ms: u64,
    },
}

/// Nodes that share idempotency keys.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// All nodes.
    All,
    /// The nodes of the same zone.
    Zone,
    /// The nodes of the same cell.
    Cell,
}
