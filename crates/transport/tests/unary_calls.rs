//! Unary calls to servers that break the protocol, are slow or silent.

use bytes::Bytes;
use chalkgap_runtime::simulated_runtime::{address, LinkFaults, Simulation, DEFAULT_LINK};
use chalkgap_runtime::system::System;
use chalkgap_runtime::{BoxFuture, Listener, Shared, Stream};
use chalkgap_transport::unary::{self, CallTimeouts};
use chalkgap_wire::grpc::{Code, Status};
use chalkgap_wire::http2::{Config, Connection, Event, Field};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::net::SocketAddr;
use std::sync::Arc;

/// Answers each call with a message and no trailers, and keeps the connection open.
async fn answer_without_trailers(runtime: &Shared, mut stream: Box<dyn Stream>) {
    let mut connection = Connection::server(Config::default());
    let mut buffer = [0; 4096];
    loop {
        while let Some(event) = connection.event() {
            if let Event::Data { stream: id, end: true, .. } = event {
                connection.headers(id, vec![Field::constant(":status", "200")], false).unwrap();
                connection.data(id, Bytes::from_static(&[0, 0, 0, 0, 0]), true).unwrap();
            }
        }
        let bytes = connection.output().split();
        stream.write_all(&bytes).await.unwrap();
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => connection.receive(runtime.now(), &buffer[..count]).unwrap(),
            _ => return,
        }
    }
}

/// A response that ends without trailers has no status. The call must end with it, not at its deadline.
#[test]
fn a_response_without_trailers_ends_its_call() {
    let system = System::new();
    system.clone().run(async move {
        let runtime: Shared = system;
        let listener = runtime.listen(([127, 0, 0, 1], 0).into()).unwrap();
        let address = listener.address();
        let server_runtime = runtime.clone();
        let server = runtime.spawn(Box::pin(async move {
            while let Ok(stream) = listener.accept().await {
                answer_without_trailers(&server_runtime, stream).await;
            }
        }));
        let timeouts = CallTimeouts { silence: 2_000_000, total: 2_000_000 };
        let deadline = runtime.now() + timeouts.total;
        let message = Bytes::from_static(&[0, 0, 0, 0, 0]);
        let error = unary::call(&runtime, address, "/test", message, 100, timeouts).await.unwrap_err();
        assert_eq!(error.code, Code::Unknown, "{error:?}");
        assert!(runtime.now() < deadline);
        drop(server);
    });
}

/// Longest time without data in the tests of slow and silent servers, in microseconds.
const SILENCE: u64 = 2_000_000;
const TIMEOUTS: CallTimeouts = CallTimeouts { silence: SILENCE, total: 20_000_000 };

/// What a server does with a call, on virtual time.
#[derive(Clone, Copy)]
enum ServerFault {
    /// It answers after this time, in microseconds, and pings at once.
    Slow(u64),
    /// All that it sends arrives this much later.
    SlowLink(u64),
    /// It sends its SETTINGS and nothing more.
    SilentAfterSettings,
    /// It accepts the connection and sends nothing.
    Silent,
}

/// Accepts a connection and sends the server's SETTINGS, if `send_settings`; never reads.
async fn accept_silently(listener: Box<dyn Listener>, send_settings: bool) {
    let mut stream = listener.accept().await.unwrap();
    if send_settings {
        let bytes = Connection::server(Config::default()).output().split();
        stream.write_all(&bytes).await.unwrap();
    }
    future::pending().await
}

/// Calls a server with this fault. Returns the result and the time that the call took.
fn call_faulty_server(fault: ServerFault) -> (Result<Bytes, Status>, u64) {
    let simulation = Simulation::new(1, 1_800_000_000_000_000);
    let (server_host, _server_guard) = simulation.host(1, 0);
    let (client_host, _client_guard) = simulation.host(2, 0);
    if let ServerFault::SlowLink(delay) = fault {
        let faults = LinkFaults { delay: (delay, delay), ..DEFAULT_LINK };
        simulation.set_link(1, 2, Some(faults));
    }
    let completed = simulation.run(async move {
        let runtime: Shared = client_host;
        let server_runtime: Shared = server_host;
        let listener = server_runtime.listen(SocketAddr::new(address(1), 7000)).unwrap();
        let to = listener.address();
        let (_kill, killed) = async_channel::bounded(1);
        let handler_runtime = server_runtime.clone();
        let delay = if let ServerFault::Slow(delay) = fault { delay } else { 0 };
        let handler: unary::Handler = Arc::new(move |_, _| {
            let runtime = handler_runtime.clone();
            Box::pin(async move {
                runtime.sleep_until(runtime.now() + delay).await;
                Ok(Bytes::from_static(&[0, 0, 0, 0, 2, 7, 7]))
            })
        });
        let limits = unary::Limits { connections: 4, calls: 4, message: 100, idle: 10_000_000 };
        let server: BoxFuture<'static, ()> = match fault {
            ServerFault::Slow(_) | ServerFault::SlowLink(_) => {
                Box::pin(unary::serve(server_runtime.clone(), listener, limits, handler, killed))
            }
            ServerFault::SilentAfterSettings => Box::pin(accept_silently(listener, true)),
            ServerFault::Silent => Box::pin(accept_silently(listener, false)),
        };
        let _server = server_runtime.spawn(server);
        let started = runtime.now();
        let message = Bytes::from_static(&[0, 0, 0, 0, 0]);
        let result = unary::call(&runtime, to, "/test", message, 100, TIMEOUTS).await;
        (result, runtime.now() - started)
    });
    completed.expect("the simulation did not complete")
}

/// A server that is alive and slow is waited for. Before, each call to it was given up after the same time and made again, so it
/// was never heard.
#[test]
fn a_slow_server_is_waited_for() {
    for fault in [
        ServerFault::Slow(1_900_000),
        ServerFault::Slow(2_100_000),
        ServerFault::Slow(9_000_000),
        ServerFault::Slow(19_000_000),
        ServerFault::SlowLink(300_000),
        ServerFault::SlowLink(1_900_000),
    ] {
        let (result, elapsed) = call_faulty_server(fault);
        assert_eq!(result.unwrap(), Bytes::from_static(&[7, 7]), "after {elapsed} us");
    }
}

/// A server that is down is given up as soon as without pings, and one that is alive and never answers after the whole time.
#[test]
fn a_silent_server_is_given_up_soon() {
    const ALLOWANCE: u64 = 50_000;
    for (fault, limit) in [
        (ServerFault::Silent, SILENCE),
        (ServerFault::SilentAfterSettings, SILENCE),
        (ServerFault::Slow(60_000_000), TIMEOUTS.total),
    ] {
        let (result, elapsed) = call_faulty_server(fault);
        assert_eq!(result.unwrap_err().code, Code::DeadlineExceeded);
        assert!(elapsed <= limit + ALLOWANCE, "{elapsed} us, limit {limit}");
    }
}
