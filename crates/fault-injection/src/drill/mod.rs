//! Plays a day: starts nodes, roster, network and ingresses, lets clients ask, brings the troubles, and hands the
//! journal to the auditor. Ingresses are instances in this process or processes of their own; all else is the same.

mod processes;
mod traffic;
mod troubles;

use crate::audit::{self, Law, Verdict};
use crate::day::{Day, Door};
use crate::fleet::{self, Act, Evidence, Line};
use crate::ledger::{billed, compare, counted, Billing};
use chalkgap::runtime::{Micros, Shared};
use chalkgap::settings::{self, Group, Repeat, Settings, SettingsError};
use chalkgap::StartError;
use chalkgap_testbed::billing::{self, BatchStore, Consumer};
use chalkgap_testbed::journal::Journal;
use chalkgap_testbed::network::{LinkFaults, Network, Party, Relay, StreamRelay};
use chalkgap_testbed::node::{Cell, ExecutionLog, Faults, Machine};
use chalkgap_testbed::registry::Registry;
use processes::{end, free_port, free_udp, Life, NodeSlot, Slot};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use traffic::{account, Mood, Speaker};

/// Where ingresses live.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Home {
    /// In this process, each an instance of the library.
    Here,
    /// Each in a process of its own: this program, with `serve` and a settings file.
    Processes(PathBuf),
}

/// Why a drill cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum DrillError {
    /// The day's settings are not taken.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An ingress does not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The day asks for something that is not there.
    #[error("{path}: {what}")]
    Day {
        /// Where in the script.
        path: String,
        /// What was found and expected.
        what: String,
    },
    /// A socket, file or process.
    #[error("{what}: {error}")]
    Io {
        /// What was tried.
        what: String,
        /// The system's word.
        error: io::Error,
    },
}

fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> DrillError {
    let what = what.into();
    move |error| DrillError::Io { what, error }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct World {
    runtime: Shared,
    day: Day,
    home: Home,
    folder: PathBuf,
    journal: Journal,
    slots: Mutex<Vec<Slot>>,
    nodes: Mutex<Vec<NodeSlot>>,
    roster: Mutex<Option<Registry>>,
    roster_at: SocketAddr,
    whereabouts: Whereabouts,
    network: Network,
    relays: Mutex<Vec<Relay>>,
    /// Ways of streams; held, as they go when they are dropped.
    _ways: Vec<StreamRelay>,
    /// What was done to the fleet, and what its processes wrote down of each other.
    acts: Mutex<Vec<(Micros, Act)>>,
    lines: Arc<Mutex<Vec<Line>>>,
    mood: Mutex<Mood>,
    clients: Mutex<HashMap<(String, u16), Arc<Speaker>>>,
    calls: AtomicU64,
    running: AtomicU64,
    deadlines: HashMap<String, Micros>,
    /// The billing consumer and what it has, where ingresses have ledgers.
    billing: Option<(Consumer, BatchStore)>,
}

/// Where an ingress is told that a node is, by its number and the node's own address.
type Whereabouts = Arc<HashMap<(u16, String), String>>;

/// The first byte of datagrams of the view.
const VIEW: u8 = chalkgap::peers::Channel::Membership as u8;

/// How long after a day all that it used may take to be billed.
const BILLED: Micros = 40_000_000;

/// The law that a day's settings state.
pub fn law(day: &Day, settings: &Settings) -> Law {
    let class = |c: &settings::Class| {
        let repeat = match c.repeat {
            Repeat::Safe => audit::Repeat::Safe,
            Repeat::Once => audit::Repeat::Once,
            Repeat::Keyed { group: Group::All, .. } => audit::Repeat::Safe,
            Repeat::Keyed { window_ms, .. } => audit::Repeat::Cell(window_ms * 1000),
        };
        (c.name.clone(), repeat)
    };
    let plan = |name: &str| {
        let p = settings.plans.iter().find(|p| p.name == name);
        p.map_or_else(audit::Plan::default, |p| audit::Plan {
            quota: (p.rate, p.burst),
            ceiling: (p.ceiling_rate, p.ceiling_burst),
            slack: p.ceiling_slack,
        })
    };
    Law {
        classes: settings.classes.iter().map(class).collect(),
        accounts: settings.accounts.iter().map(|(name, a)| (name.clone(), plan(&a.plan))).collect(),
        others: settings.default_plan.as_deref().map(plan).unwrap_or_default(),
        drain_grace: settings.rules.drain_grace_ms * 1000,
        tolerance: day.tolerance_ms * 1000,
        least: day.tolerance_ms * 1000,
    }
}

/// Plays a day to its end and judges it.
///
/// # Errors
/// See [`DrillError`]; a broken rule is no error but a part of the verdict.
pub async fn play(runtime: Shared, day: Day, home: Home) -> Result<Verdict, DrillError> {
    let world = World::new(runtime, day, home)?;
    let played = world.play().await;
    // Processes are ended and files removed whatever came of it.
    let mut slots = std::mem::take(&mut *lock(&world.slots));
    slots.iter_mut().for_each(|s| end(&mut s.life));
    let _ = std::fs::remove_dir_all(&world.folder); // a folder for this drill alone, in the place for such
    played
}

impl World {
    #[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
    fn new(runtime: Shared, day: Day, home: Home) -> Result<Arc<World>, DrillError> {
        if day.fleet.is_some() && home == Home::Here {
            return Err(DrillError::Day {
                path: "day.fleet".into(),
                what: "expected processes (--processes), found ingresses in this one".into(),
            });
        }
        static DRILLS: AtomicU64 = AtomicU64::new(0);
        let unique =
            format!("chalkgap-drill-{}-{}", std::process::id(), DRILLS.fetch_add(1, Ordering::Relaxed));
        let folder = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&folder).map_err(io_error(folder.display().to_string()))?;
        let journal = Journal::default();
        let roster = Registry::start(runtime.clone(), ([127, 0, 0, 1], 0).into(), journal.clone());
        let roster = roster.map_err(io_error("the roster"))?;
        let (mut relays, mut peers) = (Vec::new(), Vec::new());
        let network = Network::new(weather(&day));
        let numbers = day.ingresses + day.reserve;
        for n in 0..numbers {
            let to = free_udp()?;
            let party = Party::Ingress(n);
            let relay = Relay::start(runtime.clone(), network.clone(), party, to, day.seed ^ u64::from(n));
            relays.push(relay.map_err(io_error("a way between ingresses"))?);
            network.register_sender(to, party);
            peers.push(to);
        }
        let addresses: Vec<SocketAddr> = relays.iter().map(Relay::address).collect();
        let (mut slots, mut deadlines) = (Vec::new(), HashMap::new());
        let mut billing = None;
        let mut ledgers = BTreeMap::new();
        if day.settings.get("ledger").is_some() {
            let vault = BatchStore::default();
            let at = ([127, 0, 0, 1], 0).into();
            let consumer = Consumer::start(runtime.clone(), at, vault.clone(), day.seed);
            let consumer = consumer.map_err(io_error("the billing consumer"))?;
            // Some calls are turned away, some taken without a word: each must come again, and count once.
            consumer.faults(billing::Faults { refuse: 0.1, silent: 0.1 });
            billing = Some((consumer, vault));
            for n in 0..numbers {
                ledgers.insert(n, free_port()?);
            }
        }
        let mut ways = Vec::new();
        // Streams go straight where no trouble is about their links.
        let links = day.troubles.iter().any(|t| t.kind.of_links());
        let mut way = |from: u16, to: Party, at: SocketAddr| {
            if !links {
                return Ok(at);
            }
            let link = (Party::Ingress(from), to);
            let way = StreamRelay::start(
                runtime.clone(),
                network.clone(),
                link,
                at,
                day.seed ^ u64::from(from) << 8,
            );
            let way = way.map_err(io_error("a way of streams"))?;
            let address = way.address();
            ways.push(way);
            Ok::<_, DrillError>(address)
        };
        for n in 0..numbers {
            let (grpc, mqtt) = (free_port()?, free_port()?);
            let mut value = day.settings.clone();
            let Some(map) = value.as_object_mut() else {
                return Err(DrillError::Day {
                    path: "day.settings".into(),
                    what: "expected a dictionary".into(),
                });
            };
            let per_second = map.remove("peer_in_per_s").unwrap_or_else(|| 100.0.into());
            let tick = map.remove("tick_us").unwrap_or_else(|| 2000.into());
            let mut fleet = serde_json::json!({
                "ingresses": numbers, "me": n, "zones": day.zones,
                "zone": day.zones[usize::from(n) % day.zones.len()], "tick_us": tick,
                "peers": {"listen": peers[usize::from(n)], "addresses": addresses,
                    "key": "5a".repeat(32), "per_second": per_second},
            });
            if let Some(f) = &day.fleet {
                fleet["peers"]["addresses"] = serde_json::json!([]);
                let mut view = f.view.clone();
                view["seeds"] = serde_json::json!(addresses[..usize::from(f.seeds.min(numbers))]);
                view["address"] = addresses[usize::from(n)].to_string().into();
                fleet["peers"]["view"] = view;
                if f.stranger == Some(n) {
                    fleet["peers"]["key"] = "a5".repeat(32).into();
                }
            }
            map.insert("fleet".into(), fleet);
            let front = map.entry("front").or_insert_with(|| serde_json::json!({}));
            front["listen"] = grpc.to_string().into();
            if day.accounts.iter().any(|g| g.door == Door::Mqtt) {
                let topic = serde_json::json!({"filter": "requests/+/+", "account": {"level": 1},
                    "class": {"level": 2}});
                map.insert(
                    "mqtt".into(),
                    serde_json::json!({"listen": mqtt, "topics": [topic],
                    "anonymous": true, "receive_maximum": 1000}),
                );
            }
            let cache = folder.join(format!("list-{n}.json"));
            if let (Some(ledger), Some((consumer, _))) = (map.get_mut("ledger"), &billing) {
                ledger["folder"] = folder.join(format!("ledger-{n}")).display().to_string().into();
                let mut others = ledgers.clone();
                for (other, at) in others.iter_mut().filter(|o| *o.0 != n) {
                    *at = way(n, Party::Ingress(*other), *at)?;
                }
                ledger["group"] = serde_json::json!({"listen": ledgers[&n], "addresses": others,
                    "key": "5a".repeat(32), "every_ms": 200});
                ledger["export"] = serde_json::json!({"to": {"grpc": consumer.address()}, "every_ms": 100,
                    "takeover_ms": 2000});
            }
            let list = way(n, Party::Registry, roster.address())?;
            let nodes = serde_json::json!({"source": {"roster": {"address": list}}, "cache": cache});
            map.insert("nodes".into(), nodes);
            let accounts = map.entry("accounts").or_insert_with(|| serde_json::json!({}));
            for g in &day.accounts {
                for i in 0..g.count {
                    let first = i as u16 % day.ingresses;
                    let width = g.width.min(day.ingresses);
                    accounts[account(g, i)] =
                        serde_json::json!({"plan": g.plan, "first": first, "width": width});
                }
            }
            let settings: Settings = settings::typed("day", "settings", value)?;
            deadlines = settings.classes.iter().map(|c| (c.name.clone(), c.deadline_ms * 1000)).collect();
            slots.push(Slot { settings, grpc, mqtt, life: Life::Down, down_since: None });
        }
        for (n, g) in day.accounts.iter().enumerate() {
            if let Some(class) = g.classes.keys().find(|c| !deadlines.contains_key(*c)) {
                let path = format!("day.accounts[{n}].classes");
                return Err(DrillError::Day { path, what: format!("{class:?} is no class of the settings") });
            }
        }
        let zones = day.zones.len();
        let memory = (day.key_memory_s * 1e6) as Micros;
        let cells: Vec<Cell> = day.zones.iter().map(|z| Cell::new(z, memory)).collect();
        let (mut nodes, mut whereabouts) = (Vec::new(), HashMap::new());
        for g in &day.nodes {
            for _ in 0..g.count {
                let (n, rules) = (nodes.len(), &slots[0].settings.rules);
                let machine = Machine {
                    cores: g.cores,
                    speed: g.speed,
                    work: day.work_ms.iter().map(|(c, ms)| (c.clone(), ms * 1000.0)).collect(),
                    slow_start_min_capacity: rules.cold_from,
                    slow_start_window: 0,
                    overload_factor: rules.fall_factor,
                    overload_window: rules.fall_ms * 1000,
                    queue: g.queue,
                    cell: cells[n % zones].clone(),
                    executions: ExecutionLog::default(),
                    seed: day.seed.wrapping_mul(1000) + n as u64,
                };
                let zone = n % zones;
                let address = free_port()?;
                let faults = Faults::default();
                for ingress in (0..numbers).filter(|_| links) {
                    let at = way(ingress, Party::Node(n), address)?;
                    whereabouts.insert((ingress, address.to_string()), at.to_string());
                }
                nodes.push(NodeSlot { machine, zone, address, node: None, faults, state: 0, started_ms: 0 });
            }
        }
        let roster_at = roster.address();
        // An ingress is told where its own way to a node begins.
        let whereabouts: Whereabouts = Arc::new(whereabouts);
        roster.advertise(whereabouts.clone());
        Ok(Arc::new(World {
            runtime,
            day,
            home,
            folder,
            journal,
            slots: Mutex::new(slots),
            nodes: Mutex::new(nodes),
            roster: Mutex::new(Some(roster)),
            roster_at,
            network,
            relays: Mutex::new(relays),
            _ways: ways,
            acts: Mutex::default(),
            lines: Arc::default(),
            whereabouts,
            mood: Mutex::new(Mood { burst: 1.0, patience: 1.0, ..Mood::default() }),
            clients: Mutex::default(),
            calls: AtomicU64::new(1),
            running: AtomicU64::new(0),
            deadlines,
            billing,
        }))
    }

    async fn pause(&self, seconds: f64) {
        self.runtime.sleep_until(self.runtime.now() + (seconds * 1e6) as Micros).await;
    }

    fn spawn(self: &Arc<Self>, task: impl std::future::Future<Output = ()> + Send + 'static) {
        self.runtime.spawn(Box::pin(task)).detach();
    }

    async fn play(self: &Arc<Self>) -> Result<Verdict, DrillError> {
        let count = lock(&self.nodes).len();
        for n in 0..count {
            self.start_node(n, false)?;
        }
        self.publish();
        let ingresses = self.day.ingresses;
        for n in 0..ingresses {
            self.start_ingress(n).await?;
        }
        self.pause(0.3).await; // lists arrive
        let begin = self.runtime.now();
        for (n, t) in self.day.troubles.iter().enumerate() {
            let (world, t) = (self.clone(), t.clone());
            let at = begin + (t.at * 1e6) as Micros;
            self.spawn(async move {
                world.runtime.sleep_until(at).await;
                if let Err(e) = world.trouble(&t, world.day.seed ^ (n as u64) << 32).await {
                    tracing::error!(kind = ?t.kind, error = %e, "trouble could not be made");
                }
            });
        }
        for g in &self.day.accounts {
            for i in 0..g.count {
                let (world, g) = (self.clone(), g.clone());
                self.running.fetch_add(1, Ordering::Relaxed);
                self.spawn(async move {
                    world.account(&g, i).await;
                    world.running.fetch_sub(1, Ordering::Relaxed);
                });
            }
        }
        self.runtime.sleep_until(begin + (self.day.seconds * 1e6) as Micros).await;
        let views = self.day.fleet.as_ref().map(|f| fleet::judge(&self.evidence(), &f.stated));
        lock(&self.mood).over = true;
        // All tries end by the longest deadline, with a second for the wait between them.
        let longest = self.deadlines.values().copied().max().unwrap_or(0);
        let most = self.runtime.now() + longest + 1_500_000;
        while self.running.load(Ordering::Relaxed) > 0 && self.runtime.now() < most {
            self.pause(0.02).await;
        }
        let settings = lock(&self.slots)[0].settings.clone();
        let billing = self.billing(&settings).await;
        Ok(Verdict { billing, views, ..audit::judge(&self.journal.entries(), &law(&self.day, &settings)) })
    }

    /// What is known of the fleet's views as of now.
    fn evidence(&self) -> Evidence {
        let (acts, end) = (lock(&self.acts).clone(), self.runtime.now());
        let mut lines = lock(&self.lines).clone();
        lines.sort_by_key(|l| l.at);
        let mut lived: BTreeMap<u16, (f64, Option<Micros>)> = BTreeMap::new();
        for (at, act) in &acts {
            match act {
                Act::Up(n) => {
                    // Up while up: another process under its number. One's messages are counted with the other's.
                    lived.entry(*n).or_default().1.get_or_insert(*at);
                }
                Act::Down(n) | Act::Leave(n) => {
                    let l = lived.entry(*n).or_default();
                    l.0 += l.1.take().map_or(0.0, |up| (at - up) as f64 / 1e6);
                }
                _ => {}
            }
        }
        let sent = self.network.sent();
        let sent = lived.into_iter().map(|(n, (before, up))| {
            let (messages, bytes) = sent.get(&(Party::Ingress(n), VIEW)).copied().unwrap_or_default();
            (n, (messages, bytes, before + up.map_or(0.0, |up| end.saturating_sub(up) as f64 / 1e6)))
        });
        Evidence { acts, lines, sent: sent.collect(), end }
    }

    /// Writes down what is done to the fleet.
    fn act(&self, act: Act) {
        lock(&self.acts).push((self.runtime.now(), act));
    }

    /// Waits until the consumer has been told what nodes counted, or for a while.
    async fn billing(&self, settings: &Settings) -> Option<Billing> {
        let (ledger, (_, vault)) = (settings.ledger.as_ref()?, self.billing.as_ref()?);
        let (periods, end) = (chalkgap::periods(ledger.period), self.runtime.now() + BILLED);
        loop {
            let tallies: Vec<_> =
                lock(&self.nodes).iter().map(|n| n.machine.executions.completed()).collect();
            let billing = match billed(&vault.batches()) {
                Ok(billed) => compare(&counted(tallies, periods), &billed),
                Err(error) => Billing { differences: vec![error.to_string()], ..Billing::default() },
            };
            if billing.differences.is_empty() || self.runtime.now() > end {
                return Some(billing);
            }
            self.pause(0.1).await;
        }
    }
}

fn weather(day: &Day) -> LinkFaults {
    let [least, most] = day.network.delay_ms;
    let delay = (least * 1000, most.max(least) * 1000);
    LinkFaults { loss: day.network.loss, double: day.network.double, delay, ..LinkFaults::default() }
}
