//! When a client is too slow: by bytes over time, never by the time of the last byte. A client that sends or reads one
//! byte a second would pass any idle timeout and still hold its connection.

use crate::Micros;

#[cfg(test)]
mod tests;

/// The throughput below which a client is too slow.
#[derive(Clone, Copy, Debug)]
pub struct MinimumThroughput {
    /// Time after the start in which the throughput is not judged.
    pub grace_period: Micros,
    /// Bytes a second, averaged from the start on.
    pub bytes_per_second: u64,
}

impl MinimumThroughput {
    /// When a transfer that began at `since` and has moved `bytes` so far will be too slow if no more move.
    pub fn deadline(&self, since: Micros, bytes: u64) -> Micros {
        let earned_micros = bytes.saturating_mul(1_000_000) / self.bytes_per_second.max(1);
        since.saturating_add(self.grace_period.max(earned_micros))
    }

    /// Whether it is too slow by now.
    pub fn is_too_slow(&self, now: Micros, since: Micros, bytes: u64) -> bool {
        now >= self.deadline(since, bytes)
    }
}
