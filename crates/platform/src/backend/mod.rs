//! Connections to backends. [`BackendConnections`] is used by the driver: it chooses the connection of each attempt and sends
//! commands to that connection's task, see [`connection`]. The bytes sent and received on a connection determine the outcome
//! of the attempt. If they leave open whether the backend ran the request, the outcome says that it may have run.

mod acknowledgements;
mod connection;
mod exchange;

use crate::pool::{Checkout, Pool};
use crate::request::ForwardedCommand;
use acknowledgements::Acknowledgements;
use async_channel::{Receiver, Sender};
use chalkgap::frontend::{DriverEvent, OutboundAttempt, Upstream};
use chalkgap_core::{BackendId, RequestId};
use chalkgap_runtime::{Micros, Shared};
use chalkgap_transport::{while_alive, MemoryBudget};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Capacity of a connection's command queue: a start, two withdrawals and a stop of the current request, and as many commands
/// for the previous request, sent before the driver learned of its end.
const COMMAND_QUEUE_CAPACITY: usize = 8;

/// A command from the driver to a connection's task.
enum ConnectionCommand {
    /// Makes an attempt.
    Start(Box<OutboundAttempt<ForwardedCommand>>),
    /// Cancels the attempt.
    Stop { id: RequestId, attempt: u16 },
    /// Cancels the attempt if no byte of it has been written.
    Withdraw { id: RequestId, attempt: u16 },
}

/// State shared by the tasks of all connections.
#[derive(Clone)]
struct ConnectionContext {
    runtime: Shared,
    driver: Sender<DriverEvent<ForwardedCommand>>,
    settings: Arc<BackendSettings>,
    acknowledgements: Arc<Acknowledgements>,
}

impl ConnectionContext {
    async fn notify_closed(&self, connection: u64, broke_on_first_write: bool) {
        let closed = DriverEvent::ConnectionClosed { connection, broke_on_first_write };
        // Fails only when the driver has stopped.
        let _ = self.driver.send(closed).await;
    }
}

/// Settings of all connections to backends.
pub struct BackendSettings {
    /// Names of the values in a backend's load report.
    pub load_report_fields: Vec<String>,
    /// Timeout for establishing a connection.
    pub connect_timeout: Micros,
    /// How long a connection may be idle before it is closed. It must be shorter than the backend's own limit, because a
    /// request that is sent while the backend closes the connection may have run.
    pub idle_timeout: Micros,
    /// Limits the memory of replies.
    pub memory: Arc<MemoryBudget>,
}

/// All connections to backends.
pub struct BackendConnections {
    context: ConnectionContext,
    /// Its sender is dropped to end all tasks.
    kill: Receiver<()>,
    pool: Pool,
    /// Command channels, by connection number. Dropping one ends the connection's task.
    commands: HashMap<u64, Sender<ConnectionCommand>>,
}

impl BackendConnections {
    /// Creates an empty set of at most `max_connections` connections, whose tasks end when `kill` is closed.
    pub fn new(
        runtime: Shared,
        driver: Sender<DriverEvent<ForwardedCommand>>,
        settings: BackendSettings,
        max_connections: usize,
        kill: Receiver<()>,
    ) -> Self {
        let acknowledgements = Arc::default();
        let context = ConnectionContext { runtime, driver, settings: Arc::new(settings), acknowledgements };
        BackendConnections { context, kill, pool: Pool::new(max_connections), commands: HashMap::new() }
    }

    fn spawn_connection(&mut self, number: u64, address: SocketAddr) {
        let (commands, receiver) = async_channel::bounded(COMMAND_QUEUE_CAPACITY);
        let task = connection::run(self.context.clone(), number, address, receiver);
        self.context.runtime.spawn(Box::pin(while_alive(self.kill.clone(), task))).detach();
        self.commands.insert(number, commands);
    }
}

impl Upstream for BackendConnections {
    type Work = ForwardedCommand;

    fn start(
        &mut self,
        backend: BackendId,
        address: SocketAddr,
        attempt: OutboundAttempt<ForwardedCommand>,
    ) -> Option<u64> {
        let number = match self.pool.check_out(self.context.runtime.now(), backend, address) {
            Checkout::Reuse(number) => number,
            Checkout::Full => return None,
            Checkout::Open { number, evict } => {
                if let Some(evicted) = evict {
                    self.commands.remove(&evicted);
                }
                self.spawn_connection(number, address);
                number
            }
        };
        let start = ConnectionCommand::Start(Box::new(attempt));
        let sent = self.commands.get(&number).map(|commands| commands.try_send(start));
        if !matches!(sent, Some(Ok(()))) {
            self.connection_closed(number, false);
            self.attempt_finished(number);
            return None;
        }
        Some(number)
    }

    fn cancel(&mut self, connection: u64, id: RequestId, attempt: u16) {
        if let Some(commands) = self.commands.get(&connection) {
            // A full queue already holds such a command. Cancelling an attempt closes its connection.
            let _ = commands.try_send(ConnectionCommand::Stop { id, attempt });
            self.connection_closed(connection, false);
        }
    }

    fn cancel_unsent(&mut self, connection: u64, id: RequestId, attempt: u16) {
        if let Some(commands) = self.commands.get(&connection) {
            // A full queue already holds such a command.
            let _ = commands.try_send(ConnectionCommand::Withdraw { id, attempt });
        }
    }

    fn attempt_finished(&mut self, connection: u64) {
        if self.context.acknowledgements.are_delayed() {
            self.pool.expect_delayed_acknowledgements();
        }
        if !self.pool.release(self.context.runtime.now(), connection) {
            self.commands.remove(&connection);
        }
    }

    fn connection_closed(&mut self, connection: u64, broke_on_first_write: bool) {
        if self.pool.mark_closed(self.context.runtime.now(), connection, broke_on_first_write) {
            self.commands.remove(&connection);
        }
    }

    fn retain(&mut self, listed: &dyn Fn(BackendId) -> bool) {
        for connection in self.pool.retain(listed) {
            self.commands.remove(&connection);
        }
    }

    fn close_idle(&mut self, backend: BackendId) {
        for connection in self.pool.close_idle(backend) {
            self.commands.remove(&connection);
        }
    }
}
