//! Datagrams between ingresses: the module's bytes and those of the view of the fleet, authenticated by a keyed hash
//! (BLAKE3), each taken at most once.
//!
//! A datagram is: its channel (1 byte), receiver and sender (2 each), the sender's incarnation and the datagram's number
//! (8 each), the message, and the hash over all before it (32). Numbers are big-endian. A later incarnation takes the
//! place of an earlier one; within one, numbers are taken once, as far as 64 behind the highest.
//!
//! On the view's channel a receiver may be whoever listens there, and a sender a visitor that is none of the fleet; what
//! an earlier start of a member says is read there, so that it can be told that it is over.
//!
//! What a holder of the key, or a repeat after this instance's own restart, could do is bounded by the module: no rule
//! rests on a message.

use chalkgap_membership::{ANY_MEMBER, OBSERVER};
use std::collections::HashMap;

const HEAD: usize = 1 + 2 + 2 + 8 + 8;
const HASH: usize = 32;
/// Bytes of a message: the module's own limit.
pub const MOST_MESSAGE: usize = 256;
/// Bytes of a datagram.
pub const MOST_DATAGRAM: usize = HEAD + MOST_MESSAGE + HASH;

/// What a datagram is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Channel {
    /// The module's messages.
    Module = 1,
    /// Those of the view of the fleet.
    View = 2,
}

/// The key that all ingresses share.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Reads 64 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Key> {
        let digits = text.as_bytes();
        let mut key = [0; 32];
        if digits.len() != 64 {
            return None;
        }
        for (byte, pair) in key.iter_mut().zip(digits.chunks_exact(2)) {
            let digit = |d: u8| char::from(d).to_digit(16);
            *byte = (digit(pair[0])? * 16 + digit(pair[1])?) as u8;
        }
        Some(Key(key))
    }

    /// Its bytes.
    pub(crate) fn bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

/// Writes datagrams.
pub struct Sealer {
    channel: Channel,
    key: Key,
    me: u16,
    incarnation: u64,
    count: u64,
}

impl Sealer {
    /// A sealer for this start; `incarnation` is later than that of all starts before.
    pub fn new(channel: Channel, key: Key, me: u16, incarnation: u64) -> Self {
        Sealer { channel, key, me, incarnation, count: 0 }
    }

    /// Puts a message for one peer into a datagram.
    pub fn seal(&mut self, to: u16, message: &[u8]) -> Vec<u8> {
        self.count += 1;
        let mut out = Vec::with_capacity(HEAD + message.len() + HASH);
        out.push(self.channel as u8);
        out.extend_from_slice(&to.to_be_bytes());
        out.extend_from_slice(&self.me.to_be_bytes());
        out.extend_from_slice(&self.incarnation.to_be_bytes());
        out.extend_from_slice(&self.count.to_be_bytes());
        out.extend_from_slice(message);
        let hash = blake3::keyed_hash(&self.key.0, &out);
        out.extend_from_slice(hash.as_bytes());
        out
    }
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)]
pub enum Dropped {
    #[error("not of this form")]
    Form,
    #[error("not by a holder of the key, or changed on the way")]
    Forged,
    #[error("for another ingress, or from none of the fleet")]
    Stranger,
    #[error("from an earlier start of its sender")]
    Earlier,
    #[error("taken before, or too far behind")]
    Repeat,
    #[error("over the intake limit")]
    Limit,
}

struct Heard {
    incarnation: u64,
    highest: u64,
    /// Bit n: the number n below the highest was taken.
    taken: u64,
}

/// Reads datagrams.
pub struct Opener {
    key: Key,
    me: u16,
    fleet: u16,
    heard: HashMap<(Channel, u16), Heard>,
    /// Of the module's channel, and of the view's.
    intake: [Intake; 2],
}

/// A datagram that was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opened<'d> {
    /// What it is for.
    pub channel: Channel,
    /// Who sealed it.
    pub from: u16,
    /// The message.
    pub message: &'d [u8],
}

/// How many messages an ingress takes in a second.
pub struct Intake {
    /// Messages that may be taken now, how many come a second, since when.
    allowance: f64,
    per_second: f64,
    at: u64,
}

