//! Every kind of message is the bytes that earlier versions wrote, and is read back from them.

use chalkgap_membership::view::{Fact, State, BUCKETS};
use chalkgap_membership::wire::{Kind, Message, Shown};

#[path = "../../../tests/support/recorded.rs"]
mod recorded;

fn messages() -> Vec<(&'static str, Message)> {
    let four = "127.0.0.1:7946".parse().unwrap();
    let six = "[2001:db8::7]:7947".parse().unwrap();
    let fact = |number, state, turn, address| Fact {
        number,
        state,
        turn,
        start: 1_800_000_000_123_456,
        address,
        by: 3,
    };
    let facts = [
        fact(1, State::In, 0, four),
        fact(2, State::Suspected, 2, six),
        fact(300, State::Lost, 5, four),
        fact(65_533, State::Left, 7, six),
    ];
    let mut sums = [0; BUCKETS];
    for (number, sum) in (0u32..).zip(&mut sums) {
        *sum = number.wrapping_mul(0x9e37_79b9);
    }
    let shown =
        Shown { owner: 2, number: 9, counting: 12, of: 15, standing: 1, late: 1_250_000, next: Some(40) };
    let kinds = [
        ("ping", Kind::Ping),
        ("acknowledgement", Kind::Ack),
        ("indirect ping, IPv4", Kind::Ask { target: 5, at: four }),
        ("indirect ping, IPv6", Kind::Ask { target: 6, at: six }),
        ("indirect answer", Kind::Heard),
        ("indirect silence", Kind::Unheard),
        ("digests", Kind::Sums { ask: true, sums }),
        ("facts", Kind::Facts),
        ("view request", Kind::Show { from: 17 }),
        ("view page", Kind::Shown(shown)),
        ("last view page", Kind::Shown(Shown { next: None, ..shown })),
    ];
    let mut messages = Vec::new();
    for (name, kind) in kinds {
        let mut message = Message::new(kind, 0x0102_0304, 0xfeed_face_cafe_f00d);
        let held = if matches!(kind, Kind::Shown(_)) { 4_200_000 } else { 0 };
        for fact in facts {
            assert!(message.add(fact, held), "{name}: a fact does not fit");
        }
        messages.push((name, message));
    }
    messages
}

#[test]
fn messages_are_the_bytes_that_were_recorded() {
    let messages = messages();
    let bytes: Vec<(&str, Vec<u8>)> = messages.iter().map(|(name, m)| (*name, m.encode())).collect();
    recorded::check_messages("messages.txt", &bytes);
    for ((name, message), (_, bytes)) in messages.iter().zip(&bytes) {
        assert_eq!(Message::decode(bytes).as_ref(), Ok(message), "{name}");
    }
}
