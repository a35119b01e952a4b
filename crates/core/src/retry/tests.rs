//! The retry budget and the cost of a retry.

use super::*;

#[test]
fn the_budget_allows_a_tenth_of_the_requests_to_be_retried() {
    let mut budget = RetryBudget::new(3);
    (0..10).for_each(|_| budget.withdraw(FULL_RETRY_COST));
    assert!(!budget.covers(FULL_RETRY_COST), "the burst of one of three gateways is used up");
    (0..9).for_each(|_| budget.deposit());
    assert!(!budget.covers(FULL_RETRY_COST));
    (0..2).for_each(|_| budget.deposit());
    assert!(budget.covers(FULL_RETRY_COST));
}

#[test]
fn the_burst_is_divided_among_gateways_with_at_least_one_retry_each() {
    let burst = |gateways| {
        let mut budget = RetryBudget::new(gateways);
        (0..1_000).for_each(|_| budget.deposit());
        let mut retries = 0;
        while budget.covers(FULL_RETRY_COST) {
            budget.withdraw(FULL_RETRY_COST);
            retries += 1;
        }
        retries
    };
    assert_eq!((burst(1), burst(3), burst(30), burst(300)), (30, 10, 1, 1));
}

#[test]
fn the_cost_of_a_retry_depends_on_how_its_attempt_failed() {
    let cost = |outcome, elapsed| retry_cost(outcome, elapsed, 100_000.0);
    assert_eq!(cost(Outcome::Reset, 1_000), MIN_RETRY_COST);
    assert_eq!(cost(Outcome::Error, 50_000), 0.5);
    assert_eq!(cost(Outcome::ConnectFailed, 500_000), FULL_RETRY_COST);
    assert_eq!(cost(Outcome::TimedOut, 1_000), FULL_RETRY_COST);
    assert_eq!(cost(Outcome::Rejected, 1_000), FULL_RETRY_COST);
}
