//! Segments on a disk: `NUMBER.seg` in a folder, each going on where the one before ends.
//!
//! A group of entries is written and synced as one; it is acknowledged when [`Store::commit`] returns well, and from
//! then on no crash loses it. After a failed write or sync nothing is known of what reached the disk: the store is
//! stopped for good, and only opening it anew, which reads what is there, tells.
//!
//! `NUMBER.snap` stands for all segments up to that number: what the book made of them, and where the chain was. It is
//! put in place whole and synced before any of them is removed; what a crash left of them is passed over and removed.

use crate::book::Book;
use crate::entry::{Entry, EntryError, Id};
use crate::period::Periods;
use crate::segment::{self, scan, Ending, Scan, Writer, BEGINNING};
use crate::spans::Span;
use chalkgap_runtime::{Append, Shared};
use futures_lite::future;
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

    fn forget(&mut self, until: u64) {
        self.0.values_mut().for_each(|runs| runs.retain(|r| r.1 > until));
        self.0.retain(|_, runs| !runs.is_empty());
    }

    /// What the segments hold, by ingress and incarnation.
    pub fn spans(&self) -> impl Iterator<Item = ((u16, u64), Vec<Span>)> + '_ {
        self.0.iter().map(|(life, runs)| {
            let mut spans = Vec::new();
            runs.iter().for_each(|r| crate::spans::add_span(&mut spans, r.0));
            (*life, spans)
        })
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

/// What stands for the first segments of a folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The last of them.
    pub number: u64,
    /// Where the chain was after it.
    pub chain: [u8; 16],
    /// What the book made of them.
    pub book: Vec<u8>,
}

const SNAP_MAGIC: &[u8; 8] = b"chalksnp";
const SNAP_VERSION: u8 = 1;
const SNAP_HEAD: usize = 8 + 1 + 8 + 16;
const HASH: usize = 32;

impl Snapshot {
    fn encode(&self) -> Vec<u8> {
        let mut out = SNAP_MAGIC.to_vec();
        out.push(SNAP_VERSION);
        out.extend_from_slice(&self.number.to_be_bytes());
        out.extend_from_slice(&self.chain);
        out.extend_from_slice(&self.book);
        let hash = blake3::hash(&out);
        out.extend_from_slice(hash.as_bytes());
        out
    }

    fn decode(bytes: &[u8]) -> Result<Snapshot, String> {
        if bytes.len() < SNAP_HEAD + HASH || bytes[..8] != SNAP_MAGIC[..] {
            return Err("expected a snapshot of a ledger".into());
        }
        if bytes[8] != SNAP_VERSION {
            return Err(format!("version {}, expected {SNAP_VERSION}", bytes[8]));
        }
        let (body, hash) = bytes.split_at(bytes.len() - HASH);
        if blake3::hash(body).as_bytes()[..] != *hash {
            return Err("its hash does not fit: it was changed".into());
        }
        let (mut number, mut chain) = ([0; 8], [0; 16]);
        number.copy_from_slice(&body[9..17]);
        chain.copy_from_slice(&body[17..SNAP_HEAD]);
        Ok(Snapshot { number: u64::from_be_bytes(number), chain, book: body[SNAP_HEAD..].to_vec() })
    }
}

/// The snapshot of a folder, if there is one.
///
/// # Errors
/// The disk's, or damage.
pub async fn snapshot(runtime: &Shared, folder: &Path) -> Result<Option<Snapshot>, StoreError> {
    let names = runtime.files().names(folder).await.map_err(failed(folder))?;
    let Some(name) = names.iter().rfind(|n| n.ends_with(".snap")) else { return Ok(None) };
    let path = folder.join(name);
    let bytes = runtime.files().read(&path, MOST_FILE).await.map_err(failed(&path))?;
    Snapshot::decode(&bytes).map(Some).map_err(|what| StoreError::Damaged { path, at: 0, what })
}

fn failed(path: &Path) -> impl FnOnce(io::Error) -> StoreError {
    let path = path.to_owned();
    move |error| StoreError::Io { path, error }
}

/// The segments that no snapshot stands for.
async fn segments(runtime: &Shared, folder: &Path, after: u64) -> Result<Vec<PathBuf>, StoreError> {
    let names = runtime.files().names(folder).await.map_err(failed(folder))?;
    let last = format!("{after:016}.seg");
    Ok(names.iter().filter(|n| n.ends_with(".seg") && **n > last).map(|n| folder.join(n)).collect())
}

/// Reads all segments of a folder in order, those that a snapshot stands for aside, one at a time: each scan with its file
/// and whether it is the last one. Nothing is changed.
///
/// # Errors
/// The disk's. Damage is in the scans.
pub async fn read(
    runtime: &Shared,
    folder: &Path,
    mut each: impl FnMut(&Path, Scan, bool),
) -> Result<(), StoreError> {
    let snapshot = snapshot(runtime, folder).await?;
    read_after(runtime, folder, snapshot.as_ref(), &mut each).await
}

async fn read_after(
    runtime: &Shared,
    folder: &Path,
    snapshot: Option<&Snapshot>,
    mut each: impl FnMut(&Path, Scan, bool),
) -> Result<(), StoreError> {
    let (mut chain, after) = snapshot.map_or((BEGINNING, 0), |s| (s.chain, s.number));
    let paths = segments(runtime, folder, after).await?;
    for (n, path) in paths.iter().enumerate() {
        let bytes = runtime.files().read(path, MOST_FILE).await.map_err(failed(path))?;
        let scan = scan(&bytes, Some(chain));
        chain = scan.chain;
        each(path, scan, n + 1 == paths.len());
    }
    Ok(())
}

