//! The store on a disk that crashes at every write and sync, and fails in its other ways.

use chalkgap_ledger::entry::{RequestOpened, RequestSettled};
use chalkgap_ledger::store::{self, next_incarnation, Store, StoreError};
use chalkgap_ledger::{
    AddOutcome, Entry, EntryBody, EntryId, IncarnationId, Periods, SequenceRange, UsageTotals,
};
use chalkgap_runtime::faulty_runtime::FaultyRuntime;
use chalkgap_runtime::system::System;
use chalkgap_runtime::*;
use futures_lite::future::block_on;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

/// A file: what is on the disk, and what is written but not synced.
#[derive(Clone, Default)]
struct Content {
    safe: Vec<u8>,
    loose: Vec<u8>,
}

#[derive(Default)]
struct Drive {
    files: BTreeMap<PathBuf, Content>,
    /// Steps (writes, syncs, openings) so far; the one that crashes, or fails with an error.
    steps: u64,
    crash_at: Option<u64>,
    fail_at: Option<(u64, i32)>,
}

impl Drive {
    fn step(&mut self) -> io::Result<()> {
        self.steps += 1;
        if self.crash_at.is_some_and(|n| self.steps > n) {
            return Err(io::Error::other("crashed"));
        }
        match self.fail_at {
            Some((n, errno)) if n == self.steps => Err(io::Error::from_raw_os_error(errno)),
            _ => Ok(()),
        }
    }

    /// What a crash leaves: all that is safe, and any part of what is loose.
    fn after_crash(&self, part: usize) -> Drive {
        let keep = |c: &Content| {
            let loose = &c.loose[..c.loose.len() * part / 4];
            Content { safe: [&c.safe[..], loose].concat(), loose: Vec::new() }
        };
        Drive { files: self.files.iter().map(|(p, c)| (p.clone(), keep(c))).collect(), ..Drive::default() }
    }
}

/// Files in memory.
#[derive(Clone)]
struct Memory(Arc<Mutex<Drive>>);

struct Handle(Memory, PathBuf);

impl Append for Handle {
    fn append<'a>(&'a mut self, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            let mut d = self.0 .0.lock().unwrap();
            let done = d.step();
            let file = d.files.get_mut(&self.1).unwrap();
            // A failing write may have written a part.
            let n = if done.is_ok() { bytes.len() } else { bytes.len() / 2 };
            file.loose.extend_from_slice(&bytes[..n]);
            done
        })
    }

    fn sync<'a>(&'a mut self) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            let mut d = self.0 .0.lock().unwrap();
            d.step()?;
            let file = d.files.get_mut(&self.1).unwrap();
            let loose = std::mem::take(&mut file.loose);
            file.safe.extend(loose);
            Ok(())
        })
    }
}

impl Files for Memory {
    fn append<'a>(&'a self, path: &'a Path, len: u64) -> BoxFuture<'a, io::Result<Box<dyn Append>>> {
        Box::pin(async move {
            let mut d = self.0.lock().unwrap();
            d.step()?;
            let file = d.files.entry(path.to_owned()).or_default();
            file.safe.truncate(len as usize);
            Ok(Box::new(Handle(self.clone(), path.to_owned())) as Box<dyn Append>)
        })
    }
    fn names<'a>(&'a self, _: &'a Path) -> BoxFuture<'a, io::Result<Vec<String>>> {
        let names = self
            .0
            .lock()
            .unwrap()
            .files
            .keys()
            .map(|p| p.file_name().unwrap().to_str().unwrap().to_owned())
            .collect();
        Box::pin(async move { Ok(names) })
    }
    fn read<'a>(&'a self, path: &'a Path, _: u64) -> BoxFuture<'a, io::Result<Vec<u8>>> {
        Box::pin(async move { Ok(self.0.lock().unwrap().files[path].safe.clone()) })
    }
    fn replace<'a>(&'a self, path: &'a Path, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            let mut d = self.0.lock().unwrap();
            d.step()?;
            d.files.insert(path.to_owned(), Content { safe: bytes, loose: Vec::new() });
            Ok(())
        })
    }
    fn create<'a>(&'a self, _: &'a Path, _: Vec<u8>) -> BoxFuture<'a, io::Result<bool>> {
        Box::pin(async { Err(io::ErrorKind::Unsupported.into()) })
    }
    fn remove<'a>(&'a self, path: &'a Path) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            let mut d = self.0.lock().unwrap();
            d.step()?;
            d.files.remove(path);
            Ok(())
        })
    }
    fn stamp<'a>(&'a self, _: &'a Path) -> BoxFuture<'a, io::Result<(Micros, u64)>> {
        Box::pin(async { Err(io::ErrorKind::Unsupported.into()) })
    }
}

