//! An instance: its parts put together, and the handle to it.

use crate::connection_gate::{ConnectionGate, ConnectionGateConfig};
use crate::discovery;
use crate::driver::{Driver, DriverLimits};
use crate::error::StartError;
use crate::fleet::{FleetSnapshot, MembershipParams, MembershipService};
use crate::frontends::grpc::GrpcFrontend;
use crate::frontends::mqtt::MqttFrontend;
use crate::frontends::{self, Acceptor, FrontendContext};
use crate::ledger::LedgerHandle;
use crate::messages::DriverEvent;
use crate::node_list::{EndpointIds, NodeList};
use crate::peers::{Channel, Key, Opened, Opener, ReceiveRates, Sealer, MAX_DATAGRAM};
use crate::settings::{Compiled, ListSource, Settings, SettingsError};
use crate::telemetry::{add, Counts, Telemetry};
use crate::upstream::Connections;
use async_channel::{Receiver, Sender};
use chalkgap_core::Gateway;
use chalkgap_runtime::{Datagrams, Micros, Shared};
use chalkgap_transport::while_alive;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

/// Inputs that may wait for the driver: beyond these, connections wait.
const ROOM: usize = 4096;
/// Messages that may wait to be sent to peers.
const PEER_ROOM: usize = 1024;

/// How long the ledger's last group may take after a drain whose time is up.
const LAST_GROUP: Micros = 500_000;

/// A running ingress. Many may live in one process; they share nothing but the runtime. Dropped, it is killed.
pub struct Instance {
    runtime: Shared,
    grpc: SocketAddr,
    mqtt: Option<SocketAddr>,
    peer: Option<SocketAddr>,
    driver: Sender<DriverEvent>,
    telemetry: Arc<Telemetry>,
    open: Arc<AtomicUsize>,
    gate: Arc<ConnectionGate>,
    desk: Option<Arc<LedgerHandle>>,
    fleet: Option<Arc<MembershipService>>,
    sessions: Option<MqttFrontend>,
    drain: Option<Sender<()>>,
    kill: Option<Sender<()>>,
}

impl Instance {
    /// Starts an instance: binds its sockets, reads the list that it kept, and serves.
    ///
    /// # Errors
    /// See [`StartError`]; nothing runs then.
    #[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
    pub async fn start(settings: Settings, runtime: Shared) -> Result<Instance, StartError> {
        let settings = Arc::new(Compiled::new(settings)?);
        let (front, fleet) = (&settings.settings.front, &settings.settings.fleet);
        let bind = |path, address, error| StartError::Bind { path, address, error };
        let listener =
            runtime.listen(front.listen).map_err(|e| bind("settings.front.listen", front.listen, e))?;
        let socket = match &fleet.peers {
            None => None,
            Some(p) => {
                let socket = runtime.datagrams(p.listen);
                Some(socket.map_err(|e| bind("settings.fleet.peers.listen", p.listen, e))?)
            }
        };
        let mqtt = match &settings.settings.mqtt {
            None => None,
            Some(m) => {
                let bound = runtime.listen(m.listen);
                let listener = bound.map_err(|e| bind("settings.mqtt.listen", m.listen, e))?;
                Some((MqttFrontend::new(&runtime, m.clone()), listener))
            }
        };
        let (born, telemetry) = (runtime.now(), Arc::new(Telemetry::default()));
        let gate =
            ConnectionGate::new(runtime.clone(), ConnectionGateConfig::new(&settings), telemetry.clone());
        let gate = gate.map_err(|e| SettingsError::Values {
            file: "settings".into(),
            complaints: vec![format!("settings.descriptors: {e}")],
        })?;
        gate.load_known_clients().await;
        if let Some((front, _)) = &mqtt {
            front.load_sessions(&runtime).await;
        }
        let opened = LedgerHandle::open(&runtime, &settings, &telemetry).await?;
        let (driver, input) = async_channel::bounded(ROOM);
        let (drain, drained) = async_channel::bounded(1);
        let (kill, killed) = async_channel::bounded(1);
        let name = format!("{}-{born:x}", fleet.me);
        let mut instance = Instance {
            grpc: listener.address(),
            mqtt: mqtt.as_ref().map(|m| m.1.address()),
            peer: socket.as_ref().map(|s| s.address()),
            driver: driver.clone(),
            telemetry: telemetry.clone(),
            open: Arc::default(),
            gate: gate.clone(),
            desk: opened.as_ref().map(|o| o.0.clone()),
            fleet: None,
            sessions: mqtt.as_ref().map(|m| m.0.clone()),
            drain: Some(drain),
            kill: Some(kill),
            runtime: runtime.clone(),
        };
        let (alive, spawner) = (killed.clone(), runtime.clone());
        let start = |task: chalkgap_runtime::BoxFuture<'static, ()>| {
            spawner.spawn(Box::pin(while_alive(alive.clone(), task))).detach();
        };

