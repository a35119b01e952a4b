//! Estimates from past requests how long a connection may be idle and still be safe to reuse. Performs no I/O and reads no
//! clock.
//!
//! Backends, and middleboxes in front of them, close idle connections at any time, at the latest after the platform's limit,
//! and do not always send a FIN or RST. The next request is then reset and may have run, which costs far more than a new
//! connection. Connections are not reused if requests on them are reset clearly more often than on new connections.

use chalkgap_core::Micros;

/// Number of buckets of idle times. A bucket spans a factor of two, from 1 ms; the last one has no upper end.
const AGE_BUCKETS: usize = 16;
/// Time constant of the exponential decay of the counts, in microseconds: 20 s.
const DECAY_MICROS: f64 = 20e6;
/// A bucket's fraction of resets is considered only if its decayed count of resets exceeds this.
const MIN_BREAKS: f64 = 1.5;
/// How far the fraction of uses that end in a reset may exceed the fraction for new connections.
const MAX_EXCESS_BREAK_RATE: f64 = 0.08;

/// Decayed counts of the uses of connections whose idle time is in one bucket.
#[derive(Default)]
struct AgeBucket {
    uses: f64,
    /// Uses that ended in a reset on the first write.
    breaks: f64,
    /// When the counts were last updated.
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

/// How often requests were reset, by how long their connection had been idle.
#[derive(Default)]
pub(crate) struct StaleStatistics {
    /// The first bucket is for new connections, the others for increasing idle times.
    buckets: [AgeBucket; AGE_BUCKETS + 1],
}

fn bucket_index(idle_micros: Option<Micros>) -> usize {
    match idle_micros {
        None => 0,
        Some(idle) => 1 + ((idle / 1000).max(1).ilog2() as usize).min(AGE_BUCKETS - 1),
    }
}

impl StaleStatistics {
    /// Counts a use of a connection. `idle_micros` is how long it had been idle, `None` for a new connection. `broke` says
    /// whether it was reset on the first write.
    pub(crate) fn record(&mut self, now: Micros, idle_micros: Option<Micros>, broke: bool) {
        let bucket = &mut self.buckets[bucket_index(idle_micros)];
        let factor = bucket.decay_factor(now);
        bucket.uses = bucket.uses * factor + 1.0;
        bucket.breaks = bucket.breaks * factor + f64::from(u8::from(broke));
        bucket.decayed_at = now;
    }

    /// Whether a connection that has been idle for `idle_micros` may be reused. If connections of one bucket are reset too often,
    /// those with longer idle times are not reused either.
    pub(crate) fn is_reusable(&self, now: Micros, idle_micros: Micros) -> bool {
        let max_break_rate = self.buckets[0].break_rate() + MAX_EXCESS_BREAK_RATE;
        let up_to_this_age = &self.buckets[1..=bucket_index(Some(idle_micros))];
        !up_to_this_age.iter().any(|bucket| {
            // The counts decay, so that connections of this bucket are tried again after a while.
            let remaining_breaks = bucket.breaks * bucket.decay_factor(now);
            remaining_breaks > MIN_BREAKS && bucket.break_rate() > max_break_rate
        })
    }
}
