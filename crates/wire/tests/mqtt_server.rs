//! A server's side of MQTT connections, in memory.

use bytes::{Bytes, BytesMut};
use chalkgap_wire::mqtt::packet::*;
use chalkgap_wire::mqtt::reason::*;
use chalkgap_wire::mqtt::server::{Event, Limits, Server, Session};
use chalkgap_wire::mqtt::{decode, encode, Packet, Properties, Property, QoS, Version};
use proptest::prelude::*;

const LIMITS: Limits =
    Limits { packet_bytes: 4096, receive_maximum: 3, topic_alias_maximum: 2, remembered_identifiers: 4 };

/// Sends a packet to the server. Returns the reason code of the error that it causes.
fn send(server: &mut Server, version: Version, packet: &Packet) -> Result<(), u8> {
    let mut bytes = BytesMut::new();
    encode(packet, version, &mut bytes);
    server.receive(&bytes).map_err(|error| error.code)
}

/// Takes the packets that the server has sent.
fn sent(server: &mut Server, version: Version) -> Vec<Packet> {
    let mut packets = Vec::new();
    let output = server.output();
    while let Some(packet) = decode(output, Some(version), 1 << 20).expect("valid packets") {
        packets.push(packet);
    }
    packets
}

fn connect(version: Version) -> Packet {
    Packet::Connect(Box::new(Connect {
        version,
        clean_start: false,
        keep_alive: 10,
        properties: Properties::default(),
        client: "c".into(),
        will: None,
        user: None,
        password: None,
    }))
}

/// Returns a server whose client has been accepted.
fn open(version: Version, session: Option<Session>) -> Server {
    let mut server = Server::new(LIMITS);
    send(&mut server, version, &connect(version)).unwrap();
    assert!(matches!(server.event(), Some(Event::Connect(_))));
    server.accept(session, Properties::default());
    assert!(matches!(sent(&mut server, version)[..], [Packet::ConnAck(ConnAck { code: 0, .. })]));
    server
}

fn publish(qos: QoS, packet: u16, dup: bool) -> Packet {
    Packet::Publish(Publish { qos, packet, dup, topic: "t".into(), ..Publish::default() })
}

fn ack(packet: u16, code: u8) -> Ack {
    Ack { packet, code, ..Ack::default() }
}

const V5: Version = Version::V5;
const EXACTLY_ONCE: QoS = QoS::ExactlyOnce;

#[test]
fn a_repeated_publish_of_qos_2_is_returned_once() {
    let mut server = open(V5, None);
    send(&mut server, V5, &publish(EXACTLY_ONCE, 7, false)).unwrap();
    assert!(matches!(server.event(), Some(Event::Publish(_))));
    // A repetition before or after the answer is not returned as an event.
    send(&mut server, V5, &publish(EXACTLY_ONCE, 7, true)).unwrap();
    assert_eq!((server.event(), sent(&mut server, V5)), (None, vec![]));
    server.answer(EXACTLY_ONCE, 7, SUCCESS, Properties::default());
    assert_eq!(sent(&mut server, V5), [Packet::PubRec(ack(7, 0))]);
    server.answer(EXACTLY_ONCE, 7, QUOTA_EXCEEDED, Properties::default());
    assert_eq!(sent(&mut server, V5), [], "a second answer is not sent");
    // The PUBREC was lost with the connection. The next connection resumes the session.
    let mut server = open(V5, Some(server.take_session()));
    send(&mut server, V5, &publish(EXACTLY_ONCE, 7, true)).unwrap();
    assert_eq!((server.event(), sent(&mut server, V5)), (None, vec![Packet::PubRec(ack(7, 0))]));
    send(&mut server, V5, &Packet::PubRel(ack(7, 0))).unwrap();
    send(&mut server, V5, &Packet::PubRel(ack(7, 0))).unwrap();
    let expected = [Packet::PubComp(ack(7, 0)), Packet::PubComp(ack(7, PACKET_IDENTIFIER_NOT_FOUND))];
    assert_eq!(sent(&mut server, V5), expected);
    send(&mut server, V5, &publish(EXACTLY_ONCE, 7, false)).unwrap();
    assert!(matches!(server.event(), Some(Event::Publish(_))), "the identifier can be used again");
}

