//! Memory of a `chalkgap serve` process whose clients come from many addresses and leave their messages half sent.

use bytes::{Bytes, BytesMut};
use chalkgap::runtime::{system::System, Shared};
use chalkgap_testbed::client::{Client, Request};
use chalkgap_testbed::flood;
use chalkgap_testbed::journal::{Answer, Journal};
use chalkgap_wire::http2::{Config, Connection, Field};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

#[path = "running/process_memory.rs"]
mod process_memory;

const MEMORY_LIMIT_MB: u64 = 64;
const MEGABYTE: u64 = 1_000_000;
const CLIENTS: u32 = 300;
/// How long the clients stay.
const CROWD_DURATION: Duration = Duration::from_secs(4);
/// How long after them the process may hold more than before, and how much more after that.
const QUIET_DURATION: Duration = Duration::from_secs(10);
const MAX_KEPT_BYTES: u64 = 4 << 20;
/// The longest time to an answer for a usual client.
const LATEST_ANSWER: Duration = Duration::from_millis(500);
/// Open streams of a client, each with a message of which this many bytes are sent.
const HALF_STREAMS: usize = 28;
const HALF_MESSAGE_BYTES: usize = 32 << 10;
const ANNOUNCED_MESSAGE_BYTES: u32 = 60_000;
/// Short fields of a head that does not end, and how many are in one frame.
const SHORT_FIELDS: usize = 3000;
const FIELDS_PER_FRAME: usize = 500;

const SETTINGS: &str = r#"
settings = {
    "fleet": {"ingresses": 1, "me": 0, "zones": ["a"], "zone": "a"},
    "front": {"listen": "127.0.0.1:0", "max_connections": 600, "patience_ms": 2000},
    "memory": {"limit_mb": 64},
    
    "classes": [{"name": "sig-check", "aim_ms": 1000, "deadline_ms": 4000, "repeat": "safe"}],
    "plans": [{"name": "all", "rate": 10000, "burst": 10000}],
    "accounts": {"one": {"plan": "all"}},
    "admission": {"named": ["127.0.0.1"], "handshakes": 2000},
    "rules": {"drain_grace_ms": 2000, "cold_from": 0.2, "cold_ms": 0, "fall_factor": 3.0, "fall_ms": 2000},
    "nodes": {"source": {"file": {"path": given["list"]}}},
}
"#;

/// A started program, with the JSON that it prints first.
struct Program {
    child: Child,
    started: serde_json::Value,
}

impl Program {
    fn start(arguments: &[&str]) -> Program {
        let mut child = Command::new(env!("CARGO_BIN_EXE_chalkgap"))
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let line = BufReader::new(child.stdout.take().unwrap()).lines().next().unwrap().unwrap();
        Program { child, started: serde_json::from_str(&line).unwrap() }
    }

    fn address(&self, name: &str) -> SocketAddr {
        self.started[name].as_str().unwrap().parse().unwrap()
    }

