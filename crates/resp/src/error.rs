//! Why bytes cannot be decoded.

/// What is wrong with an item. Positions count in bytes from the item's first one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The item or element begins with a byte that begins none here.
    #[error("byte {at}: expected {expected}, found 0x{found:02x}")]
    UnexpectedType {
        /// Its position.
        at: usize,
        /// What may stand there.
        expected: &'static str,
        /// The byte that does.
        found: u8,
    },
    /// A line is too long or not ended by CR LF.
    #[error("byte {at}: expected a line of at most {max} bytes")]
    InvalidLine {
        /// Where the line begins.
        at: usize,
        /// The limit.
        max: usize,
    },
    /// An integer is malformed.
    #[error("byte {at}: expected a length")]
    InvalidInteger {
        /// Where it begins.
        at: usize,
    },
    /// A length is out of range.
    #[error("byte {at}: expected a length from {min} to {max}, found {found}")]
    LengthOutOfRange {
        /// Where it begins.
        at: usize,
        /// The least that is allowed.
        min: i64,
        /// The most that is allowed.
        max: i64,
        /// The length.
        found: i64,
    },
    /// A bulk string is longer than its length says.
    #[error("byte {at}: expected the end of a value of {length} bytes")]
    MissingTerminator {
        /// Where its end should be.
        at: usize,
        /// The length it declares.
        length: usize,
    },
    /// Arrays are nested too deeply.
    #[error("byte {at}: arrays nested deeper than {max}")]
    TooDeep {
        /// Where the innermost one begins.
        at: usize,
        /// The limit.
        max: usize,
    },
    /// The whole item is too long.
    #[error("an item of more than {max} bytes")]
    ItemTooLong {
        /// The limit.
        max: usize,
    },
}
