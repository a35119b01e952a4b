//! MQTT packets: round trips, invalid packets with the statements of the specification that they violate, and arbitrary
//! bytes.

use bytes::{Bytes, BytesMut};
use chalkgap_wire::mqtt::packet::*;
use chalkgap_wire::mqtt::reason::*;
use chalkgap_wire::mqtt::{decode, encode, Packet, Properties, Property, QoS, Version};
use proptest::collection::vec;
use proptest::prelude::*;

const MAX_PACKET_BYTES: usize = 1 << 20;

fn bytes(packet: &Packet, version: Version) -> BytesMut {
    let mut out = BytesMut::new();
    encode(packet, version, &mut out);
    out
}

/// Decodes a packet, or returns the reason code of the error.
fn decode_or_code(bytes: &[u8], version: Option<Version>) -> Result<Option<Packet>, u8> {
    decode(&mut BytesMut::from(bytes), version, MAX_PACKET_BYTES).map_err(|error| error.code)
}

fn text() -> impl Strategy<Value = String> {
    "[^\u{0}]{0,12}"
}

fn name() -> impl Strategy<Value = String> {
    "[a-z/$]{1,12}"
}

fn blob() -> impl Strategy<Value = Bytes> {
    vec(any::<u8>(), 0..40).prop_map(Bytes::from)
}

fn user() -> impl Strategy<Value = Property> {
    (text(), text()).prop_map(|(k, v)| Property::User(k, v))
}

/// Generates up to two user properties and, optionally, one other property.
fn with(other: impl Strategy<Value = Property>) -> impl Strategy<Value = Properties> {
    (proptest::option::of(other), vec(user(), 0..3))
        .prop_map(|(other, user)| Properties(other.into_iter().chain(user).collect()))
}

fn qos() -> impl Strategy<Value = QoS> {
    prop_oneof![Just(QoS::AtMostOnce), Just(QoS::AtLeastOnce), Just(QoS::ExactlyOnce)]
}

fn publish_properties() -> impl Strategy<Value = Properties> {
    with(prop_oneof![
        (0u8..2).prop_map(Property::PayloadFormat),
        any::<u32>().prop_map(Property::MessageExpiry),
        text().prop_map(Property::ContentType),
        name().prop_map(Property::ResponseTopic),
        blob().prop_map(Property::CorrelationData),
        (1u32..268_435_455).prop_map(Property::SubscriptionIdentifier),
        any::<u16>().prop_map(Property::TopicAlias),
    ])
}

fn connect_properties() -> impl Strategy<Value = Properties> {
    with(prop_oneof![
        any::<u32>().prop_map(Property::SessionExpiry),
        (1u16..).prop_map(Property::ReceiveMaximum),
        (1u32..).prop_map(Property::MaximumPacketSize),
        any::<u16>().prop_map(Property::TopicAliasMaximum),
        (0u8..2).prop_map(Property::RequestProblemInformation),
        (0u8..2).prop_map(Property::RequestResponseInformation),
        text().prop_map(Property::AuthenticationMethod),
        blob().prop_map(Property::AuthenticationData),
    ])
}

fn connack_properties() -> impl Strategy<Value = Properties> {
    with(prop_oneof![
        text().prop_map(Property::AssignedClientIdentifier),
        any::<u16>().prop_map(Property::ServerKeepAlive),
        (0u8..2).prop_map(Property::MaximumQoS),
        (0u8..2).prop_map(Property::RetainAvailable),
        (0u8..2).prop_map(Property::WildcardSubscriptionAvailable),
        (0u8..2).prop_map(Property::SubscriptionIdentifierAvailable),
        (0u8..2).prop_map(Property::SharedSubscriptionAvailable),
        text().prop_map(Property::ResponseInformation),
        text().prop_map(Property::ServerReference),
        text().prop_map(Property::ReasonString),
    ])
}

fn ack() -> impl Strategy<Value = Ack> {
    (1u16.., any::<u8>(), with(text().prop_map(Property::ReasonString)))
        .prop_map(|(packet, code, properties)| Ack { packet, code, properties })
}

fn acks() -> impl Strategy<Value = Acks> {
    (1u16.., with(text().prop_map(Property::ReasonString)), vec(any::<u8>(), 0..6))
        .prop_map(|(packet, properties, codes)| Acks { packet, properties, codes })
}

