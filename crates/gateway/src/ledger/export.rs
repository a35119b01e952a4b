//! Exports batches to the consumer, which is a directory or a gRPC service.

use super::{lock, LedgerHandle};
use crate::settings::{Export, ExportTo};
use crate::telemetry::add;
use chalkgap_ledger::directory_sink::{self, MAX_BATCH_BYTES};
use chalkgap_ledger::entry::{Batch, EntryBody};
use chalkgap_ledger::export::{Config, ConsumerReply, ExportBlocked, ExportStep, Exporter};
use chalkgap_runtime::Micros;
use chalkgap_transport::unary::{self, CallTimeouts};
use chalkgap_wire::billing::{HandRequest, HandResponse, HAND};
use chalkgap_wire::grpc;
use prost::Message;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of lines of a batch.
const MAX_LINES: usize = 5000;
/// Number of exported periods whose requests stay in memory, so that results that arrive late can be matched.
const KEPT_PERIODS: u64 = 2;
/// Number of polls for due steps within the check interval of a stream. Bounds how late a step is.
const POLLS_PER_INTERVAL: Micros = 4;
/// Minimum interval between two polls.
const MIN_POLL_MICROS: Micros = 1_000;

pub(super) async fn run(ledger: Arc<LedgerHandle>, settings: Export) {
    let poll_micros = settings.every_ms * 1000 / POLLS_PER_INTERVAL + MIN_POLL_MICROS;
    let mut task = ExportTask::new(ledger.clone(), settings);
    loop {
        let entries = match task.next_step() {
            None => {
                task.log_blocked();
                task.forget_exported();
                ledger.runtime.sleep_until(ledger.runtime.now() + poll_micros).await;
                continue;
            }
            Some(ExportStep::Write(batch)) => vec![EntryBody::BatchPrepared(batch)],
            Some(ExportStep::Send(batch)) => task.send(&batch).await,
        };
        if !entries.is_empty() && !ledger.append_durably(entries).await {
            return; // the disk has failed
        }
    }
}

struct ExportTask {
    ledger: Arc<LedgerHandle>,
    settings: Export,
    exporter: Exporter,
    /// Blocked streams that were logged last, with their reasons.
    logged: Vec<(String, ExportBlocked)>,
    /// Requests of periods before this one have been dropped from memory.
    dropped_before: u64,
}

impl ExportTask {
    fn new(ledger: Arc<LedgerHandle>, settings: Export) -> Self {
        let config = Config {
            final_after: settings.after_ms * 1000,
            check_interval: settings.every_ms * 1000,
            takeover_delay: settings.takeover_ms * 1000,
            max_lines: MAX_LINES,
        };
        let ingresses = match &ledger.settings.group {
            Some(group) => group.addresses.keys().copied().collect(),
            None => vec![ledger.ingress],
        };
        let exporter = Exporter::new(ledger.ingress, ingresses, config);
        ExportTask { ledger, settings, exporter, logged: Vec::new(), dropped_before: 0 }
    }

    fn next_step(&mut self) -> Option<ExportStep> {
        let totals = lock(&self.ledger.totals);
        self.exporter.next_step(self.ledger.runtime.now(), &totals)
    }

    /// Logs the blocked streams if they have changed.
    fn log_blocked(&mut self) {
        let blocked = self.exporter.blocked().map(|(stream, reason)| (stream, reason.clone()));
        let blocked: Vec<(String, ExportBlocked)> = blocked.collect();
        if blocked == self.logged {
            return;
        }
        for (stream, reason) in &blocked {
            tracing::warn!(stream, %reason, "ledger: export blocked");
        }
        self.logged = blocked;
    }

    /// Frees memory of entries that are exported and no longer needed.
    fn forget_exported(&mut self) {
        let mut totals = lock(&self.ledger.totals);
        totals.prune_changed_sums();
        let final_until = self.exporter.final_until(self.ledger.runtime.now(), &totals);
        let Some(before) = final_until.and_then(|period| period.checked_sub(KEPT_PERIODS)) else { return };
        if before > self.dropped_before && totals.all_exported_before(before) {
            totals.drop_settled_before(before);
            self.dropped_before = before;
        }
    }

    /// Sends a batch to the consumer. Returns the entries to write for its reply.
    async fn send(&mut self, batch: &Batch) -> Vec<EntryBody> {
        let reply = match &self.settings.to {
            ExportTo::Folder(directory) => {
                directory_sink::deliver(&self.ledger.runtime, directory, batch).await
            }
            ExportTo::Grpc(address) => self.call_consumer(*address, batch).await,
        };
        match &reply {
            ConsumerReply::Stored => add(&self.ledger.telemetry.ledger_exported),
            _ => add(&self.ledger.telemetry.ledger_export_again),
        }
        self.exporter.replied(self.ledger.runtime.now(), batch, reply)
    }

    async fn call_consumer(&self, address: SocketAddr, batch: &Batch) -> ConsumerReply {
        let runtime = &self.ledger.runtime;
        let patience = self.settings.patience_ms * 1000;
        let timeouts = CallTimeouts { silence: patience, total: patience };
        let message = HandRequest {
            stream: batch.stream.clone(),
            number: batch.number,
            batch: batch.encode_to_vec().into(),
        };
        let message = grpc::frame(&message);
        let response = unary::call(runtime, address, HAND, message, MAX_BATCH_BYTES as usize, timeouts).await;
        let handed = response.ok().and_then(|message| HandResponse::decode(message).ok());
        handed.map_or(ConsumerReply::None, |handed| reply_of(batch, &handed))
    }
}

fn reply_of(batch: &Batch, handed: &HandResponse) -> ConsumerReply {
    if handed.batch.is_empty() {
        return ConsumerReply::Gap { last: handed.last };
    }
    match Batch::decode(handed.batch.clone()) {
        Ok(stored) => ConsumerReply::of_stored(batch, stored),
        Err(_) => ConsumerReply::None,
    }
}
