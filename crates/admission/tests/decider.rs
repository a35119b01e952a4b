//! Tests of the admission decider: each limit, floods, and random sequences of events.

use chalkgap_admission::known_clients::SnapshotError;
use chalkgap_admission::*;
use proptest::prelude::*;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

const SECOND: Micros = 1_000_000;
const START: Micros = 1_000 * SECOND;

fn caps() -> Caps {
    Caps {
        per_address: 5,
        per_prefix: 20,
        per_second: 10.0,
        handshakes: 50,
        handshakes_per_address: 4,
        reserve: 0.3,
        preferred_reserve: 0.1,
        max_remembered_addresses: 100,
        rejection_responses_per_second: 10.0,
        idle_eviction: None,
    }
}

fn known_clients() -> KnownClients {
    KnownClients::new(
        KnownClientLimits { max_addresses: 50, max_per_account: 5, remember_for: 600 * SECOND },
        vec![CidrBlock::parse("10.9.0.0/16").unwrap()],
    )
}

fn decider() -> Admission {
    Admission::new(caps(), DescriptorBudget { clients: 100, nodes: 10, spare: 5 }, known_clients())
}

/// An address in a /24 of its own.
fn address(n: u32) -> IpAddr {
    Ipv4Addr::from(0x2000_0000 + (n << 8)).into()
}

/// For `n` below 256, all addresses are in one /24.
fn address_in_shared_prefix(n: u32) -> IpAddr {
    Ipv4Addr::from(0x3000_0000 + n).into()
}

fn reject_reason(decision: Decision) -> Option<Reason> {
    match decision {
        Decision::Reject { reason, .. } => Some(reason),
        Decision::Accept { .. } => None,
    }
}

/// Requests the admission of a connection, and completes its handshake.
fn open_connection(admission: &mut Admission, now: Micros, id: u64, address: IpAddr) -> Decision {
    let decision = admission.admit(now, ConnId(id), address);
    admission.handshake_completed(now, ConnId(id));
    decision
}

/// Makes an address known through a served request of account `id`.
fn make_known(admission: &mut Admission, now: Micros, id: u64, address: IpAddr, preferred: bool) {
    assert_eq!(open_connection(admission, now, id, address), Decision::Accept { evict: None });
    admission.request_started(now, ConnId(id));
    admission.request_ended(now, ConnId(id), Some((id, preferred)), false);
    admission.closed(now, ConnId(id));
}

#[test]
fn open_connections_of_an_address_are_limited() {
    let mut admission = decider();
    for n in 0..5 {
        assert_eq!(reject_reason(open_connection(&mut admission, START, n, address(1))), None);
    }
    assert_eq!(reject_reason(open_connection(&mut admission, START, 5, address(1))), Some(Reason::Address));
    admission.closed(START, ConnId(0));
    assert_eq!(
        reject_reason(open_connection(&mut admission, START, 6, address(1))),
        None,
        "one of its connections was closed"
    );
    assert_eq!(
        reject_reason(open_connection(&mut admission, START, 7, address(2))),
        None,
        "the limit is per address"
    );
}

#[test]
fn connection_attempts_of_an_address_are_limited_by_rate() {
    let mut admission = decider();
    let accepted = (0..100).filter(|n| {
        let reason = reject_reason(open_connection(&mut admission, START, *n, address(1)));
        admission.closed(START, ConnId(*n));
        reason.is_none()
    });
    assert_eq!(accepted.count(), 10);
    assert_eq!(reject_reason(open_connection(&mut admission, START, 200, address(1))), Some(Reason::Rate));
    assert_eq!(reject_reason(open_connection(&mut admission, START + SECOND / 2, 201, address(1))), None);
}

