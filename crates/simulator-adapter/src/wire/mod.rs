//! The simulator's wire: batches of events in, one reply with actions for each batch out.
//!
//! A frame is a header, records of a fixed size, and one tail that holds everything of variable length. Numbers are
//! little-endian. Every length and offset is checked before it is used. This module alone knows the wire's names; the
//! rest of the code uses the types of `chalkgap-core`.

mod batch;
mod bytes;
mod decode;
mod error;
mod layout;
mod reply;
#[cfg(test)]
mod tests;

pub use batch::{frame_length, Batch, Record};
pub use decode::Decoded;
pub use error::{FieldError, WireError};
pub use layout::BATCH_HEADER_BYTES;
pub use reply::Reply;
