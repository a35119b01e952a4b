//! Runs scenarios of fault injection, with all ingresses in this process and with each ingress in a separate process.

use chalkgap::runtime::system::System;
use chalkgap_fault_injection::audit::Verdict;
use chalkgap_fault_injection::day::Day;
use chalkgap_fault_injection::drill::{play, IngressPlacement};
use chalkgap_fault_injection::fleet::Statement;
use std::sync::{Mutex, PoisonError};

fn placements() -> [IngressPlacement; 2] {
    [IngressPlacement::InProcess, IngressPlacement::Processes(env!("CARGO_BIN_EXE_chalkgap").into())]
}

/// Held while a day runs. The audit depends on times, and parallel days would share two cores.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn run(script: &str, placement: IngressPlacement) -> Verdict {
    run_over(None, script, placement)
}

/// Runs a scenario. `frontend` is the protocol that all clients use; `None` leaves that to the script.
fn run_over(frontend: Option<&str>, script: &str, placement: IngressPlacement) -> Verdict {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let given: Vec<(String, String)> =
        frontend.iter().map(|name| ("door".to_owned(), (*name).to_owned())).collect();
    let day = Day::read("day.star", script.into(), &given).expect("a valid drill configuration");
    let system = System::new();
    system.threads(1);
    system.clone().run(play(system, day, placement)).expect("the drill runs")
}

#[test]
fn the_short_day_violates_no_rule() {
    for placement in placements() {
        let verdict = run(include_str!("../../fault-injection/scenarios/short.star"), placement.clone());
        assert!(verdict.violations.is_empty(), "{placement:?}: {:#?}", verdict.violations);
        assert!(
            verdict.calls > 800 && verdict.served > 500 && verdict.refused > 20,
            "{placement:?}: too little traffic: {verdict:?}"
        );
        let billing = verdict.billing.expect("the day has ledgers");
        assert!(billing.differences.is_empty(), "{placement:?}: {:#?}", billing.differences);
        assert!(billing.counted > 500, "{billing:?}");
    }
}

/// The same scenario with MQTT for all clients.
#[test]
fn the_short_day_over_mqtt_alone() {
    let [in_process, _] = placements();
    let verdict =
        run_over(Some("mqtt"), include_str!("../../fault-injection/scenarios/short.star"), in_process);
    assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
    assert!(
        verdict.calls > 800 && verdict.served > 500 && verdict.refused > 20,
        "too little traffic: {verdict:?}"
    );
    let billing = verdict.billing.expect("the day has ledgers");
    assert!(billing.differences.is_empty(), "{:#?}", billing.differences);
}

/// The time that a request waits in the socket of a suspended ingress counts against its timeout. Guards against the following
/// failure: the ingress counted the timeout from when it read the request, and so answered about 100 ms late, with an attempt
/// sent after the client's deadline.
#[test]
fn time_in_the_socket_of_a_suspended_ingress_counts_against_the_timeout() {
    for frontend in ["grpc", "mqtt"] {
        let [_, processes] = placements();
        let verdict =
            run_over(Some(frontend), include_str!("../../fault-injection/scenarios/stalled.star"), processes);
        assert!(verdict.violations.is_empty(), "{frontend}: {:#?}", verdict.violations);
        assert!(verdict.calls > 300 && verdict.served > 200, "{frontend}: {verdict:?}");
    }
}

#[test]
fn served_requests_match_the_bursts_in_every_kind_of_run() {
    let script = include_str!("../../fault-injection/scenarios/counted.star");
    let frontends = ["grpc", "mqtt"].into_iter();
    let verdicts = frontends.flat_map(|f| placements().map(|placement| run_over(Some(f), script, placement)));
    // Two plans with bursts of 4 and 9, 6 accounts for each plan and 12 requests for each account.
    let calls = 144;
    let served = 6 * 4 + 6 * 9;
    let refused = calls - served;
    for verdict in verdicts {
        assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
        assert_eq!((verdict.calls, verdict.served, verdict.refused), (calls, served, refused), "{verdict:?}");
    }
}

fn fleet_view(given: &[(&str, &str)]) -> Vec<Statement> {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let given: Vec<(String, String)> = given.iter().map(|g| (g.0.to_owned(), g.1.to_owned())).collect();
    let script = include_str!("../../fault-injection/scenarios/fleet-view.star").to_owned();
    let day = Day::read("fleet-view.star", script, &given).expect("a valid drill configuration");
    let [_, processes] = placements();
    let system = System::new();
    system.threads(1);
    let verdict = system.clone().run(play(system, day, processes)).expect("the drill runs");
    assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
    verdict.views.expect("the day states bounds of its fleet")
}

/// Ten processes that join, are killed, suspended, partitioned and superseded, and leave.
#[test]
fn the_views_of_a_fleet_meet_the_stated_bounds() {
    let views = fleet_view(&[]);
    assert_eq!(views.len(), 7);
    for s in views {
        assert!(s.broken.is_empty(), "{s:#?}");
    }
}

#[test]
fn a_fleet_that_never_detects_deaths_is_reported() {
    let views = fleet_view(&[("plant", "deaf-detector"), ("seconds", "16")]);
    let deaths = views.iter().find(|s| s.what.contains("a death or leave")).expect("a statement on deaths");
    assert!(deaths.seen.len() >= 6 && deaths.broken.len() == deaths.seen.len(), "{deaths:#?}");
}
