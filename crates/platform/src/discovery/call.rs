//! One request to discovery on its own connection.

use super::error::DiscoveryError;
use crate::discovery_client::{DiscoveryClient, ResponseError};
use crate::endpoint_list::EndpointList;
use chalkgap_runtime::{Alarm, BoxFuture, Micros, Shared, Stream};
use chalkgap_transport::MemoryBudget;
use futures_lite::{ready, AsyncRead, AsyncWriteExt};
use std::fmt;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

const READ_BUFFER_BYTES: usize = 8 << 10;
/// Maximum number of consecutive reads without a wait before the task yields. Discovery may send without end.
const READS_BEFORE_YIELD: u32 = 16;

/// What a call requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListRequest {
    /// The complete list. The current one has this version.
    Complete { current: u64 },
    /// A watch, which returns the changes since this version and then each change.
    Watch { from: u64 },
}

impl ListRequest {
    /// Returns the version that is known when the request is made.
    fn base(self) -> u64 {
        match self {
            ListRequest::Complete { current: base } | ListRequest::Watch { from: base } => base,
        }
    }

    fn path(self) -> String {
        match self {
            ListRequest::Complete { .. } => "/api/targets".to_owned(),
            ListRequest::Watch { from } => format!("/api/targets?watch=1&from={from}"),
        }
    }
}

impl fmt::Display for ListRequest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ListRequest::Complete { .. } => "complete list",
            ListRequest::Watch { .. } => "watch",
        })
    }
}

/// How far a call has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallPhase {
    /// The connection is not established, or the request is not sent completely.
    Connecting,
    /// The request was sent, and nothing has been received.
    AwaitingAnswer,
    /// The answer has begun, and no part of the next list has been received.
    AwaitingList,
    /// A part of the next list has been received.
    ReadingList,
}

impl fmt::Display for CallPhase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            CallPhase::Connecting => "connecting",
            CallPhase::AwaitingAnswer => "awaiting the answer",
            CallPhase::AwaitingList => "awaiting a list",
            CallPhase::ReadingList => "reading a list",
        })
    }
}

/// A list that a call has received.
#[derive(Debug)]
pub(super) struct ReceivedList {
    pub(super) list: EndpointList,
    /// The version that the call had received before, or that was known when the request was made.
    pub(super) base: u64,
}

/// A call that failed, for the log.
#[derive(Debug)]
pub(super) struct FailedCall {
    pub(super) request: ListRequest,
    /// How far the call got.
    pub(super) phase: CallPhase,
    /// Time from its start to its end.
    pub(super) age: Micros,
    pub(super) error: DiscoveryError,
}

/// The longest times without progress after which a call fails.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallTimeouts {
    /// For the connection and the request.
    pub(super) connect: Micros,
    /// Without any data between two lists, or before the first.
    pub(super) silence: Micros,
    /// For a list of which a part has been received. It has a timeout of its own, as discovery may truncate a list and still
    /// send empty lines.
    pub(super) partial_list: Micros,
}

enum Connection {
    Opening(BoxFuture<'static, std::io::Result<Box<dyn Stream>>>),
    Open(Box<dyn Stream>),
}

/// A request to discovery on its own connection. Dropping it closes the connection.
pub(super) struct DiscoveryCall {
    runtime: Shared,
    request: ListRequest,
    started_at: Micros,
    connection: Connection,
    client: DiscoveryClient,
    /// The version of the last list that was received, or the one that was known when the request was made.
    version: u64,
    /// Whether any byte of the answer has been received.
    has_answered: bool,
    /// When the call last made progress: it began, the request was sent, or data arrived.
    last_progress_at: Micros,
    /// When the first part of the next list was received.
    partial_since: Option<Micros>,
    /// Number of reads since the last wait.
    reads_without_wait: u32,
    alarm: Alarm,
}

impl DiscoveryCall {
    /// Makes `request` to `address`. The connection is established when the call is polled.
    pub(super) fn start(
        runtime: &Shared,
        memory: &Arc<MemoryBudget>,
        address: SocketAddr,
        request: ListRequest,
    ) -> Result<DiscoveryCall, FailedCall> {
        let get = DiscoveryClient::get(address, &request.path());
        let (client, request_bytes) = get.map_err(|error| FailedCall {
            request,
            phase: CallPhase::Connecting,
            age: 0,
            error: error.into(),
        })?;
        let connect = runtime.connect(address);
        let opening = async move {
            let mut stream = connect.await?;
            stream.write_all(&request_bytes).await?;
            Ok(stream)
        };
        let now = runtime.now();
        Ok(DiscoveryCall {
            runtime: runtime.clone(),
            request,
            started_at: now,
            connection: Connection::Opening(Box::pin(opening)),
            client: client.with_memory(memory),
            version: request.base(),
            has_answered: false,
            last_progress_at: now,
            partial_since: None,
            reads_without_wait: 0,
            alarm: Alarm::new(runtime.clone()),
        })
    }

