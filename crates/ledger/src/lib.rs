//! The billing ledger. Its state machines do no I/O and read no clock; its store writes through the runtime's file
//! trait.
//!
//! Entries are never edited: usage is recorded by an entry, and a correction is another entry. All copies of an entry
//! have the same [`EntryId`], so that a union of copies counts each entry once.
//!
//! - [`entry`]: the entry types and their protobuf encoding
//! - [`period`]: billing periods
//! - [`segment`]: the file format of the log: hash-chained records, which tell a torn end from a changed record
//! - [`store`]: segments and snapshots on a disk, with group commit, recovery and compaction
//! - [`usage_totals`]: usage by account, plan and period, from entries in any order and any number of copies
//! - [`recorder`]: writes the entries of an ingress and asks nodes about requests whose outcome the ingress did not see
//! - [`reconcile`]: fetches entries that other ingresses have and this one lacks
//! - [`export`]: decides which ingress sends which batch to the consumer, so that usage is exported exactly once
//! - [`directory_sink`]: a directory of files as the consumer of exports
//! - [`sequence_ranges`]: sets of sequence numbers
//! - [`damage`]: kinds of damage to stored files

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
