//! Compatibility with a recorded ledger directory: it is read completely, gives the recorded sums, and the same entries
//! are written as the same bytes.

use chalkgap_ledger::entry::*;
use chalkgap_ledger::store::{self, Store};
use chalkgap_ledger::{Entry, EntryBody, EntryId, Periods, UsageTotals};
use chalkgap_runtime::system::System;
use chalkgap_runtime::Shared;
use futures_lite::future::block_on;
use std::fmt::Write as _;
use std::path::Path;

#[path = "../../../tests/support/recorded.rs"]
mod recorded;

const SECOND: u64 = 1_000_000;
const PERIODS: Periods = Periods::Every(60 * SECOND);
const START: u64 = 1_800_000_000 * SECOND;
/// Number of bytes after which a segment ends: small, so that a few entries fill several segments.
const SEGMENT_BYTES: u64 = 400;
/// The last segment that the snapshot replaces.
const LAST_REPLACED_SEGMENT: u64 = 1;

fn entry(number: u64, body: EntryBody) -> Entry {
    Entry { id: EntryId { ingress: 2, incarnation: START, number }, at: START + number * SECOND, body }
}

fn open(number: u64, account: &str, units: u64) -> EntryBody {
    let request = format!("x-{number}");
    let (account, plan, class) = (account.to_owned(), "team".to_owned(), "sig-check".to_owned());
    EntryBody::RequestOpened(RequestOpened {
        account,
        plan,
        class,
        units,
        request,
        node: "127.0.0.1:7001".into(),
    })
}

fn settled(open: u64, units: u64, presumed: bool) -> EntryBody {
    EntryBody::RequestSettled(RequestSettled {
        open,
        units,
        presumed,
        node: "127.0.0.1:7001".into(),
        incarnation: 0,
    })
}

fn entries() -> Vec<Entry> {
    let correction = Correction {
        ingress: 2,
        incarnation: START,
        number: 4,
        units: -2,
        why: "the node says that it never ran".into(),
        account: "acme".into(),
        plan: "team".into(),
        period: PERIODS.of(START + 4 * SECOND),
    };
    let period = PERIODS.of(START);
    let line =
        Line { account: "acme".into(), plan: "team".into(), period, billed: period, units: 3, requests: 1 };
    let basis = vec![Range { ingress: 2, incarnation: START, from: 1, to: 9 }];
    let batch = Batch { stream: "2".into(), number: 1, lines: vec![line], basis, until: period };
    let digest = batch.digest().to_vec();
    let bodies = vec![
        EntryBody::IncarnationStarted(IncarnationStarted { period, incarnation: START - 5, number: 44 }),
        open(2, "acme", 3),
        settled(2, 3, false),
        open(4, "acme", 2),
        EntryBody::AttemptAdded(AttemptAdded { open: 4, node: "127.0.0.1:7002".into() }),
        settled(4, 2, true),
        EntryBody::Correction(correction),
        open(8, "other", 5),
        settled(8, 0, false),
        EntryBody::PeriodClosed(PeriodClosed { period }),
        EntryBody::BatchPrepared(batch),
        EntryBody::BatchAcknowledged(BatchAcknowledged { stream: "2".into(), number: 1, digest }),
        open(13, "other", 7),
    ];
    (1u64..).zip(bodies).map(|(number, body)| entry(number, body)).collect()
}

/// A temporary directory, removed when it is dropped.
struct TemporaryDirectory(std::path::PathBuf);

impl TemporaryDirectory {
    fn new(name: &str) -> TemporaryDirectory {
        let path = std::env::temp_dir().join(format!("chalkgap-recorded-{name}-{}", std::process::id()));
        drop(std::fs::remove_dir_all(&path)); // left by an earlier process with the same id
        std::fs::create_dir_all(&path).unwrap();
        TemporaryDirectory(path)
    }
}

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.0));
    }
}

async fn write(runtime: &Shared, directory: &Path, entries: &[Entry]) {
    let mut store = Store::open(runtime.clone(), directory, SEGMENT_BYTES, |_| ()).await.unwrap();
    for entry in entries {
        store.commit(std::slice::from_ref(entry)).await.unwrap();
    }
}

/// Returns the names of a directory's segments and snapshots, in order.
fn files(directory: &Path) -> Vec<String> {
    let names =
        std::fs::read_dir(directory).unwrap().map(|file| file.unwrap().file_name().into_string().unwrap());
    let mut names: Vec<String> = names.filter(|name| name != "lock").collect();
    names.sort();
    names
}

