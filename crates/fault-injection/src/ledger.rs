//! What was billed against what nodes counted: both from outside of the ingresses.

use chalkgap_ledger::entry::Batch;
use chalkgap_ledger::Periods;
use chalkgap_testbed::node::Used;
use prost::Message;
use serde::Serialize;
use std::collections::BTreeMap;

/// Units by account and period.
pub type Units = BTreeMap<(String, u64), i64>;

/// How the two compare.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Billing {
    /// Units that nodes counted, a request once.
    pub counted: i64,
    /// Units that the consumer was told.
    pub billed: i64,
    /// Accounts and periods with any.
    pub sums: usize,
    /// Where they differ; empty if all is well.
    pub differences: Vec<String>,
}

/// What nodes counted: a request once, wherever and however often it ran.
pub fn counted(tallies: impl IntoIterator<Item = BTreeMap<String, Used>>, periods: Periods) -> Units {
    let mut requests = BTreeMap::new();
    tallies.into_iter().for_each(|t| requests.extend(t));
    let mut sums = Units::new();
    for used in requests.into_values() {
        let units = i64::try_from(used.units).unwrap_or(i64::MAX);
        *sums.entry((used.account, periods.of(used.entered))).or_default() += units;
    }
    sums.retain(|_, n| *n != 0);
    sums
}

/// What a consumer has been told.
///
/// # Errors
/// A batch that cannot be read, or is not where it says it is.
pub fn billed(streams: &BTreeMap<String, Vec<bytes::Bytes>>) -> Result<Units, String> {
    let mut sums = Units::new();
    for (stream, batches) in streams {
        for (n, bytes) in batches.iter().enumerate() {
            let batch = Batch::decode(bytes.clone()).map_err(|e| format!("{stream} {}: {e}", n + 1))?;
            if batch.stream != *stream || batch.number != n as u64 + 1 {
                return Err(format!("{stream} {}: it says {} {}", n + 1, batch.stream, batch.number));
            }
            for line in batch.lines {
                *sums.entry((line.account, line.period)).or_default() += line.units;
            }
        }
    }
    sums.retain(|_, n| *n != 0);
    Ok(sums)
}

/// Sets them side by side.
pub fn compare(counted: &Units, billed: &Units) -> Billing {
    let keys: std::collections::BTreeSet<_> = counted.keys().chain(billed.keys()).collect();
    let of = |map: &Units, key: &(String, u64)| map.get(key).copied().unwrap_or_default();
    let differ = |key: &&(String, u64)| of(counted, key) != of(billed, key);
    let text = |key: &(String, u64)| {
        let (c, b) = (of(counted, key), of(billed, key));
        format!("account {:?}, period {}: nodes counted {c}, billed {b}", key.0, key.1)
    };
    Billing {
        counted: counted.values().sum(),
        billed: billed.values().sum(),
        sums: keys.len(),
        differences: keys.into_iter().filter(differ).map(text).collect(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use chalkgap_ledger::entry::Line;

    fn used(account: &str, units: u64, entered: u64) -> Used {
        Used { account: account.into(), units, entered }
    }

    #[test]
    fn each_kind_of_defect_is_found() {
        let a = BTreeMap::from([("r1".to_owned(), used("a", 3, 5)), ("r2".into(), used("a", 1, 15))]);
        let b = BTreeMap::from([("r1".to_owned(), used("a", 3, 5)), ("r3".into(), used("b", 2, 5))]);
        let counted = counted([a, b], Periods::Every(10));
        assert_eq!(counted.values().sum::<i64>(), 6, "r1 ran twice and counts once");
        let line =
            |account: &str, period, units| Line { account: account.into(), period, units, ..Line::default() };
        let batch = |number, lines| {
            Batch { stream: "s".into(), number, lines, ..Batch::default() }.encode_to_vec().into()
        };
        let told = |list: Vec<bytes::Bytes>| billed(&BTreeMap::from([("s".to_owned(), list)]));
        let good = vec![batch(1, vec![line("a", 0, 3), line("b", 0, 2)]), batch(2, vec![line("a", 1, 1)])];
        let verdict = compare(&counted, &told(good.clone()).unwrap());
        assert_eq!((verdict.billed, verdict.sums, verdict.differences.len()), (6, 3, 0));
        let differences = |list| compare(&counted, &told(list).unwrap()).differences;
        assert_eq!(
            differences(vec![good[0].clone()]),
            ["account \"a\", period 1: nodes counted 1, billed 0"],
            "lost"
        );
        let doubled = vec![good[0].clone(), good[1].clone(), batch(3, vec![line("b", 0, 2)])];
        assert_eq!(differences(doubled), ["account \"b\", period 0: nodes counted 2, billed 4"]);
        let moved = vec![good[0].clone(), batch(2, vec![line("a", 2, 1)])];
        assert_eq!(differences(moved).len(), 2, "the wrong period");
        assert!(told(vec![good[1].clone()]).is_err(), "out of its place");
    }
}
