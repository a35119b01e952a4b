//! Slow start: what an endpoint that started lately may be sent.
//!
//! A starting endpoint has a part of its capacity, which grows until the slow-start window is over. It fails when it is
//! sent more than a multiple of what it can do (`overload_factor`) within a window (`overload_window`), by all gateways
//! together. Each gateway therefore spends only its own part of that budget, in proportion to its share of the traffic.
//! Where this part is less than one request in a window, it is drawn by lot which gateways may send one: on average all of
//! them together then send what the endpoint can do now, or one request in a window.

use crate::decay::{decay_factor, MICROS_PER_SECOND};
use crate::endpoints::{EndpointState, PREFERRED_ENDPOINTS};
use crate::interface::{BackendId, Endpoint, GatewayId, Micros, Rules};
use crate::quota::RATE_TIME_CONSTANT;
use crate::random::unit_hash;
use crate::Gateway;

/// The part of an endpoint's budget that is spent; the rest covers chance.
const BUDGET_SHARE: f64 = 0.6;

/// The rate at which this gateway admits requests, decaying.
#[derive(Default)]
pub struct AdmissionRate {
    per_second: f64,
    updated_at: Micros,
}

impl AdmissionRate {
    /// Counts a request that was admitted.
    pub fn record(&mut self, now: Micros) {
        self.per_second = self.per_second(now) + 1.0 / RATE_TIME_CONSTANT;
        self.updated_at = now;
    }

    /// Requests a second.
    pub fn per_second(&self, now: Micros) -> f64 {
        self.per_second * decay_factor(self.updated_at, now, RATE_TIME_CONSTANT)
    }
}

/// The part of its capacity that a starting endpoint has for sure, from `slow_start_min_capacity` to 1; none once its
/// slow start is over.
pub fn warming_capacity(endpoint: &Endpoint, rules: &Rules, now: Micros) -> Option<f64> {
    let age = now.saturating_sub(endpoint.started_at);
    if endpoint.started_at == 0 || age >= rules.slow_start_window {
        return None;
    }
    let minimum = rules.slow_start_min_capacity;
    Some(minimum + (1.0 - minimum) * age as f64 / rules.slow_start_window as f64)
}

/// What an endpoint can take from this gateway.
#[derive(Clone, Copy)]
pub struct Permission {
    /// The part of its capacity that it has, up to 1.
    pub capacity: f64,
    /// Whether this gateway may send it one more request in this window.
    pub may_send: bool,
}

/// What a permission depends on, besides the endpoint.
pub struct SlowStart<'a> {
    /// The time.
    pub now: Micros,
    /// The figures of the rule.
    pub rules: &'a Rules,
    /// Requests a second that this gateway admits.
    pub admission_rate: f64,
    /// The sum of the weights of all ready endpoints.
    pub ready_weight: f64,
    /// How many endpoints are ready.
    pub ready_count: usize,
    /// How many gateways there are.
    pub gateway_count: u64,
    /// This gateway.
    pub self_id: GatewayId,
}

impl SlowStart<'_> {
    /// What an endpoint can take from this gateway now.
    pub fn permission(&self, state: &EndpointState) -> Permission {
        let Some(capacity) = warming_capacity(&state.endpoint, self.rules, self.now) else {
            return Permission { capacity: 1.0, may_send: true };
        };
        let window = self.rules.overload_window.max(1);
        let is_recent = |sent_at: &&Micros| **sent_at + window > self.now;
        let sent = state.recent_sends.iter().filter(is_recent).count() as f64;
        // Requests that this gateway would send in a window to the endpoint if it had its full capacity.
        let share = self.admission_rate * state.weight / self.ready_weight.max(state.weight);
        let fair = share * window as f64 / MICROS_PER_SECOND;
        let budget = self.rules.overload_factor * capacity * fair * BUDGET_SHARE;
        let may_send = if budget >= 1.0 {
            sent < budget
        } else {
            sent < 1.0 && self.wins_draw(state.endpoint.backend, capacity * fair, window)
        };
        Permission { capacity, may_send }
    }

    /// Whether this gateway is one of those that may send a request in this window. So many are drawn as make up what
    /// the endpoint can do now; `expected` is this gateway's part of that in requests.
    fn wins_draw(&self, backend: BackendId, expected: f64, window: Micros) -> bool {
        let gateway = u64::from(self.self_id.0);
        // Each gateway prefers only a part of the endpoints, and sends that part all of its requests.
        let preferred = self.ready_count.clamp(1, PREFERRED_ENDPOINTS);
        let concentration = self.ready_count as f64 / preferred as f64;
        // Windows of the gateways are shifted against each other.
        let shift = (unit_hash(gateway) * window as f64) as Micros;
        let window_number = (self.now + shift) / window;
        let draw = unit_hash(backend.0 ^ window_number << 48 ^ gateway << 32);
        let chance = (expected * concentration).max(1.0 / self.gateway_count as f64);
        draw < chance
    }
}

impl Gateway {
    /// What slow start depends on, as of now.
    pub(crate) fn slow_start(&self) -> SlowStart<'_> {
        SlowStart {
            now: self.now,
            rules: &self.settings.rules,
            admission_rate: self.admission_rate.per_second(self.now),
            ready_weight: self.endpoints.ready_weight,
            ready_count: self.endpoints.sampling_order.len(),
            gateway_count: self.gateway_count,
            self_id: self.settings.self_id,
        }
    }
}

#[cfg(test)]
mod tests;
