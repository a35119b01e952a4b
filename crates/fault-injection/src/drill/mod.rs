//! Runs a day: starts nodes, registry, simulated network and ingresses, sends the clients' requests, injects the faults,
//! and passes the journal to the auditor. Ingresses are instances in this process or processes of their own; everything
//! else is the same in both cases.

mod processes;
mod traffic;
mod troubles;

use crate::audit::{self, AuditConfig, Verdict};
use crate::day::{Day, Door};
use crate::fleet::{self, Evidence, FleetAction, SentTraffic, ViewLogLine};
use crate::ledger::{billed, compare, counted, Billing};
use chalkgap::runtime::{Micros, Shared};
use chalkgap::settings::{self, Group, Repeat, Settings, SettingsError};
use chalkgap::StartError;
use chalkgap_testbed::billing::{self, BatchStore, Consumer};
use chalkgap_testbed::journal::Journal;
use chalkgap_testbed::network::{LinkFaults, Network, Party, Relay, StreamRelay};
use chalkgap_testbed::node::{Cell, ExecutionLog, Faults, Machine};
use chalkgap_testbed::registry::Registry;
use chalkgap_wire::roster;
use processes::{end, free_port, free_udp, IngressSlot, IngressState, NodeSlot};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use traffic::{account, FrontClient, TrafficState};

/// Where ingresses run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IngressPlacement {
    /// In this process, each as an instance of the library.
    InProcess,
    /// Each in a separate process, which runs the program at this path with `serve` and a settings file.
    Processes(PathBuf),
}

