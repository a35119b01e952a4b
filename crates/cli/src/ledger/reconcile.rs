//! `ledger reconcile`: adds the entries of another ledger's directory that this one lacks.

use super::{restore_totals, MAX_GROUP_ENTRIES};
use crate::output::print_line;
use crate::{fail, Exit};
use chalkgap::runtime::Shared;
use chalkgap_ledger::store::{read_segments, Store, StoreError, SEGMENT_BYTES};
use chalkgap_ledger::{AddOutcome, Entry, Periods, SegmentEnd};
use std::path::Path;

/// Adds the entries of the directory `other` that `folder` lacks, and prints how many there were. Returns
/// [`Exit::Failure`] if `other` is damaged or has entries that conflict with those in `folder`.
pub(super) async fn run(runtime: &Shared, folder: &Path, other: &Path) -> Result<Exit, StoreError> {
    let mut totals = restore_totals(runtime, folder, Periods::Every(1)).await?;
    let mut store = Store::open(runtime.clone(), folder, SEGMENT_BYTES, |entry| {
        totals.add(&entry);
    })
    .await?;
    let mut missing: Vec<Entry> = Vec::new();
    let mut conflicts = 0u64;
    let mut damaged = false;
    let read = read_segments(runtime, other, |segment| {
        if let SegmentEnd::Damaged { at, what } = &segment.scan.end {
            damaged = true;
            let path = segment.path.display();
            fail(
                Exit::Failure,
                format!("{path}: damaged at byte {at}: {what}; only the entries before it are added"),
            );
        }
        for entry in segment.scan.entries {
            match totals.add(&entry) {
                AddOutcome::Added => missing.push(entry),
                AddOutcome::Duplicate => {}
                AddOutcome::Conflict => conflicts += 1,
            }
        }
    });
    read.await?;
    for group in missing.chunks(MAX_GROUP_ENTRIES) {
        store.commit(group).await?;
    }
    print_line!("{} entries added, {conflicts} conflicts", missing.len());
    Ok(if damaged || conflicts > 0 { Exit::Failure } else { Exit::Success })
}
