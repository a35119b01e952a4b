//! A sans-I/O codec for RESP2: commands as clients send them (arrays of bulk strings) and replies as servers send them.
//!
//! - [`decode_command`], [`decode_reply`]: take one complete item (a command or a reply) off the front of a buffer
//! - [`find_command`]: finds a complete command in a buffer that stays as it is
//! - [`put_command`] and the other `put_` functions: append an item, or a part of one, to a buffer
//! - [`Limits`]: maximum sizes of an item, which also bound the buffer of the caller
//! - [`DecodeError`]: what is invalid, and at which byte

mod decoder;
mod encoder;
mod error;
mod limits;
mod value;

pub use decoder::{decode_command, decode_reply, find_command, CommandPosition};
pub use encoder::{
    put_array_header, put_bulk, put_bulk_header, put_command, put_error, put_null, put_simple_string,
};
pub use error::DecodeError;
pub use limits::Limits;
pub use value::{Command, Value};
