//! A fake registry: it pushes endpoint lists to the gateways that watch it.

use crate::journal::{Journal, Seen};
use crate::lock;
use async_channel::{Receiver, Sender};
use chalkgap_runtime::{Listener, Micros, Shared, Stream};
use chalkgap_transport::{while_alive, Pipe, Turn};
use chalkgap_wire::grpc::{self, Deframer};
use chalkgap_wire::http2::{Config, Connection, Event, Field};
use chalkgap_wire::roster::{List, Node, WatchRequest, NODE_READY};
use prost::Message;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

const ACCEPT_BACKOFF_MICROS: Micros = 10_000;
/// Maximum number of lists that wait for a watcher that does not read.
const MAX_PENDING_LISTS: usize = 100;
const MAX_REQUEST_BYTES: usize = 1000;

/// The address to advertise by gateway and listed address, for nodes that a gateway reaches through a relay.
pub type AdvertisedAddresses = HashMap<(u16, String), String>;

#[derive(Default)]
struct State {
    list: List,
    advertised: Arc<AdvertisedAddresses>,
    watchers: Vec<Sender<List>>,
}

impl State {
    /// Returns the list with the addresses that are advertised to a gateway.
    fn with_advertised_addresses(&self, list: &List, gateway: u16) -> List {
        let mut list = list.clone();
        for node in &mut list.nodes {
            if let Some(address) = self.advertised.get(&(gateway, node.address.clone())) {
                node.address.clone_from(address);
            }
        }
        list
    }
}

/// A running registry. Stopped when dropped.
pub struct Registry {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    _kill: Sender<()>,
}

impl Registry {
    /// Starts a registry with an empty list. Notes the lists that it pushes in the journal.
    ///
    /// # Errors
    /// Returns the system's error if the address cannot be bound.
    pub fn start(runtime: Shared, at: SocketAddr, journal: Journal) -> io::Result<Registry> {
        let listener = runtime.listen(at)?;
        let (kill_sender, kill) = async_channel::bounded::<()>(1);
        let state = Arc::new(Mutex::new(State::default()));
        let address = listener.address();
        let server = Server { runtime: runtime.clone(), state: state.clone(), journal, kill: kill.clone() };
        runtime.spawn(Box::pin(while_alive(kill, server.accept(listener)))).detach();
        Ok(Registry { address, state, _kill: kill_sender })
    }

    /// Returns the address that it listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the addresses that nodes are advertised at, such as those of relays between a gateway and the nodes. The
    /// journal contains the nodes' own addresses.
    pub fn advertise(&self, addresses: Arc<AdvertisedAddresses>) {
        lock(&self.state).advertised = addresses;
    }

    /// Replaces the list and pushes it.
    pub fn set(&self, nodes: Vec<Node>) {
        let mut state = lock(&self.state);
        state.list.revision += 1;
        state.list.nodes = nodes;
        let list = state.list.clone();
        // A watcher whose queue is full is removed; it receives the list when it opens a new watch.
        state.watchers.retain(|watcher| watcher.try_send(list.clone()).is_ok());
    }
}

#[derive(Clone)]
struct Server {
    runtime: Shared,
    state: Arc<Mutex<State>>,
    journal: Journal,
    kill: Receiver<()>,
}

impl Server {
    async fn accept(self, listener: Box<dyn Listener>) {
        loop {
            let Ok(stream) = listener.accept().await else {
                self.runtime.sleep_until(self.runtime.now() + ACCEPT_BACKOFF_MICROS).await;
                continue;
            };
            let connection = ServerConnection::new(self.clone(), stream);
            self.runtime.spawn(Box::pin(while_alive(self.kill.clone(), connection.run()))).detach();
        }
    }

    /// Notes a list in the journal. Called before the list is sent, because the gateway may use it as soon as it arrives.
    fn note_list(&self, gateway: u16, list: &List) {
        let now = self.runtime.now();
        for listed in &list.nodes {
            if let Ok(node) = listed.address.parse() {
                self.journal
                    .note(now, Seen::Told { ingress: gateway, node, ready: listed.state == NODE_READY });
            }
        }
    }
}

struct ServerConnection {
    server: Server,
    pipe: Pipe<List>,
    watcher: Sender<List>,
    /// Watch calls whose request message is incomplete, by stream.
    incoming: BTreeMap<u32, Deframer>,
    /// Numbers of the watching gateways, by stream.
    watching: BTreeMap<u32, u16>,
}

impl ServerConnection {
    fn new(server: Server, stream: Box<dyn Stream>) -> Self {
        let (watcher, lists) = async_channel::bounded(MAX_PENDING_LISTS);
        let connection = Connection::server(Config::default());
        let pipe = Pipe::new(server.runtime.clone(), stream, connection, lists, server.kill.clone());
        ServerConnection { server, pipe, watcher, incoming: BTreeMap::new(), watching: BTreeMap::new() }
    }

    async fn run(mut self) {
        loop {
            match self.pipe.turn(None, true).await {
                Turn::Command(list) => {
                    if self.push(&list).is_none() {
                        return;
                    }
                }
                Turn::Read | Turn::Time => {}
                Turn::Signal | Turn::ProtocolError(_) | Turn::Closed => return,
            }
            while let Some(event) = self.pipe.conn.event() {
                self.handle(event);
            }
        }
    }

    /// Sends a list to all watching gateways; returns `None` if a stream does not accept it.
    fn push(&mut self, list: &List) -> Option<()> {
        for (stream, gateway) in &self.watching {
            self.server.note_list(*gateway, list);
            let list = lock(&self.server.state).with_advertised_addresses(list, *gateway);
            self.pipe.conn.data(*stream, grpc::frame(&list), false).ok()?;
        }
        Some(())
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Headers { stream, end: false, .. } => {
                self.incoming.insert(stream, Deframer::new(MAX_REQUEST_BYTES));
            }
            Event::Data { stream, data, .. } => self.receive_data(stream, &data),
            Event::Reset { stream, .. } => {
                self.watching.remove(&stream);
            }
            _ => {}
        }
    }

    /// Receives bytes of a watch call's request. Bytes that are no valid request get no response.
    fn receive_data(&mut self, stream: u32, data: &[u8]) {
        self.pipe.conn.consumed(stream, data.len());
        let Some(body) = self.incoming.get_mut(&stream) else { return };
        body.push(data);
        let message = body.message().ok().flatten();
        let Some(request) = message.and_then(|message| WatchRequest::decode(message).ok()) else { return };
        self.incoming.remove(&stream);
        self.watch(stream, request.ingress as u16);
    }

    /// Responds to a watch call with the present list, and registers the call for later lists.
    fn watch(&mut self, stream: u32, gateway: u16) {
        // The lock is held throughout, so that no list is set between the one that is sent and the registration.
        let mut state = lock(&self.server.state);
        self.server.note_list(gateway, &state.list);
        let list = state.with_advertised_addresses(&state.list, gateway);
        let fields =
            vec![Field::constant(":status", "200"), Field::constant("content-type", "application/grpc")];
        let connection = &mut self.pipe.conn;
        // Fails only if the gateway has reset the call.
        let _ = connection
            .headers(stream, fields, false)
            .and_then(|()| connection.data(stream, grpc::frame(&list), false));
        self.watching.insert(stream, gateway);
        state.watchers.push(self.watcher.clone());
    }
}
