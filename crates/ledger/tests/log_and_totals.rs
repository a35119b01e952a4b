//! Segments that are torn or changed at any byte; usage totals of entries in any order and any number of copies.

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

fn correction(ingress: u16, number: u64, opened_by: EntryId, account: &str, units: i64) -> Entry {
    let correction = Correction {
        ingress: opened_by.ingress.into(),
        incarnation: opened_by.incarnation,
        number: opened_by.number,
        units,
        why: "the node ran it".into(),
        account: account.into(),
        plan: "p".into(),
        period: 0,
    };
    Entry { id: id(ingress, number), at: 0, body: EntryBody::Correction(correction) }
}

/// Entries of two ingresses: requests that are settled, presumed and corrected, and open.
fn sample_entries() -> Vec<Entry> {
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
    entries.iter().for_each(|entry| writer.append(entry).unwrap());
    writer.take_bytes()
}

#[test]
fn all_complete_records_of_a_torn_segment_are_read() {
    let entries = sample_entries();
    let bytes = segment(&entries);
    for cut in 0..=bytes.len() {
        let scanned = scan(&bytes[..cut], Some(INITIAL_CHAIN));
        assert_eq!(scanned.entries, entries[..scanned.entries.len()], "cut at {cut}");
        assert!(scanned.valid_bytes <= cut);
        let cut_between_records = scanned.valid_bytes == cut && cut > 0;
        assert_eq!(
            scanned.end,
            if cut_between_records { SegmentEnd::Complete } else { SegmentEnd::Torn },
            "cut at {cut}"
        );
        // Truncated to its valid bytes and continued, the segment is complete again.
        if scanned.number.is_some() {
            let mut writer = SegmentWriter::resume(scanned.chain);
            writer.append(&open(2, 9, "z", 1, 0)).unwrap();
            let continued = [&bytes[..scanned.valid_bytes], &writer.take_bytes()].concat();
            let rescanned = scan(&continued, Some(INITIAL_CHAIN));
            assert_eq!(
                (rescanned.entries.len(), rescanned.end),
                (scanned.entries.len() + 1, SegmentEnd::Complete)
            );
        }
    }
}

#[test]
fn any_change_before_the_last_record_is_damage_and_is_located() {
    let bytes = segment(&sample_entries());
    let last_record = bytes.len() - (20 + sample_entries().last().unwrap().encode().len());
    for at in 0..bytes.len() {
        for bit in [0, 3, 7] {
            let mut changed = bytes.clone();
            changed[at] ^= 1 << bit;
            let scanned = scan(&changed, Some(INITIAL_CHAIN));
            // The chain does not cover the segment number in the header.
            if (9..17).contains(&at) {
                continue;
            }
            assert!(scanned.entries.len() < sample_entries().len(), "byte {at}");
            match scanned.end {
                SegmentEnd::Damaged { at: found, .. } => assert!(found <= at, "byte {at} found at {found}"),
                // A length that points past the end looks like a torn record.
                SegmentEnd::Torn => assert!(scanned.valid_bytes <= at, "byte {at}"),
                SegmentEnd::Complete => panic!("byte {at}: the change was not found"),
            }
            assert!(
                at < last_record || scanned.entries.len() == sample_entries().len() - 1,
                "a change in the last record affects only this record"
            );
        }
    }
}

