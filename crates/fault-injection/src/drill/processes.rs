//! Starts, kills, drains and replaces ingresses and nodes, and publishes the node list.

use super::{io_error, lock, DrillError, DrillRun, IngressPlacement};
use crate::fleet::{FleetAction, ViewLogLine};
use chalkgap::runtime::Micros;
use chalkgap::settings::Settings;
use chalkgap::Instance;
use chalkgap_testbed::journal::Seen;
use chalkgap_testbed::network::{Party, Relay};
use chalkgap_testbed::node::{Faults, Machine, Node};
use chalkgap_wire::roster;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};

/// State of an ingress.
pub(super) enum IngressState {
    InProcess(Instance),
    Process(Child),
    Down,
}

pub(super) struct IngressSlot {
    pub(super) settings: Settings,
    pub(super) grpc: SocketAddr,
    pub(super) mqtt: SocketAddr,
    pub(super) state: IngressState,
    /// When the ingress went down; `None` while it is up.
    pub(super) down_since: Option<Micros>,
}

pub(super) struct NodeSlot {
    pub(super) machine: Machine,
    pub(super) zone: usize,
    pub(super) address: SocketAddr,
    pub(super) node: Option<Node>,
    pub(super) faults: Faults,
    /// The node's state in the node list that the registry publishes next, for example [`roster::NODE_READY`].
    pub(super) state: u32,
    pub(super) started_ms: u64,
}

/// Sends a signal to a process of this drill. Errors are ignored because the process may have ended by itself.
pub(super) fn signal(pid: u32, signal: Signal) {
    if let Some(pid) = i32::try_from(pid).ok().and_then(Pid::from_raw) {
        let _ = kill_process(pid, signal);
    }
}

/// First port and number of ports to choose from. They are below the range of ephemeral ports.
const PORTS: (u64, u64) = (10_000, 20_000);

/// Returns an address with an unused port, which the caller binds later, and again after a kill. Ephemeral ports are not
/// used: a client connection could have such a port by the time that a killed ingress is restarted.
fn unused_address(bind: impl Fn(SocketAddr) -> io::Result<SocketAddr>) -> Result<SocketAddr, DrillError> {
    static NEXT_OFFSET: AtomicU64 = AtomicU64::new(0);
    let from = u64::from(std::process::id()) * 61; // drills that run at the same time rarely try the same ports
    let mut last = io::ErrorKind::AddrInUse.into();
    for _ in 0..1000 {
        let offset = from + NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        match bind(([127, 0, 0, 1], (PORTS.0 + offset % PORTS.1) as u16).into()) {
            Ok(address) => return Ok(address),
            Err(e) => last = e,
        }
    }
    Err(io_error("unused port between 10000 and 29999")(last))
}

pub(super) fn free_port() -> Result<SocketAddr, DrillError> {
    unused_address(|at| TcpListener::bind(at).and_then(|l| l.local_addr()))
}

pub(super) fn free_udp() -> Result<SocketAddr, DrillError> {
    unused_address(|at| UdpSocket::bind(at).and_then(|s| s.local_addr()))
}

/// Stops an ingress and waits for the end of its process.
pub(super) fn end(state: &mut IngressState) {
    match std::mem::replace(state, IngressState::Down) {
        IngressState::InProcess(mut instance) => instance.stop(),
        IngressState::Process(mut child) => {
            let _ = child.kill(); // fails if the process has ended by itself
            let _ = child.wait();
        }
        IngressState::Down => {}
    }
}

impl DrillRun {
    // ---- ingresses ----

    pub(super) async fn start_ingress(&self, n: u16) -> Result<(), DrillError> {
        let (settings, at) = {
            let slots = lock(&self.slots);
            let slot = &slots[usize::from(n)];
            (slot.settings.clone(), slot.grpc)
        };
        let state = match &self.placement {
            IngressPlacement::InProcess => {
                IngressState::InProcess(Instance::start(settings, self.runtime.clone()).await?)
            }
            IngressPlacement::Processes(program) => {
                let file = self.folder.join(format!("ingress-{n}.star"));
                let value = serde_json::to_value(&settings).unwrap_or_default();
                std::fs::write(&file, format!("settings = {}\n", literal(&value)))
                    .map_err(io_error(file.display().to_string()))?;
                let has_membership = self.day.fleet.is_some();
                let log = if has_membership {
                    ["--log", "json", "--log-filter", "warn,chalkgap::fleet=info"].as_slice()
                } else {
                    &["--log-filter", "warn"]
                };
                let child = Command::new(program)
                    .args(log)
                    .arg("serve")
                    .arg(&file)
                    .stdin(Stdio::null())
                    .stdout(Stdio::piped())
                    .stderr(if has_membership { Stdio::piped() } else { Stdio::inherit() })
                    .spawn();
                let mut child = child.map_err(io_error(program.display().to_string()))?;
                if let Some(errors) = child.stderr.take() {
                    let lines = self.lines.clone();
                    // The thread ends with the process.
                    std::thread::spawn(move || {
                        for text in BufReader::new(errors).lines().map_while(Result::ok) {
                            match ViewLogLine::read(&text) {
                                Some(line) => lock(&lines).push(line),
                                None => eprintln!("{text}"),
                            }
                        }
                    });
                }
                // The process prints its first line when its listeners are open.
                let line = child.stdout.take().map(|out| BufReader::new(out).lines().next());
                if !matches!(line, Some(Some(Ok(_)))) {
                    let _ = child.kill();
                    let error = io::Error::other("process ended before its listeners were open");
                    return Err(DrillError::Io { what: format!("{} serve", program.display()), error });
                }
                IngressState::Process(child)
            }
        };
        tracing::info!(ingress = n, address = %at, "drill: ingress up");
        self.record(FleetAction::Up(n));
        let mut slots = lock(&self.slots);
        slots[usize::from(n)].state = state;
        slots[usize::from(n)].down_since = None;
        Ok(())
    }

