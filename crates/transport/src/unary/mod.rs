//! Unary gRPC calls between the programs of a fleet. [`call`] makes one call; [`serve`] answers calls of a small number
//! of well-behaved callers. Both limit bytes, calls and time.

mod client;
mod server;

use chalkgap_runtime::Micros;

pub use client::{call, CallTimeouts};
pub use server::{serve, Handler, Limits};

/// Maximum time for a peer to close a connection after the last message on it.
const CLOSE_TIMEOUT_MICROS: Micros = 100_000;
