//! Decides when discovery is called again after a failure, and with which request.

use super::call::CallPhase;
use super::error::DiscoveryError;
use super::timeouts::{DiscoveryTimeouts, POLL_QUEUE_MICROS};
use chalkgap_core::Discovery;
use chalkgap_runtime::Micros;

/// Minimum backoff, used after the first failure.
pub(super) const MIN_BACKOFF_MICROS: Micros = 50_000;
/// Maximum number of times the timeout of a call is doubled after lists that arrived only in part. It is doubled so that even
/// a slow list is completed at some point.
const MAX_CALL_DOUBLINGS: u32 = 3;
/// Minimum delay after a request that a polled service rejected at once instead of queueing it.
const REJECTION_DELAY_MICROS: Micros = POLL_QUEUE_MICROS / 2;
/// Maximum number of times that delay is doubled. A change must be known 6 s after the end of an outage. A request made just
/// before the end, one that is rejected at once and one that waits in the queue fit into that, with their delays.
const MAX_REJECTION_DOUBLINGS: u32 = 2;

/// The first request of an attempt to follow discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FirstRequest {
    CompleteList,
    /// A watch, which returns the changes since the version of the current list.
    Watch,
}

/// Delay, timeout and first request of the next attempt, by the failures since the last applied list.
pub(super) struct Backoff {
    timeouts: DiscoveryTimeouts,
    delay: Micros,
    /// Consecutive failures whose list arrived only in part, at most `MAX_CALL_DOUBLINGS`.
    slow_lists: u32,
    /// Consecutive requests that were rejected at once, at most `MAX_REJECTION_DOUBLINGS`.
    rejections: u32,
    /// Whether a watch is not enough. It returns changes only, which apply to a list that this ingress has and the service
    /// knows.
    needs_complete_list: bool,
    /// Whether a failure has been logged as a warning since the last applied list.
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

    /// Timeout of the next call.
    pub(super) fn call_timeout(&self) -> Micros {
        self.timeouts.call << self.slow_lists
    }

    /// Returns the first request of the next attempt.
    pub(super) fn first_request(&self) -> FirstRequest {
        match self.timeouts.mode {
            Discovery::Poll if !self.needs_complete_list => FirstRequest::Watch,
            Discovery::Poll | Discovery::Push => FirstRequest::CompleteList,
        }
    }

    /// Records why an attempt ended. Returns whether this is the first failure since a list was applied, which is worth a
    /// warning; the ones after it are not.
    pub(super) fn record_failure(&mut self, error: &DiscoveryError, has_list: bool) -> bool {
        self.needs_complete_list = matches!(error, DiscoveryError::RejectedList(_)) || !has_list;
        self.slow_lists = match error {
            DiscoveryError::Timeout { phase: CallPhase::ReadingList, .. } => {
                (self.slow_lists + 1).min(MAX_CALL_DOUBLINGS)
            }
            _ => 0,
        };
        !std::mem::replace(&mut self.failure_reported, true)
    }

    /// Returns the delay after this failure, before jitter.
    pub(super) fn next_delay(&mut self, error: &DiscoveryError) -> Micros {
        if !self.was_rejected_at_once(error) {
            self.rejections = 0;
            return self.delay;
        }
        let delay = REJECTION_DELAY_MICROS << self.rejections;
        self.rejections = (self.rejections + 1).min(MAX_REJECTION_DOUBLINGS);
        delay
    }

    /// Whether a polled service rejected the request without queueing it. Rejecting requests costs the service time as well: if
    /// all ingresses retried several times a second, it could serve none of them. A request rejected only after its time in the
    /// queue indicates an outage instead, and the retry comes sooner, so that the end of the outage is noticed.
    fn was_rejected_at_once(&self, error: &DiscoveryError) -> bool {
        let rejected =
            matches!(error, DiscoveryError::ErrorStatus { waited, .. } if *waited < POLL_QUEUE_MICROS);
        self.timeouts.mode == Discovery::Poll && rejected
    }

    /// Resets the backoff after an attempt that applied a list.
    pub(super) fn reset(&mut self) {
        self.delay = MIN_BACKOFF_MICROS;
        self.failure_reported = false;
    }

    /// Doubles the backoff after an attempt that applied no list.
    pub(super) fn increase(&mut self) {
        self.delay = (self.delay * 2).min(self.timeouts.max_backoff);
    }

    /// Resets the delay because discovery has a new address.
    pub(super) fn address_changed(&mut self) {
        self.delay = MIN_BACKOFF_MICROS;
    }
}
