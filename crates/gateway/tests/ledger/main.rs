//! The ledger with real sockets and files: billing matches what nodes ran, whichever part fails.

#[path = "../common/mod.rs"]
mod common;
mod faulty_disk;

use chalkgap::runtime::faulty_runtime::FaultyRuntime;
use chalkgap::runtime::simulated_runtime::{address, Simulation};
use chalkgap::runtime::Shared;
use chalkgap::settings::{Export, ExportTo, Ledger, LedgerGroup, OnFailure, Period, Settings};
use chalkgap::Instance;
use chalkgap_ledger::entry::Batch;
use chalkgap_testbed::billing::{BatchStore, Consumer, Faults as ConsumerFaults};
use chalkgap_testbed::client::Client;
use chalkgap_testbed::journal::{Answer, Journal, Seen};
use chalkgap_testbed::node::{ExecutionLog, Faults, Machine, Node};
use common::*;
use faulty_disk::{DiskFaults, FaultyFiles};
use prost::Message;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// A temporary directory, removed when it is dropped.
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
        let _ = std::fs::remove_dir_all(&self.0); // fails if the test has removed it
    }
}

fn ledger_settings(folder: &Directory, name: &str, export: Option<ExportTo>) -> Ledger {
    ledger_settings_in(&folder.0, name, export)
}

