//! An ingress of the platform: starts all tasks and provides the handle to them.

use crate::backend::{BackendConnections, BackendSettings};
use crate::config::Config;
use crate::connection_limits::{descriptor_split, gate_config};
use crate::discovery::{DiscoveryFollower, DiscoveryTimeouts};
use crate::endpoint_set::{EndpointChange, EndpointSet};
use crate::frontend::{FrontendContext, RespFrontend};
use crate::gossip::{self, OutgoingGossip};
use crate::memory_plan::{budget_bytes, FixedMemory};
use crate::request::ForwardedCommand;
use crate::request_parser::RequestParser;
use crate::shutdown::ShutdownTimeouts;
use async_channel::{Receiver, Sender};
use chalkgap::frontend::{
    endpoint_updates, listen, Acceptor, ConnectionGate, Driver, DriverEvent, DriverLimits, EndpointPublisher,
};
use chalkgap::memory;
use chalkgap::telemetry::{Counts, Telemetry};
use chalkgap_admission::BudgetError;
use chalkgap_core::Gateway;
use chalkgap_runtime::{BoxFuture, Datagrams, Micros, Shared};
use chalkgap_transport::{while_alive, MemoryBudget, MemoryOwner};
use futures_lite::future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

/// Capacity of the driver's event queue. Connections wait while it is full.
const DRIVER_QUEUE_CAPACITY: usize = 1024;
/// Capacity of the queue of messages to peers.
const GOSSIP_QUEUE_CAPACITY: usize = 256;
/// Capacity of the queue of changes of discovery's address: only the latest one matters.
const ADDRESS_QUEUE_CAPACITY: usize = 1;
/// How long a starting ingress waits for the first list from discovery before it accepts clients.
const FIRST_LIST_TIMEOUT_MICROS: Micros = 500_000;
/// Interval at which a graceful shutdown checks whether all connections have been closed.
const DRAIN_CHECK_MICROS: Micros = 5000;

/// Why an ingress cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address cannot be bound.
    #[error("{what}: {address} cannot be bound: {error}")]
    Bind {
        /// The configuration key of the address.
        what: &'static str,
        /// The address that cannot be bound.
        address: SocketAddr,
        /// The operating system's error.
        error: std::io::Error,
    },
    /// The configured limit of file descriptors (`limits.sockets`) is too low.
    #[error("limits.sockets: {0}")]
    Sockets(#[from] BudgetError),
}

/// A running ingress. Dropping it ends all its tasks.
pub struct Ingress {
    runtime: Shared,
    address: SocketAddr,
    telemetry: Arc<Telemetry>,
    /// Number of client connections being served, plus one while the listener is open.
    open_connections: Arc<AtomicUsize>,
    gate: Arc<ConnectionGate>,
    discovery_addresses: Sender<SocketAddr>,
    shutdown: ShutdownTimeouts,
    fail_pending_at: Arc<AtomicU64>,
    /// Dropped to close the listener, which ends the acceptance of clients.
    accept: Option<Sender<()>>,
    _kill: Sender<()>,
}

/// What the tasks of an ingress are started with.
struct Startup {
    config: Config,
    runtime: Shared,
    telemetry: Arc<Telemetry>,
    /// Limits what is held for clients, backends and discovery.
    memory: Arc<MemoryBudget>,
    driver: Sender<DriverEvent<ForwardedCommand>>,
    /// Closed when the ingress is dropped.
    killed: Receiver<()>,
}

/// The source of the endpoints with which an ingress started to accept clients.
#[derive(Clone, Copy)]
enum FirstEndpoints {
    Discovery,
    Cached,
}

impl FirstEndpoints {
    fn as_str(self) -> &'static str {
        match self {
            FirstEndpoints::Discovery => "discovery",
            FirstEndpoints::Cached => "cached",
        }
    }
}

