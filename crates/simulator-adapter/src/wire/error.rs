//! Errors in frames.

use chalkgap_deployment_config::SettingsError;
use std::str::Utf8Error;

/// A frame violates the wire protocol.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The length in the header is too short for the number of records in the header.
    #[error("batch {batch}: length {length} is too short for its {records} records")]
    FrameTooShort { batch: u32, length: usize, records: u32 },
    /// A field of a record is invalid.
    #[error("batch {batch}, record {record}, field {field}: {error}")]
    Field { batch: u32, record: usize, field: &'static str, error: FieldError },
}

/// Reason why a field is invalid.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    /// A range extends beyond the tail of the frame.
    #[error("offset {offset} and count {count} exceed the tail of {length} bytes")]
    OutsideTail { offset: usize, count: usize, length: usize },
    /// The code of an outcome is not defined.
    #[error("unknown code {0}")]
    UnknownOutcome(u16),
    /// The kind of an endpoint update is not defined.
    #[error("unknown kind {0}")]
    UnknownUpdateKind(u8),
    /// The availability of an endpoint is not defined.
    #[error("unknown state {0}")]
    UnknownAvailability(u8),
    /// The settings are not valid UTF-8.
    #[error("{0}")]
    NotUtf8(Utf8Error),
    /// The settings are incomplete or malformed.
    #[error("{0}")]
    Settings(SettingsError),
    /// The event is for a gateway that is not running.
    #[error("no such instance: {0}; event ignored")]
    UnknownInstance(u16),
}
