//! Completion: handles the end of an attempt and gives each request its one final answer.

use crate::interface::{
    Action, BackendId, DeduplicationScope, LoadReport, Micros, Outcome, RequestId, RetrySafety,
};
use crate::request::InFlightRequest;
use crate::retry::retry_cost;
use crate::Gateway;

/// Maximum share of the useful lifetime that a request waits in the queue: after a longer wait its answer would be
/// late.
const MAX_QUEUE_WAIT_SHARE: f64 = 0.3;
/// Minimum number of wake-ups before a request's deadline; with fewer, there is no time to hold, check or send it.
const MIN_WAKEUPS_BEFORE_DEADLINE: u64 = 2;

/// The fields of [`Event::AttemptFinished`](crate::Event::AttemptFinished) that decisions depend on.
pub(crate) struct FinishedAttempt {
    pub id: RequestId,
    pub attempt: u16,
    pub backend: BackendId,
    pub outcome: Outcome,
    pub answered: bool,
    pub elapsed: Micros,
    pub charged_units: Option<f64>,
    pub report: Option<LoadReport>,
}

impl Gateway {
    /// Handles the end of an attempt: records its outcome, and answers or retries its request.
    pub(crate) fn on_attempt_finished(&mut self, finished: &FinishedAttempt, actions: &mut Vec<Action>) {
        let FinishedAttempt { id, backend, outcome, elapsed, .. } = *finished;
        let class = self.requests.get(&id).map(|request| usize::from(request.request.class));
        if let Some(class) = class {
            self.record_outcome(backend, class, outcome, elapsed);
        }
        if let Some(queued) = finished.report.and_then(|report| report.queued) {
            self.record_queue(backend, queued);
        }
        if !self.settle_attempt(finished) {
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let customer = request.request.customer;
        let units = request.request.units;
        request.finished |= finished.answered || outcome == Outcome::Ok;
        let must_report = self.settle_attempt_usage(customer, units, finished.charged_units);
        let Some(request) = self.requests.get(&id) else { return };
        if request.finished {
            self.close(id, actions);
        } else if request.attempts_in_flight() == 0 {
            let unloaded_latency = class.map_or(0.0, |class| self.latency_baselines[class].unloaded);
            if !self.retry(id, retry_cost(outcome, elapsed, unloaded_latency), actions) {
                self.answer_unserved(id, actions);
            }
        }
        if must_report {
            self.report(customer, |_| true);
        }
        self.dispatch(actions);
    }

    /// Marks an attempt as ended. Returns false if it is unknown or was already marked.
    fn settle_attempt(&mut self, finished: &FinishedAttempt) -> bool {
        let Some(request) = self.requests.get_mut(&finished.id) else { return false };
        let Some(attempt) = request.attempts.get_mut(usize::from(finished.attempt)) else { return false };
        if !attempt.in_flight {
            return false;
        }
        attempt.in_flight = false;
        attempt.never_ran = finished.outcome.never_ran();
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(state) = self.endpoints.states.get_mut(&attempt.endpoint.backend) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
        true
    }

    /// Ends a request that was not served: rejects it if the client may safely send it again, otherwise fails it.
    pub(crate) fn answer_unserved(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = request.request.class;
        if self.is_retry_harmless(request) {
            self.reject(id, self.expected_queue_delay(class), actions);
        } else {
            actions.push(Action::Fail(id));
        }
        self.close(id, actions);
    }

    /// Returns whether the client may safely send the request again, to any gateway and therefore to any endpoint.
    fn is_retry_harmless(&self, request: &InFlightRequest) -> bool {
        let class = &self.settings.classes[usize::from(request.request.class)];
        let is_safe_anywhere = matches!(
            class.retry_safety,
            RetrySafety::Idempotent | RetrySafety::IdempotencyKey { scope: DeduplicationScope::Fleet, .. }
        );
        is_safe_anywhere || request.first_that_may_have_run().is_none()
    }

    /// Closes a request that has its final answer or whose client left: cancels its attempts, and removes the request
    /// once all of them have ended. A request that was charged but never sent is refunded.
    pub(crate) fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.finished = true;
        if self.settings.limits.cancellation && !request.streaming {
            request.cancel_attempts(None, actions);
        }
        if request.attempts_in_flight() > 0 {
            return;
        }
        let Some(closed) = self.requests.remove(&id) else { return };
        let request = closed.request;
        if closed.awaiting_owner {
            self.release_hold(request.customer, id);
        } else if closed.attempts.is_empty() {
            self.refund(&request);
            self.report(request.customer, |_| true);
        }
    }

    /// Returns whether a deadline is far enough away to hold a request until the next check.
    pub(crate) fn has_time_to_wait(&self, deadline: Micros, now: Micros) -> bool {
        now + MIN_WAKEUPS_BEFORE_DEADLINE * crate::gateway::WAKEUP_TICKS * self.settings.tick <= deadline
    }

    /// Ends a queued request that has waited for the maximum time or whose deadline is too close. Returns whether the
    /// request must leave the queue.
    pub(crate) fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else { return true };
        if request.finished || request.attempts_in_flight() > 0 {
            return true;
        }
        let class = &self.settings.classes[usize::from(request.request.class)];
        let lifetime = request.useful_lifetime(class.latency_objective);
        let max_wait = (lifetime * MAX_QUEUE_WAIT_SHARE) as Micros;
        let waited_too_long = self.now > request.arrived_at + max_wait;
        let gives_up = waited_too_long || !self.has_time_to_wait(request.request.deadline, self.now);
        if gives_up {
            self.answer_unserved(id, actions);
        }
        gives_up
    }
}
