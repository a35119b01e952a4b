//! Discovery: where node lists come from.
//!
//! - [`cache`]: the last list, stored for the next start
//! - [`file`]: a file that is polled
//! - [`service`]: a discovery service that pushes lists over gRPC

pub(crate) mod cache;
pub(crate) mod file;
pub(crate) mod service;

/// Most bytes of a list: room for some ten thousand nodes.
const MAX_LIST_BYTES: u64 = 16 << 20;
