//! Section `ledger`: the billing ledger.

use super::validation::hex_key;
use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The billing ledger.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Ledger {
    /// Directory of the ledger. No other gateway may use it.
    pub folder: PathBuf,
    /// Billing periods. Must be the same at all gateways.
    #[serde(default = "default_period")]
    #[garde(dive)]
    pub period: Period,
    /// Maximum number of entries that wait to be written to the disk. Beyond it, requests are rejected.
    #[serde(default = "default_waiting")]
    #[garde(range(min = 1, max = 1_000_000))]
    pub waiting: usize,
    /// Time after which an entry that waits to be written to the disk causes requests to be rejected, in milliseconds.
    #[serde(default = "default_slow_ms")]
    #[garde(range(min = 1, max = 60_000))]
    pub slow_ms: u64,
    /// `Retry-After` time of requests that are rejected because of the disk, in milliseconds.
    #[serde(default = "default_pause_ms")]
    #[garde(range(min = 1, max = 600_000))]
    pub pause_ms: u64,
    /// Whether requests are rejected or served after the disk has failed.
    #[serde(default)]
    pub on_failure: OnFailure,
    /// Time for which nodes are queried about a request whose result is unknown, in milliseconds. After it, the request
    /// is presumed not to have run.
    #[serde(default = "default_truth_ms")]
    #[garde(range(min = 10, max = 86_400_000))]
    pub truth_ms: u64,
    /// Time after `truth_ms` for which nodes are still queried, to correct a wrong presumption, in milliseconds.
    #[serde(default = "default_later_ms")]
    #[garde(range(min = 10, max = 31_536_000_000u64))]
    pub later_ms: u64,
    /// Interval between two queries of the same node, in milliseconds.
    #[serde(default = "default_ask_again_ms")]
    #[garde(range(min = 10, max = 3_600_000))]
    pub ask_again_ms: u64,
    /// Approximate size of a segment, in bytes.
    #[serde(default = "default_segment")]
    #[garde(range(min = 4096, max = 64 << 20))]
    pub segment: u64,
    /// Time for which entries are stored after their period, in seconds. Entries of periods that are not exported are
    /// stored for longer. Other gateways can fetch entries while they are stored.
    #[serde(default = "default_keep_s")]
    #[garde(range(min = 1, max = 10 * 366 * 86_400))]
    pub keep_s: u64,
    /// Replication among gateways. Without it, only this gateway stores its entries.
    #[serde(default)]
    #[garde(dive)]
    pub group: Option<LedgerGroup>,
    /// Export of finished periods. Without it, they are not exported.
    #[serde(default)]
    #[garde(dive)]
    pub export: Option<Export>,
}

fn default_period() -> Period {
    Period::Seconds(86_400)
}

fn default_waiting() -> usize {
    4096
}

fn default_slow_ms() -> u64 {
    100
}

fn default_pause_ms() -> u64 {
    1000
}

fn default_truth_ms() -> u64 {
    60_000
}

fn default_later_ms() -> u64 {
    3_600_000
}

fn default_ask_again_ms() -> u64 {
    1000
}

fn default_segment() -> u64 {
    8 << 20
}

fn default_keep_s() -> u64 {
    35 * 86_400
}

/// Billing periods, in UTC.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(rename_all = "snake_case")]
pub enum Period {
    /// Periods of this many seconds, counted from the Unix epoch.
    Seconds(#[garde(range(min = 1, max = 366 * 86_400))] u64),
    /// Calendar months.
    Months,
}

/// Handling of requests after the ledger's disk has failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum OnFailure {
    /// Requests are rejected, so that no use goes unbilled.
    #[default]
    Refuse,
    /// Requests are served without a ledger entry.
    Serve,
}

/// A group of gateways that replicate their ledgers: each stores the entries of all, and any of them can export.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct LedgerGroup {
    /// Address on which this gateway answers queries of the others.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Address of every gateway of the group by id, this one included.
    #[schemars(with = "BTreeMap<u16, String>")]
    #[garde(length(min = 1, max = 64))]
    pub addresses: BTreeMap<u16, SocketAddr>,
    /// Key shared by the gateways of the group: 32 bytes as hexadecimal digits.
    #[garde(custom(hex_key))]
    pub key: String,
    /// Interval between two queries to the same gateway for its list of entries, in milliseconds.
    #[serde(default = "default_every_ms")]
    #[garde(range(min = 10, max = 3_600_000))]
    pub every_ms: u64,
    /// Maximum number of entries fetched per second from another gateway.
    #[serde(default = "default_entries_per_second")]
    #[garde(range(min = 1.0, max = 1e7))]
    pub per_second: f64,
}

fn default_every_ms() -> u64 {
    1000
}

fn default_entries_per_second() -> f64 {
    20_000.0
}

/// Export of finished periods.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Export {
    /// Consumer of the exported periods.
    pub to: ExportTo,
    /// Time after the end of a period, in milliseconds. After it, the period is exported even if some gateway has not
    /// reported it complete.
    #[serde(default = "default_after_ms")]
    #[garde(range(min = 1, max = 31_536_000_000u64))]
    pub after_ms: u64,
    /// Interval between two checks for periods to export, in milliseconds.
    #[serde(default = "default_every_ms")]
    #[garde(range(min = 10, max = 3_600_000))]
    pub every_ms: u64,
    /// Time without progress of a due export after which the next gateway of the group takes over, in milliseconds.
    #[serde(default = "default_takeover_ms")]
    #[garde(range(min = 10, max = 86_400_000))]
    pub takeover_ms: u64,
    /// Timeout for the consumer's answer to a batch, in milliseconds.
    #[serde(default = "default_patience_ms")]
    #[garde(range(min = 10, max = 600_000))]
    pub patience_ms: u64,
}

fn default_after_ms() -> u64 {
    3_600_000
}

fn default_takeover_ms() -> u64 {
    60_000
}

fn default_patience_ms() -> u64 {
    10_000
}

/// A consumer of finished periods.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ExportTo {
    /// A directory that the whole group writes to: one file per batch, named by stream and number.
    Folder(PathBuf),
    /// The gRPC address of a billing consumer.
    Grpc(#[schemars(with = "String")] SocketAddr),
}
