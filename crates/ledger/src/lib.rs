//! The billing ledger: its core is free of I/O and clock, its store writes by the runtime's file trait.
//!
//! Nothing is edited: use is an entry, a correction is another one. Each entry has an [`Id`] that any copy of it shares,
//! so that a union of copies counts once.
//!
//! - [`entry`]: what an entry says
//! - [`period`]: how time is cut
//! - [`segment`]: entries as bytes of a log, chained, so that a torn end is told from a change in the middle
//! - [`store`]: segments on a disk, with group commit and recovery
//! - [`book`]: adds entries up, in any order and any number of copies
//! - [`clerk`]: what an ingress writes, promises, presumes and closes
//! - [`reconcile`]: how an ingress gets what others have
//! - [`export`]: what is exported, by whom, exactly once
//! - [`folder`]: a folder of files as its consumer

pub mod book;
pub mod clerk;
pub mod entry;
pub mod export;
pub mod folder;
pub mod period;
pub mod reconcile;
pub mod segment;
pub mod spans;
pub mod store;

pub use book::{Book, Sum, Taken};
pub use clerk::{Clerk, Recovery};
pub use entry::{Entry, Id, What};
pub use period::Periods;
pub use segment::{scan, Ending, Scan, Writer};
pub use spans::Span;
pub use store::{Store, StoreError};

/// A time in microseconds since 1970 (UTC).
pub type Micros = u64;
