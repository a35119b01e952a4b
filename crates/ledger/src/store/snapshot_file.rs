//! The format of a snapshot file: magic (8 bytes), version (1), the number of the last segment that it replaces (8,
//! big-endian), the chain value after that segment (16), the usage totals, and a BLAKE3 hash of all preceding bytes (32).

use super::{failed_at, StoreError, MAX_FILE_BYTES};
use crate::damage::Damage;
use crate::segment::ChainValue;
use chalkgap_runtime::Shared;
use std::path::{Path, PathBuf};

const MAGIC: &[u8; 8] = b"chalksnp";
const VERSION: u8 = 1;
const VERSION_OFFSET: usize = MAGIC.len();
const NUMBER_OFFSET: usize = VERSION_OFFSET + 1;
const CHAIN_OFFSET: usize = NUMBER_OFFSET + 8;
const HEADER_BYTES: usize = CHAIN_OFFSET + size_of::<ChainValue>();
const HASH_BYTES: usize = 32;

pub(super) const EXTENSION: &str = ".snap";

/// A snapshot, which replaces the first segments of a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Number of the last segment that the snapshot replaces.
    pub number: u64,
    /// The chain value after that segment.
    pub chain: ChainValue,
    /// The usage totals of all entries up to the end of that segment, as [`UsageTotals::snapshot`] encodes them.
    ///
    /// [`UsageTotals::snapshot`]: crate::usage_totals::UsageTotals::snapshot
    pub totals: Vec<u8>,
}

impl Snapshot {
    pub(super) fn encode(&self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        bytes.push(VERSION);
        bytes.extend_from_slice(&self.number.to_be_bytes());
        bytes.extend_from_slice(&self.chain);
        bytes.extend_from_slice(&self.totals);
        let hash = blake3::hash(&bytes);
        bytes.extend_from_slice(hash.as_bytes());
        bytes
    }

    fn decode(bytes: &[u8]) -> Result<Snapshot, Damage> {
        if bytes.len() < HEADER_BYTES + HASH_BYTES || bytes[..MAGIC.len()] != MAGIC[..] {
            return Err(Damage::NotASnapshot);
        }
        let version = bytes[VERSION_OFFSET];
        if version != VERSION {
            return Err(Damage::Version { found: version, expected: VERSION });
        }
        let (body, hash) = bytes.split_at(bytes.len() - HASH_BYTES);
        if blake3::hash(body).as_bytes()[..] != *hash {
            return Err(Damage::SnapshotChanged);
        }
        let mut number = [0; 8];
        number.copy_from_slice(&body[NUMBER_OFFSET..CHAIN_OFFSET]);
        let mut chain = ChainValue::default();
        chain.copy_from_slice(&body[CHAIN_OFFSET..HEADER_BYTES]);
        let totals = body[HEADER_BYTES..].to_vec();
        Ok(Snapshot { number: u64::from_be_bytes(number), chain, totals })
    }
}

pub(super) fn file_name(number: u64) -> String {
    format!("{number:016}{EXTENSION}")
}

pub(super) fn path(directory: &Path, number: u64) -> PathBuf {
    directory.join(file_name(number))
}

/// Reads the latest snapshot of a directory. `None` if there is none.
///
/// # Errors
/// [`StoreError::Io`] if the file cannot be read; [`StoreError::Damaged`] if it is not a valid snapshot.
pub async fn read_snapshot(runtime: &Shared, directory: &Path) -> Result<Option<Snapshot>, StoreError> {
    let names = runtime.files().names(directory).await.map_err(failed_at(directory))?;
    let Some(name) = names.iter().rfind(|name| name.ends_with(EXTENSION)) else { return Ok(None) };
    let path = directory.join(name);
    let bytes = runtime.files().read(&path, MAX_FILE_BYTES).await.map_err(failed_at(&path))?;
    let snapshot = Snapshot::decode(&bytes);
    snapshot.map(Some).map_err(|what| StoreError::Damaged { path, at: 0, what })
}
