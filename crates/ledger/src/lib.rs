//! The billing ledger. Its logic is free of I/O and clock; its store writes through the runtime's file trait.
//!
//! Entries are never edited: use is an entry, a correction is another one. All copies of an entry share its [`EntryId`],
//! so that a union of copies counts each entry once.
//!
//! - [`entry`]: what entries record, and how they are encoded
//! - [`period`]: how time is cut into billing periods
//! - [`segment`]: the format of the log: chained records, so that a torn end differs from a change in the middle
//! - [`store`]: segments and snapshots on a disk, with group commit, recovery and compaction
//! - [`usage_totals`]: adds entries up, in any order and any number of copies
//! - [`recorder`]: what an ingress records of its requests, and which nodes it asks about those whose end it did not see
//! - [`reconcile`]: how an ingress gets entries that others have
//! - [`export`]: what is exported, by whom, exactly once
//! - [`directory_sink`]: a directory of files as the consumer of exports
//! - [`sequence_ranges`]: sets of sequence numbers
//! - [`damage`]: what can be wrong with a stored file

pub mod damage;
pub mod directory_sink;
pub mod entry;
pub mod export;
pub mod period;
pub mod reconcile;
pub mod recorder;
pub mod segment;
pub mod sequence_ranges;
pub mod store;
pub mod usage_totals;

pub use entry::{Entry, EntryBody, EntryId, IncarnationId};
pub use period::Periods;
pub use recorder::{Recorder, Recovery};
pub use segment::{scan, Scan, SegmentEnd, SegmentWriter};
pub use sequence_ranges::{SequenceRange, SequenceRanges};
pub use store::{Store, StoreError};
pub use usage_totals::{AddOutcome, Sum, UsageTotals};

/// A time in microseconds since 1970 (UTC).
pub type Micros = u64;
