//! Who is there: each member's view of its fleet. Free of I/O and clock: a [`Membership`] is told what comes, with the
//! time, and says what to send, when to wake it, and what has changed.
//!
//! The protocol is SWIM's (Das, Gupta, Motivala, 2002) with what Lifeguard adds (Dadgar, Phillips, Currey, 2017): each
//! member asks another one in each round, through others if it does not answer; who does not answer is suspected, told
//! so, and given time to object, more of it where the suspecting one is slow itself. What is new rides on questions and
//! answers. Beside that:
//!
//! - nobody is declared lost on another's word: each member asks the suspect itself a last time, also through others;
//! - a fact about a member has a turn, even while it is in, odd once it is gone. The later turn holds, and only the
//!   member itself brings the next even one. So equal facts are equal views, whatever way they came;
//! - whoever was gone is asked now and then, so that two parts meet again after a cut of any length;
//! - a member that was itself stopped or starved takes no silence of that time for the others' fault.
//!
//! No rule of the gateway rests on a view: it may be late, and it says by how much.
//!
//! - [`view`]: what is known of whom, its number and digest
//! - [`wire`]: the messages
//! - [`detector`]: the decider
//! - [`standing`]: whether the fleet has shrunk, or this one is cut off

pub mod detector;
pub mod standing;
pub mod view;
pub mod wire;

pub use detector::{Change, Config, Membership, Outgoing};
pub use standing::Standing;
pub use view::{Member, State, View};
pub use wire::Malformed;

/// A span of time, or a time, in microseconds.
pub type Micros = u64;

/// The number of a member; it keeps it over its starts.
pub type Number = u16;

/// In place of a receiver's number: whoever listens there.
pub const ANYONE: Number = Number::MAX;

/// In place of a sender's number: somebody who holds the key and is no member, such as a person with a command.
pub const VISITOR: Number = Number::MAX;
