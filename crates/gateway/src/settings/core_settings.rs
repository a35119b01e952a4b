//! Converts the settings of an instance to the settings of the core.

use super::{Class, Compiled, Group, Limits, Plan, Repeat, Rules, Sizes};
use chalkgap_core as core;

const fn micros(milliseconds: u64) -> core::Micros {
    milliseconds * 1000
}

/// Maximum number of customers that are kept beside the accounts of the settings, some 120 MB.
const MAX_OTHER_CUSTOMERS: usize = 100_000;

impl Compiled {
    /// Returns the settings of the core.
    pub fn core(&self) -> core::Settings {
        let settings = &self.settings;
        let fleet = &settings.fleet;
        let gossip_receive_rate = fleet.peers.as_ref().map(|peers| peers.per_second);
        core::Settings {
            gateways: fleet.ingresses,
            self_id: core::GatewayId(fleet.me),
            zone: self.zones.get(&fleet.zone).copied().unwrap_or(0),
            tick: fleet.tick_us,
            classes: settings.classes.iter().map(request_class).collect(),
            plans: settings.plans.iter().map(plan).collect(),
            limits: limits(&settings.limits, gossip_receive_rate),
            rules: rules(&settings.rules),
            discovery: core::Discovery::Push,
            weight_meaning: match settings.nodes.sizes {
                Sizes::None => core::WeightMeaning::None,
                Sizes::Capacity => core::WeightMeaning::Capacity,
            },
            meter_period: 0,
            post_paid: false,
            max_customers: settings.accounts.len() + MAX_OTHER_CUSTOMERS,
        }
    }
}

fn request_class(class: &Class) -> core::RequestClass {
    core::RequestClass {
        latency_objective: micros(class.aim_ms),
        objective_per_work: 0.0,
        deadline: micros(class.deadline_ms),
        priority_weight: class.worth,
        late_priority_weight: class.late_worth,
        retry_safety: match class.repeat {
            Repeat::Safe => core::RetrySafety::Idempotent,
            Repeat::Once => core::RetrySafety::NotIdempotent,
            Repeat::Keyed { group, window_ms } => core::RetrySafety::IdempotencyKey {
                scope: deduplication_scope(group),
                window: micros(window_ms),
            },
        },
        streaming: false,
    }
}

fn deduplication_scope(group: Group) -> core::DeduplicationScope {
    match group {
        Group::All => core::DeduplicationScope::Fleet,
        Group::Zone => core::DeduplicationScope::Zone,
        Group::Cell => core::DeduplicationScope::Cell,
    }
}

fn plan(plan: &Plan) -> core::Plan {
    core::Plan {
        quota_rate: plan.rate,
        quota_burst: plan.burst,
        max_in_flight: plan.open_cap,
        hard_limit_rate: plan.ceiling_rate,
        hard_limit_burst: plan.ceiling_burst,
        hard_limit_slack: plan.ceiling_slack,
        priority_factor: plan.price,
        over_quota_weight: plan.over_worth,
        over_quota_penalty: plan.over_cost,
    }
}

/// `gossip_receive_rate` is in messages per second, and `None` without gossip.
fn limits(limits: &Limits, gossip_receive_rate: Option<f64>) -> core::Limits {
    core::Limits {
        max_attempts: limits.max_attempts,
        hedging: limits.second_copies,
        cancellation: limits.cancel,
        health_checks: false,
        gossip: gossip_receive_rate.is_some(),
        gossip_receive_rate: gossip_receive_rate.unwrap_or(0.0),
        retry_after: limits.retry_after,
        max_retry_after: micros(limits.max_retry_after_ms),
        shared_counter: false,
        max_in_flight: limits.max_open,
    }
}

fn rules(rules: &Rules) -> core::Rules {
    core::Rules {
        answer_grace: 0,
        drain_grace: micros(rules.drain_grace_ms),
        slow_start_min_capacity: rules.cold_from,
        slow_start_window: micros(rules.cold_ms),
        overload_factor: rules.fall_factor,
        overload_window: micros(rules.fall_ms),
        max_poll_interval: 0,
    }
}
