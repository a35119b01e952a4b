//! The settings object as a whole, and its two sources.

use crate::error::SettingsError;
use crate::json;
use crate::key_values::KeyValues;
use crate::sections::{self, CLASSES, PLANS};
use chalkgap_core::{Micros, Settings};
use serde_json::Value;

/// The settings of a deployment.
#[derive(Clone, Debug, Default)]
pub struct DeploymentConfig {
    /// What the decision module is configured with.
    pub settings: Settings,
    /// The names of the values in a load report, in their order; empty where backends send none.
    pub load_report_fields: Vec<String>,
    /// The names of the request classes, in the order of [`Settings::classes`].
    pub class_names: Vec<String>,
    /// The names of the plans, in the order of [`Settings::plans`].
    pub plan_names: Vec<String>,
    /// The names of the zones, by their index.
    pub zone_names: Vec<String>,
    /// The names of the machine types, by their index.
    pub machine_kinds: Vec<String>,
    /// The most quota units that one request may count.
    pub max_units: f64,
    /// Backends close a connection that has been idle for this long, at the latest.
    pub keepalive: Micros,
    /// A connection that is not established within this time counts as failed.
    pub connect_timeout: Micros,
}

/// Reads lines of `path=value`, the form that the simulator sends.
///
/// # Errors
/// A line or key that is missing or malformed, by name; see [`SettingsError`].
pub fn parse(text: &str) -> Result<DeploymentConfig, SettingsError> {
    read(&KeyValues::from_lines(text)?)
}

/// Reads nested JSON, the form in the platform's configuration file.
///
/// # Errors
/// A key that is missing or malformed, by name; see [`SettingsError`].
pub fn from_json(value: &Value) -> Result<DeploymentConfig, SettingsError> {
    read(&json::flatten(value)?)
}

fn read(values: &KeyValues) -> Result<DeploymentConfig, SettingsError> {
    Ok(DeploymentConfig {
        settings: sections::settings(values)?,
        load_report_fields: sections::load_report_fields(values)?,
        class_names: values.column(CLASSES, "name")?,
        plan_names: values.column(PLANS, "name")?,
        zone_names: values.list("zones")?,
        machine_kinds: values.list("skus")?,
        max_units: values.number("family_info.most_units")?,
        keepalive: values.micros("limits.keepalive_us")?,
        connect_timeout: values.micros("limits.connect_timeout_us")?,
    })
}
