//! What has been exported: batches, their acknowledgements, and sums that differ from what the consumer has.

use super::accounts::AccountPlans;
use super::{SumKey, UsageTotals};
use crate::entry::{Batch, BatchAcknowledged, IncarnationId, Line, Range};
use crate::sequence_ranges::SequenceRanges;
use std::collections::{BTreeMap, BTreeSet};

/// How far an export stream has got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamPosition {
    /// The consumer has the batches from 1 to this one.
    pub acknowledged: u64,
    /// The next batch, if it has been written and not acknowledged.
    pub pending: Option<Batch>,
    /// Entries that acknowledged batches were computed from and that are missing here: no batch is written before they
    /// have come.
    pub missing: Vec<Range>,
    /// The latest period that acknowledged batches cover.
    pub covered_until: Option<u64>,
}

/// Units and requests: of a sum, or the difference of two.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Exported {
    pub(super) units: i64,
    pub(super) requests: i64,
}

/// An export stream.
#[derive(Default)]
pub(super) struct Stream {
    pub(super) acknowledged: u64,
    pub(super) covered_until: Option<u64>,
    /// Batches after [`Stream::acknowledged`], by number: different exporters may have prepared different ones.
    prepared: BTreeMap<u64, Vec<PreparedBatch>>,
    /// Digests of acknowledged batches that could not be applied so far, by number.
    acknowledgements: BTreeMap<u64, [u8; 32]>,
}

#[derive(Clone)]
struct PreparedBatch {
    digest: [u8; 32],
    batch: Batch,
}

impl Stream {
    pub(super) fn new(acknowledged: u64, covered_until: Option<u64>) -> Self {
        Stream { acknowledged, covered_until, ..Stream::default() }
    }

    /// Whether batches or acknowledgements wait for one another.
    pub(super) fn is_unfinished(&self) -> bool {
        !self.prepared.is_empty() || !self.acknowledgements.is_empty()
    }

    /// Takes the next batch out, if it has been acknowledged and is here.
    fn take_next(&mut self) -> Option<Batch> {
        let next = self.acknowledged + 1;
        let digest = self.acknowledgements.get(&next)?;
        let prepared = self.prepared.get(&next)?.iter().find(|prepared| prepared.digest == *digest)?;
        let batch = prepared.batch.clone();
        self.acknowledged = next;
        self.covered_until = self.covered_until.max(Some(batch.until));
        self.prepared.remove(&next);
        self.acknowledgements.remove(&next);
        Some(batch)
    }
}

#[derive(Default)]
pub(super) struct ExportState {
    pub(super) streams: BTreeMap<String, Stream>,
    /// What the consumer has, by sum.
    pub(super) exported: BTreeMap<SumKey, Exported>,
    /// Sums that may differ from what the consumer has.
    pub(super) changed: BTreeSet<SumKey>,
    /// The entries that acknowledged batches were computed from.
    pub(super) basis: BTreeMap<IncarnationId, SequenceRanges>,
}

impl ExportState {
    pub(super) fn add_batch(&mut self, batch: &Batch) {
        let stream = self.streams.entry(batch.stream.clone()).or_default();
        if batch.number > stream.acknowledged {
            let prepared = PreparedBatch { digest: batch.digest(), batch: batch.clone() };
            stream.prepared.entry(batch.number).or_default().push(prepared);
        }
    }

    pub(super) fn add_acknowledgement(&mut self, acknowledged: &BatchAcknowledged) {
        let stream = self.streams.entry(acknowledged.stream.clone()).or_default();
        let Ok(digest) = <[u8; 32]>::try_from(&acknowledged.digest[..]) else { return };
        if acknowledged.number > stream.acknowledged {
            stream.acknowledgements.entry(acknowledged.number).or_insert(digest);
        }
    }

    /// Counts acknowledged batches as exported, in the order of their numbers, as far as they are here.
    pub(super) fn apply_acknowledged(&mut self, stream: &str, payers: &mut AccountPlans) {
        while let Some(batch) = self.streams.get_mut(stream).and_then(Stream::take_next) {
            for line in &batch.lines {
                let payer = payers.index_of(&line.account, &line.plan);
                let key = SumKey { period: line.period, payer };
                let exported = self.exported.entry(key).or_default();
                exported.units = exported.units.saturating_add(line.units);
                exported.requests = exported.requests.saturating_add(line.requests);
                self.changed.insert(key);
            }
            for range in &batch.basis {
                let Ok(ingress) = u16::try_from(range.ingress) else { continue };
                let id = IncarnationId { ingress, incarnation: range.incarnation };
                self.basis.entry(id).or_default().insert_range(range.numbers());
            }
        }
    }
}

impl UsageTotals {
    /// How far an export stream has got.
    pub fn stream_position(&self, stream: &str) -> StreamPosition {
        let stream = self.exports.streams.get(stream);
        let acknowledged = stream.map_or(0, |stream| stream.acknowledged);
        let prepared = stream.and_then(|stream| stream.prepared.get(&(acknowledged + 1))?.first());
        let mut missing = Vec::new();
        for (id, needed) in &self.exports.basis {
            let numbers = self.missing_from(*id, needed.as_slice(), u64::MAX);
            missing.extend(numbers.into_iter().map(|range| Range::new(*id, range)));
        }
        StreamPosition {
            acknowledged,
            pending: prepared.map(|prepared| prepared.batch.clone()),
            missing,
            covered_until: stream.and_then(|stream| stream.covered_until),
        }
    }

    /// What a sum has that the consumer does not have.
    fn unexported(&self, key: &SumKey) -> Exported {
        let sum = self.sums.get(key).copied().unwrap_or_default();
        let exported = self.exports.exported.get(key).copied().unwrap_or_default();
        let requests = i64::try_from(sum.requests).unwrap_or(i64::MAX);
        Exported {
            units: sum.units.saturating_sub(exported.units),
            requests: requests.saturating_sub(exported.requests),
        }
    }

    /// Lines to export for periods up to `until`: at most `limit`, of the accounts that `selected` accepts.
    pub fn unexported_lines(&self, until: u64, selected: impl Fn(&str) -> bool, limit: usize) -> Vec<Line> {
        let mut lines = Vec::new();
        let last = SumKey { period: until, payer: u32::MAX };
        for key in self.exports.changed.range(..=last) {
            let payer = self.payers.get(key.payer);
            if !selected(&payer.account) {
                continue;
            }
            let Exported { units, requests } = self.unexported(key);
            if units != 0 || requests != 0 {
                lines.push(Line {
                    account: payer.account.clone(),
                    plan: payer.plan.clone(),
                    period: key.period,
                    billed: key.period,
                    units,
                    requests,
                });
            }
            if lines.len() >= limit {
                break;
            }
        }
        lines
    }

    /// Forgets to look at sums that are exported as they stand. Changes no result, only the time that
    /// [`UsageTotals::unexported_lines`] takes.
    pub fn forget_exported(&mut self) {
        let mut changed = std::mem::take(&mut self.exports.changed);
        changed.retain(|key| self.unexported(key) != Exported::default());
        self.exports.changed = changed;
    }

    /// Whether all use before a period is exported and no request before it is open.
    pub fn all_exported_before(&self, period: u64) -> bool {
        let mut changed = self.exports.changed.range(..SumKey { period, payer: 0 });
        let any_unexported = changed.any(|key| self.unexported(key) != Exported::default());
        !any_unexported && self.open_requests.range(..period).next().is_none()
    }
}
