//! Connection admission under connection floods: latency of known clients' calls during a flood, latency and CPU time of
//! refusals, and cost by number of idle sockets. The ingress runs in a process of its own. Compare times only within one
//! run.
//!
//! `cargo bench -p chalkgap-fault-injection --bench admission`

use chalkgap::node_list::{Node as ListedNode, NodeList, State};
use chalkgap::runtime::{system::System, Shared};
use chalkgap::settings;
use chalkgap::Instance;
use chalkgap_admission::KnownClientLimits;
use chalkgap_admission::{Admission, Caps, ConnId, DescriptorBudget, KnownClients};
use chalkgap_testbed::client::{Client, Request};
use chalkgap_testbed::flood::{self, probe, Plan, ProbeOutcome};
use chalkgap_testbed::journal::{Answer, Journal};
use chalkgap_testbed::node::{Machine, Node};
use std::io::{BufRead, BufReader};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Instant;

const SETTINGS: &str = r#"
settings = {
    "fleet": {"ingresses": 1, "me": 0, "zones": ["a"], "zone": "a"},
    "front": {"listen": "127.0.0.1:0", "max_connections": int(given["clients"])},
    "classes": [{"name": "c", "aim_ms": 2000, "deadline_ms": 4000, "repeat": "safe"}],
    "plans": [{"name": "all", "rate": 1e8, "burst": 1e8}],
    "accounts": {"one": {"plan": "all"}},
    "admission": {"named": ["127.0.0.1"], "handshakes": 20000, "per_prefix": 20000, "per_second": 20000,
                  "idle_ms": 600000},
    "rules": {"drain_grace_ms": 2000, "cold_from": 0.2, "cold_ms": 0, "fall_factor": 3.0, "fall_ms": 2000},
    "nodes": {"source": "handle"},
}
"#;

fn server(clients: &str) {
    let system = System::new();
    let clients = clients.to_owned();
    system.clone().run(async move {
        let node = Node::start(
            system.clone(),
            ([127, 0, 0, 1], 0).into(),
            Machine { cores: 1000, ..Machine::default() },
            Journal::disabled(),
        )
        .unwrap();
        let settings = settings::read("bench", SETTINGS.into(), &[("clients".into(), clients)]).unwrap();
        let ingress = Instance::start(settings, system.clone()).await.unwrap();
        let listed_node = ListedNode {
            address: node.address(),
            zone: "a".into(),
            cell: String::new(),
            kind: String::new(),
            state: State::Ready,
            size: 1.0,
            started_ms: 0,
        };
        ingress.set_node_list(NodeList { revision: 1, nodes: vec![listed_node] }).await;
        println!("{}", ingress.grpc_address());
        std::future::pending::<()>().await;
    });
}

/// An ingress in a process of its own.
struct Server {
    child: Child,
    address: SocketAddr,
}

