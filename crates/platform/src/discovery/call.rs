//! One request to discovery on its own connection, with timeouts.

use super::error::DiscoveryError;
use crate::discovery_client::{DiscoveryClient, ResponseError};
use crate::endpoint_list::EndpointList;
use chalkgap_runtime::{Micros, Shared, Stream};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::future::Future;
use std::net::SocketAddr;

const READ_BUFFER_BYTES: usize = 8 << 10;

/// A request to discovery on its own connection.
pub(super) struct DiscoveryCall<'a> {
    runtime: &'a Shared,
    /// Timeout for the complete list, or for the rest of a partly received list.
    timeout: Micros,
    started_at: Micros,
    stream: Box<dyn Stream>,
    client: DiscoveryClient,
    buffer: [u8; READ_BUFFER_BYTES],
}

/// Runs an I/O operation with a timeout; `what` names the expected result in errors.
async fn with_timeout<T>(
    runtime: &Shared,
    what: &'static str,
    within: Micros,
    operation: impl Future<Output = std::io::Result<T>>,
) -> Result<T, DiscoveryError> {
    let timeout = async {
        runtime.sleep_until(runtime.now() + within).await;
        Err(DiscoveryError::Timeout { what, within })
    };
    let done = async { operation.await.map_err(|error| DiscoveryError::Io { what, error }) };
    future::or(done, timeout).await
}

impl<'a> DiscoveryCall<'a> {
    /// Connects to `address` and requests the endpoint list. `query` is the query string, with its question mark, or empty.
    pub(super) async fn start(
        runtime: &'a Shared,
        address: SocketAddr,
        query: &str,
        timeout: Micros,
    ) -> Result<DiscoveryCall<'a>, DiscoveryError> {
        let started_at = runtime.now();
        let (client, request) = DiscoveryClient::get(address, &format!("/api/targets{query}"))?;
        let connect = async {
            let mut stream = runtime.connect(address).await?;
            stream.write_all(&request).await?;
            Ok(stream)
        };
        let stream = with_timeout(runtime, "connection", timeout, connect).await?;
        Ok(DiscoveryCall { runtime, timeout, started_at, stream, client, buffer: [0; READ_BUFFER_BYTES] })
    }

    /// Reads the complete list, within the call's timeout counted from its start.
    pub(super) async fn complete_list(mut self) -> Result<EndpointList, DiscoveryError> {
        let runtime = self.runtime;
        let within = self.timeout;
        let give_up_at = self.started_at + within;
        let timeout = async {
            runtime.sleep_until(give_up_at).await;
            None
        };
        let list = async { Some(self.next_list(within).await) };
        if let Some(list) = future::or(list, timeout).await {
            return list;
        }
        if self.client.has_partial_value() {
            return Err(DiscoveryError::SlowList { within });
        }
        Err(DiscoveryError::Timeout { what: "list", within })
    }

    /// Reads the next list. Fails if no bytes arrive for `max_silence` between lists.
    pub(super) async fn next_list(&mut self, max_silence: Micros) -> Result<EndpointList, DiscoveryError> {
        let mut partial_since = None;
        loop {
            if let Some(list) = self.client.next_value()? {
                return Ok(list);
            }
            if self.client.is_ended() {
                return Err(DiscoveryError::ConnectionEnded);
            }
            // A list of which a part has arrived has its own deadline: discovery may truncate it and still send empty lines.
            let within = if self.client.has_partial_value() {
                let now = self.runtime.now();
                (*partial_since.get_or_insert(now) + self.timeout).saturating_sub(now)
            } else {
                max_silence
            };
            let read = self.stream.read(&mut self.buffer);
            let count = with_timeout(self.runtime, "data from discovery", within, read).await?;
            if count == 0 {
                return Err(DiscoveryError::ConnectionEnded);
            }
            self.client.receive(&self.buffer[..count]).map_err(|error| self.response_error(error))?;
        }
    }

    /// Adds the time since the request to an error status.
    fn response_error(&self, error: ResponseError) -> DiscoveryError {
        match error {
            ResponseError::Status(_) => {
                let waited = self.runtime.now() - self.started_at;
                DiscoveryError::ErrorStatus { error, waited }
            }
            error => error.into(),
        }
    }
}
