//! The accept loop of a frontend.

use super::Frontend;
use crate::connection_gate::{ConnectionGate, Rejection};
use crate::telemetry::{add, Telemetry};
use async_channel::Receiver;
use chalkgap_runtime::{Listener, Shared, Stream};
use chalkgap_transport::while_alive;
use futures_lite::future;
use std::future::Future;
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// State of an accept loop, independent of the protocol.
#[derive(Clone)]
pub struct Acceptor {
    /// Clock, sockets and tasks.
    pub runtime: Shared,
    /// Counters.
    pub telemetry: Arc<Telemetry>,
    /// Closed when the drain begins.
    pub drain: Receiver<()>,
    /// Closed when the instance stops, which ends all tasks at once.
    pub kill: Receiver<()>,
    /// Number of open connections. Each listener counts as one, as connections may wait in it.
    pub open: Arc<AtomicUsize>,
    /// Admits connections.
    pub gate: Arc<ConnectionGate>,
}

/// Accepts connections until the drain begins, and then those that already wait in the listener.
///
/// The listener is closed only after these. Closing it earlier would reset them, although their sockets may hold
/// complete requests.
pub async fn listen<F: Frontend>(
    frontend: F,
    context: F::Context,
    acceptor: Acceptor,
    listener: Box<dyn Listener>,
) {
    acceptor.open.fetch_add(1, Ordering::Relaxed);
    while let Some(accepted) = accept_or_drain(&acceptor, &*listener).await {
        acceptor.on_accepted(&frontend, &context, accepted).await;
    }
    while let Some(accepted) = future::poll_once(listener.accept()).await {
        acceptor.on_accepted(&frontend, &context, accepted).await;
    }
    drop(listener);
    acceptor.open.fetch_sub(1, Ordering::Relaxed);
}

/// Returns the next connection, or `None` once the drain begins.
async fn accept_or_drain(
    acceptor: &Acceptor,
    listener: &dyn Listener,
) -> Option<io::Result<Box<dyn Stream>>> {
    let drained = async {
        let _ = acceptor.drain.recv().await; // no message is sent; `recv` returns when the sender is dropped
        None
    };
    future::or(drained, async { Some(listener.accept().await) }).await
}

impl Acceptor {
    async fn on_accepted<F: Frontend>(
        &self,
        frontend: &F,
        context: &F::Context,
        accepted: io::Result<Box<dyn Stream>>,
    ) {
        let stream = match accepted {
            Ok(stream) => stream,
            Err(error) => {
                // Descriptors or memory are exhausted, so an immediate retry would fail as well.
                return self.runtime.sleep_until(self.gate.accept_failed(&error)).await;
            }
        };
        self.admit(frontend, context, stream).await;
        // Hundreds of connections may wait in the listener. Yielding lets evicted ones close, and admitted ones be
        // served.
        future::yield_now().await;
    }

    async fn admit<F: Frontend>(&self, frontend: &F, context: &F::Context, stream: Box<dyn Stream>) {
        match self.gate.admit(stream.peer().ip()) {
            Ok(permit) => {
                add(&self.telemetry.connections);
                self.open.fetch_add(1, Ordering::Relaxed);
                let open = self.open.clone();
                self.spawn(frontend.serve(context.clone(), stream, permit), move || {
                    open.fetch_sub(1, Ordering::Relaxed);
                });
            }
            Err(Rejection { slot: Some(slot), retry_after }) => {
                self.spawn(frontend.reject(self.runtime.clone(), stream, retry_after), move || drop(slot));
            }
            // Without a slot there is no descriptor to spare: writes what can be written at once, then closes.
            Err(Rejection { slot: None, retry_after }) => {
                let rejection = frontend.reject(self.runtime.clone(), stream, retry_after);
                let _ = future::poll_once(rejection).await;
            }
        }
    }

    /// Runs `task` until it ends or the instance stops, and then calls `at_end`.
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static, at_end: impl FnOnce() + Send + 'static) {
        let kill = self.kill.clone();
        let task = async move {
            while_alive(kill, task).await;
            at_end();
        };
        self.runtime.spawn(Box::pin(task)).detach();
    }
}
