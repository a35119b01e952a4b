//! What gateways tell each other of their use, and what owners reply.

use chalkgap_core::*;
use common::harness::{attempts, is_rejected, Fleet, Harness};
use common::{listed, settings, S};

mod common;

/// A customer's quota holds over many gateways, each of which sees a request now and then: none of them could know alone.
/// Lost messages cost little, and an owner that restarts is told again.
#[test]
fn a_quota_holds_over_many_gateways() {
    for (lossy, restart) in [(0, false), (12, false), (0, true)] {
        let mut fleet = Fleet::new(60);
        let mut used = 0.0;
        for step in 0..300usize {
            used += 2.0 * fleet.request(step * 7 % 60, 1, 2.0, 60.0, lossy) as f64;
            if restart && step == 150 {
                for me in 0..60u16 {
                    let s = Settings { gateways: 60, self_id: GatewayId(me), ..settings() };
                    let harness = &mut fleet.gateways[usize::from(me)];
                    if me % 3 == 0 {
                        harness.gateway = Gateway::new(s, 9, harness.now);
                        harness
                            .handle(Event::Endpoints(EndpointUpdate::Cached, (0..6).map(listed).collect()));
                    }
                }
            }
        }
        // 6 s at 2 units a second, and a burst of 6, half of which the first seconds may leave unused.
        assert!((10.0..=26.0).contains(&used), "{used} units with one message in {lossy} lost");
        assert!(fleet.carried < 300 * 8, "{} messages for 300 requests", fleet.carried);
    }
}

#[test]
fn gossip_converges_through_loss_and_repeats() {
    let mut other = Harness::with(Settings { self_id: GatewayId(1), ..settings() }, 4);
    let mut harness = Harness::with(settings(), 4);
    harness.advance(4 * S);
    other.advance(4 * S);
    harness.request(0, 1, 9, 0.5);
    other.request(0, 1, 9, 2.0);
    other.advance(200_000); // these messages are lost
    other.request(0, 1, 9, 3.0);
    let told: Vec<Vec<u8>> = other
        .advance(300_000)
        .into_iter()
        .filter_map(|a| if let Action::SendGossip { bytes, .. } = a { Some(bytes) } else { None })
        .collect();
    for bytes in told.iter().chain(told.iter().rev()) {
        harness.handle(Event::GossipReceived { from: GatewayId(1), bytes: bytes.clone() });
    }
    // 6 units less 0.5 here and 5 there: a request of 3 does not fit, though this gateway sent half a unit.
    assert!(is_rejected(&harness.request(0, 1, 9, 3.0).1));
}

/// Incarnations come round every 2^32 ms: a peer that restarts just after that is heard, and its earlier life is not.
#[test]
fn a_restart_is_heard_where_incarnations_come_round() {
    let round: Micros = (1 << 32) * 1000;
    let start = |me: u16, now: Micros| {
        let gateway = Gateway::new(Settings { self_id: GatewayId(me), ..settings() }, 7, now);
        let mut harness = Harness { gateway, now, next_request: 0 };
        harness.handle(Event::Endpoints(EndpointUpdate::Cached, (0..4).map(listed).collect()));
        harness
    };
    let told = |harness: &mut Harness, units: f64| {
        let asked = harness.request(0, 1, 9, units).1;
        let actions = asked.into_iter().chain(harness.advance(300_000));
        actions
            .filter_map(|a| if let Action::SendGossip { bytes, .. } = a { Some(bytes) } else { None })
            .collect()
    };
    let mut harness = start(0, round - 30 * S);
    let mut earlier = start(1, round - 25 * S);
    let mut again = start(1, round + S);
    let before: Vec<Vec<u8>> = told(&mut earlier, 0.5);
    harness.advance(25 * S);
    harness.handle(Event::GossipReceived { from: GatewayId(1), bytes: before[0].clone() });
    harness.advance(6 * S);
    harness.request(0, 1, 9, 0.5);
    let after: Vec<Vec<u8>> = told(&mut again, 1.0);
    for bytes in after.iter().chain(&before) {
        harness.handle(Event::GossipReceived { from: GatewayId(1), bytes: bytes.clone() });
    }
    // Of 6 units, half a one went here and one there: the restarted peer's use counts.
    assert!(is_rejected(&harness.request(0, 1, 9, 5.0).1));
    assert!(!is_rejected(&harness.request(0, 1, 9, 3.5).1));
}

