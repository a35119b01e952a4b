//! A rate limit on frames that are cheap to send and cause work for the receiver (RFC 9113, section 10.5).

use super::super::frame::{Code, ConnError};
use super::Config;

const MICROS_PER_SECOND: f64 = 1e6;

/// Token bucket for control frames, resets and empty frames of the peer.
pub(super) struct ControlAllowance {
    tokens: f64,
    capacity: f64,
    per_second: f64,
    /// Time of the last refill, in microseconds.
    refilled_at: u64,
}

impl ControlAllowance {
    pub(super) fn new(config: &Config) -> Self {
        let capacity = f64::from(config.control_burst) + 2.0 * f64::from(config.max_streams);
        let per_second = f64::from(config.control_per_s);
        ControlAllowance { tokens: capacity, capacity, per_second, refilled_at: 0 }
    }

    /// Takes `cost` tokens at the time `now`, in microseconds.
    ///
    /// # Errors
    /// ENHANCE_YOUR_CALM with `reason` if there are fewer than `cost` tokens.
    pub(super) fn spend(&mut self, now: u64, cost: f64, reason: &'static str) -> Result<(), ConnError> {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / MICROS_PER_SECOND;
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.capacity) - cost;
        if self.tokens < 0.0 {
            return Err(ConnError::new(Code::ENHANCE_YOUR_CALM, reason));
        }
        Ok(())
    }

    /// Returns one token, after a stream was ended by both sides: it pays for one reset.
    pub(super) fn earn(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.capacity);
    }
}
