//! The script of a day: clients, nodes, faults and their times. It is a Starlark file that binds `day`. Times are in
//! seconds unless a name has another unit.

use chalkgap::settings::{self, script, SettingsError};
use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A day: the configuration of a drill.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Day {
    /// Seed of the random traffic, work, faults and link delays.
    pub seed: u64,
    /// How long clients send requests, in seconds.
    #[garde(range(min = 0.1, max = 3600.0))]
    pub seconds: f64,
    /// Number of ingresses that run from the start.
    #[garde(range(min = 1, max = 32))]
    pub ingresses: u16,
    /// Number of further ingresses that a trouble can start later.
    #[serde(default)]
    #[garde(range(max = 32))]
    pub reserve: u16,
    /// Membership of the ingresses, and the bounds that it has to meet. `None`: each ingress has a fixed list of the others.
    #[serde(default)]
    #[garde(dive)]
    pub fleet: Option<FleetDay>,
    /// Settings of the ingresses. The drill fills in `fleet`, `front.listen` and `nodes`, and the folder, group and export
    /// of a `ledger`.
    pub settings: serde_json::Value,
    /// Zones. Ingresses and nodes are assigned to them round robin.
    #[garde(length(min = 1, max = 16))]
    pub zones: Vec<String>,
    /// Groups of nodes.
    #[garde(dive, length(min = 1))]
    pub nodes: Vec<NodeGroup>,
    /// Mean processing time by class, in milliseconds on one core of speed 1.
    pub work_ms: BTreeMap<String, f64>,
    /// How long a cell remembers the key of a request, in seconds.
    #[serde(default = "key_memory")]
    #[garde(range(min = 0.001, max = 3600.0))]
    pub key_memory_s: f64,
    /// Groups of accounts.
    #[garde(dive, length(min = 1))]
    pub accounts: Vec<AccountGroup>,
    /// Behaviour of the clients.
    #[serde(default)]
    #[garde(dive)]
    pub clients: Clients,
    /// Usual faults of the datagrams between ingresses.
    #[serde(default)]
    #[garde(dive)]
    pub network: Network,
    /// Delay in seconds until the registry publishes a changed node state.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 60.0))]
    pub news_late_s: f64,
    /// Faults that the drill injects.
    #[serde(default)]
    #[garde(dive)]
    pub troubles: Vec<Trouble>,
    /// The auditor's tolerance, in milliseconds, where it compares times that different processes recorded.
    #[serde(default = "tolerance")]
    #[garde(range(min = 1, max = 5000))]
    pub tolerance_ms: u64,
}

/// Membership of the fleet on a day. Requires that each ingress runs in a process of its own.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct FleetDay {
    /// `fleet.peers.view` of the settings. The drill fills in `seeds` and `address`.
    #[serde(default)]
    pub view: serde_json::Value,
    /// Number of ingresses that are seeds, starting with ingress 0.
    #[serde(default = "two")]
    #[garde(range(min = 1, max = 32))]
    pub seeds: u16,
    /// Number of an ingress whose key differs from the key of the others; `None`: all have the same key.
    #[serde(default)]
    pub stranger: Option<u16>,
    /// Bounds that the views have to meet.
    #[garde(dive)]
    pub stated: Stated,
}

/// Bounds on the fleet's membership views. A bound that is not set is not checked; a bound that is set needs at least one
/// measurement. Independent of these, no member may be listed as lost while it runs and can be reached.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Stated {
    /// Maximum seconds until all others know that a process died or left.
    #[garde(inner(range(min = 0.0, max = 600.0)))]
    pub death_s: Option<f64>,
    /// Maximum seconds until all views are equal after a partition was healed or a process was started or resumed.
    #[garde(inner(range(min = 0.0, max = 600.0)))]
    pub meet_s: Option<f64>,
    /// Maximum seconds until the processes of a part with half of the fleet or less log that they are cut off.
    #[garde(inner(range(min = 0.0, max = 600.0)))]
    pub cut_s: Option<f64>,
    /// Maximum seconds until a process knows that another one has taken its number.
    #[garde(inner(range(min = 0.0, max = 600.0)))]
    pub takeover_s: Option<f64>,
    /// Maximum membership messages per second that an ingress sends, as an average over the day.
    #[garde(inner(range(min = 0.0, max = 10_000.0)))]
    pub messages_per_s: Option<f64>,
    /// Maximum membership bytes per second that an ingress sends, as an average over the day.
    #[garde(inner(range(min = 0.0, max = 10_000_000.0)))]
    pub bytes_per_s: Option<f64>,
}

