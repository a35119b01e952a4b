use super::*;
use chalkgap_membership::{ANY_MEMBER, OBSERVER};
use proptest::prelude::*;

fn key(digit: &str) -> Key {
    Key::parse(&digit.repeat(64)).unwrap()
}

fn pair() -> (Sealer, Opener) {
    (
        Sealer::new(Channel::Gossip, key("a"), 1, 100),
        Opener::new(key("a"), 0, 3, ReceiveRates { gossip: 1000.0, membership: 1000.0 }),
    )
}

#[test]
fn a_datagram_is_accepted_once_in_any_order() {
    let (mut sealer, mut opener) = pair();
    let list: Vec<Vec<u8>> = (0..70u8).map(|n| sealer.seal(0, &[n])).collect();
    for n in [0, 2, 1, 69, 10] {
        let opened = Opened { channel: Channel::Gossip, from: 1, message: &[n as u8] };
        assert_eq!(opener.open(1, &list[n]), Ok(opened));
        assert_eq!(opener.open(1, &list[n]), Err(OpenError::Replayed));
    }
    assert_eq!(opener.open(1, &list[3]), Err(OpenError::Replayed), "too far behind the highest");
}

#[test]
fn strangers_and_earlier_incarnations_are_dropped() {
    let (mut sealer, mut opener) = pair();
    let old = sealer.seal(0, b"x");
    let mut later = Sealer::new(Channel::Gossip, key("a"), 1, 200);
    assert!(opener.open(1, &later.seal(0, b"y")).is_ok());
    assert_eq!(opener.open(1, &old), Err(OpenError::StaleIncarnation));
    assert_eq!(opener.open(1, &later.seal(2, b"y")), Err(OpenError::NotAddressed), "for another");
    assert_eq!(
        opener.open(1, &Sealer::new(Channel::Gossip, key("a"), 0, 9).seal(0, b"")),
        Err(OpenError::NotAddressed),
        "from itself"
    );
    assert_eq!(
        opener.open(1, &Sealer::new(Channel::Gossip, key("a"), 3, 9).seal(0, b"")),
        Err(OpenError::NotAddressed),
        "no such number"
    );
    assert_eq!(
        opener.open(1, &Sealer::new(Channel::Gossip, key("b"), 1, 300).seal(0, b"")),
        Err(OpenError::Forged)
    );
    assert_eq!(opener.open(1, &[1; 20]), Err(OpenError::Malformed));
    assert_eq!(opener.open(1, &[1; 999]), Err(OpenError::Malformed));
}

#[test]
fn the_rate_limit_holds_and_forgeries_do_not_use_it_up() {
    let (mut sealer, _) = pair();
    let mut opener = Opener::new(key("a"), 0, 3, ReceiveRates { gossip: 10.0, membership: 10.0 });
    let mut forger = Sealer::new(Channel::Gossip, key("b"), 1, 100);
    for _ in 0..1000 {
        assert_eq!(opener.open(1, &forger.seal(0, b"")), Err(OpenError::Forged));
    }
    let taken = (0..100u64).filter(|n| opener.open(n * 10_000, &sealer.seal(0, b"")).is_ok()).count();
    assert!((19..=20).contains(&taken), "ten at once and ten in the second: {taken}");
}

#[test]
fn membership_accepts_earlier_incarnations_visitors_and_datagrams_to_anyone() {
    let (_, mut opener) = pair();
    let membership_sealer = |me, start| Sealer::new(Channel::Membership, key("a"), me, start);
    let old = membership_sealer(1, 100).seal(0, b"x");
    assert!(opener.open(1, &membership_sealer(1, 200).seal(ANY_MEMBER, b"y")).is_ok());
    assert!(opener.open(1, &old).is_ok(), "to be told that it is over");
    assert!(
        opener.open(1, &membership_sealer(0, 200).seal(0, b"y")).is_ok(),
        "its own number, another start"
    );
    assert!(opener.open(1, &membership_sealer(OBSERVER, 5).seal(ANY_MEMBER, b"y")).is_ok());
    assert_eq!(opener.open(1, &membership_sealer(7, 5).seal(0, b"y")), Err(OpenError::NotAddressed));
    let gossip = Sealer::new(Channel::Gossip, key("a"), 1, 300).seal(ANY_MEMBER, b"y");
    assert_eq!(opener.open(1, &gossip), Err(OpenError::NotAddressed));
}

proptest! {
    #[test]
    fn any_change_is_found(at in 0usize..60, by in 1u8..=255, message in proptest::collection::vec(any::<u8>(), 8..20)) {
        let (mut sealer, mut opener) = pair();
        let mut d = sealer.seal(0, &message);
        let at = at % d.len();
        d[at] ^= by;
        prop_assert!(opener.open(1, &d).is_err());
    }

    #[test]
    fn any_bytes(d in proptest::collection::vec(any::<u8>(), 0..400)) {
        let (_, mut opener) = pair();
        prop_assert!(opener.open(1, &d).is_err());
    }
}
