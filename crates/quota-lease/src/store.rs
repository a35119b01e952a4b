//! A store that fills at a rate, in whole units.

use crate::{Micros, Units};

/// A limit: so much at once, so much a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limit {
    /// Units a second.
    pub rate: Units,
    /// Units that the store holds.
    pub burst: Units,
}

/// What is there of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Store {
    limit: Limit,
    level: Units,
    /// What has come since the last whole unit, in millionths of a unit.
    part: u64,
    at: Micros,
}

const WHOLE: u64 = 1_000_000;

impl Store {
    /// A store with nothing in it, at `now`.
    pub fn empty(limit: Limit, now: Micros) -> Store {
        Store { limit, level: 0, part: 0, at: now }
    }

    /// What is in it, as of the last time that it was filled.
    pub fn level(&self) -> Units {
        self.level
    }

    /// Fills it up to now, where `out` units of its room are taken by what is out.
    pub fn fill(&mut self, now: Micros, out: Units) {
        let room = self.limit.burst.saturating_sub(out);
        let span = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        let came = u128::from(span) * u128::from(self.limit.rate) + u128::from(self.part);
        let whole = u64::try_from(came / u128::from(WHOLE)).unwrap_or(u64::MAX);
        self.part = (came % u128::from(WHOLE)) as u64;
        if self.level.saturating_add(whole) >= room {
            // What does not fit is gone, parts of units too; what is in it already stays.
            (self.level, self.part) = (self.level.max(room), 0);
        } else {
            self.level += whole;
        }
    }

    /// Takes units out, all or none.
    pub fn take(&mut self, units: Units) -> bool {
        let there = self.level >= units;
        self.level -= if there { units } else { 0 };
        there
    }

    /// Puts units back that were taken and not used.
    pub fn put_back(&mut self, units: Units) {
        self.level = self.level.saturating_add(units).min(self.limit.burst);
    }

    /// Its limit.
    pub fn limit(&self) -> Limit {
        self.limit
    }
}
