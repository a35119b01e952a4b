//! An ingress of the platform: its parts put together, and the handle to it.

use crate::answer::Budget;
use crate::backend::{self, Connections};
use crate::config::Config;
use crate::discovery;
use crate::ending::Ends;
use crate::front::{FrontendContext, Resp};
use crate::list::Roster;
use crate::peers;
use crate::request::Grammar;
use async_channel::{Receiver, Sender};
use chalkgap::frontend::{
    listen, Acceptor, ConnectionGate, ConnectionGateConfig, Driver, DriverEvent, DriverLimits,
};
use chalkgap::telemetry::{Counts, Telemetry};
use chalkgap_admission::minimum_throughput::MinimumThroughput;
use chalkgap_admission::{BudgetError, Caps, DescriptorReservations, GivesWay, KnownClientLimits};
use chalkgap_core::Gateway;
use chalkgap_runtime::{Datagrams, Micros, Shared};
use chalkgap_transport::while_alive;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

/// Inputs that may wait for the driver: beyond these, connections wait.
const ROOM: usize = 1024;
/// Messages that may wait to be sent to peers.
const PEER_ROOM: usize = 256;
/// How long the first list of discovery may keep clients waiting.
const FIRST_LIST: Micros = 500_000;
/// The part of the memory that answers of backends may take while they come in: 1 by this. They are held once more on
/// their way out.
const ANSWERS: u64 = 5;
/// Descriptors that a runtime, listeners, discovery and standard streams need.
const OWN: u64 = 20;

/// Why an ingress does not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address cannot be bound.
    #[error("{what}: {address} cannot be bound: {error}")]
    Bind {
        /// What for.
        what: &'static str,
        /// The address.
        address: SocketAddr,
        /// The system's word.
        error: std::io::Error,
    },
    /// Too few descriptors.
    #[error("limits.sockets: {0}")]
    Sockets(#[from] BudgetError),
}

/// A running ingress. Dropped, it is killed.
pub struct Ingress {
    runtime: Shared,
    address: SocketAddr,
    telemetry: Arc<Telemetry>,
    open: Arc<AtomicUsize>,
    gate: Arc<ConnectionGate>,
    moves: Sender<SocketAddr>,
    ends: Ends,
    overtime: Arc<AtomicU64>,
    drain: Option<Sender<()>>,
    _kill: Sender<()>,
}

/// How descriptors are split: clients hold a third at most for requests, and backends get as many; all else is for
/// connections that are kept, or never ask anything.
fn split(sockets: u64) -> DescriptorReservations {
    let spare = (sockets / 20).max(8);
    let nodes = sockets * 35 / 100;
    let clients = sockets.saturating_sub(nodes + spare + OWN);
    DescriptorReservations { listeners: OWN, nodes, peers: 0, files: 0, spare, max_clients: clients }
}

fn gate(sockets: u64) -> ConnectionGateConfig {
    ConnectionGateConfig {
        split: split(sockets),
        most: sockets,
        // All clients come by one front, from addresses that say nothing: nobody is told apart by them.
        caps: Caps {
            per_address: u32::MAX,
            per_prefix: u32::MAX,
            per_second: 1e9,
            handshakes: u32::MAX / 2,
            handshakes_per_address: u32::MAX / 2,
            reserve: 0.0,
            preferred: 0.0,
            remembered: 64,
            words_per_s: 200.0,
            // Whoever has an open request stays. Of the rest the longest idle goes, however short that is: it costs its
            // client a connection, where a newcomer that is refused loses a request.
            gives_way: Some(GivesWay { from: sockets / 4, silent: 50_000, idle: 50_000 }),
        },
        places: KnownClientLimits { max_addresses: 64, max_per_account: 4, remember_for: 60_000_000 },
        named: Vec::new(),
        snapshot: None,
        pace: MinimumThroughput { grace_period: 2_000_000, bytes_per_second: 1 },
    }
}

