//! Decoded items.

use bytes::Bytes;

/// A command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The name is the first one, as in `argv`.
    pub arguments: Vec<Bytes>,
}

/// A reply, or an element of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// `+`: a simple string.
    Simple(Bytes),
    /// `-`: an error.
    Error(Bytes),
    /// `:`: an integer.
    Integer(i64),
    /// `$`: a bulk string; none is null.
    Bulk(Option<Bytes>),
    /// `*`: an array; none is null.
    Array(Option<Vec<Value>>),
}
