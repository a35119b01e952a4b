//! `ledger export`: exports while the ledger's ingress is down.

use super::{periods, restore_totals, MAX_GROUP_ENTRIES};
use crate::output::print_line;
use crate::{fail, Exit};
use chalkgap::runtime::Shared;
use chalkgap_ledger::directory_sink;
use chalkgap_ledger::entry::{Batch, EntryBody, Line};
use chalkgap_ledger::export::{self, ConsumerReply, ExportStep, Exporter};
use chalkgap_ledger::recorder::{self, Recorder, Recovery};
use chalkgap_ledger::store::{self, read_segments, Store, StoreError, SEGMENT_BYTES};
use chalkgap_ledger::UsageTotals;
use std::path::Path;

/// A timeout that never expires and can be added to any time without an overflow.
const NO_TIMEOUT_MICROS: u64 = u64::MAX / 4;

/// An export while the ledger's ingress is down.
pub(super) struct ManualExport<'a> {
    pub(super) folder: &'a Path,
    /// Length of a period in seconds.
    pub(super) period: u64,
    pub(super) ingress: u16,
    pub(super) group: &'a [u16],
    pub(super) all: bool,
    pub(super) json: bool,
}

impl ManualExport<'_> {
    pub(super) async fn run(&self, runtime: &Shared, to: Option<&Path>) -> Result<Exit, StoreError> {
        let now = runtime.now();
        let final_after = if self.all { 0 } else { u64::MAX };
        let config = export::Config {
            final_after,
            check_interval: 1,
            takeover_delay: 0,
            max_lines: MAX_GROUP_ENTRIES,
        };
        let exporter = Exporter::new(self.ingress, self.group.to_vec(), config);
        match to {
            Some(to) => self.deliver(runtime, to, exporter, now).await,
            None => self.preview(runtime, &exporter, now).await,
        }
    }

    /// Prints which batches were delivered and which lines are due. Takes no lock and writes nothing.
    async fn preview(&self, runtime: &Shared, exporter: &Exporter, now: u64) -> Result<Exit, StoreError> {
        let mut totals = restore_totals(runtime, self.folder, periods(self.period)).await?;
        let mut entries = Vec::new();
        read_segments(runtime, self.folder, |segment| entries.extend(segment.scan.entries)).await?;
        for entry in &entries {
            totals.add(entry);
        }
        Ok(self.print_state(exporter, &totals, now))
    }

    /// Delivers the due lines to a folder and records that in the ledger.
    async fn deliver(
        &self,
        runtime: &Shared,
        to: &Path,
        mut exporter: Exporter,
        started_at: u64,
    ) -> Result<Exit, StoreError> {
        let OpenLedger { mut totals, mut store, mut recorder } = self.open(runtime, started_at).await?;
        let mut delivered = 0;
        for step in 1.. {
            let now = started_at + step;
            let written = match exporter.next_step(now, &totals) {
                None => break,
                Some(ExportStep::Write(batch)) => vec![EntryBody::BatchPrepared(batch)],
                Some(ExportStep::Send(batch)) => {
                    let reply = directory_sink::deliver(runtime, to, &batch).await;
                    if reply == ConsumerReply::None {
                        return Ok(fail(
                            Exit::System,
                            format!(
                                "{}: batch {} of stream {} was not stored",
                                to.display(),
                                batch.number,
                                batch.stream
                            ),
                        ));
                    }
                    let stored = reply == ConsumerReply::Stored;
                    let written = exporter.replied(now, &batch, reply);
                    if written.is_empty() {
                        break; // the stream is blocked, which is printed below
                    }
                    if stored {
                        delivered += 1;
                        self.print_batch(&batch);
                    }
                    written
                }
            };
            for body in written {
                recorder.append(now, body);
            }
            let group = recorder.take_pending();
            store.commit(&group).await?;
            for entry in &group {
                totals.add(entry);
            }
        }
        if !self.json {
            print_line!("{delivered} batches delivered");
        }
        Ok(self.print_state(&exporter, &totals, started_at))
    }

    /// Opens the ledger for writing, as a new incarnation of its ingress.
    async fn open(&self, runtime: &Shared, now: u64) -> Result<OpenLedger, StoreError> {
        let periods = periods(self.period);
        let mut totals = restore_totals(runtime, self.folder, periods).await?;
        let mut recovery = Recovery::new(self.ingress);
        recovery.restore(&totals);
        let store = Store::open(runtime.clone(), self.folder, SEGMENT_BYTES, |entry| {
            totals.add(&entry);
            recovery.add(&entry);
        });
        let store = store.await?;
        let incarnation = store::next_incarnation(recovery.latest_incarnation(), now);
        let recorder = Recorder::new(self.ingress, incarnation, periods, recorder_config(), recovery, now);
        Ok(OpenLedger { totals, store, recorder })
    }

    fn print_batch(&self, batch: &Batch) {
        let units: i64 = batch.lines.iter().map(|line| line.units).sum();
        let Batch { stream, number, lines, .. } = batch;
        let lines = lines.len();
        if self.json {
            let line =
                serde_json::json!({"stream": stream, "number": number, "lines": lines, "units": units});
            print_line!("{line}");
        } else {
            print_line!("{stream} {number}: {lines} lines, {units} units");
        }
    }

    /// Prints the state of each stream and the lines that are due. Returns [`Exit::Failure`] if a stream is blocked.
    fn print_state(&self, exporter: &Exporter, totals: &UsageTotals, now: u64) -> Exit {
        let mut exit = Exit::Success;
        for (stream, reason) in exporter.blocked() {
            exit = fail(Exit::Failure, format!("stream {stream} is blocked: {reason}"));
        }
        for shard in 0..self.group.len() {
            let stream = exporter.stream_name(shard);
            let position = totals.stream_position(&stream);
            if !self.json {
                let pending =
                    if position.pending.is_some() { ", one written and without a reply" } else { "" };
                print_line!("{stream}: {} batches acknowledged{pending}", position.acknowledged);
            }
        }
        let due = exporter.final_until(now, totals);
        let due = due.map(|until| totals.unexported_lines(until, |_| true, usize::MAX));
        for line in due.unwrap_or_default() {
            self.print_due(&line);
        }
        exit
    }

    fn print_due(&self, line: &Line) {
        let Line { account, plan, period, units, requests, .. } = line;
        if self.json {
            let line = serde_json::json!({
                "due": account, "plan": plan, "period": period, "units": units, "requests": requests,
            });
            print_line!("{line}");
        } else {
            print_line!("due: {account} ({plan}), period {period}: {units} units, {requests} requests");
        }
    }
}

/// A ledger that is open for writing.
struct OpenLedger {
    totals: UsageTotals,
    store: Store,
    recorder: Recorder,
}

/// Returns a configuration that opens no requests and looks none up. Requests with an unknown outcome keep it until their
/// ingress runs again.
fn recorder_config() -> recorder::Config {
    recorder::Config {
        max_waiting: MAX_GROUP_ENTRIES,
        slow_disk_after: 0,
        retry_after: 0,
        serve_unrecorded: false,
        lookup_timeout: NO_TIMEOUT_MICROS,
        correction_window: NO_TIMEOUT_MICROS,
        lookup_interval: 0,
        max_unsettled: usize::MAX,
    }
}
