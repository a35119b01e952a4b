//! Codes and field offsets of events and actions.

use super::bytes::{u16_at, u32_at};
use super::layout::{ACTION_BYTES, EVENT_BYTES, REPLY_HEADER_BYTES};
use super::{Decoded, Record, Reply};
use chalkgap_core::{Action, BackendId, GatewayId, RequestId};

#[test]
fn every_action_is_encoded_with_its_code_and_fields() {
    let id = RequestId(0x0a_0b0c);
    let backend = BackendId(0x0605_0403_0201);
    let actions = [
        (
            10,
            Action::StartAttempt { id, backend, give_up_at: 77, start_by: 0 },
            vec![(3, 0x0c), (11, 77), (19, 1), (24, 6)],
        ),
        (20, Action::Reject { id, retry_after: 300 }, vec![(3, 0x0c), (11, 44), (12, 1)]),
        (30, Action::Fail(id), vec![(3, 0x0c), (4, 0x0b)]),
        (40, Action::Cancel { id, attempt: 258 }, vec![(3, 0x0c), (11, 2), (12, 1)]),
        (50, Action::SetTimer { delay: 5, token: 9 }, vec![(3, 5), (7, 9)]),
        (60, Action::CheckHealth(backend), vec![(3, 1), (8, 6)]),
        (70, Action::CloseIdle(backend), vec![(3, 1), (8, 6)]),
        (80, Action::SendGossip { to: Some(GatewayId(2)), bytes: vec![8, 9] }, vec![(3, 2), (5, 0), (9, 2)]),
        (80, Action::SendGossip { to: None, bytes: vec![7] }, vec![(3, 255), (4, 255), (5, 2), (9, 1)]),
        (90, Action::Log("abc".into()), vec![(3, 3), (7, 3)]),
        (110, Action::WatchEndpoints(true), vec![(3, 1)]),
        (120, Action::FetchEndpoints, vec![(3, 0)]),
        (
            130,
            Action::AddToCounter { name: 6, delta: 4.0, lifetime: 8 },
            vec![(3, 8), (9, 0x80), (10, 0x40), (11, 6)],
        ),
    ];
    let mut reply = Reply::new(5);
    let list: Vec<Action> = actions.iter().map(|a| a.1.clone()).collect();
    reply.push(3, &list);
    let frame = reply.finish();
    assert_eq!(u32_at(&frame, 0) as usize, actions.len());
    assert_eq!(u32_at(&frame, 4) as usize, frame.len());
    assert_eq!(&frame[REPLY_HEADER_BYTES + ACTION_BYTES * actions.len()..], b"\x08\x09\x07abc");
    for (index, (code, action, fields)) in actions.iter().enumerate() {
        let record = &frame[REPLY_HEADER_BYTES + ACTION_BYTES * index..][..ACTION_BYTES];
        assert_eq!((record[0], u16_at(record, 1)), (*code, 3), "{action:?}");
        for (at, value) in fields {
            assert_eq!(record[*at], *value, "{action:?} at {at}");
        }
    }
}

#[test]
fn events_are_decoded_from_their_offsets() {
    let decode = |body: [u8; EVENT_BYTES]| {
        let record = Record { batch: 1, index: 0, body: &body, tail: &[4, 5, 6] };
        assert_eq!(record.instance(), 1);
        match record.decode(&["depth".to_string()]) {
            Ok(Some(Decoded::Event(event))) => format!("{event:?}"),
            other => panic!("not an event: {other:?}"),
        }
    };
    let body = |code: u8, parts: &[(usize, &[u8])]| {
        let mut body = [0; EVENT_BYTES];
        body[0] = code;
        body[1] = 1;
        parts.iter().for_each(|(at, bytes)| body[*at..*at + bytes.len()].copy_from_slice(bytes));
        body
    };
    let float = |value: f32| value.to_le_bytes();
    let request = body(
        10,
        &[(3, &[9]), (11, &[2]), (12, &[3]), (14, &[4]), (22, &[5]), (30, &float(2.0)), (34, &float(3.0))],
    );
    let text = decode(request);
    assert!(text.contains("RequestId(9), class: 2, plan: 3, customer: CustomerId(4), deadline: 5"), "{text}");
    assert!(text.contains("units: 2.0, gateway_count: 3.0, first_gateway: 0.0"), "{text}");
    let attempt_finished = body(
        20,
        &[
            (3, &[9]),
            (11, &[7]),
            (15, &[200]),
            (17, &[1]),
            (18, &[2]),
            (20, &[51]),
            (22, &[8]),
            (28, &[3]),
            (30, &[1]),
            (31, &float(6.0)),
        ],
    );
    let text = decode(attempt_finished);
    for part in [
        "attempt: 2",
        "BackendId(8)",
        "Ok",
        "answered: true",
        "elapsed: 7",
        "metered: Some(0.5)",
        "queued: Some(6.0)",
    ] {
        assert!(text.contains(part), "'{part}' not in: {text}");
    }
    assert_eq!(decode(body(90, &[(3, &[6])])), "ClientCancelled(RequestId(6))");
    assert_eq!(decode(body(70, &[(3, &[6])])), "Timer(6)");
    assert_eq!(decode(body(100, &[(3, &[6]), (11, &[2])])), "FirstByte { id: RequestId(6), attempt: 2 }");
    let gossip = body(80, &[(3, &[2]), (5, &[1]), (9, &[2])]);
    assert_eq!(decode(gossip), "GossipReceived { from: GatewayId(2), bytes: [5, 6] }");
    let health_checked = decode(body(30, &[(3, &[8]), (9, &[0x99, 1]), (11, &[7])]));
    assert!(health_checked.contains("NotSent") && health_checked.contains("elapsed: 7"), "{health_checked}");
    let counter_updated = decode(body(40, &[(3, &[5]), (11, &[200]), (13, &float(38.0))]));
    assert!(counter_updated.contains("name: 5") && counter_updated.contains("38.0"), "{counter_updated}");
}
