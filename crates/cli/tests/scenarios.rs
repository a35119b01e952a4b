//! The same scenarios against the library in this process and against the daemon's processes, unchanged.

use chalkgap::runtime::system::System;
use chalkgap_fault_injection::audit::Verdict;
use chalkgap_fault_injection::day::Day;
use chalkgap_fault_injection::drill::{play, Home};
use chalkgap_fault_injection::fleet::Statement;
use std::sync::{Mutex, PoisonError};

fn homes() -> [Home; 2] {
    [Home::InProcess, Home::Processes(env!("CARGO_BIN_EXE_chalkgap").into())]
}

/// One day at a time: days judge by times, and share two cores.
static ALONE: Mutex<()> = Mutex::new(());

fn run(script: &str, home: Home) -> Verdict {
    through(None, script, home)
}

/// The same day, all of it through one front.
fn through(door: Option<&str>, script: &str, home: Home) -> Verdict {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let given: Vec<(String, String)> = door.iter().map(|d| ("door".to_owned(), (*d).to_owned())).collect();
    let day = Day::read("day.star", script.into(), &given).expect("a good day");
    let system = System::new();
    system.threads(1);
    system.clone().run(play(system, day, home)).expect("a day that can be played")
}

#[test]
fn the_short_day_keeps_the_rules() {
    for home in homes() {
        let v = run(include_str!("../../fault-injection/scenarios/short.star"), home.clone());
        assert!(v.violations.is_empty(), "{home:?}: {:#?}", v.violations);
        assert!(v.calls > 800 && v.served > 500 && v.refused > 20, "{home:?}: a day of some traffic: {v:?}");
        let billing = v.billing.expect("the day has ledgers");
        assert!(billing.differences.is_empty(), "{home:?}: {:#?}", billing.differences);
        assert!(billing.counted > 500, "{billing:?}");
    }
}

/// The same scenario but for the door.
#[test]
fn the_short_day_over_mqtt_alone() {
    let [here, _] = homes();
    let v = through(Some("mqtt"), include_str!("../../fault-injection/scenarios/short.star"), here);
    assert!(v.violations.is_empty(), "{:#?}", v.violations);
    assert!(v.calls > 800 && v.served > 500 && v.refused > 20, "a day of some traffic: {v:?}");
    let billing = v.billing.expect("the day has ledgers");
    assert!(billing.differences.is_empty(), "{:#?}", billing.differences);
}

/// Calls that waited in the socket of an ingress that stood still have lost that time: counting theirs from the reading,
/// it answered some 100 ms late, with an attempt sent after the client's time.
#[test]
fn a_stall_is_taken_off_the_time_of_what_waited() {
    for door in ["grpc", "mqtt"] {
        let [_, processes] = homes();
        let v = through(Some(door), include_str!("../../fault-injection/scenarios/stalled.star"), processes);
        assert!(v.violations.is_empty(), "{door}: {:#?}", v.violations);
        assert!(v.calls > 300 && v.served > 200, "{door}: {v:?}");
    }
}

#[test]
fn decisions_are_counted_alike() {
    let script = include_str!("../../fault-injection/scenarios/counted.star");
    let doors = ["grpc", "mqtt"].into_iter();
    let verdicts = doors.flat_map(|d| homes().map(|home| through(Some(d), script, home)));
    for v in verdicts {
        assert!(v.violations.is_empty(), "{:#?}", v.violations);
        assert_eq!((v.calls, v.served, v.refused), (144, 6 * 4 + 6 * 9, 144 - 78), "{v:?}");
    }
}

fn fleet_view(given: &[(&str, &str)]) -> Vec<Statement> {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let given: Vec<(String, String)> = given.iter().map(|g| (g.0.to_owned(), g.1.to_owned())).collect();
    let script = include_str!("../../fault-injection/scenarios/fleet-view.star").to_owned();
    let day = Day::read("fleet-view.star", script, &given).expect("a good day");
    let [_, processes] = homes();
    let system = System::new();
    system.threads(1);
    let verdict = system.clone().run(play(system, day, processes)).expect("a day that can be played");
    assert!(verdict.violations.is_empty(), "{:#?}", verdict.violations);
    verdict.views.expect("the day states something of its fleet")
}

/// Ten processes that join, die, stand still, are cut off, lose a number to another, and leave.
#[test]
fn the_view_of_a_fleet_of_processes_is_as_stated() {
    let views = fleet_view(&[]);
    assert_eq!(views.len(), 7);
    for s in views {
        assert!(s.broken.is_empty(), "{s:#?}");
    }
}

#[test]
fn a_fleet_that_never_declares_its_dead_is_found() {
    let views = fleet_view(&[("plant", "deaf-detector"), ("seconds", "16")]);
    let deaths = views.iter().find(|s| s.what.contains("a death or leave")).expect("stated");
    assert!(deaths.seen.len() >= 6 && deaths.broken.len() == deaths.seen.len(), "{deaths:#?}");
}
