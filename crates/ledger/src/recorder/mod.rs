//! Records the requests of one ingress: decides whether a request can be recorded, which entries are written, and when
//! a billing period is closed. Does no I/O and reads no clock.
//!
//! An entry is *written* when the recorder creates it and *durable* once it is synced to the disk. A request is sent to
//! a node only after its open entry is durable. Entries become durable in the order of their sequence numbers.

mod recovery;
mod usage_lookup;

pub use recovery::Recovery;
pub use usage_lookup::{LookupRequest, RequestStatus};

use crate::entry::{
    AttemptAdded, Entry, EntryBody, EntryId, IncarnationStarted, PeriodClosed, RequestOpened, RequestSettled,
};
use crate::period::Periods;
use crate::Micros;
use std::collections::{BTreeSet, VecDeque};
use usage_lookup::{UnsettledRequest, UnsettledRequests};

/// Limits and timeouts of a [`Recorder`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Maximum number of entries of requests that wait to become durable. Requests are rejected while as many wait.
    pub max_waiting: usize,
    /// Requests are rejected while an entry has waited longer than this to become durable.
    pub slow_disk_after: Micros,
    /// Delay after which the client of a rejected request may retry.
    pub retry_after: Micros,
    /// Whether requests are served without being recorded after a disk failure. If false, they are rejected.
    pub serve_unrecorded: bool,
    /// How long nodes are asked about a request before its outcome is presumed.
    pub lookup_timeout: Micros,
    /// How long nodes are still asked after the outcome was presumed; an answer in this time becomes a correction.
    pub correction_window: Micros,
    /// Minimum time between two lookups at the same node.
    pub lookup_interval: Micros,
    /// Maximum number of requests with an unknown outcome. Beyond it, the outcomes of the oldest requests are presumed,
    /// and nodes are no longer asked about them.
    pub max_unsettled: usize,
}

/// Whether a new request can be recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// The request is recorded in the ledger.
    Recorded,
    /// The request is served without being recorded, as the disk has failed and [`Config::serve_unrecorded`] is set.
    Unrecorded,
    /// The request is rejected.
    Rejected {
        /// Delay after which the client may retry, in microseconds.
        retry_after: Micros,
    },
}

/// What the ingress knows about the outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// A node answered the request.
    Ran {
        /// The node.
        node: String,
    },
    /// No attempt reached a node.
    NeverRan,
    /// It is unknown whether the request ran.
    Unknown {
        /// The nodes that may have run the request.
        nodes: BTreeSet<String>,
        /// The request's open entry.
        opened: Box<RequestOpened>,
    },
}

/// Refers to the open entry of a request of this incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryHandle {
    /// Sequence number of the entry.
    pub number: u64,
    /// Time of the entry.
    pub at: Micros,
}

/// Counters of a [`Recorder`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Requests about which nodes are asked: the outcome is unknown or presumed.
    pub unsettled: usize,
    /// Outcomes that were presumed since the start.
    pub presumed: u64,
    /// Presumed outcomes that became known later, since the start.
    pub corrected: u64,
}

/// An entry that a request waits for and that is not durable yet.
#[derive(Clone, Copy, Debug)]
struct WaitingEntry {
    number: u64,
    written_at: Micros,
}

/// Creates the entries of one incarnation of an ingress.
pub struct Recorder {
    ingress: u16,
    incarnation: u64,
    periods: Periods,
    config: Config,
    last_number: u64,
    last_at: Micros,
    /// Entries that were written and not yet taken by [`Recorder::take_pending`].
    pending: Vec<Entry>,
    /// Entries that are not durable yet and that a request waits for, in the order of their numbers.
    waiting: VecDeque<WaitingEntry>,
    durable_up_to: u64,
    disk_failed: bool,
    /// No request is opened in this period or an earlier one.
    closed_period: u64,
    unsettled: UnsettledRequests,
    presumed: u64,
    corrected: u64,
    recovery: Recovery,
}

impl Recorder {
    /// Creates the recorder of a new incarnation; `recovery` has read the log of the earlier ones.
    pub fn new(
        ingress: u16,
        incarnation: u64,
        periods: Periods,
        config: Config,
        recovery: Recovery,
        now: Micros,
    ) -> Self {
        let last_at = now.max(recovery.last_at);
        let period = periods.of(last_at);
        let previous = recovery.last_position;
        let mut recorder = Recorder {
            ingress,
            incarnation,
            periods,
            config,
            last_number: 0,
            last_at,
            pending: Vec::new(),
            waiting: VecDeque::new(),
            durable_up_to: 0,
            disk_failed: false,
            closed_period: period.saturating_sub(1),
            unsettled: UnsettledRequests::default(),
            presumed: 0,
            corrected: 0,
            recovery,
        };
        let started =
            IncarnationStarted { period, incarnation: previous.incarnation, number: previous.number };
        recorder.append(now, EntryBody::IncarnationStarted(started));
        if let Some(closed) = period.checked_sub(1) {
            // Earlier incarnations opened their requests in `period` or before. From now on none is opened before
            // `period`.
            recorder.append(now, EntryBody::PeriodClosed(PeriodClosed { period: closed }));
        }
        recorder.look_up_recovered(now);
        recorder
    }

    /// Returns the incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Writes an entry and returns its sequence number. After a disk failure the entry is dropped.
    pub fn append(&mut self, now: Micros, body: EntryBody) -> u64 {
        self.last_number += 1;
        // The time never decreases, so that no entry is added to a closed period.
        self.last_at = self.last_at.max(now);
        let id = EntryId { ingress: self.ingress, incarnation: self.incarnation, number: self.last_number };
        if !self.disk_failed {
            self.pending.push(Entry { id, at: self.last_at, body });
        }
        self.last_number
    }