#[test]
fn incomplete_handshakes_are_limited_per_address_and_in_total() {
    let mut admission = decider();
    for n in 0..4 {
        assert_eq!(reject_reason(admission.admit(START, ConnId(n), address(1))), None);
    }
    assert_eq!(reject_reason(admission.admit(START, ConnId(4), address(1))), Some(Reason::Handshakes));
    admission.handshake_completed(START, ConnId(0));
    assert_eq!(reject_reason(admission.admit(START, ConnId(5), address(1))), None);
    // Twelve addresses with four incomplete handshakes each reach the total limit of 50; a known client is still admitted.
    for n in 0..46 {
        admission.admit(START, ConnId(100 + n), address(10 + n as u32 / 4));
    }
    assert_eq!(reject_reason(admission.admit(START, ConnId(200), address(99))), Some(Reason::Handshakes));
    assert_eq!(reject_reason(admission.admit(START, ConnId(201), Ipv4Addr::new(10, 9, 1, 1).into())), None);
}

#[test]
fn the_limit_of_a_prefix_does_not_apply_to_known_addresses() {
    let mut admission = decider();
    make_known(&mut admission, START, 1000, address_in_shared_prefix(200), false);
    for n in 0..20 {
        assert_eq!(
            reject_reason(open_connection(&mut admission, START, n, address_in_shared_prefix(n as u32))),
            None
        );
    }
    assert_eq!(
        reject_reason(open_connection(&mut admission, START, 30, address_in_shared_prefix(100))),
        Some(Reason::Prefix)
    );
    assert_eq!(
        reject_reason(open_connection(&mut admission, START, 31, address_in_shared_prefix(200))),
        None,
        "a known address in the prefix of the flood"
    );
    // IPv6: the limit applies to a /64, and eight times the limit to a /48.
    let mut admission = decider();
    let ipv6_address =
        |net: u16, host: u16| IpAddr::from(Ipv6Addr::new(0x2001, 0xdb8, 1, net, 0, 0, 0, host));
    let mut id = 0;
    let mut open_ipv6 = |net, host| {
        id += 1;
        reject_reason(open_connection(&mut admission, START, id, ipv6_address(net, host)))
    };
    assert!((0..20).all(|host| open_ipv6(0, host).is_none()));
    assert_eq!(open_ipv6(0, 99), Some(Reason::Prefix));
    assert!((0..50).all(|n| open_ipv6(1 + n, 1).is_none()), "unknown addresses may open 70");
    assert_eq!(open_ipv6(60, 1), Some(Reason::Full));
    let mapped: IpAddr = "::ffff:10.9.1.1".parse().unwrap();
    assert_eq!(admission.priority(START, mapped), Priority::Known, "the same address as 10.9.1.1");
}

#[test]
fn capacity_is_reserved_by_priority() {
    let mut admission = decider();
    make_known(&mut admission, START, 1000, address(5000), false);
    make_known(&mut admission, START, 1001, address(5001), true);
    // Each connection has an open request, so none can be evicted.
    let open_busy = |admission: &mut Admission, id: u64, address| {
        let decision = open_connection(admission, START, id, address);
        admission.request_started(START, ConnId(id));
        reject_reason(decision)
    };
    let unknown = (0..200).filter(|n| open_busy(&mut admission, *n, address(*n as u32)).is_none()).count();
    assert_eq!(unknown, 70, "30 of 100 are reserved for known addresses");
    let always_known = |n: u32| IpAddr::from(Ipv4Addr::from(0x0a09_0000 + (n << 8)));
    let known =
        (0..50).filter(|n| open_busy(&mut admission, 300 + n, always_known(*n as u32)).is_none()).count();
    assert_eq!(known, 20, "10 of those 30 are reserved for preferred plans");
    assert_eq!(open_busy(&mut admission, 400, address(5000)), Some(Reason::Full));
    assert_eq!(open_busy(&mut admission, 401, address(5001)), None);
    assert_eq!(admission.open_by_priority(), [0, 70, 20, 1]);
}

