//! `ledger`: reads a ledger's directory; exports and reconciles it while its ingress is down.

mod export;
mod inspect;
mod reconcile;

use crate::{fail, Exit};
use chalkgap::runtime::{system::System, Shared};
use chalkgap_ledger::store::{self, StoreError};
use chalkgap_ledger::{Periods, UsageTotals};
use export::ManualExport;
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
            Ledger::Show { folder, period, json } => inspect::show(&runtime, folder, *period, *json).await,
            Ledger::Verify { folder } => inspect::verify(&runtime, folder).await,
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
                let done = reconcile::run(&runtime, folder, other).await;
                done.unwrap_or_else(|error| fail(Exit::System, error))
            }
        }
    })
}

fn seconds(period: u64) -> Periods {
    Periods::Every(period * 1_000_000)
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
