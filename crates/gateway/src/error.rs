//! Why an instance does not start.

use crate::settings::SettingsError;
use chalkgap_ledger::StoreError;
use std::io;
use std::net::SocketAddr;

/// Why an instance does not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings are not taken.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address cannot be bound.
    #[error("{path}: {address} cannot be bound: {error}")]
    Bind {
        /// The setting.
        path: &'static str,
        /// The address.
        address: SocketAddr,
        /// The system's word.
        error: io::Error,
    },
    /// The ledger cannot be opened.
    #[error("settings.ledger.folder: {error}")]
    Ledger {
        /// What was found.
        error: StoreError,
    },
}