    /// Returns the time since the start of the call.
    pub(super) fn age(&self) -> Micros {
        self.runtime.now().saturating_sub(self.started_at)
    }

    /// Reports that the call ended with `error`.
    pub(super) fn failed(&self, error: DiscoveryError) -> FailedCall {
        FailedCall { request: self.request, phase: self.phase(), age: self.age(), error }
    }

    /// Returns the version of the last list that was received, or the one that was known when the request was made.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Returns how far the call has got.
    pub(super) fn phase(&self) -> CallPhase {
        match self.connection {
            Connection::Opening(_) => CallPhase::Connecting,
            Connection::Open(_) if !self.has_answered => CallPhase::AwaitingAnswer,
            Connection::Open(_) if !self.client.has_partial_value() => CallPhase::AwaitingList,
            Connection::Open(_) => CallPhase::ReadingList,
        }
    }

    /// Reads the next list. Fails if there is no progress within `timeouts`.
    pub(super) async fn next_list(&mut self, timeouts: CallTimeouts) -> Result<ReceivedList, DiscoveryError> {
        poll_fn(|cx| {
            if let Poll::Ready(list) = self.poll_list(cx) {
                return Poll::Ready(list);
            }
            let phase = self.phase();
            let (since, within) = match phase {
                CallPhase::Connecting => (self.started_at, timeouts.connect),
                CallPhase::AwaitingAnswer | CallPhase::AwaitingList => {
                    (self.last_progress_at, timeouts.silence)
                }
                CallPhase::ReadingList => {
                    (self.partial_since.unwrap_or(self.last_progress_at), timeouts.partial_list)
                }
            };
            ready!(self.alarm.poll(Some(since + within), cx));
            Poll::Ready(Err(DiscoveryError::Timeout { phase, within }))
        })
        .await
    }

    /// Ready with the next list, or with the reason why there will be none.
    pub(super) fn poll_list(&mut self, cx: &mut Context<'_>) -> Poll<Result<ReceivedList, DiscoveryError>> {
        loop {
            if let Some(list) = self.client.next_value::<EndpointList>()? {
                self.partial_since = None;
                let base = std::mem::replace(&mut self.version, list.version);
                return Poll::Ready(Ok(ReceivedList { list, base }));
            }
            if self.client.is_ended() {
                return Poll::Ready(Err(DiscoveryError::ConnectionEnded));
            }
            self.partial_since = match self.client.has_partial_value() {
                true => self.partial_since.or(Some(self.last_progress_at)),
                false => None,
            };
            ready!(self.poll_receive(cx))?;
        }
    }

    /// Receives some data, on the connection that is established first if necessary.
    fn poll_receive(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), DiscoveryError>> {
        let phase = self.phase();
        let io_error = |error| DiscoveryError::Io { phase, error };
        let stream = match &mut self.connection {
            Connection::Open(stream) => stream,
            Connection::Opening(opening) => {
                let stream = ready!(opening.as_mut().poll(cx)).map_err(io_error)?;
                self.connection = Connection::Open(stream);
                self.last_progress_at = self.runtime.now();
                return Poll::Ready(Ok(()));
            }
        };
        if self.reads_without_wait >= READS_BEFORE_YIELD {
            self.reads_without_wait = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let mut buffer = [0; READ_BUFFER_BYTES];
        let Poll::Ready(read) = Pin::new(stream).poll_read(cx, &mut buffer) else {
            self.reads_without_wait = 0;
            return Poll::Pending;
        };
        self.reads_without_wait += 1;
        let count = read.map_err(io_error)?;
        if count == 0 {
            return Poll::Ready(Err(DiscoveryError::ConnectionEnded));
        }
        self.has_answered = true;
        self.last_progress_at = self.runtime.now();
        let received = self.client.receive(&buffer[..count]);
        Poll::Ready(received.map_err(|error| self.response_error(error)))
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
