//! Messages of every kind encode to the bytes that earlier versions wrote, and decode from them.

use chalkgap_membership::view::{MemberRecord, MemberState, BUCKETS};
use chalkgap_membership::wire::{Kind, Message, ViewSummary};

#[path = "../../../tests/support/recorded.rs"]
mod recorded;

fn messages() -> Vec<(&'static str, Message)> {
    let ipv4 = "127.0.0.1:7946".parse().unwrap();
    let ipv6 = "[2001:db8::7]:7947".parse().unwrap();
    let record = |id, state, version, address| MemberRecord {
        id,
        state,
        version,
        incarnation: 1_800_000_000_123_456,
        address,
        reported_by: 3,
    };
    let records = [
        record(1, MemberState::Alive, 0, ipv4),
        record(2, MemberState::Suspect, 2, ipv6),
        record(300, MemberState::Dead, 5, ipv4),
        record(65_533, MemberState::Left, 7, ipv6),
    ];
    let mut digests = [0; BUCKETS];
    for (index, digest) in (0u32..).zip(&mut digests) {
        *digest = index.wrapping_mul(0x9e37_79b9);
    }
    let summary = ViewSummary {
        owner: 2,
        version: 9,
        live_count: 12,
        voter_count: 15,
        partition_status: 1,
        detection_bound: 1_250_000,
        next: Some(40),
    };
    let kinds = [
        ("ping", Kind::Ping),
        ("acknowledgement", Kind::Ack),
        ("indirect ping, IPv4", Kind::PingRequest { target: 5, address: ipv4 }),
        ("indirect ping, IPv6", Kind::PingRequest { target: 6, address: ipv6 }),
        ("indirect answer", Kind::IndirectAck),
        ("indirect silence", Kind::IndirectNack),
        ("digests", Kind::Digests { reply_requested: true, digests }),
        ("facts", Kind::Records),
        ("view request", Kind::ViewRequest { from: 17 }),
        ("view page", Kind::ViewPage(summary)),
        ("last view page", Kind::ViewPage(ViewSummary { next: None, ..summary })),
    ];
    let mut messages = Vec::new();
    for (name, kind) in kinds {
        let mut message = Message::new(kind, 0x0102_0304, 0xfeed_face_cafe_f00d);
        let held_for = if matches!(kind, Kind::ViewPage(_)) { 4_200_000 } else { 0 };
        for record in records {
            assert!(message.add(record, held_for), "{name}: a record does not fit");
        }
        messages.push((name, message));
    }
    messages
}

#[test]
fn messages_encode_to_the_recorded_bytes_and_decode_from_them() {
    let messages = messages();
    let bytes: Vec<(&str, Vec<u8>)> =
        messages.iter().map(|(name, message)| (*name, message.encode())).collect();
    recorded::check_messages("messages.txt", &bytes);
    for ((name, message), (_, bytes)) in messages.iter().zip(&bytes) {
        assert_eq!(Message::decode(bytes).as_ref(), Ok(message), "{name}");
    }
}
