//! A single request in the totals: open, settled, corrected.

use super::{Sum, SumKey};
use crate::entry::LogPosition;

/// How a request has ended, by one settling entry.
#[derive(Clone, Copy)]
pub(super) struct Settled {
    /// The settling entry, of the request's ingress.
    pub(super) settled_by: LogPosition,
    pub(super) units: u64,
    pub(super) presumed: bool,
}

impl Settled {
    /// Orders settlements of one request: the lowest counts. One that is known comes before one that is presumed, then
    /// the one written first.
    fn rank(&self) -> (bool, LogPosition) {
        (self.presumed, self.settled_by)
    }
}

/// What later entries say of a request.
pub(super) enum RequestUpdate {
    Settled(Settled),
    Corrected,
}

/// What [`Request::settle`] did.
pub(super) enum Settling {
    /// The request was open and has ended.
    First,
    /// The new settlement replaced one that had been added before it.
    Replaced,
    /// A settlement that counts more had been added before: nothing changed.
    Superseded,
}

/// A request that was opened.
pub(super) struct Request {
    pub(super) key: SumKey,
    /// Units that it uses if it runs.
    pub(super) units: u64,
    pub(super) settled: Option<Settled>,
    pub(super) corrected: bool,
}

impl Request {
    /// Notes that a correction was written; its units are added to the sum by the caller.
    pub(super) fn correct(&mut self, sum: &mut Sum) {
        let was_presumed = !self.corrected && self.settled.is_some_and(|settled| settled.presumed);
        sum.presumed -= u64::from(was_presumed);
        self.corrected = true;
    }

    /// Settles the request. A request has one end: where two were written (after a disk was restored from an old copy),
    /// the same one counts whatever order they come in.
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
