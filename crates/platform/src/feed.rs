//! The client's half of one call to discovery, free of I/O: the question's bytes, then the JSON values of the answer's body,
//! one after the other, however they are laid out and cut. HTTP/1.1 is `ureq-proto`'s, JSON is `serde_json`'s.

use bytes::{Buf, BytesMut};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use ureq_proto::client::state::{RecvBody, RecvResponse};
use ureq_proto::client::{Call, RecvResponseResult, SendRequestResult};
use ureq_proto::http::{header, Request};

/// Bytes of a question, and of an answer's head, chunk line or trailer.
const MOST_HEAD: usize = 16 << 10;
/// Bytes of a value: a whole list of some twenty thousand backends.
const MOST_VALUE: usize = 8 << 20;
/// Bytes of a value that is read anew whenever more of it comes.
const SHORT: usize = 64 << 10;

/// Why an answer cannot be followed.
#[derive(Debug, thiserror::Error)]
pub enum FeedError {
    /// It is not HTTP/1.1.
    #[error("answer: expected HTTP/1.1, found {0}; see that the address is discovery's")]
    Http(#[from] ureq_proto::Error),
    /// A head or the like that is too long.
    #[error("answer: expected a head and chunk lines of at most {MOST_HEAD} bytes")]
    Long,
    /// Another status.
    #[error("status: expected 200, found {0}; see discovery's log")]
    Status(u16),
    /// The body holds something else.
    #[error("body: expected a list of backends, found {0}")]
    Json(#[from] serde_json::Error),
    /// A value is too long.
    #[error("body: expected values of at most {MOST_VALUE} bytes")]
    Value,
    /// The question cannot be put.
    #[error("question: {0}")]
    Question(#[from] ureq_proto::http::Error),
}

enum Part {
    Head(Call<RecvResponse>),
    Body(Call<RecvBody>),
    End,
}

/// One call.
pub struct Feed {
    part: Part,
    input: BytesMut,
    body: BytesMut,
    /// How much of `body` was found to be the beginning of a value.
    tried: usize,
}

impl Feed {
    /// A call for a path with its query, and the bytes to write.
    ///
    /// # Errors
    /// [`FeedError::Question`], where the path cannot be one.
    pub fn ask(address: SocketAddr, path: &str) -> Result<(Feed, Vec<u8>), FeedError> {
        let question = Request::get(format!("http://{address}{path}"))
            .header(header::ACCEPT, "application/json")
            .body(())?;
        let mut call = Call::new(question)?.proceed();
        let mut bytes = vec![0; MOST_HEAD];
        let n = call.write(&mut bytes)?;
        bytes.truncate(n);
        let Some(SendRequestResult::RecvResponse(call)) = call.proceed()? else {
            return Err(ureq_proto::Error::OutputOverflow.into()); // a question without a body is one piece
        };
        let feed = Feed { part: Part::Head(call), input: BytesMut::new(), body: BytesMut::new(), tried: 0 };
        Ok((feed, bytes))
    }

    /// Bytes came.
    ///
    /// # Errors
    /// See [`FeedError`]; the connection is of no further use.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), FeedError> {
        self.input.extend_from_slice(bytes);
        while self.step()? {}
        if self.input.len() > MOST_HEAD && !self.ended() {
            return Err(FeedError::Long);
        }
        if self.body.len() > MOST_VALUE {
            return Err(FeedError::Value);
        }
        Ok(())
    }

    /// The next whole value of the body; none: it has not come yet.
    ///
    /// # Errors
    /// [`FeedError::Json`], where it is none of this form.
    pub fn value<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FeedError> {
        // To read a long value from its beginning at each piece of it would cost the square of its length: then only where
        // it may be whole, or has grown by an eighth.
        let grown = self.body.len() - self.tried > self.tried / 8;
        if !grown && self.body.len() > SHORT && self.body.trim_ascii_end().last() != Some(&b'}') {
            return Ok(None);
        }
        let mut values = serde_json::Deserializer::from_slice(&self.body).into_iter::<T>();
        let value = match values.next() {
            Some(Ok(value)) => Some(value),
            Some(Err(e)) if !e.is_eof() => return Err(e.into()),
            Some(Err(_)) => {
                self.tried = self.body.len();
                return Ok(None);
            }
            None => None, // white space: it is alive
        };
        let read = values.byte_offset();
        self.body.advance(read);
        self.tried = 0;
        Ok(value)
    }

    /// Whether a value has begun to come and is not whole yet.
    pub fn begun(&self) -> bool {
        !self.body.is_empty()
    }

    /// Whether the body has come to its end.
    pub fn ended(&self) -> bool {
        matches!(self.part, Part::End)
    }

    fn step(&mut self) -> Result<bool, FeedError> {
        match std::mem::replace(&mut self.part, Part::End) {
            Part::Head(mut call) => {
                let (read, head) = call.try_response(&self.input, false)?;
                self.input.advance(read);
                let Some(head) = head else {
                    self.part = Part::Head(call);
                    return Ok(read > 0);
                };
                if head.status().as_u16() != 200 {
                    return Err(FeedError::Status(head.status().as_u16()));
                }
                if let Some(RecvResponseResult::RecvBody(call)) = call.proceed() {
                    self.part = Part::Body(call);
                }
                Ok(true)
            }
            Part::Body(mut call) => {
                let at = self.body.len();
                self.body.resize(at + self.input.len(), 0);
                let (read, written) = call.read(&self.input, &mut self.body[at..])?;
                self.body.truncate(at + written);
                self.input.advance(read);
                // One that ends with the connection can always be left: its end is the connection's.
                let over = call.can_proceed() && call.body_mode() != ureq_proto::BodyMode::CloseDelimited;
                if !over {
                    self.part = Part::Body(call);
                }
                Ok(read > 0 && !over)
            }
            Part::End => Ok(false),
        }
    }
}
