//! Why a frame is rejected.

use chalkgap_deployment_config::SettingsError;
use std::str::Utf8Error;

/// A frame that breaks the wire's rules.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The stated length does not hold the stated records.
    #[error("batch {batch}: length {length} is too short for its {records} records")]
    FrameTooShort { batch: u32, length: usize, records: u32 },
    /// A field of a record is malformed.
    #[error("batch {batch}, record {record}, field {field}: {error}")]
    Field { batch: u32, record: usize, field: &'static str, error: FieldError },
}

/// What is wrong with a field.
#[derive(Debug, thiserror::Error)]
pub enum FieldError {
    /// A range of the tail does not lie within it.
    #[error("offset {offset} and count {count} leave the tail of {length} bytes")]
    OutsideTail { offset: usize, count: usize, length: usize },
    /// The code of an outcome has no meaning.
    #[error("unknown code {0}")]
    UnknownOutcome(u16),
    /// The kind of an endpoint update has no meaning.
    #[error("unknown kind {0}")]
    UnknownUpdateKind(u8),
    /// The availability of an endpoint has no meaning.
    #[error("unknown state {0}")]
    UnknownAvailability(u8),
    /// The settings are not text.
    #[error("{0}")]
    NotUtf8(Utf8Error),
    /// The settings are rejected.
    #[error("{0}")]
    Settings(SettingsError),
    /// The event is for a gateway that is not running.
    #[error("no such instance is running; ignored")]
    UnknownInstance,
}
