//! How a fleet of hundreds starts, or comes back after an outage, without pushing over what it starts on. Free of I/O and
//! clock: the deciders are told what comes, with the time, and say what to do.
//!
//! - [`turns`]: whose turn it is to call, by the clock and the view: bounded for the fleet, not for each
//! - [`lists`]: the whole list of backends, from the service by turns, else from a neighbour and checked against others

pub mod lists;
pub mod turns;

pub use lists::{Act, Config, Held, Lists, Refused, Source, Word};
pub use turns::{Fleet, Turns};

/// A span of time, or a time since the beginning of 1970, in microseconds.
pub type Micros = u64;

/// The number of a member; it keeps it over its starts.
pub type Number = u16;
