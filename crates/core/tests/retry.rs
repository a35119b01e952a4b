//! Retries and hedged requests.

use chalkgap_core::*;
use common::harness::{attempts, cancellations, has_failed, is_rejected, Fleet, Harness};
use common::{listed, settings, S};

mod common;

#[test]
fn a_request_that_is_not_idempotent_fails_after_a_timeout_and_is_never_retried() {
    let mut harness = Harness::with(settings(), 4);
    let (id, actions) = harness.request(2, 0, 1, 1.0);
    let backend = attempts(&actions)[0];
    let later = harness.advance(2 * S);
    assert!(attempts(&later).is_empty(), "no hedged request where it is not idempotent");
    let end = harness.finish(id, 0, backend, Outcome::TimedOut);
    assert!(has_failed(&end) && !is_rejected(&end) && attempts(&end).is_empty());
}

#[test]
fn a_request_that_is_not_idempotent_is_retried_on_proof_that_it_never_ran() {
    let mut harness = Harness::with(settings(), 4);
    let (id, actions) = harness.request(2, 0, 1, 1.0);
    let again = harness.finish(id, 0, attempts(&actions)[0], Outcome::Rejected);
    assert_eq!(attempts(&again).len(), 1);
    let end = harness.finish(id, 1, attempts(&again)[0], Outcome::Reset);
    assert!(has_failed(&end) && !is_rejected(&end), "the second attempt may have run");
}

#[test]
fn a_retry_with_an_idempotency_key_stays_in_its_cell_and_window() {
    let mut harness = Harness::with(settings(), 6);
    let (id, actions) = harness.request(1, 0, 1, 1.0);
    let first = attempts(&actions)[0];
    let again = harness.finish(id, 0, first, Outcome::Error);
    assert_eq!(attempts(&again).len(), 1);
    assert_eq!(attempts(&again)[0].0 % 2, first.0 % 2, "the same cell");

    let mut s = settings();
    s.classes[1].latency_objective = 4 * S;
    s.limits.hedging = false;
    s.limits.cancellation = false;
    let mut harness = Harness::with(s, 6);
    let (id, actions) = harness.request(1, 0, 1, 1.0);
    harness.advance(2 * S);
    let end = harness.finish(id, 0, attempts(&actions)[0], Outcome::Reset);
    assert!(attempts(&end).is_empty() && has_failed(&end) && !is_rejected(&end), "outside the window");
}

#[test]
fn a_retry_with_an_idempotency_key_stays_in_its_cell_when_the_first_endpoint_is_gone() {
    let mut harness = Harness::with(settings(), 6);
    let (id, actions) = harness.request(1, 0, 1, 1.0);
    let first = attempts(&actions)[0];
    let gone: Vec<Endpoint> = (0..6).map(listed).filter(|l| l.cell != (first.0 % 2) as u16).collect();
    harness.handle(Event::Endpoints(EndpointUpdate::Snapshot, gone));
    let end = harness.finish(id, 0, first, Outcome::Reset);
    assert!(attempts(&end).is_empty() && has_failed(&end), "no endpoint is left that knows the key");
}

/// Ten retries saved up at each of hundreds of gateways would be a storm: the budget is the fleet's.
#[test]
fn the_retry_budget_is_the_fleets() {
    let at_once = |gateways: u16| {
        let mut harness = Harness::with(Settings { gateways, ..settings() }, 4 * u64::from(gateways));
        let ids: Vec<(RequestId, Vec<Action>)> =
            (0..12).map(|n| harness.request_over(0, 0, n, 1.0, 1.0)).collect();
        let mut again = 0;
        for (id, actions) in ids {
            for backend in attempts(&actions) {
                again += attempts(&harness.finish(id, 0, backend, Outcome::Rejected)).len();
            }
        }
        again
    };
    assert_eq!(at_once(3), 10);
    assert!((1..=2).contains(&at_once(150)), "{}", at_once(150));
}

/// An attempt that fails early does little work, and its retry takes its place. An endpoint's rejection and a late failure
/// cost in full: that is where retries feed an overload.
#[test]
fn a_retry_costs_what_the_failed_attempt_had_done() {
    let again = |outcome: Outcome, took: Micros| {
        let mut harness = Harness::with(settings(), 24);
        let ids: Vec<(RequestId, Vec<Action>)> =
            (0..36).map(|n| harness.request_over(0, 0, n, 1.0, 1.0)).collect();
        let sent = ids.into_iter().filter_map(|(id, a)| Some((id, *attempts(&a).first()?)));
        let own = |id: RequestId, a: &Action| matches!(a, Action::StartAttempt { id: of, .. } if *of == id);
        sent.filter(|(id, to)| harness.finish_after(*id, 0, *to, outcome, took).iter().any(|a| own(*id, a)))
            .count()
    };
    assert_eq!(again(Outcome::Reset, S), 10, "late");
    assert_eq!(again(Outcome::Rejected, 1000), 10, "rejected by the endpoint");
    assert!(again(Outcome::Reset, 1000) > 30, "{}", again(Outcome::Reset, 1000));
    assert!(again(Outcome::Reset, 75_000) < 25, "{}", again(Outcome::Reset, 75_000));
}

/// The check that ends the hold of a request stays due after an owner's reply admitted it. It must not take the attempt, 0.1 s
/// old, for a silent one.
#[test]
fn the_check_of_a_held_request_judges_no_attempt() {
    let mut fleet = Fleet::without_hedging(60, 4);
    let (at, _, actions) = fleet.non_owner();
    let rest = fleet.deliver(at, actions);
    assert!(
        rest.iter().any(|(n, a)| *n == at && matches!(a, Action::StartAttempt { .. })),
        "admitted by an owner's reply"
    );
    assert_eq!(cancellations(&fleet.gateways[at].advance(300_000)), 0);
    // Nor does that of an earlier attempt, in a fleet of any size.
    let mut s = settings();
    s.limits.hedging = false;
    let mut harness = Harness::with(s, 4);
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
        "0.44 s after the first, 0.24 s after the second"
    );
    assert_eq!(cancellations(&harness.advance(160_000)), 1, "it has a check of its own");
}

/// One of many gateways hears from an endpoint once in many seconds: its own slow attempt is no evidence. It is cancelled only
/// where peers found the endpoint silent, too.
#[test]
fn silence_counts_in_a_large_fleet_only_with_what_peers_found() {
    for hung in [false, true] {
        let (_, _, asked) = Fleet::without_hedging(60, 1).non_owner();
        let to = |a: &Action| {
            if let Action::SendGossip { to: Some(to), .. } = a {
                Some(usize::from(to.0))
            } else {
                None
            }
        };
        let homes: Vec<usize> = asked.iter().filter_map(to).collect();
        let mut fleet = Fleet::without_hedging(60, 1);
        for _ in 0..2 {
            for n in (0..30).filter(|n| !homes.contains(n)) {
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
        // The owner sent nothing yet: it knows nothing of its own.
        let home = homes[0];
        let (_, mut all) = fleet.gateways[home].request_over(0, 0, 5, 1.0, 60.0);
        all.extend(fleet.gateways[home].advance(400_000));
        assert_eq!(attempts(&all).len(), 1);
        assert_eq!(cancellations(&all) > 0, hung, "hung: {hung}");
    }
}
