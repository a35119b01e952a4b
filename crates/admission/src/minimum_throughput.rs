//! Minimum throughput of clients. The average throughput is checked rather than the time since the last byte: a client
//! that sends or reads one byte per second would pass an idle timeout and hold its connection without end.

use crate::Micros;

#[cfg(test)]
mod tests;

/// The average throughput below which a client counts as too slow.
#[derive(Clone, Copy, Debug)]
pub struct MinimumThroughput {
    /// Time after the start of a transfer during which the throughput is not checked, in microseconds.
    pub grace_period: Micros,
    /// Minimum bytes per second, averaged from the start of the transfer.
    pub bytes_per_second: u64,
}

impl MinimumThroughput {
    /// Returns the time at which a transfer that began at `since` and has moved `bytes` becomes too slow, unless more
    /// bytes move before.
    pub fn deadline(&self, since: Micros, bytes: u64) -> Micros {
        let earned_micros = bytes.saturating_mul(1_000_000) / self.bytes_per_second.max(1);
        since.saturating_add(self.grace_period.max(earned_micros))
    }

    /// Returns whether the transfer is too slow at `now`.
    pub fn is_too_slow(&self, now: Micros, since: Micros, bytes: u64) -> bool {
        now >= self.deadline(since, bytes)
    }
}
