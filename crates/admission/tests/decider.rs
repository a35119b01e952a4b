//! The decider alone: each guard, floods, and any order of events.

use chalkgap_admission::known_clients::SnapshotError;
use chalkgap_admission::*;
use proptest::prelude::*;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

const S: Micros = 1_000_000;
const T0: Micros = 1_000 * S;

fn caps() -> Caps {
    Caps {
        per_address: 5,
        per_prefix: 20,
        per_second: 10.0,
        handshakes: 50,
        handshakes_per_address: 4,
        reserve: 0.3,
        preferred: 0.1,
        remembered: 100,
        words_per_s: 10.0,
        gives_way: None,
    }
}

fn known() -> KnownClients {
    KnownClients::new(
        KnownClientLimits { max_addresses: 50, max_per_account: 5, remember_for: 600 * S },
        vec![CidrBlock::parse("10.9.0.0/16").unwrap()],
    )
}

fn decider() -> Admission {
    Admission::new(caps(), DescriptorBudget { clients: 100, nodes: 10, spare: 5 }, known())
}

/// An address of its own /24.
fn far(n: u32) -> IpAddr {
    Ipv4Addr::from(0x2000_0000 + (n << 8)).into()
}

fn near(n: u32) -> IpAddr {
    Ipv4Addr::from(0x3000_0000 + n).into()
}

fn reason(o: Offer) -> Option<Reason> {
    match o {
        Offer::Refuse { reason, .. } => Some(reason),
        Offer::Accept { .. } => None,
    }
}

/// Opens and finishes the handshake.
fn open(a: &mut Admission, now: Micros, id: u64, address: IpAddr) -> Offer {
    let offer = a.offered(now, ConnId(id), address);
    a.handshaken(now, ConnId(id));
    offer
}

/// Makes an address known by a served request.
fn earn(a: &mut Admission, now: Micros, id: u64, address: IpAddr, preferred: bool) {
    assert_eq!(open(a, now, id, address), Offer::Accept { evict: None });
    a.request(now, ConnId(id));
    a.ended(now, ConnId(id), Some((id, preferred)), false);
    a.closed(now, ConnId(id));
}

#[test]
fn an_address_has_its_caps() {
    let mut a = decider();
    for n in 0..5 {
        assert_eq!(reason(open(&mut a, T0, n, far(1))), None);
    }
    assert_eq!(reason(open(&mut a, T0, 5, far(1))), Some(Reason::Address));
    a.closed(T0, ConnId(0));
    assert_eq!(reason(open(&mut a, T0, 6, far(1))), None, "one came free");
    assert_eq!(reason(open(&mut a, T0, 7, far(2))), None, "another address is not concerned");
}

#[test]
fn opening_and_closing_at_once_is_a_matter_of_rate() {
    let mut a = decider();
    let tried = (0..100).filter(|n| {
        let accepted = reason(open(&mut a, T0, *n, far(1))).is_none();
        a.closed(T0, ConnId(*n));
        accepted
    });
    assert_eq!(tried.count(), 10);
    assert_eq!(reason(open(&mut a, T0, 200, far(1))), Some(Reason::Rate));
    assert_eq!(reason(open(&mut a, T0 + S / 2, 201, far(1))), None);
}

#[test]
fn half_open_ones_are_counted_apart() {
    let mut a = decider();
    for n in 0..4 {
        assert_eq!(reason(a.offered(T0, ConnId(n), far(1))), None);
    }
    assert_eq!(reason(a.offered(T0, ConnId(4), far(1))), Some(Reason::Handshakes));
    a.handshaken(T0, ConnId(0));
    assert_eq!(reason(a.offered(T0, ConnId(5), far(1))), None);
    // In all: twelve addresses with four each reach the fifty; a known client still gets in.
    for n in 0..46 {
        a.offered(T0, ConnId(100 + n), far(10 + n as u32 / 4));
    }
    assert_eq!(reason(a.offered(T0, ConnId(200), far(99))), Some(Reason::Handshakes));
    assert_eq!(reason(a.offered(T0, ConnId(201), Ipv4Addr::new(10, 9, 1, 1).into())), None);
}

