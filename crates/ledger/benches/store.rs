//! Compares the ledger's store with an embedded database (redb) on the disk of the temporary directory: latency of
//! group commits, bytes per entry, and the time to open the store and rebuild all usage totals.
//!
//! `cargo bench -p chalkgap-ledger --bench store`

use chalkgap_ledger::entry::{RequestOpened, RequestSettled};
use chalkgap_ledger::{Entry, EntryBody, EntryId, Periods, Store, UsageTotals};
use chalkgap_runtime::system::System;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::path::Path;
use std::time::Instant;

const TABLE: TableDefinition<(u16, u64, u64), &[u8]> = TableDefinition::new("entries");

fn entry(number: u64) -> Entry {
    let id = EntryId { ingress: 3, incarnation: 1_790_000_000_000_000, number };
    let body = if number % 2 == 1 {
        EntryBody::RequestOpened(RequestOpened {
            account: format!("account-{}", number % 5000),
            plan: "enterprise".into(),
            class: "report-upload".into(),
            units: 2,
            request: format!("3-65bfea1d2f7c0-{number}"),
            node: "127.0.0.1:47001".into(),
        })
    } else {
        EntryBody::RequestSettled(RequestSettled { open: number - 1, units: 2, ..RequestSettled::default() })
    };
    Entry { id, at: 1_790_000_000_000_000 + number * 250, body }
}

fn directory_bytes(path: &Path) -> u64 {
    let lengths = std::fs::read_dir(path).unwrap().map(|file| file.unwrap().metadata().unwrap().len());
    lengths.sum()
}

fn bench_store(directory: &Path, total: u64, group_size: u64) {
    let system = System::new();
    system.clone().run(async {
        let mut store = Store::open(system.clone(), directory, 8 << 20, |_| ()).await.unwrap();
        let started = Instant::now();
        let mut commit_millis = Vec::new();
        for group in 0..total / group_size {
            let entries: Vec<Entry> =
                (group * group_size + 1..=(group + 1) * group_size).map(entry).collect();
            let commit_started = Instant::now();
            store.commit(&entries).await.unwrap();
            commit_millis.push(commit_started.elapsed().as_secs_f64() * 1e3);
        }
        let write_seconds = started.elapsed().as_secs_f64();
        drop(store);
        let started = Instant::now();
        let mut totals = UsageTotals::new(Periods::Every(3_600_000_000));
        let add = |entry: Entry| assert_eq!(totals.add(&entry), chalkgap_ledger::AddOutcome::Added);
        Store::open(system.clone(), directory, 8 << 20, add).await.unwrap();
        print_row(Measurement {
            store: "chalkgap-ledger",
            total,
            group_size,
            write_seconds,
            commit_millis,
            bytes: directory_bytes(directory),
            reopen_seconds: started.elapsed().as_secs_f64(),
        });
    });
}

fn bench_redb(directory: &Path, total: u64, group_size: u64) {
    let database = Database::create(directory.join("ledger.redb")).unwrap();
    let started = Instant::now();
    let mut commit_millis = Vec::new();
    for group in 0..total / group_size {
        let commit_started = Instant::now();
        let write = database.begin_write().unwrap();
        {
            let mut table = write.open_table(TABLE).unwrap();
            for number in group * group_size + 1..=(group + 1) * group_size {
                let entry = entry(number);
                let key = (entry.id.ingress, entry.id.incarnation, entry.id.number);
                table.insert(key, &entry.encode()[..]).unwrap();
            }
        }
        write.commit().unwrap();
        commit_millis.push(commit_started.elapsed().as_secs_f64() * 1e3);
    }
    let write_seconds = started.elapsed().as_secs_f64();
    drop(database);
    let started = Instant::now();
    let database = Database::open(directory.join("ledger.redb")).unwrap();
    let read = database.begin_read().unwrap();
    let table = read.open_table(TABLE).unwrap();
    let mut totals = UsageTotals::new(Periods::Every(3_600_000_000));
    for row in table.iter().unwrap() {
        totals.add(&Entry::decode(row.unwrap().1.value()).unwrap());
    }
    print_row(Measurement {
        store: "redb",
        total,
        group_size,
        write_seconds,
        commit_millis,
        bytes: directory_bytes(directory),
        reopen_seconds: started.elapsed().as_secs_f64(),
    });
}

/// Results of one run with one store.
struct Measurement {
    store: &'static str,
    total: u64,
    group_size: u64,
    write_seconds: f64,
    commit_millis: Vec<f64>,
    bytes: u64,
    /// Time to open the store and add all entries to usage totals.
    reopen_seconds: f64,
}

fn print_row(measurement: Measurement) {
    let Measurement { store, total, group_size, write_seconds, mut commit_millis, bytes, reopen_seconds } =
        measurement;
    commit_millis.sort_by(f64::total_cmp);
    let quantile = |share: f64| commit_millis[(commit_millis.len() as f64 * share) as usize];
    println!(
        "| {store} | {total} in groups of {group_size} | {:.0} | {:.2} / {:.2} | {:.0} | {reopen_seconds:.2} |",
        total as f64 / write_seconds,
        quantile(0.5),
        quantile(0.99),
        bytes as f64 / total as f64
    );
}

fn main() {
    println!("| store | entries | entries/s | commit p50 / p99 ms | bytes per entry | reopen s |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (total, group_size) in [(2000u64, 10u64), (20_000, 100), (1_000_000, 5000)] {
        for (name, bench) in [("ledger", bench_store as fn(&Path, u64, u64)), ("redb", bench_redb)] {
            let directory =
                std::env::temp_dir().join(format!("chalkgap-bench-{name}-{}", std::process::id()));
            std::fs::create_dir_all(&directory).unwrap();
            bench(&directory, total, group_size);
            std::fs::remove_dir_all(directory).unwrap();
        }
    }
}
