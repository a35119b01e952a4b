//! The settings object as a whole and its two formats.

use crate::error::SettingsError;
use crate::json;
use crate::key_values::KeyValues;
use crate::sections::{self, CLASSES, PLANS};
use chalkgap_core::{Micros, Settings};
use serde_json::Value;

/// The settings of a deployment.
#[derive(Clone, Debug, Default)]
pub struct DeploymentConfig {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the values in a load report, in their order; empty if backends send no load reports.
    pub load_report_fields: Vec<String>,
    /// Names of the request classes, in the order of [`Settings::classes`].
    pub class_names: Vec<String>,
    /// Names of the plans, in the order of [`Settings::plans`].
    pub plan_names: Vec<String>,
    /// Names of the zones, by index.
    pub zone_names: Vec<String>,
    /// Names of the machine types, by index.
    pub machine_kinds: Vec<String>,
    /// Maximum quota units of one request.
    pub max_units: f64,
    /// Time after which backends close an idle connection, at the latest; in microseconds.
    pub keepalive: Micros,
    /// Maximum time to establish a connection, in microseconds; a slower one counts as failed.
    pub connect_timeout: Micros,
}

/// Reads lines of `path=value`, the format that the simulator sends.
///
/// # Errors
/// Returns a [`SettingsError`] that names the line without `=`, or the key that is missing or malformed.
pub fn parse(text: &str) -> Result<DeploymentConfig, SettingsError> {
    read(&KeyValues::from_lines(text)?)
}

/// Reads nested JSON, the format of the platform's configuration file.
///
/// # Errors
/// Returns a [`SettingsError`] that names the key that is missing, malformed or nested too deep.
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