#[test]
fn a_prefix_has_its_cap_and_a_known_neighbour_passes_it() {
    let mut a = decider();
    earn(&mut a, T0, 1000, near(200), false);
    for n in 0..20 {
        assert_eq!(reason(open(&mut a, T0, n, near(n as u32))), None);
    }
    assert_eq!(reason(open(&mut a, T0, 30, near(100))), Some(Reason::Prefix));
    assert_eq!(reason(open(&mut a, T0, 31, near(200))), None, "known, behind the same prefix as the flood");
    // IPv6: /64, and eight times as many in a /48.
    let mut a = decider();
    let at = |net: u16, host: u16| IpAddr::from(Ipv6Addr::new(0x2001, 0xdb8, 1, net, 0, 0, 0, host));
    let mut id = 0;
    let mut offer = |net, host| {
        id += 1;
        reason(open(&mut a, T0, id, at(net, host)))
    };
    assert!((0..20).all(|h| offer(0, h).is_none()));
    assert_eq!(offer(0, 99), Some(Reason::Prefix));
    assert!((0..50).all(|n| offer(1 + n, 1).is_none()), "seventy unknown ones have room");
    assert_eq!(offer(60, 1), Some(Reason::Full));
    let mapped: IpAddr = "::ffff:10.9.1.1".parse().unwrap();
    assert_eq!(a.standing(T0, mapped), Standing::Known, "one client under both names");
}

#[test]
fn the_reserve_is_kept_in_ladder_order() {
    let mut a = decider();
    earn(&mut a, T0, 1000, far(5000), false);
    earn(&mut a, T0, 1001, far(5001), true);
    // Busy ones, so that nobody can be evicted.
    let busy = |a: &mut Admission, id: u64, address| {
        let offer = open(a, T0, id, address);
        a.request(T0, ConnId(id));
        reason(offer)
    };
    let unknown = (0..200).filter(|n| busy(&mut a, *n, far(*n as u32)).is_none()).count();
    assert_eq!(unknown, 70, "thirty of a hundred are kept");
    let named = |n: u32| IpAddr::from(Ipv4Addr::from(0x0a09_0000 + (n << 8)));
    let known = (0..50).filter(|n| busy(&mut a, 300 + n, named(*n as u32)).is_none()).count();
    assert_eq!(known, 20, "ten of these for the dearest plans");
    assert_eq!(busy(&mut a, 400, far(5000)), Some(Reason::Full));
    assert_eq!(busy(&mut a, 401, far(5001)), None);
    assert_eq!(a.open_by_standing(), [0, 70, 20, 1]);
}

/// Clients that all come by one front, and hold a limit of their own in connections they no longer use: seen where half of
/// the tries never reached an ingress that had room for sixty more connections.
#[test]
fn where_all_come_alike_the_longest_idle_gives_way_before_there_is_no_room() {
    let way = GivesWay { from: 4, silent: 50_000, idle: 100_000 };
    let wide = Caps { per_address: 99, per_second: 1e9, reserve: 0.0, preferred: 0.0, ..caps() };
    let caps = Caps { gives_way: Some(way), per_prefix: 99, handshakes_per_address: 99, ..wide };
    let mut a = Admission::new(caps, DescriptorBudget { clients: 8, nodes: 10, spare: 3 }, known());
    let one = far(1);
    let accept = |victim: Option<u64>| Offer::Accept { evict: victim.map(ConnId) };
    let answered = |a: &mut Admission, at: Micros, id: u64| {
        a.request(at, ConnId(id));
        a.ended(at, ConnId(id), None, false);
    };
    for id in 0..4 {
        assert_eq!(open(&mut a, T0, id, one), accept(None));
    }
    answered(&mut a, T0 + 1000, 0);
    a.request(T0 + 2000, ConnId(1)); // busy until the end
    answered(&mut a, T0 + 3000, 2);
    answered(&mut a, T0 + 60_000, 3);
    // Nobody has been idle for long enough: there is room, and nobody has to go.
    assert_eq!(a.offered(T0 + 60_000, ConnId(4), one), accept(None));
    assert_eq!(open(&mut a, T0 + 110_000, 5, one), accept(Some(0)), "the longest idle");
    a.request(T0 + 110_000, ConnId(5));
    assert_eq!(open(&mut a, T0 + 111_000, 6, one), accept(Some(2)));
    a.request(T0 + 111_000, ConnId(6));
    // None that has asked is idle for long enough: the one that has said nothing goes.
    assert_eq!(open(&mut a, T0 + 112_000, 7, one), accept(Some(4)));
    a.request(T0 + 112_000, ConnId(7));
    // As many leave as descriptors are spare: the next one comes into the room that there is.
    assert_eq!(open(&mut a, T0 + 300_000, 8, one), accept(None));
    for id in [0, 2, 4] {
        a.closed(T0 + 300_000, ConnId(id));
    }
    a.request(T0 + 300_000, ConnId(8));
    assert_eq!(open(&mut a, T0 + 300_000, 9, one), accept(Some(3)), "busy ones never");
    assert_eq!(open(&mut a, T0 + 300_000, 10, one), accept(None));
}

