//! `drill`: runs a day and prints the verdict of the audit.

use crate::output::print_line;
use crate::{fail, Exit};
use chalkgap::runtime::system::System;
use chalkgap_fault_injection::audit::Verdict;
use chalkgap_fault_injection::day::Day;
use chalkgap_fault_injection::drill::{self, DrillError, IngressPlacement};
use std::path::PathBuf;

/// Run a fault-injection drill against real ingresses and audit it.
#[derive(clap::Args)]
pub(crate) struct Drill {
    /// The day, a Starlark script that binds `day`. Without it, the built-in day is used.
    script: Option<PathBuf>,
    /// Use the built-in short day.
    #[arg(long, conflicts_with = "script")]
    short: bool,
    /// Text that the script reads as `given["KEY"]`, such as `seed=7`.
    #[arg(long = "set", value_name = "KEY=VALUE", value_parser = crate::pair)]
    given: Vec<(String, String)>,
    /// Run each ingress in a process of its own.
    #[arg(long)]
    processes: bool,
    /// Print the verdict as JSON.
    #[arg(long)]
    json: bool,
    /// Number of threads that run the drill.
    #[arg(long, default_value_t = 2)]
    threads: usize,
}

pub(crate) fn run(args: Drill) -> Exit {
    let (name, text) = match &args.script {
        Some(path) => match std::fs::read_to_string(path) {
            Ok(text) => (path.display().to_string(), text),
            Err(e) => return fail(Exit::System, format!("{}: {e}", path.display())),
        },
        None if args.short => {
            ("short.star".into(), include_str!("../../fault-injection/scenarios/short.star").into())
        }
        None => ("bad-day.star".into(), include_str!("../../fault-injection/scenarios/bad-day.star").into()),
    };
    let day = match Day::read(&name, text, &args.given) {
        Ok(day) => day,
        Err(e) => return fail(Exit::Settings, e),
    };
    let placement = match std::env::current_exe() {
        _ if !args.processes => IngressPlacement::InProcess,
        Ok(program) => IngressPlacement::Processes(program),
        Err(e) => return fail(Exit::System, format!("path of this program: {e}")),
    };
    let system = System::new();
    system.threads(args.threads.max(1) - 1);
    let Day { seconds, ingresses, .. } = day;
    if !args.json {
        print_line!("{name}: {ingresses} ingresses, {seconds} s ...");
    }
    match system.clone().run(drill::play(system, day, placement)) {
        Ok(verdict) => {
            if args.json {
                print_line!("{}", serde_json::to_string(&verdict).unwrap_or_default());
            } else {
                print(&verdict);
            }
            let billed = verdict.billing.as_ref().is_none_or(|b| b.differences.is_empty());
            let views = verdict.views.iter().flatten().all(|s| s.broken.is_empty());
            if verdict.violations.is_empty() && billed && views {
                Exit::Success
            } else {
                Exit::Failure
            }
        }
        Err(e @ (DrillError::Settings(_) | DrillError::Day { .. })) => fail(Exit::Settings, e),
        Err(e) => fail(Exit::System, e),
    }
}

fn print(verdict: &Verdict) {
    let failed: u64 = verdict.failed.values().sum();
    let ms = |us: [u64; 3]| us.map(|t| format!("{:.1}", t as f64 / 1000.0)).join(" / ");
    print_line!("calls            {:>8}", verdict.calls);
    print_line!("  served         {:>8}   {} ms (p50 / p99 / p99.9)", verdict.served, ms(verdict.served_us));
    print_line!("  refused        {:>8}   {} ms", verdict.refused, ms(verdict.refused_us));
    print_line!("  failed         {:>8}   by gRPC status: {:?}", failed, verdict.failed);
    print_line!("  not taken      {:>8}", verdict.not_taken);
    print_line!("  lost with a killed ingress {}", verdict.lost_with_ingress);
    print_line!("  late by a stall of the ingress {}", verdict.stalled);
    print_line!("  too little time to judge   {}", verdict.hopeless);
    print_line!("attempts         {:>8}", verdict.attempts);
    print_line!("units sent on    {:>8.0}   beyond their quota {:.0}", verdict.units, verdict.beyond_quota);
    if let Some(billing) = &verdict.billing {
        print_line!(
            "units billed     {:>8}   nodes counted {}, in {} sums",
            billing.billed,
            billing.counted,
            billing.sums
        );
        print_line!("  differences    {:>8}", billing.differences.len());
        billing.differences.iter().take(20).for_each(|d| print_line!("    {d}"));
    }
    if verdict.views.is_some() {
        print_line!("           bound       p50      p99     most  cases  of the fleet's view");
    }
    for s in verdict.views.iter().flatten() {
        let status = if s.broken.is_empty() { "held" } else { "BROKEN" };
        let quantile = |share| s.quantile(share).map_or("-".into(), |value| format!("{value:.2}"));
        let p50 = quantile(0.5);
        let p99 = quantile(0.99);
        let max = quantile(1.0);
        let cases = s.seen.len();
        print_line!("{status:<6} {:>8.2}  {p50:>8} {p99:>8} {max:>8}  {cases:>5}  {}", s.bound, s.what);
        s.broken.iter().take(10).for_each(|b| print_line!("    {b}"));
    }
    if verdict.violations.is_empty() {
        return print_line!("rules: all kept");
    }
    print_line!("rules: {} broken", verdict.violations.len());
    for violation in verdict.violations.iter().take(20) {
        print_line!("  rule {}: {}", violation.rule, violation.what);
    }
}
