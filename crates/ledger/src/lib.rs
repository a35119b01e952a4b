//! The billing ledger: its core is free of I/O and clock, its store writes by the runtime's file trait.
//!
//! Nothing is edited: use is an entry, a correction is another one. Each entry has an [`Id`] that any copy of it shares,
//! so that a union of copies counts once.
//!
//! - [`entry`]: what an entry says
//! - [`segment`]: entries as bytes of a log, chained, so that a torn end is told from a change in the middle
//! - [`book`]: adds entries up, in any order and any number of copies
//! - [`store`]: segments on a disk, with group commit and recovery

pub mod book;
pub mod entry;
pub mod segment;
pub mod store;

pub use book::{Book, Span, Sum, Taken};
pub use entry::{Entry, Id, What};
pub use segment::{scan, Ending, Scan, Writer};
pub use store::{Store, StoreError};

/// A time in microseconds since 1970 (UTC).
pub type Micros = u64;
