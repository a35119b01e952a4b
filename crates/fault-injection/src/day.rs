//! A day's script: who asks, what serves, what goes wrong and when. Starlark that binds `day`; times in seconds.

use chalkgap::settings::{self, script, SettingsError};
use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A day.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Day {
    /// Seed of traffic, work, faults and weather.
    pub seed: u64,
    /// How long clients ask.
    #[garde(range(min = 0.1, max = 3600.0))]
    pub seconds: f64,
    /// How many ingresses.
    #[garde(range(min = 1, max = 32))]
    pub ingresses: u16,
    /// Numbers beyond these that a trouble may start later.
    #[serde(default)]
    #[garde(range(max = 32))]
    pub reserve: u16,
    /// The view that ingresses have of each other, and what is stated of it; none: they are told who there is, for good.
    #[serde(default)]
    #[garde(dive)]
    pub fleet: Option<FleetDay>,
    /// Their settings, but for what a drill fills in: `fleet`, `front.listen`, `nodes`; folder, group and export of a
    /// `ledger`.
    pub settings: serde_json::Value,
    /// Zones, given to ingresses and nodes in turn.
    #[garde(length(min = 1, max = 16))]
    pub zones: Vec<String>,
    /// Nodes.
    #[garde(dive, length(min = 1))]
    pub nodes: Vec<NodeGroup>,
    /// Mean work of each class in milliseconds of one core of speed 1.
    pub work_ms: BTreeMap<String, f64>,
    /// How long a cell remembers a key.
    #[serde(default = "key_memory")]
    #[garde(range(min = 0.001, max = 3600.0))]
    pub key_memory_s: f64,
    /// Accounts.
    #[garde(dive, length(min = 1))]
    pub accounts: Vec<AccountGroup>,
    /// What clients do.
    #[serde(default)]
    #[garde(dive)]
    pub clients: Clients,
    /// Datagrams between ingresses.
    #[serde(default)]
    #[garde(dive)]
    pub network: Network,
    /// News of nodes reach the roster this late.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 60.0))]
    pub news_late_s: f64,
    /// What goes wrong.
    #[serde(default)]
    #[garde(dive)]
    pub troubles: Vec<Trouble>,
    /// The auditor's tolerance where clocks of two processes meet.
    #[serde(default = "tolerance")]
    #[garde(range(min = 1, max = 5000))]
    pub tolerance_ms: u64,
}

/// The fleet's view on a day, where ingresses are processes of their own.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct FleetDay {
    /// `fleet.peers.view` of the settings, but for `seeds` and `address`, which the drill fills in.
    #[serde(default)]
    pub view: serde_json::Value,
    /// How many of the first ingresses are seeds.
    #[serde(default = "two")]
    #[garde(range(min = 1, max = 32))]
    pub seeds: u16,
    /// The number of an ingress that has another key than the others.
    #[serde(default)]
    pub stranger: Option<u16>,
    /// What has to hold.
    #[garde(dive)]
    pub stated: Stated,
}

/// Bounds that a day states of the fleet's view. What is not there is not judged; what is there has to be seen at least
/// once. That nobody is held for lost who was there and in reach, always has to hold.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Stated {
    /// Seconds until all others know of a death, or of one that left.
    #[garde(inner(range(min = 0.0, max = 600.0)))]
    pub death_s: Option<f64>,
    /// Seconds until all views are equal, after a heal, a start, or one that woke.
    #[garde(inner(range(min = 0.0, max = 600.0)))]
    pub meet_s: Option<f64>,
    /// Seconds until a part of half or fewer says that it is cut off.
    #[garde(inner(range(min = 0.0, max = 600.0)))]
    pub cut_s: Option<f64>,
    /// Seconds until a process knows that another one has its number.
    #[garde(inner(range(min = 0.0, max = 600.0)))]
    pub takeover_s: Option<f64>,
    /// Messages of the view that an ingress sends in a second, as a mean of the day.
    #[garde(inner(range(min = 0.0, max = 10_000.0)))]
    pub messages_per_s: Option<f64>,
    /// And bytes.
    #[garde(inner(range(min = 0.0, max = 10_000_000.0)))]
    pub bytes_per_s: Option<f64>,
}

