//! Discovery's list of backends, and [`Roster`], which decides what of it the module is told.

use chalkgap_core::{Availability, BackendId, Endpoint, EndpointUpdate, Micros};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Backends in one list; more are no list of this platform.
const MOST: usize = 20_000;
/// How long an older list than the one held must be all that comes before it is believed: discovery may have begun to
/// count anew, but far more often an agent is behind. What it has to tell counts as told some seconds after it came.
const BEHIND: Micros = 3_000_000;
/// How long after that it calls no backend back that drained or was gone by the newer list and has not started anew: what
/// was told of it stays told, and an agent that is behind for long looks just like one that counts anew.
const STAYS: Micros = 60_000_000;

/// A list or changes to it.
#[derive(Clone, Debug, Deserialize)]
pub struct List {
    /// Grows with each change.
    #[serde(default)]
    pub seq: u64,
    /// All backends, or only those that changed.
    #[serde(default)]
    pub whole: bool,
    /// A line for each.
    pub hosts: Vec<Host>,
}

/// A backend as listed.
#[derive(Clone, Debug, Deserialize)]
pub struct Host {
    /// Its identity, alike at all ingresses.
    pub host: String,
    /// Where it is reached from here.
    pub dial: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// The kind of its machine.
    #[serde(default)]
    pub class: String,
    /// Its cell.
    #[serde(default)]
    pub block: u16,
    /// Whether it takes work.
    pub health: Health,
    /// Its size.
    #[serde(default = "one")]
    pub share: f64,
    /// When it last started, in milliseconds since 1970; 0 for long ago.
    #[serde(default)]
    pub born_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// Whether a backend takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// Yes.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It was taken away.
    Gone,
}

/// A list in the module's words, with where each backend listens.
pub type Lines = Vec<(Endpoint, SocketAddr)>;

/// The number of a backend's identity: the same at all ingresses and after every restart.
pub fn backend(host: &str) -> BackendId {
    let hash = blake3::hash(host.as_bytes());
    let mut word = [0; 8];
    word.copy_from_slice(&hash.as_bytes()[..8]);
    BackendId(u64::from_le_bytes(word))
}

/// Why a list is not taken; what is held stays.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotTaken {
    /// It would call back what drains or is gone.
    #[error("list {found} is behind the one held, {held}: the agent answers with what it had before")]
    Behind {
        /// Its version.
        found: u64,
        /// That of the list that is held.
        held: u64,
    },
    /// No list of this platform.
    #[error("list {found}: expected at most {MOST} backends, found {hosts}")]
    Long {
        /// Its version.
        found: u64,
        /// How many it names.
        hosts: usize,
    },
}

/// Takes lists in the order in which they come. Free of I/O and clock.
#[derive(Default)]
pub struct Roster {
    zones: Vec<String>,
    kinds: Vec<String>,
    seq: u64,
    /// The first of the older lists that came since the last one that was taken.
    behind: Option<Micros>,
    /// The ready ones of the list that is held, with their starts.
    ready: BTreeMap<BackendId, u64>,
    /// Those that were told to drain or to be gone: their starts, and when that was. No more than a list may name.
    out: BTreeMap<BackendId, (u64, Micros)>,
    /// The newest version that was ever held, and when an older one took its place.
    newest: u64,
    older: Option<Micros>,
}

impl Roster {
    /// A roster that holds nothing yet.
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> Self {
        Roster { zones, kinds, ..Roster::default() }
    }

    /// Whether a list is held.
    pub fn holds(&self) -> bool {
        !self.ready.is_empty() || !self.out.is_empty()
    }

    /// The version that is held.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// The list that an ingress had in an earlier life.
    pub fn known(&mut self, now: Micros, list: &List) -> (EndpointUpdate, Lines) {
        (self.seq, self.newest) = (list.seq, list.seq);
        let lines = self.lines(list);
        self.note(now, list.whole, &lines);
        (EndpointUpdate::Cached, lines)
    }

    /// A list came.
    ///
    /// # Errors
    /// See [`NotTaken`].
    pub fn take(&mut self, now: Micros, list: &List) -> Result<(EndpointUpdate, Lines), NotTaken> {
        if list.hosts.len() > MOST {
            return Err(NotTaken::Long { found: list.seq, hosts: list.hosts.len() });
        }
        if list.seq < self.seq {
            let since = *self.behind.get_or_insert(now);
            if !list.whole || now < since + BEHIND {
                return Err(NotTaken::Behind { found: list.seq, held: self.seq });
            }
        }
        (self.seq, self.behind) = (list.seq, None);
        if list.seq < self.newest && now < *self.older.get_or_insert(now) + STAYS {
            // Discovery may count anew, or be behind.
        } else {
            (self.newest, self.older) = (list.seq, None);
        }
        let mut lines = self.lines(list);
        if self.older.is_some() {
            let again = |l: &Endpoint| self.out.get(&l.backend).is_some_and(|o| o.0 == l.started_at);
            for (l, _) in lines.iter_mut().filter(|(l, _)| l.availability == Availability::Ready && again(l))
            {
                l.availability = Availability::Draining;
            }
        }
        self.note(now, list.whole, &lines);
        let kind = if list.whole { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta };
        Ok((kind, lines))
    }

    /// Remembers who was called away by these lines.
    fn note(&mut self, now: Micros, whole: bool, lines: &Lines) {
        let mut before = if whole { std::mem::take(&mut self.ready) } else { BTreeMap::new() };
        for (l, _) in lines {
            before.remove(&l.backend);
            if l.availability == Availability::Ready {
                self.out.remove(&l.backend);
                self.ready.insert(l.backend, l.started_at);
            } else {
                let started = self.ready.remove(&l.backend).unwrap_or(l.started_at);
                self.out.entry(l.backend).or_insert((started, now));
            }
        }
        // Named no more by a whole list.
        self.out.extend(before.into_iter().map(|(id, started)| (id, (started, now))));
        let older = self.older.is_some();
        self.out.retain(|_, o| older || now < o.1 + STAYS);
        while self.out.len() > MOST {
            self.out.pop_first();
        }
    }

    fn lines(&self, list: &List) -> Lines {
        let number = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let line = |h: &Host| {
            // A zone that the settings do not name is nobody's: told apart from all of theirs.
            let zone = number(&self.zones, &h.site).unwrap_or(self.zones.len());
            let kind = number(&self.kinds, &h.class).unwrap_or(self.kinds.len());
            let listed = Endpoint {
                backend: backend(&h.host),
                zone: zone.min(255) as u8,
                cell: h.block,
                kind: kind.min(65_535) as u16,
                availability: match h.health {
                    Health::Ready => Availability::Ready,
                    Health::Draining => Availability::Draining,
                    Health::Gone => Availability::Gone,
                },
                weight: h.share,
                started_at: h.born_ms.saturating_mul(1000),
            };
            (listed, h.dial)
        };
        list.hosts.iter().map(line).collect()
    }
}
