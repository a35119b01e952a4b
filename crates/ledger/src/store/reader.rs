//! Reads segments without changing any file.

use super::snapshot_file::{read_snapshot, Snapshot};
use super::{failed_at, StoreError, MAX_FILE_BYTES};
use crate::entry::Entry;
use crate::segment::{scan, ChainValue, Scan, SegmentEnd, INITIAL_CHAIN};
use chalkgap_runtime::Shared;
use futures_lite::future;
use std::path::{Path, PathBuf};

const EXTENSION: &str = ".seg";

/// Number of entries that are processed between two yields to other tasks of the thread.
pub(super) const ENTRIES_BETWEEN_YIELDS: usize = 256;

/// A segment that [`read_segments`] has read.
pub struct ScannedSegment<'a> {
    /// Path of the segment's file.
    pub path: &'a Path,
    /// The entries of the segment, and how it ends.
    pub scan: Scan,
    /// Whether this is the last segment, which a crash may have torn.
    pub is_last: bool,
}

pub(super) fn is_segment(name: &str) -> bool {
    name.ends_with(EXTENSION)
}

pub(super) fn file_name(number: u64) -> String {
    format!("{number:016}{EXTENSION}")
}

/// Returns the path of a segment's file.
pub fn segment_path(directory: &Path, number: u64) -> PathBuf {
    directory.join(file_name(number))
}

/// Reads the segments after the snapshot, in order, and passes them to `each`. One segment at a time is in memory. No
/// file is changed.
///
/// # Errors
/// [`StoreError::Io`] if a file cannot be read; [`StoreError::Damaged`] for a damaged snapshot. Damage to a segment is
/// reported in its scan.
pub async fn read_segments(
    runtime: &Shared,
    directory: &Path,
    each: impl FnMut(ScannedSegment<'_>),
) -> Result<(), StoreError> {
    let snapshot = read_snapshot(runtime, directory).await?;
    read_segments_after(runtime, directory, snapshot.as_ref(), each).await
}

pub(super) async fn read_segments_after(
    runtime: &Shared,
    directory: &Path,
    snapshot: Option<&Snapshot>,
    mut each: impl FnMut(ScannedSegment<'_>),
) -> Result<(), StoreError> {
    let mut chain = snapshot.map_or(INITIAL_CHAIN, |snapshot| snapshot.chain);
    let paths = paths_after(runtime, directory, snapshot.map_or(0, |snapshot| snapshot.number)).await?;
    for (position, path) in paths.iter().enumerate() {
        let bytes = runtime.files().read(path, MAX_FILE_BYTES).await.map_err(failed_at(path))?;
        let scan = scan(&bytes, Some(chain));
        chain = scan.chain;
        each(ScannedSegment { path, scan, is_last: position + 1 == paths.len() });
    }
    Ok(())
}

async fn paths_after(runtime: &Shared, directory: &Path, number: u64) -> Result<Vec<PathBuf>, StoreError> {
    let names = runtime.files().names(directory).await.map_err(failed_at(directory))?;
    let last_replaced = file_name(number);
    let after = names.iter().filter(|name| is_segment(name) && **name > last_replaced);
    Ok(after.map(|name| directory.join(name)).collect())
}

/// Reads the entries of one segment, without checking that it continues the previous one. Of a segment that is being
/// written to, returns the complete entries.
///
/// # Errors
/// [`StoreError::Io`] if the file cannot be read; [`StoreError::Damaged`] for a damaged segment.
pub async fn read_segment(runtime: &Shared, directory: &Path, number: u64) -> Result<Vec<Entry>, StoreError> {
    let path = segment_path(directory, number);
    let scan = scan_file(runtime, &path, None).await?;
    match scan.end {
        SegmentEnd::Damaged { at, what } => Err(StoreError::Damaged { path, at, what }),
        SegmentEnd::Complete | SegmentEnd::Torn => Ok(scan.entries),
    }
}

/// Scans a segment's file. Yields to other tasks after every [`ENTRIES_BETWEEN_YIELDS`] entries.
pub(super) async fn scan_file(
    runtime: &Shared,
    path: &Path,
    chain: Option<ChainValue>,
) -> Result<Scan, StoreError> {
    let bytes = runtime.files().read(path, MAX_FILE_BYTES).await.map_err(failed_at(path))?;
    let mut scan = Scan::begin(&bytes, chain);
    while scan.read_entries(&bytes, ENTRIES_BETWEEN_YIELDS) {
        future::yield_now().await;
    }
    Ok(scan)
}
