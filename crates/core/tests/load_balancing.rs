//! Choice of endpoints, ejection of endpoints, and the concurrency limit.

use chalkgap_core::*;
use common::harness::{attempts, is_rejected, Harness};
use common::{endpoint, settings, SECOND};

mod common;

#[test]
fn a_draining_endpoint_gets_nothing_new() {
    let mut harness = Harness::with(settings(), 2);
    let drained = Endpoint { availability: Availability::Draining, ..endpoint(0) };
    harness.handle(Event::Endpoints(EndpointUpdate::Delta, vec![drained]));
    for n in 0..20 {
        let (_, actions) = harness.request(0, 0, n, 1.0);
        assert!(attempts(&actions).iter().all(|b| *b == BackendId(1)));
    }
    harness.handle(Event::Endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint { availability: Availability::Gone, ..endpoint(1) }],
    ));
    let (_, queued) = harness.request(0, 0, 1, 1.0);
    assert!(attempts(&queued).is_empty());
    let later = harness.advance(SECOND);
    assert!(attempts(&later).is_empty() && is_rejected(&later), "queued, then rejected in time");
}

/// A gateway whose process stalled handles the events that arrived during the stall before it checks for unresponsive
/// endpoints, so that it does not blame its own pause on them.
#[test]
fn the_end_of_a_stall_ejects_no_endpoint() {
    let mut harness = Harness::with(settings(), 1);
    let (id, actions) = harness.request(0, 0, 1, 1.0);
    assert_eq!(attempts(&actions).len(), 1);
    harness.now += 2 * SECOND;
    let woken = harness.handle(Event::ClientCancelled(RequestId(99)));
    assert!(!woken
        .iter()
        .any(|a| matches!(a, Action::Cancel { .. } | Action::Reject { .. } | Action::StartAttempt { .. })));
    harness.finish(id, 0, BackendId(0), Outcome::Ok);
    harness.advance(100_000);
    assert_eq!(
        attempts(&harness.request(0, 0, 2, 1.0).1).len(),
        1,
        "the endpoint had answered, so it is not ejected"
    );
}

/// An endpoint that does not respond to one class of requests still gets those of the other classes.
#[test]
fn silence_to_one_class_ejects_an_endpoint_for_that_class_alone() {
    let mut harness = Harness::with(settings(), 2);
    for n in 0..40 {
        let (id, actions) = harness.request(2, 0, 100 + n, 1.0); // backend 0 never answers this class
        let silent = attempts(&actions) == [BackendId(0)];
        for backend in attempts(&actions).into_iter().filter(|_| !silent) {
            harness.finish(id, 0, backend, Outcome::Ok);
        }
        harness.advance(400_000);
        if silent {
            harness.finish(id, 0, BackendId(0), Outcome::TimedOut);
        }
        let (id, actions) = harness.request(0, 0, n, 1.0);
        for backend in attempts(&actions) {
            harness.finish(id, 0, backend, Outcome::Ok);
        }
    }
    let mut not_idempotent = [0, 0];
    let mut idempotent = [0, 0];
    for n in 0..20 {
        for (class, count) in [(2, &mut not_idempotent), (0, &mut idempotent)] {
            let (id, actions) = harness.request(class, 0, n, 1.0);
            for backend in attempts(&actions) {
                count[backend.0 as usize] += 1;
                if class == 0 || backend.0 == 1 {
                    harness.finish(id, 0, backend, Outcome::Ok);
                }
            }
        }
    }
    assert!(not_idempotent[0] <= 1 && not_idempotent[1] >= 19, "{not_idempotent:?}");
    assert!(idempotent[0] >= 3, "{idempotent:?}");
}

#[test]
fn the_endpoints_that_are_left_do_not_inherit_the_load_of_the_failed_ones() {
    let in_flight = |left: u64| {
        let mut harness = Harness::with(settings(), 12);
        harness.handle(Event::Endpoints(EndpointUpdate::Snapshot, (0..left).map(endpoint).collect()));
        (0..200).map(|n| attempts(&harness.request(0, 0, n, 1.0).1).len()).sum::<usize>()
    };
    assert!(in_flight(12) >= 12);
    let at_six = in_flight(6);
    let at_twelve = in_flight(12);
    assert!(at_six * 2 <= at_twelve + 2, "{at_six} in flight at 6 endpoints, {at_twelve} at 12");
}

/// The concurrency limit starts below the concurrency that uses all cores of an endpoint, and grows while latencies
/// are low.
#[test]
fn a_fleet_starts_with_few_attempts_at_an_endpoint_and_finds_more_by_latency() {
    let mut harness = Harness::with(settings(), 12);
    let sent = |actions: Vec<Action>| {
        actions.into_iter().filter_map(|a| match a {
            Action::StartAttempt { id, backend, .. } => Some((id, backend)),
            _ => None,
        })
    };
    let fill = |harness: &mut Harness, open: &mut Vec<(RequestId, BackendId)>| {
        (0..60).for_each(|n| open.extend(sent(harness.request(0, 0, n, 1.0).1)));
    };
    let mut open = Vec::new();
    fill(&mut harness, &mut open);
    let first = open.len();
    assert_eq!(first, 20, "the share of one of three gateways at 12 backends");
    for _ in 0..60 {
        harness.advance(60_000);
        for (id, backend) in std::mem::take(&mut open) {
            open.extend(sent(harness.finish_after(id, 0, backend, Outcome::Ok, 60_000)));
        }
        fill(&mut harness, &mut open);
    }
    assert!(
        open.len() > first * 3 / 2,
        "{first} in flight at first, {} after a series of fast answers",
        open.len()
    );
}

/// Which requests a full queue rejects is drawn by customer and epoch, not by order of arrival, so that a retry of a
/// rejected request gets the same answer at every gateway.
#[test]
fn a_full_queue_rejects_the_same_customers() {
    let mut harness = Harness::with(settings(), 12);
    let rejections: Vec<bool> = (0..80).map(|n| is_rejected(&harness.request(0, 0, n, 1.0).1)).collect();
    let first_rejected = rejections.iter().position(|rejected| *rejected).expect("the queue is full");
    let last_accepted =
        rejections.iter().rposition(|rejected| !*rejected).expect("some requests are accepted");
    assert!(first_rejected < last_accepted, "some customers are rejected before the queue is full");
    assert!(is_rejected(&harness.request(0, 0, first_rejected as u64, 1.0).1), "a retry is rejected again");
}
