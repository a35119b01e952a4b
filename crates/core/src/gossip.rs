//! The bytes of messages between gateways: packing and checked unpacking. No decision lives here.

use crate::interface::CustomerId;

const USE: u8 = 0;
const NEWS: u8 = 1;
/// The layout's number, told in each message: others are skipped.
const VERSION: u8 = 0xA2;
const HEAD: usize = 9;
const SAMPLE_BYTES: usize = 4;
const USE_BYTES: usize = 14;
const NEWS_BYTES: usize = 12;
/// The most bytes that a message may have.
const MOST: usize = 256;

/// The most [`Sample`]s that a message carries.
pub const MOST_SAMPLES: usize = 3;
/// The most [`Use`]s that fit in a message.
pub const MOST_USES: usize = (MOST - HEAD - MOST_SAMPLES * SAMPLE_BYTES) / USE_BYTES;
/// The most [`News`] that fit in a message.
pub const MOST_NEWS: usize = (MOST - HEAD - MOST_SAMPLES * SAMPLE_BYTES - 4) / NEWS_BYTES;
/// The highest plan that a [`Use`] can name, and the highest class that a [`Sample`] can.
pub const MOST_PLAN: usize = 63;
/// See [`MOST_PLAN`].
pub const MOST_CLASS: usize = 7;
/// Parts of a unit that messages count in.
const PARTS: f64 = 4.0;
const CUSTOMER_BITS: u64 = 33;

/// A customer's use, as one gateway counts it since its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Use {
    /// Whose it is.
    pub customer: CustomerId,
    /// Its plan.
    pub plan: u8,
    /// Quarter units sent on since the gateway's start, wrapped round.
    pub total: u16,
    /// Attempts out, 127 at most.
    pub open: u8,
    /// How full the gateway takes the customer's store to be, 254 for full; 255 where it was never told.
    pub level: u8,
    /// The first of its gateways, and how many there are.
    pub first: u16,
    /// See `first`.
    pub width: u16,
    /// Asks for [`News`], for a request of so many units, in quarters, 63 at most.
    pub ask: bool,
    /// See `ask`.
    pub units: f64,
    /// Asks for as many ceiling units, too.
    pub short: bool,
}

/// What a home knows of a customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct News {
    /// Whose it is.
    pub customer: CustomerId,
    /// The receiver's total as last heard: newer use is not in the level yet.
    pub yours: u16,
    /// Units in the store; below nothing while use that is to be refused counts.
    pub level: f64,
    /// Units a second of all but the receiver.
    pub rate: f64,
    /// Attempts out, of all but the receiver, 127 at most.
    pub open: u8,
    /// Ceiling units handed over, in quarters, 63 at most.
    pub gift: f64,
}

/// How one attempt went.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// The backend, by its [`tag`].
    pub tag: u32,
    /// The class.
    pub class: u8,
    /// Its time as a share of the aim; none if no answer or an error came.
    pub took: Option<f64>,
}

/// What a message carries.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// Use of customers, told to their homes.
    Uses(Vec<Use>),
    /// A home's answer, for one incarnation of the receiver.
    News(u32, Vec<News>),
}

/// A message between gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The sender's incarnation: the millisecond of its start, wrapped round.
    pub born: u32,
    /// Counts the sender's messages to this receiver, wrapped round.
    pub seq: u16,
    /// How the sender's latest attempts went.
    pub samples: Vec<Sample>,
    /// What it carries.
    pub body: Body,
}

/// A start time as messages carry it.
pub fn incarnation(born: u64) -> u32 {
    (born / 1000) as u32
}

/// Whether one start was after another. The numbers come round every 50 days: a fleet that runs on the clock on the
/// wall would else never again hear a peer that restarts after that.
pub fn later(one: u32, other: u32) -> bool {
    (one.wrapping_sub(other) as i32) > 0
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
    (units.clamp(0.0, f64::from(u8::MAX) / PARTS) * PARTS).floor() / PARTS
}

/// A short name for a backend, 24 bits of a hash of its id.
pub fn tag(id: u64) -> u32 {
    (id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) as u32
}

/// A customer's id and a number up to 127, in five bytes.
fn named(customer: CustomerId, number: u8) -> [u8; 5] {
    let word = (customer.0 & ((1 << CUSTOMER_BITS) - 1)) | u64::from(number.min(127)) << CUSTOMER_BITS;
    let b = word.to_le_bytes();
    [b[0], b[1], b[2], b[3], b[4]]
}

fn name(e: &[u8]) -> (CustomerId, u8) {
    let word = u64::from_le_bytes([e[0], e[1], e[2], e[3], e[4], 0, 0, 0]);
    (CustomerId(word & ((1 << CUSTOMER_BITS) - 1)), (word >> CUSTOMER_BITS) as u8)
}

fn half(e: &[u8], at: usize) -> u16 {
    u16::from_le_bytes([e[at], e[at + 1]])
}

