//! Decoded items.

use bytes::Bytes;

/// A command: its name and arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The arguments. The first one is the command's name, as in `argv`.
    pub arguments: Vec<Bytes>,
}

/// A reply, or an element of an array reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Value {
    /// A simple string, `+`.
    Simple(Bytes),
    /// An error, `-`.
    Error(Bytes),
    /// An integer, `:`.
    Integer(i64),
    /// A bulk string, `$`. `None` is the null bulk string.
    Bulk(Option<Bytes>),
    /// An array, `*`. `None` is the null array.
    Array(Option<Vec<Value>>),
}
