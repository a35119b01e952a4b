//! What a node can do.

use super::{Cell, ExecutionLog};
use chalkgap_runtime::Micros;
use std::collections::HashMap;

/// The capacity and the surroundings of a node.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Requests that run at once.
    pub cores: usize,
    /// Divides the work of every request.
    pub speed: f64,
    /// Mean work by class, in microseconds of one core; a class that is absent costs nothing.
    pub work: HashMap<String, f64>,
    /// Share of the capacity at the start of the process.
    pub slow_start_min_capacity: f64,
    /// When the full capacity is reached; 0 starts with all of it.
    pub slow_start_window: Micros,
    /// More than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... over this time brings a node in its slow start down.
    pub overload_window: Micros,
    /// Requests that may wait for a core; more are refused unseen, by REFUSED_STREAM.
    pub queue: usize,
    /// The cell whose memory of idempotency keys it shares.
    pub cell: Cell,
    /// What it ran. Outlives its process, as a disk would.
    pub executions: ExecutionLog,
    /// Seed of its work times and faults.
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
