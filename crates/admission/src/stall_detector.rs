//! Estimates when received bytes arrived, after a stall of this process.
//!
//! While a process is stopped or gets no CPU time, bytes arrive in its socket buffers without a timestamp. A timeout
//! counted from the read would end later than the client expects, by up to the length of the stall. Bytes that are read
//! while a tick is overdue, or shortly after an overdue tick, therefore count as received at the tick before it.

use crate::Micros;

#[cfg(test)]
mod tests;

/// Delay up to which a tick counts as in time: a busy machine delays timers without a stall.
const MAX_TICK_DELAY: Micros = 30_000;
/// Bytes that are read within this time after a stall may have arrived during the stall.
const READ_AFTER_STALL: Micros = 50_000;

/// Detects stalls of this process from the delays of a periodic timer.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    tick_interval: Micros,
    last_tick: Micros,
    last_stall: Option<Stall>,
}

/// A stall: the time from the last tick before it to the overdue tick.
#[derive(Clone, Copy, Debug)]
struct Stall {
    start: Micros,
    end: Micros,
}

impl StallDetector {
    /// Creates a detector that expects a call of [`StallDetector::tick`] every `tick_interval` from `now` on.
    pub fn new(now: Micros, tick_interval: Micros) -> Self {
        StallDetector { tick_interval, last_tick: now, last_stall: None }
    }

    /// Records a tick of the timer.
    pub fn tick(&mut self, now: Micros) {
        if self.is_tick_overdue(now) {
            self.last_stall = Some(Stall { start: self.last_tick, end: now });
        }
        self.last_tick = self.last_tick.max(now);
    }

    /// Returns the earliest time at which bytes that are read at `now` may have arrived.
    pub fn earliest_arrival(&self, now: Micros) -> Micros {
        if self.is_tick_overdue(now) {
            return self.last_tick;
        }
        match self.last_stall {
            Some(stall) if now < stall.end + READ_AFTER_STALL => stall.start,
            _ => now,
        }
    }

    fn is_tick_overdue(&self, now: Micros) -> bool {
        now > self.last_tick + self.tick_interval + MAX_TICK_DELAY
    }
}
