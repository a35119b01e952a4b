//! Snapshot of the known clients, for the next start: a line with format and version, the entries as JSON, and the
//! BLAKE3 hash of all preceding bytes.

use super::{Entry, KnownClients};
use crate::Micros;

const MAGIC: &[u8] = b"chalkgap known 1\n";
const CHECKSUM_LENGTH: usize = 32;

/// Why a snapshot was not restored.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The checksum does not match the contents.
    #[error("known clients snapshot: checksum mismatch, the file is truncated or corrupt")]
    Checksum,
    /// The bytes are not a snapshot, or one of another version.
    #[error("not a known clients snapshot of version 1")]
    Format,
}

impl KnownClients {
    /// Returns the table as bytes for [`KnownClients::restore`].
    pub fn snapshot(&self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        let oldest_first = self.by_last_served.iter();
        let entries: Vec<&Entry> =
            oldest_first.filter_map(|(_, address)| self.entries.get(address)).collect();
        // Cannot fail: the entries serialize without errors, and writes to a `Vec` succeed.
        let _ = serde_json::to_writer(&mut bytes, &entries);
        let checksum = blake3::hash(&bytes);
        bytes.extend_from_slice(checksum.as_bytes());
        bytes
    }

    /// Adds the entries of a snapshot, except those that have expired or are dated after `now`. Returns the number of
    /// addresses in the table afterwards.
    ///
    /// # Errors
    /// The bytes are not an intact snapshot of this version, see [`SnapshotError`]; the table is unchanged.
    pub fn restore(&mut self, now: Micros, bytes: &[u8]) -> Result<usize, SnapshotError> {
        let body_length = bytes.len().saturating_sub(CHECKSUM_LENGTH);
        let (body, checksum) = bytes.split_at_checked(body_length).ok_or(SnapshotError::Format)?;
        let json = body.strip_prefix(MAGIC).ok_or(SnapshotError::Format)?;
        if blake3::hash(body).as_bytes() != checksum {
            return Err(SnapshotError::Checksum);
        }
        let entries: Vec<Entry> = serde_json::from_slice(json).map_err(|_| SnapshotError::Format)?;
        for entry in entries {
            if entry.last_served_at <= now && !self.is_expired(now, &entry) {
                self.record_served(entry.last_served_at, entry.address, entry.account, entry.preferred);
            }
        }
        Ok(self.entries.len())
    }
}
