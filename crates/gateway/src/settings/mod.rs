//! Settings of an instance: typed, checked, and turned into what the module and the sockets are told. They come as a
//! Starlark script ([`read`]) or are built in place by those who embed the library. Spans of time are in milliseconds.

mod compiled;
pub mod script;

pub use compiled::{Compiled, Customer, KeyRule};

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why settings are not taken.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The script cannot be run.
    #[error("{file}: {what}")]
    Script {
        /// The file's name.
        file: String,
        /// Line, column and what was expected.
        what: String,
    },
    /// Values are not allowed: path, value, and what is.
    #[error("{file}: {}", .complaints.join("\n"))]
    Values {
        /// The file's name.
        file: String,
        /// One line each.
        complaints: Vec<String>,
    },
}

/// All settings of an instance.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Settings {
    /// The fleet and this instance's place in it.
    #[garde(dive)]
    pub fleet: Fleet,
    /// Where clients ask.
    #[garde(dive)]
    pub front: Front,
    /// Request classes.
    #[garde(dive, length(min = 1, max = 32))]
    pub classes: Vec<Class>,
    /// Plans.
    #[garde(dive, length(min = 1, max = 63))]
    pub plans: Vec<Plan>,
    /// Accounts by name.
    #[serde(default)]
    #[garde(dive)]
    pub accounts: BTreeMap<String, Account>,
    /// The plan of accounts that are not named; none: they are not served.
    #[serde(default)]
    pub default_plan: Option<String>,
    /// What is permitted.
    #[serde(default)]
    #[garde(dive)]
    pub limits: Limits,
    /// The figures of the five rules.
    #[garde(dive)]
    pub rules: Rules,
    /// Where the list of nodes comes from.
    #[garde(dive)]
    pub nodes: Nodes,
    /// Connections to nodes.
    #[serde(default)]
    #[garde(dive)]
    pub upstream: Upstream,
    /// Which connections of clients are let in.
    #[serde(default)]
    #[garde(dive)]
    pub admission: Admission,
    /// How the process's descriptors are split.
    #[serde(default)]
    #[garde(dive)]
    pub descriptors: Descriptors,
    /// The MQTT front; none: there is none.
    #[serde(default)]
    #[garde(dive)]
    pub mqtt: Option<Mqtt>,
    /// The billing ledger; none: use is not written down.
    #[serde(default)]
    #[garde(dive)]
    pub ledger: Option<Ledger>,
}

/// The fleet and this instance's place in it.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Fleet {
    /// How many ingresses there are.
    #[garde(range(min = 1, max = 10_000))]
    pub ingresses: u16,
    /// The number of this one, from 0.
    pub me: u16,
    /// Names of all zones, in the same order at every ingress.
    #[garde(length(min = 1, max = 255))]
    pub zones: Vec<String>,
    /// The zone of this one.
    pub zone: String,
    /// Messages between ingresses; none: it is alone, or its peers are not told anything.
    #[serde(default)]
    #[garde(dive)]
    pub peers: Option<Peers>,
    /// How often the module looks at the time, at least; it wakes at every fifth of these.
    #[serde(default = "tick_us")]
    #[garde(range(min = 200, max = 50_000))]
    pub tick_us: u64,
}

fn tick_us() -> u64 {
    2000
}

/// Messages between ingresses.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Peers {
    /// Where this one receives datagrams.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Where each ingress receives them, by number; this one's own is there, too. None where there is a `view`, which
    /// finds them.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    pub addresses: Vec<SocketAddr>,
    /// The key that all share: 32 bytes in hexadecimal digits.
    #[garde(custom(hex_key))]
    pub key: String,
    /// Messages taken in a second; more are dropped.
    #[serde(default = "hundred")]
    #[garde(range(min = 1.0, max = 1e6))]
    pub per_second: f64,
    /// Who is there is found out; none: the ingresses are those of `addresses`, for good.
    #[serde(default)]
    #[garde(dive)]
    pub view: Option<FleetView>,
}

fn hundred() -> f64 {
    100.0
}

