//! `ledger show` and `ledger verify`: read a ledger without changing it.

use super::{periods, restore_totals};
use crate::output::print_line;
use crate::{fail, Exit};
use chalkgap::runtime::Shared;
use chalkgap_ledger::store::{read_segments, ScannedSegment};
use chalkgap_ledger::{AddOutcome, Periods, SegmentEnd, Sum, UsageTotals};
use std::path::Path;

/// Prints the sums of a ledger. Of a damaged ledger, the entries that can be read are included.
pub(super) async fn show(runtime: &Shared, folder: &Path, period: u64, json: bool) -> Exit {
    let read = ReadLedger::read(runtime, folder, periods(period), |segment| {
        if segment.condition.is_damaged {
            fail(Exit::Failure, format!("{}: {}", segment.path.display(), segment.condition.text));
        }
    });
    let read = match read.await {
        Ok(read) => read,
        Err(exit) => return exit,
    };
    if !json {
        print_line!(
            "{:<24} {:<16} {:>10} {:>12} {:>10} {:>10} {:>8}",
            "account",
            "plan",
            "period",
            "units",
            "requests",
            "presumed",
            "open"
        );
    }
    for (account, plan, period, sum) in read.totals.sums() {
        let Sum { units, requests, presumed, open } = sum;
        if json {
            let line = serde_json::json!({
                "account": account, "plan": plan, "period": period, "units": units, "requests": requests,
                "presumed": presumed, "open": open,
            });
            print_line!("{line}");
        } else {
            print_line!(
                "{account:<24} {plan:<16} {period:>10} {units:>12} {requests:>10} {presumed:>10} {open:>8}"
            );
        }
    }
    read.exit()
}

/// Prints the condition of each segment.
pub(super) async fn verify(runtime: &Shared, folder: &Path) -> Exit {
    let read = ReadLedger::read(runtime, folder, periods(1), |segment| {
        let SegmentReport { path, entries, conflicts, condition } = segment;
        print_line!("{}: {entries} entries, {conflicts} conflicts, {}", path.display(), condition.text);
    });
    read.await.map_or_else(|exit| exit, |read| read.exit())
}

/// Whether a segment is damaged, with a text for the user.
struct Condition {
    is_damaged: bool,
    text: String,
}

impl Condition {
    fn of(segment: &ScannedSegment<'_>) -> Condition {
        let valid_bytes = segment.scan.valid_bytes;
        let (is_damaged, text) = match &segment.scan.end {
            SegmentEnd::Complete => (false, "good".to_owned()),
            SegmentEnd::Torn if segment.is_last => {
                (false, format!("good up to byte {valid_bytes}, then torn by a crash"))
            }
            SegmentEnd::Torn => {
                (true, format!("DAMAGED: torn at byte {valid_bytes}, but other segments follow"))
            }
            SegmentEnd::Damaged { at, what } => (true, format!("DAMAGED at byte {at}: {what}")),
        };
        Condition { is_damaged, text }
    }
}

struct SegmentReport<'a> {
    path: &'a Path,
    entries: usize,
    conflicts: usize,
    condition: Condition,
}

/// A ledger that was read without changing it.
struct ReadLedger {
    totals: UsageTotals,
    /// Number of damaged segments and conflicting entries.
    defects: usize,
}

impl ReadLedger {
    /// Reads all segments and passes a report of each to `report`.
    ///
    /// # Errors
    /// The exit code if the ledger cannot be read. The error has been printed.
    async fn read(
        runtime: &Shared,
        folder: &Path,
        periods: Periods,
        mut report: impl FnMut(SegmentReport<'_>),
    ) -> Result<ReadLedger, Exit> {
        let restored = restore_totals(runtime, folder, periods).await;
        let mut totals = restored.map_err(|error| fail(Exit::Failure, error))?;
        let mut defects = 0;
        let read = read_segments(runtime, folder, |segment| {
            let outcomes = segment.scan.entries.iter().map(|entry| totals.add(entry));
            let conflicts = outcomes.filter(|outcome| *outcome == AddOutcome::Conflict).count();
            let condition = Condition::of(&segment);
            defects += usize::from(condition.is_damaged) + conflicts;
            let entries = segment.scan.entries.len();
            report(SegmentReport { path: segment.path, entries, conflicts, condition });
        });
        read.await.map_err(|error| fail(Exit::System, error))?;
        Ok(ReadLedger { totals, defects })
    }

    fn exit(&self) -> Exit {
        if self.defects > 0 {
            Exit::Failure
        } else {
            Exit::Success
        }
    }
}
