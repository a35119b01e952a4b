//! `drill`: plays a day and prints what the auditor found.

use crate::{fail, Exit};
use chalkgap::runtime::system::System;
use chalkgap_fault_injection::audit::Verdict;
use chalkgap_fault_injection::day::Day;
use chalkgap_fault_injection::drill::{self, DrillError, Home};
use std::path::PathBuf;

/// Play a bad day through real ingresses and judge it.
#[derive(clap::Args)]
pub(crate) struct Drill {
    /// The day, a Starlark script that binds `day`; the day that ships where none is given.
    script: Option<PathBuf>,
    /// The day that ships in a short form.
    #[arg(long, conflicts_with = "script")]
    short: bool,
    /// Text that the script reads as `given["KEY"]`, such as `seed=7`.
    #[arg(long = "set", value_name = "KEY=VALUE", value_parser = crate::pair)]
    given: Vec<(String, String)>,
    /// Each ingress in a process of its own.
    #[arg(long)]
    processes: bool,
    /// The verdict as JSON.
    #[arg(long)]
    json: bool,
    /// Threads that run it.
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
    let home = match std::env::current_exe() {
        _ if !args.processes => Home::InProcess,
        Ok(program) => Home::Processes(program),
        Err(e) => return fail(Exit::System, format!("this program's own path: {e}")),
    };
    let system = System::new();
    system.threads(args.threads.max(1) - 1);
    let (seconds, ingresses) = (day.seconds, day.ingresses);
    if !args.json {
        println!("{name}: {ingresses} ingresses, {seconds} s ...");
    }
    match system.clone().run(drill::play(system, day, home)) {
        Ok(verdict) => {
            if args.json {
                println!("{}", serde_json::to_string(&verdict).unwrap_or_default());
            } else {
                print(&verdict);
            }
            let billed = verdict.billing.as_ref().is_none_or(|b| b.differences.is_empty());
            let views = verdict.views.iter().flatten().all(|s| s.broken.is_empty());
            if verdict.violations.is_empty() && billed && views {
                Exit::Good
            } else {
                Exit::Bad
            }
        }
        Err(e @ (DrillError::Settings(_) | DrillError::Day { .. })) => fail(Exit::Settings, e),
        Err(e) => fail(Exit::System, e),
    }
}

fn print(v: &Verdict) {
    let failed: u64 = v.failed.values().sum();
    let ms = |us: [u64; 3]| us.map(|t| format!("{:.1}", t as f64 / 1000.0)).join(" / ");
    println!("calls            {:>8}", v.calls);
    println!("  served         {:>8}   {} ms (p50 / p99 / p99.9)", v.served, ms(v.served_us));
    println!("  refused        {:>8}   {} ms", v.refused, ms(v.refused_us));
    println!("  failed         {:>8}   by gRPC status: {:?}", failed, v.failed);
    println!("  not taken      {:>8}", v.not_taken);
    println!("  lost with a killed ingress {}", v.lost_with_ingress);
    println!("  late by a stall of the ingress {}", v.stalled);
    println!("  too little time to judge   {}", v.hopeless);
    println!("attempts         {:>8}", v.attempts);
    println!("units sent on    {:>8.0}   beyond their quota {:.0}", v.units, v.beyond_quota);
    if let Some(b) = &v.billing {
        println!("units billed     {:>8}   nodes counted {}, in {} sums", b.billed, b.counted, b.sums);
        println!("  differences    {:>8}", b.differences.len());
        b.differences.iter().take(20).for_each(|d| println!("    {d}"));
    }
    if v.views.is_some() {
        println!("           bound       p50      p99     most  cases  of the fleet's view");
    }
    for s in v.views.iter().flatten() {
        let held = if s.broken.is_empty() { "held" } else { "BROKEN" };
        let of = |share| s.quantile(share).map_or("-".into(), |v| format!("{v:.2}"));
        let (half, most, worst, cases) = (of(0.5), of(0.99), of(1.0), s.seen.len());
        println!("{held:<6} {:>8.2}  {half:>8} {most:>8} {worst:>8}  {cases:>5}  {}", s.bound, s.what);
        s.broken.iter().take(10).for_each(|b| println!("    {b}"));
    }
    if v.violations.is_empty() {
        return println!("rules: all kept");
    }
    println!("rules: {} broken", v.violations.len());
    for b in v.violations.iter().take(20) {
        println!("  rule {}: {}", b.rule, b.what);
    }
}
