//! Kinds of damage to a segment or a snapshot that a crash does not cause.

use crate::entry::EntryError;
use crate::segment::MAX_ENTRY_BYTES;

/// Why a file of the ledger is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// The file does not begin with the magic bytes of a segment.
    #[error("expected a segment of a ledger")]
    NotASegment,
    /// The file does not begin with the magic bytes of a snapshot, or is too short for one.
    #[error("expected a snapshot of a ledger")]
    NotASnapshot,
    /// The file was written by another version of the format.
    #[error("version {found}, expected {expected}")]
    Version {
        /// The version in the file.
        found: u8,
        /// The version that this code reads.
        expected: u8,
    },
    /// The chain value in the segment's header is not that at the end of the segment before it.
    #[error("the segment does not continue the chain of the segment before it")]
    DetachedSegment,
    /// A record is longer than [`MAX_ENTRY_BYTES`].
    #[error("the entry has {0} bytes, expected at most {MAX_ENTRY_BYTES}")]
    EntryTooLong(usize),
    /// A record's chain value is not the hash of its payload and the chain value before it.
    #[error(
        "the record's chain value does not match: it was changed or moved, or a record before it is missing"
    )]
    BrokenChain,
    /// A record's payload is not a valid entry.
    #[error(transparent)]
    Entry(#[from] EntryError),
    /// A segment ends inside a record or its header although later segments exist.
    #[error("the segment is torn, but later segments exist")]
    TornEarlierSegment,
    /// A segment is missing, or its number is not that of its file.
    #[error("expected segment number {0}")]
    UnexpectedSegment(u64),
    /// A segment that is to be compacted is torn or damaged.
    #[error("the segment to compact is torn or damaged")]
    Incomplete,
    /// The snapshot's hash does not match its content.
    #[error("the snapshot's hash does not match its content")]
    SnapshotChanged,
}
