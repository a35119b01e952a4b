//! Fleets of 3 to 300 members on a simulated network.

use chalkgap_membership::view::MemberRecord;
use chalkgap_membership::wire::{Kind, Message};
use chalkgap_membership::{Event, MemberId, MemberState, Micros, PartitionStatus};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;

mod simulated_network;
use simulated_network::{address_of, Network, SentTotals, PROTOCOL_PERIOD, SECOND};

fn seconds(micros: Micros) -> f64 {
    micros as f64 / 1e6
}

/// Returns a quantile of durations, in seconds.
fn quantile(durations: &mut [Micros], quantile: f64) -> f64 {
    durations.sort_unstable();
    seconds(durations[((durations.len() - 1) as f64 * quantile) as usize])
}

#[test]
fn a_death_is_detected_by_all_within_the_bound_at_any_size() {
    for (count, seeds) in [(3, 6), (8, 4), (24, 3), (300, 1)] {
        let mut detection_times = Vec::new();
        let mut bound = 0;
        for seed in 0..seeds {
            let mut network = Network::with_members(seed, count);
            bound = network.member(0).detection_bound(1);
            let killed: Vec<MemberId> = if count == 300 { (100..108).collect() } else { vec![count / 2] };
            let start = network.now;
            network.kill(&killed);
            let live_count = usize::from(count) - killed.len();
            let is_detected_by_all = |network: &Network| {
                killed.iter().all(|id| network.death_reports(*id, start).len() == live_count)
            };
            network.run_until(start + bound, is_detected_by_all).unwrap_or_else(|| {
                panic!("{count} members, seed {seed}: a death was not detected by all within {bound} us")
            });
            for id in &killed {
                detection_times.extend(network.death_reports(*id, start).into_values());
            }
            network.run(10 * SECOND);
            assert_eq!(network.ever_reported_dead(), killed, "only the killed members are reported dead");
            assert_eq!(network.agreed_live_count(), Some(live_count));
        }
        let p50 = quantile(&mut detection_times, 0.5);
        let p99 = quantile(&mut detection_times, 0.99);
        println!(
            "{count} members: death detected after p50 {p50:.2} s, p99 {p99:.2} s, bound {:.2} s",
            seconds(bound)
        );
    }
}

#[test]
fn the_death_of_half_is_detected_by_the_other_half_within_the_bound() {
    for count in [8, 24, 300] {
        let mut network = Network::with_members(3, count);
        let bound = network.member(0).detection_bound(usize::from(count / 2));
        let start = network.now;
        network.kill(&(0..count).filter(|id| id % 2 == 1).collect::<Vec<_>>());
        let live_count = usize::from(count / 2);
        let is_detected_by_all = |network: &Network| {
            network.nodes.values().all(|node| node.member.view().live_count() == live_count)
        };
        let elapsed = network
            .run_until(start + bound, is_detected_by_all)
            .unwrap_or_else(|| panic!("{count} members: half were not detected as dead within {bound} us"));
        println!(
            "death of half of {count} members detected after {:.2} s, bound {:.2} s",
            seconds(elapsed),
            seconds(bound)
        );
    }
}

#[test]
fn bytes_sent_per_member_do_not_grow_with_the_fleet() {
    const MEASURED_SECONDS: f64 = 20.0;
    let mut mean_bytes = Vec::new();
    for count in [3, 24, 300] {
        let mut network = Network::with_members(5, count);
        network.nodes.values_mut().for_each(|node| node.sent = SentTotals::default());
        network.run(20 * SECOND);
        let sent: Vec<SentTotals> = network.nodes.values().map(|node| node.sent).collect();
        let max_messages = sent.iter().map(|sent| sent.messages).max().unwrap();
        let max_bytes = sent.iter().map(|sent| sent.bytes).max().unwrap();
        let total_bytes: u64 = sent.iter().map(|sent| sent.bytes).sum();
        let mean = total_bytes as f64 / MEASURED_SECONDS / f64::from(count);
        println!(
            "{count} members: at most {:.1} messages/s and {:.0} bytes/s per member, mean {mean:.0} bytes/s",
            max_messages as f64 / MEASURED_SECONDS,
            max_bytes as f64 / MEASURED_SECONDS,
        );
        mean_bytes.push(mean);
    }
    assert!(mean_bytes.iter().all(|bytes| *bytes < 600.0 && *bytes < 1.2 * mean_bytes[0]), "{mean_bytes:?}");
}

