//! The ledger on sockets and a disk: what nodes ran is what is billed, whatever happens in between.

mod common;

use chalkgap::runtime::faulty_runtime::FaultyRuntime;
use chalkgap::runtime::system::System;
use chalkgap::runtime::{Append, BoxFuture, Files, Micros, Runtime, Shared};
use chalkgap::settings::{Export, ExportTo, Ledger, LedgerGroup, OnFailure, Period, Settings};
use chalkgap::Instance;
use chalkgap_ledger::entry::Batch;
use chalkgap_testbed::billing::{Consumer, Faults as Wrong, Vault};
use chalkgap_testbed::client::Client;
use chalkgap_testbed::journal::{Answer, Journal, Seen};
use chalkgap_testbed::node::{ExecutionLog, Faults, Machine, Node};
use common::*;
use prost::Message;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// A folder that goes with its owner.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let unique =
            format!("chalkgap-billing-{}-{}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn ledger(folder: &Folder, name: &str, export: Option<ExportTo>) -> Ledger {
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

/// Units by account and period, as the consumer was told.
fn billed(batches: impl IntoIterator<Item = Batch>) -> BTreeMap<(String, u64), i64> {
    let mut sums = BTreeMap::new();
    for line in batches.into_iter().flat_map(|b| b.lines) {
        *sums.entry((line.account, line.period)).or_default() += line.units;
    }
    sums.retain(|_, n| *n != 0);
    sums
}

fn in_vault(vault: &Vault) -> BTreeMap<(String, u64), i64> {
    let batches = vault.batches();
    billed(batches.values().flatten().map(|b| Batch::decode(b.clone()).unwrap()))
}

fn port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

#[test]
fn what_ran_is_billed_and_what_did_not_is_not() {
    run(|system| async move {
        let (folder, drop) = (Folder::new(), Folder::new());
        let mut settings = settings();
        settings.ledger = Some(ledger(&folder, "0", Some(ExportTo::Folder(drop.0.clone()))));
        let s = Small::start(system, settings, vec![Machine::default(), Machine::default()]).await;
        let faulty = Faults { halfway: 0.3, fail: 0.2, ..Faults::default() };
        s.nodes.iter().for_each(|n| n.faults(faulty.clone()));
        for n in 0..150 {
            let class = ["sig-check", "report-upload", "referral"][n as usize % 3];
            s.client.call(&ask(n, "big", class)).await;
        }
        let tallies: Vec<ExecutionLog> = s.tallies.clone();
        eventually(&s.runtime, "billed as counted", || {
            let names = std::fs::read_dir(&drop.0).unwrap().map(|e| e.unwrap().path());
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

/// A fleet of three that shares its ledgers, over period boundaries, one of it killed at some point: what the consumer
/// is told is what nodes counted.
fn three(seed: u64) {
    run(|system| async move {
        let system: Shared = system;
        let folder = Folder::new();
        let vault = Vault::default();
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
                let mut l = ledger(&folder, &n.to_string(), Some(to));
                l.group = Some(LedgerGroup {
                    listen: addresses[&n],
                    addresses: addresses.clone(),
                    key: "5a".repeat(32),
                    every_ms: 100,
                    per_second: 20_000.0,
                });
                s.ledger = Some(l);
                s
            })
            .collect();
        let list = list(&nodes.iter().collect::<Vec<_>>());
        let mut ingresses = Vec::new();
        for s in &settings {
            let i = Instance::start(s.clone(), system.clone()).await.unwrap();
            i.nodes(list.clone()).await;
            ingresses.push(Some(i));
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let (rounds, victim) = (120u64, rng.random_range(0..3usize));
        let (dies, returns) = (rng.random_range(10..60), rng.random_range(60..110));
        let mut clients: Vec<Option<Arc<Client>>> = Vec::new();
        for i in ingresses.iter().flatten() {
            let to = i.grpc_address();
            clients.push(Client::connect(system.clone(), to, 0, journal.clone()).await.ok().map(Arc::new));
        }
        let mut tasks = Vec::new();
        for round in 0..rounds {
            if round == dies {
                ingresses[victim] = None; // in the middle of whatever it does
            }
            if round == returns {
                let i = Instance::start(settings[victim].clone(), system.clone()).await.unwrap();
                i.nodes(list.clone()).await;
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
    (1..=seeds).for_each(three);
}

// ---- disks ----

/// What is wrong with a disk.
#[derive(Default)]
struct Trouble {
    /// How long a sync takes.
    slow: AtomicU64,
    /// The error of the next writes, by its number; 0: none.
    errno: AtomicU64,
}

/// The system's disk, which can be told to misbehave.
struct Bad(Arc<System>, Arc<Trouble>);

struct Log(Box<dyn Append>, Arc<System>, Arc<Trouble>);

impl Append for Log {
    fn append<'a>(&'a mut self, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            match self.2.errno.load(Ordering::Relaxed) {
                0 => self.0.append(bytes).await,
                n => Err(io::Error::from_raw_os_error(n as i32)),
            }
        })
    }
    fn sync<'a>(&'a mut self) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            self.1.sleep_until(self.1.now() + self.2.slow.load(Ordering::Relaxed)).await;
            self.0.sync().await
        })
    }
}

impl Files for Bad {
    fn append<'a>(&'a self, path: &'a Path, len: u64) -> BoxFuture<'a, io::Result<Box<dyn Append>>> {
        Box::pin(async move {
            let log = self.0.files().append(path, len).await?;
            Ok(Box::new(Log(log, self.0.clone(), self.1.clone())) as Box<dyn Append>)
        })
    }
    fn names<'a>(&'a self, folder: &'a Path) -> BoxFuture<'a, io::Result<Vec<String>>> {
        self.0.files().names(folder)
    }
    fn read<'a>(&'a self, path: &'a Path, most: u64) -> BoxFuture<'a, io::Result<Vec<u8>>> {
        self.0.files().read(path, most)
    }
    fn replace<'a>(&'a self, path: &'a Path, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<()>> {
        self.0.files().replace(path, bytes)
    }
    fn create<'a>(&'a self, path: &'a Path, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<bool>> {
        self.0.files().create(path, bytes)
    }
    fn remove<'a>(&'a self, path: &'a Path) -> BoxFuture<'a, io::Result<()>> {
        self.0.files().remove(path)
    }
    fn stamp<'a>(&'a self, path: &'a Path) -> BoxFuture<'a, io::Result<(Micros, u64)>> {
        self.0.files().stamp(path)
    }
}

