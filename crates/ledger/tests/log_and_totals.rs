//! Segments that are torn at every byte or changed at any; usage totals of entries in any order and any number of copies.

use chalkgap_ledger::entry::{Correction, RequestOpened, RequestSettled};
use chalkgap_ledger::segment::INITIAL_CHAIN;
use chalkgap_ledger::*;
use proptest::prelude::*;

const HOUR: Micros = 3_600_000_000;

fn id(ingress: u16, number: u64) -> EntryId {
    EntryId { ingress, incarnation: 77, number }
}

fn incarnation(incarnation: u64) -> IncarnationId {
    IncarnationId { ingress: 0, incarnation }
}

fn ranges(list: &[(u64, u64)]) -> Vec<SequenceRange> {
    list.iter().map(|(first, last)| SequenceRange::new(*first, *last)).collect()
}

fn open(ingress: u16, number: u64, account: &str, units: u64, at: Micros) -> Entry {
    let (plan, class, request, node) = ("p".into(), "c".into(), format!("{ingress}-{number}"), "n".into());
    let body = EntryBody::RequestOpened(RequestOpened {
        account: account.into(),
        plan,
        class,
        units,
        request,
        node,
    });
    Entry { id: id(ingress, number), at, body }
}

fn settled(ingress: u16, number: u64, open: u64, units: u64, presumed: bool) -> Entry {
    Entry {
        id: id(ingress, number),
        at: 0,
        body: EntryBody::RequestSettled(RequestSettled {
            open,
            units,
            presumed,
            ..RequestSettled::default()
        }),
    }
}

fn correction(ingress: u16, number: u64, of: EntryId, account: &str, units: i64) -> Entry {
    let correction = Correction {
        ingress: of.ingress.into(),
        incarnation: of.incarnation,
        number: of.number,
        units,
        why: "truth".into(),
        account: account.into(),
        plan: "p".into(),
        period: 0,
    };
    Entry { id: id(ingress, number), at: 0, body: EntryBody::Correction(correction) }
}

fn day() -> Vec<Entry> {
    vec![
        open(0, 1, "a", 3, HOUR - 1),
        open(0, 2, "a", 2, HOUR),
        settled(0, 3, 1, 3, false),
        open(1, 1, "b", 5, 5),
        settled(0, 4, 2, 0, false),
        settled(1, 2, 1, 0, true),
        correction(0, 5, id(1, 1), "b", 5),
        open(0, 6, "b", 1, 10),
    ]
}

fn segment(entries: &[Entry]) -> Vec<u8> {
    let mut writer = SegmentWriter::new(1, INITIAL_CHAIN);
    entries.iter().for_each(|e| writer.append(e).unwrap());
    writer.take_bytes()
}

#[test]
fn of_a_torn_segment_all_complete_records_are_read() {
    let (entries, bytes) = (day(), segment(&day()));
    for cut in 0..=bytes.len() {
        let scanned = scan(&bytes[..cut], Some(INITIAL_CHAIN));
        assert_eq!(scanned.entries, entries[..scanned.entries.len()], "cut at {cut}");
        assert!(scanned.valid_bytes <= cut);
        let edge = scanned.valid_bytes == cut && cut > 0;
        assert_eq!(scanned.end, if edge { SegmentEnd::Complete } else { SegmentEnd::Torn }, "cut at {cut}");
        // Going on after the cut makes a good segment again.
        if scanned.number.is_some() {
            let mut writer = SegmentWriter::resume(scanned.chain);
            writer.append(&open(2, 9, "z", 1, 0)).unwrap();
            let whole = [&bytes[..scanned.valid_bytes], &writer.take_bytes()].concat();
            let again = scan(&whole, Some(INITIAL_CHAIN));
            assert_eq!((again.entries.len(), again.end), (scanned.entries.len() + 1, SegmentEnd::Complete));
        }
    }
}

#[test]
fn any_change_before_the_last_record_is_damage_and_is_located() {
    let bytes = segment(&day());
    let last = bytes.len() - (20 + day().last().unwrap().encode().len());
    for at in 0..bytes.len() {
        for bit in [0, 3, 7] {
            let mut bad = bytes.clone();
            bad[at] ^= 1 << bit;
            let scanned = scan(&bad, Some(INITIAL_CHAIN));
            // The number in the head is for people; all else counts.
            if (9..17).contains(&at) {
                continue;
            }
            assert!(scanned.entries.len() < day().len(), "byte {at}");
            match scanned.end {
                SegmentEnd::Damaged { at: found, .. } => assert!(found <= at, "byte {at} found at {found}"),
                // A length that points past the end looks like a torn record.
                SegmentEnd::Torn => assert!(scanned.valid_bytes <= at, "byte {at}"),
                SegmentEnd::Complete => panic!("byte {at}: not found"),
            }
            assert!(
                at < last || scanned.entries.len() == day().len() - 1,
                "a bad last record costs that one alone"
            );
        }
    }
}