impl Ingress {
    /// Starts an ingress: binds the gossip socket, applies the cached endpoints, waits up to 0.5 s for the first list from
    /// discovery, then accepts clients.
    ///
    /// # Errors
    /// [`StartError::Bind`] if an address cannot be bound, [`StartError::Sockets`] if the limit of descriptors is too low. All
    /// tasks that were started have then been cancelled.
    pub async fn start(config: Config, runtime: Shared) -> Result<Ingress, StartError> {
        let telemetry = Arc::new(Telemetry::default());
        let gate_config = gate_config(config.descriptors);
        let gate = ConnectionGate::new(runtime.clone(), gate_config, telemetry.clone())?;
        let gossip_socket = bind_gossip(&config, &runtime)?;
        let (driver, events) = async_channel::bounded(DRIVER_QUEUE_CAPACITY);
        let (accept, drained) = async_channel::bounded(1);
        let (kill, killed) = async_channel::bounded(1);
        let (discovery_addresses, new_addresses) = async_channel::bounded(ADDRESS_QUEUE_CAPACITY);
        let memory = memory_budget(&config, &runtime);
        let startup = Startup { config, runtime, telemetry, memory, driver, killed };

        let outgoing_gossip = gossip_socket.map(|socket| startup.start_gossip(socket));
        let (endpoints, publisher) = startup.start_driver(events, outgoing_gossip);
        let first_list = startup.start_discovery(endpoints, publisher, new_addresses);
        // Clients connect as soon as the ingress listens, so it first waits for current endpoints, for at most
        // `FIRST_LIST_TIMEOUT_MICROS`.
        let first_endpoints = startup.await_first_list(first_list).await;

        let open_connections = Arc::new(AtomicUsize::new(0));
        let fail_pending_at = Arc::new(AtomicU64::new(0));
        let acceptor = Acceptor {
            runtime: startup.runtime.clone(),
            telemetry: startup.telemetry.clone(),
            drain: drained,
            kill: startup.killed.clone(),
            open: open_connections.clone(),
            gate: gate.clone(),
        };
        let address = startup.start_frontend(acceptor, fail_pending_at.clone())?;
        let Startup { config, runtime, telemetry, .. } = startup;
        // The address is the last field: tests of the command read it up to the end of the line.
        tracing::info!(ingress = config.name, endpoints = first_endpoints.as_str(), %address, "started");
        let longest_deadline = config.deployment.settings.classes.iter().map(|class| class.deadline).max();
        Ok(Ingress {
            runtime,
            address,
            telemetry,
            open_connections,
            gate,
            discovery_addresses,
            shutdown: ShutdownTimeouts::new(longest_deadline.unwrap_or_default()),
            fail_pending_at,
            accept: Some(accept),
            _kill: kill,
        })
    }

    /// Returns the address on which clients are accepted.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> Counts {
        self.telemetry.counts()
    }

    /// Returns the number of open client connections.
    pub fn open_connections(&self) -> usize {
        self.gate.open_connections()
    }

    /// Applies the discovery address of a new configuration. All other changes need a restart.
    pub fn reload(&self, config: &Config) {
        // Replaces a change that is not applied yet. Fails only when the follower of discovery has stopped.
        let _ = self.discovery_addresses.force_send(config.discovery);
    }

    /// Shuts down gracefully, see [`ShutdownTimeouts`]. Accepts clients for 0.45 s more, then closes each connection once its
    /// requests are answered. Shortly before the platform kills the process, requests that are still pending are answered as
    /// failed.
    pub async fn drain(&mut self) {
        let now = self.runtime.now();
        self.fail_pending_at.store(now + self.shutdown.fail_pending, Ordering::Relaxed);
        self.runtime.sleep_until(now + self.shutdown.accept).await;
        self.accept = None;
        self.gate.drain();
        let exit_at = now + self.shutdown.exit;
        while self.open_connections.load(Ordering::Relaxed) > 0 && self.runtime.now() < exit_at {
            self.runtime.sleep_until(self.runtime.now() + DRAIN_CHECK_MICROS).await;
        }
    }
}

/// Creates the budget of the memory that is held for peers.
fn memory_budget(config: &Config, runtime: &Shared) -> Arc<MemoryBudget> {
    let fixed = FixedMemory {
        resident_bytes: runtime.resident_bytes(),
        descriptors: config.descriptors,
        max_customers: config.deployment.settings.max_customers,
    };
    let bytes = budget_bytes(config.memory_bytes, &fixed);
    tracing::info!(
        limit = config.memory_bytes,
        resident = fixed.resident_bytes,
        for_peers = bytes,
        "memory divided"
    );
    MemoryBudget::new(bytes)
}

/// Binds the gossip socket. Returns `None` if the settings disable gossip or the configuration has no address for it.
fn bind_gossip(config: &Config, runtime: &Shared) -> Result<Option<Arc<dyn Datagrams>>, StartError> {
    if !config.deployment.settings.limits.gossip {
        return Ok(None);
    }
    let Some(address) = config.peer_listen else { return Ok(None) };
    match runtime.datagrams(address) {
        Ok(socket) => Ok(Some(Arc::from(socket))),
        Err(error) => Err(StartError::Bind { what: "peer_listen", address, error }),
    }
}

impl Startup {
    fn spawn(&self, task: BoxFuture<'static, ()>) {
        self.runtime.spawn(Box::pin(while_alive(self.killed.clone(), task))).detach();
    }

    /// Starts sending and receiving gossip. Returns the channel for messages to be sent.
    fn start_gossip(&self, socket: Arc<dyn Datagrams>) -> Sender<OutgoingGossip> {
        let peers = &self.config.peers;
        let (outgoing, messages) = async_channel::bounded(GOSSIP_QUEUE_CAPACITY);
        self.spawn(Box::pin(gossip::send(socket.clone(), peers.clone(), messages)));
        let receive = gossip::receive(
            self.runtime.clone(),
            socket,
            peers.clone(),
            self.config.deployment.settings.limits.gossip_receive_rate,
            self.telemetry.clone(),
            self.driver.clone(),
        );
        self.spawn(Box::pin(receive));
        outgoing
    }