fn ledger_settings_in(folder: &Path, name: &str, export: Option<ExportTo>) -> Ledger {
    let export =
        export.map(|to| Export { to, after_ms: 60_000, every_ms: 50, takeover_ms: 1500, patience_ms: 2000 });
    Ledger {
        folder: folder.join(name),
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

/// Units by account and period as the nodes' execution logs have them. A request that ran on several nodes counts once.
fn units_executed(execution_logs: &[ExecutionLog]) -> BTreeMap<(String, u64), i64> {
    let mut requests = BTreeMap::new();
    execution_logs.iter().for_each(|log| requests.extend(log.completed()));
    let mut sums = BTreeMap::new();
    for request in requests.into_values() {
        *sums.entry((request.account, request.entered / 1_000_000)).or_default() += request.units as i64;
    }
    sums
}

/// Units by account and period in exported batches.
fn units_in_batches(batches: impl IntoIterator<Item = Batch>) -> BTreeMap<(String, u64), i64> {
    let mut sums = BTreeMap::new();
    for line in batches.into_iter().flat_map(|b| b.lines) {
        *sums.entry((line.account, line.period)).or_default() += line.units;
    }
    sums.retain(|_, units| *units != 0);
    sums
}

/// Units by account and period that the consumer has received.
fn units_billed(batch_store: &BatchStore) -> BTreeMap<(String, u64), i64> {
    let batches = batch_store.batches();
    units_in_batches(batches.values().flatten().map(|bytes| Batch::decode(bytes.clone()).unwrap()))
}

/// A loopback address whose port is free.
fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

#[test]
fn only_executed_requests_are_billed() {
    run(|system| async move {
        let folder = Directory::new();
        let delivered = Directory::new();
        let mut settings = settings();
        settings.ledger = Some(ledger_settings(&folder, "0", Some(ExportTo::Folder(delivered.0.clone()))));
        let fixture = Fixture::start(system, settings, vec![Machine::default(), Machine::default()]).await;
        let faulty = Faults { halfway: 0.3, fail: 0.2, ..Faults::default() };
        fixture.nodes.iter().for_each(|n| n.set_faults(faulty.clone()));
        for n in 0..150 {
            let class = ["sig-check", "report-upload", "referral"][n as usize % 3];
            fixture.client.call(&client_request(n, "big", class)).await;
        }
        let execution_logs: Vec<ExecutionLog> = fixture.execution_logs.clone();
        eventually(&fixture.runtime, "billed units equal executed units", || {
            let names = std::fs::read_dir(&delivered.0).unwrap().map(|e| e.unwrap().path());
            let batches = names.filter(|p| p.extension().is_some_and(|e| e == "batch"));
            let batches = batches.map(|p| Batch::decode(&std::fs::read(p).unwrap()[..]).unwrap());
            let billed = units_in_batches(batches);
            let executed = units_executed(&execution_logs);
            !executed.is_empty() && billed == executed
        })
        .await;
        let counts = fixture.ingress.counts();
        assert!(counts.ledger_asked > 0, "no node was asked for an unknown outcome: {counts:?}");
        assert_eq!((counts.ledger_presumed, counts.ledger_conflicts), (0, 0));
    });
}

/// Three ingresses replicate their ledgers over period boundaries. One is killed in a random round and restarted in a later
/// one. The consumer gets exactly the units that the nodes executed.
#[expect(clippy::too_many_lines, reason = "one scenario in its order")]
fn billing_with_one_ingress_killed(seed: u64) {
    run(|system| async move {
        let system: Shared = system;
        let folder = Directory::new();
        let batch_store = BatchStore::default();
        let consumer = Consumer::start(system.clone(), free_address(), batch_store.clone(), seed).unwrap();
        consumer.set_faults(ConsumerFaults { refuse: 0.2, silent: 0.2 });
        let execution_logs: Vec<ExecutionLog> = (0..3).map(|_| ExecutionLog::default()).collect();
        let journal = Journal::default();
        let node = |log: &ExecutionLog| {
            let machine = Machine { executions: log.clone(), ..Machine::default() };
            Node::start(system.clone(), free_address(), machine, journal.clone()).unwrap()
        };
        let nodes: Vec<Node> = execution_logs.iter().map(node).collect();
        let faults = Faults { halfway: 0.1, fail: 0.1, ..Faults::default() };
        nodes.iter().for_each(|n| n.set_faults(faults.clone()));
        let addresses: BTreeMap<u16, SocketAddr> = (0..3).map(|n| (n, free_address())).collect();
        let settings: Vec<Settings> = (0..3u16)
            .map(|n| {
                let mut settings = settings();
                settings.fleet.ingresses = 3;
                settings.fleet.me = n;
                let export = ExportTo::Grpc(consumer.address());
                let mut ledger = ledger_settings(&folder, &n.to_string(), Some(export));
                ledger.group = Some(LedgerGroup {
                    listen: addresses[&n],
                    addresses: addresses.clone(),
                    key: "5a".repeat(32),
                    every_ms: 100,
                    per_second: 20_000.0,
                });
                settings.ledger = Some(ledger);
                settings
            })
            .collect();
        let node_list = node_list(&nodes.iter().collect::<Vec<_>>());
        let mut ingresses = Vec::new();
        for settings in &settings {
            let ingress = Instance::start(settings.clone(), system.clone()).await.unwrap();
            ingress.set_node_list(node_list.clone()).await;
            ingresses.push(Some(ingress));
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let rounds = 120u64;
        let victim = rng.random_range(0..3usize);
        let killed_in = rng.random_range(10..60);
        let restarted_in = rng.random_range(60..110);
        let mut clients: Vec<Option<Arc<Client>>> = Vec::new();
        for ingress in ingresses.iter().flatten() {
            let address = ingress.grpc_address();
            clients
                .push(Client::connect(system.clone(), address, 0, journal.clone()).await.ok().map(Arc::new));
        }
        let mut tasks = Vec::new();
        for round in 0..rounds {
            if round == killed_in {
                ingresses[victim] = None; // dropped while requests are open
            }
            if round == restarted_in {
                let ingress = Instance::start(settings[victim].clone(), system.clone()).await.unwrap();
                ingress.set_node_list(node_list.clone()).await;
                let address = ingress.grpc_address();
                clients[victim] =
                    Client::connect(system.clone(), address, 0, journal.clone()).await.ok().map(Arc::new);
                ingresses[victim] = Some(ingress);
            }
            for (n, client) in clients.iter().enumerate() {
                let Some(client) = client.clone() else { continue };
                let class = ["sig-check", "report-upload", "referral"][rng.random_range(0..3)];
                let request = client_request(round * 10 + n as u64, "big", class);
                tasks.push(system.spawn(Box::pin(async move {
                    client.call(&request).await;
                })));
            }
            sleep_ms(&system, rng.random_range(10..25)).await;
        }
        for task in tasks {
            task.await;
        }
        eventually(&system, "billed units equal executed units", || {
            let executed = units_executed(&execution_logs);
            !executed.is_empty() && units_billed(&batch_store) == executed
        })
        .await;
        // No further units are billed.
        sleep_ms(&system, 300).await;
        assert_eq!(units_billed(&batch_store), units_executed(&execution_logs), "seed {seed}");
        assert!(units_executed(&execution_logs).len() >= 2, "expected more than one period");
        for ingress in ingresses.iter().flatten() {
            let counts = ingress.counts();
            assert_eq!((counts.ledger_presumed, counts.ledger_conflicts), (0, 0), "seed {seed}: {counts:?}");
        }
    });
}

#[test]
fn billing_over_a_period_boundary_with_one_of_three_ingresses_killed() {
    let seeds = std::env::var("CHALKGAP_SEEDS").ok().and_then(|value| value.parse().ok()).unwrap_or(4u64);
    (1..=seeds).for_each(billing_with_one_ingress_killed);
}

/// An ingress whose ledger is on a disk with faults, its node and a client, on virtual time: no test of a slow disk depends on the
/// speed of a real one.
struct FaultyDiskFixture {
    runtime: Shared,
    journal: Journal,
    ingress: Instance,
    client: Arc<Client>,
    faults: Arc<DiskFaults>,
    _node: Node,
}

impl FaultyDiskFixture {
    /// Runs `test` with a fixture in a simulation.
    fn run<F: Future<Output = ()>>(
        on_failure: OnFailure,
        test: impl FnOnce(FaultyDiskFixture) -> F + 'static,
    ) {
        let simulation = Simulation::new(1, 1_800_000_000_000_000);
        let (node_host, _node_guard) = simulation.host(0, 0);
        let (ingress_host, _ingress_guard) = simulation.host(1, 0);
        let (client_host, _client_guard) = simulation.host(2, 0);
        let completed = simulation.run(async move {
            let journal = Journal::default();
            let node_address = SocketAddr::new(address(0), 7001);
            let node = Node::start(node_host, node_address, Machine::default(), journal.clone()).unwrap();
            let faults = Arc::new(DiskFaults::default());
            let files = FaultyFiles::new(ingress_host.clone(), faults.clone());
            let mut settings = settings();
            settings.front.listen = SocketAddr::new(address(1), 8081);
            settings.ledger = Some(Ledger {
                on_failure,
                slow_ms: 100,
                ..ledger_settings_in(Path::new("/"), "ledger", None)
            });
            let ingress_runtime = Arc::new(FaultyRuntime::new(ingress_host).files(files));
            let ingress = Instance::start(settings, ingress_runtime).await.unwrap();
            ingress.set_node_list(node_list(&[&node])).await;
            let runtime: Shared = client_host;
            let at = ingress.grpc_address();
            let client = Client::connect(runtime.clone(), at, 0, journal.clone()).await.unwrap();
            let client = Arc::new(client);
            test(FaultyDiskFixture { runtime, journal, ingress, client, faults, _node: node }).await;
        });
        assert!(completed.is_some(), "the simulation did not complete");
    }

    async fn answer(&self, call: u64) -> Answer {
        self.client.call(&client_request(call, "big", "sig-check")).await.answer
    }

    /// Number of attempts that arrived at the node.
    fn arrived(&self) -> usize {
        self.journal.entries().iter().filter(|e| matches!(e.1, Seen::Arrived { .. })).count()
    }
}

/// After ENOSPC or EIO, requests are rejected before admission with a time to retry after. Requests that waited for the disk
/// never reach a node.
#[test]
fn requests_are_rejected_after_a_disk_failure() {
    for errno in [28, 5] {
        FaultyDiskFixture::run(OnFailure::Refuse, move |fixture| async move {
            assert_eq!(fixture.answer(1).await, Answer::Served);
            fixture.faults.errno.store(errno, Ordering::Relaxed);
            // Admitted before the disk failed, and never sent to a node.
            let answer = fixture.answer(2).await;
            assert!(matches!(answer, Answer::Failed { .. } | Answer::Refused { .. }), "{answer:?}");
            fixture.faults.errno.store(0, Ordering::Relaxed);
            for call in 3..6 {
                assert_eq!(
                    fixture.answer(call).await,
                    Answer::Refused { pause: 700_000 },
                    "requests stay rejected when the disk works again"
                );
            }
            assert_eq!(fixture.arrived(), 1);
            assert!(fixture.ingress.counts().ledger_refused >= 3);
        });
    }
}

#[test]
fn requests_are_served_unrecorded_with_on_failure_serve() {
    FaultyDiskFixture::run(OnFailure::Serve, |fixture| async move {
        fixture.faults.errno.store(28, Ordering::Relaxed);
        for call in 0..5 {
            assert_eq!(fixture.answer(call).await, Answer::Served);
        }
        assert!(fixture.ingress.counts().ledger_without >= 4);
    });
}

/// While a sync takes longer than `slow_ms`, new requests are rejected at once. The request that waits for the sync is served
/// late. No request reaches a node before its entry is durable.
#[test]
fn requests_are_rejected_while_the_disk_is_slow() {
    FaultyDiskFixture::run(OnFailure::Refuse, |fixture| async move {
        assert_eq!(fixture.answer(1).await, Answer::Served);
        fixture.faults.sync_micros.store(600_000, Ordering::Relaxed);
        let client = fixture.client.clone();
        let waiting = fixture.runtime.spawn(Box::pin(async move {
            assert_eq!(client.call(&client_request(2, "big", "sig-check")).await.answer, Answer::Served);
        }));
        sleep_ms(&fixture.runtime, 250).await;
        let started = fixture.runtime.now();
        assert_eq!(fixture.answer(3).await, Answer::Refused { pause: 700_000 });
        assert!(fixture.runtime.now() - started < 300_000, "not rejected at once");
        assert_eq!(fixture.arrived(), 1);
        waiting.await;
        fixture.faults.sync_micros.store(0, Ordering::Relaxed);
        sleep_ms(&fixture.runtime, 700).await;
        assert_eq!(fixture.answer(4).await, Answer::Served);
    });
}

/// If the ledger's directory cannot be written or holds a damaged segment, the start fails with an error that names it.
#[test]
fn a_bad_directory_is_reported_at_the_start() {
    run(|system| async move {
        let folder = Directory::new();
        let mut settings = settings();
        settings.ledger = Some(ledger_settings(&folder, "0", None));
        std::fs::write(folder.0.join("0"), b"a file, no folder").unwrap();
        let error =
            Instance::start(settings.clone(), system.clone()).await.err().expect("a start error").to_string();
        assert!(error.starts_with("settings.ledger.folder: "), "{error}");
        std::fs::remove_file(folder.0.join("0")).unwrap();
        std::fs::create_dir(folder.0.join("0")).unwrap();
        std::fs::write(folder.0.join("0/0000000000000001.seg"), b"something else").unwrap();
        let error = Instance::start(settings, system).await.err().expect("a start error").to_string();
        assert!(error.contains("0000000000000001.seg: byte 0: expected a segment of a ledger"), "{error}");
    });
}

/// If the node does not know the outcome of a request, the request is presumed not to have run and is not billed. When the node
/// reports later that it ran, a correction bills it.
#[test]
fn an_unknown_outcome_is_presumed_and_corrected_later() {
    run(|system| async move {
        let folder = Directory::new();
        let batch_store = BatchStore::default();
        let consumer = Consumer::start(system.clone(), free_address(), batch_store.clone(), 1).unwrap();
        let mut settings = settings();
        let mut ledger = ledger_settings(&folder, "0", Some(ExportTo::Grpc(consumer.address())));
        ledger.truth_ms = 200;
        settings.ledger = Some(ledger);
        let fixture = Fixture::start(system, settings, vec![Machine::default()]).await;
        fixture.nodes[0].set_faults(Faults { halfway: 1.0, forgets: true, ..Faults::default() });
        assert!(matches!(
            fixture.client.call(&client_request(1, "big", "referral")).await.answer,
            Answer::Failed { .. }
        ));
        eventually(&fixture.runtime, "an outcome is presumed", || {
            fixture.ingress.counts().ledger_presumed == 1
        })
        .await;
        sleep_ms(&fixture.runtime, 1500).await; // past the end of its period
        assert!(units_billed(&batch_store).is_empty());
        fixture.nodes[0].set_faults(Faults::default());
        eventually(&fixture.runtime, "the correction is billed", || {
            units_billed(&batch_store) == units_executed(&fixture.execution_logs)
        })
        .await;
    });
}

/// A node that answers each lookup later than a node that is down would be given up is still heard. Before, its answers never
/// arrived: the requests were presumed not to have run, and were not billed.
#[test]
fn a_node_that_answers_lookups_slowly_is_heard() {
    run(|system| async move {
        let folder = Directory::new();
        let batch_store = BatchStore::default();
        let consumer = Consumer::start(system.clone(), free_address(), batch_store.clone(), 1).unwrap();
        let mut settings = settings();
        settings.ledger = Some(ledger_settings(&folder, "0", Some(ExportTo::Grpc(consumer.address()))));
        let fixture = Fixture::start(system, settings, vec![Machine::default()]).await;
        let slow = Faults { halfway: 1.0, lookup_delay: 2_300_000, ..Faults::default() };
        fixture.nodes[0].set_faults(slow);
        assert!(matches!(
            fixture.client.call(&client_request(1, "big", "referral")).await.answer,
            Answer::Failed { .. }
        ));
        eventually(&fixture.runtime, "the request is billed", || {
            let executed = units_executed(&fixture.execution_logs);
            !executed.is_empty() && units_billed(&batch_store) == executed
        })
        .await;
        assert_eq!(fixture.ingress.counts().ledger_presumed, 0);
    });
}

/// A snapshot replaces old segments. After a restart the totals are the same: no entry is billed twice, and new entries are
/// appended.
#[test]
fn old_segments_are_compacted_and_a_restart_continues() {
    run(|system| async move {
        let system: Shared = system;
        let folder = Directory::new();
        let batch_store = BatchStore::default();
        let consumer = Consumer::start(system.clone(), free_address(), batch_store.clone(), 1).unwrap();
        let mut settings = settings();
        let ledger = ledger_settings(&folder, "0", Some(ExportTo::Grpc(consumer.address())));
        settings.ledger = Some(Ledger { keep_s: 1, segment: 4096, ..ledger });
        let mut fixture = Fixture::start(system.clone(), settings.clone(), vec![Machine::default()]).await;
        let count_files = |extension: &str| {
            let names = std::fs::read_dir(folder.0.join("0")).unwrap().map(|e| e.unwrap().file_name());
            names.filter(|n| n.to_str().unwrap().ends_with(extension)).count()
        };
        for incarnation in 0..2u64 {
            for n in 0..400 {
                fixture.client.call(&client_request(incarnation * 1000 + n, "big", "sig-check")).await;
                sleep_ms(&system, 12).await;
            }
            eventually(&system, "billed units equal executed units", || {
                units_billed(&batch_store) == units_executed(&fixture.execution_logs)
            })
            .await;
            assert_eq!(count_files(".snap"), 1, "expected one snapshot");
            assert!(
                count_files(".seg") < 20,
                "400 requests fill about 25 segments, {} are left",
                count_files(".seg")
            );
            fixture.ingress.stop();
            fixture.ingress = Instance::start(settings.clone(), system.clone()).await.unwrap();
            fixture.ingress.set_node_list(node_list(&fixture.nodes.iter().collect::<Vec<_>>())).await;
            let address = fixture.ingress.grpc_address();
            fixture.client =
                Client::connect(system.clone(), address, 0, fixture.journal.clone()).await.unwrap();
        }
        sleep_ms(&system, 1500).await;
        assert_eq!(units_billed(&batch_store), units_executed(&fixture.execution_logs));
        assert_eq!(fixture.ingress.counts().ledger_conflicts, 0);
    });
}
