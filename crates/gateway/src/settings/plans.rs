//! Sections `plans` and `accounts`: what customers have bought.

use super::one;
use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A plan.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Plan {
    /// Its name.
    #[garde(length(min = 1, max = 100))]
    pub name: String,
    /// Quota of an account over all gateways, in units per second; 0 for none.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e9))]
    pub rate: f64,
    /// Burst of the quota, in units.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e9))]
    pub burst: f64,
    /// Most concurrent attempts of an account; 0 for no limit.
    #[serde(default)]
    #[garde(range(min = 0, max = 1_000_000))]
    pub open_cap: u32,
    /// Hard limit of an account, in units per second, which is never exceeded; 0 for none.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e9))]
    pub ceiling_rate: f64,
    /// Burst of the hard limit, in units.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e9))]
    pub ceiling_burst: f64,
    /// Units by which the hard limit may be exceeded. No decision uses it so far: the limit is never exceeded.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e9))]
    pub ceiling_slack: f64,
    /// Factor on the priority weight of requests. The plans with the highest factor are preferred.
    #[serde(default = "one")]
    #[garde(range(min = 0.0, max = 1e6))]
    pub price: f64,
    /// Fraction of the priority weight that a request beyond the quota has when it is served.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1.0))]
    pub over_worth: f64,
    /// Fraction of the priority weight that forwarding a request beyond the quota costs.
    #[serde(default = "one")]
    #[garde(range(min = 0.0, max = 100.0))]
    pub over_cost: f64,
}

/// An account.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Account {
    /// The name of its plan.
    pub plan: String,
    /// The id of the first gateway that it uses.
    #[serde(default)]
    pub first: u16,
    /// Number of gateways that it uses, counted from `first` and wrapping around; 0 for all.
    #[serde(default)]
    pub width: u16,
    /// Its number, below 2^33 and the same at all gateways. Without it, the number is a hash of the name.
    #[serde(default)]
    #[garde(inner(range(max = 8_589_934_591_u64)))]
    pub id: Option<u64>,
}
