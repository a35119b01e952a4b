//! The parameters of a node.

use super::{Cell, ExecutionLog};
use chalkgap_runtime::Micros;
use std::collections::HashMap;

/// The capacity of a node, and the state that it shares with other nodes and processes.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Number of requests that are executed concurrently.
    pub cores: usize,
    /// Speed of a core; the work of every request is divided by it.
    pub speed: f64,
    /// Mean work by class, in microseconds of one core at speed 1; a class that is absent takes no time.
    pub work: HashMap<String, f64>,
    /// Share of the full capacity at the start of the slow start.
    pub slow_start_min_capacity: f64,
    /// Duration of the slow start, after which the full capacity is available; 0 disables the slow start.
    pub slow_start_window: Micros,
    /// A node in slow start fails permanently if the work that arrives within `overload_window` exceeds this multiple of its
    /// present capacity.
    pub overload_factor: f64,
    /// Time over which arriving work is compared with the capacity.
    pub overload_window: Micros,
    /// Maximum number of requests that wait for a core; more are refused by REFUSED_STREAM.
    pub queue: usize,
    /// The cell whose idempotency keys the node shares.
    pub cell: Cell,
    /// The node's executions. They outlive its process, as files on a disk do.
    pub executions: ExecutionLog,
    /// Seed of the random work times and faults.
    pub seed: u64,
}

impl Default for Machine {
    fn default() -> Self {
        Machine {
            cores: 3,
            speed: 1.0,
            work: HashMap::new(),
            slow_start_min_capacity: 0.2,
            slow_start_window: 0,
            overload_factor: 3.0,
            overload_window: 2_000_000,
            queue: 10_000,
            cell: Cell::new("", 5_000_000),
            executions: ExecutionLog::default(),
            seed: 1,
        }
    }
}
