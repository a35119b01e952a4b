use super::*;
use chalkgap_membership::{ANY_MEMBER, OBSERVER};
use proptest::prelude::*;

fn key(digit: &str) -> Key {
    Key::parse(&digit.repeat(64)).unwrap()
}

/// A sealer of gateway 1 and an opener of gateway 0, in a fleet of three gateways with one key.
fn sealer_and_opener() -> (Sealer, Opener) {
    (
        Sealer::new(Channel::Gossip, key("a"), 1, 100),
        Opener::new(key("a"), 0, 3, ReceiveRates { gossip: 1000.0, membership: 1000.0 }),
    )
}

#[test]
fn a_datagram_is_accepted_once_in_any_order() {
    let (mut sealer, mut opener) = sealer_and_opener();
    let datagrams: Vec<Vec<u8>> = (0..70u8).map(|index| sealer.seal(0, &[index])).collect();
    for index in [0, 2, 1, 69, 10] {
        let opened = Opened { channel: Channel::Gossip, from: 1, message: &[index as u8] };
        assert_eq!(opener.open(1, &datagrams[index]), Ok(opened));
        assert_eq!(opener.open(1, &datagrams[index]), Err(OpenError::Replayed));
    }
    assert_eq!(opener.open(1, &datagrams[3]), Err(OpenError::Replayed), "too far behind the highest number");
}

#[test]
fn datagrams_of_unknown_senders_and_earlier_incarnations_are_dropped() {
    let (mut sealer, mut opener) = sealer_and_opener();
    let old = sealer.seal(0, b"x");
    let mut later = Sealer::new(Channel::Gossip, key("a"), 1, 200);
    assert!(opener.open(1, &later.seal(0, b"y")).is_ok());
    assert_eq!(opener.open(1, &old), Err(OpenError::StaleIncarnation));
    assert_eq!(
        opener.open(1, &later.seal(2, b"y")),
        Err(OpenError::NotAddressed),
        "addressed to another gateway"
    );
    assert_eq!(
        opener.open(1, &Sealer::new(Channel::Gossip, key("a"), 0, 9).seal(0, b"")),
        Err(OpenError::NotAddressed),
        "the sender has the receiver's own id"
    );
    assert_eq!(
        opener.open(1, &Sealer::new(Channel::Gossip, key("a"), 3, 9).seal(0, b"")),
        Err(OpenError::NotAddressed),
        "the fleet has no gateway with this id"
    );
    assert_eq!(
        opener.open(1, &Sealer::new(Channel::Gossip, key("b"), 1, 300).seal(0, b"")),
        Err(OpenError::Forged),
        "sealed with another key"
    );
    assert_eq!(opener.open(1, &[1; 20]), Err(OpenError::Malformed));
    assert_eq!(opener.open(1, &[1; 999]), Err(OpenError::Malformed));
}

#[test]
fn the_rate_limit_is_enforced_and_forged_datagrams_do_not_use_it_up() {
    let (mut sealer, _) = sealer_and_opener();
    let mut opener = Opener::new(key("a"), 0, 3, ReceiveRates { gossip: 10.0, membership: 10.0 });
    let mut forger = Sealer::new(Channel::Gossip, key("b"), 1, 100);
    for _ in 0..1000 {
        assert_eq!(opener.open(1, &forger.seal(0, b"")), Err(OpenError::Forged));
    }
    let accepted =
        (0..100u64).filter(|index| opener.open(index * 10_000, &sealer.seal(0, b"")).is_ok()).count();
    assert!((19..=20).contains(&accepted), "expected a burst of 10 and 10 more in one second: {accepted}");
}

#[test]
fn the_membership_channel_accepts_earlier_incarnations_observers_and_datagrams_to_any_member() {
    let (_, mut opener) = sealer_and_opener();
    let membership_sealer =
        |self_id, incarnation| Sealer::new(Channel::Membership, key("a"), self_id, incarnation);
    let old = membership_sealer(1, 100).seal(0, b"x");
    assert!(opener.open(1, &membership_sealer(1, 200).seal(ANY_MEMBER, b"y")).is_ok());
    assert!(opener.open(1, &old).is_ok(), "an earlier incarnation gets the reply that it is superseded");
    assert!(
        opener.open(1, &membership_sealer(0, 200).seal(0, b"y")).is_ok(),
        "another process with the receiver's own id"
    );
    assert!(opener.open(1, &membership_sealer(OBSERVER, 5).seal(ANY_MEMBER, b"y")).is_ok());
    assert_eq!(opener.open(1, &membership_sealer(7, 5).seal(0, b"y")), Err(OpenError::NotAddressed));
    let gossip = Sealer::new(Channel::Gossip, key("a"), 1, 300).seal(ANY_MEMBER, b"y");
    assert_eq!(opener.open(1, &gossip), Err(OpenError::NotAddressed));
}

proptest! {
    #[test]
    fn a_changed_byte_is_detected(
        position in 0usize..60,
        flipped_bits in 1u8..=255,
        message in proptest::collection::vec(any::<u8>(), 8..20),
    ) {
        let (mut sealer, mut opener) = sealer_and_opener();
        let mut datagram = sealer.seal(0, &message);
        let position = position % datagram.len();
        datagram[position] ^= flipped_bits;
        prop_assert!(opener.open(1, &datagram).is_err());
    }

    #[test]
    fn arbitrary_bytes_are_rejected(datagram in proptest::collection::vec(any::<u8>(), 0..400)) {
        let (_, mut opener) = sealer_and_opener();
        prop_assert!(opener.open(1, &datagram).is_err());
    }
}
