//! Pauses of a listener after it failed to accept a connection for lack of a resource.

use crate::Micros;

/// The pause after the first failure is twice this; each further failure doubles the pause.
const BASE_PAUSE: Micros = 5000;
/// Failures after which the pause no longer grows.
const MAX_DOUBLINGS: u32 = 8;

/// Exponential backoff over consecutive failures.
#[derive(Default)]
pub(crate) struct AcceptBackoff {
    failures: u32,
}

impl AcceptBackoff {
    /// Records a failure. Returns the time of the next attempt.
    pub(crate) fn failed(&mut self, now: Micros) -> Micros {
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
        now + (BASE_PAUSE << self.failures)
    }

    /// Records a success: the next failure starts with the shortest pause again.
    pub(crate) fn succeeded(&mut self) {
        self.failures = 0;
    }
}
