//! The log on a disk: segments `NUMBER.seg` in a directory, each continuing the chain of the one before.
//!
//! A group of entries is written and synced as one; it is acknowledged when [`Store::commit`] returns `Ok`, and from
//! then on no crash loses it. After a failed write or sync nothing is known of what reached the disk: the store is
//! stopped for good, and only opening it anew, which reads what is there, can tell.
//!
//! `NUMBER.snap` replaces all segments up to that number: it holds their usage totals and the chain value after them. It
//! is put in place atomically and synced before any of them is removed; segments that a crash left are skipped and
//! removed by the next compaction.

mod compaction;
mod index;
mod reader;
mod snapshot_file;

pub use compaction::{build_snapshot, last_segment_before};
pub use index::SegmentIndex;
pub use reader::{read_segment, read_segments, segment_path, ScannedSegment};
pub use snapshot_file::{read_snapshot, Snapshot};

use crate::damage::Damage;
use crate::entry::{Entry, EntryError};
use crate::segment::{self, ChainValue, SegmentEnd, SegmentWriter, INITIAL_CHAIN};
use chalkgap_runtime::{Append, Shared};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};

/// Why a store does not open, or accepts nothing more.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk reports an error.
    #[error("{path}: {error}")]
    Io {
        /// The file or directory.
        path: PathBuf,
        /// The system's error.
        error: io::Error,
    },
    /// A segment or snapshot was changed, or one is missing: not what a crash does.
    #[error("{path}: byte {at}: {what}")]
    Damaged {
        /// The file.
        path: PathBuf,
        /// The first bad byte.
        at: usize,
        /// What is wrong.
        what: Damage,
    },
    /// An entry cannot be written or read.
    #[error(transparent)]
    Entry(#[from] EntryError),
    /// A write or sync has failed before, with this message.
    #[error("stopped by an earlier failure: {0}")]
    Stopped(String),
}

/// After how many bytes a new segment is begun.
pub const SEGMENT_BYTES: u64 = 8 << 20;
/// The longest file that is read. A segment exceeds [`SEGMENT_BYTES`] by up to one group of entries.
const MAX_FILE_BYTES: u64 = 1 << 30;
/// The file that a store holds open, to keep other processes from writing to the directory.
const LOCK_FILE: &str = "lock";

fn failed_at(path: &Path) -> impl FnOnce(io::Error) -> StoreError {
    let path = path.to_owned();
    move |error| StoreError::Io { path, error }
}

/// A log that is open for writing.
pub struct Store {
    index: Arc<Mutex<SegmentIndex>>,
    runtime: Shared,
    directory: PathBuf,
    max_segment_bytes: u64,
    segment_number: u64,
    segment_bytes: u64,
    writer: SegmentWriter,
    file: Box<dyn Append>,
    /// Held as long as the store is open: two writers would break the chain.
    _lock: Box<dyn Append>,
    /// The message of the failure that has stopped the store.
    stopped: Option<String>,
}

/// Where the log continues after its last segment was read.
#[derive(Clone, Copy)]
struct Tail {
    segment: u64,
    valid_bytes: u64,
    chain: ChainValue,
}

/// Checks segments in order while a store is opened.
struct SegmentCheck<'a> {
    directory: &'a Path,
    index: SegmentIndex,
    tail: Tail,
}

impl SegmentCheck<'_> {
    /// Checks the next segment; its entries go to `each`.
    fn add(&mut self, segment: ScannedSegment<'_>, each: &mut impl FnMut(Entry)) -> Result<(), StoreError> {
        let ScannedSegment { path, scan, is_last } = segment;
        let expected = self.tail.segment + 1;
        let damaged = |at: usize, what: Damage| StoreError::Damaged { path: path.to_owned(), at, what };
        match scan.end {
            SegmentEnd::Complete => {}
            // Only the last one can have been written to when a crash came.
            SegmentEnd::Torn if is_last => {}
            SegmentEnd::Torn => return Err(damaged(scan.valid_bytes, Damage::TornBeforeOthers)),
            SegmentEnd::Damaged { at, what } => return Err(damaged(at, what)),
        }
        let other_number = scan.number.is_some_and(|number| number != expected);
        if other_number || path != segment_path(self.directory, expected) {
            return Err(damaged(segment::NUMBER_OFFSET, Damage::UnexpectedSegment(expected)));
        }
        self.tail = Tail { segment: expected, valid_bytes: scan.valid_bytes as u64, chain: scan.chain };
        for entry in scan.entries {
            self.index.add(entry.id, expected);
            each(entry);
        }
        Ok(())
    }
}

