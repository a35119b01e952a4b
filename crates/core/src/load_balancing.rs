//! Load balancing: chooses the endpoint for the next attempt and the time to send it.
//!
//! A few endpoints are sampled by weight, and the one with the lowest cost is chosen ("power of two choices"). The cost
//! is the expected queue at the endpoint, raised for failures, for ejected endpoints and for those that this request
//! has been sent to before. The larger a gateway's share of the load, the more endpoints it samples: if each of many
//! gateways compared all endpoints, all of them would send to the one that looks least loaded.

use crate::concurrency::PRESSURE_TIME_CONSTANT;
use crate::decay::decay_factor;
use crate::endpoints::{EndpointState, PREFERRED_ENDPOINTS};
use crate::interface::{Action, BackendId, DeduplicationScope, Endpoint, Micros, RequestId, RetrySafety};
use crate::outlier::OUTLIER_FAILURE_RATE;
use crate::random::unit_hash;
use crate::request::{Attempt, InFlightRequest};
use crate::retry::silence_timeout;
use crate::slow_start::SlowStart;
use crate::Gateway;
use std::cmp::Reverse;

/// Minimum number of endpoints that a gateway compares.
const MIN_CANDIDATES: usize = 2;
/// A gateway compares [`MIN_CANDIDATES`] endpoints, plus this many times the number of endpoints per gateway.
const CANDIDATES_PER_ENDPOINT_SHARE: usize = 3;
/// Maximum number of draws in a sample, as a multiple of the number of endpoints in the pool.
const MAX_DRAWS_PER_ENDPOINT: usize = 4;
/// Maximum number of outliers that are evaluated for each healthy candidate wanted.
const OUTLIERS_PER_CANDIDATE: usize = 4;
/// Increase of the cost factor from a failure rate of 0 to one of 1.
const FAILURE_COST: f64 = 10.0;
/// Cost factor of an endpoint that this request has already been sent to.
const REPEATED_ENDPOINT_COST: f64 = 8.0;
/// Cost factor of an ejected endpoint. Such an endpoint is used last but not excluded: where most endpoints are
/// ejected, the others must not be overloaded.
const EJECTED_COST: f64 = 10.0;
/// Cost factor of an endpoint in another zone.
const OTHER_ZONE_COST: f64 = 1.05;
/// Maximum random increase of the cost, as a share of it, so that equal endpoints take turns.
const COST_JITTER: f64 = 0.1;
/// Fractional part of the golden ratio; its successive multiples modulo 1 are evenly spread.
const GOLDEN_RATIO: f64 = 0.618_034;
/// Maximum number of gateways that a reported queue is divided among.
const MAX_QUEUE_SHARES: u64 = 4;

/// The endpoints that an attempt may go to.
enum RetryTargets {
    /// All endpoints.
    Any,
    /// Endpoints that know the idempotency key: those in the scope around the endpoint that may have run the request.
    Scope(DeduplicationScope, Endpoint),
}

impl RetryTargets {
    fn contains(&self, endpoint: &Endpoint) -> bool {
        match self {
            RetryTargets::Any | RetryTargets::Scope(DeduplicationScope::Fleet, _) => true,
            RetryTargets::Scope(DeduplicationScope::Zone, first) => endpoint.zone == first.zone,
            RetryTargets::Scope(DeduplicationScope::Cell, first) => endpoint.cell == first.cell,
        }
    }
}

/// The state of one choice of an endpoint for a request.
struct Selection<'a> {
    request: &'a InFlightRequest,
    targets: RetryTargets,
    /// Whether endpoints are drawn by weight. Otherwise every endpoint is evaluated, and its weight divides its cost.
    is_sampled: bool,
    /// Pseudo-random number of this choice, from 0 to 1.
    noise: f64,
    slow_start: SlowStart<'a>,
}

/// An endpoint that a request may go to, with the cost of sending it there.
struct Candidate {
    backend: BackendId,
    cost: f64,
    is_outlier: bool,
}