async fn on_disk(system: &Arc<System>, folder: &Folder, on_failure: OnFailure) -> (Small, Arc<Trouble>) {
    let trouble = Arc::new(Trouble::default());
    let world = FaultyRuntime::new(system.clone()).files(Bad(system.clone(), trouble.clone()));
    let mut settings = settings();
    settings.ledger = Some(Ledger { on_failure, slow_ms: 100, ..ledger(folder, "0", None) });
    let s = Small::start(Arc::new(world), settings, vec![Machine::default()]).await;
    (s, trouble)
}

fn arrived(s: &Small) -> usize {
    s.journal.entries().iter().filter(|e| matches!(e.1, Seen::Arrived { .. })).count()
}

/// ENOSPC and EIO: from then on requests are refused before they are taken, and told when to come back; what waited for
/// the disk never reached a node.
#[test]
fn a_disk_that_fails_stops_taking_requests() {
    for errno in [28, 5] {
        run(|system| async move {
            let folder = Folder::new();
            let (s, trouble) = on_disk(&system, &folder, OnFailure::Refuse).await;
            assert_eq!(s.client.call(&ask(1, "big", "sig-check")).await.answer, Answer::Served);
            trouble.errno.store(errno, Ordering::Relaxed);
            // Taken when all was well, and never sent: it says so, and does not say that it may have run... it failed.
            let first = s.client.call(&ask(2, "big", "sig-check")).await.answer;
            assert!(matches!(first, Answer::Failed { .. } | Answer::Refused { .. }), "{first:?}");
            trouble.errno.store(0, Ordering::Relaxed);
            for n in 3..6 {
                let end = s.client.call(&ask(n, "big", "sig-check")).await.answer;
                assert_eq!(end, Answer::Refused { pause: 700_000 }, "a disk that came back is not believed");
            }
            assert_eq!(arrived(&s), 1);
            assert!(s.ingress.counts().ledger_refused >= 3);
        });
    }
}

