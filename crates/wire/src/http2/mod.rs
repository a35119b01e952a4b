//! HTTP/2 (RFC 9113) as a state machine. [`Connection`] takes received bytes and the current time, returns [`Event`]s,
//! and keeps the bytes to send in [`Connection::output`].

mod connection;
mod frame;
mod hpack;
mod huffman;

pub use connection::{Config, Connection, Event, OpenError, SendError};
pub use frame::{Code, ConnError, PREFACE};
pub use hpack::{Decoder, Encoder, Field, HpackError};
