//! Errors of starting an instance.

use crate::settings::SettingsError;
use chalkgap_ledger::StoreError;
use std::io;
use std::net::SocketAddr;

/// Reason why [`Instance::start`](crate::Instance::start) failed.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address cannot be bound.
    #[error("{path}: {address} cannot be bound: {error}")]
    Bind {
        /// The path of the setting that names the address.
        path: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error that the operating system has returned.
        error: io::Error,
    },
    /// The ledger cannot be opened.
    #[error("settings.ledger.folder: {error}")]
    Ledger {
        /// The error of the ledger's store.
        error: StoreError,
    },
}
