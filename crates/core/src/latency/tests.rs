//! Latency baselines.

use super::*;

const SECOND: Micros = 1_000_000;
const OBJECTIVE: f64 = 1e6;

fn baseline(answers: u64, elapsed: f64) -> LatencyBaseline {
    let mut baseline = LatencyBaseline::new(SECOND, 0);
    (1..=answers).for_each(|n| baseline.record(n * 10_000, elapsed, OBJECTIVE, FleetSize::Small));
    baseline
}

#[test]
fn the_baseline_follows_the_answers_down_at_once_and_up_slowly() {
    let mut baseline = baseline(40, 100_000.0);
    assert_eq!(baseline.unloaded, 100_000.0);
    (1..=100).for_each(|n| baseline.record(SECOND + n * 10_000, 400_000.0, OBJECTIVE, FleetSize::Small));
    assert!(baseline.recent > 350_000.0, "{}", baseline.recent);
    assert!(baseline.unloaded < 103_000.0, "{}: more than 1% per second", baseline.unloaded);
    (1..=100).for_each(|n| baseline.record(2 * SECOND + n * 10_000, 50_000.0, OBJECTIVE, FleetSize::Small));
    assert!(baseline.unloaded < 60_000.0, "{}", baseline.unloaded);
}

#[test]
fn slow_first_answers_raise_the_baseline_only_to_its_initial_maximum() {
    assert_eq!(baseline(10, 900_000.0).unloaded, OBJECTIVE * MAX_INITIAL_BASELINE);
}

#[test]
fn an_answer_of_three_and_a_half_baselines_is_an_overload() {
    let baseline = baseline(40, 100_000.0);
    assert_eq!(baseline.pressure_of(350_000.0, OBJECTIVE, FleetSize::Small), 1.0);
    assert!(baseline.pressure_of(350_000.0, OBJECTIVE, FleetSize::Large) > 1.3);
    assert_eq!(baseline.pressure_of(120_000.0, 200_000.0, FleetSize::Small), 1.0, "60% of the objective");
}
