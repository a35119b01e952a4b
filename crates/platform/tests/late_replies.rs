//! Replies of a backend that arrive late, on virtual time: the gaps between them are exact on a busy machine as well.

use bytes::BytesMut;
use chalkgap_platform::{Config, Ingress};
use chalkgap_resp::{decode_reply, Value};
use chalkgap_runtime::simulated_runtime::{address, Simulation};
use chalkgap_runtime::{Micros, Runtime, Shared, Stream};
use common::{command_arguments, config, LIMITS};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rig::query;
use std::net::SocketAddr;

mod common;
mod rig;

const START: Micros = 1_800_000_000_000_000;
/// Time between a backend's reply and its second reply to the same request.
const SECOND_REPLY_MICROS: Micros = 8000;
/// Port of the backend in the configuration.
const BACKEND_PORT: u16 = 7001;

fn backend_address() -> SocketAddr {
    SocketAddr::new(address(0), BACKEND_PORT)
}

/// Reads bytes into `buffer`. False at the end of the stream.
async fn read_more(stream: &mut Box<dyn Stream>, buffer: &mut BytesMut) -> bool {
    let mut chunk = [0; 1024];
    let count = stream.read(&mut chunk).await.unwrap_or_default();
    buffer.extend_from_slice(&chunk[..count]);
    count > 0
}

/// A backend's connection: the reply to each request is its id, and is sent twice.
async fn serve_twice(runtime: Shared, mut stream: Box<dyn Stream>) {
    let mut buffer = BytesMut::new();
    loop {
        while let Some(arguments) = command_arguments(&mut buffer) {
            let reply = format!("*3\r\n$16\r\n{}\r\n$-1\r\n$-1\r\n", arguments[2]);
            // Writes fail once the ingress has closed the connection.
            let _ = stream.write_all(reply.as_bytes()).await;
            runtime.sleep_until(runtime.now() + SECOND_REPLY_MICROS).await;
            let _ = stream.write_all(reply.as_bytes()).await;
        }
        if !read_more(&mut stream, &mut buffer).await {
            return;
        }
    }
}

fn start_backend(runtime: Shared) {
    let listener = runtime.listen(backend_address()).unwrap();
    let tasks = runtime.clone();
    let accept = async move {
        while let Ok(stream) = listener.accept().await {
            runtime.spawn(Box::pin(serve_twice(runtime.clone(), stream))).detach();
        }
    };
    tasks.spawn(Box::pin(accept)).detach();
}

/// The configuration of an ingress on host 1, whose discovery is never reached.
fn ingress_config() -> Config {
    let text = config(1, 1, &[BACKEND_PORT])
        .replace(&format!("127.0.0.1:{BACKEND_PORT}"), &backend_address().to_string())
        .replace("127.0.0.1:0", &SocketAddr::new(address(1), 0).to_string());
    Config::parse("test", text.as_bytes()).unwrap()
}

/// Sends a query and returns the value of its reply.
async fn value_of_query(stream: &mut Box<dyn Stream>, buffer: &mut BytesMut, id: u64) -> String {
    stream.write_all(&query(id)).await.unwrap();
    loop {
        match decode_reply(buffer, &LIMITS).unwrap() {
            Some(Value::Bulk(Some(value))) => return String::from_utf8(value.to_vec()).unwrap(),
            Some(other) => panic!("no value: {other:?}"),
            None => assert!(read_more(stream, buffer).await, "the connection ended"),
        }
    }
}

/// A second reply some milliseconds after the first one belongs to no request. It must not be served as the reply to the next one.
#[test]
fn a_late_second_reply_is_never_served() {
    let simulation = Simulation::new(1, START);
    let (backend_host, _backend_guard) = simulation.host(0, 0);
    let (ingress_host, _ingress_guard) = simulation.host(1, 0);
    let (client_host, _client_guard) = simulation.host(2, 0);
    let completed = simulation.run(async move {
        start_backend(backend_host);
        let ingress = Ingress::start(ingress_config(), ingress_host).await.unwrap();
        let mut stream = client_host.connect(ingress.address()).await.unwrap();
        let mut buffer = BytesMut::new();
        for id in 1..400u64 {
            let value = value_of_query(&mut stream, &mut buffer, id).await;
            assert_eq!(value, format!("{id:016x}"));
            client_host.sleep_until(client_host.now() + id % 40 * 1000).await;
        }
    });
    assert!(completed.is_some(), "the simulation did not complete");
}
