//! The store on a simulated disk that crashes or fails at every write, sync and open, and on a real disk.

use chalkgap_ledger::entry::{RequestOpened, RequestSettled};
use chalkgap_ledger::store::{self, next_incarnation, Store, StoreError};
use chalkgap_ledger::{
    AddOutcome, Entry, EntryBody, EntryId, IncarnationId, Periods, SequenceRange, Sum, UsageTotals,
};
use chalkgap_runtime::faulty_runtime::FaultyRuntime;
use chalkgap_runtime::system::System;
use chalkgap_runtime::*;
use futures_lite::future::block_on;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};

/// The directory of the store on the simulated disk.
const DIRECTORY: &str = "/l";
/// Number of bytes after which a segment ends: small, so that a few groups of entries fill several segments.
const MAX_SEGMENT_BYTES: u64 = 400;

/// The content of a file.
#[derive(Clone, Default)]
struct Content {
    synced: Vec<u8>,
    /// Bytes after the synced ones, which a crash may lose.
    unsynced: Vec<u8>,
}

/// An error that one step returns.
#[derive(Clone, Copy)]
struct Failure {
    /// Number of the step, from 1.
    step: u64,
    errno: i32,
}

/// A simulated disk.
#[derive(Default)]
struct Disk {
    files: BTreeMap<PathBuf, Content>,
    /// Number of steps (writes, syncs, opens, replacements, removals) so far.
    steps: u64,
    /// Number of steps after which every step fails, as after a crash.
    crash_after: Option<u64>,
    failure: Option<Failure>,
}

impl Disk {
    fn step(&mut self) -> io::Result<()> {
        self.steps += 1;
        if self.crash_after.is_some_and(|steps| self.steps > steps) {
            return Err(io::Error::other("crashed"));
        }
        match self.failure {
            Some(Failure { step, errno }) if step == self.steps => Err(io::Error::from_raw_os_error(errno)),
            _ => Ok(()),
        }
    }

    /// Returns the disk after a crash: all synced bytes, and `quarters` quarters of the unsynced bytes of each file.
    fn after_crash(&self, quarters: usize) -> Disk {
        let keep = |content: &Content| {
            let kept = &content.unsynced[..content.unsynced.len() * quarters / 4];
            Content { synced: [&content.synced[..], kept].concat(), unsynced: Vec::new() }
        };
        let files = self.files.iter().map(|(path, content)| (path.clone(), keep(content)));
        Disk { files: files.collect(), ..Disk::default() }
    }
}

/// The files of a simulated disk.
#[derive(Clone)]
struct SimulatedFiles(Arc<Mutex<Disk>>);

impl SimulatedFiles {
    fn disk(&self) -> MutexGuard<'_, Disk> {
        self.0.lock().unwrap()
    }
}

/// An open file of a simulated disk.
struct OpenFile {
    files: SimulatedFiles,
    path: PathBuf,
}

impl Append for OpenFile {
    fn append<'a>(&'a mut self, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            let mut disk = self.files.disk();
            let result = disk.step();
            let file = disk.files.get_mut(&self.path).unwrap();
            // A failed write has written a part of the bytes.
            let written = if result.is_ok() { bytes.len() } else { bytes.len() / 2 };
            file.unsynced.extend_from_slice(&bytes[..written]);
            result
        })
    }

    fn sync<'a>(&'a mut self) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            let mut disk = self.files.disk();
            disk.step()?;
            let file = disk.files.get_mut(&self.path).unwrap();
            let unsynced = std::mem::take(&mut file.unsynced);
            file.synced.extend(unsynced);
            Ok(())
        })
    }
}

