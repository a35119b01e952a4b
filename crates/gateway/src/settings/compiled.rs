//! Settings in the form that the driver and the frontends use: sections are checked against each other, and names are
//! resolved to indices.

use super::cross_checks::{
    check_admission, check_classes, check_fleet, check_ledger_group, check_mqtt_users, check_plans,
    Complaints,
};
use super::{Account, Class, Plan, Repeat, Settings, SettingsError};
use chalkgap_admission::CidrBlock;
use chalkgap_core::CustomerId;
use std::collections::HashMap;

/// Number of bits of a customer's number that gossip messages carry.
const CUSTOMER_ID_BITS: u32 = 33;

/// Whether requests of a class carry an idempotency key to nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyRule {
    /// They carry no key.
    None,
    /// They carry the client's key, or a generated one if the client sends none.
    Sent,
}

/// An account in the terms of the core.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Customer {
    /// Number of the account.
    pub id: CustomerId,
    /// Index of the account's plan in the settings.
    pub plan: u16,
    /// Id of the first gateway that the account uses.
    pub first_gateway: f64,
    /// Number of gateways that the account uses: ids from the first on, wrapping around at the last.
    pub gateway_count: f64,
}

/// Checked settings, with lookups by name.
pub struct Compiled {
    /// The settings as they were read.
    pub settings: Settings,
    /// Index of each class by name.
    pub classes: HashMap<String, u8>,
    /// Whether requests carry an idempotency key, by index of the class.
    pub keys: Vec<KeyRule>,
    /// Index of each zone by name.
    pub zones: HashMap<String, u8>,
    /// Whether the plan is preferred (has the highest price), by index of the plan. All false if all prices are equal.
    pub preferred: Vec<bool>,
    /// Address blocks whose clients always count as known.
    pub named: Vec<CidrBlock>,
    accounts: HashMap<String, Customer>,
    default_plan: Option<u16>,
    default_class: Option<u8>,
}

impl Compiled {
    /// Checks the sections against each other and resolves names.
    ///
    /// # Errors
    /// [`SettingsError::Values`] with all complaints.
    pub fn new(settings: Settings) -> Result<Compiled, SettingsError> {
        let mut complaints = Complaints::default();
        let fleet = &settings.fleet;
        check_fleet(fleet, &mut complaints);
        let zone_names = fleet.zones.iter().map(String::as_str);
        let zones = NameIndex::new("fleet.zones", zone_names, &mut complaints);
        let class_names = settings.classes.iter().map(|class| class.name.as_str());
        let classes = NameIndex::new("classes", class_names, &mut complaints);
        let plan_names = settings.plans.iter().map(|plan| plan.name.as_str());
        let plans = NameIndex::new("plans", plan_names, &mut complaints);
        zones.find(&fleet.zone, "fleet.zone", &mut complaints);
        check_classes(&settings.classes, &mut complaints);
        check_plans(&settings.plans, &mut complaints);
        check_admission(&settings, &mut complaints);
        check_ledger_group(&settings, &mut complaints);
        check_mqtt_users(&settings, &mut complaints);
        let named = parse_blocks(&settings.admission.named, &mut complaints);
        let default_plan = settings.default_plan.as_ref();
        let default_plan = default_plan.and_then(|name| plans.find(name, "default_plan", &mut complaints));
        let default_class = settings.front.default_class.as_ref();
        let default_class =
            default_class.and_then(|name| classes.find(name, "front.default_class", &mut complaints));
        let accounts = resolve_accounts(&settings, &plans, &mut complaints);
        let complaints = complaints.into_lines();
        if !complaints.is_empty() {
            return Err(SettingsError::Values { file: "settings".into(), complaints });
        }
        Ok(Compiled {
            keys: settings.classes.iter().map(key_rule).collect(),
            classes: classes.into_indices(),
            zones: zones.into_indices(),
            preferred: preferred_plans(&settings.plans),
            named,
            accounts,
            default_plan: default_plan.map(|index| index as u16),
            default_class: default_class.map(|index| index as u8),
            settings,
        })
    }

    /// Returns the account with this name. `None` if the settings have neither the account nor a default plan.
    pub fn account(&self, name: &str) -> Option<Customer> {
        if let Some(customer) = self.accounts.get(name) {
            return Some(*customer);
        }
        let plan = self.default_plan?;
        Some(Customer {
            id: hashed_id(name),
            plan,
            first_gateway: 0.0,
            gateway_count: f64::from(self.settings.fleet.ingresses),
        })
    }

