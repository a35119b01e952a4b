//! The messages: one datagram each, within the size that datagrams between gateways have. Numbers are big-endian.
//!
//! A message is its kind (1 byte), a nonce (4), the sender's digest (8), the fields of the kind, then records to the end.
//! A record is id (2), state with the address's family (1), version (4), incarnation (8), reporter (2), address (6 or
//! 18), and in a page of the view for how long the state has held (8).

mod decode;
mod encode;

use crate::view::{MemberRecord, BUCKETS};
use crate::{MemberId, Micros};
use std::net::SocketAddr;

/// Bytes of a message at most.
pub const MAX_MESSAGE_LENGTH: usize = 256;

/// Kind, nonce and digest.
const HEADER_LENGTH: usize = 1 + 4 + 8;
/// A record without its address.
const RECORD_FIELDS_LENGTH: usize = 2 + 1 + 4 + 8 + 2;
const IPV4_ADDRESS_LENGTH: usize = 4 + 2;
const IPV6_ADDRESS_LENGTH: usize = 16 + 2;
/// How long a state has held.
const DURATION_LENGTH: usize = 8;
const VIEW_SUMMARY_LENGTH: usize = 2 + 8 + 2 + 2 + 1 + 8 + 2;
/// The bit of a record's state byte that says that its address is IPv6.
const IPV6_BIT: u8 = 0x80;

/// Codes of the kinds of messages.
mod code {
    pub(super) const PING: u8 = 1;
    pub(super) const ACK: u8 = 2;
    pub(super) const PING_REQUEST: u8 = 3;
    pub(super) const INDIRECT_ACK: u8 = 4;
    pub(super) const INDIRECT_NACK: u8 = 5;
    pub(super) const DIGESTS: u8 = 6;
    pub(super) const RECORDS: u8 = 7;
    pub(super) const VIEW_REQUEST: u8 = 8;
    pub(super) const VIEW_PAGE: u8 = 9;
}

/// Why a message cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("message of a member, byte {at}: expected {expected}")]
pub struct Malformed {
    /// The offset of the offending byte.
    pub at: usize,
    /// What should be there.
    pub expected: &'static str,
}

/// The kind of a message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A direct probe.
    Ping,
    /// The answer to a direct probe.
    Ack,
    /// Asks the receiver to probe another member for the sender.
    PingRequest {
        /// The member to probe.
        target: MemberId,
        /// Its address.
        address: SocketAddr,
    },
    /// The target of a [`Kind::PingRequest`] has answered.
    IndirectAck,
    /// The target of a [`Kind::PingRequest`] has not answered in time; the sender itself is alive.
    IndirectNack,
    /// The digests of the sender's buckets.
    Digests {
        /// Whether the receiver is to send its own digests.
        reply_requested: bool,
        /// One for each bucket.
        digests: [u32; BUCKETS],
    },
    /// Only records.
    Records,
    /// An observer asks for a page of the view.
    ViewRequest {
        /// The first id of the page.
        from: MemberId,
    },
    /// A page of the view.
    ViewPage(ViewSummary),
}

/// What is said of a view besides its records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViewSummary {
    /// Whose view it is.
    pub owner: MemberId,
    /// The view's version.
    pub version: u64,
    /// How many members are live.
    pub live_count: u16,
    /// Among how many a majority is counted.
    pub voter_count: u16,
    /// A [`PartitionStatus`](crate::PartitionStatus) as a number: 0 complete, 1 majority, 2 no quorum.
    pub partition_status: u8,
    /// How long a death may take to show in it.
    pub detection_bound: Micros,
    /// The id at which the next page begins; none after the last page.
    pub next: Option<MemberId>,
}

/// A message.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Its kind.
    pub kind: Kind,
    /// Identifies a probe or request; its answer has the same.
    pub nonce: u32,
    /// The digest of the sender's view.
    pub digest: u64,
    /// Records, with how long each state has held in a [`Kind::ViewPage`], else 0.
    pub records: Vec<(MemberRecord, Micros)>,
}

impl Message {
    /// A message without records.
    pub fn new(kind: Kind, nonce: u32, digest: u64) -> Message {
        Message { kind, nonce, digest, records: Vec::new() }
    }

    /// Adds a record, with how long its state has held. Returns false, and adds nothing, if the message would get too
    /// long.
    pub fn add(&mut self, record: MemberRecord, held_for: Micros) -> bool {
        let records_length: usize = self.records.iter().map(|(record, _)| self.record_length(record)).sum();
        let length = self.fields_length() + records_length + self.record_length(&record);
        let fits = length <= MAX_MESSAGE_LENGTH;
        if fits {
            self.records.push((record, held_for));
        }
        fits
    }

    /// Bytes without the records.
    fn fields_length(&self) -> usize {
        HEADER_LENGTH
            + match self.kind {
                Kind::Ping | Kind::Ack | Kind::IndirectAck | Kind::IndirectNack | Kind::Records => 0,
                Kind::PingRequest { address, .. } => 2 + 1 + address_length(&address),
                Kind::Digests { .. } => 1 + 4 * BUCKETS,
                Kind::ViewRequest { .. } => 2,
                Kind::ViewPage(_) => VIEW_SUMMARY_LENGTH,
            }
    }

    fn record_length(&self, record: &MemberRecord) -> usize {
        let duration_length = if self.has_durations() { DURATION_LENGTH } else { 0 };
        RECORD_FIELDS_LENGTH + address_length(&record.address) + duration_length
    }

    /// Whether each record carries how long its state has held.
    fn has_durations(&self) -> bool {
        matches!(self.kind, Kind::ViewPage(_))
    }
}

fn address_length(address: &SocketAddr) -> usize {
    if address.is_ipv4() {
        IPV4_ADDRESS_LENGTH
    } else {
        IPV6_ADDRESS_LENGTH
    }
}
