//! Gossip between gateways: usage reports, queries to the owners of a quota, and the owners' replies.

use chalkgap_core::*;
use common::harness::{attempts, is_rejected, Fleet, Harness};
use common::{endpoint, settings, SECOND};

mod common;

/// A customer's quota holds over many gateways, each of which gets only an occasional request and cannot know the
/// total by itself. Lost messages change the total little, and an owner that restarts gets the usage reported again.
#[test]
fn a_quota_holds_over_many_gateways() {
    for (loss_interval, restart) in [(0, false), (12, false), (0, true)] {
        let mut fleet = Fleet::new(60);
        let mut used = 0.0;
        for step in 0..300usize {
            used += 2.0 * fleet.request(step * 7 % 60, 1, 2.0, 60.0, loss_interval) as f64;
            if restart && step == 150 {
                for number in 0..60u16 {
                    let settings = Settings { gateways: 60, self_id: GatewayId(number), ..settings() };
                    let harness = &mut fleet.gateways[usize::from(number)];
                    if number % 3 == 0 {
                        harness.gateway = Gateway::new(settings, 9, harness.now);
                        harness
                            .handle(Event::Endpoints(EndpointUpdate::Cached, (0..6).map(endpoint).collect()));
                    }
                }
            }
        }
        // 6 s at 2 units a second, and a burst of 6, half of which may stay unused in the first seconds.
        assert!((10.0..=26.0).contains(&used), "{used} units with one message in {loss_interval} lost");
        assert!(fleet.messages_sent < 300 * 8, "{} messages for 300 requests", fleet.messages_sent);
    }
}

#[test]
fn gossip_converges_through_loss_and_repeats() {
    let mut other = Harness::with(Settings { self_id: GatewayId(1), ..settings() }, 4);
    let mut harness = Harness::with(settings(), 4);
    harness.advance(4 * SECOND);
    other.advance(4 * SECOND);
    harness.request(0, 1, 9, 0.5);
    other.request(0, 1, 9, 2.0);
    other.advance(200_000); // these messages are lost
    other.request(0, 1, 9, 3.0);
    let messages: Vec<Vec<u8>> = other
        .advance(300_000)
        .into_iter()
        .filter_map(|a| if let Action::SendGossip { bytes, .. } = a { Some(bytes) } else { None })
        .collect();
    for bytes in messages.iter().chain(messages.iter().rev()) {
        harness.handle(Event::GossipReceived { from: GatewayId(1), bytes: bytes.clone() });
    }
    // Of 6 units this gateway used 0.5 and its peer 5: a request of 3 units does not fit.
    assert!(is_rejected(&harness.request(0, 1, 9, 3.0).1));
}

/// Incarnation numbers wrap around every 2^32 ms. A peer that restarts just after the wrap is accepted as the newer
/// incarnation, and late messages of its earlier incarnation are ignored.
#[test]
fn a_restart_is_recognized_when_incarnations_wrap_around() {
    let wrap: Micros = (1 << 32) * 1000;
    let start = |number: u16, now: Micros| {
        let gateway = Gateway::new(Settings { self_id: GatewayId(number), ..settings() }, 7, now);
        let mut harness = Harness { gateway, now, next_request: 0 };
        harness.handle(Event::Endpoints(EndpointUpdate::Cached, (0..4).map(endpoint).collect()));
        harness
    };
    let messages = |harness: &mut Harness, units: f64| {
        let first = harness.request(0, 1, 9, units).1;
        let actions = first.into_iter().chain(harness.advance(300_000));
        actions
            .filter_map(|a| if let Action::SendGossip { bytes, .. } = a { Some(bytes) } else { None })
            .collect()
    };
    let mut harness = start(0, wrap - 30 * SECOND);
    let mut earlier = start(1, wrap - 25 * SECOND);
    let mut restarted = start(1, wrap + SECOND);
    let before: Vec<Vec<u8>> = messages(&mut earlier, 0.5);
    harness.advance(25 * SECOND);
    harness.handle(Event::GossipReceived { from: GatewayId(1), bytes: before[0].clone() });
    harness.advance(6 * SECOND);
    harness.request(0, 1, 9, 0.5);
    let after: Vec<Vec<u8>> = messages(&mut restarted, 1.0);
    for bytes in after.iter().chain(&before) {
        harness.handle(Event::GossipReceived { from: GatewayId(1), bytes: bytes.clone() });
    }
    // Of 6 units this gateway used 0.5 and the restarted peer 1, which counts.
    assert!(is_rejected(&harness.request(0, 1, 9, 5.0).1));
    assert!(!is_rejected(&harness.request(0, 1, 9, 3.5).1));
}

