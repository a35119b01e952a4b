//! The snapshot that survives a restart: a line of format and version, the entries as JSON, a BLAKE3 of all before it.

use super::{Entry, KnownClients};
use crate::Micros;

const MAGIC: &[u8] = b"chalkgap known 1\n";
const CHECKSUM_LENGTH: usize = 32;

/// Why a snapshot is not restored.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The bytes are not those that were written.
    #[error("the file is torn or changed: its checksum differs")]
    Checksum,
    /// It is no snapshot, or one of another version.
    #[error("the file is of another form or version")]
    Format,
}

impl KnownClients {
    /// The table as bytes.
    pub fn snapshot(&self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        let oldest_first = self.by_last_served.iter();
        let entries: Vec<&Entry> =
            oldest_first.filter_map(|(_, address)| self.entries.get(address)).collect();
        // Cannot fail: the entries are plain data, and a vector takes any length.
        let _ = serde_json::to_writer(&mut bytes, &entries);
        let checksum = blake3::hash(&bytes);
        bytes.extend_from_slice(checksum.as_bytes());
        bytes
    }

    /// Adds a snapshot's entries, but those that have expired or lie in the future. Returns how many addresses are
    /// remembered then.
    ///
    /// # Errors
    /// See [`SnapshotError`]; the table stays as it was.
    pub fn restore(&mut self, now: Micros, bytes: &[u8]) -> Result<usize, SnapshotError> {
        let body_length = bytes.len().saturating_sub(CHECKSUM_LENGTH);
        let (body, checksum) = bytes.split_at_checked(body_length).ok_or(SnapshotError::Format)?;
        let json = body.strip_prefix(MAGIC).ok_or(SnapshotError::Format)?;
        if blake3::hash(body).as_bytes() != checksum {
            return Err(SnapshotError::Checksum);
        }
        let entries: Vec<Entry> = serde_json::from_slice(json).map_err(|_| SnapshotError::Format)?;
        for entry in entries {
            if entry.served <= now && !self.is_expired(now, &entry) {
                self.record_served(entry.served, entry.address, entry.account, entry.preferred);
            }
        }
        Ok(self.entries.len())
    }
}
