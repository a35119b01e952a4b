//! Feeds arbitrary bytes to the MQTT decoder and to the server's state machine: `cargo fuzz run mqtt`. The first byte selects
//! the protocol version and the position at which the other bytes are split into two parts.
#![no_main]

use bytes::BytesMut;
use chalkgap_wire::mqtt::server::{Event, Limits, Server};
use chalkgap_wire::mqtt::{decode, encode, Properties, QoS, Version};
use libfuzzer_sys::fuzz_target;

/// Maximum size of a packet in bytes.
const MAX_PACKET: usize = 64 << 10;

fuzz_target!(|data: &[u8]| {
    let Some((selector, rest)) = data.split_first() else { return };
    let version = [None, Some(Version::V311), Some(Version::V5)][usize::from(selector % 3)];
    let mut buffer = BytesMut::from(rest);
    while let Ok(Some(packet)) = decode(&mut buffer, version, MAX_PACKET) {
        // An encoded packet decodes to the same packet.
        let version = version.unwrap_or(Version::V5);
        let mut encoded = BytesMut::new();
        encode(&packet, version, &mut encoded);
        let is_connect = matches!(packet, chalkgap_wire::mqtt::Packet::Connect(_));
        let decoded = decode(&mut encoded, (!is_connect).then_some(version), 2 * MAX_PACKET);
        assert_eq!(decoded, Ok(Some(packet)));
    }
    let limits = Limits {
        packet_bytes: MAX_PACKET,
        receive_maximum: 4,
        topic_alias_maximum: 4,
        remembered_identifiers: 4,
    };
    let mut server = Server::new(limits);
    let split = usize::from(selector / 3).min(rest.len());
    for part in [&rest[..split], &rest[split..]] {
        let failed = server.receive(part).is_err();
        while let Some(event) = server.event() {
            match event {
                Event::Connect(_) => server.accept(None, Properties::default()),
                Event::Publish(publish) if publish.qos != QoS::AtMostOnce && publish.packet % 2 == 0 => {
                    server.answer(
                        publish.qos,
                        publish.packet,
                        (publish.packet >> 8) as u8,
                        Properties::default(),
                    );
                }
                _ => {}
            }
        }
        assert!(server.unanswered() <= 4);
        if failed {
            assert!(server.closed());
            return;
        }
    }
});
