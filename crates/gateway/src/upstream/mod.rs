//! Pooled HTTP/2 connections to nodes. Each attempt is one gRPC call.
//!
//! [`Connections`] is the driver's side: it holds the pools and sends commands to the connections. Each connection runs
//! in a task of its own ([`connection`]), which derives the outcome of an attempt from what was sent and received. An
//! attempt is reported as not run only if this is certain.

mod calls;
mod connection;

use crate::messages::{self, DriverEvent, Upstream, Work};
use crate::settings::Compiled;
use async_channel::{Receiver, Sender};
use chalkgap_core::{BackendId, RequestId};
use chalkgap_runtime::Shared;
use chalkgap_transport::while_alive;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

type OutboundAttempt = messages::OutboundAttempt<Work>;

/// A command to a connection's task.
pub(crate) enum Command {
    Start(Box<OutboundAttempt>),
    /// Cancel an attempt, written or not.
    Cancel {
        id: RequestId,
        attempt: u16,
    },
    /// Cancel an attempt if it is not written yet.
    CancelUnsent {
        id: RequestId,
        attempt: u16,
    },
    /// Close as soon as the connection is idle.
    CloseWhenIdle,
}

/// The driver's handle to one connection.
struct PooledConnection {
    backend: BackendId,
    commands: Sender<Command>,
    /// False once the node has sent GOAWAY or the task has ended.
    accepts_calls: Arc<AtomicBool>,
    /// Number of attempts that were started on it and have not finished.
    in_flight: usize,
}

impl PooledConnection {
    fn accepts_calls(&self) -> bool {
        self.accepts_calls.load(Ordering::Relaxed)
    }

    fn has_capacity(&self, max_in_flight: usize) -> bool {
        self.in_flight < max_in_flight && !self.commands.is_closed() && self.accepts_calls()
    }

    /// Returns true while the task runs or the driver has not received the results of all its attempts.
    fn is_alive(&self) -> bool {
        self.in_flight > 0 || !self.commands.is_closed()
    }
}

/// The connections to all nodes, in one pool for each backend.
pub struct Connections {
    shared: SharedParts,
    /// Closes when the instance stops.
    kill: Receiver<()>,
    /// Open connections by number.
    connections: HashMap<u64, PooledConnection>,
    /// Numbers of the connections to each listed backend.
    pools: BTreeMap<BackendId, Vec<u64>>,
    next_connection: u64,
    max_connections: usize,
}

/// State that all connection tasks share.
#[derive(Clone)]
struct SharedParts {
    runtime: Shared,
    settings: Arc<Compiled>,
    driver: Sender<DriverEvent>,
    /// Prefix of the ids by which nodes know requests; it differs between instances and between starts of one instance.
    instance_name: Arc<str>,
}

impl Connections {
    pub(crate) fn new(
        runtime: Shared,
        settings: Arc<Compiled>,
        driver: Sender<DriverEvent>,
        kill: Receiver<()>,
        instance_name: &str,
    ) -> Self {
        // File descriptors that are reserved for nodes; clients cannot use them.
        let max_connections = settings.settings.descriptors.nodes as usize;
        let shared = SharedParts { runtime, settings, driver, instance_name: instance_name.into() };
        Connections {
            shared,
            kill,
            connections: HashMap::new(),
            pools: BTreeMap::new(),
            next_connection: 0,
            max_connections,
        }
    }

    /// Sends a command to a connection. Does nothing if the connection has ended.
    fn send(&self, connection: u64, command: Command) {
        if let Some(connection) = self.connections.get(&connection) {
            let _ = connection.commands.try_send(command); // fails only if the task has ended
        }
    }

    fn remove_dead_connections(&mut self, backend: BackendId) {
        let connections = &mut self.connections;
        self.pools.entry(backend).or_default().retain(|number| {
            let alive = connections.get(number).is_some_and(PooledConnection::is_alive);
            if !alive {
                connections.remove(number);
            }
            alive
        });
    }

    /// Returns the connection to a backend that has the fewest attempts in flight, if one has capacity.
    fn find_connection(&self, backend: BackendId) -> Option<u64> {
        let max_in_flight = self.shared.settings.settings.upstream.max_streams;
        let pool = self.pools.get(&backend)?;
        let with_capacity =
            pool.iter().filter(|number| self.connections[*number].has_capacity(max_in_flight));
        with_capacity.min_by_key(|number| self.connections[*number].in_flight).copied()
    }

    /// Returns true if another connection to a backend may be opened.
    fn may_open(&self, backend: BackendId) -> bool {
        let max_per_backend = self.shared.settings.settings.upstream.connections;
        let pool = self.pools.get(&backend).map_or(&[][..], |pool| &pool[..]);
        let accepting = pool.iter().filter(|number| self.connections[*number].accepts_calls()).count();
        accepting < max_per_backend
            // Connections that only finish their last calls are bounded as well: the whole pool, by twice the maximum.
            && pool.len() < 2 * max_per_backend
            && self.connections.len() < self.max_connections
    }

    fn open(&mut self, backend: BackendId, address: SocketAddr) -> u64 {
        let number = self.next_connection;
        self.next_connection += 1;
        // Its length is bounded by `in_flight`: a start and a cancellation for each attempt, and one command to close.
        let (commands, receiver) = async_channel::unbounded();
        let accepts_calls = Arc::new(AtomicBool::new(true));
        let task =
            connection::run(self.shared.clone(), address, receiver, accepts_calls.clone(), self.kill.clone());
        self.shared.runtime.spawn(Box::pin(while_alive(self.kill.clone(), task))).detach();
        let connection = PooledConnection { backend, commands, accepts_calls, in_flight: 0 };
        self.connections.insert(number, connection);
        self.pools.entry(backend).or_default().push(number);
        number
    }
}

impl Upstream for Connections {
    type Work = Work;

    fn start(&mut self, backend: BackendId, address: SocketAddr, call: OutboundAttempt) -> Option<u64> {
        self.remove_dead_connections(backend);
        let number = match self.find_connection(backend) {
            Some(number) => number,
            None if self.may_open(backend) => self.open(backend, address),
            None => return None,
        };
        let connection = self.connections.get_mut(&number)?;
        connection.commands.try_send(Command::Start(Box::new(call))).ok()?;
        connection.in_flight += 1;
        Some(number)
    }

    fn cancel(&mut self, connection: u64, id: RequestId, attempt: u16) {
        self.send(connection, Command::Cancel { id, attempt });
    }

    fn cancel_unsent(&mut self, connection: u64, id: RequestId, attempt: u16) {
        self.send(connection, Command::CancelUnsent { id, attempt });
    }

    fn attempt_finished(&mut self, number: u64) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        connection.in_flight = connection.in_flight.saturating_sub(1);
        let listed = self.pools.contains_key(&connection.backend);
        if connection.in_flight == 0 && !listed {
            self.connections.remove(&number);
        }
    }

    fn retain(&mut self, listed: &dyn Fn(BackendId) -> bool) {
        let connections = &mut self.connections;
        self.pools.retain(|backend, pool| {
            if listed(*backend) {
                return true;
            }
            for number in pool {
                // Removing a connection closes its command channel. One with attempts in flight is removed by
                // `attempt_finished` after the last of them.
                if connections.get(number).is_some_and(|connection| connection.in_flight == 0) {
                    connections.remove(number);
                }
            }
            false
        });
    }

    fn close_idle(&mut self, backend: BackendId) {
        for number in self.pools.get(&backend).into_iter().flatten() {
            self.send(*number, Command::CloseWhenIdle);
        }
    }
}
