//! The settings object that an instance is given at its start: by the simulator as lines of text, by the platform as
//! JSON with the same names and units. One reader of both; unknown keys are skipped, missing or bad ones named.

mod conf;

pub use conf::{from_json, parse, report, DeploymentConfig};