/// A peer whose clock was set back before its restart was ignored until the clock had caught up.
#[test]
fn a_peer_that_restarts_with_an_earlier_clock_is_heard() {
    const HOUR: Micros = 3600 * SECOND;
    let start = |number: u16, now: Micros| {
        let gateway = Gateway::new(Settings { self_id: GatewayId(number), ..settings() }, 7, now);
        let mut harness = Harness { gateway, now, next_request: 0 };
        harness.handle(Event::Endpoints(EndpointUpdate::Cached, (0..4).map(endpoint).collect()));
        harness
    };
    let messages = |harness: &mut Harness, units: f64| -> Vec<Vec<u8>> {
        let first = harness.request(0, 1, 9, units).1;
        let actions = first.into_iter().chain(harness.advance(300_000));
        actions
            .filter_map(|a| if let Action::SendGossip { bytes, .. } = a { Some(bytes) } else { None })
            .collect()
    };
    let mut harness = start(0, 10 * HOUR);
    let before = messages(&mut start(1, 10 * HOUR), 0.5);
    let after = messages(&mut start(1, 9 * HOUR), 1.0);
    let hear = |harness: &mut Harness, all: &[Vec<u8>]| {
        for bytes in all {
            harness.handle(Event::GossipReceived { from: GatewayId(1), bytes: bytes.clone() });
        }
    };
    hear(&mut harness, &before);
    harness.advance(4 * SECOND);
    harness.request(0, 1, 9, 0.5);
    hear(&mut harness, &after);
    // Of 6 units this gateway used 0.5 and the restarted peer 1, which counts.
    assert!(is_rejected(&harness.request(0, 1, 9, 5.0).1));
    assert!(!is_rejected(&harness.request(0, 1, 9, 3.5).1));
}

#[test]
fn gossip_reports_every_customer_in_turn() {
    let mut harness = Harness::with(settings(), 4);
    let mut reported = std::collections::BTreeSet::new();
    for _ in 0..20 {
        for n in 0..100 {
            let (id, actions) = harness.request(0, 0, n, 1.0);
            for backend in attempts(&actions) {
                harness.finish(id, 0, backend, Outcome::Ok);
            }
        }
        for action in harness.advance(100_000) {
            if let Action::SendGossip { bytes, .. } = action {
                // A report starts with the customer's id in five bytes, the lowest first.
                reported.extend((0..100u8).filter(|n| bytes.windows(5).any(|w| w == [*n, 0, 0, 0, 0])));
            }
        }
    }
    assert_eq!(reported.len(), 100, "every customer is reported, though more changed than a message holds");
}

/// An owner reserves nothing for a request that does not fit the quota. The requester therefore has no use to report
/// after a negative reply, and nothing to repeat if a message is lost.
#[test]
fn a_negative_reply_needs_no_further_message() {
    let requester = Fleet::new(60).non_owner().0;
    let mut fleet = Fleet::new(60);
    for n in 0..4 {
        fleet.request((requester + n) % 60, 1, 2.0, 60.0, 0);
    }
    for n in 0..60 {
        let actions = fleet.gateways[n].advance(600_000);
        fleet.deliver(n, actions);
    }
    let before = fleet.messages_sent;
    let (_, actions) = fleet.gateways[requester].request_over(0, 1, 5, 6.0, 60.0);
    let rest: Vec<Action> = fleet.deliver(requester, actions).into_iter().map(|(_, a)| a).collect();
    assert!(is_rejected(&rest), "the request exceeds what has been refilled since");
    let more = fleet.gateways[requester].advance(300_000);
    fleet.deliver(requester, more);
    assert_eq!(fleet.messages_sent - before, 2, "one query, one reply");
}

