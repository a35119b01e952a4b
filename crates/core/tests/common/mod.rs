//! Settings and backends that tests of the module begin with.
#![allow(dead_code)] // each test file uses its part

use chalkgap_core::*;

pub const T0: Micros = 1_000_000_000;
pub const S: Micros = 1_000_000;

pub fn class(repeat: Repeat) -> Class {
    Class { aim: S, aim_stretch: 0.0, deadline: 4 * S, worth: 1.0, late_worth: 0.0, repeat, stream: false }
}

pub fn plan(rate: f64, burst: f64) -> Plan {
    Plan {
        rate,
        burst,
        open_cap: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
        price: 1.0,
        over_worth: 0.0,
        over_cost: 1.0,
    }
}

/// Three gateways; classes: safe, keyed by cell for 2 s, once; plans: large, small, ceiling, capped.
pub fn settings() -> Settings {
    let keyed = Repeat::Keyed { group: Group::Cell, window: 2 * S };
    let ceiling = Plan { ceiling_rate: 6.0, ceiling_burst: 12.0, ..plan(100.0, 100.0) };
    Settings {
        gateways: 3,
        me: GatewayNo(0),
        zone: 0,
        tick: 4_000,
        classes: vec![class(Repeat::Safe), class(keyed), class(Repeat::Once)],
        plans: vec![plan(1e6, 1e6), plan(2.0, 6.0), ceiling, Plan { open_cap: 2, ..plan(0.0, 0.0) }],
        limits: Limits {
            max_attempts: 3,
            second_copies: true,
            cancel: true,
            probes: false,
            peers: true,
            peer_in_per_s: 60.0,
            retry_after: true,
            max_retry_after: 2 * S,
            counter: false,
            max_open: 20_000,
        },
        rules: Rules {
            answer_slack: 16_000,
            drain_grace: 250_000,
            cold_from: 0.2,
            cold_time: 10 * S,
            fall_factor: 3.0,
            fall_time: S,
            must_ask: 10 * S,
        },
        ..Settings::default()
    }
}

pub fn listed(n: u64) -> Listed {
    Listed {
        backend: BackendId(n),
        zone: (n % 2) as u8,
        cell: (n % 2) as u16,
        kind: 0,
        availability: Availability::Ready,
        size: 1.0,
        started: 0,
    }
}
