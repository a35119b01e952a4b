//! Section `memory`: the memory limit of the process.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The memory limit of the process. What clients make the gateway hold stays below it; clients are read more slowly before.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
#[garde(allow_unvalidated)]
pub struct Memory {
    /// Limit of the resident memory, in megabytes (1,000,000 bytes).
    #[garde(range(min = 32, max = 1_000_000))]
    pub limit_mb: u64,
}

impl Default for Memory {
    fn default() -> Self {
        Memory { limit_mb: 512 }
    }
}
