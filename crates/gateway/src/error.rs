//! Why an instance does not start.

use crate::settings::SettingsError;
use chalkgap_ledger::StoreError;
use std::io;
use std::net::SocketAddr;

/// Why an instance does not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address cannot be bound.
    #[error("{path}: {address} cannot be bound: {error}")]
    Bind {
        /// The path of the setting.
        path: &'static str,
        /// The address.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// The ledger cannot be opened.
    #[error("settings.ledger.folder: {error}")]
    Ledger {
        /// What is wrong with it.
        error: StoreError,
    },
}
