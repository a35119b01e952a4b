//! Frontends: the protocols that clients speak.
//!
//! A [`Frontend`] serves connections that [`listen`] has accepted and the connection gate has admitted. It turns what a
//! client sends into a [`PendingRequest`](crate::messages::PendingRequest) for the driver, receives one
//! [`Response`](crate::messages::Response) for it, and reports a client that goes with
//! [`DriverEvent::ClientGone`](crate::messages::DriverEvent::ClientGone). The driver knows no protocol.

mod acceptor;
mod context;
pub(crate) mod grpc;
pub(crate) mod mqtt;

pub use acceptor::{listen, Acceptor};
pub use context::FrontendContext;

use crate::connection_gate::{Permit, RequestEnd};
use crate::messages::Answer;
use chalkgap_runtime::{BoxFuture, Micros, Shared, Stream};

/// How long a rejected client may take to read the rejection.
const REJECTION_TIMEOUT: Micros = 200_000;

/// A protocol that clients speak. Each connection is a task with a [`Permit`].
pub trait Frontend: Clone + Send + Sync + 'static {
    /// What all connections of the frontend share.
    type Context: Clone + Send + Sync + 'static;

    /// Serves one connection to its end. When the drain begins, it ends after the answers to its open requests.
    fn serve(
        &self,
        context: Self::Context,
        stream: Box<dyn Stream>,
        permit: Permit,
    ) -> BoxFuture<'static, ()>;

    /// Rejects a connection that was not admitted, and closes it. `retry_after` is in microseconds from now.
    fn reject(&self, runtime: Shared, stream: Box<dyn Stream>, retry_after: Micros)
        -> BoxFuture<'static, ()>;
}

/// How the connection gate counts a request with this answer.
fn request_end(answer: &Answer, account: u64, preferred: bool) -> RequestEnd {
    match answer {
        Answer::Served { .. } => RequestEnd::Served { account, preferred },
        Answer::Rejected { .. } => RequestEnd::Rejected,
        Answer::Failed { .. } | Answer::ClientGone => RequestEnd::Other,
    }
}
