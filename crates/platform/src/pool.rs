//! Chooses the connection of each attempt. Performs no I/O and reads no clock.
//!
//! A connection carries one request at a time, because an attempt is cancelled by closing its connection, and because a
//! malformed reply would corrupt the replies of the requests behind it. Of a backend's idle connections the most recently used
//! one is taken first, so that a few stay in use and the others reach the idle timeout. When the pool is full, the connection
//! that has been idle the longest is evicted, whichever backend it belongs to. When all connections are busy, the attempt gets
//! none; that is no failure of the backend.

use crate::stale_connections::StaleStatistics;
use chalkgap_core::{BackendId, Micros};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// How long a connection is not reused after a reply that was acknowledged at once. Surplus bytes behind a reply may be sent
/// some milliseconds late; they would be taken for the reply to a request that was written before they arrived.
const REUSE_DELAY_MICROS: Micros = 20_000;
/// Upper limit of the delay of an acknowledgement (RFC 1122, section 4.2.3.2).
const MAX_ACKNOWLEDGEMENT_DELAY_MICROS: Micros = 500_000;

/// Idle connections, ordered by the time at which they became idle and by their number.
type IdleOrder = BTreeSet<(Micros, u64)>;

struct PooledConnection {
    backend: BackendId,
    address: SocketAddr,
    /// How long the connection had been idle before its current or last request; `None` for the first request.
    idle_before_use: Option<Micros>,
    /// When the connection became idle; `None` while it carries a request.
    idle_since: Option<Micros>,
    /// Whether the connection is to be closed when its request ends.
    closing: bool,
}

/// The connection of an attempt, see [`Pool::check_out`]. Connections are identified by numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checkout {
    /// Use the existing connection of this number.
    Reuse(u64),
    /// Open a new connection.
    Open {
        /// The number of the new connection.
        number: u64,
        /// The number of an idle connection to close.
        evict: Option<u64>,
    },
    /// The pool is full and all connections are busy.
    Full,
}

/// The connections to all backends, idle and busy.
pub struct Pool {
    max_connections: usize,
    connections: HashMap<u64, PooledConnection>,
    idle_by_backend: HashMap<BackendId, IdleOrder>,
    idle: IdleOrder,
    next_number: u64,
    reuse_delay: Micros,
    stale: StaleStatistics,
}

impl Pool {
    /// Creates an empty pool of at most `max_connections` connections.
    pub fn new(max_connections: usize) -> Self {
        Pool {
            max_connections,
            connections: HashMap::new(),
            idle_by_backend: HashMap::new(),
            idle: BTreeSet::new(),
            next_number: 1,
            reuse_delay: REUSE_DELAY_MICROS,
            stale: StaleStatistics::default(),
        }
    }

    /// Prolongs the reuse delay because replies are not acknowledged at once. The backend's system may hold surplus bytes back
    /// until it receives the acknowledgement of the reply.
    pub fn expect_delayed_acknowledgements(&mut self) {
        self.reuse_delay = MAX_ACKNOWLEDGEMENT_DELAY_MICROS + REUSE_DELAY_MICROS;
    }

    /// Returns the number of connections, idle and busy.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Chooses the connection of an attempt to `backend` at `address` and marks it as busy.
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

    /// Returns the most recently used idle connection to a backend, of those whose reuse delay has passed.
    fn last_used(&self, now: Micros, backend: BackendId) -> Option<(Micros, u64)> {
        let latest = (now.saturating_sub(self.reuse_delay), u64::MAX);
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

    /// Marks a connection as idle because its request has ended. Returns false if the connection is to be closed now.
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

    /// Removes a closed connection if it is idle; a busy one is removed when its request ends. `broke_on_first_write` says
    /// whether the connection was reset as soon as a request was written to it. Returns whether the connection is no longer in
    /// the pool.
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

    /// Removes all idle connections to a backend and returns their numbers, for the caller to close them.
    pub fn close_idle(&mut self, backend: BackendId) -> Vec<u64> {
        let idle = self.idle_by_backend.get(&backend).into_iter().flatten();
        let numbers: Vec<u64> = idle.map(|(_, number)| *number).collect();
        numbers.iter().for_each(|number| self.remove(*number));
        numbers
    }

    /// Removes the connections to backends that are no longer listed. Idle ones are removed now, and their numbers returned,
    /// for the caller to close them; busy ones are removed when their request ends.
    pub fn retain(&mut self, listed: &dyn Fn(BackendId) -> bool) -> Vec<u64> {
        let unlisted: Vec<BackendId> =
            self.idle_by_backend.keys().copied().filter(|backend| !listed(*backend)).collect();
        let connections = self.connections.values_mut();
        connections.filter(|c| !listed(c.backend)).for_each(|c| c.closing = true);
        unlisted.into_iter().flat_map(|backend| self.close_idle(backend)).collect()
    }
}
