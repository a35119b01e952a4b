//! A fleet on loopback for tests: simulated nodes, an ingress and a client.
#![allow(dead_code)] // each test file uses a part of this module

use chalkgap::node_list::{Node as ListedNode, NodeList, State};
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

/// Runs a test on a system runtime with two threads.
pub fn run<T>(test: impl FnOnce(Arc<System>) -> T) -> T::Output
where
    T: Future,
{
    let system = System::new();
    system.threads(1);
    system.clone().run(test(system))
}

pub fn listed_node(node: &Node) -> ListedNode {
    listed_node_at(node.address())
}

pub fn listed_node_at(address: SocketAddr) -> ListedNode {
    ListedNode {
        address,
        zone: "a".into(),
        cell: "r1".into(),
        kind: String::new(),
        state: State::Ready,
        size: 1.0,
        started_ms: 0,
    }
}

pub fn node_list(nodes: &[&Node]) -> NodeList {
    NodeList { revision: 1, nodes: nodes.iter().map(|node| listed_node(node)).collect() }
}

/// One ingress, its nodes and one connected client.
pub struct Fixture {
    pub runtime: Shared,
    pub journal: Journal,
    pub nodes: Vec<Node>,
    pub execution_logs: Vec<ExecutionLog>,
    pub ingress: Instance,
    pub client: Client,
}

impl Fixture {
    pub async fn start(runtime: Shared, settings: Settings, machines: Vec<Machine>) -> Fixture {
        let journal = Journal::default();
        let execution_logs = machines.iter().map(|m: &Machine| m.executions.clone()).collect();
        let start = |machine| {
            Node::start(runtime.clone(), ([127, 0, 0, 1], 0).into(), machine, journal.clone()).unwrap()
        };
        let nodes: Vec<Node> = machines.into_iter().map(start).collect();
        let ingress = Instance::start(settings, runtime.clone()).await.unwrap();
        ingress.set_node_list(node_list(&nodes.iter().collect::<Vec<_>>())).await;
        let address = ingress.grpc_address();
        let client = Client::connect(runtime.clone(), address, 0, journal.clone()).await.unwrap();
        Fixture { runtime, journal, nodes, execution_logs, ingress, client }
    }
}

/// A request of one unit with a timeout of three seconds.
pub fn client_request(call: u64, account: &str, class: &str) -> Request {
    Request { call, account: account.into(), class: class.into(), units: 1, key: None, timeout: 3_000_000 }
}

pub async fn sleep_ms(runtime: &Shared, ms: u64) {
    runtime.sleep_until(runtime.now() + ms * 1000).await;
}

/// Waits until `condition` holds, polling it every 10 ms.
///
/// # Panics
///
/// If it does not hold after 1000 polls. Ten seconds leave room for a busy machine.
pub async fn eventually(runtime: &Shared, what: &str, condition: impl Fn() -> bool) {
    for _ in 0..1000 {
        if condition() {
            return;
        }
        sleep_ms(runtime, 10).await;
    }
    panic!("condition not met within 10 s: {what}");
}
