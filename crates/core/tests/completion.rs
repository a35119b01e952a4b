//! Each request gets exactly one final answer.

use chalkgap_core::*;
use common::harness::{attempts, has_failed, is_rejected, retry_after, Harness};
use common::{settings, SECOND, START};

mod common;

#[test]
fn a_client_that_leaves_while_its_attempt_ends_gets_no_second_answer() {
    let mut harness = Harness::with(settings(), 4);
    let (id, actions) = harness.request(0, 0, 1, 1.0);
    harness.handle(Event::ClientCancelled(id));
    let late = harness.finish(id, 0, attempts(&actions)[0], Outcome::TimedOut);
    assert!(!is_rejected(&late) && !has_failed(&late) && attempts(&late).is_empty());
    assert!(harness.handle(Event::ClientCancelled(id)).is_empty());
}

/// A request that arrives a few milliseconds before its deadline cannot be queued: the next wake-up would be too
/// late.
#[test]
fn a_request_with_almost_no_time_left_is_answered_at_once() {
    let mut harness = Harness::with(settings(), 1);
    harness.handle(Event::Endpoints(EndpointUpdate::Snapshot, vec![]));
    let base = Request { id: RequestId(1), units: 1.0, gateway_count: 3.0, ..Request::default() };
    assert!(is_rejected(&harness.handle(Event::Request(Request { deadline: harness.now + 10_000, ..base }))));
    let held = Request { id: RequestId(2), deadline: harness.now + 100_000, ..base };
    assert!(!is_rejected(&harness.handle(Event::Request(held))));
    assert!(is_rejected(&harness.advance(80_000)), "the queued request is answered before its deadline");
}

/// A request held when the process stalls may be past its deadline when the stall ends. The next wake-up would be too
/// late to answer it, so the next event of any kind does.
#[test]
fn a_request_whose_deadline_passed_in_a_stall_is_answered_with_the_next_event() {
    let mut harness = Harness::with(settings(), 1);
    harness.handle(Event::Endpoints(EndpointUpdate::Snapshot, vec![]));
    harness.advance(SECOND);
    let held = Request {
        id: RequestId(1),
        units: 1.0,
        gateway_count: 3.0,
        deadline: harness.now + SECOND,
        ..Request::default()
    };
    assert!(!is_rejected(&harness.handle(Event::Request(held))));
    harness.now += SECOND + 12_000;
    assert!(is_rejected(&harness.handle(Event::ClientCancelled(RequestId(99)))));
}

/// Every path that rejects a request does so in the same call in which the gateway gives it up, with a retry-after.
#[test]
fn every_rejection_is_immediate_and_carries_a_retry_after() {
    // Over quota: the retry-after is the time until the bucket has been refilled.
    let mut harness = Harness::with(settings(), 4);
    harness.advance(2 * SECOND);
    harness.request(0, 1, 9, 4.0);
    let (_, over_quota) = harness.request(0, 1, 9, 4.0);
    let delay = retry_after(&over_quota).expect("rejected in the same call");
    assert!((500_000..=2 * SECOND).contains(&delay), "{delay} us for 2 missing units at 2 a second");
    // Queue full: rejected in the same call. Load shedding is covered by its own tests.
    let mut harness = Harness::with(settings(), 1);
    let delay =
        (0..80).find_map(|n| retry_after(&harness.request(0, 0, n, 1.0).1)).expect("the queue is full");
    assert!((100_000..2 * SECOND).contains(&delay), "{delay} us; expected a few times the recent latency");
    // Queued: rejected at the first wake-up after 0.3 latency objectives.
    let mut harness = Harness::with(settings(), 1);
    harness.handle(Event::Endpoints(EndpointUpdate::Snapshot, vec![]));
    assert_eq!(retry_after(&harness.request(0, 0, 1, 1.0).1), None);
    assert_eq!(retry_after(&harness.advance(280_000)), None, "an endpoint may still become free");
    let delay = retry_after(&harness.advance(60_000)).expect("given up and rejected");
    assert!(delay > 0 && delay < 2 * SECOND, "{delay}");
    // No attempt left: rejected with the outcome of the last one.
    let mut single_attempt = settings();
    single_attempt.limits.max_attempts = 1;
    let mut harness = Harness::with(single_attempt, 4);
    let (id, actions) = harness.request(0, 0, 1, 1.0);
    assert!(retry_after(&harness.finish(id, 0, attempts(&actions)[0], Outcome::Error)).is_some_and(|p| p > 0));
    // Held for owners' replies that do not come: decided after 0.15 s by what this gateway knows.
    let mut harness = Harness::with(Settings { gateways: 60, self_id: GatewayId(30), ..settings() }, 4);
    let mut answers = Vec::new();
    for _ in 0..3 {
        answers.extend(harness.request_over(0, 1, 5, 6.0, 60.0).1);
    }
    answers.extend(harness.advance(180_000));
    let rejections = answers.iter().filter(|a| matches!(a, Action::Reject { .. })).count();
    assert_eq!(rejections + attempts(&answers).len(), 3, "no request is held any longer");
    assert!(retry_after(&answers).is_some_and(|p| p > 0));
}

#[test]
fn malformed_input_gets_one_harmless_answer_or_none() {
    let mut harness = Harness::with(settings(), 2);
    for bytes in [vec![], vec![1; 5], vec![9; 40], vec![1; 256], vec![2; 300], vec![255; 19]] {
        for from in [0, 1, 2, 900] {
            let actions =
                harness.handle(Event::GossipReceived { from: GatewayId(from), bytes: bytes.clone() });
            assert!(attempts(&actions).is_empty());
        }
    }
    let base = Request {
        id: RequestId(500),
        deadline: START + SECOND,
        units: 1.0,
        gateway_count: 3.0,
        ..Request::default()
    };
    let malformed = [
        Request { class: 99, ..base },
        Request { plan: 99, id: RequestId(501), ..base },
        Request { units: f64::NAN, id: RequestId(502), ..base },
        Request { deadline: 0, id: RequestId(503), ..base },
    ];
    for request in malformed {
        let actions = harness.handle(Event::Request(request));
        let answers = actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(_)));
        assert_eq!(answers.count(), 1);
        assert!(attempts(&actions).is_empty());
    }
    for gateway_count in [0.0, f64::NAN, -3.0, 1e30] {
        harness.next_request += 1000;
        let id = RequestId(harness.next_request);
        harness.handle(Event::Request(Request { id, gateway_count, first_gateway: f64::NAN, ..base }));
    }
    harness.finish(RequestId(77_777), 3, BackendId(99), Outcome::Ok);
    harness.handle(Event::FirstByte { id: RequestId(77_777), attempt: 9 });
    harness.handle(Event::Timer(12345));
}