impl Gateway {
    /// Sends queued requests in order, as long as the concurrency limit and the endpoints allow it.
    pub(crate) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        while let Some(id) = self.queue.front().copied() {
            let is_waiting =
                |request: &InFlightRequest| !request.finished && request.attempts_in_flight() == 0;
            let is_unsent = self.requests.get(&id).is_some_and(is_waiting);
            let limit_reached = f64::from(self.in_flight) >= self.max_in_flight();
            if is_unsent && (limit_reached || !self.start_attempt(id, actions)) {
                return;
            }
            self.queue.pop_front();
        }
    }

    /// Starts a request's next attempt. Returns false if no endpoint may take it now.
    pub(crate) fn start_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let now = self.now;
        let Some(backend) = self.choose_endpoint(id) else { return false };
        let start_by = self.requests.get(&id).map_or(0, |request| self.latest_start(request));
        let Some(request) = self.requests.get_mut(&id) else { return false };
        if request.attempts.is_empty() {
            self.retry_budget.deposit();
        }
        if let Some(customer) = self.customers.get_mut(&request.request.customer) {
            customer.in_flight += 1;
        }
        let class = &self.settings.classes[usize::from(request.request.class)];
        let lifetime = request.useful_lifetime(class.latency_objective);
        self.checks.push(Reverse((now + silence_timeout(lifetime), id)));
        self.in_flight += 1;
        if let Some(state) = self.endpoints.states.get_mut(&backend) {
            request.attempts.push(Attempt {
                endpoint: state.endpoint,
                sent_at: now,
                in_flight: true,
                cancelled: false,
                never_ran: false,
            });
            state.record_send(now, self.settings.rules.overload_window);
        }
        actions.push(Action::StartAttempt { id, backend, give_up_at: 0, start_by });
        true
    }

    /// Returns the time by which the next attempt must have started, so that the endpoint still remembers the
    /// idempotency key; 0 for no limit. The connection may be established long after the endpoint is chosen.
    fn latest_start(&self, request: &InFlightRequest) -> Micros {
        let class = &self.settings.classes[usize::from(request.request.class)];
        match (class.retry_safety, request.first_that_may_have_run()) {
            (RetrySafety::IdempotencyKey { window, .. }, Some(first)) => {
                (first.sent_at + window).saturating_sub(self.settings.tick)
            }
            _ => 0,
        }
    }

    /// Returns how long after the first attempt of a request has been written further ones may be written, in
    /// microseconds; `None` if the class has no idempotency key. [`Action::StartAttempt`] states a time for later
    /// attempts; the host has to apply this one to all, as it knows which attempt is written first.
    pub fn repeat_window(&self, class: u8) -> Option<Micros> {
        match self.settings.classes.get(usize::from(class))?.retry_safety {
            RetrySafety::IdempotencyKey { window, .. } => Some(window.saturating_sub(self.settings.tick)),
            RetrySafety::Idempotent | RetrySafety::NotIdempotent => None,
        }
    }

    /// Returns the endpoints that the next attempt may go to; `None` if the idempotency key is no longer remembered.
    fn retry_targets(&self, request: &InFlightRequest) -> Option<RetryTargets> {
        let class = &self.settings.classes[usize::from(request.request.class)];
        match (class.retry_safety, request.first_that_may_have_run()) {
            (RetrySafety::IdempotencyKey { scope, window }, Some(first)) => {
                let is_key_forgotten = self.now + self.settings.tick >= first.sent_at + window;
                (!is_key_forgotten).then_some(RetryTargets::Scope(scope, first.endpoint))
            }
            _ => Some(RetryTargets::Any),
        }
    }

    /// Chooses the endpoint for a request's next attempt; `None` if no endpoint may take it now.
    fn choose_endpoint(&mut self, id: RequestId) -> Option<BackendId> {
        self.random_state = self.random_state.wrapping_add(1);
        let noise = unit_hash(self.random_state);
        let request = &self.requests[&id];
        let targets = self.retry_targets(request)?;
        let endpoint_count = self.endpoints.sampling_order.len();
        let wanted =
            MIN_CANDIDATES + CANDIDATES_PER_ENDPOINT_SHARE * endpoint_count / self.gateway_count as usize;
        let is_sampled = wanted < endpoint_count;
        // A retry within a scope considers all endpoints. Other attempts use the preferred ones, whose connections stay
        // open.
        let prefers_few = is_sampled && matches!(targets, RetryTargets::Any);
        let pool = if prefers_few { endpoint_count.min(PREFERRED_ENDPOINTS) } else { endpoint_count };
        let selection = Selection { request, targets, is_sampled, noise, slow_start: self.slow_start() };
        if pool < endpoint_count && request.attempts.is_empty() {
            if let Some(backend) = self.choose_warming_up(&selection) {
                return Some(backend);
            }
        }
        self.choose_by_cost(&selection, pool, wanted)
    }

    /// Returns a warming-up endpoint that slow start permits this gateway to send to. It is chosen ahead of all others:
    /// if permissions were rarely used, the endpoint would stay idle.
    fn choose_warming_up(&self, selection: &Selection) -> Option<BackendId> {
        let class = usize::from(selection.request.request.class);
        let may_send = |id: &&BackendId| {
            let state = self.endpoints.states.get(*id);
            let healthy = state.filter(|state| state.outlier_detectors[class].consecutive_ejections == 0);
            healthy.is_some_and(|state| {
                let permission = selection.slow_start.permission(state);
                permission.capacity < 1.0 && permission.may_send
            })
        };
        self.endpoints.warming_up.iter().find(may_send).copied()
    }

    /// Returns the candidate with the lowest cost among those sampled from the first `pool` endpoints.
    fn choose_by_cost(&self, selection: &Selection, pool: usize, wanted: usize) -> Option<BackendId> {
        let mut healthy = 0;
        let mut outliers = 0;
        let mut lowest_cost = f64::MAX;
        let mut chosen = None;
        let draws = if selection.is_sampled { MAX_DRAWS_PER_ENDPOINT * pool } else { pool };
        let first = (selection.noise * pool as f64) as usize;
        for draw in 0..draws {
            let backend = self.endpoints.sampling_order[(first + draw) % pool];
            let Some(state) = self.endpoints.states.get(&backend) else { continue };
            let Some(candidate) = self.evaluate(selection, state, draw) else { continue };
            if candidate.cost < lowest_cost {
                lowest_cost = candidate.cost;
                chosen = Some(candidate.backend);
            }
            if candidate.is_outlier {
                outliers += 1;
            } else {
                healthy += 1;
            }
            if healthy >= wanted || outliers > OUTLIERS_PER_CANDIDATE * wanted {
                break;
            }
        }
        chosen
    }

    /// Computes the cost of sending the request to an endpoint; `None` if it may not go there or the draw by weight
    /// skips the endpoint.
    fn evaluate(&self, selection: &Selection, state: &EndpointState, draw: usize) -> Option<Candidate> {
        let request = selection.request;
        let permission = selection.slow_start.permission(state);
        let weight = self.relative_weight(state, permission.capacity);
        if !selection.targets.contains(&state.endpoint) || !permission.may_send {
            return None;
        }
        if selection.is_sampled && unit_hash(self.random_state ^ (draw as u64) << 40) > weight {
            return None;
        }
        let now = self.now;
        let detector = &state.outlier_detectors[usize::from(request.request.class)];
        let zone_failure_rate = self.endpoints.zone_failure_rate(state.endpoint.zone, now);
        let failure_rate = detector.failure_rate(now).max(zone_failure_rate);
        let is_ejected = detector.is_ejected(now, state.in_flight);
        let backend = state.endpoint.backend;
        let is_repeated = request.attempts.iter().any(|attempt| attempt.endpoint.backend == backend);
        let jitter = 1.0 + COST_JITTER * ((selection.noise + draw as f64 * GOLDEN_RATIO) % 1.0);
        let zone_factor = if state.endpoint.zone == self.settings.zone { 1.0 } else { OTHER_ZONE_COST };
        let repetition_factor = if is_repeated { REPEATED_ENDPOINT_COST } else { 1.0 };
        let failure_factor = (1.0 + FAILURE_COST * failure_rate) * repetition_factor;
        let divisor = if selection.is_sampled { 1.0 } else { weight };
        let cost = self.expected_queue(state) * jitter * zone_factor * failure_factor / divisor;
        let cost = cost * if is_ejected { EJECTED_COST } else { 1.0 };
        Some(Candidate { backend, cost, is_outlier: is_ejected || failure_rate > OUTLIER_FAILURE_RATE })
    }

    /// Returns an endpoint's weight relative to the average: 0.5 for an endpoint of average weight and latency. It is the
    /// probability with which a draw accepts the endpoint, and it divides the cost if endpoints are not sampled.
    fn relative_weight(&self, state: &EndpointState, capacity: f64) -> f64 {
        let endpoint_count = self.endpoints.sampling_order.len() as f64;
        state.weight * capacity / state.relative_latency * endpoint_count / self.endpoints.ready_weight / 2.0
    }

    /// Returns the expected number of requests at an endpoint once one more is sent: this gateway's attempts in flight,
    /// the new one, and the gateway's share of the queue that the endpoint reported, which decays.
    fn expected_queue(&self, state: &EndpointState) -> f64 {
        let decay = decay_factor(state.queued_at, self.now, PRESSURE_TIME_CONSTANT);
        let shares = self.gateway_count.min(MAX_QUEUE_SHARES) as f64;
        f64::from(state.in_flight) + 1.0 + state.queued * decay / shares
    }
}
