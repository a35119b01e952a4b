//! Keys with dots to values as text, and what is read out of them.

use chalkgap_core::{
    DeduplicationScope, Discovery, GatewayId, Limits, LoadReport, Micros, Plan, RequestClass, RetrySafety,
    Rules, Settings, WeightMeaning,
};
use serde_json::Value;
use std::collections::HashMap;

/// The settings, and what hosts besides the module need of them.
#[derive(Clone, Debug, Default)]
pub struct DeploymentConfig {
    /// What the module is told.
    pub settings: Settings,
    /// The names of the values in a load report; none where answers hold none.
    pub load_report_fields: Vec<String>,
    /// The names of classes and plans, in their order.
    pub class_names: Vec<String>,
    /// See `classes`.
    pub plan_names: Vec<String>,
    /// The names of zones and of kinds of machines, in their order.
    pub zone_names: Vec<String>,
    /// See `zones`.
    pub machine_kinds: Vec<String>,
    /// The most units that a request counts.
    pub max_units: f64,
    /// Idle connections to backends are closed after this long, at the latest.
    pub keepalive: Micros,
    /// A connection still not made after this is not made.
    pub connect_timeout: Micros,
}

/// Values under deeper keys than this are no settings.
const DEEPEST: usize = 8;

struct Conf(HashMap<String, String>);

impl Conf {
    fn text(&self, key: &str) -> Result<&str, String> {
        self.0.get(key).map(String::as_str).ok_or_else(|| format!("setting {key} is missing"))
    }

    fn number(&self, key: &str) -> Result<f64, String> {
        let text = self.text(key)?;
        match text.parse::<f64>() {
            Ok(n) if n.is_finite() && n >= 0.0 => Ok(n),
            _ => Err(format!("setting {key} is not a number from 0 up: {text}")),
        }
    }

    fn number_or(&self, key: &str, absent: f64) -> Result<f64, String> {
        if self.0.contains_key(key) {
            self.number(key)
        } else {
            Ok(absent)
        }
    }

    fn whole(&self, key: &str, most: u64) -> Result<u64, String> {
        let text = self.text(key)?;
        match text.parse::<u64>() {
            Ok(n) if n <= most => Ok(n),
            _ => Err(format!("setting {key} is not a whole number up to {most}: {text}")),
        }
    }

    fn micros(&self, key: &str) -> Result<Micros, String> {
        self.whole(key, u64::MAX >> 12)
    }

    fn flag(&self, key: &str) -> Result<bool, String> {
        match self.text(key)? {
            "true" => Ok(true),
            "false" => Ok(false),
            other => Err(format!("setting {key} is neither true nor false: {other}")),
        }
    }

    /// The length of a list of objects; one item more or fewer than told is an error.
    fn count(&self, list: &str) -> Result<u64, String> {
        let count = self.whole(&format!("{list}.count"), 65_535)?;
        let prefix = format!("{list}.");
        for key in self.0.keys() {
            let index = key.strip_prefix(&prefix).and_then(|rest| rest.split('.').next());
            if index.and_then(|i| i.parse::<u64>().ok()).is_some_and(|i| i >= count) {
                return Err(format!("setting {list}.count is {count}, but there is {key}"));
            }
        }
        Ok(count)
    }

    /// A comma-joined list.
    fn list(&self, key: &str) -> Result<Vec<String>, String> {
        Ok(self.text(key)?.split(',').filter(|n| !n.is_empty()).map(String::from).collect())
    }

    fn names(&self, list: &str) -> Result<Vec<String>, String> {
        (0..self.count(list)?).map(|i| self.text(&format!("{list}.{i}.name")).map(String::from)).collect()
    }

