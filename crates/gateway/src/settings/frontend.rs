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
    /// The address on which it listens.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// The only rate limit domain that is served. Without it, every domain is.
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
    /// The class of calls without a class entry. Without it, they are answered with an error.
    #[serde(default)]
    pub default_class: Option<String>,
    /// Key of the descriptor entry that holds the idempotency key.
    #[serde(default = "default_key_entry")]
    #[garde(length(min = 1))]
    pub key_entry: String,
    /// Most units that one call may request.
    #[serde(default = "default_most_units")]
    #[garde(range(min = 1, max = 1_000_000))]
    pub most_units: u32,
    /// Subtracted from each deadline, in milliseconds: the time that the answer takes to reach the client.
    #[serde(default = "default_answer_margin_ms")]
    #[garde(range(min = 0, max = 1000))]
    pub answer_margin_ms: u64,
    /// Most bytes of a call's message.
    #[serde(default = "default_most_message")]
    #[garde(range(min = 64, max = 16 << 20))]
    pub most_message: usize,
    /// Most concurrent calls on a connection.
    #[serde(default = "default_max_streams")]
    #[garde(range(min = 1, max = 10_000))]
    pub max_streams: u32,
    /// Most concurrent connections.
    #[serde(default = "default_max_connections")]
    #[garde(range(min = 1, max = 1_000_000))]
    pub max_connections: usize,
    /// How long the preface and the first SETTINGS of a connection may take, and how long answers may stay unread, in
    /// milliseconds.
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
