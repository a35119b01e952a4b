//! Sets of numbers as spans that do not touch, in order.

/// Numbers from one to another, both in.
pub type Span = (u64, u64);

/// Whether a number is in.
pub fn contains(spans: &[Span], n: u64) -> bool {
    let at = spans.partition_point(|s| s.1 < n);
    spans.get(at).is_some_and(|s| s.0 <= n)
}

/// Whether all numbers from 1 to `n` are in.
pub fn whole(spans: &[Span], n: u64) -> bool {
    n == 0 || spans.first().is_some_and(|s| s.0 == 1 && s.1 >= n)
}

/// Puts a number in.
pub fn add(spans: &mut Vec<Span>, n: u64) {
    add_span(spans, (n, n));
}

/// Puts a span in; one that is the wrong way round is none.
pub fn add_span(spans: &mut Vec<Span>, (from, to): Span) {
    if from > to {
        return;
    }
    // All that touch it become one with it.
    let first = spans.partition_point(|s| s.1.saturating_add(1) < from);
    let last = spans.partition_point(|s| s.0 <= to.saturating_add(1));
    let (mut a, mut b) = (from, to);
    if first < last {
        (a, b) = (a.min(spans[first].0), b.max(spans[last - 1].1));
    }
    spans.splice(first..last.max(first), [(a, b)]);
}

/// What `theirs` has and `ours` lacks, at most `most` numbers.
pub fn lacks(ours: &[Span], theirs: &[Span], most: u64) -> Vec<Span> {
    let (mut list, mut left) = (Vec::new(), most);
    let mut ask = |from: u64, to: u64| {
        if left > 0 && from <= to {
            let to = to.min(from.saturating_add(left - 1));
            left -= to - from + 1;
            list.push((from, to));
        }
    };
    for (from, to) in theirs {
        let mut at = *from;
        for (a, b) in ours.iter().filter(|s| s.1 >= *from && s.0 <= *to) {
            if *a > 0 {
                ask(at, a - 1);
            }
            at = at.max(b.saturating_add(1));
        }
        ask(at, *to);
    }
    list
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::BTreeSet;

    fn set(spans: &[Span]) -> BTreeSet<u64> {
        spans.iter().flat_map(|s| s.0..=s.1).collect()
    }

    proptest! {
        /// Beside a plain set: the same numbers, in order, no two spans that touch.
        #[test]
        fn as_a_plain_set(list in proptest::collection::vec((1u64..60, 0u64..6), 0..40), other in proptest::collection::vec((1u64..60, 0u64..6), 0..9), most in 0u64..70) {
            let build = |list: &[(u64, u64)]| {
                let mut spans = Vec::new();
                list.iter().for_each(|(from, n)| add_span(&mut spans, (*from, from + n)));
                spans
            };
            let (ours, theirs) = (build(&list), build(&other));
            let plain: BTreeSet<u64> = list.iter().flat_map(|(from, n)| *from..=from + n).collect();
            prop_assert_eq!(set(&ours), plain.clone());
            prop_assert!(ours.windows(2).all(|w| w[0].1 + 1 < w[1].0), "{:?}", ours);
            prop_assert!((0..70).all(|n| contains(&ours, n) == plain.contains(&n)));
            prop_assert!((0..70).all(|n| whole(&ours, n) == (1..=n).all(|i| plain.contains(&i))));
            let wanted: BTreeSet<u64> = set(&theirs).difference(&plain).copied().take(most as usize).collect();
            prop_assert_eq!(set(&lacks(&ours, &theirs, most)), wanted);
        }
    }
}
