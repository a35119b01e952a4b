//! Unary gRPC calls between programs of one fleet: [`call`] makes one call, [`serve`] answers few and well-behaved
//! callers. Both are bounded in bytes, calls and time.

mod client;
mod server;

use chalkgap_runtime::Micros;

pub use client::call;
pub use server::{serve, Handler, Limits};

/// How long a peer may take to close a connection after the last message on it.
const CLOSE_TIMEOUT_MICROS: Micros = 100_000;
