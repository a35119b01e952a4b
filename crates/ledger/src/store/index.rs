//! Index of the segment that contains each entry.

use crate::entry::{EntryId, IncarnationId};
use crate::sequence_ranges::{SequenceRange, SequenceRanges};
use std::collections::BTreeMap;

/// Entries of one incarnation with consecutive numbers, which follow each other in a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Run {
    numbers: SequenceRange,
    segment: u64,
}

/// Index of the segment that contains each entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SegmentIndex(BTreeMap<IncarnationId, Vec<Run>>);

impl SegmentIndex {
    pub(super) fn add(&mut self, id: EntryId, segment: u64) {
        let runs = self.0.entry(id.incarnation_id()).or_default();
        match runs.last_mut() {
            Some(run) if run.segment == segment && run.numbers.last + 1 == id.number => {
                run.numbers.last = id.number;
            }
            _ => runs.push(Run { numbers: SequenceRange::new(id.number, id.number), segment }),
        }
    }

    /// Removes the entries of all segments up to `segment`.
    pub(super) fn remove_up_to(&mut self, segment: u64) {
        self.0.values_mut().for_each(|runs| runs.retain(|run| run.segment > segment));
        self.0.retain(|_, runs| !runs.is_empty());
    }

    /// Returns the numbers of the indexed entries, by incarnation.
    pub fn numbers(&self) -> impl Iterator<Item = (IncarnationId, SequenceRanges)> + '_ {
        self.0.iter().map(|(id, runs)| {
            let mut numbers = SequenceRanges::default();
            runs.iter().for_each(|run| numbers.insert_range(run.numbers));
            (*id, numbers)
        })
    }

    /// Returns the segments that contain any of these entries of an incarnation, in ascending order.
    pub fn segments_with(&self, id: IncarnationId, numbers: SequenceRange) -> Vec<u64> {
        let runs = self.0.get(&id).map(Vec::as_slice).unwrap_or_default();
        let matching = runs.iter().filter(|run| run.numbers.overlaps(numbers));
        let mut segments: Vec<u64> = matching.map(|run| run.segment).collect();
        segments.sort_unstable();
        segments.dedup();
        segments
    }
}
