//! Whole fleets of members on a network in memory, with a clock that jumps: three, twenty-four, three hundred of them.

use chalkgap_membership::view::Fact;
use chalkgap_membership::wire::{Kind, Message};
use chalkgap_membership::{Change, Config, Membership, Micros, Number, Standing, State, ANYONE};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

const ROUND: Micros = 500_000;
const SECOND: Micros = 1_000_000;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Letter {
    /// Reversed, as the heap gives the greatest first.
    at: std::cmp::Reverse<(Micros, u64)>,
    from: Number,
    source: SocketAddr,
    /// To whom it is sealed: another one does not open it.
    whom: Number,
    to: SocketAddr,
    bytes: Vec<u8>,
}

#[derive(Default, Clone, Copy)]
struct Sent {
    messages: u64,
    bytes: u64,
}

struct Slot {
    member: Membership,
    /// Stopped until then: nothing comes in, no clock ticks.
    stopped: Micros,
    sent: Sent,
}

/// Whether a datagram from one number to another is lost: the cuts of a day.
type Cut = Box<dyn Fn(Number, Number) -> bool>;

struct Net {
    now: Micros,
    rng: SmallRng,
    loss: f64,
    cut: Cut,
    letters: BinaryHeap<Letter>,
    set: u64,
    /// By address: an old process and its replacement may both live.
    slots: BTreeMap<SocketAddr, Slot>,
    /// What members said has changed: when, who, what.
    changes: Vec<(Micros, SocketAddr, Change)>,
    /// A process that runs for a tenth of the time, in slices.
    slow: Option<SocketAddr>,
}

fn at(n: Number) -> SocketAddr {
    ([10, 0, (n >> 8) as u8, n as u8], 7000).into()
}

impl Net {
    fn new(seed: u64) -> Net {
        Net {
            now: 1_800_000_000 * SECOND,
            rng: SmallRng::seed_from_u64(seed),
            loss: 0.0,
            cut: Box::new(|_, _| false),
            letters: BinaryHeap::new(),
            set: 0,
            slots: BTreeMap::new(),
            changes: Vec::new(),
            slow: None,
        }
    }

    fn of(seed: u64, count: Number) -> Net {
        let mut net = Net::new(seed);
        (0..count).for_each(|n| net.start(n, at(n)));
        net.run(60 * SECOND);
        assert_eq!(net.agreed(), Some(usize::from(count)), "all have met");
        net
    }

    fn start(&mut self, me: Number, address: SocketAddr) {
        let config = Config {
            me,
            start: self.now,
            address,
            seeds: vec![at(0), at(1), at(2)],
            most: 1000,
            round: ROUND,
            objection: 0,
            per_second: 40.0,
            seed: self.rng.random(),
        };
        let member = Membership::new(self.now, config);
        self.slots.insert(address, Slot { member, stopped: 0, sent: Sent::default() });
    }

    /// Runs for so long.
    fn run(&mut self, span: Micros) {
        let end = self.now + span;
        self.until(end, |_| false);
    }

    /// Runs to a time, or until something is so; the time that it took.
    fn until(&mut self, end: Micros, done: impl Fn(&Net) -> bool) -> Option<Micros> {
        let begun = self.now;
        let step = 10_000;
        while self.now < end {
            let next = self.now + step;
            while self.letters.peek().is_some_and(|l| l.at.0 .0 <= next) {
                let Some(l) = self.letters.pop() else { break };
                let now = l.at.0 .0.max(self.now);
                let asleep = self.asleep(l.to, now);
                let Some(slot) = self.slots.get_mut(&l.to) else { continue };
                if let Some(until) = asleep {
                    self.set += 1;
                    self.letters.push(Letter { at: std::cmp::Reverse((until, self.set)), ..l });
                    continue;
                }
                if l.whom != ANYONE && l.whom != slot.member.number() {
                    continue;
                }
                slot.member.hear(now, l.from, l.source, &l.bytes).unwrap();
                self.collect(l.to, now);
            }
            self.now = next;
            let due: Vec<SocketAddr> =
                self.slots.iter().filter(|s| s.1.member.wake() <= next).map(|s| *s.0).collect();
            for address in due {
                if self.asleep(address, next).is_none() {
                    self.slots.get_mut(&address).unwrap().member.tick(next);
                    self.collect(address, next);
                }
            }
            if done(self) {
                return Some(self.now - begun);
            }
        }
        None
    }

