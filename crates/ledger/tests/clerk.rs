//! What an ingress promises, writes, presumes and closes.

use chalkgap_ledger::clerk::{Clerk, Fate, Promise, Recovery, Rules, Truth};
use chalkgap_ledger::entry::{Entry, Open, What};
use chalkgap_ledger::{Book, Periods, Sum};
use std::collections::BTreeSet;

const PERIODS: Periods = Periods::Every(1000);

fn rules() -> Rules {
    Rules {
        waiting: 3,
        slow: 50,
        pause: 700,
        serve_without: false,
        truth: 100,
        later: 500,
        again: 10,
        remembered: 2,
    }
}

fn clerk(log: &[Entry], now: u64) -> Clerk {
    let mut recovery = Recovery::new(1);
    log.iter().for_each(|e| recovery.take(e));
    let incarnation = chalkgap_ledger::store::incarnation(recovery.latest(), now);
    Clerk::new(1, incarnation, PERIODS, rules(), recovery, now)
}

fn open(request: &str) -> Open {
    Open {
        account: "a".into(),
        plan: "p".into(),
        class: "c".into(),
        units: 4,
        request: request.into(),
        node: "n1".into(),
    }
}

fn doubtful(request: &str, nodes: &[&str]) -> Fate {
    let nodes = nodes.iter().map(|n| (*n).to_owned()).collect::<BTreeSet<String>>();
    Fate::Doubtful { nodes, open: Box::new(open(request)) }
}

fn sum(log: &[Entry], period: u64) -> Sum {
    let mut book = Book::new(PERIODS);
    log.iter().for_each(|e| {
        book.take(e);
    });
    book.sum("a", period)
}

#[test]
fn what_the_disk_can_keep_is_decided_before_a_request_is_taken() {
    let mut c = clerk(&[], 5000);
    let tickets: Vec<_> = (0..3).map(|n| c.open(5000, open(&n.to_string())).unwrap()).collect();
    assert_eq!(c.promise(5000), Promise::Refused { pause: 700 }, "as many wait as may");
    c.take();
    c.durable(tickets[1].number);
    assert_eq!(c.promise(5050), Promise::Kept);
    assert_eq!(c.promise(5051), Promise::Refused { pause: 700 }, "the third waits for too long");
    c.durable(tickets[2].number);
    assert_eq!(c.promise(9000), Promise::Kept);
    c.failed();
    assert_eq!(c.promise(9000), Promise::Refused { pause: 700 });
    assert_eq!((c.open(9000, open("x")), c.again(9000, 1, "n".into())), (None, None));
    c.end(9000, tickets[0], 4, Fate::Used { node: "n1".into() });
    c.tick(99_000);
    assert!(c.take().is_empty(), "nothing is written any more");
    let mut lenient =
        Clerk::new(1, 7, PERIODS, Rules { serve_without: true, ..rules() }, Recovery::new(1), 0);
    lenient.failed();
    assert_eq!(lenient.promise(0), Promise::Without);
}

#[test]
fn what_nobody_saw_is_asked_for_presumed_and_corrected() {
    let mut c = clerk(&[], 5000);
    let ticket = c.open(5000, open("r")).unwrap();
    c.end(5010, ticket, 4, doubtful("r", &["n1", "n2"]));
    let asks = c.ask(5010, 10, 10);
    assert_eq!(asks.keys().collect::<Vec<_>>(), ["n1", "n2"]);
    let id = asks["n1"][0].0;
    assert!(c.ask(5015, 10, 10).is_empty(), "not at once again");
    c.truth(5015, id, "n1", Truth::Never);
    c.truth(5015, id, "n2", Truth::Unknown);
    assert_eq!(c.ask(5021, 10, 10).keys().collect::<Vec<_>>(), ["n2"], "the one that has not said");
    c.tick(5109);
    let mut log = c.take();
    assert_eq!(sum(&log, 5), Sum { open: 4, ..Sum::default() });
    c.tick(5110);
    log.extend(c.take());
    assert_eq!(
        sum(&log, 5),
        Sum { presumed: 1, ..Sum::default() },
        "nobody is billed for what cannot be shown"
    );
    // It turns out: a correction, in the period of the use.
    c.truth(6200, id, "n2", Truth::Ran);
    c.truth(6201, id, "n2", Truth::Ran);
    log.extend(c.take());
    assert_eq!(sum(&log, 5), Sum { units: 4, ..Sum::default() });
    assert_eq!(c.doubts(), (0, 1, 1));
    // Or it never ran: known now, and the same.
    let ticket = c.open(6300, open("s")).unwrap();
    c.end(6300, ticket, 4, doubtful("s", &["n1"]));
    c.tick(6400);
    let id = c.ask(6400, 10, 10)["n1"][0].0;
    log.extend(c.take());
    assert_eq!(sum(&log, 6).presumed, 1);
    c.truth(6401, id, "n1", Truth::Never);
    log.extend(c.take());
    assert_eq!(sum(&log, 6), Sum::default());
    // What nobody ever says is left as it is after a while.
    let ticket = c.open(6500, open("t")).unwrap();
    c.end(6500, ticket, 4, doubtful("t", &["n1"]));
    c.tick(6600);
    c.tick(7100);
    assert_eq!(c.doubts().0, 0);
}

