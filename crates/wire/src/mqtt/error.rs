//! The error that a connection is closed with.

use super::reason::MALFORMED_PACKET;

/// Why bytes are no packet: the connection is closed with this reason code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message} (reason code {code:#04x})")]
pub struct Error {
    /// The reason code.
    pub code: u8,
    /// What was found, and what was expected.
    pub message: &'static str,
}

impl Error {
    /// An error with this reason code.
    pub const fn new(code: u8, message: &'static str) -> Self {
        Error { code, message }
    }
}

pub(super) const fn malformed(message: &'static str) -> Error {
    Error::new(MALFORMED_PACKET, message)
}
