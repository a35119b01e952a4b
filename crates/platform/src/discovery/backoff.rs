//! When discovery is called again after a failure, and how.

use super::error::DiscoveryError;
use super::timeouts::{DiscoveryTimeouts, POLL_TURN_MICROS};
use chalkgap_core::Discovery;
use chalkgap_runtime::Micros;

/// The first backoff.
pub(super) const MIN_BACKOFF_MICROS: Micros = 50_000;
/// How often the time for a call is doubled after lists that arrived in part: a slow list must arrive in the end.
const MAX_CALL_DOUBLINGS: u32 = 3;
/// The first delay after a request that a polled service rejected at once, without its turn.
const REJECTION_DELAY_MICROS: Micros = POLL_TURN_MICROS / 2;
/// How often that delay is doubled. A change must be known 6 s after the service is back: a request that was made a moment
/// before, one that is rejected at once and one that waits for its turn fit into that, with their delays.
const MAX_REJECTION_DOUBLINGS: u32 = 2;

/// Which requests are made on a new attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FirstRequest {
    CompleteList,
    /// Changes from the version that is held.
    Watch,
}

/// What the failures so far say about the next attempt.
pub(super) struct Backoff {
    timeouts: DiscoveryTimeouts,
    delay: Micros,
    slow_lists: u32,
    rejections: u32,
    /// A watch gives changes only: the list that they apply to must be held, and known to the service.
    needs_complete_list: bool,
    failure_reported: bool,
}

impl Backoff {
    pub(super) fn new(timeouts: DiscoveryTimeouts, has_list: bool) -> Backoff {
        Backoff {
            timeouts,
            delay: MIN_BACKOFF_MICROS,
            slow_lists: 0,
            rejections: 0,
            needs_complete_list: !has_list,
            failure_reported: false,
        }
    }

    /// The time for the next call.
    pub(super) fn call_timeout(&self) -> Micros {
        self.timeouts.call << self.slow_lists
    }

    /// The first request of the next attempt.
    pub(super) fn first_request(&self) -> FirstRequest {
        match self.timeouts.mode {
            Discovery::Poll if !self.needs_complete_list => FirstRequest::Watch,
            Discovery::Poll | Discovery::Push => FirstRequest::CompleteList,
        }
    }

    /// Notes why an attempt ended. True if it is the first failure since a list was applied: further ones say nothing new.
    pub(super) fn record_failure(&mut self, error: &DiscoveryError, has_list: bool) -> bool {
        self.needs_complete_list = matches!(error, DiscoveryError::RejectedList(_)) || !has_list;
        self.slow_lists = match error {
            DiscoveryError::SlowList { .. } => (self.slow_lists + 1).min(MAX_CALL_DOUBLINGS),
            _ => 0,
        };
        !std::mem::replace(&mut self.failure_reported, true)
    }

    /// The delay after this failure, before jitter.
    pub(super) fn next_delay(&mut self, error: &DiscoveryError) -> Micros {
        if !self.was_rejected_at_once(error) {
            self.rejections = 0;
            return self.delay;
        }
        let delay = REJECTION_DELAY_MICROS << self.rejections;
        self.rejections = (self.rejections + 1).min(MAX_REJECTION_DOUBLINGS);
        delay
    }

    /// Requests that a polled service rejects are work to it as well: a fleet that retries several times a second would keep
    /// it from serving any. One that was rejected only after its turn shows an outage, whose end must be found soon.
    fn was_rejected_at_once(&self, error: &DiscoveryError) -> bool {
        let rejected =
            matches!(error, DiscoveryError::ErrorStatus { waited, .. } if *waited < POLL_TURN_MICROS);
        self.timeouts.mode == Discovery::Poll && rejected
    }

    /// An attempt ended after lists were applied.
    pub(super) fn reset(&mut self) {
        self.delay = MIN_BACKOFF_MICROS;
        self.failure_reported = false;
    }

    /// An attempt ended before a list was applied.
    pub(super) fn increase(&mut self) {
        self.delay = (self.delay * 2).min(self.timeouts.max_backoff);
    }

    /// Discovery is called at another address from now on.
    pub(super) fn address_changed(&mut self) {
        self.delay = MIN_BACKOFF_MICROS;
    }
}
