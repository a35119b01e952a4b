//! Interoperability with other implementations: clients of tonic and of the h2 crate, and a node on the h2 crate's server.

mod common;

use bytes::Bytes;
use chalkgap::node_list::NodeList;
use chalkgap::runtime::system::System;
use chalkgap::settings::Settings;
use chalkgap::Instance;
use chalkgap_testbed::client::Client;
use chalkgap_testbed::journal::{Answer, Journal};
use chalkgap_testbed::node::{Machine, Node};
use chalkgap_wire::intake::{Done, Work};
use chalkgap_wire::ratelimit::{Descriptor, Entry, RateLimitRequest, RateLimitResponse, Verdict};
use common::{client_request, listed_node_at, node_list, settings};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

const PATH: &str = "/envoy.service.ratelimit.v3.RateLimitService/ShouldRateLimit";

fn rate_limit_request(account: &str) -> RateLimitRequest {
    let entry = |key: &str, value: &str| Entry { key: key.into(), value: value.into() };
    let entries = vec![entry("account", account), entry("class", "sig-check"), entry("call", "1")];
    let descriptors = vec![Descriptor { entries, hits_addend: None }];
    RateLimitRequest { domain: "any".into(), descriptors, hits_addend: 1 }
}

struct Fixture {
    system: Arc<System>,
    ingress: Instance,
    _node: Node,
}

/// Starts an ingress and a node on one background thread.
fn start_fixture(settings: Settings) -> Fixture {
    let system = System::new();
    system.threads(1);
    let node =
        Node::start(system.clone(), ([127, 0, 0, 1], 0).into(), Machine::default(), Journal::default());
    let node = node.unwrap();
    let ingress = futures_lite::future::block_on(async {
        let ingress = Instance::start(settings, system.clone()).await.unwrap();
        ingress.set_node_list(node_list(&[&node])).await;
        ingress
    });
    Fixture { system, ingress, _node: node }
}

/// Runs a future on a new tokio runtime.
fn run_tokio<T>(main: impl std::future::Future<Output = T>) -> T {
    tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap().block_on(main)
}

#[test]
fn tonic_client() {
    let fixture = start_fixture(settings());
    run_tokio(async {
        let url = format!("http://{}", fixture.ingress.grpc_address());
        let channel = tonic::transport::Endpoint::new(url).unwrap().connect().await.unwrap();
        let mut client = tonic::client::Grpc::new(channel);
        let mut call = async |account: &str, timeout: &str| {
            client.ready().await.unwrap();
            let codec = tonic_prost::ProstCodec::<RateLimitRequest, RateLimitResponse>::default();
            let mut request = tonic::Request::new(rate_limit_request(account));
            if !timeout.is_empty() {
                request.metadata_mut().insert("grpc-timeout", timeout.parse().unwrap());
            }
            client.unary(request, PATH.parse().unwrap(), codec).await.map(tonic::Response::into_inner)
        };
        let served = call("big", "2S").await.unwrap();
        assert_eq!((served.overall_code, &served.raw_body[..]), (Verdict::Ok as i32, &b"done 1"[..]));
        let mut last = None;
        for _ in 0..8 {
            last = Some(call("small", "").await.unwrap());
        }
        let last = last.unwrap();
        assert_eq!(last.overall_code, Verdict::OverLimit as i32);
        assert!(last.statuses[0].duration_until_reset.is_some());
        let status = call("nobody", "").await.unwrap_err();
        assert_eq!(
            (status.code(), status.message()),
            (tonic::Code::PermissionDenied, "account \"nobody\" is not known")
        );
        // tonic adds a valid `grpc-timeout` of its own; the one that the test inserts is invalid.
        let status = call("big", "soon").await.unwrap_err();
        assert_eq!(status.code(), tonic::Code::InvalidArgument);
        assert!(status.message().starts_with("grpc-timeout: expected"));
    });
}

