//! The pressure and the concurrency limit.

use super::*;

const SECOND: Micros = 1_000_000;

#[test]
fn the_pressure_follows_the_answers() {
    let mut pressure = Pressure::default();
    for n in 1..=100 {
        pressure.record(SECOND + n * 100_000, 2.0, FleetSize::Small);
    }
    assert!((1.9..=2.0).contains(&pressure.value()), "{}", pressure.value());
    pressure.clear();
    assert_eq!(pressure.value(), 0.0);
}

#[test]
fn the_pressure_sample_of_one_answer_is_limited() {
    let mut pressure = Pressure::default();
    pressure.record(SECOND, 0.0, FleetSize::Small);
    pressure.record(SECOND, 1_000.0, FleetSize::Small);
    assert_eq!(pressure.value(), MAX_SAMPLE * (1.0 - (1.0 - min_sample_weight(FleetSize::Small))));
}

#[test]
fn a_gateway_gets_an_equal_share_of_the_limit_and_at_least_one_attempt() {
    let limit = ConcurrencyLimit::default();
    assert_eq!(limit.of_gateway(12, 3), 20.0);
    assert_eq!(limit.of_gateway(4, 300), 1.0);
    assert_eq!(limit.of_gateway(0, 1), 1.0);
}

#[test]
fn the_limit_grows_only_while_it_is_used_and_the_pressure_is_low() {
    let grown = |pressure, in_flight| {
        let mut limit = ConcurrencyLimit::default();
        limit.grow(pressure, in_flight, 20.0);
        limit.of_gateway(12, 3) > 20.0
    };
    assert!(grown(0.3, 15));
    assert!(!grown(0.3, 14), "exactly 70% of the limit is in use, not more");
    assert!(!grown(0.5, 20));
}

#[test]
fn an_alert_reduces_the_limit_once_per_time_constant_and_the_limit_recovers() {
    let mut limit = ConcurrencyLimit::default();
    limit.reduce(2 * SECOND, 0.9);
    assert_eq!(limit.of_gateway(12, 3), 20.0, "a pressure of 0.9 is below the alert pressure");
    limit.reduce(2 * SECOND, 1.1);
    limit.reduce(2 * SECOND + SECOND / 2, 1.1);
    assert_eq!(limit.of_gateway(12, 3), 17.0);
    (2..100).for_each(|n| limit.reduce(2 * n * SECOND, 1.1));
    let minimum = limit.of_gateway(12, 3);
    assert!((3.3..3.4).contains(&minimum), "{minimum} is not a sixth of the initial limit");
    limit.grow(0.7, 20, minimum);
    assert!(limit.of_gateway(12, 3) > minimum, "a reduced limit grows below the clear pressure");
}
