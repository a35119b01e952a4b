//! Segments on a disk: `NUMBER.seg` in a folder, each going on where the one before ends.
//!
//! A group of entries is written and synced as one; it is acknowledged when [`Store::commit`] returns well, and from
//! then on no crash loses it. After a failed write or sync nothing is known of what reached the disk: the store is
//! stopped for good, and only opening it anew, which reads what is there, tells.

use crate::entry::{Entry, EntryError, Id};
use crate::segment::{scan, Ending, Scan, Writer, BEGINNING};
use chalkgap_runtime::{Append, Shared};
use std::io;
use std::path::{Path, PathBuf};

/// Why a store does not open, or takes nothing more.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk's word.
    #[error("{path}: {error}")]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The system's word.
        error: io::Error,
    },
    /// A segment has changed, or one is missing: not what a crash does.
    #[error("{path}: byte {at}: {what}")]
    Damaged {
        /// The segment.
        path: PathBuf,
        /// The first bad byte.
        at: usize,
        /// What was found and expected.
        what: String,
    },
    /// An entry cannot be written.
    #[error(transparent)]
    Entry(#[from] EntryError),
    /// A write or sync has failed before.
    #[error("stopped by an earlier failure: {0}")]
    Stopped(String),
}

/// Bytes of a segment, about.
pub const SEGMENT: u64 = 8 << 20;
/// A segment is begun anew past [`SEGMENT`]: one group may pass it by as much as a group has.
const MOST_FILE: u64 = 1 << 30;

/// A log that is open for writing.
pub struct Store {
    runtime: Shared,
    folder: PathBuf,
    most: u64,
    number: u64,
    length: u64,
    writer: Writer,
    file: Box<dyn Append>,
    stopped: Option<String>,
}

fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{number:016}.seg"))
}

/// Reads all segments of a folder in order; each scan with its file. Nothing is changed.
///
/// # Errors
/// The disk's. Damage is in the scans.
pub async fn read(runtime: &Shared, folder: &Path) -> Result<Vec<(PathBuf, Scan)>, StoreError> {
    let io = |path: &Path| {
        let path = path.to_owned();
        move |error| StoreError::Io { path, error }
    };
    let names = runtime.files().names(folder).await.map_err(io(folder))?;
    let (mut list, mut chain) = (Vec::new(), BEGINNING);
    for name in names.iter().filter(|n| n.ends_with(".seg")) {
        let path = folder.join(name);
        let bytes = runtime.files().read(&path, MOST_FILE).await.map_err(io(&path))?;
        let scan = scan(&bytes, Some(chain));
        chain = scan.chain;
        list.push((path, scan));
    }
    Ok(list)
}

impl Store {
    /// Opens a folder: every entry that was ever acknowledged, in order, and the store to go on with. A torn end is cut.
    ///
    /// # Errors
    /// See [`StoreError`]; a damaged ledger is not written to.
    pub async fn open(runtime: Shared, folder: &Path, most: u64) -> Result<(Store, Vec<Entry>), StoreError> {
        let mut scans = read(&runtime, folder).await?;
        let mut entries = Vec::new();
        let count = scans.len();
        let mut last = None;
        for (n, (file, scan)) in scans.drain(..).enumerate() {
            let damaged = |at: usize, what: String| StoreError::Damaged { path: file.clone(), at, what };
            match scan.ending {
                Ending::Whole => {}
                // Only the last one can have been written to when a crash came.
                Ending::Torn if n + 1 == count => {}
                Ending::Torn => return Err(damaged(scan.good, "torn, but others follow it".into())),
                Ending::Damaged { at, what } => return Err(damaged(at, what)),
            }
            let expected = n as u64 + 1;
            if scan.number.is_some_and(|n| n != expected) || file != path(folder, expected) {
                return Err(damaged(9, format!("expected segment {expected}")));
            }
            entries.extend(scan.entries);
            last = Some((expected, scan.good as u64, scan.chain));
        }
        // A segment whose very head is torn holds nothing: it is begun anew.
        let (number, good, chain) = last.unwrap_or((1, 0, BEGINNING));
        let file = path(folder, number);
        let opened = runtime.files().append(&file, good).await;
        let opened = opened.map_err(|error| StoreError::Io { path: file, error })?;
        let writer = if good == 0 { Writer::new(number, chain) } else { Writer::resume(chain) };
        let folder = folder.to_owned();
        let store =
            Store { runtime, folder, most, number, length: good, writer, file: opened, stopped: None };
        Ok((store, entries))
    }

    /// Writes a group of entries and syncs it: acknowledged when this returns well.
    ///
    /// # Errors
    /// See [`StoreError`]. After one of the disk's the store takes nothing more.
    pub async fn commit(&mut self, group: &[Entry]) -> Result<(), StoreError> {
        if let Some(why) = &self.stopped {
            return Err(StoreError::Stopped(why.clone()));
        }
        // All or none: an entry that cannot be written is found before any byte is.
        for e in group {
            if e.encode().len() > crate::segment::MOST_ENTRY {
                return Err(
                    EntryError::Value("length", e.encode().len() as u64, "at most 65,536 bytes").into()
                );
            }
        }
        let done = self.write(group).await;
        if let Err(e) = &done {
            self.stopped = Some(e.to_string());
        }
        done
    }

    async fn write(&mut self, group: &[Entry]) -> Result<(), StoreError> {
        if self.length >= self.most {
            self.number += 1;
            let path = path(&self.folder, self.number);
            let opened = self.runtime.files().append(&path, 0).await;
            self.file = opened.map_err(|error| StoreError::Io { path, error })?;
            self.writer = Writer::new(self.number, self.writer.chain());
            self.length = 0;
        }
        for e in group {
            self.writer.append(e)?;
        }
        let bytes = self.writer.take();
        let io = |error| StoreError::Io { path: path(&self.folder, self.number), error };
        self.length += bytes.len() as u64;
        self.file.append(bytes).await.map_err(io)?;
        self.file.sync().await.map_err(io)
    }
}

/// The numbers that an ingress may use in a new incarnation: from 1, as incarnations are never used twice. An ingress
/// that was restored from an old copy of its disk has a later start than any that wrote it; where its clock was set
/// back, it takes the time after the latest that is in the log.
pub fn incarnation(entries: &[Entry], ingress: u16, now: u64) -> u64 {
    let mine = entries.iter().filter(|e| e.id.ingress == ingress).map(|e: &Entry| {
        let Id { incarnation, .. } = e.id;
        incarnation
    });
    now.max(mine.max().map_or(0, |last| last + 1))
}
