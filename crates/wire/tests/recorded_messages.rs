//! Messages of every protocol are encoded to the recorded bytes of earlier versions, and decoded from them.

use bytes::{Bytes, BytesMut};
use chalkgap_wire::mqtt::packet::{
    Ack, Acks, ConnAck, Connect, Filter, Packet, Publish, Reason, Subscribe, Unsubscribe, Will,
};
use chalkgap_wire::mqtt::{decode, encode, Properties, Property, QoS, Version};
use chalkgap_wire::{billing, fleet, grpc, intake, orca, ratelimit, roster, truth};
use prost::Message;

#[path = "../../../tests/support/recorded.rs"]
mod recorded;

/// Encodes a protobuf message and checks that it is decoded unchanged.
fn protobuf<M: Message + Default + PartialEq>(message: M) -> Vec<u8> {
    let bytes = message.encode_to_vec();
    assert!(M::decode(&bytes[..]).expect("the message is decoded") == message, "the decoded message differs");
    bytes
}

fn entry(key: &str, value: &str) -> ratelimit::Entry {
    ratelimit::Entry { key: key.into(), value: value.into() }
}

#[test]
fn rate_limit_messages_are_as_recorded() {
    use ratelimit::*;
    let descriptor = Descriptor {
        entries: vec![entry("account", "acme"), entry("class", "sig-check")],
        hits_addend: Some(UInt64Value { value: 7 }),
    };
    let header = HeaderValue { key: "x-ratelimit-reset".into(), value: "3".into() };
    let request =
        RateLimitRequest { domain: "intake".into(), descriptors: vec![descriptor], hits_addend: 300 };
    let status = DescriptorStatus {
        code: Verdict::OverLimit as i32,
        limit_remaining: 12,
        duration_until_reset: Some(std::time::Duration::from_millis(1_250).into()),
    };
    let response = RateLimitResponse {
        overall_code: Verdict::Ok as i32,
        statuses: vec![status],
        response_headers_to_add: vec![header.clone()],
        request_headers_to_add: vec![header],
        raw_body: Bytes::from_static(b"\0body"),
    };
    let messages = [
        ("request", protobuf(request.clone())),
        ("response", protobuf(response)),
        ("health check request", protobuf(HealthCheckRequest { service: "intake".into() })),
        ("health check response", protobuf(HealthCheckResponse { status: 2 })),
        ("request in its frame", grpc::frame(&request).to_vec()),
    ];
    recorded::check_messages("ratelimit.txt", &messages);
}

#[test]
fn messages_of_nodes_and_ingresses_are_as_recorded() {
    let work = intake::Work {
        account: "acme".into(),
        units: 3,
        entries: vec![entry("region", "north")],
        payload: Bytes::from_static(b"payload"),
    };
    let done = intake::Done { body: Bytes::from_static(b"done"), units: Some(0), repeat: true };
    let range = fleet::Range { ingress: 4, incarnation: 1_800_000_000_000_000, from: 1, to: 900 };
    let sealed = fleet::Sealed {
        from: 1,
        to: 2,
        nonce: 0x0123_4567_89ab_cdef,
        body: Bytes::from_static(b"inner"),
        hash: Bytes::from_static(&[9; 32]),
    };
    let hand = billing::HandRequest { stream: "0-3".into(), number: 12, batch: Bytes::from_static(b"batch") };
    let node = roster::Node {
        address: "127.0.0.1:7001".into(),
        zone: "bldg-a".into(),
        cell: "r1".into(),
        kind: "k".into(),
        state: 1,
        size: 2.5,
        started_ms: 1_800_000_000_000,
    };
    let statuses = vec![
        truth::ExecutionStatus::Ran as i32,
        truth::ExecutionStatus::Never as i32,
        truth::ExecutionStatus::Running as i32,
    ];
    let messages = [
        ("intake work", protobuf(work)),
        ("intake done", protobuf(done)),
        ("ledger ranges", protobuf(fleet::Ranges { ranges: vec![range, range] })),
        ("ledger entries", protobuf(fleet::Entries { entries: vec![Bytes::from_static(b"e1")] })),
        ("sealed", protobuf(sealed)),
        ("billing hand", protobuf(hand)),
        ("billing handed", protobuf(billing::HandResponse { last: 12, batch: Bytes::from_static(b"b") })),
        ("roster request", protobuf(roster::WatchRequest { ingress: 3, revision: 77 })),
        ("roster list", protobuf(roster::List { revision: 78, nodes: vec![node] })),
        ("truth question", protobuf(truth::Question { requests: vec!["a-1".into(), "a-2".into()] })),
        ("truth answer", protobuf(truth::Answer { statuses })),
    ];
    recorded::check_messages("nodes.txt", &messages);
    let paths = [
        ratelimit::SHOULD_RATE_LIMIT,
        ratelimit::HEALTH_CHECK,
        intake::PATH_PREFIX,
        intake::IDEMPOTENCY_KEY_HEADER,
        intake::REQUEST_ID_HEADER,
        truth::ASK,
        truth::ACCEPTED_AT_HEADER,
        roster::WATCH,
        billing::HAND,
        fleet::HAVE,
        fleet::FETCH,
        orca::TRAILER,
    ];
    recorded::check_text("names.txt", &(paths.join("\n") + "\n"));
}

