//! Moves bytes between streams and protocol state machines, on the client and on the server side. No other code reads or
//! writes the streams of connections.
//!
//! - [`Pipe`]: a stream and its state machine, owned by one task. Other tasks send it commands on a bounded channel.
//! - [`Machine`]: the interface of a protocol state machine to a [`Pipe`]
//! - [`MemoryBudget`]: the limit on the bytes that are held for all peers
//! - [`unary`]: unary gRPC calls between the programs of a fleet

mod connection_memory;
mod linger;
mod machine;
mod memory_budget;
mod pipe;
pub mod unary;

use async_channel::Receiver;
use futures_lite::future;
use std::future::Future;

pub use linger::linger;
pub use machine::Machine;
pub use memory_budget::{MemoryBudget, MemoryOwner, MemoryReservation};
pub use pipe::{OwnerState, Pipe, Turn};

/// Runs `task` until it completes or the sender of `kill` is dropped. In the second case the task is dropped at its
/// current await point.
pub async fn while_alive(kill: Receiver<()>, task: impl Future<Output = ()>) {
    let killed = async move {
        let _ = kill.recv().await; // nothing is ever sent: this returns when the sender is dropped
    };
    future::or(killed, task).await;
}