/// Guards against the following failure: clients that connect through one proxy filled a connection limit of their own
/// with idle connections. Half of their connection attempts did not reach the ingress, which had capacity for 60 more.
#[test]
fn idle_eviction_selects_the_longest_idle_connection_while_there_is_capacity() {
    let eviction = IdleEviction { min_open_connections: 4, handshake_after: 50_000, idle_after: 100_000 };
    let unlimited = Caps { per_address: 99, per_second: 1e9, reserve: 0.0, preferred_reserve: 0.0, ..caps() };
    let caps =
        Caps { idle_eviction: Some(eviction), per_prefix: 99, handshakes_per_address: 99, ..unlimited };
    let mut admission =
        Admission::new(caps, DescriptorBudget { clients: 8, nodes: 10, spare: 3 }, known_clients());
    let client = address(1);
    let accept = |evicted: Option<u64>| Decision::Accept { evict: evicted.map(ConnId) };
    let complete_request = |admission: &mut Admission, now: Micros, id: u64| {
        admission.request_started(now, ConnId(id));
        admission.request_ended(now, ConnId(id), None, false);
    };
    for id in 0..4 {
        assert_eq!(open_connection(&mut admission, START, id, client), accept(None));
    }
    complete_request(&mut admission, START + 1000, 0);
    admission.request_started(START + 2000, ConnId(1)); // stays open until the end of the test
    complete_request(&mut admission, START + 3000, 2);
    complete_request(&mut admission, START + 60_000, 3);
    // No connection has been idle for long enough, and there is capacity: none is evicted.
    assert_eq!(admission.admit(START + 60_000, ConnId(4), client), accept(None));
    assert_eq!(
        open_connection(&mut admission, START + 110_000, 5, client),
        accept(Some(0)),
        "the longest idle one is evicted"
    );
    admission.request_started(START + 110_000, ConnId(5));
    assert_eq!(open_connection(&mut admission, START + 111_000, 6, client), accept(Some(2)));
    admission.request_started(START + 111_000, ConnId(6));
    // No connection with a completed handshake has been idle for long enough: the one with an incomplete handshake is
    // evicted.
    assert_eq!(open_connection(&mut admission, START + 112_000, 7, client), accept(Some(4)));
    admission.request_started(START + 112_000, ConnId(7));
    // All three spare descriptors are in use for closing connections: the next one takes free capacity without an
    // eviction.
    assert_eq!(open_connection(&mut admission, START + 300_000, 8, client), accept(None));
    for id in [0, 2, 4] {
        admission.closed(START + 300_000, ConnId(id));
    }
    admission.request_started(START + 300_000, ConnId(8));
    assert_eq!(
        open_connection(&mut admission, START + 300_000, 9, client),
        accept(Some(3)),
        "a connection with an open request is not evicted"
    );
    assert_eq!(open_connection(&mut admission, START + 300_000, 10, client), accept(None));
}

/// Guards against the following failure: with thousands of idle clients that had sent one request, and thousands that had
/// sent half a command, connections without a request were evicted first. Clients that were about to send their first
/// request lost their connections, and every second attempt failed.
#[test]
fn idle_eviction_selects_answered_connections_before_those_without_a_handshake() {
    let eviction = IdleEviction { min_open_connections: 4, handshake_after: 50_000, idle_after: 50_000 };
    let unlimited = Caps {
        per_address: 99,
        per_second: 1e9,
        reserve: 0.0,
        preferred_reserve: 0.0,
        per_prefix: 99,
        ..caps()
    };
    let caps = Caps { idle_eviction: Some(eviction), handshakes_per_address: 99, ..unlimited };
    let mut admission =
        Admission::new(caps, DescriptorBudget { clients: 8, nodes: 10, spare: 3 }, known_clients());
    let client = address(1);
    let accept = |evicted: Option<u64>| Decision::Accept { evict: evicted.map(ConnId) };
    for id in 0..3 {
        assert_eq!(admission.admit(START + id, ConnId(id), client), accept(None), "incomplete handshake");
    }
    open_connection(&mut admission, START + 1000, 3, client);
    admission.request_started(START + 1000, ConnId(3));
    admission.request_ended(START + 2000, ConnId(3), None, false);
    assert_eq!(
        admission.admit(START + 60_000, ConnId(4), client),
        accept(Some(3)),
        "its request was answered, and it has been idle for long enough"
    );
    admission.closed(START + 60_000, ConnId(3));
    assert_eq!(admission.admit(START + 60_001, ConnId(5), client), accept(Some(0)));
    // It is receiving a command and refuses the eviction: the other connections are selected before it is selected again.
    admission.eviction_refused(START + 60_002, ConnId(0));
    for id in 1..3 {
        assert_eq!(admission.admit(START + 60_002 + id, ConnId(5 + id), client), accept(Some(id)));
        admission.closed(START + 60_002 + id, ConnId(id));
    }
    assert_eq!(
        admission.admit(START + 60_010, ConnId(8), client),
        accept(None),
        "the remaining connections are not idle for long enough"
    );
}

