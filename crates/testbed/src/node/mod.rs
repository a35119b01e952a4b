//! A fake backend: cores that work in order of arrival, a slow start in which too much work brings it down, a cell that
//! deduplicates by idempotency key, load reports, and faults on command.

mod cell;
mod engine;
mod execution_log;
mod faults;
mod machine;
mod server;

use crate::journal::Journal;
use crate::lock;
use async_channel::Sender;
use chalkgap_runtime::{Micros, Shared};
use engine::Engine;
use server::Context;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

pub use cell::Cell;
pub use execution_log::{ExecutionLog, Used};
pub use faults::Faults;
pub use machine::Machine;

/// A running node. Dropped, it is killed.
pub struct Node {
    address: SocketAddr,
    engine: Arc<Mutex<Engine>>,
    drain: Option<Sender<()>>,
    kill: Option<Sender<()>>,
}

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn start(runtime: Shared, at: SocketAddr, machine: Machine, journal: Journal) -> io::Result<Node> {
        let listener = runtime.listen(at)?;
        machine.executions.restart();
        let (drain_sender, drain) = async_channel::bounded(1);
        let (kill_sender, kill) = async_channel::bounded(1);
        let engine = Arc::new(Mutex::new(Engine::new(machine, runtime.now())));
        let address = listener.address();
        let context = Context { runtime, journal, engine: engine.clone(), address, drain, kill };
        server::start(Arc::new(context), listener);
        Ok(Node { address, engine, drain: Some(drain_sender), kill: Some(kill_sender) })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// When its process started.
    pub fn started_at(&self) -> Micros {
        lock(&self.engine).started_at
    }

    /// Replaces its faults.
    pub fn faults(&self, faults: Faults) {
        lock(&self.engine).faults = faults;
    }

    /// Drains: connections are told to go away and finish what they have; new connections are accepted.
    pub fn drain(&mut self) {
        self.drain = None;
    }

    /// Kills the node: all connections break.
    pub fn kill(&mut self) {
        self.kill = None;
    }
}
