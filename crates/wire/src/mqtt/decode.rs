//! Decodes packets (MQTT 5.0, chapters 2 and 3). The length in a packet's fixed header is checked before the body is
//! buffered, and the body is decoded within that length.

use super::error::{malformed, Error};
use super::packet::{
    Ack, Acks, ConnAck, Connect, Filter, Packet, Publish, QoS, Reason, Subscribe, Unsubscribe, Version, Will,
};
use super::packet_type::PacketType;
use super::property::{Properties, Property, PropertyLocation};
use super::reader::{read_variable_byte_integer, Reader};
use super::reason::{
    PACKET_TOO_LARGE, PROTOCOL_ERROR, TOPIC_FILTER_INVALID, TOPIC_NAME_INVALID, UNSUPPORTED_PROTOCOL_VERSION,
};
use super::topic;
use bytes::{Buf, BytesMut};

/// Maximum number of filters in a packet.
const MAX_FILTERS: usize = 256;

/// Removes the next packet from `buffer` and decodes it. Returns `None` if the packet is not complete.
///
/// `version` is `None` until CONNECT, which contains the connection's version. `limit` is the maximum size of a packet
/// in bytes.
///
/// # Errors
/// If the packet is invalid or exceeds a limit. The connection has to be closed.
pub fn decode(
    buffer: &mut BytesMut,
    version: Option<Version>,
    limit: usize,
) -> Result<Option<Packet>, Error> {
    let Some(first) = buffer.first().copied() else { return Ok(None) };
    let flags = first & 0x0f;
    let packet_type = packet_type(first, version)?;
    let Some(length) = read_variable_byte_integer(&buffer[1..])? else { return Ok(None) };
    let header_bytes = 1 + length.bytes;
    let body_bytes = length.value as usize;
    if header_bytes + body_bytes > limit {
        return Err(Error::new(PACKET_TOO_LARGE, "packet larger than the limit"));
    }
    if buffer.len() < header_bytes + body_bytes {
        return Ok(None);
    }
    buffer.advance(header_bytes);
    let mut reader = Reader(buffer.split_to(body_bytes).freeze());
    let packet = body(packet_type, flags, version == Some(Version::V5), &mut reader)?;
    reader.finish()?;
    Ok(Some(packet))
}

/// Returns the packet type of a fixed header's first byte (section 2.1.2) and checks its flags (section 2.1.3).
fn packet_type(first: u8, version: Option<Version>) -> Result<PacketType, Error> {
    let packet_type = PacketType::from_number(first >> 4);
    if version.is_none() && packet_type != Some(PacketType::Connect) {
        // [MQTT-3.1.0-1]
        return Err(Error::new(PROTOCOL_ERROR, "expected CONNECT as the first packet"));
    }
    let flags = first & 0x0f;
    let expected_flags = match packet_type {
        Some(PacketType::Publish) => flags,
        Some(PacketType::PubRel | PacketType::Subscribe | PacketType::Unsubscribe) => 2,
        _ => 0,
    };
    // [MQTT-2.1.3-1]
    if flags != expected_flags {
        return Err(malformed("invalid flags in the fixed header"));
    }
    let is_known = |found: &PacketType| *found != PacketType::Auth || version == Some(Version::V5);
    packet_type.filter(is_known).ok_or(malformed("unknown packet type"))
}

fn body(packet_type: PacketType, flags: u8, v5: bool, reader: &mut Reader) -> Result<Packet, Error> {
    Ok(match packet_type {
        PacketType::Connect => Packet::Connect(Box::new(connect(reader)?)),
        PacketType::ConnAck => Packet::ConnAck(connack(reader, v5)?),
        PacketType::Publish => Packet::Publish(publish(reader, flags, v5)?),
        PacketType::PubAck => Packet::PubAck(ack(reader, v5)?),
        PacketType::PubRec => Packet::PubRec(ack(reader, v5)?),
        PacketType::PubRel => Packet::PubRel(ack(reader, v5)?),
        PacketType::PubComp => Packet::PubComp(ack(reader, v5)?),
        PacketType::Subscribe => Packet::Subscribe(subscribe(reader, v5)?),
        PacketType::SubAck => Packet::SubAck(acks(reader, v5)?),
        PacketType::Unsubscribe => Packet::Unsubscribe(unsubscribe(reader, v5)?),
        PacketType::UnsubAck => Packet::UnsubAck(acks(reader, v5)?),
        PacketType::PingReq => Packet::PingReq,
        PacketType::PingResp => Packet::PingResp,
        PacketType::Disconnect => Packet::Disconnect(reason(reader, v5, PropertyLocation::DISCONNECT)?),
        PacketType::Auth => Packet::Auth(reason(reader, v5, PropertyLocation::AUTH)?),
    })
}

