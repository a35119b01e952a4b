//! Whole conversations with the server's state machine, in memory.

use bytes::{Bytes, BytesMut};
use chalkgap_wire::mqtt::packet::*;
use chalkgap_wire::mqtt::reason::*;
use chalkgap_wire::mqtt::server::{Event, Limits, Server, Session};
use chalkgap_wire::mqtt::{decode, encode, Packet, Properties, Property, QoS, Version};
use proptest::prelude::*;

const LIMITS: Limits =
    Limits { packet_bytes: 4096, receive_maximum: 3, topic_alias_maximum: 2, remembered_identifiers: 4 };

fn send(s: &mut Server, version: Version, packet: &Packet) -> Result<(), u8> {
    let mut out = BytesMut::new();
    encode(packet, version, &mut out);
    s.receive(&out).map_err(|e| e.code)
}

fn said(s: &mut Server, version: Version) -> Vec<Packet> {
    let (mut list, out) = (Vec::new(), s.output());
    while let Some(p) = decode(out, Some(version), 1 << 20).expect("good packets") {
        list.push(p);
    }
    list
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

fn open(version: Version, session: Option<Session>) -> Server {
    let mut s = Server::new(LIMITS);
    send(&mut s, version, &connect(version)).unwrap();
    assert!(matches!(s.event(), Some(Event::Connect(_))));
    s.accept(session, Properties::default());
    assert!(matches!(said(&mut s, version)[..], [Packet::ConnAck(ConnAck { code: 0, .. })]));
    s
}

fn publish(qos: QoS, packet: u16, dup: bool) -> Packet {
    Packet::Publish(Publish { qos, packet, dup, topic: "t".into(), ..Publish::default() })
}

fn ack(packet: u16, code: u8) -> Ack {
    Ack { packet, code, ..Ack::default() }
}

const V5: Version = Version::V5;
const ONCE: QoS = QoS::ExactlyOnce;

#[test]
fn qos_2_is_handed_over_once_whatever_is_lost() {
    let mut s = open(V5, None);
    send(&mut s, V5, &publish(ONCE, 7, false)).unwrap();
    assert!(matches!(s.event(), Some(Event::Publish(_))));
    // Again before the answer, and after it: not handed over again.
    send(&mut s, V5, &publish(ONCE, 7, true)).unwrap();
    assert_eq!((s.event(), said(&mut s, V5)), (None, vec![]));
    s.answer(ONCE, 7, SUCCESS, Properties::default());
    assert_eq!(said(&mut s, V5), [Packet::PubRec(ack(7, 0))]);
    s.answer(ONCE, 7, QUOTA_EXCEEDED, Properties::default());
    assert_eq!(said(&mut s, V5), [], "one answer");
    // The PUBREC was lost with the connection: the next one has the session.
    let mut s = open(V5, Some(s.take_session()));
    send(&mut s, V5, &publish(ONCE, 7, true)).unwrap();
    assert_eq!((s.event(), said(&mut s, V5)), (None, vec![Packet::PubRec(ack(7, 0))]));
    send(&mut s, V5, &Packet::PubRel(ack(7, 0))).unwrap();
    send(&mut s, V5, &Packet::PubRel(ack(7, 0))).unwrap();
    let told = [Packet::PubComp(ack(7, 0)), Packet::PubComp(ack(7, PACKET_IDENTIFIER_NOT_FOUND))];
    assert_eq!(said(&mut s, V5), told);
    send(&mut s, V5, &publish(ONCE, 7, false)).unwrap();
    assert!(matches!(s.event(), Some(Event::Publish(_))), "the identifier is free");
}

#[test]
fn a_refusal_that_was_lost_is_said_again_and_not_run() {
    let mut s = open(V5, None);
    send(&mut s, V5, &publish(ONCE, 7, false)).unwrap();
    s.event().unwrap();
    // The connection goes before the answer: that reaches the session.
    let mut session = s.take_session();
    assert_eq!(session.in_progress().collect::<Vec<_>>(), [7]);
    session.record_response(7, IMPLEMENTATION_SPECIFIC, Properties::default());
    let mut s = open(V5, Some(session));
    send(&mut s, V5, &publish(ONCE, 7, true)).unwrap();
    let told = Packet::PubRec(ack(7, IMPLEMENTATION_SPECIFIC));
    assert_eq!((s.event(), said(&mut s, V5)), (None, vec![told]));
    // Without DUP it is another message.
    send(&mut s, V5, &publish(ONCE, 7, false)).unwrap();
    assert!(matches!(s.event(), Some(Event::Publish(_))));
    // Another ingress knows nothing of it: it may have run, and is not run again.
    let mut other = open(V5, None);
    send(&mut other, V5, &publish(ONCE, 9, true)).unwrap();
    assert!(matches!(other.event(), Some(Event::UnknownDuplicate(_))));
    // And over a restart what is known is kept.
    let kept: Vec<_> = Session::restored([(7, 0), (8, QUOTA_EXCEEDED)]).responses().collect();
    assert_eq!(kept, [(7, 0), (8, QUOTA_EXCEEDED)]);
}

#[test]
fn the_receive_maximum_is_kept_and_answers_make_room() {
    let mut s = open(V5, None);
    for n in 1..=3 {
        send(&mut s, V5, &publish(QoS::AtLeastOnce, n, false)).unwrap();
    }
    s.answer(QoS::AtLeastOnce, 2, SUCCESS, Properties::default());
    assert_eq!(said(&mut s, V5), [Packet::PubAck(ack(2, 0))]);
    send(&mut s, V5, &publish(ONCE, 4, false)).unwrap();
    assert_eq!(s.unanswered(), 3);
    assert_eq!(send(&mut s, V5, &publish(ONCE, 5, false)), Err(RECEIVE_MAXIMUM_EXCEEDED));
    assert!(matches!(
        said(&mut s, V5)[..],
        [Packet::Disconnect(Reason { code: RECEIVE_MAXIMUM_EXCEEDED, .. })]
    ));
    assert!(s.closed());
}

#[test]
fn aliases_stand_for_topics_within_the_limit() {
    let mut s = open(V5, None);
    let with = |topic: &str, alias: u16| {
        let properties = Properties(vec![Property::TopicAlias(alias)]);
        Packet::Publish(Publish { topic: topic.into(), properties, ..Publish::default() })
    };
    send(&mut s, V5, &with("a/b", 2)).unwrap();
    send(&mut s, V5, &with("", 2)).unwrap();
    for _ in 0..2 {
        assert!(matches!(s.event(), Some(Event::Publish(p)) if p.topic == "a/b"));
    }
    assert_eq!(send(&mut s, V5, &with("", 1)), Err(PROTOCOL_ERROR));
    for bad in [0, 3] {
        assert_eq!(send(&mut open(V5, None), V5, &with("a", bad)), Err(TOPIC_ALIAS_INVALID));
    }
}

#[test]
fn what_only_servers_send_and_second_connects_close() {
    for (packet, code) in [
        (connect(V5), PROTOCOL_ERROR),
        (Packet::PingResp, PROTOCOL_ERROR),
        (Packet::ConnAck(ConnAck::default()), PROTOCOL_ERROR),
        (Packet::Auth(Reason::default()), PROTOCOL_ERROR),
    ] {
        let mut s = open(V5, None);
        assert_eq!(send(&mut s, V5, &packet), Err(code));
        assert!(matches!(said(&mut s, V5)[..], [Packet::Disconnect(Reason { code: c, .. })] if c == code));
    }
}

#[test]
fn the_older_version_hears_what_it_has_words_for() {
    let v4 = Version::V311;
    for (code, expected) in [
        (BAD_USER_NAME_OR_PASSWORD, 4),
        (NOT_AUTHORIZED, 5),
        (SERVER_BUSY, 3),
        (CLIENT_IDENTIFIER_NOT_VALID, 2),
    ] {
        let mut s = Server::new(LIMITS);
        send(&mut s, v4, &connect(v4)).unwrap();
        s.refuse(code, Properties::default());
        assert_eq!(said(&mut s, v4), [Packet::ConnAck(ConnAck { code: expected, ..ConnAck::default() })]);
        assert!(s.closed());
    }
    let mut s = open(v4, None);
    s.subscribed(1, vec![0, TOPIC_FILTER_INVALID]);
    s.disconnect(SERVER_UNAVAILABLE, Some("drain"));
    assert!(
        matches!(&said(&mut s, v4)[..], [Packet::SubAck(a)] if a.codes == [0, 0x80]),
        "no DISCONNECT of a server"
    );
}

#[test]
fn a_client_is_not_sent_what_it_does_not_take() {
    let mut s = Server::new(LIMITS);
    let Packet::Connect(mut c) = connect(V5) else { unreachable!() };
    c.properties.0.extend([Property::MaximumPacketSize(50), Property::RequestProblemInformation(0)]);
    send(&mut s, V5, &Packet::Connect(c)).unwrap();
    s.accept(None, Properties::default());
    send(&mut s, V5, &publish(QoS::AtLeastOnce, 1, false)).unwrap();
    s.answer(QoS::AtLeastOnce, 1, QUOTA_EXCEEDED, Properties(vec![Property::ReasonString("why".into())]));
    assert_eq!(said(&mut s, V5)[1..], [Packet::PubAck(ack(1, QUOTA_EXCEEDED))], "no more than the code");
    assert!(!s.publish_to("t", Bytes::from(vec![0; 60]), Properties::default()));
    assert!(s.publish_to("t", Bytes::from(vec![0; 10]), Properties::default()));
    assert_eq!(said(&mut s, V5).len(), 1);
}

proptest! {
    /// Any packets after CONNECT: at most one answer for each publish, and never more unanswered than allowed.
    #[test]
    fn any_conversation(steps in proptest::collection::vec((0u8..6, 1u16..4, any::<bool>()), 0..60)) {
        let mut s = open(V5, None);
        let (mut handed, mut answers) = (0, 0);
        for (what, id, dup) in steps {
            said(&mut s, V5); // what was said again, or completes
            let done = match what {
                0 => send(&mut s, V5, &publish(ONCE, id, dup)),
                1 => send(&mut s, V5, &publish(QoS::AtLeastOnce, id, dup)),
                2 => send(&mut s, V5, &Packet::PubRel(ack(id, 0))),
                3 => { s.answer(ONCE, id, if dup { SUCCESS } else { QUOTA_EXCEEDED }, Properties::default()); Ok(()) }
                4 => { s.answer(QoS::AtLeastOnce, id, SUCCESS, Properties::default()); Ok(()) }
                _ => send(&mut s, V5, &Packet::PingReq),
            };
            while let Some(e) = s.event() {
                if matches!(e, Event::Publish(_) | Event::UnknownDuplicate(_)) {
                    handed += 1;
                }
            }
            if matches!(what, 3 | 4) {
                answers += said(&mut s, V5).len();
            }
            prop_assert!(s.unanswered() <= 3 && answers + s.unanswered() == handed);
            if done.is_err() {
                prop_assert!(s.closed());
                break;
            }
        }
    }

    #[test]
    fn any_bytes(list in proptest::collection::vec(any::<u8>(), 0..300), opened in any::<bool>()) {
        let mut s = if opened { open(V5, None) } else { Server::new(LIMITS) };
        if s.receive(&list).is_err() {
            prop_assert!(s.closed());
        }
    }
}
