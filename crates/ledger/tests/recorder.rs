//! The recorder: which requests it accepts, which entries it writes, which outcomes it presumes, when it closes
//! periods.

use chalkgap_ledger::entry::{Entry, EntryBody, RequestOpened};
use chalkgap_ledger::recorder::{Config, Recorder, Recovery, RequestStatus, Reservation, Settlement, Stats};
use chalkgap_ledger::{Periods, Sum, UsageTotals};
use std::collections::BTreeSet;

const PERIODS: Periods = Periods::Every(1000);

fn config() -> Config {
    Config {
        max_waiting: 3,
        slow_disk_after: 50,
        retry_after: 700,
        serve_unrecorded: false,
        lookup_timeout: 100,
        correction_window: 500,
        lookup_interval: 10,
        max_unsettled: 2,
    }
}

fn start(log: &[Entry], now: u64) -> Recorder {
    let mut recovery = Recovery::new(1);
    log.iter().for_each(|entry| recovery.add(entry));
    let incarnation = chalkgap_ledger::store::next_incarnation(recovery.latest_incarnation(), now);
    Recorder::new(1, incarnation, PERIODS, config(), recovery, now)
}

fn opened(request: &str) -> RequestOpened {
    RequestOpened {
        account: "a".into(),
        plan: "p".into(),
        class: "c".into(),
        units: 4,
        request: request.into(),
        node: "n1".into(),
    }
}

fn unknown(request: &str, nodes: &[&str]) -> Settlement {
    let nodes = nodes.iter().map(|node| (*node).to_owned()).collect::<BTreeSet<String>>();
    Settlement::Unknown { nodes, opened: Box::new(opened(request)) }
}

fn add_all<'a>(totals: &mut UsageTotals, entries: impl Iterator<Item = &'a Entry>) {
    for entry in entries {
        totals.add(entry);
    }
}

fn sum(log: &[Entry], period: u64) -> Sum {
    let mut totals = UsageTotals::new(PERIODS);
    add_all(&mut totals, log.iter());
    totals.sum("a", period)
}

#[test]
fn requests_are_rejected_while_the_disk_is_slow_or_has_failed() {
    let mut recorder = start(&[], 5000);
    let handles: Vec<_> =
        (0..3).map(|n| recorder.open_request(5000, opened(&n.to_string())).unwrap()).collect();
    assert_eq!(
        recorder.reserve(5000),
        Reservation::Rejected { retry_after: 700 },
        "the limit of waiting entries is reached"
    );
    recorder.take_pending();
    recorder.mark_durable(handles[1].number);
    assert_eq!(recorder.reserve(5050), Reservation::Recorded);
    assert_eq!(
        recorder.reserve(5051),
        Reservation::Rejected { retry_after: 700 },
        "the third entry has waited for too long"
    );
    recorder.mark_durable(handles[2].number);
    assert_eq!(recorder.reserve(9000), Reservation::Recorded);
    recorder.mark_disk_failed();
    assert_eq!(recorder.reserve(9000), Reservation::Rejected { retry_after: 700 });
    assert_eq!(
        (recorder.open_request(9000, opened("x")), recorder.add_attempt(9000, 1, "n".into())),
        (None, None)
    );
    recorder.settle(9000, handles[0], 4, Settlement::Ran { node: "n1".into() });
    recorder.tick(99_000);
    assert!(recorder.take_pending().is_empty(), "no entry is written after a disk failure");
    let mut serving_unrecorded =
        Recorder::new(1, 7, PERIODS, Config { serve_unrecorded: true, ..config() }, Recovery::new(1), 0);
    serving_unrecorded.mark_disk_failed();
    assert_eq!(serving_unrecorded.reserve(0), Reservation::Unrecorded);
}

#[test]
fn unknown_outcomes_are_looked_up_presumed_and_corrected() {
    let mut recorder = start(&[], 5000);
    let handle = recorder.open_request(5000, opened("r")).unwrap();
    recorder.settle(5010, handle, 4, unknown("r", &["n1", "n2"]));
    let lookups = recorder.lookups_due(5010, 10, 10);
    assert_eq!(lookups.keys().collect::<Vec<_>>(), ["n1", "n2"]);
    let id = lookups["n1"][0].id;
    assert!(
        recorder.lookups_due(5015, 10, 10).is_empty(),
        "a node is not asked again before the lookup interval has passed"
    );
    recorder.lookup_answered(5015, id, "n1", RequestStatus::NeverRan);
    recorder.lookup_answered(5015, id, "n2", RequestStatus::Unknown);
    assert_eq!(
        recorder.lookups_due(5021, 10, 10).keys().collect::<Vec<_>>(),
        ["n2"],
        "only the node that has not answered is asked again"
    );
    recorder.tick(5109);
    let mut log = recorder.take_pending();
    assert_eq!(sum(&log, 5), Sum { open: 4, ..Sum::default() });
    recorder.tick(5110);
    log.extend(recorder.take_pending());
    assert_eq!(
        sum(&log, 5),
        Sum { presumed: 1, ..Sum::default() },
        "a request that no node has confirmed is not billed"
    );
    // A node answers later: a correction is written, in the period of the usage.
    recorder.lookup_answered(6200, id, "n2", RequestStatus::Ran);
    recorder.lookup_answered(6201, id, "n2", RequestStatus::Ran);
    log.extend(recorder.take_pending());
    assert_eq!(sum(&log, 5), Sum { units: 4, ..Sum::default() });
    assert_eq!(recorder.stats(), Stats { unsettled: 0, presumed: 1, corrected: 1 });
    // A node answers later that the request never ran: the presumed 0 units are confirmed.
    let handle = recorder.open_request(6300, opened("s")).unwrap();
    recorder.settle(6300, handle, 4, unknown("s", &["n1"]));
    recorder.tick(6400);
    let id = recorder.lookups_due(6400, 10, 10)["n1"][0].id;
    log.extend(recorder.take_pending());
    assert_eq!(sum(&log, 6).presumed, 1);
    recorder.lookup_answered(6401, id, "n1", RequestStatus::NeverRan);
    log.extend(recorder.take_pending());
    assert_eq!(sum(&log, 6), Sum::default());
    // Without an answer the outcome stays presumed, and the request is dropped after the correction window.
    let handle = recorder.open_request(6500, opened("t")).unwrap();
    recorder.settle(6500, handle, 4, unknown("t", &["n1"]));
    recorder.tick(6600);
    recorder.tick(7100);
    assert_eq!(recorder.stats().unsettled, 0);
}