fn key_memory() -> f64 {
    5.0
}
fn tolerance() -> u64 {
    100
}

/// Nodes of one kind.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct NodeGroup {
    /// How many.
    #[garde(range(min = 1, max = 500))]
    pub count: usize,
    /// Requests in work at once.
    #[garde(range(min = 1, max = 1024))]
    pub cores: usize,
    /// Work is divided by it.
    #[serde(default = "one")]
    #[garde(range(min = 0.01, max = 100.0))]
    pub speed: f64,
    /// Requests that may wait.
    #[serde(default = "queue")]
    pub queue: usize,
}

fn one() -> f64 {
    1.0
}
fn queue() -> usize {
    10_000
}

/// Accounts that behave alike.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct AccountGroup {
    /// Their names are this and a number.
    #[garde(length(min = 1, max = 50))]
    pub name: String,
    /// Their plan.
    pub plan: String,
    /// How many.
    #[garde(range(min = 1, max = 10_000))]
    pub count: usize,
    /// Requests a second of each; none where `fixed` is set.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 10_000.0))]
    pub rate: f64,
    /// Instead of a rate: so many requests, one after the other, then nothing.
    #[serde(default)]
    pub fixed: u32,
    /// Shares of the classes.
    pub classes: BTreeMap<String, f64>,
    /// How many ingresses each uses, from a first one by its number.
    #[serde(default = "two")]
    #[garde(range(min = 1, max = 32))]
    pub width: u16,
    /// What they speak.
    #[serde(default)]
    pub door: Door,
}

/// The front that clients use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Door {
    /// The gRPC rate limit service.
    #[default]
    Grpc,
    /// MQTT 5.
    Mqtt,
}

fn two() -> u16 {
    2
}

/// What clients do.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
#[garde(allow_unvalidated)]
pub struct Clients {
    /// Tries after the first.
    #[garde(range(min = 0, max = 20))]
    pub retries: u32,
    /// The pause before them, where none is told.
    #[garde(range(min = 0, max = 60_000))]
    pub pause_ms: u64,
    /// Each try waits for this share of its class's deadline, or more.
    #[garde(range(min = 0.001, max = 1.0))]
    pub patience: f64,
    /// Share of the calls that come with almost no time.
    #[garde(range(min = 0.0, max = 1.0))]
    pub hurried: f64,
    /// Units of each class; 1 where none are given.
    pub units: BTreeMap<String, u32>,
    /// Requests go on coming to a dead ingress for this long.
    #[garde(range(min = 0.0, max = 60.0))]
    pub notice_s: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            retries: 3,
            pause_ms: 300,
            patience: 0.5,
            hurried: 0.0,
            units: BTreeMap::new(),
            notice_s: 1.0,
        }
    }
}

/// Datagrams between ingresses.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Share that is lost.
    #[garde(range(min = 0.0, max = 1.0))]
    pub loss: f64,
    /// Share that comes twice.
    #[garde(range(min = 0.0, max = 1.0))]
    pub double: f64,
    /// The least and longest way in milliseconds.
    #[garde(inner(range(max = 10_000)))]
    pub delay_ms: [u64; 2],
}

/// Something that goes wrong for a while.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Trouble {
    /// What.
    pub kind: Kind,
    /// When it begins.
    #[garde(range(min = 0.0, max = 3600.0))]
    pub at: f64,
    /// How long it lasts.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 3600.0))]
    pub lasts: f64,
    /// Which ingresses or nodes, by number; for accounts, how many of the group. None: by `share`.
    #[serde(default)]
    pub which: Vec<usize>,
    /// The share of them that it hits.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1.0))]
    pub share: f64,
    /// How strong: a share of failures, or a multiple of work, traffic or time.
    #[serde(default = "one")]
    #[garde(range(min = 0.0, max = 1000.0))]
    pub strength: f64,
    /// The group of accounts, or the class, that it hits.
    #[serde(default)]
    pub group: Option<String>,
    /// Parts of the fleet that a trouble of links is between: ingresses, by number. None: every ingress is a part of its
    /// own.
    #[serde(default)]
    #[garde(length(max = 32))]
    pub parts: Vec<Vec<u16>>,
    /// It hits the way from the first part to the others only.
    #[serde(default)]
    pub one_way: bool,
    /// Nodes that count as a part as well: the first part's links to them are hit.
    #[serde(default)]
    pub nodes: Vec<usize>,
    /// The first part's links to the roster are hit, too.
    #[serde(default)]
    pub roster: bool,
}

