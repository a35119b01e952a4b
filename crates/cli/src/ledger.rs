//! `ledger`: reads a ledger's folder; changes nothing.

use crate::{fail, Exit};
use chalkgap::runtime::{system::System, Shared};
use chalkgap_ledger::clerk::{self, Clerk, Recovery};
use chalkgap_ledger::entry::{Batch, Entry, Line, What};
use chalkgap_ledger::export::{Exporter, Rules, Step, Word};
use chalkgap_ledger::store::{self, read, Store, StoreError, SEGMENT};
use chalkgap_ledger::{folder, Book, Ending, Periods, Taken};
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

/// Entries that are written at once.
const GROUP: usize = 4096;

pub(crate) fn run(what: Ledger) -> Exit {
    let system = System::new();
    let runtime: Shared = system.clone();
    system.run(async move {
        let (folder, period) = match &what {
            Ledger::Export { folder, .. } | Ledger::Reconcile { folder, .. } if !folder.is_dir() => {
                return fail(Exit::System, format!("{}: no such folder", folder.display()));
            }
            Ledger::Export { folder, period, ingress, group, to, all, json } => {
                let by = ByHand { folder, period: *period, me: *ingress, group, all: *all, json: *json };
                return by.export(&runtime, to.as_deref()).await.unwrap_or_else(|e| fail(Exit::System, e));
            }
            Ledger::Reconcile { folder, other } => {
                return reconcile(&runtime, folder, other).await.unwrap_or_else(|e| fail(Exit::System, e));
            }
            Ledger::Show { folder, period, .. } => (folder, *period),
            Ledger::Verify { folder } => (folder, 1),
        };
        if !folder.is_dir() {
            return fail(Exit::System, format!("{}: no such folder", folder.display()));
        }
        let mut book = match started(&runtime, folder, Periods::Every(period * 1_000_000)).await {
            Ok(book) => book,
            Err(e) => return fail(Exit::Bad, e),
        };
        let mut bad = 0;
        let verify = matches!(what, Ledger::Verify { .. });
        let done = read(&runtime, folder, |path, scan, last| {
            let conflicts = scan.entries.iter().filter(|e| book.take(e) == Taken::Conflict).count();
            let word = match &scan.ending {
                Ending::Whole => "good".to_owned(),
                Ending::Torn if last => format!("good up to byte {}, then torn by a crash", scan.good),
                Ending::Torn => format!("DAMAGED: torn at byte {}, but others follow it", scan.good),
                Ending::Damaged { at, what } => format!("DAMAGED at byte {at}: {what}"),
            };
            bad += usize::from(word.starts_with("DAMAGED")) + conflicts;
            if verify {
                println!("{}: {} entries, {conflicts} conflicts, {word}", path.display(), scan.entries.len());
            } else if word.starts_with("DAMAGED") {
                fail(Exit::Bad, format!("{}: {word}", path.display()));
            }
        });
        if let Err(e) = done.await {
            return fail(Exit::System, e);
        }
        if let Ledger::Show { json, .. } = what {
            if !json {
                println!(
                    "{:<24} {:<16} {:>10} {:>12} {:>10} {:>10} {:>8}",
                    "account", "plan", "period", "units", "requests", "presumed", "open"
                );
            }
            for (account, plan, period, s) in book.sums() {
                if json {
                    let line = serde_json::json!({
                        "account": account, "plan": plan, "period": period, "units": s.units, "requests": s.requests,
                        "presumed": s.presumed, "open": s.open,
                    });
                    println!("{line}");
                } else {
                    println!(
                        "{account:<24} {plan:<16} {period:>10} {:>12} {:>10} {:>10} {:>8}",
                        s.units, s.requests, s.presumed, s.open
                    );
                }
            }
        }
        if bad > 0 {
            Exit::Bad
        } else {
            Exit::Good
        }
    })
}

/// The book that a folder's snapshot holds, or an empty one.
async fn started(runtime: &Shared, folder: &Path, periods: Periods) -> Result<Book, StoreError> {
    match store::snapshot(runtime, folder).await? {
        Some(s) => Ok(Book::restore(periods, &s.book)?),
        None => Ok(Book::new(periods)),
    }
}

/// Takes over what another folder has.
async fn reconcile(runtime: &Shared, folder: &Path, other: &Path) -> Result<Exit, StoreError> {
    let mut book = started(runtime, folder, Periods::Every(1)).await?;
    let mut store = Store::open(runtime.clone(), folder, SEGMENT, |e| {
        book.take(&e);
    })
    .await?;
    let (mut new, mut conflicts, mut bad) = (Vec::new(), 0u64, false);
    read(runtime, other, |path, scan, _| {
        if let Ending::Damaged { at, what } = &scan.ending {
            bad = true;
            fail(Exit::Bad, format!("{}: byte {at}: {what}; what is before is taken", path.display()));
        }
        for entry in scan.entries {
            match book.take(&entry) {
                Taken::New => new.push(entry),
                Taken::Known => {}
                Taken::Conflict => conflicts += 1,
            }
        }
    })
    .await?;
    for group in new.chunks(GROUP) {
        store.commit(group).await?;
    }
    println!("{} entries taken, {conflicts} conflicts", new.len());
    Ok(if bad || conflicts > 0 { Exit::Bad } else { Exit::Good })
}

