//! Connection admission, wired: one decider for all fronts of an instance. A front asks for a [`Permit`] for each
//! connection and tells what happens on it; dropped, the permit says that the connection is gone.

use crate::settings::Compiled;
use crate::telemetry::{add, Telemetry};
use async_channel::{Receiver, Sender};
use chalkgap_admission::minimum_throughput::MinimumThroughput;
use chalkgap_admission::stall_detector::StallDetector;
use chalkgap_admission::{
    Admission, BudgetError, Caps, CidrBlock, ConnId, DescriptorBudget, DescriptorReservations,
    KnownClientLimits, KnownClients, Offer, Reason,
};
use chalkgap_runtime::{Micros, Shared};
use futures_lite::future;
use std::collections::HashMap;
use std::future::Future;
use std::net::IpAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bytes of a snapshot: some hundred for each known address.
const MOST_SNAPSHOT: u64 = 1 << 30;
const TICK: Micros = 100_000;
/// Ticks between two looks at the process's limit, and between two snapshots.
const LOOK: u64 = 10;
const KEEP: u64 = 100;

struct State {
    decider: Admission,
    pulse: StallDetector,
    /// Dropped to tell a connection that it is to go, or that the drain begins.
    signals: HashMap<ConnId, Sender<()>>,
    /// Dropped to tell one whose peer's end is waited for that it is waited for no longer.
    lingering: HashMap<ConnId, Sender<()>>,
    draining: bool,
    next: u64,
    /// Refusals since the last log line, and when that was.
    unsaid: [u64; 5],
    said: Micros,
}

/// The one gate of an instance.
pub struct ConnectionGate {
    runtime: Shared,
    telemetry: Arc<Telemetry>,
    state: Mutex<State>,
    split: DescriptorReservations,
    most: u64,
    limit: AtomicU64,
    refusing: AtomicU64,
    snapshot: Option<PathBuf>,
    pace: MinimumThroughput,
}

/// A connection that was let in.
pub struct Permit {
    gate: Arc<ConnectionGate>,
    id: ConnId,
    /// Its other end is dropped when the connection is to go, or the drain begins.
    pub signal: Receiver<()>,
}

/// A connection that was not.
pub struct Rejection {
    /// When to come back.
    pub retry_after: Micros,
    /// Held while the client is told; none: it is just closed.
    pub slot: Option<RejectionSlot>,
}

/// A descriptor for refusing.
pub struct RejectionSlot(Arc<ConnectionGate>);