#[test]
fn h2_client_with_concurrent_requests_and_a_drain() {
    let mut fixture = start_fixture(settings());
    let address = fixture.ingress.grpc_address();
    let (done_sender, done) = std::sync::mpsc::channel();
    let client_thread = std::thread::spawn(move || {
        run_tokio(async {
            let tcp = tokio::net::TcpStream::connect(address).await.unwrap();
            let (client, connection) = h2::client::handshake(tcp).await.unwrap();
            let connection = tokio::spawn(connection);
            let mut client = client.ready().await.unwrap();
            let message = chalkgap_wire::grpc::frame(&rate_limit_request("big"));
            let mut responses = Vec::new();
            for _ in 0..100 {
                let head = http::Request::post(format!("http://{address}{PATH}"))
                    .header("content-type", "application/grpc")
                    .header("te", "trailers")
                    .body(())
                    .unwrap();
                let (response, mut body) = client.send_request(head, false).unwrap();
                body.send_data(message.clone(), true).unwrap();
                responses.push(response);
                client = client.ready().await.unwrap();
            }
            for response in responses {
                let mut body = response.await.unwrap().into_body();
                let mut bytes = 0;
                while let Some(chunk) = body.data().await {
                    let chunk = chunk.unwrap();
                    bytes += chunk.len();
                    body.flow_control().release_capacity(chunk.len()).unwrap();
                }
                let trailers = body.trailers().await.unwrap().unwrap();
                assert_eq!(trailers["grpc-status"], "0");
                assert!(bytes > 5);
            }
            done_sender.send(()).unwrap();
            // After GOAWAY, with no open streams, the connection ends without an error.
            connection.await.unwrap().unwrap();
        });
    });
    done.recv().unwrap();
    let deadline = chalkgap::runtime::Runtime::now(&*fixture.system) + 5_000_000;
    assert!(futures_lite::future::block_on(fixture.ingress.drain(deadline)));
    client_thread.join().unwrap();
}

/// Starts a node on the h2 crate. `plan` holds its action for the n-th call; later calls are served. The actions are `serve`,
/// `refuse` (REFUSED_STREAM), `503` (this HTTP status), `truncate` (a part of the response, then a reset) and `goaway` (sends
/// GOAWAY and serves the call). Returns its address and the path and the idempotency key of each call.
#[expect(clippy::too_many_lines, reason = "one scenario in its order")]
fn h2_node(plan: &'static [&'static str]) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let calls = Arc::new(Mutex::new(Vec::new()));
    let (address_sender, address) = std::sync::mpsc::channel();
    let log = calls.clone();
    std::thread::spawn(move || {
        run_tokio(async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            address_sender.send(listener.local_addr().unwrap()).unwrap();
            let count = Arc::new(Mutex::new(0));
            while let Ok((tcp, _)) = listener.accept().await {
                let log = log.clone();
                let count = count.clone();
                tokio::spawn(async move {
                    let mut connection = h2::server::handshake(tcp).await.unwrap();
                    while let Some(Ok((request, mut respond))) = connection.accept().await {
                        let call_index = {
                            let mut count = count.lock().unwrap();
                            *count += 1;
                            *count - 1
                        };
                        let (head, mut body) = request.into_parts();
                        let field = |name: &str| {
                            head.headers.get(name).map(|v| v.to_str().unwrap().to_owned()).unwrap_or_default()
                        };
                        let action = plan.get(call_index).copied().unwrap_or("serve");
                        log.lock().unwrap().push(format!("{} {}", head.uri.path(), field("idempotency-key")));
                        if action == "refuse" {
                            respond.send_reset(h2::Reason::REFUSED_STREAM);
                            continue;
                        }
                        if action == "goaway" {
                            connection.graceful_shutdown();
                        }
                        tokio::spawn(async move {
                            let mut bytes = Vec::new();
                            while let Some(Ok(chunk)) = body.data().await {
                                body.flow_control().release_capacity(chunk.len()).unwrap();
                                bytes.extend_from_slice(&chunk);
                            }
                            let work: Work = prost::Message::decode(&bytes[5..]).unwrap();
                            let response = http::Response::builder()
                                .status(if action == "503" { 503 } else { 200 })
                                .header("content-type", "application/grpc")
                                .body(())
                                .unwrap();
                            let mut body_sender = respond.send_response(response, action == "503").unwrap();
                            if action == "503" {
                                return;
                            }
                            let done = Done { body: Bytes::from(work.account), ..Done::default() };
                            let message = chalkgap_wire::grpc::frame(&done);
                            if action == "truncate" {
                                body_sender.send_data(message.slice(..3), false).unwrap();
                                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
                                return body_sender.send_reset(h2::Reason::INTERNAL_ERROR);
                            }
                            body_sender.send_data(message, false).unwrap();
                            let mut trailers = http::HeaderMap::new();
                            trailers.insert("grpc-status", "0".parse().unwrap());
                            trailers.insert(
                                "endpoint-load-metrics",
                                "TEXT named_metrics.queue=1".parse().unwrap(),
                            );
                            body_sender.send_trailers(trailers).unwrap();
                        });
                    }
                });
            }
        });
    });
    (address.recv().unwrap(), calls)
}

