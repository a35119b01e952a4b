//! What an entry says. As bytes it is protobuf, so that later versions can add fields.

use crate::Micros;
use prost::{Message, Oneof};

/// Names an entry: the same for every copy, never used for another one. An ingress numbers its entries from 1 in each
/// incarnation, and an incarnation is later than any that was ever written by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    /// The ingress that wrote it.
    pub ingress: u16,
    /// Its start, in microseconds since 1970.
    pub incarnation: u64,
    /// Its number, from 1.
    pub number: u64,
}

/// An entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Its name.
    pub id: Id,
    /// When it was written, by its ingress's clock; never goes back in an ingress. Decides the period.
    pub at: Micros,
    /// What it says.
    pub what: What,
}

/// A request is about to be sent to a node: its units may be used from now on.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Open {
    /// Whose.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The plan that it was admitted under.
    #[prost(string, tag = "2")]
    pub plan: String,
    /// The class.
    #[prost(string, tag = "3")]
    pub class: String,
    /// Units.
    #[prost(uint64, tag = "4")]
    pub units: u64,
    /// The request's name at the nodes.
    #[prost(string, tag = "5")]
    pub request: String,
    /// Where its first attempt goes.
    #[prost(string, tag = "6")]
    pub node: String,
}

/// A request that is open is about to be sent to one more node.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Again {
    /// The number of its open entry, of the same incarnation.
    #[prost(uint64, tag = "1")]
    pub open: u64,
    /// Where the attempt goes.
    #[prost(string, tag = "2")]
    pub node: String,
}

/// The request of an open entry of the same ingress has ended.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Settled {
    /// The open entry's number.
    #[prost(uint64, tag = "1")]
    pub open: u64,
    /// Units that were used; nought if it never ran.
    #[prost(uint64, tag = "2")]
    pub units: u64,
    /// Nobody could say: settled by the stated rule, to be corrected when the truth is known.
    #[prost(bool, tag = "3")]
    pub presumed: bool,
    /// The node that ran it; empty where none did.
    #[prost(string, tag = "4")]
    pub node: String,
    /// The open entry's incarnation; 0: that of this entry.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
}

/// Units more or less than an entry said.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Correction {
    /// The open entry that it corrects.
    #[prost(uint32, tag = "1")]
    pub ingress: u32,
    /// Its incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Its number.
    #[prost(uint64, tag = "3")]
    pub number: u64,
    /// Added to what it came to; may be negative.
    #[prost(sint64, tag = "4")]
    pub units: i64,
    /// Why, for people.
    #[prost(string, tag = "5")]
    pub why: String,
    /// Whose use it was, and under which plan and in which period: the open entry may have been put away.
    #[prost(string, tag = "6")]
    pub account: String,
    /// The plan.
    #[prost(string, tag = "7")]
    pub plan: String,
    /// The period.
    #[prost(uint64, tag = "8")]
    pub period: u64,
}

/// An ingress writes from now on: the first entry of each incarnation.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Opened {
    /// The period that it begins in.
    #[prost(uint64, tag = "1")]
    pub period: u64,
    /// Its incarnation before this one, 0 for none that it knows of ...
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// ... and the last number that this one used.
    #[prost(uint64, tag = "3")]
    pub number: u64,
}

/// An ingress opens nothing any more in a period, nor in any before it.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Closed {
    /// The period.
    #[prost(uint64, tag = "1")]
    pub period: u64,
}

/// What is exported of an account's use under a plan in a period: more or less than the batches before have said.
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
    /// The period that it is billed in: a later one for what came after the period was exported.
    #[prost(uint64, tag = "4")]
    pub billed: u64,
    /// Units.
    #[prost(sint64, tag = "5")]
    pub units: i64,
    /// Requests.
    #[prost(sint64, tag = "6")]
    pub requests: i64,
}

/// Numbers of an incarnation, from one to another, both in.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Range {
    /// The ingress.
    #[prost(uint32, tag = "1")]
    pub ingress: u32,
    /// The incarnation.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The first.
    #[prost(uint64, tag = "3")]
    pub from: u64,
    /// The last.
    #[prost(uint64, tag = "4")]
    pub to: u64,
}