fn will() -> impl Strategy<Value = Will> {
    (qos(), any::<bool>(), with(any::<u32>().prop_map(Property::WillDelay)), name(), blob()).prop_map(
        |(qos, retain, properties, topic, payload)| Will { qos, retain, properties, topic, payload },
    )
}

fn connect(version: Version) -> impl Strategy<Value = Packet> {
    let user = proptest::option::of((text(), proptest::option::of(blob())));
    (any::<bool>(), any::<u16>(), connect_properties(), text(), proptest::option::of(will()), user).prop_map(
        move |(clean_start, keep_alive, properties, client, will, user)| {
            let (user, password) = user.map_or((None, None), |(user, password)| (Some(user), password));
            let connect =
                Connect { version, clean_start, keep_alive, properties, client, will, user, password };
            Packet::Connect(Box::new(connect))
        },
    )
}

fn publish() -> impl Strategy<Value = Packet> {
    (qos(), any::<bool>(), any::<bool>(), name(), 1u16.., publish_properties(), blob()).prop_map(
        |(qos, dup, retain, topic, packet, properties, payload)| {
            let packet = if qos == QoS::AtMostOnce { 0 } else { packet };
            let dup = dup && qos != QoS::AtMostOnce;
            Packet::Publish(Publish { dup, qos, retain, topic, packet, properties, payload })
        },
    )
}

fn filter() -> impl Strategy<Value = Filter> {
    (name(), qos(), any::<bool>(), any::<bool>(), 0u8..3).prop_map(
        |(filter, qos, no_local, retain_as_published, retain_handling)| Filter {
            filter,
            qos,
            no_local,
            retain_as_published,
            retain_handling,
        },
    )
}

fn packet(version: Version) -> impl Strategy<Value = Packet> {
    prop_oneof![
        connect(version),
        (any::<bool>(), any::<u8>(), connack_properties()).prop_map(|(session_present, code, properties)| {
            Packet::ConnAck(ConnAck { session_present, code, properties })
        }),
        publish(),
        ack().prop_map(Packet::PubAck),
        ack().prop_map(Packet::PubRec),
        ack().prop_map(Packet::PubRel),
        ack().prop_map(Packet::PubComp),
        (1u16.., with((1u32..1000).prop_map(Property::SubscriptionIdentifier)), vec(filter(), 1..5))
            .prop_map(|(packet, properties, filters)| Packet::Subscribe(Subscribe {
                packet,
                properties,
                filters
            })),
        acks().prop_map(Packet::SubAck),
        acks().prop_map(Packet::UnsubAck),
        (1u16.., vec(user(), 0..3), vec(name(), 1..5)).prop_map(|(packet, properties, filters)| {
            Packet::Unsubscribe(Unsubscribe { packet, properties: Properties(properties), filters })
        }),
        Just(Packet::PingReq),
        Just(Packet::PingResp),
        (any::<u8>(), with(any::<u32>().prop_map(Property::SessionExpiry)))
            .prop_map(|(code, properties)| Packet::Disconnect(Reason { code, properties })),
        (any::<u8>(), with(text().prop_map(Property::AuthenticationMethod)))
            .prop_map(|(code, properties)| Packet::Auth(Reason { code, properties })),
    ]
}

/// Removes what MQTT 3.1.1 does not have. Returns `None` if it does not have the packet.
fn without_v5_parts(packet: Packet) -> Option<Packet> {
    let none = Properties::default;
    Some(match packet {
        Packet::Connect(c) => {
            let will = c.will.clone().map(|w| Will { properties: none(), ..w });
            Packet::Connect(Box::new(Connect { properties: none(), will, ..*c }))
        }
        Packet::ConnAck(c) => Packet::ConnAck(ConnAck { properties: none(), ..c }),
        Packet::Publish(p) => Packet::Publish(Publish { properties: none(), ..p }),
        Packet::PubAck(a) => Packet::PubAck(Ack { packet: a.packet, ..Ack::default() }),
        Packet::PubRec(a) => Packet::PubRec(Ack { packet: a.packet, ..Ack::default() }),
        Packet::PubRel(a) => Packet::PubRel(Ack { packet: a.packet, ..Ack::default() }),
        Packet::PubComp(a) => Packet::PubComp(Ack { packet: a.packet, ..Ack::default() }),
        Packet::Subscribe(s) => {
            let filter = |f: Filter| Filter { filter: f.filter, qos: f.qos, ..Filter::default() };
            let filters = s.filters.into_iter().map(filter).collect();
            Packet::Subscribe(Subscribe { packet: s.packet, properties: none(), filters })
        }
        Packet::SubAck(a) => Packet::SubAck(Acks { properties: none(), ..a }),
        Packet::UnsubAck(a) => Packet::UnsubAck(Acks { properties: none(), ..a }),
        Packet::Unsubscribe(u) => Packet::Unsubscribe(Unsubscribe { properties: none(), ..u }),
        Packet::Disconnect(_) => Packet::Disconnect(Reason::default()),
        Packet::Auth(_) => return None,
        other => other,
    })
}