#[test]
fn known_clients_evict_idle_connections_of_unknown_ones_but_no_busy_ones() {
    let mut admission = decider();
    let always_known = |n: u32| IpAddr::from(Ipv4Addr::from(0x0a09_0000 + (n << 8)));
    for n in 0..70 {
        assert_eq!(reject_reason(open_connection(&mut admission, START + n, n, address(n as u32))), None);
        if n % 2 == 0 {
            admission.request_started(START + n, ConnId(n));
        }
    }
    for n in 0..20 {
        assert_eq!(
            open_connection(&mut admission, START, 100 + n, always_known(n as u32)),
            Decision::Accept { evict: None }
        );
    }
    // The longest idle ones are evicted first, and at most as many at a time as there are spare descriptors.
    for n in 0..5 {
        let decision = open_connection(&mut admission, START + SECOND, 200 + n, always_known(100 + n as u32));
        assert_eq!(decision, Decision::Accept { evict: Some(ConnId(2 * n + 1)) });
    }
    assert_eq!(
        reject_reason(open_connection(&mut admission, START + SECOND, 300, always_known(200))),
        Some(Reason::Full),
        "five connections are closing"
    );
    admission.closed(START + SECOND, ConnId(1));
    assert_eq!(
        open_connection(&mut admission, START + SECOND, 301, always_known(201)),
        Decision::Accept { evict: Some(ConnId(11)) }
    );
    // A connection refuses its eviction because it has a request: it stays open, and another one is evicted.
    admission.request_started(START + SECOND, ConnId(3));
    admission.eviction_refused(START + SECOND, ConnId(3));
    assert_eq!(
        open_connection(&mut admission, START + SECOND, 302, always_known(202)),
        Decision::Accept { evict: Some(ConnId(13)) }
    );
    assert_eq!(
        reject_reason(open_connection(&mut admission, START + SECOND, 303, address(999))),
        Some(Reason::Full),
        "an unknown address evicts no connection"
    );
}

#[test]
fn an_address_becomes_known_by_a_served_request_until_it_expires() {
    let mut admission = decider();
    assert_eq!(admission.priority(START, address(1)), Priority::Unknown);
    // Rejected and failed requests do not make an address known.
    for n in 0..5 {
        open_connection(&mut admission, START, n, address(n as u32));
        admission.request_started(START, ConnId(n));
        admission.request_ended(START, ConnId(n), None, n % 2 == 0);
        assert_eq!(admission.priority(START, address(n as u32)), Priority::Unknown);
    }
    make_known(&mut admission, START, 100, address(100), true);
    assert_eq!(admission.priority(START, address(100)), Priority::Preferred);
    assert_eq!(admission.priority(START + 600 * SECOND, address(100)), Priority::Preferred);
    assert_eq!(admission.priority(START + 601 * SECOND, address(100)), Priority::Unknown);
    // One account makes at most five addresses known: its own oldest one is evicted.
    let mut clients = known_clients();
    for n in 0..20 {
        clients.record_served(START + n, address(n as u32), 7, false);
    }
    clients.record_served(START, address(100), 8, false);
    assert_eq!(clients.len(), 6);
    assert_eq!(
        (
            clients.lookup(START, address(14)),
            clients.lookup(START, address(15)),
            clients.lookup(START, address(100))
        ),
        (None, Some(KnownTier::Standard), Some(KnownTier::Standard))
    );
    // The table is full: the address whose last served request is the oldest is evicted.
    for n in 0..100 {
        clients.record_served(START + 100 + n, address(1000 + n as u32), 1000 + n, false);
    }
    assert_eq!(clients.len(), 50);
    assert_eq!(clients.lookup(START, address(100)), None);
}

