//! gRPC over HTTP/2 ("PROTOCOL-HTTP2" of the gRPC project): message framing, `grpc-timeout`, status and its trailers.

use crate::http2::Field;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::borrow::Cow;

/// A status code of gRPC.
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

    /// The code of a number; what is not known is [`Code::Unknown`].
    pub fn from_number(n: u32) -> Code {
        Code::ALL.get(n as usize).copied().unwrap_or(Code::Unknown)
    }
}

/// How a call ended, with a text for people.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code:?}: {message}")]
pub struct Status {
    /// The code.
    pub code: Code,
    /// What went wrong, where, and what was expected.
    pub message: Cow<'static, str>,
}

impl Status {
    /// A status with a text.
    pub fn new(code: Code, message: impl Into<Cow<'static, str>>) -> Self {
        Status { code, message: message.into() }
    }

    /// Its trailers.
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

    /// Reads the status out of trailers; without one it is [`Code::Unknown`], as the protocol has it.
    pub fn from_fields(fields: &[Field]) -> Status {
        let text = |name: &str| fields.iter().find(|f| f.name == name).map(|f| &f.value);
        let number = text("grpc-status").and_then(|v| std::str::from_utf8(v).ok()?.parse().ok());
        let Some(number) = number else { return Status::new(Code::Unknown, "trailers without grpc-status") };
        let message = text("grpc-message").map(|v| percent_decode(v)).unwrap_or_default();
        Status::new(Code::from_number(number), message)
    }
}

/// Encodes a status text: printable ASCII but for `%` stays, all else becomes `%XX`.
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

/// Decodes a status text. Broken escapes stay as they are, broken UTF-8 is replaced: a text is never lost.
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

/// Reads `grpc-timeout`: one to eight digits and a unit. In microseconds; what is shorter than one rounds down.
pub fn parse_timeout(value: &[u8]) -> Option<u64> {
    let (unit, digits) = value.split_last()?;
    if digits.is_empty() || digits.len() > 8 || !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    let n = digits.iter().fold(0u64, |n, d| n * 10 + u64::from(d - b'0'));
    match unit {
        b'H' => Some(n * 3_600_000_000),
        b'M' => Some(n * 60_000_000),
        b'S' => Some(n * 1_000_000),
        b'm' => Some(n * 1000),
        b'u' => Some(n),
        b'n' => Some(n / 1000),
        _ => None,
    }
}

/// Writes `grpc-timeout` for a span in microseconds, rounded down to what eight digits can say.
pub fn format_timeout(micros: u64) -> String {
    const MOST: u64 = 99_999_999;
    match micros {
        m if m <= MOST => format!("{m}u"),
        m if m / 1000 <= MOST => format!("{}m", m / 1000),
        m => format!("{}S", (m / 1_000_000).min(MOST)),
    }
}

/// Frames a message.
pub fn frame(message: &impl prost::Message) -> Bytes {
    let len = message.encoded_len();
    let mut out = BytesMut::with_capacity(5 + len);
    out.put_u8(0);
    out.put_u32(len as u32);
    // A growing buffer takes any message: the error is for those of fixed size.
    let _ = message.encode(&mut out);
    out.freeze()
}

/// Gathers the messages of one direction of a call out of DATA.
#[derive(Default)]
pub struct Deframer {
    buffer: BytesMut,
    most: usize,
}

impl Deframer {
    /// Takes messages of at most `most` bytes.
    pub fn new(most: usize) -> Self {
        Deframer { buffer: BytesMut::new(), most }
    }

    /// Takes a part of the body. What it holds is bounded by the caller: [`Deframer::message`] is asked after each.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// The next whole message.
    ///
    /// # Errors
    /// UNIMPLEMENTED for a compressed one, RESOURCE_EXHAUSTED for one over the limit, known from its prefix.
    pub fn message(&mut self) -> Result<Option<Bytes>, Status> {
        let Some(prefix) = self.buffer.get(..5) else { return Ok(None) };
        match prefix[0] {
            0 => {}
            1 => return Err(Status::new(Code::Unimplemented, "compressed message: only identity is taken")),
            n => return Err(Status::new(Code::Internal, format!("message flag {n}: expected 0"))),
        }
        let len = u32::from_be_bytes([prefix[1], prefix[2], prefix[3], prefix[4]]) as usize;
        if len > self.most {
            let text = format!("message of {len} bytes: at most {} are taken", self.most);
            return Err(Status::new(Code::ResourceExhausted, text));
        }
        if self.buffer.len() < 5 + len {
            return Ok(None);
        }
        self.buffer.advance(5);
        Ok(Some(self.buffer.split_to(len).freeze()))
    }

    /// Whether bytes of an unfinished message are held.
    pub fn partial(&self) -> bool {
        !self.buffer.is_empty()
    }
}