#[test]
fn missing_records_and_invalid_segments_are_damage() {
    let entries = sample_entries();
    let bytes = segment(&entries);
    let first_record_end = 33 + 20 + entries[0].encode().len();
    let second_record_end = first_record_end + 20 + entries[1].encode().len();
    let missing = [&bytes[..first_record_end], &bytes[second_record_end..]].concat();
    let scanned = scan(&missing, Some(INITIAL_CHAIN));
    assert!(
        matches!(scanned.end, SegmentEnd::Damaged { at, .. } if at == first_record_end),
        "{:?}",
        scanned.end
    );
    let scanned = scan(&bytes, Some([9; 16]));
    assert!(matches!(scanned.end, SegmentEnd::Damaged { at: 17, .. }));
    let scanned = scan(b"something else", None);
    assert!(matches!(scanned.end, SegmentEnd::Damaged { at: 0, .. }));
    let mut other_version = bytes.clone();
    other_version[8] = 9;
    assert!(matches!(scan(&other_version, None).end, SegmentEnd::Damaged { at: 8, .. }));
    let mut too_long = bytes[..33].to_vec();
    too_long.extend([0xff; 40]);
    assert!(
        matches!(scan(&too_long, None).end, SegmentEnd::Damaged { at: 33, .. }),
        "an entry above the limit is rejected by its length"
    );
    // Two segments: the second continues the chain of the first.
    let mut writer = SegmentWriter::new(2, scan(&bytes, None).chain);
    writer.append(&open(0, 7, "a", 1, 0)).unwrap();
    assert_eq!(scan(&writer.take_bytes(), Some(scan(&bytes, None).chain)).end, SegmentEnd::Complete);
}

#[test]
fn totals_add_up() {
    let mut totals = UsageTotals::new(Periods::Every(HOUR));
    assert!(sample_entries().iter().all(|entry| totals.add(entry) == AddOutcome::Added));
    assert_eq!(totals.sum("a", 0), Sum { units: 3, requests: 1, presumed: 0, open: 0 });
    assert_eq!(
        totals.sum("a", 1),
        Sum { units: 0, requests: 0, presumed: 0, open: 0 },
        "the request never ran"
    );
    assert_eq!(
        totals.sum("b", 0),
        Sum { units: 5, requests: 0, presumed: 0, open: 1 },
        "0 units were presumed, and corrected to 5"
    );
    assert_eq!(totals.open_requests(0), [id(0, 6)]);
    // A copy is a duplicate. A different entry with a number that was used is a conflict and changes no sum.
    assert_eq!(totals.add(&sample_entries()[0]), AddOutcome::Duplicate);
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
    /// The same entries give the same sums in any order and any number of copies.
    #[test]
    fn the_same_totals_in_any_order_with_any_copies(order in proptest::collection::vec(0usize..9, 0..60), same_units in any::<bool>()) {
        let mut all = sample_entries();
        // A second settlement of the same request: the one that was written first counts.
        all.push(settled(0, 7, 1, if same_units { 3 } else { 9 }, false));
        let mut in_order = UsageTotals::new(Periods::Every(HOUR));
        for entry in &all {
            in_order.add(entry);
        }
        let mut shuffled = UsageTotals::new(Periods::Every(HOUR));
        for position in order.into_iter().chain(0..all.len()) {
            shuffled.add(&all[position]);
        }
        let sums = |totals: &UsageTotals| {
            totals.sums().map(|(account, _, period, sum)| (account.to_owned(), period, sum)).collect::<Vec<_>>()
        };
        prop_assert_eq!(sums(&shuffled), sums(&in_order));
        prop_assert_eq!(shuffled.open_requests(0), in_order.open_requests(0));
        let numbers = |totals: &UsageTotals| {
            totals.numbers().map(|(_, numbers)| numbers.clone()).collect::<Vec<_>>()
        };
        prop_assert_eq!(numbers(&shuffled), numbers(&in_order));
    }

    #[test]
    fn any_bytes_are_read_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let scanned = scan(&bytes, None);
        prop_assert!(scanned.valid_bytes <= bytes.len());
        let _ = Entry::decode(&bytes);
        let with_header = [&segment(&[])[..], &bytes].concat();
        prop_assert!(scan(&with_header, None).valid_bytes <= with_header.len());
    }

    #[test]
    fn encoded_entries_are_decoded_unchanged(account in any::<String>(), units in any::<u64>(), difference in any::<i64>(), at in any::<u64>()) {
        for entry in [open(3, 4, &account, units, at), settled(3, 4, units, at, true), correction(3, 4, id(9, 1), &account, difference)] {
            prop_assert_eq!(Entry::decode(&entry.encode()), Ok(entry));
        }
    }
}
