//! Where node lists come from, and where the last one is kept.

use crate::messages::DriverEvent;
use crate::nodes::{Node, NodeList, State};
use crate::telemetry::{add, Telemetry};
use async_channel::{Receiver, Sender};
use chalkgap_runtime::{Micros, Shared};
use chalkgap_transport::{Pipe, Turn};
use chalkgap_wire::grpc::{self, Deframer, Status};
use chalkgap_wire::http2::{Config, Connection, Event, Field};
use chalkgap_wire::roster;
use futures_lite::future;
use prost::Message;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Bytes of a list: some ten thousand nodes.
const MOST_LIST: u64 = 16 << 20;

/// The list that was kept; none where there is none, or it cannot be read.
pub(crate) async fn cached(runtime: &Shared, path: &Path) -> Option<NodeList> {
    let bytes = match runtime.files().read(path, MOST_LIST).await {
        Ok(bytes) => bytes,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return None,
        Err(e) => {
            tracing::warn!(path = %path.display(), error = %e, "kept node list not read, starting without");
            return None;
        }
    };
    match NodeList::parse(&bytes) {
        Ok(list) => Some(list),
        Err(e) => {
            tracing::warn!(path = %path.display(), error = %e, "kept node list is broken, starting without");
            None
        }
    }
}

/// Keeps lists: the newest of those that come while one is written.
pub(crate) async fn keep(runtime: Shared, path: PathBuf, lists: async_channel::Receiver<NodeList>) {
    while let Ok(mut list) = lists.recv().await {
        while let Ok(newer) = lists.try_recv() {
            list = newer;
        }
        let Ok(bytes) = serde_json::to_vec(&list) else { continue }; // plain data: it always has a form
        if let Err(e) = runtime.files().replace(&path, bytes).await {
            tracing::warn!(path = %path.display(), error = %e, "node list not kept");
        }
    }
}

/// Looks at a file again and again and tells each change of it.
pub(crate) async fn watch_file(
    runtime: Shared,
    telemetry: Arc<Telemetry>,
    path: PathBuf,
    every: Micros,
    driver: Sender<DriverEvent>,
) {
    let (mut seen, mut said) = (None, String::new());
    loop {
        let found = async {
            let stamp = runtime.files().stamp(&path).await.map_err(|e| e.to_string())?;
            if seen == Some(stamp) {
                return Ok(None);
            }
            let bytes = runtime.files().read(&path, MOST_LIST).await.map_err(|e| e.to_string())?;
            // Read again next time if it changed under the reader: a torn list does not parse, or is replaced.
            let list = NodeList::parse(&bytes).map_err(|e| e.to_string());
            seen = Some(stamp);
            list.map(Some)
        };
        match found.await {
            Ok(Some(list)) => {
                said.clear();
                if driver.send(DriverEvent::NodeList { list: Box::new(list), cached: false }).await.is_err() {
                    return;
                }
            }
            Ok(None) => {}
            Err(e) if e != said => {
                add(&telemetry.lists_bad);
                tracing::warn!(path = %path.display(), error = %e, "node list not read, the last one stays");
                said = e;
            }
            Err(_) => {}
        }
        runtime.sleep_until(runtime.now() + every).await;
    }
}

/// The least and the longest pause before a roster is called again; it doubles between them.
const AGAIN: (Micros, Micros) = (50_000, 5_000_000);

/// Keeps a call to a roster open and tells each list that comes.
pub(crate) async fn watch_roster(
    runtime: Shared,
    telemetry: Arc<Telemetry>,
    ingress: u16,
    address: SocketAddr,
    driver: Sender<DriverEvent>,
    alive: Receiver<()>,
) {
    let (mut pause, mut revision, mut told) = (AGAIN.0, 0, false);
    loop {
        let before = revision;
        let why = follow(&runtime, ingress, address, &driver, &alive, &mut revision).await;
        if driver.is_closed() {
            return;
        }
        if revision != before {
            (pause, told) = (AGAIN.0, false);
        }
        add(&telemetry.lists_bad);
        if !std::mem::replace(&mut told, true) {
            // Once for each time that it is lost: the calls that fail after it say nothing new.
            tracing::warn!(roster = %address, error = why, revision, "no news of nodes, the last list stays");
        }
        // Between half and the whole of it by lot: ingresses that lost it together do not come back together.
        let lot = runtime.random() % (pause / 2);
        runtime.sleep_until(runtime.now() + pause / 2 + lot).await;
        pause = (pause * 2).min(AGAIN.1);
    }
}