#[test]
fn unsettled_requests_are_bounded() {
    let mut recorder = start(&[], 5000);
    for n in 0..50 {
        let handle = recorder.open_request(5000, opened(&n.to_string())).unwrap();
        recorder.mark_durable(handle.number);
        recorder.settle(5000, handle, 4, unknown(&n.to_string(), &[&format!("n{n}")]));
    }
    assert_eq!(recorder.lookups_due(5000, 10, 8).len(), 8, "lookups are limited to 8 nodes");
    recorder.tick(5100);
    assert_eq!(
        recorder.stats().unsettled,
        2,
        "presumed requests are kept for a correction only up to the limit"
    );
}

#[test]
fn a_restart_finds_open_requests_and_looks_them_up() {
    let mut recorder = start(&[], 5000);
    let first = recorder.open_request(5000, opened("r")).unwrap();
    let second = recorder.open_request(5001, opened("s")).unwrap();
    recorder.add_attempt(5002, first.number, "n2".into()).unwrap();
    recorder.settle(5003, second, 4, Settlement::Ran { node: "n1".into() });
    let mut log = recorder.take_pending();
    // Entries may be in any order, as some may have been fetched from other ingresses.
    log.reverse();
    let mut recorder = start(&log, 4000);
    assert!(
        recorder.incarnation() > 5000,
        "the incarnation is later than the last one although the clock was set back"
    );
    let lookups = recorder.lookups_due(5100, 10, 10);
    assert_eq!(lookups.keys().collect::<Vec<_>>(), ["n1", "n2"]);
    let id = lookups["n2"][0].id;
    assert_eq!((id.number, id.incarnation), (first.number, 5000));
    recorder.lookup_answered(5100, id, "n2", RequestStatus::Ran);
    log.extend(recorder.take_pending());
    assert_eq!(sum(&log, 5), Sum { units: 8, requests: 2, ..Sum::default() });
    // Copies of entries that other ingresses return: a request that they settle is settled here.
    let mut restored = start(&log[..0], 9000);
    restored.add_returned(9000, &log[..4]);
    assert_eq!(restored.stats().unsettled, 1);
    restored.add_returned(9001, &log[4..]);
    assert_eq!(restored.stats().unsettled, 0, "the request is settled by an entry that this disk had lost");
}

#[test]
fn a_closed_period_stays_closed() {
    let mut recorder = start(&[], 5900);
    recorder.open_request(5950, opened("r")).unwrap();
    recorder.tick(6001);
    // The clock is set back: the times of entries do not decrease.
    let handle = recorder.open_request(5999, opened("s")).unwrap();
    assert_eq!(handle.at, 6001);
    recorder.tick(6500);
    recorder.tick(9500);
    let log = recorder.take_pending();
    let closed: Vec<u64> = log
        .iter()
        .filter_map(|entry| match &entry.body {
            EntryBody::PeriodClosed(closed) => Some(closed.period),
            _ => None,
        })
        .collect();
    assert_eq!(
        closed,
        [4, 5, 8],
        "each period is closed once, and periods without a tick are closed by the next one"
    );
    assert!(log.windows(2).all(|pair| pair[0].at <= pair[1].at));
    let mut totals = UsageTotals::new(PERIODS);
    add_all(&mut totals, log.iter());
    assert_eq!((totals.last_complete_period(1), totals.first_open_period()), (Some(8), Some(5)));
    // One entry is missing: no period is complete.
    let mut totals = UsageTotals::new(PERIODS);
    add_all(&mut totals, log.iter().filter(|entry| entry.id.number != 3));
    assert_eq!(totals.last_complete_period(1), None);
    // The next incarnation names the one before it and its last number.
    let next = start(&log, 9600).take_pending();
    let mut totals = UsageTotals::new(PERIODS);
    add_all(&mut totals, next.iter());
    assert_eq!(totals.last_complete_period(1), None, "the entries of the previous incarnation are missing");
    add_all(&mut totals, log.iter());
    assert_eq!(totals.last_complete_period(1), Some(8));
}
