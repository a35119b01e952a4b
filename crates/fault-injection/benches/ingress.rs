//! The running ingress against a tonic server that answers at once, in one run on one machine: throughput, CPU a
//! request, latency under an open loop, memory of connections and streams. Servers run in processes of their own, so
//! that their CPU and memory are the system's word; times are ratios within this run, not promises.
//!
//! `cargo bench -p chalkgap-fault-injection --bench ingress [-- --seconds N]`

use bytes::Bytes;
use chalkgap::node_list::{Node as Line, NodeList, State};
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
    # Not what is measured here: all load comes from one address.
    "admission": {"named": ["127.0.0.1"], "per_address": 20000, "per_prefix": 20000, "per_second": 100000,
                  "handshakes": 20000, "handshakes_per_address": 20000},
    "upstream": {"connections": 4, "max_streams": 2000},
    "rules": {"drain_grace_ms": 2000, "cold_from": 0.2, "cold_ms": 0, "fall_factor": 3.0, "fall_ms": 2000},
    "nodes": {"source": "handle"},
}
"#;

// ---- servers, each in a process of its own ----

#[derive(Clone)]
struct AtOnce;

impl tonic::server::UnaryService<RateLimitRequest> for AtOnce {
    type Response = RateLimitResponse;
    type Future =
        Pin<Box<dyn Future<Output = Result<tonic::Response<RateLimitResponse>, tonic::Status>> + Send>>;

    fn call(&mut self, _: tonic::Request<RateLimitRequest>) -> Self::Future {
        let answer = RateLimitResponse { overall_code: Verdict::OverLimit.into(), ..Default::default() };
        Box::pin(std::future::ready(Ok(tonic::Response::new(answer))))
    }
}

impl tonic::server::NamedService for AtOnce {
    const NAME: &'static str = "envoy.service.ratelimit.v3.RateLimitService";
}

impl tonic::codegen::Service<http::Request<tonic::body::Body>> for AtOnce {
    type Response = http::Response<tonic::body::Body>;
    type Error = std::convert::Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<tonic::body::Body>) -> Self::Future {
        Box::pin(async move {
            let codec = tonic_prost::ProstCodec::default();
            Ok(tonic::server::Grpc::new(codec).unary(AtOnce, request).await)
        })
    }
}

use tonic::codegen::http;

fn tonic_server() {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        println!("{}", listener.local_addr().unwrap());
        let mut server = tonic::transport::Server::builder().max_concurrent_streams(2000);
        // Its own setting does not reach streams that are handed to it.
        let incoming = tokio_stream::wrappers::TcpListenerStream::new(listener)
            .map(|s| s.inspect(|s| s.set_nodelay(true).unwrap()));
        server.add_service(AtOnce).serve_with_incoming(incoming).await.unwrap();
    });
}

/// A node with as many cores as it needs; `work`: mean microseconds of a request.
fn node_server(work: f64) {
    let system = System::new();
    let work = HashMap::from([("c".to_owned(), work)]);
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
        let line = |address| Line {
            address,
            zone: "a".into(),
            cell: String::new(),
            kind: String::new(),
            state: State::Ready,
            size: 1.0,
            started_ms: 0,
        };
        ingress.set_node_list(NodeList { revision: 1, nodes: node.into_iter().map(line).collect() }).await;
        println!("{}", ingress.grpc_address());
        println!("{}", ingress.mqtt_address().unwrap());
        std::future::pending::<()>().await;
    });
}

struct Server {
    child: Child,
    address: SocketAddr,
    /// Where an ingress speaks MQTT.
    mqtt: Option<SocketAddr>,
}

impl Server {
    fn start(args: &[&str]) -> Server {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .expect("this program again");
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let address = lines.next().unwrap().unwrap().parse().unwrap();
        let mqtt = (args[0] == "ingress").then(|| lines.next().unwrap().unwrap().parse().unwrap());
        Server { child, address, mqtt }
    }

    /// CPU seconds so far: user and system, in ticks of a hundredth.
    fn cpu(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let rest: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        (rest[11].parse::<f64>().unwrap() + rest[12].parse::<f64>().unwrap()) / 100.0
    }

