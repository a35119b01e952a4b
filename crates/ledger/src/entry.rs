//! Ledger entries and their protobuf encoding. Fields may be added; tags and types of existing fields are fixed, as logs
//! on disk hold them.

use crate::sequence_ranges::SequenceRange;
use crate::Micros;
use prost::{Message, Oneof};

/// Identifies an entry: the same for every copy of it, never used for another one. An ingress numbers its entries from 1
/// in each incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryId {
    /// The ingress that wrote it.
    pub ingress: u16,
    /// The start of that ingress, in microseconds since 1970; later than any start that its log has recorded.
    pub incarnation: u64,
    /// Its sequence number in the incarnation, from 1.
    pub number: u64,
}

/// One run of an ingress, from a start to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationId {
    /// The ingress.
    pub ingress: u16,
    /// Its start, in microseconds since 1970.
    pub incarnation: u64,
}

/// A place in the log of one ingress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LogPosition {
    /// The incarnation.
    pub incarnation: u64,
    /// The sequence number in it.
    pub number: u64,
}

impl EntryId {
    /// Checks numbers that were read from a disk or a peer.
    ///
    /// # Errors
    /// [`EntryError::Value`] for an ingress above 65,535 and for a number out of range.
    pub(crate) fn checked(ingress: u32, incarnation: u64, number: u64) -> Result<EntryId, EntryError> {
        let ingress = checked_ingress(ingress)?;
        // The last number stays unused, so that one past the end of a range can always be represented.
        if number == 0 || number == u64::MAX {
            return Err(EntryError::Value("number", number, "1 or more, and not the very last"));
        }
        Ok(EntryId { ingress, incarnation, number })
    }

    /// The incarnation that wrote the entry.
    pub fn incarnation_id(self) -> IncarnationId {
        IncarnationId { ingress: self.ingress, incarnation: self.incarnation }
    }

    /// Where the entry is in its ingress's log.
    pub fn position(self) -> LogPosition {
        LogPosition { incarnation: self.incarnation, number: self.number }
    }
}

pub(crate) fn checked_ingress(ingress: u32) -> Result<u16, EntryError> {
    u16::try_from(ingress).map_err(|_| EntryError::Value("ingress", ingress.into(), "at most 65,535"))
}

impl IncarnationId {
    /// The entry of this incarnation with a number.
    pub fn entry(self, number: u64) -> EntryId {
        EntryId { ingress: self.ingress, incarnation: self.incarnation, number }
    }

    /// The first possible to the last possible incarnation of an ingress.
    pub(crate) fn all_of(ingress: u16) -> std::ops::RangeInclusive<IncarnationId> {
        IncarnationId { ingress, incarnation: 0 }..=IncarnationId { ingress, incarnation: u64::MAX }
    }
}

/// An entry of the ledger. It is never edited: corrections are entries of their own.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Identifies it.
    pub id: EntryId,
    /// When it was written, by the clock of its ingress; never decreases in an ingress. Decides the period.
    pub at: Micros,
    /// What it records.
    pub body: EntryBody,
}

/// A request is about to be sent to a node: its units may be used from now on.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RequestOpened {
    /// The account that pays.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The plan that it was admitted under.
    #[prost(string, tag = "2")]
    pub plan: String,
    /// The request class.
    #[prost(string, tag = "3")]
    pub class: String,
    /// Units that it uses if it runs.
    #[prost(uint64, tag = "4")]
    pub units: u64,
    /// The request's identifier at the nodes.
    #[prost(string, tag = "5")]
    pub request: String,
    /// The node of its first attempt.
    #[prost(string, tag = "6")]
    pub node: String,
}

/// An open request is about to be sent to one more node: a retry or a hedged request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AttemptAdded {
    /// The number of the request's open entry, of the same incarnation.
    #[prost(uint64, tag = "1")]
    pub open: u64,
    /// The node of the attempt.
    #[prost(string, tag = "2")]
    pub node: String,
}

/// A request of the same ingress has ended.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RequestSettled {
    /// The number of its open entry.
    #[prost(uint64, tag = "1")]
    pub open: u64,
    /// Units that were used; 0 if it never ran.
    #[prost(uint64, tag = "2")]
    pub units: u64,
    /// No node could say whether it ran: settled by the stated rule, to be corrected when a node answers later.
    #[prost(bool, tag = "3")]
    pub presumed: bool,
    /// The node that ran it; empty where none did.
    #[prost(string, tag = "4")]
    pub node: String,
    /// The incarnation of the open entry; 0 stands for that of this entry.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
}

impl RequestSettled {
    /// The open entry of the request, where this is the body of the entry `id`.
    pub(crate) fn opened_by(&self, id: EntryId) -> EntryId {
        let incarnation = if self.incarnation == 0 { id.incarnation } else { self.incarnation };
        EntryId { ingress: id.ingress, incarnation, number: self.open }
    }
}

