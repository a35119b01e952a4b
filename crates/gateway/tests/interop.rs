//! Peers that others wrote: tonic's client and the h2 crate's client against our front, an h2 server as a node.

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
use common::{ask, line_at, list, settings};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

const PATH: &str = "/envoy.service.ratelimit.v3.RateLimitService/ShouldRateLimit";

fn request(account: &str) -> RateLimitRequest {
    let entry = |key: &str, value: &str| Entry { key: key.into(), value: value.into() };
    let entries = vec![entry("account", account), entry("class", "sig-check"), entry("call", "1")];
    let descriptors = vec![Descriptor { entries, hits_addend: None }];
    RateLimitRequest { domain: "any".into(), descriptors, hits_addend: 1 }
}

struct Fleet {
    system: Arc<System>,
    ingress: Instance,
    _node: Node,
}

/// An ingress and a node on a thread of their own.
fn fleet(settings: Settings) -> Fleet {
    let system = System::new();
    system.threads(1);
    let node =
        Node::start(system.clone(), ([127, 0, 0, 1], 0).into(), Machine::default(), Journal::default());
    let node = node.unwrap();
    let ingress = futures_lite::future::block_on(async {
        let ingress = Instance::start(settings, system.clone()).await.unwrap();
        ingress.set_node_list(list(&[&node])).await;
        ingress
    });
    Fleet { system, ingress, _node: node }
}

fn tokio<T>(main: impl std::future::Future<Output = T>) -> T {
    tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap().block_on(main)
}

#[test]
fn tonic_client() {
    let f = fleet(settings());
    tokio(async {
        let to = format!("http://{}", f.ingress.grpc_address());
        let channel = tonic::transport::Endpoint::new(to).unwrap().connect().await.unwrap();
        let mut client = tonic::client::Grpc::new(channel);
        let mut call = async |account: &str, timeout: &str| {
            client.ready().await.unwrap();
            let codec = tonic_prost::ProstCodec::<RateLimitRequest, RateLimitResponse>::default();
            let mut request = tonic::Request::new(request(account));
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
        // The field comes twice, one of them ours: what tonic sends itself is good, this one is not.
        let status = call("big", "soon").await.unwrap_err();
        assert_eq!(status.code(), tonic::Code::InvalidArgument);
        assert!(status.message().starts_with("grpc-timeout: expected"));
    });
}

#[test]
fn h2_client_many_at_once_and_drained() {
    let mut f = fleet(settings());
    let to = f.ingress.grpc_address();
    let (drained, begun) = std::sync::mpsc::channel();
    let asker = std::thread::spawn(move || {
        tokio(async {
            let tcp = tokio::net::TcpStream::connect(to).await.unwrap();
            let (client, connection) = h2::client::handshake(tcp).await.unwrap();
            let connection = tokio::spawn(connection);
            let mut client = client.ready().await.unwrap();
            let message = chalkgap_wire::grpc::frame(&request("big"));
            let mut answers = Vec::new();
            for _ in 0..100 {
                let head = http::Request::post(format!("http://{to}{PATH}"))
                    .header("content-type", "application/grpc")
                    .header("te", "trailers")
                    .body(())
                    .unwrap();
                let (answer, mut body) = client.send_request(head, false).unwrap();
                body.send_data(message.clone(), true).unwrap();
                answers.push(answer);
                client = client.ready().await.unwrap();
            }
            for answer in answers {
                let mut body = answer.await.unwrap().into_body();
                let mut bytes = 0;
                while let Some(part) = body.data().await {
                    let part = part.unwrap();
                    bytes += part.len();
                    body.flow_control().release_capacity(part.len()).unwrap();
                }
                let trailers = body.trailers().await.unwrap().unwrap();
                assert_eq!(trailers["grpc-status"], "0");
                assert!(bytes > 5);
            }
            drained.send(()).unwrap();
            // Told to go away, with nothing open, the connection ends without an error.
            connection.await.unwrap().unwrap();
        });
    });
    begun.recv().unwrap();
    let until = chalkgap::runtime::Runtime::now(&*f.system) + 5_000_000;
    assert!(futures_lite::future::block_on(f.ingress.drain(until)));
    asker.join().unwrap();
}

/// A node on the h2 crate: what it does with each call is told by number.
#[expect(clippy::too_many_lines, reason = "one scenario in its order")]
fn h2_node(plan: &'static [&'static str]) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let seen = Arc::new(Mutex::new(Vec::new()));
    let (sender, receiver) = std::sync::mpsc::channel();
    let log = seen.clone();
    std::thread::spawn(move || {
        tokio(async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            sender.send(listener.local_addr().unwrap()).unwrap();
            let count = Arc::new(Mutex::new(0));
            while let Ok((tcp, _)) = listener.accept().await {
                let (log, count) = (log.clone(), count.clone());
                tokio::spawn(async move {
                    let mut connection = h2::server::handshake(tcp).await.unwrap();
                    while let Some(Ok((request, mut respond))) = connection.accept().await {
                        let n = {
                            let mut count = count.lock().unwrap();
                            *count += 1;
                            *count - 1
                        };
                        let (head, mut body) = request.into_parts();
                        let field = |name: &str| {
                            head.headers.get(name).map(|v| v.to_str().unwrap().to_owned()).unwrap_or_default()
                        };
                        let what = plan.get(n).copied().unwrap_or("serve");
                        log.lock().unwrap().push(format!("{} {}", head.uri.path(), field("idempotency-key")));
                        if what == "refuse" {
                            respond.send_reset(h2::Reason::REFUSED_STREAM);
                            continue;
                        }
                        if what == "goaway" {
                            connection.graceful_shutdown();
                        }
                        tokio::spawn(async move {
                            let mut bytes = Vec::new();
                            while let Some(Ok(part)) = body.data().await {
                                body.flow_control().release_capacity(part.len()).unwrap();
                                bytes.extend_from_slice(&part);
                            }
                            let work: Work = prost::Message::decode(&bytes[5..]).unwrap();
                            let answer = http::Response::builder()
                                .status(if what == "503" { 503 } else { 200 })
                                .header("content-type", "application/grpc")
                                .body(())
                                .unwrap();
                            let mut out = respond.send_response(answer, what == "503").unwrap();
                            if what == "503" {
                                return;
                            }
                            let done = Done { body: Bytes::from(work.account), ..Done::default() };
                            let message = chalkgap_wire::grpc::frame(&done);
                            if what == "half" {
                                out.send_data(message.slice(..3), false).unwrap();
                                tokio::time::sleep(std::time::Duration::from_millis(5)).await;
                                return out.send_reset(h2::Reason::INTERNAL_ERROR);
                            }
                            out.send_data(message, false).unwrap();
                            let mut trailers = http::HeaderMap::new();
                            trailers.insert("grpc-status", "0".parse().unwrap());
                            trailers.insert(
                                "endpoint-load-metrics",
                                "TEXT named_metrics.queue=1".parse().unwrap(),
                            );
                            out.send_trailers(trailers).unwrap();
                        });
                    }
                });
            }
        });
    });
    (receiver.recv().unwrap(), seen)
}

