//! Settings as the driver and the fronts look things up in them: names resolved, what belongs together checked.

use super::{Group, Settings, SettingsError, Sizes};
use chalkgap_admission::CidrBlock;
use chalkgap_core as core;
use chalkgap_core::CustomerId;
use std::collections::HashMap;

/// Whether requests of a class carry a key to nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyRule {
    /// No.
    None,
    /// The client's, or one of ours where it gives none.
    Sent,
}

/// An account as the module knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Customer {
    /// Its number.
    pub id: CustomerId,
    /// Index of its plan.
    pub plan: u16,
    /// The first of its ingresses.
    pub first: f64,
    /// How many.
    pub width: f64,
}

/// Checked settings, looked up by name.
pub struct Compiled {
    /// As they were given.
    pub settings: Settings,
    /// Index of each class.
    pub classes: HashMap<String, u8>,
    /// Whether each class carries a key.
    pub keys: Vec<KeyRule>,
    /// Index of each zone.
    pub zones: HashMap<String, u8>,
    /// Whether each plan is of the dearest, where prices differ.
    pub preferred: Vec<bool>,
    /// Blocks of addresses that are always known.
    pub named: Vec<CidrBlock>,
    accounts: HashMap<String, Customer>,
    default_plan: Option<u16>,
    default_class: Option<u8>,
}

fn ms(n: u64) -> core::Micros {
    n * 1000
}

/// The number of an account that is given none: 33 bits of a hash, as messages between ingresses carry no more.
fn drawn(name: &str) -> CustomerId {
    let hash = blake3::hash(name.as_bytes());
    let mut word = [0; 8];
    word.copy_from_slice(&hash.as_bytes()[..8]);
    CustomerId(u64::from_le_bytes(word) & ((1 << 33) - 1))
}

fn preferred(plans: &[super::Plan]) -> Vec<bool> {
    let top = plans.iter().map(|p| p.price).fold(f64::MIN, f64::max);
    let differ = plans.iter().any(|p| p.price < top);
    plans.iter().map(|p| differ && p.price >= top).collect()
}

