//! Decides which batches an ingress exports, and when. Does no I/O and reads no clock.
//!
//! Accounts are distributed over streams, one per ingress of a group. A stream is a sequence of numbered batches at the
//! consumer. The consumer stores the first batch that it receives with a number, and returns that batch to an exporter
//! that sends a different one with the same number. Each batch contains the changes since all earlier batches of the
//! stream. So even if two exporters of a stream cannot reach each other, only one batch per number counts, and both
//! learn which. The home ingress of a stream exports it. The other ingresses take over, one after the other, only if
//! the export makes no progress.

use crate::entry::{Batch, BatchAcknowledged, EntryBody, Line, Range};
use crate::usage_totals::{StreamPosition, UsageTotals};
use crate::Micros;
use std::collections::BTreeMap;

/// Intervals and limits of an [`Exporter`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Time from the end of a period until it is final even if some ingress has not closed it, entries are missing or
    /// requests are open.
    pub final_after: Micros,
    /// Interval at which a stream is checked.
    pub check_interval: Micros,
    /// How long the export of a stream makes no progress before the next ingress takes over.
    pub takeover_delay: Micros,
    /// Maximum number of lines of a batch.
    pub max_lines: usize,
}

/// The consumer's reply to a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum ConsumerReply {
    /// The consumer has stored this batch.
    Stored,
    /// The consumer has stored a different batch with this number.
    StoredOther(Batch),
    /// The consumer lacks earlier batches of the stream.
    Gap {
        /// Number of the last batch that the consumer has; 0 for none.
        last: u64,
    },
    /// The consumer did not reply. It is unknown whether it has stored the batch.
    None,
}

impl ConsumerReply {
    /// Returns the reply of a consumer that returned `stored`, the batch that it has with the number of `sent`.
    pub fn of_stored(sent: &Batch, stored: Batch) -> ConsumerReply {
        if stored == *sent {
            ConsumerReply::Stored
        } else {
            ConsumerReply::StoredOther(stored)
        }
    }
}

/// The next step in exporting a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum ExportStep {
    /// Writes the batch to the ledger; it must be durable before the next step.
    Write(Batch),
    /// Sends the batch, which is durable, to the consumer.
    Send(Batch),
}

/// Why a stream is not exported although changes are due.
///
/// The command line prints these texts, which must not change.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExportBlocked {
    /// Entries from which earlier batches were computed are missing at this ingress.
    #[error("Lacks({0:?})")]
    MissingEntries(Vec<Range>),
    /// The consumer lacks batches that it had acknowledged.
    #[error("ConsumerLost {{ last: {last}, next: {next} }}")]
    ConsumerLost {
        /// Number of the last batch that the consumer has.
        last: u64,
        /// Number of the next batch at this ingress.
        next: u64,
    },
}

/// The work that is due for a stream; the export makes progress when this changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Work {
    acknowledged: u64,
    has_pending: bool,
}

/// Work that is due and has not changed since a time.
#[derive(Clone, Copy, Debug)]
struct UndoneWork {
    work: Work,
    since: Micros,
}

#[derive(Default)]
struct StreamState {
    next_check_at: Micros,
    undone: Option<UndoneWork>,
    blocked: Option<ExportBlocked>,
}

/// Decides which batches one ingress exports.
pub struct Exporter {
    ingress: u16,
    group: Vec<u16>,
    config: Config,
    /// State of each stream, by shard. The home ingress of a shard is at the shard's index in `group`.
    states: BTreeMap<usize, StreamState>,
}

/// Returns the shard of an account: a hash of the account, modulo the number of shards.
pub fn shard_of(account: &str, shards: usize) -> usize {
    let hash = blake3::hash(account.as_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash.as_bytes()[..8]);
    (u64::from_le_bytes(prefix) % shards.max(1) as u64) as usize
}

impl Exporter {
    /// Creates the exporter of one ingress of a group. All ingresses of a group must have the same list.
    pub fn new(ingress: u16, mut group: Vec<u16>, config: Config) -> Self {
        group.sort_unstable();
        group.dedup();
        Exporter { ingress, group, config, states: BTreeMap::new() }
    }

    /// Returns the name of a shard's stream: the ingresses of the group, and the shard.
    pub fn stream_name(&self, shard: usize) -> String {
        let ingresses: Vec<String> = self.group.iter().map(u16::to_string).collect();
        format!("{}.{shard}", ingresses.join("-"))
    }

    /// Returns the latest period such that it and all earlier ones are final. A period is final if all ingresses of the
    /// group have closed it, no entry is missing and no request is open, or after [`Config::final_after`].
    pub fn final_until(&self, now: Micros, totals: &UsageTotals) -> Option<u64> {
        let complete = self.group.iter().map(|ingress| totals.last_complete_period(*ingress));
        let complete = complete.min().flatten();
        let settled = complete.and_then(|period| match totals.first_open_period() {
            Some(open) => open.checked_sub(1).map(|last_settled| period.min(last_settled)),
            None => Some(period),
        });
        let past = now.checked_sub(self.config.final_after);
        let timed_out = past.and_then(|past| totals.periods().of(past).checked_sub(1));
        settled.max(timed_out)
    }

