//! Section `front`: the gRPC rate limit service.

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The gRPC rate limit service.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Front {
    /// Address on which the service listens.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// The only rate limit domain that is served. Without it, all domains are served.
    #[serde(default)]
    pub domain: Option<String>,
    /// Key of the descriptor entry that holds the account.
    #[serde(default = "default_account_entry")]
    #[garde(length(min = 1))]
    pub account_entry: String,
    /// Key of the descriptor entry that holds the request class.
    #[serde(default = "default_class_entry")]
    #[garde(length(min = 1))]
    pub class_entry: String,
    /// Name of the class of calls without a class entry. Without it, such calls are answered with an error.
    #[serde(default)]
    pub default_class: Option<String>,
    /// Key of the descriptor entry that holds the idempotency key.
    #[serde(default = "default_key_entry")]
    #[garde(length(min = 1))]
    pub key_entry: String,
    /// Maximum number of units of a call.
    #[serde(default = "default_most_units")]
    #[garde(range(min = 1, max = 1_000_000))]
    pub most_units: u32,
    /// Time that is subtracted from each deadline for the answer's way to the client, in milliseconds.
    #[serde(default = "default_answer_margin_ms")]
    #[garde(range(min = 0, max = 1000))]
    pub answer_margin_ms: u64,
    /// Maximum size of a call's message, in bytes.
    #[serde(default = "default_most_message")]
    #[garde(range(min = 64, max = 16 << 20))]
    pub most_message: usize,
    /// Maximum number of concurrent calls on a connection.
    #[serde(default = "default_max_streams")]
    #[garde(range(min = 1, max = 10_000))]
    pub max_streams: u32,
    /// Maximum number of concurrent connections of clients.
    #[serde(default = "default_max_connections")]
    #[garde(range(min = 1, max = 1_000_000))]
    pub max_connections: usize,
    /// Timeout of a connection's preface and first SETTINGS, and grace period before `admission.bytes_per_s` applies to
    /// messages and unread answers, in milliseconds.
    #[serde(default = "default_patience_ms")]
    #[garde(range(min = 10, max = 600_000))]
    pub patience_ms: u64,
}

fn default_account_entry() -> String {
    "account".into()
}

fn default_class_entry() -> String {
    "class".into()
}

fn default_key_entry() -> String {
    "key".into()
}

fn default_most_units() -> u32 {
    1000
}

fn default_answer_margin_ms() -> u64 {
    5
}

fn default_most_message() -> usize {
    64 << 10
}

fn default_max_streams() -> u32 {
    256
}

fn default_max_connections() -> usize {
    10_000
}

fn default_patience_ms() -> u64 {
    5000
}