impl Compiled {
    /// Checks what values cannot say by themselves.
    ///
    /// # Errors
    /// Every complaint at once, each with its path.
    pub fn new(settings: Settings) -> Result<Compiled, SettingsError> {
        let mut complaints = Vec::new();
        let mut say = |path: String, text: String| complaints.push(format!("settings.{path}: {text}"));
        let fleet = &settings.fleet;
        if fleet.me >= fleet.ingresses {
            say(
                "fleet.me".into(),
                format!("expected less than the {} ingresses, found {}", fleet.ingresses, fleet.me),
            );
        }
        if let Some(peers) = &fleet.peers {
            if peers.view.as_ref().is_some_and(|v| v.address.is_none()) && peers.listen.ip().is_unspecified()
            {
                // Others would be told to look for it at an address that is their own.
                say(
                    "fleet.peers.view.address".into(),
                    format!(
                        "expected where others reach this one, as it listens at {}; found none",
                        peers.listen
                    ),
                );
            }
            let found_out = peers.view.is_some() && peers.addresses.is_empty();
            if !found_out && peers.addresses.len() != usize::from(fleet.ingresses) {
                let (n, m) = (fleet.ingresses, peers.addresses.len());
                say(
                    "fleet.peers.addresses".into(),
                    format!("expected one for each of the {n} ingresses, found {m}"),
                );
            }
        }
        let mut names = |list: &[String], path: &str| {
            let mut map = HashMap::new();
            for (n, name) in list.iter().enumerate() {
                if map.insert(name.clone(), n).is_some() {
                    say(format!("{path}[{n}]"), format!("{name:?} is there twice"));
                }
            }
            map
        };
        let zones = names(&fleet.zones, "fleet.zones");
        let list = settings.classes.iter().map(|c| c.name.clone()).collect::<Vec<_>>();
        let classes = names(&list, "classes");
        let list = settings.plans.iter().map(|p| p.name.clone()).collect::<Vec<_>>();
        let plans = names(&list, "plans");
        let known = |map: &HashMap<String, usize>| {
            let mut list: Vec<&str> = map.keys().map(String::as_str).collect();
            list.sort_unstable();
            list.join(", ")
        };
        if !zones.contains_key(&fleet.zone) {
            say("fleet.zone".into(), format!("{:?} is none of {}", fleet.zone, known(&zones)));
        }
        for (n, c) in settings.classes.iter().enumerate().filter(|(_, c)| c.aim_ms > c.deadline_ms) {
            let text = format!("{} is more than its deadline_ms of {}", c.aim_ms, c.deadline_ms);
            say(format!("classes[{n}].aim_ms"), text);
        }
        for (n, p) in settings.plans.iter().enumerate() {
            if p.rate > 0.0 && p.burst < 1.0 {
                say(
                    format!("plans[{n}].burst"),
                    format!("expected 1 or more beside a rate, found {}", p.burst),
                );
            }
            if p.ceiling_rate > 0.0 && p.ceiling_burst < 1.0 {
                let text = format!("expected 1 or more beside a ceiling_rate, found {}", p.ceiling_burst);
                say(format!("plans[{n}].ceiling_burst"), text);
            }
        }
        let a = &settings.admission;
        if a.preferred > a.reserve {
            let text =
                format!("{} is more than the reserve of {}, which it is a part of", a.preferred, a.reserve);
            say("admission.preferred".into(), text);
        }
        if a.handshakes_per_address > a.handshakes {
            let text =
                format!("{} is more than the {} handshakes in all", a.handshakes_per_address, a.handshakes);
            say("admission.handshakes_per_address".into(), text);
        }
        if a.per_address > a.per_prefix {
            let text = format!("{} is more than the {} of its prefix", a.per_address, a.per_prefix);
            say("admission.per_address".into(), text);
        }
        if let Some(group) = settings.ledger.as_ref().and_then(|l| l.group.as_ref()) {
            if !group.addresses.contains_key(&fleet.me) {
                let text = format!("expected one for this ingress, {}", fleet.me);
                say("ledger.group.addresses".into(), text);
            }
            if let Some(no) = group.addresses.keys().find(|n| **n >= fleet.ingresses) {
                let text = format!("{no} is none of the {} ingresses", fleet.ingresses);
                say("ledger.group.addresses".into(), text);
            }
        }
        for (n, (user, secret)) in settings.mqtt.iter().flat_map(|m| &m.users).enumerate() {
            if argon2::password_hash::phc::PasswordHash::new(secret).is_err() {
                // The secret itself is not repeated.
                say(format!("mqtt.users[{n}]"), format!("{user:?}: expected a PHC string of Argon2"));
            }
        }
        let mut named = Vec::new();
        for (n, text) in a.named.iter().enumerate() {
            match CidrBlock::parse(text) {
                Ok(block) => named.push(block),
                Err(e) => say(format!("admission.named[{n}]"), e.to_string()),
            }
        }
        let mut find = |map: &HashMap<String, usize>, name: &Option<String>, path: &str| {
            let name = name.as_ref()?;
            let found = map.get(name).copied();
            if found.is_none() {
                say(path.into(), format!("{name:?} is none of {}", known(map)));
            }
            found
        };
        let default_plan = find(&plans, &settings.default_plan, "default_plan").map(|n| n as u16);
        let default_class =
            find(&classes, &settings.front.default_class, "front.default_class").map(|n| n as u8);
        let (mut accounts, mut ids) = (HashMap::new(), HashMap::new());
        for (name, a) in &settings.accounts {
            let Some(plan) = plans.get(&a.plan) else {
                say(format!("accounts.{name}.plan"), format!("{:?} is none of {}", a.plan, known(&plans)));
                continue;
            };
            if a.first >= fleet.ingresses || a.width > fleet.ingresses {
                let text =
                    format!("first {} and width {} pass the {} ingresses", a.first, a.width, fleet.ingresses);
                say(format!("accounts.{name}"), text);
            }
            let id = a.id.map_or_else(|| drawn(name), CustomerId);
            if let Some(other) = ids.insert(id, name) {
                // Two accounts of one number would share one quota.
                let text = format!("its number {} is that of {other:?}: give one of them another", id.0);
                say(format!("accounts.{name}.id"), text);
            }
            let width = if a.width == 0 { fleet.ingresses } else { a.width };
            let (first, width) = (f64::from(a.first), f64::from(width));
            accounts.insert(name.clone(), Customer { id, plan: *plan as u16, first, width });
        }
        if !complaints.is_empty() {
            return Err(SettingsError::Values { file: "settings".into(), complaints });
        }
        let keyed = |c: &super::Class| match c.repeat {
            super::Repeat::Keyed { .. } => KeyRule::Sent,
            _ => KeyRule::None,
        };
        Ok(Compiled {
            keys: settings.classes.iter().map(keyed).collect(),
            classes: classes.into_iter().map(|(name, n)| (name, n as u8)).collect(),
            zones: zones.into_iter().map(|(name, n)| (name, n as u8)).collect(),
            preferred: preferred(&settings.plans),
            named,
            accounts,
            default_plan,
            default_class,
            settings,
        })
    }

