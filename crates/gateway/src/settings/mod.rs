//! Settings of an instance: typed, checked, and compiled for lookups.
//!
//! They are read from a Starlark script ([`read`]), or built by a program that embeds the library. Each section has its
//! own module. Field names are the keys in the script, and doc comments are the descriptions in the JSON Schema.

mod admission;
mod classes;
mod compiled;
mod core_settings;
mod cross_checks;
mod descriptors;
mod error;
mod fleet;
mod frontend;
mod ledger;
mod limits;
mod memory;
mod mqtt;
mod nodes;
mod plans;
mod rules;
pub mod script;
mod typed;
mod upstream;
mod validation;

pub use admission::Admission;
pub use classes::{Class, Group, Repeat};
pub use compiled::{Compiled, Customer, KeyRule};
pub use descriptors::Descriptors;
pub use error::SettingsError;
pub use fleet::{Fleet, FleetView, Peers};
pub use frontend::Front;
pub use ledger::{Export, ExportTo, Ledger, LedgerGroup, OnFailure, Period};
pub use limits::Limits;
pub use memory::Memory;
pub use mqtt::{Mqtt, Part, Topic};
pub use nodes::{ListSource, Nodes, Sizes};
pub use plans::{Account, Plan};
pub use rules::Rules;
pub use typed::typed;
pub use upstream::Upstream;

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// All settings of an instance.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Settings {
    /// The gateways of the fleet, the id and zone of this one, and the messages between them.
    #[garde(dive)]
    pub fleet: Fleet,
    /// The gRPC rate limit service.
    #[garde(dive)]
    pub front: Front,
    /// Request classes.
    #[garde(dive, length(min = 1, max = 32))]
    pub classes: Vec<Class>,
    /// Plans: quotas, limits and priority factors of accounts.
    #[garde(dive, length(min = 1, max = 63))]
    pub plans: Vec<Plan>,
    /// Accounts by name.
    #[serde(default)]
    #[garde(dive)]
    pub accounts: BTreeMap<String, Account>,
    /// Name of the plan for accounts that are not in `accounts`. Without it, requests of such accounts are denied.
    #[serde(default)]
    pub default_plan: Option<String>,
    /// Limits on attempts, hedging, cancellation, `Retry-After` and requests in flight.
    #[serde(default)]
    #[garde(dive)]
    pub limits: Limits,
    /// Properties of the nodes: draining, slow start and overload.
    #[garde(dive)]
    pub rules: Rules,
    /// Discovery of the nodes: the source of the node list.
    #[garde(dive)]
    pub nodes: Nodes,
    /// Connections to nodes.
    #[serde(default)]
    #[garde(dive)]
    pub upstream: Upstream,
    /// Connection admission.
    #[serde(default)]
    #[garde(dive)]
    pub admission: Admission,
    /// Division of the process's file descriptors among their uses.
    #[serde(default)]
    #[garde(dive)]
    pub descriptors: Descriptors,
    /// The memory limit of the process.
    #[serde(default)]
    #[garde(dive)]
    pub memory: Memory,
    /// The MQTT frontend. Without it, MQTT is not served.
    #[serde(default)]
    #[garde(dive)]
    pub mqtt: Option<Mqtt>,
    /// The billing ledger. Without it, usage is not recorded.
    #[serde(default)]
    #[garde(dive)]
    pub ledger: Option<Ledger>,
}

/// Returns 1.0, the default of several factors and weights.
fn one() -> f64 {
    1.0
}

/// Reads settings from the text of a script.
///
/// `file` is the script's name in error messages. The script reads the pairs of `given` as `given["KEY"]`.
///
/// # Errors
/// [`SettingsError::Script`] if the script fails, [`SettingsError::Values`] if a value has a wrong type or is out of
/// range.
pub fn read(file: &str, text: String, given: &[(String, String)]) -> Result<Settings, SettingsError> {
    let value = script::run(file, text, given, "settings")?;
    typed(file, "settings", value)
}

/// Returns the JSON Schema of the settings.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(Settings).to_value()
}