proptest! {
    #[test]
    fn packets_round_trip(packet in packet(Version::V5), parts in vec(1usize..20, 0..6)) {
        let whole = bytes(&packet, Version::V5);
        // However the bytes are split, the packet is returned only after its last byte.
        let mut buffer = BytesMut::new();
        let mut at = 0;
        for part in parts {
            let to = (at + part).min(whole.len() - 1);
            buffer.extend_from_slice(&whole[at..to]);
            at = to;
            prop_assert_eq!(decode(&mut buffer, Some(Version::V5), MAX_PACKET_BYTES), Ok(None));
        }
        buffer.extend_from_slice(&whole[at..]);
        buffer.extend_from_slice(&[0xc0]);
        prop_assert_eq!(decode(&mut buffer, Some(Version::V5), MAX_PACKET_BYTES), Ok(Some(packet)));
        prop_assert_eq!(&buffer[..], [0xc0], "bytes after the packet stay in the buffer");
    }

    #[test]
    fn packets_of_v311_round_trip(packet in packet(Version::V311)) {
        if let Some(packet) = without_v5_parts(packet) {
            let whole = bytes(&packet, Version::V311);
            prop_assert_eq!(decode_or_code(&whole, Some(Version::V311)), Ok(Some(packet)));
        }
    }

    /// Arbitrary bytes decode to packets that are not much larger than the bytes, or to an error.
    #[test]
    fn any_bytes(list in vec(any::<u8>(), 0..200), version in 0..3) {
        let version = [None, Some(Version::V311), Some(Version::V5)][version as usize];
        let mut buffer = BytesMut::from(&list[..]);
        while let Ok(Some(packet)) = decode(&mut buffer, version, MAX_PACKET_BYTES) {
            let encoded = bytes(&packet, version.unwrap_or(Version::V5));
            prop_assert!(encoded.len() <= 2 * list.len() + 16);
        }
    }

    /// A valid packet with one changed byte causes no panic.
    #[test]
    fn packets_with_one_changed_byte(
        packet in packet(Version::V5), at in any::<prop::sample::Index>(), change in 1u8..) {
        let mut whole = bytes(&packet, Version::V5);
        let at = at.index(whole.len());
        whole[at] ^= change;
        let _ = decode(&mut whole, Some(Version::V5), MAX_PACKET_BYTES);
    }
}

/// Returns a packet with this first byte and body.
fn raw(first: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![first, body.len() as u8];
    out.extend_from_slice(body);
    out
}

