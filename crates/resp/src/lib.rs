//! RESP2, free of I/O: commands as clients send them (arrays of bulk strings) and replies as servers send them.
//!
//! - [`decode_command`], [`decode_reply`]: take one complete item off the front of a buffer, or say that more bytes are
//!   needed, or what is wrong and where
//! - [`put_command`] and its like: append an item to a buffer
//! - [`Limits`]: what an item may hold, so that a buffer never has to hold more

mod decoder;
mod encoder;
mod error;
mod limits;
mod value;

pub use decoder::{decode_command, decode_reply};
pub use encoder::{put_array_header, put_bulk, put_command, put_error, put_null, put_simple_string};
pub use error::DecodeError;
pub use limits::Limits;
pub use value::{Command, Value};
