//! Segments on a disk: `NUMBER.seg` in a folder, each going on where the one before ends.
//!
//! A group of entries is written and synced as one; it is acknowledged when [`Store::commit`] returns well, and from
//! then on no crash loses it. After a failed write or sync nothing is known of what reached the disk: the store is
//! stopped for good, and only opening it anew, which reads what is there, tells.

use crate::entry::{Entry, EntryError, Id};
use crate::segment::{scan, Ending, Scan, Writer, BEGINNING};
use crate::spans::Span;
use chalkgap_runtime::{Append, Shared};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};

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

/// Which segment holds which entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Index(BTreeMap<(u16, u64), Vec<(Span, u64)>>);

impl Index {
    fn note(&mut self, id: Id, segment: u64) {
        let runs = self.0.entry((id.ingress, id.incarnation)).or_default();
        match runs.last_mut() {
            Some(((_, to), s)) if *s == segment && *to + 1 == id.number => *to = id.number,
            _ => runs.push(((id.number, id.number), segment)),
        }
    }

    /// The segments that hold any numbers of a span of an incarnation, each once, in order.
    pub fn segments(&self, ingress: u16, incarnation: u64, (from, to): Span) -> Vec<u64> {
        let runs = self.0.get(&(ingress, incarnation)).map(Vec::as_slice).unwrap_or_default();
        let hit = runs.iter().filter(|(r, _)| r.0 <= to && r.1 >= from);
        let mut list: Vec<u64> = hit.map(|r| r.1).collect();
        list.sort_unstable();
        list.dedup();
        list
    }
}

/// A log that is open for writing.
pub struct Store {
    index: Arc<Mutex<Index>>,
    runtime: Shared,
    folder: PathBuf,
    most: u64,
    number: u64,
    length: u64,
    writer: Writer,
    file: Box<dyn Append>,
    /// Held as long as the store is: two that write would break the chain.
    _lock: Box<dyn Append>,
    stopped: Option<String>,
}

/// The file of a segment.
pub fn path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{number:016}.seg"))
}

fn failed(path: &Path) -> impl FnOnce(io::Error) -> StoreError {
    let path = path.to_owned();
    move |error| StoreError::Io { path, error }
}

async fn segments(runtime: &Shared, folder: &Path) -> Result<Vec<PathBuf>, StoreError> {
    let names = runtime.files().names(folder).await.map_err(failed(folder))?;
    Ok(names.iter().filter(|n| n.ends_with(".seg")).map(|n| folder.join(n)).collect())
}

/// Reads all segments of a folder in order, one at a time, each scan with its file and whether it is the last one.
/// Nothing is changed.
///
/// # Errors
/// The disk's. Damage is in the scans.
pub async fn read(
    runtime: &Shared,
    folder: &Path,
    mut each: impl FnMut(&Path, Scan, bool),
) -> Result<(), StoreError> {
    let (mut chain, paths) = (BEGINNING, segments(runtime, folder).await?);
    for (n, path) in paths.iter().enumerate() {
        let bytes = runtime.files().read(path, MOST_FILE).await.map_err(failed(path))?;
        let scan = scan(&bytes, Some(chain));
        chain = scan.chain;
        each(path, scan, n + 1 == paths.len());
    }
    Ok(())
}

/// The entries of one segment, whatever was before it; of one that is being written to, the whole ones.
///
/// # Errors
/// The disk's, or damage.
pub async fn segment(runtime: &Shared, folder: &Path, number: u64) -> Result<Vec<Entry>, StoreError> {
    let path = path(folder, number);
    let bytes = runtime.files().read(&path, MOST_FILE).await.map_err(failed(&path))?;
    let scan = scan(&bytes, None);
    match scan.ending {
        Ending::Damaged { at, what } => Err(StoreError::Damaged { path, at, what }),
        Ending::Whole | Ending::Torn => Ok(scan.entries),
    }
}

impl Store {
    /// Opens a folder and hands over every entry that was ever acknowledged, in order; a torn end is cut. One segment at
    /// a time is in memory.
    ///
    /// # Errors
    /// See [`StoreError`]; a damaged ledger is not written to.
    pub async fn open(
        runtime: Shared,
        folder: &Path,
        most: u64,
        mut each: impl FnMut(Entry),
    ) -> Result<Store, StoreError> {
        runtime.files().names(folder).await.map_err(failed(folder))?; // made where there is none
        let lock = folder.join("lock");
        let lock = runtime.files().append(&lock, 0).await.map_err(failed(&lock))?;
        let (mut index, mut last, mut bad) = (Index::default(), None, None);
        let mut expected = 0;
        read(&runtime, folder, |file, scan, is_last| {
            if bad.is_some() {
                return;
            }
            expected += 1;
            let mut damaged = |at: usize, what: String| {
                bad = Some(StoreError::Damaged { path: file.to_owned(), at, what });
            };
            match scan.ending {
                Ending::Whole => {}
                // Only the last one can have been written to when a crash came.
                Ending::Torn if is_last => {}
                Ending::Torn => return damaged(scan.good, "torn, but others follow it".into()),
                Ending::Damaged { at, what } => return damaged(at, what),
            }
            if scan.number.is_some_and(|n| n != expected) || file != path(folder, expected) {
                return damaged(9, format!("expected segment {expected}"));
            }
            last = Some((expected, scan.good as u64, scan.chain));
            for entry in scan.entries {
                index.note(entry.id, expected);
                each(entry);
            }
        })
        .await?;
        if let Some(bad) = bad {
            return Err(bad);
        }
        // A segment whose very head is torn holds nothing: it is begun anew.
        let (number, good, chain) = last.unwrap_or((1, 0, BEGINNING));
        let file = path(folder, number);
        let opened = runtime.files().append(&file, good).await;
        let opened = opened.map_err(failed(&file))?;
        let writer = if good == 0 { Writer::new(number, chain) } else { Writer::resume(chain) };
        let folder = folder.to_owned();
        let (length, stopped, index) = (good, None, Arc::new(Mutex::new(index)));
        Ok(Store { index, runtime, folder, most, number, length, writer, file: opened, _lock: lock, stopped })
    }

    /// Which segment holds which entries.
    pub fn index(&self) -> Arc<Mutex<Index>> {
        self.index.clone()
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
        self.file.commit(bytes).await.map_err(io)?;
        let mut index = self.index.lock().unwrap_or_else(PoisonError::into_inner);
        group.iter().for_each(|e| index.note(e.id, self.number));
        Ok(())
    }
}

/// The incarnation of a new start: a time later than that of any start that is in the log. An ingress that was restored
/// from an old copy of its disk has a later start than any that wrote it; where its clock was set back, it takes the
/// time after the latest.
pub fn incarnation(latest: u64, now: u64) -> u64 {
    now.max(latest.saturating_add(1))
}