    /// Resident kilobytes.
    fn memory(&self) -> f64 {
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

#[derive(Default)]
struct Load {
    done: u64,
    served: u64,
    bad: u64,
    times: Vec<u64>,
}

/// One connection's load until a time. `gap`: an arrival each so many microseconds, whatever is still open; none:
/// `window` calls are kept open.
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
    let (_commands, none) = async_channel::bounded::<()>(1);
    let (_keep, signal) = async_channel::bounded(1);
    let conn = Connection::client(Config { max_streams: 0, ..Config::default() });
    let mut pipe = Pipe::new(runtime.clone(), stream, conn, none, signal);
    let (message, fields) = (message(account), fields(to));
    let mut open: HashMap<u32, u64> = HashMap::new();
    let (mut load, mut next) = (Load::default(), runtime.now() as f64);
    loop {
        let now = runtime.now();
        if now >= end && (open.is_empty() || now > end + 2_000_000) {
            break;
        }
        while pipe.conn.settings_received() && now < end && pipe.conn.can_open().is_ok() {
            // Open loop: timed from when it was to be sent, so that a queue here counts as well.
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
                    // A whole answer in one frame: five bytes of prefix, then field 1, the code.
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

/// [`drive`] over MQTT: publishes of QoS 1.
async fn publish(
    runtime: Shared,
    to: SocketAddr,
    account: &'static str,
    window: usize,
    end: u64,
    result: Arc<Mutex<Load>>,
) {
    let stream = runtime.connect(to).await.unwrap();
    let (_commands, none) = async_channel::bounded::<()>(1);
    let (_keep, signal) = async_channel::bounded(1);
    let mut pipe = Pipe::new(runtime.clone(), stream, PacketConnection::with_connect("", 0), none, signal);
    let mut open: HashMap<u16, u64> = HashMap::new();
    let (mut load, mut next, mut ready) = (Load::default(), 0u16, false);
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

/// Both doors of one ingress in turn, and what connections and sessions without one take.
#[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
fn mqtt(system: &Arc<System>, seconds: f64) {
    println!("\nThe two doors of one ingress, as much as it takes: 16 connections, 64 open on each\n");
    println!("| door | what | calls a second | CPU us a call | p50 / p99 ms | bad |");
    println!("| --- | --- | --- | --- | --- | --- |");
    let node = Server::start(&["node"]);
    let node = node.address.to_string();
    for (what, account, args) in
        [("refused", "none", vec!["ingress"]), ("served", "all", vec!["ingress", &node])]
    {
        let server = Server::start(&args);
        for door in ["gRPC", "MQTT"] {
            let row = match door {
                "gRPC" => load(system, &server, account, 16, None, seconds),
                _ => measure(system, &server, 16, seconds, |runtime, _, end, result| {
                    Box::pin(publish(runtime, server.mqtt.unwrap(), account, 64, end, result))
                }),
            };
            let [a, b, _] = row.times.map(|t| t / 1000.0);
            println!(
                "| {door} | {what} ({:.0}% served) | {:.0} | {:.1} | {a:.2} / {b:.2} | {} |",
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
                let (commands, none) = async_channel::bounded::<()>(1);
                let (keep, signal) = async_channel::bounded(1);
                let half = PacketConnection::with_connect(&format!("idle-{n}"), 3600);
                let mut pipe = Pipe::new(runtime.clone(), stream, half, none, signal);
                while pipe.conn.packets.is_empty() {
                    assert!(matches!(pipe.turn(None, true).await, Turn::Read), "let in");
                }
                let good = matches!(pipe.conn.packets.front(), Some(Packet::ConnAck(c)) if c.code == 0);
                assert!(good, "{:?}", pipe.conn.packets);
                (pipe, commands, keep)
            }
        };
        let before = server.memory();
        let mut pipes = Vec::new();
        for n in 0..1000 {
            pipes.push(connect(n).await);
        }
        runtime.sleep_until(runtime.now() + 300_000).await;
        println!("\n{:.1} KiB an idle MQTT connection (1,000 of them)", (server.memory() - before) / 1000.0);
        drop(pipes);
        let before = server.memory();
        for n in 0..10_000 {
            drop(connect(10_000 + n).await);
        }
        runtime.sleep_until(runtime.now() + 1_500_000).await;
        let each = (server.memory() - before) / 10_000.0;
        println!("{each:.2} KiB a session without a connection (10,000 of them, opened one after the other)");
        // All that can come back at once, in one second's worth of time or less.
        let begun = Instant::now();
        let (done, told) = async_channel::unbounded();
        let mut tasks = Vec::new();
        for n in 0..3000 {
            let (one, done) = (connect(10_000 + n), done.clone());
            tasks.push(runtime.spawn(Box::pin(async move {
                let (pipe, ..) = one.await;
                let present =
                    matches!(pipe.conn.packets.front(), Some(Packet::ConnAck(c)) if c.session_present);
                let _ = done.try_send(present);
            })));
        }
        for t in tasks {
            t.await;
        }
        let present = std::iter::from_fn(|| told.try_recv().ok()).filter(|p| *p).count();
        println!(
            "3,000 come back at once: let in within {:.2} s, {present} with their session",
            begun.elapsed().as_secs_f64()
        );
    });
    let (grpc, mqtt) = bytes_a_call();
    println!("Bytes of a refused call and its answer: gRPC {grpc}, MQTT {mqtt} (the same account and class, no properties)");
}

/// Bytes both ways of a call and its answer, as they are on the wire once a connection is warm.
fn bytes_a_call() -> (usize, usize) {
    let (mut c, mut s) = (Connection::client(Config::default()), Connection::server(Config::default()));
    let (message, fields) = (message("none"), fields(([127, 0, 0, 1], 8081).into()));
    let head = vec![Field::constant(":status", "200"), Field::constant("content-type", "application/grpc")];
    let answer = grpc::frame(&RateLimitResponse { overall_code: 2, ..Default::default() });
    let pass = |a: &mut Connection, b: &mut Connection| {
        let bytes = a.output().split();
        b.receive(0, &bytes).unwrap();
        bytes.len()
    };
    pass(&mut c, &mut s);
    pass(&mut s, &mut c);
    let mut last = 0;
    for _ in 0..3 {
        let id = c.open(&fields, false).unwrap();
        c.data(id, message.clone(), true).unwrap();
        last = pass(&mut c, &mut s);
        s.headers(id, head.clone(), false).unwrap();
        s.data(id, answer.clone(), false).unwrap();
        s.headers(id, vec![Field::constant("grpc-status", "0")], true).unwrap();
        last += pass(&mut s, &mut c);
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

struct Row {
    rate: f64,
    cpu_us: f64,
    times: [f64; 3],
    served: f64,
    bad: u64,
}

/// Loads a server over `connections`; `rate` none: as much as it takes, 64 calls open on each.
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

/// Runs a load of so many connections for a time.
fn measure(
    system: &Arc<System>,
    server: &Server,
    connections: usize,
    seconds: f64,
    one: impl Fn(Shared, SocketAddr, u64, Arc<Mutex<Load>>) -> Task,
) -> Row {
    let result = Arc::new(Mutex::new(Load::default()));
    let (cpu, begun) = (server.cpu(), Instant::now());
    let end = system.now() + (seconds * 1e6) as u64;
    let runtime: Shared = system.clone();
    system.clone().run(async {
        let task = |_| runtime.spawn(one(runtime.clone(), server.address, end, result.clone()));
        let tasks: Vec<_> = (0..connections).map(task).collect();
        for t in tasks {
            t.await;
        }
    });
    let (spent, cpu) = (begun.elapsed().as_secs_f64().min(seconds), server.cpu() - cpu);
    let mut all = result.lock().unwrap();
    all.times.sort_unstable();
    let at = |share: f64| {
        let n = (all.times.len() as f64 * share) as usize;
        all.times.get(n.min(all.times.len().max(1) - 1)).copied().unwrap_or(0) as f64
    };
    let times = [at(0.5), at(0.99), at(0.999)];
    let done = all.done.max(1) as f64;
    Row {
        rate: all.done as f64 / spent,
        cpu_us: cpu * 1e6 / done,
        times,
        served: all.served as f64 / done,
        bad: all.bad,
    }
}

/// Memory that `count` idle connections, and then `streams` open calls on some of them, take at a server.
fn memory(system: &Arc<System>, server: &Server, count: usize, streams: usize) -> (f64, f64) {
    let runtime: Shared = system.clone();
    system.clone().run(async {
        let before = server.memory();
        let mut pipes = Vec::new();
        for _ in 0..count {
            let stream = runtime.connect(server.address).await.unwrap();
            let (commands, none) = async_channel::bounded::<()>(1);
            let (keep, signal) = async_channel::bounded(1);
            let conn = Connection::client(Config { max_streams: 0, ..Config::default() });
            let mut pipe = Pipe::new(runtime.clone(), stream, conn, none, signal);
            while !pipe.conn.settings_received() {
                assert!(matches!(pipe.turn(None, true).await, Turn::Read), "let in");
            }
            pipes.push((pipe, commands, keep));
        }
        runtime.sleep_until(runtime.now() + 300_000).await;
        for (pipe, ..) in &mut pipes {
            // One that was refused would be closed by now, and count as cheap.
            assert!(matches!(pipe.turn(Some(0), true).await, Turn::Time | Turn::Read), "it is open");
        }
        let idle = server.memory();
        // Calls that were begun: their message has not come.
        let fields = fields(server.address);
        for n in 0..streams {
            let (pipe, ..) = &mut pipes[n % 20];
            pipe.conn.open(&fields, false).unwrap();
            pipe.turn(Some(0), false).await;
        }
        runtime.sleep_until(runtime.now() + 500_000).await;
        ((idle - before) / count as f64, (server.memory() - idle) / streams.max(1) as f64)
    })
}

fn memories(system: &Arc<System>) {
    let (idle, stream) = memory(system, &Server::start(&["ingress"]), 1000, 10_000);
    let (tonic_idle, _) = memory(system, &Server::start(&["tonic"]), 1000, 0);
    println!(
        "\nMemory: {idle:.1} KiB an idle connection (tonic {tonic_idle:.1}), {stream:.2} KiB an open call"
    );
}

// ---- shares ----

/// Microseconds of the module for one request with its answer, by the number of accounts.
fn module(accounts: u64) -> f64 {
    let compiled = settings::Compiled::new(settings::read("bench", SETTINGS.into(), &[]).unwrap()).unwrap();
    let mut gateway = core::Gateway::new(compiled.core(), 1, 1_000_000);
    let mut act = Vec::new();
    let backend = core::BackendId(1);
    let line = core::Endpoint { backend, weight: 1.0, ..core::Endpoint::default() };
    gateway.handle(1_000_000, core::Event::Endpoints(core::EndpointUpdate::Snapshot, vec![line]), &mut act);
    let (count, mut now) = (200_000u64, 1_000_000);
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
        act.clear();
        gateway.handle(now, core::Event::Request(request), &mut act);
        if act.iter().any(|a| matches!(a, core::Action::StartAttempt { .. })) {
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
            act.clear();
            gateway.handle(now + 10, settled, &mut act);
        }
    }
    begun.elapsed().as_secs_f64() * 1e6 / count as f64
}

/// Microseconds of the wire for one call, both sides in memory; a server's part is about half of it.
fn wire() -> f64 {
    let (mut c, mut s) = (Connection::client(Config::default()), Connection::server(Config::default()));
    let (message, fields) = (message("all"), fields(([127, 0, 0, 1], 80).into()));
    let head = vec![Field::constant(":status", "200"), Field::constant("content-type", "application/grpc")];
    let answer = grpc::frame(&RateLimitResponse { overall_code: 1, ..Default::default() });
    let move_bytes = |a: &mut Connection, b: &mut Connection| {
        let bytes = a.output().split();
        b.receive(0, &bytes).unwrap();
    };
    move_bytes(&mut c, &mut s);
    move_bytes(&mut s, &mut c);
    let (rounds, calls) = (5000, 20);
    let begun = Instant::now();
    for _ in 0..rounds {
        let ids: Vec<u32> = (0..calls)
            .map(|_| {
                let id = c.open(&fields, false).unwrap();
                c.data(id, message.clone(), true).unwrap();
                id
            })
            .collect();
        move_bytes(&mut c, &mut s);
        while let Some(e) = s.event() {
            if let Event::Data { stream, data, .. } = e {
                s.consumed(stream, data.len());
            }
        }
        for id in ids {
            s.headers(id, head.clone(), false).unwrap();
            s.data(id, answer.clone(), false).unwrap();
            s.headers(id, vec![Field::constant("grpc-status", "0")], true).unwrap();
        }
        move_bytes(&mut s, &mut c);
        while let Some(e) = c.event() {
            if let Event::Data { stream, data, .. } = e {
                c.consumed(stream, data.len());
            }
        }
    }
    begun.elapsed().as_secs_f64() * 1e6 / f64::from(rounds * calls)
}

/// The whole path with a ledger beside the whole path without, for a node that answers at once and for one that works.
fn ledger(system: &Arc<System>, seconds: f64) {
    println!("\nThe whole path with and without a ledger, open loop over 16 connections\n");
    println!("| node's work ms | calls a second | ledger | p50 / p99 / p99.9 ms | to without | CPU us a call | bad |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for work in ["0", "5000", "20000"] {
        let node = Server::start(&["node", work]);
        let node = node.address.to_string();
        let folder = std::env::temp_dir().join(format!("chalkgap-bench-{}-{work}", std::process::id()));
        let without = Server::start(&["ingress", &node]);
        let with = Server::start(&["ingress", &node, &folder.display().to_string()]);
        for rate in [500.0, 2000.0, 5000.0] {
            // In turn, several times: what else the machine does hits both.
            let mut rows: [Vec<Row>; 2] = [Vec::new(), Vec::new()];
            for _ in 0..3 {
                for (n, server) in [&without, &with].into_iter().enumerate() {
                    rows[n].push(load(system, server, "all", 16, Some(rate), seconds / 2.0));
                }
            }
            let middle = |rows: &[Row], n: usize| {
                let mut all: Vec<f64> = rows.iter().map(|r| r.times[n]).collect();
                all.sort_by(f64::total_cmp);
                all[all.len() / 2] / 1000.0
            };
            let base = [0, 1, 2].map(|n| middle(&rows[0], n));
            for (name, rows) in [("without", &rows[0]), ("with", &rows[1])] {
                let t = [0, 1, 2].map(|n| middle(rows, n));
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
        return memories(&system);
    }
    ledger(&system, seconds);
    if args.iter().any(|a| a == "--ledger") {
        return;
    }
    mqtt(&system, seconds);
    let tonic = Server::start(&["tonic"]);
    let node = Server::start(&["node"]);
    let refusing = Server::start(&["ingress"]);
    let whole = Server::start(&["ingress", &node.address.to_string()]);
    let servers = [
        ("tonic, answers at once", &tonic, "none"),
        ("ingress, refuses", &refusing, "none"),
        ("ingress and node", &whole, "all"),
    ];
    let row = |name: &str, r: &Row, base: &Row| {
        let [a, b, c] = r.times.map(|t| t / 1000.0);
        println!(
            "| {name} | {:.0} | {:.2} | {:.1} | {:.2} | {a:.2} / {b:.2} / {c:.2} | {:.0}% | {} |",
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
        println!("\nAs much as it takes: {connections} connections, 64 calls open on each\n\n{head}");
        let rows: Vec<Row> =
            servers.iter().map(|s| load(&system, s.1, s.2, connections, None, seconds)).collect();
        servers.iter().zip(&rows).for_each(|(s, r)| row(s.0, r, &rows[0]));
    }
    for (connections, rate) in [(16, 2000.0), (16, 5000.0), (1000, 5000.0)] {
        println!("\nOpen loop: {rate} calls a second over {connections} connections\n\n{head}");
        let rows: Vec<Row> =
            servers.iter().map(|s| load(&system, s.1, s.2, connections, Some(rate), seconds)).collect();
        servers.iter().zip(&rows).for_each(|(s, r)| row(s.0, r, &rows[0]));
    }
    memories(&system);
    let (m, w) = ([100, 10_000, 100_000].map(module), wire());
    println!(
        "\nModule, a request with its answer: {:.2} / {:.2} / {:.2} us with 100 / 10,000 / 100,000 accounts",
        m[0], m[1], m[2]
    );
    println!("Wire, a call in memory, both sides: {w:.2} us");
}
