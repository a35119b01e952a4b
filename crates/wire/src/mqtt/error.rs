//! Errors of received packets.

use super::reason::MALFORMED_PACKET;

/// An invalid packet. The connection has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message} (reason code {code:#04x})")]
pub struct Error {
    /// The reason code to close the connection with.
    pub code: u8,
    /// Description of the violated rule.
    pub message: &'static str,
}

impl Error {
    /// Creates an error.
    pub const fn new(code: u8, message: &'static str) -> Self {
        Error { code, message }
    }
}

/// Creates an error with the reason code of a malformed packet.
pub(super) const fn malformed(message: &'static str) -> Error {
    Error::new(MALFORMED_PACKET, message)
}