/// Entries that are read without a pause.
const CALM: usize = 256;

/// Reads a segment with pauses: others run on the same thread.
async fn calmly(bytes: &[u8], chain: Option<[u8; 16]>) -> Scan {
    let mut scan = segment::head(bytes, chain);
    while segment::some(&mut scan, bytes, CALM) {
        future::yield_now().await;
    }
    scan
}

/// The entries of one segment, whatever was before it; of one that is being written to, the whole ones.
///
/// # Errors
/// The disk's, or damage.
pub async fn segment(runtime: &Shared, folder: &Path, number: u64) -> Result<Vec<Entry>, StoreError> {
    let path = path(folder, number);
    let bytes = runtime.files().read(&path, MOST_FILE).await.map_err(failed(&path))?;
    let scan = calmly(&bytes, None).await;
    match scan.ending {
        Ending::Damaged { at, what } => Err(StoreError::Damaged { path, at, what }),
        Ending::Whole | Ending::Torn => Ok(scan.entries),
    }
}

impl Store {
    /// Opens a folder and hands over every entry that was ever acknowledged, in order, but for those that its
    /// [`snapshot`] stands for; a torn end is cut. One segment at a time is in memory.
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
        let snapshot = snapshot(&runtime, folder).await?;
        let (after, chain) = snapshot.as_ref().map_or((0, BEGINNING), |s| (s.number, s.chain));
        let mut expected = after;
        read_after(&runtime, folder, snapshot.as_ref(), |file, scan, is_last| {
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
        let (number, good, chain) = last.unwrap_or((after + 1, 0, chain));
        let file = path(folder, number);
        let opened = runtime.files().append(&file, good).await;
        let opened = opened.map_err(failed(&file))?;
        let writer = if good == 0 { Writer::new(number, chain) } else { Writer::resume(chain) };
        let folder = folder.to_owned();
        let (length, stopped, index) = (good, None, Arc::new(Mutex::new(index)));
        Ok(Store { index, runtime, folder, most, number, length, writer, file: opened, _lock: lock, stopped })
    }

    /// The segment that is written to: those before it are whole.
    pub fn current(&self) -> u64 {
        self.number
    }

    /// Puts a snapshot in the place of segments that are whole, and removes them.
    ///
    /// # Errors
    /// The disk's: nothing is lost by it, and the log goes on.
    pub async fn compact(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        let name = |n: u64| self.folder.join(format!("{n:016}.snap"));
        let path = name(snapshot.number);
        let files = self.runtime.files();
        files.replace(&path, snapshot.encode()).await.map_err(failed(&path))?;
        {
            let mut index = self.index.lock().unwrap_or_else(PoisonError::into_inner);
            index.forget(snapshot.number);
        }
        let names = files.names(&self.folder).await.map_err(failed(&self.folder))?;
        let (seg, snap) = (format!("{:016}.seg", snapshot.number), format!("{:016}.snap", snapshot.number));
        let old = |n: &&String| (n.ends_with(".seg") && **n <= seg) || (n.ends_with(".snap") && **n < snap);
        for name in names.iter().filter(old) {
            let path = self.folder.join(name);
            files.remove(&path).await.map_err(failed(&path))?;
        }
        Ok(())
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

/// The last segment, up to `until`, before which and in which all was written before a period began.
///
/// # Errors
/// The disk's, or damage.
pub async fn older(
    runtime: &Shared,
    folder: &Path,
    until: u64,
    periods: Periods,
    keep: u64,
) -> Result<Option<u64>, StoreError> {
    let after = snapshot(runtime, folder).await?.map_or(0, |s| s.number);
    let mut found = None;
    for number in after + 1..=until {
        let old = segment(runtime, folder, number).await?.iter().all(|e| periods.of(e.at) < keep);
        if !old {
            break;
        }
        found = Some(number);
    }
    Ok(found)
}

/// What stands for the segments up to one: the book that those before and they make, with the single requests of periods
/// before `keep` put away. None where something of them is still needed as it is.
///
/// # Errors
/// The disk's, or damage.
pub async fn condense(
    runtime: &Shared,
    folder: &Path,
    periods: Periods,
    until: u64,
    keep: u64,
) -> Result<Option<Snapshot>, StoreError> {
    let old = snapshot(runtime, folder).await?;
    let (mut chain, after) = old.as_ref().map_or((BEGINNING, 0), |s| (s.chain, s.number));
    let mut book = match &old {
        Some(s) => Book::restore(periods, &s.book)?,
        None => Book::new(periods),
    };
    for number in after + 1..=until {
        let path = path(folder, number);
        let bytes = runtime.files().read(&path, MOST_FILE).await.map_err(failed(&path))?;
        let scan = calmly(&bytes, Some(chain)).await;
        if scan.ending != Ending::Whole {
            let what = "expected a whole segment".into();
            return Err(StoreError::Damaged { path, at: scan.good, what });
        }
        chain = scan.chain;
        for part in scan.entries.chunks(CALM) {
            part.iter().for_each(|e| {
                book.take(e);
            });
            future::yield_now().await;
        }
        // As it goes, not to hold more than is needed.
        book.trim(keep);
    }
    Ok(book.snapshot().map(|book| Snapshot { number: until, chain, book }))
}

/// The incarnation of a new start: a time later than that of any start that is in the log. An ingress that was restored
/// from an old copy of its disk has a later start than any that wrote it; where its clock was set back, it takes the
/// time after the latest.
pub fn incarnation(latest: u64, now: u64) -> u64 {
    now.max(latest.saturating_add(1))
}
