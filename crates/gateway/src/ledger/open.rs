//! Opens an instance's ledger: recovers its state from the disk and starts a new incarnation.

use super::{periods, LedgerHandle, LedgerResources, RecentEntries};
use crate::error::StartError;
use crate::settings::{self, Compiled, OnFailure};
use crate::telemetry::Telemetry;
use chalkgap_ledger::recorder::{Config, Recorder, Recovery};
use chalkgap_ledger::store::{self, Store, StoreError};
use chalkgap_ledger::{AddOutcome, UsageTotals};
use chalkgap_runtime::{Listener, Shared};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// Maximum number of requests with unknown results that are remembered. They take some tens of megabytes at most.
const MAX_UNSETTLED: usize = 100_000;
/// Maximum number of groups of other ingresses' entries that wait for the writer, and that it writes together.
pub(super) const MAX_REPLICATED_GROUPS: usize = 16;

fn start_error(error: StoreError) -> StartError {
    StartError::Ledger { error }
}

impl LedgerHandle {
    /// Binds the listener for other ingresses, and opens and reads the ledger's directory. Returns `None` if the settings
    /// have no ledger.
    ///
    /// # Errors
    /// [`StartError::Bind`] if the listener cannot be bound, [`StartError::Ledger`] if the directory cannot be read.
    pub async fn open(
        runtime: &Shared,
        compiled: &Compiled,
        telemetry: &Arc<Telemetry>,
    ) -> Result<Option<(Arc<LedgerHandle>, LedgerResources)>, StartError> {
        let Some(settings) = compiled.settings.ledger.clone() else { return Ok(None) };
        let ingress = compiled.settings.fleet.me;
        let listener = bind(runtime, &settings)?;
        let RecoveredLedger { store, totals, recovery, recent, conflicts } =
            RecoveredLedger::read(runtime, &settings, ingress).await?;
        telemetry.ledger_conflicts.store(conflicts, Ordering::Relaxed);
        let now = runtime.now();
        let incarnation = store::next_incarnation(recovery.latest_incarnation(), now);
        let periods = periods(settings.period);
        let recorder =
            Recorder::new(ingress, incarnation, periods, recorder_config(&settings), recovery, now);
        let (wake, wake_receiver) = async_channel::bounded(1);
        let (replicated, replicated_receiver) = async_channel::bounded(MAX_REPLICATED_GROUPS);
        let handle = LedgerHandle {
            runtime: runtime.clone(),
            telemetry: telemetry.clone(),
            settings,
            ingress,
            recorder: Mutex::new(recorder),
            totals: Mutex::new(totals),
            recent: Mutex::new(recent),
            index: store.index(),
            wake,
            replicated,
            current_segment: AtomicU64::new(store.current_segment()),
        };
        let resources = LedgerResources { store, wake_receiver, replicated: replicated_receiver, listener };
        Ok(Some((Arc::new(handle), resources)))
    }
}

fn bind(runtime: &Shared, settings: &settings::Ledger) -> Result<Option<Box<dyn Listener>>, StartError> {
    let Some(group) = &settings.group else { return Ok(None) };
    let address = group.listen;
    let path = "settings.ledger.group.listen";
    let listener = runtime.listen(address);
    listener.map(Some).map_err(|error| StartError::Bind { path, address, error })
}

fn recorder_config(settings: &settings::Ledger) -> Config {
    Config {
        max_waiting: settings.waiting,
        slow_disk_after: settings.slow_ms * 1000,
        retry_after: settings.pause_ms * 1000,
        serve_unrecorded: settings.on_failure == OnFailure::Serve,
        lookup_timeout: settings.truth_ms * 1000,
        correction_window: settings.later_ms * 1000,
        lookup_interval: settings.ask_again_ms * 1000,
        max_unsettled: MAX_UNSETTLED,
    }
}

/// State recovered from a ledger's directory.
struct RecoveredLedger {
    store: Store,
    totals: UsageTotals,
    recovery: Recovery,
    recent: RecentEntries,
    /// Number of entries that differ from another entry with the same id.
    conflicts: u64,
}

impl RecoveredLedger {
    async fn read(
        runtime: &Shared,
        settings: &settings::Ledger,
        ingress: u16,
    ) -> Result<RecoveredLedger, StartError> {
        let periods = periods(settings.period);
        let mut totals = UsageTotals::new(periods);
        let mut recovery = Recovery::new(ingress);
        let mut recent = RecentEntries::default();
        let mut conflicts = 0;
        let snapshot = store::read_snapshot(runtime, &settings.folder).await.map_err(start_error)?;
        if let Some(snapshot) = snapshot {
            let restored = UsageTotals::restore(periods, &snapshot.totals);
            totals = restored.map_err(|error| start_error(error.into()))?;
            recovery.restore(&totals);
        }
        let store = Store::open(runtime.clone(), &settings.folder, settings.segment, |entry| {
            conflicts += u64::from(totals.add(&entry) == AddOutcome::Conflict);
            recovery.add(&entry);
            recent.add(&entry);
        });
        let store = store.await.map_err(start_error)?;
        Ok(RecoveredLedger { store, totals, recovery, recent, conflicts })
    }
}
