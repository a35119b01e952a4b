//! Errors in settings.

/// Reason for which settings are rejected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The script could not be parsed or run.
    #[error("{file}: {what}")]
    Script {
        /// The file's name.
        file: String,
        /// Message of the failure, with line and column where they are known.
        what: String,
    },
    /// Values have a wrong type, are out of range or contradict each other.
    #[error("{file}: {}", .complaints.join("\n"))]
    Values {
        /// The file's name.
        file: String,
        /// One line for each value: its path, what is allowed, and the value found unless it is secret.
        complaints: Vec<String>,
    },
}
