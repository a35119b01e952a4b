//! Outlier detection: the failure rate of an endpoint for one request class, and its ejection.
//!
//! An endpoint whose recent failure rate passes a threshold is ejected for a while. It is not excluded: load balancing
//! uses it last (see [`load_balancing`](crate::load_balancing)), one attempt at a time, and a success ends the ejection.

use crate::decay::decay_factor;
use crate::interface::Micros;

/// Failure rate of recent answers above which an endpoint is ejected.
const EJECTION_FAILURE_RATE: f64 = 0.25;
/// Failure rate from which an endpoint counts as an outlier in load balancing, ejected or not.
pub const OUTLIER_FAILURE_RATE: f64 = 0.4;
/// Weight of one answer of this gateway's own attempts in the failure rate.
pub const OWN_SAMPLE_WEIGHT: f64 = 0.15;
/// Weight of one answer that a peer reported.
pub const PEER_SAMPLE_WEIGHT: f64 = 0.1;
/// How long the first ejection lasts; each further one in a row lasts twice as long.
const BASE_EJECTION_TIME: Micros = 500_000;
/// Maximum number of times that the ejection time doubles.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// Time constant of the failure rate in seconds, short enough that an ejected endpoint is tried again in time.
const FAILURE_RATE_TIME_CONSTANT: f64 = 4.0;

/// The failure rate and the ejections of an endpoint for one request class, or the reachability of a zone.
#[derive(Clone, Default)]
pub struct OutlierDetector {
    failure_rate: f64,
    updated_at: Micros,
    /// When the latest answer of any kind arrived.
    pub last_answer_at: Micros,
    /// When the ejection ends.
    pub ejected_until: Micros,
    /// Number of ejections without a success in between.
    pub consecutive_ejections: u32,
}

impl OutlierDetector {
    /// Returns the failure rate at `now`, from 0 to 1. It decays while no answers arrive.
    pub fn failure_rate(&self, now: Micros) -> f64 {
        self.failure_rate * decay_factor(self.updated_at, now, FAILURE_RATE_TIME_CONSTANT)
    }

    /// Adds an answer to the failure rate, with a weight from 0 to 1.
    pub fn record(&mut self, now: Micros, failed: bool, weight: f64) {
        let failure_rate = self.failure_rate(now);
        self.failure_rate = failure_rate + weight * (f64::from(u8::from(failed)) - failure_rate);
        self.updated_at = now;
    }

    /// Ejects the endpoint. Each consecutive ejection lasts longer, up to a maximum.
    pub fn eject(&mut self, now: Micros) {
        let doublings = self.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
        self.ejected_until = now + (BASE_EJECTION_TIME << doublings);
        self.consecutive_ejections = self.consecutive_ejections.saturating_add(1);
    }

    /// Starts or ends an ejection by the answer to an attempt of this gateway. Call this before the answer is recorded.
    pub fn update_ejection(&mut self, now: Micros, failed: bool) {
        let sample = if failed { OWN_SAMPLE_WEIGHT } else { 0.0 };
        let is_outlier = self.failure_rate(now) * (1.0 - OWN_SAMPLE_WEIGHT) + sample > EJECTION_FAILURE_RATE;
        if failed && (is_outlier || self.consecutive_ejections > 0) {
            self.eject(now);
        } else if !failed && !is_outlier {
            self.consecutive_ejections = 0;
        }
    }

    /// Returns whether load balancing is to use the endpoint last: it is ejected, or a first attempt after the ejection
    /// is still in flight.
    pub fn is_ejected(&self, now: Micros, attempts_in_flight: u32) -> bool {
        self.consecutive_ejections > 0 && (now < self.ejected_until || attempts_in_flight > 0)
    }
}

#[cfg(test)]
mod tests;
