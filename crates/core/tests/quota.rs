//! Quotas and hard limits of customers, by events and actions.

use chalkgap_core::*;
use common::harness::{attempts, is_rejected, Fleet, Harness};
use common::{listed, settings, S};

mod common;

#[test]
fn a_request_within_the_quota_is_sent_and_one_beyond_is_rejected() {
    let mut harness = Harness::with(settings(), 12);
    let (_, first) = harness.request(0, 1, 9, 1.0);
    assert_eq!(attempts(&first).len(), 1);
    let rest: Vec<Vec<Action>> = (0..8).map(|_| harness.request(0, 1, 9, 1.0).1).collect();
    let passed = 1 + rest.iter().filter(|a| !attempts(a).is_empty()).count();
    assert_eq!(passed, 5, "of a burst of 6, less what two others may admit unreported");
    assert!(rest[7].iter().all(|a| matches!(a, Action::Reject { .. })) && is_rejected(&rest[7]));
    harness.advance(2 * S); // by then no more use of others is presumed

    assert_eq!(attempts(&harness.request(0, 1, 9, 1.0).1).len(), 1, "the bucket refills at the rate");
}

/// Gateways that hear nothing of each other keep the hard limit together, starting from nothing after each restart.
#[test]
fn the_hard_limit_holds_without_gossip_and_over_restarts() {
    for gateways in [3, 40, 200] {
        let settings = |me| Settings { gateways, self_id: GatewayId(me), ..settings() };
        let total: usize = (0..gateways)
            .map(|me| {
                let mut harness = Harness::with(settings(me), 4);
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
                        harness.gateway = Gateway::new(settings(me), 8, harness.now);
                        harness
                            .handle(Event::Endpoints(EndpointUpdate::Cached, (0..4).map(listed).collect()));
                    }
                }
                sent
            })
            .sum();
        assert!(total <= 60, "{gateways} gateways: {total} sent in 10 s at 6 units a second");
        assert!(gateways > 3 || total > 30, "{total}");
    }
}

/// Most of a hard limit lies with two of its gateways: a busy one gets far more than an even share.
#[test]
fn a_busy_gateway_gets_the_hard_limit_that_others_leave() {
    let mut fleet = Fleet::new(60);
    let mut sent = 0;
    for _ in 0..500 {
        sent += fleet.request(17, 2, 1.0, 6.0, 0);
    }
    // 10 s at 6 units a second; an even share of six gateways would be 10.
    assert!((20..=72).contains(&sent), "{sent}");
}

#[test]
fn the_limit_on_attempts_in_flight_counts_cancelled_ones_until_they_settle() {
    let mut harness = Harness::with(settings(), 4);
    let (id, actions) = harness.request(0, 3, 5, 1.0);
    assert_eq!(attempts(&harness.request(0, 3, 5, 1.0).1).len(), 1);
    assert!(is_rejected(&harness.request(0, 3, 5, 1.0).1));
    harness.handle(Event::ClientCancelled(id));
    assert!(is_rejected(&harness.request(0, 3, 5, 1.0).1), "cancelled, yet still in flight");
    harness.finish(id, 0, attempts(&actions)[0], Outcome::Cancelled);
    assert_eq!(attempts(&harness.request(0, 3, 5, 1.0).1).len(), 1);
}

/// A small fleet that starts together starts with full buckets: an even share for each gateway would reject a third of the
/// first requests within quota. A gateway that starts beside an older peer has its share alone.
#[test]
fn a_small_fleet_starts_with_full_buckets_and_a_restarted_gateway_does_not() {
    let passed = |harness: &mut Harness| {
        (0..8).map(|_| attempts(&harness.request(0, 1, 9, 1.0).1).len()).sum::<usize>()
    };
    let mut harness = Harness::with(settings(), 4);
    assert_eq!(passed(&mut harness), 5, "of a burst of 6, less what two others may admit unreported");
    let mut older_peer = Harness::with(Settings { self_id: GatewayId(1), ..settings() }, 4);
    older_peer.advance(60 * S);
    let mut reports = older_peer.request(0, 1, 5, 1.0).1;
    reports.extend(older_peer.advance(S));
    let mut harness = Harness::with(settings(), 4);
    (harness.now, harness.gateway) = (older_peer.now, Gateway::new(settings(), 7, older_peer.now));
    harness.handle(Event::Endpoints(EndpointUpdate::Cached, (0..4).map(listed).collect()));
    for action in reports {
        if let Action::SendGossip { to: Some(GatewayId(0)), bytes } = action {
            harness.handle(Event::GossipReceived { from: GatewayId(1), bytes });
        }
    }
    assert_eq!(passed(&mut harness), 1, "a third of the burst");
}

/// An owner that starts with the whole fleet takes a new customer's bucket as full; one that finds older peers was
/// restarted, and takes as there what has been refilled since.
#[test]
fn a_bucket_starts_full_with_the_fleet_and_empty_after_a_restart() {
    for restarted in [false, true] {
        let asker = Fleet::new(60).non_owner().0;
        let mut fleet = Fleet::new(60);
        for (n, harness) in fleet.gateways.iter_mut().enumerate().filter(|(n, _)| restarted && *n != asker) {
            harness.now += 5 * S;
            let s = Settings { gateways: 60, self_id: GatewayId(n as u16), ..settings() };
            harness.gateway = Gateway::new(s, 9, harness.now);
        }
        fleet.gateways[asker].now = fleet.gateways[(asker + 1) % 60].now;
        let sent = (0..3).map(|_| fleet.request(asker, 1, 2.0, 60.0, 0)).sum::<usize>();
        assert_eq!(sent, if restarted { 0 } else { 3 }, "restarted: {restarted}");
    }
}
