//! `ledger`: reads a ledger's directory; exports and reconciles it while its ingress is down.

use crate::{fail, Exit};
use chalkgap::runtime::{system::System, Shared};
use chalkgap_ledger::directory_sink;
use chalkgap_ledger::entry::{Batch, EntryBody, Line};
use chalkgap_ledger::export::{self, ConsumerReply, ExportStep, Exporter};
use chalkgap_ledger::recorder::{self, Recorder, Recovery};
use chalkgap_ledger::store::{self, read_segments, ScannedSegment, Store, StoreError, SEGMENT_BYTES};
use chalkgap_ledger::{AddOutcome, Entry, Periods, SegmentEnd, Sum, UsageTotals};
use std::path::{Path, PathBuf};

/// Read a billing ledger; export and reconcile one by hand while its ingress is down.
#[derive(clap::Subcommand)]
pub(crate) enum Ledger {
    /// Print use by account and period.
    Show {
        /// The ledger's folder.
        folder: PathBuf,
        /// Length of a period in seconds.
        #[arg(long, default_value_t = 86_400, value_parser = clap::value_parser!(u64).range(1..=366 * 86_400))]
        period: u64,
        /// A line of JSON for each sum.
        #[arg(long)]
        json: bool,
    },
    /// Check every byte; name the first bad one.
    Verify {
        /// The ledger's folder.
        folder: PathBuf,
    },
    /// Show what has been exported and what is due; with `--to`, hand it over.
    Export {
        /// The ledger's folder.
        folder: PathBuf,
        /// Length of a period in seconds.
        #[arg(long, default_value_t = 86_400, value_parser = clap::value_parser!(u64).range(1..=366 * 86_400))]
        period: u64,
        /// The ingress whose ledger it is.
        #[arg(long)]
        ingress: u16,
        /// All ingresses of its group, as its settings have them.
        #[arg(long, value_delimiter = ',', required = true)]
        group: Vec<u16>,
        /// A folder that takes batches, as `export.to.folder` of the settings.
        #[arg(long)]
        to: Option<PathBuf>,
        /// Treat every period that is over as final, whoever has not said that it is complete.
        #[arg(long)]
        all: bool,
        /// A line of JSON for each batch, and for each line that is due.
        #[arg(long)]
        json: bool,
    },
    /// Take entries that another ledger's folder has and this one lacks.
    Reconcile {
        /// The ledger's folder.
        folder: PathBuf,
        /// The other one; a copy of it will do, and it is not changed.
        other: PathBuf,
    },
}

/// Entries that are written as one group, and lines of a batch.
const GROUP: usize = 4096;
/// A timeout that does not run out, and leaves room to be added to any time.
const NO_TIMEOUT_MICROS: u64 = u64::MAX / 4;

impl Ledger {
    fn folder(&self) -> &Path {
        match self {
            Ledger::Show { folder, .. }
            | Ledger::Verify { folder }
            | Ledger::Export { folder, .. }
            | Ledger::Reconcile { folder, .. } => folder,
        }
    }
}

pub(crate) fn run(command: Ledger) -> Exit {
    let system = System::new();
    let runtime: Shared = system.clone();
    let folder = command.folder();
    if !folder.is_dir() {
        return fail(Exit::System, format!("{}: no such folder", folder.display()));
    }
    system.run(async move {
        match &command {
            Ledger::Show { folder, period, json } => show(&runtime, folder, *period, *json).await,
            Ledger::Verify { folder } => verify(&runtime, folder).await,
            Ledger::Export { folder, period, ingress, group, to, all, json } => {
                let export = ManualExport {
                    folder,
                    period: *period,
                    ingress: *ingress,
                    group,
                    all: *all,
                    json: *json,
                };
                let done = export.run(&runtime, to.as_deref()).await;
                done.unwrap_or_else(|error| fail(Exit::System, error))
            }
            Ledger::Reconcile { folder, other } => {
                let done = reconcile(&runtime, folder, other).await;
                done.unwrap_or_else(|error| fail(Exit::System, error))
            }
        }
    })
}

/// Prints the sums of a ledger; also of a damaged one, as far as it can be read.
async fn show(runtime: &Shared, folder: &Path, period: u64, json: bool) -> Exit {
    let read = ReadLedger::read(runtime, folder, seconds(period), |segment| {
        if segment.condition.is_damaged {
            fail(Exit::Bad, format!("{}: {}", segment.path.display(), segment.condition.text));
        }
    });
    let read = match read.await {
        Ok(read) => read,
        Err(exit) => return exit,
    };
    if !json {
        println!(
            "{:<24} {:<16} {:>10} {:>12} {:>10} {:>10} {:>8}",
            "account", "plan", "period", "units", "requests", "presumed", "open"
        );
    }
    for (account, plan, period, sum) in read.totals.sums() {
        let Sum { units, requests, presumed, open } = sum;
        if json {
            let line = serde_json::json!({
                "account": account, "plan": plan, "period": period, "units": units, "requests": requests,
                "presumed": presumed, "open": open,
            });
            println!("{line}");
        } else {
            println!(
                "{account:<24} {plan:<16} {period:>10} {units:>12} {requests:>10} {presumed:>10} {open:>8}"
            );
        }
    }
    read.exit()
}

/// Prints the condition of each segment.
async fn verify(runtime: &Shared, folder: &Path) -> Exit {
    let read = ReadLedger::read(runtime, folder, seconds(1), |segment| {
        let SegmentReport { path, entries, conflicts, condition } = segment;
        println!("{}: {entries} entries, {conflicts} conflicts, {}", path.display(), condition.text);
    });
    read.await.map_or_else(|exit| exit, |read| read.exit())
}