/// Thousands that ask once and stay, and thousands that send half a command: seen where silent ones went first, and with them
/// clients that were about to ask: every second try failed.
#[test]
fn who_has_been_served_gives_way_before_who_may_be_about_to_ask() {
    let way = GivesWay { from: 4, silent: 50_000, idle: 50_000 };
    let wide =
        Caps { per_address: 99, per_second: 1e9, reserve: 0.0, preferred: 0.0, per_prefix: 99, ..caps() };
    let caps = Caps { gives_way: Some(way), handshakes_per_address: 99, ..wide };
    let mut a = Admission::new(caps, DescriptorBudget { clients: 8, nodes: 10, spare: 3 }, known());
    let (one, accept) = (far(1), |victim: Option<u64>| Offer::Accept { evict: victim.map(ConnId) });
    for id in 0..3 {
        assert_eq!(a.offered(T0 + id, ConnId(id), one), accept(None), "silent");
    }
    open(&mut a, T0 + 1000, 3, one);
    a.request(T0 + 1000, ConnId(3));
    a.ended(T0 + 2000, ConnId(3), None, false);
    assert_eq!(
        a.offered(T0 + 60_000, ConnId(4), one),
        accept(Some(3)),
        "served, and longer here than it needs"
    );
    a.closed(T0 + 60_000, ConnId(3));
    assert_eq!(a.offered(T0 + 60_001, ConnId(5), one), accept(Some(0)));
    // It is in the middle of a command: it stays, and the others are asked before it is asked again.
    a.stays(T0 + 60_002, ConnId(0));
    for id in 1..3 {
        assert_eq!(a.offered(T0 + 60_002 + id, ConnId(5 + id), one), accept(Some(id)));
        a.closed(T0 + 60_002 + id, ConnId(id));
    }
    assert_eq!(a.offered(T0 + 60_010, ConnId(8), one), accept(None), "the rest came just now");
}

#[test]
fn idle_unknown_ones_make_room_for_known_ones_and_busy_ones_never() {
    let mut a = decider();
    let named = |n: u32| IpAddr::from(Ipv4Addr::from(0x0a09_0000 + (n << 8)));
    for n in 0..70 {
        assert_eq!(reason(open(&mut a, T0 + n, n, far(n as u32))), None);
        if n % 2 == 0 {
            a.request(T0 + n, ConnId(n));
        }
    }
    for n in 0..20 {
        assert_eq!(open(&mut a, T0, 100 + n, named(n as u32)), Offer::Accept { evict: None });
    }
    // The longest idle first; as many at once as descriptors are spare.
    for n in 0..5 {
        let offer = open(&mut a, T0 + S, 200 + n, named(100 + n as u32));
        assert_eq!(offer, Offer::Accept { evict: Some(ConnId(2 * n + 1)) });
    }
    assert_eq!(reason(open(&mut a, T0 + S, 300, named(200))), Some(Reason::Full), "five are leaving");
    a.closed(T0 + S, ConnId(1));
    assert_eq!(open(&mut a, T0 + S, 301, named(201)), Offer::Accept { evict: Some(ConnId(11)) });
    // One that was told to go has a request after all: it stays, and its place is not given twice.
    a.request(T0 + S, ConnId(3));
    a.stays(T0 + S, ConnId(3));
    assert_eq!(open(&mut a, T0 + S, 302, named(202)), Offer::Accept { evict: Some(ConnId(13)) });
    assert_eq!(
        reason(open(&mut a, T0 + S, 303, far(999))),
        Some(Reason::Full),
        "an unknown one evicts nobody"
    );
}

