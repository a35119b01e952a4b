//! What a connection tells its owner, and why it cannot do what its owner wants.

use super::super::frame::Code;
use super::super::hpack::Field;
use bytes::Bytes;

/// What came from the peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The peer's first SETTINGS: it speaks HTTP/2.
    Ready,
    /// Fields of a request or a response, or its trailers where some came before.
    Headers {
        /// The stream.
        stream: u32,
        /// The fields, checked (RFC 9113, section 8.2).
        fields: Vec<Field>,
        /// Nothing follows from the peer.
        end: bool,
    },
    /// A part of a body. It counts against the windows until [`Connection::consumed`](super::Connection::consumed).
    Data {
        /// The stream.
        stream: u32,
        /// The bytes.
        data: Bytes,
        /// Nothing follows from the peer.
        end: bool,
    },
    /// The stream was closed before its end. With REFUSED_STREAM the peer states that it did not process it (section 8.7).
    Reset {
        /// The stream.
        stream: u32,
        /// The code that was sent or received.
        code: Code,
        /// This side closed it, for an error of the peer.
        local: bool,
    },
    /// The peer accepts no new streams. Those above its last id came as `Reset` with REFUSED_STREAM before this.
    GoAway(Code),
    /// The response to [`Connection::ping`](super::Connection::ping).
    Pong,
}

/// Why no stream can be opened now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)]
pub enum OpenError {
    #[error("the peer's {0} streams are in use")]
    Full(u32),
    #[error("the peer takes no new streams")]
    GoingAway,
    #[error("the stream ids are used up")]
    Exhausted,
}

/// Why nothing can be sent on a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)]
pub enum SendError {
    #[error("the stream is closed")]
    Closed,
    #[error("{0} bytes wait for the peer's window, and there is no room for more")]
    Full(usize),
}
