//! Load shedding: the steps of an alert, and which customers each step rejects.
//!
//! A customer is *green* if it has not sent a request for a while, *red* if its quota is used up, else *amber*; those of
//! the highest priority are *preferred*. Red requests are rejected at any step, 0 included, by the quota and not here (see
//! [`admission`](crate::admission)).
//! An alert sheds load by steps:
//!
//! | step | green | amber | preferred |
//! | --- | --- | --- | --- |
//! | 0, no alert | pass | pass | pass |
//! | 1 | pass | 90% pass | pass |
//! | 2 | 70% pass | 70% pass | pass |
//! | 3 | 50% pass | 50% pass | pass |
//! | 4 | rejected | rejected | pass |
//!
//! Where no plan has a higher priority than the others nobody is preferred, and step 4 is like step 3.

use crate::concurrency::{Pressure, ALERT_PRESSURE, CLEAR_PRESSURE};
use crate::interface::{Action, CustomerId, Micros, Plan};
use crate::random::unit_hash;
use crate::Gateway;

/// The share of green and amber customers that passes at steps 0 to 3.
const PASSING_SHARES: [f64; 4] = [1.0, 0.9, 0.7, 0.5];
/// The step from which green customers are shed as well.
const FIRST_STEP_FOR_GREEN: usize = 2;
/// The last step: only preferred customers pass.
const LAST_STEP: usize = 4;
/// A step is held at least this long before the next one, so that its effect shows.
const MIN_STEP_UP_INTERVAL: Micros = 1_500_000;
/// A step is held at least this long before it is taken back.
const MIN_STEP_DOWN_INTERVAL: Micros = 2_000_000;
/// The same customers are shed for this long: longer than clients retry.
pub const SHEDDING_EPOCH: Micros = 10_000_000;
/// Share of requests within quota, rejected for want of capacity, that raises an alert while the pressure is not low.
const ALERT_REJECTION_RATE: f64 = 0.05;
/// Weight of one request in the rejection rate.
const REJECTION_SAMPLE_WEIGHT: f64 = 0.05;

/// The state of the alert.
#[derive(Default)]
pub struct LoadShedding {
    step: usize,
    step_since: Micros,
    /// Recent share of requests within quota that were rejected for want of capacity.
    rejection_rate: f64,
}

/// A customer's place among the customers, from 0 to 1, the same at all gateways and for a whole epoch.
///
/// Whoever is shed stays shed for the epoch: a draw for each request would admit some retries of rejected clients, too
/// late to be of use, and they would cause the next rejections.
pub fn shedding_draw(customer: CustomerId, now: Micros) -> f64 {
    let epoch = now / SHEDDING_EPOCH;
    unit_hash(customer.0 ^ epoch << 33)
}

impl LoadShedding {
    /// The current step, 0 without an alert.
    pub fn step(&self) -> usize {
        self.step
    }

    /// Whether a customer's requests pass the current step.
    ///
    /// `plan` is the customer's and `plans` are all of them; `is_green` says that the customer sent nothing lately.
    pub fn passes(
        &self,
        now: Micros,
        customer: CustomerId,
        plan: &Plan,
        plans: &[Plan],
        is_green: bool,
    ) -> bool {
        if self.step == 0 || (is_green && self.step < FIRST_STEP_FOR_GREEN) {
            return true;
        }
        let highest_priority = plans.iter().map(|plan| plan.priority_factor).fold(f64::MIN, f64::max);
        let priorities_differ = plans.iter().any(|plan| plan.priority_factor < highest_priority);
        let is_preferred = priorities_differ && plan.priority_factor >= highest_priority;
        let passing_share = if self.step == LAST_STEP && priorities_differ {
            0.0
        } else {
            PASSING_SHARES[self.step.min(PASSING_SHARES.len() - 1)]
        };
        is_preferred || shedding_draw(customer, now) < passing_share
    }

    /// Counts a request within quota that was rejected for want of capacity.
    pub fn record_rejection(&mut self) {
        self.rejection_rate += REJECTION_SAMPLE_WEIGHT * (1.0 - self.rejection_rate);
    }

    /// Counts a request that was admitted.
    pub fn record_admission(&mut self) {
        self.rejection_rate -= REJECTION_SAMPLE_WEIGHT * self.rejection_rate;
    }

    /// Goes a step up or down by the pressure; gives the step before if it changed.
    ///
    /// Rejections alone hold no alert up: shedding causes rejections, and the fleet may be idle behind them.
    fn update(&mut self, now: Micros, pressure: f64) -> Option<usize> {
        let held_for = now - self.step_since;
        let previous = self.step;
        let is_rejecting = pressure > CLEAR_PRESSURE && self.rejection_rate > ALERT_REJECTION_RATE;
        let is_overloaded = pressure > ALERT_PRESSURE || is_rejecting;
        if is_overloaded && held_for > MIN_STEP_UP_INTERVAL && previous < LAST_STEP {
            self.step += 1;
        } else if pressure < CLEAR_PRESSURE && held_for > MIN_STEP_DOWN_INTERVAL && previous > 0 {
            self.step -= 1;
        }
        if self.step == previous {
            return None;
        }
        self.step_since = now;
        Some(previous)
    }
}

/// Clears a pressure that nothing renews: a gateway that rejects everything has no answers, and the latest ones must not
/// hold its alert up for ever.
fn clear_stale_pressure(pressure: &mut Pressure, now: Micros, in_flight: u32) {
    if in_flight == 0 && now > pressure.updated_at() + MIN_STEP_DOWN_INTERVAL {
        pressure.clear();
    }
}

impl Gateway {
    /// Updates the alert and the concurrency limit by the pressure.
    pub(crate) fn update_alert(&mut self, actions: &mut Vec<Action>) {
        clear_stale_pressure(&mut self.pressure, self.now, self.in_flight);
        let pressure = self.pressure.value();
        if let Some(previous) = self.load_shedding.update(self.now, pressure) {
            let step = self.load_shedding.step();
            let limit = self.max_in_flight();
            let in_flight = self.in_flight;
            actions.push(Action::Log(format!(
                "load shedding: step {previous} to {step}, pressure {pressure:.2}, concurrency limit {limit:.0}, in flight {in_flight}"
            )));
        }
        self.concurrency_limit.reduce(self.now, pressure);
    }
}

#[cfg(test)]
mod tests;