impl Files for SimulatedFiles {
    fn append<'a>(&'a self, path: &'a Path, len: u64) -> BoxFuture<'a, io::Result<Box<dyn Append>>> {
        Box::pin(async move {
            let mut disk = self.disk();
            disk.step()?;
            let file = disk.files.entry(path.to_owned()).or_default();
            file.synced.truncate(len as usize);
            Ok(Box::new(OpenFile { files: self.clone(), path: path.to_owned() }) as Box<dyn Append>)
        })
    }
    fn names<'a>(&'a self, _: &'a Path) -> BoxFuture<'a, io::Result<Vec<String>>> {
        let disk = self.disk();
        let names = disk.files.keys().map(|path| path.file_name().unwrap().to_str().unwrap().to_owned());
        let names = names.collect();
        Box::pin(async move { Ok(names) })
    }
    fn read<'a>(&'a self, path: &'a Path, _: u64) -> BoxFuture<'a, io::Result<Vec<u8>>> {
        Box::pin(async move { Ok(self.disk().files[path].synced.clone()) })
    }
    fn replace<'a>(&'a self, path: &'a Path, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            let mut disk = self.disk();
            disk.step()?;
            disk.files.insert(path.to_owned(), Content { synced: bytes, unsynced: Vec::new() });
            Ok(())
        })
    }
    fn create<'a>(&'a self, _: &'a Path, _: Vec<u8>) -> BoxFuture<'a, io::Result<bool>> {
        Box::pin(async { Err(io::ErrorKind::Unsupported.into()) })
    }
    fn remove<'a>(&'a self, path: &'a Path) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            let mut disk = self.disk();
            disk.step()?;
            disk.files.remove(path);
            Ok(())
        })
    }
    fn stamp<'a>(&'a self, _: &'a Path) -> BoxFuture<'a, io::Result<(Micros, u64)>> {
        Box::pin(async { Err(io::ErrorKind::Unsupported.into()) })
    }
}

/// Creates a runtime whose files are on a simulated disk. Returns it with these files.
fn runtime_with(disk: Disk) -> (Shared, SimulatedFiles) {
    let files = SimulatedFiles(Arc::new(Mutex::new(disk)));
    (Arc::new(FaultyRuntime::new(System::new()).files(files.clone())), files)
}

fn entry(number: u64) -> Entry {
    let body = EntryBody::RequestSettled(RequestSettled {
        open: number,
        units: number,
        ..RequestSettled::default()
    });
    Entry { id: EntryId { ingress: 1, incarnation: 5, number }, at: number, body }
}

/// Opens the store and commits groups of three entries, the first of which has the number `from`. Returns the number of
/// entries that were acknowledged.
fn commit_groups(runtime: &Shared, from: u64, groups: u64) -> u64 {
    block_on(async {
        let mut acknowledged = 0;
        let opened =
            Store::open(runtime.clone(), Path::new(DIRECTORY), MAX_SEGMENT_BYTES, |_| acknowledged += 1)
                .await;
        let Ok(mut store) = opened else { return 0 };
        for index in 0..groups {
            let first = from + 3 * index;
            let group: Vec<Entry> = (first..first + 3).map(entry).collect();
            match store.commit(&group).await {
                Ok(()) => acknowledged = first + 2,
                // After a failure no later group is acknowledged.
                Err(_) => assert!(matches!(store.commit(&group).await, Err(StoreError::Stopped(_)))),
            }
        }
        acknowledged
    })
}

fn entries(runtime: &Shared) -> Vec<Entry> {
    let mut list = Vec::new();
    let opened = block_on(Store::open(runtime.clone(), Path::new(DIRECTORY), MAX_SEGMENT_BYTES, |entry| {
        list.push(entry)
    }));
    opened.expect("the log is not damaged");
    list
}

