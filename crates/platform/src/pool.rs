//! Which connection an attempt goes by, free of I/O and clock.
//!
//! A connection carries one request at a time: to give an attempt up is to close its connection, and an answer that is
//! spoilt spoils whatever waits behind it. Of a backend's idle connections the one used last is taken first, so that the
//! others grow old and are closed, and a few are always in use. Where descriptors are short an idle connection to
//! another backend makes room; where all are busy there is none, which says nothing about the backend.

use chalkgap_core::{BackendId, Micros};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// How long a connection rests after an answer: what comes behind an answer, and belongs to nobody, may come some
/// milliseconds late. A request written earlier would take it for its own, and nobody could tell.
const REST: Micros = 20_000;

/// Ages of connections are told apart by the power of two of their milliseconds.
const AGES: usize = 16;
/// Memory of what became of them, in microseconds.
const FADE: f64 = 20e6;
/// Breaks, faded, that an age must have had to be judged, and the share of its uses beyond that of new connections.
const JUDGED: f64 = 1.5;
const WORN: f64 = 0.08;

/// What became of requests by how long their connection had been idle. Backends, and what stands before them, close idle
/// connections when they like, at the latest after the platform's limit, and not always with a sign: the next request
/// then ends as a reset and may have run, which costs far more than a new connection does. It acts only where requests
/// on idle connections break at once clearly more often than on new ones; would do harm if new connections were dear.
#[derive(Default)]
struct StaleStatistics {
    /// New connections first, then by age: uses, breaks, and when they were last faded.
    ages: [(f64, f64, Micros); AGES + 1],
}

impl StaleStatistics {
    fn place(age: Option<Micros>) -> usize {
        age.map_or(0, |a| 1 + ((a / 1000).max(1).ilog2() as usize).min(AGES - 1))
    }

    fn note(&mut self, now: Micros, age: Option<Micros>, broke: bool) {
        let (uses, breaks, at) = &mut self.ages[Self::place(age)];
        let keep = (-(now.saturating_sub(*at) as f64) / FADE).exp();
        (*uses, *breaks, *at) = (*uses * keep + 1.0, *breaks * keep + f64::from(u8::from(broke)), now);
    }

    /// Whether a connection of this age is as good as a new one. One that is worn makes all older ones so.
    fn good(&self, now: Micros, age: Micros) -> bool {
        let (uses, breaks, _) = self.ages[0];
        let least = breaks / uses.max(1.0);
        !self.ages[1..=Self::place(Some(age))].iter().any(|(uses, breaks, at)| {
            // The evidence fades, and with it the judgement: it is tried again by and by.
            let left = breaks * (-(now.saturating_sub(*at) as f64) / FADE).exp();
            left > JUDGED && breaks / uses.max(1.0) > least + WORN
        })
    }
}

struct PooledConnection {
    backend: BackendId,
    address: SocketAddr,
    /// How long it had been idle when its request came; none for a new one.
    age: Option<Micros>,
    /// Since when it is idle; none while it carries a request.
    idle: Option<Micros>,
    /// It ends with its request.
    leaving: bool,
}

/// What an attempt goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checkout {
    /// A connection that is there.
    Reuse(u64),
    /// A new one of this number; another, idle one is to be closed for it.
    Open {
        /// Its number.
        number: u64,
        /// The one to close.
        close: Option<u64>,
    },
    /// All are busy.
    Full,
}

/// The connections.
pub struct Pool {
    most: usize,
    connections: HashMap<u64, PooledConnection>,
    idle: HashMap<BackendId, BTreeSet<(Micros, u64)>>,
    /// All idle ones, the longest idle first.
    oldest: BTreeSet<(Micros, u64)>,
    next: u64,
    stale: StaleStatistics,
}

impl Pool {
    /// A pool of at most `most` connections.
    pub fn new(most: usize) -> Self {
        let (connections, idle, oldest, stale) = Default::default();
        Pool { most, connections, idle, oldest, next: 1, stale }
    }

    /// How many connections there are.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Finds a checkout for an attempt.
    pub fn take(&mut self, now: Micros, backend: BackendId, address: SocketAddr) -> Checkout {
        let rested = (now.saturating_sub(REST), u64::MAX);
        let mut close = None;
        let last = self.idle.get(&backend).and_then(|i| i.range(..=rested).next_back()).copied();
        if let Some((since, number)) = last {
            self.unidle(number);
            let age = now.saturating_sub(since);
            let good = self.stale.good(now, age);
            if let Some(connection) =
                self.connections.get_mut(&number).filter(|l| good && l.address == address)
            {
                (connection.idle, connection.age) = (None, Some(age));
                return Checkout::Reuse(number);
            }
            self.connections.remove(&number); // worn, or the backend is reached elsewhere by now
            close = Some(number);
        }
        if self.connections.len() >= self.most {
            let Some((_, victim)) = self.oldest.first().copied() else { return Checkout::Full };
            self.remove(victim);
            close = Some(victim);
        }
        let number = self.next;
        self.next += 1;
        self.connections
            .insert(number, PooledConnection { backend, address, age: None, idle: None, leaving: false });
        Checkout::Open { number, close }
    }

    fn unidle(&mut self, number: u64) {
        let Some(connection) = self.connections.get(&number) else { return };
        let Some(since) = connection.idle else { return };
        self.oldest.remove(&(since, number));
        if let Some(idle) = self.idle.get_mut(&connection.backend) {
            idle.remove(&(since, number));
            if idle.is_empty() {
                self.idle.remove(&connection.backend);
            }
        }
    }

    fn remove(&mut self, number: u64) {
        self.unidle(number);
        self.connections.remove(&number);
    }

    /// A connection's request has ended; false if the connection is to end with it.
    pub fn free(&mut self, now: Micros, number: u64) -> bool {
        let Some(connection) = self.connections.get_mut(&number).filter(|l| l.idle.is_none()) else {
            return true;
        };
        if connection.leaving {
            self.connections.remove(&number);
            return false;
        }
        self.stale.note(now, connection.age, false);
        connection.idle = Some(now);
        self.idle.entry(connection.backend).or_default().insert((now, number));
        self.oldest.insert((now, number));
        true
    }

    /// A connection has ended, or will with its request; `broke`: as soon as that was written. True if it is gone by this.
    pub fn closed(&mut self, now: Micros, number: u64, broke: bool) -> bool {
        match self.connections.get_mut(&number) {
            Some(connection) if connection.idle.is_none() => {
                if !std::mem::replace(&mut connection.leaving, true) {
                    self.stale.note(now, connection.age, broke);
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

    /// Gives the idle connections to a backend up.
    pub fn close_idle(&mut self, backend: BackendId) -> Vec<u64> {
        let list: Vec<u64> = self.idle.get(&backend).into_iter().flatten().map(|i| i.1).collect();
        list.iter().for_each(|n| self.remove(*n));
        list
    }

    /// Gives the connections to backends up that are listed no more: idle ones now, others with their requests.
    pub fn retain(&mut self, listed: &dyn Fn(BackendId) -> bool) -> Vec<u64> {
        let gone: Vec<BackendId> = self.idle.keys().copied().filter(|b| !listed(*b)).collect();
        self.connections.values_mut().filter(|l| !listed(l.backend)).for_each(|l| l.leaving = true);
        gone.into_iter().flat_map(|b| self.close_idle(b)).collect()
    }
}
