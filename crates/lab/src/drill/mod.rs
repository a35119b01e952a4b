//! Plays a day: starts nodes, roster, network and ingresses, lets clients ask, brings the troubles, and hands the
//! journal to the auditor. Ingresses are instances in this process or processes of their own; all else is the same.

use crate::audit::{self, Law, Verdict};
use crate::day::{AccountGroup, Day, Door, Kind, Trouble};
use crate::ledger::{billed, compare, counted, Billing};
use chalkgap::runtime::{Micros, Shared};
use chalkgap::settings::{self, Group, Repeat, Settings, SettingsError};
use chalkgap::{Instance, StartError};
use chalkgap_standin::billing::{self, Consumer, Vault};
use chalkgap_standin::client::{Ask, Client};
use chalkgap_standin::flood;
use chalkgap_standin::journal::{Answer, Journal, Seen};
use chalkgap_standin::mqtt;
use chalkgap_standin::network::{Relay, Weather};
use chalkgap_standin::node::{Cell, Faults, Machine, Node, Tally};
use chalkgap_standin::roster::Roster;
use chalkgap_wire::roster;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

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

enum Life {
    Here(Instance),
    Process(Child),
    Down,
}

struct Slot {
    settings: Settings,
    grpc: SocketAddr,
    mqtt: SocketAddr,
    life: Life,
    /// Clients know since then that nobody is there.
    down_since: Option<Micros>,
}

/// A client of either front.
enum Speaker {
    Grpc(Client),
    Mqtt(mqtt::Client),
}

impl Speaker {
    fn closed(&self) -> bool {
        match self {
            Speaker::Grpc(c) => c.closed(),
            Speaker::Mqtt(c) => c.closed(),
        }
    }

    async fn call(&self, ask: &Ask) -> Answer {
        match self {
            Speaker::Grpc(c) => c.call(ask).await.answer,
            Speaker::Mqtt(c) => c.call(ask).await.answer,
        }
    }
}

struct NodeSlot {
    machine: Machine,
    zone: usize,
    address: SocketAddr,
    node: Option<Node>,
    faults: Faults,
    state: u32,
    started_ms: u64,
}

/// What clients look at while they ask.
#[derive(Default)]
struct Mood {
    /// Multiples of the usual traffic, by group and number.
    hot: HashMap<(String, usize), f64>,
    burst: f64,
    abuse: bool,
    patience: f64,
    shift: usize,
    over: bool,
}

struct World {
    runtime: Shared,
    day: Day,
    home: Home,
    folder: PathBuf,
    journal: Journal,
    slots: Mutex<Vec<Slot>>,
    nodes: Mutex<Vec<NodeSlot>>,
    roster: Mutex<Option<Roster>>,
    roster_at: SocketAddr,
    relays: Vec<Relay>,
    mood: Mutex<Mood>,
    clients: Mutex<HashMap<(String, u16), Arc<Speaker>>>,
    calls: AtomicU64,
    running: AtomicU64,
    deadlines: HashMap<String, Micros>,
    /// The billing consumer and what it has, where ingresses have ledgers.
    billing: Option<(Consumer, Vault)>,
}

/// How long after a day all that it used may take to be billed.
const BILLED: Micros = 40_000_000;

/// Ports below those that systems give to connections that go out.
const PORTS: (u64, u64) = (10_000, 20_000);

/// A port that nobody has, for somebody who binds it later and, after a kill, again. None that the system itself would
/// give: by the time that an ingress came back, a connection of a client had its port.
fn free(bind: impl Fn(SocketAddr) -> io::Result<SocketAddr>) -> Result<SocketAddr, DrillError> {
    static TRIED: AtomicU64 = AtomicU64::new(0);
    let from = u64::from(std::process::id()) * 61; // several drills at once seldom try the same ones
    let mut last = io::ErrorKind::AddrInUse.into();
    for _ in 0..1000 {
        let n = from + TRIED.fetch_add(1, Ordering::Relaxed);
        match bind(([127, 0, 0, 1], (PORTS.0 + n % PORTS.1) as u16).into()) {
            Ok(address) => return Ok(address),
            Err(e) => last = e,
        }
    }
    Err(io_error("a free port")(last))
}

fn free_port() -> Result<SocketAddr, DrillError> {
    free(|at| TcpListener::bind(at).and_then(|l| l.local_addr()))
}