#[test]
fn no_member_is_declared_dead_while_a_fifth_of_all_messages_is_lost() {
    for count in [3, 8, 24] {
        let mut network = Network::with_members(7, count);
        network.loss = 0.2;
        network.run(120 * SECOND);
        assert_eq!(network.ever_reported_dead(), [], "{count} members");
        network.loss = 0.0;
        network.run(20 * SECOND);
        assert_eq!(network.agreed_live_count(), Some(usize::from(count)));
    }
}

#[test]
fn a_starved_member_declares_no_member_dead() {
    for seed in 0..4 {
        let mut network = Network::with_members(seed, 8);
        network.starved = Some(address_of(3));
        network.run(120 * SECOND);
        assert_eq!(network.ever_reported_dead(), [], "seed {seed}");
    }
}

#[test]
fn a_partition_in_three_heals_in_any_order() {
    let mut network = Network::with_members(11, 24);
    network.partition = Box::new(|a, b| a % 3 != b % 3);
    network.run(60 * SECOND);
    let live_counts: BTreeSet<usize> =
        network.nodes.values().map(|node| node.member.view().live_count()).collect();
    assert_eq!(live_counts, BTreeSet::from([8]), "each member sees only its own third as live");
    assert!(
        (0..24).all(|id| network.partition_status(id) == PartitionStatus::NoQuorum),
        "each member reports no quorum"
    );
    network.partition = Box::new(|a, b| a % 3 != b % 3 && (a % 3 == 2 || b % 3 == 2));
    network.run(40 * SECOND);
    assert_eq!(network.partition_status(0), PartitionStatus::Majority);
    assert_eq!(network.partition_status(2), PartitionStatus::NoQuorum);
    network.partition = Box::new(|_, _| false);
    let start = network.now;
    let elapsed = network.run_until(start + 30 * SECOND, |network| network.agreed_live_count() == Some(24));
    println!(
        "partition of 24 members in three healed in {:.2} s",
        seconds(elapsed.expect("all views agree"))
    );
    assert!((0..24).all(|id| network.partition_status(id) == PartitionStatus::Complete));
}

#[test]
fn a_partition_of_three_hundred_in_halves_heals() {
    let mut network = Network::with_members(13, 300);
    network.partition = Box::new(|a, b| (a < 150) != (b < 150));
    network.run(60 * SECOND);
    assert!((0..300).all(|id| network.partition_status(id) == PartitionStatus::NoQuorum));
    assert_eq!(network.member(7).view().live_count(), 150);
    network.partition = Box::new(|_, _| false);
    let start = network.now;
    let elapsed = network.run_until(start + 60 * SECOND, |network| network.agreed_live_count() == Some(300));
    println!(
        "partition of 300 members in halves healed in {:.2} s",
        seconds(elapsed.expect("all views agree"))
    );
}

#[test]
fn a_one_way_link_leaves_all_members_alive() {
    let mut network = Network::with_members(17, 5);
    network.partition = Box::new(|a, b| (a, b) == (0, 1));
    network.run(120 * SECOND);
    assert_eq!(network.ever_reported_dead(), []);
}

#[test]
fn a_member_that_only_one_other_can_reach_is_not_declared_dead() {
    let mut network = Network::with_members(19, 8);
    network.partition = Box::new(|a, b| (a == 5 && b != 2) || (b == 5 && a != 2));
    network.run(120 * SECOND);
    assert_eq!(network.ever_reported_dead(), []);
}

#[test]
fn a_stopped_member_is_declared_dead_and_rejoins_once_it_resumes() {
    let mut network = Network::with_members(23, 5);
    network.node(address_of(3)).stopped_until = network.now + 30 * SECOND;
    network.run(29 * SECOND);
    assert_eq!(network.ever_reported_dead(), [3]);
    let start = network.now;
    network.run(2 * SECOND);
    let elapsed = network
        .run_until(start + 30 * SECOND, |network| network.agreed_live_count() == Some(5))
        .expect("all views agree");
    println!("member stopped for 30 s rejoined in {:.2} s", seconds(elapsed + 2 * SECOND));
    assert_eq!(network.ever_reported_dead(), [3], "the resumed member declared no other member dead");
}

