//! Connection admission for all frontends of an instance.
//!
//! A frontend requests a [`Permit`] for each connection from the one [`ConnectionGate`] and reports on it what happens on
//! the connection. The decisions are those of `chalkgap_admission`.

mod config;
mod permit;
mod rejection_log;

pub use config::ConnectionGateConfig;
pub use permit::{Permit, Rejection, RejectionSlot, RequestEnd};

use crate::telemetry::{add, Telemetry};
use async_channel::Sender;
use chalkgap_admission::minimum_throughput::MinimumThroughput;
use chalkgap_admission::stall_detector::StallDetector;
use chalkgap_admission::{
    Admission, BudgetError, ConnId, Decision, DescriptorBudget, DescriptorReservations, KnownClients,
};
use chalkgap_runtime::{Micros, Shared};
use rejection_log::RejectionLog;
use std::collections::HashMap;
use std::net::IpAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bytes of the file of known clients: a few hundred for each address.
const MAX_KNOWN_CLIENTS_BYTES: u64 = 1 << 30;
/// Time between two looks at stalls and deadlines.
const TICK: Micros = 100_000;
/// The process's limit on descriptors is read once a second.
const TICKS_PER_LIMIT_CHECK: u64 = 10;
/// Known clients are stored every ten seconds.
const TICKS_PER_STORE: u64 = 100;
/// An instance does not start if its descriptors leave fewer than these for clients.
const MIN_CLIENT_DESCRIPTORS: u64 = 8;

struct State {
    admission: Admission,
    stall_detector: StallDetector,
    /// Dropped to evict a connection, or to begin the drain.
    signals: HashMap<ConnId, Sender<()>>,
    /// Dropped to cut a lingering close short.
    lingering: HashMap<ConnId, Sender<()>>,
    draining: bool,
    next_id: u64,
    log: RejectionLog,
}

/// The one gate of an instance.
pub struct ConnectionGate {
    runtime: Shared,
    telemetry: Arc<Telemetry>,
    state: Mutex<State>,
    split: DescriptorReservations,
    max_descriptors: u64,
    descriptor_limit: AtomicU64,
    rejections_in_progress: AtomicU64,
    known_clients_file: Option<PathBuf>,
    minimum_throughput: MinimumThroughput,
}

