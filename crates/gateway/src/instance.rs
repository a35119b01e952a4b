//! Starts the parts of an instance, and provides the handle to it.

use crate::connection_gate::{ConnectionGate, ConnectionGateConfig};
use crate::discovery;
use crate::driver::{Driver, DriverLimits};
use crate::error::StartError;
use crate::fleet::{FleetSnapshot, MembershipParams, MembershipService};
use crate::frontends::grpc::GrpcFrontend;
use crate::frontends::mqtt::MqttFrontend;
use crate::frontends::{self, Acceptor, FrontendContext};
use crate::ledger::LedgerHandle;
use crate::memory;
use crate::messages::DriverEvent;
use crate::node_list::{EndpointIds, NodeList};
use crate::peers::{Channel, Key, Opened, Opener, ReceiveRates, Sealer, MAX_DATAGRAM};
use crate::settings::{Compiled, ListSource, Settings, SettingsError};
use crate::telemetry::{add, Counts, Telemetry};
use crate::upstream::Connections;
use async_channel::{Receiver, Sender};
use chalkgap_core::Gateway;
use chalkgap_runtime::{Datagrams, Micros, Shared};
use chalkgap_transport::{while_alive, MemoryBudget};
use futures_lite::future;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

/// Maximum number of events that are queued for the driver. Connections wait while the queue is full.
const DRIVER_QUEUE_CAPACITY: usize = 4096;
/// Maximum number of gossip messages that are queued for sending.
const GOSSIP_QUEUE_CAPACITY: usize = 1024;

/// Time that the ledger's last flush may take after the deadline of a drain has passed, in microseconds.
const LAST_FLUSH_TIMEOUT: Micros = 500_000;

/// A running ingress. Instances in one process share only the runtime. Dropping an instance stops it at once.
pub struct Instance {
    runtime: Shared,
    grpc_address: SocketAddr,
    mqtt_address: Option<SocketAddr>,
    peer_address: Option<SocketAddr>,
    driver: Sender<DriverEvent>,
    telemetry: Arc<Telemetry>,
    /// Number of open client connections and listeners.
    open_connections: Arc<AtomicUsize>,
    gate: Arc<ConnectionGate>,
    ledger: Option<Arc<LedgerHandle>>,
    membership: Option<Arc<MembershipService>>,
    mqtt_frontend: Option<MqttFrontend>,
    /// Dropped to begin the drain.
    drain: Option<Sender<()>>,
    /// Dropped to stop all tasks.
    kill: Option<Sender<()>>,
}

/// Creates the budget of the memory that is held for clients.
fn memory_budget(settings: &Settings, runtime: &Shared) -> Arc<MemoryBudget> {
    let max_clients = runtime.descriptors().min(settings.front.max_connections as u64);
    let guaranteed = max_clients * memory::GUARANTEED_CLIENT_BYTES as u64;
    let limit = settings.memory.limit_mb * 1_000_000;
    MemoryBudget::new(memory::budget_bytes(limit, runtime.resident_bytes() + guaranteed))
}

