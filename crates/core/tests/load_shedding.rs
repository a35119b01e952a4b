//! Load-shedding alerts: when they are raised, when they end, and which customers they reject.

use chalkgap_core::*;
use common::harness::{attempts, is_rejected, Harness};
use common::{plan, settings, SECOND};

mod common;

#[test]
fn an_alert_rises_on_latency_and_ends() {
    let mut harness = Harness::with(settings(), 4);
    let mut log = Vec::new();
    for step in 0..800u64 {
        let slow = (100..300).contains(&step);
        let (id, actions) = harness.request(0, 0, step, 1.0);
        if let Some(backend) = attempts(&actions).first() {
            let event = Event::AttemptFinished {
                id,
                attempt: 0,
                backend: *backend,
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
            if let Action::Log(line) = a {
                Some((step, line))
            } else {
                None
            }
        }));
    }
    let raised = log.iter().find(|(_, line)| line.contains("step 0 to 1")).expect("the alert is raised");
    assert!((100..300).contains(&raised.0));
    let ended = log.iter().rev().find(|(_, line)| line.contains("step 1 to 0")).expect("the alert ends");
    assert!(ended.0 > 300);
}

/// A gateway that rejects every request receives no answers, and its latest latencies must not count for ever: with
/// nothing in flight, an alert ends unless new answers renew it.
#[test]
fn an_alert_that_no_answer_renews_ends() {
    let mut settings = settings();
    // No customer has the preferred plan, so that the last step rejects every request.
    settings.plans = vec![plan(1e6, 1e6), Plan { priority_factor: 2.0, ..plan(1e6, 1e6) }];
    let mut harness = Harness::with(settings, 4);
    let mut last_admitted = harness.now;
    let mut longest_pause = 0;
    let mut reached_last_step = false;
    for step in 0..900u64 {
        // Admitted requests take 0.1 s, then 0.9 s, then 0.1 s again.
        let elapsed = if (40..300).contains(&step) { 900_000 } else { 100_000 };
        let (id, actions) = harness.request(0, 0, step % 40, 1.0);
        for backend in attempts(&actions) {
            last_admitted = harness.now;
            harness.finish_after(id, 0, backend, Outcome::Ok, elapsed);
        }
        longest_pause = longest_pause.max(harness.now - last_admitted);
        let actions = harness.advance(50_000);
        reached_last_step |=
            actions.iter().any(|a| matches!(a, Action::Log(line) if line.contains("step 3 to 4")));
    }
    assert!(reached_last_step, "the alert never reached step 4");
    assert!(longest_pause <= 6 * SECOND, "no request was admitted for {longest_pause} us");
    assert!(harness.now - last_admitted < SECOND, "requests are admitted again at the end");
}

/// All gateways shed the same customers during an epoch, so that a rejected client's retry gets the same answer
/// anywhere.
#[test]
fn load_shedding_rejects_the_same_customers_at_all_gateways() {
    let rejections = |number: u16| {
        let mut settings = Settings { self_id: GatewayId(number), ..settings() };
        settings.plans = vec![plan(1e6, 1e6)];
        let mut harness = Harness::with(settings, 4);
        for step in 0..400u64 {
            let (id, actions) = harness.request(0, 0, step % 40, 1.0);
            for backend in attempts(&actions) {
                harness.handle(Event::AttemptFinished {
                    id,
                    attempt: 0,
                    backend,
                    outcome: Outcome::Ok,
                    answered: true,
                    elapsed: if step < 40 { 100_000 } else { 900_000 },
                    metered: None,
                    charged_units: None,
                    report: None,
                });
            }
            harness.advance(20_000);
        }
        (0..40).map(|n| is_rejected(&harness.request(0, 0, n, 1.0).1)).collect::<Vec<_>>()
    };
    let at_first = rejections(0);
    assert_eq!(at_first, rejections(1));
    assert!(
        at_first.contains(&true) && at_first.contains(&false),
        "step 3 admits half of the amber customers"
    );
}

/// Gateways of a large fleet choose endpoints without knowing each other's requests, and overload some endpoints
/// before the mean latency of the fleet shows it. They therefore raise an alert at latencies that the gateways of a
/// small fleet, which know each other's requests, take for ordinary load.
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
                    elapsed: if step < 300 { 100_000 } else { 300_000 }, // the baseline is known from step 200
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
    assert!(!alerted(3), "a small fleet raised an alert at three times the baseline");
    assert!(alerted(60));
}

/// The latency baseline must not be the minimum of means over few answers: with work that varies, that minimum is a
/// third to two thirds of the true mean, and gateways would raise alerts without any overload.
#[test]
fn work_that_varies_raises_no_alert_in_a_large_fleet() {
    for gateway in 0..20 {
        let mut harness =
            Harness::with(Settings { gateways: 300, self_id: GatewayId(gateway), ..settings() }, 200);
        let mut seed = u64::from(gateway);
        let mut elapsed = 0.0;
        let mut draw = || {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (seed >> 11) as f64 / (1u64 << 53) as f64
        };
        for step in 0..5_000u64 {
            let (id, actions) = harness.request_over(0, 0, step, 1.0, 1.0);
            // The mean is 140 ms. Three samples in a row are alike, as one answer goes into several messages.
            if step % 3 == 0 {
                let work = if draw() < 0.125 { 5.0 } else { 1.0 };
                elapsed = 20_000.0 - 80_000.0 * work * (1.0 - draw()).ln();
            }
            if let Some(backend) = attempts(&actions).first() {
                harness.finish_after(id, 0, *backend, Outcome::Ok, elapsed as Micros);
            }
            let log = if step % 4 == 0 { harness.advance(20_000) } else { Vec::new() };
            let alert = log.iter().find(|a| matches!(a, Action::Log(_)));
            assert!(alert.is_none(), "gateway {gateway}, answer {step}: {alert:?}");
        }
    }
}
