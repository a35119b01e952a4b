//! The ledger on sockets and a disk: what nodes ran is what is billed, whatever fails in between.

#[path = "../common/mod.rs"]
mod common;
mod faulty_disk;

use chalkgap::runtime::faulty_runtime::FaultyRuntime;
use chalkgap::runtime::system::System;
use chalkgap::runtime::Shared;
use chalkgap::settings::{Export, ExportTo, Ledger, LedgerGroup, OnFailure, Period, Settings};
use chalkgap::Instance;
use chalkgap_ledger::entry::Batch;
use chalkgap_testbed::billing::{BatchStore, Consumer, Faults as Wrong};
use chalkgap_testbed::client::Client;
use chalkgap_testbed::journal::{Answer, Journal, Seen};
use chalkgap_testbed::node::{ExecutionLog, Faults, Machine, Node};
use common::*;
use faulty_disk::{DiskFaults, FaultyFiles};
use prost::Message;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// A directory that is removed with its owner.
struct Directory(PathBuf);

impl Directory {
    fn new() -> Directory {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let unique =
            format!("chalkgap-billing-{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&path).unwrap();
        Directory(path)
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0); // a test may have removed it
    }
}

fn ledger(folder: &Directory, name: &str, export: Option<ExportTo>) -> Ledger {
    let export =
        export.map(|to| Export { to, after_ms: 60_000, every_ms: 50, takeover_ms: 1500, patience_ms: 2000 });
    Ledger {
        folder: folder.0.join(name),
        period: Period::Seconds(1),
        waiting: 4096,
        slow_ms: 2000,
        pause_ms: 700,
        on_failure: OnFailure::Refuse,
        truth_ms: 20_000,
        later_ms: 60_000,
        ask_again_ms: 50,
        segment: 64 << 10,
        keep_s: 86_400,
        group: None,
        export,
    }
}

/// Units by account and period, as nodes count them: a request once, wherever it ran.
fn counted(tallies: &[ExecutionLog]) -> BTreeMap<(String, u64), i64> {
    let mut requests = BTreeMap::new();
    tallies.iter().for_each(|t| requests.extend(t.completed()));
    let mut sums = BTreeMap::new();
    for used in requests.into_values() {
        *sums.entry((used.account, used.entered / 1_000_000)).or_default() += used.units as i64;
    }
    sums
}

/// Units by account and period, as the consumer's batches have them.
fn billed(batches: impl IntoIterator<Item = Batch>) -> BTreeMap<(String, u64), i64> {
    let mut sums = BTreeMap::new();
    for line in batches.into_iter().flat_map(|b| b.lines) {
        *sums.entry((line.account, line.period)).or_default() += line.units;
    }
    sums.retain(|_, n| *n != 0);
    sums
}

fn in_vault(vault: &BatchStore) -> BTreeMap<(String, u64), i64> {
    let batches = vault.batches();
    billed(batches.values().flatten().map(|b| Batch::decode(b.clone()).unwrap()))
}

fn port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

#[test]
fn what_ran_is_billed_and_what_did_not_is_not() {
    run(|system| async move {
        let folder = Directory::new();
        let delivered = Directory::new();
        let mut settings = settings();
        settings.ledger = Some(ledger(&folder, "0", Some(ExportTo::Folder(delivered.0.clone()))));
        let s = Small::start(system, settings, vec![Machine::default(), Machine::default()]).await;
        let faulty = Faults { halfway: 0.3, fail: 0.2, ..Faults::default() };
        s.nodes.iter().for_each(|n| n.faults(faulty.clone()));
        for n in 0..150 {
            let class = ["sig-check", "report-upload", "referral"][n as usize % 3];
            s.client.call(&ask(n, "big", class)).await;
        }
        let tallies: Vec<ExecutionLog> = s.tallies.clone();
        eventually(&s.runtime, "billed as counted", || {
            let names = std::fs::read_dir(&delivered.0).unwrap().map(|e| e.unwrap().path());
            let batches = names.filter(|p| p.extension().is_some_and(|e| e == "batch"));
            let batches = batches.map(|p| Batch::decode(&std::fs::read(p).unwrap()[..]).unwrap());
            let (billed, counted) = (billed(batches), counted(&tallies));
            !counted.is_empty() && billed == counted
        })
        .await;
        let counts = s.ingress.counts();
        assert!(counts.ledger_asked > 0, "some ends nobody saw: {counts:?}");
        assert_eq!((counts.ledger_presumed, counts.ledger_conflicts), (0, 0));
    });
}