impl Ingress {
    /// Starts an ingress: binds its sockets, takes the list that it knew, and serves.
    ///
    /// # Errors
    /// See [`StartError`]; nothing runs then.
    pub async fn start(config: Config, runtime: Shared) -> Result<Ingress, StartError> {
        let terms = Arc::new(config.terms.clone());
        let bind = |what, address, error| StartError::Bind { what, address, error };
        let telemetry = Arc::new(Telemetry::default());
        let gate = ConnectionGate::new(runtime.clone(), gate(config.sockets), telemetry.clone())?;
        let socket: Option<Arc<dyn Datagrams>> =
            match config.peer_listen.filter(|_| terms.settings.limits.gossip) {
                None => None,
                Some(at) => Some(Arc::from(runtime.datagrams(at).map_err(|e| bind("peer_listen", at, e))?)),
            };
        let (driver, input) = async_channel::bounded(ROOM);
        let (drain, drained) = async_channel::bounded(1);
        let (kill, killed) = async_channel::bounded(1);
        let (moves, moved) = async_channel::bounded(4);
        let start = |task| spawn(&runtime, &killed, task);

        let mut told = None;
        if let Some(socket) = socket {
            let (tell, messages) = async_channel::bounded(PEER_ROOM);
            told = Some(tell);
            start(Box::pin(peers::tell(socket.clone(), config.peers.clone(), messages)));
            let per_second = terms.settings.limits.gossip_receive_rate;
            let (runtime, telemetry) = (runtime.clone(), telemetry.clone());
            let hear =
                peers::hear(runtime, socket, config.peers.clone(), per_second, telemetry, driver.clone());
            start(Box::pin(hear));
        }

        let connections = Connections::new(
            runtime.clone(),
            driver.clone(),
            backend::DriverLimits {
                report: terms.load_report_fields.clone(),
                connect_timeout: terms.connect_timeout,
                // Well before the backend does it: a request that crosses its closing may have run.
                idle: terms.keepalive * 6 / 10,
                answers: Budget::new((config.memory / ANSWERS) as usize),
            },
            split(config.sockets).nodes as usize,
            killed.clone(),
        );
        let limits = &terms.settings.limits;
        let figures = DriverLimits {
            gateway_count: terms.settings.gateways,
            self_id: terms.settings.self_id.0,
            max_in_flight: limits.max_in_flight as usize,
            rejection_retry_after: if limits.retry_after { limits.max_retry_after } else { 0 },
        };
        let core = Gateway::new(terms.settings.clone(), config.seed, runtime.now());
        let main =
            Driver::new(runtime.clone(), figures, telemetry.clone(), core, connections, input).telling(told);
        let mut roster = Roster::new(terms.zone_names.clone(), terms.machine_kinds.clone());
        if let Some(list) = &config.known {
            let (kind, lines) = roster.known(runtime.now(), list);
            let _ = driver.try_send(DriverEvent::Endpoints { update: kind, endpoints: lines });
            // the channel is new and empty
        }
        start(Box::pin(main.run()));
        let asked = terms.settings.discovery == chalkgap_core::Discovery::Poll;
        let (first, listed) = async_channel::bounded::<()>(1);
        start(Box::pin(discovery::follow(
            runtime.clone(),
            roster,
            config.discovery,
            discovery::Waits::within(terms.settings.rules.drain_grace, asked),
            moved,
            driver.clone(),
            first,
        )));
        // Clients come as soon as it listens: it does so with a list that is not old, if one is to be had at once.
        let patience = runtime.sleep_until(runtime.now() + FIRST_LIST);
        let fresh = async {
            let _ = listed.recv().await;
            true
        };
        let late = async {
            patience.await;
            false
        };
        let list = if futures_lite::future::or(fresh, late).await { "discovery's" } else { "known" };

        let listener = runtime.listen(config.listen).map_err(|e| bind("listen", config.listen, e))?;
        let address = listener.address();
        let (open, overtime) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicU64::new(0)));
        let longest = terms.settings.classes.iter().map(|c| c.deadline).max();
        let acceptor = Acceptor {
            runtime: runtime.clone(),
            telemetry: telemetry.clone(),
            drain: drained,
            kill: killed.clone(),
            open: open.clone(),
            gate: gate.clone(),
        };
        let context = FrontendContext {
            runtime: runtime.clone(),
            telemetry: telemetry.clone(),
            driver,
            grammar: Arc::new(Grammar::new(&terms)),
            ids: Arc::new(AtomicU64::new(1)),
            open: Arc::default(),
            overtime: overtime.clone(),
        };
        start(Box::pin(gate.clone().watch()));
        start(Box::pin(listen(Resp, context, acceptor, listener)));
        tracing::info!(ingress = config.name, list, %address, "started");
        Ok(Ingress {
            runtime,
            address,
            telemetry,
            open,
            gate,
            moves,
            ends: Ends::within(longest.unwrap_or_default()),
            overtime,
            drain: Some(drain),
            _kill: kill,
        })
    }

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Running totals since the start.
    pub fn counts(&self) -> Counts {
        self.telemetry.counts()
    }

    /// How many of clients' connections are open.
    pub fn open(&self) -> usize {
        self.gate.open()
    }

    /// Takes a new configuration: discovery's address. All else is for the next start.
    pub fn reload(&self, config: &Config) {
        let _ = self.moves.try_send(config.discovery); // full: a later one follows
    }

    /// Ends in order: clients are taken a little longer, then connections are closed between requests, what was taken is
    /// answered, at the latest when the process is about to be killed.
    pub async fn drain(&mut self) {
        let now = self.runtime.now();
        self.overtime.store(now + self.ends.overtime, Ordering::Relaxed);
        self.runtime.sleep_until(now + self.ends.taken).await;
        self.drain = None;
        self.gate.drain();
        let until = now + self.ends.process;
        while self.open.load(Ordering::Relaxed) > 0 && self.runtime.now() < until {
            self.runtime.sleep_until(self.runtime.now() + 5000).await;
        }
    }
}

fn spawn(runtime: &Shared, killed: &Receiver<()>, task: chalkgap_runtime::BoxFuture<'static, ()>) {
    runtime.spawn(Box::pin(while_alive(killed.clone(), task))).detach();
}