    fn resident_bytes(&self) -> u64 {
        process_memory::resident_bytes(self.child.id())
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The bytes that each client sends, and the listener that they are sent to.
#[derive(Clone)]
struct Crowd {
    listener: &'static str,
    bytes: Bytes,
}

/// A head of very many short fields that does not end.
fn endless_head() -> Crowd {
    const HEADERS: u8 = 1;
    const CONTINUATION: u8 = 9;
    let mut bytes = Connection::client(Config::default()).output().split();
    for (number, fields) in (0..SHORT_FIELDS).collect::<Vec<_>>().chunks(FIELDS_PER_FRAME).enumerate() {
        let mut block = BytesMut::new();
        for _ in fields {
            block.extend_from_slice(&[0x40, 1, b'a', 1, b'b']); // a literal field that enters the table
        }
        let kind = if number == 0 { HEADERS } else { CONTINUATION };
        bytes.extend_from_slice(&(block.len() as u32).to_be_bytes()[1..]);
        bytes.extend_from_slice(&[kind, 0, 0, 0, 0, 1]);
        bytes.extend_from_slice(&block);
    }
    Crowd { listener: "grpc", bytes: bytes.freeze() }
}

/// Many streams with half a message each.
fn half_streams() -> Crowd {
    let mut connection = Connection::client(Config::default());
    let mut bytes = connection.output().split();
    let fields = [
        Field::constant(":method", "POST"),
        Field::constant(":scheme", "http"),
        Field::constant(":path", "/envoy.service.ratelimit.v3.RateLimitService/ShouldRateLimit"),
        Field::constant(":authority", "gateway"),
        Field::constant("content-type", "application/grpc"),
        Field::constant("te", "trailers"),
    ];
    let mut message = vec![0];
    message.extend_from_slice(&ANNOUNCED_MESSAGE_BYTES.to_be_bytes());
    message.resize(HALF_MESSAGE_BYTES, 0);
    for _ in 0..HALF_STREAMS {
        let stream = connection.open(&fields, false).unwrap();
        bytes.extend_from_slice(connection.output());
        connection.output().clear();
        for part in message.chunks(16 << 10) {
            bytes.extend_from_slice(&(part.len() as u32).to_be_bytes()[1..]);
            bytes.extend_from_slice(&[0, 0]);
            bytes.extend_from_slice(&stream.to_be_bytes());
            bytes.extend_from_slice(part);
        }
    }
    Crowd { listener: "grpc", bytes: bytes.freeze() }
}

/// A client that writes all bytes and waits until its connection ends, again and again.
async fn run_client(runtime: Shared, number: u32, to: SocketAddr, bytes: Bytes) {
    loop {
        let connected = runtime.connect_from(Some(flood::address(number)), to).await;
        if let Ok(mut stream) = connected {
            let mut chunk = [0; 4096];
            let _ = stream.write_all(&bytes).await; // the gateway may close the connection
            while matches!(stream.read(&mut chunk).await, Ok(count) if count > 0) {}
        }
        runtime.sleep_until(runtime.now() + 20_000).await;
    }
}

/// Makes calls until the time is over. Returns the slowest answer.
async fn run_usual_client(runtime: &Shared, to: SocketAddr, until: Instant) -> Duration {
    let client = Client::connect(runtime.clone(), to, 0, Journal::disabled()).await.unwrap();
    let mut slowest = Duration::ZERO;
    for call in 0.. {
        if Instant::now() >= until {
            break;
        }
        let (account, class) = ("one".to_owned(), "sig-check".to_owned());
        let request = Request { call, account, class, units: 1, key: None, timeout: 2_000_000 };
        let sent_at = Instant::now();
        assert_eq!(client.call(&request).await.answer, Answer::Served);
        slowest = slowest.max(sent_at.elapsed());
        runtime.sleep_until(runtime.now() + 20_000).await;
    }
    slowest
}

fn check_crowd(name: &str, crowd: &Crowd) {
    let folder = std::env::temp_dir().join(format!("chalkgap-serve-memory-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let node = Program::start(&["standin", "node"]);
    let list = format!(r#"{{"nodes": [{{"address": "{}", "zone": "a"}}]}}"#, node.address("node"));
    std::fs::write(folder.join("list.json"), list).unwrap();
    let script = folder.join("settings.star");
    std::fs::write(&script, SETTINGS).unwrap();
    let given = format!("list={}", folder.join("list.json").display());
    let gateway = Program::start(&["serve", script.to_str().unwrap(), "--set", &given]);
    let system = System::new();
    let runtime: Shared = system.clone();
    let to = gateway.address(crowd.listener);
    let (before, peak, slowest) = system.run(async {
        runtime.sleep_until(runtime.now() + 500_000).await; // the node list is read
        let before = gateway.resident_bytes();
        let until = Instant::now() + CROWD_DURATION;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                runtime.spawn(Box::pin(run_client(runtime.clone(), number, to, crowd.bytes.clone())))
            })
            .collect();
        let mut peak = before;
        let watch = async {
            loop {
                peak = peak.max(gateway.resident_bytes());
                runtime.sleep_until(runtime.now() + 5_000).await;
            }
        };
        let slowest = future::or(run_usual_client(&runtime, gateway.address("grpc"), until), watch).await;
        for client in clients {
            client.cancel().await;
        }
        (before, peak, slowest)
    });
    let deadline = Instant::now() + QUIET_DURATION;
    while gateway.resident_bytes() > before + MAX_KEPT_BYTES && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(50));
    }
    let after = gateway.resident_bytes();
    println!(
        "{name}: {} kB before, {} kB at the peak, {} kB after, slowest answer {slowest:?}",
        before / 1000,
        peak / 1000,
        after / 1000
    );
    std::fs::remove_dir_all(folder).unwrap();
    assert!(peak <= MEMORY_LIMIT_MB * MEGABYTE / 10 * 9, "{name}: {} kB at the peak", peak / 1000);
    assert!(after <= before + MAX_KEPT_BYTES, "{name}: {} kB are kept", (after - before) / 1000);
    assert!(slowest <= LATEST_ANSWER, "{name}: an answer took {slowest:?}");
}

/// Half messages on many streams were held without a bound over all connections: 300 clients made the process hold 300 MB.
#[test]
fn half_sent_calls_of_a_crowd_stay_below_the_memory_limit() {
    check_crowd("half streams", &half_streams());
    check_crowd("endless head", &endless_head());
}
