//! Datagrams between gateways: gossip and membership messages, authenticated by a keyed BLAKE3 hash and protected against
//! replay.
//!
//! Format of a datagram, with big-endian numbers:
//!
//! | bytes | field |
//! | --- | --- |
//! | 1 | channel |
//! | 2 | receiver's id |
//! | 2 | sender's id |
//! | 8 | sender's incarnation |
//! | 8 | datagram's number within the incarnation |
//! | up to 256 | message |
//! | 32 | hash over all fields before it |
//!
//! A later incarnation replaces an earlier one. Within an incarnation, each number is accepted once, down to 64 behind the
//! highest. On the membership channel the receiver may be [`chalkgap_membership::ANY_MEMBER`] and the sender a
//! [`chalkgap_membership::OBSERVER`] outside of the fleet, and earlier incarnations are accepted, so that they can be told
//! that they are superseded.
//!
//! After a restart, datagrams to the incarnation before could be replayed. No guarantee of the core depends on a single
//! message, which bounds the damage.

mod opener;
#[cfg(test)]
mod tests;
mod token_bucket;

pub use opener::{OpenError, Opened, Opener, ReceiveRates};
pub use token_bucket::TokenBucket;

const HEADER_BYTES: usize = 1 + 2 + 2 + 8 + 8;
const HASH_BYTES: usize = 32;
const KEY_BYTES: usize = 32;
/// Most bytes of a message, which is the core's own limit.
pub const MAX_MESSAGE: usize = 256;
/// Most bytes of a datagram.
pub const MAX_DATAGRAM: usize = HEADER_BYTES + MAX_MESSAGE + HASH_BYTES;

/// What a datagram is for. The numbers are those on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Channel {
    /// Gossip between cores.
    Gossip = 1,
    /// Membership detection.
    Membership = 2,
}

/// The key that all gateways of a fleet share.
#[derive(Clone)]
pub struct Key([u8; KEY_BYTES]);

impl Key {
    /// Parses 64 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Key> {
        let digits = text.as_bytes();
        if digits.len() != 2 * KEY_BYTES {
            return None;
        }
        let mut key = [0; KEY_BYTES];
        for (byte, pair) in key.iter_mut().zip(digits.chunks_exact(2)) {
            let digit = |digit: u8| char::from(digit).to_digit(16);
            *byte = (digit(pair[0])? * 16 + digit(pair[1])?) as u8;
        }
        Some(Key(key))
    }

    pub(crate) fn bytes(&self) -> &[u8; KEY_BYTES] {
        &self.0
    }
}

/// Writes datagrams.
pub struct Sealer {
    channel: Channel,
    key: Key,
    self_id: u16,
    incarnation: u64,
    last_number: u64,
}

impl Sealer {
    /// A sealer for one incarnation of gateway `self_id`; a later start must have a higher one.
    pub fn new(channel: Channel, key: Key, self_id: u16, incarnation: u64) -> Self {
        Sealer { channel, key, self_id, incarnation, last_number: 0 }
    }

    /// The datagram with a message to one peer.
    pub fn seal(&mut self, to: u16, message: &[u8]) -> Vec<u8> {
        self.last_number += 1;
        let mut datagram = Vec::with_capacity(HEADER_BYTES + message.len() + HASH_BYTES);
        datagram.push(self.channel as u8);
        datagram.extend_from_slice(&to.to_be_bytes());
        datagram.extend_from_slice(&self.self_id.to_be_bytes());
        datagram.extend_from_slice(&self.incarnation.to_be_bytes());
        datagram.extend_from_slice(&self.last_number.to_be_bytes());
        datagram.extend_from_slice(message);
        let hash = blake3::keyed_hash(self.key.bytes(), &datagram);
        datagram.extend_from_slice(hash.as_bytes());
        datagram
    }
}