/// A crash at every write, sync and open, after which none, a part or all of the unsynced bytes are kept; then a crash
/// at every step of the recovery. After both, the store has all acknowledged entries and accepts new ones.
#[test]
fn a_crash_at_any_step_loses_no_acknowledged_entry() {
    let (runtime, files) = runtime_with(Disk::default());
    assert_eq!(commit_groups(&runtime, 1, 12), 36);
    let steps = files.disk().steps;
    assert!(steps > 24 && files.disk().files.len() >= 3, "there are several segments");
    for crash_after in 0..steps {
        let (runtime, files) = runtime_with(Disk { crash_after: Some(crash_after), ..Disk::default() });
        let acknowledged = commit_groups(&runtime, 1, 12);
        for quarters in 0..=4 {
            let first_crash = files.disk().after_crash(quarters);
            for recovery_crash_after in 0..4 {
                let mut disk = first_crash.after_crash(0); // a copy: all bytes of `first_crash` are synced
                disk.crash_after = Some(recovery_crash_after);
                let (runtime, files) = runtime_with(disk);
                let _ =
                    block_on(Store::open(runtime.clone(), Path::new(DIRECTORY), MAX_SEGMENT_BYTES, |_| ()));
                let (runtime, _) = runtime_with(files.disk().after_crash(quarters));
                let found = entries(&runtime);
                assert!(
                    found.len() as u64 >= acknowledged,
                    "crash after {crash_after} steps: an acknowledged entry is lost"
                );
                let expected: Vec<Entry> = (1..=found.len() as u64).map(entry).collect();
                assert_eq!(
                    found, expected,
                    "crash after {crash_after} steps: the entries are in order, each once"
                );
                let next = found.len() as u64 + 1;
                assert_eq!(commit_groups(&runtime, next, 2), next + 5, "the store accepts new entries");
                assert_eq!(entries(&runtime).len() as u64, next + 5);
            }
        }
    }
}

/// ENOSPC and EIO at every step: entries that were acknowledged before are kept, and no entry is acknowledged after.
#[test]
fn a_store_accepts_no_entries_after_a_failure_at_any_step() {
    for errno in [28, 5] {
        for step in 1..30 {
            let failure = Some(Failure { step, errno });
            let (runtime, files) = runtime_with(Disk { failure, ..Disk::default() });
            let acknowledged = commit_groups(&runtime, 1, 12);
            for quarters in 0..=4 {
                let (runtime, _) = runtime_with(files.disk().after_crash(quarters));
                let found = entries(&runtime).len() as u64;
                assert!(
                    found >= acknowledged && found <= acknowledged + 3,
                    "{found} entries found, {acknowledged} acknowledged"
                );
            }
        }
    }
}

#[test]
fn damage_is_reported_and_nothing_is_written() {
    let (runtime, files) = runtime_with(Disk::default());
    commit_groups(&runtime, 1, 12);
    let paths: Vec<PathBuf> = files.disk().files.keys().cloned().collect();
    let error_after = |change: &dyn Fn(&mut Disk)| {
        let mut disk = files.disk().after_crash(0);
        change(&mut disk);
        let (runtime, changed_files) = runtime_with(disk);
        let error = block_on(Store::open(runtime, Path::new(DIRECTORY), MAX_SEGMENT_BYTES, |_| ()))
            .err()
            .expect("damage");
        assert_eq!(changed_files.disk().steps, 1, "the lock file is opened, and no segment is");
        error.to_string()
    };
    let flipped = error_after(&|disk| disk.files.get_mut(&paths[0]).unwrap().synced[100] ^= 4);
    assert!(
        flipped.starts_with("/l/0000000000000001.seg: byte ")
            && flipped.contains("the record's chain value does not match"),
        "{flipped}"
    );
    let truncated = error_after(&|disk| disk.files.get_mut(&paths[0]).unwrap().synced.truncate(200));
    assert!(
        truncated.contains("the segment is torn, but later segments exist")
            || truncated.contains("does not continue the chain"),
        "{truncated}"
    );
    let missing = error_after(&|disk| drop(disk.files.remove(&paths[1])));
    assert!(
        missing.contains("the segment does not continue the chain of the segment before it"),
        "{missing}"
    );
}

#[test]
fn a_new_incarnation_is_later_than_all_in_the_log() {
    assert_eq!(next_incarnation(5, 100), 100);
    assert_eq!(next_incarnation(5, 3), 6, "the clock was set back");
    assert_eq!(next_incarnation(0, 3), 3, "the first incarnation is the present time");
}