fn world(drive: Drive) -> (Shared, Memory) {
    let memory = Memory(Arc::new(Mutex::new(drive)));
    (Arc::new(FaultyRuntime::new(System::new()).files(memory.clone())), memory)
}

fn entry(number: u64) -> Entry {
    let body = EntryBody::RequestSettled(RequestSettled {
        open: number,
        units: number,
        ..RequestSettled::default()
    });
    Entry { id: EntryId { ingress: 1, incarnation: 5, number }, at: number, body }
}

/// Commits groups of three until something stops it; the number of entries that were acknowledged.
fn run(runtime: &Shared, from: u64, groups: u64) -> u64 {
    block_on(async {
        let mut acknowledged = 0;
        let opened = Store::open(runtime.clone(), Path::new("/l"), 400, |_| acknowledged += 1).await;
        let Ok(mut store) = opened else { return 0 };
        for g in 0..groups {
            let first = from + 3 * g;
            let group: Vec<Entry> = (first..first + 3).map(entry).collect();
            match store.commit(&group).await {
                Ok(()) => acknowledged = first + 2,
                // Whatever it says later, nothing more is acknowledged.
                Err(_) => assert!(matches!(store.commit(&group).await, Err(StoreError::Stopped(_)))),
            }
        }
        acknowledged
    })
}

fn entries(runtime: &Shared) -> Vec<Entry> {
    let mut list = Vec::new();
    block_on(Store::open(runtime.clone(), Path::new("/l"), 400, |e| list.push(e))).expect("no damage");
    list
}

/// A crash at every write, sync and opening of a run, each with nothing, a part or all of the unsynced bytes kept; then
/// a crash at every step of the recovery that follows; then it goes on.
#[test]
fn a_crash_at_every_step() {
    let (runtime, memory) = world(Drive::default());
    assert_eq!(run(&runtime, 1, 12), 36);
    let steps = memory.0.lock().unwrap().steps;
    assert!(steps > 24 && memory.0.lock().unwrap().files.len() >= 3, "several segments");
    for crash_at in 0..steps {
        let (runtime, memory) = world(Drive { crash_at: Some(crash_at), ..Drive::default() });
        let acknowledged = run(&runtime, 1, 12);
        for part in 0..=4 {
            let left = memory.0.lock().unwrap().after_crash(part);
            for again in 0..4 {
                let mut second = left.after_crash(0);
                second.crash_at = Some(again);
                let (runtime, memory) = world(second);
                let _ = block_on(Store::open(runtime.clone(), Path::new("/l"), 400, |_| ()));
                let (runtime, _) = world(memory.0.lock().unwrap().after_crash(part));
                let found = entries(&runtime);
                assert!(
                    found.len() as u64 >= acknowledged,
                    "crash at {crash_at}: an acknowledged entry is lost"
                );
                let expected: Vec<Entry> = (1..=found.len() as u64).map(entry).collect();
                assert_eq!(found, expected, "crash at {crash_at}: in order, each once");
                let next = found.len() as u64 + 1;
                assert_eq!(run(&runtime, next, 2), next + 5, "it goes on");
                assert_eq!(entries(&runtime).len() as u64, next + 5);
            }
        }
    }
}

/// ENOSPC and EIO at every step: what was acknowledged before is there, and nothing is acknowledged after.
#[test]
fn a_failure_at_every_step_stops_it_for_good() {
    for errno in [28, 5] {
        for at in 1..30 {
            let (runtime, memory) = world(Drive { fail_at: Some((at, errno)), ..Drive::default() });
            let acknowledged = run(&runtime, 1, 12);
            for part in 0..=4 {
                let (runtime, _) = world(memory.0.lock().unwrap().after_crash(part));
                let found = entries(&runtime).len() as u64;
                assert!(
                    found >= acknowledged && found <= acknowledged + 3,
                    "{found} found, {acknowledged} told"
                );
            }
        }
    }
}

