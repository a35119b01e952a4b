//! State of the export: batches, their acknowledgements, and the differences between sums and what was exported of
//! them.

use super::accounts::AccountPlans;
use super::{SumKey, UsageTotals};
use crate::entry::{Batch, BatchAcknowledged, IncarnationId, Line, Range};
use crate::sequence_ranges::SequenceRanges;
use std::collections::{BTreeMap, BTreeSet};

/// Progress of an export stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamPosition {
    /// The consumer has acknowledged the batches from 1 to this number.
    pub acknowledged: u64,
    /// The next batch, if it has been written and is not acknowledged.
    pub pending: Option<Batch>,
    /// Entries from which acknowledged batches were computed and that are missing here. No batch is written until they
    /// are added.
    pub missing: Vec<Range>,
    /// The last period that acknowledged batches cover.
    pub covered_until: Option<u64>,
}

/// Units and requests: the exported part of a sum, or the part that is not exported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ExportedUsage {
    pub(super) units: i64,
    pub(super) requests: i64,
}

/// Batches and acknowledgements of an export stream.
#[derive(Default)]
pub(super) struct Stream {
    pub(super) acknowledged: u64,
    pub(super) covered_until: Option<u64>,
    /// Batches after [`Stream::acknowledged`], by number. Different exporters may have prepared different batches with
    /// the same number.
    prepared: BTreeMap<u64, Vec<PreparedBatch>>,
    /// Digests of acknowledged batches that are not applied yet, by number.
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

    /// Returns whether a batch has no acknowledgement yet, or an acknowledgement no batch.
    pub(super) fn is_unfinished(&self) -> bool {
        !self.prepared.is_empty() || !self.acknowledgements.is_empty()
    }

    /// Removes and returns the next batch, if it and its acknowledgement were added.
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
    /// Usage that the consumer has acknowledged, by sum.
    pub(super) exported: BTreeMap<SumKey, ExportedUsage>,
    /// Sums that may differ from the exported usage.
    pub(super) changed: BTreeSet<SumKey>,
    /// The entries from which acknowledged batches were computed.
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

    /// Adds acknowledged batches to the exported usage, in the order of their numbers, up to the first one that was not
    /// added to the totals.
    pub(super) fn apply_acknowledged(&mut self, stream: &str, account_plans: &mut AccountPlans) {
        while let Some(batch) = self.streams.get_mut(stream).and_then(Stream::take_next) {
            for line in &batch.lines {
                let account_plan = account_plans.index_of(&line.account, &line.plan);
                let key = SumKey { period: line.period, account_plan };
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
    /// Returns the progress of an export stream.
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

    /// Returns the part of a sum that is not exported.
    fn unexported(&self, key: &SumKey) -> ExportedUsage {
        let sum = self.sums.get(key).copied().unwrap_or_default();
        let exported = self.exports.exported.get(key).copied().unwrap_or_default();
        let requests = i64::try_from(sum.requests).unwrap_or(i64::MAX);
        ExportedUsage {
            units: sum.units.saturating_sub(exported.units),
            requests: requests.saturating_sub(exported.requests),
        }
    }

    /// Returns the lines to export for periods up to `until`: at most `limit`, of the accounts that `selected` accepts.
    pub fn unexported_lines(&self, until: u64, selected: impl Fn(&str) -> bool, limit: usize) -> Vec<Line> {
        let mut lines = Vec::new();
        let last = SumKey { period: until, account_plan: u32::MAX };
        for key in self.exports.changed.range(..=last) {
            let account_plan = self.account_plans.get(key.account_plan);
            if !selected(&account_plan.account) {
                continue;
            }
            let ExportedUsage { units, requests } = self.unexported(key);
            if units != 0 || requests != 0 {
                lines.push(Line {
                    account: account_plan.account.clone(),
                    plan: account_plan.plan.clone(),
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

    /// Removes sums that are fully exported from the set of changed sums. This changes no result; it shortens the time
    /// that [`UsageTotals::unexported_lines`] takes.
    pub fn prune_changed_sums(&mut self) {
        let mut changed = std::mem::take(&mut self.exports.changed);
        changed.retain(|key| self.unexported(key) != ExportedUsage::default());
        self.exports.changed = changed;
    }

    /// Returns whether all usage of earlier periods is exported and no request of an earlier period is open.
    pub fn all_exported_before(&self, period: u64) -> bool {
        let mut changed = self.exports.changed.range(..SumKey { period, account_plan: 0 });
        let any_unexported = changed.any(|key| self.unexported(key) != ExportedUsage::default());
        !any_unexported && self.open_requests.range(..period).next().is_none()
    }
}