    /// Returns the index of the class with this name, or of the default class for `None`.
    pub fn class(&self, name: Option<&str>) -> Option<u8> {
        name.map_or(self.default_class, |name| self.classes.get(name).copied())
    }
}

/// Index of each name in a list of the settings.
struct NameIndex(HashMap<String, usize>);

impl NameIndex {
    /// Creates the index of the list at `path`. Duplicate names are complaints.
    fn new<'n>(path: &str, names: impl Iterator<Item = &'n str>, complaints: &mut Complaints) -> NameIndex {
        let mut indices = HashMap::new();
        for (index, name) in names.enumerate() {
            if indices.insert(name.to_owned(), index).is_some() {
                complaints.add(format_args!("{path}[{index}]"), format_args!("duplicate name {name:?}"));
            }
        }
        NameIndex(indices)
    }

    /// Returns the index of `name`. An unknown name is a complaint about the value at `path`.
    fn find(&self, name: &str, path: &str, complaints: &mut Complaints) -> Option<usize> {
        let found = self.0.get(name).copied();
        if found.is_none() {
            let mut known: Vec<&str> = self.0.keys().map(String::as_str).collect();
            known.sort_unstable();
            complaints.add(path, format_args!("{name:?} is none of {}", known.join(", ")));
        }
        found
    }

    /// Returns the indices as `u8`; the maximum lengths of these lists permit it.
    fn into_indices(self) -> HashMap<String, u8> {
        self.0.into_iter().map(|(name, index)| (name, index as u8)).collect()
    }
}

fn parse_blocks(texts: &[String], complaints: &mut Complaints) -> Vec<CidrBlock> {
    let mut blocks = Vec::new();
    for (index, text) in texts.iter().enumerate() {
        match CidrBlock::parse(text) {
            Ok(block) => blocks.push(block),
            Err(error) => complaints.add(format_args!("admission.named[{index}]"), error),
        }
    }
    blocks
}

fn resolve_accounts(
    settings: &Settings,
    plans: &NameIndex,
    complaints: &mut Complaints,
) -> HashMap<String, Customer> {
    let gateways = settings.fleet.ingresses;
    let mut customers = HashMap::new();
    let mut names_by_id = HashMap::new();
    for (name, account) in &settings.accounts {
        let path = format!("accounts.{name}.plan");
        let Some(plan) = plans.find(&account.plan, &path, complaints) else { continue };
        let Account { first, width, .. } = *account;
        if first >= gateways || width > gateways {
            let text = format!(
                "expected first < {gateways} and width <= {gateways}, found first {first} and width {width}"
            );
            complaints.add(format_args!("accounts.{name}"), text);
        }
        let id = account.id.map_or_else(|| hashed_id(name), CustomerId);
        if let Some(other) = names_by_id.insert(id, name) {
            // Accounts with the same number would share one quota.
            let text = format!(
                "number {} is also that of account {other:?}; set a different id for one of them",
                id.0
            );
            complaints.add(format_args!("accounts.{name}.id"), text);
        }
        let gateway_count = if width == 0 { gateways } else { width };
        let customer = Customer {
            id,
            plan: plan as u16,
            first_gateway: f64::from(first),
            gateway_count: f64::from(gateway_count),
        };
        customers.insert(name.clone(), customer);
    }
    customers
}

/// Returns the number of an account without `id` in the settings: a hash of its name.
fn hashed_id(name: &str) -> CustomerId {
    let hash = blake3::hash(name.as_bytes());
    let mut first_bytes = [0; 8];
    first_bytes.copy_from_slice(&hash.as_bytes()[..8]);
    CustomerId(u64::from_le_bytes(first_bytes) & ((1 << CUSTOMER_ID_BITS) - 1))
}

fn preferred_plans(plans: &[Plan]) -> Vec<bool> {
    let highest = plans.iter().map(|plan| plan.price).fold(f64::MIN, f64::max);
    let prices_differ = plans.iter().any(|plan| plan.price < highest);
    plans.iter().map(|plan| prices_differ && plan.price >= highest).collect()
}

fn key_rule(class: &Class) -> KeyRule {
    match class.repeat {
        Repeat::Keyed { .. } => KeyRule::Sent,
        Repeat::Safe | Repeat::Once => KeyRule::None,
    }
}
