//! A stand-in roster: it pushes node lists to the ingresses that watch it, late if so told.

use crate::journal::{Journal, Seen};
use async_channel::{Receiver, Sender};
use chalkgap_runtime::{Listener, Micros, Shared, Stream};
use chalkgap_transport::{while_alive, Pipe, Turn};
use chalkgap_wire::grpc::{self, Deframer};
use chalkgap_wire::http2::{Config, Connection, Event, Field};
use chalkgap_wire::roster::{List, Node, WatchRequest};
use prost::Message;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

#[derive(Default)]
struct State {
    list: List,
    /// Where each ingress is told that a node is; as listed where it is not in there.
    told_as: Arc<HashMap<(u16, String), String>>,
    /// When the list may be told, and to whom it goes.
    watchers: Vec<Sender<List>>,
}

impl State {
    fn as_told(&self, list: &List, ingress: u16) -> List {
        let mut list = list.clone();
        for node in &mut list.nodes {
            if let Some(at) = self.told_as.get(&(ingress, node.address.clone())) {
                node.address.clone_from(at);
            }
        }
        list
    }
}

/// A roster that runs. Dropped, it is gone.
pub struct Roster {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    _kill: Sender<()>,
}

impl Roster {
    /// Starts a roster with an empty list; what it tells is noted in the journal.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn start(runtime: Shared, at: SocketAddr, journal: Journal) -> io::Result<Roster> {
        let listener = runtime.listen(at)?;
        let (kill, killed) = async_channel::bounded::<()>(1);
        let state = Arc::new(Mutex::new(State::default()));
        let address = listener.address();
        let task = listen(runtime.clone(), listener, state.clone(), journal, killed.clone());
        runtime.spawn(Box::pin(while_alive(killed, task))).detach();
        Ok(Roster { address, state, _kill: kill })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tells ingresses of nodes at other addresses than their own, by ingress and listed address: the beginnings of ways
    /// that somebody made. The journal has the nodes' own.
    pub fn told_as(&self, addresses: Arc<HashMap<(u16, String), String>>) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).told_as = addresses;
    }

    /// Puts a list in place of the last one and pushes it.
    pub fn set(&self, nodes: Vec<Node>) {
        let mut s = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        s.list.revision += 1;
        s.list.nodes = nodes;
        let list = s.list.clone();
        // A watcher that reads nothing is told the next time it asks.
        s.watchers.retain(|w| w.try_send(list.clone()).is_ok());
    }
}

async fn listen(
    runtime: Shared,
    listener: Box<dyn Listener>,
    state: Arc<Mutex<State>>,
    journal: Journal,
    killed: Receiver<()>,
) {
    loop {
        let Ok(stream) = listener.accept().await else {
            runtime.sleep_until(runtime.now() + 10_000).await;
            continue;
        };
        let task = serve(runtime.clone(), stream, state.clone(), journal.clone(), killed.clone());
        runtime.spawn(Box::pin(while_alive(killed.clone(), task))).detach();
    }
}

async fn serve(
    runtime: Shared,
    stream: Box<dyn Stream>,
    state: Arc<Mutex<State>>,
    journal: Journal,
    killed: Receiver<()>,
) {
    let (watcher, lists) = async_channel::bounded(100);
    let conn = Connection::server(Config::default());
    let mut pipe = Pipe::new(runtime.clone(), stream, conn, lists, killed);
    let mut watching: BTreeMap<u32, u16> = BTreeMap::new();
    let mut bodies: BTreeMap<u32, Deframer> = BTreeMap::new();
    loop {
        match pipe.turn(None, true).await {
            Turn::Command(list) => {
                for (stream, ingress) in &watching {
                    // Noted before it goes out: an ingress may know from now on, and has to a while later.
                    tell(&journal, runtime.now(), *ingress, &list);
                    let list = state.lock().unwrap_or_else(PoisonError::into_inner).as_told(&list, *ingress);
                    if pipe.conn.data(*stream, grpc::frame(&list), false).is_err() {
                        return;
                    }
                }
            }
            Turn::Read | Turn::Time => {}
            Turn::Signal | Turn::Bad(_) | Turn::Closed => return,
        }
        while let Some(event) = pipe.conn.event() {
            match event {
                Event::Headers { stream, end: false, .. } => {
                    bodies.insert(stream, Deframer::new(1000));
                }
                Event::Data { stream, data, .. } => {
                    pipe.conn.consumed(stream, data.len());
                    let Some(body) = bodies.get_mut(&stream) else { continue };
                    body.push(&data);
                    let asked = body.message().ok().flatten().and_then(|m| WatchRequest::decode(m).ok());
                    let Some(asked) = asked else { continue };
                    bodies.remove(&stream);
                    let head = vec![
                        Field::constant(":status", "200"),
                        Field::constant("content-type", "application/grpc"),
                    ];
                    let mut s = state.lock().unwrap_or_else(PoisonError::into_inner);
                    let ingress = asked.ingress as u16;
                    tell(&journal, runtime.now(), ingress, &s.list);
                    let list = s.as_told(&s.list, ingress);
                    let sent = pipe.conn.headers(stream, head, false);
                    let _ = sent.and_then(|()| pipe.conn.data(stream, grpc::frame(&list), false));
                    watching.insert(stream, ingress);
                    s.watchers.push(watcher.clone());
                }
                Event::Reset { stream, .. } => {
                    watching.remove(&stream);
                }
                _ => {}
            }
        }
    }
}

fn tell(journal: &Journal, now: Micros, ingress: u16, list: &List) {
    for n in &list.nodes {
        if let Ok(node) = n.address.parse() {
            journal.note(now, Seen::Told { ingress, node, ready: n.state == 0 });
        }
    }
}
