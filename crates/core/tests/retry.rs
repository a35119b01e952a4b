//! Retries and hedged requests.

use chalkgap_core::*;
use common::harness::{attempts, cancellations, has_failed, is_rejected, Fleet, Harness};
use common::{endpoint, settings, SECOND};

mod common;

#[test]
fn a_request_that_is_not_idempotent_fails_after_a_timeout_and_is_never_retried() {
    let mut harness = Harness::with(settings(), 4);
    let (id, actions) = harness.request(2, 0, 1, 1.0);
    let backend = attempts(&actions)[0];
    let later = harness.advance(2 * SECOND);
    assert!(attempts(&later).is_empty(), "a request that is not idempotent was hedged");
    let end = harness.finish(id, 0, backend, Outcome::TimedOut);
    assert!(has_failed(&end) && !is_rejected(&end) && attempts(&end).is_empty());
}

#[test]
fn a_request_that_is_not_idempotent_is_retried_on_proof_that_it_never_ran() {
    let mut harness = Harness::with(settings(), 4);
    let (id, actions) = harness.request(2, 0, 1, 1.0);
    let retried = harness.finish(id, 0, attempts(&actions)[0], Outcome::Rejected);
    assert_eq!(attempts(&retried).len(), 1);
    let end = harness.finish(id, 1, attempts(&retried)[0], Outcome::Reset);
    assert!(has_failed(&end) && !is_rejected(&end), "the second attempt may have run");
}

#[test]
fn a_retry_with_an_idempotency_key_stays_in_its_cell_and_window() {
    let mut harness = Harness::with(settings(), 6);
    let (id, actions) = harness.request(1, 0, 1, 1.0);
    let first = attempts(&actions)[0];
    let retried = harness.finish(id, 0, first, Outcome::Error);
    assert_eq!(attempts(&retried).len(), 1);
    assert_eq!(attempts(&retried)[0].0 % 2, first.0 % 2, "the same cell");

    let mut settings = settings();
    settings.classes[1].latency_objective = 4 * SECOND;
    settings.limits.hedging = false;
    settings.limits.cancellation = false;
    let mut harness = Harness::with(settings, 6);
    let (id, actions) = harness.request(1, 0, 1, 1.0);
    harness.advance(2 * SECOND);
    let end = harness.finish(id, 0, attempts(&actions)[0], Outcome::Reset);
    assert!(attempts(&end).is_empty() && has_failed(&end) && !is_rejected(&end), "outside the window");
}

#[test]
fn a_retry_with_an_idempotency_key_stays_in_its_cell_when_the_first_endpoint_is_gone() {
    let mut harness = Harness::with(settings(), 6);
    let (id, actions) = harness.request(1, 0, 1, 1.0);
    let first = attempts(&actions)[0];
    let other_cell: Vec<Endpoint> =
        (0..6).map(endpoint).filter(|endpoint| endpoint.cell != (first.0 % 2) as u16).collect();
    harness.handle(Event::Endpoints(EndpointUpdate::Snapshot, other_cell));
    let end = harness.finish(id, 0, first, Outcome::Reset);
    assert!(
        attempts(&end).is_empty() && has_failed(&end),
        "retried at an endpoint that does not know the key"
    );
}

/// A budget of ten retries at each of hundreds of gateways would allow a retry storm. The budget is therefore for the
/// whole fleet, and each gateway has a share.
#[test]
fn the_retry_budget_is_shared_by_the_fleet() {
    let retries_at_once = |gateways: u16| {
        let mut harness = Harness::with(Settings { gateways, ..settings() }, 4 * u64::from(gateways));
        let ids: Vec<(RequestId, Vec<Action>)> =
            (0..12).map(|n| harness.request_over(0, 0, n, 1.0, 1.0)).collect();
        let mut retries = 0;
        for (id, actions) in ids {
            for backend in attempts(&actions) {
                retries += attempts(&harness.finish(id, 0, backend, Outcome::Rejected)).len();
            }
        }
        retries
    };
    assert_eq!(retries_at_once(3), 10);
    assert!((1..=2).contains(&retries_at_once(150)), "{}", retries_at_once(150));
}

/// The retry of an attempt that failed early costs little of the budget, as the attempt had done little work. The
/// retry of a rejection by the endpoint or of a late failure costs in full, as such retries add to an overload.
#[test]
fn a_retry_costs_what_the_failed_attempt_had_done() {
    let retries = |outcome: Outcome, elapsed: Micros| {
        let mut harness = Harness::with(settings(), 24);
        let ids: Vec<(RequestId, Vec<Action>)> =
            (0..36).map(|n| harness.request_over(0, 0, n, 1.0, 1.0)).collect();
        let sent = ids.into_iter().filter_map(|(id, a)| Some((id, *attempts(&a).first()?)));
        let own = |id: RequestId, a: &Action| matches!(a, Action::StartAttempt { id: of, .. } if *of == id);
        sent.filter(|(id, to)| {
            harness.finish_after(*id, 0, *to, outcome, elapsed).iter().any(|a| own(*id, a))
        })
        .count()
    };
    assert_eq!(retries(Outcome::Reset, SECOND), 10, "late failure");
    assert_eq!(retries(Outcome::Rejected, 1000), 10, "rejected by the endpoint");
    assert!(retries(Outcome::Reset, 1000) > 30, "{}", retries(Outcome::Reset, 1000));
    assert!(retries(Outcome::Reset, 75_000) < 25, "{}", retries(Outcome::Reset, 75_000));
}

