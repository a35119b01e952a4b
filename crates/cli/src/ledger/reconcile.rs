//! `ledger reconcile`: adds the entries that another directory has.

use super::{restore_totals, GROUP};
use crate::{fail, Exit};
use chalkgap::runtime::Shared;
use chalkgap_ledger::store::{read_segments, Store, StoreError, SEGMENT_BYTES};
use chalkgap_ledger::{AddOutcome, Entry, Periods, SegmentEnd};
use std::path::Path;

/// Adds the entries that another directory has.
pub(super) async fn run(runtime: &Shared, folder: &Path, other: &Path) -> Result<Exit, StoreError> {
    let mut totals = restore_totals(runtime, folder, Periods::Every(1)).await?;
    let mut store = Store::open(runtime.clone(), folder, SEGMENT_BYTES, |entry| {
        totals.add(&entry);
    })
    .await?;
    let mut new: Vec<Entry> = Vec::new();
    let mut conflicts = 0u64;
    let mut damaged = false;
    let read = read_segments(runtime, other, |segment| {
        if let SegmentEnd::Damaged { at, what } = &segment.scan.end {
            damaged = true;
            let path = segment.path.display();
            fail(Exit::Bad, format!("{path}: byte {at}: {what}; what is before is taken"));
        }
        for entry in segment.scan.entries {
            match totals.add(&entry) {
                AddOutcome::Added => new.push(entry),
                AddOutcome::Duplicate => {}
                AddOutcome::Conflict => conflicts += 1,
            }
        }
    });
    read.await?;
    for group in new.chunks(GROUP) {
        store.commit(group).await?;
    }
    println!("{} entries taken, {conflicts} conflicts", new.len());
    Ok(if damaged || conflicts > 0 { Exit::Bad } else { Exit::Good })
}
