//! Connection admission of a running ingress under floods and slow clients.

mod common;

use chalkgap::runtime::faulty_runtime::FaultyRuntime;
use chalkgap::runtime::{BoxFuture, Listener, Runtime, Shared, Stream};
use chalkgap::Instance;
use chalkgap_testbed::client::Client;
use chalkgap_testbed::flood::{self, probe, ProbeOutcome};
use chalkgap_testbed::journal::Answer;
use chalkgap_testbed::node::Machine;
use chalkgap_wire::http2::{Config, Connection, Event, PREFACE};
use common::*;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

const SETTINGS: [u8; 9] = [0, 0, 0, 4, 0, 0, 0, 0, 0];

/// Opens `n` connections, the i-th from the address `from(i)`. Returns the accepted connections, which stay open until they are
/// dropped, and the outcomes of the others.
async fn open_connections(
    runtime: &Shared,
    from: impl Fn(u32) -> Option<IpAddr>,
    to: SocketAddr,
    n: u32,
) -> (Vec<Box<dyn Stream>>, Vec<ProbeOutcome>) {
    let mut accepted = Vec::new();
    let mut refused = Vec::new();
    for i in 0..n {
        match probe(runtime, from(i), to).await {
            (ProbeOutcome::Accepted, _, stream) => accepted.extend(stream),
            (outcome, ..) => refused.push(outcome),
        }
    }
    assert!(!refused.contains(&ProbeOutcome::TimedOut), "a connection was neither accepted nor closed");
    (accepted, refused)
}

#[test]
fn connections_beyond_the_limit_of_an_address_are_refused() {
    let mut settings = settings();
    settings.admission.per_address = 10;
    settings.admission.per_prefix = 20;
    run(|system| async move {
        let fixture = Fixture::start(system, settings, vec![Machine::default()]).await;
        let address = fixture.ingress.grpc_address();
        let (accepted, refused) = open_connections(&fixture.runtime, |_| None, address, 30).await;
        assert_eq!(accepted.len(), 9, "the fixture's client has the tenth");
        assert!(
            refused.iter().filter(|k| **k == ProbeOutcome::Rejected).count() >= 8,
            "refused with a reply: {refused:?}"
        );
        assert_eq!(fixture.ingress.counts().connections_refused, 21);
        assert_eq!(fixture.client.call(&client_request(1, "big", "sig-check")).await.answer, Answer::Served);
        // The served call made the address known, and a known address has four times the limit.
        assert_eq!(open_connections(&fixture.runtime, |_| None, address, 5).await.0.len(), 5);
        // Addresses of one prefix share a limit of 20.
        let same_prefix = |n: u32| Some(IpAddr::from([127, 9, 9, 1 + n as u8]));
        assert_eq!(open_connections(&fixture.runtime, same_prefix, address, 30).await.0.len(), 20);
        drop(accepted);
    });
}

#[test]
fn known_clients_replace_idle_unknown_ones_at_the_connection_limit() {
    let mut settings = settings();
    settings.front.max_connections = 40;
    settings.admission.reserve = 0.25;
    settings.admission.preferred = 0.0;
    run(|system| async move {
        let fixture = Fixture::start(system.clone(), settings, vec![Machine::default()]).await;
        let address = fixture.ingress.grpc_address();
        assert_eq!(fixture.client.call(&client_request(0, "big", "sig-check")).await.answer, Answer::Served);
        // Unknown clients get the limit less the reserve and less the connection of the known client: 40 - 10 - 1.
        let (unknown, refused) =
            open_connections(&fixture.runtime, |n| Some(flood::address(n)), address, 60).await;
        assert_eq!((unknown.len(), refused.len()), (29, 31));
        // The known address fills the reserve of ten; then idle unknown connections are evicted for it.
        let (known, refused) = open_connections(&fixture.runtime, |_| None, address, 20).await;
        assert_eq!((known.len(), refused.len()), (20, 0));
        eventually(&fixture.runtime, "unknown connections are evicted", || {
            fixture.ingress.counts().connections_evicted >= 8
        })
        .await;
        assert!(
            (8..=10).contains(&fixture.ingress.counts().connections_evicted),
            "{:?}",
            fixture.ingress.counts()
        );
        assert_eq!(fixture.client.call(&client_request(1, "big", "sig-check")).await.answer, Answer::Served);
        drop((unknown, known));
    });
}

