//! Latency baselines: how long answers of a request class take, lately and on endpoints that are not loaded.
//!
//! The baseline without load is what an overload is measured against (see [`concurrency`](crate::concurrency)).

use crate::decay::to_seconds;
use crate::interface::Micros;
use crate::FleetSize;

/// The share of a latency objective that answers are expected to take before the first of them came.
const INITIAL_SHARE_OF_OBJECTIVE: f64 = 0.15;
/// Answers in the recent mean at the most.
const RECENT_ANSWERS: f64 = 20.0;
/// Growth of the baseline without load by itself, as a share a second: half a minute of overload must not become the
/// baseline.
const BASELINE_GROWTH_PER_SECOND: f64 = 0.01;
/// The share of the latency objective that the baseline may reach while few answers have come.
const MAX_INITIAL_BASELINE: f64 = 0.3;
/// An answer that takes this multiple of the baseline exerts a pressure of one.
const OVERLOAD_MULTIPLE: f64 = 3.5;
/// An answer that takes this share of the latency objective does so as well: endpoints that are driven harder lose
/// throughput before objectives are missed.
const OVERLOAD_SHARE_OF_OBJECTIVE: f64 = 0.6;
/// Factor on the multiple in a large fleet: each gateway sees few answers, and endpoints tip over before the mean shows it.
const LARGE_FLEET_OVERLOAD_FACTOR: f64 = 0.75;

/// Answers in the mean that the baseline is taken from. The minimum of a mean lies the further below the truth the
/// fewer answers it has, and gateways of a large fleet see few.
fn baseline_answers(fleet_size: FleetSize) -> f64 {
    match fleet_size {
        FleetSize::Small => 20.0,
        FleetSize::Large => 200.0,
    }
}

/// How long the answers of one request class take, in microseconds.
#[derive(Default)]
pub struct LatencyBaseline {
    /// The mean of the latest answers.
    pub recent: f64,
    /// What answers take on endpoints that are not loaded.
    pub unloaded: f64,
    mean: f64,
    answers: f64,
    updated_at: Micros,
}

impl LatencyBaseline {
    /// A baseline guessed from the class's latency objective.
    pub fn new(latency_objective: Micros, now: Micros) -> Self {
        let guess = latency_objective as f64 * INITIAL_SHARE_OF_OBJECTIVE;
        LatencyBaseline { recent: guess, unloaded: guess, updated_at: now, ..LatencyBaseline::default() }
    }

    /// Adds an answer that took `elapsed`; `objective` is the class's latency objective. The baseline falls at once
    /// and rises slowly.
    pub fn record(&mut self, now: Micros, elapsed: f64, objective: f64, fleet_size: FleetSize) {
        self.answers += 1.0;
        self.recent += (elapsed - self.recent) / self.answers.min(RECENT_ANSWERS);
        let growth = 1.0 + to_seconds(now - self.updated_at) * BASELINE_GROWTH_PER_SECOND;
        let baseline_answers = baseline_answers(fleet_size);
        self.mean += (elapsed - self.mean) / self.answers.min(baseline_answers);
        self.unloaded = if self.answers <= baseline_answers {
            self.mean.min(objective * MAX_INITIAL_BASELINE)
        } else {
            self.mean.min(self.unloaded * growth)
        };
        self.updated_at = now;
    }

    /// The pressure that an answer exerts: 1 where the endpoints are as loaded as they may be.
    pub fn pressure_of(&self, elapsed: f64, objective: f64, fleet_size: FleetSize) -> f64 {
        let factor = match fleet_size {
            FleetSize::Small => 1.0,
            FleetSize::Large => LARGE_FLEET_OVERLOAD_FACTOR,
        };
        let overloaded =
            (self.unloaded * OVERLOAD_MULTIPLE * factor).min(objective * OVERLOAD_SHARE_OF_OBJECTIVE);
        elapsed / overloaded.max(1.0)
    }
}

#[cfg(test)]
mod tests;