impl Sample {
    /// Times in 31 steps of a fifth of an octave, from a 32nd of the aim up.
    fn pack(&self) -> [u8; 4] {
        let step =
            self.took.map_or(31, |t| ((t.max(1e-9).log2() + 5.0) * 5.0).round().clamp(0.0, 30.0) as u8);
        let b = self.tag.to_le_bytes();
        [b[0], b[1], b[2], self.class.min(MOST_CLASS as u8) << 5 | step]
    }

    fn unpack(e: &[u8]) -> Sample {
        let step = e[3] & 31;
        let took = (step < 31).then(|| (f64::from(step) / 5.0 - 5.0).exp2());
        Sample { tag: u32::from_le_bytes([e[0], e[1], e[2], 0]), class: e[3] >> 5, took }
    }
}

impl Message {
    /// The message's bytes.
    pub fn pack(&self) -> Vec<u8> {
        let kind = match self.body {
            Body::Uses(_) => USE,
            Body::News(..) => NEWS,
        };
        let samples = self.samples.len().min(MOST_SAMPLES);
        let mut bytes = vec![VERSION, kind | (samples as u8) << 2];
        bytes.extend_from_slice(&self.born.to_le_bytes());
        bytes.extend_from_slice(&self.seq.to_le_bytes());
        let rows = match &self.body {
            Body::Uses(uses) => uses.len().min(MOST_USES),
            Body::News(_, news) => news.len().min(MOST_NEWS),
        };
        bytes.push(rows as u8);
        self.samples.iter().take(samples).for_each(|s| bytes.extend_from_slice(&s.pack()));
        match &self.body {
            Body::Uses(uses) => {
                for u in uses.iter().take(rows) {
                    bytes.extend_from_slice(&named(u.customer, u.open));
                    bytes.extend_from_slice(&u.total.to_le_bytes());
                    bytes.extend_from_slice(&[
                        u.level,
                        u.plan << 2 | u8::from(u.ask) << 1 | u8::from(u.short),
                    ]);
                    bytes.push((u.units * PARTS).ceil() as u8);
                    bytes.extend_from_slice(&u.first.to_le_bytes());
                    bytes.extend_from_slice(&u.width.to_le_bytes());
                }
            }
            Body::News(to, news) => {
                bytes.extend_from_slice(&to.to_le_bytes());
                for n in news.iter().take(rows) {
                    bytes.extend_from_slice(&named(n.customer, n.open));
                    bytes.extend_from_slice(&n.yours.to_le_bytes());
                    bytes.extend_from_slice(&((n.level * PARTS).floor() as i16).to_le_bytes());
                    bytes.extend_from_slice(&((n.rate * PARTS).round() as u16).to_le_bytes());
                    bytes.push((n.gift * PARTS) as u8);
                }
            }
        }
        bytes
    }

    /// Reads a message; none for anything that [`Message::pack`] cannot have made.
    pub fn unpack(bytes: &[u8]) -> Option<Message> {
        let word = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
        if bytes.len() > MOST || bytes.len() < HEAD || bytes[0] != VERSION {
            return None;
        }
        let (kind, samples) = (bytes[1] & 3, usize::from(bytes[1] >> 2));
        if samples > MOST_SAMPLES {
            return None;
        }
        let (born, seq, rows) = (word(2)?, half(bytes, 6), usize::from(bytes[8]));
        let body_at = HEAD + samples * SAMPLE_BYTES;
        let samples = bytes.get(HEAD..body_at)?.chunks_exact(SAMPLE_BYTES).map(Sample::unpack).collect();
        let (each, head) = match kind {
            USE => (USE_BYTES, 0),
            NEWS => (NEWS_BYTES, 4),
            _ => return None,
        };
        if bytes.len() != body_at + head + rows * each {
            return None;
        }
        let entries = bytes[body_at + head..].chunks_exact(each);
        let body = match kind {
            USE => Body::Uses(
                entries
                    .map(|e| {
                        let (customer, open) = name(e);
                        let (total, level, plan, ask) = (half(e, 5), e[7], e[8] >> 2, e[8] & 2 == 2);
                        let (short, units) = (e[8] & 1 == 1, f64::from(e[9]) / PARTS);
                        let (first, width) = (half(e, 10), half(e, 12));
                        Use { customer, plan, total, open, level, first, width, ask, units, short }
                    })
                    .collect(),
            ),
            _ => Body::News(
                word(body_at)?,
                entries
                    .map(|e| {
                        let (customer, open) = name(e);
                        let level = f64::from(half(e, 7) as i16) / PARTS;
                        let (rate, gift) = (f64::from(half(e, 9)) / PARTS, f64::from(e[11]) / PARTS);
                        News { customer, yours: half(e, 5), level, rate, open, gift }
                    })
                    .collect(),
            ),
        };
        Some(Message { born, seq, samples, body })
    }
}

#[cfg(test)]
mod tests;
