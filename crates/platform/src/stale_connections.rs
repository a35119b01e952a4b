//! Learns how long a connection may be idle and still be worth reusing, free of I/O and clock.
//!
//! Backends, and middleboxes before them, close idle connections when they like, at the latest after the platform's limit,
//! and not always with a sign. The next request then ends as a reset and may have run, which costs far more than a new
//! connection. Reuse is refused only where requests on idle connections break clearly more often than on new ones.

use chalkgap_core::Micros;

/// Idle times are grouped by the power of two of their milliseconds.
const AGE_BUCKETS: usize = 16;
/// Time constant of the exponential decay of the counts, in microseconds.
const DECAY_MICROS: f64 = 20e6;
/// Decayed breaks from which on an age is judged.
const MIN_BREAKS: f64 = 1.5;
/// How far the share of uses that break may lie above that of new connections.
const MAX_EXCESS_BREAK_RATE: f64 = 0.08;

/// Decayed counts of one group of idle times.
#[derive(Default)]
struct AgeBucket {
    uses: f64,
    breaks: f64,
    decayed_at: Micros,
}

impl AgeBucket {
    fn decay_factor(&self, now: Micros) -> f64 {
        (-(now.saturating_sub(self.decayed_at) as f64) / DECAY_MICROS).exp()
    }

    fn break_rate(&self) -> f64 {
        self.breaks / self.uses.max(1.0)
    }
}

/// What became of requests by how long their connection had been idle.
#[derive(Default)]
pub(crate) struct StaleStatistics {
    /// New connections first, then by idle time.
    buckets: [AgeBucket; AGE_BUCKETS + 1],
}

fn bucket_index(idle_micros: Option<Micros>) -> usize {
    match idle_micros {
        None => 0,
        Some(idle) => 1 + ((idle / 1000).max(1).ilog2() as usize).min(AGE_BUCKETS - 1),
    }
}

impl StaleStatistics {
    /// Counts a use of a connection that had been idle for so long, or was new; `broke`: it ended on its first write.
    pub(crate) fn record(&mut self, now: Micros, idle_micros: Option<Micros>, broke: bool) {
        let bucket = &mut self.buckets[bucket_index(idle_micros)];
        let factor = bucket.decay_factor(now);
        bucket.uses = bucket.uses * factor + 1.0;
        bucket.breaks = bucket.breaks * factor + f64::from(u8::from(broke));
        bucket.decayed_at = now;
    }

    /// Whether a connection that has been idle for so long is as good as a new one. An idle time that breaks too often rules
    /// out all longer ones.
    pub(crate) fn is_reusable(&self, now: Micros, idle_micros: Micros) -> bool {
        let max_break_rate = self.buckets[0].break_rate() + MAX_EXCESS_BREAK_RATE;
        let up_to_this_age = &self.buckets[1..=bucket_index(Some(idle_micros))];
        !up_to_this_age.iter().any(|bucket| {
            // The evidence decays, so such connections are tried again after a while.
            let remaining_breaks = bucket.breaks * bucket.decay_factor(now);
            remaining_breaks > MIN_BREAKS && bucket.break_rate() > max_break_rate
        })
    }
}