/// Follows a roster until the call ends; says why it did.
async fn follow(
    runtime: &Shared,
    ingress: u16,
    address: SocketAddr,
    driver: &Sender<DriverEvent>,
    alive: &Receiver<()>,
    revision: &mut u64,
) -> String {
    let patience = runtime.now() + AGAIN.1;
    let late = async {
        runtime.sleep_until(patience).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let stream = match future::or(runtime.connect(address), late).await {
        Ok(stream) => stream,
        Err(e) => return e.to_string(),
    };
    let (_commands, none) = async_channel::bounded::<()>(1);
    let config = Config { max_streams: 0, ..Config::default() };
    let mut pipe = Pipe::new(runtime.clone(), stream, Connection::client(config), none, alive.clone());
    let (mut call, mut body) = (None, Deframer::new(MOST_LIST as usize));
    // A roster that falls silent is asked whether it is there, and left if it does not say so.
    let (mut heard, mut asked) = (runtime.now(), false);
    loop {
        match pipe.turn(Some(heard + AGAIN.1), true).await {
            Turn::Read => (heard, asked) = (runtime.now(), false),
            Turn::Time if asked || !pipe.conn.greeted() => return "it says nothing".into(),
            Turn::Time => {
                pipe.conn.ping();
                (heard, asked) = (runtime.now(), true);
            }
            Turn::Bad(e) => return e.to_string(),
            Turn::Closed | Turn::Signal => return "the connection is closed".into(),
            Turn::Command(()) => {}
        }
        while let Some(event) = pipe.conn.event() {
            match event {
                Event::Data { stream, data, end } if call == Some(stream) => {
                    pipe.conn.consumed(stream, data.len());
                    body.push(&data);
                    loop {
                        let list = match body.message() {
                            Ok(Some(m)) => roster::List::decode(m).map_err(|e| e.to_string()).and_then(read),
                            Ok(None) => break,
                            Err(e) => Err(e.to_string()),
                        };
                        match list {
                            Ok(list) => {
                                *revision = list.revision;
                                let input = DriverEvent::NodeList { list: Box::new(list), cached: false };
                                if driver.send(input).await.is_err() {
                                    return "stopped".into();
                                }
                            }
                            Err(e) => return e,
                        }
                    }
                    if end {
                        return "it ended the call".into();
                    }
                }
                Event::Headers { end: true, fields, .. } => return Status::from_fields(&fields).to_string(),
                Event::Reset { code, .. } | Event::GoAway(code) => return format!("it gave up: {code}"),
                _ => {}
            }
        }
        if call.is_none() && pipe.conn.greeted() && pipe.conn.can_open().is_ok() {
            let fields = [
                Field::constant(":method", "POST"),
                Field::constant(":scheme", "http"),
                Field::constant(":path", roster::WATCH),
                Field::new(":authority", address.to_string()),
                Field::constant("content-type", "application/grpc"),
                Field::constant("te", "trailers"),
            ];
            if let Ok(stream) = pipe.conn.open(&fields, false) {
                let request = roster::WatchRequest { ingress: ingress.into(), revision: *revision };
                let _ = pipe.conn.data(stream, grpc::frame(&request), true); // the stream is new
                call = Some(stream);
            }
        }
    }
}

fn read(list: roster::List) -> Result<NodeList, String> {
    let node = |(n, l): (usize, roster::Node)| {
        let address = l.address.parse().map_err(|_| {
            format!("nodes[{n}].address: expected an address and a port, found {:?}", l.address)
        })?;
        let state = match l.state {
            0 => State::Ready,
            1 => State::Draining,
            2 => State::Gone,
            other => return Err(format!("nodes[{n}].state: expected 0 to 2, found {other}")),
        };
        let roster::Node { zone, cell, kind, size, started_ms, .. } = l;
        Ok(Node { address, zone, cell, kind, state, size, started_ms })
    };
    let nodes = list.nodes.into_iter().enumerate().map(node).collect::<Result<_, _>>()?;
    Ok(NodeList { revision: list.revision, nodes })
}