impl Intake {
    /// `per_second` messages, and as many at once.
    pub fn new(per_second: f64) -> Self {
        Intake { allowance: per_second.max(1.0), per_second, at: 0 }
    }

    /// Whether one more may be taken at `now` (microseconds).
    pub fn take(&mut self, now: u64) -> bool {
        let span = now.saturating_sub(self.at) as f64 / 1e6;
        self.at = self.at.max(now);
        self.allowance = (self.allowance + span * self.per_second).min(self.per_second.max(1.0));
        let may = self.allowance >= 1.0;
        self.allowance -= f64::from(u8::from(may));
        may
    }
}

impl Opener {
    /// An opener for ingress `me` of `fleet`, that takes so many messages a second: of the module, of the view.
    pub fn new(key: Key, me: u16, fleet: u16, per_second: [f64; 2]) -> Self {
        Opener { key, me, fleet, heard: HashMap::new(), intake: per_second.map(Intake::new) }
    }

    /// What is in a datagram that came at `now` (microseconds).
    ///
    /// # Errors
    /// See [`Dropped`].
    pub fn open<'d>(&mut self, now: u64, datagram: &'d [u8]) -> Result<Opened<'d>, Dropped> {
        if datagram.len() < HEAD + HASH || datagram.len() > MOST_DATAGRAM {
            return Err(Dropped::Form);
        }
        let channel = match datagram[0] {
            1 => Channel::Module,
            2 => Channel::View,
            _ => return Err(Dropped::Form),
        };
        let (body, hash) = datagram.split_at(datagram.len() - HASH);
        let mut theirs = [0; HASH];
        theirs.copy_from_slice(hash);
        // Compared in constant time by the library.
        if blake3::keyed_hash(&self.key.0, body) != blake3::Hash::from_bytes(theirs) {
            return Err(Dropped::Forged);
        }
        let short = |at: usize| u16::from_be_bytes([body[at], body[at + 1]]);
        let long = |at: usize| body[at..at + 8].iter().fold(0u64, |n, b| n << 8 | u64::from(*b));
        let (to, from, incarnation, count) = (short(1), short(3), long(5), long(13));
        let view = channel == Channel::View;
        let here = to == self.me || view && to == ANY_MEMBER;
        // Another start under this one's own number has to hear that it is over, or this one that it is.
        let member = from < self.fleet && (from != self.me || view);
        if !here || !(member || view && from == OBSERVER) {
            return Err(Dropped::Stranger);
        }
        let limit = &mut self.intake[usize::from(view)];
        let opened = Opened { channel, from, message: &body[HEAD..] };
        let h = self.heard.entry((channel, from)).or_insert(Heard { incarnation, highest: 0, taken: 0 });
        if incarnation < h.incarnation || from == OBSERVER {
            // What an earlier start says, or a visitor asks, changes nothing; the intake bounds what it costs.
            return match view {
                true if limit.take(now) => Ok(opened),
                true => Err(Dropped::Limit),
                false => Err(Dropped::Earlier),
            };
        }
        if incarnation > h.incarnation {
            *h = Heard { incarnation, highest: 0, taken: 0 };
        }
        if count > h.highest {
            let by = count - h.highest;
            h.taken = if by < 64 { h.taken << by | 1 } else { 1 };
            h.highest = count;
        } else {
            let behind = h.highest - count;
            if count == 0 || behind >= 64 || h.taken >> behind & 1 == 1 {
                return Err(Dropped::Repeat);
            }
            h.taken |= 1 << behind;
        }
        // Last: what is no message of a peer does not use up what peers may send.
        if !limit.take(now) {
            return Err(Dropped::Limit);
        }
        Ok(opened)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn key(digit: &str) -> Key {
        Key::parse(&digit.repeat(64)).unwrap()
    }

    fn pair() -> (Sealer, Opener) {
        (Sealer::new(Channel::Module, key("a"), 1, 100), Opener::new(key("a"), 0, 3, [1000.0; 2]))
    }

    #[test]
    fn taken_once_in_any_order() {
        let (mut s, mut o) = pair();
        let list: Vec<Vec<u8>> = (0..70u8).map(|n| s.seal(0, &[n])).collect();
        for n in [0, 2, 1, 69, 10] {
            let opened = Opened { channel: Channel::Module, from: 1, message: &[n as u8] };
            assert_eq!(o.open(1, &list[n]), Ok(opened));
            assert_eq!(o.open(1, &list[n]), Err(Dropped::Repeat));
        }
        assert_eq!(o.open(1, &list[3]), Err(Dropped::Repeat), "too far behind the highest");
    }

    #[test]
    fn strangers_and_earlier_lives_are_dropped() {
        let (mut s, mut o) = pair();
        let old = s.seal(0, b"x");
        let mut later = Sealer::new(Channel::Module, key("a"), 1, 200);
        assert!(o.open(1, &later.seal(0, b"y")).is_ok());
        assert_eq!(o.open(1, &old), Err(Dropped::Earlier));
        assert_eq!(o.open(1, &later.seal(2, b"y")), Err(Dropped::Stranger), "for another");
        assert_eq!(
            o.open(1, &Sealer::new(Channel::Module, key("a"), 0, 9).seal(0, b"")),
            Err(Dropped::Stranger),
            "from itself"
        );
        assert_eq!(
            o.open(1, &Sealer::new(Channel::Module, key("a"), 3, 9).seal(0, b"")),
            Err(Dropped::Stranger),
            "no such number"
        );
        assert_eq!(
            o.open(1, &Sealer::new(Channel::Module, key("b"), 1, 300).seal(0, b"")),
            Err(Dropped::Forged)
        );
        assert_eq!(o.open(1, &[1; 20]), Err(Dropped::Form));
        assert_eq!(o.open(1, &[1; 999]), Err(Dropped::Form));
    }

    #[test]
    fn the_intake_limit_is_kept_and_forgeries_do_not_use_it_up() {
        let (mut s, _) = pair();
        let mut o = Opener::new(key("a"), 0, 3, [10.0; 2]);
        let mut forger = Sealer::new(Channel::Module, key("b"), 1, 100);
        for _ in 0..1000 {
            assert_eq!(o.open(1, &forger.seal(0, b"")), Err(Dropped::Forged));
        }
        let taken = (0..100u64).filter(|n| o.open(n * 10_000, &s.seal(0, b"")).is_ok()).count();
        assert!((19..=20).contains(&taken), "ten at once and ten in the second: {taken}");
    }

    #[test]
    fn the_view_hears_earlier_starts_visitors_and_whoever_does_not_know_it() {
        let (_, mut o) = pair();
        let sealer = |me, start| Sealer::new(Channel::View, key("a"), me, start);
        let old = sealer(1, 100).seal(0, b"x");
        assert!(o.open(1, &sealer(1, 200).seal(ANY_MEMBER, b"y")).is_ok());
        assert!(o.open(1, &old).is_ok(), "to be told that it is over");
        assert!(o.open(1, &sealer(0, 200).seal(0, b"y")).is_ok(), "its own number, another start");
        assert!(o.open(1, &sealer(OBSERVER, 5).seal(ANY_MEMBER, b"y")).is_ok());
        assert_eq!(o.open(1, &sealer(7, 5).seal(0, b"y")), Err(Dropped::Stranger));
        let module = Sealer::new(Channel::Module, key("a"), 1, 300).seal(ANY_MEMBER, b"y");
        assert_eq!(o.open(1, &module), Err(Dropped::Stranger));
    }

    proptest! {
        #[test]
        fn any_change_is_found(at in 0usize..60, by in 1u8..=255, message in proptest::collection::vec(any::<u8>(), 8..20)) {
            let (mut s, mut o) = pair();
            let mut d = s.seal(0, &message);
            let at = at % d.len();
            d[at] ^= by;
            prop_assert!(o.open(1, &d).is_err());
        }

        #[test]
        fn any_bytes(d in proptest::collection::vec(any::<u8>(), 0..400)) {
            let (_, mut o) = pair();
            prop_assert!(o.open(1, &d).is_err());
        }
    }
}
