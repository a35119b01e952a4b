//! The real ingress on a world without a system: the same code, in no real time.

mod common;

use chalkgap::runtime::simulated_runtime::{address, LinkFaults, Simulation, DEFAULT_LINK};
use chalkgap::runtime::Shared;
use chalkgap::settings::{self, Settings};
use chalkgap::Instance;
use chalkgap_testbed::client::Client;
use chalkgap_testbed::journal::{Answer, Entry, Journal, Seen};
use chalkgap_testbed::node::{Faults, Machine, Node};
use common::{ask, list};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

fn with_ledger() -> Settings {
    let mut s = common::settings();
    s.front.listen = SocketAddr::new(address(1), 8081);
    let value = serde_json::json!({"folder": "/ledger", "period": {"seconds": 60}, "ask_again_ms": 100});
    s.ledger = Some(settings::typed("test", "ledger", value).unwrap());
    s
}

/// Ten minutes of requests, one at a time, with a node that fails halfway now and then, an ingress that is killed in the
/// middle and starts again from its disk. What clients and nodes saw, and how many entries the ledger has.
fn ten_minutes(seed: u64) -> (Vec<Entry>, u64) {
    let world = Simulation::new(seed, 1_800_000_000_000_000);
    world.set_default_link(LinkFaults { delay: (100, 3000), ..DEFAULT_LINK });
    let (node_host, _node_on) = world.host(0, 0);
    let (client_host, _client_on) = world.host(2, 0);
    let journal = Journal::default();
    let seen = journal.clone();
    let entries = Arc::new(Mutex::new(0));
    let count = entries.clone();
    let again = world.clone();
    let done = world.run(async move {
        let at = SocketAddr::new(address(0), 7001);
        let work = [("sig-check".to_owned(), 20_000.0), ("referral".to_owned(), 30_000.0)];
        let machine = Machine { work: work.into_iter().collect(), seed, ..Machine::default() };
        let node = Node::start(node_host, at, machine, journal.clone()).unwrap();
        node.faults(Faults { halfway: 0.1, ..Faults::default() });
        let clients: Shared = client_host;
        let mut call = 0;
        for life in 0..2 {
            let (host, mut power) = again.host(1, 0);
            let ingress = Instance::start(with_ledger(), host).await.unwrap();
            ingress.set_node_list(list(&[&node])).await;
            let to = ingress.grpc_address();
            let client = Client::connect(clients.clone(), to, 0, journal.clone()).await.unwrap();
            for _ in 0..600 {
                call += 1;
                let class = ["sig-check", "referral"][call as usize % 2];
                client.call(&ask(call, "big", class)).await;
                clients.sleep_until(clients.now() + 500_000).await;
            }
            *count.lock().unwrap() += ingress.counts().ledger_entries;
            if life == 0 {
                power.kill();
            }
            drop(ingress);
        }
    });
    assert!(done.is_some(), "it came to its end");
    let total = *entries.lock().unwrap();
    (seen.entries(), total)
}

#[test]
fn an_ingress_lives_through_minutes_in_no_time() {
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
    assert!(span > 600_000_000, "ten minutes and more: {span}");
}

#[test]
fn the_same_seed_is_the_same_history() {
    let (first, second) = (ten_minutes(6), ten_minutes(6));
    let differ = first.0.iter().zip(&second.0).position(|(a, b)| a != b);
    assert_eq!(differ.map(|n| (&first.0[n], &second.0[n])), None);
    assert_eq!((first.0.len(), first.1), (second.0.len(), second.1));
    assert_ne!(ten_minutes(7).0, first.0);
}
