//! The client side of one HTTP/1.1 request to discovery, without I/O. It encodes the request and decodes the response's body as
//! a sequence of JSON values, in any layout and received in pieces of any size.

use bytes::{Buf, BytesMut};
use chalkgap_transport::{MemoryBudget, MemoryOwner, MemoryReservation};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use ureq_proto::client::state::{RecvBody, RecvResponse};
use ureq_proto::client::{Call, RecvResponseResult, SendRequestResult};
use ureq_proto::http::{header, Request};

/// Maximum size of a request, and of the head, a chunk line or the trailer of a response, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum size of a JSON value in bytes: a complete list of about 20,000 backends.
const MAX_VALUE_BYTES: usize = 8 << 20;
/// An incomplete value of up to this many bytes is parsed again whenever more of it arrives.
const ALWAYS_PARSED_BYTES: usize = 64 << 10;

/// Why a request to discovery cannot be made or its response cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ResponseError {
    /// The response is not valid HTTP/1.1.
    #[error("response: expected HTTP/1.1, found {0}; check that the address is discovery's")]
    Http(#[from] ureq_proto::Error),
    /// The response's head, a chunk line or the trailer exceeds `MAX_HEAD_BYTES`.
    #[error("response: expected a head and chunk lines of at most {MAX_HEAD_BYTES} bytes")]
    HeadTooLong,
    /// The response's status is not 200.
    #[error("status: expected 200, found {0}; see discovery's log")]
    Status(u16),
    /// The response's body is not JSON of the expected form.
    #[error("body: expected an endpoint list, found {0}")]
    Json(#[from] serde_json::Error),
    /// A JSON value of the body exceeds `MAX_VALUE_BYTES`.
    #[error("body: expected values of at most {MAX_VALUE_BYTES} bytes")]
    ValueTooLong,
    /// There is not enough memory for a JSON value of the body.
    #[error("body: expected a list for which there is memory, found {0} bytes of it")]
    OutOfMemory(usize),
    /// The request could not be built.
    #[error("request: {0}")]
    Request(#[from] ureq_proto::http::Error),
}

/// The part of the response that is being received.
enum ResponsePart {
    Head(Call<RecvResponse>),
    Body(Call<RecvBody>),
    End,
}

/// One request and its response.
pub struct DiscoveryClient {
    part: ResponsePart,
    input: BytesMut,
    body: BytesMut,
    /// The memory of `input` and `body`.
    memory: MemoryReservation,
    /// Length of the incomplete value in `body` when it was last parsed; 0 if it was not parsed yet.
    parsed_bytes: usize,
}

impl DiscoveryClient {
    /// Creates a GET request for `path`, which may include a query. Returns the client and the bytes to send.
    ///
    /// # Errors
    /// [`ResponseError::Request`] if the path is invalid, [`ResponseError::Http`] if the request exceeds
    /// `MAX_HEAD_BYTES`.
    pub fn get(address: SocketAddr, path: &str) -> Result<(DiscoveryClient, Vec<u8>), ResponseError> {
        let request = Request::get(format!("http://{address}{path}"))
            .header(header::ACCEPT, "application/json")
            .body(())?;
        let mut call = Call::new(request)?.proceed();
        let mut bytes = vec![0; MAX_HEAD_BYTES];
        let length = call.write(&mut bytes)?;
        bytes.truncate(length);
        let Some(SendRequestResult::RecvResponse(call)) = call.proceed()? else {
            return Err(ureq_proto::Error::OutputOverflow.into()); // a request without a body is a single write
        };
        let client = DiscoveryClient {
            part: ResponsePart::Head(call),
            input: BytesMut::new(),
            body: BytesMut::new(),
            memory: MemoryBudget::unlimited().reservation(MemoryOwner::Endpoints),
            parsed_bytes: 0,
        };
        Ok((client, bytes))
    }

    /// Counts the memory of the response in a budget, instead of without a limit.
    #[must_use]
    pub fn with_memory(mut self, memory: &Arc<MemoryBudget>) -> Self {
        self.memory = memory.reservation(MemoryOwner::Endpoints);
        self
    }

    /// Decodes received bytes of the response.
    ///
    /// # Errors
    /// [`ResponseError::Http`], [`ResponseError::HeadTooLong`], [`ResponseError::Status`], [`ResponseError::ValueTooLong`] or
    /// [`ResponseError::OutOfMemory`]. The connection cannot be used afterwards.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<(), ResponseError> {
        self.reserve(bytes.len())?;
        self.input.extend_from_slice(bytes);
        while self.step()? {}
        if self.input.len() > MAX_HEAD_BYTES && !self.is_ended() {
            return Err(ResponseError::HeadTooLong);
        }
        if self.body.len() > MAX_VALUE_BYTES {
            return Err(ResponseError::ValueTooLong);
        }
        Ok(())
    }

    /// Reserves memory for `count` more bytes: buffers that have to grow double their capacity.
    fn reserve(&mut self, count: usize) -> Result<(), ResponseError> {
        let buffered = self.input.len() + self.body.len() + count;
        let missing = (2 * buffered).saturating_sub(self.memory.bytes());
        if missing == 0 || self.memory.grow(missing) {
            return Ok(());
        }
        Err(ResponseError::OutOfMemory(self.body.len()))
    }

    /// Takes the next JSON value from the received body; returns `None` if more bytes are needed.
    ///
    /// # Errors
    /// [`ResponseError::Json`] if the value is not a valid `T`.
    pub fn next_value<T: DeserializeOwned>(&mut self) -> Result<Option<T>, ResponseError> {
        if !self.may_hold_value() {
            return Ok(None);
        }
        let mut values = serde_json::Deserializer::from_slice(&self.body).into_iter::<T>();
        let value = match values.next() {
            Some(Ok(value)) => Some(value),
            Some(Err(error)) if !error.is_eof() => return Err(error.into()),
            Some(Err(_)) => {
                self.parsed_bytes = self.body.len();
                return Ok(None);
            }
            None => None, // white space, which discovery sends to show that the watch is alive
        };
        let consumed = values.byte_offset();
        self.body.advance(consumed);
        self.parsed_bytes = 0;
        if self.body.is_empty() {
            self.body = BytesMut::new(); // a watch stays open for long
            self.memory.resize(self.input.capacity());
        }
        Ok(value)
    }

    /// Whether to parse the body. Parsing a long value again with each received piece would take quadratic time, so it is
    /// parsed only when it may be complete or has grown by an eighth.
    fn may_hold_value(&self) -> bool {
        let has_grown = self.body.len() - self.parsed_bytes > self.parsed_bytes / 8;
        let may_be_complete = self.body.trim_ascii_end().last() == Some(&b'}');
        has_grown || self.body.len() <= ALWAYS_PARSED_BYTES || may_be_complete
    }

    /// Whether a part of the next value has been received.
    pub fn has_partial_value(&self) -> bool {
        !self.body.is_empty()
    }

    /// Whether the response has ended.
    pub fn is_ended(&self) -> bool {
        matches!(self.part, ResponsePart::End)
    }

    /// Decodes the next part of the input; returns false if more bytes are needed.
    fn step(&mut self) -> Result<bool, ResponseError> {
        match std::mem::replace(&mut self.part, ResponsePart::End) {
            ResponsePart::Head(call) => self.step_head(call),
            ResponsePart::Body(call) => self.step_body(call),
            ResponsePart::End => Ok(false),
        }
    }

    fn step_head(&mut self, mut call: Call<RecvResponse>) -> Result<bool, ResponseError> {
        let (consumed, head) = call.try_response(&self.input, false)?;
        self.input.advance(consumed);
        let Some(head) = head else {
            self.part = ResponsePart::Head(call);
            return Ok(consumed > 0);
        };
        let status = head.status().as_u16();
        if status != 200 {
            return Err(ResponseError::Status(status));
        }
        if let Some(RecvResponseResult::RecvBody(call)) = call.proceed() {
            self.part = ResponsePart::Body(call);
        }
        Ok(true)
    }

    fn step_body(&mut self, mut call: Call<RecvBody>) -> Result<bool, ResponseError> {
        let decoded = self.body.len();
        self.body.resize(decoded + self.input.len(), 0);
        let (consumed, written) = call.read(&self.input, &mut self.body[decoded..])?;
        self.body.truncate(decoded + written);
        self.input.advance(consumed);
        // A body that is delimited by the close of the connection (RFC 9112, section 6.3) ends when the stream ends.
        let is_complete = call.can_proceed() && call.body_mode() != ureq_proto::BodyMode::CloseDelimited;
        if !is_complete {
            self.part = ResponsePart::Body(call);
        }
        Ok(consumed > 0 && !is_complete)
    }
}
