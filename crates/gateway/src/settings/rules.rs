//! Section `rules`: properties of the nodes that load balancing relies on.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Properties of the nodes: draining, slow start and overload.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Rules {
    /// Drain grace period, in milliseconds: attempts that start on a draining node must end within it.
    #[garde(range(min = 0, max = 3_600_000))]
    pub drain_grace_ms: u64,
    /// Minimum fraction of its capacity that a starting node has.
    #[garde(range(min = 0.001, max = 1.0))]
    pub cold_from: f64,
    /// Slow start window, in milliseconds. A node has its full capacity this long after its start.
    #[garde(range(min = 0, max = 86_400_000))]
    pub cold_ms: u64,
    /// Overload factor: a node in slow start fails when its load exceeds this multiple of its capacity for `fall_ms`.
    #[garde(range(min = 1.0, max = 1000.0))]
    pub fall_factor: f64,
    /// Overload window, in milliseconds: a node in slow start fails when it is overloaded for this long.
    #[garde(range(min = 1, max = 3_600_000))]
    pub fall_ms: u64,
}
