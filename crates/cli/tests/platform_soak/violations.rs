//! Each rule reports a history that violates it.

use crate::history::{Arrival, Ending, History, ProcessEnd, RefusedConnection, Request};

fn request(id: u64, ending: Ending) -> Request {
    Request {
        id,
        process: 0,
        is_first: false,
        connected_at: 0.2,
        sent_at: 1.0,
        previous_reply_at: 1.0,
        ended_at: 1.05,
        timeout: 0.6,
        ending,
    }
}

fn value(id: u64) -> Ending {
    Ending::Value(format!("{id:016x}"))
}

fn arrival(id: u64, at: f64, is_submit: bool) -> Arrival {
    Arrival { at, id, is_submit }
}

/// A request that waited for the reply before it, so that its own came after its timeout.
fn request_behind_another(id: u64) -> Request {
    Request { previous_reply_at: 1.6, ended_at: 2.2, ..request(id, Ending::Error("-BUSY".to_owned())) }
}

/// A history without violations: a value, a refusal, a request that crossed the close, repeated requests, and one behind another.
fn good_history() -> History {
    History {
        requests: vec![
            request(1, value(1)),
            request(2, Ending::Error("-BUSY 20".to_owned())),
            request(3, Ending::Closed),
            request(4, value(4)),
            request(5, value(5)),
            request_behind_another(6),
        ],
        arrivals: vec![
            arrival(1, 1.02, true),
            arrival(4, 1.01, false),
            arrival(4, 1.9, false),
            arrival(5, 1.0, true),
            arrival(5, 1.2, true),
        ],
        refused: vec![RefusedConnection { at: 1.45, process: 0 }],
        processes: vec![ProcessEnd {
            sigterm_at: 1.0,
            kill_at: 2.7,
            ended_at: Some(2.6),
            exit_code: Some(0),
        }],
        once: false,
        repeat_window: 0.3,
    }
}

/// Takes a history without violations and adds one violation of each rule in turn. Each is reported.
#[test]
fn each_violation_is_reported() {
    assert_eq!(good_history().violations(), Vec::<String>::new());
    type Change = fn(&mut History);
    let changes: [(&str, Change); 14] = [
        ("a wrong value", |history| history.requests[0].ending = value(9)),
        ("a value that no backend sent", |history| history.arrivals[0].id = 9),
        ("answered too late", |history| history.requests[0].ended_at = 1.67),
        ("answered too late", |history| history.requests[1].ended_at = 1.67),
        ("answered too late", |history| history.requests[5].ended_at = 2.27),
        ("reached a backend, not answered", |history| history.arrivals.push(arrival(3, 1.0, false))),
        ("new connection closed without a reply", |history| {
            (history.requests[2].is_first, history.requests[2].connected_at) = (true, 1.39);
        }),
        ("arrived before the close, not answered", |history| history.requests[2].ended_at = 1.11),
        ("repeated after its window", |history| history.arrivals[4].at = 1.37),
        ("sent more than once", |history| {
            history.once = true;
        }),
        ("connection refused", |history| history.refused[0].at = 1.39),
        ("still running at the kill", |history| history.processes[0].ended_at = None),
        ("ended after the kill", |history| history.processes[0].ended_at = Some(2.71)),
        ("exit code is not 0", |history| history.processes[0].exit_code = Some(1)),
    ];
    for (what, change) in changes {
        let mut history = good_history();
        change(&mut history);
        let found = history.violations();
        assert!(found.len() == 1 && found[0].starts_with(what), "{what}: {found:?}");
    }
}