#[test]
fn known_is_earned_ages_and_cannot_be_claimed() {
    let mut a = decider();
    assert_eq!(a.standing(T0, far(1)), Standing::Unknown);
    // Refused and failed requests earn nothing.
    for n in 0..5 {
        open(&mut a, T0, n, far(n as u32));
        a.request(T0, ConnId(n));
        a.ended(T0, ConnId(n), None, n % 2 == 0);
        assert_eq!(a.standing(T0, far(n as u32)), Standing::Unknown);
    }
    earn(&mut a, T0, 100, far(100), true);
    assert_eq!(a.standing(T0, far(100)), Standing::Preferred);
    assert_eq!(a.standing(T0 + 600 * S, far(100)), Standing::Preferred);
    assert_eq!(a.standing(T0 + 601 * S, far(100)), Standing::Unknown);
    // One account makes five addresses known and no more: its own oldest goes.
    let mut k = known();
    for n in 0..20 {
        k.record_served(T0 + n, far(n as u32), 7, false);
    }
    k.record_served(T0, far(100), 8, false);
    assert_eq!(k.len(), 6);
    assert_eq!(
        (k.lookup(T0, far(14)), k.lookup(T0, far(15)), k.lookup(T0, far(100))),
        (None, Some(KnownTier::Standard), Some(KnownTier::Standard))
    );
    // All places taken: the longest unserved goes.
    for n in 0..100 {
        k.record_served(T0 + 100 + n, far(1000 + n as u32), 1000 + n, false);
    }
    assert_eq!(k.len(), 50);
    assert_eq!(k.lookup(T0, far(100)), None);
}

#[test]
fn who_is_refused_again_and_again_turns_red_and_goes_first() {
    let mut a = decider();
    earn(&mut a, T0, 1000, far(1), false);
    open(&mut a, T0, 1, far(1));
    for _ in 0..20 {
        a.request(T0, ConnId(1));
        a.ended(T0, ConnId(1), None, true);
    }
    assert_eq!(a.standing(T0, far(1)), Standing::Red);
    // Half of the room of unknown ones is not theirs.
    for n in 10..45 {
        assert_eq!(reason(open(&mut a, T0, n, far(n as u32))), None);
    }
    assert_eq!(reason(open(&mut a, T0, 50, far(1))), Some(Reason::Full));
    assert_eq!(reason(open(&mut a, T0, 51, far(51))), None);
    assert_eq!(a.standing(T0 + 60 * S, far(1)), Standing::Known, "it fades");
}

#[test]
fn words_have_a_budget_of_work() {
    let mut a = decider();
    for n in 0..5 {
        open(&mut a, T0, n, far(1));
    }
    let said = (0..1000u64)
        .filter(|n| matches!(a.offered(T0 + n, ConnId(100 + n), far(1)), Offer::Refuse { word: true, .. }));
    assert_eq!(said.count(), 10);
}

#[test]
fn a_lower_budget_lets_idle_ones_go_and_busy_ones_stay() {
    let mut a = decider();
    for n in 0..60 {
        open(&mut a, T0, n, far(n as u32));
        if n < 30 {
            a.request(T0, ConnId(n));
        }
    }
    let gone = a.rebudget(T0, DescriptorBudget { clients: 20, nodes: 10, spare: 5 });
    assert_eq!(gone.len(), 30, "the idle ones, all of them; thirty busy ones are over the budget");
    gone.iter().for_each(|id| a.closed(T0, *id));
    let named = IpAddr::from(Ipv4Addr::new(10, 9, 1, 1));
    assert_eq!(reason(open(&mut a, T0, 100, named)), Some(Reason::Full));
}