impl Instance {
    /// Starts an instance: binds its sockets, loads the cached node list, and starts to serve.
    ///
    /// # Errors
    /// Returns [`StartError`] if the settings are invalid, a socket cannot be bound or the ledger cannot be opened. No
    /// task is left running then.
    #[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
    pub async fn start(settings: Settings, runtime: Shared) -> Result<Instance, StartError> {
        let settings = Arc::new(Compiled::new(settings)?);
        let frontend_settings = &settings.settings.front;
        let fleet = &settings.settings.fleet;
        let bind_error = |path, address, error| StartError::Bind { path, address, error };
        let grpc_listener = runtime
            .listen(frontend_settings.listen)
            .map_err(|error| bind_error("settings.front.listen", frontend_settings.listen, error))?;
        let peer_socket = match &fleet.peers {
            None => None,
            Some(peers) => {
                let socket = runtime.datagrams(peers.listen);
                Some(socket.map_err(|error| bind_error("settings.fleet.peers.listen", peers.listen, error))?)
            }
        };
        let mqtt = match &settings.settings.mqtt {
            None => None,
            Some(mqtt_settings) => {
                let listener = runtime
                    .listen(mqtt_settings.listen)
                    .map_err(|error| bind_error("settings.mqtt.listen", mqtt_settings.listen, error))?;
                Some((MqttFrontend::new(&runtime, mqtt_settings.clone()), listener))
            }
        };
        let started_at = runtime.now();
        let memory = memory_budget(&settings.settings, &runtime);
        let telemetry = Arc::new(Telemetry::default());
        let gate =
            ConnectionGate::new(runtime.clone(), ConnectionGateConfig::new(&settings), telemetry.clone());
        let gate = gate.map_err(|error| SettingsError::Values {
            file: "settings".into(),
            complaints: vec![format!("settings.descriptors: {error}")],
        })?;
        gate.load_known_clients().await;
        if let Some((frontend, _)) = &mqtt {
            frontend.load_sessions(&runtime).await;
        }
        let opened_ledger = LedgerHandle::open(&runtime, &settings, &telemetry).await?;
        let (driver, driver_events) = async_channel::bounded(DRIVER_QUEUE_CAPACITY);
        let (drain, drained) = async_channel::bounded(1);
        let (kill, killed) = async_channel::bounded(1);
        let instance_name = format!("{}-{started_at:x}", fleet.me);
        let mut instance = Instance {
            grpc_address: grpc_listener.address(),
            mqtt_address: mqtt.as_ref().map(|(_, listener)| listener.address()),
            peer_address: peer_socket.as_ref().map(|socket| socket.address()),
            driver: driver.clone(),
            telemetry: telemetry.clone(),
            open_connections: Arc::default(),
            gate: gate.clone(),
            ledger: opened_ledger.as_ref().map(|(ledger, _)| ledger.clone()),
            membership: None,
            mqtt_frontend: mqtt.as_ref().map(|(frontend, _)| frontend.clone()),
            drain: Some(drain),
            kill: Some(kill),
            runtime: runtime.clone(),
        };
        let spawn_killed = killed.clone();
        let spawn_runtime = runtime.clone();
        let spawn = |task: chalkgap_runtime::BoxFuture<'static, ()>| {
            spawn_runtime.spawn(Box::pin(while_alive(spawn_killed.clone(), task))).detach();
        };

        let (gossip_sender, gossip_receiver) = async_channel::bounded(GOSSIP_QUEUE_CAPACITY);
        let mut gossip = None;
        if let (Some(peers), Some(socket)) = (&fleet.peers, peer_socket) {
            let socket: Arc<dyn Datagrams> = Arc::from(socket);
            // Settings from a file are checked when they are read; settings that are built in code are not.
            let invalid_key = || SettingsError::Values {
                file: "settings".into(),
                complaints: vec!["settings.fleet.peers.key: expected 64 hexadecimal digits".into()],
            };
            let key = Key::parse(&peers.key).ok_or_else(invalid_key)?;
            let membership = MembershipService::new(MembershipParams {
                runtime: &runtime,
                socket: &socket,
                peers,
                key: key.clone(),
                self_id: fleet.me,
                gateway_count: fleet.ingresses,
                incarnation: started_at,
                telemetry: &telemetry,
                driver: &driver,
            });
            let sealer = Sealer::new(Channel::Gossip, key.clone(), fleet.me, started_at);
            let rates =
                ReceiveRates { gossip: peers.per_second, membership: MembershipService::receive_rate(peers) };
            let opener = Opener::new(key, fleet.me, fleet.ingresses, rates);
            let addresses = match &membership {
                Some(membership) => PeerAddresses::Membership(membership.clone()),
                None => PeerAddresses::Static(peers.addresses.clone()),
            };
            spawn(Box::pin(send_gossip(socket.clone(), sealer, addresses, gossip_receiver)));
            spawn(Box::pin(receive_datagrams(
                runtime.clone(),
                socket,
                opener,
                telemetry.clone(),
                driver.clone(),
                membership.clone(),
            )));
            if let Some(membership) = &membership {
                spawn(Box::pin(membership.clone().run()));
            }
            instance.membership = membership;
            gossip = Some(gossip_sender);
        }

