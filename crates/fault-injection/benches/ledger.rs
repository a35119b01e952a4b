//! Replication of a ledger between two ingresses, over their authenticated streams on loopback: time until an ingress with
//! an empty ledger has all entries of the other one. Also the start time and memory of an ingress with many entries.
//!
//! `cargo bench -p chalkgap-fault-injection --bench ledger [-- --entries N]`

use chalkgap::runtime::system::System;
use chalkgap::runtime::Shared;
use chalkgap::settings::{self, Settings};
use chalkgap::Instance;
use chalkgap_ledger::entry::{RequestOpened, RequestSettled};
use chalkgap_ledger::{Entry, EntryBody, EntryId, Store};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::time::Instant;

const SETTINGS: &str = r#"
settings = {
    "fleet": {"ingresses": 2, "me": 0, "zones": ["a"], "zone": "a"},
    "front": {"listen": "127.0.0.1:0"},
    "classes": [{"name": "c", "aim_ms": 5000, "deadline_ms": 10000, "repeat": "safe"}],
    "plans": [{"name": "p", "rate": 1.0, "burst": 1.0}],
    "rules": {"drain_grace_ms": 2000, "cold_from": 0.2, "cold_ms": 0, "fall_factor": 3.0, "fall_ms": 2000},
    "nodes": {"source": "handle"},
}
"#;

fn entry(n: u64) -> Entry {
    let id = EntryId { ingress: 0, incarnation: 1_700_000_000_000_000, number: n };
    let body = if n % 2 == 1 {
        EntryBody::RequestOpened(RequestOpened {
            account: format!("account-{}", n % 5000),
            plan: "enterprise".into(),
            class: "report-upload".into(),
            units: 2,
            request: format!("0-65bfea1d2f7c0-{n}"),
            node: "127.0.0.1:47001".into(),
        })
    } else {
        EntryBody::RequestSettled(RequestSettled { open: n - 1, units: 2, ..RequestSettled::default() })
    };
    Entry { id, at: 1_700_000_000_000_000 + n * 250, body }
}

/// Returns the resident memory of this process in MiB.
fn memory_mib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<f64>().unwrap() / 1024.0
}

/// Returns an address with an unused port.
fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn ingress_settings(me: u16, folder: &Path, addresses: &[SocketAddr; 2], per_second: f64) -> Settings {
    let mut settings = settings::read("bench", SETTINGS.into(), &[]).unwrap();
    settings.fleet.me = me;
    let value = serde_json::json!({
        "folder": folder.join(me.to_string()),
        "period": {"seconds": 3600},
        "group": {"listen": addresses[usize::from(me)], "key": "5a".repeat(32),
            "addresses": {"0": addresses[0], "1": addresses[1]}, "every_ms": 100, "per_second": per_second},
    });
    settings.ledger = Some(settings::typed("bench", "ledger", value).unwrap());
    settings
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).filter(|a| a != "--bench").collect();
    let total = args.iter().position(|a| a == "--entries").and_then(|n| args.get(n + 1)?.parse().ok());
    let total: u64 = total.unwrap_or(1_000_000);
    let folder = std::env::temp_dir().join(format!("chalkgap-bench-ledger-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let system = System::new();
    system.threads(1);
    let runtime: Shared = system.clone();
    system.clone().run(async {
        let begun = Instant::now();
        let mut store = Store::open(runtime.clone(), &folder.join("0"), 8 << 20, |_| ()).await.unwrap();
        for group in (1..=total).collect::<Vec<_>>().chunks(5000) {
            store.commit(&group.iter().map(|n| entry(*n)).collect::<Vec<_>>()).await.unwrap();
        }
        drop(store);
        println!("{total} entries written in {:.1} s", begun.elapsed().as_secs_f64());
        let addresses = [unused_address(), unused_address()];
        let memory_before = memory_mib();
        let begun = Instant::now();
        let first =
            Instance::start(ingress_settings(0, &folder, &addresses, 1e7), runtime.clone()).await.unwrap();
        let spent = begun.elapsed().as_secs_f64();
        println!(
            "ingress with these entries started in {spent:.1} s, {:.0} MiB more resident memory",
            memory_mib() - memory_before
        );
        let begun = Instant::now();
        let second =
            Instance::start(ingress_settings(1, &folder, &addresses, 1e7), runtime.clone()).await.unwrap();
        while second.counts().ledger_entries < total {
            runtime.sleep_until(runtime.now() + 20_000).await;
        }
        let spent = begun.elapsed().as_secs_f64();
        println!(
            "second ingress received all entries in {spent:.1} s: {:.0} entries a second",
            total as f64 / spent
        );
        assert_eq!(second.counts().ledger_peer_failed, 0);
        drop((first, second));
    });
    std::fs::remove_dir_all(folder).unwrap();
}
