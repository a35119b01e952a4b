//! Cache of the latest entries, from which fetches of other ingresses are answered.

use chalkgap_ledger::{Entry, EntryId};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of cached entries.
const MAX_ENTRIES: usize = 16_384;

#[derive(Default)]
pub(super) struct RecentEntries {
    entries: BTreeMap<EntryId, Entry>,
    /// Ids of the entries in the order in which they were added.
    order: VecDeque<EntryId>,
}

impl RecentEntries {
    /// Adds an entry. Beyond [`MAX_ENTRIES`], the oldest one is dropped.
    pub(super) fn add(&mut self, entry: &Entry) {
        self.order.push_back(entry.id);
        self.entries.insert(entry.id, entry.clone());
        if self.order.len() > MAX_ENTRIES {
            if let Some(oldest) = self.order.pop_front() {
                self.entries.remove(&oldest);
            }
        }
    }

    /// Returns the first `limit` entries from `first` to `last`, which are ids of one incarnation. `None` if any of these
    /// entries is not cached.
    pub(super) fn range(&self, first: EntryId, last: EntryId, limit: u64) -> Option<Vec<Entry>> {
        let wanted = (last.number - first.number).saturating_add(1).min(limit);
        let cached = self.entries.range(first..=last).take(wanted as usize);
        let cached: Vec<Entry> = cached.map(|(_, entry)| entry.clone()).collect();
        let starts_at_first = cached.first().is_some_and(|entry| entry.id == first);
        (starts_at_first && cached.len() as u64 == wanted).then_some(cached)
    }
}