#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases")]
fn malformed_packets_have_their_reason_codes() {
    let v311 = Some(Version::V311);
    let v5 = Some(Version::V5);
    let connect = |level: u8, flags: u8, rest: &[u8]| {
        let mut body = vec![0, 4, b'M', b'Q', b'T', b'T', level, flags, 0, 9];
        if level == 5 {
            body.push(0);
        }
        body.extend_from_slice(rest);
        raw(0x10, &body)
    };
    let cases: Vec<(&str, Vec<u8>, Option<Version>, u8)> = vec![
        ("[MQTT-1.5.4-1] invalid UTF-8", raw(0x30, &[0, 1, 0xff, 0]), v5, MALFORMED_PACKET),
        ("[MQTT-1.5.4-1] a surrogate", raw(0x30, &[0, 3, 0xed, 0xa0, 0x80, 0]), v5, MALFORMED_PACKET),
        ("[MQTT-1.5.4-2] U+0000", raw(0x30, &[0, 1, 0, 0]), v5, MALFORMED_PACKET),
        ("[MQTT-1.5.5-1] 0 encoded in two bytes", vec![0xc0, 0x80, 0x00], v5, MALFORMED_PACKET),
        ("1.5.5 integer of five bytes", vec![0x30, 0x80, 0x80, 0x80, 0x80, 0x01], v5, MALFORMED_PACKET),
        ("[MQTT-2.1.3-1] reserved flags", raw(0x41, &[0, 1]), v5, MALFORMED_PACKET),
        ("[MQTT-3.6.1-1] PUBREL with flags 0", raw(0x60, &[0, 1]), v5, MALFORMED_PACKET),
        ("[MQTT-3.8.1-1] SUBSCRIBE with flags 0", raw(0x80, &[0, 1, 0, 0, 1, b'a', 0]), v5, MALFORMED_PACKET),
        ("[MQTT-3.10.1-1] UNSUBSCRIBE with flags 0", raw(0xa0, &[0, 1, 0, 0, 1, b'a']), v5, MALFORMED_PACKET),
        ("2.1.2 type 0", raw(0x00, &[]), v5, MALFORMED_PACKET),
        ("AUTH in 3.1.1", raw(0xf0, &[]), v311, MALFORMED_PACKET),
        ("[MQTT-2.2.1-3] packet identifier 0", raw(0x32, &[0, 1, b'a', 0, 0, 0]), v5, PROTOCOL_ERROR),
        ("[MQTT-3.1.0-1] first packet is not CONNECT", raw(0xc0, &[]), None, PROTOCOL_ERROR),
        (
            "[MQTT-3.1.2-1] another protocol name",
            raw(0x10, &[0, 4, b'M', b'Q', b'T', b'X', 5, 0, 0, 0, 0, 0, 0]),
            None,
            UNSUPPORTED_PROTOCOL_VERSION,
        ),
        ("[MQTT-3.1.2-2] level 3", connect(3, 2, &[0, 0]), None, UNSUPPORTED_PROTOCOL_VERSION),
        ("[MQTT-3.1.2-3] reserved flag", connect(5, 3, &[0, 0]), None, MALFORMED_PACKET),
        ("[MQTT-3.1.2-11] will QoS without a will", connect(5, 2 | 8, &[0, 0]), None, MALFORMED_PACKET),
        (
            "[MQTT-3.1.2-12] will QoS 3",
            connect(5, 4 | 24, &[0, 0, 0, 0, 1, b'a', 0, 0]),
            None,
            MALFORMED_PACKET,
        ),
        ("[MQTT-3.1.2-13] will retain without a will", connect(5, 2 | 32, &[0, 0]), None, MALFORMED_PACKET),
        (
            "3.1.1 [MQTT-3.1.2-22] password without a user name",
            connect(4, 2 | 64, &[0, 0, 0, 1, b'p']),
            None,
            MALFORMED_PACKET,
        ),
        ("[MQTT-3.1.3-1] missing user name", connect(5, 2 | 128, &[0, 0]), None, MALFORMED_PACKET),
        ("will topic with wildcards", connect(5, 4, &[0, 0, 0, 0, 1, b'#', 0, 0]), None, TOPIC_NAME_INVALID),
        ("CONNECT with bytes after its end", connect(5, 2, &[0, 0, 7]), None, MALFORMED_PACKET),
        ("[MQTT-3.3.1-2] DUP with QoS 0", raw(0x38, &[0, 1, b'a', 0]), v5, MALFORMED_PACKET),
        ("[MQTT-3.3.1-4] QoS 3", raw(0x36, &[0, 1, b'a', 0, 1, 0]), v5, MALFORMED_PACKET),
        ("[MQTT-3.3.2-2] topic with wildcards", raw(0x30, &[0, 1, b'#', 0]), v5, TOPIC_NAME_INVALID),
        ("3.3.2.1 neither topic nor alias", raw(0x30, &[0, 0, 0]), v5, PROTOCOL_ERROR),
        ("[MQTT-4.7.3-1] empty topic in 3.1.1", raw(0x30, &[0, 0]), v311, PROTOCOL_ERROR),
        (
            "[MQTT-3.3.2-14] response topic with wildcards",
            raw(0x30, &[0, 1, b'a', 4, 8, 0, 1, b'+']),
            v5,
            PROTOCOL_ERROR,
        ),
        (
            "2.2.2 duplicate property",
            raw(0x30, &[0, 1, b'a', 10, 2, 0, 0, 0, 1, 2, 0, 0, 0, 1]),
            v5,
            PROTOCOL_ERROR,
        ),
        (
            "2.2.2 property not allowed in PUBLISH",
            raw(0x30, &[0, 1, b'a', 3, 0x21, 0, 1]),
            v5,
            PROTOCOL_ERROR,
        ),
        ("2.2.2 unknown property", raw(0x30, &[0, 1, b'a', 2, 0x7f, 0]), v5, MALFORMED_PACKET),
        ("2.2.2 properties longer than the packet", raw(0x30, &[0, 1, b'a', 9, 1]), v5, MALFORMED_PACKET),
        ("3.3.2.3.2 payload format 2", raw(0x30, &[0, 1, b'a', 2, 1, 2]), v5, PROTOCOL_ERROR),
        ("[MQTT-3.1.3-3] CONNECT without a client identifier", connect(5, 2, &[]), None, MALFORMED_PACKET),
        (
            "3.1.2.11.3 receive maximum 0",
            raw(0x10, &[0, 4, b'M', b'Q', b'T', b'T', 5, 2, 0, 9, 3, 0x21, 0, 0, 0, 0]),
            None,
            PROTOCOL_ERROR,
        ),
        ("[MQTT-3.8.3-2] SUBSCRIBE without a filter", raw(0x82, &[0, 1, 0]), v5, PROTOCOL_ERROR),
        (
            "[MQTT-3.8.3-4] no local on a shared subscription",
            raw(0x82, &[0, 1, 0, 0, 10, b'$', b's', b'h', b'a', b'r', b'e', b'/', b'g', b'/', b'a', 4]),
            v5,
            PROTOCOL_ERROR,
        ),
        ("[MQTT-3.8.3-5] reserved options", raw(0x82, &[0, 1, 0, 0, 1, b'a', 0x40]), v5, MALFORMED_PACKET),
        ("3.8.3.1 QoS 3", raw(0x82, &[0, 1, 0, 0, 1, b'a', 3]), v5, PROTOCOL_ERROR),
        ("3.8.3.1 retain handling 3", raw(0x82, &[0, 1, 0, 0, 1, b'a', 0x30]), v5, PROTOCOL_ERROR),
        (
            "3.1.1 subscription options other than the QoS",
            raw(0x82, &[0, 1, 0, 1, b'a', 4]),
            v311,
            MALFORMED_PACKET,
        ),
        (
            "[MQTT-4.7.1-1] # in the middle",
            raw(0x82, &[0, 1, 0, 0, 3, b'#', b'/', b'a', 0]),
            v5,
            TOPIC_FILTER_INVALID,
        ),
        (
            "[MQTT-4.7.1-2] + within a level",
            raw(0xa2, &[0, 1, 0, 0, 2, b'a', b'+']),
            v5,
            TOPIC_FILTER_INVALID,
        ),
        ("[MQTT-3.10.3-2] UNSUBSCRIBE without a filter", raw(0xa2, &[0, 1, 0]), v5, PROTOCOL_ERROR),
        ("PINGREQ with a body", raw(0xc0, &[1]), v5, MALFORMED_PACKET),
    ];
    for (case, bytes, version, expected) in cases {
        assert_eq!(decode_or_code(&bytes, version), Err(expected), "{case}");
    }
}