#[test]
fn an_address_with_many_rejected_requests_is_red_and_rejected_first() {
    let mut admission = decider();
    make_known(&mut admission, START, 1000, address(1), false);
    open_connection(&mut admission, START, 1, address(1));
    for _ in 0..20 {
        admission.request_started(START, ConnId(1));
        admission.request_ended(START, ConnId(1), None, true);
    }
    assert_eq!(admission.priority(START, address(1)), Priority::Red);
    // Red addresses may use only half of the capacity of unknown ones.
    for n in 10..45 {
        assert_eq!(reject_reason(open_connection(&mut admission, START, n, address(n as u32))), None);
    }
    assert_eq!(reject_reason(open_connection(&mut admission, START, 50, address(1))), Some(Reason::Full));
    assert_eq!(reject_reason(open_connection(&mut admission, START, 51, address(51))), None);
    assert_eq!(
        admission.priority(START + 60 * SECOND, address(1)),
        Priority::Known,
        "the counts of rejected requests have decayed"
    );
}

#[test]
fn answered_rejections_are_limited_by_rate() {
    let mut admission = decider();
    for n in 0..5 {
        open_connection(&mut admission, START, n, address(1));
    }
    let answered = (0..1000u64).filter(|n| {
        matches!(
            admission.admit(START + n, ConnId(100 + n), address(1)),
            Decision::Reject { may_respond: true, .. }
        )
    });
    assert_eq!(answered.count(), 10);
}

#[test]
fn a_lower_budget_evicts_idle_connections_and_keeps_busy_ones() {
    let mut admission = decider();
    for n in 0..60 {
        open_connection(&mut admission, START, n, address(n as u32));
        if n < 30 {
            admission.request_started(START, ConnId(n));
        }
    }
    let evicted = admission.set_budget(START, DescriptorBudget { clients: 20, nodes: 10, spare: 5 });
    assert_eq!(evicted.len(), 30, "all idle ones; the 30 busy ones stay, although the budget is 20");
    evicted.iter().for_each(|id| admission.closed(START, *id));
    let always_known = IpAddr::from(Ipv4Addr::new(10, 9, 1, 1));
    assert_eq!(reject_reason(open_connection(&mut admission, START, 100, always_known)), Some(Reason::Full));
}

/// The end of a request that never began must not make the next lower budget evict without end.
#[test]
fn the_end_of_a_request_that_never_began_is_harmless() {
    let (sender, evicted) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let mut admission = decider();
        for n in 0..4 {
            open_connection(&mut admission, START, n, address(n as u32));
        }
        admission.request_ended(START + SECOND, ConnId(0), None, true);
        let budget = DescriptorBudget { clients: 0, nodes: 10, spare: 5 };
        sender.send(admission.set_budget(START + 2 * SECOND, budget)).unwrap();
    });
    let mut evicted = evicted.recv_timeout(std::time::Duration::from_secs(10)).expect("set_budget ends");
    evicted.sort();
    assert_eq!(evicted, (0..4).map(ConnId).collect::<Vec<_>>());
}

