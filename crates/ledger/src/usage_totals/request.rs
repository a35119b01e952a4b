//! State of a single request in the totals: open, settled, corrected.

use super::{Sum, SumKey};
use crate::entry::LogPosition;

/// The outcome of a request, according to one settling entry.
#[derive(Clone, Copy)]
pub(super) struct Settled {
    /// Position of the settling entry, which the ingress of the request wrote.
    pub(super) settled_by: LogPosition,
    pub(super) units: u64,
    pub(super) presumed: bool,
}

impl Settled {
    /// Orders the settlements of a request; the lowest one counts. A known outcome ranks below a presumed one. Of two
    /// known or two presumed outcomes, the one that was written first ranks lower.
    fn rank(&self) -> (bool, LogPosition) {
        (self.presumed, self.settled_by)
    }
}

/// A change to a request by an entry after its open entry.
pub(super) enum RequestUpdate {
    Settled(Settled),
    Corrected,
}

/// Result of [`Request::settle`].
pub(super) enum Settling {
    /// The request was open and is now settled.
    First,
    /// The new settlement replaced one that was added before.
    Replaced,
    /// A settlement of lower or equal rank was added before. Nothing changed.
    Superseded,
}

/// A request whose open entry was added.
pub(super) struct Request {
    pub(super) key: SumKey,
    /// Units that the request uses if it runs.
    pub(super) units: u64,
    pub(super) settled: Option<Settled>,
    pub(super) corrected: bool,
}

impl Request {
    /// Marks the request as corrected. The caller adds the units of the correction to the sum.
    pub(super) fn correct(&mut self, sum: &mut Sum) {
        let was_presumed = !self.corrected && self.settled.is_some_and(|settled| settled.presumed);
        sum.presumed -= u64::from(was_presumed);
        self.corrected = true;
    }

    /// Settles the request. Two settlements can exist, for example after a disk was restored from an old copy. The one of
    /// lower rank then counts, whichever is added first.
    pub(super) fn settle(&mut self, new: Settled, sum: &mut Sum) -> Settling {
        if self.settled.as_ref().is_some_and(|old| old.rank() <= new.rank()) {
            return Settling::Superseded;
        }
        let settling = match self.settled.replace(new) {
            None => {
                sum.open = sum.open.saturating_sub(self.units);
                Settling::First
            }
            Some(old) => {
                sum.units = sum.units.saturating_sub_unsigned(old.units);
                sum.requests -= u64::from(old.units > 0);
                sum.presumed -= u64::from(old.presumed && !self.corrected);
                Settling::Replaced
            }
        };
        sum.units = sum.units.saturating_add_unsigned(new.units);
        sum.requests += u64::from(new.units > 0);
        sum.presumed += u64::from(new.presumed && !self.corrected);
        settling
    }
}