    /// Starts the driver with the cached endpoints. Returns the endpoint set for discovery to update, and its way to the driver.
    fn start_driver(
        &self,
        events: Receiver<DriverEvent<ForwardedCommand>>,
        outgoing_gossip: Option<Sender<OutgoingGossip>>,
    ) -> (EndpointSet, EndpointPublisher) {
        let deployment = &self.config.deployment;
        let limits = &deployment.settings.limits;
        let driver_limits = DriverLimits {
            gateway_count: deployment.settings.gateways,
            self_id: deployment.settings.self_id.0,
            max_in_flight: limits.max_in_flight as usize,
            rejection_retry_after: if limits.retry_after { limits.max_retry_after } else { 0 },
        };
        let connections = self.backend_connections();
        let core = Gateway::new(deployment.settings.clone(), self.config.seed, self.runtime.now());
        let telemetry = self.telemetry.clone();
        let driver = Driver::new(self.runtime.clone(), driver_limits, telemetry, core, connections, events);
        let (publisher, updates) = endpoint_updates(self.runtime.clone());
        let driver = driver.with_endpoint_updates(updates).with_gossip(outgoing_gossip);
        let mut endpoint_set =
            EndpointSet::new(deployment.zone_names.clone(), deployment.machine_kinds.clone());
        if let Some(list) = &self.config.cached_endpoints {
            let EndpointChange { update, endpoints } = endpoint_set.restore_cached(self.runtime.now(), list);
            publisher.publish(update, endpoints);
        }
        self.spawn(Box::pin(driver.run()));
        (endpoint_set, publisher)
    }

    fn backend_connections(&self) -> BackendConnections {
        let deployment = &self.config.deployment;
        let settings = BackendSettings {
            load_report_fields: deployment.load_report_fields.clone(),
            connect_timeout: deployment.connect_timeout,
            // Well before the backend closes the connection: a request that is sent while the backend closes it may have run.
            idle_timeout: deployment.keepalive * 6 / 10,
            memory: self.memory.clone(),
        };
        let max_connections = descriptor_split(self.config.descriptors).nodes as usize;
        let runtime = self.runtime.clone();
        BackendConnections::new(runtime, self.driver.clone(), settings, max_connections, self.killed.clone())
    }

    /// Starts to follow discovery. The returned channel is closed when the first list has been applied.
    fn start_discovery(
        &self,
        endpoints: EndpointSet,
        publisher: EndpointPublisher,
        new_addresses: Receiver<SocketAddr>,
    ) -> Receiver<()> {
        let settings = &self.config.deployment.settings;
        let (first_list, first_list_applied) = async_channel::bounded::<()>(1);
        let follower = DiscoveryFollower {
            runtime: self.runtime.clone(),
            endpoints,
            address: self.config.discovery,
            timeouts: DiscoveryTimeouts::new(settings.rules.drain_grace, settings.discovery),
            driver: publisher,
            first_list,
            endpoint_memory: self.memory.reservation(MemoryOwner::Endpoints),
        };
        self.spawn(Box::pin(follower.run(new_addresses)));
        first_list_applied
    }

    /// Waits for the first list from discovery, for at most `FIRST_LIST_TIMEOUT_MICROS`.
    async fn await_first_list(&self, first_list_applied: Receiver<()>) -> FirstEndpoints {
        let timeout = self.runtime.sleep_until(self.runtime.now() + FIRST_LIST_TIMEOUT_MICROS);
        let applied = async {
            // No message is sent on this channel: `recv` returns when the channel is closed.
            let _ = first_list_applied.recv().await;
            FirstEndpoints::Discovery
        };
        let timed_out = async {
            timeout.await;
            FirstEndpoints::Cached
        };
        future::or(applied, timed_out).await
    }

    /// Starts to accept clients. Returns the bound address.
    fn start_frontend(
        &self,
        acceptor: Acceptor,
        fail_pending_at: Arc<AtomicU64>,
    ) -> Result<SocketAddr, StartError> {
        let address = self.config.listen;
        let listener = self.runtime.listen(address).map_err(|error| StartError::Bind {
            what: "listen",
            address,
            error,
        })?;
        let address = listener.address();
        let context = FrontendContext {
            runtime: self.runtime.clone(),
            telemetry: self.telemetry.clone(),
            driver: self.driver.clone(),
            parser: Arc::new(RequestParser::new(&self.config.deployment)),
            memory: self.memory.clone(),
            next_request_id: Arc::new(AtomicU64::new(1)),
            open_ids: Arc::default(),
            fail_pending_at,
        };
        self.spawn(Box::pin(acceptor.gate.clone().run()));
        self.spawn(Box::pin(memory::watch(self.runtime.clone(), self.memory.clone())));
        self.spawn(Box::pin(listen(RespFrontend, context, acceptor, listener)));
        Ok(address)
    }
}