#[test]
fn damage_is_reported_and_nothing_is_written() {
    let (runtime, memory) = world(Drive::default());
    run(&runtime, 1, 12);
    let paths: Vec<PathBuf> = memory.0.lock().unwrap().files.keys().cloned().collect();
    let damaged = |change: &dyn Fn(&mut Drive)| {
        let mut drive = memory.0.lock().unwrap().after_crash(0);
        change(&mut drive);
        let (runtime, changed) = world(drive);
        let error = block_on(Store::open(runtime, Path::new("/l"), 400, |_| ())).err().expect("damage");
        assert_eq!(changed.0.lock().unwrap().steps, 1, "not even opened for writing, only locked");
        error.to_string()
    };
    let flipped = damaged(&|d| d.files.get_mut(&paths[0]).unwrap().safe[100] ^= 4);
    assert!(
        flipped.starts_with("/l/0000000000000001.seg: byte ") && flipped.contains("does not fit"),
        "{flipped}"
    );
    let short = damaged(&|d| d.files.get_mut(&paths[0]).unwrap().safe.truncate(200));
    assert!(short.contains("torn, but others follow it") || short.contains("go on where"), "{short}");
    let missing = damaged(&|d| drop(d.files.remove(&paths[1])));
    assert!(missing.contains("does not go on where the segment before it ends"), "{missing}");
}

#[test]
fn an_incarnation_is_later_than_all_that_are_in_the_log() {
    assert_eq!(next_incarnation(5, 100), 100);
    assert_eq!(next_incarnation(5, 3), 6, "the clock was set back");
    assert_eq!(next_incarnation(0, 3), 3, "the first");
}

#[test]
fn on_a_real_disk() {
    let folder = std::env::temp_dir().join(format!("chalkgap-ledger-{}", std::process::id()));
    let system = System::new();
    system.clone().run(async {
        for round in 0..2u64 {
            let mut found = 0;
            let mut store = Store::open(system.clone(), &folder, 300, |_| found += 1).await.unwrap();
            assert_eq!(found, 4 * round);
            for n in 1..=4 {
                store.commit(&[entry(4 * round + n)]).await.unwrap();
            }
            let second = Store::open(system.clone(), &folder, 300, |_| ()).await.err().unwrap().to_string();
            assert!(second.contains("the file is locked by another writer"), "{second}");
        }
    });
    std::fs::remove_dir_all(folder).unwrap();
}