fn seconds(period: u64) -> Periods {
    Periods::Every(period * 1_000_000)
}

/// Whether a segment can be read, for people.
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
            SegmentEnd::Torn => (true, format!("DAMAGED: torn at byte {valid_bytes}, but others follow it")),
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
    /// Damaged segments and conflicting entries.
    defects: usize,
}

impl ReadLedger {
    /// Reads all segments; each is reported. An error has been printed already.
    async fn read(
        runtime: &Shared,
        folder: &Path,
        periods: Periods,
        mut report: impl FnMut(SegmentReport<'_>),
    ) -> Result<ReadLedger, Exit> {
        let restored = restore_totals(runtime, folder, periods).await;
        let mut totals = restored.map_err(|error| fail(Exit::Bad, error))?;
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
            Exit::Bad
        } else {
            Exit::Good
        }
    }
}

/// The totals of a directory's snapshot, or those of no entries.
async fn restore_totals(
    runtime: &Shared,
    folder: &Path,
    periods: Periods,
) -> Result<UsageTotals, StoreError> {
    match store::read_snapshot(runtime, folder).await? {
        Some(snapshot) => Ok(UsageTotals::restore(periods, &snapshot.totals)?),
        None => Ok(UsageTotals::new(periods)),
    }
}

/// Adds the entries that another directory has.
async fn reconcile(runtime: &Shared, folder: &Path, other: &Path) -> Result<Exit, StoreError> {
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

/// An export while the ledger's ingress is down.
struct ManualExport<'a> {
    folder: &'a Path,
    /// Seconds.
    period: u64,
    ingress: u16,
    group: &'a [u16],
    all: bool,
    json: bool,
}

impl ManualExport<'_> {
    async fn run(&self, runtime: &Shared, to: Option<&Path>) -> Result<Exit, StoreError> {
        let now = runtime.now();
        let final_after = if self.all { 0 } else { u64::MAX };
        let config = export::Config { final_after, check_interval: 1, takeover_delay: 0, max_lines: GROUP };
        let exporter = Exporter::new(self.ingress, self.group.to_vec(), config);
        match to {
            Some(to) => self.deliver(runtime, to, exporter, now).await,
            None => self.preview(runtime, &exporter, now).await,
        }
    }

    /// Prints what is due. Needs no lock and writes nothing.
    async fn preview(&self, runtime: &Shared, exporter: &Exporter, now: u64) -> Result<Exit, StoreError> {
        let mut totals = restore_totals(runtime, self.folder, seconds(self.period)).await?;
        let mut entries = Vec::new();
        read_segments(runtime, self.folder, |segment| entries.extend(segment.scan.entries)).await?;
        for entry in &entries {
            totals.add(entry);
        }
        Ok(self.print_state(exporter, &totals, now))
    }

    async fn deliver(
        &self,
        runtime: &Shared,
        to: &Path,
        mut exporter: Exporter,
        started_at: u64,
    ) -> Result<Exit, StoreError> {
        let OpenLedger { mut totals, mut store, mut recorder } = self.open(runtime, started_at).await?;
        let mut delivered = 0;
        for turn in 1.. {
            let now = started_at + turn;
            let written = match exporter.next_step(now, &totals) {
                None => break,
                Some(ExportStep::Write(batch)) => vec![EntryBody::BatchPrepared(batch)],
                Some(ExportStep::Send(batch)) => {
                    let reply = directory_sink::deliver(runtime, to, &batch).await;
                    if reply == ConsumerReply::None {
                        return Ok(fail(Exit::System, format!("{}: no word on a batch", to.display())));
                    }
                    let stored = reply == ConsumerReply::Stored;
                    let written = exporter.replied(now, &batch, reply);
                    if written.is_empty() {
                        break; // blocked: printed below
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
            println!("{delivered} batches handed over");
        }
        Ok(self.print_state(&exporter, &totals, started_at))
    }

    /// Opens the ledger for writing, as a new incarnation of its ingress.
    async fn open(&self, runtime: &Shared, now: u64) -> Result<OpenLedger, StoreError> {
        let periods = seconds(self.period);
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
            println!("{line}");
        } else {
            println!("{stream} {number}: {lines} lines, {units} units");
        }
    }

    /// Prints streams and what is due; [`Exit::Bad`] if a stream is blocked.
    fn print_state(&self, exporter: &Exporter, totals: &UsageTotals, now: u64) -> Exit {
        let mut exit = Exit::Good;
        for (stream, reason) in exporter.blocked() {
            exit = fail(Exit::Bad, format!("{stream} is stuck: {reason}"));
        }
        for shard in 0..self.group.len() {
            let stream = exporter.stream_name(shard);
            let position = totals.stream_position(&stream);
            if !self.json {
                let pending =
                    if position.pending.is_some() { ", one written and without a word" } else { "" };
                println!("{stream}: {} batches taken{pending}", position.acknowledged);
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
            println!("{line}");
        } else {
            println!("due: {account} ({plan}), period {period}: {units} units, {requests} requests");
        }
    }
}

/// A ledger that is open for writing.
struct OpenLedger {
    totals: UsageTotals,
    store: Store,
    recorder: Recorder,
}

/// Opens no requests and looks none up: requests whose end is unknown stay so until their ingress is back.
fn recorder_config() -> recorder::Config {
    recorder::Config {
        max_waiting: GROUP,
        slow_disk_after: 0,
        retry_after: 0,
        serve_unrecorded: false,
        lookup_timeout: NO_TIMEOUT_MICROS,
        correction_window: NO_TIMEOUT_MICROS,
        lookup_interval: 0,
        max_unsettled: usize::MAX,
    }
}
