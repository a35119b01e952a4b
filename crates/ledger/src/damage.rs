//! What can be wrong with a segment or a snapshot that no crash explains.

use crate::entry::EntryError;
use crate::segment::MAX_ENTRY_BYTES;

/// Why a file of the ledger cannot be trusted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// The file does not begin as a segment does.
    #[error("expected a segment of a ledger")]
    NotASegment,
    /// The file does not begin as a snapshot does, or is too short for one.
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
    /// The segment's header does not continue the chain of the segment before it.
    #[error("it does not go on where the segment before it ends")]
    DetachedSegment,
    /// A record's length is out of range.
    #[error("an entry of {0} bytes, at most {MAX_ENTRY_BYTES}")]
    EntryTooLong(usize),
    /// A record's chain value does not match.
    #[error("the record does not fit the one before it: changed, moved, or one is missing")]
    BrokenChain,
    /// A record's payload is not an entry.
    #[error(transparent)]
    Entry(#[from] EntryError),
    /// A segment ends inside a record although later segments exist.
    #[error("torn, but others follow it")]
    TornBeforeOthers,
    /// A segment is missing, or its number is not that of its file.
    #[error("expected segment {0}")]
    UnexpectedSegment(u64),
    /// A segment that is to be compacted ends inside a record.
    #[error("expected a whole segment")]
    Incomplete,
    /// The snapshot's hash does not match its content.
    #[error("its hash does not fit: it was changed")]
    SnapshotChanged,
}
