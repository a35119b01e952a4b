//! The only task that writes to the ledger's disk. It writes the recorder's entries and those of other ingresses as one
//! group.

use super::open::MAX_REPLICATED_GROUPS;
use super::{lock, LedgerHandle, ReplicatedEntries};
use crate::messages::DriverEvent;
use crate::telemetry::add;
use async_channel::{Receiver, Sender};
use chalkgap_ledger::store::{Snapshot, Store};
use chalkgap_ledger::{AddOutcome, Entry, StoreError};
use chalkgap_runtime::Micros;
use futures_lite::future;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Interval at which the recorder's timers are checked while no entries are written.
pub(super) const TICK_MICROS: Micros = 50_000;

pub(super) struct Writer {
    ledger: Arc<LedgerHandle>,
    store: Store,
    wake_receiver: Receiver<()>,
    replicated: Receiver<ReplicatedEntries>,
    snapshots: Receiver<Snapshot>,
    driver: Sender<DriverEvent>,
    last_tick_at: Micros,
}

impl Writer {
    pub(super) fn new(
        ledger: Arc<LedgerHandle>,
        store: Store,
        wake_receiver: Receiver<()>,
        replicated: Receiver<ReplicatedEntries>,
        snapshots: Receiver<Snapshot>,
        driver: Sender<DriverEvent>,
    ) -> Self {
        Writer { ledger, store, wake_receiver, replicated, snapshots, driver, last_tick_at: 0 }
    }

    /// Writes entries until the disk fails or the driver has stopped.
    pub(super) async fn run(mut self) {
        loop {
            self.wait_for_work().await;
            let now = self.ledger.runtime.now();
            let mut group = self.take_own(now);
            let last_own = group.last().map(|entry| entry.id.number);
            // Dropped at the end of this iteration, which signals to the waiting tasks that their entries are durable.
            let waiting = self.take_replicated(&mut group);
            self.compact().await;
            if group.is_empty() {
                continue;
            }
            if let Err(error) = self.store.commit(&group).await {
                return self.fail(error).await;
            }
            self.add_to_totals(&group);
            {
                let mut recorder = lock(&self.ledger.recorder);
                if let Some(number) = last_own {
                    recorder.mark_durable(number);
                }
                if !waiting.is_empty() {
                    recorder.add_returned(now, &group);
                }
            }
            self.ledger.current_segment.store(self.store.current_segment(), Ordering::Relaxed);
            if last_own.is_some() && self.driver.send(DriverEvent::LedgerProgress).await.is_err() {
                return;
            }
        }
    }

    async fn wait_for_work(&mut self) {
        let runtime = &self.ledger.runtime;
        let wake = &self.wake_receiver;
        let timer = runtime.sleep_until(runtime.now() + TICK_MICROS);
        let woken = async {
            let _ = wake.recv().await; // never closed: this task holds the handle with the sender
        };
        future::or(woken, timer).await;
    }

    /// Takes the entries that the recorder has written since the last call.
    fn take_own(&mut self, now: Micros) -> Vec<Entry> {
        let mut recorder = lock(&self.ledger.recorder);
        if now >= self.last_tick_at + TICK_MICROS {
            self.last_tick_at = now;
            recorder.tick(now);
            self.ledger.telemetry.ledger_presumed.store(recorder.stats().presumed, Ordering::Relaxed);
        }
        recorder.take_pending()
    }

    /// Adds entries of other ingresses to the group. Returns the senders whose drop signals that they are durable.
    fn take_replicated(&self, group: &mut Vec<Entry>) -> Vec<Sender<()>> {
        let mut waiting = Vec::new();
        for _ in 0..MAX_REPLICATED_GROUPS {
            let Ok(ReplicatedEntries { entries, done }) = self.replicated.try_recv() else { break };
            let totals = lock(&self.ledger.totals);
            // An entry that was fetched from two ingresses is written once.
            group.extend(entries.into_iter().filter(|entry| !totals.contains(entry.id)));
            waiting.push(done);
        }
        waiting
    }

    async fn compact(&mut self) {
        let Ok(snapshot) = self.snapshots.try_recv() else { return };
        match self.store.compact(&snapshot).await {
            Ok(()) => tracing::info!(until = snapshot.number, "ledger: segments compacted"),
            Err(error) => tracing::warn!(%error, "ledger: compaction failed, segments stay"),
        }
    }

    async fn fail(&mut self, error: StoreError) {
        tracing::error!(%error, "ledger: disk failed, nothing more is written");
        lock(&self.ledger.recorder).mark_disk_failed();
        self.replicated.close();
        let _ = self.driver.send(DriverEvent::LedgerProgress).await; // fails if the instance has stopped
    }

    fn add_to_totals(&self, group: &[Entry]) {
        let telemetry = &self.ledger.telemetry;
        {
            let mut totals = lock(&self.ledger.totals);
            let mut recent = lock(&self.ledger.recent);
            for entry in group {
                match totals.add(entry) {
                    AddOutcome::Added => recent.add(entry),
                    AddOutcome::Duplicate => {}
                    AddOutcome::Conflict => add(&telemetry.ledger_conflicts),
                }
            }
        }
        add(&telemetry.ledger_groups);
        telemetry.ledger_entries.fetch_add(group.len() as u64, Ordering::Relaxed);
    }
}
