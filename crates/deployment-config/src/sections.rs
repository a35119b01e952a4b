//! Reads each section of the settings object into its type of `chalkgap-core`. Only this file maps the names of
//! settings to those of the code.

use crate::error::SettingsError;
use crate::key_values::KeyValues;
use chalkgap_core::{
    DeduplicationScope, Discovery, GatewayId, Limits, Plan, RequestClass, RetrySafety, Rules, Settings,
    WeightMeaning,
};

/// Key of the list of request classes.
pub(crate) const CLASSES: &str = "grades";
/// Key of the list of plans.
pub(crate) const PLANS: &str = "contracts";

/// Reads the settings of the decision module.
pub(crate) fn settings(values: &KeyValues) -> Result<Settings, SettingsError> {
    let class_indexes = 0..values.list_length(CLASSES)?;
    let classes = class_indexes.map(|index| request_class(values, index)).collect::<Result<_, _>>()?;
    let plan_indexes = 0..values.list_length(PLANS)?;
    let plans = plan_indexes.map(|index| plan(values, index)).collect::<Result<_, _>>()?;
    Ok(Settings {
        gateways: values.u16("n_instances")?,
        self_id: GatewayId(values.u16("slot_no")?),
        zone: values.u8("zone")?,
        tick: values.micros("tick_us")?,
        classes,
        plans,
        limits: limits(values)?,
        rules: rules(values)?,
        discovery: discovery(values)?,
        weight_meaning: weight_meaning(values)?,
        meter_period: values.micros("family_info.meter_period_us")?,
        post_paid: values.flag("family_info.post_paid")?,
        max_customers: 0,
    })
}

/// Returns the names of the values in load reports; empty if backends send no load reports.
pub(crate) fn load_report_fields(values: &KeyValues) -> Result<Vec<String>, SettingsError> {
    match values.text("reporting.how")? {
        "none" => Ok(Vec::new()),
        _ => values.list("reporting.fields"),
    }
}

fn request_class(values: &KeyValues, index: u64) -> Result<RequestClass, SettingsError> {
    let key = |name: &str| format!("{CLASSES}.{index}.{name}");
    let retry_safety = retry_safety(values, index)?;
    Ok(RequestClass {
        latency_objective: values.micros(&key("objective_us"))?,
        objective_per_work: values.number_or(&key("aim_stretch"), 0.0)?,
        deadline: values.micros(&key("give_up_us"))?,
        priority_weight: values.number(&key("worth"))?,
        late_priority_weight: values.number(&key("late_worth"))?,
        retry_safety,
        streaming: values.flag(&key("stream"))?,
    })
}

fn retry_safety(values: &KeyValues, index: u64) -> Result<RetrySafety, SettingsError> {
    let effect_key = format!("{CLASSES}.{index}.effect");
    match values.text(&effect_key)? {
        "repeatable" => Ok(RetrySafety::Idempotent),
        "once" => Ok(RetrySafety::NotIdempotent),
        "by_key" => Ok(RetrySafety::IdempotencyKey {
            scope: deduplication_scope(values, index)?,
            window: values.micros(&format!("{CLASSES}.{index}.window_us"))?,
        }),
        other => Err(SettingsError::UnknownChoice { key: effect_key, value: other.to_owned() }),
    }
}

fn deduplication_scope(values: &KeyValues, index: u64) -> Result<DeduplicationScope, SettingsError> {
    let key = format!("{CLASSES}.{index}.group");
    match values.text(&key)? {
        "all" => Ok(DeduplicationScope::Fleet),
        "zone" => Ok(DeduplicationScope::Zone),
        "cell" => Ok(DeduplicationScope::Cell),
        other => Err(SettingsError::UnknownChoice { key, value: other.to_owned() }),
    }
}

fn plan(values: &KeyValues, index: u64) -> Result<Plan, SettingsError> {
    let key = |name: &str| format!("{PLANS}.{index}.{name}");
    Ok(Plan {
        quota_rate: values.number(&key("quota_rate"))?,
        quota_burst: values.number(&key("burst"))?,
        max_in_flight: values.u32(&key("max_out"))?,
        hard_limit_rate: values.number(&key("never_over_rate"))?,
        hard_limit_burst: values.number(&key("ceiling_burst"))?,
        hard_limit_slack: values.number(&key("ceiling_slack"))?,
        priority_factor: values.number(&key("worth_factor"))?,
        over_quota_weight: values.number(&key("over_worth"))?,
        over_quota_penalty: values.number(&key("beyond_costs"))?,
    })
}

fn limits(values: &KeyValues) -> Result<Limits, SettingsError> {
    Ok(Limits {
        max_attempts: values.u32("limits.most_tries")?,
        hedging: values.flag("limits.second_copies")?,
        cancellation: values.flag("limits.cancelling")?,
        health_checks: values.flag("limits.may_probe")?,
        gossip: values.flag("limits.peers")?,
        gossip_receive_rate: values.number("family_info.peer_in_per_s")?,
        retry_after: values.flag("limits.retry_after")?,
        max_retry_after: values.micros("limits.max_retry_after_us")?,
        shared_counter: values.flag("family_info.has_counter")?,
        max_in_flight: values.u32("limits.max_open")?,
    })
}

fn rules(values: &KeyValues) -> Result<Rules, SettingsError> {
    Ok(Rules {
        answer_grace: values.micros("rules.answer_slack_us")?,
        drain_grace: values.micros("rules.drain_grace_us")?,
        slow_start_min_capacity: values.number("rules.cold_from")?,
        slow_start_window: values.micros("rules.cold_us")?,
        overload_factor: values.number("rules.overload_factor")?,
        overload_window: values.micros("rules.fall_us")?,
        max_poll_interval: values.micros("rules.must_ask_in_us")?,
    })
}

fn discovery(values: &KeyValues) -> Result<Discovery, SettingsError> {
    let key = "membership_mode";
    match values.text(key)? {
        "ask" => Ok(Discovery::Poll),
        "push" => Ok(Discovery::Push),
        other => Err(SettingsError::UnknownChoice { key: key.to_owned(), value: other.to_owned() }),
    }
}

fn weight_meaning(values: &KeyValues) -> Result<WeightMeaning, SettingsError> {
    let key = "weights";
    match values.text(key)? {
        "none" => Ok(WeightMeaning::None),
        "live" => Ok(WeightMeaning::Live),
        "nominal" | "rough" => Ok(WeightMeaning::Capacity),
        other => Err(SettingsError::UnknownChoice { key: key.to_owned(), value: other.to_owned() }),
    }
}