#[test]
fn missing_records_and_foreign_segments_are_damage() {
    let (all, entries) = (segment(&day()), day());
    let first = 33 + 20 + entries[0].encode().len();
    let second = first + 20 + entries[1].encode().len();
    let missing = [&all[..first], &all[second..]].concat();
    let scanned = scan(&missing, Some(INITIAL_CHAIN));
    assert!(matches!(scanned.end, SegmentEnd::Damaged { at, .. } if at == first), "{:?}", scanned.end);
    let scanned = scan(&all, Some([9; 16]));
    assert!(matches!(scanned.end, SegmentEnd::Damaged { at: 17, .. }));
    let scanned = scan(b"something else", None);
    assert!(matches!(scanned.end, SegmentEnd::Damaged { at: 0, .. }));
    let mut newer = all.clone();
    newer[8] = 9;
    assert!(matches!(scan(&newer, None).end, SegmentEnd::Damaged { at: 8, .. }));
    let mut huge = all[..33].to_vec();
    huge.extend([0xff; 40]);
    assert!(matches!(scan(&huge, None).end, SegmentEnd::Damaged { at: 33, .. }), "no memory is taken for it");
    // Two segments: the second goes on where the first ends.
    let mut writer = SegmentWriter::new(2, scan(&all, None).chain);
    writer.append(&open(0, 7, "a", 1, 0)).unwrap();
    assert_eq!(scan(&writer.take_bytes(), Some(scan(&all, None).chain)).end, SegmentEnd::Complete);
}

#[test]
fn totals_add_up() {
    let mut totals = UsageTotals::new(Periods::Every(HOUR));
    assert!(day().iter().all(|e| totals.add(e) == AddOutcome::Added));
    assert_eq!(totals.sum("a", 0), Sum { units: 3, requests: 1, presumed: 0, open: 0 });
    assert_eq!(totals.sum("a", 1), Sum { units: 0, requests: 0, presumed: 0, open: 0 }, "it never ran");
    assert_eq!(
        totals.sum("b", 0),
        Sum { units: 5, requests: 0, presumed: 0, open: 1 },
        "presumed nought, and corrected"
    );
    assert_eq!(totals.open_requests(0), [id(0, 6)]);
    // A copy is known; another entry under a number that was used is a conflict, and changes nothing.
    assert_eq!(totals.add(&day()[0]), AddOutcome::Duplicate);
    assert_eq!(totals.add(&open(0, 1, "a", 300, HOUR - 1)), AddOutcome::Conflict);
    assert_eq!(totals.sum("a", 0).units, 3);
}

#[test]
fn missing_numbers_are_found_within_the_limit() {
    let mut totals = UsageTotals::new(Periods::Every(HOUR));
    for n in [1, 2, 5, 9, 10] {
        totals.add(&open(0, n, "a", 1, 0));
    }
    assert_eq!(totals.numbers().next().unwrap().1.as_slice(), ranges(&[(1, 2), (5, 5), (9, 10)]));
    assert_eq!(
        totals.missing_from(incarnation(77), &ranges(&[(1, 12)]), 100),
        ranges(&[(3, 4), (6, 8), (11, 12)])
    );
    assert_eq!(totals.missing_from(incarnation(77), &ranges(&[(1, 12)]), 3), ranges(&[(3, 4), (6, 6)]));
    assert_eq!(totals.missing_from(incarnation(78), &ranges(&[(1, 3)]), 100), ranges(&[(1, 3)]));
    assert_eq!(totals.missing_from(incarnation(77), &ranges(&[(1, 2), (9, 9)]), 100), ranges(&[]));
    assert_eq!(totals.missing_from(incarnation(78), &ranges(&[(1, u64::MAX)]), 5), ranges(&[(1, 5)]));
}

proptest! {
    /// Whatever order entries come in, and however often: the same sums.
    #[test]
    fn the_same_totals_in_any_order_with_any_copies(order in proptest::collection::vec(0usize..9, 0..60), twice in any::<bool>()) {
        let mut all = day();
        // A second end of the same request: the one written first counts.
        all.push(settled(0, 7, 1, if twice { 3 } else { 9 }, false));
        let mut straight = UsageTotals::new(Periods::Every(HOUR));
        for e in &all {
            straight.add(e);
        }
        let mut mixed = UsageTotals::new(Periods::Every(HOUR));
        for n in order.into_iter().chain(0..all.len()) {
            mixed.add(&all[n]);
        }
        let sums = |b: &UsageTotals| b.sums().map(|(a, _, p, s)| (a.to_owned(), p, s)).collect::<Vec<_>>();
        prop_assert_eq!(sums(&mixed), sums(&straight));
        prop_assert_eq!(mixed.open_requests(0), straight.open_requests(0));
        prop_assert_eq!(mixed.numbers().map(|(_, numbers)| numbers.clone()).collect::<Vec<_>>(), straight.numbers().map(|(_, numbers)| numbers.clone()).collect::<Vec<_>>());
    }

    #[test]
    fn any_bytes_are_read_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let scanned = scan(&bytes, None);
        prop_assert!(scanned.valid_bytes <= bytes.len());
        let _ = Entry::decode(&bytes);
        let headed = [&segment(&[])[..], &bytes].concat();
        prop_assert!(scan(&headed, None).valid_bytes <= headed.len());
    }

    #[test]
    fn entries_survive_encoding(account in any::<String>(), units in any::<u64>(), less in any::<i64>(), at in any::<u64>()) {
        for e in [open(3, 4, &account, units, at), settled(3, 4, units, at, true), correction(3, 4, id(9, 1), &account, less)] {
            prop_assert_eq!(Entry::decode(&e.encode()), Ok(e));
        }
    }
}
