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
pub const MAX_SAMPLES: usize = 3;
/// The most [`UsageReport`]s that fit in a message.
pub const MAX_REPORTS: usize = (MOST - HEAD - MAX_SAMPLES * SAMPLE_BYTES) / USE_BYTES;
/// The most [`OwnerReply`] that fit in a message.
pub const MAX_REPLIES: usize = (MOST - HEAD - MAX_SAMPLES * SAMPLE_BYTES - 4) / NEWS_BYTES;
/// The highest plan that a [`UsageReport`] can name, and the highest class that a [`Sample`] can.
pub const MAX_PLAN: usize = 63;
/// See [`MAX_PLAN`].
pub const MAX_CLASS: usize = 7;
/// Parts of a unit that messages count in.
const PARTS: f64 = 4.0;
const CUSTOMER_BITS: u64 = 33;

/// A customer's use, as one gateway counts it since its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageReport {
    /// Whose it is.
    pub customer: CustomerId,
    /// Its plan.
    pub plan: u8,
    /// Quarter units sent on since the gateway's start, wrapped round.
    pub total_units: u16,
    /// Attempts out, 127 at most.
    pub in_flight: u8,
    /// How full the gateway takes the customer's store to be, 254 for full; 255 where it was never told.
    pub fill_level: u8,
    /// The first of its gateways, and how many there are.
    pub first_gateway: u16,
    /// See `first`.
    pub gateway_count: u16,
    /// Asks for [`OwnerReply`], for a request of so many units, in quarters, 63 at most.
    pub wants_reply: bool,
    /// See `ask`.
    pub requested_units: f64,
    /// Asks for as many ceiling units, too.
    pub wants_hard_limit_tokens: bool,
}

/// What a home knows of a customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnerReply {
    /// Whose it is.
    pub customer: CustomerId,
    /// The receiver's total as last heard: newer use is not in the level yet.
    pub your_total: u16,
    /// Units in the store; below nothing while use that is to be refused counts.
    pub tokens: f64,
    /// Units a second of all but the receiver.
    pub peer_rate: f64,
    /// Attempts out, of all but the receiver, 127 at most.
    pub peers_in_flight: u8,
    /// Ceiling units handed over, in quarters, 63 at most.
    pub transferred_tokens: f64,
}

/// How one attempt went.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// The backend, by its [`tag`].
    pub tag: u32,
    /// The class.
    pub class: u8,
    /// Its time as a share of the aim; none if no answer or an error came.
    pub elapsed: Option<f64>,
}

/// What a message carries.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// UsageReport of customers, told to their homes.
    Reports(Vec<UsageReport>),
    /// A home's answer, for one incarnation of the receiver.
    Replies(u32, Vec<OwnerReply>),
}

/// A message between gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The sender's incarnation: the millisecond of its start, wrapped round.
    pub incarnation: u32,
    /// Counts the sender's messages to this receiver, wrapped round.
    pub sequence: u16,
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
            self.elapsed.map_or(31, |t| ((t.max(1e-9).log2() + 5.0) * 5.0).round().clamp(0.0, 30.0) as u8);
        let b = self.tag.to_le_bytes();
        [b[0], b[1], b[2], self.class.min(MAX_CLASS as u8) << 5 | step]
    }

    fn unpack(e: &[u8]) -> Sample {
        let step = e[3] & 31;
        let took = (step < 31).then(|| (f64::from(step) / 5.0 - 5.0).exp2());
        Sample { tag: u32::from_le_bytes([e[0], e[1], e[2], 0]), class: e[3] >> 5, elapsed: took }
    }
}

impl Message {
    /// The message's bytes.
    pub fn pack(&self) -> Vec<u8> {
        let kind = match self.body {
            Body::Reports(_) => USE,
            Body::Replies(..) => NEWS,
        };
        let samples = self.samples.len().min(MAX_SAMPLES);
        let mut bytes = vec![VERSION, kind | (samples as u8) << 2];
        bytes.extend_from_slice(&self.incarnation.to_le_bytes());
        bytes.extend_from_slice(&self.sequence.to_le_bytes());
        let rows = match &self.body {
            Body::Reports(uses) => uses.len().min(MAX_REPORTS),
            Body::Replies(_, news) => news.len().min(MAX_REPLIES),
        };
        bytes.push(rows as u8);
        self.samples.iter().take(samples).for_each(|s| bytes.extend_from_slice(&s.pack()));
        match &self.body {
            Body::Reports(uses) => {
                for u in uses.iter().take(rows) {
                    bytes.extend_from_slice(&named(u.customer, u.in_flight));
                    bytes.extend_from_slice(&u.total_units.to_le_bytes());
                    bytes.extend_from_slice(&[
                        u.fill_level,
                        u.plan << 2 | u8::from(u.wants_reply) << 1 | u8::from(u.wants_hard_limit_tokens),
                    ]);
                    bytes.push((u.requested_units * PARTS).ceil() as u8);
                    bytes.extend_from_slice(&u.first_gateway.to_le_bytes());
                    bytes.extend_from_slice(&u.gateway_count.to_le_bytes());
                }
            }
            Body::Replies(to, news) => {
                bytes.extend_from_slice(&to.to_le_bytes());
                for n in news.iter().take(rows) {
                    bytes.extend_from_slice(&named(n.customer, n.peers_in_flight));
                    bytes.extend_from_slice(&n.your_total.to_le_bytes());
                    bytes.extend_from_slice(&((n.tokens * PARTS).floor() as i16).to_le_bytes());
                    bytes.extend_from_slice(&((n.peer_rate * PARTS).round() as u16).to_le_bytes());
                    bytes.push((n.transferred_tokens * PARTS) as u8);
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
        if samples > MAX_SAMPLES {
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
            USE => Body::Reports(
                entries
                    .map(|e| {
                        let (customer, open) = name(e);
                        let (total, level, plan, ask) = (half(e, 5), e[7], e[8] >> 2, e[8] & 2 == 2);
                        let (short, units) = (e[8] & 1 == 1, f64::from(e[9]) / PARTS);
                        let (first, width) = (half(e, 10), half(e, 12));
                        UsageReport {
                            customer,
                            plan,
                            total_units: total,
                            in_flight: open,
                            fill_level: level,
                            first_gateway: first,
                            gateway_count: width,
                            wants_reply: ask,
                            requested_units: units,
                            wants_hard_limit_tokens: short,
                        }
                    })
                    .collect(),
            ),
            _ => Body::Replies(
                word(body_at)?,
                entries
                    .map(|e| {
                        let (customer, open) = name(e);
                        let level = f64::from(half(e, 7) as i16) / PARTS;
                        let (rate, gift) = (f64::from(half(e, 9)) / PARTS, f64::from(e[11]) / PARTS);
                        OwnerReply {
                            customer,
                            your_total: half(e, 5),
                            tokens: level,
                            peer_rate: rate,
                            peers_in_flight: open,
                            transferred_tokens: gift,
                        }
                    })
                    .collect(),
            ),
        };
        Some(Message { incarnation: born, sequence: seq, samples, body })
    }
}

#[cfg(test)]
mod tests;