/// Evicted clients never close their side, and more of them are evicted in a row than there are spare descriptors. Known clients
/// are accepted without waiting for them.
#[test]
fn known_clients_do_not_wait_for_evicted_ones_to_close() {
    let mut settings = settings();
    settings.front.max_connections = 60;
    settings.admission.reserve = 0.25;
    settings.admission.preferred = 0.0;
    settings.admission.per_second = 1000.0;
    settings.descriptors.spare = 4;
    run(|system| async move {
        let fixture = Fixture::start(system.clone(), settings, vec![Machine::default()]).await;
        let address = fixture.ingress.grpc_address();
        assert_eq!(fixture.client.call(&client_request(0, "big", "sig-check")).await.answer, Answer::Served);
        let (unknown, _) = open_connections(&fixture.runtime, |n| Some(flood::address(n)), address, 60).await;
        assert_eq!(unknown.len(), 44);
        let (known, refused) = open_connections(&fixture.runtime, |_| None, address, 45).await;
        assert_eq!((known.len(), refused), (45, vec![]));
        assert!(fixture.ingress.counts().connections_evicted >= 28, "{:?}", fixture.ingress.counts());
        drop((unknown, known));
    });
}

/// Writes `trickle` one byte each `every_ms`, then reads until the server ends the connection. Returns how long that took, in
/// milliseconds.
async fn time_to_close(runtime: &Shared, mut stream: Box<dyn Stream>, trickle: &[u8], every_ms: u64) -> u64 {
    let started = runtime.now();
    let mut all = Vec::new();
    for byte in trickle {
        sleep_ms(runtime, every_ms).await;
        if stream.write_all(&[*byte]).await.is_err() {
            break;
        }
        let mut buffer = [0; 500];
        match future::poll_once(stream.read(&mut buffer)).await {
            Some(Ok(0)) | Some(Err(_)) => return (runtime.now() - started) / 1000,
            Some(Ok(n)) => all.extend_from_slice(&buffer[..n]),
            None => {}
        }
    }
    let _ = stream.read_to_end(&mut all).await;
    (runtime.now() - started) / 1000
}

#[test]
fn connections_below_the_minimum_byte_rate_are_closed() {
    let mut settings = settings();
    settings.front.patience_ms = 200;
    settings.admission.idle_ms = 60_000;
    run(|system| async move {
        let fixture = Fixture::start(system, settings, vec![Machine::default()]).await;
        let address = fixture.ingress.grpc_address();
        let connect = || fixture.runtime.connect(address);
        // A byte of the preface each 20 ms; a frame's payload at the same rate; a header block without END_HEADERS.
        assert!(time_to_close(&fixture.runtime, connect().await.unwrap(), &PREFACE[..], 20).await < 8000);
        let mut stream = connect().await.unwrap();
        let frame = [&PREFACE[..], &SETTINGS, &[0, 0x20, 0, 0, 0, 0, 0, 0, 1]].concat();
        stream.write_all(&frame).await.unwrap();
        assert!(time_to_close(&fixture.runtime, stream, &[0; 200], 20).await < 8000);
        let mut stream = connect().await.unwrap();
        let block = [&PREFACE[..], &SETTINGS, &[0, 0, 3, 1, 0, 0, 0, 0, 1, 0x83, 0x86, 0x84]].concat();
        stream.write_all(&block).await.unwrap();
        assert!(time_to_close(&fixture.runtime, stream, &[], 20).await < 8000);
        assert_eq!(fixture.ingress.counts().too_slow, 3);
        // A call without its message fails alone, and its connection stays open.
        let mut connection = Connection::client(Config::default());
        let fields = [
            chalkgap_wire::http2::Field::constant(":method", "POST"),
            chalkgap_wire::http2::Field::constant(":scheme", "http"),
            chalkgap_wire::http2::Field::constant(":path", chalkgap_wire::ratelimit::SHOULD_RATE_LIMIT),
            chalkgap_wire::http2::Field::constant("content-type", "application/grpc"),
        ];
        let id = connection.open(&fields, false).unwrap();
        let mut stream = connect().await.unwrap();
        stream.write_all(&connection.output().split()).await.unwrap();
        let mut trailers = None;
        while trailers.is_none() {
            let mut buffer = [0; 1000];
            let length = stream.read(&mut buffer).await.unwrap();
            assert!(length > 0, "the connection was closed");
            connection.receive(0, &buffer[..length]).unwrap();
            trailers = std::iter::from_fn(|| connection.event()).find_map(|e| match e {
                Event::Headers { stream, fields, end: true } if stream == id => Some(fields),
                _ => None,
            });
            let _ = stream.write_all(&connection.output().split()).await;
        }
        let status = chalkgap_wire::grpc::Status::from_fields(&trailers.unwrap());
        assert_eq!(status.code, chalkgap_wire::grpc::Code::DeadlineExceeded);
        assert_eq!(fixture.client.call(&client_request(1, "big", "sig-check")).await.answer, Answer::Served);
    });
}

