//! Discovery: the sources of node lists.
//!
//! - [`cache`]: the file that keeps the last list for the next start
//! - [`file`]: a file that is polled
//! - [`service`]: a discovery service that pushes lists over gRPC

pub(crate) mod cache;
pub(crate) mod file;
pub(crate) mod service;

/// Maximum size of a list in bytes, enough for about ten thousand nodes.
const MAX_LIST_BYTES: u64 = 16 << 20;
