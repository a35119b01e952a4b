//! The format of messages between gateways: packing, and checked unpacking. This module makes no decisions.
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
//! | 4 each | samples: results of the sender's latest attempts |
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
/// Length of the receiver's incarnation, which precedes the replies.
const REPLIES_HEADER_BYTES: usize = 4;
const MAX_MESSAGE_BYTES: usize = 256;

/// Maximum number of [`Sample`]s in a message.
pub const MAX_SAMPLES: usize = 3;
/// Maximum number of [`UsageReport`]s in a message.
pub const MAX_REPORTS: usize = (MAX_MESSAGE_BYTES - HEADER_BYTES - MAX_SAMPLES * SAMPLE_BYTES) / REPORT_BYTES;
/// Maximum number of [`OwnerReply`]s in a message.
pub const MAX_REPLIES: usize =
    (MAX_MESSAGE_BYTES - HEADER_BYTES - MAX_SAMPLES * SAMPLE_BYTES - REPLIES_HEADER_BYTES) / REPLY_BYTES;
/// Highest index of a plan that a [`UsageReport`] can hold.
pub const MAX_PLAN: usize = 63;
/// Highest index of a class that a [`Sample`] can hold.
pub const MAX_CLASS: usize = 7;
/// Highest number of attempts in flight that a message can hold.
pub const MAX_IN_FLIGHT: u8 = 127;
/// Fill level of a full bucket.
pub const MAX_FILL_LEVEL: u8 = 254;
/// Byte for a fill level that the sender does not know.
const UNKNOWN_FILL_LEVEL: u8 = 255;
/// Units are sent as multiples of one part, a quarter unit.
const PARTS_PER_UNIT: f64 = 4.0;
/// Bits of a customer's id; the seven bits above them hold a number of attempts in flight.
const CUSTOMER_BITS: u32 = 33;
/// Latencies are sent in steps of a fifth of an octave, starting at a 32nd of the latency objective.
const STEPS_PER_OCTAVE: f64 = 5.0;
const OCTAVES_BELOW_OBJECTIVE: f64 = 5.0;
const MAX_LATENCY_STEP: u8 = 30;
/// Step for an attempt without an answer.
const NO_ANSWER_STEP: u8 = 31;
const LATENCY_STEP_BITS: u32 = 5;
const MICROS_PER_MILLISECOND: Micros = 1_000;

/// Units that a gateway has admitted for one customer since the gateway started, and the state of its bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageReport {
    /// The customer.
    pub customer: CustomerId,
    /// Index of its plan.
    pub plan: u8,
    /// Total of the units admitted, see [`wrap_units`].
    pub total_units: u16,
    /// Number of attempts in flight, at most [`MAX_IN_FLIGHT`].
    pub in_flight: u8,
    /// The sender's estimate of how full the customer's bucket is, [`MAX_FILL_LEVEL`] for full; `None` if it does not
    /// know.
    pub fill_level: Option<u8>,
    /// Number of the first gateway that receives the customer's requests.
    pub first_gateway: u16,
    /// Number of gateways that receive its requests.
    pub gateway_count: u16,
    /// Whether the sender asks for an [`OwnerReply`].
    pub wants_reply: bool,
    /// Units of the request for which the sender asks, in quarters, at most 63.
    pub requested_units: f64,
    /// Whether the sender asks for as many hard-limit units as well.
    pub wants_hard_limit_tokens: bool,
}

/// An owner's view of a customer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnerReply {
    /// The customer.
    pub customer: CustomerId,
    /// The receiver's total as last reported: use after that is not yet deducted from `tokens`.
    pub receiver_total: u16,
    /// Units in the bucket; negative where use beyond the quota is deducted.
    pub tokens: f64,
    /// Rate of the units that all gateways but the receiver admit, per second.
    pub peer_rate: f64,
    /// Number of attempts in flight from all gateways but the receiver, at most [`MAX_IN_FLIGHT`].
    pub peers_in_flight: u8,
    /// Hard-limit units that are transferred to the receiver, in quarters, at most 63.
    pub transferred_tokens: f64,
}

/// The result of one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// The endpoint's tag, see [`endpoint_tag`].
    pub tag: u32,
    /// Index of the request's class.
    pub class: u8,
    /// Its latency as a share of the latency objective; `None` after an error or without an answer.
    pub elapsed: Option<f64>,
}

/// The reports or replies in a message.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// Reports to an owner.
    Reports(Vec<UsageReport>),
    /// An owner's replies, with the incarnation of the receiver that they are for.
    Replies(u32, Vec<OwnerReply>),
}

/// A message between gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The sender's incarnation, see [`incarnation_at`].
    pub incarnation: u32,
    /// Number of the message among the sender's messages to this receiver, modulo 2^16.
    pub sequence: u16,
    /// Results of the sender's latest attempts.
    pub samples: Vec<Sample>,
    /// The reports or replies.
    pub body: Body,
}

/// Returns the incarnation of a gateway that starts at `time`: the time in milliseconds, modulo 2^32.
pub fn incarnation_at(time: Micros) -> u32 {
    (time / MICROS_PER_MILLISECOND) as u32
}

/// Returns whether one incarnation is later than another. The numbers wrap round every 50 days and must not simply be
/// compared: in a fleet on the wall clock, gateways would ignore every message of a peer that restarts after that.
pub fn is_later(incarnation: u32, other: u32) -> bool {
    (incarnation.wrapping_sub(other) as i32) > 0
}

/// Returns a total of units as messages carry it: in quarters, modulo 2^16.
pub fn wrap_units(units: f64) -> u16 {
    ((units * PARTS_PER_UNIT).round() as i64) as u16
}

/// Returns the units between two totals of [`wrap_units`]; negative if the later total is less.
pub fn units_between(earlier: u16, later: u16) -> f64 {
    f64::from(later.wrapping_sub(earlier) as i16) / PARTS_PER_UNIT
}

/// Rounds units down to a number that a message can carry.
pub fn round_down_units(units: f64) -> f64 {
    let max_units = f64::from(u8::MAX) / PARTS_PER_UNIT;
    (units.clamp(0.0, max_units) * PARTS_PER_UNIT).floor() / PARTS_PER_UNIT
}

/// Returns a short identifier of an endpoint: 24 bits of a hash of its id.
pub fn endpoint_tag(id: u64) -> u32 {
    (id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) as u32
}

/// Packs a customer's id and a number of attempts in flight into five bytes.
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
        bytes.extend_from_slice(&self.receiver_total.to_le_bytes());
        bytes.extend_from_slice(&((self.tokens * PARTS_PER_UNIT).floor() as i16).to_le_bytes());
        bytes.extend_from_slice(&((self.peer_rate * PARTS_PER_UNIT).round() as u16).to_le_bytes());
        bytes.push((self.transferred_tokens * PARTS_PER_UNIT) as u8);
    }

    fn unpack(row: &[u8]) -> OwnerReply {
        let (customer, peers_in_flight) = unpack_customer(row);
        OwnerReply {
            customer,
            receiver_total: u16_at(row, 5),
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
    /// Encodes the message. Samples and rows beyond the maximum are left out.
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

    /// Decodes a message; `None` for bytes that [`Message::pack`] cannot have produced.
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

/// Decodes a body. Returns `None` if the length does not match the number of rows.
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