/// A view of the fleet: ingresses come, go, die and come back, and each knows of it with a stated lateness.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct FleetView {
    /// Where others may be found at the start; one that answers is enough.
    #[schemars(with = "Vec<String>")]
    #[garde(length(min = 1, max = 64))]
    pub seeds: Vec<SocketAddr>,
    /// Where others reach this one, if that is not where it listens.
    #[serde(default)]
    #[schemars(with = "Option<String>")]
    pub address: Option<SocketAddr>,
    /// How often each asks another one whether it is there. All that the view knows is late by some of these.
    #[serde(default = "round")]
    #[garde(range(min = 50, max = 60_000))]
    pub round_ms: u64,
    /// The least time that a suspected one has to object, where the size of the fleet does not give it more.
    #[serde(default)]
    #[garde(range(max = 86_400_000))]
    pub objection_ms: u64,
    /// Messages sent for it in a second at most.
    #[serde(default = "forty")]
    #[garde(range(min = 5.0, max = 1e4))]
    pub per_second: f64,
}

fn round() -> u64 {
    500
}
fn forty() -> f64 {
    40.0
}

fn hex_key(key: &str, _: &()) -> garde::Result {
    let fits = key.len() == 64 && key.bytes().all(|b| b.is_ascii_hexdigit());
    // The value is a secret: the complaint does not repeat it.
    fits.then_some(()).ok_or_else(|| garde::Error::new("expected 64 hexadecimal digits"))
}

/// The gRPC rate limit service.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Front {
    /// Where it listens.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// The only domain that is served; none: any.
    #[serde(default)]
    pub domain: Option<String>,
    /// The descriptor entry that names the account.
    #[serde(default = "account_entry")]
    #[garde(length(min = 1))]
    pub account_entry: String,
    /// The descriptor entry that names the class.
    #[serde(default = "class_entry")]
    #[garde(length(min = 1))]
    pub class_entry: String,
    /// The class of calls without that entry; none: they are not served.
    #[serde(default)]
    pub default_class: Option<String>,
    /// The descriptor entry that carries the request's key.
    #[serde(default = "key_entry")]
    #[garde(length(min = 1))]
    pub key_entry: String,
    /// The most units that a call may ask for.
    #[serde(default = "most_units")]
    #[garde(range(min = 1, max = 1_000_000))]
    pub most_units: u32,
    /// Taken off each deadline, for the answer's way back.
    #[serde(default = "answer_margin")]
    #[garde(range(min = 0, max = 1000))]
    pub answer_margin_ms: u64,
    /// Bytes of a call's message.
    #[serde(default = "most_message")]
    #[garde(range(min = 64, max = 16 << 20))]
    pub most_message: usize,
    /// Calls open at once on a connection.
    #[serde(default = "max_streams")]
    #[garde(range(min = 1, max = 10_000))]
    pub max_streams: u32,
    /// Connections open at once.
    #[serde(default = "max_connections")]
    #[garde(range(min = 1, max = 1_000_000))]
    pub max_connections: usize,
    /// How long the preface and first SETTINGS of a connection may take, and its unread answers lie.
    #[serde(default = "patience")]
    #[garde(range(min = 10, max = 600_000))]
    pub patience_ms: u64,
}

fn account_entry() -> String {
    "account".into()
}
fn class_entry() -> String {
    "class".into()
}
fn key_entry() -> String {
    "key".into()
}
fn most_units() -> u32 {
    1000
}
fn answer_margin() -> u64 {
    5
}
fn most_message() -> usize {
    64 << 10
}
fn max_streams() -> u32 {
    256
}
fn max_connections() -> usize {
    10_000
}
fn patience() -> u64 {
    5000
}

/// A request class.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Class {
    /// Its name, as clients and nodes use it.
    #[garde(length(min = 1, max = 100), pattern("^[A-Za-z0-9._-]+$"))]
    pub name: String,
    /// An answer within this time earns the full worth.
    #[garde(range(min = 1, max = 86_400_000))]
    pub aim_ms: u64,
    /// The longest a client waits.
    #[garde(range(min = 1, max = 86_400_000))]
    pub deadline_ms: u64,
    /// What a request is worth.
    #[serde(default = "one")]
    #[garde(range(min = 0.0, max = 1e9))]
    pub worth: f64,
    /// The share of the worth left after the aim.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1.0))]
    pub late_worth: f64,
    /// Whether it may run again.
    #[garde(dive)]
    pub repeat: Repeat,
}

