//! A token bucket in whole units.

use crate::{Micros, Units};

/// A limit: a rate and a burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limit {
    /// Units per second.
    pub rate: Units,
    /// Maximum number of units in the bucket.
    pub burst: Units,
}

/// The unspent units of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TokenBucket {
    limit: Limit,
    level: Units,
    /// The fraction of a unit that was refilled since the last whole one, in millionths of a unit.
    fraction: u64,
    refilled_at: Micros,
}

const FRACTIONS_PER_UNIT: u64 = 1_000_000;

impl TokenBucket {
    /// Creates an empty bucket that refills from `now` on.
    pub fn empty(limit: Limit, now: Micros) -> TokenBucket {
        TokenBucket { limit, level: 0, fraction: 0, refilled_at: now }
    }

    /// Returns the units in the bucket as of the last refill.
    pub fn level(&self) -> Units {
        self.level
    }

    /// Refills the bucket for the time since the last refill, up to the burst less the `outstanding` granted units.
    pub fn refill(&mut self, now: Micros, outstanding: Units) {
        let max_level = self.limit.burst.saturating_sub(outstanding);
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let fractions = u128::from(elapsed) * u128::from(self.limit.rate) + u128::from(self.fraction);
        let whole = u64::try_from(fractions / u128::from(FRACTIONS_PER_UNIT)).unwrap_or(u64::MAX);
        self.fraction = (fractions % u128::from(FRACTIONS_PER_UNIT)) as u64;
        if self.level.saturating_add(whole) >= max_level {
            // Units beyond the maximum are lost, also the fraction of one; units already in the bucket stay.
            self.level = self.level.max(max_level);
            self.fraction = 0;
        } else {
            self.level += whole;
        }
    }

    /// Takes all of `units` out if the bucket has that many, else none. Returns whether it took them.
    pub fn take(&mut self, units: Units) -> bool {
        let is_enough = self.level >= units;
        self.level -= if is_enough { units } else { 0 };
        is_enough
    }

    /// Puts back units that were taken and not spent.
    pub fn put_back(&mut self, units: Units) {
        self.level = self.level.saturating_add(units).min(self.limit.burst);
    }

    /// Returns the limit.
    pub fn limit(&self) -> Limit {
        self.limit
    }
}
