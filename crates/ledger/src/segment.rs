//! Entries as bytes of a log. A segment is a head (magic, version, a number, the chain's value where it begins) and
//! records: length (4 bytes, big-endian), chain value (16 bytes), payload. The chain value of a record is the hash
//! (BLAKE3, cut to 16 bytes) of the one before and the payload: a record that is missing, moved or changed breaks it.
//!
//! A segment that breaks off inside its last record was torn by a crash: that record was never acknowledged and is cut.
//! A record that is whole and does not fit the chain is damage; what follows it cannot be trusted, and nothing is cut.

use crate::entry::{Entry, EntryError};

const MAGIC: &[u8; 8] = b"chalkled";
const VERSION: u8 = 1;
const CHAIN: usize = 16;
const HEAD: usize = 8 + 1 + 8 + CHAIN;
const RECORD: usize = 4 + CHAIN;
/// Bytes of an entry: names in it are bounded by the front, and this by the reader.
pub const MOST_ENTRY: usize = 64 << 10;

/// The chain's value before the first segment.
pub const BEGINNING: [u8; CHAIN] = [0; CHAIN];

fn next(chain: &[u8; CHAIN], payload: &[u8]) -> [u8; CHAIN] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(chain);
    hasher.update(payload);
    let mut value = [0; CHAIN];
    value.copy_from_slice(&hasher.finalize().as_bytes()[..CHAIN]);
    value
}

/// Writes a segment.
pub struct Writer {
    chain: [u8; CHAIN],
    out: Vec<u8>,
}

impl Writer {
    /// A new segment with this number, that goes on where the chain is.
    pub fn new(number: u64, chain: [u8; CHAIN]) -> Self {
        let mut out = MAGIC.to_vec();
        out.push(VERSION);
        out.extend_from_slice(&number.to_be_bytes());
        out.extend_from_slice(&chain);
        Writer { chain, out }
    }

    /// Goes on in a segment that was scanned and cut to its good length.
    pub fn resume(chain: [u8; CHAIN]) -> Self {
        Writer { chain, out: Vec::new() }
    }

    /// Appends an entry.
    ///
    /// # Errors
    /// It is longer than any reader takes.
    pub fn append(&mut self, entry: &Entry) -> Result<(), EntryError> {
        let payload = entry.encode();
        if payload.len() > MOST_ENTRY {
            return Err(EntryError::Value("length", payload.len() as u64, "at most 65,536 bytes"));
        }
        self.chain = next(&self.chain, &payload);
        self.out.extend_from_slice(&(payload.len() as u32).to_be_bytes());
        self.out.extend_from_slice(&self.chain);
        self.out.extend_from_slice(&payload);
        Ok(())
    }

    /// The bytes since the last time: to be written and synced as one group.
    pub fn take(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.out)
    }

    /// Where the chain is.
    pub fn chain(&self) -> [u8; CHAIN] {
        self.chain
    }
}

/// How a segment ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// After a whole record.
    Whole,
    /// Inside a record, or inside the head: a crash tore it. What is before is good.
    Torn,
    /// At this byte something is wrong that no crash does.
    Damaged {
        /// The first byte of the record, or of the head.
        at: usize,
        /// What was found and expected.
        what: String,
    },
}

/// What a segment holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Scan {
    /// Its number; none where even the head is not whole.
    pub number: Option<u64>,
    /// The good entries, in order.
    pub entries: Vec<Entry>,
    /// Bytes up to the end of the last good record.
    pub good: usize,
    /// Where the chain is there.
    pub chain: [u8; CHAIN],
    /// How it ends.
    pub ending: Ending,
}

/// Reads a segment that is to go on from `chain`; none: whatever it says itself.
pub fn scan(bytes: &[u8], chain: Option<[u8; CHAIN]>) -> Scan {
    let mut scan = head(bytes, chain);
    while some(&mut scan, bytes, usize::MAX) {}
    scan
}

/// Reads a segment's head. The scan goes on with [`some`].
pub fn head(bytes: &[u8], chain: Option<[u8; CHAIN]>) -> Scan {
    let mut scan = Scan {
        number: None,
        entries: Vec::new(),
        good: 0,
        chain: chain.unwrap_or(BEGINNING),
        ending: Ending::Whole,
    };
    let damaged = |at: usize, what: String| Ending::Damaged { at, what };
    let known = bytes.len().min(MAGIC.len());
    if bytes[..known] != MAGIC[..known] {
        scan.ending = damaged(0, "expected a segment of a ledger".into());
        return scan;
    }
    if bytes.len() < HEAD {
        scan.ending = Ending::Torn;
        return scan;
    }
    if bytes[8] != VERSION {
        scan.ending = damaged(8, format!("version {}, expected {VERSION}", bytes[8]));
        return scan;
    }
    let mut number = [0; 8];
    number.copy_from_slice(&bytes[9..17]);
    scan.number = Some(u64::from_be_bytes(number));
    let mut begins = [0; CHAIN];
    begins.copy_from_slice(&bytes[17..HEAD]);
    if chain.is_some_and(|c| c != begins) {
        scan.ending = damaged(17, "it does not go on where the segment before it ends".into());
        return scan;
    }
    (scan.chain, scan.good) = (begins, HEAD);
    scan
}

/// Reads at most `most` more entries; false when the scan is at its end.
pub fn some(scan: &mut Scan, bytes: &[u8], most: usize) -> bool {
    if scan.number.is_none() || scan.ending != Ending::Whole {
        return false;
    }
    let damaged = |at: usize, what: String| Ending::Damaged { at, what };
    for _ in 0..most {
        let at = scan.good;
        let rest = &bytes[at..];
        if rest.is_empty() {
            return false;
        }
        if rest.len() < RECORD {
            scan.ending = Ending::Torn;
            return false;
        }
        let len = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
        if len > MOST_ENTRY {
            scan.ending = damaged(at, format!("an entry of {len} bytes, at most {MOST_ENTRY}"));
            return false;
        }
        if rest.len() < RECORD + len {
            scan.ending = Ending::Torn;
            return false;
        }
        let payload = &rest[RECORD..RECORD + len];
        let value = next(&scan.chain, payload);
        if rest[4..RECORD] != value {
            // The last record, whole in length but not in content: pages of a crash come in any order.
            let last = rest.len() == RECORD + len;
            let what = "the record does not fit the one before it: changed, moved, or one is missing";
            scan.ending = if last { Ending::Torn } else { damaged(at, what.into()) };
            return false;
        }
        match Entry::decode(payload) {
            Ok(entry) => scan.entries.push(entry),
            Err(e) => {
                scan.ending = damaged(at, e.to_string());
                return false;
            }
        }
        (scan.chain, scan.good) = (value, at + RECORD + len);
    }
    true
}