        let (tell, told) = async_channel::bounded(PEER_ROOM);
        let mut peers = None;
        if let (Some(p), Some(socket)) = (&fleet.peers, socket) {
            let socket: Arc<dyn Datagrams> = Arc::from(socket);
            // Checked with the settings' values; those who build settings in place skip that.
            let complaint = || SettingsError::Values {
                file: "settings".into(),
                complaints: vec!["settings.fleet.peers.key: expected 64 hexadecimal digits".into()],
            };
            let key = Key::parse(&p.key).ok_or_else(complaint)?;
            let view = MembershipService::new(MembershipParams {
                runtime: &runtime,
                socket: &socket,
                peers: p,
                key: key.clone(),
                self_id: fleet.me,
                gateway_count: fleet.ingresses,
                incarnation: born,
                telemetry: &telemetry,
                driver: &driver,
            });
            let sealer = Sealer::new(Channel::Gossip, key.clone(), fleet.me, born);
            let rates = ReceiveRates { gossip: p.per_second, membership: MembershipService::receive_rate(p) };
            let opener = Opener::new(key, fleet.me, fleet.ingresses, rates);
            let whereabouts = match &view {
                Some(view) => Whereabouts::Found(view.clone()),
                None => Whereabouts::Fixed(p.addresses.clone()),
            };
            start(Box::pin(tell_peers(socket.clone(), sealer, whereabouts, told)));
            let ears = (telemetry.clone(), driver.clone(), view.clone());
            start(Box::pin(hear_peers(runtime.clone(), socket, opener, ears)));
            if let Some(view) = &view {
                start(Box::pin(view.clone().run()));
            }
            instance.fleet = view;
            peers = Some(tell);
        }

