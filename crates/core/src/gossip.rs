//! The format of messages between gateways: packing, and checked unpacking. No decision lives here.
//!
//! A message has at most 256 bytes; numbers are little-endian:
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | version of the format |
//! | 1 | kind in the low two bits, number of samples above them |
//! | 4 | incarnation of the sender |
//! | 2 | sequence number |
//! | 1 | number of rows |
//! | 4 each | samples |
//! | 4 | in replies: the receiver's incarnation |
//! | 14 or 12 each | rows: reports or replies |

use crate::interface::{CustomerId, Micros};

const KIND_REPORTS: u8 = 0;
const KIND_REPLIES: u8 = 1;
const KIND_BITS: u32 = 2;
/// Messages of another version are skipped.
const VERSION: u8 = 0xA2;
const HEADER_BYTES: usize = 9;
const SAMPLE_BYTES: usize = 4;
const REPORT_BYTES: usize = 14;
const REPLY_BYTES: usize = 12;
/// The receiver's incarnation in front of replies.
const REPLIES_HEADER_BYTES: usize = 4;
const MAX_MESSAGE_BYTES: usize = 256;

/// The most [`Sample`]s in a message.
pub const MAX_SAMPLES: usize = 3;
/// The most [`UsageReport`]s in a message.
pub const MAX_REPORTS: usize = (MAX_MESSAGE_BYTES - HEADER_BYTES - MAX_SAMPLES * SAMPLE_BYTES) / REPORT_BYTES;
/// The most [`OwnerReply`]s in a message.
pub const MAX_REPLIES: usize =
    (MAX_MESSAGE_BYTES - HEADER_BYTES - MAX_SAMPLES * SAMPLE_BYTES - REPLIES_HEADER_BYTES) / REPLY_BYTES;
/// The highest plan that a [`UsageReport`] can name.
pub const MAX_PLAN: usize = 63;
/// The highest class that a [`Sample`] can name.
pub const MAX_CLASS: usize = 7;
/// The most attempts in flight that a message can tell.
pub const MAX_IN_FLIGHT: u8 = 127;
/// The fill level of a full bucket.
pub const MAX_FILL_LEVEL: u8 = 254;
/// The byte for a fill level that the sender does not know.
const UNKNOWN_FILL_LEVEL: u8 = 255;
/// Units are sent as multiples of this part.
const PARTS_PER_UNIT: f64 = 4.0;
/// Bits of a customer's id; the seven above them hold a number of attempts.
const CUSTOMER_BITS: u32 = 33;
/// Latencies are sent as steps of a fifth of an octave, the first one at a 32nd of the latency objective.
const STEPS_PER_OCTAVE: f64 = 5.0;
const OCTAVES_BELOW_OBJECTIVE: f64 = 5.0;
const MAX_LATENCY_STEP: u8 = 30;
/// The step for an attempt without an answer.
const NO_ANSWER_STEP: u8 = 31;
const LATENCY_STEP_BITS: u32 = 5;
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// A gateway's use of one customer since the gateway started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageReport {
    /// The customer.
    pub customer: CustomerId,
    /// Index of its plan.
    pub plan: u8,
    /// Units admitted, see [`wrap_units`].
    pub total_units: u16,
    /// Attempts in flight, at most [`MAX_IN_FLIGHT`].
    pub in_flight: u8,
    /// How full the sender takes the customer's bucket to be, [`MAX_FILL_LEVEL`] for full; none where it does not know.
    pub fill_level: Option<u8>,
    /// The first of the customer's gateways.
    pub first_gateway: u16,
    /// How many gateways it has.
    pub gateway_count: u16,
    /// Whether the sender asks for an [`OwnerReply`].
    pub wants_reply: bool,
    /// The units of the request that it asks for, in quarters, at most 63.
    pub requested_units: f64,
    /// Whether it asks for so many hard-limit units, too.
    pub wants_hard_limit_tokens: bool,
}

/// What an owner knows of a customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnerReply {
    /// The customer.
    pub customer: CustomerId,
    /// The receiver's total as last heard: use after that is not taken off `tokens` yet.
    pub your_total: u16,
    /// Units in the bucket; negative while use beyond the quota counts.
    pub tokens: f64,
    /// Units a second that all but the receiver admit.
    pub peer_rate: f64,
    /// Attempts in flight from all but the receiver, at most [`MAX_IN_FLIGHT`].
    pub peers_in_flight: u8,
    /// Hard-limit units that are handed over, in quarters, at most 63.
    pub transferred_tokens: f64,
}

/// How one attempt went.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// The endpoint, by its [`endpoint_tag`].
    pub tag: u32,
    /// Index of the request's class.
    pub class: u8,
    /// Its latency as a share of the latency objective; none after an error or without an answer.
    pub elapsed: Option<f64>,
}

