//! The steps of an alert, and which customers they reject.

use super::*;

const SECOND: Micros = 1_000_000;

fn plan(priority_factor: f64) -> Plan {
    Plan {
        quota_rate: 1.0,
        quota_burst: 1.0,
        max_in_flight: 0,
        hard_limit_rate: 0.0,
        hard_limit_burst: 0.0,
        hard_limit_slack: 0.0,
        priority_factor,
        over_quota_weight: 0.0,
        over_quota_penalty: 1.0,
    }
}

/// Returns the share of 1000 customers whose requests pass a step.
fn passing_share(step: usize, plan: &Plan, plans: &[Plan], is_green: bool) -> f64 {
    let alert = LoadShedding { step, ..LoadShedding::default() };
    let passes = |n: &u64| alert.passes(0, CustomerId(*n), plan, plans, is_green);
    (0..1_000).filter(passes).count() as f64 / 1_000.0
}

#[test]
fn each_step_passes_the_documented_share_of_customers() {
    let plans = [plan(0.5), plan(1.0)];
    let (ordinary, preferred) = (&plans[0], &plans[1]);
    for (step, green, amber) in [(0, 1.0, 1.0), (1, 1.0, 0.9), (2, 0.7, 0.7), (3, 0.5, 0.5), (4, 0.0, 0.0)] {
        assert!((passing_share(step, ordinary, &plans, true) - green).abs() < 0.05, "green at step {step}");
        assert!((passing_share(step, ordinary, &plans, false) - amber).abs() < 0.05, "amber at step {step}");
        assert_eq!(passing_share(step, preferred, &plans, false), 1.0, "preferred at step {step}");
    }
}

#[test]
fn without_priorities_no_customer_is_preferred_and_step_4_is_like_step_3() {
    let plans = [plan(1.0), plan(1.0)];
    let last = passing_share(4, &plans[0], &plans, false);
    assert_eq!(last, passing_share(3, &plans[0], &plans, false));
    assert!((last - 0.5).abs() < 0.05);
}

#[test]
fn the_same_customers_are_rejected_for_an_epoch() {
    let draws = |now| (0..50).map(|n| shedding_draw(CustomerId(n), now)).collect::<Vec<_>>();
    assert_eq!(draws(SHEDDING_EPOCH), draws(2 * SHEDDING_EPOCH - 1));
    assert_ne!(draws(SHEDDING_EPOCH), draws(2 * SHEDDING_EPOCH));
}

#[test]
fn steps_are_held_before_the_next_one() {
    let mut alert = LoadShedding::default();
    assert_eq!(alert.update(10 * SECOND, 1.5), Some(0));
    assert_eq!(alert.update(11 * SECOND, 1.5), None);
    assert_eq!(alert.update(11 * SECOND + 500_001, 1.5), Some(1));
    assert_eq!(alert.update(15 * SECOND, 0.9), None, "no change between the clear and the alert pressure");
    assert_eq!(alert.update(15 * SECOND, 0.7), Some(2));
    assert_eq!(alert.step(), 1);
}

#[test]
fn rejections_raise_an_alert_only_while_the_pressure_is_not_low() {
    let rejecting = || {
        let mut alert = LoadShedding::default();
        (0..2).for_each(|_| alert.record_rejection());
        alert
    };
    assert_eq!(rejecting().update(10 * SECOND, 0.8), Some(0));
    assert_eq!(rejecting().update(10 * SECOND, 0.7), None);
    let mut recovered = rejecting();
    (0..20).for_each(|_| recovered.record_admission());
    assert_eq!(recovered.update(10 * SECOND, 0.8), None);
}
