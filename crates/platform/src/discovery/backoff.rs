//! Decides when discovery is called again after a failure, and with which request.

use super::answer_times::AnswerTimes;
use super::call::{CallPhase, CallTimeouts, FailedCall, ListRequest};
use super::error::DiscoveryError;
use super::hedging::HedgingLimits;
use super::timeouts::{DiscoveryTimeouts, POLL_QUEUE_MICROS};
use chalkgap_core::Discovery;
use chalkgap_runtime::Micros;

/// Minimum backoff, used after the first failure.
pub(super) const MIN_BACKOFF_MICROS: Micros = 50_000;
/// Maximum number of open calls of a request.
const MAX_HEDGED_CALLS: usize = 2;
/// A watch that receives nothing for this time has failed: discovery sends an empty line at least every 2 s. Changes that the
/// watch missed must be known within 6 s. The remaining time is for further requests, of which three in a row may also hang.
const WATCH_SILENCE_MICROS: Micros = 2_600_000;
/// Maximum number of times the timeout of a call is doubled after lists that arrived only in part. It is doubled so that even
/// a slow list is completed at some point.
const MAX_CALL_DOUBLINGS: u32 = 3;
/// Minimum delay after a request that a polled service rejected at once instead of queueing it.
const REJECTION_DELAY_MICROS: Micros = POLL_QUEUE_MICROS / 2;
/// Maximum number of times that delay is doubled. A change must be known 6 s after the end of an outage. A request made just
/// before the end, one that is rejected at once and one that waits in the queue fit into that, with their delays.
const MAX_REJECTION_DOUBLINGS: u32 = 2;

/// Delay, timeouts and first request of the next attempt, by the answers and failures so far.
pub(super) struct Backoff {
    timeouts: DiscoveryTimeouts,
    delay: Micros,
    answer_times: AnswerTimes,
    /// Whether discovery may be down: a call is late, or a watch has fallen silent. Calls are then not given more time by the
    /// answers before, as the end of an outage must be noticed as soon as without them.
    outage_suspected: bool,
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
            answer_times: AnswerTimes::default(),
            outage_suspected: false,
            slow_lists: 0,
            rejections: 0,
            needs_complete_list: !has_list,
            failure_reported: false,
        }
    }

    /// Whether the next attempt begins with the complete list, and not with a watch from the version of the current list.
    pub(super) fn begins_with_complete_list(&self) -> bool {
        self.timeouts.mode == Discovery::Push || self.needs_complete_list
    }

    /// Returns how many calls of a request may be open, and for how long.
    pub(super) fn hedging_limits(&self) -> HedgingLimits {
        let max_age = self.timeouts.max_answer.max(self.call_timeout());
        HedgingLimits { max_open: MAX_HEDGED_CALLS, max_age }
    }

    /// Returns the age at which a call for `request` that is made at `now` is late.
    pub(super) fn late_after(&self, now: Micros, request: ListRequest) -> Micros {
        let usual = match request {
            ListRequest::Complete { .. } => self.call_timeout(),
            ListRequest::Watch { .. } => WATCH_SILENCE_MICROS,
        };
        if self.outage_suspected {
            return usual;
        }
        let expected = self.answer_times.expected(now).min(self.timeouts.max_answer);
        expected.max(usual)
    }

    /// Returns the timeouts of a watch.
    pub(super) fn watch_timeouts(&self) -> CallTimeouts {
        let call = self.call_timeout();
        CallTimeouts { connect: call, silence: WATCH_SILENCE_MICROS, partial_list: call }
    }

    /// The configured time of a call, longer after lists that arrived only in part.
    fn call_timeout(&self) -> Micros {
        self.timeouts.call << self.slow_lists
    }

    /// Records that a call is late.
    pub(super) fn record_late_call(&mut self) {
        self.outage_suspected = true;
    }

    /// Records an answer that arrived at `now`, `elapsed` after its call began.
    pub(super) fn record_answer(&mut self, now: Micros, elapsed: Micros) {
        self.answer_times.record(now, elapsed);
    }

    /// Records why a call ended. Returns whether this is the first failure since a list was applied, which is worth a
    /// warning; the ones after it are not.
    pub(super) fn record_failure(&mut self, failed: &FailedCall, has_list: bool) -> bool {
        self.needs_complete_list = matches!(failed.error, DiscoveryError::RejectedList(_)) || !has_list;
        let timed_out = matches!(failed.error, DiscoveryError::Timeout { .. });
        self.outage_suspected |= timed_out;
        self.slow_lists = match failed.phase {
            CallPhase::ReadingList if timed_out => (self.slow_lists + 1).min(MAX_CALL_DOUBLINGS),
            _ => 0,
        };
        !std::mem::replace(&mut self.failure_reported, true)
    }

    /// Returns the delay before the call after a late one, before jitter.
    pub(super) fn delay_after_late_call(&mut self) -> Micros {
        let delay = self.delay;
        self.delay = (delay * 2).min(self.timeouts.max_backoff);
        delay
    }

    /// Returns the delay after this failure, before jitter.
    pub(super) fn delay_after(&mut self, error: &DiscoveryError) -> Micros {
        if !self.was_rejected_at_once(error) {
            self.rejections = 0;
            return self.delay_after_late_call();
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

    /// Resets the delays after a list was applied.
    pub(super) fn list_applied(&mut self) {
        self.delay = MIN_BACKOFF_MICROS;
        self.outage_suspected = false;
        self.failure_reported = false;
    }

    /// Resets what was learned from the old address of discovery.
    pub(super) fn address_changed(&mut self) {
        self.delay = MIN_BACKOFF_MICROS;
        self.outage_suspected = false;
        self.slow_lists = 0;
        self.rejections = 0;
        self.answer_times.clear();
    }
}