/// What a message carries.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// Reports to an owner.
    Reports(Vec<UsageReport>),
    /// An owner's replies, to one incarnation of the receiver.
    Replies(u32, Vec<OwnerReply>),
}

/// A message between gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The sender's incarnation, see [`incarnation_at`].
    pub incarnation: u32,
    /// Counts the sender's messages to this receiver, wrapped round.
    pub sequence: u16,
    /// How the sender's latest attempts went.
    pub samples: Vec<Sample>,
    /// What it carries.
    pub body: Body,
}

/// The incarnation of a gateway that starts at a time: the millisecond, wrapped round.
pub fn incarnation_at(time: Micros) -> u32 {
    (time / MICROS_PER_MILLISECOND) as u32
}

/// Whether one incarnation is later than another. The numbers come round every 50 days, so that they cannot simply be
/// compared: a fleet on the wall clock would never again hear a peer that restarts after that.
pub fn is_later(incarnation: u32, other: u32) -> bool {
    (incarnation.wrapping_sub(other) as i32) > 0
}

/// Units as messages carry totals: in quarters, wrapped round.
pub fn wrap_units(units: f64) -> u16 {
    ((units * PARTS_PER_UNIT).round() as i64) as u16
}

/// Units between two wrapped totals; negative if the later one is less.
pub fn units_between(earlier: u16, later: u16) -> f64 {
    f64::from(later.wrapping_sub(earlier) as i16) / PARTS_PER_UNIT
}

/// Rounds units down to what a message can carry.
pub fn round_down_units(units: f64) -> f64 {
    let most = f64::from(u8::MAX) / PARTS_PER_UNIT;
    (units.clamp(0.0, most) * PARTS_PER_UNIT).floor() / PARTS_PER_UNIT
}

/// A short name for an endpoint: 24 bits of a hash of its identity.
pub fn endpoint_tag(id: u64) -> u32 {
    (id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) as u32
}

/// A customer's id and a number of attempts in five bytes.
fn pack_customer(customer: CustomerId, in_flight: u8) -> [u8; 5] {
    let id = customer.0 & ((1 << CUSTOMER_BITS) - 1);
    let word = id | u64::from(in_flight.min(MAX_IN_FLIGHT)) << CUSTOMER_BITS;
    let mut bytes = [0; 5];
    bytes.copy_from_slice(&word.to_le_bytes()[..5]);
    bytes
}

fn unpack_customer(row: &[u8]) -> (CustomerId, u8) {
    let word = u64::from_le_bytes([row[0], row[1], row[2], row[3], row[4], 0, 0, 0]);
    let id = word & ((1 << CUSTOMER_BITS) - 1);
    (CustomerId(id), (word >> CUSTOMER_BITS) as u8)
}

fn u16_at(bytes: &[u8], at: usize) -> u16 {
    u16::from_le_bytes([bytes[at], bytes[at + 1]])
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    let word = bytes.get(at..at + 4)?;
    Some(u32::from_le_bytes(word.try_into().ok()?))
}

impl UsageReport {
    fn pack(&self, bytes: &mut Vec<u8>) {
        bytes.extend_from_slice(&pack_customer(self.customer, self.in_flight));
        bytes.extend_from_slice(&self.total_units.to_le_bytes());
        bytes.push(self.fill_level.unwrap_or(UNKNOWN_FILL_LEVEL));
        let flags = u8::from(self.wants_reply) << 1 | u8::from(self.wants_hard_limit_tokens);
        bytes.push(self.plan << 2 | flags);
        bytes.push((self.requested_units * PARTS_PER_UNIT).ceil() as u8);
        bytes.extend_from_slice(&self.first_gateway.to_le_bytes());
        bytes.extend_from_slice(&self.gateway_count.to_le_bytes());
    }

    fn unpack(row: &[u8]) -> UsageReport {
        let (customer, in_flight) = unpack_customer(row);
        UsageReport {
            customer,
            plan: row[8] >> 2,
            total_units: u16_at(row, 5),
            in_flight,
            fill_level: Some(row[7]).filter(|level| *level != UNKNOWN_FILL_LEVEL),
            first_gateway: u16_at(row, 10),
            gateway_count: u16_at(row, 12),
            wants_reply: row[8] & 2 != 0,
            requested_units: f64::from(row[9]) / PARTS_PER_UNIT,
            wants_hard_limit_tokens: row[8] & 1 != 0,
        }
    }
}

impl OwnerReply {
    fn pack(&self, bytes: &mut Vec<u8>) {
        bytes.extend_from_slice(&pack_customer(self.customer, self.peers_in_flight));
        bytes.extend_from_slice(&self.your_total.to_le_bytes());
        bytes.extend_from_slice(&((self.tokens * PARTS_PER_UNIT).floor() as i16).to_le_bytes());
        bytes.extend_from_slice(&((self.peer_rate * PARTS_PER_UNIT).round() as u16).to_le_bytes());
        bytes.push((self.transferred_tokens * PARTS_PER_UNIT) as u8);
    }