/// Three ingresses that replicate their ledgers, over period boundaries, one of them killed at some point: what the
/// consumer gets is what nodes counted.
#[expect(clippy::too_many_lines, reason = "one scenario in its order")]
fn bill_with_one_killed(seed: u64) {
    run(|system| async move {
        let system: Shared = system;
        let folder = Directory::new();
        let vault = BatchStore::default();
        let consumer = Consumer::start(system.clone(), port(), vault.clone(), seed).unwrap();
        consumer.faults(Wrong { refuse: 0.2, silent: 0.2 });
        let tallies: Vec<ExecutionLog> = (0..3).map(|_| ExecutionLog::default()).collect();
        let journal = Journal::default();
        let node = |t: &ExecutionLog| {
            let machine = Machine { executions: t.clone(), ..Machine::default() };
            Node::start(system.clone(), port(), machine, journal.clone()).unwrap()
        };
        let nodes: Vec<Node> = tallies.iter().map(node).collect();
        let faults = Faults { halfway: 0.1, fail: 0.1, ..Faults::default() };
        nodes.iter().for_each(|n| n.faults(faults.clone()));
        let addresses: BTreeMap<u16, SocketAddr> = (0..3).map(|n| (n, port())).collect();
        let settings: Vec<Settings> = (0..3u16)
            .map(|n| {
                let mut s = settings();
                s.fleet.ingresses = 3;
                s.fleet.me = n;
                let to = ExportTo::Grpc(consumer.address());
                let mut ledger = ledger(&folder, &n.to_string(), Some(to));
                ledger.group = Some(LedgerGroup {
                    listen: addresses[&n],
                    addresses: addresses.clone(),
                    key: "5a".repeat(32),
                    every_ms: 100,
                    per_second: 20_000.0,
                });
                s.ledger = Some(ledger);
                s
            })
            .collect();
        let list = list(&nodes.iter().collect::<Vec<_>>());
        let mut ingresses = Vec::new();
        for s in &settings {
            let i = Instance::start(s.clone(), system.clone()).await.unwrap();
            i.set_node_list(list.clone()).await;
            ingresses.push(Some(i));
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let rounds = 120u64;
        let victim = rng.random_range(0..3usize);
        let killed_in = rng.random_range(10..60);
        let restarted_in = rng.random_range(60..110);
        let mut clients: Vec<Option<Arc<Client>>> = Vec::new();
        for i in ingresses.iter().flatten() {
            let to = i.grpc_address();
            clients.push(Client::connect(system.clone(), to, 0, journal.clone()).await.ok().map(Arc::new));
        }
        let mut tasks = Vec::new();
        for round in 0..rounds {
            if round == killed_in {
                ingresses[victim] = None; // at any point of its work
            }
            if round == restarted_in {
                let i = Instance::start(settings[victim].clone(), system.clone()).await.unwrap();
                i.set_node_list(list.clone()).await;
                let to = i.grpc_address();
                clients[victim] =
                    Client::connect(system.clone(), to, 0, journal.clone()).await.ok().map(Arc::new);
                ingresses[victim] = Some(i);
            }
            for (n, client) in clients.iter().enumerate() {
                let Some(client) = client.clone() else { continue };
                let class = ["sig-check", "report-upload", "referral"][rng.random_range(0..3)];
                let asked = ask(round * 10 + n as u64, "big", class);
                tasks.push(system.spawn(Box::pin(async move {
                    client.call(&asked).await;
                })));
            }
            pause(&system, rng.random_range(10..25)).await;
        }
        for task in tasks {
            task.await;
        }
        eventually(&system, "billed as counted", || {
            let counted = counted(&tallies);
            !counted.is_empty() && in_vault(&vault) == counted
        })
        .await;
        // It stays so.
        pause(&system, 300).await;
        assert_eq!(in_vault(&vault), counted(&tallies), "seed {seed}");
        assert!(counted(&tallies).len() >= 2, "more than one period");
        for i in ingresses.iter().flatten() {
            let c = i.counts();
            assert_eq!((c.ledger_presumed, c.ledger_conflicts), (0, 0), "seed {seed}: {c:?}");
        }
    });
}

#[test]
fn three_ingresses_over_a_boundary_with_one_killed() {
    let seeds = std::env::var("CHALKGAP_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(4u64);
    (1..=seeds).for_each(bill_with_one_killed);
}

async fn on_disk(
    system: &Arc<System>,
    folder: &Directory,
    on_failure: OnFailure,
) -> (Small, Arc<DiskFaults>) {
    let faults = Arc::new(DiskFaults::default());
    let world = FaultyRuntime::new(system.clone()).files(FaultyFiles::new(system.clone(), faults.clone()));
    let mut settings = settings();
    settings.ledger = Some(Ledger { on_failure, slow_ms: 100, ..ledger(folder, "0", None) });
    let s = Small::start(Arc::new(world), settings, vec![Machine::default()]).await;
    (s, faults)
}

fn arrived(s: &Small) -> usize {
    s.journal.entries().iter().filter(|e| matches!(e.1, Seen::Arrived { .. })).count()
}

/// ENOSPC and EIO: from then on requests are rejected before they are admitted, with a time to try again; those that
/// waited for the disk never reach a node.
#[test]
fn requests_are_rejected_after_a_disk_failure() {
    for errno in [28, 5] {
        run(|system| async move {
            let folder = Directory::new();
            let (s, faults) = on_disk(&system, &folder, OnFailure::Refuse).await;
            assert_eq!(s.client.call(&ask(1, "big", "sig-check")).await.answer, Answer::Served);
            faults.errno.store(errno, Ordering::Relaxed);
            // Admitted while all was well, and never sent to a node.
            let first = s.client.call(&ask(2, "big", "sig-check")).await.answer;
            assert!(matches!(first, Answer::Failed { .. } | Answer::Refused { .. }), "{first:?}");
            faults.errno.store(0, Ordering::Relaxed);
            for n in 3..6 {
                let end = s.client.call(&ask(n, "big", "sig-check")).await.answer;
                assert_eq!(end, Answer::Refused { pause: 700_000 }, "a disk that works again is not trusted");
            }
            assert_eq!(arrived(&s), 1);
            assert!(s.ingress.counts().ledger_refused >= 3);
        });
    }
}

#[test]
fn requests_are_served_unrecorded_where_the_settings_want_it() {
    run(|system| async move {
        let folder = Directory::new();
        let (s, faults) = on_disk(&system, &folder, OnFailure::Serve).await;
        faults.errno.store(28, Ordering::Relaxed);
        for n in 0..5 {
            assert_eq!(s.client.call(&ask(n, "big", "sig-check")).await.answer, Answer::Served);
        }
        assert!(s.ingress.counts().ledger_without >= 4);
    });
}

/// A sync that takes longer than is allowed: requests that come meanwhile are rejected at once; the one that waits is
/// served late, and nothing reaches a node before its entry is durable.
#[test]
fn requests_are_rejected_while_the_disk_is_slow() {
    run(|system| async move {
        let folder = Directory::new();
        let (s, faults) = on_disk(&system, &folder, OnFailure::Refuse).await;
        assert_eq!(s.client.call(&ask(1, "big", "sig-check")).await.answer, Answer::Served);
        faults.sync_micros.store(600_000, Ordering::Relaxed);
        let client = Arc::new(s.client);
        let waits = {
            let client = client.clone();
            s.runtime.spawn(Box::pin(async move {
                assert_eq!(client.call(&ask(2, "big", "sig-check")).await.answer, Answer::Served);
            }))
        };
        pause(&s.runtime, 250).await;
        let begun = s.runtime.now();
        let end = client.call(&ask(3, "big", "sig-check")).await.answer;
        assert_eq!(end, Answer::Refused { pause: 700_000 });
        assert!(s.runtime.now() - begun < 300_000, "at once");
        assert_eq!(s.journal.entries().iter().filter(|e| matches!(e.1, Seen::Arrived { .. })).count(), 1);
        waits.await;
        faults.sync_micros.store(0, Ordering::Relaxed);
        pause(&s.runtime, 700).await;
        assert_eq!(client.call(&ask(4, "big", "sig-check")).await.answer, Answer::Served);
    });
}

/// A directory that cannot be written, or holds a damaged ledger: the start fails and names it.
#[test]
fn a_bad_directory_is_reported_at_the_start() {
    run(|system| async move {
        let folder = Directory::new();
        let mut settings = settings();
        settings.ledger = Some(ledger(&folder, "0", None));
        std::fs::write(folder.0.join("0"), b"a file, no folder").unwrap();
        let said =
            Instance::start(settings.clone(), system.clone()).await.err().expect("no start").to_string();
        assert!(said.starts_with("settings.ledger.folder: "), "{said}");
        std::fs::remove_file(folder.0.join("0")).unwrap();
        std::fs::create_dir(folder.0.join("0")).unwrap();
        std::fs::write(folder.0.join("0/0000000000000001.seg"), b"something else").unwrap();
        let said = Instance::start(settings, system).await.err().expect("no start").to_string();
        assert!(said.contains("0000000000000001.seg: byte 0: expected a segment of a ledger"), "{said}");
    });
}

/// A node that cannot say: nobody is billed for what cannot be shown to have run; when it can, a correction follows.
#[test]
fn an_unknown_end_is_presumed_and_corrected_later() {
    run(|system| async move {
        let folder = Directory::new();
        let vault = BatchStore::default();
        let consumer = Consumer::start(system.clone(), port(), vault.clone(), 1).unwrap();
        let mut settings = settings();
        let mut ledger = ledger(&folder, "0", Some(ExportTo::Grpc(consumer.address())));
        ledger.truth_ms = 200;
        settings.ledger = Some(ledger);
        let s = Small::start(system, settings, vec![Machine::default()]).await;
        s.nodes[0].faults(Faults { halfway: 1.0, forgets: true, ..Faults::default() });
        assert!(matches!(s.client.call(&ask(1, "big", "referral")).await.answer, Answer::Failed { .. }));
        eventually(&s.runtime, "presumed", || s.ingress.counts().ledger_presumed == 1).await;
        pause(&s.runtime, 1500).await; // its period is over, and nothing is billed
        assert!(in_vault(&vault).is_empty());
        s.nodes[0].faults(Faults::default());
        eventually(&s.runtime, "corrected", || in_vault(&vault) == counted(&s.tallies)).await;
    });
}

/// A snapshot replaces old segments, and a restart has the same totals: nothing is billed again, and entries continue.
#[test]
fn old_segments_are_compacted_and_a_restart_continues() {
    run(|system| async move {
        let system: Shared = system;
        let folder = Directory::new();
        let vault = BatchStore::default();
        let consumer = Consumer::start(system.clone(), port(), vault.clone(), 1).unwrap();
        let mut settings = settings();
        let ledger = ledger(&folder, "0", Some(ExportTo::Grpc(consumer.address())));
        settings.ledger = Some(Ledger { keep_s: 1, segment: 4096, ..ledger });
        let mut s = Small::start(system.clone(), settings.clone(), vec![Machine::default()]).await;
        let files = |end: &str| {
            let names = std::fs::read_dir(folder.0.join("0")).unwrap().map(|e| e.unwrap().file_name());
            names.filter(|n| n.to_str().unwrap().ends_with(end)).count()
        };
        for incarnation in 0..2u64 {
            for n in 0..400 {
                s.client.call(&ask(incarnation * 1000 + n, "big", "sig-check")).await;
                pause(&system, 12).await;
            }
            eventually(&system, "billed as counted", || in_vault(&vault) == counted(&s.tallies)).await;
            assert_eq!(files(".snap"), 1, "one replaces all before it");
            assert!(files(".seg") < 20, "400 requests are some 25 segments: {}", files(".seg"));
            s.ingress.stop();
            s.ingress = Instance::start(settings.clone(), system.clone()).await.unwrap();
            s.ingress.set_node_list(list(&s.nodes.iter().collect::<Vec<_>>())).await;
            let to = s.ingress.grpc_address();
            s.client = Client::connect(system.clone(), to, 0, s.journal.clone()).await.unwrap();
        }
        pause(&system, 1500).await;
        assert_eq!(in_vault(&vault), counted(&s.tallies));
        assert_eq!(s.ingress.counts().ledger_conflicts, 0);
    });
}
