//! Section `limits`: what the gateway may do for a request.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What the gateway may do for a request, and how many it takes.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
#[garde(allow_unvalidated)]
pub struct Limits {
    /// Most attempts of a request.
    #[garde(range(min = 1, max = 10))]
    pub max_attempts: u32,
    /// Whether requests may be hedged: two attempts of one request in flight together.
    pub second_copies: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether rejections carry a `Retry-After`.
    pub retry_after: bool,
    /// Longest `Retry-After`, in milliseconds.
    #[garde(range(min = 0, max = 86_400_000))]
    pub max_retry_after_ms: u64,
    /// Most requests in flight at this gateway; more are rejected without a further decision.
    #[garde(range(min = 1, max = 1_000_000))]
    pub max_open: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_attempts: 3,
            second_copies: true,
            cancel: true,
            retry_after: true,
            max_retry_after_ms: 2000,
            max_open: 20_000,
        }
    }
}
