//! The billing ledger of an instance. It runs the state machines of `chalkgap-ledger` with a disk and sockets.
//!
//! The driver calls [`LedgerHandle`]. One task writes to the disk. Other tasks query nodes about requests with unknown
//! results, replicate entries among ingresses, compact segments, and export finished periods to the consumer.

mod compaction;
mod export;
mod open;
mod recent;
mod replication;
mod usage_lookup;
mod writer;

use crate::messages::DriverEvent;
use crate::settings::{self, Period};
use crate::telemetry::Telemetry;
use async_channel::{Receiver, Sender};
use chalkgap_ledger::entry::{Entry, EntryBody, RequestOpened};
use chalkgap_ledger::recorder::{EntryHandle, Recorder, Reservation, Settlement};
use chalkgap_ledger::store::{SegmentIndex, Store};
use chalkgap_ledger::{Periods, UsageTotals};
use chalkgap_runtime::{BoxFuture, Listener, Micros, Shared};
use recent::RecentEntries;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use writer::Writer;

/// Interval between two checks of whether entries are durable, while a task waits for them.
const DURABLE_POLL_MICROS: Micros = 1_000;

/// Entries of other ingresses that this ingress stores.
struct ReplicatedEntries {
    entries: Vec<Entry>,
    /// Closed when the entries are durable or the disk has failed.
    done: Sender<()>,
}

/// State shared by the driver and all tasks of an instance's ledger.
pub(crate) struct LedgerHandle {
    runtime: Shared,
    telemetry: Arc<Telemetry>,
    settings: settings::Ledger,
    ingress: u16,
    recorder: Mutex<Recorder>,
    totals: Mutex<UsageTotals>,
    recent: Mutex<RecentEntries>,
    index: Arc<Mutex<SegmentIndex>>,
    /// Wakes the writer task.
    wake: Sender<()>,
    replicated: Sender<ReplicatedEntries>,
    /// Number of the segment that is being written.
    current_segment: AtomicU64,
}

/// Resources that the tasks of a ledger own. [`LedgerHandle::open`] returns them for [`LedgerHandle::tasks`].
pub(crate) struct LedgerResources {
    store: Store,
    wake_receiver: Receiver<()>,
    replicated: Receiver<ReplicatedEntries>,
    /// Accepts connections of other ingresses of the group.
    listener: Option<Box<dyn Listener>>,
}

/// Locks a mutex and ignores poisoning. Only for mutexes whose content stays consistent if a holder panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Converts the setting of the billing periods.
pub fn periods(period: Period) -> Periods {
    match period {
        Period::Seconds(seconds) => Periods::Every(seconds * 1_000_000),
        Period::Months => Periods::Months,
    }
}

impl LedgerHandle {
    /// Returns the tasks that run the ledger. Calls to and from other processes are cancelled when `alive` is closed.
    pub fn tasks(
        self: &Arc<Self>,
        resources: LedgerResources,
        driver: Sender<DriverEvent>,
        alive: &Receiver<()>,
    ) -> Vec<BoxFuture<'static, ()>> {
        let LedgerResources { store, wake_receiver, replicated, listener } = resources;
        let (snapshot_sender, snapshots) = async_channel::bounded(1);
        let writer = Writer::new(self.clone(), store, wake_receiver, replicated, snapshots, driver);
        let mut tasks: Vec<BoxFuture<'static, ()>> = vec![
            Box::pin(writer.run()),
            Box::pin(compaction::run(self.clone(), snapshot_sender)),
            Box::pin(usage_lookup::run(self.clone(), alive.clone())),
        ];
        if let Some(listener) = listener {
            tasks.extend(replication::tasks(self, listener, alive));
        }
        if let Some(export) = self.settings.export.clone() {
            tasks.push(Box::pin(export::run(self.clone(), export)));
        }
        tasks
    }

    /// Returns whether a request that arrives now can be recorded.
    pub fn reserve(&self) -> Reservation {
        lock(&self.recorder).reserve(self.runtime.now())
    }

    /// Writes the entry that opens a request; see [`Recorder::open_request`].
    pub fn open_request(&self, opened: RequestOpened) -> Option<EntryHandle> {
        let handle = lock(&self.recorder).open_request(self.runtime.now(), opened);
        self.wake_writer();
        handle
    }

    /// Writes the entry of an attempt at one more node; see [`Recorder::add_attempt`].
    pub fn add_attempt(&self, handle: EntryHandle, node: String) -> Option<u64> {
        let number = lock(&self.recorder).add_attempt(self.runtime.now(), handle.number, node);
        self.wake_writer();
        number
    }

    /// Records the end of a request. The entry is written with the next group, without waking the writer, as no request
    /// waits for it.
    pub fn settle(&self, handle: EntryHandle, units: u64, settlement: Settlement) {
        lock(&self.recorder).settle(self.runtime.now(), handle, units, settlement);
    }

    /// Returns the number up to which all entries are durable. `None` if the disk has failed.
    pub fn durable_up_to(&self) -> Option<u64> {
        let recorder = lock(&self.recorder);
        (!recorder.disk_failed()).then(|| recorder.durable_up_to())
    }

    fn wake_writer(&self) {
        let _ = self.wake.try_send(()); // fails if a wake-up is pending already
    }

    /// Waits until all entries written so far are durable, the disk has failed, or the time `until` is reached.
    pub async fn flush(&self, until: Micros) {
        let last_number = lock(&self.recorder).last_number();
        while self.durable_up_to().is_some_and(|number| number < last_number) && self.runtime.now() < until {
            self.wake_writer();
            self.runtime.sleep_until(self.runtime.now() + DURABLE_POLL_MICROS).await;
        }
    }

    /// Passes entries of other ingresses to the writer. Returns when they are durable or the disk has failed.
    async fn write_replicated(&self, entries: Vec<Entry>) {
        let (done, done_receiver) = async_channel::bounded(1);
        if self.replicated.send(ReplicatedEntries { entries, done }).await.is_ok() {
            self.wake_writer();
            let _ = done_receiver.recv().await; // no message is sent; the writer closes the channel
        }
    }

    /// Writes entries of this ingress. Returns true when they are durable, and false if the disk has failed.
    async fn append_durably(&self, bodies: Vec<EntryBody>) -> bool {
        let last_number = {
            let mut recorder = lock(&self.recorder);
            let now = self.runtime.now();
            bodies.into_iter().map(|body| recorder.append(now, body)).max().unwrap_or(0)
        };
        self.wake_writer();
        loop {
            match self.durable_up_to() {
                Some(number) if number >= last_number => return true,
                Some(_) => self.runtime.sleep_until(self.runtime.now() + DURABLE_POLL_MICROS).await,
                None => return false,
            }
        }
    }
}