/// In a large fleet a gateway gets a response from an endpoint only once in many seconds and depends on the samples
/// of its peers. A sample therefore goes into every message for as long as it carries weight.
#[test]
fn the_latest_samples_go_into_every_message_for_a_second() {
    let mut harness = Harness::with(Settings { gateways: 60, self_id: GatewayId(30), ..settings() }, 4);
    let (id, mut actions) = harness.request_over(0, 0, 5, 1.0, 60.0);
    actions.extend(harness.advance(180_000));
    harness.finish(id, 0, attempts(&actions)[0], Outcome::Ok);
    let mut sample_counts = Vec::new();
    for n in 0..14 {
        for action in harness.request_over(0, 0, 50 + n, 1.0, 60.0).1 {
            if let Action::SendGossip { bytes, .. } = action {
                sample_counts.push(bytes[1] >> 2); // the second byte holds the number of samples above two bits
            }
        }
    }
    assert!(sample_counts.len() >= 12, "{sample_counts:?}");
    assert!(sample_counts.iter().all(|n| *n == 1), "{sample_counts:?}");
}

/// A gateway does not wait for replies of owners that are unreachable in the membership view: it queries the second
/// owner at once, and if both are unreachable, it decides at once instead of holding the request. It then admits what
/// a new customer would get.
#[test]
fn owners_that_the_membership_view_has_lost_are_not_waited_for() {
    let requester = Fleet::new(60).non_owner().0;
    let queried = |actions: &[Action]| -> Vec<GatewayId> {
        actions
            .iter()
            .filter_map(|a| if let Action::SendGossip { to, .. } = a { *to } else { None })
            .collect()
    };
    let mut harness =
        Harness::with(Settings { gateways: 60, self_id: GatewayId(requester as u16), ..settings() }, 10);
    let (_, actions) = harness.request_over(0, 1, 5, 1.0, 60.0);
    let first = queried(&actions);
    assert!(
        first.len() == 1 && attempts(&actions).is_empty(),
        "the request is held for the reply of the first owner"
    );
    let reachability = |peer, reachable| Event::PeerReachability { peer, reachable };
    harness.handle(reachability(first[0], false));
    harness.advance(2_000_000);
    let (_, actions) = harness.request_over(0, 1, 5, 1.0, 60.0);
    let second = queried(&actions);
    assert!(second.len() == 1 && second != first && attempts(&actions).is_empty(), "{actions:?}");
    harness.handle(reachability(second[0], false));
    harness.advance(2_000_000);
    let (_, actions) = harness.request_over(0, 1, 5, 1.0, 60.0);
    assert!(
        queried(&actions).is_empty() && (is_rejected(&actions) || attempts(&actions).len() == 1),
        "{actions:?}"
    );
    harness.handle(reachability(first[0], true));
    harness.advance(2_000_000);
    assert_eq!(
        queried(&harness.request_over(0, 1, 5, 1.0, 60.0).1),
        first,
        "the first owner is reachable again"
    );
    harness.handle(reachability(GatewayId(60), false)); // a peer that does not exist is ignored
}

