//! gRPC over HTTP/2, as specified by "PROTOCOL-HTTP2" of the gRPC project: message framing, `grpc-timeout`, and the
//! trailers with the status.

use crate::http2::Field;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::borrow::Cow;

/// A gRPC status code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[allow(missing_docs)] // the names are gRPC's
pub enum Code {
    Ok = 0,
    Cancelled = 1,
    Unknown = 2,
    InvalidArgument = 3,
    DeadlineExceeded = 4,
    NotFound = 5,
    AlreadyExists = 6,
    PermissionDenied = 7,
    ResourceExhausted = 8,
    FailedPrecondition = 9,
    Aborted = 10,
    OutOfRange = 11,
    Unimplemented = 12,
    Internal = 13,
    Unavailable = 14,
    DataLoss = 15,
    Unauthenticated = 16,
}

impl Code {
    const ALL: [Code; 17] = [
        Code::Ok,
        Code::Cancelled,
        Code::Unknown,
        Code::InvalidArgument,
        Code::DeadlineExceeded,
        Code::NotFound,
        Code::AlreadyExists,
        Code::PermissionDenied,
        Code::ResourceExhausted,
        Code::FailedPrecondition,
        Code::Aborted,
        Code::OutOfRange,
        Code::Unimplemented,
        Code::Internal,
        Code::Unavailable,
        Code::DataLoss,
        Code::Unauthenticated,
    ];

    /// Returns the code with this number, or [`Code::Unknown`] if there is none.
    pub fn from_number(number: u32) -> Code {
        Code::ALL.get(number as usize).copied().unwrap_or(Code::Unknown)
    }
}

/// Status of a call that has ended.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code:?}: {message}")]
pub struct Status {
    /// The status code.
    pub code: Code,
    /// Human-readable description: the place of the error, the value found and the value expected.
    pub message: Cow<'static, str>,
}

impl Status {
    /// Creates a status.
    pub fn new(code: Code, message: impl Into<Cow<'static, str>>) -> Self {
        Status { code, message: message.into() }
    }

    /// Returns the trailers that carry the status.
    pub fn fields(&self) -> Vec<Field> {
        const CODES: [&str; 17] =
            ["0", "1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11", "12", "13", "14", "15", "16"];
        let mut fields =
            vec![Field::new("grpc-status", Bytes::from_static(CODES[self.code as usize].as_bytes()))];
        if !self.message.is_empty() {
            fields.push(Field::new("grpc-message", percent_encode(&self.message)));
        }
        fields
    }

    /// Reads the status from trailers. Without a valid `grpc-status` it is [`Code::Unknown`].
    pub fn from_fields(fields: &[Field]) -> Status {
        let text = |name: &str| fields.iter().find(|f| f.name == name).map(|f| &f.value);
        let number = text("grpc-status").and_then(|v| std::str::from_utf8(v).ok()?.parse().ok());
        let Some(number) = number else {
            return Status::new(Code::Unknown, "trailers without a valid grpc-status");
        };
        let message = text("grpc-message").map(|v| percent_decode(v)).unwrap_or_default();
        Status::new(Code::from_number(number), message)
    }
}

/// Percent-encodes a status message: every byte that is not printable ASCII, and `%`, becomes `%XX`.
pub fn percent_encode(text: &str) -> Bytes {
    let mut out = Vec::with_capacity(text.len());
    for b in text.bytes() {
        if (0x20..=0x7e).contains(&b) && b != b'%' {
            out.push(b);
        } else {
            const HEX: &[u8; 16] = b"0123456789ABCDEF";
            out.extend_from_slice(&[b'%', HEX[usize::from(b >> 4)], HEX[usize::from(b & 15)]]);
        }
    }
    out.into()
}

