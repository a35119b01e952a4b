//! Compares the ingress with a tonic server that answers immediately: throughput, CPU time per request, latency under an
//! open loop, memory of connections and streams. Each server runs in a process of its own, so that the system measures its
//! CPU time and memory. Compare results only within one run on one machine.
//!
//! `cargo bench -p chalkgap-fault-injection --bench ingress [-- --seconds N]`

use bytes::Bytes;
use chalkgap::node_list::{Node as ListedNode, NodeList, State};
use chalkgap::runtime::{system::System, Runtime, Shared};
use chalkgap::settings;
use chalkgap::Instance;
use chalkgap_core as core;
use chalkgap_testbed::journal::Journal;
use chalkgap_testbed::mqtt::PacketConnection;
use chalkgap_testbed::node::{Machine, Node};
use chalkgap_transport::{Pipe, Turn};
use chalkgap_wire::grpc;
use chalkgap_wire::http2::{Config, Connection, Event, Field};
use chalkgap_wire::mqtt as mqtt_wire;
use chalkgap_wire::mqtt::packet::Publish;
use chalkgap_wire::mqtt::{Packet, QoS};
use chalkgap_wire::ratelimit::{
    Descriptor, Entry, RateLimitRequest, RateLimitResponse, Verdict, SHOULD_RATE_LIMIT,
};
use futures_lite::StreamExt;
use std::collections::HashMap;
use std::future::Future;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::pin::Pin;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Instant;

const SETTINGS: &str = r#"
settings = {
    "fleet": {"ingresses": 1, "me": 0, "zones": ["a"], "zone": "a"},
    "front": {"listen": "127.0.0.1:0", "max_streams": 2000, "max_connections": 20000},
    "classes": [{"name": "c", "aim_ms": 5000, "deadline_ms": 10000, "repeat": "safe"}],
    "plans": [{"name": "none", "rate": 0.000001, "burst": 1.0}, {"name": "all", "rate": 1e8, "burst": 1e8}],
    "accounts": {"none": {"plan": "none"}, "all": {"plan": "all"}},
    "limits": {"max_open": 500000},
    # High limits of connection admission, because all load comes from one address.
    "admission": {"named": ["127.0.0.1"], "per_address": 20000, "per_prefix": 20000, "per_second": 100000,
                  "handshakes": 20000, "handshakes_per_address": 20000},
    "upstream": {"connections": 4, "max_streams": 2000},
    "rules": {"drain_grace_ms": 2000, "cold_from": 0.2, "cold_ms": 0, "fall_factor": 3.0, "fall_ms": 2000},
    "nodes": {"source": "handle"},
}
"#;

// ---- servers, each in a process of its own ----

/// A rate limit service that refuses every request immediately.
#[derive(Clone)]
struct ImmediateRefusal;

impl tonic::server::UnaryService<RateLimitRequest> for ImmediateRefusal {
    type Response = RateLimitResponse;
    type Future =
        Pin<Box<dyn Future<Output = Result<tonic::Response<RateLimitResponse>, tonic::Status>> + Send>>;

    fn call(&mut self, _: tonic::Request<RateLimitRequest>) -> Self::Future {
        let answer = RateLimitResponse { overall_code: Verdict::OverLimit.into(), ..Default::default() };
        Box::pin(std::future::ready(Ok(tonic::Response::new(answer))))
    }
}

impl tonic::server::NamedService for ImmediateRefusal {
    const NAME: &'static str = "envoy.service.ratelimit.v3.RateLimitService";
}

impl tonic::codegen::Service<http::Request<tonic::body::Body>> for ImmediateRefusal {
    type Response = http::Response<tonic::body::Body>;
    type Error = std::convert::Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<tonic::body::Body>) -> Self::Future {
        Box::pin(async move {
            let codec = tonic_prost::ProstCodec::default();
            Ok(tonic::server::Grpc::new(codec).unary(ImmediateRefusal, request).await)
        })
    }
}

use tonic::codegen::http;

