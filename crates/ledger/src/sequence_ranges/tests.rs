use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

/// Ranges as generated: the first number and how many follow it.
type Generated = Vec<(u64, u64)>;

fn generated(ranges: std::ops::Range<usize>) -> impl Strategy<Value = Generated> {
    proptest::collection::vec((1u64..60, 0u64..6), ranges)
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
    /// Compared with a plain set: the same numbers, in order, no two ranges that touch.
    #[test]
    fn same_numbers_as_a_plain_set(list in generated(0..40), other in generated(0..9), limit in 0u64..70) {
        let ours = build(&list);
        let theirs = build(&other);
        let plain: BTreeSet<u64> = list.iter().flat_map(|(first, more)| *first..=first + more).collect();
        prop_assert_eq!(numbers(ours.as_slice()), plain.clone());
        prop_assert!(ours.as_slice().windows(2).all(|pair| pair[0].last + 1 < pair[1].first), "{:?}", ours);
        prop_assert!((0..70).all(|n| ours.contains(n) == plain.contains(&n)));
        prop_assert!((0..70).all(|n| ours.contains_all_up_to(n) == (1..=n).all(|i| plain.contains(&i))));
        let theirs = theirs.as_slice();
        let wanted: BTreeSet<u64> = numbers(theirs).difference(&plain).copied().take(limit as usize).collect();
        prop_assert_eq!(numbers(&ours.missing_from(theirs, limit)), wanted);
    }
}