/// The timeout that ends the hold of a request stays scheduled after an owner's reply admitted the request. When it
/// fires, the attempt is only 0.1 s old and must not be cancelled as unresponsive.
#[test]
fn the_timeout_of_a_held_request_cancels_no_attempt() {
    let mut fleet = Fleet::without_hedging(60, 4);
    let (at, _, actions) = fleet.non_owner();
    let rest = fleet.deliver(at, actions);
    assert!(
        rest.iter().any(|(n, a)| *n == at && matches!(a, Action::StartAttempt { .. })),
        "the reply of an owner admits the request"
    );
    assert_eq!(cancellations(&fleet.gateways[at].advance(300_000)), 0);
    // The timeout of an earlier attempt cancels no later one, in a fleet of any size.
    let mut settings = settings();
    settings.limits.hedging = false;
    let mut harness = Harness::with(settings, 4);
    for n in 0..60 {
        let (id, actions) = harness.request(0, 0, n, 1.0); // fills the retry budget
        harness.finish(id, 0, attempts(&actions)[0], Outcome::Ok);
        harness.advance(20_000);
    }
    let (id, actions) = harness.request(0, 0, 1, 1.0);
    harness.advance(200_000);
    assert_eq!(attempts(&harness.finish(id, 0, attempts(&actions)[0], Outcome::Error)).len(), 1);
    assert_eq!(
        cancellations(&harness.advance(240_000)),
        0,
        "cancelled 0.44 s after the first attempt and 0.24 s after the second"
    );
    assert_eq!(cancellations(&harness.advance(160_000)), 1, "the second attempt has its own timeout");
}

/// In a large fleet a gateway gets a response from an endpoint only once in many seconds, so that a slow attempt of
/// its own is no evidence. It cancels the attempt only if peers found the endpoint unresponsive as well.
#[test]
fn a_large_fleet_cancels_a_slow_attempt_only_if_peers_found_the_endpoint_unresponsive() {
    for hung in [false, true] {
        let (_, _, query) = Fleet::without_hedging(60, 1).non_owner();
        let receiver = |a: &Action| {
            if let Action::SendGossip { to: Some(to), .. } = a {
                Some(usize::from(to.0))
            } else {
                None
            }
        };
        let owners: Vec<usize> = query.iter().filter_map(receiver).collect();
        let mut fleet = Fleet::without_hedging(60, 1);
        for _ in 0..2 {
            for n in (0..30).filter(|n| !owners.contains(n)) {
                let (_, actions) = fleet.gateways[n].request_over(0, 0, 5, 1.0, 60.0);
                for (at, action) in fleet.deliver(n, actions) {
                    if let (Action::StartAttempt { id, backend, .. }, false) = (action, hung) {
                        let more = fleet.gateways[at].finish(id, 0, backend, Outcome::Ok);
                        fleet.deliver(at, more);
                    }
                }
            }
            for n in 0..60 {
                let actions = fleet.gateways[n].advance(400_000);
                fleet.deliver(n, actions);
            }
        }
        // The owner has sent no attempt yet and has no samples of its own.
        let owner = owners[0];
        let (_, mut actions) = fleet.gateways[owner].request_over(0, 0, 5, 1.0, 60.0);
        actions.extend(fleet.gateways[owner].advance(400_000));
        assert_eq!(attempts(&actions).len(), 1);
        assert_eq!(cancellations(&actions) > 0, hung, "hung: {hung}");
    }
}

/// The client has a part of a streamed answer. An attempt that fails after that must not be followed by another answer.
#[test]
fn a_streamed_answer_that_fails_is_not_retried() {
    let mut settings = settings();
    settings.classes[0].streaming = true;
    let mut harness = Harness::with(settings, 4);
    let (id, actions) = harness.request(0, 0, 1, 1.0);
    harness.handle(Event::FirstByte { id, attempt: 0 });
    let end = harness.finish(id, 0, attempts(&actions)[0], Outcome::Reset);
    assert!(attempts(&end).is_empty(), "retried after a part of the answer");
    assert!(is_rejected(&end) || has_failed(&end), "the client gets no end");
}

/// A silent attempt is cancelled to make room for a retry. The last one that a request may have must not be: its answer may still
/// come.
#[test]
fn the_last_attempt_is_not_cancelled_for_its_silence() {
    for (max_attempts, cancelled) in [(1, 0), (2, 1)] {
        let mut settings = settings();
        settings.limits.hedging = false;
        settings.limits.max_attempts = max_attempts;
        let mut harness = Harness::with(settings, 4);
        let (id, actions) = harness.request(0, 0, 1, 1.0);
        assert_eq!(attempts(&actions).len(), 1);
        let silent = harness.advance(900_000);
        assert_eq!(cancellations(&silent), cancelled, "at most {max_attempts} attempts");
        if cancelled == 0 {
            let end = harness.finish(id, 0, attempts(&actions)[0], Outcome::Ok);
            assert!(!is_rejected(&end) && !has_failed(&end));
        }
    }
}