fn connack(reader: &mut Reader, v5: bool) -> Result<ConnAck, Error> {
    let flags = reader.u8()?;
    if flags > 1 {
        return Err(malformed("reserved flag set in CONNACK"));
    }
    let code = reader.u8()?;
    let properties = properties(reader, v5, PropertyLocation::CONNACK)?;
    Ok(ConnAck { session_present: flags == 1, code, properties })
}

fn acks(reader: &mut Reader, v5: bool) -> Result<Acks, Error> {
    let packet = reader.packet_identifier()?;
    let properties = properties(reader, v5, PropertyLocation::ACK)?;
    Ok(Acks { packet, properties, codes: reader.remaining().to_vec() })
}

fn properties(reader: &mut Reader, v5: bool, location: PropertyLocation) -> Result<Properties, Error> {
    if v5 {
        Properties::read(reader, location)
    } else {
        Ok(Properties::default())
    }
}

fn connect(reader: &mut Reader) -> Result<Connect, Error> {
    // [MQTT-3.1.2-1], [MQTT-3.1.2-2]
    let name = reader.string()?;
    let version = match (name.as_str(), reader.u8()?) {
        ("MQTT", 4) => Version::V311,
        ("MQTT", 5) => Version::V5,
        _ => {
            return Err(Error::new(
                UNSUPPORTED_PROTOCOL_VERSION,
                "expected protocol name MQTT and version 4 or 5",
            ))
        }
    };
    let v5 = version == Version::V5;
    let flags = reader.u8()?;
    if flags & 1 != 0 {
        return Err(malformed("reserved flag set in CONNECT")); // [MQTT-3.1.2-3]
    }
    let keep_alive = reader.u16()?;
    let connect_properties = properties(reader, v5, PropertyLocation::CONNECT)?;
    let client = reader.string()?;
    let qos = QoS::from_bits(flags >> 3 & 3).ok_or(malformed("will: expected QoS 0 to 2"))?; // [MQTT-3.1.2-12]
    let will = if flags & 4 != 0 {
        let properties = properties(reader, v5, PropertyLocation::WILL)?;
        let topic = reader.string()?;
        if !topic::is_name(&topic) {
            return Err(Error::new(TOPIC_NAME_INVALID, "will: topic empty or with wildcards"));
        }
        Some(Will { qos, retain: flags & 32 != 0, properties, topic, payload: reader.binary()? })
    } else if flags & 0b11_1000 != 0 {
        return Err(malformed("will QoS or will retain without a will")); // [MQTT-3.1.2-11], [MQTT-3.1.2-13]
    } else {
        None
    };
    let user = if flags & 128 != 0 { Some(reader.string()?) } else { None };
    if flags & 64 != 0 && user.is_none() && !v5 {
        return Err(malformed("password without a user name")); // 3.1.1: [MQTT-3.1.2-22]
    }
    let password = if flags & 64 != 0 { Some(reader.binary()?) } else { None };
    let clean_start = flags & 2 != 0;
    Ok(Connect {
        version,
        clean_start,
        keep_alive,
        properties: connect_properties,
        client,
        will,
        user,
        password,
    })
}

fn publish(reader: &mut Reader, flags: u8, v5: bool) -> Result<Publish, Error> {
    let qos = QoS::from_bits(flags >> 1 & 3).ok_or(malformed("PUBLISH: expected QoS 0 to 2"))?; // [MQTT-3.3.1-4]
    let dup = flags & 8 != 0;
    let retain = flags & 1 != 0;
    if dup && qos == QoS::AtMostOnce {
        return Err(malformed("DUP with QoS 0")); // [MQTT-3.3.1-2]
    }
    let topic = reader.string()?;
    let packet = if qos == QoS::AtMostOnce { 0 } else { reader.packet_identifier()? };
    let properties = properties(reader, v5, PropertyLocation::PUBLISH)?;
    let alias = properties.find(|p| if let Property::TopicAlias(n) = p { Some(*n) } else { None });
    if topic.is_empty() && alias.is_none() {
        return Err(Error::new(PROTOCOL_ERROR, "PUBLISH without a topic or topic alias"));
    }
    if !topic.is_empty() && !topic::is_name(&topic) {
        return Err(Error::new(TOPIC_NAME_INVALID, "PUBLISH: topic with wildcards"));
        // [MQTT-3.3.2-2]
    }
    let response_topic =
        properties.find(|p| if let Property::ResponseTopic(t) = p { Some(t.clone()) } else { None });
    if response_topic.is_some_and(|topic| !topic::is_name(&topic)) {
        return Err(Error::new(PROTOCOL_ERROR, "response topic empty or with wildcards"));
        // [MQTT-3.3.2-14]
    }
    Ok(Publish { dup, qos, retain, topic, packet, properties, payload: reader.remaining() })
}