#[test]
fn idle_connections_are_closed() {
    let mut settings = settings();
    settings.admission.idle_ms = 100;
    run(|system| async move {
        let fixture = Fixture::start(system, settings, vec![Machine::default()]).await;
        assert_eq!(fixture.client.call(&client_request(1, "big", "sig-check")).await.answer, Answer::Served);
        eventually(&fixture.runtime, "the idle connection is closed", || fixture.client.closed()).await;
        assert_eq!(fixture.ingress.counts().connections_bad, 0, "counted as a bad connection");
    });
}

#[test]
fn known_addresses_survive_a_restart() {
    let folder = std::env::temp_dir().join(format!("chalkgap-known-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut settings = settings();
    settings.admission.snapshot = Some(folder.join("known"));
    settings.admission.per_address = 2;
    settings.admission.per_prefix = 2;
    run(|system| async move {
        let mut fixture = Fixture::start(system.clone(), settings.clone(), vec![Machine::default()]).await;
        assert_eq!(fixture.client.call(&client_request(1, "big", "sig-check")).await.answer, Answer::Served);
        fixture.ingress.drain(fixture.runtime.now() + 1_000_000).await;
        let open = async |n: u32| {
            let fixture = Fixture::start(system.clone(), settings.clone(), vec![]).await;
            open_connections(&fixture.runtime, |_| None, fixture.ingress.grpc_address(), n).await.0.len() + 1
        };
        assert_eq!(open(10).await, 8, "a known address has four times the limit of two");
        std::fs::write(folder.join("known"), "something else").unwrap();
        assert_eq!(open(10).await, 2, "an invalid snapshot is ignored, and the address is unknown");
    });
}

/// A listener whose first four accepts fail with `errno`, as without free descriptors.
struct FailingListener {
    listener: Box<dyn Listener>,
    accepts: AtomicU32,
    errno: i32,
}

impl Listener for FailingListener {
    fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    fn accept(&self) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        if self.accepts.fetch_add(1, Ordering::Relaxed) < 4 {
            let error = io::Error::from_raw_os_error(self.errno);
            return Box::pin(std::future::ready(Err(error)));
        }
        self.listener.accept()
    }
}

/// After EMFILE, ENFILE, ENOBUFS or ENOMEM the ingress waits 10 to 80 ms before it accepts again, and does not busy-loop.
#[test]
fn failed_accepts_are_retried_with_a_delay() {
    for errno in [24, 23, 105, 12] {
        run(|system| async move {
            let failing = move |listener| -> Box<dyn Listener> {
                Box::new(FailingListener { listener, accepts: AtomicU32::new(0), errno })
            };
            let runtime = FaultyRuntime::new(system.clone()).listeners(failing);
            let ingress = Instance::start(settings(), Arc::new(runtime)).await.unwrap();
            let address = ingress.grpc_address();
            let started = system.now();
            let (outcome, ..) = probe(&(system.clone() as Shared), None, address).await;
            assert_eq!(
                (outcome, ingress.counts().accept_failed),
                (ProbeOutcome::Accepted, 4),
                "errno {errno}"
            );
            assert!(system.now() - started >= 100_000, "accepts were retried without a delay");
        });
    }
}

#[test]
fn known_clients_are_served_during_a_flood() {
    let mut settings = settings();
    settings.front.max_connections = 60;
    run(|system| async move {
        let fixture = Fixture::start(system.clone(), settings, vec![Machine::default()]).await;
        assert_eq!(fixture.client.call(&client_request(0, "big", "sig-check")).await.answer, Answer::Served);
        let address = fixture.ingress.grpc_address();
        let deadline = fixture.runtime.now() + 1_000_000;
        let plan = flood::Plan { to: address, addresses: 300, per_second: 400.0, hold: 100, until: deadline };
        let (task, flood_counts) = flood::start(&fixture.runtime, plan);
        for n in 1..60 {
            let client =
                Client::connect(fixture.runtime.clone(), address, 0, fixture.journal.clone()).await.unwrap();
            assert_eq!(
                client.call(&client_request(n, "big", "sig-check")).await.answer,
                Answer::Served,
                "call {n}"
            );
            assert_eq!(
                fixture.client.call(&client_request(100 + n, "big", "sig-check")).await.answer,
                Answer::Served
            );
            sleep_ms(&fixture.runtime, 15).await;
        }
        task.await;
        sleep_ms(&fixture.runtime, 100).await;
        let counts = flood_counts.lock().unwrap().clone();
        assert!(counts.rejected + counts.closed > 100 && counts.timed_out == 0, "{counts:?}");
    });
}
