//! Connection admission for all frontends of an instance.
//!
//! A frontend requests a [`Permit`] for each connection from the instance's [`ConnectionGate`], and reports the events
//! of the connection through it. `chalkgap_admission` takes the decisions.

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

/// Maximum size of the file of known clients, in bytes. An address takes a few hundred bytes.
const MAX_KNOWN_CLIENTS_BYTES: u64 = 1 << 30;
/// Interval of the periodic checks, in microseconds.
const TICK: Micros = 100_000;
/// Ticks between two checks of the process's limit on descriptors: one second.
const TICKS_PER_LIMIT_CHECK: u64 = 10;
/// Ticks between two writes of the known clients to their file: ten seconds.
const TICKS_PER_STORE: u64 = 100;
/// Minimum number of descriptors for clients; an instance with fewer does not start.
const MIN_CLIENT_DESCRIPTORS: u64 = 8;

struct State {
    admission: Admission,
    stall_detector: StallDetector,
    /// One sender for each connection, dropped to evict the connection or to begin the drain.
    signals: HashMap<ConnId, Sender<()>>,
    /// One sender for each connection in a lingering close, dropped to cut the close short.
    lingering: HashMap<ConnId, Sender<()>>,
    draining: bool,
    next_id: u64,
    log: RejectionLog,
}

/// Admits the client connections of an instance.
pub struct ConnectionGate {
    runtime: Shared,
    telemetry: Arc<Telemetry>,
    state: Mutex<State>,
    reservations: DescriptorReservations,
    max_descriptors: u64,
    descriptor_limit: AtomicU64,
    rejections_in_progress: AtomicU64,
    known_clients_file: Option<PathBuf>,
    minimum_throughput: MinimumThroughput,
}

impl ConnectionGate {
    /// Creates a gate that has no connections yet.
    ///
    /// # Errors
    /// Returns [`BudgetError`] if the reserved descriptors leave too few for clients.
    pub fn new(
        runtime: Shared,
        config: ConnectionGateConfig,
        telemetry: Arc<Telemetry>,
    ) -> Result<Arc<ConnectionGate>, BudgetError> {
        let limit = runtime.descriptors().min(config.max_descriptors);
        let budget = config.reservations.split(limit, MIN_CLIENT_DESCRIPTORS)?;
        tracing::info!(limit, clients = budget.clients, nodes = budget.nodes, "file descriptors divided");
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
            reservations: config.reservations,
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
    /// Returns `Rejection` if the connection is not admitted.
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
                    state.signals.insert(id, signal); // otherwise dropped here, which signals the drain at once
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

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.state().admission.open_by_priority().iter().sum::<u64>() as usize
    }

    /// Records that accepting a connection failed for lack of a resource. Returns the time at which to try again.
    pub fn accept_failed(&self, error: &std::io::Error) -> Micros {
        add(&self.telemetry.accept_failed);
        let now = self.runtime.now();
        let mut state = self.state();
        let retry_at = state.admission.accept_failed(now);
        state.log.accept_failed(now, error);
        retry_at
    }

    /// Signals the drain to all connections, including later ones.
    pub fn drain(&self) {
        let mut state = self.state();
        state.draining = true;
        state.signals.clear();
    }

    /// Loads the stored known clients. A missing or damaged file does not prevent the instance from starting.
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

    /// Stores the known clients in their file, if the settings name one.
    pub async fn store_known_clients(&self) {
        let Some(path) = &self.known_clients_file else { return };
        let bytes = self.state().admission.known_clients.snapshot();
        if let Err(error) = self.runtime.files().replace(path, bytes).await {
            tracing::warn!(path = %path.display(), %error, "known clients not stored");
        }
    }

    /// Runs the periodic checks until the instance stops: detects stalls of the process, follows its descriptor limit,
    /// and stores known clients.
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
        // If the limit is below the reservations, clients get no descriptors. Connections with open requests are kept.
        let no_clients =
            DescriptorBudget { clients: 0, nodes: self.reservations.nodes, spare: self.reservations.spare };
        let budget = self.reservations.split(limit, 1).unwrap_or(no_clients);
        tracing::warn!(old, limit, clients = budget.clients, "file descriptor limit changed");
        let mut state = self.state();
        for id in state.admission.set_budget(now, budget) {
            add(&self.telemetry.connections_evicted);
            state.signals.remove(&id);
        }
        state.end_lingering_for_others();
    }
}

impl State {
    /// Cuts short the lingering closes whose descriptors are needed for other connections.
    fn end_lingering_for_others(&mut self) {
        for id in self.admission.take_lingering_to_abort() {
            self.lingering.remove(&id);
        }
    }
}
