//! Compaction: a snapshot of the usage totals replaces old segments.

use super::reader::{read_segment, scan_file, segment_path, ENTRIES_BETWEEN_YIELDS};
use super::snapshot_file::{read_snapshot, Snapshot};
use super::StoreError;
use crate::damage::Damage;
use crate::period::Periods;
use crate::segment::{SegmentEnd, INITIAL_CHAIN};
use crate::usage_totals::UsageTotals;
use chalkgap_runtime::Shared;
use futures_lite::future;
use std::path::Path;

/// Returns the last segment, up to `until`, such that it and all earlier ones contain only entries of periods before
/// `period`. `None` if there is no such segment after the snapshot.
///
/// # Errors
/// [`StoreError::Io`] if a file cannot be read; [`StoreError::Damaged`] for a damaged snapshot or segment.
pub async fn last_segment_before(
    runtime: &Shared,
    directory: &Path,
    until: u64,
    periods: Periods,
    period: u64,
) -> Result<Option<u64>, StoreError> {
    let snapshot = read_snapshot(runtime, directory).await?;
    let first = snapshot.map_or(0, |snapshot| snapshot.number) + 1;
    let mut last = None;
    for number in first..=until {
        let entries = read_segment(runtime, directory, number).await?;
        if !entries.iter().all(|entry| periods.of(entry.at) < period) {
            break;
        }
        last = Some(number);
    }
    Ok(last)
}

/// Builds the snapshot that replaces the segments up to `until`: the usage totals of all entries in them, without the
/// settled requests of periods before `period`. `None` if a snapshot cannot contain the totals yet, see
/// [`UsageTotals::snapshot`].
///
/// # Errors
/// [`StoreError::Io`] if a file cannot be read; [`StoreError::Damaged`] for a damaged snapshot, or a torn or damaged
/// segment.
pub async fn build_snapshot(
    runtime: &Shared,
    directory: &Path,
    periods: Periods,
    until: u64,
    period: u64,
) -> Result<Option<Snapshot>, StoreError> {
    let previous = read_snapshot(runtime, directory).await?;
    let mut chain = previous.as_ref().map_or(INITIAL_CHAIN, |snapshot| snapshot.chain);
    let first = previous.as_ref().map_or(0, |snapshot| snapshot.number) + 1;
    let mut totals = match &previous {
        Some(snapshot) => UsageTotals::restore(periods, &snapshot.totals)?,
        None => UsageTotals::new(periods),
    };
    for number in first..=until {
        let path = segment_path(directory, number);
        let scan = scan_file(runtime, &path, Some(chain)).await?;
        if scan.end != SegmentEnd::Complete {
            return Err(StoreError::Damaged { path, at: scan.valid_bytes, what: Damage::Incomplete });
        }
        chain = scan.chain;
        for part in scan.entries.chunks(ENTRIES_BETWEEN_YIELDS) {
            for entry in part {
                totals.add(entry);
            }
            future::yield_now().await;
        }
        // Done after each segment to limit the number of requests in memory.
        totals.drop_settled_before(period);
    }
    Ok(totals.snapshot().map(|totals| Snapshot { number: until, chain, totals }))
}