fn key_memory() -> f64 {
    5.0
}
fn tolerance() -> u64 {
    100
}

/// Nodes with the same capacity.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct NodeGroup {
    /// Number of nodes.
    #[garde(range(min = 1, max = 500))]
    pub count: usize,
    /// Number of requests that a node processes at the same time.
    #[garde(range(min = 1, max = 1024))]
    pub cores: usize,
    /// Speed of a core. The processing time is divided by it.
    #[serde(default = "one")]
    #[garde(range(min = 0.01, max = 100.0))]
    pub speed: f64,
    /// Maximum number of requests that wait for a core.
    #[serde(default = "queue")]
    pub queue: usize,
}

fn one() -> f64 {
    1.0
}
fn queue() -> usize {
    10_000
}

/// Accounts with the same behaviour.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct AccountGroup {
    /// Prefix of the account names: an account is called `NAME-NUMBER`.
    #[garde(length(min = 1, max = 50))]
    pub name: String,
    /// Name of their plan.
    pub plan: String,
    /// Number of accounts.
    #[garde(range(min = 1, max = 10_000))]
    pub count: usize,
    /// Requests per second of each account; not used if `fixed` is set.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 10_000.0))]
    pub rate: f64,
    /// Number of requests of each account, sent one after the other; 0: the account sends at `rate` instead.
    #[serde(default)]
    pub fixed: u32,
    /// Share of each class in the requests, by class name.
    pub classes: BTreeMap<String, f64>,
    /// Number of ingresses that each account uses. The first one follows from the number of the account.
    #[serde(default = "two")]
    #[garde(range(min = 1, max = 32))]
    pub width: u16,
    /// Protocol that their clients use.
    #[serde(default)]
    pub door: Door,
}

/// Protocol between clients and ingresses.
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

/// Behaviour of the clients.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
#[garde(allow_unvalidated)]
pub struct Clients {
    /// Maximum number of retries of a request.
    #[garde(range(min = 0, max = 20))]
    pub retries: u32,
    /// Pause before a retry in milliseconds, if the answer does not name one.
    #[garde(range(min = 0, max = 60_000))]
    pub pause_ms: u64,
    /// Minimum timeout of a call, as a share of the deadline of its class. The share of each call is drawn between this and 1.
    #[garde(range(min = 0.001, max = 1.0))]
    pub patience: f64,
    /// Share of the requests whose timeouts are less than 30 ms.
    #[garde(range(min = 0.0, max = 1.0))]
    pub hurried: f64,
    /// Units that a request costs, by class name; 1 for a class that is not listed.
    pub units: BTreeMap<String, u32>,
    /// How long clients still send requests to an ingress after it went down, in seconds.
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

/// Usual faults of the datagrams between ingresses.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    /// Share of the datagrams that are lost.
    #[garde(range(min = 0.0, max = 1.0))]
    pub loss: f64,
    /// Share of the datagrams that are delivered twice.
    #[garde(range(min = 0.0, max = 1.0))]
    pub double: f64,
    /// Minimum and maximum delay in milliseconds.
    #[garde(inner(range(max = 10_000)))]
    pub delay_ms: [u64; 2],
}

/// A fault that the drill injects.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Trouble {
    /// Kind of the fault.
    pub kind: Kind,
    /// Start in seconds after the start of the day.
    #[garde(range(min = 0.0, max = 3600.0))]
    pub at: f64,
    /// Duration in seconds.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 3600.0))]
    pub lasts: f64,
    /// Affected ingresses, nodes or accounts of the group, by number. Empty: drawn at random according to `share`.
    #[serde(default)]
    pub which: Vec<usize>,
    /// Share of the ingresses, nodes or accounts to draw if `which` is empty; at least one is drawn.
    #[serde(default)]
    #[garde(range(min = 0.0, max = 1.0))]
    pub share: f64,
    /// Strength: a share of requests or datagrams, a factor for work, traffic or time, a rate, or a time; see [`Kind`].
    #[serde(default = "one")]
    #[garde(range(min = 0.0, max = 1000.0))]
    pub strength: f64,
    /// The affected group of accounts or class.
    #[serde(default)]
    pub group: Option<String>,
    /// Groups of ingresses, by number. A fault of links affects the links between different groups. Empty: every ingress
    /// is a group of its own.
    #[serde(default)]
    #[garde(length(max = 32))]
    pub parts: Vec<Vec<u16>>,
    /// Affects only the direction from the first part to the others.
    #[serde(default)]
    pub one_way: bool,
    /// Nodes whose links to the first part are affected as well, by number.
    #[serde(default)]
    pub nodes: Vec<usize>,
    /// Whether the first part's links to the registry are affected as well.
    #[serde(default)]
    pub roster: bool,
}