/// An export without its ingress.
struct ByHand<'a> {
    folder: &'a Path,
    period: u64,
    me: u16,
    group: &'a [u16],
    all: bool,
    json: bool,
}

impl ByHand<'_> {
    async fn export(&self, runtime: &Shared, to: Option<&Path>) -> Result<Exit, StoreError> {
        let periods = Periods::Every(self.period * 1_000_000);
        let mut book = started(runtime, self.folder, periods).await?;
        let mut recovery = Recovery::new(self.me);
        recovery.restore(&book);
        let take = |e: Entry| {
            book.take(&e);
            recovery.take(&e);
        };
        let now = runtime.now();
        let after = if self.all { 0 } else { u64::MAX };
        let rules = Rules { after, every: 1, takeover: 0, lines: GROUP };
        let mut exporter = Exporter::new(self.me, self.group.to_vec(), rules);
        let Some(to) = to else {
            // To look needs no lock, and nothing is written.
            let mut entries = Vec::new();
            read(runtime, self.folder, |_, scan, _| entries.extend(scan.entries)).await?;
            entries.into_iter().for_each(take);
            return Ok(self.show(&exporter, &book, now));
        };
        let mut store = Store::open(runtime.clone(), self.folder, SEGMENT, take).await?;
        let incarnation = store::incarnation(recovery.latest(), now);
        // What is in doubt stays so: its ingress asks when it is back.
        let quiet = clerk::Rules {
            waiting: GROUP,
            slow: 0,
            pause: 0,
            serve_without: false,
            truth: u64::MAX / 4,
            later: u64::MAX / 4,
            again: 0,
            remembered: usize::MAX,
        };
        let mut clerk = Clerk::new(self.me, incarnation, periods, quiet, recovery, now);
        let mut handed = 0;
        for turn in 1.. {
            let now = now + turn;
            let list = match exporter.next(now, &book) {
                None => break,
                Some(Step::Write(batch)) => vec![What::Exported(batch)],
                Some(Step::Hand(batch)) => {
                    let word = folder::hand(runtime, to, &batch).await;
                    if word == Word::None {
                        return Ok(fail(Exit::System, format!("{}: no word on a batch", to.display())));
                    }
                    let taken = word == Word::Taken;
                    let list = exporter.handed(now, &batch, word);
                    if list.is_empty() {
                        break; // stuck: told below
                    }
                    if taken {
                        handed += 1;
                        self.print(&batch);
                    }
                    list
                }
            };
            for what in list {
                clerk.note(now, what);
            }
            let group = clerk.take();
            store.commit(&group).await?;
            for entry in &group {
                book.take(entry);
            }
        }
        if !self.json {
            println!("{handed} batches handed over");
        }
        Ok(self.show(&exporter, &book, now))
    }

    fn print(&self, batch: &Batch) {
        let units: i64 = batch.lines.iter().map(|l| l.units).sum();
        let (stream, number, lines) = (&batch.stream, batch.number, batch.lines.len());
        if self.json {
            println!(
                "{}",
                serde_json::json!({"stream": stream, "number": number, "lines": lines, "units": units})
            );
        } else {
            println!("{stream} {number}: {lines} lines, {units} units");
        }
    }

    /// Streams and what is due; bad if one is stuck.
    fn show(&self, exporter: &Exporter, book: &Book, now: u64) -> Exit {
        let mut exit = Exit::Good;
        for (stream, why) in exporter.stuck() {
            exit = fail(Exit::Bad, format!("{stream} is stuck: {why:?}"));
        }
        for shard in 0..self.group.len() {
            let stream = exporter.stream(shard);
            let place = book.place(&stream);
            if !self.json {
                let pending = if place.pending.is_some() { ", one written and without a word" } else { "" };
                println!("{stream}: {} batches taken{pending}", place.done);
            }
        }
        let until = exporter.until(now, book);
        for line in until.map(|u| book.due(u, |_| true, usize::MAX)).unwrap_or_default() {
            let Line { account, plan, period, units, requests, .. } = line;
            if self.json {
                let line = serde_json::json!({"due": account, "plan": plan, "period": period, "units": units,
                    "requests": requests});
                println!("{line}");
            } else {
                println!("due: {account} ({plan}), period {period}: {units} units, {requests} requests");
            }
        }
        exit
    }
}
