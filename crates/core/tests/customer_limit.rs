//! The limit on the number of customers. Guards against records that grow without a bound, and against a flood of new
//! customers that makes a gateway forget what a known customer has used.

use chalkgap_core::*;
use common::harness::{attempts, is_rejected, Harness};
use common::{settings, SECOND};

mod common;

const LIMIT: usize = 100;
/// Customers of the floods are numbered from here.
const FIRST_OF_FLOOD: u64 = 1_000_000;
/// Index of the plan with the quota of 2 units a second and the burst of 6.
const SMALL_QUOTA: u16 = 1;
/// Index of the plan with a hard limit.
const HARD_LIMIT: u16 = 2;
/// Index of the plan with a limit of two attempts in flight.
const IN_FLIGHT_LIMIT: u16 = 3;

/// A gateway without peers that keeps up to [`LIMIT`] customers.
fn harness() -> Harness {
    let mut harness = Harness::with(Settings { gateways: 1, max_customers: LIMIT, ..settings() }, 4);
    harness.advance(20 * SECOND); // the hard limit's buckets are empty at the start
    harness
}

/// Sends a request of a customer and completes it. Returns whether it was admitted.
fn is_served(harness: &mut Harness, plan: u16, customer: u64, units: f64) -> bool {
    let (id, actions) = harness.request_over(0, plan, customer, units, 1.0);
    for action in &actions {
        if let Action::StartAttempt { backend, .. } = action {
            harness.finish(id, 0, *backend, Outcome::Ok);
            return true;
        }
    }
    assert!(is_rejected(&actions), "{actions:?}");
    false
}

/// Sends requests of `count` customers that come once. Returns how many of them were served.
fn flood(harness: &mut Harness, plan: u16, count: u64) -> usize {
    (0..count).filter(|number| is_served(harness, plan, FIRST_OF_FLOOD + number, 1.0)).count()
}

/// A customer that used up its quota was over it no longer once many other customers had come.
#[test]
fn a_flood_of_new_customers_does_not_reset_a_used_up_quota() {
    let mut harness = harness();
    assert!(is_served(&mut harness, SMALL_QUOTA, 1, 6.0));
    assert!(!is_served(&mut harness, SMALL_QUOTA, 1, 6.0), "over its quota");
    assert!(flood(&mut harness, 0, 5000) > 0);
    assert!(!is_served(&mut harness, SMALL_QUOTA, 1, 6.0), "over its quota after the flood");
}

/// The spent units of a hard limit are kept whatever comes, also if the flood is of the same plan.
#[test]
fn a_flood_of_new_customers_does_not_reset_a_hard_limit() {
    let mut harness = harness();
    assert!(is_served(&mut harness, HARD_LIMIT, 1, 12.0));
    for _ in 0..50 {
        flood(&mut harness, HARD_LIMIT, 100);
        assert!(!is_served(&mut harness, HARD_LIMIT, 1, 12.0));
        harness.advance(20_000);
    }
}

/// Attempts in flight count against their limit during the flood.
#[test]
fn a_flood_of_new_customers_does_not_reset_attempts_in_flight() {
    let mut harness = harness();
    harness.request_over(0, IN_FLIGHT_LIMIT, 1, 1.0, 1.0);
    harness.request_over(0, IN_FLIGHT_LIMIT, 1, 1.0, 1.0);
    flood(&mut harness, 0, 5000);
    assert!(!is_served(&mut harness, IN_FLIGHT_LIMIT, 1, 1.0));
}

/// A request that waits for an endpoint has no attempt yet; its later attempt counts against the limit.
#[test]
fn a_new_customer_does_not_replace_one_with_a_queued_request() {
    let mut harness = Harness::with(Settings { gateways: 1, max_customers: 1, ..settings() }, 0);
    harness.advance(20 * SECOND);
    harness.request_over(0, IN_FLIGHT_LIMIT, 1, 1.0, 1.0);
    harness.request_over(0, 0, FIRST_OF_FLOOD, 1.0, 1.0);
    let endpoints = (0..4).map(common::endpoint).collect();
    let actions = harness.handle(Event::Endpoints(EndpointUpdate::Snapshot, endpoints));
    assert_eq!(attempts(&actions).len(), 1, "the queued request");
    assert_eq!(attempts(&harness.request_over(0, IN_FLIGHT_LIMIT, 1, 1.0, 1.0).1).len(), 1);
    assert!(is_rejected(&harness.request_over(0, IN_FLIGHT_LIMIT, 1, 1.0, 1.0).1), "a third attempt");
}

/// If no customer may be forgotten, requests of new ones are rejected until buckets are full again.
#[test]
fn new_customers_are_rejected_while_no_record_may_be_removed() {
    let mut harness = harness();
    let served = flood(&mut harness, SMALL_QUOTA, LIMIT as u64 + 50);
    assert_eq!(served, LIMIT);
    assert!(is_served(&mut harness, SMALL_QUOTA, FIRST_OF_FLOOD, 1.0), "known customers are served");
    harness.advance(2 * SECOND); // more than a unit is refilled
    assert!(is_served(&mut harness, SMALL_QUOTA, 2 * FIRST_OF_FLOOD, 1.0));
}
