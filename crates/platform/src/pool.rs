//! Which connection an attempt uses, free of I/O and clock.
//!
//! A connection carries one request at a time: an attempt is cancelled by closing its connection, and a malformed reply
//! would spoil the requests behind it. Of a backend's idle connections the most recently used is taken first, so that the
//! others age out and a few stay in use. When the pool is full, an idle connection to any backend is evicted; when all
//! are busy there is none, which says nothing about the backend.

use crate::stale_connections::StaleStatistics;
use chalkgap_core::{BackendId, Micros};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// How long a connection is not reused after a reply. Surplus bytes behind a reply may arrive some milliseconds late, and a
/// request written before them would take them for its own reply.
const REUSE_DELAY_MICROS: Micros = 20_000;

/// Idle connections by the time they became idle, and their number.
type IdleOrder = BTreeSet<(Micros, u64)>;

struct PooledConnection {
    backend: BackendId,
    address: SocketAddr,
    /// How long it had been idle when its request came; none for a new one.
    idle_before_use: Option<Micros>,
    /// Since when it is idle; none while it carries a request.
    idle_since: Option<Micros>,
    /// It is closed when its request ends.
    closing: bool,
}

/// The connection for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checkout {
    /// An existing connection.
    Reuse(u64),
    /// A connection to be opened.
    Open {
        /// Its number.
        number: u64,
        /// The idle connection to close in its place.
        evict: Option<u64>,
    },
    /// All connections are busy.
    Full,
}

/// The connections to all backends.
pub struct Pool {
    max_connections: usize,
    connections: HashMap<u64, PooledConnection>,
    idle_by_backend: HashMap<BackendId, IdleOrder>,
    idle: IdleOrder,
    next_number: u64,
    stale: StaleStatistics,
}

impl Pool {
    /// A pool of at most `max_connections`.
    pub fn new(max_connections: usize) -> Self {
        Pool {
            max_connections,
            connections: HashMap::new(),
            idle_by_backend: HashMap::new(),
            idle: BTreeSet::new(),
            next_number: 1,
            stale: StaleStatistics::default(),
        }
    }

    /// How many connections there are, idle and busy.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Picks the connection for an attempt and marks it busy.
    pub fn check_out(&mut self, now: Micros, backend: BackendId, address: SocketAddr) -> Checkout {
        let mut evict = None;
        if let Some((idle_since, number)) = self.last_used(now, backend) {
            self.remove_from_idle(number);
            let idle_micros = now.saturating_sub(idle_since);
            let reusable = self.stale.is_reusable(now, idle_micros);
            let connection = self.connections.get_mut(&number);
            if let Some(connection) = connection.filter(|c| reusable && c.address == address) {
                connection.idle_since = None;
                connection.idle_before_use = Some(idle_micros);
                return Checkout::Reuse(number);
            }
            self.connections.remove(&number); // probably stale, or the backend has moved
            evict = Some(number);
        }
        if self.connections.len() >= self.max_connections {
            let Some((_, longest_idle)) = self.idle.first().copied() else { return Checkout::Full };
            self.remove(longest_idle);
            evict = Some(longest_idle);
        }
        let number = self.next_number;
        self.next_number += 1;
        let connection =
            PooledConnection { backend, address, idle_before_use: None, idle_since: None, closing: false };
        self.connections.insert(number, connection);
        Checkout::Open { number, evict }
    }

    /// The backend's most recently used idle connection that may be reused already.
    fn last_used(&self, now: Micros, backend: BackendId) -> Option<(Micros, u64)> {
        let latest = (now.saturating_sub(REUSE_DELAY_MICROS), u64::MAX);
        self.idle_by_backend.get(&backend)?.range(..=latest).next_back().copied()
    }

    fn remove_from_idle(&mut self, number: u64) {
        let Some(connection) = self.connections.get(&number) else { return };
        let Some(idle_since) = connection.idle_since else { return };
        self.idle.remove(&(idle_since, number));
        if let Some(idle) = self.idle_by_backend.get_mut(&connection.backend) {
            idle.remove(&(idle_since, number));
            if idle.is_empty() {
                self.idle_by_backend.remove(&connection.backend);
            }
        }
    }

    fn remove(&mut self, number: u64) {
        self.remove_from_idle(number);
        self.connections.remove(&number);
    }

    /// A connection's request has ended. False if the connection is to be closed now.
    pub fn release(&mut self, now: Micros, number: u64) -> bool {
        let connection = self.connections.get_mut(&number);
        let Some(connection) = connection.filter(|c| c.idle_since.is_none()) else { return true };
        if connection.closing {
            self.connections.remove(&number);
            return false;
        }
        self.stale.record(now, connection.idle_before_use, false);
        connection.idle_since = Some(now);
        self.idle_by_backend.entry(connection.backend).or_default().insert((now, number));
        self.idle.insert((now, number));
        true
    }

    /// A connection has ended, or will with its request; `broke_on_first_write`: as soon as that was written. True if
    /// the connection is no longer in the pool.
    pub fn mark_closed(&mut self, now: Micros, number: u64, broke_on_first_write: bool) -> bool {
        match self.connections.get_mut(&number) {
            Some(connection) if connection.idle_since.is_none() => {
                let was_closing = std::mem::replace(&mut connection.closing, true);
                if !was_closing {
                    self.stale.record(now, connection.idle_before_use, broke_on_first_write);
                }
                false
            }
            Some(_) => {
                self.remove(number);
                true
            }
            None => true,
        }
    }

    /// Removes the idle connections to a backend and returns their numbers.
    pub fn close_idle(&mut self, backend: BackendId) -> Vec<u64> {
        let idle = self.idle_by_backend.get(&backend).into_iter().flatten();
        let numbers: Vec<u64> = idle.map(|(_, number)| *number).collect();
        numbers.iter().for_each(|number| self.remove(*number));
        numbers
    }

    /// Removes connections to backends that are no longer listed: idle ones now, returning their numbers, busy ones when
    /// their request ends.
    pub fn retain(&mut self, listed: &dyn Fn(BackendId) -> bool) -> Vec<u64> {
        let unlisted: Vec<BackendId> =
            self.idle_by_backend.keys().copied().filter(|backend| !listed(*backend)).collect();
        let connections = self.connections.values_mut();
        connections.filter(|c| !listed(c.backend)).for_each(|c| c.closing = true);
        unlisted.into_iter().flat_map(|backend| self.close_idle(backend)).collect()
    }
}
