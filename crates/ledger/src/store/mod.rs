//! The log on a disk: segments `NUMBER.seg` in a directory, each of which continues the chain of the previous one.
//!
//! A group of entries is written and synced together. It is acknowledged when [`Store::commit`] returns `Ok`; from then
//! on a crash does not lose it. After a failed write or sync it is unknown which bytes reached the disk: the store
//! accepts no more entries, and must be opened again, which reads the files.
//!
//! `NUMBER.snap` replaces all segments up to that number: it contains their usage totals and the chain value after
//! them. It is put in place atomically and synced before any of these segments is removed. Segments that remain because
//! of a crash are skipped, and removed by the next compaction.

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

/// Why a store cannot be opened, read or written to.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A file operation failed.
    #[error("{path}: {error}")]
    Io {
        /// The file or directory.
        path: PathBuf,
        /// The error of the operating system.
        error: io::Error,
    },
    /// A segment or snapshot was changed or is missing, which a crash does not cause.
    #[error("{path}: byte {at}: {what}")]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Offset of the damage in the file, in bytes; 0 for any damage to a snapshot.
        at: usize,
        /// The kind of damage.
        what: Damage,
    },
    /// An entry cannot be encoded or decoded.
    #[error(transparent)]
    Entry(#[from] EntryError),
    /// An earlier write or sync failed, with this message.
    #[error("stopped by an earlier failure: {0}")]
    Stopped(String),
}

/// Default number of bytes of a segment after which a new one is begun.
pub const SEGMENT_BYTES: u64 = 8 << 20;
/// Maximum number of bytes of a file that is read. A segment exceeds [`SEGMENT_BYTES`] by up to one group of entries.
const MAX_FILE_BYTES: u64 = 1 << 30;
/// Name of the file that a store locks, to keep other processes from writing to the directory.
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
    /// Locks the directory while the store is open, as a second writer would break the chain.
    _lock: Box<dyn Append>,
    /// The message of the failed write or sync, after which the store accepts no more entries.
    stopped: Option<String>,
}

/// The end of the log, where the store continues to write.
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
    /// Checks the next segment and passes its entries to `each`.
    fn add(&mut self, segment: ScannedSegment<'_>, each: &mut impl FnMut(Entry)) -> Result<(), StoreError> {
        let ScannedSegment { path, scan, is_last } = segment;
        let expected = self.tail.segment + 1;
        let damaged = |at: usize, what: Damage| StoreError::Damaged { path: path.to_owned(), at, what };
        match scan.end {
            SegmentEnd::Complete => {}
            // Only the last segment can have been written to at the time of a crash.
            SegmentEnd::Torn if is_last => {}
            SegmentEnd::Torn => return Err(damaged(scan.valid_bytes, Damage::TornEarlierSegment)),
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
    /// Opens the log in a directory, which is created if it does not exist. Passes all entries after the snapshot (see
    /// [`read_snapshot`]) to `each`, in order, among them every acknowledged one. A torn end is truncated. One segment
    /// at a time is in memory. A new segment is begun after `max_segment_bytes`.
    ///
    /// # Errors
    /// [`StoreError::Io`] if a file operation fails, also if another process has the directory locked;
    /// [`StoreError::Damaged`] if a snapshot or segment is damaged; no file is changed then.
    pub async fn open(
        runtime: Shared,
        directory: &Path,
        max_segment_bytes: u64,
        mut each: impl FnMut(Entry),
    ) -> Result<Store, StoreError> {
        // Creates the directory if it does not exist.
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
        // A segment whose header is torn has no entries: its header is written again.
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

    /// Returns the number of the segment that is written to. Earlier segments are complete.
    pub fn current_segment(&self) -> u64 {
        self.segment_number
    }

    /// Replaces complete segments by a snapshot, and removes these segments and older snapshots.
    ///
    /// # Errors
    /// [`StoreError::Io`]. No entry is lost, and the store stays usable.
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

    /// Returns the index of the segment that contains each entry.
    pub fn index(&self) -> Arc<Mutex<SegmentIndex>> {
        self.index.clone()
    }

    /// Writes and syncs a group of entries, which are acknowledged when this returns `Ok`.
    ///
    /// # Errors
    /// [`StoreError::Entry`] if an entry is too long; nothing is written, and the store stays usable.
    /// [`StoreError::Io`] if a write or sync fails; every later call then returns [`StoreError::Stopped`].
    pub async fn commit(&mut self, group: &[Entry]) -> Result<(), StoreError> {
        if let Some(failure) = &self.stopped {
            return Err(StoreError::Stopped(failure.clone()));
        }
        // All lengths are checked before a byte is written, so that a group is written as a whole or not at all.
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

/// Returns the incarnation of a new start: the present time, or the first time after the latest incarnation in the log
/// if the clock was set back. So an ingress that was restored from an old copy of its disk never uses an entry id
/// twice.
pub fn next_incarnation(latest: u64, now: u64) -> u64 {
    now.max(latest.saturating_add(1))
}