#[test]
fn load_reports_are_as_recorded() {
    let all = orca::Load {
        cpu_utilization: Some(0.25),
        application_utilization: Some(0.5),
        rps: Some(120.5),
        eps: Some(1.0),
        queue: Some(3.0),
        in_flight: Some(8.0),
        latency_ms: Some(12.75),
    };
    let loads = [("full", all), ("queue only", orca::Load { queue: Some(2.0), ..orca::Load::default() })];
    let mut text = String::new();
    for (name, load) in loads {
        let form = orca::format(&load);
        assert_eq!(orca::parse(form.as_bytes()), Some(load), "{name}");
        text += &format!("{name}: {form}\n");
    }
    recorded::check_text("load_reports.txt", &text);
}

#[expect(clippy::too_many_lines, reason = "a list of packets")]
fn mqtt_packets(version: Version) -> Vec<(&'static str, Packet)> {
    let v5 = version == Version::V5;
    let with = |list: Vec<Property>| if v5 { Properties(list) } else { Properties::default() };
    let will = Will {
        qos: QoS::AtLeastOnce,
        retain: true,
        properties: with(vec![Property::WillDelay(5), Property::ContentType("text".into())]),
        topic: "will/topic".into(),
        payload: Bytes::from_static(b"gone"),
    };
    let connect = Connect {
        version,
        clean_start: false,
        keep_alive: 30,
        properties: with(vec![Property::SessionExpiry(60), Property::ReceiveMaximum(4)]),
        client: "client-1".into(),
        will: Some(will),
        user: Some("big".into()),
        password: Some(Bytes::from_static(b"secret")),
    };
    let publish = Publish {
        dup: true,
        qos: QoS::ExactlyOnce,
        retain: false,
        topic: "requests/big/sig-check".into(),
        packet: 17,
        properties: with(vec![
            Property::TopicAlias(3),
            Property::CorrelationData(Bytes::from_static(b"c")),
            Property::User("call".into(), "9".into()),
        ]),
        payload: Bytes::from_static(b"work"),
    };
    let code = |code| if v5 { code } else { 0 };
    let reason = with(vec![Property::ReasonString("quota".into())]);
    let ack = Ack { packet: 17, code: code(0x97), properties: reason.clone() };
    let filter = Filter { filter: "answers/#".into(), qos: QoS::AtLeastOnce, ..Filter::default() };
    let mut packets = vec![
        ("connect", Packet::Connect(Box::new(connect))),
        (
            "connack",
            Packet::ConnAck(ConnAck { session_present: true, code: 0, properties: Properties::default() }),
        ),
        ("publish", Packet::Publish(publish)),
        ("puback", Packet::PubAck(ack.clone())),
        ("pubrec", Packet::PubRec(ack.clone())),
        ("pubrel", Packet::PubRel(Ack { code: code(0x92), ..ack.clone() })),
        ("pubcomp", Packet::PubComp(Ack { code: code(0x92), ..ack })),
        (
            "subscribe",
            Packet::Subscribe(Subscribe {
                packet: 3,
                properties: Properties::default(),
                filters: vec![filter],
            }),
        ),
        ("suback", Packet::SubAck(Acks { packet: 3, properties: Properties::default(), codes: vec![1] })),
        (
            "unsubscribe",
            Packet::Unsubscribe(Unsubscribe {
                packet: 4,
                properties: Properties::default(),
                filters: vec!["answers/#".into()],
            }),
        ),
        ("pingreq", Packet::PingReq),
        ("pingresp", Packet::PingResp),
    ];
    if v5 {
        packets.push(("disconnect", Packet::Disconnect(Reason { code: 0x8e, properties: reason.clone() })));
        packets.push((
            "auth",
            Packet::Auth(Reason {
                code: 0x18,
                properties: with(vec![Property::AuthenticationMethod("m".into())]),
            }),
        ));
    }
    packets
}

#[test]
fn mqtt_packets_are_as_recorded() {
    for (version, fixture) in [(Version::V5, "mqtt5.txt"), (Version::V311, "mqtt311.txt")] {
        let packets = mqtt_packets(version);
        let mut recorded = Vec::new();
        for (name, packet) in &packets {
            let mut out = BytesMut::new();
            encode(packet, version, &mut out);
            recorded.push((*name, out.to_vec()));
            let decoded = decode(&mut out, Some(version), 1 << 20).expect("the packet is decoded");
            assert_eq!(decoded.as_ref(), Some(packet), "{name}");
            assert!(out.is_empty(), "{name}: {} bytes left in the buffer", out.len());
        }
        recorded::check_messages(fixture, &recorded);
    }
}
