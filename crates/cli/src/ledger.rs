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

/// Read a billing ledger; export and reconcile it while its ingress is down.
#[derive(clap::Subcommand)]
pub(crate) enum Ledger {
    /// Print usage by account and period.
    Show {
        /// The ledger's folder.
        folder: PathBuf,
        /// Length of a period in seconds.
        #[arg(long, default_value_t = 86_400, value_parser = clap::value_parser!(u64).range(1..=366 * 86_400))]
        period: u64,
        /// Print a line of JSON for each sum.
        #[arg(long)]
        json: bool,
    },
    /// Check every byte of each segment and name the first damaged one.
    Verify {
        /// The ledger's folder.
        folder: PathBuf,
    },
    /// Show which batches have been exported and what is due; with `--to`, deliver what is due.
    Export {
        /// The ledger's folder.
        folder: PathBuf,
        /// Length of a period in seconds.
        #[arg(long, default_value_t = 86_400, value_parser = clap::value_parser!(u64).range(1..=366 * 86_400))]
        period: u64,
        /// Number of the ingress that the ledger belongs to.
        #[arg(long)]
        ingress: u16,
        /// Numbers of all ingresses of its group, as in its settings.
        #[arg(long, value_delimiter = ',', required = true)]
        group: Vec<u16>,
        /// Folder to write the batches to, like `export.to.folder` of the settings.
        #[arg(long)]
        to: Option<PathBuf>,
        /// Treat every period that is over as final, even if an ingress has not declared it complete.
        #[arg(long)]
        all: bool,
        /// Print a line of JSON for each batch and for each line that is due.
        #[arg(long)]
        json: bool,
    },
    /// Add the entries of another ledger's folder that this one lacks.
    Reconcile {
        /// The ledger's folder.
        folder: PathBuf,
        /// Folder of the other ledger, or a copy of it. It is not changed.
        other: PathBuf,
    },
}

/// Maximum number of entries in a commit group, and of lines in a batch.
const MAX_GROUP_ENTRIES: usize = 4096;

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
                let exit = export.run(&runtime, to.as_deref()).await;
                exit.unwrap_or_else(|error| fail(Exit::System, error))
            }
            Ledger::Reconcile { folder, other } => {
                let exit = reconcile::run(&runtime, folder, other).await;
                exit.unwrap_or_else(|error| fail(Exit::System, error))
            }
        }
    })
}

/// Converts the length of a period in seconds.
fn periods(period_s: u64) -> Periods {
    Periods::Every(period_s * 1_000_000)
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
