//! Reads an ingress's log for the next incarnation.

use super::usage_lookup::UnsettledRequest;
use crate::entry::{Entry, EntryBody, EntryId, LogPosition};
use crate::usage_totals::UsageTotals;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Collects from the log what a new incarnation needs: the position at which the last incarnation ended, and the
/// requests whose outcome is not known.
#[derive(Default)]
pub struct Recovery {
    ingress: u16,
    pub(super) last_position: LogPosition,
    pub(super) last_at: Micros,
    /// Requests that were opened and are not settled, or whose outcome is presumed.
    unsettled: BTreeMap<EntryId, UnsettledRequest>,
    /// Entries that were added before the open entry of their request.
    early: BTreeMap<EntryId, Vec<Entry>>,
}

impl Recovery {
    /// Creates a recovery for the log of one ingress.
    pub fn new(ingress: u16) -> Self {
        Recovery { ingress, ..Recovery::default() }
    }

    /// Starts from a snapshot. Its open requests are settled in later segments, as a snapshot is made only of periods
    /// that were exported.
    pub fn restore(&mut self, totals: &UsageTotals) {
        let (incarnation, number, last_at) = totals.latest(self.ingress);
        self.last_position = LogPosition { incarnation, number };
        self.last_at = last_at;
    }

    /// Adds an entry of the log. Entries may be added in any order; those of other ingresses are ignored.
    pub fn add(&mut self, entry: &Entry) {
        if entry.id.ingress != self.ingress {
            return;
        }
        self.last_at = self.last_at.max(entry.at);
        self.last_position = self.last_position.max(entry.id.position());
        let opened_by = match &entry.body {
            EntryBody::RequestOpened(opened) => {
                let nodes = BTreeSet::from([opened.node.clone()]);
                self.unsettled.insert(entry.id, UnsettledRequest::new(opened, entry.at, nodes, 0));
                // Entries that were fetched from other ingresses may be in any order.
                for early in self.early.remove(&entry.id).unwrap_or_default() {
                    self.add(&early);
                }
                return;
            }
            EntryBody::AttemptAdded(attempt) => EntryId { number: attempt.open, ..entry.id },
            EntryBody::RequestSettled(settled) => settled.opened_by(entry.id),
            EntryBody::Correction(correction) => correction.opened_by(),
            _ => return,
        };
        self.update(opened_by, entry);
    }

    fn update(&mut self, opened_by: EntryId, entry: &Entry) {
        let Some(request) = self.unsettled.get_mut(&opened_by) else {
            if opened_by.ingress == self.ingress {
                self.early.entry(opened_by).or_default().push(entry.clone());
            }
            return;
        };
        match &entry.body {
            EntryBody::AttemptAdded(attempt) => {
                request.nodes.insert(attempt.node.clone());
            }
            EntryBody::RequestSettled(settled) if settled.presumed => request.presumed = true,
            // The outcome is known, as for most requests in a log. Only the other requests stay in memory.
            _ => {
                self.unsettled.remove(&opened_by);
            }
        }
    }

    /// Returns the latest incarnation in the log; 0 for an empty log.
    pub fn latest_incarnation(&self) -> u64 {
        self.last_position.incarnation
    }

    /// Takes the requests found so far whose outcome is unknown or presumed.
    pub(super) fn take_unsettled(&mut self) -> BTreeMap<EntryId, UnsettledRequest> {
        std::mem::take(&mut self.unsettled)
    }
}
