//! Retries and hedged requests: the conditions for a further attempt.
//!
//! A retry is made after an attempt failed, a hedged request while one is still in flight. Both require that
//! - the request may run again: it is idempotent, or has an idempotency key that the endpoint still remembers, or no
//!   earlier attempt can have run;
//! - an answer would still have its full value: neither the latency objective nor the deadline has passed;
//! - fewer than `max_attempts` have been made;
//! - the retry budget covers the attempt, so that retries cannot amplify an overload.
//!
//! The endpoints that still remember an idempotency key are determined in [`load_balancing`](crate::load_balancing).
//!
//! A hedged request also requires that the deployment allows hedging, and that no alert is active or the endpoint has
//! probably failed. A request that is not idempotent is never hedged.

use crate::endpoints::{AnswerSample, SampleSource};
use crate::interface::{Action, BackendId, Micros, Outcome, RequestId, RetrySafety};
use crate::outlier::{OutlierDetector, OUTLIER_FAILURE_RATE};
use crate::request::{Attempt, InFlightRequest};
use crate::{FleetSize, Gateway};
use std::cmp::Reverse;

/// Number of retries that each first attempt adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Maximum number of retries saved up in the budgets of all gateways together, but at least one per gateway. With ten
/// at each gateway, a fleet of many gateways could start a retry storm.
const FLEET_RETRY_BURST: f64 = 30.0;
/// Minimum cost of a retry after an attempt that failed early.
const MIN_RETRY_COST: f64 = 0.2;
/// Cost of a retry after an attempt that may have done all its work, and of a hedged request.
const FULL_RETRY_COST: f64 = 1.0;
/// Share of the useful lifetime after which an endpoint that has sent no answer since the attempt started is suspected
/// to have failed.
const SILENCE_TIMEOUT_SHARE: f64 = 0.35;
/// Share of the useful lifetime after which a request is hedged although its endpoint answers other requests.
const HEDGING_DELAY_SHARE: f64 = 0.6;

/// Returns the time without any answer after which an endpoint is suspected, for a request with the given useful
/// lifetime; both in microseconds.
pub fn silence_timeout(useful_lifetime: f64) -> Micros {
    (useful_lifetime * SILENCE_TIMEOUT_SHARE) as Micros
}

fn hedging_delay(useful_lifetime: f64) -> Micros {
    (useful_lifetime * HEDGING_DELAY_SHARE) as Micros
}

/// Limits retries to a share of the first attempts.
#[derive(Default)]
pub struct RetryBudget {
    balance: f64,
    capacity: f64,
}

impl RetryBudget {
    /// Creates a full budget for one of `gateways` gateways.
    pub fn new(gateways: u64) -> Self {
        let capacity = (FLEET_RETRY_BURST / gateways as f64).max(1.0);
        RetryBudget { balance: capacity, capacity }
    }

    /// Credits the budget for a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_REQUEST).min(self.capacity);
    }

    /// Returns whether the balance is enough for a retry of this cost.
    pub fn covers(&self, cost: f64) -> bool {
        self.balance >= cost
    }

    /// Deducts the cost of a retry.
    pub fn withdraw(&mut self, cost: f64) {
        self.balance -= cost;
    }
}

/// Returns the cost of a retry as a multiple of a full retry. An attempt that failed early did little work, and its
/// retry replaces it rather than adding to the load; at full cost, a network that breaks one attempt in six would use
/// up the budget.
///
/// `elapsed` is how long the failed attempt took and `unloaded_latency` the latency of the class on unloaded endpoints,
/// both in microseconds.
pub fn retry_cost(outcome: Outcome, elapsed: Micros, unloaded_latency: f64) -> f64 {
    let failed_early = matches!(outcome, Outcome::Error | Outcome::Reset | Outcome::ConnectFailed);
    if !failed_early {
        return FULL_RETRY_COST;
    }
    (elapsed as f64 / unloaded_latency.max(1.0)).clamp(MIN_RETRY_COST, FULL_RETRY_COST)
}

/// A request's latest attempt in flight, found to have exceeded the silence timeout.
struct OverdueAttempt {
    backend: BackendId,
    class: usize,
    /// Time at which a hedged request may be sent.
    hedge_at: Micros,
    /// Whether the endpoint has sent no answer since the attempt started.
    is_silent: bool,
    /// Whether the endpoint is believed to have failed.
    is_suspect: bool,
}

impl Gateway {
    /// Starts a further attempt of this cost if the module's rules allow it. Returns whether it was started.
    pub(crate) fn retry(&mut self, id: RequestId, cost: f64, actions: &mut Vec<Action>) -> bool {
        if !self.may_retry(&self.requests[&id]) || !self.retry_budget.covers(cost) {
            return false;
        }
        let started = self.start_attempt(id, actions);
        if started {
            self.retry_budget.withdraw(cost);
        }
        started
    }

