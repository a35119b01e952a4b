//! The own log against an embedded store (redb) on this machine's disk, in one run: group commits, bytes an entry, and
//! how long it takes to be back with all sums.
//!
//! `cargo bench -p chalkgap-ledger --bench store`

use chalkgap_ledger::entry::{RequestOpened, RequestSettled};
use chalkgap_ledger::{Entry, EntryBody, EntryId, Periods, Store, UsageTotals};
use chalkgap_runtime::system::System;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::path::Path;
use std::time::Instant;

const TABLE: TableDefinition<(u16, u64, u64), &[u8]> = TableDefinition::new("entries");

fn entry(n: u64) -> Entry {
    let id = EntryId { ingress: 3, incarnation: 1_790_000_000_000_000, number: n };
    let body = if n % 2 == 1 {
        EntryBody::RequestOpened(RequestOpened {
            account: format!("account-{}", n % 5000),
            plan: "enterprise".into(),
            class: "report-upload".into(),
            units: 2,
            request: format!("3-65bfea1d2f7c0-{n}"),
            node: "127.0.0.1:47001".into(),
        })
    } else {
        EntryBody::RequestSettled(RequestSettled { open: n - 1, units: 2, ..RequestSettled::default() })
    };
    Entry { id, at: 1_790_000_000_000_000 + n * 250, body }
}

fn size(path: &Path) -> u64 {
    let files = std::fs::read_dir(path).unwrap().map(|e| e.unwrap().metadata().unwrap().len());
    files.sum()
}

fn own(folder: &Path, total: u64, group: u64) {
    let system = System::new();
    system.clone().run(async {
        let mut store = Store::open(system.clone(), folder, 8 << 20, |_| ()).await.unwrap();
        let begun = Instant::now();
        let mut times = Vec::new();
        for g in 0..total / group {
            let list: Vec<Entry> = (g * group + 1..=(g + 1) * group).map(entry).collect();
            let one = Instant::now();
            store.commit(&list).await.unwrap();
            times.push(one.elapsed().as_secs_f64() * 1e3);
        }
        let spent = begun.elapsed().as_secs_f64();
        drop(store);
        let begun = Instant::now();
        let mut totals = UsageTotals::new(Periods::Every(3_600_000_000));
        let take = |e: Entry| assert_eq!(totals.add(&e), chalkgap_ledger::AddOutcome::Added);
        Store::open(system.clone(), folder, 8 << 20, take).await.unwrap();
        row("own log", total, group, spent, times, size(folder), begun.elapsed().as_secs_f64());
    });
}

fn embedded(folder: &Path, total: u64, group: u64) {
    let db = Database::create(folder.join("ledger.redb")).unwrap();
    let begun = Instant::now();
    let mut times = Vec::new();
    for g in 0..total / group {
        let one = Instant::now();
        let write = db.begin_write().unwrap();
        {
            let mut table = write.open_table(TABLE).unwrap();
            for n in g * group + 1..=(g + 1) * group {
                let e = entry(n);
                table.insert((e.id.ingress, e.id.incarnation, e.id.number), &e.encode()[..]).unwrap();
            }
        }
        write.commit().unwrap();
        times.push(one.elapsed().as_secs_f64() * 1e3);
    }
    let spent = begun.elapsed().as_secs_f64();
    drop(db);
    let begun = Instant::now();
    let db = Database::open(folder.join("ledger.redb")).unwrap();
    let read = db.begin_read().unwrap();
    let table = read.open_table(TABLE).unwrap();
    let mut totals = UsageTotals::new(Periods::Every(3_600_000_000));
    for row in table.iter().unwrap() {
        totals.add(&Entry::decode(row.unwrap().1.value()).unwrap());
    }
    row("redb", total, group, spent, times, size(folder), begun.elapsed().as_secs_f64());
}

fn row(name: &str, total: u64, group: u64, spent: f64, mut times: Vec<f64>, bytes: u64, back: f64) {
    times.sort_by(f64::total_cmp);
    let at = |share: f64| times[(times.len() as f64 * share) as usize];
    println!(
        "| {name} | {total} in groups of {group} | {:.0} | {:.2} / {:.2} | {:.0} | {back:.2} |",
        total as f64 / spent,
        at(0.5),
        at(0.99),
        bytes as f64 / total as f64
    );
}

fn main() {
    println!("| store | entries | a second | commit p50 / p99 ms | bytes an entry | back after s |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (total, group) in [(2000u64, 10u64), (20_000, 100), (1_000_000, 5000)] {
        for (name, play) in [("own", own as fn(&Path, u64, u64)), ("redb", embedded)] {
            let folder = std::env::temp_dir().join(format!("chalkgap-bench-{name}-{}", std::process::id()));
            std::fs::create_dir_all(&folder).unwrap();
            play(&folder, total, group);
            std::fs::remove_dir_all(folder).unwrap();
        }
    }
}