fn ack(reader: &mut Reader, v5: bool) -> Result<Ack, Error> {
    let packet = reader.packet_identifier()?;
    let code = if v5 && !reader.is_empty() { reader.u8()? } else { 0 };
    let properties = properties(reader, v5 && !reader.is_empty(), PropertyLocation::ACK)?;
    Ok(Ack { packet, code, properties })
}

fn subscribe(reader: &mut Reader, v5: bool) -> Result<Subscribe, Error> {
    let packet = reader.packet_identifier()?;
    let properties = properties(reader, v5, PropertyLocation::SUBSCRIBE)?;
    let mut filters = Vec::new();
    while !reader.is_empty() {
        let filter = subscription(reader, v5)?;
        if filters.len() == MAX_FILTERS {
            return Err(Error::new(PACKET_TOO_LARGE, "more than 256 topic filters"));
        }
        filters.push(filter);
    }
    if filters.is_empty() {
        return Err(Error::new(PROTOCOL_ERROR, "SUBSCRIBE without a topic filter"));
        // [MQTT-3.8.3-2]
    }
    Ok(Subscribe { packet, properties, filters })
}

/// A topic filter with its subscription options (section 3.8.3.1).
fn subscription(reader: &mut Reader, v5: bool) -> Result<Filter, Error> {
    let filter = reader.string()?;
    if !topic::is_filter(&filter) {
        return Err(Error::new(TOPIC_FILTER_INVALID, "invalid topic filter"));
    }
    let options = reader.u8()?;
    // [MQTT-3.8.3-5]; in MQTT 3.1.1, all bits but the QoS are reserved.
    let reserved = options >> 6;
    let retain_handling = options >> 4 & 3;
    if reserved != 0 || (!v5 && options > 2) {
        return Err(malformed("reserved subscription options set"));
    }
    let qos =
        QoS::from_bits(options & 3).ok_or(Error::new(PROTOCOL_ERROR, "subscription: expected QoS 0 to 2"))?;
    if retain_handling == 3 {
        return Err(Error::new(PROTOCOL_ERROR, "retain handling: expected 0 to 2"));
    }
    let no_local = options & 4 != 0;
    let retain_as_published = options & 8 != 0;
    if no_local && filter.starts_with("$share/") {
        return Err(Error::new(PROTOCOL_ERROR, "no local set on a shared subscription"));
        // [MQTT-3.8.3-4]
    }
    Ok(Filter { filter, qos, no_local, retain_as_published, retain_handling })
}

fn unsubscribe(reader: &mut Reader, v5: bool) -> Result<Unsubscribe, Error> {
    let packet = reader.packet_identifier()?;
    let properties = properties(reader, v5, PropertyLocation::UNSUBSCRIBE)?;
    let mut filters = Vec::new();
    while !reader.is_empty() {
        let filter = reader.string()?;
        if !topic::is_filter(&filter) {
            return Err(Error::new(TOPIC_FILTER_INVALID, "invalid topic filter"));
        }
        if filters.len() == MAX_FILTERS {
            return Err(Error::new(PACKET_TOO_LARGE, "more than 256 topic filters"));
        }
        filters.push(filter);
    }
    if filters.is_empty() {
        return Err(Error::new(PROTOCOL_ERROR, "UNSUBSCRIBE without a topic filter"));
        // [MQTT-3.10.3-2]
    }
    Ok(Unsubscribe { packet, properties, filters })
}

fn reason(reader: &mut Reader, v5: bool, location: PropertyLocation) -> Result<Reason, Error> {
    let code = if v5 && !reader.is_empty() { reader.u8()? } else { 0 };
    let properties = properties(reader, v5 && !reader.is_empty(), location)?;
    Ok(Reason { code, properties })
}