    fn class(&self, i: u64) -> Result<RequestClass, String> {
        let key = |name: &str| format!("grades.{i}.{name}");
        let repeat = match self.text(&key("effect"))? {
            "repeatable" => RetrySafety::Idempotent,
            "once" => RetrySafety::NotIdempotent,
            "by_key" => RetrySafety::IdempotencyKey {
                scope: match self.text(&key("group"))? {
                    "all" => DeduplicationScope::Fleet,
                    "zone" => DeduplicationScope::Zone,
                    "cell" => DeduplicationScope::Cell,
                    other => return Err(format!("setting {} is unknown: {other}", key("group"))),
                },
                window: self.micros(&key("window_us"))?,
            },
            other => return Err(format!("setting {} is unknown: {other}", key("effect"))),
        };
        Ok(RequestClass {
            latency_objective: self.micros(&key("objective_us"))?,
            objective_per_work: self.number_or(&key("aim_stretch"), 0.0)?,
            deadline: self.micros(&key("give_up_us"))?,
            priority_weight: self.number(&key("worth"))?,
            late_priority_weight: self.number(&key("late_worth"))?,
            retry_safety: repeat,
            streaming: self.flag(&key("stream"))?,
        })
    }

    fn plan(&self, i: u64) -> Result<Plan, String> {
        let key = |name: &str| format!("contracts.{i}.{name}");
        Ok(Plan {
            quota_rate: self.number(&key("quota_rate"))?,
            quota_burst: self.number(&key("burst"))?,
            max_in_flight: self.whole(&key("max_out"), u64::from(u32::MAX))? as u32,
            hard_limit_rate: self.number(&key("never_over_rate"))?,
            hard_limit_burst: self.number(&key("ceiling_burst"))?,
            hard_limit_slack: self.number(&key("ceiling_slack"))?,
            priority_factor: self.number(&key("worth_factor"))?,
            over_quota_weight: self.number(&key("over_worth"))?,
            over_quota_penalty: self.number(&key("beyond_costs"))?,
        })
    }
}

/// Reads lines of `path=value`.
///
/// # Errors
/// A line or key that is missing or not of its form, by name.
pub fn parse(text: &str) -> Result<DeploymentConfig, String> {
    let mut map = HashMap::new();
    for (at, line) in text.lines().enumerate().filter(|(_, line)| !line.is_empty()) {
        let (key, value) =
            line.split_once('=').ok_or_else(|| format!("line {} of the settings has no '='", at + 1))?;
        map.insert(key.to_owned(), value.to_owned());
    }
    read(&Conf(map))
}

/// Reads the same as nested JSON: lists of objects give their length and their items by number, lists of plain values
/// are joined by commas.
///
/// # Errors
/// A key that is missing or not of its form, by name.
pub fn from_json(value: &Value) -> Result<DeploymentConfig, String> {
    let mut map = HashMap::new();
    flatten(value, String::new(), 0, &mut map)?;
    read(&Conf(map))
}

fn flatten(
    value: &Value,
    path: String,
    depth: usize,
    map: &mut HashMap<String, String>,
) -> Result<(), String> {
    if depth > DEEPEST {
        return Err(format!("setting {path} is nested too deep"));
    }
    let under = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        Value::Null => {}
        Value::Bool(b) => drop(map.insert(path, b.to_string())),
        Value::Number(n) => drop(map.insert(path, n.to_string())),
        Value::String(s) => drop(map.insert(path, s.clone())),
        Value::Object(o) => {
            for (key, v) in o {
                flatten(v, under(key), depth + 1, map)?;
            }
        }
        Value::Array(list) if list.iter().any(Value::is_object) => {
            map.insert(under("count"), list.len().to_string());
            for (n, v) in list.iter().enumerate() {
                flatten(v, under(&n.to_string()), depth + 1, map)?;
            }
        }
        Value::Array(list) => {
            let plain = |v: &Value| v.as_str().map_or_else(|| v.to_string(), String::from);
            map.insert(path, list.iter().map(plain).collect::<Vec<_>>().join(","));
        }
    }
    Ok(())
}

/// Puts values of a load report, named as the settings name them, into the module's form. Unknown names are skipped.
pub fn report<'n>(values: impl IntoIterator<Item = (&'n str, f64)>) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in values {
        let place = match name {
            "concurrent" => &mut report.in_flight,
            "depth" => &mut report.queued,
            "load_share" => &mut report.utilization,
            "mean_ms" => &mut report.latency_ms,
            "tps" => &mut report.requests_per_second,
            "err_ps" => &mut report.errors_per_second,
            _ => continue,
        };
        *place = Some(value);
    }
    report
}

