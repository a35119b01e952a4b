//! Load shedding: the steps of an alert, and which customers each step rejects.
//!
//! A customer is *green* if it has sent no request for a while, *red* if its quota is used up, and otherwise *amber*.
//! Customers of the highest priority are *preferred*. Requests of red customers are rejected at every step, including
//! 0, but by the quota and not by this module (see [`admission`](crate::admission)).
//!
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
//! If all plans have the same priority, no customer is preferred and step 4 is the same as step 3.

use crate::concurrency::{Pressure, ALERT_PRESSURE, CLEAR_PRESSURE};
use crate::interface::{Action, CustomerId, Micros, Plan};
use crate::random::unit_hash;
use crate::Gateway;

/// Share of amber customers whose requests pass at steps 0 to 3; from [`FIRST_STEP_FOR_GREEN`] on, also of green ones.
const PASSING_SHARES: [f64; 4] = [1.0, 0.9, 0.7, 0.5];
/// First step at which green customers are shed as well.
const FIRST_STEP_FOR_GREEN: usize = 2;
/// Last step: only preferred customers pass.
const LAST_STEP: usize = 4;
/// Minimum time at a step before the next step up, so that the effect of the step is visible.
const MIN_STEP_UP_INTERVAL: Micros = 1_500_000;
/// Minimum time at a step before the next step down.
const MIN_STEP_DOWN_INTERVAL: Micros = 2_000_000;
/// Time for which the same customers are shed; longer than clients keep retrying.
pub const SHEDDING_EPOCH: Micros = 10_000_000;
/// Rejection rate above which the alert goes up a step, provided that the pressure is above [`CLEAR_PRESSURE`].
const ALERT_REJECTION_RATE: f64 = 0.05;
/// Weight of one request in the rejection rate.
const REJECTION_SAMPLE_WEIGHT: f64 = 0.05;

/// The current step of the alert and the rejection rate.
#[derive(Default)]
pub struct LoadShedding {
    step: usize,
    step_since: Micros,
    /// Recent share of requests within quota that were rejected for lack of capacity.
    rejection_rate: f64,
}

/// Returns a pseudo-random number from 0 to 1 for a customer, the same at all gateways and for a whole epoch.
///
/// A customer that is shed therefore stays shed for the epoch. A draw for each request would admit some retries of
/// rejected clients too late to be useful, and these would cause further rejections.
pub fn shedding_draw(customer: CustomerId, now: Micros) -> f64 {
    let epoch = now / SHEDDING_EPOCH;
    unit_hash(customer.0 ^ epoch << 33)
}

impl LoadShedding {
    /// Returns the current step; 0 without an alert.
    pub fn step(&self) -> usize {
        self.step
    }

    /// Returns whether a customer's requests pass the current step.
    ///
    /// `plan` is the customer's plan and `plans` are all plans; `is_green` is true if the customer is green.
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

    /// Records the rejection of a request within quota for lack of capacity.
    pub fn record_rejection(&mut self) {
        self.rejection_rate += REJECTION_SAMPLE_WEIGHT * (1.0 - self.rejection_rate);
    }

    /// Records the admission of a request.
    pub fn record_admission(&mut self) {
        self.rejection_rate -= REJECTION_SAMPLE_WEIGHT * self.rejection_rate;
    }

    /// Moves the alert a step up or down according to the pressure and the rejection rate. Returns the previous step if
    /// the step changed.
    ///
    /// Rejections alone do not keep up an alert, because load shedding causes rejections even while the fleet is idle.
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

/// Clears a pressure that is no longer updated. A gateway that rejects all requests gets no answers, and the last
/// answers must not keep its alert up indefinitely.
fn clear_stale_pressure(pressure: &mut Pressure, now: Micros, in_flight: u32) {
    if in_flight == 0 && now > pressure.updated_at() + MIN_STEP_DOWN_INTERVAL {
        pressure.clear();
    }
}

impl Gateway {
    /// Updates the alert and the concurrency limit according to the pressure.
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