#[test]
fn a_lost_rejection_is_sent_again_and_the_publish_is_not_returned_again() {
    let mut server = open(V5, None);
    send(&mut server, V5, &publish(EXACTLY_ONCE, 7, false)).unwrap();
    server.event().unwrap();
    // The connection closes before the answer, which is recorded in the session.
    let mut session = server.take_session();
    assert_eq!(session.in_progress().collect::<Vec<_>>(), [7]);
    session.record_response(7, IMPLEMENTATION_SPECIFIC, Properties::default());
    let mut server = open(V5, Some(session));
    send(&mut server, V5, &publish(EXACTLY_ONCE, 7, true)).unwrap();
    let expected = Packet::PubRec(ack(7, IMPLEMENTATION_SPECIFIC));
    assert_eq!((server.event(), sent(&mut server, V5)), (None, vec![expected]));
    // A PUBLISH without DUP is a new message.
    send(&mut server, V5, &publish(EXACTLY_ONCE, 7, false)).unwrap();
    assert!(matches!(server.event(), Some(Event::Publish(_))));
    // A session that does not know the identifier, such as on another ingress, reports a duplicate that may have run.
    let mut other = open(V5, None);
    send(&mut other, V5, &publish(EXACTLY_ONCE, 9, true)).unwrap();
    assert!(matches!(other.event(), Some(Event::UnknownDuplicate(_))));
    // The answers are restored after a restart.
    let restored: Vec<_> = Session::restored([(7, 0), (8, QUOTA_EXCEEDED)]).responses().collect();
    assert_eq!(restored, [(7, 0), (8, QUOTA_EXCEEDED)]);
}

#[test]
fn the_receive_maximum_limits_unanswered_publishes() {
    let mut server = open(V5, None);
    for n in 1..=3 {
        send(&mut server, V5, &publish(QoS::AtLeastOnce, n, false)).unwrap();
    }
    server.answer(QoS::AtLeastOnce, 2, SUCCESS, Properties::default());
    assert_eq!(sent(&mut server, V5), [Packet::PubAck(ack(2, 0))]);
    send(&mut server, V5, &publish(EXACTLY_ONCE, 4, false)).unwrap();
    assert_eq!(server.unanswered(), 3);
    assert_eq!(send(&mut server, V5, &publish(EXACTLY_ONCE, 5, false)), Err(RECEIVE_MAXIMUM_EXCEEDED));
    assert!(matches!(
        sent(&mut server, V5)[..],
        [Packet::Disconnect(Reason { code: RECEIVE_MAXIMUM_EXCEEDED, .. })]
    ));
    assert!(server.closed());
}

/// A client may reuse an identifier before its publish of QoS 1 is answered. If one of the two publishes is discarded, the other
/// must still be answered, and neither may count against the Receive Maximum afterwards.
#[test]
fn one_of_two_publishes_with_the_same_identifier_is_forgotten() {
    let mut server = open(Version::V5, None);
    for _ in 0..2 {
        send(&mut server, Version::V5, &publish(QoS::AtLeastOnce, 1, false)).unwrap();
    }
    server.forget(QoS::AtLeastOnce, 1);
    server.answer(QoS::AtLeastOnce, 1, SUCCESS, Properties::default());
    assert_eq!(sent(&mut server, Version::V5), [Packet::PubAck(ack(1, SUCCESS))]);
    for packet in 2..5 {
        send(&mut server, Version::V5, &publish(QoS::AtLeastOnce, packet, false)).unwrap();
    }
    assert_eq!(
        send(&mut server, Version::V5, &publish(QoS::AtLeastOnce, 5, false)),
        Err(RECEIVE_MAXIMUM_EXCEEDED)
    );
}

#[test]
fn topic_aliases_replace_topics_up_to_the_maximum() {
    let mut server = open(V5, None);
    let with = |topic: &str, alias: u16| {
        let properties = Properties(vec![Property::TopicAlias(alias)]);
        Packet::Publish(Publish { topic: topic.into(), properties, ..Publish::default() })
    };
    send(&mut server, V5, &with("a/b", 2)).unwrap();
    send(&mut server, V5, &with("", 2)).unwrap();
    for _ in 0..2 {
        assert!(matches!(server.event(), Some(Event::Publish(p)) if p.topic == "a/b"));
    }
    assert_eq!(send(&mut server, V5, &with("", 1)), Err(PROTOCOL_ERROR));
    for invalid in [0, 3] {
        assert_eq!(send(&mut open(V5, None), V5, &with("a", invalid)), Err(TOPIC_ALIAS_INVALID));
    }
}

#[test]
fn packets_of_servers_and_a_second_connect_close_the_connection() {
    for (packet, code) in [
        (connect(V5), PROTOCOL_ERROR),
        (Packet::PingResp, PROTOCOL_ERROR),
        (Packet::ConnAck(ConnAck::default()), PROTOCOL_ERROR),
        (Packet::Auth(Reason::default()), PROTOCOL_ERROR),
    ] {
        let mut server = open(V5, None);
        assert_eq!(send(&mut server, V5, &packet), Err(code));
        assert!(
            matches!(sent(&mut server, V5)[..], [Packet::Disconnect(Reason { code: sent, .. })] if sent == code)
        );
    }
}