fn one() -> f64 {
    1.0
}

/// Whether a request that may have run may be sent again.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Repeat {
    /// Always.
    Safe,
    /// Never.
    Once,
    /// To nodes that drop repeats of a key.
    Keyed {
        /// Which they are, seen from the first one.
        #[garde(skip)]
        group: Group,
        /// How long they know it.
        #[garde(range(min = 1, max = 86_400_000))]
        window_ms: u64,
    },
}

/// Nodes that drop repeats of a key.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// All.
    All,
    /// Those of its zone.
    Zone,
    /// Those of its cell.
    Cell,
}

/// A plan.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Plan {
    /// Its name.
    #[garde(length(min = 1, max = 100))]
    pub name: String,
    /// Units a second of an account over all ingresses; 0: no such quota.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e9))]
    pub rate: f64,
    /// Units that may be used at once.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e9))]
    pub burst: f64,
    /// Attempts out at once; 0: no such quota.
    #[serde(default)]
    #[garde(range(min = 0, max = 1_000_000))]
    pub open_cap: u32,
    /// Units a second that are never exceeded; 0: no such ceiling.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e9))]
    pub ceiling_rate: f64,
    /// Units of it at once.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e9))]
    pub ceiling_burst: f64,
    /// Units by which it may be exceeded.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1e9))]
    pub ceiling_slack: f64,
    /// Factor on the worth; the highest plans are preferred.
    #[serde(default = "one")]
    #[garde(range(min = 0.0, max = 1e6))]
    pub price: f64,
    /// Share of the worth earned beyond the quota.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1.0))]
    pub over_worth: f64,
    /// Share of the worth that sending beyond the quota costs.
    #[serde(default = "one")]
    #[garde(range(min = 0.0, max = 100.0))]
    pub over_cost: f64,
}

/// An account.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Account {
    /// Its plan.
    pub plan: String,
    /// The first of the ingresses that it uses.
    #[serde(default)]
    pub first: u16,
    /// How many, counted round from there; 0: all.
    #[serde(default)]
    pub width: u16,
    /// Its number, below 2^33, alike at all ingresses; none: drawn from the name.
    #[serde(default)]
    #[garde(inner(range(max = 8_589_934_591_u64)))]
    pub id: Option<u64>,
}

/// What is permitted.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
#[garde(allow_unvalidated)]
pub struct Limits {
    /// Attempts for a request.
    #[garde(range(min = 1, max = 10))]
    pub max_attempts: u32,
    /// Two attempts of one request may be out together.
    pub second_copies: bool,
    /// Attempts may be called off.
    pub cancel: bool,
    /// Clients are told how long to keep away.
    pub retry_after: bool,
    /// The longest pause that they are told.
    #[garde(range(min = 0, max = 86_400_000))]
    pub max_retry_after_ms: u64,
    /// Requests open at once at this ingress; more are refused unseen.
    #[garde(range(min = 1, max = 1_000_000))]
    pub max_open: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_attempts: 3,
            second_copies: true,
            cancel: true,
            retry_after: true,
            max_retry_after_ms: 2000,
            max_open: 20_000,
        }
    }
}

/// The figures of the five rules.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Rules {
    /// New work to a draining node must have ended after this.
    #[garde(range(min = 0, max = 3_600_000))]
    pub drain_grace_ms: u64,
    /// A node starts at this share of its capacity or more.
    #[garde(range(min = 0.001, max = 1.0))]
    pub cold_from: f64,
    /// It is warm after this.
    #[garde(range(min = 0, max = 86_400_000))]
    pub cold_ms: u64,
    /// A cold node falls over when sent more than this multiple of its capacity ...
    #[garde(range(min = 1.0, max = 1000.0))]
    pub fall_factor: f64,
    /// ... for this long.
    #[garde(range(min = 1, max = 3_600_000))]
    pub fall_ms: u64,
}

/// Where the list of nodes comes from.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Nodes {
    /// The source.
    pub source: ListSource,
    /// Where the last list is kept, to start from; none: it is not kept.
    #[serde(default)]
    pub cache: Option<PathBuf>,
    /// The most nodes that a list may have.
    #[serde(default = "most_nodes")]
    #[garde(range(min = 1, max = 60_000))]
    pub most: usize,
    /// What sizes in the list mean.
    #[serde(default)]
    pub sizes: Sizes,
}