impl ConnectionGate {
    /// Creates a gate without connections.
    ///
    /// # Errors
    /// The descriptors that are set aside leave too few for clients.
    pub fn new(
        runtime: Shared,
        config: ConnectionGateConfig,
        telemetry: Arc<Telemetry>,
    ) -> Result<Arc<ConnectionGate>, BudgetError> {
        let limit = runtime.descriptors().min(config.max_descriptors);
        let budget = config.split.split(limit, MIN_CLIENT_DESCRIPTORS)?;
        tracing::info!(limit, clients = budget.clients, nodes = budget.nodes, "descriptors");
        let known_clients = KnownClients::new(config.known_clients, config.always_known);
        let state = State {
            admission: Admission::new(config.caps, budget, known_clients),
            stall_detector: StallDetector::new(runtime.now(), TICK),
            signals: HashMap::new(),
            lingering: HashMap::new(),
            draining: false,
            next_id: 1,
            log: RejectionLog::default(),
        };
        Ok(Arc::new(ConnectionGate {
            runtime,
            telemetry,
            state: Mutex::new(state),
            split: config.split,
            max_descriptors: config.max_descriptors,
            descriptor_limit: AtomicU64::new(limit),
            rejections_in_progress: AtomicU64::new(0),
            known_clients_file: config.known_clients_file,
            minimum_throughput: config.minimum_throughput,
        }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides on a connection that was accepted from `address`.
    ///
    /// # Errors
    /// It is rejected.
    pub fn admit(self: &Arc<Self>, address: IpAddr) -> Result<Permit, Rejection> {
        let now = self.runtime.now();
        let mut state = self.state();
        state.admission.accept_succeeded();
        let id = ConnId(state.next_id);
        state.next_id += 1;
        match state.admission.admit(now, id, address) {
            Decision::Accept { evict } => {
                if let Some(evicted) = evict {
                    add(&self.telemetry.connections_evicted);
                    state.signals.remove(&evicted);
                }
                let (signal, receiver) = async_channel::bounded(1);
                if !state.draining {
                    state.signals.insert(id, signal); // else dropped here: the connection sees the drain at once
                }
                state.end_lingering_for_others();
                Ok(Permit { gate: self.clone(), id, signal: receiver })
            }
            Decision::Reject { reason, may_respond, retry_after } => {
                add(&self.telemetry.connections_refused);
                state.log.rejected(now, address, reason);
                let slot = may_respond.then(|| RejectionSlot::take(self)).flatten();
                Err(Rejection { retry_after, slot })
            }
        }
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.state().admission.open_by_priority().iter().sum::<u64>() as usize
    }

    /// Accepting a connection failed for lack of a resource. Returns the time of the next try.
    pub fn accept_failed(&self, error: &std::io::Error) -> Micros {
        add(&self.telemetry.accept_failed);
        let now = self.runtime.now();
        let mut state = self.state();
        let retry_at = state.admission.accept_failed(now);
        state.log.accept_failed(now, error);
        retry_at
    }

    /// Signals the drain to every connection.
    pub fn drain(&self) {
        let mut state = self.state();
        state.draining = true;
        state.signals.clear();
    }

    /// Loads the stored known clients. A file that is missing or damaged does not keep an instance from starting.
    pub async fn load_known_clients(&self) {
        let Some(path) = &self.known_clients_file else { return };
        let bytes = match self.runtime.files().read(path, MAX_KNOWN_CLIENTS_BYTES).await {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => return,
            Err(error) => return tracing::warn!(path = %path.display(), %error, "known clients not read"),
        };
        let now = self.runtime.now();
        match self.state().admission.known_clients.restore(now, &bytes) {
            Ok(known) => tracing::info!(known, "known clients loaded"),
            Err(error) => {
                tracing::warn!(path = %path.display(), %error, "known clients invalid, starting without")
            }
        }
    }

    /// Stores the known clients.
    pub async fn store_known_clients(&self) {
        let Some(path) = &self.known_clients_file else { return };
        let bytes = self.state().admission.known_clients.snapshot();
        if let Err(error) = self.runtime.files().replace(path, bytes).await {
            tracing::warn!(path = %path.display(), %error, "known clients not stored");
        }
    }

    /// Runs for as long as the instance lives: detects stalls, follows the process's descriptor limit, stores known
    /// clients.
    pub async fn run(self: Arc<Self>) {
        for tick in 1u64.. {
            self.runtime.sleep_until(self.runtime.now() + TICK).await;
            let now = self.runtime.now();
            {
                let mut state = self.state();
                state.stall_detector.tick(now);
                state.admission.time_without_stalls(now);
            }
            if tick % TICKS_PER_LIMIT_CHECK == 0 {
                self.check_descriptor_limit(now);
            }
            if tick % TICKS_PER_STORE == 0 {
                self.store_known_clients().await;
            }
        }
    }

    /// Divides the descriptors again if the process's limit has changed.
    fn check_descriptor_limit(&self, now: Micros) {
        let limit = self.runtime.descriptors().min(self.max_descriptors);
        let old = self.descriptor_limit.swap(limit, Ordering::Relaxed);
        if old == limit {
            return;
        }
        // A limit below what is set aside leaves nothing for clients; those with open requests are still served.
        let no_clients = DescriptorBudget { clients: 0, nodes: self.split.nodes, spare: self.split.spare };
        let budget = self.split.split(limit, 1).unwrap_or(no_clients);
        tracing::warn!(old, limit, clients = budget.clients, "the limit of descriptors changed");
        let mut state = self.state();
        for id in state.admission.set_budget(now, budget) {
            add(&self.telemetry.connections_evicted);
            state.signals.remove(&id);
        }
        state.end_lingering_for_others();
    }
}

impl State {
    /// Cuts the lingering closes short whose descriptors are needed for other connections.
    fn end_lingering_for_others(&mut self) {
        for id in self.admission.take_lingering_to_abort() {
            self.lingering.remove(&id);
        }
    }
}
