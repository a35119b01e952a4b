//! Encodes packets (MQTT 5.0, chapters 2 and 3).

use super::packet::{
    Ack, Acks, ConnAck, Connect, Packet, Publish, QoS, Reason, Subscribe, Unsubscribe, Version,
};
use super::packet_type::PacketType;
use super::property::Properties;
use bytes::{BufMut, BytesMut};

/// Flags of the fixed header of PUBREL, SUBSCRIBE and UNSUBSCRIBE (section 2.1.3).
const RESERVED_FLAGS: u8 = 2;

/// Appends a variable byte integer (section 1.5.5).
pub(super) fn put_variable_byte_integer(out: &mut BytesMut, mut value: u32) {
    loop {
        let byte = (value & 0x7f) as u8;
        value >>= 7;
        out.put_u8(if value > 0 { byte | 0x80 } else { byte });
        if value == 0 {
            return;
        }
    }
}

/// Appends binary data. Data that is longer than the two byte length allows is truncated: this does not occur, because
/// the server's own data is short and received data had the same two byte length.
pub(super) fn put_binary(out: &mut BytesMut, bytes: &[u8]) {
    let bytes = &bytes[..bytes.len().min(usize::from(u16::MAX))];
    out.put_u16(bytes.len() as u16);
    out.extend_from_slice(bytes);
}

/// Appends a string. A string that is too long is truncated at the end of a character.
pub(super) fn put_string(out: &mut BytesMut, text: &str) {
    let limit = text.len().min(usize::from(u16::MAX));
    let end = (0..=limit).rev().find(|end| text.is_char_boundary(*end)).unwrap_or(0);
    put_binary(out, &text.as_bytes()[..end]);
}

/// Body of the packet that is being encoded.
struct Body {
    bytes: BytesMut,
    v5: bool,
}

/// Appends a packet, encoded for the connection's protocol version. CONNECT is encoded for its own
/// [`Connect::version`].
pub fn encode(packet: &Packet, version: Version, out: &mut BytesMut) {
    let version = if let Packet::Connect(connect) = packet { connect.version } else { version };
    let mut body = Body { bytes: BytesMut::new(), v5: version == Version::V5 };
    let first = body.put(packet);
    out.put_u8(first);
    put_variable_byte_integer(out, body.bytes.len() as u32);
    out.extend_from_slice(&body.bytes);
}

impl Body {
    /// Appends the body of a packet and returns the first byte of its fixed header.
    fn put(&mut self, packet: &Packet) -> u8 {
        match packet {
            Packet::Connect(connect) => self.connect(connect),
            Packet::ConnAck(connack) => self.connack(connack),
            Packet::Publish(publish) => self.publish(publish),
            Packet::PubAck(ack) => self.ack(ack, PacketType::PubAck.first_byte(0)),
            Packet::PubRec(ack) => self.ack(ack, PacketType::PubRec.first_byte(0)),
            Packet::PubRel(ack) => self.ack(ack, PacketType::PubRel.first_byte(RESERVED_FLAGS)),
            Packet::PubComp(ack) => self.ack(ack, PacketType::PubComp.first_byte(0)),
            Packet::Subscribe(subscribe) => self.subscribe(subscribe),
            Packet::SubAck(acks) => self.acks(acks, PacketType::SubAck),
            Packet::Unsubscribe(unsubscribe) => self.unsubscribe(unsubscribe),
            Packet::UnsubAck(acks) => self.acks(acks, PacketType::UnsubAck),
            Packet::PingReq => PacketType::PingReq.first_byte(0),
            Packet::PingResp => PacketType::PingResp.first_byte(0),
            Packet::Disconnect(reason) => self.reason(reason, PacketType::Disconnect),
            Packet::Auth(reason) => self.reason(reason, PacketType::Auth),
        }
    }

    /// Appends properties in MQTT 5.0; MQTT 3.1.1 has none.
    fn properties(&mut self, properties: &Properties) {
        if self.v5 {
            properties.write(&mut self.bytes);
        }
    }

