//! Anti-entropy with one other ingress: asks which entries it has, then fetches those that are missing here, in parts
//! and at a bounded rate. Free of I/O and clock. Nothing is pushed: the one who fetches decides how much comes.

use crate::entry::{Entry, EntryId, IncarnationId, Range};
use crate::sequence_ranges::SequenceRanges;
use crate::usage_totals::UsageTotals;
use crate::Micros;
use std::collections::BTreeMap;

/// Intervals and limits of a [`Reconciler`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// How often the peer is asked which entries it has.
    pub list_interval: Micros,
    /// Entries a second that are fetched from the peer.
    pub max_entries_per_second: f64,
    /// Entries of one fetch.
    pub max_entries_per_fetch: u64,
    /// Ranges that the peer may list; more is an error.
    pub max_ranges: usize,
}

/// How long to wait for more allowance while entries are missing.
const FETCH_RETRY_MICROS: Micros = 100_000;
/// Fetches a second while many entries are missing: more and smaller ones are not worth their calls.
const MAX_FETCHES_PER_SECOND: f64 = 10.0;

/// A request to the peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerRequest {
    /// Which entries it has.
    List,
    /// These entries.
    Fetch(Vec<Range>),
}

/// What a [`Reconciler`] does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Send a request.
    Send(PeerRequest),
    /// Nothing before this time.
    WaitUntil(Micros),
}

/// Why a peer's answer is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// It lists more ranges than are allowed.
    #[error("it tells of {0} ranges")]
    TooManyRanges(usize),
    /// A range (its first and last number, its ingress) is invalid.
    #[error("a range from {0} to {1} of ingress {2}")]
    InvalidRange(u64, u64, u32),
    /// An entry came that was not requested.
    #[error("entry {} of ingress {} came unasked", .0.number, .0.ingress)]
    Unrequested(EntryId),
    /// It lists an entry (its number) of this very incarnation that was never written here (the last number that was).
    #[error("it has entry {0} of this start, and only {1} were written")]
    NeverWritten(u64, u64),
}

/// Reconciles with one other ingress.
pub struct Reconciler {
    own: IncarnationId,
    config: Config,
    /// What the peer has, by its last list.
    listed: BTreeMap<IncarnationId, SequenceRanges>,
    next_list_at: Micros,
    /// Entries that may be fetched now.
    allowance: f64,
    allowance_at: Micros,
    requested: Vec<Range>,
}

impl Reconciler {
    /// For the incarnation `own` of this ingress.
    pub fn new(own: IncarnationId, config: Config) -> Self {
        Reconciler {
            own,
            config,
            listed: BTreeMap::new(),
            next_list_at: 0,
            allowance: 0.0,
            allowance_at: 0,
            requested: Vec::new(),
        }
    }

    /// What to do now.
    pub fn next_action(&mut self, now: Micros, totals: &UsageTotals) -> NextAction {
        self.refill(now);
        let (missing, any_missing) = self.missing_in(totals);
        if any_missing && self.allowance >= self.min_fetch() {
            self.requested.clone_from(&missing);
            return NextAction::Send(PeerRequest::Fetch(missing));
        }
        if now >= self.next_list_at {
            self.next_list_at = now + self.config.list_interval;
            return NextAction::Send(PeerRequest::List);
        }
        NextAction::WaitUntil(match any_missing {
            true => self.next_list_at.min(now + FETCH_RETRY_MICROS),
            false => self.next_list_at,
        })
    }

    fn refill(&mut self, now: Micros) {
        let elapsed_seconds = now.saturating_sub(self.allowance_at) as f64 / 1e6;
        let rate = self.config.max_entries_per_second;
        self.allowance_at = now;
        self.allowance = (self.allowance + elapsed_seconds * rate).min(rate.max(1.0));
    }

    /// The smallest allowance that is used for a fetch.
    fn min_fetch(&self) -> f64 {
        let worthwhile = self.config.max_entries_per_second / MAX_FETCHES_PER_SECOND;
        (self.config.max_entries_per_fetch as f64).min(worthwhile).max(1.0)
    }

    /// Ranges to fetch, as far as limit and allowance permit, and whether anything is missing at all.
    fn missing_in(&self, totals: &UsageTotals) -> (Vec<Range>, bool) {
        let mut remaining = self.config.max_entries_per_fetch.min(self.allowance as u64);
        let mut ranges = Vec::new();
        let mut any_missing = false;
        for (id, listed) in self.listed.iter().filter(|(id, _)| **id != self.own) {
            let missing = totals.missing_from(*id, listed.as_slice(), remaining.max(1));
            any_missing |= !missing.is_empty();
            for numbers in missing {
                if remaining > 0 {
                    remaining -= numbers.count().min(remaining);
                    ranges.push(Range::new(*id, numbers));
                }
            }
        }
        (ranges, any_missing)
    }

    /// The peer has listed which entries it has. `last_written` is the last number of this incarnation.
    ///
    /// # Errors
    /// See [`PeerError`]; nothing of the list is used then.
    pub fn listed(&mut self, ranges: &[Range], last_written: u64) -> Result<(), PeerError> {
        if ranges.len() > self.config.max_ranges {
            return Err(PeerError::TooManyRanges(ranges.len()));
        }
        let mut listed: BTreeMap<IncarnationId, SequenceRanges> = BTreeMap::new();
        for range in ranges {
            let id = check_range(range)?;
            if id == self.own && range.to > last_written {
                return Err(PeerError::NeverWritten(range.to, last_written));
            }
            listed.entry(id).or_default().insert_range(range.numbers());
        }
        self.listed = listed;
        Ok(())
    }

    /// The peer has returned entries for the last fetch. Those that it left out are fetched again later.
    ///
    /// # Errors
    /// See [`PeerError`]; none of the entries may be used then.
    pub fn fetched(&mut self, entries: &[Entry]) -> Result<(), PeerError> {
        for entry in entries {
            if !self.requested.iter().any(|range| range.contains(entry.id)) {
                return Err(PeerError::Unrequested(entry.id));
            }
        }
        self.allowance -= entries.len() as f64;
        if entries.is_empty() {
            self.listed.clear(); // it does not give what it has listed: ask for a new list first
        }
        Ok(())
    }

    /// The peer did not answer, or its answer was rejected: it is left alone until the next list.
    pub fn failed(&mut self, now: Micros) {
        self.listed.clear();
        self.next_list_at = now + self.config.list_interval;
    }
}

fn check_range(range: &Range) -> Result<IncarnationId, PeerError> {
    let invalid = PeerError::InvalidRange(range.from, range.to, range.ingress);
    let ingress = u16::try_from(range.ingress).map_err(|_| invalid)?;
    if range.from == 0 || range.from > range.to || range.to == u64::MAX {
        return Err(invalid);
    }
    Ok(IncarnationId { ingress, incarnation: range.incarnation })
}
