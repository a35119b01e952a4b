//! Latency baselines: the latency of a request class, recently and on unloaded endpoints.
//!
//! An overload is detected by comparison with the unloaded baseline (see [`concurrency`](crate::concurrency)).

use crate::decay::to_seconds;
use crate::interface::Micros;
use crate::FleetSize;

/// Latency that is assumed before the first answer, as a share of the latency objective.
const INITIAL_SHARE_OF_OBJECTIVE: f64 = 0.15;
/// Maximum number of answers in the recent mean.
const RECENT_ANSWERS: f64 = 20.0;
/// Maximum growth of the unloaded baseline per second, as a share of it: half a minute of overload must not become the
/// baseline.
const BASELINE_GROWTH_PER_SECOND: f64 = 0.01;
/// Maximum of the unloaded baseline while few answers have arrived, as a share of the latency objective.
const MAX_INITIAL_BASELINE: f64 = 0.3;
/// Multiple of the unloaded baseline at which the pressure of an answer is 1.
const OVERLOAD_MULTIPLE: f64 = 3.5;
/// Share of the latency objective at which the pressure of an answer is 1 as well: endpoints under a higher load lose
/// throughput before objectives are missed.
const OVERLOAD_SHARE_OF_OBJECTIVE: f64 = 0.6;
/// Factor on [`OVERLOAD_MULTIPLE`] in a large fleet: each gateway sees few answers, and endpoints become overloaded
/// before the mean shows it.
const LARGE_FLEET_OVERLOAD_FACTOR: f64 = 0.75;

/// Returns the number of answers in the mean that the baseline is taken from. The fewer answers a mean has, the further
/// its minimum lies below the true value, and gateways of a large fleet see few answers.
fn baseline_answers(fleet_size: FleetSize) -> f64 {
    match fleet_size {
        FleetSize::Small => 20.0,
        FleetSize::Large => 200.0,
    }
}

/// Latencies of one request class, in microseconds.
#[derive(Default)]
pub struct LatencyBaseline {
    /// Mean of the latest answers.
    pub recent: f64,
    /// Latency on unloaded endpoints.
    pub unloaded: f64,
    mean: f64,
    answers: f64,
    updated_at: Micros,
}

impl LatencyBaseline {
    /// Creates a baseline that is estimated from the class's latency objective.
    pub fn new(latency_objective: Micros, now: Micros) -> Self {
        let guess = latency_objective as f64 * INITIAL_SHARE_OF_OBJECTIVE;
        LatencyBaseline { recent: guess, unloaded: guess, updated_at: now, ..LatencyBaseline::default() }
    }

    /// Adds an answer that took `elapsed`; `objective` is the class's latency objective, both in microseconds. The
    /// baseline falls at once and rises slowly.
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

    /// Returns the pressure of an answer: 1 if the endpoints are at their maximum load.
    pub fn pressure_of(&self, elapsed: f64, objective: f64, fleet_size: FleetSize) -> f64 {
        let factor = match fleet_size {
            FleetSize::Small => 1.0,
            FleetSize::Large => LARGE_FLEET_OVERLOAD_FACTOR,
        };
        let overload_latency =
            (self.unloaded * OVERLOAD_MULTIPLE * factor).min(objective * OVERLOAD_SHARE_OF_OBJECTIVE);
        elapsed / overload_latency.max(1.0)
    }
}

#[cfg(test)]
mod tests;