/// Peers that were told to go and keep their side open: seen where a lower limit was in force for a second before the first
/// known client got in, as each evicted connection was waited for that long.
#[test]
fn who_lingers_lends_its_descriptor_and_keeps_nobody_out() {
    let named = |n: u32| IpAddr::from(Ipv4Addr::from(0x0a09_0000 + (n << 8)));
    let mut a = decider();
    for n in 0..70 {
        open(&mut a, T0 + n, n, far(n as u32));
    }
    let evicted = a.rebudget(T0 + S, DescriptorBudget { clients: 50, nodes: 10, spare: 8 });
    assert_eq!(evicted.len(), 20);
    // Each is cut as soon as it lingers while more are open than clients may have and half of the spare ones; those that
    // follow may linger, and the longest goes first.
    let (mut cut, mut lingering) = (Vec::new(), Vec::new());
    for (n, id) in (0..).zip(&evicted) {
        a.lingers(T0 + S + n, *id);
        lingering.push(*id);
        let wanted = a.wanted();
        assert_eq!(wanted, lingering.drain(..wanted.len()).collect::<Vec<_>>());
        cut.extend(wanted);
    }
    assert_eq!((cut.len(), lingering.len()), (16, 4));
    // A connection that serves cannot be taken for one that lingers, and one that was cut is cut once.
    assert_eq!(a.wanted(), []);
    a.stays(T0 + S, lingering[0]);
    cut.iter().for_each(|id| a.closed(T0 + 2 * S, *id));
    // Known clients come in at once, more of them than are spare. Each time one that lingers, or the one that goes for it,
    // gives up its descriptor: never more are open than there are.
    for n in 0..20 {
        let now = T0 + 2 * S + u64::from(n);
        let offer = open(&mut a, now, 1000 + u64::from(n), named(n));
        let Offer::Accept { evict: Some(victim) } = offer else { panic!("known client {n}: {offer:?}") };
        a.lingers(now, victim);
        for id in a.wanted() {
            a.closed(now, id);
        }
        assert!(a.open_by_standing().iter().sum::<u64>() <= 54, "{:?}", a.open_by_standing());
    }
}

#[test]
fn our_own_pause_is_nobodys_delay() {
    let mut a = decider();
    let begun = a.own_time(T0);
    for n in 1..=10 {
        a.own_time(T0 + n * 100_000);
    }
    assert_eq!(a.own_time(T0 + S) - begun, S);
    assert!(a.own_time(T0 + 4 * S) - begun <= S, "three seconds in which nothing was looked at");
    assert_eq!(a.own_time(T0 + 4 * S + 100_000) - begun, S + 100_000);
}

#[test]
fn a_listener_that_fails_rests_longer_each_time() {
    let mut a = decider();
    let rests: Vec<Micros> = (0..10).map(|_| a.accept_failed(T0) - T0).collect();
    assert!(rests[0] >= 10_000 && rests.windows(2).all(|w| w[1] >= w[0]) && rests[9] <= 2 * S, "{rests:?}");
    a.accepted();
    assert_eq!(a.accept_failed(T0) - T0, rests[0]);
}

#[test]
fn a_budget_too_small_says_so() {
    let split =
        DescriptorReservations { listeners: 8, nodes: 64, peers: 4, files: 16, spare: 8, max_clients: 1000 };
    assert_eq!(split.split(200, 10), Ok(DescriptorBudget { clients: 100, nodes: 64, spare: 8 }));
    assert_eq!(split.split(100_000, 10).unwrap().clients, 1000);
    let error = split.split(105, 10).unwrap_err().to_string();
    assert!(
        error.starts_with("105 descriptors, but 100 are set aside") && error.contains("need 10"),
        "{error}"
    );
    assert!(DescriptorReservations { nodes: u64::MAX, ..split }.split(200, 1).is_err());
}

