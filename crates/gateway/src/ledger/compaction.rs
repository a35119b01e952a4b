//! Builds snapshots that replace old segments. A segment is replaced once the use recorded in it is exported and older
//! than the setting `keep_s`. The writer installs the snapshots. Other ingresses cannot fetch compacted entries, and
//! compaction does not wait for them.

use super::writer::TICK_MICROS;
use super::{lock, periods, LedgerHandle};
use async_channel::Sender;
use chalkgap_ledger::store::{self, Snapshot, StoreError};
use chalkgap_runtime::Micros;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Maximum interval between two checks for segments to compact.
const CHECK_MICROS: Micros = 5_000_000;

pub(super) async fn run(ledger: Arc<LedgerHandle>, snapshots: Sender<Snapshot>) {
    let runtime = ledger.runtime.clone();
    let keep_micros = ledger.settings.keep_s * 1_000_000;
    let mut compacted_until = 0;
    loop {
        runtime.sleep_until(runtime.now() + CHECK_MICROS.min(keep_micros)).await;
        let until = ledger.current_segment.load(Ordering::Relaxed).saturating_sub(1);
        let Some(first_kept_period) = first_kept_period(&ledger, keep_micros) else { continue };
        if until <= compacted_until {
            continue;
        }
        match build_snapshot(&ledger, until, first_kept_period).await {
            Ok(None) => {}
            Ok(Some(snapshot)) => {
                compacted_until = snapshot.number;
                if snapshots.send(snapshot).await.is_err() {
                    return; // the disk has failed
                }
                // The next snapshot is based on this one, so wait until the writer has taken it.
                while !snapshots.is_empty() && !snapshots.is_closed() {
                    runtime.sleep_until(runtime.now() + TICK_MICROS).await;
                }
            }
            Err(error) => tracing::warn!(%error, "ledger: compaction failed, segments stay"),
        }
    }
}

/// Returns the first period whose entries are not compacted. `None` if an earlier period is not exported.
fn first_kept_period(ledger: &LedgerHandle, keep_micros: Micros) -> Option<u64> {
    let totals = lock(&ledger.totals);
    let period = totals.periods().of(ledger.runtime.now().saturating_sub(keep_micros));
    (period > 0 && totals.all_exported_before(period)).then_some(period)
}

async fn build_snapshot(
    ledger: &LedgerHandle,
    until: u64,
    first_kept_period: u64,
) -> Result<Option<Snapshot>, StoreError> {
    let runtime = &ledger.runtime;
    let directory = &ledger.settings.folder;
    let periods = periods(ledger.settings.period);
    let last = store::last_segment_before(runtime, directory, until, periods, first_kept_period).await?;
    let Some(last) = last else { return Ok(None) };
    store::build_snapshot(runtime, directory, periods, last, first_kept_period).await
}
