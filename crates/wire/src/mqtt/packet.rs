//! Control packets (MQTT 5, chapter 3).

use super::property::Properties;
use bytes::Bytes;

/// Which of the two protocols a connection speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Version {
    /// 3.1.1, level 4.
    V311,
    /// 5.0, level 5.
    V5,
}

/// Quality of service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QoS {
    /// No answer.
    #[default]
    AtMostOnce = 0,
    /// PUBACK.
    AtLeastOnce = 1,
    /// PUBREC, PUBREL, PUBCOMP.
    ExactlyOnce = 2,
}

impl QoS {
    /// From its two bits; 3 is none.
    pub fn from_bits(n: u8) -> Option<QoS> {
        [QoS::AtMostOnce, QoS::AtLeastOnce, QoS::ExactlyOnce].get(usize::from(n)).copied()
    }
}

/// What is published when a client is gone.
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
    /// Seconds; 0: none.
    pub keep_alive: u16,
    pub properties: Properties,
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
    /// A reason code; a return code of 0 to 5 in 3.1.1.
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
    /// Empty where a topic alias stands for it.
    pub topic: String,
    /// 0 for QoS 0.
    pub packet: u16,
    pub properties: Properties,
    pub payload: Bytes,
}

/// PUBACK, PUBREC, PUBREL, PUBCOMP.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Ack {
    pub packet: u16,
    /// Always 0 in 3.1.1.
    pub code: u8,
    pub properties: Properties,
}

/// A filter of a SUBSCRIBE with its options.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Filter {
    pub filter: String,
    pub qos: QoS,
    pub no_local: bool,
    pub retain_as_published: bool,
    /// 0 to 2.
    pub retain_handling: u8,
}

/// SUBSCRIBE.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Subscribe {
    pub packet: u16,
    pub properties: Properties,
    pub filters: Vec<Filter>,
}

/// UNSUBSCRIBE.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Unsubscribe {
    pub packet: u16,
    pub properties: Properties,
    pub filters: Vec<String>,
}

/// SUBACK, UNSUBACK: a code for each filter; none in an UNSUBACK of 3.1.1.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[allow(missing_docs)]
pub struct Acks {
    pub packet: u16,
    pub properties: Properties,
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
