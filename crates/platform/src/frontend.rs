//! The frontend for the platform's protocol. It serves admitted connections and sends `BUSY` on rejected ones.

use crate::client_connection::ClientConnection;
use crate::open_ids::OpenIds;
use crate::request::{ForwardedCommand, Request};
use crate::request_parser::RequestParser;
use async_channel::Sender;
use chalkgap::frontend::{Customer, DriverEvent, Frontend, PendingRequest, Permit, Response};
use chalkgap::telemetry::Telemetry;
use chalkgap_core::{CustomerId, RequestId};
use chalkgap_runtime::{BoxFuture, Micros, Shared, Stream};
use chalkgap_transport::{linger, MemoryBudget};
use futures_lite::{future, AsyncWriteExt};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// How long the ingress waits for a client to close its side of a connection that the ingress closes.
pub(crate) const LINGER_MICROS: Micros = 300_000;
/// Subtracted from a client's timeout, so that the answer reaches the client in time.
const DEADLINE_MARGIN_MICROS: Micros = 4_000;

/// State shared by all client connections.
#[derive(Clone)]
pub struct FrontendContext {
    pub runtime: Shared,
    pub telemetry: Arc<Telemetry>,
    pub driver: Sender<DriverEvent<ForwardedCommand>>,
    pub parser: Arc<RequestParser>,
    pub memory: Arc<MemoryBudget>,
    /// The driver's id for the next request. Clients may reuse their ids, so the driver has its own: a timer of an earlier
    /// request must not affect a later one.
    pub next_request_id: Arc<AtomicU64>,
    /// The ids that clients gave requests that may still run.
    pub open_ids: Arc<OpenIds>,
    /// When pending requests are answered as failed because the process is about to be killed; 0 before a shutdown.
    pub fail_pending_at: Arc<AtomicU64>,
}

impl FrontendContext {
    /// Converts a request to the driver's form. The driver's answer has the same `token`.
    pub(crate) fn pending_request(
        &self,
        token: u32,
        request: Request,
        response_sender: Sender<Response>,
    ) -> PendingRequest<ForwardedCommand> {
        let customer = Customer {
            id: CustomerId(request.customer),
            plan: request.plan,
            first_gateway: request.first_ingress,
            gateway_count: request.spread,
        };
        let deadline = self.runtime.now() + request.timeout.saturating_sub(DEADLINE_MARGIN_MICROS);
        PendingRequest {
            id: RequestId(self.next_request_id.fetch_add(1, Ordering::Relaxed)),
            class: request.class,
            account: String::new(),
            customer,
            units: request.units,
            deadline,
            work: request.command,
            response_sender,
            token,
        }
    }
}

/// The frontend for clients that speak the platform's protocol.
#[derive(Clone)]
pub struct RespFrontend;

impl Frontend for RespFrontend {
    type Context = FrontendContext;

    fn serve(
        &self,
        context: FrontendContext,
        stream: Box<dyn Stream>,
        permit: Permit,
    ) -> BoxFuture<'static, ()> {
        Box::pin(async move { ClientConnection::serve(context, stream, permit).await })
    }

    fn reject(
        &self,
        runtime: Shared,
        mut stream: Box<dyn Stream>,
        retry_after: Micros,
    ) -> BoxFuture<'static, ()> {
        Box::pin(async move {
            let reject = async {
                // No request of the connection is forwarded, so the client may retry safely. The connection is closed even if
                // the client does not read this reply.
                let text = match retry_after {
                    0 => "-BUSY\r\n".to_owned(),
                    retry_after => format!("-BUSY {}\r\n", retry_after.div_ceil(1000)),
                };
                if stream.write_all(text.as_bytes()).await.is_ok() {
                    future::poll_fn(|cx| linger(&mut *stream, cx)).await;
                }
            };
            future::or(reject, runtime.sleep_until(runtime.now() + LINGER_MICROS)).await;
        })
    }
}