fn tonic_server() {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        println!("{}", listener.local_addr().unwrap());
        let mut server = tonic::transport::Server::builder().max_concurrent_streams(2000);
        // The server's own TCP_NODELAY setting does not apply to streams that it is given.
        let incoming = tokio_stream::wrappers::TcpListenerStream::new(listener)
            .map(|s| s.inspect(|s| s.set_nodelay(true).unwrap()));
        server.add_service(ImmediateRefusal).serve_with_incoming(incoming).await.unwrap();
    });
}

/// Runs a node with enough cores for every request. `work_us`: mean processing time of a request in microseconds.
fn node_server(work_us: f64) {
    let system = System::new();
    let work = HashMap::from([("c".to_owned(), work_us)]);
    let machine = Machine { cores: 100_000, work, ..Machine::default() };
    let at = ([127, 0, 0, 1], 0).into();
    let node = Node::start(system.clone(), at, machine, Journal::disabled()).unwrap();
    println!("{}", node.address());
    system.run(std::future::pending::<()>());
}

fn ingress_server(node: Option<SocketAddr>, ledger: Option<&str>) {
    let system = System::new();
    let ledger = ledger.map(|folder| {
        serde_json::json!({"folder": folder, "waiting": 100_000, "slow_ms": 5000, "period": {"seconds": 60}})
    });
    let ledger = ledger.map(|value| settings::typed("bench", "ledger", value).unwrap());
    system.clone().run(async move {
        let mut settings = settings::read("bench", SETTINGS.into(), &[]).unwrap();
        settings.ledger = ledger;
        let mqtt = serde_json::json!({"listen": "127.0.0.1:0", "anonymous": true, "receive_maximum": 1000,
            "session_s": 3600, "sessions": 100_000,
            "topics": [{"filter": "r/+", "account": {"level": 1}, "class": {"is": "c"}}]});
        settings.mqtt = Some(settings::typed("bench", "mqtt", mqtt).unwrap());
        let ingress = Instance::start(settings, system.clone()).await.unwrap();
        let listed_node = |address| ListedNode {
            address,
            zone: "a".into(),
            cell: String::new(),
            kind: String::new(),
            state: State::Ready,
            size: 1.0,
            started_ms: 0,
        };
        ingress
            .set_node_list(NodeList { revision: 1, nodes: node.into_iter().map(listed_node).collect() })
            .await;
        println!("{}", ingress.grpc_address());
        println!("{}", ingress.mqtt_address().unwrap());
        std::future::pending::<()>().await;
    });
}

struct Server {
    child: Child,
    address: SocketAddr,
    /// MQTT address of an ingress; `None` for other servers.
    mqtt: Option<SocketAddr>,
}

impl Server {
    fn start(args: &[&str]) -> Server {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .expect("start this program as a server");
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let address = lines.next().unwrap().unwrap().parse().unwrap();
        let mqtt = (args[0] == "ingress").then(|| lines.next().unwrap().unwrap().parse().unwrap());
        Server { child, address, mqtt }
    }