    fn connect(&mut self, connect: &Connect) -> u8 {
        put_string(&mut self.bytes, "MQTT");
        self.bytes.put_u8(if self.v5 { 5 } else { 4 });
        let mut flags = u8::from(connect.clean_start) << 1;
        if let Some(will) = &connect.will {
            flags |= 4 | (will.qos as u8) << 3 | u8::from(will.retain) << 5;
        }
        flags |= u8::from(connect.user.is_some()) << 7 | u8::from(connect.password.is_some()) << 6;
        self.bytes.put_u8(flags);
        self.bytes.put_u16(connect.keep_alive);
        self.properties(&connect.properties);
        put_string(&mut self.bytes, &connect.client);
        if let Some(will) = &connect.will {
            self.properties(&will.properties);
            put_string(&mut self.bytes, &will.topic);
            put_binary(&mut self.bytes, &will.payload);
        }
        if let Some(user) = &connect.user {
            put_string(&mut self.bytes, user);
        }
        if let Some(password) = &connect.password {
            put_binary(&mut self.bytes, password);
        }
        PacketType::Connect.first_byte(0)
    }

    fn connack(&mut self, connack: &ConnAck) -> u8 {
        self.bytes.put_u8(u8::from(connack.session_present));
        self.bytes.put_u8(connack.code);
        self.properties(&connack.properties);
        PacketType::ConnAck.first_byte(0)
    }

    fn publish(&mut self, publish: &Publish) -> u8 {
        put_string(&mut self.bytes, &publish.topic);
        if publish.qos != QoS::AtMostOnce {
            self.bytes.put_u16(publish.packet);
        }
        self.properties(&publish.properties);
        self.bytes.extend_from_slice(&publish.payload);
        let flags = u8::from(publish.dup) << 3 | (publish.qos as u8) << 1 | u8::from(publish.retain);
        PacketType::Publish.first_byte(flags)
    }

    /// Appends the body of a packet that acknowledges one PUBLISH. Returns `first_byte`.
    fn ack(&mut self, ack: &Ack, first_byte: u8) -> u8 {
        self.bytes.put_u16(ack.packet);
        self.code_and_properties(ack.code, &ack.properties);
        first_byte
    }

    fn subscribe(&mut self, subscribe: &Subscribe) -> u8 {
        self.bytes.put_u16(subscribe.packet);
        self.properties(&subscribe.properties);
        for filter in &subscribe.filters {
            put_string(&mut self.bytes, &filter.filter);
            let mut options = filter.qos as u8;
            if self.v5 {
                options |= u8::from(filter.no_local) << 2;
                options |= u8::from(filter.retain_as_published) << 3;
                options |= filter.retain_handling << 4;
            }
            self.bytes.put_u8(options);
        }
        PacketType::Subscribe.first_byte(RESERVED_FLAGS)
    }

    /// Appends the body of SUBACK or UNSUBACK, which has one reason code for each filter.
    fn acks(&mut self, acks: &Acks, packet_type: PacketType) -> u8 {
        self.bytes.put_u16(acks.packet);
        self.properties(&acks.properties);
        self.bytes.extend_from_slice(&acks.codes);
        packet_type.first_byte(0)
    }

    fn unsubscribe(&mut self, unsubscribe: &Unsubscribe) -> u8 {
        self.bytes.put_u16(unsubscribe.packet);
        self.properties(&unsubscribe.properties);
        unsubscribe.filters.iter().for_each(|filter| put_string(&mut self.bytes, filter));
        PacketType::Unsubscribe.first_byte(RESERVED_FLAGS)
    }

    fn reason(&mut self, reason: &Reason, packet_type: PacketType) -> u8 {
        self.code_and_properties(reason.code, &reason.properties);
        packet_type.first_byte(0)
    }

    /// Appends a reason code and properties, unless they are the defaults, which may be omitted, or the version is
    /// 3.1.1.
    fn code_and_properties(&mut self, code: u8, properties: &Properties) {
        if !self.v5 || (code == 0 && properties.0.is_empty()) {
            return;
        }
        self.bytes.put_u8(code);
        if !properties.0.is_empty() {
            properties.write(&mut self.bytes);
        }
    }
}
