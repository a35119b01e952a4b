//! An ingress that breaks one rule on purpose, for testing the auditor: it serves the rate limit service and sends
//! calls on to nodes with no decision at all.

use crate::journal::CALL_ENTRY;
use bytes::Bytes;
use chalkgap_runtime::{Micros, Shared, Stream};
use chalkgap_transport::{Pipe, Turn};
use chalkgap_wire::grpc::{self, Deframer};
use chalkgap_wire::http2::{Config, Connection, Event, Field};
use chalkgap_wire::intake::{self, Work};
use chalkgap_wire::ratelimit::{RateLimitRequest, RateLimitResponse, Verdict};
use futures_lite::future;
use prost::Message;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

/// What it does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Nothing.
    None,
    /// Some calls get a second answer.
    AnswersTwice,
    /// Calls are sent on and never answered.
    Drops,
    /// Calls are answered when their time is over.
    Late,
    /// Each call goes to two nodes.
    SendsTwice,
    /// Calls are sent on and then refused.
    RefusesWhatRan,
    /// Each call goes to the first node forty times.
    Floods,
    /// It says that it served what it never sent.
    Invents,
}

/// Starts a rogue ingress; gives its address. It runs for as long as the runtime does.
///
/// # Errors
/// No address can be bound.
pub fn start(runtime: Shared, nodes: Vec<SocketAddr>, defect: Defect) -> io::Result<SocketAddr> {
    let listener = runtime.listen(([127, 0, 0, 1], 0).into())?;
    let address = listener.address();
    let world = runtime.clone();
    let task = async move {
        while let Ok(stream) = listener.accept().await {
            let served = serve(world.clone(), stream, nodes.clone(), defect);
            world.spawn(Box::pin(served)).detach();
        }
    };
    runtime.spawn(Box::pin(task)).detach();
    Ok(address)
}

async fn serve(runtime: Shared, stream: Box<dyn Stream>, nodes: Vec<SocketAddr>, defect: Defect) {
    let (over, ends) = async_channel::bounded::<(u32, Verdict)>(100);
    let (_keep, signal) = async_channel::bounded(1);
    let mut pipe = Pipe::new(runtime.clone(), stream, Connection::server(Config::default()), ends, signal);
    let mut bodies: HashMap<u32, (Deframer, Micros)> = HashMap::new();
    loop {
        match pipe.turn(None, true).await {
            Turn::Command((stream, verdict)) => {
                let head = || {
                    vec![
                        Field::constant(":status", "200"),
                        Field::constant("content-type", "application/grpc"),
                    ]
                };
                let response = RateLimitResponse { overall_code: verdict.into(), ..Default::default() };
                let sent = pipe.conn.headers(stream, head(), false);
                let sent = sent.and_then(|()| pipe.conn.data(stream, grpc::frame(&response), false));
                let trailers = vec![Field::constant("grpc-status", "0")];
                let _ = sent.and_then(|()| pipe.conn.headers(stream, trailers, true));
                if defect == Defect::AnswersTwice {
                    // HEADERS with END_STREAM on the same stream again, past the state machine: `:status: 200`.
                    let mut frame = vec![0, 0, 1, 1, 0x5];
                    frame.extend_from_slice(&stream.to_be_bytes());
                    frame.push(0x88);
                    pipe.conn.output().extend_from_slice(&frame);
                }
            }
            Turn::Read | Turn::Time | Turn::Signal => {}
            Turn::Bad(_) | Turn::Closed => return,
        }
        while let Some(event) = pipe.conn.event() {
            match event {
                Event::Headers { stream, fields, .. } => {
                    let timeout = fields.iter().find(|f| f.name == "grpc-timeout");
                    let timeout = timeout.and_then(|f| grpc::parse_timeout(&f.value)).unwrap_or(1_000_000);
                    bodies.insert(stream, (Deframer::new(100_000), runtime.now() + timeout));
                }
                Event::Data { stream, data, .. } => {
                    pipe.conn.consumed(stream, data.len());
                    let Some((body, deadline)) = bodies.get_mut(&stream) else { continue };
                    body.push(&data);
                    let Ok(Some(message)) = body.message() else { continue };
                    let Ok(request) = RateLimitRequest::decode(message) else { continue };
                    let (over, deadline, nodes, world) =
                        (over.clone(), *deadline, nodes.clone(), runtime.clone());
                    runtime
                        .spawn(Box::pin(async move {
                            if let Some(verdict) = forward(&world, &nodes, defect, &request, deadline).await {
                                let _ = over.send((stream, verdict)).await; // the client has left
                            }
                        }))
                        .detach();
                }
                _ => {}
            }
        }
    }
}

async fn forward(
    runtime: &Shared,
    nodes: &[SocketAddr],
    defect: Defect,
    request: &RateLimitRequest,
    deadline: Micros,
) -> Option<Verdict> {
    let entries = request.descriptors.first().map(|d| d.entries.clone()).unwrap_or_default();
    let value =
        |key: &str| entries.iter().find(|e| e.key == key).map(|e| e.value.clone()).unwrap_or_default();
    let (class, call) = (value("class"), value(CALL_ENTRY));
    let own = entries.iter().filter(|e| e.key == CALL_ENTRY).cloned().collect();
    let work =
        Work { account: value("account"), units: request.hits_addend, entries: own, ..Work::default() };
    let name = format!("0-rogue-{call}");
    let times = match defect {
        Defect::Invents => 0,
        Defect::SendsTwice => 2,
        Defect::Floods => 40,
        _ => 1,
    };
    for n in 0..times {
        let node = if defect == Defect::Floods { nodes[0] } else { nodes[n % nodes.len()] };
        let _ = attempt(runtime, node, &class, &work, &name).await; // a node that is gone answers nothing
    }
    match defect {
        Defect::Drops => None,
        Defect::Late => {
            runtime.sleep_until(deadline + 50_000).await;
            Some(Verdict::Ok)
        }
        Defect::RefusesWhatRan => Some(Verdict::OverLimit),
        _ => Some(Verdict::Ok),
    }
}

/// One attempt on a connection of its own; ends with the node's answer.
async fn attempt(runtime: &Shared, node: SocketAddr, class: &str, work: &Work, name: &str) -> io::Result<()> {
    let stream = runtime.connect(node).await?;
    let (_commands, none) = async_channel::bounded::<()>(1);
    let (_keep, signal) = async_channel::bounded(1);
    let conn = Connection::client(Config { max_streams: 0, ..Config::default() });
    let mut pipe = Pipe::new(runtime.clone(), stream, conn, none, signal);
    let fields = [
        Field::constant(":method", "POST"),
        Field::constant(":scheme", "http"),
        Field::new(":path", format!("{}{class}", intake::SERVICE)),
        Field::new(intake::REQUEST, Bytes::from(name.to_owned())),
    ];
    let end = runtime.now() + 1_000_000;
    let served = async {
        let mut sent = false;
        loop {
            if !sent && pipe.conn.greeted() {
                if let Ok(stream) = pipe.conn.open(&fields, false) {
                    let _ = pipe.conn.data(stream, grpc::frame(work), true); // the stream is new
                    sent = true;
                }
            }
            if matches!(pipe.turn(None, true).await, Turn::Closed | Turn::Bad(_)) {
                return;
            }
            while let Some(event) = pipe.conn.event() {
                if matches!(event, Event::Headers { end: true, .. } | Event::Reset { .. }) {
                    return;
                }
            }
        }
    };
    future::or(served, runtime.sleep_until(end)).await;
    Ok(())
}
