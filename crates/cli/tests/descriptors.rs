//! An ingress with a low file descriptor limit under a connection flood from many addresses.

use chalkgap::runtime::{system::System, Shared};
use chalkgap_testbed::client::{Client, Request};
use chalkgap_testbed::flood::{self, probe, Plan, ProbeOutcome};
use chalkgap_testbed::journal::{Answer, Journal};
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::Receiver;
use std::time::Duration;

const SETTINGS: &str = r#"
settings = {
    "fleet": {"ingresses": 1, "me": 0, "zones": ["a"], "zone": "a"},
    "front": {"listen": "127.0.0.1:0"},
    "classes": [{"name": "sig-check", "aim_ms": 1000, "deadline_ms": 4000, "repeat": "safe"}],
    "plans": [{"name": "all", "rate": 10000, "burst": 10000}],
    "accounts": {"one": {"plan": "all"}},
    "admission": {"named": ["127.0.0.1"]},
    "descriptors": {"listeners": 16, "nodes": 8, "peers": 2, "files": 16, "spare": 8},
    "rules": {"drain_grace_ms": 2000, "cold_from": 0.2, "cold_ms": 0, "fall_factor": 3.0, "fall_ms": 2000},
    "nodes": {"source": {"file": {"path": given["list"]}}},
}
"#;

/// An ingress process.
struct Daemon {
    child: Child,
    address: SocketAddr,
    /// Receives a message each time that the process logs a changed descriptor limit.
    limit_changes: Receiver<()>,
}

impl Daemon {
    /// Waits until the process has noticed a changed limit, which it checks each second.
    fn wait_for_limit_change(&self) {
        self.limit_changes.recv_timeout(Duration::from_secs(10)).expect("the process logs a changed limit");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn serve(limit: u32, folder: &std::path::Path) -> Result<Daemon, String> {
    let script = folder.join("settings.star");
    std::fs::write(&script, SETTINGS).unwrap();
    let list = format!("list={}", folder.join("list.json").display());
    let shell = format!("ulimit -n {limit}; exec \"$0\" --log-filter warn serve \"$1\" --set \"$2\"");
    let mut child = Command::new("sh")
        .args(["-c", &shell, env!("CARGO_BIN_EXE_chalkgap")])
        .arg(script)
        .arg(list)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    match BufReader::new(child.stdout.take().unwrap()).lines().next() {
        Some(Ok(line)) => {
            let value: serde_json::Value = serde_json::from_str(&line).unwrap();
            let log = BufReader::new(child.stderr.take().unwrap());
            let (sender, limit_changes) = std::sync::mpsc::channel();
            std::thread::spawn(move || {
                for line in log.lines().map_while(Result::ok) {
                    if line.contains("file descriptor limit changed") {
                        let _ = sender.send(()); // fails if the test has ended
                    }
                }
            });
            Ok(Daemon { child, address: value["grpc"].as_str().unwrap().parse().unwrap(), limit_changes })
        }
        _ => {
            let out = child.wait_with_output().unwrap();
            Err(format!("{:?}: {}", out.status.code(), String::from_utf8_lossy(&out.stderr)))
        }
    }
}

/// Sends `count` requests of a known client one after the other, each on a new connection. Returns how many are served.
async fn served_known_clients(runtime: &Shared, to: SocketAddr, count: u64) -> u64 {
    let mut served = 0;
    for call in 0..count {
        let Ok(client) = Client::connect(runtime.clone(), to, 0, Journal::disabled()).await else { continue };
        let (account, class) = ("one".to_owned(), "sig-check".to_owned());
        let request = Request { call, account, class, units: 1, key: None, timeout: 2_000_000 };
        served += u64::from(client.call(&request).await.answer == Answer::Served);
        runtime.sleep_until(runtime.now() + 5000).await;
    }
    served
}

#[test]
fn few_descriptors_and_a_flood() {
    let folder = std::env::temp_dir().join(format!("chalkgap-descriptors-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut node = Command::new(env!("CARGO_BIN_EXE_chalkgap"))
        .args(["standin", "node"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let line = BufReader::new(node.stdout.take().unwrap()).lines().next().unwrap().unwrap();
    let address =
        serde_json::from_str::<serde_json::Value>(&line).unwrap()["node"].as_str().unwrap().to_owned();
    std::fs::write(
        folder.join("list.json"),
        format!(r#"{{"nodes": [{{"address": "{address}", "zone": "a"}}]}}"#),
    )
    .unwrap();

    // The limit is too low for the reserved descriptors and eight clients, so the start fails.
    let error = serve(57, &folder).map(|_| ()).unwrap_err();
    assert!(
        error.starts_with("Some(3)") && error.contains("57 descriptors, but 50 are set aside"),
        "{error}"
    );

    let daemon = serve(140, &folder).unwrap();
    let system = System::new();
    system.threads(1);
    system.clone().run(async {
        let (runtime, to): (Shared, _) = (system.clone(), daemon.address);
        runtime.sleep_until(runtime.now() + 500_000).await; // the node list is read
        let plan =
            Plan { to, addresses: 400, per_second: 300.0, hold: 400, until: runtime.now() + 4_000_000 };
        let (task, seen) = flood::start(&runtime, plan);
        runtime.sleep_until(runtime.now() + 1_000_000).await; // unknown clients take all connections available to them
        assert_eq!(served_known_clients(&runtime, to, 60).await, 60, "under the flood");
        // The limit is lowered while the process runs. Then clients have 50 descriptors, and idle connections are evicted for
        // that. The flood keeps its side of them open, and the process must not wait until it closes them.
        let pid = Pid::from_child(&daemon.child);
        let limit = |n| Rlimit { current: Some(n), maximum: Some(140) };
        prlimit(Some(pid), Resource::Nofile, limit(100)).unwrap();
        daemon.wait_for_limit_change();
        assert_eq!(served_known_clients(&runtime, to, 30).await, 30, "with a lower limit");
        task.await;
        let seen = seen.lock().unwrap().clone();
        assert!(seen.rejected + seen.closed > 300, "{:?}", (seen.accepted, seen.rejected, seen.closed));
        assert_eq!(seen.timed_out, 0, "every connection of the flood was accepted or refused");
        // With a limit below the reserved descriptors, new connections are refused immediately. They are accepted again
        // after the limit was raised.
        prlimit(Some(pid), Resource::Nofile, limit(40)).unwrap();
        daemon.wait_for_limit_change();
        assert_ne!(probe(&runtime, None, to).await.0, ProbeOutcome::TimedOut);
        prlimit(Some(pid), Resource::Nofile, limit(140)).unwrap();
        daemon.wait_for_limit_change();
        assert_eq!(served_known_clients(&runtime, to, 5).await, 5, "after the limit was raised");
    });
    drop(daemon);
    node.kill().unwrap();
    node.wait().unwrap();
    std::fs::remove_dir_all(folder).unwrap();
}