    fn asleep(&self, address: SocketAddr, now: Micros) -> Option<Micros> {
        let stopped = self.slots.get(&address).map_or(0, |s| s.stopped);
        if stopped > now {
            return Some(stopped);
        }
        // Nine tenths of each half second it stands still.
        (self.slow == Some(address) && now % 500_000 >= 50_000).then(|| (now / 500_000 + 1) * 500_000)
    }

    fn collect(&mut self, address: SocketAddr, now: Micros) {
        let slot = self.slots.get_mut(&address).unwrap();
        let from = slot.member_number();
        while let Some(out) = slot.member.send() {
            slot.sent.messages += 1;
            slot.sent.bytes += out.bytes.len() as u64 + 53; // with the datagram's own head and hash
            let to = out.address;
            let to_number = (u16::from(to_ip(to)[2]) << 8) + u16::from(to_ip(to)[3]);
            if (self.cut)(from, to_number) || self.rng.random::<f64>() < self.loss {
                continue;
            }
            self.set += 1;
            let late = self.rng.random_range(500..4500);
            let at = std::cmp::Reverse((now + late, self.set));
            self.letters.push(Letter { at, from, source: address, whom: out.to, to, bytes: out.bytes });
        }
        while let Some(change) = slot.member.change() {
            self.changes.push((now, address, change));
        }
    }

    /// How many all count as in, if all agree.
    fn agreed(&self) -> Option<usize> {
        let mut views = self
            .slots
            .values()
            .map(|s| (s.member.view().digest(), s.member.view().number(), s.member.view().counting()));
        let first = views.next()?;
        views.all(|v| v == first).then_some(first.2)
    }

    fn kill(&mut self, numbers: &[Number]) {
        numbers.iter().for_each(|n| {
            self.slots.remove(&at(*n));
        });
    }

    /// When each member that lives has said that this one is lost, since `from`.
    fn known_lost(&self, number: Number, from: Micros) -> BTreeMap<SocketAddr, Micros> {
        let mut seen = BTreeMap::new();
        for (when, who, change) in &self.changes {
            if let Change::Member(f) = change {
                if f.number == number
                    && f.state == State::Lost
                    && *when >= from
                    && self.slots.contains_key(who)
                {
                    seen.entry(*who).or_insert(when - from);
                }
            }
        }
        seen
    }

    fn ever_lost(&self) -> Vec<Number> {
        let lost = |c: &(Micros, SocketAddr, Change)| match &c.2 {
            Change::Member(f) if f.state == State::Lost => Some(f.number),
            _ => None,
        };
        self.changes.iter().filter_map(lost).collect::<BTreeSet<_>>().into_iter().collect()
    }

    fn standing(&self, n: Number) -> Standing {
        self.slots[&at(n)].member.standing()
    }
}

fn to_ip(a: SocketAddr) -> [u8; 4] {
    match a.ip() {
        std::net::IpAddr::V4(ip) => ip.octets(),
        std::net::IpAddr::V6(_) => [0; 4],
    }
}

impl Slot {
    fn member_number(&self) -> Number {
        self.member.number()
    }
}

/// The quantile of a list.
fn quantile(list: &mut [Micros], q: f64) -> f64 {
    list.sort_unstable();
    list[((list.len() - 1) as f64 * q) as usize] as f64 / 1e6
}

#[test]
fn a_death_is_known_to_all_within_the_bound_at_any_size() {
    for (count, seeds) in [(3, 6), (8, 4), (24, 3), (300, 1)] {
        let mut times = Vec::new();
        let mut bound = 0;
        for seed in 0..seeds {
            let mut net = Net::of(seed, count);
            bound = net.slots[&at(0)].member.late(1);
            let victims: Vec<Number> = if count == 300 { (100..108).collect() } else { vec![count / 2] };
            let begun = net.now;
            net.kill(&victims);
            let all = usize::from(count) - victims.len();
            let done = |n: &Net| victims.iter().all(|v| n.known_lost(*v, begun).len() == all);
            net.until(begun + bound, done)
                .unwrap_or_else(|| panic!("{count} members, seed {seed}: not in {bound}"));
            for v in &victims {
                times.extend(net.known_lost(*v, begun).into_values());
            }
            net.run(10 * SECOND);
            assert_eq!(net.ever_lost(), victims, "and nobody else");
            assert_eq!(net.agreed(), Some(all));
        }
        let (half, most) = (quantile(&mut times, 0.5), quantile(&mut times, 0.99));
        println!("{count} members: p50 {half:.2} s, p99 {most:.2} s, bound {:.2} s", bound as f64 / 1e6);
    }
}

