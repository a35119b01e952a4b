//! Decoding errors.

/// Why an item cannot be decoded. Positions are byte offsets from the start of the item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// An item or element starts with a type byte that is not allowed here.
    #[error("byte {at}: expected {expected}, found 0x{found:02x}")]
    UnexpectedType {
        /// Position of the type byte.
        at: usize,
        /// The expected type.
        expected: &'static str,
        /// The byte found.
        found: u8,
    },
    /// A line is too long or does not end with CR LF.
    #[error("byte {at}: expected a line of at most {max} bytes")]
    InvalidLine {
        /// Position of the line.
        at: usize,
        /// Maximum length of a line, in bytes.
        max: usize,
    },
    /// An integer is malformed.
    #[error("byte {at}: expected a length")]
    InvalidInteger {
        /// Position of the integer.
        at: usize,
    },
    /// A length is out of range.
    #[error("byte {at}: expected a length from {min} to {max}, found {found}")]
    LengthOutOfRange {
        /// Position of the length.
        at: usize,
        /// Minimum that is allowed.
        min: i64,
        /// Maximum that is allowed.
        max: i64,
        /// The length found.
        found: i64,
    },
    /// A bulk string is not followed by CR LF at its declared length.
    #[error("byte {at}: expected the end of a value of {length} bytes")]
    MissingTerminator {
        /// Position at which CR LF was expected.
        at: usize,
        /// The declared length of the bulk string.
        length: usize,
    },
    /// Arrays are nested too deeply.
    #[error("byte {at}: arrays nested deeper than {max}")]
    TooDeep {
        /// Position of the array that exceeds the limit.
        at: usize,
        /// Maximum nesting depth.
        max: usize,
    },
    /// The whole item is too long.
    #[error("an item of more than {max} bytes")]
    ItemTooLong {
        /// Maximum length of an item, in bytes.
        max: usize,
    },
}