#[test]
fn packets_over_the_limits_are_rejected_and_their_length_is_checked_before_the_body() {
    let mut buffer = BytesMut::from(&[0x30, 0xff, 0xff, 0xff, 0x7f][..]);
    assert_eq!(
        decode(&mut buffer, Some(Version::V5), MAX_PACKET_BYTES).map_err(|error| error.code),
        Err(PACKET_TOO_LARGE)
    );
    let mut buffer = BytesMut::from(&[0x30, 0x80, 0x80][..]);
    assert_eq!(
        decode(&mut buffer, Some(Version::V5), MAX_PACKET_BYTES),
        Ok(None),
        "the length is incomplete"
    );
    // The numbers of properties and of filters are limited.
    let many = Properties((0..300).map(|_| Property::User(String::new(), String::new())).collect());
    let publish = Packet::Publish(Publish { topic: "a".into(), properties: many, ..Publish::default() });
    assert_eq!(decode_or_code(&bytes(&publish, Version::V5), Some(Version::V5)), Err(PACKET_TOO_LARGE));
    let filters = vec!["a".to_owned(); 300];
    let list = Packet::Unsubscribe(Unsubscribe { packet: 1, filters, ..Unsubscribe::default() });
    assert_eq!(decode_or_code(&bytes(&list, Version::V5), Some(Version::V5)), Err(PACKET_TOO_LARGE));
}