#[test]
fn a_death_of_half_is_known_to_the_other_half_within_its_bound() {
    for count in [8, 24, 300] {
        let mut net = Net::of(3, count);
        let bound = net.slots[&at(0)].member.late(usize::from(count / 2));
        let begun = net.now;
        net.kill(&(0..count).filter(|n| n % 2 == 1).collect::<Vec<_>>());
        let all = usize::from(count / 2);
        let done = |n: &Net| n.slots.values().all(|s| s.member.view().counting() == all);
        let took =
            net.until(begun + bound, done).unwrap_or_else(|| panic!("{count} members: not in {bound}"));
        println!("half of {count}: {:.2} s, bound {:.2} s", took as f64 / 1e6, bound as f64 / 1e6);
    }
}

#[test]
fn bytes_and_messages_are_the_same_at_any_size() {
    let mut all = Vec::new();
    for count in [3, 24, 300] {
        let mut net = Net::of(5, count);
        net.slots.values_mut().for_each(|s| s.sent = Sent::default());
        net.run(20 * SECOND);
        let most = net.slots.values().map(|s| (s.sent.messages, s.sent.bytes)).max().unwrap();
        let sum: u64 = net.slots.values().map(|s| s.sent.bytes).sum();
        println!(
            "{count} members: at most {:.1} messages a second, {:.0} bytes; mean {:.0} bytes",
            most.0 as f64 / 20.0,
            most.1 as f64 / 20.0,
            sum as f64 / 20.0 / f64::from(count)
        );
        all.push(sum as f64 / 20.0 / f64::from(count));
    }
    assert!(all.iter().all(|b| *b < 600.0 && *b < 1.2 * all[0]), "{all:?}");
}

#[test]
fn nobody_is_lost_by_a_fifth_of_all_messages_for_two_minutes() {
    for count in [3, 8, 24] {
        let mut net = Net::of(7, count);
        net.loss = 0.2;
        net.run(120 * SECOND);
        assert_eq!(net.ever_lost(), [], "{count} members");
        net.loss = 0.0;
        net.run(20 * SECOND);
        assert_eq!(net.agreed(), Some(usize::from(count)));
    }
}

#[test]
fn nobody_is_lost_by_one_that_runs_a_tenth_of_the_time() {
    for seed in 0..4 {
        let mut net = Net::of(seed, 8);
        net.slow = Some(at(3));
        net.run(120 * SECOND);
        assert_eq!(net.ever_lost(), [], "seed {seed}");
    }
}

#[test]
fn after_a_cut_in_three_all_meet_again_in_any_order() {
    let mut net = Net::of(11, 24);
    net.cut = Box::new(|a, b| a % 3 != b % 3);
    net.run(60 * SECOND);
    let parts: BTreeSet<usize> = net.slots.values().map(|s| s.member.view().counting()).collect();
    assert_eq!(parts, BTreeSet::from([8]), "each part has its own third");
    assert!((0..24).all(|n| net.standing(n) == Standing::CutOff), "and knows that it is not the fleet");
    net.cut = Box::new(|a, b| a % 3 != b % 3 && (a % 3 == 2 || b % 3 == 2));
    net.run(40 * SECOND);
    assert_eq!(net.standing(0), Standing::Most);
    assert_eq!(net.standing(2), Standing::CutOff);
    net.cut = Box::new(|_, _| false);
    let begun = net.now;
    let took = net.until(begun + 30 * SECOND, |n| n.agreed() == Some(24));
    println!("24 members after a cut in three: {:.2} s", took.expect("all agree") as f64 / 1e6);
    assert!((0..24).all(|n| net.standing(n) == Standing::Whole));
}

#[test]
fn three_hundred_meet_again_after_half_was_cut_from_half() {
    let mut net = Net::of(13, 300);
    net.cut = Box::new(|a, b| (a < 150) != (b < 150));
    net.run(60 * SECOND);
    assert!((0..300).all(|n| net.standing(n) == Standing::CutOff));
    assert_eq!(net.slots[&at(7)].member.view().counting(), 150);
    net.cut = Box::new(|_, _| false);
    let begun = net.now;
    let took = net.until(begun + 60 * SECOND, |n| n.agreed() == Some(300));
    println!("300 members after a cut in half: {:.2} s", took.expect("all agree") as f64 / 1e6);
}

#[test]
fn a_link_that_goes_one_way_only_loses_nobody() {
    let mut net = Net::of(17, 5);
    net.cut = Box::new(|a, b| (a, b) == (0, 1));
    net.run(120 * SECOND);
    assert_eq!(net.ever_lost(), []);
}

#[test]
fn one_whom_a_single_other_reaches_is_not_lost() {
    let mut net = Net::of(19, 8);
    net.cut = Box::new(|a, b| (a == 5 && b != 2) || (b == 5 && a != 2));
    net.run(120 * SECOND);
    assert_eq!(net.ever_lost(), []);
}