/// A batch, as it is handed to the consumer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Batch {
    /// Which sequence it belongs to.
    #[prost(string, tag = "1")]
    pub stream: String,
    /// Its place in it, from 1.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// What is exported.
    #[prost(message, repeated, tag = "3")]
    pub lines: Vec<Line>,
    /// The entries that were added up for it: who has fewer does not go on after it.
    #[prost(message, repeated, tag = "4")]
    pub basis: Vec<Range>,
    /// Periods up to this one are told by it and those before it.
    #[prost(uint64, tag = "5")]
    pub until: u64,
}

impl Batch {
    /// Tells it from any other.
    pub fn digest(&self) -> [u8; 32] {
        *blake3::hash(&self.encode_to_vec()).as_bytes()
    }
}

/// The consumer has a batch for good.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Acknowledged {
    /// The sequence.
    #[prost(string, tag = "1")]
    pub stream: String,
    /// The batch's place.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The digest of the one that it has.
    #[prost(bytes = "vec", tag = "3")]
    pub digest: Vec<u8>,
}

/// What an entry says.
#[derive(Clone, PartialEq, Oneof)]
pub enum What {
    /// See [`Open`].
    #[prost(message, tag = "5")]
    Open(Open),
    /// See [`Settled`].
    #[prost(message, tag = "6")]
    Settled(Settled),
    /// See [`Correction`].
    #[prost(message, tag = "7")]
    Correction(Correction),
    /// See [`Again`].
    #[prost(message, tag = "8")]
    Again(Again),
    /// See [`Opened`].
    #[prost(message, tag = "9")]
    Opened(Opened),
    /// See [`Closed`].
    #[prost(message, tag = "10")]
    Closed(Closed),
    /// A batch that is about to be handed over.
    #[prost(message, tag = "11")]
    Exported(Batch),
    /// See [`Acknowledged`].
    #[prost(message, tag = "12")]
    Acknowledged(Acknowledged),
}

/// Why bytes are no entry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// No protobuf of this form.
    #[error("an entry that cannot be read: {0}")]
    Form(#[from] prost::DecodeError),
    /// A field has a value that it cannot have.
    #[error("an entry's {0} is {1}: expected {2}")]
    Value(&'static str, u64, &'static str),
}

#[derive(Clone, PartialEq, Message)]
struct Raw {
    #[prost(uint32, tag = "1")]
    ingress: u32,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    number: u64,
    #[prost(uint64, tag = "4")]
    at: u64,
    #[prost(oneof = "What", tags = "5, 6, 7, 8, 9, 10, 11, 12")]
    what: Option<What>,
}

pub(crate) fn id(ingress: u32, incarnation: u64, number: u64) -> Result<Id, EntryError> {
    let small = u16::try_from(ingress);
    let ingress = small.map_err(|_| EntryError::Value("ingress", ingress.into(), "at most 65,535"))?;
    // The last number stays unused: one past the end of a span can always be named.
    if number == 0 || number == u64::MAX {
        return Err(EntryError::Value("number", number, "1 or more, and not the very last"));
    }
    Ok(Id { ingress, incarnation, number })
}

impl Entry {
    /// As bytes.
    pub fn encode(&self) -> Vec<u8> {
        let Id { ingress, incarnation, number } = self.id;
        let what = Some(self.what.clone());
        Raw { ingress: ingress.into(), incarnation, number, at: self.at, what }.encode_to_vec()
    }

    /// From bytes.
    ///
    /// # Errors
    /// See [`EntryError`].
    pub fn decode(bytes: &[u8]) -> Result<Entry, EntryError> {
        let raw = Raw::decode(bytes)?;
        let what = raw.what.ok_or(EntryError::Value("kind", 0, "one of the known ones"))?;
        match &what {
            What::Correction(c) => drop(id(c.ingress, c.incarnation, c.number)?),
            What::Exported(Batch { number: 0, .. }) | What::Acknowledged(Acknowledged { number: 0, .. }) => {
                return Err(EntryError::Value("batch", 0, "1 or more"));
            }
            _ => {}
        }
        Ok(Entry { id: id(raw.ingress, raw.incarnation, raw.number)?, at: raw.at, what })
    }
}