    /// Returns whether a new request can be recorded. Called before the request is admitted.
    pub fn reserve(&self, now: Micros) -> Reservation {
        let retry_after = self.config.retry_after;
        if self.disk_failed {
            return match self.config.serve_unrecorded {
                true => Reservation::Unrecorded,
                false => Reservation::Rejected { retry_after },
            };
        }
        let oldest = self.waiting.front();
        let oldest_wait = oldest.map_or(0, |entry| now.saturating_sub(entry.written_at));
        if self.waiting.len() >= self.config.max_waiting || oldest_wait > self.config.slow_disk_after {
            return Reservation::Rejected { retry_after };
        }
        Reservation::Recorded
    }

    /// Writes the open entry of a request; the request may be sent once the entry is durable. Returns `None` after a
    /// disk failure.
    pub fn open_request(&mut self, now: Micros, opened: RequestOpened) -> Option<EntryHandle> {
        let number = self.append_and_wait(now, EntryBody::RequestOpened(opened))?;
        Some(EntryHandle { number, at: self.last_at })
    }

    /// Writes that a request is about to be sent to another node; `open` is the number of its open entry. The attempt
    /// may be sent once the entry with the returned number is durable. Returns `None` after a disk failure.
    pub fn add_attempt(&mut self, now: Micros, open: u64, node: String) -> Option<u64> {
        self.append_and_wait(now, EntryBody::AttemptAdded(AttemptAdded { open, node }))
    }

    fn append_and_wait(&mut self, now: Micros, body: EntryBody) -> Option<u64> {
        if self.disk_failed {
            return None;
        }
        let number = self.append(now, body);
        self.waiting.push_back(WaitingEntry { number, written_at: now });
        Some(number)
    }

    /// Records the outcome of a request of this incarnation. If it is unknown, the nodes are asked.
    pub fn settle(&mut self, now: Micros, handle: EntryHandle, units: u64, settlement: Settlement) {
        if self.disk_failed {
            return;
        }
        let id = EntryId { ingress: self.ingress, incarnation: self.incarnation, number: handle.number };
        match settlement {
            Settlement::Ran { node } => self.write_ran(now, id, units, node),
            Settlement::NeverRan => self.write_never_ran(now, id),
            Settlement::Unknown { nodes, opened } => {
                let expires_at = now + self.config.lookup_timeout;
                let request = UnsettledRequest::new(&opened, handle.at, nodes, expires_at);
                self.unsettled.insert(id, request);
            }
        }
    }

    fn write_ran(&mut self, now: Micros, id: EntryId, units: u64, node: String) {
        let settled = RequestSettled { units, node, ..self.settled(id) };
        self.append(now, EntryBody::RequestSettled(settled));
    }

    fn write_never_ran(&mut self, now: Micros, id: EntryId) {
        let settled = self.settled(id);
        self.append(now, EntryBody::RequestSettled(settled));
    }

    /// Writes that a request is presumed to have used no units: a request is billed only if a node confirms that it
    /// ran.
    fn write_presumed(&mut self, now: Micros, id: EntryId) {
        self.presumed += 1;
        let settled = RequestSettled { presumed: true, ..self.settled(id) };
        self.append(now, EntryBody::RequestSettled(settled));
    }

    /// Returns the body that settles a request with 0 units.
    fn settled(&self, id: EntryId) -> RequestSettled {
        let incarnation = if id.incarnation == self.incarnation { 0 } else { id.incarnation };
        RequestSettled { open: id.number, incarnation, ..RequestSettled::default() }
    }

    /// Takes the entries to commit to the disk, in order, as one group. More may be written before the group is
    /// durable.
    pub fn take_pending(&mut self) -> Vec<Entry> {
        std::mem::take(&mut self.pending)
    }

    /// Marks all entries up to this number as durable.
    pub fn mark_durable(&mut self, number: u64) {
        self.durable_up_to = self.durable_up_to.max(number);
        while self.waiting.front().is_some_and(|entry| entry.number <= self.durable_up_to) {
            self.waiting.pop_front();
        }
    }

    /// Returns the number up to which all entries are durable.
    pub fn durable_up_to(&self) -> u64 {
        self.durable_up_to
    }

    /// Marks the disk as failed, after a failed write or sync: no more entries are written, and requests that wait for
    /// an entry are never sent.
    pub fn mark_disk_failed(&mut self) {
        self.disk_failed = true;
        self.pending.clear();
        self.waiting.clear();
    }

    /// Returns whether the disk has failed.
    pub fn disk_failed(&self) -> bool {
        self.disk_failed
    }

    /// Closes periods that have ended, and presumes the outcomes of requests whose lookup has timed out. Must be called
    /// regularly.
    pub fn tick(&mut self, now: Micros) {
        if self.disk_failed {
            return;
        }
        self.last_at = self.last_at.max(now);
        let period = self.periods.of(self.last_at);
        if period > self.closed_period + 1 {
            self.closed_period = period - 1;
            self.append(now, EntryBody::PeriodClosed(PeriodClosed { period: period - 1 }));
        }
        self.presume_expired(now);
        self.presume_excess(now);
    }

    /// Returns the number of the last entry that was written.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Returns counters for telemetry.
    pub fn stats(&self) -> Stats {
        Stats { unsettled: self.unsettled.len(), presumed: self.presumed, corrected: self.corrected }
    }
}