fn most_nodes() -> usize {
    10_000
}

/// A source of node lists.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum ListSource {
    /// A file, looked at again and again.
    File {
        /// The file.
        path: PathBuf,
        /// How often it is looked at.
        #[serde(default = "file_every")]
        every_ms: u64,
    },
    /// A roster that pushes changes.
    Roster {
        /// Its address.
        #[schemars(with = "String")]
        address: SocketAddr,
    },
    /// Whoever embeds the library tells it, through the handle.
    Handle,
}

fn file_every() -> u64 {
    200
}

/// What the size of a node means.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Sizes {
    /// Nothing.
    #[default]
    None,
    /// Its capacity, or roughly.
    Capacity,
}

/// Connections to nodes.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
#[garde(allow_unvalidated)]
pub struct Upstream {
    /// How long connecting and the first SETTINGS may take.
    #[garde(range(min = 1, max = 60_000))]
    pub connect_timeout_ms: u64,
    /// An idle connection is closed after this.
    #[garde(range(min = 10, max = 86_400_000))]
    pub keepalive_ms: u64,
    /// Connections to one node at once.
    #[garde(range(min = 1, max = 64))]
    pub connections: usize,
    /// Attempts on one connection.
    #[garde(range(min = 1, max = 10_000))]
    pub max_streams: usize,
    /// Bytes of a node's answer.
    #[garde(range(min = 64, max = 16 << 20))]
    pub most_message: usize,
}

impl Default for Upstream {
    fn default() -> Self {
        Upstream {
            connect_timeout_ms: 250,
            keepalive_ms: 15_000,
            connections: 4,
            max_streams: 100,
            most_message: 1 << 20,
        }
    }
}

/// Which connections of clients are let in.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
#[garde(allow_unvalidated)]
pub struct Admission {
    /// Connections that an address may have open; a known one four times as many.
    #[garde(range(min = 1, max = 1_000_000))]
    pub per_address: u32,
    /// Connections that a prefix (IPv4 /24, IPv6 /64) may have open, known addresses in it aside.
    #[garde(range(min = 1, max = 1_000_000))]
    pub per_prefix: u32,
    /// Connections that an address may open in a second, and so many at once.
    #[garde(range(min = 0.01, max = 1e6))]
    pub per_second: f64,
    /// Connections that have not finished their handshake.
    #[garde(range(min = 1, max = 1_000_000))]
    pub handshakes: u32,
    /// The same by address.
    #[garde(range(min = 1, max = 1_000_000))]
    pub handshakes_per_address: u32,
    /// Share of the connections kept for known clients.
    #[garde(range(min = 0.0, max = 0.95))]
    pub reserve: f64,
    /// Share of them, inside the reserve, kept for the dearest plans.
    #[garde(range(min = 0.0, max = 0.95))]
    pub preferred: f64,
    /// Addresses that are remembered as known.
    #[garde(range(min = 0, max = 10_000_000))]
    pub known: usize,
    /// Addresses that one account can make known.
    #[garde(range(min = 1, max = 1_000_000))]
    pub known_per_account: usize,
    /// How long after its last served request an address stays known, in seconds.
    #[garde(range(min = 1, max = 31_536_000))]
    pub known_for_s: u64,
    /// Addresses and blocks that are always known, such as `10.1.0.0/16`.
    pub named: Vec<String>,
    /// Where the known are kept over a restart; none: they are not.
    pub snapshot: Option<PathBuf>,
    /// Refusals a second that get a word; more are closed without one.
    #[garde(range(min = 1.0, max = 1e6))]
    pub words_per_s: f64,
    /// A connection without a call is closed after this.
    #[garde(range(min = 10, max = 86_400_000))]
    pub idle_ms: u64,
    /// Bytes a second that a call's message must come with, and answers be read with, after `front.patience_ms`.
    #[garde(range(min = 1, max = 1_000_000_000))]
    pub bytes_per_s: u64,
}

impl Default for Admission {
    fn default() -> Self {
        Admission {
            per_address: 256,
            per_prefix: 1024,
            per_second: 200.0,
            handshakes: 1024,
            handshakes_per_address: 128,
            reserve: 0.3,
            preferred: 0.1,
            known: 50_000,
            known_per_account: 64,
            known_for_s: 86_400,
            named: Vec::new(),
            snapshot: None,
            words_per_s: 500.0,
            idle_ms: 600_000,
            bytes_per_s: 1000,
        }
    }
}