impl Server {
    fn start(clients: u32) -> Server {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["server", &clients.to_string()])
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let line = BufReader::new(child.stdout.take().unwrap()).lines().next().unwrap().unwrap();
        Server { child, address: line.parse().unwrap() }
    }

    /// Returns the CPU time used so far in seconds, user and system.
    fn cpu_seconds(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let rest: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        (rest[11].parse::<f64>().unwrap() + rest[12].parse::<f64>().unwrap()) / 100.0
    }

    /// Returns the resident memory in KiB.
    fn memory_kib(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[derive(Default)]
struct CallResults {
    served: u64,
    /// Microseconds.
    latencies: Vec<u64>,
}

/// Sends 1000 calls per second of a known client; every 50th call uses a new connection. Returns the share of served calls
/// and the sorted latencies in microseconds.
async fn known_client_calls(runtime: &Shared, to: SocketAddr, seconds: f64) -> (f64, Vec<u64>) {
    let shared = Arc::new(Client::connect(runtime.clone(), to, 0, Journal::disabled()).await.unwrap());
    let results = Arc::new(Mutex::new(CallResults::default()));
    let begun = runtime.now();
    let count = (seconds * 1000.0) as u64;
    let mut tasks = Vec::new();
    for call in 0..count {
        let due = begun + call * 1000;
        if due > runtime.now() {
            runtime.sleep_until(due).await;
        }
        let task_runtime = runtime.clone();
        let shared = shared.clone();
        let results = results.clone();
        tasks.push(runtime.spawn(Box::pin(async move {
            let request = Request {
                call,
                account: "one".into(),
                class: "c".into(),
                units: 1,
                key: None,
                timeout: 3_000_000,
            };
            let answer = if call % 50 == 0 {
                match Client::connect(task_runtime.clone(), to, 0, Journal::disabled()).await {
                    Ok(client) => client.call(&request).await.answer,
                    Err(_) => Answer::NotTaken,
                }
            } else {
                shared.call(&request).await.answer
            };
            let mut results = results.lock().unwrap();
            results.served += u64::from(answer == Answer::Served);
            results.latencies.push(task_runtime.now() - due);
        })));
    }
    for task in tasks {
        task.await;
    }
    let mut results = results.lock().unwrap();
    results.latencies.sort_unstable();
    (results.served as f64 / count as f64, std::mem::take(&mut results.latencies))
}

/// Returns the quantile `share` of sorted times in microseconds, in milliseconds.
fn quantile_ms(times: &[u64], share: f64) -> f64 {
    let n = ((times.len() as f64 * share) as usize).min(times.len().max(1) - 1);
    times.get(n).copied().unwrap_or(0) as f64 / 1000.0
}

/// Returns the time in nanoseconds that [`Admission`] takes for one connection, offered and closed, by number of addresses.
fn admission_ns(addresses: u32) -> f64 {
    let caps = Caps {
        per_address: 10,
        per_prefix: 100,
        per_second: 10.0,
        handshakes: 1000,
        handshakes_per_address: 10,
        reserve: 0.3,
        preferred_reserve: 0.1,
        max_remembered_addresses: 50_000,
        rejection_responses_per_second: 500.0,
        idle_eviction: None,
    };
    let known = KnownClients::new(
        KnownClientLimits { max_addresses: 50_000, max_per_account: 64, remember_for: 1 << 40 },
        Vec::new(),
    );
    let mut admission =
        Admission::new(caps, DescriptorBudget { clients: 10_000, nodes: 256, spare: 16 }, known);
    let begun = Instant::now();
    for n in 0..1_000_000u64 {
        let address: IpAddr = Ipv4Addr::from((n as u32).wrapping_mul(2_654_435_761) % addresses * 257).into();
        let now = 1_000_000 + n * 10;
        admission.admit(now, ConnId(n), address);
        if n >= 5000 {
            admission.closed(now, ConnId(n - 5000));
        }
    }
    begun.elapsed().as_secs_f64() * 1e9 / 1e6
}

#[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
fn main() {
    let args: Vec<String> = std::env::args().skip(1).filter(|a| a != "--bench").collect();
    if let [what, clients] = &args[..] {
        if what == "server" {
            return server(clients);
        }
    }
    let system = System::new();
    system.threads(1);
    let runtime: Shared = system.clone();
    println!("| flood, connections a second | known served | their p50 / p99 ms | p99 to calm | refused, p50 / p99 ms | hanging | CPU us a refusal |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let seconds = 4.0;
    // Values of the run without a flood.
    let mut calm_p99 = 0.0;
    let mut calm_cpu = 0.0;
    for rate in [0.0, 100.0, 1000.0, 3000.0] {
        let server = Server::start(300);
        let (served, times, seen, cpu) = system.clone().run(async {
            let to = server.address;
            let until = runtime.now() + (seconds * 1e6) as u64 + 1_500_000;
            let plan = Plan { to, addresses: 5000, per_second: rate, hold: 5000, until };
            let flood = (rate > 0.0).then(|| flood::start(&runtime, plan));
            runtime.sleep_until(runtime.now() + 1_000_000).await; // the flood takes all connections available to it
            let seen = || flood.as_ref().map(|f| f.1.lock().unwrap().clone()).unwrap_or_default();
            let cpu_before = server.cpu_seconds();
            let refusals_before = seen().refusals.len();
            let (served, times) = known_client_calls(&runtime, to, seconds).await;
            let cpu = server.cpu_seconds() - cpu_before;
            let mut seen = seen();
            seen.refusals.drain(..refusals_before);
            if let Some((task, _)) = flood {
                task.await;
            }
            (served, times, seen, cpu)
        });
        let p99 = quantile_ms(&times, 0.99);
        if rate == 0.0 {
            (calm_p99, calm_cpu) = (p99, cpu);
        }
        let mut refusals = seen.refusals.clone();
        refusals.sort_unstable();
        let cpu_us_per_refusal = (cpu - calm_cpu) * 1e6 / refusals.len().max(1) as f64;
        println!(
            "| {rate} | {:.2}% | {:.2} / {p99:.2} | {:.2} | {}, {:.2} / {:.2} | {} | {:.0} |",
            served * 100.0,
            quantile_ms(&times, 0.5),
            p99 / calm_p99,
            refusals.len(),
            quantile_ms(&refusals, 0.5),
            quantile_ms(&refusals, 0.99),
            seen.timed_out,
            if rate == 0.0 { 0.0 } else { cpu_us_per_refusal }
        );
    }
    println!("\n| idle sockets held | let in | known served | p50 / p99 ms | CPU us a call | KiB a socket |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for sockets in [100u32, 1000, 10_000] {
        let server = Server::start(12_000);
        let to = server.address;
        system.clone().run(async {
            let before = server.memory_kib();
            let mut held = Vec::new();
            for n in 0..sockets {
                if let (ProbeOutcome::Accepted, _, Some(stream)) =
                    probe(&runtime, Some(flood::address(n)), to).await
                {
                    held.push(stream);
                }
            }
            let kib_per_socket = (server.memory_kib() - before) / held.len().max(1) as f64;
            let cpu = server.cpu_seconds();
            let (served, times) = known_client_calls(&runtime, to, 3.0).await;
            let cpu = (server.cpu_seconds() - cpu) * 1e6 / times.len() as f64;
            println!(
                "| {sockets} | {} | {:.2}% | {:.2} / {:.2} | {cpu:.0} | {kib_per_socket:.1} |",
                held.len(),
                served * 100.0,
                quantile_ms(&times, 0.5),
                quantile_ms(&times, 0.99)
            );
        });
    }
    let costs = [100, 10_000, 1_000_000].map(admission_ns);
    println!("\nDecider, a connection offered and closed: {:.0} / {:.0} / {:.0} ns with 100 / 10,000 / 1,000,000 addresses", costs[0], costs[1], costs[2]);
}