#[test]
fn a_store_on_a_real_disk_keeps_entries_and_locks_its_directory() {
    let directory = std::env::temp_dir().join(format!("chalkgap-ledger-{}", std::process::id()));
    let system = System::new();
    system.clone().run(async {
        for round in 0..2u64 {
            let mut found = 0;
            let mut store = Store::open(system.clone(), &directory, 300, |_| found += 1).await.unwrap();
            assert_eq!(found, 4 * round);
            for number in 1..=4 {
                store.commit(&[entry(4 * round + number)]).await.unwrap();
            }
            let second =
                Store::open(system.clone(), &directory, 300, |_| ()).await.err().unwrap().to_string();
            assert!(second.contains("the file is locked by another writer"), "{second}");
        }
    });
    std::fs::remove_dir_all(directory).unwrap();
}

/// Returns an open entry for an odd number, and for an even one the settlement of the request opened before it.
fn request_entry(number: u64) -> Entry {
    let id = EntryId { ingress: 1, incarnation: 5, number };
    let body = if number % 2 == 1 {
        let (account, plan, class) = (format!("a{}", number % 3), "p".into(), "c".into());
        EntryBody::RequestOpened(RequestOpened {
            account,
            plan,
            class,
            units: number,
            request: number.to_string(),
            node: "n".into(),
        })
    } else {
        EntryBody::RequestSettled(RequestSettled {
            open: number - 1,
            units: number - 1,
            ..RequestSettled::default()
        })
    };
    Entry { id, at: number * 10, body }
}

/// An account's sum in a period.
#[derive(Clone, Debug, PartialEq)]
struct AccountSum {
    account: String,
    period: u64,
    sum: Sum,
}

/// Returns the totals of the snapshot and the segments after it, with their sums.
fn read_totals(runtime: &Shared) -> (UsageTotals, Vec<AccountSum>) {
    block_on(async {
        let directory = Path::new(DIRECTORY);
        let snapshot = store::read_snapshot(runtime, directory).await.expect("no snapshot is damaged");
        let mut totals = match snapshot {
            Some(snapshot) => UsageTotals::restore(PERIODS, &snapshot.totals).expect("valid totals"),
            None => UsageTotals::new(PERIODS),
        };
        let add = |entry: Entry| assert_eq!(totals.add(&entry), AddOutcome::Added);
        Store::open(runtime.clone(), directory, MAX_SEGMENT_BYTES, add)
            .await
            .expect("the log is not damaged");
        let sums = totals.sums();
        let sums =
            sums.map(|(account, _, period, sum)| AccountSum { account: account.to_owned(), period, sum });
        let sums = sums.collect();
        (totals, sums)
    })
}

const PERIODS: Periods = Periods::Every(50);

/// The incarnation of the entries that [`request_entry`] returns.
const INCARNATION: IncarnationId = IncarnationId { ingress: 1, incarnation: 5 };

fn count_files(files: &SimulatedFiles, extension: &str) -> usize {
    let disk = files.disk();
    disk.files.keys().filter(|path| path.extension().is_some_and(|found| found == extension)).count()
}

