//! What a whole fleet sends to endpoints that have just started.

use chalkgap_core::*;
use common::harness::{attempts, Harness};
use common::{listed, settings, S, T0};

mod common;

/// One request for each gateway would be 150 at once at an endpoint that has just started.
#[test]
fn a_warming_endpoint_is_not_flooded_by_a_hundred_and_fifty_gateways() {
    let (mut in_window, mut ever) = (0, 0);
    for me in 0..150 {
        let mut harness = Harness::with(Settings { self_id: GatewayId(me), gateways: 150, ..settings() }, 1);
        harness.handle(Event::Endpoints(
            EndpointUpdate::Snapshot,
            vec![Endpoint { started_at: T0, ..listed(0) }],
        ));
        for n in 0..20 {
            in_window += attempts(&harness.request(0, 0, n, 1.0).1).len();
        }
        for n in 0..200 {
            ever +=
                attempts(&harness.advance(100_000)).len() + attempts(&harness.request(0, 0, n, 1.0).1).len();
        }
    }
    assert!(in_window <= 6, "{in_window} sent at once to an endpoint that has just started");
    assert!(ever > 100, "{ever}: it is warm in the end, and used");
}

/// An endpoint that has just started takes part at once, as far as it can: a fleet in turnover must not leave a third of its
/// endpoints idle.
#[test]
fn a_warming_endpoint_takes_part_as_far_as_it_can() {
    let mut cold = 0;
    for me in 0..150 {
        let mut harness = Harness::with(Settings { self_id: GatewayId(me), gateways: 150, ..settings() }, 40);
        harness.advance(S);
        let started = harness.now;
        harness.handle(Event::Endpoints(
            EndpointUpdate::Delta,
            vec![Endpoint { started_at: started, ..listed(39) }],
        ));
        for n in 0..12u64 {
            // Held for a reply that does not come, then sent by what is known here.
            let (id, actions) = harness.request_over(0, 0, 1000 * u64::from(me) + n, 1.0, 1.0);
            let mut all = actions;
            all.extend(harness.advance(250_000));
            for backend in attempts(&all) {
                cold += usize::from(backend == BackendId(39));
                harness.finish(id, 0, backend, Outcome::Ok);
            }
        }
    }
    // 600 requests a second over 40 backends, 15 each; it can do 0.2 of that and, 3 s later, 0.44.
    assert!((4..=27).contains(&cold), "{cold} of some 14 in 3 s");
}