/// Why a drill cannot run.
#[derive(Debug, thiserror::Error)]
pub enum DrillError {
    /// The settings of the day are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An ingress cannot be started.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A value of the day is invalid.
    #[error("{path}: {what}")]
    Day {
        /// Path of the value in the script.
        path: String,
        /// What was expected and what was found.
        what: String,
    },
    /// An operation on a socket, file or process failed.
    #[error("{what}: {error}")]
    Io {
        /// The socket, file or process.
        what: String,
        /// The system's error.
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

struct DrillRun {
    runtime: Shared,
    day: Day,
    placement: IngressPlacement,
    folder: PathBuf,
    journal: Journal,
    slots: Mutex<Vec<IngressSlot>>,
    nodes: Mutex<Vec<NodeSlot>>,
    /// `None` while the registry is down.
    registry: Mutex<Option<Registry>>,
    registry_address: SocketAddr,
    node_addresses: NodeAddresses,
    network: Network,
    relays: Mutex<Vec<Relay>>,
    /// Proxies of TCP streams. They are kept because a proxy stops when it is dropped.
    _stream_proxies: Vec<StreamRelay>,
    /// The drill's actions on the fleet, in order of time.
    actions: Mutex<Vec<(Micros, FleetAction)>>,
    /// Log lines of the processes about their membership views.
    lines: Arc<Mutex<Vec<ViewLogLine>>>,
    traffic: Mutex<TrafficState>,
    /// Connected clients, by account group and ingress.
    clients: Mutex<HashMap<(String, u16), Arc<FrontClient>>>,
    /// Number of the next call.
    next_call: AtomicU64,
    /// Number of tasks that send requests.
    running: AtomicU64,
    /// Deadline of each class in microseconds, by class name.
    deadlines: HashMap<String, Micros>,
    /// The billing consumer and the batches that it stored; `None` if the ingresses keep no ledgers.
    billing: Option<(Consumer, BatchStore)>,
}

/// Address under which the registry lists a node, by the number of the asking ingress and the node's own address. It is
/// the address of the proxy on that link.
type NodeAddresses = Arc<HashMap<(u16, String), String>>;

/// First byte of membership datagrams.
const MEMBERSHIP_CHANNEL: u8 = chalkgap::peers::Channel::Membership as u8;

/// Maximum time from the end of a day until all of its units are billed.
const BILLING_TIMEOUT_US: Micros = 40_000_000;

/// Returns the parameters of the audit for a day and the settings of its ingresses.
pub fn audit_config(day: &Day, settings: &Settings) -> AuditConfig {
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
        let found = settings.plans.iter().find(|p| p.name == name);
        found.map_or_else(audit::Plan::default, |p| audit::Plan {
            quota: (p.rate, p.burst),
            ceiling: (p.ceiling_rate, p.ceiling_burst),
            slack: p.ceiling_slack,
        })
    };
    AuditConfig {
        classes: settings.classes.iter().map(class).collect(),
        accounts: settings.accounts.iter().map(|(name, a)| (name.clone(), plan(&a.plan))).collect(),
        default_plan: settings.default_plan.as_deref().map(plan).unwrap_or_default(),
        drain_grace: settings.rules.drain_grace_ms * 1000,
        tolerance: day.tolerance_ms * 1000,
        min_timeout: day.tolerance_ms * 1000,
    }
}

/// Runs a day to its end and audits it.
///
/// # Errors
/// [`DrillError`] if the day or its settings are invalid, or if an ingress, a socket, a file or a process fails to start.
/// Violations are no errors; they are part of the verdict.
pub async fn play(runtime: Shared, day: Day, placement: IngressPlacement) -> Result<Verdict, DrillError> {
    let drill = DrillRun::new(runtime, day, placement)?;
    let played = drill.play().await;
    // Processes are ended and files removed even after an error.
    let mut slots = std::mem::take(&mut *lock(&drill.slots));
    slots.iter_mut().for_each(|s| end(&mut s.state));
    let _ = std::fs::remove_dir_all(&drill.folder); // a temporary folder that only this drill uses
    played
}

impl DrillRun {
    #[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
    fn new(runtime: Shared, day: Day, placement: IngressPlacement) -> Result<Arc<DrillRun>, DrillError> {
        if day.fleet.is_some() && placement == IngressPlacement::InProcess {
            return Err(DrillError::Day {
                path: "day.fleet".into(),
                what: "requires a process for each ingress (--processes)".into(),
            });
        }
        static DRILLS: AtomicU64 = AtomicU64::new(0);
        let unique =
            format!("chalkgap-drill-{}-{}", std::process::id(), DRILLS.fetch_add(1, Ordering::Relaxed));
        let folder = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&folder).map_err(io_error(folder.display().to_string()))?;
        let journal = Journal::default();
        let registry = Registry::start(runtime.clone(), ([127, 0, 0, 1], 0).into(), journal.clone());
        let registry = registry.map_err(io_error("registry"))?;
        let mut relays = Vec::new();
        let mut peers = Vec::new();
        let network = Network::new(usual_link_faults(&day));
        let numbers = day.ingresses + day.reserve;
        for n in 0..numbers {
            let to = free_udp()?;
            let party = Party::Ingress(n);
            let relay = Relay::start(runtime.clone(), network.clone(), party, to, day.seed ^ u64::from(n));
            relays.push(relay.map_err(io_error("datagram relay between ingresses"))?);
            network.register_sender(to, party);
            peers.push(to);
        }
        let addresses: Vec<SocketAddr> = relays.iter().map(Relay::address).collect();
        let mut slots = Vec::new();
        let mut deadlines = HashMap::new();
        let mut billing = None;
        let mut ledgers = BTreeMap::new();
        if day.settings.get("ledger").is_some() {
            let batch_store = BatchStore::default();
            let at = ([127, 0, 0, 1], 0).into();
            let consumer = Consumer::start(runtime.clone(), at, batch_store.clone(), day.seed);
            let consumer = consumer.map_err(io_error("billing consumer"))?;
            // Some calls are refused, some get no reply: the ingress has to retry them, and each batch counts once.
            consumer.set_faults(billing::Faults { refuse: 0.1, silent: 0.1 });
            billing = Some((consumer, batch_store));
            for n in 0..numbers {
                ledgers.insert(n, free_port()?);
            }
        }
        let mut stream_proxies = Vec::new();
        // TCP streams need no proxies if no trouble affects links.
        let links = day.troubles.iter().any(|t| t.kind.of_links());
        let mut proxied = |from: u16, to: Party, at: SocketAddr| {
            if !links {
                return Ok(at);
            }
            let link = (Party::Ingress(from), to);
            let proxy = StreamRelay::start(
                runtime.clone(),
                network.clone(),
                link,
                at,
                day.seed ^ u64::from(from) << 8,
            );
            let proxy = proxy.map_err(io_error("stream proxy"))?;
            let address = proxy.address();
            stream_proxies.push(proxy);
            Ok::<_, DrillError>(address)
        };
        for n in 0..numbers {
            let grpc = free_port()?;
            let mqtt = free_port()?;
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
            if let Some(fleet_day) = &day.fleet {
                fleet["peers"]["addresses"] = serde_json::json!([]);
                let mut view = fleet_day.view.clone();
                view["seeds"] = serde_json::json!(addresses[..usize::from(fleet_day.seeds.min(numbers))]);
                view["address"] = addresses[usize::from(n)].to_string().into();
                fleet["peers"]["view"] = view;
                if fleet_day.stranger == Some(n) {
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
                    *at = proxied(n, Party::Ingress(*other), *at)?;
                }
                ledger["group"] = serde_json::json!({"listen": ledgers[&n], "addresses": others,
                    "key": "5a".repeat(32), "every_ms": 200});
                ledger["export"] = serde_json::json!({"to": {"grpc": consumer.address()}, "every_ms": 100,
                    "takeover_ms": 2000});
            }
            let list = proxied(n, Party::Registry, registry.address())?;
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
            slots.push(IngressSlot { settings, grpc, mqtt, state: IngressState::Down, down_since: None });
        }
        for (n, g) in day.accounts.iter().enumerate() {
            if let Some(class) = g.classes.keys().find(|c| !deadlines.contains_key(*c)) {
                let path = format!("day.accounts[{n}].classes");
                return Err(DrillError::Day {
                    path,
                    what: format!("class {class:?} is not defined in day.settings.classes"),
                });
            }
        }
        let zones = day.zones.len();
        let memory = (day.key_memory_s * 1e6) as Micros;
        let cells: Vec<Cell> = day.zones.iter().map(|z| Cell::new(z, memory)).collect();
        let mut nodes = Vec::new();
        let mut node_addresses = HashMap::new();
        for g in &day.nodes {
            for _ in 0..g.count {
                let n = nodes.len();
                let rules = &slots[0].settings.rules;
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
                    let at = proxied(ingress, Party::Node(n), address)?;
                    node_addresses.insert((ingress, address.to_string()), at.to_string());
                }
                nodes.push(NodeSlot {
                    machine,
                    zone,
                    address,
                    node: None,
                    faults,
                    state: roster::NODE_READY,
                    started_ms: 0,
                });
            }
        }
        let registry_address = registry.address();
        // The registry lists each node under the address of the asking ingress's own proxy.
        let node_addresses: NodeAddresses = Arc::new(node_addresses);
        registry.advertise(node_addresses.clone());
        Ok(Arc::new(DrillRun {
            runtime,
            day,
            placement,
            folder,
            journal,
            slots: Mutex::new(slots),
            nodes: Mutex::new(nodes),
            registry: Mutex::new(Some(registry)),
            registry_address,
            network,
            relays: Mutex::new(relays),
            _stream_proxies: stream_proxies,
            actions: Mutex::default(),
            lines: Arc::default(),
            node_addresses,
            traffic: Mutex::new(TrafficState { burst: 1.0, patience: 1.0, ..TrafficState::default() }),
            clients: Mutex::default(),
            next_call: AtomicU64::new(1),
            running: AtomicU64::new(0),
            deadlines,
            billing,
        }))
    }

    /// Waits for a number of seconds.
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
        self.pause(0.3).await; // the ingresses receive the node list
        let begin = self.runtime.now();
        for (n, trouble) in self.day.troubles.iter().enumerate() {
            let drill = self.clone();
            let trouble = trouble.clone();
            let at = begin + (trouble.at * 1e6) as Micros;
            self.spawn(async move {
                drill.runtime.sleep_until(at).await;
                if let Err(e) = drill.run_trouble(&trouble, drill.day.seed ^ (n as u64) << 32).await {
                    tracing::error!(kind = ?trouble.kind, error = %e, "drill: trouble failed");
                }
            });
        }
        for group in &self.day.accounts {
            for i in 0..group.count {
                let drill = self.clone();
                let group = group.clone();
                self.running.fetch_add(1, Ordering::Relaxed);
                self.spawn(async move {
                    drill.account(&group, i).await;
                    drill.running.fetch_sub(1, Ordering::Relaxed);
                });
            }
        }
        self.runtime.sleep_until(begin + (self.day.seconds * 1e6) as Micros).await;
        let views = self.day.fleet.as_ref().map(|f| fleet::judge(&self.evidence(), &f.stated));
        lock(&self.traffic).day_over = true;
        // All tries end within the longest deadline. 1.5 s are added for the pauses between them.
        let longest = self.deadlines.values().copied().max().unwrap_or(0);
        let wait_until = self.runtime.now() + longest + 1_500_000;
        while self.running.load(Ordering::Relaxed) > 0 && self.runtime.now() < wait_until {
            self.pause(0.02).await;
        }
        let settings = lock(&self.slots)[0].settings.clone();
        let billing = self.billing(&settings).await;
        Ok(Verdict {
            billing,
            views,
            ..audit::judge(&self.journal.entries(), &audit_config(&self.day, &settings))
        })
    }

    /// Returns the input of the checks of the fleet's views, as of now.
    fn evidence(&self) -> Evidence {
        let actions = lock(&self.actions).clone();
        let end = self.runtime.now();
        let mut lines = lock(&self.lines).clone();
        lines.sort_by_key(|l| l.at);
        // Seconds of earlier runs, and the start of the current run, by ingress.
        let mut uptime: BTreeMap<u16, (f64, Option<Micros>)> = BTreeMap::new();
        for (at, action) in &actions {
            match action {
                FleetAction::Up(n) => {
                    // If the ingress is already up, a second process has its number. The messages of both are summed up.
                    uptime.entry(*n).or_default().1.get_or_insert(*at);
                }
                FleetAction::Down(n) | FleetAction::Leave(n) => {
                    let entry = uptime.entry(*n).or_default();
                    entry.0 += entry.1.take().map_or(0.0, |up| (at - up) as f64 / 1e6);
                }
                _ => {}
            }
        }
        let sent = self.network.sent();
        let sent = uptime.into_iter().map(|(n, (before, up))| {
            let (messages, bytes) =
                sent.get(&(Party::Ingress(n), MEMBERSHIP_CHANNEL)).copied().unwrap_or_default();
            let seconds = before + up.map_or(0.0, |up| end.saturating_sub(up) as f64 / 1e6);
            (n, SentTraffic { messages, bytes, seconds })
        });
        Evidence { actions, lines, sent: sent.collect(), end }
    }

    /// Records an action on the fleet with the current time.
    fn record(&self, action: FleetAction) {
        lock(&self.actions).push((self.runtime.now(), action));
    }

    /// Waits until the consumer was billed for all units that nodes counted, for at most [`BILLING_TIMEOUT_US`]. Returns
    /// `None` if the ingresses keep no ledgers.
    async fn billing(&self, settings: &Settings) -> Option<Billing> {
        let (ledger, (_, batch_store)) = (settings.ledger.as_ref()?, self.billing.as_ref()?);
        let periods = chalkgap::periods(ledger.period);
        let end = self.runtime.now() + BILLING_TIMEOUT_US;
        loop {
            let tallies: Vec<_> =
                lock(&self.nodes).iter().map(|n| n.machine.executions.completed()).collect();
            let billing = match billed(&batch_store.batches()) {
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

fn usual_link_faults(day: &Day) -> LinkFaults {
    let [least, most] = day.network.delay_ms;
    let delay = (least * 1000, most.max(least) * 1000);
    LinkFaults { loss: day.network.loss, double: day.network.double, delay, ..LinkFaults::default() }
}