    /// The account of a name; none where it is not known and there is no plan for such.
    pub fn account(&self, name: &str) -> Option<Customer> {
        if let Some(c) = self.accounts.get(name) {
            return Some(*c);
        }
        let width = f64::from(self.settings.fleet.ingresses);
        self.default_plan.map(|plan| Customer { id: drawn(name), plan, first: 0.0, width })
    }

    /// The class of a name, or the default one where none is given.
    pub fn class(&self, name: Option<&str>) -> Option<u8> {
        name.map_or(self.default_class, |name| self.classes.get(name).copied())
    }

    /// What the module is told at its start.
    pub fn core(&self) -> core::Settings {
        let s = &self.settings;
        let class = |c: &super::Class| core::RequestClass {
            latency_objective: ms(c.aim_ms),
            objective_per_work: 0.0,
            deadline: ms(c.deadline_ms),
            priority_weight: c.worth,
            late_priority_weight: c.late_worth,
            retry_safety: match c.repeat {
                super::Repeat::Safe => core::RetrySafety::Idempotent,
                super::Repeat::Once => core::RetrySafety::NotIdempotent,
                super::Repeat::Keyed { group, window_ms } => {
                    let group = match group {
                        Group::All => core::DeduplicationScope::Fleet,
                        Group::Zone => core::DeduplicationScope::Zone,
                        Group::Cell => core::DeduplicationScope::Cell,
                    };
                    core::RetrySafety::IdempotencyKey { scope: group, window: ms(window_ms) }
                }
            },
            streaming: false,
        };
        let plan = |p: &super::Plan| core::Plan {
            quota_rate: p.rate,
            quota_burst: p.burst,
            max_in_flight: p.open_cap,
            hard_limit_rate: p.ceiling_rate,
            hard_limit_burst: p.ceiling_burst,
            hard_limit_slack: p.ceiling_slack,
            priority_factor: p.price,
            over_quota_weight: p.over_worth,
            over_quota_penalty: p.over_cost,
        };
        core::Settings {
            gateways: s.fleet.ingresses,
            self_id: core::GatewayId(s.fleet.me),
            zone: self.zones.get(&s.fleet.zone).copied().unwrap_or(0),
            tick: s.fleet.tick_us,
            classes: s.classes.iter().map(class).collect(),
            plans: s.plans.iter().map(plan).collect(),
            limits: core::Limits {
                max_attempts: s.limits.max_attempts,
                hedging: s.limits.second_copies,
                cancellation: s.limits.cancel,
                health_checks: false,
                gossip: s.fleet.peers.is_some(),
                gossip_receive_rate: s.fleet.peers.as_ref().map_or(0.0, |p| p.per_second),
                retry_after: s.limits.retry_after,
                max_retry_after: ms(s.limits.max_retry_after_ms),
                shared_counter: false,
                max_in_flight: s.limits.max_open,
            },
            rules: core::Rules {
                answer_grace: 0,
                drain_grace: ms(s.rules.drain_grace_ms),
                slow_start_min_capacity: s.rules.cold_from,
                slow_start_window: ms(s.rules.cold_ms),
                overload_factor: s.rules.fall_factor,
                overload_window: ms(s.rules.fall_ms),
                max_poll_interval: 0,
            },
            discovery: core::Discovery::Push,
            weight_meaning: match s.nodes.sizes {
                Sizes::None => core::WeightMeaning::None,
                Sizes::Capacity => core::WeightMeaning::Capacity,
            },
            meter_period: 0,
            post_paid: false,
        }
    }
}
