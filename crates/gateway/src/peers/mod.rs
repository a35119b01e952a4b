//! Datagrams between gateways: gossip and membership messages, authenticated by a keyed BLAKE3 hash and protected
//! against replay.
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
//! A later incarnation replaces an earlier one. Within an incarnation, each number is accepted once, down to 64 behind
//! the highest. On the membership channel, the receiver may be [`chalkgap_membership::ANY_MEMBER`] and the sender a
//! [`chalkgap_membership::OBSERVER`] outside of the fleet. Earlier incarnations are accepted there as well, so that the
//! receiver can reply that they are superseded.
//!
//! A restarted gateway does not know which datagrams its previous incarnation has accepted, so these can be replayed.
//! The damage is limited, as no guarantee of the core depends on a single message.

mod opener;
#[cfg(test)]
mod tests;
mod token_bucket;

pub use opener::{OpenError, Opened, Opener, ReceiveRates};
pub use token_bucket::TokenBucket;

const HEADER_BYTES: usize = 1 + 2 + 2 + 8 + 8;
const HASH_BYTES: usize = 32;
const KEY_BYTES: usize = 32;
/// Maximum size of a message in bytes, equal to the core's limit.
pub const MAX_MESSAGE: usize = 256;
/// Maximum size of a datagram in bytes.
pub const MAX_DATAGRAM: usize = HEADER_BYTES + MAX_MESSAGE + HASH_BYTES;

/// The protocol that a datagram belongs to. The discriminants are the values on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Channel {
    /// Gossip between cores.
    Gossip = 1,
    /// Messages of the membership protocol.
    Membership = 2,
}

/// The key that all gateways of a fleet share.
#[derive(Clone)]
pub struct Key([u8; KEY_BYTES]);

impl Key {
    /// Parses 64 hexadecimal digits. Returns `None` for any other text.
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

/// Encodes and authenticates datagrams.
pub struct Sealer {
    channel: Channel,
    key: Key,
    self_id: u16,
    incarnation: u64,
    last_number: u64,
}

impl Sealer {
    /// Creates a sealer for gateway `self_id`. Each start of the gateway needs a higher `incarnation` than the one
    /// before.
    pub fn new(channel: Channel, key: Key, self_id: u16, incarnation: u64) -> Self {
        Sealer { channel, key, self_id, incarnation, last_number: 0 }
    }

    /// Returns the datagram that carries `message` to the peer `to`.
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