async fn with_node(system: &Arc<System>, node: SocketAddr) -> (Instance, Client) {
    let ingress = Instance::start(settings(), system.clone()).await.unwrap();
    ingress.set_node_list(NodeList { revision: 1, nodes: vec![line_at(node)] }).await;
    let client =
        Client::connect(system.clone(), ingress.grpc_address(), 0, Journal::default()).await.unwrap();
    (ingress, client)
}

#[test]
fn h2_server_as_a_node() {
    let (node, seen) = h2_node(&["serve", "refuse", "serve", "503", "goaway", "serve"]);
    common::run(|system| async move {
        let (_ingress, client) = with_node(&system, node).await;
        let mut keyed = ask(1, "big", "report-upload");
        keyed.key = Some("k".into());
        let end = client.call(&keyed).await;
        assert_eq!(end.answer, Answer::Served, "{}", end.message);
        assert_eq!(&end.response.unwrap().raw_body[..], b"big");
        // REFUSED_STREAM proves that it never ran: even an unsafe request goes out again.
        let end = client.call(&ask(2, "big", "referral")).await;
        assert_eq!(end.answer, Answer::Served, "{}", end.message);
        assert_eq!(seen.lock().unwrap().len(), 3);
        // Any other error may have run.
        let end = client.call(&ask(3, "big", "referral")).await;
        assert_eq!(end.answer, Answer::Failed { code: 14 });
        // GOAWAY that covers the call: it is answered, and the next call has a new connection.
        for n in 4..6 {
            assert_eq!(client.call(&ask(n, "big", "referral")).await.answer, Answer::Served);
        }
        let seen = seen.lock().unwrap().clone();
        assert!(
            seen[0].starts_with("/chalkgap.intake.v1.Intake/report-upload ") && seen[0].len() > 60,
            "{seen:?}"
        );
        assert_eq!(seen[1], "/chalkgap.intake.v1.Intake/referral ");
    });
}

/// A node whose window never opens takes the call's head and none of its body: it ends by its time, as a failure.
#[test]
fn a_window_that_never_opens() {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        tokio(async {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            sender.send(listener.local_addr().unwrap()).unwrap();
            let (tcp, _) = listener.accept().await.unwrap();
            let mut server = h2::server::Builder::new();
            let mut connection: h2::server::Connection<_, Bytes> =
                server.initial_window_size(0).handshake(tcp).await.unwrap();
            let mut held = Vec::new();
            while let Some(Ok(call)) = connection.accept().await {
                held.push(call);
            }
        });
    });
    let node = receiver.recv().unwrap();
    common::run(|system| async move {
        let (_ingress, client) = with_node(&system, node).await;
        let asked = chalkgap_testbed::client::Request { timeout: 300_000, ..ask(1, "big", "referral") };
        assert_eq!(client.call(&asked).await.answer, Answer::Failed { code: 4 });
    });
}

/// A node that breaks off halfway through an answer: a keyed request goes out again, with the same key.
#[test]
fn halfway_through_a_report_upload() {
    let (node, seen) = h2_node(&["half", "serve"]);
    common::run(|system| async move {
        let (_ingress, client) = with_node(&system, node).await;
        let end = client.call(&ask(1, "big", "report-upload")).await;
        assert_eq!(end.answer, Answer::Served, "{}", end.message);
        let seen = seen.lock().unwrap().clone();
        assert_eq!(seen.len(), 2);
        assert_eq!(seen[0], seen[1], "the same class and key");
    });
}