#[test]
fn members_that_all_restart_at_once_form_one_fleet() {
    let mut network = Network::with_members(29, 8);
    network.kill(&[0, 1, 2, 3, 4, 5, 6, 7]);
    network.run(SECOND);
    (0..8).for_each(|id| network.start(id, address_of(id)));
    let start = network.now;
    let elapsed = network
        .run_until(start + 20 * SECOND, |network| network.agreed_live_count() == Some(8))
        .expect("all views agree");
    println!("8 restarted members formed a fleet in {:.2} s", seconds(elapsed));
}

#[test]
fn a_new_process_with_the_same_id_supersedes_the_old_one() {
    let mut network = Network::with_members(31, 5);
    let new_address: SocketAddr = ([10, 0, 0, 3], 7001).into();
    network.start(3, new_address);
    network.run(20 * SECOND);
    let mut old_process_events = network.reported.iter().filter(|reported| reported.by == address_of(3));
    assert!(
        old_process_events.any(|reported| reported.event == Event::Superseded),
        "the old process reports that it is superseded"
    );
    network.nodes.remove(&address_of(3));
    assert_eq!(network.agreed_live_count(), Some(5));
    assert_eq!(network.member(0).view().get(3).unwrap().record.address, new_address);
    assert_eq!(network.ever_reported_dead(), []);
}

/// A new member with another id starts at the address of a dead member. Messages to the dead member arrive at the new
/// one and are ignored.
#[test]
fn a_member_at_the_address_of_a_dead_one_is_not_mistaken_for_it() {
    let mut network = Network::with_members(33, 6);
    network.kill(&[3]);
    network.start(9, address_of(3));
    network.run(30 * SECOND);
    assert_eq!((network.agreed_live_count(), network.ever_reported_dead()), (Some(6), vec![3]));
    // The dead member restarts at another address.
    network.start(3, ([10, 0, 0, 9], 7000).into());
    let start = network.now;
    network
        .run_until(start + 20 * SECOND, |network| network.agreed_live_count() == Some(7))
        .expect("all views agree");
}

#[test]
fn ten_members_join_in_a_second_and_leave_while_two_die() {
    let mut network = Network::with_members(37, 10);
    for id in 10..20 {
        network.start(id, address_of(id));
        network.run(SECOND / 10);
    }
    let start = network.now;
    let elapsed = network
        .run_until(start + 20 * SECOND, |network| network.agreed_live_count() == Some(20))
        .expect("all views agree");
    println!("ten new members known to all in {:.2} s", seconds(elapsed));
    for id in 10..20 {
        let now = network.now;
        network.node(address_of(id)).member.leave(now);
        network.collect(address_of(id), now);
    }
    network.kill(&[4, 5]);
    network.run(SECOND);
    network.kill(&(10..20).collect::<Vec<_>>());
    network.run(30 * SECOND);
    assert_eq!(network.agreed_live_count(), Some(8));
    let view = network.member(0).view();
    let state = |id: MemberId| view.get(id).unwrap().record.state;
    assert!((10..20).all(|id| state(id) == MemberState::Left), "members that left are not declared dead");
    assert_eq!((state(4), state(5)), (MemberState::Dead, MemberState::Dead));
    assert_eq!(network.partition_status(0), PartitionStatus::Majority);
}

#[test]
fn one_live_seed_is_enough_to_join() {
    let mut network = Network::with_members(41, 6);
    network.kill(&[0, 1, 2]);
    network.run(30 * SECOND);
    assert_eq!(network.agreed_live_count(), Some(3));
    network.start(9, address_of(9));
    network.run(10 * SECOND);
    assert_eq!(
        network.partition_status(9),
        PartitionStatus::NoQuorum,
        "a member that has reached no seed has no quorum"
    );
    network.start(1, address_of(1));
    let start = network.now;
    network
        .run_until(start + 20 * SECOND, |network| network.agreed_live_count() == Some(5))
        .expect("all views agree after one seed has restarted");
}