fn read(conf: &Conf) -> Result<DeploymentConfig, String> {
    let classes = (0..conf.count("grades")?).map(|i| conf.class(i)).collect::<Result<Vec<_>, _>>()?;
    let plans = (0..conf.count("contracts")?).map(|i| conf.plan(i)).collect::<Result<Vec<_>, _>>()?;
    let settings = Settings {
        gateways: conf.whole("n_instances", 65_535)? as u16,
        self_id: GatewayId(conf.whole("slot_no", 65_535)? as u16),
        zone: conf.whole("zone", 255)? as u8,
        tick: conf.micros("tick_us")?,
        classes,
        plans,
        limits: Limits {
            max_attempts: conf.whole("limits.most_tries", u64::from(u32::MAX))? as u32,
            hedging: conf.flag("limits.second_copies")?,
            cancellation: conf.flag("limits.cancelling")?,
            health_checks: conf.flag("limits.may_probe")?,
            gossip: conf.flag("limits.peers")?,
            gossip_receive_rate: conf.number("family_info.peer_in_per_s")?,
            retry_after: conf.flag("limits.retry_after")?,
            max_retry_after: conf.micros("limits.max_retry_after_us")?,
            shared_counter: conf.flag("family_info.has_counter")?,
            max_in_flight: conf.whole("limits.max_open", u64::from(u32::MAX))? as u32,
        },
        rules: Rules {
            answer_grace: conf.micros("rules.answer_slack_us")?,
            drain_grace: conf.micros("rules.drain_grace_us")?,
            slow_start_min_capacity: conf.number("rules.cold_from")?,
            slow_start_window: conf.micros("rules.cold_us")?,
            overload_factor: conf.number("rules.overload_factor")?,
            overload_window: conf.micros("rules.fall_us")?,
            max_poll_interval: conf.micros("rules.must_ask_in_us")?,
        },
        discovery: match conf.text("membership_mode")? {
            "ask" => Discovery::Poll,
            "push" => Discovery::Push,
            other => return Err(format!("setting membership_mode is unknown: {other}")),
        },
        weight_meaning: match conf.text("weights")? {
            "none" => WeightMeaning::None,
            "live" => WeightMeaning::Live,
            "nominal" | "rough" => WeightMeaning::Capacity,
            other => return Err(format!("setting weights is unknown: {other}")),
        },
        meter_period: conf.micros("family_info.meter_period_us")?,
        post_paid: conf.flag("family_info.post_paid")?,
    };
    let report = match conf.text("reporting.how")? {
        "none" => Vec::new(),
        _ => conf.list("reporting.fields")?,
    };
    Ok(DeploymentConfig {
        settings,
        load_report_fields: report,
        class_names: conf.names("grades")?,
        plan_names: conf.names("contracts")?,
        zone_names: conf.list("zones")?,
        machine_kinds: conf.list("skus")?,
        max_units: conf.number("family_info.most_units")?,
        keepalive: conf.micros("limits.keepalive_us")?,
        connect_timeout: conf.micros("limits.connect_timeout_us")?,
    })
}

#[cfg(test)]
mod tests {
    use super::parse;

    #[test]
    fn names_what_is_missing_or_bad() {
        let err = parse("grades.count=1\n").unwrap_err();
        assert!(err.contains("grades.0.effect"), "{err}");
        let err = parse("grades.count=0\ngrades.0.worth=1\n").unwrap_err();
        assert!(err.contains("grades.count"), "{err}");
        let err = parse("nonsense\n").unwrap_err();
        assert!(err.contains("line 1"), "{err}");
        let err = parse("grades.count=0\ncontracts.count=1\ncontracts.0.quota_rate=inf\n").unwrap_err();
        assert!(err.contains("contracts.0.quota_rate"), "{err}");
    }
}
