//! Events of a connection, and the errors of its operations.

use super::super::frame::Code;
use super::super::hpack::Field;
use bytes::Bytes;

/// An event on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The peer's first SETTINGS were received: it speaks HTTP/2.
    Ready,
    /// Fields of a request or response were received. A second event of this kind on a stream carries the trailers.
    Headers {
        /// Id of the stream.
        stream: u32,
        /// The fields, which are valid (RFC 9113, sections 8.2 and 8.3).
        fields: Vec<Field>,
        /// The peer has ended its side of the stream.
        end: bool,
    },
    /// A part of a body was received. It occupies the receive windows until
    /// [`Connection::consumed`](super::Connection::consumed) is called.
    Data {
        /// Id of the stream.
        stream: u32,
        /// The bytes.
        data: Bytes,
        /// The peer has ended its side of the stream.
        end: bool,
    },
    /// The stream was closed before both sides ended it. With REFUSED_STREAM from the peer, the request was not
    /// processed (section 8.7).
    Reset {
        /// Id of the stream.
        stream: u32,
        /// The error code that was sent or received.
        code: Code,
        /// Whether this side closed the stream, because of an error of the peer.
        local: bool,
    },
    /// The peer accepts no new streams. For streams above the last id of the GOAWAY, [`Event::Reset`] with
    /// REFUSED_STREAM was returned before.
    GoAway(Code),
    /// The answer to [`Connection::ping`](super::Connection::ping).
    Pong,
}

/// Why a stream cannot be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)]
pub enum OpenError {
    #[error("all {0} streams that the peer allows are open")]
    Full(u32),
    #[error("the connection accepts no new streams")]
    GoingAway,
    #[error("all stream ids have been used")]
    Exhausted,
}

/// Why data cannot be sent on a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[allow(missing_docs)]
pub enum SendError {
    #[error("the stream is closed")]
    Closed,
    #[error("send buffer full: {0} bytes wait for the peer's flow-control window")]
    Full(usize),
}