/// Decodes a percent-encoded status message. Invalid escapes are kept unchanged and invalid UTF-8 is replaced: the
/// protocol forbids discarding the message.
pub fn percent_decode(value: &[u8]) -> String {
    let mut out = Vec::with_capacity(value.len());
    let mut rest = value;
    while let Some((b, tail)) = rest.split_first() {
        let hex = |at: usize| tail.get(at).and_then(|d| char::from(*d).to_digit(16));
        match (b, hex(0), hex(1)) {
            (b'%', Some(high), Some(low)) => {
                out.push((high * 16 + low) as u8);
                rest = &tail[2..];
            }
            _ => {
                out.push(*b);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Parses `grpc-timeout`, one to eight digits and a unit. Returns microseconds, rounded down; `None` if it is invalid.
pub fn parse_timeout(value: &[u8]) -> Option<u64> {
    let (unit, digits) = value.split_last()?;
    if digits.is_empty() || digits.len() > 8 || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    let amount = digits.iter().fold(0u64, |amount, digit| amount * 10 + u64::from(digit - b'0'));
    match unit {
        b'H' => Some(amount * 3_600_000_000),
        b'M' => Some(amount * 60_000_000),
        b'S' => Some(amount * 1_000_000),
        b'm' => Some(amount * 1000),
        b'u' => Some(amount),
        b'n' => Some(amount / 1000),
        _ => None,
    }
}

/// Formats a duration in microseconds for `grpc-timeout`, in the smallest unit whose value has at most eight digits.
/// The value is rounded down.
pub fn format_timeout(micros: u64) -> String {
    const MAX_VALUE: u64 = 99_999_999;
    match micros {
        m if m <= MAX_VALUE => format!("{m}u"),
        m if m / 1000 <= MAX_VALUE => format!("{}m", m / 1000),
        m => format!("{}S", (m / 1_000_000).min(MAX_VALUE)),
    }
}

/// Encodes a message as a length-prefixed message without compression.
pub fn frame(message: &impl prost::Message) -> Bytes {
    let len = message.encoded_len();
    let mut out = BytesMut::with_capacity(5 + len);
    out.put_u8(0);
    out.put_u32(len as u32);
    // Encoding fails only if the buffer cannot grow.
    let _ = message.encode(&mut out);
    out.freeze()
}

/// Splits the DATA of one direction of a call into messages.
#[derive(Default)]
pub struct Deframer {
    buffer: BytesMut,
    max_message_bytes: usize,
}

impl Deframer {
    /// Creates a deframer for messages of at most `max_message_bytes`.
    pub fn new(max_message_bytes: usize) -> Self {
        Deframer { buffer: BytesMut::new(), max_message_bytes }
    }

    /// Adds a part of the body. To bound the buffer, call [`Deframer::message`] after each part until it returns no
    /// message.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Returns the next complete message.
    ///
    /// # Errors
    /// UNIMPLEMENTED if the message is compressed, INTERNAL if its flag is invalid, and RESOURCE_EXHAUSTED if its
    /// prefix announces a length over the limit.
    pub fn message(&mut self) -> Result<Option<Bytes>, Status> {
        let Some(prefix) = self.buffer.get(..5) else { return Ok(None) };
        match prefix[0] {
            0 => {}
            1 => return Err(Status::new(Code::Unimplemented, "compressed message: only identity is taken")),
            flag => return Err(Status::new(Code::Internal, format!("message flag {flag}: expected 0"))),
        }
        let len = u32::from_be_bytes([prefix[1], prefix[2], prefix[3], prefix[4]]) as usize;
        if len > self.max_message_bytes {
            let text = format!("message of {len} bytes: at most {} are taken", self.max_message_bytes);
            return Err(Status::new(Code::ResourceExhausted, text));
        }
        if self.buffer.len() < 5 + len {
            return Ok(None);
        }
        self.buffer.advance(5);
        Ok(Some(self.buffer.split_to(len).freeze()))
    }

    /// Returns whether the buffer contains part of a message.
    pub fn partial(&self) -> bool {
        !self.buffer.is_empty()
    }
}