#[test]
fn snapshots_are_taken_whole_or_not_at_all() {
    let mut k = known();
    (0..40).for_each(|n| k.record_served(T0 + n, far(n as u32), n, n % 2 == 0));
    let bytes = k.snapshot();
    let mut again = known();
    assert_eq!(again.restore(T0 + S, &bytes).unwrap(), 40);
    assert_eq!(again.lookup(T0 + S, far(4)), Some(KnownTier::Preferred));
    assert_eq!(again.snapshot(), bytes);
    // Torn anywhere, changed anywhere, or another file.
    for cut in 0..bytes.len() {
        assert!(known().restore(T0, &bytes[..cut]).is_err(), "cut at {cut}");
    }
    for at in (0..bytes.len()).step_by(7) {
        let mut bad = bytes.clone();
        bad[at] ^= 1;
        assert!(known().restore(T0, &bad).is_err(), "changed at {at}");
    }
    assert!(matches!(
        known().restore(T0, b"something else entirely, and long enough for a hash"),
        Err(SnapshotError::Format)
    ));
    // What is too old by now, or from a clock ahead of ours, is left out.
    assert_eq!(known().restore(T0 + 700 * S, &bytes).unwrap(), 0);
    assert_eq!(known().restore(T0 - S, &bytes).unwrap(), 0);
}

#[test]
fn blocks() {
    for (text, inside, outside) in [
        ("10.1.0.0/16", "10.1.255.255", "10.2.0.0"),
        ("0.0.0.0/0", "1.2.3.4", "::1"),
        ("2001:db8::/32", "2001:db8:ffff::1", "2001:db9::"),
        ("127.0.0.1", "::ffff:127.0.0.1", "127.0.0.2"),
    ] {
        let block = CidrBlock::parse(text).unwrap();
        assert!(
            block.contains(inside.parse().unwrap()) && !block.contains(outside.parse().unwrap()),
            "{text}"
        );
    }
    for text in ["", "10.0.0.0/33", "10.0.0.0/x", "10.0.0.1/8", "abc", "::/129", "10.0.0.0/-1"] {
        assert!(CidrBlock::parse(text).unwrap_err().to_string().contains(&format!("{text:?}")));
    }
}

/// A million addresses: the tables keep their bounds, and known clients their place.
#[test]
fn a_million_addresses() {
    let mut a = decider();
    earn(&mut a, T0, 0, far(70_000), false);
    for n in 0..1_000_000u64 {
        let address = Ipv4Addr::from(0x4000_0000 + (n as u32).wrapping_mul(257)).into();
        let now = T0 + n;
        if let Offer::Accept { .. } = a.offered(now, ConnId(n + 1), address) {
            if n % 3 == 0 {
                a.handshaken(now, ConnId(n + 1));
            }
            if n % 2 == 0 {
                a.closed(now, ConnId(n + 1));
            }
        }
    }
    let (addresses, prefixes) = a.table_sizes();
    assert!(addresses <= 100 + 105 && prefixes <= 2 * 105, "{addresses} addresses, {prefixes} prefixes");
    assert_eq!(reason(a.offered(T0 + S, ConnId(9_000_000), far(70_000))), None, "a known one gets in");
}

#[derive(Clone, Debug)]
enum Step {
    Offer(u8),
    Shaken(u8),
    Request(u8),
    Ended(u8, Option<bool>, bool),
    Closed(u8),
    Lingers(u8),
    Budget(u8),
    Pass(u32),
}

/// How far a connection is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum On {
    Serves,
    Leaves,
    Lingers,
    Cut,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => any::<u8>().prop_map(Step::Offer),
        3 => any::<u8>().prop_map(Step::Shaken),
        3 => any::<u8>().prop_map(Step::Request),
        3 => (any::<u8>(), any::<Option<bool>>(), any::<bool>()).prop_map(|(n, s, r)| Step::Ended(n, s, r)),
        3 => any::<u8>().prop_map(Step::Closed),
        2 => any::<u8>().prop_map(Step::Lingers),
        1 => (5u8..40).prop_map(Step::Budget),
        1 => (0u32..3_000_000).prop_map(Step::Pass),
    ]
}

