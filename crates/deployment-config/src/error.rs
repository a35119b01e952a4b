//! Errors in settings objects.

/// A settings object that cannot be read. Each variant names the key or the line at fault.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A line of text is not of the form `path=value`.
    #[error("line {line} of the settings has no '='")]
    NoSeparator {
        /// Number of the line, from 1.
        line: usize,
    },
    /// A required key is absent.
    #[error("setting {key} is missing")]
    Missing {
        /// The key.
        key: String,
    },
    /// The value is negative, not finite or not a number.
    #[error("setting {key} is not a number from 0 up: {value}")]
    NotANumber {
        /// The key.
        key: String,
        /// The value found.
        value: String,
    },
    /// The value is not an integer in its range.
    #[error("setting {key} is not a whole number up to {max}: {value}")]
    NotAnInteger {
        /// The key.
        key: String,
        /// The largest value permitted.
        max: u64,
        /// The value found.
        value: String,
    },
    /// The value is not `true` or `false`.
    #[error("setting {key} is neither true nor false: {value}")]
    NotABoolean {
        /// The key.
        key: String,
        /// The value found.
        value: String,
    },
    /// The value is not one of the choices that the key offers.
    #[error("setting {key} has an unknown value: {value}")]
    UnknownChoice {
        /// The key.
        key: String,
        /// The value found.
        value: String,
    },
    /// A list holds an item whose index is not below the list's stated length.
    #[error("setting {list}.count is {count}, but there is {key}")]
    ItemBeyondCount {
        /// The list.
        list: String,
        /// The list's stated length.
        count: u64,
        /// The key of the surplus item.
        key: String,
    },
    /// JSON objects are nested deeper than any setting.
    #[error("setting {path} is nested deeper than {} levels", crate::json::MAX_DEPTH)]
    TooDeep {
        /// The path of the first value that is too deep.
        path: String,
    },
}
