//! Slow start: limits what is sent to an endpoint that started recently.
//!
//! A starting endpoint has only a part of its capacity, which grows until the slow-start window ends. It fails if all
//! gateways together send it more than a multiple of what it can serve (`overload_factor`) within a window
//! (`overload_window`). Each gateway therefore spends only its own part of that budget, in proportion to its share of
//! the traffic. Where this part is less than one request per window, a pseudo-random draw decides which gateways may
//! send one: on average, all of them together then send what the endpoint can serve now, or one request per window if
//! that is more.

use crate::decay::{decay_factor, MICROS_PER_SECOND};
use crate::endpoints::{EndpointState, PREFERRED_ENDPOINTS};
use crate::interface::{BackendId, Endpoint, GatewayId, Micros, Rules};
use crate::quota::RATE_TIME_CONSTANT;
use crate::random::unit_hash;
use crate::Gateway;

/// Share of an endpoint's budget that is spent; the rest is a margin for random variation.
const BUDGET_SHARE: f64 = 0.6;

/// Decaying rate at which this gateway admits requests.
#[derive(Default)]
pub struct AdmissionRate {
    per_second: f64,
    updated_at: Micros,
}

impl AdmissionRate {
    /// Records the admission of a request.
    pub fn record(&mut self, now: Micros) {
        self.per_second = self.per_second(now) + 1.0 / RATE_TIME_CONSTANT;
        self.updated_at = now;
    }

    /// Returns the rate at `now`, in requests per second.
    pub fn per_second(&self, now: Micros) -> f64 {
        self.per_second * decay_factor(self.updated_at, now, RATE_TIME_CONSTANT)
    }
}

/// Returns the minimum share of its capacity that a starting endpoint has, from `slow_start_min_capacity` to 1; `None`
/// if its slow start has ended.
pub fn warming_capacity(endpoint: &Endpoint, rules: &Rules, now: Micros) -> Option<f64> {
    let age = now.saturating_sub(endpoint.started_at);
    if endpoint.started_at == 0 || age >= rules.slow_start_window {
        return None;
    }
    let minimum = rules.slow_start_min_capacity;
    Some(minimum + (1.0 - minimum) * age as f64 / rules.slow_start_window as f64)
}

/// What slow start permits this gateway to send to an endpoint.
#[derive(Clone, Copy)]
pub struct Permission {
    /// Share of its full capacity that the endpoint has now, up to 1.
    pub capacity: f64,
    /// Whether this gateway may send the endpoint one more request in the current window.
    pub may_send: bool,
}

/// The inputs of a permission, apart from the endpoint.
pub struct SlowStart<'a> {
    /// Current time.
    pub now: Micros,
    /// The rules that set the parameters of slow start.
    pub rules: &'a Rules,
    /// Rate at which this gateway admits requests, per second.
    pub admission_rate: f64,
    /// Sum of the weights of all ready endpoints.
    pub ready_weight: f64,
    /// Number of ready endpoints.
    pub ready_count: usize,
    /// Number of gateways in the fleet.
    pub gateway_count: u64,
    /// Id of this gateway.
    pub self_id: GatewayId,
}

impl SlowStart<'_> {
    /// Returns what this gateway may send to an endpoint now.
    pub fn permission(&self, state: &EndpointState) -> Permission {
        let Some(capacity) = warming_capacity(&state.endpoint, self.rules, self.now) else {
            return Permission { capacity: 1.0, may_send: true };
        };
        let window = self.rules.overload_window.max(1);
        let is_recent = |sent_at: &&Micros| **sent_at + window > self.now;
        let sent = state.recent_sends.iter().filter(is_recent).count() as f64;
        // Number of requests per window that this gateway would send to the endpoint at full capacity.
        let share = self.admission_rate * state.weight / self.ready_weight.max(state.weight);
        let requests_at_full_capacity = share * window as f64 / MICROS_PER_SECOND;
        let budget = self.rules.overload_factor * capacity * requests_at_full_capacity * BUDGET_SHARE;
        let may_send = if budget >= 1.0 {
            sent < budget
        } else {
            sent < 1.0 && self.wins_draw(state.endpoint.backend, capacity * requests_at_full_capacity, window)
        };
        Permission { capacity, may_send }
    }

    /// Decides by a pseudo-random draw whether this gateway may send the endpoint one request in the current window.
    /// `expected`: requests per window that this gateway should send to the endpoint on average. All gateways together
    /// may send at least one per window on average, however small `expected` is.
    fn wins_draw(&self, backend: BackendId, expected: f64, window: Micros) -> bool {
        let gateway = u64::from(self.self_id.0);
        // A gateway prefers a few endpoints, so each of them gets a larger share of its requests.
        let preferred = self.ready_count.clamp(1, PREFERRED_ENDPOINTS);
        let concentration = self.ready_count as f64 / preferred as f64;
        // The windows of different gateways start at different times.
        let shift = (unit_hash(gateway) * window as f64) as Micros;
        let window_number = (self.now + shift) / window;
        let draw = unit_hash(backend.0 ^ window_number << 48 ^ gateway << 32);
        let chance = (expected * concentration).max(1.0 / self.gateway_count as f64);
        draw < chance
    }
}

impl Gateway {
    /// Returns the current inputs of slow start.
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
