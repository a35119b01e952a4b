//! Compaction: a snapshot of the usage totals takes the place of old segments.

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

/// The last segment, up to `until`, such that it and all before it hold only entries of periods before `period`. `None`
/// if there is no such segment after the snapshot.
///
/// # Errors
/// [`StoreError::Io`], or [`StoreError::Damaged`].
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

/// Builds the snapshot that replaces the segments up to `until`: the usage totals of all entries up to there, without the
/// settled requests of periods before `period`. `None` where a snapshot would lose something that is still needed.
///
/// # Errors
/// [`StoreError::Io`], or [`StoreError::Damaged`], also for a torn segment.
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
        // After each segment, to hold no more requests in memory than needed.
        totals.drop_settled_before(period);
    }
    Ok(totals.snapshot().map(|totals| Snapshot { number: until, chain, totals }))
}
