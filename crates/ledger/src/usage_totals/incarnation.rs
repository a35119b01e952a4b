//! The entries of one incarnation of an ingress that were added to the totals.

use super::request::Request;
use super::AddOutcome;
use crate::entry::{Entry, LogPosition};
use crate::sequence_ranges::SequenceRanges;
use std::collections::BTreeMap;

/// Number of fingerprints in a block.
const BLOCK_LENGTH: u64 = 256;

/// A short hash of each entry, to tell a copy of the entry from a conflicting one. Stored in blocks, so that an entry
/// takes four bytes instead of a tree node.
#[derive(Default)]
struct Fingerprints(BTreeMap<u64, Box<[u32; BLOCK_LENGTH as usize]>>);

impl Fingerprints {
    /// Returns the fingerprint of an entry that was added; `None` if its block is not in memory, as after the restore
    /// of a snapshot.
    fn get(&self, number: u64) -> Option<u32> {
        let block = self.0.get(&(number / BLOCK_LENGTH))?;
        Some(block[(number % BLOCK_LENGTH) as usize])
    }

    fn set(&mut self, number: u64, fingerprint: u32) {
        let block =
            self.0.entry(number / BLOCK_LENGTH).or_insert_with(|| Box::new([0; BLOCK_LENGTH as usize]));
        block[(number % BLOCK_LENGTH) as usize] = fingerprint;
    }
}

fn fingerprint(entry: &Entry) -> u32 {
    let hash = blake3::hash(&entry.encode());
    let mut prefix = [0; 4];
    prefix.copy_from_slice(&hash.as_bytes()[..4]);
    u32::from_le_bytes(prefix)
}

#[derive(Default)]
pub(super) struct Incarnation {
    pub(super) numbers: SequenceRanges,
    fingerprints: Fingerprints,
    /// Requests that the incarnation opened, by the numbers of their open entries.
    pub(super) requests: BTreeMap<u64, Request>,
    /// Position of the last entry of the previous incarnation; `None` if it is not known.
    pub(super) previous: Option<LogPosition>,
}

impl Incarnation {
    /// Adds the number and fingerprint of an entry, if its number is new.
    pub(super) fn register(&mut self, entry: &Entry) -> AddOutcome {
        let number = entry.id.number;
        let fingerprint = fingerprint(entry);
        if self.numbers.contains(number) {
            let same = self.fingerprints.get(number).is_none_or(|known| known == fingerprint);
            return if same { AddOutcome::Duplicate } else { AddOutcome::Conflict };
        }
        self.fingerprints.set(number, fingerprint);
        self.numbers.insert(number);
        AddOutcome::Added
    }

    /// Returns the numbers of the open entries of requests that are not settled.
    pub(super) fn open_requests(&self) -> impl Iterator<Item = u64> + '_ {
        let open = self.requests.iter().filter(|(_, request)| request.settled.is_none());
        open.map(|(number, _)| *number)
    }
}
