//! Sections `plans` and `accounts`: quotas and limits of customers.

use super::one;
use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A plan: quota, limits and priority factor of each of its accounts.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Plan {
    /// Name of the plan.
    #[garde(length(min = 1, max = 100))]
    pub name: String,
    /// Quota of an account over all gateways, in units per second; 0 for no quota.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e9))]
    pub rate: f64,
    /// Burst of the quota, in units.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e9))]
    pub burst: f64,
    /// Maximum number of concurrent attempts of an account; 0 for no limit.
    #[serde(default)]
    #[garde(range(min = 0, max = 1_000_000))]
    pub open_cap: u32,
    /// Hard limit of an account, in units per second; 0 for no hard limit. It is never exceeded.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e9))]
    pub ceiling_rate: f64,
    /// Burst of the hard limit, in units.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e9))]
    pub ceiling_burst: f64,
    /// Units by which the hard limit may be exceeded. Not used by any decision so far: the limit is never exceeded.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e9))]
    pub ceiling_slack: f64,
    /// Factor on the priority weight of requests. Accounts of the plans with the highest factor are preferred.
    #[serde(default = "one")]
    #[garde(range(min = 0.0, max = 1e6))]
    pub price: f64,
    /// Fraction of the priority weight that a served request beyond the quota has.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1.0))]
    pub over_worth: f64,
    /// Cost of forwarding a request beyond the quota, as a fraction of the priority weight.
    #[serde(default = "one")]
    #[garde(range(min = 0.0, max = 100.0))]
    pub over_cost: f64,
}

/// An account: its plan, the gateways that it uses and its number.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Account {
    /// Name of the account's plan.
    pub plan: String,
    /// Id of the first gateway that the account uses.
    #[serde(default)]
    pub first: u16,
    /// Number of gateways that the account uses: ids from `first` on, wrapping around at the last; 0 for all gateways.
    #[serde(default)]
    pub width: u16,
    /// Number of the account, below 2^33 and the same at all gateways. Without it, the number is a hash of the name.
    #[serde(default)]
    #[garde(inner(range(max = 8_589_934_591_u64)))]
    pub id: Option<u64>,
}
