//! The admission decider.
//!
//! Memory: one entry for each address and each prefix with an open connection (bounded by the descriptor budget), and at
//! most [`Caps::max_remembered_addresses`] entries for addresses without one. The latter hold only the rate of connection
//! attempts and the counts of served and rejected requests. When there are too many, the address whose last attempt is the
//! oldest is removed first. A flood from new addresses therefore removes the entries of other addresses, which only lifts
//! restrictions on those. Known clients are kept in a table of their own, which a flood cannot fill.

mod check;
mod close;
mod limits;
mod priority;

pub use limits::{Caps, IdleEviction};
pub use priority::Priority;

use crate::accept_backoff::AcceptBackoff;
use crate::cidr_block::{canonical, CidrBlock};
use crate::known_clients::KnownClients;
use crate::running_clock::RunningClock;
use crate::{DescriptorBudget, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// Identifies a connection. Chosen by the caller; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// Why a connection is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Its address has too many open connections.
    Address,
    /// Its prefix has too many open connections.
    Prefix,
    /// Its address opens connections too fast.
    Rate,
    /// Too many connections have an incomplete handshake.
    Handshakes,
    /// No descriptor is free for a client of its priority.
    Full,
}

/// The decision on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The connection is admitted.
    Accept {
        /// An idle connection that the caller must evict to free its descriptor.
        evict: Option<ConnId>,
    },
    /// The connection is rejected.
    Reject {
        /// Why.
        reason: Reason,
        /// Whether the limit on answered rejections allows a response; otherwise the connection is closed without one.
        may_respond: bool,
        /// Time after which the client may connect again.
        retry_after: Micros,
    },
}

/// The state of an address.
#[derive(Default)]
struct AddressState {
    open: u32,
    handshaking: u32,
    /// Token bucket of connection attempts, as of `last_attempt`.
    attempt_tokens: f64,
    last_attempt: Micros,
    /// Requests served and rejected, with exponential decay, as of `counted_at`.
    served: f64,
    rejected: f64,
    counted_at: Micros,
}

struct Connection {
    address: IpAddr,
    priority: Priority,
    handshaking: bool,
    open_requests: u32,
    /// When the connection became idle, or, in [`Stage::Lingering`], when it began to linger.
    since: Micros,
    stage: Stage,
}

/// How far the close of a connection has progressed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Serving,
    /// It was evicted, or has begun to close.
    Closing,
    /// Its last bytes are written, and it waits for the peer to close its side.
    Lingering,
    /// Its linger was cut short because its descriptor is needed.
    Aborting,
}

/// Time constant of the decay of served and rejected requests, in microseconds.
const REQUEST_COUNT_DECAY_MICROS: f64 = 10e6;
/// The limit of an IPv6 /48 is that of a /64 multiplied by this.
const WIDE_PREFIX_LIMIT_FACTOR: u32 = 8;

/// Decides which connections are admitted and which are evicted.
pub struct Admission {
    caps: Caps,
    budget: DescriptorBudget,
    /// The known clients.
    pub known_clients: KnownClients,
    connections: BTreeMap<ConnId, Connection>,
    addresses: BTreeMap<IpAddr, AddressState>,
    /// Addresses without an open connection, by their last attempt.
    unconnected_addresses: BTreeSet<(Micros, IpAddr)>,
    /// Open connections by prefix.
    prefixes: BTreeMap<CidrBlock, u32>,
    /// Open connections by priority.
    open_by_priority: [u64; 4],
    /// Serving connections without an open request, by priority, the longest idle first.
    idle_by_priority: [BTreeSet<(Micros, ConnId)>; 4],
    /// Serving connections with an incomplete handshake, by time of admission.
    idle_before_handshake: BTreeSet<(Micros, ConnId)>,
    /// Serving connections with a completed handshake and no open request, the longest idle first.
    idle_after_handshake: BTreeSet<(Micros, ConnId)>,
    /// Number of connections with an incomplete handshake.
    handshaking: u32,
    /// Number of connections in any stage but [`Stage::Serving`].
    closing: u64,
    /// Connections in [`Stage::Lingering`], the longest lingering first.
    lingering: BTreeSet<(Micros, ConnId)>,
    /// Number of connections in [`Stage::Aborting`].
    aborting: u64,
    /// Token bucket of answered rejections, as of `response_tokens_at`.
    response_tokens: f64,
    response_tokens_at: Micros,
    clock: RunningClock,
    accept_backoff: AcceptBackoff,
}

