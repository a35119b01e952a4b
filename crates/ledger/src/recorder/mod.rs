//! What an ingress records of its own requests: whether a request can be recorded at all, which entries are written and
//! when, when a period is closed. Free of I/O and clock.
//!
//! An entry is *written* when the recorder makes it and *durable* when the disk has it; a request goes to a node only
//! after its open entry is durable. Entries become durable in the order of their numbers.

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
    /// Entries that may wait for the disk; with more, requests are rejected.
    pub max_waiting: usize,
    /// Requests are rejected while an entry has waited longer than this for the disk.
    pub slow_disk_after: Micros,
    /// After how long a rejected client may try again.
    pub retry_after: Micros,
    /// After a disk failure requests are served without being recorded; otherwise they are rejected.
    pub serve_unrecorded: bool,
    /// How long nodes are asked about a request before its end is presumed.
    pub lookup_timeout: Micros,
    /// How long nodes are still asked after that, for a correction.
    pub correction_window: Micros,
    /// How long to wait before the same node is asked again.
    pub lookup_interval: Micros,
    /// Unsettled requests that are remembered; beyond these, the oldest are presumed and no longer asked about.
    pub max_unsettled: usize,
}

/// Whether a request that comes now can be recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// Its use will be in the ledger.
    Recorded,
    /// It is served without being recorded: the disk has failed, and the configuration wants requests served.
    Unrecorded,
    /// It is rejected.
    Rejected {
        /// After how long the client may try again, in microseconds.
        retry_after: Micros,
    },
}

/// What is known of the end of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// A node answered.
    Ran {
        /// The node.
        node: String,
    },
    /// No attempt reached a node.
    NeverRan,
    /// Some nodes may have run it.
    Unknown {
        /// These nodes.
        nodes: BTreeSet<String>,
        /// The request's open entry.
        opened: Box<RequestOpened>,
    },
}

/// An open entry, for the one who had it written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryHandle {
    /// Its number.
    pub number: u64,
    /// When it was written.
    pub at: Micros,
}

/// Counters of a [`Recorder`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Requests whose end is not known.
    pub unsettled: usize,
    /// Ends that were presumed since the start.
    pub presumed: u64,
    /// Presumed ends that became known later, since the start.
    pub corrected: u64,
}

/// An entry that the disk does not have yet.
#[derive(Clone, Copy, Debug)]
struct WaitingEntry {
    number: u64,
    written_at: Micros,
}

/// Writes the entries of one incarnation of an ingress.
pub struct Recorder {
    ingress: u16,
    incarnation: u64,
    periods: Periods,
    config: Config,
    last_number: u64,
    last_at: Micros,
    /// Entries that were written and not yet taken for the disk.
    pending: Vec<Entry>,
    /// Entries that a request waits for.
    waiting: VecDeque<WaitingEntry>,
    durable_up_to: u64,
    disk_failed: bool,
    /// No request is opened in this period or before.
    closed_period: u64,
    unsettled: UnsettledRequests,
    presumed: u64,
    corrected: u64,
    recovery: Recovery,
}

impl Recorder {
    /// A recorder for a new incarnation; `recovery` has read the log of those before.
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
            // Earlier incarnations opened their requests in this period or before; no more are opened before it.
            recorder.append(now, EntryBody::PeriodClosed(PeriodClosed { period: closed }));
        }
        recorder.look_up_recovered(now);
        recorder
    }

    /// Its incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Writes an entry; returns its number. After a disk failure the entry is dropped.
    pub fn append(&mut self, now: Micros, body: EntryBody) -> u64 {
        self.last_number += 1;
        // Never decreases, so that no entry is added to a period that was closed.
        self.last_at = self.last_at.max(now);
        let id = EntryId { ingress: self.ingress, incarnation: self.incarnation, number: self.last_number };
        if !self.disk_failed {
            self.pending.push(Entry { id, at: self.last_at, body });
        }
        self.last_number
    }

    /// Whether a request that comes now can be recorded; decided before it is admitted.
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

    /// Writes a request's open entry; the request may be sent when it is durable. `None` after a disk failure.
    pub fn open_request(&mut self, now: Micros, opened: RequestOpened) -> Option<EntryHandle> {
        let number = self.append_and_wait(now, EntryBody::RequestOpened(opened))?;
        Some(EntryHandle { number, at: self.last_at })
    }

    /// Writes that the open request with the entry number `open` goes to one more node; it may be sent when the returned
    /// number is durable. `None` after a disk failure.
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

    /// Records the end of a request of this incarnation. Where it is unknown, the nodes are asked.
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

    /// Writes the presumed end of a request: nobody is billed for what cannot be shown to have run.
    fn write_presumed(&mut self, now: Micros, id: EntryId) {
        self.presumed += 1;
        let settled = RequestSettled { presumed: true, ..self.settled(id) };
        self.append(now, EntryBody::RequestSettled(settled));
    }

    /// The end of a request that used nothing.
    fn settled(&self, id: EntryId) -> RequestSettled {
        let incarnation = if id.incarnation == self.incarnation { 0 } else { id.incarnation };
        RequestSettled { open: id.number, incarnation, ..RequestSettled::default() }
    }

    /// The entries to write to the disk, in order, as one group; more may be written before it is durable.
    pub fn take_pending(&mut self) -> Vec<Entry> {
        std::mem::take(&mut self.pending)
    }

    /// The disk has all entries up to this number.
    pub fn mark_durable(&mut self, number: u64) {
        self.durable_up_to = self.durable_up_to.max(number);
        while self.waiting.front().is_some_and(|entry| entry.number <= self.durable_up_to) {
            self.waiting.pop_front();
        }
    }

    /// The number up to which the disk has all entries.
    pub fn durable_up_to(&self) -> u64 {
        self.durable_up_to
    }

    /// A write or sync has failed: nothing more is written. Requests that wait for the disk are never sent.
    pub fn fail_disk(&mut self) {
        self.disk_failed = true;
        self.pending.clear();
        self.waiting.clear();
    }

    /// Whether the disk has failed.
    pub fn disk_failed(&self) -> bool {
        self.disk_failed
    }

    /// To be called regularly: closes periods and presumes the ends of requests that no node could tell in time.
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

    /// The number of the last entry that was written.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Counters for telemetry.
    pub fn stats(&self) -> Stats {
        Stats { unsettled: self.unsettled.len(), presumed: self.presumed, corrected: self.corrected }
    }
}
