//! Ledger entries and their protobuf encoding. Fields may be added; the tags and types of existing fields are fixed, as
//! logs on disk contain them.

use crate::sequence_ranges::SequenceRange;
use crate::Micros;
use prost::{Message, Oneof};

/// Unique id of an entry, the same for all its copies. An ingress numbers its entries from 1 in each incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryId {
    /// The ingress that wrote the entry.
    pub ingress: u16,
    /// Start time of that ingress, in microseconds since 1970; later than any incarnation recorded in its log.
    pub incarnation: u64,
    /// Sequence number of the entry in the incarnation, from 1.
    pub number: u64,
}

/// Identifies one run of an ingress, from one start to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationId {
    /// The ingress.
    pub ingress: u16,
    /// Start time of the ingress, in microseconds since 1970.
    pub incarnation: u64,
}

/// The position of an entry in the log of one ingress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogPosition {
    /// The incarnation that wrote the entry.
    pub incarnation: u64,
    /// Sequence number of the entry in the incarnation.
    pub number: u64,
}

impl EntryId {
    /// Creates an id from fields that were read from a disk or received from a peer.
    ///
    /// # Errors
    /// [`EntryError::Value`] for an ingress above 65,535 and for a sequence number of 0 or `u64::MAX`.
    pub(crate) fn checked(ingress: u32, incarnation: u64, number: u64) -> Result<EntryId, EntryError> {
        let ingress = checked_ingress(ingress)?;
        // `u64::MAX` is never used, so that the number after the end of a range can always be represented.
        if number == 0 || number == u64::MAX {
            return Err(EntryError::Value("number", number, "1 or more, and less than 2^64 - 1"));
        }
        Ok(EntryId { ingress, incarnation, number })
    }

    /// Returns the incarnation that wrote the entry.
    pub fn incarnation_id(self) -> IncarnationId {
        IncarnationId { ingress: self.ingress, incarnation: self.incarnation }
    }

    /// Returns the position of the entry in the log of its ingress.
    pub fn position(self) -> LogPosition {
        LogPosition { incarnation: self.incarnation, number: self.number }
    }
}

/// Converts an ingress id that was read from a disk or received from a peer. Fails for an id above 65,535.
pub(crate) fn checked_ingress(ingress: u32) -> Result<u16, EntryError> {
    u16::try_from(ingress).map_err(|_| EntryError::Value("ingress", ingress.into(), "at most 65,535"))
}

impl IncarnationId {
    /// Returns the id of the entry with this number in the incarnation.
    pub fn entry(self, number: u64) -> EntryId {
        EntryId { ingress: self.ingress, incarnation: self.incarnation, number }
    }

    /// Returns the range of all possible incarnations of an ingress.
    pub(crate) fn all_of(ingress: u16) -> std::ops::RangeInclusive<IncarnationId> {
        IncarnationId { ingress, incarnation: 0 }..=IncarnationId { ingress, incarnation: u64::MAX }
    }
}

/// An entry of the ledger. Entries are never edited: a correction is another entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The id of the entry.
    pub id: EntryId,
    /// Time of writing by the clock of the ingress. It never decreases from one entry to the next in the log of an
    /// ingress, even if the clock is set back. Determines the billing period.
    pub at: Micros,
    /// What the entry records.
    pub body: EntryBody,
}

/// A request is about to be sent to a node. It may use units from now on.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RequestOpened {
    /// The account that is billed.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The plan under which the request was admitted.
    #[prost(string, tag = "2")]
    pub plan: String,
    /// The request class.
    #[prost(string, tag = "3")]
    pub class: String,
    /// Units that the request uses if it runs.
    #[prost(uint64, tag = "4")]
    pub units: u64,
    /// The identifier of the request at the nodes.
    #[prost(string, tag = "5")]
    pub request: String,
    /// The node of the first attempt.
    #[prost(string, tag = "6")]
    pub node: String,
}

/// An open request is about to be sent to another node, as a retry or a hedged request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AttemptAdded {
    /// Sequence number of the request's open entry, which the same incarnation wrote.
    #[prost(uint64, tag = "1")]
    pub open: u64,
    /// The node of the attempt.
    #[prost(string, tag = "2")]
    pub node: String,
}

