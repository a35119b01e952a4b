//! A small fleet on loopback for tests: stand-in nodes, ingresses, clients.
#![allow(dead_code)] // each test file uses its part

use chalkgap::node_list::{Node as Line, NodeList, State};
use chalkgap::runtime::{system::System, Shared};
use chalkgap::settings::{self, Settings};
use chalkgap::Instance;
use chalkgap_testbed::client::{Client, Request};
use chalkgap_testbed::journal::Journal;
use chalkgap_testbed::node::{ExecutionLog, Machine, Node};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

pub const SCRIPT: &str = r#"
settings = {
    "fleet": {"ingresses": 1, "me": 0, "zones": ["a", "b"], "zone": "a"},
    "front": {"listen": "127.0.0.1:0"},
    "classes": [
        {"name": "sig-check", "aim_ms": 1000, "deadline_ms": 4000, "repeat": "safe"},
        {"name": "report-upload", "aim_ms": 2500, "deadline_ms": 7500, "worth": 3.0,
         "repeat": {"keyed": {"group": "cell", "window_ms": 5000}}},
        {"name": "referral", "aim_ms": 2000, "deadline_ms": 8000, "worth": 3.0, "repeat": "once"},
    ],
    "plans": [
        {"name": "starter", "rate": 2.0, "burst": 5.0, "price": 0.5},
        {"name": "team", "rate": 1000.0, "burst": 1000.0},
    ],
    "accounts": {"small": {"plan": "starter"}, "big": {"plan": "team"}},
    "rules": {"drain_grace_ms": 2000, "cold_from": 0.2, "cold_ms": 0, "fall_factor": 3.0, "fall_ms": 2000},
    "nodes": {"source": "handle"},
}
"#;

pub fn settings() -> Settings {
    settings::read("test.star", SCRIPT.into(), &[]).expect("good settings")
}

/// Runs a test on two threads.
pub fn run<T>(test: impl FnOnce(Arc<System>) -> T) -> T::Output
where
    T: Future,
{
    let system = System::new();
    system.threads(1);
    system.clone().run(test(system))
}

pub fn line(node: &Node) -> Line {
    line_at(node.address())
}

pub fn line_at(address: SocketAddr) -> Line {
    Line {
        address,
        zone: "a".into(),
        cell: "r1".into(),
        kind: String::new(),
        state: State::Ready,
        size: 1.0,
        started_ms: 0,
    }
}

pub fn list(nodes: &[&Node]) -> NodeList {
    NodeList { revision: 1, nodes: nodes.iter().map(|n| line(n)).collect() }
}

/// One ingress, some nodes, one client.
pub struct Small {
    pub runtime: Shared,
    pub journal: Journal,
    pub nodes: Vec<Node>,
    pub tallies: Vec<ExecutionLog>,
    pub ingress: Instance,
    pub client: Client,
}

impl Small {
    pub async fn start(runtime: Shared, settings: Settings, machines: Vec<Machine>) -> Small {
        let journal = Journal::default();
        let tallies = machines.iter().map(|m: &Machine| m.executions.clone()).collect();
        let start = |m| Node::start(runtime.clone(), ([127, 0, 0, 1], 0).into(), m, journal.clone()).unwrap();
        let nodes: Vec<Node> = machines.into_iter().map(start).collect();
        let ingress = Instance::start(settings, runtime.clone()).await.unwrap();
        ingress.set_node_list(list(&nodes.iter().collect::<Vec<_>>())).await;
        let to = ingress.grpc_address();
        let client = Client::connect(runtime.clone(), to, 0, journal.clone()).await.unwrap();
        Small { runtime, journal, nodes, tallies, ingress, client }
    }
}

pub fn ask(call: u64, account: &str, class: &str) -> Request {
    Request { call, account: account.into(), class: class.into(), units: 1, key: None, timeout: 3_000_000 }
}

pub async fn pause(runtime: &Shared, ms: u64) {
    runtime.sleep_until(runtime.now() + ms * 1000).await;
}

/// Waits until something is so, for ten seconds at the most: a busy machine is slow, not wrong.
pub async fn eventually(runtime: &Shared, what: &str, is: impl Fn() -> bool) {
    for _ in 0..1000 {
        if is() {
            return;
        }
        pause(runtime, 10).await;
    }
    panic!("never came to be: {what}");
}
