//! Control packet types (MQTT 5.0, table 2-1).

/// Type of a control packet. Its number is in the upper four bits of the first byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PacketType {
    Connect = 1,
    ConnAck = 2,
    Publish = 3,
    PubAck = 4,
    PubRec = 5,
    PubRel = 6,
    PubComp = 7,
    Subscribe = 8,
    SubAck = 9,
    Unsubscribe = 10,
    UnsubAck = 11,
    PingReq = 12,
    PingResp = 13,
    Disconnect = 14,
    Auth = 15,
}

impl PacketType {
    const ALL: [PacketType; 15] = [
        PacketType::Connect,
        PacketType::ConnAck,
        PacketType::Publish,
        PacketType::PubAck,
        PacketType::PubRec,
        PacketType::PubRel,
        PacketType::PubComp,
        PacketType::Subscribe,
        PacketType::SubAck,
        PacketType::Unsubscribe,
        PacketType::UnsubAck,
        PacketType::PingReq,
        PacketType::PingResp,
        PacketType::Disconnect,
        PacketType::Auth,
    ];

    /// Returns the type with this number, which is between 1 and 15.
    pub(super) fn from_number(number: u8) -> Option<PacketType> {
        PacketType::ALL.into_iter().find(|packet_type| *packet_type as u8 == number)
    }

    /// Returns the first byte of a packet of this type.
    pub(super) fn first_byte(self, flags: u8) -> u8 {
        (self as u8) << 4 | flags
    }
}