/// A request of the same ingress has ended.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RequestSettled {
    /// Sequence number of the request's open entry.
    #[prost(uint64, tag = "1")]
    pub open: u64,
    /// Units that were used; 0 if the request never ran.
    #[prost(uint64, tag = "2")]
    pub units: u64,
    /// Whether the outcome is presumed: no node reported it in time. A correction follows if a node answers later.
    #[prost(bool, tag = "3")]
    pub presumed: bool,
    /// The node that ran the request; empty if none did.
    #[prost(string, tag = "4")]
    pub node: String,
    /// The incarnation of the open entry; 0 for the incarnation of this entry.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
}

impl RequestSettled {
    /// Returns the id of the request's open entry; `id` is the id of the entry that contains this body.
    pub(crate) fn opened_by(&self, id: EntryId) -> EntryId {
        let incarnation = if self.incarnation == 0 { id.incarnation } else { self.incarnation };
        EntryId { ingress: id.ingress, incarnation, number: self.open }
    }
}

/// Units to add to those that earlier entries recorded for a request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Correction {
    /// The ingress of the request's open entry.
    #[prost(uint32, tag = "1")]
    pub ingress: u32,
    /// The incarnation of the open entry.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Sequence number of the open entry.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Units to add; may be negative.
    #[prost(sint64, tag = "4")]
    pub units: i64,
    /// The reason, as text for operators.
    #[prost(string, tag = "5")]
    pub why: String,
    /// The account. Account, plan and period are repeated here, as compaction may have removed the open entry.
    #[prost(string, tag = "6")]
    pub account: String,
    /// The plan.
    #[prost(string, tag = "7")]
    pub plan: String,
    /// The billing period of the usage.
    #[prost(uint64, tag = "8")]
    pub period: u64,
}

impl Correction {
    /// Returns the id of the request's open entry. Decoding has checked that the ingress fits `u16`.
    pub(crate) fn opened_by(&self) -> EntryId {
        EntryId { ingress: self.ingress as u16, incarnation: self.incarnation, number: self.number }
    }
}

/// An ingress has started: the first entry of each incarnation.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct IncarnationStarted {
    /// The billing period of the start.
    #[prost(uint64, tag = "1")]
    pub period: u64,
    /// The previous incarnation; 0 if none is known.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The last sequence number that the previous incarnation used.
    #[prost(uint64, tag = "3")]
    pub number: u64,
}

/// An ingress has closed a period: it opens no more requests in it or in an earlier one.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct PeriodClosed {
    /// The period.
    #[prost(uint64, tag = "1")]
    pub period: u64,
}

/// One line of an export batch: the change in an account's usage under a plan in a period since earlier batches.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Line {
    /// The account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The plan.
    #[prost(string, tag = "2")]
    pub plan: String,
    /// The billing period of the usage.
    #[prost(uint64, tag = "3")]
    pub period: u64,
    /// The period in which the usage is billed: a later one if the usage was found after its own period was exported.
    #[prost(uint64, tag = "4")]
    pub billed: u64,
    /// Change in the number of units.
    #[prost(sint64, tag = "5")]
    pub units: i64,
    /// Change in the number of requests that used units.
    #[prost(sint64, tag = "6")]
    pub requests: i64,
}

/// Entries of an incarnation, from one sequence number to another, both included.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Range {
    /// The ingress.
    #[prost(uint32, tag = "1")]
    pub ingress: u32,
    /// The incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The first sequence number.
    #[prost(uint64, tag = "3")]
    pub from: u64,
    /// The last sequence number.
    #[prost(uint64, tag = "4")]
    pub to: u64,
}

impl Range {
    /// Creates a range of entries of an incarnation.
    pub fn new(id: IncarnationId, numbers: SequenceRange) -> Range {
        let SequenceRange { first, last } = numbers;
        Range { ingress: id.ingress.into(), incarnation: id.incarnation, from: first, to: last }
    }

    /// Returns the sequence numbers of the range.
    pub fn numbers(&self) -> SequenceRange {
        SequenceRange::new(self.from, self.to)
    }

    /// Returns whether an entry is in the range.
    pub fn contains(&self, id: EntryId) -> bool {
        let same_incarnation = self.ingress == u32::from(id.ingress) && self.incarnation == id.incarnation;
        same_incarnation && (self.from..=self.to).contains(&id.number)
    }
}

