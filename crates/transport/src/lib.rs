//! Moves bytes between streams and the state machines of protocols, for clients and servers alike. Nothing else reads or
//! writes the streams of connections.
//!
//! - [`Pipe`]: a stream with its state machine, owned by one task, which others reach by a bounded channel of commands
//! - [`Machine`]: what a protocol has to offer for that
//! - [`unary`]: unary gRPC calls between programs of one fleet

mod linger;
mod machine;
mod pipe;
pub mod unary;

use async_channel::Receiver;
use futures_lite::future;
use std::future::Future;

pub use linger::linger;
pub use machine::Machine;
pub use pipe::{Pipe, Turn};

/// Runs a task until it ends, or until the other end of `life` is dropped; the task is then dropped at its next await.
pub async fn while_alive(life: Receiver<()>, task: impl Future<Output = ()>) {
    let dropped = async move {
        let _ = life.recv().await; // nothing is ever sent: this ends when the sender is dropped
    };
    future::or(dropped, task).await;
}
