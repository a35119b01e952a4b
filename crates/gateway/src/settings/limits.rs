//! Section `limits`: attempts, hedging, cancellation, `Retry-After` and requests in flight.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Limits on attempts, hedging, cancellation, `Retry-After` and requests in flight.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
#[garde(allow_unvalidated)]
pub struct Limits {
    /// Maximum number of attempts of a request.
    #[garde(range(min = 1, max = 10))]
    pub max_attempts: u32,
    /// Whether requests may be hedged: two attempts of one request in flight together.
    pub second_copies: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether rejections carry a `Retry-After` time.
    pub retry_after: bool,
    /// Maximum `Retry-After` time, in milliseconds.
    #[garde(range(min = 0, max = 86_400_000))]
    pub max_retry_after_ms: u64,
    /// Maximum number of requests in flight at this gateway. Requests beyond it are rejected without any other check.
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