/// An owner that grants a request counts its units as used at once. The requester therefore reports the usage only to
/// the other owner.
#[test]
fn a_request_costs_three_messages_and_both_owners_know_of_it() {
    let requester = Fleet::new(60).non_owner().0;
    let mut fleet = Fleet::new(60);
    let sent = fleet.request(requester, 1, 2.0, 60.0, 0);
    assert_eq!((sent, fleet.messages_sent), (1, 3), "query, reply, report to the other owner");
    // The bucket of 6 units holds 3 requests of 2. Neither owner admits a fourth before more has been refilled.
    for n in 1..3 {
        assert_eq!(fleet.request((requester + n) % 60, 1, 2.0, 60.0, 0), 1);
    }
    for n in 0..60 {
        let actions = fleet.gateways[n].advance(600_000);
        fleet.deliver(n, actions);
    }
    let (_, actions) = fleet.gateways[requester].request_over(0, 1, 5, 6.0, 60.0);
    let first = actions.iter().find_map(|a| {
        if let Action::SendGossip { to: Some(to), .. } = a {
            Some(*to)
        } else {
            None
        }
    });
    let first = usize::from(first.expect("the first owner is queried").0);
    // The first owner does not reply. The second owner, queried next, knows the usage and grants nothing.
    for _ in 0..2 {
        let (_, mut actions) = fleet.gateways[requester].request_over(0, 1, 5, 6.0, 60.0);
        actions.extend(fleet.gateways[requester].advance(100_000));
        let to_first =
            |a: &Action| matches!(a, Action::SendGossip { to: Some(to), .. } if usize::from(to.0) == first);
        let second: Vec<Action> = actions.into_iter().filter(|a| !to_first(a)).collect();
        let queries = second.iter().filter(|a| matches!(a, Action::SendGossip { .. })).count();
        assert!(queries >= 1, "the second owner is queried when the first does not reply");
        let rest: Vec<Action> = fleet.deliver(requester, second).into_iter().map(|(_, a)| a).collect();
        assert!(attempts(&rest).is_empty(), "admitted a request beyond the quota");
        fleet.gateways[requester].advance(600_000); // as long as a negative reply is valid
    }
}

/// After a partition each gateway reports, with its next query, the usage that it admitted during the partition. Most
/// of it has been refilled since: counted as new usage, it would keep the bucket far below zero.
#[test]
fn use_reported_after_a_partition_has_been_refilled() {
    let requester = Fleet::new(60).non_owner().0;
    let mut fleet = Fleet::without_hedging(60, 600); // enough endpoints, as no attempt ends in this test
    let others: Vec<usize> = (0..60)
        .filter(|n| *n != requester)
        .filter(|n| {
            let (_, actions) = fleet.gateways[*n].request_over(0, 1, 5, 0.25, 60.0);
            let is_owner = !actions.iter().any(|a| matches!(a, Action::SendGossip { .. }));
            fleet.deliver(*n, actions); // every gateway sends its owners a message
            !is_owner
        })
        .collect();
    let advance_all = |fleet: &mut Fleet, duration: Micros, partitioned: bool| {
        for n in 0..60 {
            let actions = fleet.gateways[n].advance(duration);
            if !partitioned {
                fleet.deliver(n, actions);
            }
        }
    };
    advance_all(&mut fleet, 3 * SECOND, false);
    // During the partition each gateway admits a request of half a unit on its own, and its report is lost.
    let mut admitted_alone = 0;
    for n in &others {
        let (_, mut actions) = fleet.gateways[*n].request_over(0, 1, 5, 0.5, 60.0);
        actions.extend(fleet.gateways[*n].advance(200_000));
        fleet.gateways[*n].now -= 200_000;
        admitted_alone += attempts(&actions).len();
    }
    assert!(
        admitted_alone > 20,
        "{admitted_alone} admitted: too few to exceed 2 units a second with a burst of 6"
    );
    advance_all(&mut fleet, 10 * SECOND, true);
    // After the partition all gateways query within a second. The bucket has been full for a long time.
    for n in &others {
        let (_, actions) = fleet.gateways[*n].request_over(0, 1, 5, 0.25, 60.0);
        fleet.deliver(*n, actions);
    }
    advance_all(&mut fleet, 3 * SECOND, false);
    let (_, actions) = fleet.gateways[requester].request_over(0, 1, 5, 2.0, 60.0);
    let rest: Vec<Action> = fleet.deliver(requester, actions).into_iter().map(|(_, a)| a).collect();
    assert_eq!(attempts(&rest).len(), 1, "3 s at 2 units a second have been refilled since");
}
