//! A simulated discovery agent, and followers of it, in the simulated runtime.

#![allow(dead_code)] // each test file uses a part of this module

use async_channel::{Receiver, Sender};
use chalkgap::frontend::{endpoint_updates, EndpointUpdates};
use chalkgap_core::{Availability, Discovery};
use chalkgap_platform::discovery::{DiscoveryFollower, DiscoveryTimeouts};
use chalkgap_platform::endpoint_list::backend_id;
use chalkgap_platform::endpoint_set::EndpointSet;
use chalkgap_runtime::simulated_runtime::{address, HostGuard, Simulation};
use chalkgap_runtime::{Listener, Micros, Runtime, Shared, Stream};
use chalkgap_transport::{MemoryBudget, MemoryOwner};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

pub const START: Micros = 1_800_000_000_000_000;
/// The drain grace, from which the follower derives its timeouts.
pub const DRAIN_GRACE: Micros = 2_000_000;
/// Allowance for connecting and for sending data. Links of the simulation delay by 0.3 ms at most.
pub const NETWORK_ALLOWANCE: Micros = 5_000;
/// Longest time that a polled service may delay a request, as the platform documents it.
pub const MAX_POLL_WAIT: Micros = 2_000_000;
/// An old address of discovery keeps its open connections for this time, as the platform documents it.
pub const RETIREMENT: Micros = 1_500_000;
/// Number of the first host of agents beside the two that each test has.
const FIRST_FURTHER_AGENT: u32 = 5000;
/// Interval at which the agent checks for changes to send.
pub const CHECK_INTERVAL: Micros = 10_000;

/// How the agent responds to requests.
#[derive(Clone, Copy, PartialEq)]
pub enum Behaviour {
    Healthy,
    /// It accepts connections and never sends anything on them.
    Unresponsive,
    /// It omits the last bracket of each list and sends empty lines after it.
    Truncating,
    /// It sends half of each complete list and then nothing more.
    Stalling,
    /// A polled service during an outage: it rejects each request after [`MAX_POLL_WAIT`].
    Rejecting,
}

/// How late the agent begins its answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AnswerDelay {
    Fixed(Micros),
    /// Drawn for each request, up to this time.
    UpTo(Micros),
}

impl AnswerDelay {
    fn draw(self, runtime: &Shared) -> Micros {
        match self {
            AnswerDelay::Fixed(delay) => delay,
            AnswerDelay::UpTo(max) => runtime.random() % (max + 1),
        }
    }
}

pub struct Agent {
    pub version: u64,
    pub behaviour: Behaviour,
    pub indent: bool,
    /// Watches that were opened in an earlier generation stay open, and nothing more is sent on them.
    pub generation: u64,
    /// Number of further requests that are accepted and never answered.
    pub ignore_next: usize,
    /// Number of further requests that are rejected at once.
    pub reject_next: usize,
    /// Number of requests for the complete list.
    pub list_requests: usize,
    /// Number of requests for a watch.
    pub watch_requests: usize,
    /// Time from a request to the start of its answer. Requests do not wait for each other's.
    pub answer_delay: AnswerDelay,
    /// Whether a complete list is the one at the time of the request; else the one at the time of the answer.
    pub lists_as_requested: bool,
    /// Watches that were opened in an earlier generation are reset.
    pub connections_generation: u64,
    /// Time that a request takes. Requests are served one after another.
    pub service_time: Micros,
    /// Time at which the requests that wait have been served.
    pub queue_end: Micros,
    /// Dropped when the agent retires.
    active: Option<Sender<()>>,
    /// Closed when the agent has retired.
    retired: Receiver<()>,
}

impl Agent {
    fn new(indent: bool, answer_delay: AnswerDelay) -> Agent {
        let (active, retired) = async_channel::bounded(1);
        Agent {
            version: 1,
            behaviour: Behaviour::Healthy,
            indent,
            generation: 0,
            ignore_next: 0,
            reject_next: 0,
            answer_delay,
            lists_as_requested: false,
            connections_generation: 0,
            list_requests: 0,
            watch_requests: 0,
            service_time: 0,
            queue_end: 0,
            active: Some(active),
            retired,
        }
    }

    /// Takes connections again after [`Agent::retire`].
    pub fn revive(&mut self) {
        let (active, retired) = async_channel::bounded(1);
        self.active = Some(active);
        self.retired = retired;
    }

    /// Takes no new connection from now on, and closes the open ones after [`RETIREMENT`].
    pub fn retire(&mut self) {
        self.active = None;
    }
}

