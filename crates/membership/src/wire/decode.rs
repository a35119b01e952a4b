//! Decoding of messages.

use super::{code, Kind, Malformed, Message, ViewSummary, IPV6_BIT, MAX_MESSAGE_LENGTH};
use crate::view::{MemberRecord, MemberState, BUCKETS, VERSION_LIMIT};
use crate::{MemberId, Micros};
use std::net::{IpAddr, SocketAddr};

impl Message {
    /// Decodes a message.
    ///
    /// # Errors
    /// Returns the offset of the first malformed field and a description of what is valid there, if the bytes are
    /// truncated, longer than [`MAX_MESSAGE_LENGTH`], or contain a value out of range.
    pub fn decode(bytes: &[u8]) -> Result<Message, Malformed> {
        if bytes.len() > MAX_MESSAGE_LENGTH {
            return Err(Malformed { at: MAX_MESSAGE_LENGTH, expected: "the end of the message" });
        }
        let mut reader = Reader { bytes, at: 0 };
        let code = reader.u8()?;
        let nonce = reader.u32()?;
        let digest = reader.u64()?;
        let kind = reader.kind(code)?;
        let mut message = Message::new(kind, nonce, digest);
        while reader.at < bytes.len() {
            let record = reader.record()?;
            let held_for: Micros = if message.has_durations() { reader.u64()? } else { 0 };
            message.records.push((record, held_for));
        }
        Ok(message)
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum AddressFamily {
    Ipv4,
    Ipv6,
}

impl AddressFamily {
    fn from_bit(is_ipv6: bool) -> AddressFamily {
        if is_ipv6 {
            AddressFamily::Ipv6
        } else {
            AddressFamily::Ipv4
        }
    }
}

/// Reads the fields of a message, in order.
struct Reader<'b> {
    bytes: &'b [u8],
    /// Offset of the next field.
    at: usize,
}

impl Reader<'_> {
    fn take<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        let field = self.bytes.get(self.at..self.at + N).and_then(|field| <[u8; N]>::try_from(field).ok());
        let field = field.ok_or(Malformed { at: self.bytes.len(), expected: "more bytes" })?;
        self.at += N;
        Ok(field)
    }

    fn u8(&mut self) -> Result<u8, Malformed> {
        Ok(u8::from_be_bytes(self.take()?))
    }

    fn u16(&mut self) -> Result<u16, Malformed> {
        Ok(u16::from_be_bytes(self.take()?))
    }

    fn u32(&mut self) -> Result<u32, Malformed> {
        Ok(u32::from_be_bytes(self.take()?))
    }

    fn u64(&mut self) -> Result<u64, Malformed> {
        Ok(u64::from_be_bytes(self.take()?))
    }

    fn flag(&mut self) -> Result<bool, Malformed> {
        match self.u8()? {
            0 => Ok(false),
            1 => Ok(true),
            _ => Err(Malformed { at: self.at - 1, expected: "0 or 1" }),
        }
    }

    fn kind(&mut self, code: u8) -> Result<Kind, Malformed> {
        match code {
            code::PING => Ok(Kind::Ping),
            code::ACK => Ok(Kind::Ack),
            code::PING_REQUEST => {
                let target = self.u16()?;
                let family = AddressFamily::from_bit(self.flag()?);
                let address = self.address(family)?;
                Ok(Kind::PingRequest { target, address })
            }
            code::INDIRECT_ACK => Ok(Kind::IndirectAck),
            code::INDIRECT_NACK => Ok(Kind::IndirectNack),
            code::DIGESTS => {
                let reply_requested = self.flag()?;
                let mut digests = [0; BUCKETS];
                for digest in &mut digests {
                    *digest = self.u32()?;
                }
                Ok(Kind::Digests { reply_requested, digests })
            }
            code::RECORDS => Ok(Kind::Records),
            code::VIEW_REQUEST => Ok(Kind::ViewRequest { from: self.u16()? }),
            code::VIEW_PAGE => Ok(Kind::ViewPage(self.summary()?)),
            _ => Err(Malformed { at: 0, expected: "a message kind from 1 to 9" }),
        }
    }

    fn summary(&mut self) -> Result<ViewSummary, Malformed> {
        Ok(ViewSummary {
            owner: self.u16()?,
            version: self.u64()?,
            live_count: self.u16()?,
            voter_count: self.u16()?,
            partition_status: self.u8()?,
            detection_bound: self.u64()?,
            next: Some(self.u16()?).filter(|id| *id != MemberId::MAX),
        })
    }

    fn record(&mut self) -> Result<MemberRecord, Malformed> {
        let id = self.u16()?;
        let state_byte = self.u8()?;
        let family = AddressFamily::from_bit(state_byte & IPV6_BIT != 0);
        let state = match state_byte & !IPV6_BIT {
            0 => MemberState::Alive,
            1 => MemberState::Suspect,
            2 => MemberState::Dead,
            3 => MemberState::Left,
            _ => return Err(Malformed { at: self.at - 1, expected: "a member state from 0 to 3" }),
        };
        let version = self.u32()?;
        let parity_matches_state = (version % 2 == 0) == state.is_live();
        if version >= VERSION_LIMIT || !parity_matches_state {
            return Err(Malformed {
                at: self.at - 4,
                expected: "a version below 2^30, even for a live member, odd for a dead or left one",
            });
        }
        let incarnation = self.u64()?;
        let reported_by = self.u16()?;
        let address = self.address(family)?;
        Ok(MemberRecord { id, state, version, incarnation, address, reported_by })
    }

    fn address(&mut self, family: AddressFamily) -> Result<SocketAddr, Malformed> {
        let ip: IpAddr = match family {
            AddressFamily::Ipv4 => self.take::<4>()?.into(),
            AddressFamily::Ipv6 => self.take::<16>()?.into(),
        };
        Ok(SocketAddr::new(ip, self.u16()?))
    }
}