        let ledger = instance.ledger.clone();
        if let Some((ledger, resources)) = opened_ledger {
            ledger.tasks(resources, driver.clone(), &killed).into_iter().for_each(spawn);
        }
        let core = Gateway::new(settings.core(), runtime.random(), started_at);
        let connections = Connections::new(
            runtime.clone(),
            settings.clone(),
            driver.clone(),
            killed.clone(),
            &instance_name,
        );
        let limits = &settings.settings.limits;
        let driver_limits = DriverLimits {
            gateway_count: fleet.ingresses,
            self_id: fleet.me,
            max_in_flight: limits.max_open as usize,
            rejection_retry_after: if limits.retry_after { limits.max_retry_after_ms * 1000 } else { 0 },
        };
        let endpoint_ids = EndpointIds::new(settings.zones.clone(), settings.settings.nodes.most);
        let driver_task =
            Driver::new(runtime.clone(), driver_limits, telemetry.clone(), core, connections, driver_events)
                .with_endpoint_ids(endpoint_ids)
                .with_gossip(gossip)
                .with_ledger(ledger, settings.clone(), instance_name.clone());
        let nodes = &settings.settings.nodes;
        let mut list_cache = None;
        if let Some(path) = &nodes.cache {
            if let Some(list) = discovery::cache::load(&runtime, path).await {
                // Cannot fail: the channel is new and empty.
                let _ = driver.try_send(DriverEvent::NodeList { list: Box::new(list), cached: true });
            }
            let (sender, lists) = async_channel::bounded(16);
            spawn(Box::pin(discovery::cache::store_lists(runtime.clone(), path.clone(), lists)));
            list_cache = Some(sender);
        }
        spawn(Box::pin(driver_task.with_list_cache(list_cache).run()));
        match &nodes.source {
            ListSource::File { path, every_ms } => {
                spawn(Box::pin(discovery::file::watch(
                    runtime.clone(),
                    telemetry.clone(),
                    path.clone(),
                    every_ms * 1000,
                    driver.clone(),
                )));
            }
            ListSource::Roster { address } => {
                spawn(Box::pin(discovery::service::watch(
                    runtime.clone(),
                    telemetry.clone(),
                    fleet.me,
                    *address,
                    driver.clone(),
                    killed.clone(),
                )));
            }
            ListSource::Handle => {}
        }
        let acceptor = Acceptor {
            runtime: runtime.clone(),
            telemetry,
            drain: drained,
            kill: killed.clone(),
            open: instance.open_connections.clone(),
            gate: gate.clone(),
        };
        let context = FrontendContext {
            acceptor: acceptor.clone(),
            settings: settings.clone(),
            driver,
            memory: memory.clone(),
            next_request: Arc::new(AtomicU64::new(1)),
            instance_name,
        };
        spawn(Box::pin(gate.run()));
        spawn(Box::pin(memory::watch(runtime.clone(), memory)));
        if let Some((frontend, listener)) = mqtt {
            spawn(Box::pin(frontend.clone().run(runtime.clone())));
            spawn(Box::pin(frontends::listen(frontend, context.clone(), acceptor.clone(), listener)));
        }
        spawn(Box::pin(frontends::listen(GrpcFrontend, context, acceptor, grpc_listener)));
        tracing::info!(ingress = fleet.me, grpc = %instance.grpc_address, "started");
        Ok(instance)
    }

    /// Returns the address on which gRPC clients are accepted.
    pub fn grpc_address(&self) -> SocketAddr {
        self.grpc_address
    }

    /// Returns the address on which MQTT clients are accepted. `None`: the settings have no MQTT frontend.
    pub fn mqtt_address(&self) -> Option<SocketAddr> {
        self.mqtt_address
    }

    /// Returns the address on which datagrams of peers are received. `None`: the settings have no peers.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.peer_address
    }

    /// Returns the members of the fleet as this instance knows them now. `None`: the settings do not enable membership.
    pub fn fleet(&self) -> Option<FleetSnapshot> {
        self.membership.as_ref().map(|membership| membership.snapshot())
    }

    /// Completes when a process that was started later with the same gateway id has joined the fleet. This instance
    /// must stop then, as the two together could admit twice a gateway's share.
    ///
    /// Never completes if the settings do not enable membership.
    pub fn superseded(&self) -> impl Future<Output = ()> + Send + 'static {
        let superseded = self.membership.as_ref().map(|membership| membership.superseded());
        async move {
            match superseded {
                Some(superseded) => superseded.await,
                None => std::future::pending().await,
            }
        }
    }

    /// Returns the totals since the start.
    pub fn counts(&self) -> Counts {
        self.telemetry.counts()
    }

    /// Replaces the node list, as a source of lists does.
    pub async fn set_node_list(&self, list: NodeList) {
        let event = DriverEvent::NodeList { list: Box::new(list), cached: false };
        let _ = self.driver.send(event).await; // fails only after the instance has stopped
    }

    /// Drains the instance: accepts no new connections, asks clients to reconnect elsewhere, and answers the requests
    /// that were accepted.
    ///
    /// Returns true when all connections are closed, or false if some are still open at `until`, an absolute time in
    /// microseconds.
    pub async fn drain(&mut self, until: Micros) -> bool {
        self.drain = None;
        self.gate.drain();
        if let Some(membership) = &self.membership {
            membership.leave().await;
        }
        self.gate.store_known_clients().await;
        let mut all_closed = true;
        while all_closed && self.open_connections.load(Ordering::Relaxed) > 0 {
            let now = self.runtime.now();
            all_closed = now < until;
            self.runtime.sleep_until((now + 5000).min(until)).await;
        }
        if let Some(frontend) = &self.mqtt_frontend {
            frontend.store_sessions(&self.runtime).await;
        }
        if let Some(ledger) = &self.ledger {
            // Entries that settle requests are not written at once; this is the last chance to make them durable.
            ledger.flush(until.max(self.runtime.now() + LAST_FLUSH_TIMEOUT)).await;
        }
        all_closed
    }

    /// Stops the instance at once: drops its connections and leaves open requests unanswered. Their clients have to
    /// retry.
    pub fn stop(&mut self) {
        self.drain = None;
        self.kill = None;
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Source of the peers' addresses.
enum PeerAddresses {
    /// The addresses in the settings, indexed by gateway id.
    Static(Vec<SocketAddr>),
    /// The addresses that the membership protocol has found.
    Membership(Arc<MembershipService>),
}

impl PeerAddresses {
    fn address(&self, peer: u16) -> Option<SocketAddr> {
        match self {
            PeerAddresses::Static(addresses) => addresses.get(usize::from(peer)).copied(),
            PeerAddresses::Membership(membership) => membership.address(peer),
        }
    }
}

/// Sends the core's gossip to peers. A message to a peer without a known address is dropped.
async fn send_gossip(
    socket: Arc<dyn Datagrams>,
    mut sealer: Sealer,
    addresses: PeerAddresses,
    gossip: Receiver<(u16, Vec<u8>)>,
) {
    while let Ok((to, message)) = gossip.recv().await {
        let Some(address) = addresses.address(to) else { continue };
        // A send error counts as a lost datagram, which the core tolerates.
        let _ = socket.send(&sealer.seal(to, &message), address).await;
    }
}

/// Receives the datagrams of peers: passes gossip to the driver, and membership messages to the membership service.
async fn receive_datagrams(
    runtime: Shared,
    socket: Arc<dyn Datagrams>,
    mut opener: Opener,
    telemetry: Arc<Telemetry>,
    driver: Sender<DriverEvent>,
    membership: Option<Arc<MembershipService>>,
) {
    let mut buffer = [0; MAX_DATAGRAM + 1];
    loop {
        let (length, source) = match socket.receive(&mut buffer).await {
            Ok(received) => received,
            Err(_) => {
                // The socket reports an unreachable peer as an error of `receive`; a later call can succeed.
                runtime.sleep_until(runtime.now() + 1000).await;
                continue;
            }
        };
        future::yield_now().await; // datagrams may arrive without end
        match (opener.open(runtime.now(), &buffer[..length]), &membership) {
            (Ok(Opened { channel: Channel::Gossip, from, message }), _) => {
                let event = DriverEvent::Gossip { from, bytes: message.to_vec() };
                if driver.send(event).await.is_err() {
                    return;
                }
            }
            (Ok(opened), Some(membership)) => membership.receive(opened.from, source, opened.message).await,
            (Ok(_), None) | (Err(_), _) => add(&telemetry.peer_dropped),
        }
    }
}