fn free_udp() -> Result<SocketAddr, DrillError> {
    free(|at| UdpSocket::bind(at).and_then(|s| s.local_addr()))
}

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

fn end(life: &mut Life) {
    match std::mem::replace(life, Life::Down) {
        Life::Here(mut instance) => instance.stop(),
        Life::Process(mut child) => {
            let _ = child.kill(); // it has ended by itself
            let _ = child.wait();
        }
        Life::Down => {}
    }
}

impl World {
    fn new(runtime: Shared, day: Day, home: Home) -> Result<Arc<World>, DrillError> {
        static DRILLS: AtomicU64 = AtomicU64::new(0);
        let unique =
            format!("chalkgap-drill-{}-{}", std::process::id(), DRILLS.fetch_add(1, Ordering::Relaxed));
        let folder = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&folder).map_err(io_error(folder.display().to_string()))?;
        let journal = Journal::default();
        let roster = Roster::start(runtime.clone(), ([127, 0, 0, 1], 0).into(), journal.clone());
        let roster = roster.map_err(io_error("the roster"))?;
        let (mut relays, mut peers) = (Vec::new(), Vec::new());
        let weather = weather(&day, 0.0);
        for n in 0..day.ingresses {
            let to = free_udp()?;
            let relay = Relay::start(runtime.clone(), to, weather.clone(), day.seed ^ u64::from(n));
            relays.push(relay.map_err(io_error("a way between ingresses"))?);
            peers.push(to);
        }
        let addresses: Vec<SocketAddr> = relays.iter().map(Relay::address).collect();
        let (mut slots, mut deadlines) = (Vec::new(), HashMap::new());
        let mut billing = None;
        let mut ledgers = BTreeMap::new();
        if day.settings.get("ledger").is_some() {
            let vault = Vault::default();
            let at = ([127, 0, 0, 1], 0).into();
            let consumer = Consumer::start(runtime.clone(), at, vault.clone(), day.seed);
            let consumer = consumer.map_err(io_error("the billing consumer"))?;
            // Some calls are turned away, some taken without a word: each must come again, and count once.
            consumer.faults(billing::Faults { refuse: 0.1, silent: 0.1 });
            billing = Some((consumer, vault));
            for n in 0..day.ingresses {
                ledgers.insert(n, free_port()?);
            }
        }
        for n in 0..day.ingresses {
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
            let fleet = serde_json::json!({
                "ingresses": day.ingresses, "me": n, "zones": day.zones,
                "zone": day.zones[usize::from(n) % day.zones.len()], "tick_us": tick,
                "peers": {"listen": peers[usize::from(n)], "addresses": addresses,
                    "key": "5a".repeat(32), "per_second": per_second},
            });
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
                ledger["group"] = serde_json::json!({"listen": ledgers[&n], "addresses": ledgers,
                    "key": "5a".repeat(32), "every_ms": 200});
                ledger["export"] = serde_json::json!({"to": {"grpc": consumer.address()}, "every_ms": 100,
                    "takeover_ms": 2000});
            }
            let nodes =
                serde_json::json!({"source": {"roster": {"address": roster.address()}}, "cache": cache});
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
        let mut nodes = Vec::new();
        for g in &day.nodes {
            for _ in 0..g.count {
                let (n, rules) = (nodes.len(), &slots[0].settings.rules);
                let machine = Machine {
                    cores: g.cores,
                    speed: g.speed,
                    work: day.work_ms.iter().map(|(c, ms)| (c.clone(), ms * 1000.0)).collect(),
                    cold_from: rules.cold_from,
                    cold_time: 0,
                    fall_factor: rules.fall_factor,
                    fall_time: rules.fall_ms * 1000,
                    queue: g.queue,
                    cell: cells[n % zones].clone(),
                    tally: Tally::default(),
                    seed: day.seed.wrapping_mul(1000) + n as u64,
                };
                let zone = n % zones;
                let address = free_port()?;
                let faults = Faults::default();
                nodes.push(NodeSlot { machine, zone, address, node: None, faults, state: 0, started_ms: 0 });
            }
        }
        let roster_at = roster.address();
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
            relays,
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
        lock(&self.mood).over = true;
        // All tries end by the longest deadline, with a second for the wait between them.
        let longest = self.deadlines.values().copied().max().unwrap_or(0);
        let most = self.runtime.now() + longest + 1_500_000;
        while self.running.load(Ordering::Relaxed) > 0 && self.runtime.now() < most {
            self.pause(0.02).await;
        }
        let settings = lock(&self.slots)[0].settings.clone();
        let billing = self.billing(&settings).await;
        Ok(Verdict { billing, ..audit::judge(&self.journal.entries(), &law(&self.day, &settings)) })
    }

    /// Waits until the consumer has been told what nodes counted, or for a while.
    async fn billing(&self, settings: &Settings) -> Option<Billing> {
        let (ledger, (_, vault)) = (settings.ledger.as_ref()?, self.billing.as_ref()?);
        let (periods, end) = (chalkgap::periods(ledger.period), self.runtime.now() + BILLED);
        loop {
            let tallies: Vec<_> = lock(&self.nodes).iter().map(|n| n.machine.tally.ran()).collect();
            let billing = match billed(&vault.batches()) {
                Ok(billed) => compare(&counted(tallies, periods), &billed),
                Err(what) => Billing { differences: vec![what], ..Billing::default() },
            };
            if billing.differences.is_empty() || self.runtime.now() > end {
                return Some(billing);
            }
            self.pause(0.1).await;
        }
    }

    // ---- ingresses ----

    async fn start_ingress(&self, n: u16) -> Result<(), DrillError> {
        let (settings, at) = {
            let slots = lock(&self.slots);
            let slot = &slots[usize::from(n)];
            (slot.settings.clone(), slot.grpc)
        };
        let life = match &self.home {
            Home::Here => Life::Here(Instance::start(settings, self.runtime.clone()).await?),
            Home::Processes(program) => {
                let file = self.folder.join(format!("ingress-{n}.star"));
                let value = serde_json::to_value(&settings).unwrap_or_default();
                std::fs::write(&file, format!("settings = {}\n", literal(&value)))
                    .map_err(io_error(file.display().to_string()))?;
                let child = Command::new(program)
                    .args(["--log-filter", "warn", "serve"])
                    .arg(&file)
                    .stdin(Stdio::null())
                    .stdout(Stdio::piped())
                    .stderr(Stdio::inherit())
                    .spawn();
                let mut child = child.map_err(io_error(program.display().to_string()))?;
                // Its first line says that it listens.
                let line = child.stdout.take().map(|out| BufReader::new(out).lines().next());
                if !matches!(line, Some(Some(Ok(_)))) {
                    let _ = child.kill();
                    let error = io::Error::other("it ended before it listened");
                    return Err(DrillError::Io { what: format!("{} serve", program.display()), error });
                }
                Life::Process(child)
            }
        };
        tracing::info!(ingress = n, address = %at, "drill: ingress up");
        let mut slots = lock(&self.slots);
        slots[usize::from(n)].life = life;
        slots[usize::from(n)].down_since = None;
        Ok(())
    }

    fn kill_ingress(&self, n: u16) {
        let now = self.runtime.now();
        self.journal.note(now, Seen::Killed { ingress: n });
        let mut slots = lock(&self.slots);
        let slot = &mut slots[usize::from(n)];
        slot.down_since = Some(now);
        end(&mut slot.life);
        // A second time, after the fact: what reached it until then was held by it.
        self.journal.note(self.runtime.now(), Seen::Killed { ingress: n });
    }

    async fn drain_ingress(&self, n: u16) {
        let life = {
            let mut slots = lock(&self.slots);
            std::mem::replace(&mut slots[usize::from(n)].life, Life::Down)
        };
        let until = self.runtime.now() + self.deadlines.values().copied().max().unwrap_or(0);
        match life {
            Life::Here(mut instance) => {
                if !instance.drain(until).await {
                    self.journal.note(self.runtime.now(), Seen::Killed { ingress: n });
                }
            }
            Life::Process(mut child) => {
                let _ = Command::new("kill").arg("-TERM").arg(child.id().to_string()).status();
                while matches!(child.try_wait(), Ok(None)) && self.runtime.now() < until {
                    self.pause(0.02).await;
                }
                end(&mut Life::Process(child));
            }
            Life::Down => {}
        }
        lock(&self.slots)[usize::from(n)].down_since = Some(self.runtime.now());
    }

    // ---- nodes ----

    fn start_node(&self, n: usize, cold: bool) -> Result<(), DrillError> {
        let mut nodes = lock(&self.nodes);
        let cold_time = lock(&self.slots)[0].settings.rules.cold_ms * 1000;
        let slot = &mut nodes[n];
        let mut machine = slot.machine.clone();
        machine.cold_time = if cold { cold_time } else { 0 };
        let node = Node::start(self.runtime.clone(), slot.address, machine, self.journal.clone());
        let node = node.map_err(io_error(format!("node at {}", slot.address)))?;
        node.faults(slot.faults.clone());
        slot.started_ms = if cold { node.born() / 1000 } else { 0 };
        slot.state = 0;
        slot.node = Some(node);
        Ok(())
    }

    fn change_node(&self, n: usize, change: impl Fn(&mut Faults)) {
        if let Some(slot) = lock(&self.nodes).get_mut(n) {
            change(&mut slot.faults);
            if let Some(node) = &slot.node {
                node.faults(slot.faults.clone());
            }
        }
    }

    /// Pushes the list as it is now.
    fn publish(&self) {
        let nodes = lock(&self.nodes);
        let line = |s: &NodeSlot| roster::Node {
            address: s.address.to_string(),
            zone: self.day.zones[s.zone].clone(),
            cell: s.machine.cell.name.clone(),
            kind: format!("{}-{}", s.machine.cores, s.machine.speed),
            state: s.state,
            size: s.machine.cores as f64 * s.machine.speed,
            started_ms: s.started_ms,
        };
        let list = nodes.iter().map(line).collect();
        drop(nodes);
        if let Some(roster) = lock(&self.roster).as_ref() {
            roster.set(list);
        }
    }

    async fn publish_late(&self) {
        self.pause(self.day.news_late_s).await;
        self.publish();
    }

    // ---- troubles ----

    /// The ones that a trouble hits, of `of`.
    fn which(&self, t: &Trouble, of: usize, seed: u64) -> Vec<usize> {
        if !t.which.is_empty() {
            return t.which.iter().copied().filter(|n| *n < of).collect();
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut all: Vec<usize> = (0..of).collect();
        let count = ((of as f64 * t.share).round() as usize).clamp(1, of.max(1));
        let mut list: Vec<usize> =
            (0..count.min(of)).map(|_| all.swap_remove(rng.random_range(0..all.len()))).collect();
        list.sort_unstable();
        list
    }

    async fn trouble(self: &Arc<Self>, t: &Trouble, seed: u64) -> Result<(), DrillError> {
        tracing::info!(kind = ?t.kind, "drill: trouble begins");
        let (ingresses, nodes) = (usize::from(self.day.ingresses), lock(&self.nodes).len());
        let all = |set: &dyn Fn(&mut Faults)| {
            for n in self.which(t, nodes, seed) {
                self.change_node(n, set);
            }
        };
        match t.kind {
            Kind::BalancerCrash => {
                let list = self.which(t, ingresses, seed);
                list.iter().for_each(|n| self.kill_ingress(*n as u16));
                self.pause(t.lasts).await;
                for n in list {
                    self.start_ingress(n as u16).await?;
                }
            }
            Kind::BalancerRoll => {
                for n in self.which(t, ingresses, seed) {
                    self.drain_ingress(n as u16).await;
                    self.pause(t.lasts).await;
                    self.start_ingress(n as u16).await?;
                }
            }
            Kind::Hang => {
                all(&|f| f.hang = true);
                self.pause(t.lasts).await;
                all(&|f| f.hang = false);
            }
            Kind::Mute => {
                all(&|f| f.mute = true);
                self.pause(t.lasts).await;
                all(&|f| f.mute = false);
            }
            Kind::FastErrors => {
                all(&|f| f.fail = t.strength);
                self.pause(t.lasts).await;
                all(&|f| f.fail = 0.0);
            }
            Kind::ClassFail => {
                let class = t.group.clone();
                all(&|f| (f.fail, f.fail_class) = (t.strength, class.clone()));
                self.pause(t.lasts).await;
                all(&|f| (f.fail, f.fail_class) = (0.0, None));
            }
            Kind::BalancerStall => {
                let pid = |n: &usize| match &lock(&self.slots)[*n].life {
                    Life::Process(child) => Some((*n as u16, child.id())),
                    _ => None,
                };
                let list: Vec<(u16, u32)> = self.which(t, ingresses, seed).iter().filter_map(pid).collect();
                let signal = |name: &str, pid: u32| {
                    let done = Command::new("kill").args([name, &pid.to_string()]).status();
                    done.map(|_| ()).map_err(io_error("kill"))
                };
                let begun = self.runtime.now();
                list.iter().try_for_each(|(_, pid)| signal("-STOP", *pid))?;
                self.pause(t.lasts).await;
                list.iter().try_for_each(|(_, pid)| signal("-CONT", *pid))?;
                let until = self.runtime.now();
                list.iter().for_each(|(n, _)| self.journal.note(begun, Seen::Stalled { ingress: *n, until }));
            }
            Kind::Halfway => {
                all(&|f| f.halfway = t.strength);
                self.pause(t.lasts).await;
                all(&|f| f.halfway = 0.0);
            }
            Kind::Neighbour => {
                all(&|f| f.slow = t.strength);
                self.pause(t.lasts).await;
                all(&|f| f.slow = 0.0);
            }
            Kind::HeavyTail => {
                let share = if t.share > 0.0 { t.share } else { 0.02 };
                for n in 0..nodes {
                    self.change_node(n, |f| (f.tail, f.tail_cost) = (share, t.strength));
                }
                self.pause(t.lasts).await;
                for n in 0..nodes {
                    self.change_node(n, |f| f.tail = 0.0);
                }
            }
            Kind::NodeCrash => {
                let list = self.which(t, nodes, seed);
                for n in &list {
                    let mut nodes = lock(&self.nodes);
                    (nodes[*n].node, nodes[*n].state) = (None, 2);
                }
                self.publish_late().await;
                self.pause(t.lasts).await;
                for n in list {
                    self.start_node(n, true)?;
                }
                self.publish_late().await;
            }
            Kind::NodeRoll => {
                for n in self.which(t, nodes, seed) {
                    lock(&self.nodes)[n].state = 1;
                    self.publish();
                    self.pause(t.lasts).await;
                    {
                        let mut nodes = lock(&self.nodes);
                        (nodes[n].node, nodes[n].state) = (None, 2);
                    }
                    self.publish();
                    self.pause(0.2).await;
                    self.start_node(n, true)?;
                    self.publish_late().await;
                }
            }
            Kind::ZoneCut => {
                let zone = t.which.first().copied().unwrap_or(0);
                let inside = |n: usize| lock(&self.nodes)[n].zone == zone;
                let there: Vec<usize> = (0..nodes).filter(|n| inside(*n)).collect();
                there.iter().for_each(|n| self.change_node(*n, |f| (f.mute, f.hang) = (true, true)));
                let cut = |loss| {
                    let inside = |r: &(usize, &Relay)| r.0 % self.day.zones.len() == zone;
                    let relays = self.relays.iter().enumerate().filter(inside);
                    relays.for_each(|r| r.1.weather(weather(&self.day, loss)));
                };
                cut(1.0);
                self.pause(t.lasts).await;
                cut(0.0);
                there.iter().for_each(|n| self.change_node(*n, |f| (f.mute, f.hang) = (false, false)));
            }
            Kind::HotKey => {
                let group = self.day.accounts.iter().find(|g| t.group.as_ref().is_none_or(|n| *n == g.name));
                let Some(group) = group else { return Ok(()) };
                let keys: Vec<(String, usize)> =
                    self.which(t, group.count, seed).into_iter().map(|i| (group.name.clone(), i)).collect();
                lock(&self.mood).hot.extend(keys.iter().map(|k| (k.clone(), t.strength)));
                self.pause(t.lasts).await;
                let mut mood = lock(&self.mood);
                mood.hot.retain(|k, _| !keys.contains(k));
            }
            Kind::Burst => {
                lock(&self.mood).burst = t.strength;
                self.pause(t.lasts).await;
                lock(&self.mood).burst = 1.0;
            }
            Kind::Flood => {
                let until = self.runtime.now() + (t.lasts * 1e6) as Micros;
                let floods: Vec<_> = self
                    .which(t, ingresses, seed)
                    .into_iter()
                    .map(|n| {
                        let to = lock(&self.slots)[n].grpc;
                        let plan = flood::Plan {
                            to,
                            addresses: 200,
                            per_second: t.strength.max(1.0),
                            hold: 300,
                            until,
                        };
                        flood::start(&self.runtime, plan)
                    })
                    .collect();
                for (task, seen) in floods {
                    task.await;
                    let seen = lock(&seen).clone();
                    let (entered, told, closed, hanging) =
                        (seen.entered, seen.told, seen.closed, seen.hanging);
                    tracing::info!(entered, told, closed, hanging, "drill: flood over");
                }
            }
            Kind::Reconnect => lock(&self.clients).clear(),
            Kind::RetryAbuse => {
                lock(&self.mood).abuse = true;
                self.pause(t.lasts).await;
                lock(&self.mood).abuse = false;
            }
            Kind::GiveUp => {
                lock(&self.mood).patience = t.strength;
                self.pause(t.lasts).await;
                lock(&self.mood).patience = 1.0;
            }
            Kind::Shift => lock(&self.mood).shift += 1,
            Kind::PeerLoss => {
                self.relays.iter().for_each(|r| r.weather(weather(&self.day, t.strength)));
                self.pause(t.lasts).await;
                self.relays.iter().for_each(|r| r.weather(weather(&self.day, 0.0)));
            }
            Kind::RosterDown => {
                *lock(&self.roster) = None;
                self.pause(t.lasts).await;
                let again = Roster::start(self.runtime.clone(), self.roster_at, self.journal.clone());
                *lock(&self.roster) = Some(again.map_err(io_error("the roster"))?);
                self.publish();
            }
            Kind::Scan => {
                let end = self.runtime.now() + (t.lasts * 1e6) as Micros;
                let mut rng = SmallRng::seed_from_u64(seed);
                let class = self.day.accounts[0].classes.keys().next().cloned().unwrap_or_default();
                for i in 0.. {
                    if self.runtime.now() >= end {
                        break;
                    }
                    let (world, class) = (self.clone(), class.clone());
                    let to = rng.random_range(0..self.day.ingresses);
                    self.spawn(async move {
                        let timeout = world.deadlines.get(&class).copied().unwrap_or(1_000_000);
                        let call = world.calls.fetch_add(1, Ordering::Relaxed);
                        let account = format!("scan-{i}");
                        let ask = Ask { call, account, class, units: 1, key: None, timeout };
                        if let Some(client) = world.client("scan", to).await {
                            client.call(&ask).await;
                        }
                    });
                    self.pause(1.0 / t.strength.max(0.01)).await;
                }
            }
        }
        tracing::info!(kind = ?t.kind, "drill: trouble ends");
        Ok(())
    }

    // ---- clients ----

    /// The connection that a group's clients share to an ingress; none if there is none.
    async fn client(&self, group: &str, ingress: u16) -> Option<Arc<Speaker>> {
        let key = (group.to_owned(), ingress);
        if let Some(c) = lock(&self.clients).get(&key).filter(|c| !c.closed()) {
            return Some(c.clone());
        }
        let (grpc, mqtt) = {
            let slots = lock(&self.slots);
            let slot = &slots[usize::from(ingress)];
            (slot.grpc, slot.mqtt)
        };
        let (runtime, journal) = (self.runtime.clone(), self.journal.clone());
        let door = self.day.accounts.iter().find(|g| g.name == group).map_or(Door::Grpc, |g| g.door);
        let client = Arc::new(match door {
            Door::Grpc => Speaker::Grpc(Client::connect(runtime, grpc, ingress, journal).await.ok()?),
            Door::Mqtt => Speaker::Mqtt(mqtt::Client::connect(runtime, mqtt, ingress, journal).await.ok()?),
        });
        lock(&self.clients).insert(key, client.clone());
        Some(client)
    }

    /// One account's traffic, for the whole day.
    async fn account(self: &Arc<Self>, g: &AccountGroup, i: usize) {
        let name = account(g, i);
        let tag = name.bytes().fold(0u64, |n, b| n.wrapping_mul(131) + u64::from(b));
        let mut rng = SmallRng::seed_from_u64(self.day.seed ^ tag);
        if g.fixed > 0 {
            for _ in 0..g.fixed {
                let (seed, class) = (rng.random(), pick(&g.classes, &mut rng));
                self.request(g, i, class, seed).await;
            }
            return;
        }
        while !lock(&self.mood).over {
            let rate = {
                let mood = lock(&self.mood);
                g.rate * mood.burst * mood.hot.get(&(g.name.clone(), i)).copied().unwrap_or(1.0)
            };
            let wait = Exp::new(rate.max(1e-6)).map_or(1.0, |d| d.sample(&mut rng)).min(0.5);
            self.pause(wait).await;
            // A pause cut short at half a second decides anew: the rate may have changed.
            if wait >= 0.5 || lock(&self.mood).over {
                continue;
            }
            let (world, g2, class, seed) =
                (self.clone(), g.clone(), pick(&g.classes, &mut rng), rng.random());
            self.running.fetch_add(1, Ordering::Relaxed);
            self.spawn(async move {
                world.request(&g2, i, class, seed).await;
                world.running.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    /// One request with its tries.
    async fn request(&self, g: &AccountGroup, i: usize, class: String, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let clients = &self.day.clients;
        let whole = self.deadlines.get(&class).copied().unwrap_or(1_000_000);
        let end = self.runtime.now() + whole;
        let units = clients.units.get(&class).copied().unwrap_or(1);
        let key = format!("{i}-{seed:x}");
        let width = g.width.min(self.day.ingresses).max(1);
        let hurried = rng.random::<f64>() < clients.hurried;
        for n in 0..=clients.retries {
            let (abuse, patience, shift) = {
                let mood = lock(&self.mood);
                (mood.abuse, mood.patience, mood.shift)
            };
            // The busiest of its ingresses takes two thirds; a shift makes it another one.
            let busiest = rng.random::<f64>() < 0.66;
            let nth =
                if busiest { shift % usize::from(width) } else { rng.random_range(0..usize::from(width)) };
            let ingress = ((i + nth) % usize::from(self.day.ingresses)) as u16;
            let share = rng.random_range(clients.patience.min(0.999)..=1.0) * patience;
            let left = end.saturating_sub(self.runtime.now());
            let timeout =
                if hurried { rng.random_range(0..30_000) } else { (whole as f64 * share) as Micros };
            let timeout = timeout.min(left);
            if left == 0 {
                return;
            }
            let call = self.calls.fetch_add(1, Ordering::Relaxed);
            let account = account(g, i);
            let ask = Ask { call, account, class: class.clone(), units, key: Some(key.clone()), timeout };
            let answer = match self.client(&g.name, ingress).await {
                Some(client) => client.call(&ask).await,
                None => Answer::NotTaken,
            };
            let pause = match answer {
                Answer::Served | Answer::Left => return,
                Answer::Failed { code } if code != 14 && code != 4 => return,
                Answer::Refused { pause } if pause > 0 && !abuse => pause,
                _ if abuse => 1000,
                _ => clients.pause_ms * 1000,
            };
            if n < clients.retries {
                let lot = if abuse { 0 } else { rng.random_range(0..=pause / 4) };
                self.runtime.sleep_until(self.runtime.now() + pause + lot).await;
            }
        }
    }
}

fn account(g: &AccountGroup, i: usize) -> String {
    format!("{}-{i}", g.name)
}

fn pick(classes: &BTreeMap<String, f64>, rng: &mut SmallRng) -> String {
    let total: f64 = classes.values().sum();
    let mut at = rng.random::<f64>() * total;
    for (name, share) in classes {
        at -= share;
        if at <= 0.0 {
            return name.clone();
        }
    }
    classes.keys().next_back().cloned().unwrap_or_default()
}

fn weather(day: &Day, loss: f64) -> Weather {
    let [least, most] = day.network.delay_ms;
    let delay = (least * 1000, most.max(least) * 1000);
    Weather { loss: day.network.loss.max(loss), double: day.network.double, delay }
}

/// A JSON value as Starlark.
fn literal(value: &serde_json::Value) -> String {
    use serde_json::Value;
    match value {
        Value::Null => "None".into(),
        Value::Bool(true) => "True".into(),
        Value::Bool(false) => "False".into(),
        Value::Array(list) => format!("[{}]", list.iter().map(literal).collect::<Vec<_>>().join(", ")),
        Value::Object(map) => {
            let pair = |(k, v): (&String, &Value)| format!("{}: {}", Value::from(k.as_str()), literal(v));
            format!("{{{}}}", map.iter().map(pair).collect::<Vec<_>>().join(", "))
        }
        other => other.to_string(),
    }
}