    fn may_retry(&self, request: &InFlightRequest) -> bool {
        let may_overlap = request.attempts_in_flight() == 0 || self.settings.limits.hedging;
        may_overlap && self.may_run_again(request)
    }

    /// Returns whether a request may have a further attempt once it has none in flight.
    fn may_run_again(&self, request: &InFlightRequest) -> bool {
        let class = &self.settings.classes[usize::from(request.request.class)];
        let is_safe =
            class.retry_safety != RetrySafety::NotIdempotent || request.first_that_may_have_run().is_none();
        let useful_until = (request.arrived_at + class.latency_objective).min(request.request.deadline);
        let is_useful = self.now + self.settings.tick < useful_until;
        let has_attempts_left = (request.attempts.len() as u32) < self.settings.limits.max_attempts;
        is_safe && is_useful && has_attempts_left && !request.streaming
    }

    /// Checks a request's latest attempt. If it is overdue, records the endpoint's silence and hedges the request if
    /// allowed.
    pub(crate) fn check_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(overdue) = self.find_overdue(id) else { return };
        let now = self.now;
        let limits = &self.settings.limits;
        let may_hedge = limits.hedging;
        let may_cancel = limits.cancellation;
        let has_alert = self.load_shedding.step() > 0;
        let is_repeatable = self.settings.classes[overdue.class].retry_safety != RetrySafety::NotIdempotent;
        let hedges = is_repeatable && (overdue.is_suspect || !has_alert);
        let has_retry = self.may_run_again(&self.requests[&id]) && self.retry_budget.covers(FULL_RETRY_COST);
        if hedges && !may_hedge && overdue.is_suspect && may_cancel && has_retry {
            // Hedging is not allowed: the attempt is cancelled, and the request is retried once it has ended.
            if let Some(request) = self.requests.get_mut(&id) {
                request.cancel_attempts(None, actions);
            }
        }
        self.record_silence(&overdue);
        if !overdue.is_suspect && now < overdue.hedge_at {
            self.checks.push(Reverse((overdue.hedge_at, id)));
            return;
        }
        if hedges && may_hedge {
            self.retry(id, FULL_RETRY_COST, actions);
        }
    }

    /// Returns the latest attempt in flight of a request if it has exceeded the silence timeout.
    fn find_overdue(&self, id: RequestId) -> Option<OverdueAttempt> {
        let request = self.requests.get(&id)?;
        if request.finished || request.streaming {
            return None;
        }
        let class = usize::from(request.request.class);
        let lifetime = request.useful_lifetime(self.settings.classes[class].latency_objective);
        let is_running = |attempt: &&Attempt| attempt.in_flight && !attempt.cancelled;
        let attempt = request.attempts.iter().rev().find(is_running)?;
        // This check was scheduled for an earlier attempt; the latest attempt has its own check.
        if self.now < attempt.sent_at + silence_timeout(lifetime) {
            return None;
        }
        let backend = attempt.endpoint.backend;
        let detector = self.outlier_detector(backend, class)?;
        let is_silent = detector.last_answer_at < attempt.sent_at;
        // In a large fleet each gateway gets answers from an endpoint too rarely to infer a failure from silence alone.
        let is_known_to_fail = match self.fleet_size {
            FleetSize::Small => true,
            FleetSize::Large => detector.failure_rate(self.now) > OUTLIER_FAILURE_RATE,
        };
        let hedge_at = attempt.sent_at + hedging_delay(lifetime);
        Some(OverdueAttempt {
            backend,
            class,
            hedge_at,
            is_silent,
            is_suspect: is_silent && is_known_to_fail,
        })
    }

    /// Records the silence of an endpoint as a failure, and ejects the endpoint if it is suspected to have failed.
    fn record_silence(&mut self, overdue: &OverdueAttempt) {
        let now = self.now;
        // The check at the silence timeout counts the silence as a failure. The check at `hedge_at` must not count it
        // again, unless the endpoint has become suspect since.
        let counts_as_failure = overdue.is_silent && (overdue.is_suspect || now < overdue.hedge_at);
        let states = &mut self.endpoints.states;
        let Some(state) = states.get_mut(&overdue.backend) else { return };
        let detector: &mut OutlierDetector = &mut state.outlier_detectors[overdue.class];
        if !counts_as_failure || now < detector.ejected_until {
            return;
        }
        if overdue.is_suspect {
            detector.eject(now);
        }
        self.record_answer(overdue.backend, overdue.class, AnswerSample::Failed, SampleSource::Own);
    }

    fn outlier_detector(&self, backend: BackendId, class: usize) -> Option<&OutlierDetector> {
        let state = self.endpoints.states.get(&backend)?;
        Some(&state.outlier_detectors[class])
    }
}

#[cfg(test)]
mod tests;
