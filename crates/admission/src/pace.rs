//! What counts as too slow: bytes over time, never the time of the last byte. A client that sends or reads one byte a
//! second moves all the time and still holds what it holds.

use crate::Micros;

/// The pace that is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Time that anybody gets before the pace is looked at.
    pub patience: Micros,
    /// Bytes a second, from the beginning on.
    pub bytes_per_s: u64,
}

impl Pace {
    /// When something that began at `since` and has moved `bytes` so far will be too slow if no more move.
    pub fn until(&self, since: Micros, bytes: u64) -> Micros {
        let earned = bytes.saturating_mul(1_000_000) / self.bytes_per_s.max(1);
        since.saturating_add(self.patience.max(earned))
    }

    /// Whether it is too slow by now.
    pub fn too_slow(&self, now: Micros, since: Micros, bytes: u64) -> bool {
        now >= self.until(since, bytes)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_trickle_ends_and_a_stream_does_not() {
        let pace = Pace { patience: 1_000_000, bytes_per_s: 1000 };
        assert!(!pace.too_slow(999_999, 0, 0));
        assert!(pace.too_slow(1_000_000, 0, 999), "a byte a millisecond, late by one");
        // One byte a second: over as soon as the patience is.
        assert!((1..60u64).any(|s| pace.too_slow(s * 1_000_000, 0, s)));
        // Twice the pace: never.
        assert!((1..3600u64).all(|s| !pace.too_slow(s * 1_000_000, 0, s * 2000)));
    }
}
