//! Decoding of received datagrams: authentication, replay protection and rate limits.

use super::token_bucket::TokenBucket;
use super::{Channel, Key, HASH_BYTES, HEADER_BYTES, MAX_DATAGRAM};
use chalkgap_membership::{ANY_MEMBER, OBSERVER};
use std::collections::HashMap;

/// A datagram is rejected if its number is this far behind the highest number of its sender, or further.
const REPLAY_WINDOW: u64 = 64;

/// Reason why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)]
pub enum OpenError {
    #[error("malformed")]
    Malformed,
    #[error("authentication failed: sent without the key, or modified")]
    Forged,
    #[error("for another gateway, or not from a gateway of the fleet")]
    NotAddressed,
    #[error("from an earlier incarnation of its sender")]
    StaleIncarnation,
    #[error("replayed, or too far behind the sender's highest number")]
    Replayed,
    #[error("over the rate limit")]
    RateLimited,
}

/// A datagram that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opened<'d> {
    /// The protocol that it belongs to.
    pub channel: Channel,
    /// The id of the sender.
    pub from: u16,
    /// The message.
    pub message: &'d [u8],
}

/// Maximum number of messages that are accepted in a second, by channel.
#[derive(Clone, Copy, Debug)]
pub struct ReceiveRates {
    /// On [`Channel::Gossip`].
    pub gossip: f64,
    /// On [`Channel::Membership`].
    pub membership: f64,
}

/// Authenticates and decodes datagrams.
pub struct Opener {
    key: Key,
    self_id: u16,
    gateway_count: u16,
    replay_windows: HashMap<(Channel, u16), ReplayWindow>,
    gossip_limit: TokenBucket,
    membership_limit: TokenBucket,
}

/// The fields of a datagram before its message.
struct Header {
    channel: Channel,
    to: u16,
    from: u16,
    incarnation: u64,
    number: u64,
}

impl Header {
    /// Parses the header of a datagram, which must be at least [`HEADER_BYTES`] long. Returns `None` if the channel is
    /// unknown.
    fn parse(datagram: &[u8]) -> Option<Header> {
        let channel = match datagram[0] {
            1 => Channel::Gossip,
            2 => Channel::Membership,
            _ => return None,
        };
        let u16_at = |at: usize| u16::from_be_bytes([datagram[at], datagram[at + 1]]);
        let u64_at =
            |at: usize| datagram[at..at + 8].iter().fold(0u64, |value, byte| value << 8 | u64::from(*byte));
        Some(Header { channel, to: u16_at(1), from: u16_at(3), incarnation: u64_at(5), number: u64_at(13) })
    }
}

impl Opener {
    /// Creates an opener for gateway `self_id` of a fleet of `gateway_count` gateways.
    pub fn new(key: Key, self_id: u16, gateway_count: u16, rates: ReceiveRates) -> Self {
        Opener {
            key,
            self_id,
            gateway_count,
            replay_windows: HashMap::new(),
            gossip_limit: TokenBucket::new(rates.gossip),
            membership_limit: TokenBucket::new(rates.membership),
        }
    }

    /// Returns the message in a datagram that arrived at `now` (microseconds).
    ///
    /// # Errors
    /// Returns [`OpenError`] if the datagram has to be dropped.
    pub fn open<'d>(&mut self, now: u64, datagram: &'d [u8]) -> Result<Opened<'d>, OpenError> {
        if datagram.len() < HEADER_BYTES + HASH_BYTES || datagram.len() > MAX_DATAGRAM {
            return Err(OpenError::Malformed);
        }
        let header = Header::parse(datagram).ok_or(OpenError::Malformed)?;
        let body = self.authenticate(datagram)?;
        if !self.is_addressed(&header) {
            return Err(OpenError::NotAddressed);
        }
        let opened = Opened { channel: header.channel, from: header.from, message: &body[HEADER_BYTES..] };
        let limit = match header.channel {
            Channel::Gossip => &mut self.gossip_limit,
            Channel::Membership => &mut self.membership_limit,
        };
        let window = self.replay_windows.entry((header.channel, header.from));
        let window = window.or_insert_with(|| ReplayWindow::new(header.incarnation));
        if header.incarnation < window.incarnation || header.from == OBSERVER {
            if header.channel == Channel::Gossip {
                return Err(OpenError::StaleIncarnation);
            }
            // The membership protocol replies to earlier incarnations and to observers. Neither changes any state here,
            // so replays are harmless, and the rate limit bounds their cost.
        } else if !window.accept(header.incarnation, header.number) {
            return Err(OpenError::Replayed);
        }
        // The rate limit is checked last, so that forged and replayed datagrams do not use it up.
        if !limit.take(now) {
            return Err(OpenError::RateLimited);
        }
        Ok(opened)
    }

    /// Checks the hash of a datagram and returns the bytes that the hash covers.
    fn authenticate<'d>(&self, datagram: &'d [u8]) -> Result<&'d [u8], OpenError> {
        let (body, received) = datagram.split_at(datagram.len() - HASH_BYTES);
        let mut received_hash = [0; HASH_BYTES];
        received_hash.copy_from_slice(received);
        // `blake3::Hash` compares in constant time.
        if blake3::keyed_hash(self.key.bytes(), body) != blake3::Hash::from_bytes(received_hash) {
            return Err(OpenError::Forged);
        }
        Ok(body)
    }

    /// Returns true if the channel permits this receiver and this sender. On the membership channel, the sender may
    /// have this gateway's own id, so that two processes with the same id can detect each other.
    fn is_addressed(&self, header: &Header) -> bool {
        let membership = header.channel == Channel::Membership;
        let to_self = header.to == self.self_id || membership && header.to == ANY_MEMBER;
        let from_member = header.from < self.gateway_count && (header.from != self.self_id || membership);
        to_self && (from_member || membership && header.from == OBSERVER)
    }
}

/// Replay protection for one sender on one channel: records which datagram numbers were accepted.
struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    /// Bit n is set if the datagram with the number `highest` - n was accepted.
    accepted: u64,
}

impl ReplayWindow {
    fn new(incarnation: u64) -> Self {
        ReplayWindow { incarnation, highest: 0, accepted: 0 }
    }

    /// Marks a datagram as accepted. Returns false if it was accepted before, or is too old for the window.
    ///
    /// `incarnation` must not be lower than that of the window. A higher one starts a new window.
    fn accept(&mut self, incarnation: u64, number: u64) -> bool {
        if incarnation > self.incarnation {
            *self = ReplayWindow::new(incarnation);
        }
        if number > self.highest {
            let advance = number - self.highest;
            self.accepted = if advance < REPLAY_WINDOW { self.accepted << advance | 1 } else { 1 };
            self.highest = number;
            return true;
        }
        let behind = self.highest - number;
        if number == 0 || behind >= REPLAY_WINDOW || self.accepted >> behind & 1 == 1 {
            return false;
        }
        self.accepted |= 1 << behind;
        true
    }
}