/// A batch of an export stream, as sent to the consumer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Batch {
    /// Name of the stream.
    #[prost(string, tag = "1")]
    pub stream: String,
    /// Sequence number of the batch in the stream, from 1.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The changes in usage that the batch exports.
    #[prost(message, repeated, tag = "3")]
    pub lines: Vec<Line>,
    /// The entries from which the lines were computed. An ingress that lacks any of them writes no later batch.
    #[prost(message, repeated, tag = "4")]
    pub basis: Vec<Range>,
    /// The last period that this batch and the earlier ones of the stream cover.
    #[prost(uint64, tag = "5")]
    pub until: u64,
}

impl Batch {
    /// Returns the BLAKE3 hash of the encoded batch.
    pub fn digest(&self) -> [u8; 32] {
        *blake3::hash(&self.encode_to_vec()).as_bytes()
    }
}

/// The consumer has stored a batch.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BatchAcknowledged {
    /// Name of the stream.
    #[prost(string, tag = "1")]
    pub stream: String,
    /// Sequence number of the batch in the stream.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Digest of the batch that the consumer has stored, see [`Batch::digest`].
    #[prost(bytes = "vec", tag = "3")]
    pub digest: Vec<u8>,
}

/// What an entry records.
#[derive(Clone, PartialEq, Oneof)]
pub enum EntryBody {
    /// See [`RequestOpened`].
    #[prost(message, tag = "5")]
    RequestOpened(RequestOpened),
    /// See [`RequestSettled`].
    #[prost(message, tag = "6")]
    RequestSettled(RequestSettled),
    /// See [`Correction`].
    #[prost(message, tag = "7")]
    Correction(Correction),
    /// See [`AttemptAdded`].
    #[prost(message, tag = "8")]
    AttemptAdded(AttemptAdded),
    /// See [`IncarnationStarted`].
    #[prost(message, tag = "9")]
    IncarnationStarted(IncarnationStarted),
    /// See [`PeriodClosed`].
    #[prost(message, tag = "10")]
    PeriodClosed(PeriodClosed),
    /// A batch that is about to be sent to the consumer.
    #[prost(message, tag = "11")]
    BatchPrepared(Batch),
    /// See [`BatchAcknowledged`].
    #[prost(message, tag = "12")]
    BatchAcknowledged(BatchAcknowledged),
}

/// Why bytes are not a valid entry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// The bytes are not protobuf of the expected schema.
    #[error("the entry cannot be decoded: {0}")]
    Form(#[from] prost::DecodeError),
    /// A field (name, value) is out of range (expected values).
    #[error("the entry's {0} is {1}: expected {2}")]
    Value(&'static str, u64, &'static str),
}

/// The protobuf message of an entry.
#[derive(Clone, PartialEq, Message)]
struct EncodedEntry {
    #[prost(uint32, tag = "1")]
    ingress: u32,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    number: u64,
    #[prost(uint64, tag = "4")]
    at: u64,
    #[prost(oneof = "EntryBody", tags = "5, 6, 7, 8, 9, 10, 11, 12")]
    body: Option<EntryBody>,
}

impl Entry {
    /// Encodes the entry as protobuf.
    pub fn encode(&self) -> Vec<u8> {
        let EntryId { ingress, incarnation, number } = self.id;
        let body = Some(self.body.clone());
        EncodedEntry { ingress: ingress.into(), incarnation, number, at: self.at, body }.encode_to_vec()
    }

    /// Decodes an entry that [`Entry::encode`] has encoded.
    ///
    /// # Errors
    /// [`EntryError::Form`] if protobuf decoding fails; [`EntryError::Value`] for an unknown kind or an invalid number.
    pub fn decode(bytes: &[u8]) -> Result<Entry, EntryError> {
        let encoded = EncodedEntry::decode(bytes)?;
        let body = encoded.body.ok_or(EntryError::Value("kind", 0, "a known kind of entry"))?;
        check_references(&body)?;
        let id = EntryId::checked(encoded.ingress, encoded.incarnation, encoded.number)?;
        Ok(Entry { id, at: encoded.at, body })
    }
}

/// Checks the ids of entries and the numbers of batches to which a body refers.
fn check_references(body: &EntryBody) -> Result<(), EntryError> {
    match body {
        EntryBody::Correction(correction) => {
            EntryId::checked(correction.ingress, correction.incarnation, correction.number)?;
        }
        EntryBody::BatchPrepared(Batch { number: 0, .. })
        | EntryBody::BatchAcknowledged(BatchAcknowledged { number: 0, .. }) => {
            return Err(EntryError::Value("batch", 0, "1 or more"));
        }
        _ => {}
    }
    Ok(())
}
