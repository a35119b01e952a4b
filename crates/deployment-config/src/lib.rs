//! The settings object that a deployment gives a gateway at its start, read into the types of `chalkgap-core`.
//!
//! The simulator sends it as lines of `path=value` ([`parse`]), the platform as nested JSON ([`from_json`]), with the
//! same names and units. Both are converted into a flat table of keys and read by the same code. Unknown keys are
//! skipped. The error for a missing or malformed key names the key.

mod config;
mod error;
mod json;
mod key_values;
mod load_report;
mod sections;
#[cfg(test)]
mod tests;

pub use config::{from_json, parse, DeploymentConfig};
pub use error::SettingsError;
pub use load_report::report;
