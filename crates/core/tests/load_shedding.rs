//! Alerts: when they rise and end, and whom they reject.

use chalkgap_core::*;
use common::harness::{attempts, is_rejected, Harness};
use common::{plan, settings, S};

mod common;

#[test]
fn an_alert_rises_on_latency_and_ends() {
    let mut harness = Harness::with(settings(), 4);
    let mut log = Vec::new();
    for step in 0..800u64 {
        let slow = (100..300).contains(&step);
        let (id, actions) = harness.request(0, 0, step, 1.0);
        if let Some(b) = attempts(&actions).first() {
            let event = Event::AttemptFinished {
                id,
                attempt: 0,
                backend: *b,
                outcome: Outcome::Ok,
                answered: true,
                elapsed: if slow { 900_000 } else { 100_000 },
                metered: None,
                charged_units: None,
                report: None,
            };
            harness.handle(event);
        }
        let actions = harness.advance(20_000);
        log.extend(actions.into_iter().filter_map(|a| {
            if let Action::Log(l) = a {
                Some((step, l))
            } else {
                None
            }
        }));
    }
    let up = log.iter().find(|(_, l)| l.contains("step 0 to 1")).expect("an alert");
    assert!((100..300).contains(&up.0));
    let down = log.iter().rev().find(|(_, l)| l.contains("step 1 to 0")).expect("the end of the alert");
    assert!(down.0 > 300);
}

/// A gateway that rejects all that comes has no answers, and the latest ones must not count for ever: with nothing in flight,
/// an alert that no answer renews ends.
#[test]
fn an_alert_that_no_answer_renews_ends() {
    let mut s = settings();
    // No customer is preferred: at the last step nobody passes.
    s.plans = vec![plan(1e6, 1e6), Plan { priority_factor: 2.0, ..plan(1e6, 1e6) }];
    let mut harness = Harness::with(s, 4);
    let mut last_admitted = harness.now;
    let mut longest = 0;
    let mut reached_last_step = false;
    for step in 0..900u64 {
        // Fast, then slow, then fast for whoever is admitted.
        let took = if (40..300).contains(&step) { 900_000 } else { 100_000 };
        let (id, actions) = harness.request(0, 0, step % 40, 1.0);
        for backend in attempts(&actions) {
            last_admitted = harness.now;
            harness.finish_after(id, 0, backend, Outcome::Ok, took);
        }
        longest = longest.max(harness.now - last_admitted);
        let actions = harness.advance(50_000);
        reached_last_step |= actions.iter().any(|a| matches!(a, Action::Log(l) if l.contains("step 3 to 4")));
    }
    assert!(reached_last_step, "nobody passes");
    assert!(longest <= 6 * S, "nobody was admitted for {longest} us");
    assert!(harness.now - last_admitted < S, "and in the end all are");
}

/// A step sheds the same customers for an epoch: a rejected client's retry gets the same answer.
#[test]
fn load_shedding_rejects_the_same_customers_at_all_gateways() {
    let verdicts = |me: u16| {
        let mut s = Settings { self_id: GatewayId(me), ..settings() };
        s.plans = vec![plan(1e6, 1e6)];
        let mut harness = Harness::with(s, 4);
        for step in 0..400u64 {
            let (id, actions) = harness.request(0, 0, step % 40, 1.0);
            for backend in attempts(&actions) {
                let took = if step < 40 { 100_000 } else { 900_000 };
                let (complete, outcome) = (true, Outcome::Ok);
                let (metered, charged, report) = (None, None, None);
                let attempt = 0;
                harness.handle(Event::AttemptFinished {
                    id,
                    attempt,
                    backend,
                    outcome,
                    answered: complete,
                    elapsed: took,
                    metered,
                    charged_units: charged,
                    report,
                });
            }
            harness.advance(20_000);
        }
        (0..40).map(|n| is_rejected(&harness.request(0, 0, n, 1.0).1)).collect::<Vec<_>>()
    };
    let (here, there) = (verdicts(0), verdicts(1));
    assert_eq!(here, there);
    assert!(here.contains(&true) && here.contains(&false), "half of amber passes step 3");
}

/// Requests that are placed without knowledge of the others overload some endpoints before the mean of a fleet shows it: large
/// fleets are alerted at latencies that small ones, which see what they place, take for load.
#[test]
fn a_large_fleet_is_alerted_earlier() {
    let alerted = |gateways: u16| {
        let mut harness = Harness::with(Settings { gateways, ..settings() }, 4 * u64::from(gateways));
        let mut log = Vec::new();
        for step in 0..600u64 {
            let (id, mut actions) = harness.request_over(0, 0, step, 1.0, 1.0); // this gateway is the only owner
            if let Some(backend) = attempts(&actions).first().copied() {
                actions.extend(harness.handle(Event::AttemptFinished {
                    id,
                    attempt: 0,
                    backend,
                    outcome: Outcome::Ok,
                    answered: true,
                    elapsed: if step < 300 { 100_000 } else { 300_000 }, // the baseline is known from 200 on
                    metered: None,
                    charged_units: None,
                    report: None,
                }));
            }
            actions.extend(harness.advance(20_000));
            log.extend(actions.into_iter().filter(|a| matches!(a, Action::Log(_))));
        }
        !log.is_empty()
    };
    assert!(!alerted(3), "three times the baseline is load");
    assert!(alerted(60));
}

/// The baseline must not be the minimum of a mean of few answers: with work that varies it would lie at a third to two thirds
/// of the truth, and gateways would raise alerts on a calm day.
#[test]
fn work_that_varies_raises_no_alert_in_a_large_fleet() {
    for gateway in 0..20 {
        let mut harness =
            Harness::with(Settings { gateways: 300, self_id: GatewayId(gateway), ..settings() }, 200);
        let (mut seed, mut took) = (u64::from(gateway), 0.0);
        let mut draw = || {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (seed >> 11) as f64 / (1u64 << 53) as f64
        };
        for step in 0..5_000u64 {
            let (id, actions) = harness.request_over(0, 0, step, 1.0, 1.0);
            // 140 ms in the mean; one answer goes into several messages, so that three samples are alike.
            if step % 3 == 0 {
                let heavy = if draw() < 0.125 { 5.0 } else { 1.0 };
                took = 20_000.0 - 80_000.0 * heavy * (1.0 - draw()).ln();
            }
            if let Some(backend) = attempts(&actions).first() {
                harness.finish_after(id, 0, *backend, Outcome::Ok, took as Micros);
            }
            let log = if step % 4 == 0 { harness.advance(20_000) } else { Vec::new() };
            let alert = log.iter().find(|a| matches!(a, Action::Log(_)));
            assert!(alert.is_none(), "gateway {gateway}, answer {step}: {alert:?}");
        }
    }
}