impl Admission {
    /// Creates a decider without open connections.
    pub fn new(caps: Caps, budget: DescriptorBudget, known_clients: KnownClients) -> Self {
        Admission {
            response_tokens: caps.rejection_responses_per_second.max(1.0),
            caps,
            budget,
            known_clients,
            connections: BTreeMap::new(),
            addresses: BTreeMap::new(),
            unconnected_addresses: BTreeSet::new(),
            prefixes: BTreeMap::new(),
            open_by_priority: [0; 4],
            idle_by_priority: Default::default(),
            idle_before_handshake: BTreeSet::new(),
            idle_after_handshake: BTreeSet::new(),
            handshaking: 0,
            closing: 0,
            lingering: BTreeSet::new(),
            aborting: 0,
            response_tokens_at: 0,
            clock: RunningClock::default(),
            accept_backoff: AcceptBackoff::default(),
        }
    }

    /// Returns the time by which clients' deadlines are judged: it does not advance while this process stalls.
    ///
    /// The caller reads it at least every 100 ms, and each event reads it; a longer gap between two readings is a stall.
    pub fn time_without_stalls(&mut self, now: Micros) -> Micros {
        self.clock.read(now)
    }

    fn open_connections(&self) -> u64 {
        self.connections.len() as u64
    }

    /// Decides on a new connection. If it is accepted, it counts as open under `id` until [`Admission::closed`].
    pub fn admit(&mut self, now: Micros, id: ConnId, address: IpAddr) -> Decision {
        self.time_without_stalls(now);
        let address = canonical(address);
        let priority = self.priority(now, address);
        match self.check(now, address, priority) {
            Err((reason, retry_after)) => {
                self.remove_excess_addresses();
                self.reject(now, reason, retry_after)
            }
            Ok(evict) => {
                if let Some(evicted) = evict {
                    self.start_closing(evicted);
                }
                self.insert(now, id, address, priority);
                Decision::Accept { evict }
            }
        }
    }

    fn reject(&mut self, now: Micros, reason: Reason, retry_after: Micros) -> Decision {
        let elapsed_seconds = now.saturating_sub(self.response_tokens_at) as f64 / 1e6;
        self.response_tokens_at = self.response_tokens_at.max(now);
        let rate = self.caps.rejection_responses_per_second;
        self.response_tokens = (self.response_tokens + elapsed_seconds * rate).min(rate.max(1.0));
        let may_respond = self.response_tokens >= 1.0;
        self.response_tokens -= f64::from(u8::from(may_respond));
        Decision::Reject { reason, may_respond, retry_after }
    }

    fn insert(&mut self, now: Micros, id: ConnId, address: IpAddr, priority: Priority) {
        let state = self.addresses.entry(address).or_default();
        if state.open == 0 {
            self.unconnected_addresses.remove(&(state.last_attempt, address));
        }
        state.open += 1;
        state.handshaking += 1;
        self.handshaking += 1;
        for (block, _) in prefixes_of(address, 0).into_iter().flatten() {
            *self.prefixes.entry(block).or_default() += 1;
        }
        self.open_by_priority[priority as usize] += 1;
        self.idle_by_priority[priority as usize].insert((now, id));
        self.idle_before_handshake.insert((now, id));
        let connection = Connection {
            address,
            priority,
            handshaking: true,
            open_requests: 0,
            since: now,
            stage: Stage::Serving,
        };
        self.connections.insert(id, connection);
    }

