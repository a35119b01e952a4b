//! What an entry says. As bytes it is protobuf, so that later versions can add fields.

use crate::Micros;
use prost::Message;

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
    /// When it was written; decides the period.
    pub at: Micros,
    /// What it says.
    pub what: What,
}

/// What an entry says.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// A request is about to be sent to a node: its units may be used from now on.
    Open {
        /// Whose.
        account: String,
        /// The plan that it was admitted under.
        plan: String,
        /// The class.
        class: String,
        /// Units.
        units: u64,
        /// The request's name at the nodes.
        request: String,
        /// Where its first attempt went.
        node: String,
    },
    /// The request of an open entry has ended.
    Settled {
        /// The open entry, of the same ingress and incarnation.
        open: u64,
        /// Units that were used; nought if it never ran.
        units: u64,
        /// Nobody could say: settled by the stated rule, to be corrected when the truth is known.
        presumed: bool,
    },
    /// Units more or less than an entry said.
    Correction {
        /// The entry that it corrects: an `Open` one.
        of: Id,
        /// Added to what it came to; may be negative.
        units: i64,
        /// Why, for people.
        why: String,
    },
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
    #[prost(oneof = "RawWhat", tags = "5, 6, 7")]
    what: Option<RawWhat>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum RawWhat {
    #[prost(message, tag = "5")]
    Open(RawOpen),
    #[prost(message, tag = "6")]
    Settled(RawSettled),
    #[prost(message, tag = "7")]
    Correction(RawCorrection),
}

#[derive(Clone, PartialEq, Message)]
struct RawOpen {
    #[prost(string, tag = "1")]
    account: String,
    #[prost(string, tag = "2")]
    plan: String,
    #[prost(string, tag = "3")]
    class: String,
    #[prost(uint64, tag = "4")]
    units: u64,
    #[prost(string, tag = "5")]
    request: String,
    #[prost(string, tag = "6")]
    node: String,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct RawSettled {
    #[prost(uint64, tag = "1")]
    open: u64,
    #[prost(uint64, tag = "2")]
    units: u64,
    #[prost(bool, tag = "3")]
    presumed: bool,
}

#[derive(Clone, PartialEq, Message)]
struct RawCorrection {
    #[prost(uint32, tag = "1")]
    ingress: u32,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    number: u64,
    #[prost(sint64, tag = "4")]
    units: i64,
    #[prost(string, tag = "5")]
    why: String,
}

fn id(ingress: u32, incarnation: u64, number: u64) -> Result<Id, EntryError> {
    let small = u16::try_from(ingress);
    let ingress = small.map_err(|_| EntryError::Value("ingress", ingress.into(), "at most 65,535"))?;
    if number == 0 {
        return Err(EntryError::Value("number", 0, "1 or more"));
    }
    Ok(Id { ingress, incarnation, number })
}

impl Entry {
    /// As bytes.
    pub fn encode(&self) -> Vec<u8> {
        let what = match self.what.clone() {
            What::Open { account, plan, class, units, request, node } => {
                RawWhat::Open(RawOpen { account, plan, class, units, request, node })
            }
            What::Settled { open, units, presumed } => RawWhat::Settled(RawSettled { open, units, presumed }),
            What::Correction { of, units, why } => RawWhat::Correction(RawCorrection {
                ingress: of.ingress.into(),
                incarnation: of.incarnation,
                number: of.number,
                units,
                why,
            }),
        };
        let Id { ingress, incarnation, number } = self.id;
        Raw { ingress: ingress.into(), incarnation, number, at: self.at, what: Some(what) }.encode_to_vec()
    }

    /// From bytes.
    ///
    /// # Errors
    /// See [`EntryError`].
    pub fn decode(bytes: &[u8]) -> Result<Entry, EntryError> {
        let raw = Raw::decode(bytes)?;
        let what = match raw.what {
            Some(RawWhat::Open(o)) => What::Open {
                account: o.account,
                plan: o.plan,
                class: o.class,
                units: o.units,
                request: o.request,
                node: o.node,
            },
            Some(RawWhat::Settled(s)) => What::Settled { open: s.open, units: s.units, presumed: s.presumed },
            Some(RawWhat::Correction(c)) => {
                What::Correction { of: id(c.ingress, c.incarnation, c.number)?, units: c.units, why: c.why }
            }
            None => return Err(EntryError::Value("kind", 0, "open, settled or a correction")),
        };
        Ok(Entry { id: id(raw.ingress, raw.incarnation, raw.number)?, at: raw.at, what })
    }
}