fn used(number: u64) -> Entry {
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

/// The totals of the snapshot and the segments after it.
fn read_totals(runtime: &Shared) -> (UsageTotals, Vec<(String, u64, chalkgap_ledger::Sum)>) {
    block_on(async {
        let folder = Path::new("/l");
        let snapshot = store::read_snapshot(runtime, folder).await.expect("whole");
        let mut totals = match snapshot {
            Some(s) => UsageTotals::restore(PERIODS, &s.totals).expect("a snapshot"),
            None => UsageTotals::new(PERIODS),
        };
        let take = |e: Entry| assert_eq!(totals.add(&e), AddOutcome::Added);
        Store::open(runtime.clone(), folder, 400, take).await.expect("no damage");
        let sums = totals.sums().map(|(a, _, p, s)| (a.to_owned(), p, s)).collect();
        (totals, sums)
    })
}

const PERIODS: Periods = Periods::Every(50);

/// The one that [`used`] entries are of.
const INCARNATION: IncarnationId = IncarnationId { ingress: 1, incarnation: 5 };

/// A crash at every step of a compaction, and of the one after it: the same sums, and it goes on.
#[test]
fn a_crash_at_every_step_of_a_compaction() {
    let fill = |runtime: &Shared, from: u64| {
        block_on(async {
            let mut store = Store::open(runtime.clone(), Path::new("/l"), 400, |_| ()).await.unwrap();
            for n in 0..10 {
                let group: Vec<Entry> = (from + 4 * n..from + 4 * n + 4).map(used).collect();
                store.commit(&group).await.unwrap();
            }
        });
    };
    let compact = |runtime: &Shared, keep: u64| {
        block_on(async {
            let folder = Path::new("/l");
            let mut store = Store::open(runtime.clone(), folder, 400, |_| ()).await?;
            let last = store.current_segment() - 1;
            let until = store::last_segment_before(runtime, folder, last, PERIODS, keep)
                .await?
                .expect("some are old");
            let snapshot =
                store::build_snapshot(runtime, folder, PERIODS, until, keep).await?.expect("all is ended");
            store.compact(&snapshot).await?;
            Ok::<u64, StoreError>(until)
        })
    };
    let (runtime, memory) = world(Drive::default());
    fill(&runtime, 1);
    let expected = read_totals(&runtime).1;
    let before = memory.0.lock().unwrap().after_crash(4);
    for crash_at in 0..16 {
        let (runtime, memory) = world(Drive { crash_at: Some(crash_at), ..before.after_crash(4) });
        let done = compact(&runtime, 5);
        let (runtime, memory) = world(memory.0.lock().unwrap().after_crash(4));
        let (found, sums) = read_totals(&runtime);
        assert_eq!(sums, expected, "crash at {crash_at}");
        assert_eq!(found.numbers_of(INCARNATION), [SequenceRange::new(1, 40)]);
        if let Ok(until) = done {
            let files = memory.0.lock().unwrap();
            let left = files.files.keys().filter(|p| p.extension().is_some_and(|e| e == "seg")).count();
            assert!(until > 1 && left as u64 + until <= 12, "{until} condensed, {left} left");
            assert!(crash_at > 4);
        }
        // Once more on top of it, with what was left lying about.
        fill(&runtime, 41);
        let twice = read_totals(&runtime).1;
        compact(&runtime, 12).expect("no crash");
        assert_eq!(read_totals(&runtime).1, twice, "crash at {crash_at}, condensed again");
        assert_eq!(
            memory
                .0
                .lock()
                .unwrap()
                .files
                .keys()
                .filter(|p| p.extension().is_some_and(|e| e == "snap"))
                .count(),
            1
        );
    }
}

#[test]
fn a_changed_snapshot_is_damage() {
    let (runtime, memory) = world(Drive::default());
    let snapshot = block_on(async {
        let mut store = Store::open(runtime.clone(), Path::new("/l"), 400, |_| ()).await.unwrap();
        store.commit(&(1..=8).map(used).collect::<Vec<_>>()).await.unwrap();
        store.commit(&(9..=10).map(used).collect::<Vec<_>>()).await.unwrap();
        let s = store::build_snapshot(&runtime, Path::new("/l"), PERIODS, 1, 99).await.unwrap().unwrap();
        store.compact(&s).await.unwrap();
        s
    });
    assert_eq!(read_totals(&runtime).0.numbers_of(INCARNATION), [SequenceRange::new(1, 10)]);
    let path = Path::new("/l/0000000000000001.snap");
    let length = memory.0.lock().unwrap().files[path].safe.len();
    assert!(length > snapshot.totals.len());
    for at in 0..length {
        let (runtime, memory) = world(memory.0.lock().unwrap().after_crash(4));
        memory.0.lock().unwrap().files.get_mut(path).unwrap().safe[at] ^= 1;
        let error = block_on(store::read_snapshot(&runtime, Path::new("/l"))).expect_err("changed");
        assert!(matches!(error, StoreError::Damaged { .. }), "{at}: {error}");
    }
    // What is open goes on being open; what has ended in a period that is kept is kept as it is.
    let (runtime, _) = world(Drive::default());
    block_on(async {
        let mut store = Store::open(runtime.clone(), Path::new("/l"), 10, |_| ()).await.unwrap();
        for n in [1, 3, 2, 4] {
            store.commit(&[used(n)]).await.unwrap();
        }
        let condense = |until, keep| store::build_snapshot(&runtime, Path::new("/l"), PERIODS, until, keep);
        assert_eq!(condense(3, 0).await.unwrap(), None);
        let s = condense(3, 99).await.unwrap().unwrap();
        store.compact(&s).await.unwrap();
    });
    let (found, sums) = read_totals(&runtime);
    assert_eq!(sums.iter().map(|s| (s.2.units, s.2.open)).collect::<Vec<_>>(), [(3, 0), (1, 0)]);
    assert_eq!((found.unmatched_updates(), found.first_open_period()), (0, None));
}
