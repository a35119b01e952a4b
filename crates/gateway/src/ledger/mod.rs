//! The billing ledger of an instance: runs the state machines of `chalkgap-ledger` on a disk and on sockets. The driver
//! calls [`LedgerHandle`]; one task writes to the disk; others ask nodes, other ingresses and the consumer.

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

/// How often the disk's progress is checked while a task waits for it.
const DURABLE_POLL_MICROS: Micros = 1_000;

/// Entries of other ingresses that are to be written here.
struct ReplicatedEntries {
    entries: Vec<Entry>,
    /// Closed when they are durable, or the disk has failed.
    done: Sender<()>,
}

/// What all parts of an instance's ledger share.
pub(crate) struct LedgerHandle {
    runtime: Shared,
    telemetry: Arc<Telemetry>,
    settings: settings::Ledger,
    ingress: u16,
    recorder: Mutex<Recorder>,
    totals: Mutex<UsageTotals>,
    recent: Mutex<RecentEntries>,
    index: Arc<Mutex<SegmentIndex>>,
    /// Wakes the writer.
    wake: Sender<()>,
    replicated: Sender<ReplicatedEntries>,
    /// The segment that is written to.
    current_segment: AtomicU64,
}

/// What the tasks of a ledger own: returned by [`LedgerHandle::open`], consumed by [`LedgerHandle::tasks`].
pub(crate) struct LedgerResources {
    store: Store,
    woken: Receiver<()>,
    replicated: Receiver<ReplicatedEntries>,
    /// Where other ingresses of the group ask for entries.
    listener: Option<Box<dyn Listener>>,
}

/// Locks a mutex whose holders leave its content consistent even if they panic.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The billing periods of a settings file.
pub fn periods(period: Period) -> Periods {
    match period {
        Period::Seconds(seconds) => Periods::Every(seconds * 1_000_000),
        Period::Months => Periods::Months,
    }
}

impl LedgerHandle {
    /// The tasks that run the ledger; those that serve or await others end when `alive` is closed.
    pub fn tasks(
        self: &Arc<Self>,
        resources: LedgerResources,
        driver: Sender<DriverEvent>,
        alive: &Receiver<()>,
    ) -> Vec<BoxFuture<'static, ()>> {
        let LedgerResources { store, woken, replicated, listener } = resources;
        let (snapshot_sender, snapshots) = async_channel::bounded(1);
        let writer = Writer::new(self.clone(), store, woken, replicated, snapshots, driver);
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

    /// Whether a request that comes now can be recorded.
    pub fn reserve(&self) -> Reservation {
        lock(&self.recorder).reserve(self.runtime.now())
    }

    /// Writes a request's open entry; see [`Recorder::open_request`].
    pub fn open_request(&self, opened: RequestOpened) -> Option<EntryHandle> {
        let handle = lock(&self.recorder).open_request(self.runtime.now(), opened);
        self.wake_writer();
        handle
    }

    /// Writes that a request goes to one more node; see [`Recorder::add_attempt`].
    pub fn add_attempt(&self, handle: EntryHandle, node: String) -> Option<u64> {
        let number = lock(&self.recorder).add_attempt(self.runtime.now(), handle.number, node);
        self.wake_writer();
        number
    }

    /// Records the end of a request. It is written with the next group: nobody waits for it.
    pub fn settle(&self, handle: EntryHandle, units: u64, settlement: Settlement) {
        lock(&self.recorder).settle(self.runtime.now(), handle, units, settlement);
    }

    /// The number up to which the disk has all entries; `None` if it has failed.
    pub fn durable_up_to(&self) -> Option<u64> {
        let recorder = lock(&self.recorder);
        (!recorder.disk_failed()).then(|| recorder.durable_up_to())
    }

    fn wake_writer(&self) {
        let _ = self.wake.try_send(()); // full: it is being woken already
    }

    /// Waits until all entries written so far are durable, the disk has failed, or `until` has passed.
    pub async fn flush(&self, until: Micros) {
        let last_number = lock(&self.recorder).last_number();
        while self.durable_up_to().is_some_and(|number| number < last_number) && self.runtime.now() < until {
            self.wake_writer();
            self.runtime.sleep_until(self.runtime.now() + DURABLE_POLL_MICROS).await;
        }
    }

    /// Has other ingresses' entries written; returns when they are durable or the disk has failed.
    async fn write_replicated(&self, entries: Vec<Entry>) {
        let (done, written) = async_channel::bounded(1);
        if self.replicated.send(ReplicatedEntries { entries, done }).await.is_ok() {
            self.wake_writer();
            let _ = written.recv().await; // never sent: closed by the writer
        }
    }

    /// Writes entries of this ingress; returns true when they are durable, false if the disk has failed.
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
