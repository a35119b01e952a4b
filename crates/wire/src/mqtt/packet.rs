//! Control packets (MQTT 5.0, chapter 3).

use super::property::Properties;
use bytes::Bytes;

/// Protocol version of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Version {
    /// MQTT 3.1.1, protocol level 4.
    V311,
    /// MQTT 5.0, protocol version 5.
    V5,
}

/// Quality of service of a PUBLISH (section 4.3).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QoS {
    /// Not acknowledged.
    #[default]
    AtMostOnce = 0,
    /// Acknowledged by PUBACK.
    AtLeastOnce = 1,
    /// Acknowledged by PUBREC, PUBREL and PUBCOMP.
    ExactlyOnce = 2,
}

impl QoS {
    /// Returns the QoS with these two bits, or `None` for the reserved value 3.
    pub fn from_bits(bits: u8) -> Option<QoS> {
        [QoS::AtMostOnce, QoS::AtLeastOnce, QoS::ExactlyOnce].get(usize::from(bits)).copied()
    }
}

/// Will message: published by the server after the connection ends without a normal DISCONNECT (section 3.1.2.5).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Will {
    pub qos: QoS,
    pub retain: bool,
    pub properties: Properties,
    pub topic: String,
    pub payload: Bytes,
}

/// CONNECT.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Connect {
    pub version: Version,
    pub clean_start: bool,
    /// Keep alive in seconds; 0 turns it off.
    pub keep_alive: u16,
    pub properties: Properties,
    /// Client identifier.
    pub client: String,
    pub will: Option<Will>,
    pub user: Option<String>,
    pub password: Option<Bytes>,
}

/// CONNACK.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct ConnAck {
    pub session_present: bool,
    /// Reason code, or the return code from 0 to 5 in MQTT 3.1.1.
    pub code: u8,
    pub properties: Properties,
}

/// PUBLISH.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Publish {
    pub dup: bool,
    pub qos: QoS,
    pub retain: bool,
    /// Empty if a topic alias replaces it.
    pub topic: String,
    /// Packet identifier; 0 for QoS 0.
    pub packet: u16,
    pub properties: Properties,
    pub payload: Bytes,
}

/// PUBACK, PUBREC, PUBREL, PUBCOMP.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Ack {
    /// Packet identifier.
    pub packet: u16,
    /// Reason code; always 0 in MQTT 3.1.1, which has none.
    pub code: u8,
    pub properties: Properties,
}

/// Topic filter of a SUBSCRIBE with its subscription options (section 3.8.3.1).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Filter {
    pub filter: String,
    pub qos: QoS,
    pub no_local: bool,
    pub retain_as_published: bool,
    /// Retain handling, from 0 to 2.
    pub retain_handling: u8,
}

/// SUBSCRIBE.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Subscribe {
    /// Packet identifier.
    pub packet: u16,
    pub properties: Properties,
    pub filters: Vec<Filter>,
}

/// UNSUBSCRIBE.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Unsubscribe {
    /// Packet identifier.
    pub packet: u16,
    pub properties: Properties,
    pub filters: Vec<String>,
}

/// SUBACK, UNSUBACK.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Acks {
    /// Packet identifier.
    pub packet: u16,
    pub properties: Properties,
    /// One reason code for each filter; empty in an UNSUBACK of MQTT 3.1.1.
    pub codes: Vec<u8>,
}

/// DISCONNECT, AUTH.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Reason {
    pub code: u8,
    pub properties: Properties,
}

/// A control packet.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Packet {
    Connect(Box<Connect>),
    ConnAck(ConnAck),
    Publish(Publish),
    PubAck(Ack),
    PubRec(Ack),
    PubRel(Ack),
    PubComp(Ack),
    Subscribe(Subscribe),
    SubAck(Acks),
    Unsubscribe(Unsubscribe),
    UnsubAck(Acks),
    PingReq,
    PingResp,
    Disconnect(Reason),
    Auth(Reason),
}
