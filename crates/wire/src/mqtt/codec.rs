//! Packets from bytes and to bytes. A packet's length is known from its fixed header and judged before its body is
//! waited for; what is in it is taken only as far as that length goes.

use super::packet::{
    Ack, Acks, ConnAck, Connect, Filter, Packet, Publish, QoS, Reason, Subscribe, Unsubscribe, Version, Will,
};
use super::property::{Place, Properties, Property};
use super::reason::{
    MALFORMED_PACKET, PACKET_TOO_LARGE, PROTOCOL_ERROR, TOPIC_FILTER_INVALID, TOPIC_NAME_INVALID,
    UNSUPPORTED_PROTOCOL_VERSION,
};
use super::topic;
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Why bytes are no packet: the connection is closed with this reason code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{what} (reason code {code:#04x})")]
pub struct Error {
    /// The reason code.
    pub code: u8,
    /// What was found, and what expected.
    pub what: &'static str,
}

impl Error {
    /// An error.
    pub const fn new(code: u8, what: &'static str) -> Self {
        Error { code, what }
    }
}

const fn malformed(what: &'static str) -> Error {
    Error::new(MALFORMED_PACKET, what)
}

/// The largest remaining length that four bytes can say.
pub const MOST: usize = 268_435_455;
/// Filters in a packet.
const MOST_FILTERS: usize = 256;

/// Reads out of a packet's body.
pub(super) struct Reader(Bytes);

impl Reader {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn byte(&mut self) -> Result<u8, Error> {
        self.0.try_get_u8().map_err(|_| malformed("the packet ends inside a byte's place"))
    }

    pub fn short(&mut self) -> Result<u16, Error> {
        self.0.try_get_u16().map_err(|_| malformed("the packet ends inside a two byte integer"))
    }

    pub fn long(&mut self) -> Result<u32, Error> {
        self.0.try_get_u32().map_err(|_| malformed("the packet ends inside a four byte integer"))
    }

    pub fn variable(&mut self) -> Result<u32, Error> {
        let (n, used) =
            variable(&self.0)?.ok_or(malformed("the packet ends inside a variable byte integer"))?;
        self.0.advance(used);
        Ok(n)
    }

    pub fn binary(&mut self) -> Result<Bytes, Error> {
        let n = usize::from(self.short()?);
        if n > self.0.len() {
            return Err(malformed("the packet ends inside binary data"));
        }
        Ok(self.0.split_to(n))
    }

    /// UTF-8 without U+0000; surrogates are no UTF-8 [MQTT-1.5.4-1, MQTT-1.5.4-2].
    pub fn text(&mut self) -> Result<String, Error> {
        let bytes = self.binary()?;
        let text = std::str::from_utf8(&bytes).map_err(|_| malformed("a text that is no UTF-8"))?;
        if text.contains('\0') {
            return Err(malformed("a text with U+0000"));
        }
        Ok(text.to_owned())
    }

    pub fn part(&mut self, length: usize) -> Result<Reader, Error> {
        if length > self.0.len() {
            return Err(malformed("properties that pass the packet's end"));
        }
        Ok(Reader(self.0.split_to(length)))
    }

    fn rest(&mut self) -> Bytes {
        self.0.split_to(self.0.len())
    }

    fn done(&self) -> Result<(), Error> {
        if self.0.is_empty() {
            return Ok(());
        }
        Err(malformed("the packet goes on after its end"))
    }

    fn identifier(&mut self) -> Result<u16, Error> {
        match self.short()? {
            // [MQTT-2.2.1-3], [MQTT-2.2.1-4]
            0 => Err(Error::new(PROTOCOL_ERROR, "packet identifier 0")),
            n => Ok(n),
        }
    }
}

/// A variable byte integer and its length; none: bytes are missing. It uses as few bytes as can be [MQTT-1.5.5-1].
fn variable(bytes: &[u8]) -> Result<Option<(u32, usize)>, Error> {
    let mut n = 0;
    for (i, b) in bytes.iter().take(4).enumerate() {
        n |= u32::from(b & 0x7f) << (7 * i);
        if b & 0x80 == 0 {
            if *b == 0 && i > 0 {
                return Err(malformed("a variable byte integer that is longer than it need be"));
            }
            return Ok(Some((n, i + 1)));
        }
    }
    if bytes.len() >= 4 {
        return Err(malformed("a variable byte integer of more than four bytes"));
    }
    Ok(None)
}

/// Takes the next packet off a buffer; none: it is not all there. `version`: of the connection, none before CONNECT, which
/// says it itself. `most`: bytes of a packet.
///
/// # Errors
/// See [`Error`]: the connection cannot go on.
pub fn decode(buffer: &mut BytesMut, version: Option<Version>, most: usize) -> Result<Option<Packet>, Error> {
    let Some(first) = buffer.first().copied() else { return Ok(None) };
    let (kind, flags) = (first >> 4, first & 0x0f);
    if version.is_none() && kind != 1 {
        // [MQTT-3.1.0-1]
        return Err(Error::new(PROTOCOL_ERROR, "expected CONNECT as the first packet"));
    }
    // [MQTT-2.1.3-1]
    let expected = match kind {
        3 => flags,
        6 | 8 | 10 => 2,
        _ => 0,
    };
    if flags != expected {
        return Err(malformed("flags of the fixed header that are reserved"));
    }
    if kind == 0 || (kind == 15 && version != Some(Version::V5)) {
        return Err(malformed("a packet type that there is not"));
    }
    let Some((length, used)) = variable(&buffer[1..])? else { return Ok(None) };
    let length = length as usize;
    if 1 + used + length > most {
        return Err(Error::new(PACKET_TOO_LARGE, "a packet over the limit"));
    }
    if buffer.len() < 1 + used + length {
        return Ok(None);
    }
    buffer.advance(1 + used);
    let mut r = Reader(buffer.split_to(length).freeze());
    let v5 = version == Some(Version::V5);
    let packet = match kind {
        1 => Packet::Connect(Box::new(connect(&mut r)?)),
        2 => {
            let flags = r.byte()?;
            if flags > 1 {
                return Err(malformed("flags of CONNACK that are reserved"));
            }
            let code = r.byte()?;
            let properties = properties(&mut r, v5, Place::CONNACK)?;
            Packet::ConnAck(ConnAck { session_present: flags == 1, code, properties })
        }
        3 => Packet::Publish(publish(&mut r, flags, v5)?),
        4 => Packet::PubAck(ack(&mut r, v5)?),
        5 => Packet::PubRec(ack(&mut r, v5)?),
        6 => Packet::PubRel(ack(&mut r, v5)?),
        7 => Packet::PubComp(ack(&mut r, v5)?),
        8 => Packet::Subscribe(subscribe(&mut r, v5)?),
        9 | 11 => {
            let packet = r.identifier()?;
            let properties = properties(&mut r, v5, Place::ACK)?;
            let acks = Acks { packet, properties, codes: r.rest().to_vec() };
            if kind == 9 {
                Packet::SubAck(acks)
            } else {
                Packet::UnsubAck(acks)
            }
        }
        10 => Packet::Unsubscribe(unsubscribe(&mut r, v5)?),
        12 => Packet::PingReq,
        13 => Packet::PingResp,
        14 => Packet::Disconnect(reason(&mut r, v5, Place::DISCONNECT)?),
        _ => Packet::Auth(reason(&mut r, v5, Place::AUTH)?),
    };
    r.done()?;
    Ok(Some(packet))
}

fn properties(r: &mut Reader, v5: bool, place: Place) -> Result<Properties, Error> {
    if v5 {
        Properties::read(r, place)
    } else {
        Ok(Properties::default())
    }
}

fn connect(r: &mut Reader) -> Result<Connect, Error> {
    // [MQTT-3.1.2-1], [MQTT-3.1.2-2]
    let name = r.text()?;
    let version = match (name.as_str(), r.byte()?) {
        ("MQTT", 4) => Version::V311,
        ("MQTT", 5) => Version::V5,
        _ => return Err(Error::new(UNSUPPORTED_PROTOCOL_VERSION, "expected MQTT of level 4 or 5")),
    };
    let v5 = version == Version::V5;
    let flags = r.byte()?;
    if flags & 1 != 0 {
        return Err(malformed("the reserved flag of CONNECT is set")); // [MQTT-3.1.2-3]
    }
    let keep_alive = r.short()?;
    let properties_ = properties(r, v5, Place::CONNECT)?;
    let client = r.text()?;
    let qos = QoS::from_bits(flags >> 3 & 3).ok_or(malformed("a will with QoS 3"))?; // [MQTT-3.1.2-12]
    let will = if flags & 4 != 0 {
        let properties = properties(r, v5, Place::WILL)?;
        let topic = r.text()?;
        if !topic::is_name(&topic) {
            return Err(Error::new(TOPIC_NAME_INVALID, "a will's topic that is empty or has wildcards"));
        }
        Some(Will { qos, retain: flags & 32 != 0, properties, topic, payload: r.binary()? })
    } else if flags & 0b11_1000 != 0 {
        return Err(malformed("flags of a will without a will")); // [MQTT-3.1.2-11], [MQTT-3.1.2-13]
    } else {
        None
    };
    let user = if flags & 128 != 0 { Some(r.text()?) } else { None };
    if flags & 64 != 0 && user.is_none() && !v5 {
        return Err(malformed("a password without a user name")); // 3.1.1: [MQTT-3.1.2-22]
    }
    let password = if flags & 64 != 0 { Some(r.binary()?) } else { None };
    let clean_start = flags & 2 != 0;
    Ok(Connect { version, clean_start, keep_alive, properties: properties_, client, will, user, password })
}

fn publish(r: &mut Reader, flags: u8, v5: bool) -> Result<Publish, Error> {
    let qos = QoS::from_bits(flags >> 1 & 3).ok_or(malformed("QoS 3"))?; // [MQTT-3.3.1-4]
    let (dup, retain) = (flags & 8 != 0, flags & 1 != 0);
    if dup && qos == QoS::AtMostOnce {
        return Err(malformed("DUP with QoS 0")); // [MQTT-3.3.1-2]
    }
    let topic = r.text()?;
    let packet = if qos == QoS::AtMostOnce { 0 } else { r.identifier()? };
    let properties = properties(r, v5, Place::PUBLISH)?;
    let alias = properties.find(|p| if let Property::TopicAlias(n) = p { Some(*n) } else { None });
    if topic.is_empty() && alias.is_none() {
        return Err(Error::new(PROTOCOL_ERROR, "neither a topic nor an alias"));
    }
    if !topic.is_empty() && !topic::is_name(&topic) {
        return Err(Error::new(TOPIC_NAME_INVALID, "a topic with wildcards")); // [MQTT-3.3.2-2]
    }
    let answer = properties.find(|p| if let Property::ResponseTopic(t) = p { Some(t.clone()) } else { None });
    if answer.is_some_and(|t| !topic::is_name(&t)) {
        return Err(Error::new(PROTOCOL_ERROR, "a response topic that is empty or has wildcards"));
        // [MQTT-3.3.2-14]
    }
    Ok(Publish { dup, qos, retain, topic, packet, properties, payload: r.rest() })
}

fn ack(r: &mut Reader, v5: bool) -> Result<Ack, Error> {
    let packet = r.identifier()?;
    let code = if v5 && !r.is_empty() { r.byte()? } else { 0 };
    let properties = properties(r, v5 && !r.is_empty(), Place::ACK)?;
    Ok(Ack { packet, code, properties })
}

fn subscribe(r: &mut Reader, v5: bool) -> Result<Subscribe, Error> {
    let packet = r.identifier()?;
    let properties = properties(r, v5, Place::SUBSCRIBE)?;
    let mut filters = Vec::new();
    while !r.is_empty() {
        let filter = r.text()?;
        if !topic::is_filter(&filter) {
            return Err(Error::new(TOPIC_FILTER_INVALID, "a filter that is none"));
        }
        let options = r.byte()?;
        // [MQTT-3.8.3-5]; in 3.1.1 all but the QoS is reserved.
        let (reserved, handling) = (options >> 6, options >> 4 & 3);
        if reserved != 0 || (!v5 && options > 2) {
            return Err(malformed("subscription options that are reserved"));
        }
        let qos = QoS::from_bits(options & 3).ok_or(Error::new(PROTOCOL_ERROR, "a maximum QoS of 3"))?;
        if handling == 3 {
            return Err(Error::new(PROTOCOL_ERROR, "retain handling 3"));
        }
        let (no_local, retain_as_published) = (options & 4 != 0, options & 8 != 0);
        if no_local && filter.starts_with("$share/") {
            return Err(Error::new(PROTOCOL_ERROR, "no local on a shared subscription"));
            // [MQTT-3.8.3-4]
        }
        if filters.len() == MOST_FILTERS {
            return Err(Error::new(PACKET_TOO_LARGE, "more than 256 filters"));
        }
        filters.push(Filter { filter, qos, no_local, retain_as_published, retain_handling: handling });
    }
    if filters.is_empty() {
        return Err(Error::new(PROTOCOL_ERROR, "SUBSCRIBE without a filter")); // [MQTT-3.8.3-2]
    }
    Ok(Subscribe { packet, properties, filters })
}

fn unsubscribe(r: &mut Reader, v5: bool) -> Result<Unsubscribe, Error> {
    let packet = r.identifier()?;
    let properties = properties(r, v5, Place::UNSUBSCRIBE)?;
    let mut filters = Vec::new();
    while !r.is_empty() {
        let filter = r.text()?;
        if !topic::is_filter(&filter) {
            return Err(Error::new(TOPIC_FILTER_INVALID, "a filter that is none"));
        }
        if filters.len() == MOST_FILTERS {
            return Err(Error::new(PACKET_TOO_LARGE, "more than 256 filters"));
        }
        filters.push(filter);
    }
    if filters.is_empty() {
        return Err(Error::new(PROTOCOL_ERROR, "UNSUBSCRIBE without a filter")); // [MQTT-3.10.3-2]
    }
    Ok(Unsubscribe { packet, properties, filters })
}

fn reason(r: &mut Reader, v5: bool, place: Place) -> Result<Reason, Error> {
    let code = if v5 && !r.is_empty() { r.byte()? } else { 0 };
    let properties = properties(r, v5 && !r.is_empty(), place)?;
    Ok(Reason { code, properties })
}

// ---- to bytes ----

pub(super) fn put_variable(out: &mut BytesMut, mut n: u32) {
    loop {
        let byte = (n & 0x7f) as u8;
        n >>= 7;
        out.put_u8(if n > 0 { byte | 0x80 } else { byte });
        if n == 0 {
            return;
        }
    }
}

/// What is longer than two bytes can say is cut: texts of this side are short, those of others came by the same two bytes.
pub(super) fn put_binary(out: &mut BytesMut, bytes: &[u8]) {
    let bytes = &bytes[..bytes.len().min(usize::from(u16::MAX))];
    out.put_u16(bytes.len() as u16);
    out.extend_from_slice(bytes);
}

pub(super) fn put_text(out: &mut BytesMut, text: &str) {
    let end =
        (0..=text.len().min(usize::from(u16::MAX))).rev().find(|n| text.is_char_boundary(*n)).unwrap_or(0);
    put_binary(out, &text.as_bytes()[..end]);
}

/// Puts a packet into bytes, as a connection of this version has it.
pub fn encode(packet: &Packet, version: Version, out: &mut BytesMut) {
    // CONNECT says its own.
    let version = if let Packet::Connect(c) = packet { c.version } else { version };
    let v5 = version == Version::V5;
    let mut body = BytesMut::new();
    let b = &mut body;
    let with = |b: &mut BytesMut, p: &Properties| {
        if v5 {
            p.write(b);
        }
    };
    let first = match packet {
        Packet::Connect(c) => {
            put_text(b, "MQTT");
            b.put_u8(if v5 { 5 } else { 4 });
            let mut flags = u8::from(c.clean_start) << 1;
            if let Some(w) = &c.will {
                flags |= 4 | (w.qos as u8) << 3 | u8::from(w.retain) << 5;
            }
            flags |= u8::from(c.user.is_some()) << 7 | u8::from(c.password.is_some()) << 6;
            b.put_u8(flags);
            b.put_u16(c.keep_alive);
            with(b, &c.properties);
            put_text(b, &c.client);
            if let Some(w) = &c.will {
                with(b, &w.properties);
                put_text(b, &w.topic);
                put_binary(b, &w.payload);
            }
            if let Some(user) = &c.user {
                put_text(b, user);
            }
            if let Some(password) = &c.password {
                put_binary(b, password);
            }
            0x10
        }
        Packet::ConnAck(c) => {
            b.put_u8(u8::from(c.session_present));
            b.put_u8(c.code);
            with(b, &c.properties);
            0x20
        }
        Packet::Publish(p) => {
            put_text(b, &p.topic);
            if p.qos != QoS::AtMostOnce {
                b.put_u16(p.packet);
            }
            with(b, &p.properties);
            b.extend_from_slice(&p.payload);
            0x30 | u8::from(p.dup) << 3 | (p.qos as u8) << 1 | u8::from(p.retain)
        }
        Packet::PubAck(a) => put_ack(b, a, v5, 0x40),
        Packet::PubRec(a) => put_ack(b, a, v5, 0x50),
        Packet::PubRel(a) => put_ack(b, a, v5, 0x62),
        Packet::PubComp(a) => put_ack(b, a, v5, 0x70),
        Packet::Subscribe(s) => {
            b.put_u16(s.packet);
            with(b, &s.properties);
            for f in &s.filters {
                put_text(b, &f.filter);
                let more =
                    u8::from(f.no_local) << 2 | u8::from(f.retain_as_published) << 3 | f.retain_handling << 4;
                b.put_u8(f.qos as u8 | if v5 { more } else { 0 });
            }
            0x82
        }
        Packet::SubAck(a) | Packet::UnsubAck(a) => {
            b.put_u16(a.packet);
            with(b, &a.properties);
            b.extend_from_slice(&a.codes);
            if matches!(packet, Packet::SubAck(_)) {
                0x90
            } else {
                0xb0
            }
        }
        Packet::Unsubscribe(u) => {
            b.put_u16(u.packet);
            with(b, &u.properties);
            u.filters.iter().for_each(|f| put_text(b, f));
            0xa2
        }
        Packet::PingReq => 0xc0,
        Packet::PingResp => 0xd0,
        Packet::Disconnect(r) => put_reason(b, r, v5, 0xe0),
        Packet::Auth(r) => put_reason(b, r, v5, 0xf0),
    };
    out.put_u8(first);
    put_variable(out, body.len() as u32);
    out.extend_from_slice(&body);
}

fn put_ack(b: &mut BytesMut, a: &Ack, v5: bool, first: u8) -> u8 {
    b.put_u16(a.packet);
    put_end(b, a.code, &a.properties, v5);
    first
}

fn put_reason(b: &mut BytesMut, r: &Reason, v5: bool, first: u8) -> u8 {
    put_end(b, r.code, &r.properties, v5);
    first
}

/// Code and properties, left out where they say nothing.
fn put_end(b: &mut BytesMut, code: u8, properties: &Properties, v5: bool) {
    if v5 && (code != 0 || !properties.0.is_empty()) {
        b.put_u8(code);
        if !properties.0.is_empty() {
            properties.write(b);
        }
    }
}
