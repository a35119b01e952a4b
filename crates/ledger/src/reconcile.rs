//! Anti-entropy with one other ingress, the peer: asks which entries the peer has, then fetches those that are missing
//! here, in parts and at a bounded rate. Entries are only fetched, never pushed, so that the receiver limits the rate.
//! Does no I/O and reads no clock.

use crate::entry::{Entry, EntryId, IncarnationId, Range};
use crate::sequence_ranges::SequenceRanges;
use crate::usage_totals::UsageTotals;
use crate::Micros;
use std::collections::BTreeMap;

/// Intervals and limits of a [`Reconciler`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Interval at which the peer is asked which entries it has.
    pub list_interval: Micros,
    /// Maximum number of entries per second that are fetched from the peer.
    pub max_entries_per_second: f64,
    /// Maximum number of entries per fetch.
    pub max_entries_per_fetch: u64,
    /// Maximum number of ranges that the peer may list.
    pub max_ranges: usize,
}

/// Delay before the allowance is checked again while entries are missing.
const FETCH_RETRY_MICROS: Micros = 100_000;
/// Maximum number of fetches per second while many entries are missing, to avoid many calls for few entries each.
const MAX_FETCHES_PER_SECOND: f64 = 10.0;

/// A request to the peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerRequest {
    /// Asks which entries the peer has.
    List,
    /// Asks for the entries in these ranges.
    Fetch(Vec<Range>),
}

/// What the caller of a [`Reconciler`] does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Sends a request to the peer.
    Send(PeerRequest),
    /// Waits until this time, in microseconds since 1970.
    WaitUntil(Micros),
}

/// Why a peer's answer is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// The peer lists this number of ranges, which is more than [`Config::max_ranges`].
    #[error("the peer lists too many ranges: {0}")]
    TooManyRanges(usize),
    /// A range (first number, last number, ingress) is invalid.
    #[error("the peer lists an invalid range: {0} to {1} of ingress {2}")]
    InvalidRange(u64, u64, u32),
    /// The peer returned an entry that was not requested.
    #[error("the peer returned entry {} of ingress {}, which was not requested", .0.number, .0.ingress)]
    Unrequested(EntryId),
    /// The peer lists an entry of the local incarnation that was never written. The fields are the number of that entry
    /// and the number of the last entry that was written.
    #[error("the peer lists entry {0} of the local incarnation, but the last one written is {1}")]
    NeverWritten(u64, u64),
}

/// Fetches missing entries from one other ingress.
pub struct Reconciler {
    own: IncarnationId,
    config: Config,
    /// The entries that the peer has, according to its last list.
    listed: BTreeMap<IncarnationId, SequenceRanges>,
    next_list_at: Micros,
    /// Number of entries that may be fetched now.
    allowance: f64,
    /// When the allowance was last refilled.
    allowance_at: Micros,
    /// The ranges of the last fetch. The peer may return only entries in them.
    requested: Vec<Range>,
}

impl Reconciler {
    /// Creates a reconciler for the local incarnation `own`, whose entries are never fetched.
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

    /// Returns the next action of the caller.
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

    /// Refills the allowance, up to the entries of one second.
    fn refill(&mut self, now: Micros) {
        let elapsed_seconds = now.saturating_sub(self.allowance_at) as f64 / 1e6;
        let rate = self.config.max_entries_per_second;
        self.allowance_at = now;
        self.allowance = (self.allowance + elapsed_seconds * rate).min(rate.max(1.0));
    }

    /// Returns the smallest allowance with which a fetch is sent.
    fn min_fetch(&self) -> f64 {
        let entries_per_fetch = self.config.max_entries_per_second / MAX_FETCHES_PER_SECOND;
        (self.config.max_entries_per_fetch as f64).min(entries_per_fetch).max(1.0)
    }

    /// Returns the ranges to fetch, within the limit of a fetch and the allowance, and whether any entry is missing.
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

    /// Handles the peer's list of the entries that it has. `last_written` is the last number written in the local
    /// incarnation.
    ///
    /// # Errors
    /// [`PeerError::TooManyRanges`], [`PeerError::InvalidRange`] or [`PeerError::NeverWritten`]; the list is then
    /// ignored.
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

    /// Handles the entries that the peer returned for the last fetch. Entries that it left out are fetched again later.
    ///
    /// # Errors
    /// [`PeerError::Unrequested`]; none of the entries may be used then.
    pub fn fetched(&mut self, entries: &[Entry]) -> Result<(), PeerError> {
        for entry in entries {
            if !self.requested.iter().any(|range| range.contains(entry.id)) {
                return Err(PeerError::Unrequested(entry.id));
            }
        }
        self.allowance -= entries.len() as f64;
        if entries.is_empty() {
            self.listed.clear(); // the peer returned none of the entries that it had listed: ask for a new list first
        }
        Ok(())
    }

    /// Handles a request that the peer did not answer, or whose answer was rejected: nothing is requested before the
    /// next list is due.
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
