//! A rate limiter.

/// A token bucket that permits a burst of one second's tokens, and of one token at least.
pub struct TokenBucket {
    tokens: f64,
    per_second: f64,
    refilled_at_micros: u64,
}

impl TokenBucket {
    /// Creates a full bucket that is refilled with `per_second` tokens a second.
    pub fn new(per_second: f64) -> Self {
        TokenBucket { tokens: per_second.max(1.0), per_second, refilled_at_micros: 0 }
    }

    /// Takes a token at `now` (microseconds). Returns false if none is left.
    pub fn take(&mut self, now: u64) -> bool {
        let elapsed_seconds = now.saturating_sub(self.refilled_at_micros) as f64 / 1e6;
        self.refilled_at_micros = self.refilled_at_micros.max(now);
        let refilled = self.tokens + elapsed_seconds * self.per_second;
        self.tokens = refilled.min(self.per_second.max(1.0));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
