//! Frontends: servers for the protocols that clients use.
//!
//! A [`Frontend`] serves connections that [`listen`] has accepted and the connection gate has admitted. It converts each
//! request of a client to a [`PendingRequest`](crate::messages::PendingRequest) for the driver, and the driver's one
//! [`Response`](crate::messages::Response) to an answer in its protocol. A client that cancels a request or disconnects
//! is reported with [`DriverEvent::ClientGone`](crate::messages::DriverEvent::ClientGone). The driver does not depend on
//! any protocol.

mod acceptor;
mod context;
pub(crate) mod grpc;
pub(crate) mod mqtt;

pub use acceptor::{listen, Acceptor};
pub use context::FrontendContext;

use crate::connection_gate::{Permit, RequestEnd};
use crate::messages::Answer;
use chalkgap_runtime::{BoxFuture, Micros, Shared, Stream};

/// Maximum time that a rejected connection stays open, so that the client can read the rejection.
const REJECTION_TIMEOUT: Micros = 200_000;

/// A server for one protocol. Each connection is served by a task that holds a [`Permit`].
pub trait Frontend: Clone + Send + Sync + 'static {
    /// State shared by all connections of the frontend.
    type Context: Clone + Send + Sync + 'static;

    /// Serves a connection until it is closed. Once the drain begins, the connection is closed after the answers to its
    /// open requests.
    fn serve(
        &self,
        context: Self::Context,
        stream: Box<dyn Stream>,
        permit: Permit,
    ) -> BoxFuture<'static, ()>;

    /// Rejects a connection that was not admitted, and closes it. `retry_after` is the time after which the client may
    /// retry.
    fn reject(&self, runtime: Shared, stream: Box<dyn Stream>, retry_after: Micros)
        -> BoxFuture<'static, ()>;
}

/// Converts a request's answer to the end that the connection gate counts.
fn request_end(answer: &Answer, account: u64, preferred: bool) -> RequestEnd {
    match answer {
        Answer::Served { .. } => RequestEnd::Served { account, preferred },
        Answer::Rejected { .. } => RequestEnd::Rejected,
        Answer::Failed { .. } | Answer::ClientGone => RequestEnd::Other,
    }
}
