//! A fake backend: cores that process requests in order of arrival, a slow start in which an overload makes it fail
//! permanently, deduplication by idempotency key within a cell, load reports, and fault injection.

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
pub use execution_log::{ExecutionLog, Usage};
pub use faults::Faults;
pub use machine::Machine;

/// A running node. Killed when dropped.
pub struct Node {
    address: SocketAddr,
    engine: Arc<Mutex<Engine>>,
    drain: Option<Sender<()>>,
    kill: Option<Sender<()>>,
}

impl Node {
    /// Starts a node that listens at `at`.
    ///
    /// # Errors
    /// Returns the system's error if the address cannot be bound.
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

    /// Returns the address that it listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the time at which it was started.
    pub fn started_at(&self) -> Micros {
        lock(&self.engine).started_at
    }

    /// Replaces its faults.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.engine).faults = faults;
    }

    /// Drains the node: sends GOAWAY on all connections, whose open requests are completed. New connections are accepted.
    pub fn drain(&mut self) {
        self.drain = None;
    }

    /// Kills the node: its tasks are cancelled and all connections are closed.
    pub fn kill(&mut self) {
        self.kill = None;
    }
}
