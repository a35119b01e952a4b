//! Datagrams between ingresses: the module's bytes, authenticated by a keyed hash (BLAKE3), each taken at most once.
//!
//! A datagram is: version (1 byte), receiver and sender (2 each), the sender's incarnation and the datagram's number
//! (8 each), the message, and the hash over all before it (32). Numbers are big-endian. A later incarnation takes the
//! place of an earlier one; within one, numbers are taken once, as far as 64 behind the highest.
//!
//! What a holder of the key, or a repeat after this instance's own restart, could do is bounded by the module: no rule
//! rests on a message.

use std::collections::HashMap;

const VERSION: u8 = 1;
const HEAD: usize = 1 + 2 + 2 + 8 + 8;
const HASH: usize = 32;
/// Bytes of a message: the module's own limit.
pub const MOST_MESSAGE: usize = 256;
/// Bytes of a datagram.
pub const MOST_DATAGRAM: usize = HEAD + MOST_MESSAGE + HASH;

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
    key: Key,
    me: u16,
    incarnation: u64,
    count: u64,
}

impl Sealer {
    /// A sealer for this start; `incarnation` is later than that of all starts before.
    pub fn new(key: Key, me: u16, incarnation: u64) -> Self {
        Sealer { key, me, incarnation, count: 0 }
    }

    /// Puts a message for one peer into a datagram.
    pub fn seal(&mut self, to: u16, message: &[u8]) -> Vec<u8> {
        self.count += 1;
        let mut out = Vec::with_capacity(HEAD + message.len() + HASH);
        out.push(VERSION);
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
    heard: HashMap<u16, Heard>,
    intake: Intake,
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
    /// An opener for ingress `me` of `fleet`, that takes `per_second` messages.
    pub fn new(key: Key, me: u16, fleet: u16, per_second: f64) -> Self {
        Opener { key, me, fleet, heard: HashMap::new(), intake: Intake::new(per_second) }
    }

    /// The sender and the message of a datagram that came at `now` (microseconds).
    ///
    /// # Errors
    /// See [`Dropped`].
    pub fn open<'d>(&mut self, now: u64, datagram: &'d [u8]) -> Result<(u16, &'d [u8]), Dropped> {
        if datagram.len() < HEAD + HASH || datagram.len() > MOST_DATAGRAM || datagram[0] != VERSION {
            return Err(Dropped::Form);
        }
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
        if to != self.me || from == self.me || from >= self.fleet {
            return Err(Dropped::Stranger);
        }
        let h = self.heard.entry(from).or_insert(Heard { incarnation, highest: 0, taken: 0 });
        if incarnation < h.incarnation {
            return Err(Dropped::Earlier);
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
        if !self.intake.take(now) {
            return Err(Dropped::Limit);
        }
        Ok((from, &body[HEAD..]))
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
        (Sealer::new(key("a"), 1, 100), Opener::new(key("a"), 0, 3, 1000.0))
    }

    #[test]
    fn taken_once_in_any_order() {
        let (mut s, mut o) = pair();
        let list: Vec<Vec<u8>> = (0..70u8).map(|n| s.seal(0, &[n])).collect();
        for n in [0, 2, 1, 69, 10] {
            assert_eq!(o.open(1, &list[n]), Ok((1, &[n as u8][..])));
            assert_eq!(o.open(1, &list[n]), Err(Dropped::Repeat));
        }
        assert_eq!(o.open(1, &list[3]), Err(Dropped::Repeat), "too far behind the highest");
    }

    #[test]
    fn strangers_and_earlier_lives_are_dropped() {
        let (mut s, mut o) = pair();
        let old = s.seal(0, b"x");
        let mut later = Sealer::new(key("a"), 1, 200);
        assert!(o.open(1, &later.seal(0, b"y")).is_ok());
        assert_eq!(o.open(1, &old), Err(Dropped::Earlier));
        assert_eq!(o.open(1, &later.seal(2, b"y")), Err(Dropped::Stranger), "for another");
        assert_eq!(
            o.open(1, &Sealer::new(key("a"), 0, 9).seal(0, b"")),
            Err(Dropped::Stranger),
            "from itself"
        );
        assert_eq!(
            o.open(1, &Sealer::new(key("a"), 3, 9).seal(0, b"")),
            Err(Dropped::Stranger),
            "no such number"
        );
        assert_eq!(o.open(1, &Sealer::new(key("b"), 1, 300).seal(0, b"")), Err(Dropped::Forged));
        assert_eq!(o.open(1, &[VERSION; 20]), Err(Dropped::Form));
        assert_eq!(o.open(1, &[VERSION; 999]), Err(Dropped::Form));
    }

    #[test]
    fn the_intake_limit_is_kept_and_forgeries_do_not_use_it_up() {
        let (mut s, _) = pair();
        let mut o = Opener::new(key("a"), 0, 3, 10.0);
        let mut forger = Sealer::new(key("b"), 1, 100);
        for _ in 0..1000 {
            assert_eq!(o.open(1, &forger.seal(0, b"")), Err(Dropped::Forged));
        }
        let taken = (0..100u64).filter(|n| o.open(n * 10_000, &s.seal(0, b"")).is_ok()).count();
        assert!((19..=20).contains(&taken), "ten at once and ten in the second: {taken}");
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