proptest! {
    /// No order of events passes the budget, breaks the reserve, evicts one with a request, or has somebody linger with a
    /// descriptor that is wanted.
    #[test]
    fn any_order(steps in proptest::collection::vec(step(), 0..400)) {
        let mut budget = DescriptorBudget { clients: 30, nodes: 1, spare: 3 };
        let mut a = Admission::new(Caps { per_second: 1000.0, ..caps() }, budget, known());
        let (mut now, mut next) = (T0, 0u64);
        let mut open: Vec<(ConnId, u32, On)> = Vec::new();
        for s in steps {
            let len = open.len();
            let pick = |n: u8| (len > 0).then(|| usize::from(n) % len);
            match s {
                Step::Offer(n) => {
                    next += 1;
                    let address = if n % 4 == 0 { Ipv4Addr::new(10, 9, n, 1).into() } else { far(u32::from(n)) };
                    let standing = a.standing(now, address);
                    let before = open.iter().filter(|c| c.2 == On::Serves).count() as u64;
                    match a.offered(now, ConnId(next), address) {
                        Offer::Accept { evict } => {
                            prop_assert!((len as u64) < budget.clients + budget.spare);
                            let kept = (budget.clients as f64 * 0.3).ceil() as u64;
                            if standing <= Standing::Unknown {
                                prop_assert!(before < budget.clients.saturating_sub(kept), "into the reserve");
                                prop_assert!(evict.is_none());
                            }
                            if let Some(v) = evict {
                                let c = open.iter_mut().find(|c| c.0 == v).expect("one that is open");
                                prop_assert!(c.1 == 0 && c.2 == On::Serves, "evicted with a request, or twice");
                                c.2 = On::Leaves;
                            }
                            open.push((ConnId(next), 0, On::Serves));
                        }
                        Offer::Refuse { pause, .. } => prop_assert!(pause > 0),
                    }
                }
                Step::Shaken(n) => pick(n).into_iter().for_each(|i| a.handshaken(now, open[i].0)),
                Step::Request(n) => if let Some(i) = pick(n).filter(|i| open[*i].2 <= On::Leaves) {
                    a.request(now, open[i].0);
                    open[i].1 += 1;
                    if open[i].2 == On::Leaves {
                        a.stays(now, open[i].0);
                        open[i].2 = On::Serves;
                    }
                },
                Step::Ended(n, served, refused) => if let Some(i) = pick(n).filter(|i| open[*i].1 > 0) {
                    a.ended(now, open[i].0, served.map(|p| (u64::from(n), p)), refused && served.is_none());
                    open[i].1 -= 1;
                },
                Step::Closed(n) => if let Some(i) = pick(n) {
                    a.closed(now, open.swap_remove(i).0);
                },
                Step::Lingers(n) => if let Some(i) = pick(n).filter(|i| open[*i].1 == 0) {
                    a.lingers(now, open[i].0);
                    open[i].2 = open[i].2.max(On::Lingers);
                }
                Step::Budget(n) => {
                    budget.clients = u64::from(n);
                    for id in a.rebudget(now, budget) {
                        let c = open.iter_mut().find(|c| c.0 == id).expect("one that is open");
                        prop_assert!(c.1 == 0 && c.2 == On::Serves);
                        c.2 = On::Leaves;
                    }
                }
                Step::Pass(by) => now += u64::from(by),
            }
            for id in a.wanted() {
                let c = open.iter_mut().find(|c| c.0 == id).expect("one that is open");
                prop_assert!(c.2 == On::Lingers, "cut while it serves, or twice");
                c.2 = On::Cut;
            }
            let held = open.iter().filter(|c| c.2 < On::Cut).count() as u64;
            let lingers = open.iter().any(|c| c.2 == On::Lingers);
            prop_assert!(!lingers || held <= budget.clients + budget.spare / 2, "{held} held, and some linger");
            prop_assert_eq!(a.open_by_standing().iter().sum::<u64>(), open.len() as u64);
        }
        for (id, ..) in open {
            a.closed(now, id);
        }
        prop_assert_eq!(a.open_by_standing(), [0; 4]);
        prop_assert!(a.table_sizes().0 <= 100 && a.table_sizes().1 == 0, "nothing leaks");
    }
}