    /// Returns the CPU time used so far in seconds, user and system, with a resolution of 10 ms.
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

// ---- load ----

fn message(account: &str) -> Bytes {
    let entry = |key: &str, value: &str| Entry { key: key.into(), value: value.into() };
    let entries = vec![entry("account", account), entry("class", "c")];
    let descriptors = vec![Descriptor { entries, hits_addend: None }];
    grpc::frame(&RateLimitRequest { domain: "d".into(), descriptors, hits_addend: 1 })
}

fn fields(to: SocketAddr) -> Vec<Field> {
    vec![
        Field::constant(":method", "POST"),
        Field::constant(":scheme", "http"),
        Field::constant(":path", SHOULD_RATE_LIMIT),
        Field::new(":authority", to.to_string()),
        Field::constant("content-type", "application/grpc"),
        Field::constant("te", "trailers"),
        Field::constant("grpc-timeout", "8S"),
    ]
}

/// Results of a load.
#[derive(Default)]
struct Load {
    /// Number of answered calls.
    done: u64,
    /// Number of calls answered with OK.
    served: u64,
    /// Number of calls that failed, were reset, or got no answer.
    bad: u64,
    /// Latencies in microseconds.
    times: Vec<u64>,
}

/// Sends calls on one connection until `end`. With `gap`, a call is sent every `gap` microseconds, however many are open.
/// Without, the number of open calls is kept at `window`.
async fn drive(
    runtime: Shared,
    to: SocketAddr,
    account: &'static str,
    gap: Option<f64>,
    window: usize,
    end: u64,
    result: Arc<Mutex<Load>>,
) {
    let stream = runtime.connect(to).await.unwrap();
    let (_commands, no_commands) = async_channel::bounded::<()>(1);
    let (_keep, signal) = async_channel::bounded(1);
    let conn = Connection::client(Config { max_streams: 0, ..Config::default() });
    let mut pipe = Pipe::new(runtime.clone(), stream, conn, no_commands, signal);
    let message = message(account);
    let fields = fields(to);
    let mut open: HashMap<u32, u64> = HashMap::new();
    let mut load = Load::default();
    let mut next = runtime.now() as f64;
    loop {
        let now = runtime.now();
        if now >= end && (open.is_empty() || now > end + 2_000_000) {
            break;
        }
        while pipe.conn.settings_received() && now < end && pipe.conn.can_open().is_ok() {
            // In an open loop, latency is measured from the time at which the call was due, so that it includes time
            // waiting for a free stream.
            let at = match gap {
                Some(gap) if next <= now as f64 => {
                    let at = next as u64;
                    next += gap;
                    at
                }
                None if open.len() < window => now,
                _ => break,
            };
            let id = pipe.conn.open(&fields, false).unwrap();
            pipe.conn.data(id, message.clone(), true).unwrap();
            open.insert(id, at);
        }
        let until = if now >= end { end + 2_000_000 } else { gap.map_or(end, |_| (next as u64).min(end)) };
        if let Turn::Closed | Turn::ProtocolError(_) = pipe.turn(Some(until), true).await {
            load.bad += open.len() as u64;
            break;
        }
        while let Some(event) = pipe.conn.event() {
            match event {
                Event::Data { stream, data, .. } => {
                    pipe.conn.consumed(stream, data.len());
                    // The answer is in one DATA frame: a prefix of five bytes, then field 1 with the code.
                    load.served += u64::from(data.get(5..7) == Some(&[8, 1]));
                }
                Event::Headers { stream, fields, end: true } => {
                    if let Some(at) = open.remove(&stream) {
                        load.done += 1;
                        load.times.push(runtime.now() - at);
                        load.bad +=
                            u64::from(!fields.iter().any(|f| f.name == "grpc-status" && f.value == "0"));
                    }
                }
                Event::Reset { stream, .. } => load.bad += u64::from(open.remove(&stream).is_some()),
                _ => {}
            }
        }
    }
    let mut all = result.lock().unwrap();
    all.done += load.done;
    all.served += load.served;
    all.bad += load.bad;
    all.times.extend(load.times);
}

/// Does the same as [`drive`] over MQTT, with PUBLISH packets of QoS 1.
async fn publish(
    runtime: Shared,
    to: SocketAddr,
    account: &'static str,
    window: usize,
    end: u64,
    result: Arc<Mutex<Load>>,
) {
    let stream = runtime.connect(to).await.unwrap();
    let (_commands, no_commands) = async_channel::bounded::<()>(1);
    let (_keep, signal) = async_channel::bounded(1);
    let mut pipe =
        Pipe::new(runtime.clone(), stream, PacketConnection::with_connect("", 0), no_commands, signal);
    let mut open: HashMap<u16, u64> = HashMap::new();
    let mut load = Load::default();
    let mut next = 0u16;
    let mut ready = false;
    let topic = format!("r/{account}");
    loop {
        let now = runtime.now();
        if now >= end && (open.is_empty() || now > end + 2_000_000) {
            break;
        }
        while ready && now < end && open.len() < window {
            next = next.checked_add(1).unwrap_or(1);
            let (qos, topic) = (QoS::AtLeastOnce, topic.clone());
            pipe.conn.send(&Packet::Publish(Publish { qos, packet: next, topic, ..Publish::default() }));
            open.insert(next, now);
        }
        let until = if now >= end { end + 2_000_000 } else { end };
        if let Turn::Closed | Turn::ProtocolError(_) = pipe.turn(Some(until), true).await {
            load.bad += open.len() as u64;
            break;
        }
        while let Some(packet) = pipe.conn.packets.pop_front() {
            match packet {
                Packet::ConnAck(_) => ready = true,
                Packet::PubAck(a) => {
                    if let Some(at) = open.remove(&a.packet) {
                        load.done += 1;
                        load.times.push(runtime.now() - at);
                        load.served += u64::from(a.code == 0);
                        load.bad += u64::from(a.code != 0 && a.code != 0x97);
                    }
                }
                _ => load.bad += 1,
            }
        }
    }
    let mut all = result.lock().unwrap();
    all.done += load.done;
    all.served += load.served;
    all.bad += load.bad;
    all.times.extend(load.times);
}

/// Compares the gRPC and MQTT listeners of an ingress, and measures the memory of MQTT connections and sessions.
#[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
fn mqtt(system: &Arc<System>, seconds: f64) {
    println!("\ngRPC and MQTT of one ingress, maximum load: 16 connections, 64 open calls on each\n");
    println!("| protocol | result | calls a second | CPU us a call | p50 / p99 ms | bad |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let node = Server::start(&["node"]);
    let node = node.address.to_string();
    for (result_name, account, args) in
        [("refused", "none", vec!["ingress"]), ("served", "all", vec!["ingress", &node])]
    {
        let server = Server::start(&args);
        for protocol in ["gRPC", "MQTT"] {
            let row = match protocol {
                "gRPC" => load(system, &server, account, 16, None, seconds),
                _ => measure(system, &server, 16, seconds, |runtime, _, end, result| {
                    Box::pin(publish(runtime, server.mqtt.unwrap(), account, 64, end, result))
                }),
            };
            let [p50, p99, _] = row.times.map(|t| t / 1000.0);
            println!(
                "| {protocol} | {result_name} ({:.0}% served) | {:.0} | {:.1} | {p50:.2} / {p99:.2} | {} |",
                row.served * 100.0,
                row.rate,
                row.cpu_us,
                row.bad
            );
        }
    }
    let server = Server::start(&["ingress"]);
    let runtime: Shared = system.clone();
    let to = server.mqtt.unwrap();
    system.clone().run(async {
        let connect = |n: usize| {
            let runtime = runtime.clone();
            async move {
                let stream = runtime.connect(to).await.unwrap();
                let (commands, no_commands) = async_channel::bounded::<()>(1);
                let (keep, signal) = async_channel::bounded(1);
                let half = PacketConnection::with_connect(&format!("idle-{n}"), 3600);
                let mut pipe = Pipe::new(runtime.clone(), stream, half, no_commands, signal);
                while pipe.conn.packets.is_empty() {
                    assert!(matches!(pipe.turn(None, true).await, Turn::Read), "the connection is accepted");
                }
                let accepted = matches!(pipe.conn.packets.front(), Some(Packet::ConnAck(c)) if c.code == 0);
                assert!(accepted, "{:?}", pipe.conn.packets);
                (pipe, commands, keep)
            }
        };
        let before = server.memory_kib();
        let mut pipes = Vec::new();
        for n in 0..1000 {
            pipes.push(connect(n).await);
        }
        runtime.sleep_until(runtime.now() + 300_000).await;
        println!(
            "\n{:.1} KiB an idle MQTT connection (1,000 of them)",
            (server.memory_kib() - before) / 1000.0
        );
        drop(pipes);
        let before = server.memory_kib();
        for n in 0..10_000 {
            drop(connect(10_000 + n).await);
        }
        runtime.sleep_until(runtime.now() + 1_500_000).await;
        let each = (server.memory_kib() - before) / 10_000.0;
        println!("{each:.2} KiB a session without a connection (10,000 of them, opened one after the other)");
        // 3000 clients reconnect at the same time and resume their sessions.
        let begun = Instant::now();
        let (sender, receiver) = async_channel::unbounded();
        let mut tasks = Vec::new();
        for n in 0..3000 {
            let connection = connect(10_000 + n);
            let sender = sender.clone();
            tasks.push(runtime.spawn(Box::pin(async move {
                let (pipe, ..) = connection.await;
                let present =
                    matches!(pipe.conn.packets.front(), Some(Packet::ConnAck(c)) if c.session_present);
                let _ = sender.try_send(present);
            })));
        }
        for task in tasks {
            task.await;
        }
        let present = std::iter::from_fn(|| receiver.try_recv().ok()).filter(|p| *p).count();
        println!(
            "3,000 clients reconnect at once: all connected within {:.2} s, {present} with their session",
            begun.elapsed().as_secs_f64()
        );
    });
    let (grpc, mqtt) = bytes_per_call();
    println!("Bytes of a refused call and its answer: gRPC {grpc}, MQTT {mqtt} (the same account and class, no properties)");
}

/// Returns the size in bytes of a refused call and its answer on the wire, over gRPC and over MQTT. The gRPC connection has
/// sent the headers before, so that they are in the HPACK table.
fn bytes_per_call() -> (usize, usize) {
    let mut client = Connection::client(Config::default());
    let mut server = Connection::server(Config::default());
    let message = message("none");
    let fields = fields(([127, 0, 0, 1], 8081).into());
    let head = vec![Field::constant(":status", "200"), Field::constant("content-type", "application/grpc")];
    let answer = grpc::frame(&RateLimitResponse { overall_code: 2, ..Default::default() });
    let transfer = |from: &mut Connection, to: &mut Connection| {
        let bytes = from.output().split();
        to.receive(0, &bytes).unwrap();
        bytes.len()
    };
    transfer(&mut client, &mut server);
    transfer(&mut server, &mut client);
    let mut last = 0;
    for _ in 0..3 {
        let id = client.open(&fields, false).unwrap();
        client.data(id, message.clone(), true).unwrap();
        last = transfer(&mut client, &mut server);
        server.headers(id, head.clone(), false).unwrap();
        server.data(id, answer.clone(), false).unwrap();
        server.headers(id, vec![Field::constant("grpc-status", "0")], true).unwrap();
        last += transfer(&mut server, &mut client);
    }
    let mut out = bytes::BytesMut::new();
    let (qos, topic) = (QoS::AtLeastOnce, "r/none".to_owned());
    let publish = Packet::Publish(Publish { qos, packet: 1, topic, ..Publish::default() });
    let retry = mqtt_wire::Property::User("retry-after-ms".into(), "1000".into());
    let properties = mqtt_wire::Properties(vec![retry]);
    let ack = Packet::PubAck(mqtt_wire::packet::Ack { packet: 1, code: 0x97, properties });
    for packet in [publish, ack] {
        mqtt_wire::encode(&packet, mqtt_wire::Version::V5, &mut out);
    }
    (last, out.len())
}

type Task = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Results of a measurement.
struct Row {
    /// Answered calls per second.
    rate: f64,
    /// CPU time of the server per answered call, in microseconds.
    cpu_us: f64,
    /// Latency in microseconds: 50th, 99th and 99.9th percentile.
    times: [f64; 3],
    /// Share of the answered calls that were served.
    served: f64,
    /// Number of calls that failed, were reset, or got no answer.
    bad: u64,
}

/// Loads a server over `connections` at `rate` calls per second. `None`: 64 calls are kept open on each connection.
fn load(
    system: &Arc<System>,
    server: &Server,
    account: &'static str,
    connections: usize,
    rate: Option<f64>,
    seconds: f64,
) -> Row {
    let gap = rate.map(|r| 1e6 * connections as f64 / r);
    measure(system, server, connections, seconds, |runtime, to, end, result| {
        Box::pin(drive(runtime, to, account, gap, 64, end, result))
    })
}

/// Runs a load on a number of connections and measures it. `start` returns the task of one connection.
fn measure(
    system: &Arc<System>,
    server: &Server,
    connections: usize,
    seconds: f64,
    start: impl Fn(Shared, SocketAddr, u64, Arc<Mutex<Load>>) -> Task,
) -> Row {
    let result = Arc::new(Mutex::new(Load::default()));
    let cpu_before = server.cpu_seconds();
    let begun = Instant::now();
    let end = system.now() + (seconds * 1e6) as u64;
    let runtime: Shared = system.clone();
    system.clone().run(async {
        let task = |_| runtime.spawn(start(runtime.clone(), server.address, end, result.clone()));
        let tasks: Vec<_> = (0..connections).map(task).collect();
        for task in tasks {
            task.await;
        }
    });
    let spent = begun.elapsed().as_secs_f64().min(seconds);
    let cpu = server.cpu_seconds() - cpu_before;
    let mut all = result.lock().unwrap();
    all.times.sort_unstable();
    let quantile = |share: f64| {
        let n = (all.times.len() as f64 * share) as usize;
        all.times.get(n.min(all.times.len().max(1) - 1)).copied().unwrap_or(0) as f64
    };
    let times = [quantile(0.5), quantile(0.99), quantile(0.999)];
    let done = all.done.max(1) as f64;
    Row {
        rate: all.done as f64 / spent,
        cpu_us: cpu * 1e6 / done,
        times,
        served: all.served as f64 / done,
        bad: all.bad,
    }
}

/// Returns the memory in KiB that a server uses for an idle connection, measured with `count` of them, and for an open call,
/// measured with `streams` of them on 20 of these connections.
fn memory_per_connection_and_call(
    system: &Arc<System>,
    server: &Server,
    count: usize,
    streams: usize,
) -> (f64, f64) {
    let runtime: Shared = system.clone();
    system.clone().run(async {
        let before = server.memory_kib();
        let mut pipes = Vec::new();
        for _ in 0..count {
            let stream = runtime.connect(server.address).await.unwrap();
            let (commands, no_commands) = async_channel::bounded::<()>(1);
            let (keep, signal) = async_channel::bounded(1);
            let conn = Connection::client(Config { max_streams: 0, ..Config::default() });
            let mut pipe = Pipe::new(runtime.clone(), stream, conn, no_commands, signal);
            while !pipe.conn.settings_received() {
                assert!(matches!(pipe.turn(None, true).await, Turn::Read), "the connection is accepted");
            }
            pipes.push((pipe, commands, keep));
        }
        runtime.sleep_until(runtime.now() + 300_000).await;
        for (pipe, ..) in &mut pipes {
            // A refused connection would be closed by now, and would lower the average.
            assert!(
                matches!(pipe.turn(Some(0), true).await, Turn::Time | Turn::Read),
                "the connection is open"
            );
        }
        let idle = server.memory_kib();
        // These calls have sent their headers, but no message.
        let fields = fields(server.address);
        for n in 0..streams {
            let (pipe, ..) = &mut pipes[n % 20];
            pipe.conn.open(&fields, false).unwrap();
            pipe.turn(Some(0), false).await;
        }
        runtime.sleep_until(runtime.now() + 500_000).await;
        ((idle - before) / count as f64, (server.memory_kib() - idle) / streams.max(1) as f64)
    })
}

fn print_memory(system: &Arc<System>) {
    let (idle, stream) = memory_per_connection_and_call(system, &Server::start(&["ingress"]), 1000, 10_000);
    let (tonic_idle, _) = memory_per_connection_and_call(system, &Server::start(&["tonic"]), 1000, 0);
    println!(
        "\nMemory: {idle:.1} KiB an idle connection (tonic {tonic_idle:.1}), {stream:.2} KiB an open call"
    );
}

// ---- parts of a request ----

/// Returns the time in microseconds that [`core::Gateway`] takes for one request with its answer, by number of accounts.
fn core_us(accounts: u64) -> f64 {
    let compiled = settings::Compiled::new(settings::read("bench", SETTINGS.into(), &[]).unwrap()).unwrap();
    let mut gateway = core::Gateway::new(compiled.core(), 1, 1_000_000);
    let mut actions = Vec::new();
    let backend = core::BackendId(1);
    let endpoint = core::Endpoint { backend, weight: 1.0, ..core::Endpoint::default() };
    gateway.handle(
        1_000_000,
        core::Event::Endpoints(core::EndpointUpdate::Snapshot, vec![endpoint]),
        &mut actions,
    );
    let count = 200_000u64;
    let mut now = 1_000_000;
    let begun = Instant::now();
    for n in 0..count {
        now += 20;
        let id = core::RequestId(n + 1);
        let request = core::Request {
            id,
            plan: 1,
            customer: core::CustomerId(n * 7919 % accounts),
            deadline: now + 8_000_000,
            units: 1.0,
            gateway_count: 1.0,
            ..core::Request::default()
        };
        actions.clear();
        gateway.handle(now, core::Event::Request(request), &mut actions);
        if actions.iter().any(|a| matches!(a, core::Action::StartAttempt { .. })) {
            let settled = core::Event::AttemptFinished {
                id,
                attempt: 0,
                backend,
                outcome: core::Outcome::Ok,
                answered: true,
                elapsed: 500,
                metered: None,
                charged_units: None,
                report: None,
            };
            actions.clear();
            gateway.handle(now + 10, settled, &mut actions);
        }
    }
    begun.elapsed().as_secs_f64() * 1e6 / count as f64
}

/// Returns the time in microseconds that HTTP/2 and gRPC take for one call in memory, client and server together. The
/// server's part is about half of it.
fn wire_us() -> f64 {
    let mut client = Connection::client(Config::default());
    let mut server = Connection::server(Config::default());
    let message = message("all");
    let fields = fields(([127, 0, 0, 1], 80).into());
    let head = vec![Field::constant(":status", "200"), Field::constant("content-type", "application/grpc")];
    let answer = grpc::frame(&RateLimitResponse { overall_code: 1, ..Default::default() });
    let transfer = |from: &mut Connection, to: &mut Connection| {
        let bytes = from.output().split();
        to.receive(0, &bytes).unwrap();
    };
    transfer(&mut client, &mut server);
    transfer(&mut server, &mut client);
    let rounds = 5000;
    let calls = 20;
    let begun = Instant::now();
    for _ in 0..rounds {
        let ids: Vec<u32> = (0..calls)
            .map(|_| {
                let id = client.open(&fields, false).unwrap();
                client.data(id, message.clone(), true).unwrap();
                id
            })
            .collect();
        transfer(&mut client, &mut server);
        while let Some(e) = server.event() {
            if let Event::Data { stream, data, .. } = e {
                server.consumed(stream, data.len());
            }
        }
        for id in ids {
            server.headers(id, head.clone(), false).unwrap();
            server.data(id, answer.clone(), false).unwrap();
            server.headers(id, vec![Field::constant("grpc-status", "0")], true).unwrap();
        }
        transfer(&mut server, &mut client);
        while let Some(e) = client.event() {
            if let Event::Data { stream, data, .. } = e {
                client.consumed(stream, data.len());
            }
        }
    }
    begun.elapsed().as_secs_f64() * 1e6 / f64::from(rounds * calls)
}

/// Compares an ingress with a ledger and an ingress without one, for nodes with different processing times. The column
/// `to without` has the latencies as multiples of those without a ledger.
fn ledger(system: &Arc<System>, seconds: f64) {
    println!("\nIngress and node with and without a ledger, open loop over 16 connections\n");
    println!("| node's work ms | calls a second | ledger | p50 / p99 / p99.9 ms | to without | CPU us a call | bad |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for work in ["0", "5000", "20000"] {
        let node = Server::start(&["node", work]);
        let node = node.address.to_string();
        let folder = std::env::temp_dir().join(format!("chalkgap-bench-{}-{work}", std::process::id()));
        let without = Server::start(&["ingress", &node]);
        let with = Server::start(&["ingress", &node, &folder.display().to_string()]);
        for rate in [500.0, 2000.0, 5000.0] {
            // Alternates between the servers, so that other load of the machine affects both.
            let mut rows: [Vec<Row>; 2] = [Vec::new(), Vec::new()];
            for _ in 0..3 {
                for (n, server) in [&without, &with].into_iter().enumerate() {
                    rows[n].push(load(system, server, "all", 16, Some(rate), seconds / 2.0));
                }
            }
            let median_ms = |rows: &[Row], n: usize| {
                let mut all: Vec<f64> = rows.iter().map(|r| r.times[n]).collect();
                all.sort_by(f64::total_cmp);
                all[all.len() / 2] / 1000.0
            };
            let base = [0, 1, 2].map(|n| median_ms(&rows[0], n));
            for (name, rows) in [("without", &rows[0]), ("with", &rows[1])] {
                let t = [0, 1, 2].map(|n| median_ms(rows, n));
                let cpu = rows.iter().map(|r| r.cpu_us).sum::<f64>() / rows.len() as f64;
                let bad: u64 = rows.iter().map(|r| r.bad).sum();
                println!(
                    "| {} | {rate} | {name} | {:.2} / {:.2} / {:.2} | {:.2} / {:.2} / {:.2} | {cpu:.0} | {bad} |",
                    work.parse::<f64>().unwrap() / 1000.0,
                    t[0], t[1], t[2],
                    t[0] / base[0], t[1] / base[1], t[2] / base[2],
                );
            }
        }
        drop((without, with));
        let _ = std::fs::remove_dir_all(folder);
    }
}

#[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
fn main() {
    let args: Vec<String> = std::env::args().skip(1).filter(|a| a != "--bench").collect();
    match args.first().map(String::as_str) {
        Some("tonic") => return tonic_server(),
        Some("node") => return node_server(args.get(1).map_or(0.0, |a| a.parse().unwrap())),
        Some("ingress") => {
            let node = args.get(1).map(|a| a.parse().unwrap());
            return ingress_server(node, args.get(2).map(String::as_str));
        }
        _ => {}
    }
    let seconds = args.iter().position(|a| a == "--seconds").and_then(|n| args.get(n + 1)?.parse().ok());
    let seconds: f64 = seconds.unwrap_or(4.0);
    let system = System::new();
    system.threads(1);
    if args.iter().any(|a| a == "--mqtt") {
        mqtt(&system, seconds);
        return print_memory(&system);
    }
    ledger(&system, seconds);
    if args.iter().any(|a| a == "--ledger") {
        return;
    }
    mqtt(&system, seconds);
    let tonic = Server::start(&["tonic"]);
    let node = Server::start(&["node"]);
    let refusing = Server::start(&["ingress"]);
    let ingress_and_node = Server::start(&["ingress", &node.address.to_string()]);
    let servers = [
        ("tonic, answers immediately", &tonic, "none"),
        ("ingress, refuses", &refusing, "none"),
        ("ingress and node", &ingress_and_node, "all"),
    ];
    let print_row = |name: &str, r: &Row, base: &Row| {
        let [p50, p99, p999] = r.times.map(|t| t / 1000.0);
        println!(
            "| {name} | {:.0} | {:.2} | {:.1} | {:.2} | {p50:.2} / {p99:.2} / {p999:.2} | {:.0}% | {} |",
            r.rate,
            r.rate / base.rate,
            r.cpu_us,
            r.cpu_us / base.cpu_us,
            r.served * 100.0,
            r.bad
        );
    };
    let head = "| server | calls a second | to tonic's | CPU us a call | to tonic's | p50 / p99 / p99.9 ms | served | bad |\n| --- | --- | --- | --- | --- | --- | --- | --- |";
    for connections in [1, 16, 100] {
        println!("\nMaximum load: {connections} connections, 64 calls open on each\n\n{head}");
        let rows: Vec<Row> =
            servers.iter().map(|s| load(&system, s.1, s.2, connections, None, seconds)).collect();
        servers.iter().zip(&rows).for_each(|(s, r)| print_row(s.0, r, &rows[0]));
    }
    for (connections, rate) in [(16, 2000.0), (16, 5000.0), (1000, 5000.0)] {
        println!("\nOpen loop: {rate} calls a second over {connections} connections\n\n{head}");
        let rows: Vec<Row> =
            servers.iter().map(|s| load(&system, s.1, s.2, connections, Some(rate), seconds)).collect();
        servers.iter().zip(&rows).for_each(|(s, r)| print_row(s.0, r, &rows[0]));
    }
    print_memory(&system);
    let (core_us, wire_us) = ([100, 10_000, 100_000].map(core_us), wire_us());
    println!(
        "\nModule, a request with its answer: {:.2} / {:.2} / {:.2} us with 100 / 10,000 / 100,000 accounts",
        core_us[0], core_us[1], core_us[2]
    );
    println!("Wire, a call in memory, both sides: {wire_us:.2} us");
}