impl Store {
    /// Opens a directory and passes every entry that was ever acknowledged to `each`, in order, except those that its
    /// snapshot replaces (see [`read_snapshot`]); a torn end is cut off. One segment at a time is in memory.
    /// After `max_segment_bytes` a new segment is begun.
    ///
    /// # Errors
    /// See [`StoreError`]; a damaged log is not written to.
    pub async fn open(
        runtime: Shared,
        directory: &Path,
        max_segment_bytes: u64,
        mut each: impl FnMut(Entry),
    ) -> Result<Store, StoreError> {
        // Creates the directory where there is none.
        runtime.files().names(directory).await.map_err(failed_at(directory))?;
        let lock = directory.join(LOCK_FILE);
        let lock = runtime.files().append(&lock, 0).await.map_err(failed_at(&lock))?;
        let snapshot = read_snapshot(&runtime, directory).await?;
        let replaced = snapshot.as_ref().map_or(0, |snapshot| snapshot.number);
        let chain = snapshot.as_ref().map_or(INITIAL_CHAIN, |snapshot| snapshot.chain);
        let tail = Tail { segment: replaced, valid_bytes: 0, chain };
        let mut check = SegmentCheck { directory, index: SegmentIndex::default(), tail };
        let mut checked = Ok(());
        let read = reader::read_segments_after(&runtime, directory, snapshot.as_ref(), |segment| {
            if checked.is_ok() {
                checked = check.add(segment, &mut each);
            }
        });
        read.await?;
        checked?;
        let SegmentCheck { index, mut tail, .. } = check;
        if tail.segment == replaced {
            tail.segment = replaced + 1;
        }
        let path = segment_path(directory, tail.segment);
        let file = runtime.files().append(&path, tail.valid_bytes).await.map_err(failed_at(&path))?;
        // A segment whose header is torn holds nothing: it is begun anew.
        let writer = match tail.valid_bytes {
            0 => SegmentWriter::new(tail.segment, tail.chain),
            _ => SegmentWriter::resume(tail.chain),
        };
        Ok(Store {
            index: Arc::new(Mutex::new(index)),
            runtime,
            directory: directory.to_owned(),
            max_segment_bytes,
            segment_number: tail.segment,
            segment_bytes: tail.valid_bytes,
            writer,
            file,
            _lock: lock,
            stopped: None,
        })
    }

    /// The number of the segment that is written to; those before it are complete.
    pub fn current_segment(&self) -> u64 {
        self.segment_number
    }

    /// Puts a snapshot in the place of complete segments, and removes these and older snapshots.
    ///
    /// # Errors
    /// [`StoreError::Io`]: nothing is lost by it, and the store stays usable.
    pub async fn compact(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        let path = snapshot_file::path(&self.directory, snapshot.number);
        let files = self.runtime.files();
        files.replace(&path, snapshot.encode()).await.map_err(failed_at(&path))?;
        {
            let mut index = self.index.lock().unwrap_or_else(PoisonError::into_inner);
            index.remove_up_to(snapshot.number);
        }
        let names = files.names(&self.directory).await.map_err(failed_at(&self.directory))?;
        let last_segment = reader::file_name(snapshot.number);
        let new_snapshot = snapshot_file::file_name(snapshot.number);
        for name in names {
            let replaced_segment = reader::is_segment(&name) && name <= last_segment;
            let older_snapshot = name.ends_with(snapshot_file::EXTENSION) && name < new_snapshot;
            if replaced_segment || older_snapshot {
                let path = self.directory.join(name);
                files.remove(&path).await.map_err(failed_at(&path))?;
            }
        }
        Ok(())
    }

    /// Which segment holds which entries.
    pub fn index(&self) -> Arc<Mutex<SegmentIndex>> {
        self.index.clone()
    }

    /// Writes a group of entries and syncs it: acknowledged when this returns `Ok`.
    ///
    /// # Errors
    /// See [`StoreError`]. An entry that is too long leaves the store usable; after any other error it accepts nothing
    /// more.
    pub async fn commit(&mut self, group: &[Entry]) -> Result<(), StoreError> {
        if let Some(failure) = &self.stopped {
            return Err(StoreError::Stopped(failure.clone()));
        }
        // All or none: an entry that cannot be written is found before any byte is.
        for entry in group {
            segment::check_length(&entry.encode())?;
        }
        let written = self.write(group).await;
        if let Err(error) = &written {
            self.stopped = Some(error.to_string());
        }
        written
    }

    async fn write(&mut self, group: &[Entry]) -> Result<(), StoreError> {
        if self.segment_bytes >= self.max_segment_bytes {
            self.begin_segment().await?;
        }
        for entry in group {
            self.writer.append(entry)?;
        }
        let bytes = self.writer.take_bytes();
        self.segment_bytes += bytes.len() as u64;
        let path = segment_path(&self.directory, self.segment_number);
        self.file.commit(bytes).await.map_err(failed_at(&path))?;
        let mut index = self.index.lock().unwrap_or_else(PoisonError::into_inner);
        group.iter().for_each(|entry| index.add(entry.id, self.segment_number));
        Ok(())
    }

    async fn begin_segment(&mut self) -> Result<(), StoreError> {
        self.segment_number += 1;
        let path = segment_path(&self.directory, self.segment_number);
        self.file = self.runtime.files().append(&path, 0).await.map_err(failed_at(&path))?;
        self.writer = SegmentWriter::new(self.segment_number, self.writer.chain());
        self.segment_bytes = 0;
        Ok(())
    }
}

/// The incarnation of a new start: later than any that is in the log. Usually the present time; the time after the latest
/// incarnation where the clock was set back. So an ingress that was restored from an old copy of its disk never uses an
/// id again for another entry.
pub fn next_incarnation(latest: u64, now: u64) -> u64 {
    now.max(latest.saturating_add(1))
}
