//! Properties (MQTT 5.0, section 2.2.2.2): their identifiers, types and the packets in which they are allowed.

use super::encode::{put_binary, put_string, put_variable_byte_integer};
use super::error::Error;
use super::reader::Reader;
use super::reason::{MALFORMED_PACKET, PROTOCOL_ERROR};
use bytes::{BufMut, Bytes, BytesMut};

/// A property.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs)] // the names are the specification's
pub enum Property {
    PayloadFormat(u8),
    MessageExpiry(u32),
    ContentType(String),
    ResponseTopic(String),
    CorrelationData(Bytes),
    SubscriptionIdentifier(u32),
    SessionExpiry(u32),
    AssignedClientIdentifier(String),
    ServerKeepAlive(u16),
    AuthenticationMethod(String),
    AuthenticationData(Bytes),
    RequestProblemInformation(u8),
    WillDelay(u32),
    RequestResponseInformation(u8),
    ResponseInformation(String),
    ServerReference(String),
    ReasonString(String),
    ReceiveMaximum(u16),
    TopicAliasMaximum(u16),
    TopicAlias(u16),
    MaximumQoS(u8),
    RetainAvailable(u8),
    User(String, String),
    MaximumPacketSize(u32),
    WildcardSubscriptionAvailable(u8),
    SubscriptionIdentifierAvailable(u8),
    SharedSubscriptionAvailable(u8),
}

/// Set of packets, one bit each, in which a property is allowed; the will properties count as a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PropertyLocation(pub u16);

#[allow(missing_docs)]
impl PropertyLocation {
    pub const CONNECT: PropertyLocation = PropertyLocation(1);
    pub const CONNACK: PropertyLocation = PropertyLocation(2);
    pub const PUBLISH: PropertyLocation = PropertyLocation(4);
    pub const WILL: PropertyLocation = PropertyLocation(8);
    /// PUBACK, PUBREC, PUBREL, PUBCOMP, SUBACK, UNSUBACK.
    pub const ACK: PropertyLocation = PropertyLocation(16);
    pub const SUBSCRIBE: PropertyLocation = PropertyLocation(32);
    pub const UNSUBSCRIBE: PropertyLocation = PropertyLocation(64);
    pub const DISCONNECT: PropertyLocation = PropertyLocation(128);
    pub const AUTH: PropertyLocation = PropertyLocation(256);
}

use Property as P;

impl Property {
    /// Returns the identifier of the property.
    pub fn id(&self) -> u8 {
        match self {
            P::PayloadFormat(_) => 0x01,
            P::MessageExpiry(_) => 0x02,
            P::ContentType(_) => 0x03,
            P::ResponseTopic(_) => 0x08,
            P::CorrelationData(_) => 0x09,
            P::SubscriptionIdentifier(_) => 0x0b,
            P::SessionExpiry(_) => 0x11,
            P::AssignedClientIdentifier(_) => 0x12,
            P::ServerKeepAlive(_) => 0x13,
            P::AuthenticationMethod(_) => 0x15,
            P::AuthenticationData(_) => 0x16,
            P::RequestProblemInformation(_) => 0x17,
            P::WillDelay(_) => 0x18,
            P::RequestResponseInformation(_) => 0x19,
            P::ResponseInformation(_) => 0x1a,
            P::ServerReference(_) => 0x1c,
            P::ReasonString(_) => 0x1f,
            P::ReceiveMaximum(_) => 0x21,
            P::TopicAliasMaximum(_) => 0x22,
            P::TopicAlias(_) => 0x23,
            P::MaximumQoS(_) => 0x24,
            P::RetainAvailable(_) => 0x25,
            P::User(..) => 0x26,
            P::MaximumPacketSize(_) => 0x27,
            P::WildcardSubscriptionAvailable(_) => 0x28,
            P::SubscriptionIdentifierAvailable(_) => 0x29,
            P::SharedSubscriptionAvailable(_) => 0x2a,
        }
    }