#[test]
fn one_that_was_stopped_is_lost_wakes_and_is_in_again() {
    let mut net = Net::of(23, 5);
    net.slots.get_mut(&at(3)).unwrap().stopped = net.now + 30 * SECOND;
    net.run(29 * SECOND);
    assert_eq!(net.ever_lost(), [3]);
    let begun = net.now;
    net.run(2 * SECOND);
    let took = net.until(begun + 30 * SECOND, |n| n.agreed() == Some(5)).expect("all agree");
    println!("awake again after 30 s: {:.2} s", (took + 2 * SECOND) as f64 / 1e6);
    assert_eq!(net.ever_lost(), [3], "it has held nobody for lost in its sleep");
}

#[test]
fn all_killed_and_started_at_once_are_one_fleet_again() {
    let mut net = Net::of(29, 8);
    net.kill(&[0, 1, 2, 3, 4, 5, 6, 7]);
    net.run(SECOND);
    (0..8).for_each(|n| net.start(n, at(n)));
    let begun = net.now;
    let took = net.until(begun + 20 * SECOND, |n| n.agreed() == Some(8)).expect("all agree");
    println!("all killed and started: {:.2} s", took as f64 / 1e6);
}

#[test]
fn a_replacement_takes_the_number_and_the_old_one_falls_silent() {
    let mut net = Net::of(31, 5);
    let other: SocketAddr = ([10, 0, 0, 3], 7001).into();
    net.start(3, other);
    net.run(20 * SECOND);
    let over = |c: &(Micros, SocketAddr, Change)| c.1 == at(3) && c.2 == Change::Superseded;
    assert!(net.changes.iter().any(over), "the old one knows");
    net.slots.remove(&at(3));
    assert_eq!(net.agreed(), Some(5));
    assert_eq!(net.slots[&at(0)].member.view().get(3).unwrap().fact.address, other);
    assert_eq!(net.ever_lost(), []);
}

/// Messages for the dead come to a living one that has its address now, and are not taken for its own.
#[test]
fn one_that_starts_at_the_old_address_of_a_dead_one_is_itself() {
    let mut net = Net::of(33, 6);
    net.kill(&[3]);
    net.start(9, at(3));
    net.run(30 * SECOND);
    assert_eq!((net.agreed(), net.ever_lost()), (Some(6), vec![3]));
    // The dead one comes back elsewhere.
    net.start(3, ([10, 0, 0, 9], 7000).into());
    let begun = net.now;
    net.until(begun + 20 * SECOND, |n| n.agreed() == Some(7)).expect("all agree");
}

#[test]
fn ten_join_in_one_second_and_half_leave_while_two_die() {
    let mut net = Net::of(37, 10);
    for n in 10..20 {
        net.start(n, at(n));
        net.run(SECOND / 10);
    }
    let begun = net.now;
    let took = net.until(begun + 20 * SECOND, |n| n.agreed() == Some(20)).expect("all agree");
    println!("ten joined: {:.2} s", took as f64 / 1e6);
    for n in 10..20 {
        let slot = net.slots.get_mut(&at(n)).unwrap();
        slot.member.leave(net.now);
        net.collect(at(n), net.now);
    }
    net.kill(&[4, 5]);
    net.run(SECOND);
    net.kill(&(10..20).collect::<Vec<_>>());
    net.run(30 * SECOND);
    assert_eq!(net.agreed(), Some(8));
    let view = net.slots[&at(0)].member.view();
    let state = |n: Number| view.get(n).unwrap().fact.state;
    assert!((10..20).all(|n| state(n) == State::Left), "who left in order is not lost");
    assert_eq!((state(4), state(5)), (State::Lost, State::Lost));
    assert_eq!(net.standing(0), Standing::Most);
}

#[test]
fn seeds_that_are_dead_are_no_harm_once_one_was_met() {
    let mut net = Net::of(41, 6);
    net.kill(&[0, 1, 2]);
    net.run(30 * SECOND);
    assert_eq!(net.agreed(), Some(3));
    net.start(9, at(9));
    net.run(10 * SECOND);
    assert_eq!(net.standing(9), Standing::CutOff, "it has met nobody and does not hold itself for a fleet");
    net.start(1, at(1));
    let begun = net.now;
    net.until(begun + 20 * SECOND, |n| n.agreed() == Some(5)).expect("one seed is enough");
}

