//! The latest entries, held in memory for other ingresses that fetch them.

use chalkgap_ledger::{Entry, EntryId};
use std::collections::{BTreeMap, VecDeque};

/// Entries that are held.
const MAX_ENTRIES: usize = 16_384;

#[derive(Default)]
pub(super) struct RecentEntries {
    entries: BTreeMap<EntryId, Entry>,
    /// Their ids, oldest first.
    order: VecDeque<EntryId>,
}

impl RecentEntries {
    /// Adds an entry; the oldest one is dropped when there are too many.
    pub(super) fn add(&mut self, entry: &Entry) {
        self.order.push_back(entry.id);
        self.entries.insert(entry.id, entry.clone());
        if self.order.len() > MAX_ENTRIES {
            if let Some(oldest) = self.order.pop_front() {
                self.entries.remove(&oldest);
            }
        }
    }

    /// The first `limit` entries from `first` to `last` of one incarnation; `None` if any of them is not held.
    pub(super) fn range(&self, first: EntryId, last: EntryId, limit: u64) -> Option<Vec<Entry>> {
        let wanted = (last.number - first.number).saturating_add(1).min(limit);
        let held = self.entries.range(first..=last).take(wanted as usize);
        let held: Vec<Entry> = held.map(|(_, entry)| entry.clone()).collect();
        let starts_at_first = held.first().is_some_and(|entry| entry.id == first);
        (starts_at_first && held.len() as u64 == wanted).then_some(held)
    }
}
