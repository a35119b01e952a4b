//! Adaptive concurrency: the pressure on the endpoints, and the limit on attempts in flight that depends on it.
//!
//! Each answer is a sample of the pressure: its latency divided by the latency of an overloaded endpoint (see
//! [`latency`](crate::latency)). The limit grows while the pressure is low and is reduced during an alert.

use crate::decay::{decay_factor, to_micros};
use crate::interface::Micros;
use crate::{FleetSize, Gateway};

/// Pressure above which an alert is raised, or goes up a step.
pub const ALERT_PRESSURE: f64 = 1.0;
/// Pressure below which an alert goes down a step. Between this and [`ALERT_PRESSURE`] the alert goes up a step only if
/// many requests are rejected, see [`load_shedding`](crate::load_shedding).
pub const CLEAR_PRESSURE: f64 = 0.75;
/// Pressure below which the limit may grow.
const GROWTH_PRESSURE: f64 = 0.4;
/// Time constant of the pressure in seconds; about a dozen answers arrive in this time.
pub const PRESSURE_TIME_CONSTANT: f64 = 1.0;
/// Maximum pressure sample of one answer.
const MAX_SAMPLE: f64 = 4.0;
/// Pressure sample of a rejection by an endpoint.
pub const REJECTION_PRESSURE: f64 = 2.0;
/// Attempts in flight per endpoint, from all gateways together, before latencies are known.
const INITIAL_IN_FLIGHT_PER_ENDPOINT: f64 = 5.0;
/// The limit is never reduced below its initial value divided by this.
const MAX_REDUCTION_DIVISOR: f64 = 6.0;
/// Factor by which one reduction multiplies the limit.
const REDUCTION_FACTOR: f64 = 0.85;
/// Share of the limit that must be exceeded by the attempts in flight for the limit to grow.
const GROWTH_UTILIZATION: f64 = 0.7;

/// Returns the minimum weight of an answer in the pressure.
fn min_sample_weight(fleet_size: FleetSize) -> f64 {
    match fleet_size {
        FleetSize::Small => 0.02,
        FleetSize::Large => 0.005,
    }
}

/// The pressure on the endpoints: a decaying mean over answers. It is 1 at the onset of an overload.
#[derive(Default)]
pub struct Pressure {
    value: f64,
    updated_at: Micros,
}

impl Pressure {
    /// Returns the current pressure.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Returns the time at which the latest answer was added.
    pub fn updated_at(&self) -> Micros {
        self.updated_at
    }

    /// Adds the pressure sample of one answer.
    pub fn record(&mut self, now: Micros, sample: f64, fleet_size: FleetSize) {
        let decay = decay_factor(self.updated_at, now, PRESSURE_TIME_CONSTANT);
        let keep = decay.min(1.0 - min_sample_weight(fleet_size));
        self.value = self.value * keep + sample.min(MAX_SAMPLE) * (1.0 - keep);
        self.updated_at = now;
    }

    /// Resets the pressure to 0.
    pub fn clear(&mut self) {
        self.value = 0.0;
    }
}

/// The limit on attempts in flight.
pub struct ConcurrencyLimit {
    /// Attempts that may be in flight per endpoint, from all gateways together, if all gateways send equally much.
    in_flight_per_endpoint: f64,
    reduced_at: Micros,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        ConcurrencyLimit { in_flight_per_endpoint: INITIAL_IN_FLIGHT_PER_ENDPOINT, reduced_at: 0 }
    }
}

impl ConcurrencyLimit {
    /// Returns the number of attempts that one gateway may have in flight, 1 or more: an equal share of the limit for
    /// `endpoints` ready endpoints among `gateways` gateways. The limit per endpoint does not grow when endpoints fail,
    /// so that the remaining ones do not get the load of the failed ones.
    pub fn of_gateway(&self, endpoints: usize, gateways: u64) -> f64 {
        (self.in_flight_per_endpoint * endpoints as f64 / gateways as f64).max(1.0)
    }

    /// Raises the limit while the pressure is low and the limit is nearly used up. A limit below its initial value
    /// grows at any pressure below [`CLEAR_PRESSURE`]; otherwise it would stay low indefinitely.
    pub fn grow(&mut self, pressure: f64, in_flight: u32, limit: f64) {
        let is_reduced = self.in_flight_per_endpoint < INITIAL_IN_FLIGHT_PER_ENDPOINT;
        let max_pressure = if is_reduced { CLEAR_PRESSURE } else { GROWTH_PRESSURE };
        if pressure < max_pressure && f64::from(in_flight) > limit * GROWTH_UTILIZATION {
            self.in_flight_per_endpoint *= 1.0 + 2.0 / limit.max(2.0).powi(2);
        }
    }

    /// Reduces the limit during an alert, at most once per time constant of the pressure: answers to attempts that
    /// started before one reduction must not cause the next.
    pub fn reduce(&mut self, now: Micros, pressure: f64) {
        if pressure > ALERT_PRESSURE && now - self.reduced_at > to_micros(PRESSURE_TIME_CONSTANT) {
            let reduced = self.in_flight_per_endpoint * REDUCTION_FACTOR;
            self.in_flight_per_endpoint = reduced.max(INITIAL_IN_FLIGHT_PER_ENDPOINT / MAX_REDUCTION_DIVISOR);
            self.reduced_at = now;
        }
    }
}

impl Gateway {
    /// Adds the pressure sample of an answer, and lets the concurrency limit grow.
    pub(crate) fn record_pressure(&mut self, sample: f64) {
        self.pressure.record(self.now, sample, self.fleet_size);
        let limit = self.max_in_flight();
        self.concurrency_limit.grow(self.pressure.value(), self.in_flight, limit);
    }

    /// Returns the number of attempts that this gateway may have in flight, 1 or more.
    pub(crate) fn max_in_flight(&self) -> f64 {
        self.concurrency_limit.of_gateway(self.endpoints.sampling_order.len(), self.gateway_count)
    }

    /// Returns the time after which a request that joins the queue now is expected to be sent, in microseconds. The
    /// estimate is that as many requests as the concurrency limit allows end in each recent latency of the request's
    /// class.
    pub(crate) fn expected_queue_delay(&self, class: u8) -> Micros {
        let ahead = self.queue.len() as f64 + f64::from(self.in_flight);
        let rounds = 1.0 + ahead / self.max_in_flight();
        (self.latency_baselines[usize::from(class)].recent * rounds) as Micros
    }
}

#[cfg(test)]
mod tests;
