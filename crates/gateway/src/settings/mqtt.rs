//! Section `mqtt`: the MQTT frontend.

use super::validation::topic_filter;
use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The MQTT frontend. The settings of deadlines, units and connection admission apply to it as well.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Mqtt {
    /// Address on which the frontend listens.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Account and class of publishes by topic. The first matching filter applies; other topics are not authorized.
    #[garde(dive, length(min = 1, max = 256))]
    pub topics: Vec<Topic>,
    /// Password hashes by user name, as PHC strings of Argon2 (`$argon2id$...`).
    #[serde(default)]
    #[garde(length(max = 100_000))]
    pub users: BTreeMap<String, String>,
    /// Whether clients without a user name are accepted.
    #[serde(default)]
    pub anonymous: bool,
    /// Maximum packet size, in bytes.
    #[serde(default = "default_most_packet")]
    #[garde(range(min = 64, max = 16 << 20))]
    pub most_packet: usize,
    /// Receive Maximum: maximum number of unacknowledged publishes of QoS 1 and 2 of a client.
    #[serde(default = "default_receive_maximum")]
    #[garde(range(min = 1, max = 10_000))]
    pub receive_maximum: u16,
    /// Topic Alias Maximum: maximum number of topic aliases of a connection.
    #[serde(default = "default_topic_aliases")]
    #[garde(range(min = 0, max = 1024))]
    pub topic_aliases: u16,
    /// Maximum keep alive, in seconds. Clients that request a longer one, or none, get this one.
    #[serde(default = "default_keep_alive_s")]
    #[garde(range(min = 1, max = 65_535))]
    pub keep_alive_s: u16,
    /// Maximum session expiry interval, in seconds.
    #[serde(default = "default_session_s")]
    #[garde(range(min = 0, max = 604_800))]
    pub session_s: u32,
    /// Maximum number of sessions without a connection. Beyond it, those that lost their connection first are dropped.
    #[serde(default = "default_sessions")]
    #[garde(range(min = 1, max = 10_000_000))]
    pub sessions: usize,
    /// Maximum number of sessions without a connection per user. Beyond it, new ones of the user are not stored.
    #[serde(default = "default_sessions_per_user")]
    #[garde(range(min = 1, max = 10_000_000))]
    pub sessions_per_user: usize,
    /// File that stores sessions for the next start. Without it, sessions are lost at a restart.
    #[serde(default)]
    pub snapshot: Option<PathBuf>,
    /// Maximum number of password hashes computed per second. Hashing is slow by design; a matching password is cached.
    #[serde(default = "default_checks_per_s")]
    #[garde(range(min = 1, max = 10_000))]
    pub checks_per_s: u32,
}

fn default_most_packet() -> usize {
    256 << 10
}

fn default_receive_maximum() -> u16 {
    64
}

fn default_topic_aliases() -> u16 {
    16
}

fn default_keep_alive_s() -> u16 {
    120
}

fn default_session_s() -> u32 {
    3600
}

fn default_sessions() -> usize {
    100_000
}

fn default_sessions_per_user() -> usize {
    10_000
}

fn default_checks_per_s() -> u32 {
    10
}

/// Account and class of publishes to the topics that match a filter.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Topic {
    /// Topic filter.
    #[garde(custom(topic_filter))]
    pub filter: String,
    /// Source of the account's name.
    pub account: Part,
    /// Source of the class's name.
    pub class: Part,
}

/// Source of a name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    /// A level of the topic, counted from 0.
    Level(usize),
    /// The user name of the connection.
    User,
    /// This name for all publishes.
    Is(String),
}
