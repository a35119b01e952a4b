//! The format of a segment of the log: a header (magic, version, number, the chain value that it starts from) followed
//! by records (length, 4 bytes, big-endian; chain value, 16 bytes; payload, an encoded entry). The chain value of a
//! record is the BLAKE3 hash, truncated to 16 bytes, of the previous chain value and the payload: a record that is
//! missing, moved or changed breaks the chain.
//!
//! A segment that ends inside its last record was torn by a crash: that record was never acknowledged and is truncated.
//! A complete record that does not match the chain is damage: the records after it are not read, and the file is not
//! truncated.

use crate::damage::Damage;
use crate::entry::{Entry, EntryError};

const MAGIC: &[u8; 8] = b"chalkled";
const VERSION: u8 = 1;
const CHAIN_BYTES: usize = 16;
const VERSION_OFFSET: usize = MAGIC.len();
pub(crate) const NUMBER_OFFSET: usize = VERSION_OFFSET + 1;
const CHAIN_OFFSET: usize = NUMBER_OFFSET + 8;
const HEADER_BYTES: usize = CHAIN_OFFSET + CHAIN_BYTES;
const LENGTH_BYTES: usize = 4;
const RECORD_HEADER_BYTES: usize = LENGTH_BYTES + CHAIN_BYTES;
/// Maximum number of bytes of an encoded entry. The frontends limit the length of the names in an entry; this limits
/// what a reader allocates.
pub const MAX_ENTRY_BYTES: usize = 64 << 10;

/// A hash over all records up to a point of the log.
pub type ChainValue = [u8; CHAIN_BYTES];

/// The chain value before the first segment.
pub const INITIAL_CHAIN: ChainValue = [0; CHAIN_BYTES];

fn next_chain_value(chain: &ChainValue, payload: &[u8]) -> ChainValue {
    let mut hasher = blake3::Hasher::new();
    hasher.update(chain);
    hasher.update(payload);
    let mut value = [0; CHAIN_BYTES];
    value.copy_from_slice(&hasher.finalize().as_bytes()[..CHAIN_BYTES]);
    value
}

/// Encodes the header and records of a segment.
pub struct SegmentWriter {
    chain: ChainValue,
    bytes: Vec<u8>,
}

impl SegmentWriter {
    /// Begins the segment `number`, whose header continues the chain at `chain`.
    pub fn new(number: u64, chain: ChainValue) -> Self {
        let mut bytes = MAGIC.to_vec();
        bytes.push(VERSION);
        bytes.extend_from_slice(&number.to_be_bytes());
        bytes.extend_from_slice(&chain);
        SegmentWriter { chain, bytes }
    }

    /// Continues a segment that was scanned and truncated to its valid bytes; `chain` is the chain value there.
    pub fn resume(chain: ChainValue) -> Self {
        SegmentWriter { chain, bytes: Vec::new() }
    }

    /// Appends an entry.
    ///
    /// # Errors
    /// [`EntryError::Value`] if the encoded entry is longer than [`MAX_ENTRY_BYTES`].
    pub fn append(&mut self, entry: &Entry) -> Result<(), EntryError> {
        let payload = entry.encode();
        check_length(&payload)?;
        self.chain = next_chain_value(&self.chain, &payload);
        self.bytes.extend_from_slice(&(payload.len() as u32).to_be_bytes());
        self.bytes.extend_from_slice(&self.chain);
        self.bytes.extend_from_slice(&payload);
        Ok(())
    }

    /// Takes the bytes encoded since the last call, to be written and synced as one group.
    pub fn take_bytes(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.bytes)
    }

    /// Returns the chain value after the last entry.
    pub fn chain(&self) -> ChainValue {
        self.chain
    }
}

/// Checks that an encoded entry has at most [`MAX_ENTRY_BYTES`] bytes.
pub(crate) fn check_length(payload: &[u8]) -> Result<(), EntryError> {
    if payload.len() > MAX_ENTRY_BYTES {
        return Err(EntryError::Value("length", payload.len() as u64, "at most 65,536 bytes"));
    }
    Ok(())
}

/// How a segment ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SegmentEnd {
    /// After a complete record.
    Complete,
    /// The last record or the header is incomplete, as after a crash. The records before it are valid.
    Torn,
    /// The segment has damage that a crash does not cause.
    Damaged {
        /// Offset in bytes of the damaged record, or of the damaged field of the header.
        at: usize,
        /// The kind of damage.
        what: Damage,
    },
}

