//! The limits on attempts to a starting endpoint.

use super::*;
use crate::interface::BackendId;

const SECOND: Micros = 1_000_000;
const NOW: Micros = 100 * SECOND;

fn rules() -> Rules {
    Rules {
        slow_start_min_capacity: 0.2,
        slow_start_window: 10 * SECOND,
        overload_factor: 3.0,
        overload_window: SECOND,
        ..Rules::default()
    }
}

fn started(ago: Micros) -> Endpoint {
    Endpoint { backend: BackendId(7), started_at: NOW - ago, ..Endpoint::default() }
}

fn state(ago: Micros, sent: usize) -> EndpointState {
    let mut state = EndpointState::default();
    state.endpoint = started(ago);
    state.weight = 1.0;
    (0..sent).for_each(|_| state.record_send(NOW - SECOND / 2, SECOND));
    state
}

/// Slow start at one of `gateways` gateways, which admits `admission_rate` requests per second for ten endpoints.
fn slow_start(rules: &Rules, gateways: u64, gateway: u16, admission_rate: f64) -> SlowStart<'_> {
    SlowStart {
        now: NOW,
        rules,
        admission_rate,
        ready_weight: 10.0,
        ready_count: 10,
        gateway_count: gateways,
        self_id: GatewayId(gateway),
    }
}

#[test]
fn the_capacity_grows_over_the_window() {
    let rules = rules();
    assert_eq!(warming_capacity(&started(0), &rules, NOW), Some(0.2));
    assert_eq!(warming_capacity(&started(5 * SECOND), &rules, NOW), Some(0.2 + 0.4));
    assert_eq!(warming_capacity(&started(10 * SECOND), &rules, NOW), None);
    let started_long_ago = Endpoint { started_at: 0, ..started(0) };
    assert_eq!(warming_capacity(&started_long_ago, &rules, NOW), None);
}

#[test]
fn a_gateway_spends_its_part_of_the_budget() {
    let rules = rules();
    // 100 requests per second over ten endpoints are 10 in a window: 10 * 3 (overload factor) * 0.6 (capacity) * 0.6
    // (share of the budget) = 10.8 may be sent.
    let budget = |sent| slow_start(&rules, 3, 0, 100.0).permission(&state(5 * SECOND, sent)).may_send;
    assert!(budget(10));
    assert!(!budget(11));
}

#[test]
fn a_share_of_less_than_one_request_per_window_is_decided_by_a_draw() {
    let rules = rules();
    // Each of 1000 gateways would send 0.1 requests per window; at a fifth of the capacity about 20 of them may send
    // one.
    let permission = |gateway, sent| slow_start(&rules, 1_000, gateway, 1.0).permission(&state(0, sent));
    let winners = (0..1_000).filter(|gateway| permission(*gateway, 0).may_send).count();
    assert!((8..40).contains(&winners), "{winners}");
    assert!(!(0..1_000).any(|gateway| permission(gateway, 1).may_send), "at most one request per gateway");
}