#[test]
fn reason_codes_are_mapped_for_v311() {
    let v311 = Version::V311;
    for (code, expected) in [
        (BAD_USER_NAME_OR_PASSWORD, 4),
        (NOT_AUTHORIZED, 5),
        (SERVER_BUSY, 3),
        (CLIENT_IDENTIFIER_NOT_VALID, 2),
    ] {
        let mut server = Server::new(LIMITS);
        send(&mut server, v311, &connect(v311)).unwrap();
        server.refuse(code, Properties::default());
        assert_eq!(
            sent(&mut server, v311),
            [Packet::ConnAck(ConnAck { code: expected, ..ConnAck::default() })]
        );
        assert!(server.closed());
    }
    let mut server = open(v311, None);
    server.subscribed(1, vec![0, TOPIC_FILTER_INVALID]);
    server.disconnect(SERVER_UNAVAILABLE, Some("drain"));
    assert!(
        matches!(&sent(&mut server, v311)[..], [Packet::SubAck(a)] if a.codes == [0, 0x80]),
        "servers send no DISCONNECT in MQTT 3.1.1"
    );
}

#[test]
fn maximum_packet_size_and_request_problem_information_are_respected() {
    let mut server = Server::new(LIMITS);
    let Packet::Connect(mut packet) = connect(V5) else { unreachable!() };
    packet.properties.0.extend([Property::MaximumPacketSize(50), Property::RequestProblemInformation(0)]);
    send(&mut server, V5, &Packet::Connect(packet)).unwrap();
    server.accept(None, Properties::default());
    send(&mut server, V5, &publish(QoS::AtLeastOnce, 1, false)).unwrap();
    server.answer(
        QoS::AtLeastOnce,
        1,
        QUOTA_EXCEEDED,
        Properties(vec![Property::ReasonString("why".into())]),
    );
    assert_eq!(
        sent(&mut server, V5)[1..],
        [Packet::PubAck(ack(1, QUOTA_EXCEEDED))],
        "PUBACK without a reason string"
    );
    assert!(!server.publish_to("t", Bytes::from(vec![0; 60]), Properties::default()));
    assert!(server.publish_to("t", Bytes::from(vec![0; 10]), Properties::default()));
    assert_eq!(sent(&mut server, V5).len(), 1);
}

proptest! {
    /// With arbitrary packets after CONNECT, each publish is answered at most once, and the number of unanswered
    /// publishes stays within the receive maximum.
    #[test]
    fn any_packets_after_connect(steps in proptest::collection::vec((0u8..6, 1u16..4, any::<bool>()), 0..60)) {
        let mut server = open(V5, None);
        let mut publishes = 0;
        let mut answers = 0;
        for (action, id, dup) in steps {
            sent(&mut server, V5); // repeated PUBRECs and PUBCOMPs are not counted
            let result = match action {
                0 => send(&mut server, V5, &publish(EXACTLY_ONCE, id, dup)),
                1 => send(&mut server, V5, &publish(QoS::AtLeastOnce, id, dup)),
                2 => send(&mut server, V5, &Packet::PubRel(ack(id, 0))),
                3 => {
                    let code = if dup { SUCCESS } else { QUOTA_EXCEEDED };
                    server.answer(EXACTLY_ONCE, id, code, Properties::default());
                    Ok(())
                }
                4 => { server.answer(QoS::AtLeastOnce, id, SUCCESS, Properties::default()); Ok(()) }
                _ => send(&mut server, V5, &Packet::PingReq),
            };
            while let Some(event) = server.event() {
                if matches!(event, Event::Publish(_) | Event::UnknownDuplicate(_)) {
                    publishes += 1;
                }
            }
            if matches!(action, 3 | 4) {
                answers += sent(&mut server, V5).len();
            }
            prop_assert!(server.unanswered() <= 3 && answers + server.unanswered() == publishes);
            if result.is_err() {
                prop_assert!(server.closed());
                break;
            }
        }
    }

    /// Arbitrary bytes cause no panic, and an error closes the connection.
    #[test]
    fn any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..300), accepted in any::<bool>()) {
        let mut server = if accepted { open(V5, None) } else { Server::new(LIMITS) };
        if server.receive(&bytes).is_err() {
            prop_assert!(server.closed());
        }
    }
}