#[derive(Clone)]
pub struct AgentHandle(Arc<Mutex<Agent>>);

/// A request that the agent received.
struct Request {
    is_watch: bool,
    /// The version from which a watch begins.
    known_version: u64,
}

impl AgentHandle {
    pub fn lock(&self) -> MutexGuard<'_, Agent> {
        self.0.lock().unwrap()
    }

    /// Encodes the complete list: a backend for each version, whose name and port are the version.
    fn complete_list(&self) -> String {
        self.list(true, 0)
    }

    /// Encodes the changes after the version `known`.
    fn changes(&self, known: u64) -> String {
        self.list(false, known)
    }

    fn list(&self, complete: bool, known: u64) -> String {
        let agent = self.lock();
        let first = (known + 1).min(agent.version);
        let host = |version| {
            let (name, dial) = (format!("s-{version}"), format!("10.0.0.9:{version}"));
            serde_json::json!({"host": name, "dial": dial, "health": "ready"})
        };
        let hosts: Vec<_> = (first..=agent.version).map(host).collect();
        let list = serde_json::json!({"seq": agent.version, "whole": complete, "hosts": hosts});
        let text = if agent.indent { serde_json::to_string_pretty(&list).unwrap() } else { list.to_string() };
        let length = text.len() - usize::from(agent.behaviour == Behaviour::Truncating);
        text[..length].to_owned() + "\n"
    }

    /// Accepts connections, and serves the request of each.
    async fn serve_all(self, runtime: Shared, listener: Box<dyn Listener>) {
        while let Ok(stream) = listener.accept().await {
            if self.lock().active.is_none() {
                continue;
            }
            let served = self.clone().serve(runtime.clone(), stream);
            let retired = self.clone().retirement_over(runtime.clone());
            runtime.spawn(Box::pin(future::or(served, retired))).detach();
        }
    }

    /// Waits until the open connections of a retired agent are closed.
    async fn retirement_over(self, runtime: Shared) {
        let retired = self.lock().retired.clone();
        let _ = retired.recv().await;
        runtime.sleep_until(runtime.now() + RETIREMENT).await;
    }

    /// Serves one request.
    async fn serve(self, runtime: Shared, mut stream: Box<dyn Stream>) {
        let request = Request::read(&mut *stream).await;
        let Some((generation, version)) = self.accept(&request) else { return future::pending().await };
        if let Some(delay) = self.rejection_delay() {
            runtime.sleep_until(runtime.now() + delay).await;
            let _ = stream.write_all(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n").await;
            return;
        }
        let list_as_requested = self.complete_list();
        self.wait_for_turn(&runtime).await;
        if self.lock().behaviour == Behaviour::Unresponsive {
            return future::pending().await;
        }
        if request.is_watch {
            // A watch first sends the changes since the version that the client has.
            return self.serve_watch(runtime, stream, generation, request.known_version.min(version)).await;
        }
        let as_requested = self.lock().lists_as_requested;
        let text = if as_requested { list_as_requested } else { self.complete_list() };
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", text.len());
        let response = head + &text;
        if self.lock().behaviour == Behaviour::Stalling {
            let sent = response.len() - text.len() / 2;
            let _ = stream.write_all(&response.as_bytes()[..sent]).await;
            return future::pending().await;
        }
        let _ = stream.write_all(response.as_bytes()).await;
    }

    /// Counts a request. Returns the generation of watches and the version at its time; `None` if it is never answered.
    fn accept(&self, request: &Request) -> Option<(u64, u64)> {
        let mut agent = self.lock();
        let ignored = agent.behaviour == Behaviour::Unresponsive || agent.ignore_next > 0;
        agent.ignore_next = agent.ignore_next.saturating_sub(1);
        *if request.is_watch { &mut agent.watch_requests } else { &mut agent.list_requests } += 1;
        (!ignored).then_some((agent.generation, agent.version))
    }

    /// Returns the time after which the request is rejected, if it is.
    fn rejection_delay(&self) -> Option<Micros> {
        let mut agent = self.lock();
        if agent.behaviour == Behaviour::Rejecting {
            return Some(MAX_POLL_WAIT);
        }
        agent.reject_next = agent.reject_next.checked_sub(1)?;
        Some(0)
    }

    /// Waits until the request has been served, and until the start of its answer.
    async fn wait_for_turn(&self, runtime: &Shared) {
        let (served_at, answer_delay) = {
            let mut agent = self.lock();
            agent.queue_end = agent.queue_end.max(runtime.now()) + agent.service_time;
            (agent.queue_end, agent.answer_delay)
        };
        runtime.sleep_until(served_at).await;
        runtime.sleep_until(runtime.now() + answer_delay.draw(runtime)).await;
    }

    /// Sends the changes since `version`, and an empty line every 2 s.
    async fn serve_watch(
        self,
        runtime: Shared,
        mut stream: Box<dyn Stream>,
        generation: u64,
        mut version: u64,
    ) {
        let connections_generation = self.lock().connections_generation;
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n").await;
        let mut last_sent = runtime.now();
        loop {
            runtime.sleep_until(runtime.now() + CHECK_INTERVAL).await;
            if self.lock().connections_generation != connections_generation {
                return;
            }
            if self.lock().generation != generation {
                return future::pending().await;
            }
            let changed = self.lock().version != version;
            let text = match changed {
                true => self.changes(version),
                false if runtime.now() < last_sent + 2_000_000 => continue,
                false => "\n".to_owned(),
            };
            last_sent = runtime.now();
            version = self.lock().version;
            if stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

impl Request {
    async fn read(stream: &mut dyn Stream) -> Request {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).await.is_ok_and(|n| n > 0) {
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let from = head.split("from=").nth(1);
        let version = from.and_then(|rest| rest.split(' ').next()?.parse().ok());
        Request { is_watch: head.contains("watch=1"), known_version: version.unwrap_or(u64::MAX) }
    }
}

/// Starts an agent on host `host_number`. Returns its address and the guard of the host as well.
fn start_agent(
    simulation: &Simulation,
    host_number: u32,
    agent: Agent,
) -> (AgentHandle, SocketAddr, HostGuard) {
    let (host, guard) = simulation.host(host_number, 0);
    let handle = AgentHandle(Arc::new(Mutex::new(agent)));
    let agent_address = SocketAddr::new(address(host_number), 8500);
    let listener = host.listen(agent_address).unwrap();
    let runtime = host as Shared;
    runtime.spawn(Box::pin(handle.clone().serve_all(runtime.clone(), listener))).detach();
    (handle, agent_address, guard)
}

/// A follower on a host of its own.
struct Follower {
    runtime: Shared,
    guard: HostGuard,
    /// Sends a new agent address to the follower.
    address_changes: Sender<SocketAddr>,
    /// What the follower publishes to its driver.
    updates: Arc<EndpointUpdates>,
}

/// Starts a follower of the agent at `agent_address` on host `host_number`.
fn start_follower(
    simulation: &Simulation,
    host_number: u32,
    timeouts: DiscoveryTimeouts,
    agent_address: SocketAddr,
) -> Follower {
    let (host, guard) = simulation.host(host_number, 0);
    let runtime: Shared = host;
    let (address_changes, address_receiver) = async_channel::bounded(4);
    let (driver, updates) = endpoint_updates(runtime.clone());
    let (first_list, _) = async_channel::bounded(1);
    let follower = DiscoveryFollower {
        runtime: runtime.clone(),
        endpoints: EndpointSet::new(Vec::new(), Vec::new()),
        address: agent_address,
        timeouts,
        driver,
        first_list,
        endpoint_memory: MemoryBudget::unlimited().reservation(MemoryOwner::Endpoints),
    };
    let task = follower.run(address_receiver);
    runtime.spawn(Box::pin(task)).detach();
    Follower { runtime, guard, address_changes, updates: Arc::new(updates) }
}

/// Two agents and a follower of the first one, in a simulated network.
pub struct Fixture {
    pub runtime: Shared,
    pub simulation: Simulation,
    pub agents: Vec<(AgentHandle, SocketAddr)>,
    /// Senders of the further followers, which end when theirs is dropped.
    pub other_address_changes: Vec<Sender<SocketAddr>>,
    /// Sends a new agent address to the follower.
    pub address_changes: Sender<SocketAddr>,
    /// What the follower publishes to its driver. The driver takes nothing until the test waits for a version.
    pub updates: Arc<EndpointUpdates>,
    pub guards: Vec<HostGuard>,
}

impl Fixture {
    /// Starts the agents and the follower. `indent` makes the agents indent their lists.
    pub fn new(
        simulation: &Simulation,
        indent: bool,
        timeouts: DiscoveryTimeouts,
        answer_delay: AnswerDelay,
    ) -> Fixture {
        let mut agents = Vec::new();
        let mut guards = Vec::new();
        for host_number in 1..=2 {
            let agent = Agent::new(indent, answer_delay);
            let (handle, agent_address, guard) = start_agent(simulation, host_number, agent);
            agents.push((handle, agent_address));
            guards.push(guard);
        }
        let follower = start_follower(simulation, 3, timeouts, agents[0].1);
        guards.push(follower.guard);
        Fixture {
            runtime: follower.runtime,
            simulation: simulation.clone(),
            agents,
            other_address_changes: Vec::new(),
            address_changes: follower.address_changes,
            updates: follower.updates,
            guards,
        }
    }

    /// Starts a further follower of the same agent. Returns what it publishes.
    pub fn add_follower(&mut self, host_number: u32, timeouts: DiscoveryTimeouts) -> Arc<EndpointUpdates> {
        let follower = start_follower(&self.simulation, host_number, timeouts, self.agents[0].1);
        self.guards.push(follower.guard);
        self.other_address_changes.push(follower.address_changes);
        follower.updates
    }

    /// Starts further agents like the first one, up to `count`.
    pub fn add_agents(&mut self, count: usize) {
        for number in FIRST_FURTHER_AGENT.. {
            if self.agents.len() >= count {
                return;
            }
            let agent = Agent::new(false, self.agent().answer_delay);
            let (handle, agent_address, guard) = start_agent(&self.simulation, number, agent);
            self.agents.push((handle, agent_address));
            self.guards.push(guard);
        }
    }

    /// All agents have this version of the list from now on.
    pub fn change_to_version(&self, version: u64) {
        self.agents.iter().for_each(|(agent, _)| agent.lock().version = version);
    }

    /// Lets the follower use one agent after the other, each for `interval`. The one before retires.
    pub fn change_addresses(&self, interval: Micros) {
        let agents = self.agents.clone();
        let (address_changes, runtime) = (self.address_changes.clone(), self.runtime.clone());
        let task = async move {
            for pair in agents.windows(2) {
                runtime.sleep_until(runtime.now() + interval).await;
                let _ = address_changes.send(pair[1].1).await;
                pair[0].0.lock().retire();
            }
        };
        self.runtime.spawn(Box::pin(task)).detach();
    }

    /// Returns the agent that the follower calls first.
    pub fn agent(&self) -> MutexGuard<'_, Agent> {
        self.agents[0].0.lock()
    }

    pub async fn sleep(&self, span: Micros) {
        self.runtime.sleep_until(self.runtime.now() + span).await;
    }

    /// Stops sending on all open watches, and sets the behaviour for later requests.
    pub fn silence_watches(&self, behaviour: Behaviour) {
        let mut agent = self.agent();
        agent.generation += 1;
        agent.behaviour = behaviour;
    }

    /// Resets all open watches.
    pub fn reset_watches(&self) {
        self.agent().connections_generation += 1;
    }

    /// Waits until the driver gets the list of this version. Returns how long that took.
    pub async fn wait_for_version(&self, version: u64) -> Micros {
        let started = self.runtime.now();
        let expected = backend_id(&format!("s-{version}"));
        let received = async {
            loop {
                let endpoints = self.updates.next().await.endpoints;
                if endpoints.iter().any(|(endpoint, _)| {
                    endpoint.backend == expected && endpoint.availability == Availability::Ready
                }) {
                    return self.runtime.now() - started;
                }
            }
        };
        let timeout = async {
            self.sleep(60_000_000).await;
            panic!("version {version} did not reach the driver within 60 s");
        };
        future::or(received, timeout).await
    }
}

/// Runs a test with a follower that has version 1 and an open watch.
pub fn run_test<F: std::future::Future<Output = ()> + 'static>(
    seed: u64,
    indent: bool,
    test: impl FnOnce(Fixture) -> F + 'static,
) {
    run_test_in_mode(seed, indent, Discovery::Push, test);
}

/// Runs the same as [`run_test`] in either discovery mode.
pub fn run_test_in_mode<F: std::future::Future<Output = ()> + 'static>(
    seed: u64,
    indent: bool,
    mode: Discovery,
    test: impl FnOnce(Fixture) -> F + 'static,
) {
    let simulation = Simulation::new(seed, START);
    let fixture_simulation = simulation.clone();
    let completed = simulation.run(async move {
        let timeouts = DiscoveryTimeouts::new(DRAIN_GRACE, mode);
        let fixture = Fixture::new(&fixture_simulation, indent, timeouts, AnswerDelay::Fixed(0));
        fixture.wait_for_version(1).await;
        fixture.sleep(1_000_000).await;
        test(fixture).await;
    });
    assert!(completed.is_some(), "the simulation did not complete");
}
