//! The bytes of messages between gateways: packing and checked unpacking. No decision lives here.

use crate::interface::CustomerId;

const USE: u8 = 1;
const GIFT: u8 = 2;
const HEAD: usize = 10;
const USE_BYTES: usize = 9;
const GIFT_BYTES: usize = 7;
/// The most bytes that a message may have.
const MOST: usize = 256;

/// The most [`Use`]s that fit in a message.
pub const MOST_USES: usize = (MOST - HEAD) / USE_BYTES;
/// The most [`Gift`]s that fit in a message.
pub const MOST_GIFTS: usize = (MOST - HEAD - 4) / GIFT_BYTES;
/// Parts of a unit that messages count in.
const PARTS: f64 = 4.0;

/// A customer's use, as one gateway saw it since its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Use {
    /// Whose it is.
    pub customer: CustomerId,
    /// Quarter units sent on since the gateway's start, wrapped round.
    pub total: u16,
    /// Attempts out.
    pub open: u8,
    /// How full the gateway takes the customer's store to be, 255 for full.
    pub level: u8,
}

/// Ceiling units handed over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Gift {
    /// Whose ceiling.
    pub customer: CustomerId,
    /// How many units, in quarters.
    pub units: f64,
}

/// What a message carries.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// Use of customers.
    Uses(Vec<Use>),
    /// Ceiling units, for one incarnation of the receiver.
    Gifts(u32, Vec<Gift>),
}

/// A message between gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The sender's zone.
    pub zone: u8,
    /// The sender's incarnation: the millisecond of its start, wrapped round.
    pub born: u32,
    /// Counts the sender's messages of this kind.
    pub seq: u32,
    /// What it carries.
    pub body: Body,
}

/// A start time as messages carry it.
pub fn incarnation(born: u64) -> u32 {
    (born / 1000) as u32
}

/// The total as messages carry it.
pub fn wrap(units: f64) -> u16 {
    ((units * PARTS).round() as i64) as u16
}

/// Units between two wrapped totals; negative if the later one is less.
pub fn gone_by(from: u16, to: u16) -> f64 {
    f64::from(to.wrapping_sub(from) as i16) / PARTS
}

/// Rounds units down to what a gift can carry.
pub fn whole_parts(units: f64) -> f64 {
    (units.clamp(0.0, f64::from(u16::MAX) / PARTS) * PARTS).floor() / PARTS
}

impl Message {
    /// The message's bytes.
    pub fn pack(&self) -> Vec<u8> {
        let kind = if matches!(self.body, Body::Uses(_)) { USE } else { GIFT };
        let mut bytes = vec![kind, self.zone];
        bytes.extend_from_slice(&self.born.to_le_bytes());
        bytes.extend_from_slice(&self.seq.to_le_bytes());
        match &self.body {
            Body::Uses(uses) => {
                for u in uses.iter().take(MOST_USES) {
                    bytes.extend_from_slice(&u.customer.0.to_le_bytes()[..5]);
                    bytes.extend_from_slice(&u.total.to_le_bytes());
                    bytes.extend_from_slice(&[u.open, u.level]);
                }
            }
            Body::Gifts(to, gifts) => {
                bytes.extend_from_slice(&to.to_le_bytes());
                for g in gifts.iter().take(MOST_GIFTS) {
                    bytes.extend_from_slice(&g.customer.0.to_le_bytes()[..5]);
                    bytes.extend_from_slice(&((g.units * PARTS) as u16).to_le_bytes());
                }
            }
        }
        bytes
    }

    /// Reads a message; none for anything that [`Message::pack`] cannot have made.
    pub fn unpack(bytes: &[u8]) -> Option<Message> {
        let word = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
        let customer = |e: &[u8]| CustomerId(u64::from_le_bytes([e[0], e[1], e[2], e[3], e[4], 0, 0, 0]));
        let half = |e: &[u8]| u16::from_le_bytes([e[5], e[6]]);
        if bytes.len() > MOST {
            return None;
        }
        let (zone, born, seq) = (*bytes.get(1)?, word(2)?, word(6)?);
        let body = match bytes[0] {
            USE => {
                let entries = bytes[HEAD..].chunks_exact(USE_BYTES);
                entries.remainder().is_empty().then_some(())?;
                Body::Uses(
                    entries
                        .map(|e| Use { customer: customer(e), total: half(e), open: e[7], level: e[8] })
                        .collect(),
                )
            }
            GIFT => {
                let to = word(HEAD)?;
                let entries = bytes[HEAD + 4..].chunks_exact(GIFT_BYTES);
                entries.remainder().is_empty().then_some(())?;
                let gift = |e| Gift { customer: customer(e), units: f64::from(half(e)) / PARTS };
                Body::Gifts(to, entries.map(gift).collect())
            }
            _ => return None,
        };
        Some(Message { zone, born, seq, body })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_survive_the_way() {
        let uses = vec![Use { customer: CustomerId(7 << 30), total: 65_000, open: 3, level: 200 }; MOST_USES];
        let gifts = vec![Gift { customer: CustomerId(5), units: 2.25 }; MOST_GIFTS];
        for body in [Body::Uses(uses), Body::Gifts(9, gifts)] {
            let message = Message { zone: 2, born: 77, seq: 3, body };
            let bytes = message.pack();
            assert!(bytes.len() <= MOST);
            assert_eq!(Message::unpack(&bytes), Some(message));
            for cut in (0..bytes.len()).filter(|c| *c != HEAD && *c != HEAD + 4) {
                let part = Message::unpack(&bytes[..cut]);
                let whole_entries = part.map_or(true, |p| p.pack().len() == cut);
                assert!(whole_entries, "cut at {cut}");
            }
        }
        assert_eq!(gone_by(wrap(16_383.0), wrap(16_385.0)), 2.0);
    }
}
