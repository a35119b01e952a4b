//! The admission decider.
//!
//! Memory: one entry for each address and each prefix with an open connection (bounded by the descriptor budget), and at
//! most [`Caps::max_remembered_addresses`] entries for addresses without one. The latter hold only the rate of connection
//! attempts and the counts of served and rejected requests. When there are too many, the address whose last attempt is the
//! oldest is removed first. A flood from new addresses therefore removes the entries of other addresses, which only lifts
//! restrictions on those. Known clients are kept in a table of their own, which a flood cannot fill.

use crate::accept_backoff::AcceptBackoff;
use crate::cidr_block::{canonical, CidrBlock};
use crate::known_clients::{KnownClients, KnownTier};
use crate::running_clock::RunningClock;
use crate::{DescriptorBudget, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// Identifies a connection. Chosen by the caller; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// Limits of connection admission.
#[derive(Clone, Copy, Debug)]
pub struct Caps {
    /// Maximum number of open connections of an address; four times as many for a known address.
    pub per_address: u32,
    /// Maximum number of open connections of a prefix (IPv4 /24, IPv6 /64); eight times as many for an IPv6 /48. Not
    /// applied to known addresses: other addresses of their prefix cannot keep them out.
    pub per_prefix: u32,
    /// Connection attempts of an address per second, and the burst; four times as many for a known address.
    pub per_second: f64,
    /// Maximum number of connections with an incomplete handshake; a quarter more for known addresses.
    pub handshakes: u32,
    /// Maximum number of connections of one address with an incomplete handshake. Not applied to known addresses.
    pub handshakes_per_address: u32,
    /// Fraction of the clients' descriptors reserved for known clients.
    pub reserve: f64,
    /// Fraction of the clients' descriptors, within `reserve`, reserved for clients with a preferred plan.
    pub preferred_reserve: f64,
    /// Maximum number of addresses without an open connection that are remembered.
    pub max_remembered_addresses: usize,
    /// Maximum number of rejections per second that are answered; further connections are closed without a response.
    pub rejection_responses_per_second: f64,
    /// When a new connection evicts an idle one although there is capacity; `None`: never.
    pub idle_eviction: Option<IdleEviction>,
}

/// Eviction of idle connections of any priority before the clients' descriptors are used up. For deployments where all
/// clients connect through one proxy and have the same address.
#[derive(Clone, Copy, Debug)]
pub struct IdleEviction {
    /// Number of open connections, without those that are closing, at which eviction starts. Below the clients'
    /// descriptors, because clients that limit their own connections and fill that limit with idle ones cannot open
    /// another; the ingress does not see those attempts.
    pub min_open_connections: u64,
    /// Time since its admission after which a connection with an incomplete handshake can be evicted. For a protocol
    /// without a handshake, the caller reports the first command as [`Admission::handshake_completed`].
    pub handshake_after: Micros,
    /// Time without an open request after which a connection with a completed handshake can be evicted.
    pub idle_after: Micros,
}

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
        /// An idle connection that the caller must evict to make room.
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

/// The admission priority of an address, lowest first: connections of the lowest priority are rejected first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Many more of its recent requests were rejected than served.
    Red,
    /// No recent request was served within quota.
    Unknown,
    /// A recent request was served within quota, or the settings name the address.
    Known,
    /// Known through an account with a preferred plan.
    Preferred,
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
/// An address is red only with more rejected requests than this, after decay.
const RED_MIN_REJECTED: f64 = 8.0;
/// An address is red only with more rejected requests than this for each served one.
const RED_REJECTED_PER_SERVED: f64 = 4.0;
/// The fraction of the capacity of unknown addresses that red ones may use.
const RED_CAPACITY_FRACTION: f64 = 0.5;
/// The limits by address are multiplied by this for known addresses.
const KNOWN_LIMIT_FACTOR: u32 = 4;
/// The limit of an IPv6 /48 is that of a /64 multiplied by this.
const WIDE_PREFIX_LIMIT_FACTOR: u32 = 8;
/// Time after which a rejected client may connect again, unless it was rejected for its rate of attempts.
const DEFAULT_RETRY_AFTER: Micros = 1_000_000;

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

    /// Returns the priority of an address.
    pub fn priority(&self, now: Micros, address: IpAddr) -> Priority {
        let address = canonical(address);
        if let Some(state) = self.addresses.get(&address) {
            let decay = (-(now.saturating_sub(state.counted_at) as f64) / REQUEST_COUNT_DECAY_MICROS).exp();
            if state.rejected * decay > RED_MIN_REJECTED
                && state.rejected > RED_REJECTED_PER_SERVED * state.served
            {
                return Priority::Red;
            }
        }
        match self.known_clients.lookup(now, address) {
            Some(KnownTier::Preferred) => Priority::Preferred,
            Some(KnownTier::Standard) => Priority::Known,
            None => Priority::Unknown,
        }
    }

    /// Returns the number of open connections, of all priorities, at which a new connection of this priority is rejected.
    fn capacity_for(&self, priority: Priority) -> u64 {
        let all = self.budget.clients as f64;
        let reserved_fraction = match priority {
            Priority::Preferred => 0.0,
            Priority::Known => self.caps.preferred_reserve,
            Priority::Unknown | Priority::Red => self.caps.reserve.max(self.caps.preferred_reserve),
        };
        let capacity = all - (all * reserved_fraction).ceil();
        (if priority == Priority::Red { capacity * RED_CAPACITY_FRACTION } else { capacity }).max(0.0) as u64
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

    /// Checks a new connection against all limits. Returns the connection to evict for it, if one must be.
    ///
    /// # Errors
    /// The connection is rejected: the reason, and the time after which the client may connect again.
    fn check(
        &mut self,
        now: Micros,
        address: IpAddr,
        priority: Priority,
    ) -> Result<Option<ConnId>, (Reason, Micros)> {
        let caps = self.caps;
        let known = priority >= Priority::Known;
        let factor = if known { KNOWN_LIMIT_FACTOR } else { 1 };
        let is_new = !self.addresses.contains_key(&address);
        let state = self.addresses.entry(address).or_default();
        // Rejected attempts take a token too: a client that retries without a pause waits the longest.
        let rate = (caps.per_second * f64::from(factor)).max(1.0);
        if is_new {
            state.attempt_tokens = rate;
        }
        let elapsed_seconds = now.saturating_sub(state.last_attempt) as f64 / 1e6;
        state.attempt_tokens = (state.attempt_tokens + elapsed_seconds * rate).min(rate);
        let previous_attempt = state.last_attempt;
        state.last_attempt = state.last_attempt.max(now);
        let has_token = state.attempt_tokens >= 1.0;
        if has_token {
            state.attempt_tokens -= 1.0;
        }
        if state.open == 0 {
            self.unconnected_addresses.remove(&(previous_attempt, address));
            self.unconnected_addresses.insert((state.last_attempt, address));
        }
        if !has_token {
            return Err((Reason::Rate, (1e6 / rate) as Micros));
        }
        if state.open >= caps.per_address.saturating_mul(factor) {
            return Err((Reason::Address, DEFAULT_RETRY_AFTER));
        }
        let address_handshakes_full = state.handshaking >= caps.handshakes_per_address;
        if !known && (address_handshakes_full || self.handshaking >= caps.handshakes) {
            return Err((Reason::Handshakes, DEFAULT_RETRY_AFTER));
        }
        // Known clients get a quarter more, so that a flood of incomplete handshakes does not keep them out.
        if known && self.handshaking > caps.handshakes + caps.handshakes / 4 {
            return Err((Reason::Handshakes, DEFAULT_RETRY_AFTER));
        }
        if !known {
            let is_full =
                |(block, max): (CidrBlock, u32)| self.prefixes.get(&block).is_some_and(|n| *n >= max);
            if prefixes_of(address, caps.per_prefix).into_iter().flatten().any(is_full) {
                return Err((Reason::Prefix, DEFAULT_RETRY_AFTER));
            }
        }
        // An evicted connection holds its descriptor until it is closed; the new one uses a spare descriptor meanwhile.
        // Lingering connections do not count, because they are aborted when descriptors are needed.
        let not_yet_lingering = self.closing - self.lingering.len() as u64 - self.aborting;
        let has_free_descriptor = self.open_connections() < self.budget.clients + self.budget.spare;
        let may_evict = has_free_descriptor && not_yet_lingering < self.budget.spare;
        let serving = self.open_connections() - self.closing;
        if may_evict && caps.idle_eviction.is_some_and(|eviction| serving >= eviction.min_open_connections) {
            if let Some(evicted) = self.longest_idle(now) {
                return Ok(Some(evicted));
            }
        }
        if serving < self.capacity_for(priority) {
            return if has_free_descriptor { Ok(None) } else { Err((Reason::Full, DEFAULT_RETRY_AFTER)) };
        }
        // A known client may evict an idle connection of a red or unknown address.
        if !known || !may_evict {
            return Err((Reason::Full, DEFAULT_RETRY_AFTER));
        }
        let evictable = [Priority::Red, Priority::Unknown];
        let evicted = evictable.iter().find_map(|priority| self.idle_by_priority[*priority as usize].first());
        evicted.map(|(_, id)| Some(*id)).ok_or((Reason::Full, DEFAULT_RETRY_AFTER))
    }

    /// Returns the connection that [`IdleEviction`] selects: the longest idle one, if it has been idle for long enough.
    /// Connections with a completed handshake are selected first: their requests were answered, while one with an
    /// incomplete handshake may be about to send its first request.
    fn longest_idle(&self, now: Micros) -> Option<ConnId> {
        let eviction = self.caps.idle_eviction?;
        let is_due = |entry: &&(Micros, ConnId), after: Micros| entry.0.saturating_add(after) <= now;
        let idle = self.idle_after_handshake.first().filter(|entry| is_due(entry, eviction.idle_after));
        let handshaking =
            || self.idle_before_handshake.first().filter(|entry| is_due(entry, eviction.handshake_after));
        idle.or_else(handshaking).map(|entry| entry.1)
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

    /// Moves a connection from [`Stage::Serving`] to [`Stage::Closing`].
    fn start_closing(&mut self, id: ConnId) {
        let Some(connection) = self.connections.get_mut(&id).filter(|c| c.stage == Stage::Serving) else {
            return;
        };
        connection.stage = Stage::Closing;
        self.closing += 1;
        self.idle_by_priority[connection.priority as usize].remove(&(connection.since, id));
        self.idle_before_handshake.remove(&(connection.since, id));
        self.idle_after_handshake.remove(&(connection.since, id));
    }

    /// Records that the last bytes of a connection are written and that it only waits for the peer to close its side; an
    /// earlier close could reset the connection before the peer has read those bytes. A lingering connection can lose its
    /// descriptor to another one, see [`Admission::take_lingering_to_abort`].
    pub fn linger_started(&mut self, now: Micros, id: ConnId) {
        self.time_without_stalls(now);
        self.start_closing(id);
        if let Some(connection) = self.connections.get_mut(&id).filter(|c| c.stage == Stage::Closing) {
            connection.stage = Stage::Lingering;
            connection.since = now;
            self.lingering.insert((now, id));
        }
    }

    /// Returns the lingering connections that the caller must close now because their descriptors are needed, the longest
    /// lingering first: as many as it takes until half of the spare descriptors are free for evictions.
    pub fn take_lingering_to_abort(&mut self) -> Vec<ConnId> {
        let max_open = self.budget.clients + self.budget.spare / 2;
        let excess = (self.open_connections() - self.aborting).saturating_sub(max_open);
        let aborted: Vec<ConnId> = std::iter::from_fn(|| self.lingering.pop_first())
            .take(excess as usize)
            .map(|(_, id)| id)
            .collect();
        for id in &aborted {
            if let Some(connection) = self.connections.get_mut(id) {
                connection.stage = Stage::Aborting;
                self.aborting += 1;
            }
        }
        aborted
    }

    /// Records that an evicted connection stays open because it has a request, or is receiving one. It counts as idle
    /// from `now` on, so it is the last to be selected for eviction again.
    pub fn eviction_refused(&mut self, now: Micros, id: ConnId) {
        if let Some(connection) = self.connections.get_mut(&id).filter(|c| c.stage == Stage::Closing) {
            connection.stage = Stage::Serving;
            self.closing -= 1;
            if connection.open_requests == 0 {
                connection.since = now;
                self.idle_by_priority[connection.priority as usize].insert((now, id));
                let idle = if connection.handshaking {
                    &mut self.idle_before_handshake
                } else {
                    &mut self.idle_after_handshake
                };
                idle.insert((now, id));
            }
        }
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
    /// `served` is set if the request was served within quota: the account, and whether its plan is preferred. `None`: the
    /// request was rejected, failed or was cancelled; `rejected` is set in the first case.
    pub fn request_ended(&mut self, now: Micros, id: ConnId, served: Option<(u64, bool)>, rejected: bool) {
        self.time_without_stalls(now);
        let Some(connection) = self.connections.get_mut(&id) else { return };
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

    /// Counts a connection under the current priority of its address.
    fn update_priority(&mut self, now: Micros, id: ConnId) {
        let Some(address) = self.connections.get(&id).map(|c| c.address) else { return };
        let priority = self.priority(now, address);
        let Some(connection) = self.connections.get_mut(&id).filter(|c| c.priority != priority) else {
            return;
        };
        self.open_by_priority[connection.priority as usize] -= 1;
        self.open_by_priority[priority as usize] += 1;
        if self.idle_by_priority[connection.priority as usize].remove(&(connection.since, id)) {
            self.idle_by_priority[priority as usize].insert((connection.since, id));
        }
        connection.priority = priority;
    }

    /// Records that a connection is closed, and its descriptor free.
    pub fn closed(&mut self, now: Micros, id: ConnId) {
        self.time_without_stalls(now);
        self.handshake_completed(now, id);
        let Some(connection) = self.connections.remove(&id) else { return };
        self.closing -= u64::from(connection.stage != Stage::Serving);
        self.aborting -= u64::from(connection.stage == Stage::Aborting);
        self.lingering.remove(&(connection.since, id));
        self.open_by_priority[connection.priority as usize] -= 1;
        self.idle_by_priority[connection.priority as usize].remove(&(connection.since, id));
        self.idle_after_handshake.remove(&(connection.since, id));
        for (block, _) in prefixes_of(connection.address, 0).into_iter().flatten() {
            if let Some(open) = self.prefixes.get_mut(&block) {
                *open -= 1;
                if *open == 0 {
                    self.prefixes.remove(&block);
                }
            }
        }
        if let Some(state) = self.addresses.get_mut(&connection.address) {
            state.open -= 1;
            if state.open == 0 {
                self.unconnected_addresses.insert((state.last_attempt, connection.address));
            }
        }
        self.remove_excess_addresses();
    }

    /// Removes addresses without a connection beyond [`Caps::max_remembered_addresses`], the oldest last attempt first.
    fn remove_excess_addresses(&mut self) {
        while self.unconnected_addresses.len() > self.caps.max_remembered_addresses {
            let Some((_, address)) = self.unconnected_addresses.pop_first() else { return };
            self.addresses.remove(&address);
        }
    }

    /// Sets a new budget. Returns the idle connections that the caller must evict for it. Connections with an open request
    /// are not evicted, even if they exceed the budget.
    pub fn set_budget(&mut self, now: Micros, budget: DescriptorBudget) -> Vec<ConnId> {
        self.time_without_stalls(now);
        self.budget = budget;
        let mut evicted = Vec::new();
        let order = [Priority::Red, Priority::Unknown, Priority::Known, Priority::Preferred];
        for priority in order {
            while self.open_connections() - self.closing > self.budget.clients {
                let Some((_, id)) = self.idle_by_priority[priority as usize].first().copied() else { break };
                self.start_closing(id);
                evicted.push(id);
            }
        }
        evicted
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
