use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

/// Generated ranges: the first number of each, and the count of numbers that follow it.
type GeneratedRanges = Vec<(u64, u64)>;

fn generated_ranges(count: std::ops::Range<usize>) -> impl Strategy<Value = GeneratedRanges> {
    proptest::collection::vec((1u64..60, 0u64..6), count)
}

fn build(list: &[(u64, u64)]) -> SequenceRanges {
    let mut ranges = SequenceRanges::default();
    list.iter().for_each(|(first, more)| ranges.insert_range(SequenceRange::new(*first, first + more)));
    ranges
}

fn numbers(ranges: &[SequenceRange]) -> BTreeSet<u64> {
    ranges.iter().flat_map(|range| range.first..=range.last).collect()
}

proptest! {
    /// A `BTreeSet` as the reference: the same numbers in the same order, and a gap between any two ranges.
    #[test]
    fn same_numbers_as_a_btree_set(list in generated_ranges(0..40), other in generated_ranges(0..9), limit in 0u64..70) {
        let ranges = build(&list);
        let other = build(&other);
        let reference: BTreeSet<u64> = list.iter().flat_map(|(first, more)| *first..=first + more).collect();
        prop_assert_eq!(numbers(ranges.as_slice()), reference.clone());
        prop_assert!(ranges.as_slice().windows(2).all(|pair| pair[0].last + 1 < pair[1].first), "{:?}", ranges);
        prop_assert!((0..70).all(|number| ranges.contains(number) == reference.contains(&number)));
        prop_assert!((0..70).all(|end| ranges.contains_all_up_to(end) == (1..=end).all(|number| reference.contains(&number))));
        let other = other.as_slice();
        let missing: BTreeSet<u64> = numbers(other).difference(&reference).copied().take(limit as usize).collect();
        prop_assert_eq!(numbers(&ranges.missing_from(other, limit)), missing);
    }
}
