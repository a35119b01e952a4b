//! The message format. Each message is one datagram of at most [`MAX_MESSAGE_LENGTH`] bytes, which fits the datagrams
//! between gateways. Integers are big-endian.
//!
//! A message consists of its kind (1 byte), a nonce (4), the sender's digest (8), the fields of the kind, and records up
//! to the end. A record consists of id (2), state with the address family (1), version (4), incarnation (8), reporter
//! (2) and address (6 or 18). In a [`Kind::ViewPage`], the time for which the member has been in its state follows (8).

mod decode;
mod encode;

use crate::view::{MemberRecord, BUCKETS};
use crate::{MemberId, Micros};
use std::net::SocketAddr;

/// Maximum length of an encoded message, in bytes.
pub const MAX_MESSAGE_LENGTH: usize = 256;

/// Length of kind, nonce and digest, in bytes.
const HEADER_LENGTH: usize = 1 + 4 + 8;
/// Length of a record without its address, in bytes.
const RECORD_FIELDS_LENGTH: usize = 2 + 1 + 4 + 8 + 2;
const IPV4_ADDRESS_LENGTH: usize = 4 + 2;
const IPV6_ADDRESS_LENGTH: usize = 16 + 2;
/// Length of the duration after each record of a view page, in bytes.
const DURATION_LENGTH: usize = 8;
const VIEW_SUMMARY_LENGTH: usize = 2 + 8 + 2 + 2 + 1 + 8 + 2;
/// Bit of a record's state byte that is set if the record's address is IPv6.
const IPV6_BIT: u8 = 0x80;

/// Codes of the message kinds.
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

/// The error of a message that cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed membership message at byte {at}: expected {expected}")]
pub struct Malformed {
    /// The offset of the malformed field, or the length of the message if it is truncated.
    pub at: usize,
    /// A description of what is valid at the offset.
    pub expected: &'static str,
}

/// The kind of a message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// A direct probe.
    Ping,
    /// The answer to a direct probe.
    Ack,
    /// A request to the receiver to probe another member for the sender.
    PingRequest {
        /// The member to probe.
        target: MemberId,
        /// The address of the member to probe.
        address: SocketAddr,
    },
    /// Reports that the target of a [`Kind::PingRequest`] has answered.
    IndirectAck,
    /// Reports that the target of a [`Kind::PingRequest`] has not answered in time. It also shows that the sender, the
    /// intermediary, is alive.
    IndirectNack,
    /// The digests of the buckets of the sender's view, see [`BUCKETS`].
    Digests {
        /// Whether the receiver has to answer with its own digests.
        reply_requested: bool,
        /// The digest of each bucket.
        digests: [u32; BUCKETS],
    },
    /// Carries records only.
    Records,
    /// An observer's request for a page of the receiver's view.
    ViewRequest {
        /// The lowest member id of the page.
        from: MemberId,
    },
    /// A page of the sender's view.
    ViewPage(ViewSummary),
}

/// The properties of a view that each [`Kind::ViewPage`] carries beside the records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViewSummary {
    /// The member whose view it is.
    pub owner: MemberId,
    /// The view's version.
    pub version: u64,
    /// Number of live members.
    pub live_count: u16,
    /// Number of voters, the members that count towards a majority.
    pub voter_count: u16,
    /// The [`PartitionStatus`](crate::PartitionStatus) as a number: 0 complete, 1 majority, 2 no quorum.
    pub partition_status: u8,
    /// Maximum time from the death of a member until the view shows it, in microseconds.
    pub detection_bound: Micros,
    /// The id at which the next page begins. `None`: this is the last page.
    pub next: Option<MemberId>,
}

/// A message of the membership protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The kind of the message, with the fields of the kind.
    pub kind: Kind,
    /// Identifies a probe or request. Its answer carries the same nonce.
    pub nonce: u32,
    /// The digest of the sender's view.
    pub digest: u64,
    /// Records. In a [`Kind::ViewPage`], each with the time in microseconds for which the member has been in its state;
    /// in other messages with 0.
    pub records: Vec<(MemberRecord, Micros)>,
}

impl Message {
    /// Creates a message without records.
    pub fn new(kind: Kind, nonce: u32, digest: u64) -> Message {
        Message { kind, nonce, digest, records: Vec::new() }
    }

    /// Adds a record. `held_for` is the time in microseconds for which the member has been in its state; it is encoded
    /// only in a [`Kind::ViewPage`]. Returns false, and adds nothing, if the message would exceed
    /// [`MAX_MESSAGE_LENGTH`].
    pub fn add(&mut self, record: MemberRecord, held_for: Micros) -> bool {
        let records_length: usize = self.records.iter().map(|(record, _)| self.record_length(record)).sum();
        let length = self.fields_length() + records_length + self.record_length(&record);
        let fits = length <= MAX_MESSAGE_LENGTH;
        if fits {
            self.records.push((record, held_for));
        }
        fits
    }

    /// Returns the length of the encoded message without its records, in bytes.
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

    /// Returns the length of one encoded record, in bytes.
    fn record_length(&self, record: &MemberRecord) -> usize {
        let duration_length = if self.has_durations() { DURATION_LENGTH } else { 0 };
        RECORD_FIELDS_LENGTH + address_length(&record.address) + duration_length
    }

    /// Returns true if each record is followed by the time for which the member has been in its state.
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