#[test]
fn gossip_reports_every_customer_in_turn() {
    let mut harness = Harness::with(settings(), 4);
    let mut told = std::collections::BTreeSet::new();
    for _ in 0..20 {
        for n in 0..100 {
            let (id, actions) = harness.request(0, 0, n, 1.0);
            for backend in attempts(&actions) {
                harness.finish(id, 0, backend, Outcome::Ok);
            }
        }
        for action in harness.advance(100_000) {
            if let Action::SendGossip { bytes, .. } = action {
                told.extend((0..100u8).filter(|n| bytes.windows(5).any(|w| w == [*n, 0, 0, 0, 0])));
            }
        }
    }
    assert_eq!(told.len(), 100, "with more changed customers than a message holds, none is left out");
}

/// What an owner rejected it has not counted: nothing is reported after it, and losses make no more messages.
#[test]
fn a_negative_reply_needs_no_further_message() {
    let asker = Fleet::new(60).non_owner().0;
    let mut fleet = Fleet::new(60);
    for n in 0..4 {
        fleet.request((asker + n) % 60, 1, 2.0, 60.0, 0);
    }
    for n in 0..60 {
        let actions = fleet.gateways[n].advance(600_000);
        fleet.deliver(n, actions);
    }
    let before = fleet.carried;
    let (_, actions) = fleet.gateways[asker].request_over(0, 1, 5, 6.0, 60.0);
    let rest: Vec<Action> = fleet.deliver(asker, actions).into_iter().map(|(_, a)| a).collect();
    assert!(is_rejected(&rest), "more than has been refilled since");
    let more = fleet.gateways[asker].advance(300_000);
    fleet.deliver(asker, more);
    assert_eq!(fleet.carried - before, 2, "one query, one reply");
}

/// A gateway of many hears from an endpoint once in many seconds: what others were answered counts for as long as it weighs,
/// in every message.
#[test]
fn the_latest_samples_go_into_every_message_for_a_second() {
    let mut harness = Harness::with(Settings { gateways: 60, self_id: GatewayId(30), ..settings() }, 4);
    let (id, mut actions) = harness.request_over(0, 0, 5, 1.0, 60.0);
    actions.extend(harness.advance(180_000));
    harness.finish(id, 0, attempts(&actions)[0], Outcome::Ok);
    let mut lessons = Vec::new();
    for n in 0..14 {
        for action in harness.request_over(0, 0, 50 + n, 1.0, 60.0).1 {
            if let Action::SendGossip { bytes, .. } = action {
                lessons.push(bytes[1] >> 2);
            }
        }
    }
    assert!(lessons.len() >= 12, "{lessons:?}");
    assert!(lessons.iter().all(|n| *n == 1), "{lessons:?}");
}

/// What the membership view knows, nobody has to find out by waiting: the second owner is asked at once, and where both are
/// gone nothing is held for a reply that cannot come. What is admitted then is what a new customer would get.
#[test]
fn owners_that_the_membership_view_has_lost_are_not_waited_for() {
    let asker = Fleet::new(60).non_owner().0;
    let asked = |actions: &[Action]| -> Vec<GatewayId> {
        actions
            .iter()
            .filter_map(|a| if let Action::SendGossip { to, .. } = a { *to } else { None })
            .collect()
    };
    let mut harness =
        Harness::with(Settings { gateways: 60, self_id: GatewayId(asker as u16), ..settings() }, 10);
    let (_, actions) = harness.request_over(0, 1, 5, 1.0, 60.0);
    let first = asked(&actions);
    assert!(first.len() == 1 && attempts(&actions).is_empty(), "held for its first owner's reply");
    let reach = |peer, there| Event::PeerReachability { peer, reachable: there };
    harness.handle(reach(first[0], false));
    harness.advance(2_000_000);
    let (_, actions) = harness.request_over(0, 1, 5, 1.0, 60.0);
    let second = asked(&actions);
    assert!(second.len() == 1 && second != first && attempts(&actions).is_empty(), "{actions:?}");
    harness.handle(reach(second[0], false));
    harness.advance(2_000_000);
    let (_, actions) = harness.request_over(0, 1, 5, 1.0, 60.0);
    assert!(
        asked(&actions).is_empty() && (is_rejected(&actions) || attempts(&actions).len() == 1),
        "{actions:?}"
    );
    harness.handle(reach(first[0], true));
    harness.advance(2_000_000);
    assert_eq!(asked(&harness.request_over(0, 1, 5, 1.0, 60.0).1), first, "it is back");
    harness.handle(reach(GatewayId(60), false)); // no such peer: nothing is kept of it
}