/// Guards against the following failure: after the descriptor limit was lowered, evicted peers kept their side of the
/// connection open. Each such connection lingered for a second, and no known client was admitted for that long.
#[test]
fn lingering_connections_are_aborted_when_their_descriptors_are_needed() {
    let always_known = |n: u32| IpAddr::from(Ipv4Addr::from(0x0a09_0000 + (n << 8)));
    let mut admission = decider();
    for n in 0..70 {
        open_connection(&mut admission, START + n, n, address(n as u32));
    }
    let evicted = admission.set_budget(START + SECOND, DescriptorBudget { clients: 50, nodes: 10, spare: 8 });
    assert_eq!(evicted.len(), 20);
    // A connection is aborted as soon as it lingers while more connections are open than the clients' budget plus half of
    // the spare descriptors. Later ones may linger; the longest lingering one is aborted first.
    let mut aborted = Vec::new();
    let mut lingering = Vec::new();
    for (n, id) in (0..).zip(&evicted) {
        admission.linger_started(START + SECOND + n, *id);
        lingering.push(*id);
        let to_abort = admission.take_lingering_to_abort();
        assert_eq!(to_abort, lingering.drain(..to_abort.len()).collect::<Vec<_>>());
        aborted.extend(to_abort);
    }
    assert_eq!((aborted.len(), lingering.len()), (16, 4));
    // No connection is aborted twice, and a lingering one cannot return to serving.
    assert_eq!(admission.take_lingering_to_abort(), []);
    admission.eviction_refused(START + SECOND, lingering[0]);
    aborted.iter().for_each(|id| admission.closed(START + 2 * SECOND, *id));
    // More known clients connect at once than there are spare descriptors. For each, a lingering connection or the evicted
    // one is aborted, so that the open connections stay within the descriptors.
    for n in 0..20 {
        let now = START + 2 * SECOND + u64::from(n);
        let decision = open_connection(&mut admission, now, 1000 + u64::from(n), always_known(n));
        let Decision::Accept { evict: Some(evicted) } = decision else {
            panic!("known client {n}: {decision:?}")
        };
        admission.linger_started(now, evicted);
        for id in admission.take_lingering_to_abort() {
            admission.closed(now, id);
        }
        assert!(admission.open_by_priority().iter().sum::<u64>() <= 54, "{:?}", admission.open_by_priority());
    }
}

#[test]
fn stalls_of_the_process_do_not_count_as_time() {
    let mut admission = decider();
    let start = admission.time_without_stalls(START);
    for n in 1..=10 {
        admission.time_without_stalls(START + n * 100_000);
    }
    assert_eq!(admission.time_without_stalls(START + SECOND) - start, SECOND);
    assert!(
        admission.time_without_stalls(START + 4 * SECOND) - start <= SECOND,
        "the clock was not read for three seconds"
    );
    assert_eq!(admission.time_without_stalls(START + 4 * SECOND + 100_000) - start, SECOND + 100_000);
}

#[test]
fn the_pause_of_a_listener_grows_with_each_failure() {
    let mut admission = decider();
    let pauses: Vec<Micros> = (0..10).map(|_| admission.accept_failed(START) - START).collect();
    assert!(
        pauses[0] >= 10_000 && pauses.windows(2).all(|w| w[1] >= w[0]) && pauses[9] <= 2 * SECOND,
        "{pauses:?}"
    );
    admission.accept_succeeded();
    assert_eq!(admission.accept_failed(START) - START, pauses[0]);
}

#[test]
fn a_limit_below_the_reservations_is_an_error_with_the_figures() {
    let reservations =
        DescriptorReservations { listeners: 8, nodes: 64, peers: 4, files: 16, spare: 8, max_clients: 1000 };
    assert_eq!(reservations.split(200, 10), Ok(DescriptorBudget { clients: 100, nodes: 64, spare: 8 }));
    assert_eq!(reservations.split(100_000, 10).unwrap().clients, 1000);
    let error = reservations.split(105, 10).unwrap_err().to_string();
    assert!(
        error.starts_with("105 descriptors, but 100 are set aside") && error.contains("need 10"),
        "{error}"
    );
    assert!(DescriptorReservations { nodes: u64::MAX, ..reservations }.split(200, 1).is_err());
}