#[test]
fn or_serves_without_an_entry_where_the_settings_want_it() {
    run(|system| async move {
        let folder = Folder::new();
        let (s, trouble) = on_disk(&system, &folder, OnFailure::Serve).await;
        trouble.errno.store(28, Ordering::Relaxed);
        for n in 0..5 {
            assert_eq!(s.client.call(&ask(n, "big", "sig-check")).await.answer, Answer::Served);
        }
        assert!(s.ingress.counts().ledger_without >= 4);
    });
}

/// A sync that takes longer than is allowed: those who come meanwhile are refused at once; the one that waits is served
/// late or not at all, and nothing reaches a node before its entry is on the disk.
#[test]
fn a_slow_disk_refuses_until_it_has_caught_up() {
    run(|system| async move {
        let folder = Folder::new();
        let (s, trouble) = on_disk(&system, &folder, OnFailure::Refuse).await;
        assert_eq!(s.client.call(&ask(1, "big", "sig-check")).await.answer, Answer::Served);
        trouble.slow.store(600_000, Ordering::Relaxed);
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
        trouble.slow.store(0, Ordering::Relaxed);
        pause(&s.runtime, 700).await;
        assert_eq!(client.call(&ask(4, "big", "sig-check")).await.answer, Answer::Served);
    });
}

/// A folder that cannot be written, or holds a damaged ledger: the start says so, and nothing listens.
#[test]
fn a_bad_folder_is_told_at_the_start() {
    run(|system| async move {
        let folder = Folder::new();
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

/// A node that has forgotten: nobody is billed for what cannot be shown; when it remembers, a correction follows.
#[test]
fn an_end_that_nobody_knows_is_presumed_and_corrected_later() {
    run(|system| async move {
        let (folder, vault) = (Folder::new(), Vault::default());
        let consumer = Consumer::start(system.clone(), port(), vault.clone(), 1).unwrap();
        let mut settings = settings();
        let mut l = ledger(&folder, "0", Some(ExportTo::Grpc(consumer.address())));
        l.truth_ms = 200;
        settings.ledger = Some(l);
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

/// Old segments give way to a snapshot, and a restart knows the same: what was billed is not billed again, and entries go on.
#[test]
fn old_segments_are_condensed_and_a_restart_goes_on() {
    run(|system| async move {
        let system: Shared = system;
        let (folder, vault) = (Folder::new(), Vault::default());
        let consumer = Consumer::start(system.clone(), port(), vault.clone(), 1).unwrap();
        let mut settings = settings();
        let l = ledger(&folder, "0", Some(ExportTo::Grpc(consumer.address())));
        settings.ledger = Some(Ledger { keep_s: 1, segment: 4096, ..l });
        let mut s = Small::start(system.clone(), settings.clone(), vec![Machine::default()]).await;
        let files = |end: &str| {
            let names = std::fs::read_dir(folder.0.join("0")).unwrap().map(|e| e.unwrap().file_name());
            names.filter(|n| n.to_str().unwrap().ends_with(end)).count()
        };
        for life in 0..2u64 {
            for n in 0..400 {
                s.client.call(&ask(life * 1000 + n, "big", "sig-check")).await;
                pause(&system, 12).await;
            }
            eventually(&system, "billed as counted", || in_vault(&vault) == counted(&s.tallies)).await;
            assert_eq!(files(".snap"), 1, "one stands for all before it");
            assert!(files(".seg") < 20, "400 requests are some 25 segments: {}", files(".seg"));
            s.ingress.stop();
            s.ingress = Instance::start(settings.clone(), system.clone()).await.unwrap();
            s.ingress.nodes(list(&s.nodes.iter().collect::<Vec<_>>())).await;
            let to = s.ingress.grpc_address();
            s.client = Client::connect(system.clone(), to, 0, s.journal.clone()).await.unwrap();
        }
        pause(&system, 1500).await;
        assert_eq!(in_vault(&vault), counted(&s.tallies));
        assert_eq!(s.ingress.counts().ledger_conflicts, 0);
    });
}
