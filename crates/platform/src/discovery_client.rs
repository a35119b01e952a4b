//! The client's half of one HTTP/1.1 request to discovery, free of I/O: the bytes of the request, then the JSON values of
//! the response's body, one after the other, in any layout and in pieces of any size.

use bytes::{Buf, BytesMut};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use ureq_proto::client::state::{RecvBody, RecvResponse};
use ureq_proto::client::{Call, RecvResponseResult, SendRequestResult};
use ureq_proto::http::{header, Request};

/// Bytes of a request, and of a response's head, chunk line or trailer.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Bytes of a value: a complete list of some twenty thousand backends.
const MAX_VALUE_BYTES: usize = 8 << 20;
/// An incomplete value of at most so many bytes is parsed again whenever more of it arrives.
const ALWAYS_PARSED_BYTES: usize = 64 << 10;

/// Why a response of discovery cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ResponseError {
    /// It is not HTTP/1.1.
    #[error("response: expected HTTP/1.1, found {0}; check that the address is discovery's")]
    Http(#[from] ureq_proto::Error),
    /// Its head, a chunk line or the trailer is too long.
    #[error("response: expected a head and chunk lines of at most {MAX_HEAD_BYTES} bytes")]
    HeadTooLong,
    /// Its status is not 200.
    #[error("status: expected 200, found {0}; see discovery's log")]
    Status(u16),
    /// Its body is not of the expected form.
    #[error("body: expected an endpoint list, found {0}")]
    Json(#[from] serde_json::Error),
    /// A value of its body is too long.
    #[error("body: expected values of at most {MAX_VALUE_BYTES} bytes")]
    ValueTooLong,
    /// The request could not be built.
    #[error("request: {0}")]
    Request(#[from] ureq_proto::http::Error),
}

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
    /// So many bytes of `body` were parsed and found to be an incomplete value.
    parsed_bytes: usize,
}

impl DiscoveryClient {
    /// A GET request for a path with its query, and the bytes to write.
    ///
    /// # Errors
    /// [`ResponseError::Request`] if the path is not a valid one.
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
            parsed_bytes: 0,
        };
        Ok((client, bytes))
    }

    /// Takes bytes of the response.
    ///
    /// # Errors
    /// See [`ResponseError`]; the connection is of no further use.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<(), ResponseError> {
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

    /// The next complete value of the body; none if more bytes are needed.
    ///
    /// # Errors
    /// [`ResponseError::Json`] if it is not of this form.
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
            None => None, // white space, which discovery sends as a sign of life
        };
        let consumed = values.byte_offset();
        self.body.advance(consumed);
        self.parsed_bytes = 0;
        Ok(value)
    }

    /// Whether to parse the body. To parse a long value with each piece of it would take the square of its length, so that
    /// is done only when it may be complete or has grown by an eighth.
    fn may_hold_value(&self) -> bool {
        let has_grown = self.body.len() - self.parsed_bytes > self.parsed_bytes / 8;
        let may_be_complete = self.body.trim_ascii_end().last() == Some(&b'}');
        has_grown || self.body.len() <= ALWAYS_PARSED_BYTES || may_be_complete
    }

    /// Whether a value has begun to arrive and is not complete yet.
    pub fn has_partial_value(&self) -> bool {
        !self.body.is_empty()
    }

    /// Whether the body has ended.
    pub fn is_ended(&self) -> bool {
        matches!(self.part, ResponsePart::End)
    }

    /// Decodes the next piece of the input; false if more bytes are needed.
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
        // A body delimited by the connection's close could end at any byte: it ends when the stream does.
        let is_complete = call.can_proceed() && call.body_mode() != ureq_proto::BodyMode::CloseDelimited;
        if !is_complete {
            self.part = ResponsePart::Body(call);
        }
        Ok(consumed > 0 && !is_complete)
    }
}
