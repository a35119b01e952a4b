//! Hands batches to whoever takes them: a folder of files, or a consumer over gRPC.

use super::{lock, Desk};
use crate::settings::{Export, ExportTo};
use crate::telemetry::add;
use chalkgap_ledger::entry::{Batch, What};
use chalkgap_ledger::export::{Exporter, Rules, Step, Stuck, Word};
use chalkgap_ledger::folder;
use chalkgap_transport::unary;
use chalkgap_wire::billing::{Hand, Handed, HAND};
use chalkgap_wire::grpc;
use prost::Message;
use std::sync::Arc;

/// Lines of a batch.
const LINES: usize = 5000;
/// Periods whose single requests are kept after they were exported, for ends that come late.
const KEEP: u64 = 2;

pub(super) async fn export(desk: Arc<Desk>, settings: Export) {
    let group = desk.settings.group.as_ref();
    let group: Vec<u16> = group.map_or_else(|| vec![desk.me], |g| g.addresses.keys().copied().collect());
    let rules = Rules {
        after: settings.after_ms * 1000,
        every: settings.every_ms * 1000,
        takeover: settings.takeover_ms * 1000,
        lines: LINES,
    };
    let mut exporter = Exporter::new(desk.me, group, rules);
    let (mut told, mut trimmed): (Vec<(String, Stuck)>, u64) = (Vec::new(), 0);
    loop {
        let step = {
            let book = lock(&desk.book);
            exporter.next(desk.runtime.now(), &book)
        };
        match step {
            None => {
                let stuck: Vec<(String, Stuck)> = exporter.stuck().map(|(s, w)| (s, w.clone())).collect();
                if stuck != told {
                    for (stream, what) in &stuck {
                        tracing::warn!(stream, ?what, "ledger: export is stuck");
                    }
                    told = stuck;
                }
                {
                    let mut book = lock(&desk.book);
                    book.tidy();
                    let now = desk.runtime.now();
                    if let Some(until) = exporter.until(now, &book).and_then(|u| u.checked_sub(KEEP)) {
                        if until > trimmed && book.exported_before(until) {
                            book.trim(until);
                            trimmed = until;
                        }
                    }
                }
                desk.runtime.sleep_until(desk.runtime.now() + rules.every / 4 + 1000).await;
            }
            Some(Step::Write(batch)) => {
                if !desk.note(vec![What::Exported(batch)]).await {
                    return; // the disk has failed
                }
            }
            Some(Step::Hand(batch)) => {
                let word = match &settings.to {
                    ExportTo::Folder(folder) => folder::hand(&desk.runtime, folder, &batch).await,
                    ExportTo::Grpc(address) => {
                        let until = desk.runtime.now() + settings.patience_ms * 1000;
                        let (stream, number) = (batch.stream.clone(), batch.number);
                        let hand = Hand { stream, number, batch: batch.encode_to_vec().into() };
                        let hand = grpc::frame(&hand);
                        let said =
                            unary::call(&desk.runtime, *address, HAND, hand, folder::MOST as usize, until)
                                .await;
                        said.ok()
                            .and_then(|m| Handed::decode(m).ok())
                            .map_or(Word::None, |h| word(&batch, &h))
                    }
                };
                match &word {
                    Word::Taken => add(&desk.telemetry.ledger_exported),
                    _ => add(&desk.telemetry.ledger_export_again),
                }
                let list = exporter.handed(desk.runtime.now(), &batch, word);
                if !list.is_empty() && !desk.note(list).await {
                    return;
                }
            }
        }
    }
}

/// The consumer's word.
fn word(batch: &Batch, said: &Handed) -> Word {
    if said.batch.is_empty() {
        return Word::Ahead(said.last);
    }
    match Batch::decode(said.batch.clone()) {
        Ok(there) if there == *batch => Word::Taken,
        Ok(there) => Word::Other(there),
        Err(_) => Word::None,
    }
}
