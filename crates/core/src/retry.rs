//! Retries and hedged requests: when a further attempt is made, and when never.
//!
//! A retry is made after an attempt failed, a hedged request while one is still in flight. Both need that
//! - the request may run again: it is idempotent, or has an idempotency key that the endpoint still knows, or no earlier
//!   attempt can have run;
//! - an answer would still be of full value: the latency objective and the deadline are not over;
//! - fewer than `max_attempts` were made;
//! - the retry budget covers it, so that retries cannot feed an overload.
//!
//! Which endpoints still know an idempotency key is in [`load_balancing`](crate::load_balancing).
//!
//! A hedged request needs in addition that the deployment allows hedging, and that no alert is on or the endpoint is
//! likely to have failed. A request that is not idempotent is never hedged.

use crate::endpoints::{AnswerSample, SampleSource};
use crate::interface::{Action, BackendId, Micros, Outcome, RequestId, RetrySafety};
use crate::outlier::{OutlierDetector, OUTLIER_FAILURE_RATE};
use crate::request::{Attempt, InFlightRequest};
use crate::{FleetSize, Gateway};
use std::cmp::Reverse;

/// Retries for each first attempt.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Retries that the whole fleet may save up: ten at each of many gateways would be a storm.
const FLEET_RETRY_BURST: f64 = 30.0;
/// The least cost of a retry after an attempt that failed early.
const MIN_RETRY_COST: f64 = 0.2;
/// The cost of a retry after an attempt that may have done all its work, and of a hedged request.
const FULL_RETRY_COST: f64 = 1.0;
/// Share of the useful lifetime after which an endpoint that has answered nothing since the attempt started is
/// suspected to have failed.
const SILENCE_TIMEOUT_SHARE: f64 = 0.35;
/// Share of the useful lifetime after which a request is hedged if the endpoint does answer others.
const HEDGING_DELAY_SHARE: f64 = 0.6;

/// How long an endpoint may be silent, for a request with this useful lifetime; both in microseconds.
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
    /// A full budget of one of `gateways`.
    pub fn new(gateways: u64) -> Self {
        let capacity = (FLEET_RETRY_BURST / gateways as f64).max(1.0);
        RetryBudget { balance: capacity, capacity }
    }

    /// A first attempt was made.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_REQUEST).min(self.capacity);
    }

    /// Whether there is enough for a retry of this cost.
    pub fn covers(&self, cost: f64) -> bool {
        self.balance >= cost
    }

    /// A retry of this cost was made.
    pub fn withdraw(&mut self, cost: f64) {
        self.balance -= cost;
    }
}

/// The cost of a retry, in full retries. An attempt that failed early did little work, and its retry takes its place
/// rather than adding to the load; otherwise a network that breaks one attempt in six would use up the budget.
pub fn retry_cost(outcome: Outcome, elapsed: Micros, unloaded_latency: f64) -> f64 {
    let failed_early = matches!(outcome, Outcome::Error | Outcome::Reset | Outcome::ConnectFailed);
    if !failed_early {
        return FULL_RETRY_COST;
    }
    (elapsed as f64 / unloaded_latency.max(1.0)).clamp(MIN_RETRY_COST, FULL_RETRY_COST)
}

/// What is known of the latest attempt in flight when it is checked.
struct Overdue {
    backend: BackendId,
    class: usize,
    /// When a hedged request is due.
    hedge_at: Micros,
    /// The endpoint has answered nothing since the attempt started.
    is_silent: bool,
    /// The endpoint is believed to have failed.
    is_suspect: bool,
}

impl Gateway {
    /// Makes a further attempt of this cost if the rules above allow it; whether it was made.
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
        let class = &self.settings.classes[usize::from(request.request.class)];
        let limits = &self.settings.limits;
        let is_safe =
            class.retry_safety != RetrySafety::NotIdempotent || request.first_that_may_have_run().is_none();
        let useful_until = (request.arrived_at + class.latency_objective).min(request.request.deadline);
        let is_useful = self.now + self.settings.tick < useful_until;
        let has_attempts_left = (request.attempts.len() as u32) < limits.max_attempts;
        let may_overlap = request.attempts_in_flight() == 0 || limits.hedging;
        is_safe && is_useful && has_attempts_left && may_overlap
    }

    /// Looks at an attempt that takes long: suspects its endpoint, and hedges the request.
    pub(crate) fn check_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(overdue) = self.find_overdue(id) else { return };
        let now = self.now;
        let limits = &self.settings.limits;
        let may_hedge = limits.hedging;
        let may_cancel = limits.cancellation;
        let has_alert = self.load_shedding.step() > 0;
        let is_repeatable = self.settings.classes[overdue.class].retry_safety != RetrySafety::NotIdempotent;
        let hedges = is_repeatable && (overdue.is_suspect || !has_alert);
        if hedges
            && !may_hedge
            && overdue.is_suspect
            && may_cancel
            && self.retry_budget.covers(FULL_RETRY_COST)
        {
            // Two attempts at once are not allowed: the attempt is cancelled, and its end decides whether a retry is made.
            if let Some(request) = self.requests.get_mut(&id) {
                request.cancel_attempts(None, actions);
            }
        }
        self.judge_silence(&overdue);
        if !overdue.is_suspect && now < overdue.hedge_at {
            self.checks.push(Reverse((overdue.hedge_at, id)));
            return;
        }
        if hedges && may_hedge {
            self.retry(id, FULL_RETRY_COST, actions);
        }
    }

    /// The latest attempt in flight of a request, if its endpoint has had the time to answer.
    fn find_overdue(&self, id: RequestId) -> Option<Overdue> {
        let request = self.requests.get(&id)?;
        if request.finished || request.streaming {
            return None;
        }
        let class = usize::from(request.request.class);
        let lifetime = request.useful_lifetime(self.settings.classes[class].latency_objective);
        let is_running = |attempt: &&Attempt| attempt.in_flight && !attempt.cancelled;
        let attempt = request.attempts.iter().rev().find(is_running)?;
        // A check that was set for an earlier attempt comes too early for this one, which has its own.
        if self.now < attempt.sent_at + silence_timeout(lifetime) {
            return None;
        }
        let backend = attempt.endpoint.backend;
        let detector = self.outlier_detector(backend, class)?;
        let is_silent = detector.last_answer_at < attempt.sent_at;
        // A gateway of a large fleet hears from each endpoint too seldom to tell by its silence alone.
        let is_known_to_fail = match self.fleet_size {
            FleetSize::Small => true,
            FleetSize::Large => detector.failure_rate(self.now) > OUTLIER_FAILURE_RATE,
        };
        let hedge_at = attempt.sent_at + hedging_delay(lifetime);
        Some(Overdue { backend, class, hedge_at, is_silent, is_suspect: is_silent && is_known_to_fail })
    }

    /// Counts the silence of an endpoint as a failure, and ejects it if it is suspect.
    fn judge_silence(&mut self, overdue: &Overdue) {
        let now = self.now;
        let is_due = overdue.is_silent && (overdue.is_suspect || now < overdue.hedge_at);
        let states = &mut self.endpoints.states;
        let Some(state) = states.get_mut(&overdue.backend) else { return };
        let detector: &mut OutlierDetector = &mut state.outlier_detectors[overdue.class];
        if !is_due || now < detector.ejected_until {
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
