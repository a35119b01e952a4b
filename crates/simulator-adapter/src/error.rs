//! Errors that end the adapter before the end of its input.

use crate::wire::WireError;
use std::io;

/// An error that ends the adapter.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Reading standard input failed inside a batch header.
    #[error("cannot read a batch header: {0}")]
    ReadHeader(io::Error),
    /// Reading standard input failed inside a batch, after its header.
    #[error("cannot read a batch: {0}")]
    ReadBatch(io::Error),
    /// Writing to standard output failed.
    #[error("cannot write a reply: {0}")]
    WriteReply(io::Error),
    /// Standard input ended inside a batch header.
    #[error("input ended after {read} bytes of a batch header")]
    IncompleteHeader { read: usize },
    /// Standard input ended inside a batch, after its header.
    #[error("input ended inside a batch: {read} of {expected} bytes after its header")]
    IncompleteBatch { read: u64, expected: u64 },
    /// A batch is malformed.
    #[error(transparent)]
    Wire(#[from] WireError),
}