    /// Returns the set of packets in which the property with this identifier is allowed (table 2-4).
    fn locations(id: u8) -> Option<u16> {
        let connect = PropertyLocation::CONNECT.0;
        let connack = PropertyLocation::CONNACK.0;
        let publish = PropertyLocation::PUBLISH.0;
        let will = PropertyLocation::WILL.0;
        Some(match id {
            0x01 | 0x02 | 0x03 | 0x08 | 0x09 => publish | will,
            0x0b => publish | PropertyLocation::SUBSCRIBE.0,
            0x11 => connect | connack | PropertyLocation::DISCONNECT.0,
            0x12 | 0x13 | 0x1a | 0x24 | 0x25 | 0x28 | 0x29 | 0x2a => connack,
            0x15 | 0x16 => connect | connack | PropertyLocation::AUTH.0,
            0x17 | 0x19 => connect,
            0x18 => will,
            0x1c => connack | PropertyLocation::DISCONNECT.0,
            0x1f => {
                connack | PropertyLocation::ACK.0 | PropertyLocation::DISCONNECT.0 | PropertyLocation::AUTH.0
            }
            0x21 | 0x22 | 0x27 => connect | connack,
            0x23 => publish,
            0x26 => u16::MAX,
            _ => return None,
        })
    }

    fn read(reader: &mut Reader) -> Result<Property, Error> {
        // Identifiers are variable byte integers. All defined ones fit into one byte.
        let id = reader.variable_byte_integer()?;
        let id = u8::try_from(id).ok().filter(|id| Property::locations(*id).is_some());
        let id = id.ok_or(Error::new(MALFORMED_PACKET, "unknown property"))?;
        let flag = |value: u8, message| match value {
            0 | 1 => Ok(value),
            _ => Err(Error::new(PROTOCOL_ERROR, message)),
        };
        Ok(match id {
            0x01 => P::PayloadFormat(flag(reader.u8()?, "payload format indicator: expected 0 or 1")?),
            0x02 => P::MessageExpiry(reader.u32()?),
            0x03 => P::ContentType(reader.string()?),
            0x08 => P::ResponseTopic(reader.string()?),
            0x09 => P::CorrelationData(reader.binary()?),
            0x0b => match reader.variable_byte_integer()? {
                0 => return Err(Error::new(PROTOCOL_ERROR, "subscription identifier: expected 1 or more")),
                n => P::SubscriptionIdentifier(n),
            },
            0x11 => P::SessionExpiry(reader.u32()?),
            0x12 => P::AssignedClientIdentifier(reader.string()?),
            0x13 => P::ServerKeepAlive(reader.u16()?),
            0x15 => P::AuthenticationMethod(reader.string()?),
            0x16 => P::AuthenticationData(reader.binary()?),
            0x17 => P::RequestProblemInformation(flag(
                reader.u8()?,
                "request problem information: expected 0 or 1",
            )?),
            0x18 => P::WillDelay(reader.u32()?),
            0x19 => P::RequestResponseInformation(flag(
                reader.u8()?,
                "request response information: expected 0 or 1",
            )?),
            0x1a => P::ResponseInformation(reader.string()?),
            0x1c => P::ServerReference(reader.string()?),
            0x1f => P::ReasonString(reader.string()?),
            0x21 => match reader.u16()? {
                0 => return Err(Error::new(PROTOCOL_ERROR, "receive maximum: expected 1 or more")),
                n => P::ReceiveMaximum(n),
            },
            0x22 => P::TopicAliasMaximum(reader.u16()?),
            0x23 => P::TopicAlias(reader.u16()?),
            0x24 => P::MaximumQoS(flag(reader.u8()?, "maximum QoS: expected 0 or 1")?),
            0x25 => P::RetainAvailable(flag(reader.u8()?, "retain available: expected 0 or 1")?),
            0x26 => P::User(reader.string()?, reader.string()?),
            0x27 => match reader.u32()? {
                0 => return Err(Error::new(PROTOCOL_ERROR, "maximum packet size: expected 1 or more")),
                n => P::MaximumPacketSize(n),
            },
            0x28 => P::WildcardSubscriptionAvailable(flag(
                reader.u8()?,
                "wildcard subscription available: expected 0 or 1",
            )?),
            0x29 => P::SubscriptionIdentifierAvailable(flag(
                reader.u8()?,
                "subscription identifiers available: expected 0 or 1",
            )?),
            _ => P::SharedSubscriptionAvailable(flag(
                reader.u8()?,
                "shared subscription available: expected 0 or 1",
            )?),
        })
    }

