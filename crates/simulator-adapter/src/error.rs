//! Why the adapter ends before its input does.

use crate::wire::WireError;
use std::io;

/// An error that ends the adapter.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Standard input failed within a header.
    #[error("cannot read a batch header: {0}")]
    ReadHeader(io::Error),
    /// Standard input failed within a batch.
    #[error("cannot read a batch: {0}")]
    ReadBatch(io::Error),
    /// Standard output failed.
    #[error("cannot write a reply: {0}")]
    WriteReply(io::Error),
    /// Standard input ended within a header.
    #[error("input ended after {read} bytes of a batch header")]
    IncompleteHeader { read: usize },
    /// Standard input ended within a batch.
    #[error("input ended inside a batch: {read} of {expected} bytes after its header")]
    IncompleteBatch { read: u64, expected: u64 },
    /// A batch is malformed.
    #[error(transparent)]
    Wire(#[from] WireError),
}
