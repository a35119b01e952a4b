//! The ledger on sockets and a disk: what nodes ran is what is billed, whatever happens in between.

mod common;

use chalkgap::runtime::Shared;
use chalkgap::settings::{Export, ExportTo, Ledger, LedgerGroup, OnFailure, Period, Settings};
use chalkgap::Instance;
use chalkgap_ledger::entry::Batch;
use chalkgap_standin::billing::{Consumer, Faults as Wrong, Vault};
use chalkgap_standin::client::Client;
use chalkgap_standin::journal::Journal;
use chalkgap_standin::node::{Faults, Machine, Node, Tally};
use common::*;
use prost::Message;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
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
        group: None,
        export,
    }
}

/// Units by account and period, as nodes count them: a request once, wherever it ran.
fn counted(tallies: &[Tally]) -> BTreeMap<(String, u64), i64> {
    let mut requests = BTreeMap::new();
    tallies.iter().for_each(|t| requests.extend(t.ran()));
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
        let tallies: Vec<Tally> = s.tallies.clone();
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
        let tallies: Vec<Tally> = (0..3).map(|_| Tally::default()).collect();
        let journal = Journal::default();
        let node = |t: &Tally| {
            let machine = Machine { tally: t.clone(), ..Machine::default() };
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