#[test]
fn damaged_snapshots_are_rejected_as_a_whole() {
    let mut clients = known_clients();
    (0..40).for_each(|n| clients.record_served(START + n, address(n as u32), n, n % 2 == 0));
    let bytes = clients.snapshot();
    let mut restored = known_clients();
    assert_eq!(restored.restore(START + SECOND, &bytes).unwrap(), 40);
    assert_eq!(restored.lookup(START + SECOND, address(4)), Some(KnownTier::Preferred));
    assert_eq!(restored.snapshot(), bytes);
    // Truncated anywhere, changed anywhere, or another file.
    for length in 0..bytes.len() {
        assert!(known_clients().restore(START, &bytes[..length]).is_err(), "truncated to {length} bytes");
    }
    for position in (0..bytes.len()).step_by(7) {
        let mut changed = bytes.clone();
        changed[position] ^= 1;
        assert!(known_clients().restore(START, &changed).is_err(), "changed at byte {position}");
    }
    assert!(matches!(
        known_clients().restore(START, b"something else entirely, and long enough for a hash"),
        Err(SnapshotError::Format)
    ));
    // Entries that have expired, or are dated after now, are not restored.
    assert_eq!(known_clients().restore(START + 700 * SECOND, &bytes).unwrap(), 0);
    assert_eq!(known_clients().restore(START - SECOND, &bytes).unwrap(), 0);
}

#[test]
fn cidr_blocks_contain_their_addresses_and_invalid_texts_are_errors() {
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

/// The tables stay within their bounds, and a known client is still admitted.
#[test]
fn a_million_addresses_do_not_exceed_the_table_bounds() {
    let mut admission = decider();
    make_known(&mut admission, START, 0, address(70_000), false);
    for n in 0..1_000_000u64 {
        let address = Ipv4Addr::from(0x4000_0000 + (n as u32).wrapping_mul(257)).into();
        let now = START + n;
        if let Decision::Accept { .. } = admission.admit(now, ConnId(n + 1), address) {
            if n % 3 == 0 {
                admission.handshake_completed(now, ConnId(n + 1));
            }
            if n % 2 == 0 {
                admission.closed(now, ConnId(n + 1));
            }
        }
    }
    let (addresses, prefixes) = admission.table_sizes();
    assert!(addresses <= 100 + 105 && prefixes <= 2 * 105, "{addresses} addresses, {prefixes} prefixes");
    assert_eq!(
        reject_reason(admission.admit(START + SECOND, ConnId(9_000_000), address(70_000))),
        None,
        "a known client is admitted"
    );
}

#[derive(Clone, Debug)]
enum Step {
    Admit(u8),
    CompleteHandshake(u8),
    StartRequest(u8),
    EndRequest {
        connection: u8,
        /// Whether the plan is preferred, if the request was served.
        preferred: Option<bool>,
        rejected: bool,
    },
    Close(u8),
    StartLinger(u8),
    SetBudget(u8),
    Wait {
        micros: u32,
    },
}

/// How far the close of a connection has progressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Serving,
    Closing,
    Lingering,
    Aborting,
}

/// What the test knows of an open connection.
struct Model {
    id: ConnId,
    open_requests: u32,
    stage: Stage,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => any::<u8>().prop_map(Step::Admit),
        3 => any::<u8>().prop_map(Step::CompleteHandshake),
        3 => any::<u8>().prop_map(Step::StartRequest),
        3 => (any::<u8>(), any::<Option<bool>>(), any::<bool>())
            .prop_map(|(connection, preferred, rejected)| Step::EndRequest { connection, preferred, rejected }),
        3 => any::<u8>().prop_map(Step::Close),
        2 => any::<u8>().prop_map(Step::StartLinger),
        1 => (5u8..40).prop_map(Step::SetBudget),
        1 => (0u32..3_000_000).prop_map(|micros| Step::Wait { micros }),
    ]
}

