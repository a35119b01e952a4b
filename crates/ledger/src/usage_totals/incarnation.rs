//! The entries of one incarnation of an ingress that have been added.

use super::request::Request;
use super::AddOutcome;
use crate::entry::{Entry, LogPosition};
use crate::sequence_ranges::SequenceRanges;
use std::collections::BTreeMap;

/// Numbers of a block of fingerprints.
const BLOCK: u64 = 256;

/// A short hash of each entry, to tell a copy from a conflict. In blocks: four bytes an entry without a tree node each.
#[derive(Default)]
struct Fingerprints(BTreeMap<u64, Box<[u32; BLOCK as usize]>>);

impl Fingerprints {
    /// The fingerprint of a number that was set; `None` where its block is not in memory, as after a restored snapshot.
    fn get(&self, number: u64) -> Option<u32> {
        let block = self.0.get(&(number / BLOCK))?;
        Some(block[(number % BLOCK) as usize])
    }

    fn set(&mut self, number: u64, fingerprint: u32) {
        let block = self.0.entry(number / BLOCK).or_insert_with(|| Box::new([0; BLOCK as usize]));
        block[(number % BLOCK) as usize] = fingerprint;
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
    /// Requests that it opened, by the numbers of their open entries.
    pub(super) requests: BTreeMap<u64, Request>,
    /// The last entry of the incarnation before it.
    pub(super) previous: Option<LogPosition>,
}

impl Incarnation {
    /// Adds an entry's number, if it is new.
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

    /// The numbers of the open entries of requests that have not ended.
    pub(super) fn open_requests(&self) -> impl Iterator<Item = u64> + '_ {
        let open = self.requests.iter().filter(|(_, request)| request.settled.is_none());
        open.map(|(number, _)| *number)
    }
}