    /// Returns the next step; `None` if none is due. Before the next call, the caller must have added the batch of
    /// [`ExportStep::Write`] to the totals, or have called [`Exporter::replied`] after [`ExportStep::Send`].
    pub fn next_step(&mut self, now: Micros, totals: &UsageTotals) -> Option<ExportStep> {
        (0..self.group.len()).find_map(|shard| self.next_step_of(shard, now, totals))
    }

    fn next_step_of(&mut self, shard: usize, now: Micros, totals: &UsageTotals) -> Option<ExportStep> {
        if self.states.get(&shard).is_some_and(|state| state.next_check_at > now) {
            return None;
        }
        let stream = self.stream_name(shard);
        let position = totals.stream_position(&stream);
        let until = self.final_until(now, totals);
        let lines = self.lines_due(shard, until, totals);
        let takeover_delay = self.config.takeover_delay.saturating_mul(self.distance_from_home(shard));
        let state = self.states.entry(shard).or_default();
        state.next_check_at = now + self.config.check_interval;
        if position.pending.is_none() && lines.is_empty() {
            state.undone = None;
            state.blocked = None;
            return None;
        }
        let unchanged_since = state.unchanged_since(&position, now);
        if now < unchanged_since + takeover_delay {
            return None;
        }
        if let Some(batch) = position.pending {
            return Some(ExportStep::Send(batch));
        }
        if !position.missing.is_empty() {
            state.blocked = Some(ExportBlocked::MissingEntries(position.missing));
            return None;
        }
        state.blocked = None;
        // The batch is sent as soon as it is written, so the stream is checked again at once.
        state.next_check_at = now;
        Some(ExportStep::Write(Batch {
            stream,
            number: position.acknowledged + 1,
            lines: billed_in(lines, totals.periods().of(now), position.covered_until),
            basis: totals.ranges(),
            until: until.unwrap_or(0),
        }))
    }

    fn lines_due(&self, shard: usize, until: Option<u64>, totals: &UsageTotals) -> Vec<Line> {
        let Some(until) = until else { return Vec::new() };
        let shards = self.group.len();
        totals.unexported_lines(until, |account| shard_of(account, shards) == shard, self.config.max_lines)
    }

    /// Returns how many ingresses export a stream before this one takes over; 0 for the home ingress.
    fn distance_from_home(&self, shard: usize) -> u64 {
        let shards = self.group.len().max(1);
        let own_position = self.group.iter().position(|ingress| *ingress == self.ingress).unwrap_or(0);
        ((own_position + shards - shard) % shards) as u64
    }

    /// Handles the consumer's reply to a batch. Returns the entries to write, in this order.
    pub fn replied(&mut self, now: Micros, batch: &Batch, reply: ConsumerReply) -> Vec<EntryBody> {
        let shards = 0..self.group.len();
        let shard = shards.into_iter().find(|shard| self.stream_name(*shard) == batch.stream);
        let state = self.states.entry(shard.unwrap_or(0)).or_default();
        state.next_check_at = now;
        state.blocked = None;
        match reply {
            ConsumerReply::Stored => vec![acknowledgement(batch)],
            ConsumerReply::StoredOther(other)
                if other.stream == batch.stream && other.number == batch.number =>
            {
                vec![acknowledgement(&other), EntryBody::BatchPrepared(other)]
            }
            ConsumerReply::Gap { last } => {
                state.next_check_at = now + self.config.check_interval;
                state.blocked = Some(ExportBlocked::ConsumerLost { last, next: batch.number });
                Vec::new()
            }
            ConsumerReply::StoredOther(_) | ConsumerReply::None => {
                state.next_check_at = now + self.config.check_interval;
                Vec::new()
            }
        }
    }

    /// Returns the streams that are blocked, and the reasons.
    pub fn blocked(&self) -> impl Iterator<Item = (String, &ExportBlocked)> {
        let states = self.states.iter();
        states.filter_map(|(shard, state)| Some((self.stream_name(*shard), state.blocked.as_ref()?)))
    }
}

impl StreamState {
    /// Returns the time since which the due work of this stream has not changed; `now` if it is new or has changed since
    /// the last call.
    fn unchanged_since(&mut self, position: &StreamPosition, now: Micros) -> Micros {
        let work = Work { acknowledged: position.acknowledged, has_pending: position.pending.is_some() };
        let since = self.undone.filter(|undone| undone.work == work).map_or(now, |undone| undone.since);
        self.undone = Some(UndoneWork { work, since });
        since
    }
}

fn acknowledgement(batch: &Batch) -> EntryBody {
    EntryBody::BatchAcknowledged(BatchAcknowledged {
        stream: batch.stream.clone(),
        number: batch.number,
        digest: batch.digest().to_vec(),
    })
}

/// Sets [`Line::billed`] to the current period in lines whose own period is already covered by earlier batches.
fn billed_in(mut lines: Vec<Line>, current_period: u64, covered_until: Option<u64>) -> Vec<Line> {
    for line in &mut lines {
        if covered_until.is_some_and(|covered| line.period <= covered) {
            line.billed = current_period;
        }
    }
    lines
}
