//! Settings and endpoints shared by the tests of the decision module.
#![allow(dead_code)] // each test file uses only some of the items

use chalkgap_core::*;

pub mod harness;

/// When the gateways start.
pub const START: Micros = 1_000_000_000;
pub const SECOND: Micros = 1_000_000;

pub fn class(retry_safety: RetrySafety) -> RequestClass {
    RequestClass {
        latency_objective: SECOND,
        objective_per_work: 0.0,
        deadline: 4 * SECOND,
        priority_weight: 1.0,
        late_priority_weight: 0.0,
        retry_safety,
        streaming: false,
    }
}

pub fn plan(quota_rate: f64, quota_burst: f64) -> Plan {
    Plan {
        quota_rate,
        quota_burst,
        max_in_flight: 0,
        hard_limit_rate: 0.0,
        hard_limit_burst: 0.0,
        hard_limit_slack: 0.0,
        priority_factor: 1.0,
        over_quota_weight: 0.0,
        over_quota_penalty: 1.0,
    }
}

/// Settings of a fleet of three gateways.
///
/// Classes: 0 is idempotent, 1 has an idempotency key that a cell remembers for 2 s, 2 is not idempotent. Plans: 0
/// has a large quota, 1 a small quota, 2 a hard limit, 3 a limit of two attempts in flight.
pub fn settings() -> Settings {
    let keyed = RetrySafety::IdempotencyKey { scope: DeduplicationScope::Cell, window: 2 * SECOND };
    let hard_limited = Plan { hard_limit_rate: 6.0, hard_limit_burst: 12.0, ..plan(100.0, 100.0) };
    Settings {
        gateways: 3,
        self_id: GatewayId(0),
        zone: 0,
        tick: 4_000,
        classes: vec![class(RetrySafety::Idempotent), class(keyed), class(RetrySafety::NotIdempotent)],
        plans: vec![
            plan(1e6, 1e6),
            plan(2.0, 6.0),
            hard_limited,
            Plan { max_in_flight: 2, ..plan(0.0, 0.0) },
        ],
        limits: Limits {
            max_attempts: 3,
            hedging: true,
            cancellation: true,
            health_checks: false,
            gossip: true,
            gossip_receive_rate: 60.0,
            retry_after: true,
            max_retry_after: 2 * SECOND,
            shared_counter: false,
            max_in_flight: 20_000,
        },
        rules: Rules {
            answer_grace: 16_000,
            drain_grace: 250_000,
            slow_start_min_capacity: 0.2,
            slow_start_window: 10 * SECOND,
            overload_factor: 3.0,
            overload_window: SECOND,
            max_poll_interval: 10 * SECOND,
        },
        ..Settings::default()
    }
}

/// Returns a ready and warm endpoint. Even and odd numbers are in different zones and cells.
pub fn endpoint(number: u64) -> Endpoint {
    Endpoint {
        backend: BackendId(number),
        zone: (number % 2) as u8,
        cell: (number % 2) as u16,
        kind: 0,
        availability: Availability::Ready,
        weight: 1.0,
        started_at: 0,
    }
}
