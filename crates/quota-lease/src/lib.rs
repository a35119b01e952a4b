//! Limits shared by leased grants. An owner has an account's store and hands parts of it to holders, each with a term; a
//! holder spends what it holds, until its own clock says that the term is over, less a margin for clocks that differ.
//! Free of I/O and clock.
//!
//! What is handed out is taken from the store at once, and what is out fills the store's room: so all that holders can
//! spend at any moment would have fitted the store of somebody who saw everything. Nothing comes back but what a holder
//! itself returns; what ends by its term counts as spent. Limits are never passed, whoever dies, sleeps or is cut off; what
//! fails costs service.
//!
//! - [`store`]: a store that fills at a rate
//! - [`owner`]: who hands out
//! - [`holder`]: who spends
//! - [`slot`]: who may be the owner: whoever has the votes of most of a fixed committee, for a term

pub mod holder;
pub mod owner;
pub mod slot;
pub mod store;

pub use holder::{Ask, Holder};
pub use owner::{Grant, Owner, Refused};
pub use slot::{Candidate, Voter};
pub use store::{Limit, Store};

/// A span of time, or a time on an instance's own clock, in microseconds.
pub type Micros = u64;

/// Units of a limit. Whole: what is split must add up again to the last of them.
pub type Units = u64;

/// Counts the owners of a slot; a lower one is never honoured.
pub type Epoch = u64;

/// The number of an ingress.
pub type Number = u16;

/// How long grants and votes last, and how much clocks may differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// How long a grant, or a vote, lasts.
    pub term: Micros,
    /// By how much two clocks may run apart, in parts of a thousand.
    pub drift: u32,
}

impl Terms {
    /// When somebody who asked at `asked` stops using what it got: sooner than the term, by its own clock, which may be
    /// slow. It counts from its question, as it cannot know when the answer was given; that was later.
    pub fn holder_until(&self, asked: Micros) -> Micros {
        asked + self.term * u64::from(1000 - self.drift.min(999)) / 1000
    }

    /// When somebody who gave at `given` takes it for over: later than the term, by its own clock, which may be fast.
    pub fn giver_until(&self, given: Micros) -> Micros {
        given + self.term * u64::from(1000 + self.drift) / 1000
    }
}