/// A crash at every step of a compaction, then more entries and a second compaction: the sums stay the same.
#[test]
fn a_crash_at_any_step_of_a_compaction_changes_no_sum() {
    let fill = |runtime: &Shared, from: u64| {
        block_on(async {
            let mut store =
                Store::open(runtime.clone(), Path::new(DIRECTORY), MAX_SEGMENT_BYTES, |_| ()).await.unwrap();
            for index in 0..10 {
                let first = from + 4 * index;
                let group: Vec<Entry> = (first..first + 4).map(request_entry).collect();
                store.commit(&group).await.unwrap();
            }
        });
    };
    let compact = |runtime: &Shared, keep_from: u64| {
        block_on(async {
            let directory = Path::new(DIRECTORY);
            let mut store = Store::open(runtime.clone(), directory, MAX_SEGMENT_BYTES, |_| ()).await?;
            let last = store.current_segment() - 1;
            let until = store::last_segment_before(runtime, directory, last, PERIODS, keep_from)
                .await?
                .expect("a segment has only earlier periods");
            let snapshot = store::build_snapshot(runtime, directory, PERIODS, until, keep_from)
                .await?
                .expect("the totals can be encoded");
            store.compact(&snapshot).await?;
            Ok::<u64, StoreError>(until)
        })
    };
    let (runtime, files) = runtime_with(Disk::default());
    fill(&runtime, 1);
    let expected = read_totals(&runtime).1;
    let before = files.disk().after_crash(4);
    for crash_after in 0..16 {
        let (runtime, files) = runtime_with(Disk { crash_after: Some(crash_after), ..before.after_crash(4) });
        let compacted = compact(&runtime, 5);
        let (runtime, files) = runtime_with(files.disk().after_crash(4));
        let (totals, sums) = read_totals(&runtime);
        assert_eq!(sums, expected, "crash after {crash_after} steps");
        assert_eq!(totals.numbers_of(INCARNATION), [SequenceRange::new(1, 40)]);
        if let Ok(until) = compacted {
            let remaining = count_files(&files, "seg") as u64;
            assert!(until > 1 && remaining + until <= 12, "{until} segments compacted, {remaining} left");
            assert!(crash_after > 4);
        }
        // A second compaction, which removes files that the crash has left.
        fill(&runtime, 41);
        let expected = read_totals(&runtime).1;
        compact(&runtime, 12).expect("no crash");
        let sums = read_totals(&runtime).1;
        assert_eq!(sums, expected, "crash after {crash_after} steps, second compaction");
        assert_eq!(count_files(&files, "snap"), 1);
    }
}

#[test]
fn a_changed_snapshot_is_damage() {
    let (runtime, files) = runtime_with(Disk::default());
    let snapshot = block_on(async {
        let mut store =
            Store::open(runtime.clone(), Path::new(DIRECTORY), MAX_SEGMENT_BYTES, |_| ()).await.unwrap();
        store.commit(&(1..=8).map(request_entry).collect::<Vec<_>>()).await.unwrap();
        store.commit(&(9..=10).map(request_entry).collect::<Vec<_>>()).await.unwrap();
        let snapshot =
            store::build_snapshot(&runtime, Path::new(DIRECTORY), PERIODS, 1, 99).await.unwrap().unwrap();
        store.compact(&snapshot).await.unwrap();
        snapshot
    });
    assert_eq!(read_totals(&runtime).0.numbers_of(INCARNATION), [SequenceRange::new(1, 10)]);
    let path = Path::new("/l/0000000000000001.snap");
    let length = files.disk().files[path].synced.len();
    assert!(length > snapshot.totals.len());
    for at in 0..length {
        let (runtime, files) = runtime_with(files.disk().after_crash(4));
        files.disk().files.get_mut(path).unwrap().synced[at] ^= 1;
        let error = block_on(store::read_snapshot(&runtime, Path::new(DIRECTORY)))
            .expect_err("the snapshot is changed");
        assert!(matches!(error, StoreError::Damaged { .. }), "byte {at}: {error}");
    }
}

/// Open requests stay open in a snapshot. No snapshot is built while a settled request belongs to a period that is
/// kept.
#[test]
fn a_snapshot_keeps_open_requests() {
    let (runtime, _) = runtime_with(Disk::default());
    block_on(async {
        let mut store = Store::open(runtime.clone(), Path::new(DIRECTORY), 10, |_| ()).await.unwrap();
        for number in [1, 3, 2, 4] {
            store.commit(&[request_entry(number)]).await.unwrap();
        }
        let snapshot =
            |until, period| store::build_snapshot(&runtime, Path::new(DIRECTORY), PERIODS, until, period);
        assert_eq!(snapshot(3, 0).await.unwrap(), None);
        let snapshot = snapshot(3, 99).await.unwrap().unwrap();
        store.compact(&snapshot).await.unwrap();
    });
    let (totals, sums) = read_totals(&runtime);
    let units: Vec<(i64, u64)> = sums.iter().map(|entry| (entry.sum.units, entry.sum.open)).collect();
    assert_eq!(units, [(3, 0), (1, 0)]);
    assert_eq!(totals.unmatched_updates(), 0);
    assert_eq!(totals.first_open_period(), None);
}
