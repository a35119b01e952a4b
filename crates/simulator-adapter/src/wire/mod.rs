//! The simulator's wire protocol: batches of events come in, and each is answered by one reply with actions.
//!
//! A frame is a header, records of a fixed size, and one tail that holds everything of variable length. Numbers are
//! little-endian. Every length and offset is checked before it is used. Only this module uses the protocol's
//! names; the rest of the code uses the types of `chalkgap-core`.

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
