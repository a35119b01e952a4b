//! Connections to nodes: HTTP/2, pooled, one gRPC call an attempt.
//!
//! [`Connections`] is the driver's side: the pools, and commands to the connections. Each connection is a task of its own
//! ([`connection`]). What passed on the connection determines an attempt's outcome; in doubt it may have run.

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

struct PooledConnection {
    backend: BackendId,
    commands: Sender<Command>,
    /// False once the node has sent GOAWAY or the task has ended.
    accepts_calls: Arc<AtomicBool>,
    /// Attempts that were started on it and have not finished.
    in_flight: usize,
}

impl PooledConnection {
    fn accepts_calls(&self) -> bool {
        self.accepts_calls.load(Ordering::Relaxed)
    }

    fn has_capacity(&self, max_in_flight: usize) -> bool {
        self.in_flight < max_in_flight && !self.commands.is_closed() && self.accepts_calls()
    }

    /// Whether its task runs, or the driver has yet to learn how its attempts ended.
    fn is_alive(&self) -> bool {
        self.in_flight > 0 || !self.commands.is_closed()
    }
}

/// All connections to nodes, as the driver sees them.
pub struct Connections {
    shared: SharedParts,
    kill: Receiver<()>,
    connections: HashMap<u64, PooledConnection>,
    pools: BTreeMap<BackendId, Vec<u64>>,
    next_connection: u64,
    max_connections: usize,
}

/// What every connection's task needs.
#[derive(Clone)]
struct SharedParts {
    runtime: Shared,
    settings: Arc<Compiled>,
    driver: Sender<DriverEvent>,
    /// Distinguishes this process's request ids from those of every other start.
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
        // The descriptors that are set aside for nodes, whatever clients use.
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

    /// Sends a command to a connection; without effect if the connection has ended.
    fn send(&self, connection: u64, command: Command) {
        if let Some(connection) = self.connections.get(&connection) {
            let _ = connection.commands.try_send(command); // closed: it has ended
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

    /// The least loaded connection to a backend that has capacity.
    fn find_connection(&self, backend: BackendId) -> Option<u64> {
        let max_in_flight = self.shared.settings.settings.upstream.max_streams;
        let pool = self.pools.get(&backend)?;
        let with_capacity = pool.iter().filter(|n| self.connections[*n].has_capacity(max_in_flight));
        with_capacity.min_by_key(|number| self.connections[*number].in_flight).copied()
    }

    /// Whether one more connection to a backend may be opened.
    fn may_open(&self, backend: BackendId) -> bool {
        let max_per_backend = self.shared.settings.settings.upstream.connections;
        let pool = self.pools.get(&backend).map_or(&[][..], |pool| &pool[..]);
        let accepting = pool.iter().filter(|number| self.connections[*number].accepts_calls()).count();
        accepting < max_per_backend
            // Those that finish their last calls count as well, though less.
            && pool.len() < 2 * max_per_backend
            && self.connections.len() < self.max_connections
    }

    fn open(&mut self, backend: BackendId, address: SocketAddr) -> u64 {
        let number = self.next_connection;
        self.next_connection += 1;
        // Bounded by `in_flight`: a start and a cancellation for each attempt, and one command to close.
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
                // Removing it closes its commands; one with attempts goes when the last has finished.
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
