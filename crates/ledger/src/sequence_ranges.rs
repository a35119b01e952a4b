//! Sets of sequence numbers, stored as ranges.

/// Sequence numbers from `first` to `last`, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SequenceRange {
    /// The lowest number.
    pub first: u64,
    /// The highest number.
    pub last: u64,
}

impl SequenceRange {
    /// Creates the range from `first` to `last`, both included.
    pub fn new(first: u64, last: u64) -> Self {
        SequenceRange { first, last }
    }

    /// Returns the count of numbers in the range.
    pub(crate) fn count(self) -> u64 {
        self.last - self.first + 1
    }

    /// Returns whether two ranges have a number in common.
    pub(crate) fn overlaps(self, other: SequenceRange) -> bool {
        self.last >= other.first && self.first <= other.last
    }
}

/// A set of sequence numbers, stored as ranges in ascending order with gaps between them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SequenceRanges(Vec<SequenceRange>);

impl SequenceRanges {
    /// Returns whether a number is in the set.
    pub fn contains(&self, number: u64) -> bool {
        let position = self.0.partition_point(|range| range.last < number);
        self.0.get(position).is_some_and(|range| range.first <= number)
    }

    /// Returns whether all numbers from 1 to `number` are in the set.
    pub fn contains_all_up_to(&self, number: u64) -> bool {
        number == 0 || self.0.first().is_some_and(|range| range.first == 1 && range.last >= number)
    }

    /// Adds a number.
    pub fn insert(&mut self, number: u64) {
        self.insert_range(SequenceRange::new(number, number));
    }

    /// Adds a range. Ignores it if its first number is above its last.
    pub fn insert_range(&mut self, range: SequenceRange) {
        if range.first > range.last {
            return;
        }
        // Ranges that overlap the new one or are adjacent to it are merged with it.
        let begin = self.0.partition_point(|other| other.last.saturating_add(1) < range.first);
        let end = self.0.partition_point(|other| other.first <= range.last.saturating_add(1));
        let mut merged = range;
        if begin < end {
            merged.first = merged.first.min(self.0[begin].first);
            merged.last = merged.last.max(self.0[end - 1].last);
        }
        self.0.splice(begin..end.max(begin), [merged]);
    }

    /// Returns the numbers of `other` that are not in this set, at most `limit` of them.
    pub fn missing_from(&self, other: &[SequenceRange], limit: u64) -> Vec<SequenceRange> {
        let mut missing = Vec::new();
        let mut remaining = limit;
        let mut add = |first: u64, last: u64| {
            if remaining > 0 && first <= last {
                let last = last.min(first.saturating_add(remaining - 1));
                let range = SequenceRange { first, last };
                remaining -= range.count();
                missing.push(range);
            }
        };
        for wanted in other {
            let mut next = wanted.first;
            for known in self.0.iter().filter(|known| known.overlaps(*wanted)) {
                if known.first > 0 {
                    add(next, known.first - 1);
                }
                next = next.max(known.last.saturating_add(1));
            }
            add(next, wanted.last);
        }
        missing
    }

    /// Returns the ranges, in ascending order.
    pub fn as_slice(&self) -> &[SequenceRange] {
        &self.0
    }

    /// Returns whether the set has no numbers.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the highest number; `None` for an empty set.
    pub fn last(&self) -> Option<u64> {
        self.0.last().map(|range| range.last)
    }
}

#[cfg(test)]
mod tests;