/// An owner that grants a request counts the units as used in the same turn: its reservation is not reported to it again, only
/// to the other owner.
#[test]
fn a_request_costs_three_messages_and_both_owners_know_of_it() {
    let asker = Fleet::new(60).non_owner().0;
    let mut fleet = Fleet::new(60);
    let sent = fleet.request(asker, 1, 2.0, 60.0, 0);
    assert_eq!((sent, fleet.carried), (1, 3), "query, reply, report to the other owner");
    // The bucket of 6 held 3 requests; whichever owner is asked, no fourth is admitted before more has been refilled.
    for n in 1..3 {
        assert_eq!(fleet.request((asker + n) % 60, 1, 2.0, 60.0, 0), 1);
    }
    for n in 0..60 {
        let actions = fleet.gateways[n].advance(600_000);
        fleet.deliver(n, actions);
    }
    let (_, actions) = fleet.gateways[asker].request_over(0, 1, 5, 6.0, 60.0);
    let first = actions.iter().find_map(|a| {
        if let Action::SendGossip { to: Some(to), .. } = a {
            Some(*to)
        } else {
            None
        }
    });
    let first = usize::from(first.expect("it asks its first owner").0);
    // The first owner is gone: the second, asked after it, knows of the use and grants nothing.
    for _ in 0..2 {
        let (_, mut actions) = fleet.gateways[asker].request_over(0, 1, 5, 6.0, 60.0);
        actions.extend(fleet.gateways[asker].advance(100_000));
        let to_first =
            |a: &Action| matches!(a, Action::SendGossip { to: Some(to), .. } if usize::from(to.0) == first);
        let second: Vec<Action> = actions.into_iter().filter(|a| !to_first(a)).collect();
        let tells = second.iter().filter(|a| matches!(a, Action::SendGossip { .. })).count();
        assert!(tells >= 1, "the second owner is asked when the first is silent");
        let rest: Vec<Action> = fleet.deliver(asker, second).into_iter().map(|(_, a)| a).collect();
        assert!(attempts(&rest).is_empty(), "beyond the quota");
        fleet.gateways[asker].advance(600_000); // as long as a negative reply is valid
    }
}

/// After a partition all gateways report, each when it next asks, what they admitted unheard. Most of it has been refilled: taken
/// for new use it would hold the bucket far below zero.
#[test]
fn use_reported_after_a_partition_has_been_refilled() {
    let asker = Fleet::new(60).non_owner().0;
    let mut fleet = Fleet::without_hedging(60, 600); // endpoints enough, as no attempt ends here
    let others: Vec<usize> = (0..60)
        .filter(|n| *n != asker)
        .filter(|n| {
            let (_, actions) = fleet.gateways[*n].request_over(0, 1, 5, 0.25, 60.0);
            let home = !actions.iter().any(|a| matches!(a, Action::SendGossip { .. }));
            fleet.deliver(*n, actions); // all are heard once
            !home
        })
        .collect();
    let pass = |fleet: &mut Fleet, span: Micros, cut: bool| {
        for n in 0..60 {
            let actions = fleet.gateways[n].advance(span);
            if !cut {
                fleet.deliver(n, actions);
            }
        }
    };
    pass(&mut fleet, 3 * S, false);
    // Cut off: each lets one try of half a unit through on its own, and nobody hears of it.
    let mut blind = 0;
    for n in &others {
        let (_, mut actions) = fleet.gateways[*n].request_over(0, 1, 5, 0.5, 60.0);
        actions.extend(fleet.gateways[*n].advance(200_000));
        fleet.gateways[*n].now -= 200_000;
        blind += attempts(&actions).len();
    }
    assert!(blind > 20, "{blind}: far beyond a quota of 2 a second with a burst of 6");
    pass(&mut fleet, 10 * S, true);
    // PeerUsage again, within a second: the store has been full for long.
    for n in &others {
        let (_, actions) = fleet.gateways[*n].request_over(0, 1, 5, 0.25, 60.0);
        fleet.deliver(*n, actions);
    }
    pass(&mut fleet, 3 * S, false);
    let (_, actions) = fleet.gateways[asker].request_over(0, 1, 5, 2.0, 60.0);
    let rest: Vec<Action> = fleet.deliver(asker, actions).into_iter().map(|(_, a)| a).collect();
    assert_eq!(attempts(&rest).len(), 1, "3 s at 2 a second have filled since");
}