/// Kinds of trouble. Those of the bench have its names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Ingresses are killed and come back with nothing but their last list.
    BalancerCrash,
    /// Ingresses are drained and restarted, one after the other.
    BalancerRoll,
    /// Ingresses stand still; only where they are processes of their own.
    BalancerStall,
    /// Nodes take requests and answer none.
    Hang,
    /// Nodes take connections and say nothing at all.
    Mute,
    /// Nodes fail `strength` of their requests at once.
    FastErrors,
    /// Nodes fail `strength` of the requests of the class `group` at once.
    ClassFail,
    /// Nodes break off `strength` of their answers halfway.
    Halfway,
    /// Another program takes the machine: work takes `strength` times as long.
    Neighbour,
    /// Nodes die and come back cold.
    NodeCrash,
    /// Nodes drain, are taken off the list, and come back cold.
    NodeRoll,
    /// The zone with the number `which` is cut off: its nodes are mute, its ingresses' messages are lost.
    ZoneCut,
    /// Accounts of the group ask `strength` times as much.
    HotKey,
    /// All accounts ask `strength` times as much.
    Burst,
    /// All clients' connections break at once.
    Reconnect,
    /// Clients try again at once and without end of patience.
    RetryAbuse,
    /// Clients wait for `strength` of the usual time only.
    GiveUp,
    /// Some requests cost `strength` times the usual.
    HeavyTail,
    /// Accounts that send one request each and are not seen again, `strength` a second.
    Scan,
    /// `strength` connections a second from two hundred addresses, held idle, at the ingresses `which`.
    Flood,
    /// Accounts shift their traffic to others of their ingresses at one stroke.
    Shift,
    /// Messages between ingresses are lost, `strength` of them.
    PeerLoss,
    /// The roster is gone.
    RosterDown,
    /// Links are cut without a sign.
    Cut,
    /// Links are cut, and streams on them reset.
    CutReset,
    /// Links lose `strength` of all datagrams; streams are held up by as many losses.
    Lossy,
    /// Links are ten times as late as their latest for `strength` of all, 20 ms to 200 ms where nothing is set.
    LateTail,
    /// Datagrams overtake each other, up to `strength` milliseconds.
    Reorder,
    /// Links bring `strength` of all datagrams twice.
    Doubled,
    /// Links pass `strength` thousand bytes a second.
    SlowBytes,
    /// Ends of streams are not passed on.
    HalfOpen,
    /// Ingresses are killed; they come back after `lasts`, or never where that is 0.
    Kill,
    /// Ingresses leave in order, one after the other, and stay away.
    Leave,
    /// Ingresses of the reserve are started.
    Join,
    /// Ingresses run for a tenth of the time, in slices of `strength` milliseconds; only where they are processes.
    Slow,
    /// Another process takes the number of an ingress, at another address, while the first one is alive; only where they
    /// are processes.
    Replace,
}

impl Kind {
    /// Whether it is about links, by pair and direction.
    pub fn of_links(self) -> bool {
        use Kind::*;
        matches!(self, Cut | CutReset | Lossy | LateTail | Reorder | Doubled | SlowBytes | HalfOpen)
    }
}

impl Day {
    /// Reads a day from a script.
    ///
    /// # Errors
    /// The script cannot be run, or a value is not allowed: what, where, expected.
    pub fn read(file: &str, text: String, given: &[(String, String)]) -> Result<Day, SettingsError> {
        settings::typed(file, "day", script::run(file, text, given, "day")?)
    }
}