impl Drop for RejectionSlot {
    fn drop(&mut self) {
        self.0.refusing.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The least that clients must be left with for an instance to start.
const LEAST_CLIENTS: u64 = 8;

/// What a gate goes by.
pub struct ConnectionGateConfig {
    /// How descriptors are split.
    pub split: DescriptorReservations,
    /// The most descriptors, where that is less than the process may have.
    pub most: u64,
    /// The decider's limits.
    pub caps: Caps,
    /// Who is known, and for how long.
    pub places: KnownClientLimits,
    /// Blocks of addresses that are always known.
    pub named: Vec<CidrBlock>,
    /// Where known addresses are kept.
    pub snapshot: Option<PathBuf>,
    /// What counts as too slow.
    pub pace: MinimumThroughput,
}

impl ConnectionGateConfig {
    /// What the settings say.
    pub(crate) fn new(settings: &Compiled) -> ConnectionGateConfig {
        let (a, d, front) =
            (&settings.settings.admission, &settings.settings.descriptors, &settings.settings.front);
        ConnectionGateConfig {
            split: DescriptorReservations {
                listeners: d.listeners,
                nodes: d.nodes,
                peers: d.peers,
                files: d.files,
                spare: d.spare,
                max_clients: front.max_connections as u64,
            },
            most: u64::MAX,
            caps: Caps {
                per_address: a.per_address,
                per_prefix: a.per_prefix,
                per_second: a.per_second,
                handshakes: a.handshakes,
                handshakes_per_address: a.handshakes_per_address,
                reserve: a.reserve,
                preferred: a.preferred,
                remembered: a.known.max(1024),
                words_per_s: a.words_per_s,
                gives_way: None,
            },
            places: KnownClientLimits {
                max_addresses: a.known,
                max_per_account: a.known_per_account,
                remember_for: a.known_for_s.saturating_mul(1_000_000),
            },
            named: settings.named.clone(),
            snapshot: a.snapshot.clone(),
            pace: MinimumThroughput {
                grace_period: front.patience_ms * 1000,
                bytes_per_second: a.bytes_per_s,
            },
        }
    }
}

impl ConnectionGate {
    /// A gate with nothing open.
    ///
    /// # Errors
    /// What is set aside leaves clients too little.
    pub fn new(
        runtime: Shared,
        config: ConnectionGateConfig,
        telemetry: Arc<Telemetry>,
    ) -> Result<Arc<ConnectionGate>, BudgetError> {
        let ConnectionGateConfig { split, most, caps, places, named, snapshot, pace } = config;
        let limit = runtime.descriptors().min(most);
        let budget = split.split(limit, LEAST_CLIENTS)?;
        tracing::info!(limit, clients = budget.clients, nodes = budget.nodes, "descriptors");
        let decider = Admission::new(caps, budget, KnownClients::new(places, named));
        let state = State {
            decider,
            pulse: StallDetector::new(runtime.now(), TICK),
            signals: HashMap::new(),
            lingering: HashMap::new(),
            draining: false,
            next: 1,
            unsaid: [0; 5],
            said: 0,
        };
        Ok(Arc::new(ConnectionGate {
            runtime,
            telemetry,
            state: Mutex::new(state),
            split,
            most,
            limit: AtomicU64::new(limit),
            refusing: AtomicU64::new(0),
            snapshot,
            pace,
        }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection is offered.
    pub fn offer(self: &Arc<Self>, address: IpAddr) -> Result<Permit, Rejection> {
        let now = self.runtime.now();
        let mut s = self.state();
        s.decider.accepted();
        let id = ConnId(s.next);
        s.next += 1;
        match s.decider.offered(now, id, address) {
            Offer::Accept { evict } => {
                if let Some(victim) = evict {
                    add(&self.telemetry.connections_evicted);
                    s.signals.remove(&victim);
                }
                let (signal, receiver) = async_channel::bounded(1);
                if !s.draining {
                    s.signals.insert(id, signal); // else it is told at once
                }
                s.cut();
                Ok(Permit { gate: self.clone(), id, signal: receiver })
            }
            Offer::Refuse { reason, word, pause } => {
                add(&self.telemetry.connections_refused);
                s.unsaid[reason as usize] += 1;
                if now >= s.said + 1_000_000 {
                    let [address_cap, prefix, rate, handshakes, full] = std::mem::take(&mut s.unsaid);
                    s.said = now;
                    let last = (address, reason_word(reason));
                    tracing::warn!(address_cap, prefix, rate, handshakes, full, ?last, "connections refused");
                }
                let free = self.refusing.load(Ordering::Relaxed) < self.split.spare / 2;
                let word = (word && free).then(|| {
                    self.refusing.fetch_add(1, Ordering::Relaxed);
                    RejectionSlot(self.clone())
                });
                Err(Rejection { retry_after: pause, slot: word })
            }
        }
    }

    /// How many connections are open.
    pub fn open(&self) -> usize {
        self.state().decider.open_by_standing().iter().sum::<u64>() as usize
    }

    /// Accepting failed for want of a resource; gives when to try again.
    pub fn accept_failed(&self, error: &std::io::Error) -> Micros {
        add(&self.telemetry.accept_failed);
        let now = self.runtime.now();
        let mut s = self.state();
        let until = s.decider.accept_failed(now);
        if now >= s.said + 1_000_000 {
            s.said = now;
            tracing::error!(%error, "no connection could be accepted, the listener rests");
        }
        until
    }

    /// Tells every connection that the drain begins.
    pub fn drain(&self) {
        let mut s = self.state();
        s.draining = true;
        s.signals.clear();
    }

    /// Reads the snapshot, if there is one. Nothing that is wrong with it keeps an instance from starting.
    pub async fn restore(&self) {
        let Some(path) = &self.snapshot else { return };
        let bytes = match self.runtime.files().read(path, MOST_SNAPSHOT).await {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return,
            Err(e) => return tracing::warn!(path = %path.display(), error = %e, "known clients not read"),
        };
        let now = self.runtime.now();
        match self.state().decider.known_clients.restore(now, &bytes) {
            Ok(known) => tracing::info!(known, "known clients come back"),
            Err(e) => {
                tracing::warn!(path = %path.display(), error = %e, "known clients not taken, all are unknown")
            }
        }
    }

    /// Keeps who is known.
    pub async fn keep(&self) {
        let Some(path) = &self.snapshot else { return };
        let bytes = self.state().decider.known_clients.snapshot();
        if let Err(e) = self.runtime.files().replace(path, bytes).await {
            tracing::warn!(path = %path.display(), error = %e, "known clients not kept");
        }
    }

    /// Looks after time, the process's limit and the snapshot, for as long as the instance lives.
    pub async fn watch(self: Arc<Self>) {
        for n in 1u64.. {
            self.runtime.sleep_until(self.runtime.now() + TICK).await;
            let now = self.runtime.now();
            {
                let mut s = self.state();
                s.pulse.tick(now);
                s.decider.own_time(now);
            }
            if n % LOOK == 0 {
                self.look(now);
            }
            if n % KEEP == 0 {
                self.keep().await;
            }
        }
    }

    /// Whether the process's limit has changed.
    fn look(&self, now: Micros) {
        let limit = self.runtime.descriptors().min(self.most);
        let old = self.limit.swap(limit, Ordering::Relaxed);
        if old == limit {
            return;
        }
        // Lowered below what is set aside: clients have nothing left, and the ones that are busy are served.
        let aside = DescriptorBudget { clients: 0, nodes: self.split.nodes, spare: self.split.spare };
        let budget = self.split.split(limit, 1).unwrap_or(aside);
        tracing::warn!(old, limit, clients = budget.clients, "the limit of descriptors changed");
        let mut s = self.state();
        for id in s.decider.rebudget(now, budget) {
            add(&self.telemetry.connections_evicted);
            s.signals.remove(&id);
        }
        s.cut();
    }
}

impl State {
    /// Ends the lingering of those whose descriptors are wanted.
    fn cut(&mut self) {
        for id in self.decider.wanted() {
            self.lingering.remove(&id);
        }
    }
}

fn reason_word(reason: Reason) -> &'static str {
    match reason {
        Reason::Address => "too many from one address",
        Reason::Prefix => "too many from one prefix",
        Reason::Rate => "too fast from one address",
        Reason::Handshakes => "too many handshakes",
        Reason::Full => "no room",
    }
}

impl Permit {
    fn with<T>(&self, act: impl FnOnce(&mut Admission, Micros, ConnId) -> T) -> T {
        let now = self.gate.runtime.now();
        act(&mut self.gate.state().decider, now, self.id)
    }

    /// The peer has finished its handshake.
    pub fn handshaken(&self) {
        self.with(|a, now, id| a.handshaken(now, id));
    }

    /// A request was taken.
    pub fn request(&self) {
        self.with(|a, now, id| a.request(now, id));
    }

    /// A request ended: served within quota for an account (dearest plan or not), or refused, or neither.
    pub fn ended(&self, served: Option<(u64, bool)>, refused: bool) {
        self.with(|a, now, id| a.ended(now, id, served, refused));
    }

    /// The time without this side's own pauses, by which clients are judged.
    pub fn own_time(&self) -> Micros {
        self.with(|a, now, _| a.own_time(now))
    }

    /// When bytes that are read now came, at the earliest: before this side's pause, if there was one.
    pub fn came(&self) -> Micros {
        self.gate.state().pulse.earliest_arrival(self.gate.runtime.now())
    }

    /// Whether the signal meant the drain of all.
    pub fn draining(&self) -> bool {
        self.gate.state().draining
    }

    /// It was to go, but has a request: it stays, and has a new signal.
    pub fn stays(&self) -> Receiver<()> {
        let mut s = self.gate.state();
        let (signal, receiver) = async_channel::bounded(1);
        if !s.draining {
            s.decider.stays(self.gate.runtime.now(), self.id);
            s.signals.insert(self.id, signal);
        }
        receiver
    }

    /// Sees a connection's end through: what is left to say, then the peer's end. Where others want its descriptor, what
    /// can be done at once is done, and it is closed.
    pub async fn linger(&self, end: impl Future<Output = ()>) {
        let (kept, wanted) = async_channel::bounded::<()>(1);
        {
            let mut s = self.gate.state();
            s.decider.lingers(self.gate.runtime.now(), self.id);
            s.lingering.insert(self.id, kept);
            s.cut();
        }
        let wanted = async {
            let _ = wanted.recv().await; // nothing is ever sent: it ends when the sender is gone
        };
        future::or(end, wanted).await;
    }

    /// What counts as too slow.
    pub fn pace(&self) -> MinimumThroughput {
        self.gate.pace
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.gate.runtime.now();
        let mut s = self.gate.state();
        s.decider.closed(now, self.id);
        s.signals.remove(&self.id);
        s.lingering.remove(&self.id);
    }
}
