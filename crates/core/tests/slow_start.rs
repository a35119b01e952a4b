//! Attempts that a whole fleet sends to endpoints that have just started.

use chalkgap_core::*;
use common::harness::{attempts, Harness};
use common::{endpoint, settings, SECOND, START};

mod common;

/// One attempt from each gateway would be 150 at once at an endpoint that has just started.
#[test]
fn a_warming_endpoint_is_not_flooded_by_a_hundred_and_fifty_gateways() {
    let mut in_window = 0;
    let mut later = 0;
    for number in 0..150 {
        let mut harness =
            Harness::with(Settings { self_id: GatewayId(number), gateways: 150, ..settings() }, 1);
        harness.handle(Event::Endpoints(
            EndpointUpdate::Snapshot,
            vec![Endpoint { started_at: START, ..endpoint(0) }],
        ));
        for n in 0..20 {
            in_window += attempts(&harness.request(0, 0, n, 1.0).1).len();
        }
        for n in 0..200 {
            later +=
                attempts(&harness.advance(100_000)).len() + attempts(&harness.request(0, 0, n, 1.0).1).len();
        }
    }
    assert!(in_window <= 6, "{in_window} attempts at once at an endpoint that has just started");
    assert!(later > 100, "only {later} attempts until the endpoint is warm");
}

/// An endpoint that has just started gets attempts at once, up to its capacity: a fleet whose endpoints are being
/// replaced must not leave a third of them idle.
#[test]
fn a_warming_endpoint_takes_part_as_far_as_it_can() {
    let mut to_warming = 0;
    for number in 0..150 {
        let mut harness =
            Harness::with(Settings { self_id: GatewayId(number), gateways: 150, ..settings() }, 40);
        harness.advance(SECOND);
        let started = harness.now;
        harness.handle(Event::Endpoints(
            EndpointUpdate::Delta,
            vec![Endpoint { started_at: started, ..endpoint(39) }],
        ));
        for n in 0..12u64 {
            // Held for an owner's reply that does not come, then decided by what this gateway knows.
            let (id, mut actions) = harness.request_over(0, 0, 1000 * u64::from(number) + n, 1.0, 1.0);
            actions.extend(harness.advance(250_000));
            for backend in attempts(&actions) {
                to_warming += usize::from(backend == BackendId(39));
                harness.finish(id, 0, backend, Outcome::Ok);
            }
        }
    }
    // 600 requests a second over 40 backends are 15 each; the endpoint can serve 0.2 of that and, 3 s later, 0.44.
    assert!((4..=27).contains(&to_warming), "{to_warming} attempts in 3 s; the endpoint can serve about 14");
}
