//! Adaptive concurrency: the pressure on the endpoints, and the limit on attempts in flight that follows it.
//!
//! Each answer exerts a pressure, its latency over what an overloaded endpoint takes (see [`latency`](crate::latency)).
//! While the pressure is low the limit grows; an alert reduces it.

use crate::decay::{decay_factor, to_micros};
use crate::interface::Micros;
use crate::{FleetSize, Gateway};

/// Pressure that raises an alert.
pub const ALERT_PRESSURE: f64 = 1.0;
/// Pressure under which an alert ends. Between the two a step is taken only where many requests are rejected, see
/// [`load_shedding`](crate::load_shedding).
pub const CLEAR_PRESSURE: f64 = 0.75;
/// Pressure under which the limit may grow.
const GROWTH_PRESSURE: f64 = 0.4;
/// Time constant of the pressure in seconds: some dozen answers.
pub const PRESSURE_TIME_CONSTANT: f64 = 1.0;
/// The pressure of one answer counts up to this.
const MAX_SAMPLE: f64 = 4.0;
/// The pressure that a rejection by an endpoint exerts.
pub const REJECTION_PRESSURE: f64 = 2.0;
/// Attempts in flight at an endpoint, from all gateways together, before latencies are known.
const INITIAL_IN_FLIGHT_PER_ENDPOINT: f64 = 5.0;
/// The limit stays at or above one part in this of the initial one.
const MAX_REDUCTION_DIVISOR: f64 = 6.0;
/// What is left of the limit after one reduction.
const REDUCTION_FACTOR: f64 = 0.85;
/// The limit grows only while more than this share of it is in use.
const GROWTH_UTILIZATION: f64 = 0.7;

/// The least weight of an answer in the pressure.
fn min_sample_weight(fleet_size: FleetSize) -> f64 {
    match fleet_size {
        FleetSize::Small => 0.02,
        FleetSize::Large => 0.005,
    }
}

/// The pressure on the endpoints: a decaying mean over answers, 1 at the onset of an overload.
#[derive(Default)]
pub struct Pressure {
    value: f64,
    updated_at: Micros,
}

impl Pressure {
    /// The current pressure.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// When the latest answer was added.
    pub fn updated_at(&self) -> Micros {
        self.updated_at
    }

    /// Adds the pressure that one answer exerts.
    pub fn record(&mut self, now: Micros, sample: f64, fleet_size: FleetSize) {
        let decay = decay_factor(self.updated_at, now, PRESSURE_TIME_CONSTANT);
        let keep = decay.min(1.0 - min_sample_weight(fleet_size));
        self.value = self.value * keep + sample.min(MAX_SAMPLE) * (1.0 - keep);
        self.updated_at = now;
    }

    /// Drops the pressure to nothing.
    pub fn clear(&mut self) {
        self.value = 0.0;
    }
}

/// The limit on attempts in flight.
pub struct ConcurrencyLimit {
    /// Attempts that may be in flight at an endpoint, from all gateways, if all of them send alike.
    in_flight_per_endpoint: f64,
    reduced_at: Micros,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        ConcurrencyLimit { in_flight_per_endpoint: INITIAL_IN_FLIGHT_PER_ENDPOINT, reduced_at: 0 }
    }
}

impl ConcurrencyLimit {
    /// Attempts that this gateway may have in flight: its part of what all ready endpoints take. It does not grow when
    /// endpoints fail, so that the rest do not inherit their load.
    pub fn of_gateway(&self, endpoints: usize, gateways: u64) -> f64 {
        (self.in_flight_per_endpoint * endpoints as f64 / gateways as f64).max(1.0)
    }

    /// Lets the limit grow while the pressure is low and the limit is nearly used up. One that is below its initial
    /// value grows back at any pressure short of an alert: otherwise it would stay low for ever.
    pub fn grow(&mut self, pressure: f64, in_flight: u32, limit: f64) {
        let is_reduced = self.in_flight_per_endpoint < INITIAL_IN_FLIGHT_PER_ENDPOINT;
        let max_pressure = if is_reduced { CLEAR_PRESSURE } else { GROWTH_PRESSURE };
        if pressure < max_pressure && f64::from(in_flight) > limit * GROWTH_UTILIZATION {
            self.in_flight_per_endpoint *= 1.0 + 2.0 / limit.max(2.0).powi(2);
        }
    }

    /// Reduces the limit under an alert, once in a time constant of the pressure: answers to attempts from before a
    /// reduction must not cause the next one.
    pub fn reduce(&mut self, now: Micros, pressure: f64) {
        if pressure > ALERT_PRESSURE && now - self.reduced_at > to_micros(PRESSURE_TIME_CONSTANT) {
            let reduced = self.in_flight_per_endpoint * REDUCTION_FACTOR;
            self.in_flight_per_endpoint = reduced.max(INITIAL_IN_FLIGHT_PER_ENDPOINT / MAX_REDUCTION_DIVISOR);
            self.reduced_at = now;
        }
    }
}

impl Gateway {
    /// Adds the pressure that an answer exerts, and lets the concurrency limit grow.
    pub(crate) fn record_pressure(&mut self, sample: f64) {
        self.pressure.record(self.now, sample, self.fleet_size);
        let limit = self.max_in_flight();
        self.concurrency_limit.grow(self.pressure.value(), self.in_flight, limit);
    }

    /// Attempts that this gateway may have in flight, 1 or more.
    pub(crate) fn max_in_flight(&self) -> f64 {
        self.concurrency_limit.of_gateway(self.endpoints.sampling_order.len(), self.gateway_count)
    }

    /// When a request that joins the queue now can expect to be sent, in microseconds from now: the queue moves by
    /// the limit in each recent latency of the request's class.
    pub(crate) fn expected_queue_delay(&self, class: u8) -> Micros {
        let ahead = self.queue.len() as f64 + f64::from(self.in_flight);
        let rounds = 1.0 + ahead / self.max_in_flight();
        (self.latency_baselines[usize::from(class)].recent * rounds) as Micros
    }
}

#[cfg(test)]
mod tests;