/// In every protocol period, one member sends the others forged records that report all members but itself as suspect,
/// dead and left. It holds the fleet's key, with which it can sign any message.
#[test]
fn forged_records_do_not_get_members_declared_dead() {
    const FORGER: MemberId = 7;
    let mut network = Network::with_members(43, 8);
    for _ in 0..120 {
        let records: Vec<MemberRecord> =
            network.member(0).view().members().map(|member| member.record).collect();
        for state in [MemberState::Suspect, MemberState::Dead, MemberState::Left] {
            let mut forged = Message::new(Kind::Records, 0, 1);
            for record in records.iter().filter(|record| record.id != FORGER) {
                let version = record.version / 2 * 2 + u32::from(state != MemberState::Suspect);
                forged.add(MemberRecord { state, version, reported_by: FORGER, ..*record }, 0);
            }
            (0..FORGER).for_each(|id| network.forge(FORGER, id, forged.encode()));
        }
        network.run(PROTOCOL_PERIOD);
    }
    assert_eq!(network.ever_reported_dead(), [], "no member is reported dead");
    assert_eq!(network.ever_reported(MemberState::Left), [], "no member is reported to have left");
    network.run(10 * SECOND);
    assert_eq!(network.agreed_live_count(), Some(8));
}

/// Datagrams recorded over 5 seconds are delivered again after one member has died and another has restarted.
#[test]
fn replayed_messages_change_nothing() {
    let mut network = Network::with_members(47, 5);
    let mut recorded = Vec::new();
    for _ in 0..100 {
        network.run(SECOND / 20);
        recorded.extend(network.in_flight.iter().cloned());
    }
    network.kill(&[3, 4]);
    network.run(SECOND);
    network.start(4, address_of(4));
    network.run(30 * SECOND);
    let view = |network: &Network| {
        let records = network.member(0).view().members().map(|member| member.record);
        records.map(|record| (record.id, record.state, record.incarnation)).collect::<Vec<_>>()
    };
    let before = view(&network);
    recorded.into_iter().for_each(|datagram| network.inject(datagram));
    network.run(30 * SECOND);
    assert_eq!(view(&network), before);
    assert_eq!(network.agreed_live_count(), Some(4));
}

fn any_record() -> impl Strategy<Value = MemberRecord> {
    let state = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Dead),
        Just(MemberState::Left)
    ];
    (any::<u16>(), state, 0u32..1 << 28, any::<u64>(), any::<[u8; 4]>(), any::<u16>()).prop_map(
        |(id, state, version, incarnation, ip, reported_by)| MemberRecord {
            id,
            state,
            version: version * 2 + u32::from(!state.is_live()),
            incarnation,
            address: (ip, reported_by).into(),
            reported_by,
        },
    )
}

proptest! {
    #[test]
    fn messages_decode_to_what_was_encoded(records in proptest::collection::vec(any_record(), 0..20), nonce: u32, digest: u64, target: u16) {
        for kind in [Kind::Ping, Kind::PingRequest { target, address: address_of(target) }, Kind::Digests { reply_requested: true, digests: [nonce; 16] }, Kind::Records] {
            let mut message = Message::new(kind, nonce, digest);
            let _ = records.iter().all(|record| message.add(*record, 0));
            let bytes = message.encode();
            prop_assert!(bytes.len() <= 256);
            prop_assert_eq!(Message::decode(&bytes).unwrap(), message);
        }
    }

    /// A member that receives arbitrary bytes and records from a process that holds the fleet's key does not panic,
    /// stays within its message rate and keeps its view within `max_members`.
    #[test]
    fn arbitrary_bytes_and_records_cause_no_panic_and_stay_within_the_limits(
        messages in proptest::collection::vec((any::<u16>(), proptest::collection::vec(any::<u8>(), 0..260)), 0..50),
        records in proptest::collection::vec(any_record(), 0..50),
    ) {
        let mut network = Network::new(1);
        network.start(0, address_of(0));
        let mut now = network.now;
        let member = &mut network.node(address_of(0)).member;
        for (from, bytes) in messages {
            now += 1000;
            let _ = member.handle_message(now, from, address_of(from), &bytes);
        }
        for record in records {
            let mut message = Message::new(Kind::Ping, 1, 2);
            message.add(record, 0);
            now += 1000;
            prop_assert!(member.handle_message(now, record.id % 1000, address_of(1), &message.encode()).is_ok());
            member.handle_timeout(now);
        }
        prop_assert!(member.view().known_count() <= 1000);
        let sent = std::iter::from_fn(|| member.poll_transmit()).count();
        prop_assert!(sent <= 41, "{} messages sent, at most 41 expected", sent);
    }
}
