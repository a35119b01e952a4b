//! How long a listener pauses after accepting has failed for want of a resource.

use crate::Micros;

/// The pause after the first failure is twice this; each further failure doubles it.
const BASE_PAUSE: Micros = 5000;
/// Failures after which the pause no longer grows.
const MAX_DOUBLINGS: u32 = 8;

/// Exponential backoff over failures in a row.
#[derive(Default)]
pub(crate) struct AcceptBackoff {
    failures: u32,
}

impl AcceptBackoff {
    /// Accepting failed; returns when to try again.
    pub(crate) fn failed(&mut self, now: Micros) -> Micros {
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
        now + (BASE_PAUSE << self.failures)
    }

    pub(crate) fn succeeded(&mut self) {
        self.failures = 0;
    }
}