/// How the process's descriptors are split. Clients have what is left, `front.max_connections` at most.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
#[garde(allow_unvalidated)]
pub struct Descriptors {
    /// Listeners, and what the runtime needs for itself.
    #[garde(range(min = 4, max = 100_000))]
    pub listeners: u64,
    /// Connections to nodes.
    #[garde(range(min = 1, max = 1_000_000))]
    pub nodes: u64,
    /// Between ingresses.
    #[garde(range(min = 1, max = 100_000))]
    pub peers: u64,
    /// Files.
    #[garde(range(min = 4, max = 100_000))]
    pub files: u64,
    /// Connections that are being refused, or come in while another leaves.
    #[garde(range(min = 1, max = 100_000))]
    pub spare: u64,
}

impl Default for Descriptors {
    fn default() -> Self {
        Descriptors { listeners: 16, nodes: 256, peers: 8, files: 32, spare: 16 }
    }
}

/// The MQTT front. Deadlines, units and admission are those of all fronts.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Mqtt {
    /// Where it listens.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// What publishes mean, by their topic: the first that covers it counts; others are not authorized.
    #[garde(dive, length(min = 1, max = 256))]
    pub topics: Vec<Topic>,
    /// Users with their secrets, as PHC strings of Argon2 (`$argon2id$...`).
    #[serde(default)]
    #[garde(length(max = 100_000))]
    pub users: BTreeMap<String, String>,
    /// Whether clients without a user name are let in.
    #[serde(default)]
    pub anonymous: bool,
    /// Bytes of a packet.
    #[serde(default = "mqtt_packet")]
    #[garde(range(min = 64, max = 16 << 20))]
    pub most_packet: usize,
    /// Publishes of QoS 1 and 2 that a client may have without an answer.
    #[serde(default = "mqtt_receive")]
    #[garde(range(min = 1, max = 10_000))]
    pub receive_maximum: u16,
    /// Topic aliases of a connection.
    #[serde(default = "mqtt_aliases")]
    #[garde(range(min = 0, max = 1024))]
    pub topic_aliases: u16,
    /// The longest keep alive in seconds; clients that want none or a longer one are told this.
    #[serde(default = "mqtt_keep_alive")]
    #[garde(range(min = 1, max = 65_535))]
    pub keep_alive_s: u16,
    /// The longest time in seconds that a session outlives its connection.
    #[serde(default = "mqtt_session")]
    #[garde(range(min = 0, max = 604_800))]
    pub session_s: u32,
    /// Sessions without a connection that are kept; the oldest go first.
    #[serde(default = "mqtt_sessions")]
    #[garde(range(min = 1, max = 10_000_000))]
    pub sessions: usize,
    /// Of them, those of one user.
    #[serde(default = "mqtt_sessions_of_user")]
    #[garde(range(min = 1, max = 10_000_000))]
    pub sessions_per_user: usize,
    /// Where sessions are kept over a restart; none: they are not.
    #[serde(default)]
    pub snapshot: Option<PathBuf>,
    /// Passwords that are checked in a second; a check is slow by intent, and a good one is remembered.
    #[serde(default = "mqtt_checks")]
    #[garde(range(min = 1, max = 10_000))]
    pub checks_per_s: u32,
}

fn mqtt_sessions_of_user() -> usize {
    10_000
}
fn mqtt_checks() -> u32 {
    10
}

fn mqtt_packet() -> usize {
    256 << 10
}
fn mqtt_receive() -> u16 {
    64
}
fn mqtt_aliases() -> u16 {
    16
}
fn mqtt_keep_alive() -> u16 {
    120
}
fn mqtt_session() -> u32 {
    3600
}
fn mqtt_sessions() -> usize {
    100_000
}

/// What publishes to a topic mean.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Topic {
    /// Which topics.
    #[garde(custom(topic_filter))]
    pub filter: String,
    /// Whose request it is.
    pub account: Part,
    /// Its class.
    pub class: Part,
}