/// Result of reading a segment, or a part of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Scan {
    /// The segment's number; `None` if the header is torn or damaged before it.
    pub number: Option<u64>,
    /// The valid entries, in order.
    pub entries: Vec<Entry>,
    /// Number of bytes up to the end of the last valid record.
    pub valid_bytes: usize,
    /// The chain value after the last valid record.
    pub chain: ChainValue,
    /// How the segment ends. [`SegmentEnd::Complete`] as long as the scan has not reached a torn or damaged record.
    pub end: SegmentEnd,
}

/// Reads a segment that must continue the chain at `chain`; `None` accepts any chain value in its header.
pub fn scan(bytes: &[u8], chain: Option<ChainValue>) -> Scan {
    let mut scan = Scan::begin(bytes, chain);
    while scan.read_entries(bytes, usize::MAX) {}
    scan
}

/// A record whose chain value matches.
struct Record {
    entry: Entry,
    chain: ChainValue,
    bytes: usize,
}

impl Scan {
    /// Reads a segment's header; [`Scan::read_entries`] continues. See [`scan`] for `chain`.
    pub fn begin(bytes: &[u8], chain: Option<ChainValue>) -> Scan {
        let mut scan = Scan {
            number: None,
            entries: Vec::new(),
            valid_bytes: 0,
            chain: chain.unwrap_or(INITIAL_CHAIN),
            end: SegmentEnd::Complete,
        };
        if let Err(end) = scan.read_header(bytes, chain) {
            scan.end = end;
        }
        scan
    }

    fn read_header(&mut self, bytes: &[u8], chain: Option<ChainValue>) -> Result<(), SegmentEnd> {
        let damaged = |at: usize, what: Damage| Err(SegmentEnd::Damaged { at, what });
        let magic_bytes = bytes.len().min(MAGIC.len());
        if bytes[..magic_bytes] != MAGIC[..magic_bytes] {
            return damaged(0, Damage::NotASegment);
        }
        if bytes.len() < HEADER_BYTES {
            return Err(SegmentEnd::Torn);
        }
        let version = bytes[VERSION_OFFSET];
        if version != VERSION {
            return damaged(VERSION_OFFSET, Damage::Version { found: version, expected: VERSION });
        }
        let mut number = [0; 8];
        number.copy_from_slice(&bytes[NUMBER_OFFSET..CHAIN_OFFSET]);
        self.number = Some(u64::from_be_bytes(number));
        let mut start: ChainValue = [0; CHAIN_BYTES];
        start.copy_from_slice(&bytes[CHAIN_OFFSET..HEADER_BYTES]);
        if chain.is_some_and(|expected| expected != start) {
            return damaged(CHAIN_OFFSET, Damage::DetachedSegment);
        }
        self.chain = start;
        self.valid_bytes = HEADER_BYTES;
        Ok(())
    }

    /// Reads at most `limit` more entries. Returns false once the scan is finished.
    pub fn read_entries(&mut self, bytes: &[u8], limit: usize) -> bool {
        if self.number.is_none() || self.end != SegmentEnd::Complete {
            return false;
        }
        for _ in 0..limit {
            let rest = &bytes[self.valid_bytes..];
            if rest.is_empty() {
                return false;
            }
            match self.read_record(rest) {
                Ok(record) => {
                    self.entries.push(record.entry);
                    self.chain = record.chain;
                    self.valid_bytes += record.bytes;
                }
                Err(end) => {
                    self.end = end;
                    return false;
                }
            }
        }
        true
    }

    /// Reads the record at the start of `rest`, the bytes after the last valid record.
    fn read_record(&self, rest: &[u8]) -> Result<Record, SegmentEnd> {
        let damaged = |what: Damage| SegmentEnd::Damaged { at: self.valid_bytes, what };
        if rest.len() < RECORD_HEADER_BYTES {
            return Err(SegmentEnd::Torn);
        }
        let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
        if length > MAX_ENTRY_BYTES {
            return Err(damaged(Damage::EntryTooLong(length)));
        }
        let bytes = RECORD_HEADER_BYTES + length;
        if rest.len() < bytes {
            return Err(SegmentEnd::Torn);
        }
        let payload = &rest[RECORD_HEADER_BYTES..bytes];
        let chain = next_chain_value(&self.chain, payload);
        if rest[LENGTH_BYTES..RECORD_HEADER_BYTES] != chain {
            // A crash can leave the last record with its full length but not its full content, as pages reach the disk
            // in any order.
            let is_last = rest.len() == bytes;
            return Err(if is_last { SegmentEnd::Torn } else { damaged(Damage::BrokenChain) });
        }
        let entry = Entry::decode(payload).map_err(|error| damaged(error.into()))?;
        Ok(Record { entry, chain, bytes })
    }
}
