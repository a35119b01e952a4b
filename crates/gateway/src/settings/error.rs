//! Errors in settings.

/// Why settings are not accepted.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The script cannot be parsed or run.
    #[error("{file}: {what}")]
    Script {
        /// The file's name.
        file: String,
        /// Line, column and what was expected.
        what: String,
    },
    /// Some values are not allowed.
    #[error("{file}: {}", .complaints.join("\n"))]
    Values {
        /// The file's name.
        file: String,
        /// One line each: path, what is allowed, the value found.
        complaints: Vec<String>,
    },
}