        let desk = instance.desk.clone();
        if let Some((desk, writer)) = opened {
            desk.tasks(writer, driver.clone(), &killed).into_iter().for_each(start);
        }
        let core = Gateway::new(settings.core(), runtime.random(), born);
        let connections =
            Connections::new(runtime.clone(), settings.clone(), driver.clone(), killed.clone(), &name);
        let limits = &settings.settings.limits;
        let figures = DriverLimits {
            gateway_count: fleet.ingresses,
            self_id: fleet.me,
            max_in_flight: limits.max_open as usize,
            rejection_retry_after: if limits.retry_after { limits.max_retry_after_ms * 1000 } else { 0 },
        };
        let book = EndpointIds::new(settings.zones.clone(), settings.settings.nodes.most);
        let main = Driver::new(runtime.clone(), figures, telemetry.clone(), core, connections, input)
            .with_endpoint_ids(book)
            .with_gossip(peers)
            .with_ledger(desk, settings.clone(), name.clone());
        let nodes = &settings.settings.nodes;
        let mut keep = None;
        if let Some(path) = &nodes.cache {
            if let Some(list) = discovery::cache::load(&runtime, path).await {
                // The channel is new and empty.
                let _ = driver.try_send(DriverEvent::NodeList { list: Box::new(list), cached: true });
            }
            let (sender, lists) = async_channel::bounded(16);
            start(Box::pin(discovery::cache::store_lists(runtime.clone(), path.clone(), lists)));
            keep = Some(sender);
        }
        start(Box::pin(main.with_list_cache(keep).run()));
        match &nodes.source {
            ListSource::File { path, every_ms } => {
                let every = every_ms * 1000;
                let telemetry = telemetry.clone();
                let driver = driver.clone();
                start(Box::pin(discovery::file::watch(
                    runtime.clone(),
                    telemetry,
                    path.clone(),
                    every,
                    driver,
                )));
            }
            ListSource::Roster { address } => {
                let (telemetry, driver, alive) = (telemetry.clone(), driver.clone(), killed.clone());
                let task =
                    discovery::service::watch(runtime.clone(), telemetry, fleet.me, *address, driver, alive);
                start(Box::pin(task));
            }
            ListSource::Handle => {}
        }
        let acceptor = Acceptor {
            runtime: runtime.clone(),
            telemetry,
            drain: drained,
            kill: killed.clone(),
            open: instance.open.clone(),
            gate: gate.clone(),
        };
        let ids = Arc::new(AtomicU64::new(1));
        let context = FrontendContext {
            acceptor: acceptor.clone(),
            settings: settings.clone(),
            driver,
            next_request: ids,
            instance_name: name,
        };
        start(Box::pin(gate.run()));
        if let Some((front, listener)) = mqtt {
            start(Box::pin(front.clone().run(runtime.clone())));
            start(Box::pin(frontends::listen(front, context.clone(), acceptor.clone(), listener)));
        }
        start(Box::pin(frontends::listen(GrpcFrontend, context, acceptor, listener)));
        tracing::info!(ingress = fleet.me, grpc = %instance.grpc, "started");
        Ok(instance)
    }

    /// Where the gRPC front listens.
    pub fn grpc_address(&self) -> SocketAddr {
        self.grpc
    }

    /// Where the MQTT front listens.
    pub fn mqtt_address(&self) -> Option<SocketAddr> {
        self.mqtt
    }

    /// Where messages of peers are received.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.peer
    }

    /// Who is there, as of now; none where the settings have no view.
    pub fn fleet(&self) -> Option<FleetSnapshot> {
        self.fleet.as_ref().map(|f| f.snapshot())
    }

    /// Ends when a later start of this one's number is in the fleet: this one has to go. Never, where there is no view.
    pub fn superseded(&self) -> impl Future<Output = ()> + Send + 'static {
        let over = self.fleet.as_ref().map(|f| f.superseded());
        async move {
            match over {
                Some(over) => over.await,
                None => std::future::pending().await,
            }
        }
    }

    /// Running totals since the start.
    pub fn counts(&self) -> Counts {
        self.telemetry.counts()
    }

    /// Tells a node list, as a source would.
    pub async fn nodes(&self, list: NodeList) {
        let input = DriverEvent::NodeList { list: Box::new(list), cached: false };
        let _ = self.driver.send(input).await; // closed: it has been stopped
    }

    /// Drains: no new connections, clients are told to go elsewhere, what was taken gets its answer. Ends when all
    /// connections are closed, or at `until`; true if none was left.
    pub async fn drain(&mut self, until: Micros) -> bool {
        self.drain = None;
        self.gate.drain();
        if let Some(fleet) = &self.fleet {
            fleet.leave().await;
        }
        self.gate.store_known_clients().await;
        let mut whole = true;
        while whole && self.open.load(Ordering::Relaxed) > 0 {
            let now = self.runtime.now();
            whole = now < until;
            self.runtime.sleep_until((now + 5000).min(until)).await;
        }
        if let Some(front) = &self.sessions {
            front.store_sessions(&self.runtime).await;
        }
        if let Some(desk) = &self.desk {
            // Ends of requests are in no hurry, but now is the last chance to write them down.
            desk.flush(until.max(self.runtime.now() + LAST_GROUP)).await;
        }
        whole
    }

    /// Stops at once: connections break, what was taken is the clients' to try again.
    pub fn stop(&mut self) {
        (self.drain, self.kill) = (None, None);
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Where peers are.
enum Whereabouts {
    /// As settings say, by number.
    Fixed(Vec<SocketAddr>),
    /// As the view has it.
    Found(Arc<MembershipService>),
}

impl Whereabouts {
    fn of(&self, number: u16) -> Option<SocketAddr> {
        match self {
            Whereabouts::Fixed(list) => list.get(usize::from(number)).copied(),
            Whereabouts::Found(fleet) => fleet.address(number),
        }
    }
}

async fn tell_peers(
    socket: Arc<dyn Datagrams>,
    mut sealer: Sealer,
    whereabouts: Whereabouts,
    told: Receiver<(u16, Vec<u8>)>,
) {
    while let Ok((to, message)) = told.recv().await {
        let Some(address) = whereabouts.of(to) else { continue };
        // Lost without a word, as any datagram may be: the module reckons with it.
        let _ = socket.send(&sealer.seal(to, &message), address).await;
    }
}

async fn hear_peers(
    runtime: Shared,
    socket: Arc<dyn Datagrams>,
    mut opener: Opener,
    (telemetry, driver, view): (Arc<Telemetry>, Sender<DriverEvent>, Option<Arc<MembershipService>>),
) {
    let mut buffer = [0; MAX_DATAGRAM + 1];
    loop {
        let (n, source) = match socket.receive(&mut buffer).await {
            Ok(got) => got,
            Err(_) => {
                // A peer that is down comes back as an error of the socket: the next receive is fine.
                runtime.sleep_until(runtime.now() + 1000).await;
                continue;
            }
        };
        match (opener.open(runtime.now(), &buffer[..n]), &view) {
            (Ok(Opened { channel: Channel::Gossip, from, message }), _) => {
                let input = DriverEvent::Gossip { from, bytes: message.to_vec() };
                if driver.send(input).await.is_err() {
                    return;
                }
            }
            (Ok(o), Some(view)) => view.receive(o.from, source, o.message).await,
            (Ok(_), None) | (Err(_), _) => add(&telemetry.peer_dropped),
        }
    }
}
