//! The choice of endpoints, ejection, and the concurrency limit.

use chalkgap_core::*;
use common::harness::{attempts, is_rejected, Harness};
use common::{listed, settings, S};

mod common;

#[test]
fn a_draining_endpoint_gets_nothing_new() {
    let mut harness = Harness::with(settings(), 2);
    let drained = Endpoint { availability: Availability::Draining, ..listed(0) };
    harness.handle(Event::Endpoints(EndpointUpdate::Delta, vec![drained]));
    for n in 0..20 {
        let (_, actions) = harness.request(0, 0, n, 1.0);
        assert!(attempts(&actions).iter().all(|b| *b == BackendId(1)));
    }
    harness.handle(Event::Endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint { availability: Availability::Gone, ..listed(1) }],
    ));
    let (_, held) = harness.request(0, 0, 1, 1.0);
    assert!(attempts(&held).is_empty());
    let later = harness.advance(S);
    assert!(attempts(&later).is_empty() && is_rejected(&later), "queued, then rejected in time");
}

/// A gateway that stood still handles all that came meanwhile before it judges endpoints by its own pause.
#[test]
fn the_end_of_a_stall_ejects_no_endpoint() {
    let mut harness = Harness::with(settings(), 1);
    let (id, actions) = harness.request(0, 0, 1, 1.0);
    assert_eq!(attempts(&actions).len(), 1);
    harness.now += 2 * S;
    let woken = harness.handle(Event::ClientCancelled(RequestId(99)));
    assert!(!woken
        .iter()
        .any(|a| matches!(a, Action::Cancel { .. } | Action::Reject { .. } | Action::StartAttempt { .. })));
    harness.finish(id, 0, BackendId(0), Outcome::Ok);
    harness.advance(100_000);
    assert_eq!(attempts(&harness.request(0, 0, 2, 1.0).1).len(), 1, "its answer had come: it is not ejected");
}

/// An endpoint that is silent to one class goes on serving the others.
#[test]
fn silence_to_one_class_ejects_an_endpoint_for_that_class_alone() {
    let mut harness = Harness::with(settings(), 2);
    for n in 0..40 {
        let (id, actions) = harness.request(2, 0, 100 + n, 1.0); // never answered at backend 0
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
    let (mut once, mut safe) = ([0, 0], [0, 0]);
    for n in 0..20 {
        for (class, count) in [(2, &mut once), (0, &mut safe)] {
            let (id, actions) = harness.request(class, 0, n, 1.0);
            for backend in attempts(&actions) {
                count[backend.0 as usize] += 1;
                if class == 0 || backend.0 == 1 {
                    harness.finish(id, 0, backend, Outcome::Ok);
                }
            }
        }
    }
    assert!(once[0] <= 1 && once[1] >= 19, "{once:?}");
    assert!(safe[0] >= 3, "{safe:?}");
}

#[test]
fn the_endpoints_that_are_left_do_not_inherit_the_load_of_the_failed_ones() {
    let out = |left: u64| {
        let mut harness = Harness::with(settings(), 12);
        harness.handle(Event::Endpoints(EndpointUpdate::Snapshot, (0..left).map(listed).collect()));
        (0..200).map(|n| attempts(&harness.request(0, 0, n, 1.0).1).len()).sum::<usize>()
    };
    assert!(out(12) >= 12);
    assert!(out(6) * 2 <= out(12) + 2, "{} in flight at 6 endpoints, {} at 12", out(6), out(12));
}

/// The concurrency limit starts below what busies all cores of an endpoint, and grows while latencies are low.
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
    assert_eq!(first, 20, "one of three gateways at 12 backends");
    for _ in 0..60 {
        harness.advance(60_000);
        for (id, backend) in std::mem::take(&mut open) {
            open.extend(sent(harness.finish_after(id, 0, backend, Outcome::Ok, 60_000)));
        }
        fill(&mut harness, &mut open);
    }
    assert!(open.len() > first * 3 / 2, "{first}, then {} where answers stay fast", open.len());
}

/// Whom a full queue rejects is drawn by customer and epoch, not by who comes last: a retry of the unlucky gets the same
/// answer at every gateway.
#[test]
fn a_full_queue_rejects_the_same_customers() {
    let mut harness = Harness::with(settings(), 12);
    let verdicts: Vec<bool> = (0..80).map(|n| is_rejected(&harness.request(0, 0, n, 1.0).1)).collect();
    let first_refused = verdicts.iter().position(|r| *r).expect("the queue is full");
    let last_taken = verdicts.iter().rposition(|r| !*r).expect("some are taken");
    assert!(first_refused < last_taken, "the queue is closed to some before it is full");
    assert!(is_rejected(&harness.request(0, 0, first_refused as u64, 1.0).1), "a retry changes nothing");
}