    fn write(&self, out: &mut BytesMut) {
        out.put_u8(self.id());
        match self {
            P::PayloadFormat(n)
            | P::RequestProblemInformation(n)
            | P::RequestResponseInformation(n)
            | P::MaximumQoS(n)
            | P::RetainAvailable(n)
            | P::WildcardSubscriptionAvailable(n)
            | P::SubscriptionIdentifierAvailable(n)
            | P::SharedSubscriptionAvailable(n) => out.put_u8(*n),
            P::ServerKeepAlive(n) | P::ReceiveMaximum(n) | P::TopicAliasMaximum(n) | P::TopicAlias(n) => {
                out.put_u16(*n);
            }
            P::MessageExpiry(n) | P::SessionExpiry(n) | P::WillDelay(n) | P::MaximumPacketSize(n) => {
                out.put_u32(*n);
            }
            P::SubscriptionIdentifier(n) => put_variable_byte_integer(out, *n),
            P::ContentType(t)
            | P::ResponseTopic(t)
            | P::AssignedClientIdentifier(t)
            | P::AuthenticationMethod(t)
            | P::ResponseInformation(t)
            | P::ServerReference(t)
            | P::ReasonString(t) => put_string(out, t),
            P::CorrelationData(b) | P::AuthenticationData(b) => put_binary(out, b),
            P::User(k, v) => {
                put_string(out, k);
                put_string(out, v);
            }
        }
    }
}

/// Properties of a packet in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Properties(pub Vec<Property>);

/// Maximum number of properties in a packet. Clients usually send only a few.
const MAX_PROPERTIES: usize = 256;

impl Properties {
    pub(super) fn read(reader: &mut Reader, location: PropertyLocation) -> Result<Properties, Error> {
        let length = reader.variable_byte_integer()? as usize;
        let mut part = reader.sub_reader(length)?;
        let mut list = Vec::new();
        let mut seen = 0u64;
        while !part.is_empty() {
            let property = Property::read(&mut part)?;
            let id = property.id();
            if Property::locations(id).is_none_or(|locations| locations & location.0 == 0) {
                return Err(Error::new(PROTOCOL_ERROR, "property not allowed in this packet"));
            }
            // Only user properties may be repeated, and subscription identifiers in a PUBLISH to a client.
            let may_repeat =
                matches!(property, P::User(..)) || (id == 0x0b && location == PropertyLocation::PUBLISH);
            if seen >> id & 1 == 1 && !may_repeat {
                return Err(Error::new(PROTOCOL_ERROR, "duplicate property"));
            }
            seen |= 1 << id;
            if list.len() == MAX_PROPERTIES {
                return Err(Error::new(super::reason::PACKET_TOO_LARGE, "more than 256 properties"));
            }
            list.push(property);
        }
        Ok(Properties(list))
    }

    pub(super) fn write(&self, out: &mut BytesMut) {
        let mut part = BytesMut::new();
        self.0.iter().for_each(|p| p.write(&mut part));
        put_variable_byte_integer(out, part.len() as u32);
        out.extend_from_slice(&part);
    }

    /// Returns the first value that `select` returns for one of the properties.
    pub fn find<T>(&self, select: impl Fn(&Property) -> Option<T>) -> Option<T> {
        self.0.iter().find_map(select)
    }
}
