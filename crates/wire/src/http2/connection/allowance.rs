//! An allowance for frames that cost the peer nothing and this side some work (RFC 9113, section 10.5).

use super::super::frame::{Code, ConnError};
use super::Config;

const MICROS_PER_SECOND: f64 = 1e6;

/// A token bucket for control frames, resets and empty frames.
pub(super) struct ControlAllowance {
    tokens: f64,
    capacity: f64,
    per_second: f64,
    /// In microseconds.
    refilled_at: u64,
}

impl ControlAllowance {
    pub(super) fn new(config: &Config) -> Self {
        let capacity = f64::from(config.control_burst) + 2.0 * f64::from(config.max_streams);
        let per_second = f64::from(config.control_per_s);
        ControlAllowance { tokens: capacity, capacity, per_second, refilled_at: 0 }
    }

    /// Takes `cost` at the time `now` (microseconds).
    ///
    /// # Errors
    /// The allowance is used up: the connection ends with ENHANCE_YOUR_CALM, for the reason `what`.
    pub(super) fn spend(&mut self, now: u64, cost: f64, reason: &'static str) -> Result<(), ConnError> {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / MICROS_PER_SECOND;
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.capacity) - cost;
        if self.tokens < 0.0 {
            return Err(ConnError::new(Code::ENHANCE_YOUR_CALM, reason));
        }
        Ok(())
    }

    /// A stream that came to its proper end earns the peer one reset.
    pub(super) fn earn(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.capacity);
    }
}
