//! The gRPC frontend: the rate limit service (`envoy.service.ratelimit.v3.RateLimitService`) and its health check.
//!
//! - [`connection`]: event loop of a connection
//! - [`slow_clients`]: detection of clients that make no progress
//! - [`calls`]: calls, from their headers to their answer
//! - [`request`]: conversion of a call's message to a request
//! - [`responses`]: conversion of the driver's answers to gRPC

mod calls;
mod connection;
mod request;
mod responses;
mod slow_clients;

use super::{Frontend, FrontendContext, REJECTION_TIMEOUT};
use crate::connection_gate::Permit;
use chalkgap_runtime::{BoxFuture, Micros, Shared, Stream};
use chalkgap_transport::{Pipe, Turn};
use chalkgap_wire::http2::{Config, Connection};

/// The gRPC frontend.
#[derive(Clone)]
pub(crate) struct GrpcFrontend;

impl Frontend for GrpcFrontend {
    type Context = FrontendContext;

    fn serve(
        &self,
        context: FrontendContext,
        stream: Box<dyn Stream>,
        permit: Permit,
    ) -> BoxFuture<'static, ()> {
        Box::pin(connection::serve(context, stream, permit))
    }

    fn reject(
        &self,
        runtime: Shared,
        stream: Box<dyn Stream>,
        retry_after: Micros,
    ) -> BoxFuture<'static, ()> {
        Box::pin(reject(runtime, stream, retry_after))
    }
}

/// Sends GOAWAY with ENHANCE_YOUR_CALM, and waits up to [`REJECTION_TIMEOUT`] for the client to close.
///
/// An immediate close with the client's preface unread would reset the connection, and the GOAWAY could be lost.
async fn reject(runtime: Shared, stream: Box<dyn Stream>, retry_after: Micros) {
    let (_commands, no_commands) = async_channel::bounded::<()>(1);
    let (_signal_sender, no_signal) = async_channel::bounded(1);
    let connection = Connection::server(Config::default());
    let mut pipe = Pipe::new(runtime.clone(), stream, connection, no_commands, no_signal);
    let seconds = retry_after.div_ceil(1_000_000).max(1);
    pipe.conn.reject(&format!("no room for this connection; retry-after: {seconds}"));
    let deadline = runtime.now() + REJECTION_TIMEOUT;
    loop {
        if let Turn::Closed | Turn::Time = pipe.turn(Some(deadline), true).await {
            return;
        }
    }
}
