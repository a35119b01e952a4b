//! Settings and backends that tests of the module begin with.
#![allow(dead_code)] // each test file uses its part

use chalkgap_core::*;

pub mod harness;

pub const T0: Micros = 1_000_000_000;
pub const S: Micros = 1_000_000;

pub fn class(repeat: RetrySafety) -> RequestClass {
    RequestClass {
        latency_objective: S,
        objective_per_work: 0.0,
        deadline: 4 * S,
        priority_weight: 1.0,
        late_priority_weight: 0.0,
        retry_safety: repeat,
        streaming: false,
    }
}

pub fn plan(rate: f64, burst: f64) -> Plan {
    Plan {
        quota_rate: rate,
        quota_burst: burst,
        max_in_flight: 0,
        hard_limit_rate: 0.0,
        hard_limit_burst: 0.0,
        hard_limit_slack: 0.0,
        priority_factor: 1.0,
        over_quota_weight: 0.0,
        over_quota_penalty: 1.0,
    }
}

/// Three gateways; classes: safe, keyed by cell for 2 s, once; plans: large, small, ceiling, capped.
pub fn settings() -> Settings {
    let keyed = RetrySafety::IdempotencyKey { scope: DeduplicationScope::Cell, window: 2 * S };
    let ceiling = Plan { hard_limit_rate: 6.0, hard_limit_burst: 12.0, ..plan(100.0, 100.0) };
    Settings {
        gateways: 3,
        self_id: GatewayId(0),
        zone: 0,
        tick: 4_000,
        classes: vec![class(RetrySafety::Idempotent), class(keyed), class(RetrySafety::NotIdempotent)],
        plans: vec![plan(1e6, 1e6), plan(2.0, 6.0), ceiling, Plan { max_in_flight: 2, ..plan(0.0, 0.0) }],
        limits: Limits {
            max_attempts: 3,
            hedging: true,
            cancellation: true,
            health_checks: false,
            gossip: true,
            gossip_receive_rate: 60.0,
            retry_after: true,
            max_retry_after: 2 * S,
            shared_counter: false,
            max_in_flight: 20_000,
        },
        rules: Rules {
            answer_grace: 16_000,
            drain_grace: 250_000,
            slow_start_min_capacity: 0.2,
            slow_start_window: 10 * S,
            overload_factor: 3.0,
            overload_window: S,
            max_poll_interval: 10 * S,
        },
        ..Settings::default()
    }
}

pub fn listed(n: u64) -> Endpoint {
    Endpoint {
        backend: BackendId(n),
        zone: (n % 2) as u8,
        cell: (n % 2) as u16,
        kind: 0,
        availability: Availability::Ready,
        weight: 1.0,
        started_at: 0,
    }
}