/// Records the fixture: a snapshot, and the segments after it.
fn record(runtime: &Shared, fixtures: &Path) {
    let written = TemporaryDirectory::new("written");
    block_on(async {
        write(runtime, &written.0, &entries()).await;
        let keep_from = PERIODS.of(START) + 1;
        let snapshot = store::build_snapshot(runtime, &written.0, PERIODS, LAST_REPLACED_SEGMENT, keep_from)
            .await
            .unwrap();
        let mut store = Store::open(runtime.clone(), &written.0, SEGMENT_BYTES, |_| ()).await.unwrap();
        store.compact(&snapshot.expect("the totals can be encoded")).await.unwrap();
    });
    std::fs::create_dir_all(fixtures).unwrap();
    for file in files(&written.0) {
        std::fs::copy(written.0.join(&file), fixtures.join(&file)).unwrap();
    }
}

fn sums(totals: &UsageTotals) -> String {
    let mut text = String::new();
    for (account, plan, period, sum) in totals.sums() {
        writeln!(
            text,
            "{account} {plan} {period}: units {}, requests {}, presumed {}, open {}",
            sum.units, sum.requests, sum.presumed, sum.open
        )
        .unwrap();
    }
    writeln!(text, "latest {:?}, strays {}", totals.latest(2), totals.unmatched_updates()).unwrap();
    for range in totals.ranges() {
        writeln!(text, "has {} {} {}-{}", range.ingress, range.incarnation, range.from, range.to).unwrap();
    }
    text
}

#[test]
fn a_recorded_directory_is_read_and_appended_to() {
    let system = System::new();
    let runtime: Shared = system.clone();
    let fixtures = recorded::fixture("ledger");
    if recorded::recording() {
        record(&runtime, &fixtures);
    }

    let copy = TemporaryDirectory::new("copy");
    for file in files(&fixtures) {
        std::fs::copy(fixtures.join(&file), copy.0.join(&file)).unwrap();
    }
    let (text, appended) = block_on(async {
        let snapshot =
            store::read_snapshot(&runtime, &copy.0).await.unwrap().expect("the directory has a snapshot");
        let mut totals = UsageTotals::restore(PERIODS, &snapshot.totals).unwrap();
        assert_eq!(totals.snapshot().expect("the totals can be encoded"), snapshot.totals);
        let mut read = Vec::new();
        let mut store =
            Store::open(runtime.clone(), &copy.0, SEGMENT_BYTES, |entry| read.push(entry)).await.unwrap();
        for entry in &read {
            totals.add(entry);
        }
        let all = entries();
        assert!(read.len() >= 2 && all.ends_with(&read), "the entries after the snapshot are read");
        let mut text = sums(&totals);
        writeln!(text, "segment {}, entries read {}", store.current_segment(), read.len()).unwrap();
        // A new entry continues the chain of the recorded segments.
        store.commit(&[entry(14, settled(13, 6, false))]).await.unwrap();
        drop(store);
        let mut read_again = Vec::new();
        let reopened = Store::open(runtime.clone(), &copy.0, SEGMENT_BYTES, |entry| read_again.push(entry))
            .await
            .unwrap();
        drop(reopened);
        (text, read_again.len() - read.len())
    });
    assert_eq!(appended, 1);
    recorded::check_text("ledger_sums.txt", &text);
}

/// The same entries are written as the recorded segments, byte for byte.
#[test]
fn written_segments_equal_the_recorded_bytes() {
    let system = System::new();
    let runtime: Shared = system.clone();
    let written = TemporaryDirectory::new("again");
    block_on(write(&runtime, &written.0, &entries()));
    let fixtures = recorded::fixture("ledger");
    for file in files(&fixtures).iter().filter(|file| file.ends_with(".seg")) {
        let written_bytes = std::fs::read(written.0.join(file)).unwrap();
        let recorded_bytes = std::fs::read(fixtures.join(file)).unwrap();
        assert!(
            written_bytes == recorded_bytes,
            "{file} differs: {} bytes written, {} recorded",
            written_bytes.len(),
            recorded_bytes.len()
        );
    }
}

#[test]
fn encoded_entries_equal_the_recorded_bytes() {
    let entries = entries();
    let names: Vec<String> = entries.iter().map(|entry| format!("entry {}", entry.id.number)).collect();
    let bytes: Vec<(&str, Vec<u8>)> =
        names.iter().zip(&entries).map(|(name, entry)| (name.as_str(), entry.encode())).collect();
    recorded::check_messages("entries.txt", &bytes);
    for (entry, (name, bytes)) in entries.iter().zip(&bytes) {
        assert_eq!(Entry::decode(bytes).as_ref(), Ok(entry), "{name}");
    }
}
