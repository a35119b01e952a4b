//! Any bytes against MQTT's parser and the server's state machine: `cargo fuzz run mqtt`. The first byte says which version,
//! and where the bytes are cut in two.
#![no_main]

use bytes::BytesMut;
use chalkgap_wire::mqtt::server::{Event, Limits, Server};
use chalkgap_wire::mqtt::{decode, encode, Properties, QoS, Version};
use libfuzzer_sys::fuzz_target;

const MOST: usize = 64 << 10;

fuzz_target!(|data: &[u8]| {
    let Some((how, rest)) = data.split_first() else { return };
    let version = [None, Some(Version::V311), Some(Version::V5)][usize::from(how % 3)];
    let mut buffer = BytesMut::from(rest);
    while let Ok(Some(packet)) = decode(&mut buffer, version, MOST) {
        // What was read is written as something that reads the same.
        let version = version.unwrap_or(Version::V5);
        let mut out = BytesMut::new();
        encode(&packet, version, &mut out);
        let first = matches!(packet, chalkgap_wire::mqtt::Packet::Connect(_));
        let again = decode(&mut out, (!first).then_some(version), 2 * MOST);
        assert_eq!(again, Ok(Some(packet)));
    }
    let limits =
        Limits { packet_bytes: MOST, receive_maximum: 4, topic_alias_maximum: 4, remembered_identifiers: 4 };
    let mut server = Server::new(limits);
    let cut = usize::from(how / 3).min(rest.len());
    for part in [&rest[..cut], &rest[cut..]] {
        let broken = server.receive(part).is_err();
        while let Some(event) = server.event() {
            match event {
                Event::Connect(_) => server.accept(None, Properties::default()),
                Event::Publish(p) if p.qos != QoS::AtMostOnce && p.packet % 2 == 0 => {
                    server.answer(p.qos, p.packet, (p.packet >> 8) as u8, Properties::default());
                }
                _ => {}
            }
        }
        assert!(server.unanswered() <= 4);
        if broken {
            assert!(server.closed());
            return;
        }
    }
});