/// One that holds the key and lies: it says of all others that they are lost, or suspected, in every round.
#[test]
fn a_member_that_lies_about_others_makes_nobody_lost() {
    let mut net = Net::of(43, 8);
    for _ in 0..120 {
        let facts: Vec<Fact> = net.slots[&at(0)].member.view().members().map(|m| m.fact).collect();
        for state in [State::Suspected, State::Lost, State::Left] {
            let mut lie = Message::new(Kind::Facts, 0, 1);
            for f in facts.iter().filter(|f| f.number != 7) {
                let turn = f.turn / 2 * 2 + u32::from(state != State::Suspected);
                lie.add(Fact { state, turn, by: 7, ..*f }, 0);
            }
            for n in 0..7 {
                net.set += 1;
                let due = std::cmp::Reverse((net.now + 1000, net.set));
                let bytes = lie.encode();
                net.letters.push(Letter { at: due, from: 7, source: at(7), whom: n, to: at(n), bytes });
            }
        }
        net.run(ROUND);
    }
    assert_eq!(net.ever_lost(), []);
    let left = net.changes.iter().any(|c| matches!(&c.2, Change::Member(f) if f.state == State::Left));
    assert!(!left, "nor to have left");
    net.run(10 * SECOND);
    assert_eq!(net.agreed(), Some(8));
}

/// Everything that was under way for a while comes again, after one has died and another has a new start.
#[test]
fn what_is_told_again_much_later_changes_nothing() {
    let mut net = Net::of(47, 5);
    let mut kept = Vec::new();
    for _ in 0..100 {
        net.run(SECOND / 20);
        kept.extend(net.letters.iter().map(|l| (l.from, l.source, l.whom, l.to, l.bytes.clone())));
    }
    net.kill(&[3, 4]);
    net.run(SECOND);
    net.start(4, at(4));
    net.run(30 * SECOND);
    let view = |net: &Net| {
        let v = net.slots[&at(0)].member.view();
        v.members().map(|m| (m.fact.number, m.fact.state, m.fact.start)).collect::<Vec<_>>()
    };
    let before = view(&net);
    for (from, source, whom, to, bytes) in kept {
        net.set += 1;
        let due = std::cmp::Reverse((net.now + 1000, net.set));
        net.letters.push(Letter { at: due, from, source, whom, to, bytes });
    }
    net.run(30 * SECOND);
    assert_eq!(view(&net), before);
    assert_eq!(net.agreed(), Some(4));
}

fn any_fact() -> impl Strategy<Value = Fact> {
    let state = prop_oneof![Just(State::In), Just(State::Suspected), Just(State::Lost), Just(State::Left)];
    (any::<u16>(), state, 0u32..1 << 28, any::<u64>(), any::<[u8; 4]>(), any::<u16>()).prop_map(
        |(number, state, turn, start, ip, by)| Fact {
            number,
            state,
            turn: turn * 2 + u32::from(!state.counts()),
            start,
            address: (ip, by).into(),
            by,
        },
    )
}

proptest! {
    #[test]
    fn messages_come_out_as_they_went_in(facts in proptest::collection::vec(any_fact(), 0..20), nonce: u32, digest: u64, target: u16) {
        for kind in [Kind::Ping, Kind::Ask { target, at: at(target) }, Kind::Sums { ask: true, sums: [nonce; 16] }, Kind::Facts] {
            let mut m = Message::new(kind, nonce, digest);
            let _ = facts.iter().all(|f| m.add(*f, 0));
            let bytes = m.encode();
            prop_assert!(bytes.len() <= 256);
            prop_assert_eq!(Message::decode(&bytes).unwrap(), m);
        }
    }

    /// Whatever a holder of the key sends: no panic, no more messages than allowed, a view that is bounded.
    #[test]
    fn any_bytes_and_any_facts(
        list in proptest::collection::vec((any::<u16>(), proptest::collection::vec(any::<u8>(), 0..260)), 0..50),
        facts in proptest::collection::vec(any_fact(), 0..50),
    ) {
        let mut net = Net::new(1);
        net.start(0, at(0));
        let member = &mut net.slots.get_mut(&at(0)).unwrap().member;
        let mut now = net.now;
        for (from, bytes) in list {
            now += 1000;
            let _ = member.hear(now, from, at(from), &bytes);
        }
        for fact in facts {
            let mut m = Message::new(Kind::Ping, 1, 2);
            m.add(fact, 0);
            now += 1000;
            prop_assert!(member.hear(now, fact.number % 1000, at(1), &m.encode()).is_ok());
            member.tick(now);
        }
        prop_assert!(member.view().known() <= 1000);
        let sent = std::iter::from_fn(|| member.send()).count();
        prop_assert!(sent <= 41, "{}", sent);
    }
}