/// Kinds of faults. Kinds that the bench has too have the same names there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Ingresses are killed and restarted with only their cached node list.
    BalancerCrash,
    /// Ingresses are drained and restarted, one after the other.
    BalancerRoll,
    /// Ingresses are suspended; only if each has a process of its own.
    BalancerStall,
    /// Nodes accept requests and answer none.
    Hang,
    /// Nodes accept connections and send no bytes on them.
    Mute,
    /// Nodes fail a share `strength` of their requests immediately.
    FastErrors,
    /// Nodes fail a share `strength` of the requests of the class `group` immediately.
    ClassFail,
    /// Nodes truncate a share `strength` of their answers.
    Halfway,
    /// Another program uses the nodes' machine: processing takes `strength` times as long.
    Neighbour,
    /// Nodes are killed and restarted, followed by a slow start.
    NodeCrash,
    /// Nodes drain, are removed from the node list and restarted, followed by a slow start; one after the other.
    NodeRoll,
    /// The zone with the number `which` is partitioned: its nodes send nothing, and its ingresses' datagrams are lost.
    ZoneCut,
    /// Accounts of the group send `strength` times as many requests.
    HotKey,
    /// All accounts send `strength` times as many requests.
    Burst,
    /// All clients' connections are closed at the same time.
    Reconnect,
    /// Clients retry after 1 ms and ignore the pauses that refusals name.
    RetryAbuse,
    /// Clients wait for a share `strength` of the usual timeout only.
    GiveUp,
    /// A share `share` of the requests (0.02 if it is 0) needs `strength` times the usual processing time.
    HeavyTail,
    /// `strength` new accounts per second, each of which sends a single request.
    Scan,
    /// `strength` idle connections per second from 200 addresses to the ingresses `which`.
    Flood,
    /// Accounts move their traffic to another one of their ingresses, all at the same time.
    Shift,
    /// A share `strength` of the datagrams between ingresses is lost.
    PeerLoss,
    /// The registry is down.
    RosterDown,
    /// Links drop all traffic silently.
    Cut,
    /// Links drop all traffic, and streams on them are reset.
    CutReset,
    /// Links lose a share `strength` of all datagrams; streams are delayed by losses at the same rate.
    Lossy,
    /// Links delay a share `strength` of all data ten times as long as their maximum delay, which is set to 20 ms if it is
    /// lower.
    LateTail,
    /// Datagrams are reordered by an additional delay of up to `strength` milliseconds.
    Reorder,
    /// Links deliver a share `strength` of all datagrams twice.
    Doubled,
    /// Links transfer at most `strength` thousand bytes per second.
    SlowBytes,
    /// Links do not forward the end of a stream.
    HalfOpen,
    /// Ingresses are killed and restarted after `lasts`; not restarted if `lasts` is 0.
    Kill,
    /// Ingresses are drained one after the other and leave the fleet permanently.
    Leave,
    /// Ingresses are started, usually those of the `reserve`.
    Join,
    /// Ingresses run for a tenth of each period of `strength` milliseconds and are suspended for the rest; only if each has
    /// a process of its own.
    Slow,
    /// A second process is started with the number of an ingress, at another address, while the first one still runs; only
    /// if each ingress has a process of its own.
    Replace,
}

impl Kind {
    /// Whether the fault affects links, chosen by pair and direction.
    pub fn of_links(self) -> bool {
        use Kind::*;
        matches!(self, Cut | CutReset | Lossy | LateTail | Reorder | Doubled | SlowBytes | HalfOpen)
    }
}

impl Day {
    /// Runs a script and returns its day. `given` are the values that the script reads as `given["KEY"]`.
    ///
    /// # Errors
    /// The script cannot be run, does not bind `day`, or has an invalid value. The error names the place, the value and
    /// what was expected.
    pub fn read(file: &str, text: String, given: &[(String, String)]) -> Result<Day, SettingsError> {
        settings::typed(file, "day", script::run(file, text, given, "day")?)
    }
}
