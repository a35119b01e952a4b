//! The log and the book: torn at every byte, changed at any, in any order and any number of copies.

use chalkgap_ledger::entry::{Correction, Open, Settled};
use chalkgap_ledger::segment::BEGINNING;
use chalkgap_ledger::*;
use proptest::prelude::*;

const HOUR: Micros = 3_600_000_000;

fn id(ingress: u16, number: u64) -> Id {
    Id { ingress, incarnation: 77, number }
}

fn open(ingress: u16, number: u64, account: &str, units: u64, at: Micros) -> Entry {
    let (plan, class, request, node) = ("p".into(), "c".into(), format!("{ingress}-{number}"), "n".into());
    let what = What::Open(Open { account: account.into(), plan, class, units, request, node });
    Entry { id: id(ingress, number), at, what }
}

fn settled(ingress: u16, number: u64, open: u64, units: u64, presumed: bool) -> Entry {
    Entry {
        id: id(ingress, number),
        at: 0,
        what: What::Settled(Settled { open, units, presumed, ..Settled::default() }),
    }
}

fn correction(ingress: u16, number: u64, of: Id, account: &str, units: i64) -> Entry {
    let what = Correction {
        ingress: of.ingress.into(),
        incarnation: of.incarnation,
        number: of.number,
        units,
        why: "truth".into(),
        account: account.into(),
        plan: "p".into(),
        period: 0,
    };
    Entry { id: id(ingress, number), at: 0, what: What::Correction(what) }
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
    let mut w = Writer::new(1, BEGINNING);
    entries.iter().for_each(|e| w.append(e).unwrap());
    w.take()
}

#[test]
fn torn_at_every_byte_what_is_before_is_whole() {
    let (entries, bytes) = (day(), segment(&day()));
    for cut in 0..=bytes.len() {
        let s = scan(&bytes[..cut], Some(BEGINNING));
        assert_eq!(s.entries, entries[..s.entries.len()], "cut at {cut}");
        assert!(s.good <= cut);
        let edge = s.good == cut && cut > 0;
        assert_eq!(s.ending, if edge { Ending::Whole } else { Ending::Torn }, "cut at {cut}");
        // Going on after the cut makes a good segment again.
        if s.number.is_some() {
            let mut w = Writer::resume(s.chain);
            w.append(&open(2, 9, "z", 1, 0)).unwrap();
            let whole = [&bytes[..s.good], &w.take()].concat();
            let again = scan(&whole, Some(BEGINNING));
            assert_eq!((again.entries.len(), again.ending), (s.entries.len() + 1, Ending::Whole));
        }
    }
}

#[test]
fn any_change_before_the_last_record_is_damage_and_its_place_is_told() {
    let bytes = segment(&day());
    let last = bytes.len() - (20 + day().last().unwrap().encode().len());
    for at in 0..bytes.len() {
        for bit in [0, 3, 7] {
            let mut bad = bytes.clone();
            bad[at] ^= 1 << bit;
            let s = scan(&bad, Some(BEGINNING));
            // The number in the head is for people; all else counts.
            if (9..17).contains(&at) {
                continue;
            }
            assert!(s.entries.len() < day().len(), "byte {at}");
            match s.ending {
                Ending::Damaged { at: found, .. } => assert!(found <= at, "byte {at} found at {found}"),
                // A length that points past the end looks like a torn record.
                Ending::Torn => assert!(s.good <= at, "byte {at}"),
                Ending::Whole => panic!("byte {at}: not found"),
            }
            assert!(
                at < last || s.entries.len() == day().len() - 1,
                "a bad last record costs that one alone"
            );
        }
    }
}

#[test]
fn a_missing_record_and_a_foreign_segment_are_found() {
    let (all, entries) = (segment(&day()), day());
    let first = 33 + 20 + entries[0].encode().len();
    let second = first + 20 + entries[1].encode().len();
    let missing = [&all[..first], &all[second..]].concat();
    let s = scan(&missing, Some(BEGINNING));
    assert!(matches!(s.ending, Ending::Damaged { at, .. } if at == first), "{:?}", s.ending);
    let s = scan(&all, Some([9; 16]));
    assert!(matches!(s.ending, Ending::Damaged { at: 17, .. }));
    let s = scan(b"something else", None);
    assert!(matches!(s.ending, Ending::Damaged { at: 0, .. }));
    let mut newer = all.clone();
    newer[8] = 9;
    assert!(matches!(scan(&newer, None).ending, Ending::Damaged { at: 8, .. }));
    let mut huge = all[..33].to_vec();
    huge.extend([0xff; 40]);
    assert!(matches!(scan(&huge, None).ending, Ending::Damaged { at: 33, .. }), "no memory is taken for it");
    // Two segments: the second goes on where the first ends.
    let mut w = Writer::new(2, scan(&all, None).chain);
    w.append(&open(0, 7, "a", 1, 0)).unwrap();
    assert_eq!(scan(&w.take(), Some(scan(&all, None).chain)).ending, Ending::Whole);
}