proptest! {
    /// In any sequence of events, the budget and the reserve are kept, no connection with an open request is evicted, and
    /// no connection lingers while its descriptor is needed.
    #[test]
    fn any_sequence_of_events_keeps_the_limits(steps in proptest::collection::vec(step(), 0..400)) {
        let mut budget = DescriptorBudget { clients: 30, nodes: 1, spare: 3 };
        let mut admission = Admission::new(Caps { per_second: 1000.0, ..caps() }, budget, known_clients());
        let mut now = START;
        let mut last_id = 0u64;
        let mut open: Vec<Model> = Vec::new();
        for step in steps {
            let len = open.len();
            let pick = |n: u8| (len > 0).then(|| usize::from(n) % len);
            match step {
                Step::Admit(n) => {
                    last_id += 1;
                    let always_known = Ipv4Addr::new(10, 9, n, 1).into();
                    let address = if n % 4 == 0 { always_known } else { address(u32::from(n)) };
                    let priority = admission.priority(now, address);
                    let serving_before = open.iter().filter(|c| c.stage == Stage::Serving).count() as u64;
                    match admission.admit(now, ConnId(last_id), address) {
                        Decision::Accept { evict } => {
                            prop_assert!((len as u64) < budget.clients + budget.spare);
                            let reserved = (budget.clients as f64 * 0.3).ceil() as u64;
                            if priority <= Priority::Unknown {
                                let unreserved = budget.clients.saturating_sub(reserved);
                                prop_assert!(serving_before < unreserved, "the reserve is in use");
                                prop_assert!(evict.is_none());
                            }
                            if let Some(evicted) = evict {
                                let connection = open.iter_mut().find(|c| c.id == evicted).expect("an open connection");
                                prop_assert!(
                                    connection.open_requests == 0 && connection.stage == Stage::Serving,
                                    "evicted with an open request, or twice"
                                );
                                connection.stage = Stage::Closing;
                            }
                            open.push(Model { id: ConnId(last_id), open_requests: 0, stage: Stage::Serving });
                        }
                        Decision::Reject { retry_after, .. } => prop_assert!(retry_after > 0),
                    }
                }
                Step::CompleteHandshake(n) => if let Some(i) = pick(n) {
                    admission.handshake_completed(now, open[i].id);
                },
                Step::StartRequest(n) => if let Some(i) = pick(n).filter(|i| open[*i].stage <= Stage::Closing) {
                    admission.request_started(now, open[i].id);
                    open[i].open_requests += 1;
                    if open[i].stage == Stage::Closing {
                        admission.eviction_refused(now, open[i].id);
                        open[i].stage = Stage::Serving;
                    }
                },
                Step::EndRequest { connection: n, preferred, rejected } => if let Some(i) = pick(n).filter(|i| open[*i].open_requests > 0) {
                    let rejected = rejected && preferred.is_none();
                    let served = preferred.map(|preferred| (u64::from(n), preferred));
                    admission.request_ended(now, open[i].id, served, rejected);
                    open[i].open_requests -= 1;
                },
                Step::Close(n) => if let Some(i) = pick(n) {
                    admission.closed(now, open.swap_remove(i).id);
                },
                Step::StartLinger(n) => if let Some(i) = pick(n).filter(|i| open[*i].open_requests == 0) {
                    admission.linger_started(now, open[i].id);
                    open[i].stage = open[i].stage.max(Stage::Lingering);
                }
                Step::SetBudget(n) => {
                    budget.clients = u64::from(n);
                    for id in admission.set_budget(now, budget) {
                        let connection = open.iter_mut().find(|c| c.id == id).expect("an open connection");
                        prop_assert!(connection.open_requests == 0 && connection.stage == Stage::Serving);
                        connection.stage = Stage::Closing;
                    }
                }
                Step::Wait { micros } => now += u64::from(micros),
            }
            for id in admission.take_lingering_to_abort() {
                let connection = open.iter_mut().find(|c| c.id == id).expect("an open connection");
                prop_assert!(connection.stage == Stage::Lingering, "aborted while it does not linger, or twice");
                connection.stage = Stage::Aborting;
            }
            let not_aborting = open.iter().filter(|c| c.stage < Stage::Aborting).count() as u64;
            let any_lingering = open.iter().any(|c| c.stage == Stage::Lingering);
            prop_assert!(!any_lingering || not_aborting <= budget.clients + budget.spare / 2,
                "{not_aborting} open connections, and some linger");
            prop_assert_eq!(admission.open_by_priority().iter().sum::<u64>(), open.len() as u64);
        }
        for connection in open {
            admission.closed(now, connection.id);
        }
        prop_assert_eq!(admission.open_by_priority(), [0; 4]);
        prop_assert!(
            admission.table_sizes().0 <= 100 && admission.table_sizes().1 == 0,
            "entries of closed connections remain"
        );
    }
}