/// Units to add to what earlier entries recorded of a request.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Correction {
    /// The ingress of the open entry of the request.
    #[prost(uint32, tag = "1")]
    pub ingress: u32,
    /// The incarnation of the open entry.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The number of the open entry.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Units to add; may be negative.
    #[prost(sint64, tag = "4")]
    pub units: i64,
    /// The reason, for people.
    #[prost(string, tag = "5")]
    pub why: String,
    /// The account. Account, plan and period are repeated here as the open entry may have been compacted away.
    #[prost(string, tag = "6")]
    pub account: String,
    /// The plan.
    #[prost(string, tag = "7")]
    pub plan: String,
    /// The period of the use.
    #[prost(uint64, tag = "8")]
    pub period: u64,
}

impl Correction {
    /// The open entry of the request. Decoding has checked that the ingress fits.
    pub(crate) fn opened_by(&self) -> EntryId {
        EntryId { ingress: self.ingress as u16, incarnation: self.incarnation, number: self.number }
    }
}

/// An ingress has started: the first entry of each incarnation.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct IncarnationStarted {
    /// The period that it starts in.
    #[prost(uint64, tag = "1")]
    pub period: u64,
    /// The incarnation before it, 0 if none is known ...
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// ... and the last number that that one used.
    #[prost(uint64, tag = "3")]
    pub number: u64,
}

/// An ingress opens no more requests in a period, nor in any before it.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct PeriodClosed {
    /// The period.
    #[prost(uint64, tag = "1")]
    pub period: u64,
}

/// One line of an export batch: the change since earlier batches of an account's use under a plan in a period.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Line {
    /// The account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The plan.
    #[prost(string, tag = "2")]
    pub plan: String,
    /// The period of the use.
    #[prost(uint64, tag = "3")]
    pub period: u64,
    /// The period that it is billed in: a later one for use that is found after its period was exported.
    #[prost(uint64, tag = "4")]
    pub billed: u64,
    /// Units.
    #[prost(sint64, tag = "5")]
    pub units: i64,
    /// Requests.
    #[prost(sint64, tag = "6")]
    pub requests: i64,
}

/// Entries of an incarnation from one number to another, both included.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Range {
    /// The ingress.
    #[prost(uint32, tag = "1")]
    pub ingress: u32,
    /// The incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The first number.
    #[prost(uint64, tag = "3")]
    pub from: u64,
    /// The last number.
    #[prost(uint64, tag = "4")]
    pub to: u64,
}

impl Range {
    /// Numbers of an incarnation.
    pub fn new(id: IncarnationId, numbers: SequenceRange) -> Range {
        let SequenceRange { first, last } = numbers;
        Range { ingress: id.ingress.into(), incarnation: id.incarnation, from: first, to: last }
    }

    /// Its numbers.
    pub fn numbers(&self) -> SequenceRange {
        SequenceRange::new(self.from, self.to)
    }

    /// Whether an entry is in the range.
    pub fn contains(&self, id: EntryId) -> bool {
        let same_incarnation = self.ingress == u32::from(id.ingress) && self.incarnation == id.incarnation;
        same_incarnation && (self.from..=self.to).contains(&id.number)
    }
}

/// A batch of an export stream, as the consumer gets it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Batch {
    /// The stream.
    #[prost(string, tag = "1")]
    pub stream: String,
    /// Its sequence number in the stream, from 1.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// What is exported.
    #[prost(message, repeated, tag = "3")]
    pub lines: Vec<Line>,
    /// The entries that the lines were computed from: an ingress that lacks any of them writes no later batch.
    #[prost(message, repeated, tag = "4")]
    pub basis: Vec<Range>,
    /// Periods up to this one are covered by this batch and those before it.
    #[prost(uint64, tag = "5")]
    pub until: u64,
}

impl Batch {
    /// A hash of the whole batch.
    pub fn digest(&self) -> [u8; 32] {
        *blake3::hash(&self.encode_to_vec()).as_bytes()
    }
}

/// The consumer has stored a batch.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct BatchAcknowledged {
    /// The stream.
    #[prost(string, tag = "1")]
    pub stream: String,
    /// The batch's number.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The digest of the batch that the consumer has.
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
    /// They are not protobuf of this form.
    #[error("an entry that cannot be read: {0}")]
    Form(#[from] prost::DecodeError),
    /// A field (its name, its value) is out of range (what is expected).
    #[error("an entry's {0} is {1}: expected {2}")]
    Value(&'static str, u64, &'static str),
}

/// An entry as it is encoded.
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
    /// Encodes it as protobuf.
    pub fn encode(&self) -> Vec<u8> {
        let EntryId { ingress, incarnation, number } = self.id;
        let body = Some(self.body.clone());
        EncodedEntry { ingress: ingress.into(), incarnation, number, at: self.at, body }.encode_to_vec()
    }

    /// Decodes what [`Entry::encode`] made.
    ///
    /// # Errors
    /// See [`EntryError`].
    pub fn decode(bytes: &[u8]) -> Result<Entry, EntryError> {
        let encoded = EncodedEntry::decode(bytes)?;
        let body = encoded.body.ok_or(EntryError::Value("kind", 0, "one of the known ones"))?;
        check_references(&body)?;
        let id = EntryId::checked(encoded.ingress, encoded.incarnation, encoded.number)?;
        Ok(Entry { id, at: encoded.at, body })
    }
}

/// Checks the numbers by which a body refers to other entries and batches.
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