#[test]
fn the_book_adds_up() {
    let mut book = Book::new(Periods::Every(HOUR));
    assert!(day().iter().all(|e| book.take(e) == Taken::New));
    assert_eq!(book.sum("a", 0), Sum { units: 3, requests: 1, presumed: 0, open: 0 });
    assert_eq!(book.sum("a", 1), Sum { units: 0, requests: 0, presumed: 0, open: 0 }, "it never ran");
    assert_eq!(
        book.sum("b", 0),
        Sum { units: 5, requests: 0, presumed: 0, open: 1 },
        "presumed nought, and corrected"
    );
    assert_eq!(book.open(0), [id(0, 6)]);
    // A copy is known; another entry under a number that was used is a conflict, and changes nothing.
    assert_eq!(book.take(&day()[0]), Taken::Known);
    assert_eq!(book.take(&open(0, 1, "a", 300, HOUR - 1)), Taken::Conflict);
    assert_eq!(book.sum("a", 0).units, 3);
}

#[test]
fn what_is_lacking_is_asked_for_within_bounds() {
    let mut book = Book::new(Periods::Every(HOUR));
    for n in [1, 2, 5, 9, 10] {
        book.take(&open(0, n, "a", 1, 0));
    }
    assert_eq!(book.have().next().unwrap().1, [(1, 2), (5, 5), (9, 10)]);
    assert_eq!(book.lacks(0, 77, &[(1, 12)], 100), [(3, 4), (6, 8), (11, 12)]);
    assert_eq!(book.lacks(0, 77, &[(1, 12)], 3), [(3, 4), (6, 6)]);
    assert_eq!(book.lacks(0, 78, &[(1, 3)], 100), [(1, 3)]);
    assert_eq!(book.lacks(0, 77, &[(1, 2), (9, 9)], 100), []);
    assert_eq!(book.lacks(0, 78, &[(1, u64::MAX)], 5), [(1, 5)]);
}

proptest! {
    /// Whatever order entries come in, and however often: the same sums.
    #[test]
    fn any_order_any_copies(order in proptest::collection::vec(0usize..9, 0..60), twice in any::<bool>()) {
        let mut all = day();
        // A second end of the same request: the one written first counts.
        all.push(settled(0, 7, 1, if twice { 3 } else { 9 }, false));
        let mut straight = Book::new(Periods::Every(HOUR));
        for e in &all {
            straight.take(e);
        }
        let mut mixed = Book::new(Periods::Every(HOUR));
        for n in order.into_iter().chain(0..all.len()) {
            mixed.take(&all[n]);
        }
        let sums = |b: &Book| b.sums().map(|(a, _, p, s)| (a.to_owned(), p, s)).collect::<Vec<_>>();
        prop_assert_eq!(sums(&mixed), sums(&straight));
        prop_assert_eq!(mixed.open(0), straight.open(0));
        prop_assert_eq!(mixed.have().map(|h| h.1.to_vec()).collect::<Vec<_>>(), straight.have().map(|h| h.1.to_vec()).collect::<Vec<_>>());
    }

    #[test]
    fn any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let s = scan(&bytes, None);
        prop_assert!(s.good <= bytes.len());
        let _ = Entry::decode(&bytes);
        let headed = [&segment(&[])[..], &bytes].concat();
        prop_assert!(scan(&headed, None).good <= headed.len());
    }

    #[test]
    fn entries_survive(account in any::<String>(), units in any::<u64>(), less in any::<i64>(), at in any::<u64>()) {
        for e in [open(3, 4, &account, units, at), settled(3, 4, units, at, true), correction(3, 4, id(9, 1), &account, less)] {
            prop_assert_eq!(Entry::decode(&e.encode()), Ok(e));
        }
    }
}