    pub(super) fn kill_ingress(&self, n: u16) {
        let now = self.runtime.now();
        self.journal.note(now, Seen::Killed { ingress: n });
        let mut slots = lock(&self.slots);
        let slot = &mut slots[usize::from(n)];
        slot.down_since = Some(now);
        end(&mut slot.state);
        self.record(FleetAction::Down(n));
        // Recorded again after the kill: calls that reached the ingress in between were lost with it as well.
        self.journal.note(self.runtime.now(), Seen::Killed { ingress: n });
    }

    pub(super) async fn drain_ingress(&self, n: u16) {
        let state = {
            let mut slots = lock(&self.slots);
            std::mem::replace(&mut slots[usize::from(n)].state, IngressState::Down)
        };
        self.record(FleetAction::Leave(n));
        let until = self.runtime.now() + self.deadlines.values().copied().max().unwrap_or(0);
        match state {
            IngressState::InProcess(mut instance) => {
                if !instance.drain(until).await {
                    self.journal.note(self.runtime.now(), Seen::Killed { ingress: n });
                }
            }
            IngressState::Process(mut child) => {
                signal(child.id(), Signal::TERM);
                self.ends_by(&mut child, until).await;
                end(&mut IngressState::Process(child));
            }
            IngressState::Down => {}
        }
        lock(&self.slots)[usize::from(n)].down_since = Some(self.runtime.now());
    }

    /// Waits until a process ends by itself, or until the given time. Returns whether it has ended.
    async fn ends_by(&self, child: &mut Child, until: Micros) -> bool {
        while matches!(child.try_wait(), Ok(None)) {
            if self.runtime.now() >= until {
                return false;
            }
            self.pause(0.02).await;
        }
        true
    }

    /// Starts a second process with an ingress's number, at other addresses, while the first one still runs. The first
    /// process is expected to end by itself; it is killed after 10 s.
    pub(super) async fn replace_ingress(&self, n: u16) -> Result<(), DrillError> {
        let datagrams = free_udp()?;
        let grpc = free_port()?;
        let party = Party::Ingress(n);
        let seed = self.day.seed ^ u64::from(n) << 32;
        let relay = Relay::start(self.runtime.clone(), self.network.clone(), party, datagrams, seed);
        let relay = relay.map_err(io_error("datagram relay between ingresses"))?;
        self.network.register_sender(datagrams, party);
        let first = {
            let mut slots = lock(&self.slots);
            let slot = &mut slots[usize::from(n)];
            slot.grpc = grpc;
            slot.settings.front.listen = grpc;
            if let Some(peers) = &mut slot.settings.fleet.peers {
                peers.listen = datagrams;
                if let Some(view) = &mut peers.view {
                    view.address = Some(relay.address());
                }
            }
            std::mem::replace(&mut slot.state, IngressState::Down)
        };
        lock(&self.relays).push(relay);
        self.record(FleetAction::Replace(n));
        self.start_ingress(n).await?;
        if let IngressState::Process(mut child) = first {
            let until = self.runtime.now() + 10_000_000;
            if !self.ends_by(&mut child, until).await {
                self.journal.note(self.runtime.now(), Seen::Killed { ingress: n });
            }
            end(&mut IngressState::Process(child));
        }
        Ok(())
    }

    // ---- nodes ----

    pub(super) fn start_node(&self, n: usize, cold: bool) -> Result<(), DrillError> {
        let mut nodes = lock(&self.nodes);
        let cold_us = lock(&self.slots)[0].settings.rules.cold_ms * 1000;
        let slot = &mut nodes[n];
        let mut machine = slot.machine.clone();
        machine.slow_start_window = if cold { cold_us } else { 0 };
        let node = Node::start(self.runtime.clone(), slot.address, machine, self.journal.clone());
        let node = node.map_err(io_error(format!("node at {}", slot.address)))?;
        node.set_faults(slot.faults.clone());
        slot.started_ms = if cold { node.started_at() / 1000 } else { 0 };
        slot.state = roster::NODE_READY;
        slot.node = Some(node);
        Ok(())
    }

    pub(super) fn change_node(&self, n: usize, change: impl Fn(&mut Faults)) {
        if let Some(slot) = lock(&self.nodes).get_mut(n) {
            change(&mut slot.faults);
            if let Some(node) = &slot.node {
                node.set_faults(slot.faults.clone());
            }
        }
    }

    /// Publishes the current node list in the registry.
    pub(super) fn publish(&self) {
        let nodes = lock(&self.nodes);
        let entry = |s: &NodeSlot| roster::Node {
            address: s.address.to_string(),
            zone: self.day.zones[s.zone].clone(),
            cell: s.machine.cell.name.clone(),
            kind: format!("{}-{}", s.machine.cores, s.machine.speed),
            state: s.state,
            size: s.machine.cores as f64 * s.machine.speed,
            started_ms: s.started_ms,
        };
        let list = nodes.iter().map(entry).collect();
        drop(nodes);
        if let Some(registry) = lock(&self.registry).as_ref() {
            registry.set(list);
        }
    }

    /// Publishes the node list after the delay `news_late_s`.
    pub(super) async fn publish_late(&self) {
        self.pause(self.day.news_late_s).await;
        self.publish();
    }
}

/// Formats a JSON value as a Starlark literal.
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
