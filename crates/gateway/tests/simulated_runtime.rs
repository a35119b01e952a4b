//! The ingress in the simulated runtime: the production code runs on virtual time.

mod common;

use chalkgap::runtime::simulated_runtime::{address, LinkFaults, Simulation, DEFAULT_LINK};
use chalkgap::runtime::Shared;
use chalkgap::settings::{self, Settings};
use chalkgap::Instance;
use chalkgap_testbed::client::Client;
use chalkgap_testbed::journal::{Answer, Entry, Journal, Seen};
use chalkgap_testbed::node::{Faults, Machine, Node};
use common::{client_request, node_list};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

fn with_ledger() -> Settings {
    let mut settings = common::settings();
    settings.front.listen = SocketAddr::new(address(1), 8081);
    let value = serde_json::json!({"folder": "/ledger", "period": {"seconds": 60}, "ask_again_ms": 100});
    settings.ledger = Some(settings::typed("test", "ledger", value).unwrap());
    settings
}

/// Sends requests one at a time for ten minutes. The node truncates the response of one request in ten; the ingress is killed
/// after half of the time and restarts from its disk. Returns the journal of clients and nodes, and the number of ledger
/// entries.
fn ten_minutes(seed: u64) -> (Vec<Entry>, u64) {
    let simulation = Simulation::new(seed, 1_800_000_000_000_000);
    simulation.set_default_link(LinkFaults { delay: (100, 3000), ..DEFAULT_LINK });
    let (node_host, _node_guard) = simulation.host(0, 0);
    let (client_host, _client_guard) = simulation.host(2, 0);
    let journal = Journal::default();
    let recorded = journal.clone();
    let ledger_entries = Arc::new(Mutex::new(0));
    let entry_count = ledger_entries.clone();
    let ingress_simulation = simulation.clone();
    let completed = simulation.run(async move {
        let node_address = SocketAddr::new(address(0), 7001);
        let work = [("sig-check".to_owned(), 20_000.0), ("referral".to_owned(), 30_000.0)];
        let machine = Machine { work: work.into_iter().collect(), seed, ..Machine::default() };
        let node = Node::start(node_host, node_address, machine, journal.clone()).unwrap();
        node.set_faults(Faults { halfway: 0.1, ..Faults::default() });
        let client_runtime: Shared = client_host;
        let mut call = 0;
        for incarnation in 0..2 {
            let (host, mut guard) = ingress_simulation.host(1, 0);
            let ingress = Instance::start(with_ledger(), host).await.unwrap();
            ingress.set_node_list(node_list(&[&node])).await;
            let address = ingress.grpc_address();
            let client = Client::connect(client_runtime.clone(), address, 0, journal.clone()).await.unwrap();
            for _ in 0..600 {
                call += 1;
                let class = ["sig-check", "referral"][call as usize % 2];
                client.call(&client_request(call, "big", class)).await;
                client_runtime.sleep_until(client_runtime.now() + 500_000).await;
            }
            *entry_count.lock().unwrap() += ingress.counts().ledger_entries;
            if incarnation == 0 {
                guard.kill();
            }
            drop(ingress);
        }
    });
    assert!(completed.is_some(), "the simulation did not complete");
    let total = *ledger_entries.lock().unwrap();
    (recorded.entries(), total)
}

#[test]
fn an_ingress_serves_for_minutes_of_virtual_time() {
    let (journal, entries) = ten_minutes(5);
    let served =
        journal.iter().filter(|e| matches!(e.1, Seen::Answered { answer: Answer::Served, .. })).count();
    let ran = journal.iter().filter(|e| matches!(e.1, Seen::Ran { .. })).count();
    let failed = journal
        .iter()
        .filter(|e| matches!(e.1, Seen::Answered { answer: Answer::Failed { .. }, .. }))
        .count();
    assert!(served > 1000 && ran >= served && failed > 20, "{served} served, {ran} ran, {failed} failed");
    assert!(entries > 2 * served as u64, "{entries} entries");
    let span = journal.last().unwrap().0 - journal[0].0;
    assert!(span > 600_000_000, "more than ten minutes of virtual time: {span} us");
}

#[test]
fn the_same_seed_produces_the_same_history() {
    let first = ten_minutes(6);
    let second = ten_minutes(6);
    let first_difference = first.0.iter().zip(&second.0).position(|(a, b)| a != b);
    assert_eq!(first_difference.map(|n| (&first.0[n], &second.0[n])), None);
    assert_eq!((first.0.len(), first.1), (second.0.len(), second.1));
    assert_ne!(ten_minutes(7).0, first.0);
}
