//! Decides which batches an ingress exports, and when. Free of I/O and clock.
//!
//! Accounts are distributed over streams, one for each ingress of a group. A stream is a sequence of numbered batches at
//! the consumer, which stores the first batch that it gets of a number and returns that one to whoever sends another. So
//! two exporters of one stream cannot both believe to have delivered, whether or not they hear each other: each batch
//! holds the change since all before it, and only one of them becomes the next. A stream's home ingress exports it; the
//! others take over one after the other only when nothing moves.

use crate::entry::{Batch, BatchAcknowledged, EntryBody, Line, Range};
use crate::usage_totals::{StreamPosition, UsageTotals};
use crate::Micros;
use std::collections::BTreeMap;

/// Intervals and limits of an [`Exporter`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// How long after its end a period is final although some ingress has not closed it, or not all entries are here.
    pub final_after: Micros,
    /// How often a stream is checked.
    pub check_interval: Micros,
    /// How long the same work stays undone before the next ingress takes over.
    pub takeover_delay: Micros,
    /// Lines of a batch.
    pub max_lines: usize,
}

/// The consumer's reply to a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum ConsumerReply {
    /// It has this very batch.
    Stored,
    /// It has another batch of this number.
    StoredOther(Batch),
    /// It lacks batches before this one.
    Gap {
        /// The last one that it has; 0 for none.
        last: u64,
    },
    /// No reply: whether it has the batch is not known.
    None,
}

impl ConsumerReply {
    /// The reply of a consumer that returns which batch it has under the number of the one that was sent.
    pub fn of_stored(sent: &Batch, stored: Batch) -> ConsumerReply {
        if stored == *sent {
            ConsumerReply::Stored
        } else {
            ConsumerReply::StoredOther(stored)
        }
    }
}

/// What is to be done next for a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum ExportStep {
    /// Write the batch to the ledger; it must be durable before the next step.
    Write(Batch),
    /// Send the batch, which is durable, to the consumer.
    Send(Batch),
}

/// Why nothing is exported of a stream although something is due.
///
/// The texts are those that the command line has always printed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExportBlocked {
    /// Earlier batches were computed from entries that are missing here.
    #[error("Lacks({0:?})")]
    MissingEntries(Vec<Range>),
    /// The consumer does not have batches that it had acknowledged.
    #[error("ConsumerLost {{ last: {last}, next: {next} }}")]
    ConsumerLost {
        /// The last batch that it has.
        last: u64,
        /// The next batch here.
        next: u64,
    },
}

/// What is to be done for a stream, to see whether anything moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Work {
    acknowledged: u64,
    has_pending: bool,
}

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

/// Decides exports for one ingress.
pub struct Exporter {
    ingress: u16,
    group: Vec<u16>,
    config: Config,
    /// By shard, the stream's position in the group.
    states: BTreeMap<usize, StreamState>,
}

/// The shard of an account: a hash of it, modulo the number of shards.
pub fn shard_of(account: &str, shards: usize) -> usize {
    let hash = blake3::hash(account.as_bytes());
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash.as_bytes()[..8]);
    (u64::from_le_bytes(prefix) % shards.max(1) as u64) as usize
}

impl Exporter {
    /// For one ingress of a group; all of the group have the same list.
    pub fn new(ingress: u16, mut group: Vec<u16>, config: Config) -> Self {
        group.sort_unstable();
        group.dedup();
        Exporter { ingress, group, config, states: BTreeMap::new() }
    }

    /// The name of a shard's stream: the ingresses of the group, and the shard.
    pub fn stream_name(&self, shard: usize) -> String {
        let ingresses: Vec<String> = self.group.iter().map(u16::to_string).collect();
        format!("{}.{shard}", ingresses.join("-"))
    }

    /// The latest period such that it and all before it are final.
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

    /// What is to be done now; `None` if nothing, or not yet. Before the next call, [`ExportStep::Write`] must have been
    /// added to the totals, or [`ExportStep::Send`] followed by [`Exporter::replied`].
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
        let undone_since = state.undone_since(&position, now);
        if now < undone_since + takeover_delay {
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
        // Checked again at once: when it is written it is to be sent.
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

    /// How many ingresses take over a stream before this one; 0 at its home.
    fn distance_from_home(&self, shard: usize) -> u64 {
        let shards = self.group.len().max(1);
        let own_position = self.group.iter().position(|ingress| *ingress == self.ingress).unwrap_or(0);
        ((own_position + shards - shard) % shards) as u64
    }

    /// The consumer has replied to a batch. Returns the entries to write, in their order.
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

    /// Streams that are blocked, and why.
    pub fn blocked(&self) -> impl Iterator<Item = (String, &ExportBlocked)> {
        let states = self.states.iter();
        states.filter_map(|(shard, state)| Some((self.stream_name(*shard), state.blocked.as_ref()?)))
    }
}

impl StreamState {
    /// Since when the work at a position has been undone.
    fn undone_since(&mut self, position: &StreamPosition, now: Micros) -> Micros {
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

/// Bills lines of periods that earlier batches have covered in the present period.
fn billed_in(mut lines: Vec<Line>, present: u64, covered_until: Option<u64>) -> Vec<Line> {
    for line in &mut lines {
        if covered_until.is_some_and(|covered| line.period <= covered) {
            line.billed = present;
        }
    }
    lines
}