    fn unpack(row: &[u8]) -> OwnerReply {
        let (customer, peers_in_flight) = unpack_customer(row);
        OwnerReply {
            customer,
            your_total: u16_at(row, 5),
            tokens: f64::from(u16_at(row, 7) as i16) / PARTS_PER_UNIT,
            peer_rate: f64::from(u16_at(row, 9)) / PARTS_PER_UNIT,
            peers_in_flight,
            transferred_tokens: f64::from(row[11]) / PARTS_PER_UNIT,
        }
    }
}

impl Sample {
    fn pack(&self, bytes: &mut Vec<u8>) {
        let [low, middle, high, _] = self.tag.to_le_bytes();
        let step = self.elapsed.map_or(NO_ANSWER_STEP, |elapsed| {
            let octaves = elapsed.max(1e-9).log2() + OCTAVES_BELOW_OBJECTIVE;
            (octaves * STEPS_PER_OCTAVE).round().clamp(0.0, f64::from(MAX_LATENCY_STEP)) as u8
        });
        let class = self.class.min(MAX_CLASS as u8);
        bytes.extend_from_slice(&[low, middle, high, class << LATENCY_STEP_BITS | step]);
    }

    fn unpack(row: &[u8]) -> Sample {
        let step = row[3] & NO_ANSWER_STEP;
        let octaves = f64::from(step) / STEPS_PER_OCTAVE - OCTAVES_BELOW_OBJECTIVE;
        Sample {
            tag: u32::from_le_bytes([row[0], row[1], row[2], 0]),
            class: row[3] >> LATENCY_STEP_BITS,
            elapsed: (step != NO_ANSWER_STEP).then(|| octaves.exp2()),
        }
    }
}

impl Message {
    /// The message's bytes. Samples and rows beyond the maximum are left out.
    pub fn pack(&self) -> Vec<u8> {
        let (kind, rows) = match &self.body {
            Body::Reports(reports) => (KIND_REPORTS, reports.len().min(MAX_REPORTS)),
            Body::Replies(_, replies) => (KIND_REPLIES, replies.len().min(MAX_REPLIES)),
        };
        let samples = self.samples.len().min(MAX_SAMPLES);
        let mut bytes = vec![VERSION, kind | (samples as u8) << KIND_BITS];
        bytes.extend_from_slice(&self.incarnation.to_le_bytes());
        bytes.extend_from_slice(&self.sequence.to_le_bytes());
        bytes.push(rows as u8);
        self.samples.iter().take(samples).for_each(|sample| sample.pack(&mut bytes));
        match &self.body {
            Body::Reports(reports) => reports.iter().take(rows).for_each(|report| report.pack(&mut bytes)),
            Body::Replies(receiver, replies) => {
                bytes.extend_from_slice(&receiver.to_le_bytes());
                replies.iter().take(rows).for_each(|reply| reply.pack(&mut bytes));
            }
        }
        bytes
    }

    /// Reads a message; none for anything that [`Message::pack`] cannot have made.
    pub fn unpack(bytes: &[u8]) -> Option<Message> {
        if bytes.len() > MAX_MESSAGE_BYTES || bytes.len() < HEADER_BYTES || bytes[0] != VERSION {
            return None;
        }
        let kind = bytes[1] & ((1 << KIND_BITS) - 1);
        let sample_count = usize::from(bytes[1] >> KIND_BITS);
        if sample_count > MAX_SAMPLES {
            return None;
        }
        let body_at = HEADER_BYTES + sample_count * SAMPLE_BYTES;
        let samples =
            bytes.get(HEADER_BYTES..body_at)?.chunks_exact(SAMPLE_BYTES).map(Sample::unpack).collect();
        let body = unpack_body(kind, usize::from(bytes[8]), &bytes[body_at..])?;
        Some(Message { incarnation: u32_at(bytes, 2)?, sequence: u16_at(bytes, 6), samples, body })
    }
}

/// Reads a body that must fill its bytes.
fn unpack_body(kind: u8, rows: usize, bytes: &[u8]) -> Option<Body> {
    match kind {
        KIND_REPORTS if bytes.len() == rows * REPORT_BYTES => {
            Some(Body::Reports(bytes.chunks_exact(REPORT_BYTES).map(UsageReport::unpack).collect()))
        }
        KIND_REPLIES if bytes.len() == REPLIES_HEADER_BYTES + rows * REPLY_BYTES => {
            let replies = bytes[REPLIES_HEADER_BYTES..].chunks_exact(REPLY_BYTES);
            Some(Body::Replies(u32_at(bytes, 0)?, replies.map(OwnerReply::unpack).collect()))
        }
        _ => None,
    }
}

#[cfg(test)]
mod tests;
