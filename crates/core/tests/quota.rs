//! Quotas and hard limits of customers.

use chalkgap_core::*;
use common::harness::{attempts, is_rejected, Fleet, Harness};
use common::{endpoint, settings, SECOND};

mod common;

#[test]
fn a_request_within_the_quota_is_sent_and_one_beyond_is_rejected() {
    let mut harness = Harness::with(settings(), 12);
    let (_, first) = harness.request(0, 1, 9, 1.0);
    assert_eq!(attempts(&first).len(), 1);
    let later: Vec<Vec<Action>> = (0..8).map(|_| harness.request(0, 1, 9, 1.0).1).collect();
    let admitted = 1 + later.iter().filter(|a| !attempts(a).is_empty()).count();
    assert_eq!(admitted, 5, "a burst of 6, less what two peers may admit unreported");
    assert!(later[7].iter().all(|a| matches!(a, Action::Reject { .. })) && is_rejected(&later[7]));
    harness.advance(2 * SECOND); // from then on, no unreported usage of peers is presumed
    assert_eq!(attempts(&harness.request(0, 1, 9, 1.0).1).len(), 1, "the bucket refills at the rate");
}

/// The hard limit holds over gateways that exchange no messages, as the bucket of each is empty after a start.
#[test]
fn the_hard_limit_holds_without_gossip_and_over_restarts() {
    for gateways in [3, 40, 200] {
        let settings = |number| Settings { gateways, self_id: GatewayId(number), ..settings() };
        let total: usize = (0..gateways)
            .map(|number| {
                let mut harness = Harness::with(settings(number), 4);
                let mut sent = 0;
                for second in 0..10 {
                    for _ in 0..10 {
                        let (id, mut actions) = harness.request_over(0, 2, 5, 1.0, f64::from(gateways));
                        actions.extend(harness.advance(100_000));
                        for backend in attempts(&actions) {
                            sent += 1;
                            harness.finish(id, 0, backend, Outcome::Ok);
                        }
                    }
                    if second == 4 {
                        harness.gateway = Gateway::new(settings(number), 8, harness.now);
                        harness
                            .handle(Event::Endpoints(EndpointUpdate::Cached, (0..4).map(endpoint).collect()));
                    }
                }
                sent
            })
            .sum();
        assert!(total <= 60, "{gateways} gateways sent {total} units in 10 s; the hard limit is 6 a second");
        assert!(gateways > 3 || total > 30, "{gateways} gateways sent only {total} units in 10 s");
    }
}

/// The two owners hold most of a hard limit and transfer units on demand: a busy gateway gets far more than an even
/// share.
#[test]
fn a_busy_gateway_gets_the_hard_limit_that_others_leave() {
    let mut fleet = Fleet::new(60);
    let mut sent = 0;
    for _ in 0..500 {
        sent += fleet.request(17, 2, 1.0, 6.0, 0);
    }
    // The limit is 6 units a second for 10 s and a burst of 12; an even share among six gateways would be 10 units.
    assert!((20..=72).contains(&sent), "{sent} units");
}

#[test]
fn the_limit_on_attempts_in_flight_counts_cancelled_ones_until_they_settle() {
    let mut harness = Harness::with(settings(), 4);
    let (id, actions) = harness.request(0, 3, 5, 1.0);
    assert_eq!(attempts(&harness.request(0, 3, 5, 1.0).1).len(), 1);
    assert!(is_rejected(&harness.request(0, 3, 5, 1.0).1));
    harness.handle(Event::ClientCancelled(id));
    assert!(is_rejected(&harness.request(0, 3, 5, 1.0).1), "the cancelled attempt is still in flight");
    harness.finish(id, 0, attempts(&actions)[0], Outcome::Cancelled);
    assert_eq!(attempts(&harness.request(0, 3, 5, 1.0).1).len(), 1);
}

/// A small fleet that starts together starts with full buckets: an even share for each gateway would reject a third
/// of the first requests within quota. A gateway that starts beside an older peer has only its even share.
#[test]
fn a_small_fleet_starts_with_full_buckets_and_a_restarted_gateway_does_not() {
    let admitted = |harness: &mut Harness| {
        (0..8).map(|_| attempts(&harness.request(0, 1, 9, 1.0).1).len()).sum::<usize>()
    };
    let mut harness = Harness::with(settings(), 4);
    assert_eq!(admitted(&mut harness), 5, "a burst of 6, less what two peers may admit unreported");
    let mut older_peer = Harness::with(Settings { self_id: GatewayId(1), ..settings() }, 4);
    older_peer.advance(60 * SECOND);
    let mut reports = older_peer.request(0, 1, 5, 1.0).1;
    reports.extend(older_peer.advance(SECOND));
    let mut harness = Harness::with(settings(), 4);
    harness.now = older_peer.now;
    harness.gateway = Gateway::new(settings(), 7, older_peer.now);
    harness.handle(Event::Endpoints(EndpointUpdate::Cached, (0..4).map(endpoint).collect()));
    for action in reports {
        if let Action::SendGossip { to: Some(GatewayId(0)), bytes } = action {
            harness.handle(Event::GossipReceived { from: GatewayId(1), bytes });
        }
    }
    assert_eq!(admitted(&mut harness), 1, "a third of the burst");
}

/// An owner that starts together with the fleet assumes that a new customer's bucket is full. An owner that finds
/// older peers was restarted, and assumes only the units that have been refilled since its start.
#[test]
fn a_bucket_starts_full_with_the_fleet_and_empty_after_a_restart() {
    for restarted in [false, true] {
        let requester = Fleet::new(60).non_owner().0;
        let mut fleet = Fleet::new(60);
        for (n, harness) in
            fleet.gateways.iter_mut().enumerate().filter(|(n, _)| restarted && *n != requester)
        {
            harness.now += 5 * SECOND;
            let settings = Settings { gateways: 60, self_id: GatewayId(n as u16), ..settings() };
            harness.gateway = Gateway::new(settings, 9, harness.now);
        }
        fleet.gateways[requester].now = fleet.gateways[(requester + 1) % 60].now;
        let sent = (0..3).map(|_| fleet.request(requester, 1, 2.0, 60.0, 0)).sum::<usize>();
        assert_eq!(sent, if restarted { 0 } else { 3 }, "restarted: {restarted}");
    }
}