/// Where a name comes from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    /// A level of the topic, from 0.
    Level(usize),
    /// The user name of the connection.
    User,
    /// This one.
    Is(String),
}

fn topic_filter(text: &str, _: &()) -> garde::Result {
    let good = chalkgap_wire::mqtt::topic::is_filter(text);
    good.then_some(()).ok_or_else(|| garde::Error::new("expected a topic filter"))
}

/// The billing ledger.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Ledger {
    /// Its folder, of this ingress alone.
    pub folder: PathBuf,
    /// Periods of billing, alike at all ingresses.
    #[serde(default = "period")]
    #[garde(dive)]
    pub period: Period,
    /// Entries that may wait for the disk; more requests are refused until it has caught up.
    #[serde(default = "waiting")]
    #[garde(range(min = 1, max = 1_000_000))]
    pub waiting: usize,
    /// From which wait on the disk requests are refused until it has caught up.
    #[serde(default = "slow_ms")]
    #[garde(range(min = 1, max = 60_000))]
    pub slow_ms: u64,
    /// What is told to those who are refused for the disk: when to come back.
    #[serde(default = "pause_ms")]
    #[garde(range(min = 1, max = 600_000))]
    pub pause_ms: u64,
    /// What becomes of requests when the disk has failed.
    #[serde(default)]
    pub on_failure: OnFailure,
    /// How long nodes are asked about a request whose end nobody saw before it is presumed not to have run.
    #[serde(default = "truth_ms")]
    #[garde(range(min = 10, max = 86_400_000))]
    pub truth_ms: u64,
    /// How long they are asked after that, for a correction.
    #[serde(default = "later_ms")]
    #[garde(range(min = 10, max = 31_536_000_000u64))]
    pub later_ms: u64,
    /// How long to wait before a node is asked again.
    #[serde(default = "ask_again_ms")]
    #[garde(range(min = 10, max = 3_600_000))]
    pub ask_again_ms: u64,
    /// Bytes of a segment, about.
    #[serde(default = "segment")]
    #[garde(range(min = 4096, max = 64 << 20))]
    pub segment: u64,
    /// How long single entries are kept after their period was exported: until then others can fetch them.
    #[serde(default = "keep_s")]
    #[garde(range(min = 1, max = 10 * 366 * 86_400))]
    pub keep_s: u64,
    /// Ingresses that share their ledgers; none: this one alone.
    #[serde(default)]
    #[garde(dive)]
    pub group: Option<LedgerGroup>,
    /// Where finished periods go; none: they stay here.
    #[serde(default)]
    #[garde(dive)]
    pub export: Option<Export>,
}

fn period() -> Period {
    Period::Seconds(86_400)
}
fn waiting() -> usize {
    4096
}
fn slow_ms() -> u64 {
    100
}
fn pause_ms() -> u64 {
    1000
}
fn truth_ms() -> u64 {
    60_000
}
fn later_ms() -> u64 {
    3_600_000
}
fn ask_again_ms() -> u64 {
    1000
}
fn keep_s() -> u64 {
    35 * 86_400
}
fn segment() -> u64 {
    8 << 20
}

/// How time is cut into periods of billing, in UTC.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(rename_all = "snake_case")]
pub enum Period {
    /// Of so many seconds, counted from 1970.
    Seconds(#[garde(range(min = 1, max = 366 * 86_400))] u64),
    /// Calendar months.
    Months,
}

/// What becomes of requests when the ledger's disk has failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum OnFailure {
    /// They are refused: nothing is used that cannot be billed.
    #[default]
    Refuse,
    /// They are served, and not in the ledger.
    Serve,
}

/// Ingresses that share their ledgers: each has all entries of all, and any can export.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct LedgerGroup {
    /// Where this one answers the others.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Where each of the group answers, by its number; this one's own is there, too.
    #[schemars(with = "BTreeMap<u16, String>")]
    #[garde(length(min = 1, max = 64))]
    pub addresses: BTreeMap<u16, SocketAddr>,
    /// The key that all share: 32 bytes in hexadecimal digits.
    #[garde(custom(hex_key))]
    pub key: String,
    /// How often each of the others is asked what it has.
    #[serde(default = "second")]
    #[garde(range(min = 10, max = 3_600_000))]
    pub every_ms: u64,
    /// Entries fetched a second, from one other.
    #[serde(default = "fetched")]
    #[garde(range(min = 1.0, max = 1e7))]
    pub per_second: f64,
}

