//! Token buckets of one customer.

use super::*;

const SECOND: Micros = 1_000_000;

fn plan() -> Plan {
    Plan {
        quota_rate: 2.0,
        quota_burst: 10.0,
        max_in_flight: 0,
        hard_limit_rate: 0.0,
        hard_limit_burst: 0.0,
        hard_limit_slack: 0.0,
        priority_factor: 1.0,
        over_quota_weight: 0.0,
        over_quota_penalty: 1.0,
    }
}

/// A customer that sends requests to this gateway only, which owns its quota.
fn customer(tokens: f64) -> Customer {
    Customer { tokens, is_owner: true, gateway_count: 1.0, hard_limit_share: 1.0, ..Customer::default() }
}

#[test]
fn the_bucket_refills_at_the_rate_up_to_the_burst() {
    let mut customer = customer(1.0);
    customer.refill(&plan(), 2 * SECOND);
    assert_eq!(customer.tokens, 5.0);
    customer.refill(&plan(), 60 * SECOND);
    assert_eq!(customer.tokens, 10.0);
}

#[test]
fn the_wait_is_the_time_until_the_bucket_holds_enough() {
    let customer = customer(1.0);
    let wait = |units| customer.wait_for(&plan(), units, SECOND, 0, 0.0).longest();
    assert_eq!(wait(1.0), None);
    assert_eq!(wait(4.0), Some(1.5));
}

#[test]
fn unreported_use_of_peers_is_deducted() {
    let shared = Customer { peer_rate: 2.0, gateway_count: 2.0, ..customer(1.0) };
    let wait = shared.wait_for(&plan(), 1.0, SECOND, 150_000, 0.0);
    assert!(
        wait.quota.is_some(),
        "0.5 s of the peer's use is unreported, and half of the bucket is the peer's part"
    );
}

#[test]
fn the_limit_on_attempts_in_flight_counts_those_of_peers() {
    let plan = Plan { quota_rate: 0.0, max_in_flight: 3, ..plan() };
    let quota_wait = |peers_in_flight| {
        let customer = Customer { in_flight: 1, peers_in_flight, ..customer(0.0) };
        customer.wait_for(&plan, 1.0, SECOND, 0, 50_000.0).quota
    };
    assert_eq!(quota_wait(1), None);
    assert_eq!(quota_wait(2), Some(0.05), "the wait is the unloaded latency");
}

#[test]
fn the_hard_limit_takes_transferred_units_first() {
    let plan = Plan { hard_limit_rate: 4.0, hard_limit_burst: 8.0, ..plan() };
    let mut customer = Customer { hard_limit_tokens: 2.0, transferred_tokens: 3.0, ..customer(10.0) };
    assert_eq!(customer.wait_for(&plan, 6.0, SECOND, 0, 0.0).hard_limit, Some(0.25));
    customer.charge(&plan, 4.0, 0.0);
    assert_eq!((customer.transferred_tokens, customer.hard_limit_tokens), (0.0, 1.0));
}

#[test]
fn a_refund_gives_back_what_was_charged() {
    let plan = Plan { hard_limit_rate: 4.0, hard_limit_burst: 8.0, ..plan() };
    let mut customer = Customer { hard_limit_tokens: 6.0, ..customer(6.0) };
    customer.charge(&plan, 2.0, 0.0);
    customer.charge(&plan, -2.0, 0.0);
    assert_eq!((customer.tokens, customer.hard_limit_tokens, customer.used_units), (6.0, 6.0, 0.0));
}
