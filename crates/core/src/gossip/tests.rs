//! The encoding of messages: they can be decoded again, and their bytes are those that earlier versions sent.

use super::*;

#[test]
fn messages_round_trip_and_truncated_messages_are_rejected() {
    let customer = CustomerId((1 << 33) - 7);
    let report = UsageReport {
        customer,
        plan: 3,
        total_units: 65_000,
        in_flight: 99,
        fill_level: Some(200),
        first_gateway: 400,
        gateway_count: 219,
        wants_reply: true,
        requested_units: 1.25,
        wants_hard_limit_tokens: true,
    };
    let reports = vec![report; MAX_REPORTS];
    let replies = vec![
        OwnerReply {
            customer,
            receiver_total: 9,
            tokens: -7.25,
            peer_rate: 12.5,
            peers_in_flight: 127,
            transferred_tokens: 2.25
        };
        MAX_REPLIES
    ];
    for body in [Body::Reports(reports), Body::Replies(9, replies), Body::Reports(vec![])] {
        for count in 0..=MAX_SAMPLES {
            let answered = Sample { tag: endpoint_tag(77), class: 6, elapsed: Some(0.5) };
            let failed = Sample { elapsed: None, ..answered };
            let samples = [answered, failed, answered][..count].to_vec();
            let message = Message { incarnation: 77, sequence: 3, samples, body: body.clone() };
            let bytes = message.pack();
            assert!(bytes.len() <= MAX_MESSAGE_BYTES);
            assert_eq!(Message::unpack(&bytes), Some(message));
            for cut in 0..bytes.len() {
                assert_eq!(Message::unpack(&bytes[..cut]), None, "cut at {cut}");
            }
        }
    }
    assert_eq!(units_between(wrap_units(16_383.0), wrap_units(16_385.0)), 2.0);
}

#[path = "../../../../tests/support/recorded.rs"]
mod recorded;

fn recorded_messages() -> Vec<(&'static str, Message)> {
    let query = UsageReport {
        customer: CustomerId(0x1_2345_6789),
        plan: 5,
        total_units: 40_321,
        in_flight: 17,
        fill_level: Some(254),
        first_gateway: 299,
        gateway_count: 300,
        wants_reply: true,
        requested_units: 2.25,
        wants_hard_limit_tokens: true,
    };
    let report = UsageReport {
        customer: CustomerId(7),
        fill_level: None,
        wants_reply: false,
        requested_units: 0.0,
        wants_hard_limit_tokens: false,
        ..query
    };
    let reply = OwnerReply {
        customer: CustomerId(9),
        receiver_total: 1_000,
        tokens: -3.5,
        peer_rate: 77.25,
        peers_in_flight: 4,
        transferred_tokens: 1.5,
    };
    let samples = vec![
        Sample { tag: endpoint_tag(1), class: 0, elapsed: Some(1.0) },
        Sample { tag: endpoint_tag(2), class: 7, elapsed: None },
        Sample { tag: endpoint_tag(3), class: 3, elapsed: Some(0.125) },
    ];
    let body = Body::Reports(vec![query, report]);
    vec![
        ("reports", Message { incarnation: 0xdead_beef, sequence: 65_535, samples: samples.clone(), body }),
        (
            "no reports",
            Message { incarnation: 1, sequence: 0, samples: Vec::new(), body: Body::Reports(Vec::new()) },
        ),
        (
            "replies",
            Message { incarnation: 77, sequence: 12, samples, body: Body::Replies(99, vec![reply, reply]) },
        ),
    ]
}

#[test]
fn encoded_messages_equal_the_recorded_bytes() {
    let messages = recorded_messages();
    let bytes: Vec<(&str, Vec<u8>)> =
        messages.iter().map(|(name, message)| (*name, message.pack())).collect();
    recorded::check_messages("gossip.txt", &bytes);
    for ((name, message), (_, bytes)) in messages.iter().zip(&bytes) {
        assert_eq!(Message::unpack(bytes).as_ref(), Some(message), "{name}");
    }
}
