//! Settings of an instance: typed, checked, and compiled for lookups.
//!
//! They come from a Starlark script ([`read`]), or are built in place by a program that embeds the library. Each section has
//! a module of its own. Field names are the keys of the script; the descriptions of fields are those of the JSON Schema.

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
    /// The fleet, and this gateway's place in it.
    #[garde(dive)]
    pub fleet: Fleet,
    /// The gRPC rate limit service.
    #[garde(dive)]
    pub front: Front,
    /// Request classes.
    #[garde(dive, length(min = 1, max = 32))]
    pub classes: Vec<Class>,
    /// Plans.
    #[garde(dive, length(min = 1, max = 63))]
    pub plans: Vec<Plan>,
    /// Accounts by name.
    #[serde(default)]
    #[garde(dive)]
    pub accounts: BTreeMap<String, Account>,
    /// The plan of accounts that are not in `accounts`. Without it, they are not served.
    #[serde(default)]
    pub default_plan: Option<String>,
    /// What the gateway may do for a request, and how many it takes.
    #[serde(default)]
    #[garde(dive)]
    pub limits: Limits,
    /// Properties of the nodes: draining, slow start, overload.
    #[garde(dive)]
    pub rules: Rules,
    /// Discovery of the nodes.
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
    /// How the process's file descriptors are divided.
    #[serde(default)]
    #[garde(dive)]
    pub descriptors: Descriptors,
    /// The MQTT frontend. Without it, MQTT is not served.
    #[serde(default)]
    #[garde(dive)]
    pub mqtt: Option<Mqtt>,
    /// The billing ledger. Without it, usage is not recorded.
    #[serde(default)]
    #[garde(dive)]
    pub ledger: Option<Ledger>,
}

/// The default of several factors.
fn one() -> f64 {
    1.0
}

/// Reads settings from the text of a script. `file` is its name in complaints; the script reads the pairs of `given` as
/// `given["KEY"]`.
///
/// # Errors
/// See [`SettingsError`].
pub fn read(file: &str, text: String, given: &[(String, String)]) -> Result<Settings, SettingsError> {
    let value = script::run(file, text, given, "settings")?;
    typed(file, "settings", value)
}

/// The JSON Schema of the settings.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(Settings).to_value()
}
