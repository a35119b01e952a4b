use super::*;
use chalkgap_ledger::entry::Line;

fn used(account: &str, units: u64, entered: u64) -> Usage {
    Usage { account: account.into(), units, entered }
}

#[test]
fn differences_between_counted_and_billed_units_are_reported() {
    let first_node = BTreeMap::from([("r1".to_owned(), used("a", 3, 5)), ("r2".into(), used("a", 1, 15))]);
    let second_node = BTreeMap::from([("r1".to_owned(), used("a", 3, 5)), ("r3".into(), used("b", 2, 5))]);
    let counted = counted([first_node, second_node], Periods::Every(10));
    assert_eq!(counted.values().sum::<i64>(), 6, "r1 ran on both nodes and counts once");
    let line =
        |account: &str, period, units| Line { account: account.into(), period, units, ..Line::default() };
    let batch = |number, lines| {
        Batch { stream: "s".into(), number, lines, ..Batch::default() }.encode_to_vec().into()
    };
    let billed_units = |list: Vec<bytes::Bytes>| billed(&BTreeMap::from([("s".to_owned(), list)]));
    let good = vec![batch(1, vec![line("a", 0, 3), line("b", 0, 2)]), batch(2, vec![line("a", 1, 1)])];
    let verdict = compare(&counted, &billed_units(good.clone()).unwrap());
    assert_eq!((verdict.billed, verdict.sums, verdict.differences.len()), (6, 3, 0));
    let differences = |list| compare(&counted, &billed_units(list).unwrap()).differences;
    assert_eq!(
        differences(vec![good[0].clone()]),
        ["account \"a\", period 1: nodes counted 1, billed 0"],
        "batch 2 is missing"
    );
    let doubled = vec![good[0].clone(), good[1].clone(), batch(3, vec![line("b", 0, 2)])];
    assert_eq!(differences(doubled), ["account \"b\", period 0: nodes counted 2, billed 4"]);
    let misdated = vec![good[0].clone(), batch(2, vec![line("a", 2, 1)])];
    assert_eq!(differences(misdated).len(), 2, "batch 2 bills another period");
    assert!(billed_units(vec![good[1].clone()]).is_err(), "batch 2 in the place of batch 1");
}