fn second() -> u64 {
    1000
}
fn fetched() -> f64 {
    20_000.0
}

/// Where finished periods go.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Export {
    /// The consumer.
    pub to: ExportTo,
    /// How long after its end a period is exported even if some ingress has not said that it is complete.
    #[serde(default = "after_ms")]
    #[garde(range(min = 1, max = 31_536_000_000u64))]
    pub after_ms: u64,
    /// How often there is a look at what is to be exported.
    #[serde(default = "second")]
    #[garde(range(min = 10, max = 3_600_000))]
    pub every_ms: u64,
    /// How long what is due stays untouched before the next ingress of the group steps in.
    #[serde(default = "takeover_ms")]
    #[garde(range(min = 10, max = 86_400_000))]
    pub takeover_ms: u64,
    /// How long the consumer may take for its word on a batch.
    #[serde(default = "patience_of_export")]
    #[garde(range(min = 10, max = 600_000))]
    pub patience_ms: u64,
}

fn after_ms() -> u64 {
    3_600_000
}
fn takeover_ms() -> u64 {
    60_000
}
fn patience_of_export() -> u64 {
    10_000
}

/// Who takes finished periods.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ExportTo {
    /// A folder that all of the group write to: a file a batch, named by stream and number.
    Folder(PathBuf),
    /// A billing consumer's gRPC address.
    Grpc(#[schemars(with = "String")] SocketAddr),
}

/// Reads settings from a script's text; `file` is its name for complaints, `given` what the script is given.
///
/// # Errors
/// See [`SettingsError`]; all complaints about values come at once where their types are right.
pub fn read(file: &str, text: String, given: &[(String, String)]) -> Result<Settings, SettingsError> {
    let value = script::run(file, text, given, "settings")?;
    typed(file, "settings", value)
}

/// Turns a script's value into a checked type.
///
/// # Errors
/// The path, the value and what is allowed there.
pub fn typed<T>(file: &str, name: &str, value: serde_json::Value) -> Result<T, SettingsError>
where
    T: serde::de::DeserializeOwned + Validate<Context = ()>,
{
    let values = |complaints| SettingsError::Values { file: file.into(), complaints };
    let typed: T = serde_path_to_error::deserialize(&value).map_err(|e| {
        let path = e.path().to_string();
        let found = at(&value, e.path()).map(|v| format!(", found {}", short(v))).unwrap_or_default();
        values(vec![format!("{name}.{path}: {}{found}", e.inner())])
    })?;
    typed.validate().map_err(|report| {
        let line = |(path, e): &(garde::Path, garde::Error)| {
            let path = path.to_string();
            let found = pointer(&value, &path).map(|v| format!(", found {}", short(v))).unwrap_or_default();
            let secret = path.ends_with(".key");
            format!("{name}.{path}: {e}{}", if secret { String::new() } else { found })
        };
        values(report.iter().map(line).collect())
    })?;
    Ok(typed)
}

/// The JSON Schema of the settings.
pub fn schema() -> serde_json::Value {
    schemars::schema_for!(Settings).to_value()
}

fn at<'v>(value: &'v serde_json::Value, path: &serde_path_to_error::Path) -> Option<&'v serde_json::Value> {
    use serde_path_to_error::Segment;
    path.iter().try_fold(value, |v, s| match s {
        Segment::Map { key } => v.get(key),
        Segment::Seq { index } => v.get(index),
        _ => None,
    })
}

/// The value at a path such as `plans[2].rate`.
fn pointer<'v>(value: &'v serde_json::Value, path: &str) -> Option<&'v serde_json::Value> {
    let parts = path.split(['.', '[', ']']).filter(|p| !p.is_empty());
    parts.into_iter().try_fold(value, |v, p| match p.parse::<usize>() {
        Ok(n) if v.is_array() => v.get(n),
        _ => v.get(p),
    })
}

fn short(value: &serde_json::Value) -> String {
    let text = value.to_string();
    if text.len() <= 60 {
        return text;
    }
    let cut = (0..=57).rev().find(|n| text.is_char_boundary(*n)).unwrap_or(0);
    format!("{}...", &text[..cut])
}