/// Starts an ingress whose only node is `node`, and connects a client.
async fn start_with_node(system: &Arc<System>, node: SocketAddr) -> (Instance, Client) {
    let ingress = Instance::start(settings(), system.clone()).await.unwrap();
    ingress.set_node_list(NodeList { revision: 1, nodes: vec![listed_node_at(node)] }).await;
    let client =
        Client::connect(system.clone(), ingress.grpc_address(), 0, Journal::default()).await.unwrap();
    (ingress, client)
}

#[test]
fn h2_server_as_a_node() {
    let (node, calls) = h2_node(&["serve", "refuse", "serve", "503", "goaway", "serve"]);
    common::run(|system| async move {
        let (_ingress, client) = start_with_node(&system, node).await;
        let mut keyed = client_request(1, "big", "report-upload");
        keyed.key = Some("k".into());
        let result = client.call(&keyed).await;
        assert_eq!(result.answer, Answer::Served, "{}", result.message);
        assert_eq!(&result.response.unwrap().raw_body[..], b"big");
        // REFUSED_STREAM proves that the request did not run (RFC 9113, section 8.7): even an unsafe one is retried.
        let result = client.call(&client_request(2, "big", "referral")).await;
        assert_eq!(result.answer, Answer::Served, "{}", result.message);
        assert_eq!(calls.lock().unwrap().len(), 3);
        // After any other error the request may have run: an unsafe one is not retried.
        let result = client.call(&client_request(3, "big", "referral")).await;
        assert_eq!(result.answer, Answer::Failed { code: 14 });
        // GOAWAY that includes the call's stream: the call is answered, and the next one uses a new connection.
        for n in 4..6 {
            assert_eq!(client.call(&client_request(n, "big", "referral")).await.answer, Answer::Served);
        }
        let calls = calls.lock().unwrap().clone();
        assert!(
            calls[0].starts_with("/chalkgap.intake.v1.Intake/report-upload ") && calls[0].len() > 60,
            "{calls:?}"
        );
        assert_eq!(calls[1], "/chalkgap.intake.v1.Intake/referral ");
    });
}

/// A node with a flow-control window of 0 receives a call's headers and never its body. The call fails at its deadline.
#[test]
fn calls_to_a_node_with_a_zero_window_fail_at_their_deadline() {
    let (address_sender, address) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        run_tokio(async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            address_sender.send(listener.local_addr().unwrap()).unwrap();
            let (tcp, _) = listener.accept().await.unwrap();
            let mut server = h2::server::Builder::new();
            let mut connection: h2::server::Connection<_, Bytes> =
                server.initial_window_size(0).handshake(tcp).await.unwrap();
            let mut open_calls = Vec::new();
            while let Some(Ok(call)) = connection.accept().await {
                open_calls.push(call);
            }
        });
    });
    let node = address.recv().unwrap();
    common::run(|system| async move {
        let (_ingress, client) = start_with_node(&system, node).await;
        let request =
            chalkgap_testbed::client::Request { timeout: 300_000, ..client_request(1, "big", "referral") };
        assert_eq!(client.call(&request).await.answer, Answer::Failed { code: 4 });
    });
}

/// If a node resets the stream after a part of the response, a keyed request is retried with the same key.
#[test]
fn a_keyed_request_is_retried_after_a_truncated_response() {
    let (node, calls) = h2_node(&["truncate", "serve"]);
    common::run(|system| async move {
        let (_ingress, client) = start_with_node(&system, node).await;
        let result = client.call(&client_request(1, "big", "report-upload")).await;
        assert_eq!(result.answer, Answer::Served, "{}", result.message);
        let calls = calls.lock().unwrap().clone();
        assert_eq!(calls.len(), 2);
        assert_eq!(calls[0], calls[1], "the same class and key");
    });
}