#[test]
fn a_flood_of_doubts_is_bounded() {
    let mut c = clerk(&[], 5000);
    for n in 0..50 {
        let ticket = c.open(5000, open(&n.to_string())).unwrap();
        c.durable(ticket.number);
        c.end(5000, ticket, 4, doubtful(&n.to_string(), &[&format!("n{n}")]));
    }
    assert_eq!(c.ask(5000, 10, 8).len(), 8, "so many nodes at once");
    c.tick(5100);
    assert_eq!(c.doubts().0, 2, "presumed, and remembered for a correction only as far as allowed");
}

#[test]
fn a_restart_finds_what_was_open_and_asks_the_nodes_it_went_to() {
    let mut c = clerk(&[], 5000);
    let (a, b) = (c.open(5000, open("r")).unwrap(), c.open(5001, open("s")).unwrap());
    c.again(5002, a.number, "n2".into()).unwrap();
    c.end(5003, b, 4, Fate::Used { node: "n1".into() });
    let mut log = c.take();
    // In any order: some may have been fetched back from others.
    log.reverse();
    let mut c = clerk(&log, 4000);
    assert!(c.incarnation() > 5000, "its clock was set back");
    let asks = c.ask(5100, 10, 10);
    assert_eq!(asks.keys().collect::<Vec<_>>(), ["n1", "n2"]);
    let id = asks["n2"][0].0;
    assert_eq!((id.number, id.incarnation), (a.number, 5000));
    c.truth(5100, id, "n2", Truth::Ran);
    log.extend(c.take());
    assert_eq!(sum(&log, 5), Sum { units: 8, requests: 2, ..Sum::default() });
    // Copies that come back from others: an end that is known there is known here.
    let mut again = clerk(&log[..0], 9000);
    again.returned(9000, &log[..4]);
    assert_eq!(again.doubts().0, 1);
    again.returned(9001, &log[4..]);
    assert_eq!(again.doubts().0, 0, "settled in a life that this disk had lost");
}

#[test]
fn a_closed_period_stays_closed() {
    let mut c = clerk(&[], 5900);
    c.open(5950, open("r")).unwrap();
    c.tick(6001);
    // The clock of the machine goes back: entries do not.
    let ticket = c.open(5999, open("s")).unwrap();
    assert_eq!(ticket.at, 6001);
    c.tick(6500);
    c.tick(9500);
    let log = c.take();
    let closed: Vec<u64> = log
        .iter()
        .filter_map(|e| if let What::Closed(c) = &e.what { Some(c.period) } else { None })
        .collect();
    assert_eq!(closed, [4, 5, 8], "each once; those that were slept through at once");
    assert!(log.windows(2).all(|w| w[0].at <= w[1].at));
    let mut book = Book::new(PERIODS);
    log.iter().for_each(|e| {
        book.take(e);
    });
    assert_eq!((book.complete(1), book.first_open()), (Some(8), Some(5)));
    // One entry missing: nobody can say that all is here.
    let mut book = Book::new(PERIODS);
    log.iter().filter(|e| e.id.number != 3).for_each(|e| {
        book.take(e);
    });
    assert_eq!(book.complete(1), None);
    // The next life begins where that one ended, and says so.
    let next = clerk(&log, 9600).take();
    let mut book = Book::new(PERIODS);
    next.iter().for_each(|e| {
        book.take(e);
    });
    assert_eq!(book.complete(1), None, "the life before is not here");
    log.iter().for_each(|e| {
        book.take(e);
    });
    assert_eq!(book.complete(1), Some(8));
}
