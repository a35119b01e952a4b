//! Which connection an attempt goes by, free of I/O and clock.
//!
//! A connection carries one request at a time: to give an attempt up is to close its connection, and an answer that is
//! spoilt spoils whatever waits behind it. Of a backend's idle connections the one used last is taken first, so that the
//! others grow old and are closed, and a few are always in use. Where descriptors are short an idle connection to
//! another backend makes room; where all are busy there is none, which says nothing about the backend.

use chalkgap_core::{BackendId, Micros};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// How long a connection rests after an answer: what comes behind an answer, and belongs to nobody, comes at once. A
/// request written earlier would take it for its own.
const REST: Micros = 2000;

struct Link {
    backend: BackendId,
    address: SocketAddr,
    /// Since when it is idle; none while it carries a request.
    idle: Option<Micros>,
    /// It ends with its request.
    leaving: bool,
}

/// What an attempt goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
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
    links: HashMap<u64, Link>,
    idle: HashMap<BackendId, BTreeSet<(Micros, u64)>>,
    /// All idle ones, the longest idle first.
    oldest: BTreeSet<(Micros, u64)>,
    next: u64,
}

impl Pool {
    /// A pool of at most `most` connections.
    pub fn new(most: usize) -> Self {
        Pool { most, links: HashMap::new(), idle: HashMap::new(), oldest: BTreeSet::new(), next: 1 }
    }

    /// How many connections there are.
    pub fn count(&self) -> usize {
        self.links.len()
    }

    /// Finds a way for an attempt.
    pub fn take(&mut self, now: Micros, backend: BackendId, address: SocketAddr) -> Way {
        let rested = (now.saturating_sub(REST), u64::MAX);
        loop {
            let last = self.idle.get(&backend).and_then(|i| i.range(..=rested).next_back()).copied();
            let Some((_, number)) = last else { break };
            self.unidle(number);
            let Some(link) = self.links.get_mut(&number) else { continue };
            if link.address == address {
                link.idle = None;
                return Way::Reuse(number);
            }
            self.links.remove(&number); // the backend is reached elsewhere by now
        }
        let mut close = None;
        if self.links.len() >= self.most {
            let Some((_, victim)) = self.oldest.first().copied() else { return Way::Full };
            self.remove(victim);
            close = Some(victim);
        }
        let number = self.next;
        self.next += 1;
        self.links.insert(number, Link { backend, address, idle: None, leaving: false });
        Way::Open { number, close }
    }

    fn unidle(&mut self, number: u64) {
        let Some(link) = self.links.get(&number) else { return };
        let Some(since) = link.idle else { return };
        self.oldest.remove(&(since, number));
        if let Some(idle) = self.idle.get_mut(&link.backend) {
            idle.remove(&(since, number));
            if idle.is_empty() {
                self.idle.remove(&link.backend);
            }
        }
    }

    fn remove(&mut self, number: u64) {
        self.unidle(number);
        self.links.remove(&number);
    }

    /// A connection's request has ended; false if the connection is to end with it.
    pub fn free(&mut self, now: Micros, number: u64) -> bool {
        let Some(link) = self.links.get_mut(&number).filter(|l| l.idle.is_none()) else { return true };
        if link.leaving {
            self.links.remove(&number);
            return false;
        }
        link.idle = Some(now);
        self.idle.entry(link.backend).or_default().insert((now, number));
        self.oldest.insert((now, number));
        true
    }

    /// A connection has ended, or will with its request; true if it is gone by this.
    pub fn closed(&mut self, number: u64) -> bool {
        match self.links.get_mut(&number) {
            Some(link) if link.idle.is_none() => {
                link.leaving = true;
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
        self.links.values_mut().filter(|l| !listed(l.backend)).for_each(|l| l.leaving = true);
        gone.into_iter().flat_map(|b| self.close_idle(b)).collect()
    }
}