    /// Records that the handshake of a connection is complete.
    pub fn handshake_completed(&mut self, now: Micros, id: ConnId) {
        self.time_without_stalls(now);
        let Some(connection) = self.connections.get_mut(&id).filter(|c| c.handshaking) else { return };
        connection.handshaking = false;
        self.handshaking -= 1;
        if self.idle_before_handshake.remove(&(connection.since, id)) && connection.open_requests == 0 {
            self.idle_after_handshake.insert((connection.since, id));
        }
        if let Some(state) = self.addresses.get_mut(&connection.address) {
            state.handshaking -= 1;
        }
    }

    /// Records that a request arrived on a connection. The connection is not idle until the request has ended.
    pub fn request_started(&mut self, now: Micros, id: ConnId) {
        self.time_without_stalls(now);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.open_requests += 1;
        if connection.open_requests == 1 {
            self.idle_by_priority[connection.priority as usize].remove(&(connection.since, id));
            self.idle_after_handshake.remove(&(connection.since, id));
        }
    }

    /// Records that a request has ended.
    ///
    /// `served`: the account and whether its plan is preferred, if the request was served within quota. `rejected`:
    /// whether the request was rejected; false if it was served, failed or was cancelled.
    pub fn request_ended(&mut self, now: Micros, id: ConnId, served: Option<(u64, bool)>, rejected: bool) {
        self.time_without_stalls(now);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.open_requests == 0 {
            // The request never began, so the connection is in the lists of idle ones already, since an earlier time.
            self.idle_by_priority[connection.priority as usize].remove(&(connection.since, id));
            self.idle_after_handshake.remove(&(connection.since, id));
        }
        connection.open_requests = connection.open_requests.saturating_sub(1);
        let address = connection.address;
        if connection.open_requests == 0 && connection.stage == Stage::Serving {
            connection.since = now;
            self.idle_by_priority[connection.priority as usize].insert((now, id));
            self.idle_after_handshake.insert((now, id));
        }
        if let Some(state) = self.addresses.get_mut(&address) {
            let decay = (-(now.saturating_sub(state.counted_at) as f64) / REQUEST_COUNT_DECAY_MICROS).exp();
            state.served = state.served * decay + f64::from(u8::from(served.is_some()));
            state.rejected = state.rejected * decay + f64::from(u8::from(rejected));
            state.counted_at = now;
        }
        if let Some((account, preferred)) = served {
            self.known_clients.record_served(now, address, account, preferred);
        }
        if served.is_some() || rejected {
            self.update_priority(now, id);
        }
    }

    /// Removes addresses without a connection beyond [`Caps::max_remembered_addresses`], the oldest last attempt first.
    fn remove_excess_addresses(&mut self) {
        while self.unconnected_addresses.len() > self.caps.max_remembered_addresses {
            let Some((_, address)) = self.unconnected_addresses.pop_first() else { return };
            self.addresses.remove(&address);
        }
    }

    /// Records that accepting a connection failed for lack of a resource. Returns the time of the next attempt; the pause
    /// grows with each failure in a row.
    pub fn accept_failed(&mut self, now: Micros) -> Micros {
        self.time_without_stalls(now);
        self.accept_backoff.failed(now)
    }

    /// Records that accepting a connection succeeded.
    pub fn accept_succeeded(&mut self) {
        self.accept_backoff.succeeded();
    }

    /// Returns the number of open connections by priority, in the order of [`Priority`].
    pub fn open_by_priority(&self) -> [u64; 4] {
        self.open_by_priority
    }

    /// Returns the sizes of the tables that a flood can grow: addresses and prefixes.
    pub fn table_sizes(&self) -> (usize, usize) {
        (self.addresses.len(), self.prefixes.len())
    }
}

/// Returns the prefixes under which an address is counted, each with its limit. `max` is the limit of the narrowest one.
fn prefixes_of(address: IpAddr, max: u32) -> [Option<(CidrBlock, u32)>; 2] {
    match address {
        IpAddr::V4(_) => [Some((CidrBlock::containing(address, 24), max)), None],
        IpAddr::V6(_) => {
            let wide_max = max.saturating_mul(WIDE_PREFIX_LIMIT_FACTOR);
            [
                Some((CidrBlock::containing(address, 64), max)),
                Some((CidrBlock::containing(address, 48), wide_max)),
            ]
        }
    }
}
