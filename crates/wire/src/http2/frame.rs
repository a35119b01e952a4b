//! Frame encoding (RFC 9113, sections 4 and 6), error codes and connection errors.

use bytes::{BufMut, Bytes, BytesMut};
use std::fmt;

/// The connection preface of a client (RFC 9113, section 3.4).
pub const PREFACE: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

// Frame types (section 6).
pub const DATA: u8 = 0;
pub const HEADERS: u8 = 1;
pub const PRIORITY: u8 = 2;
pub const RST_STREAM: u8 = 3;
pub const SETTINGS: u8 = 4;
pub const PUSH_PROMISE: u8 = 5;
pub const PING: u8 = 6;
pub const GOAWAY: u8 = 7;
pub const WINDOW_UPDATE: u8 = 8;
pub const CONTINUATION: u8 = 9;

// Frame flags (section 6).
pub const END_STREAM: u8 = 0x1;
pub const ACK: u8 = 0x1;
pub const END_HEADERS: u8 = 0x4;
pub const PADDED: u8 = 0x8;
pub const PRIORITIZED: u8 = 0x20;

/// Size of a frame header (section 4.1).
pub const FRAME_HEADER_BYTES: usize = 9;

/// An error code (RFC 9113, section 7).
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Code(pub u32);

#[allow(missing_docs)] // the names are the RFC's
impl Code {
    pub const NO_ERROR: Code = Code(0);
    pub const PROTOCOL_ERROR: Code = Code(1);
    pub const INTERNAL_ERROR: Code = Code(2);
    pub const FLOW_CONTROL_ERROR: Code = Code(3);
    pub const SETTINGS_TIMEOUT: Code = Code(4);
    pub const STREAM_CLOSED: Code = Code(5);
    pub const FRAME_SIZE_ERROR: Code = Code(6);
    pub const REFUSED_STREAM: Code = Code(7);
    pub const CANCEL: Code = Code(8);
    pub const COMPRESSION_ERROR: Code = Code(9);
    pub const CONNECT_ERROR: Code = Code(10);
    pub const ENHANCE_YOUR_CALM: Code = Code(11);
    pub const INADEQUATE_SECURITY: Code = Code(12);
    pub const HTTP_1_1_REQUIRED: Code = Code(13);
}

impl fmt::Debug for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const NAMES: [&str; 14] = [
            "NO_ERROR",
            "PROTOCOL_ERROR",
            "INTERNAL_ERROR",
            "FLOW_CONTROL_ERROR",
            "SETTINGS_TIMEOUT",
            "STREAM_CLOSED",
            "FRAME_SIZE_ERROR",
            "REFUSED_STREAM",
            "CANCEL",
            "COMPRESSION_ERROR",
            "CONNECT_ERROR",
            "ENHANCE_YOUR_CALM",
            "INADEQUATE_SECURITY",
            "HTTP_1_1_REQUIRED",
        ];
        match NAMES.get(self.0 as usize) {
            Some(name) => f.write_str(name),
            None => write!(f, "code {:#x}", self.0),
        }
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

/// An error that ends the connection. The GOAWAY that reports it has already been added to the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code}: {reason}")]
pub struct ConnError {
    /// Error code of the GOAWAY.
    pub code: Code,
    /// Description of the error, which the GOAWAY carries as debug data.
    pub reason: &'static str,
}

impl ConnError {
    pub(crate) const fn new(code: Code, reason: &'static str) -> Self {
        ConnError { code, reason }
    }
}

/// A frame header (section 4.1).
#[derive(Clone, Copy, Debug)]
pub struct FrameHeader {
    pub len: usize,
    pub kind: u8,
    pub flags: u8,
    pub stream: u32,
}

impl FrameHeader {
    /// Reads a header.
    ///
    /// # Panics
    /// If `b` is shorter than [`FRAME_HEADER_BYTES`].
    pub fn read(b: &[u8]) -> FrameHeader {
        let len = usize::from(b[0]) << 16 | usize::from(b[1]) << 8 | usize::from(b[2]);
        let stream = u32::from_be_bytes([b[5], b[6], b[7], b[8]]) & 0x7fff_ffff;
        FrameHeader { len, kind: b[3], flags: b[4], stream }
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }
}

pub fn write_frame_header(out: &mut BytesMut, len: usize, kind: u8, flags: u8, stream: u32) {
    out.reserve(FRAME_HEADER_BYTES + len);
    out.put_uint(len as u64, 3);
    out.put_u8(kind);
    out.put_u8(flags);
    out.put_u32(stream);
}

pub fn write_u32(out: &mut BytesMut, kind: u8, stream: u32, value: u32) {
    write_frame_header(out, 4, kind, 0, stream);
    out.put_u32(value);
}

pub fn write_goaway(out: &mut BytesMut, last: u32, code: Code, debug: &[u8]) {
    write_frame_header(out, 8 + debug.len(), GOAWAY, 0, 0);
    out.put_u32(last);
    out.put_u32(code.0);
    out.put_slice(debug);
}

pub fn write_settings(out: &mut BytesMut, list: &[(u16, u32)]) {
    write_frame_header(out, 6 * list.len(), SETTINGS, 0, 0);
    for (id, value) in list {
        out.put_u16(*id);
        out.put_u32(*value);
    }
}

/// Removes the padding of a frame (sections 6.1 and 6.2). Returns `None` if it is longer than the payload.
pub fn unpad(header: &FrameHeader, mut payload: Bytes) -> Option<Bytes> {
    if header.has(PADDED) {
        let padding_bytes = usize::from(*payload.first()?);
        if padding_bytes + 1 > payload.len() {
            return None;
        }
        payload = payload.slice(1..payload.len() - padding_bytes);
    }
    Some(payload)
}
