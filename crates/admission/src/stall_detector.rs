//! When bytes that are read now may have arrived. A process that was stopped or starved finds in its sockets what arrived
//! meanwhile, and nothing there says when: a timeout counted from the reading would give the client less time than it was
//! promised. So what is read while a tick is overdue, or just after one was, counts as arrived at the tick before.

use crate::Micros;

#[cfg(test)]
mod tests;

/// How late a tick may be on a busy machine.
const MAX_TICK_DELAY: Micros = 30_000;
/// After a stall, what is read for this long may have arrived in it.
const READ_AFTER_STALL: Micros = 50_000;

/// Notices from a steady timer when the process stood still.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    tick_interval: Micros,
    last_tick: Micros,
    last_stall: Option<Stall>,
}

/// A time between two ticks in which the process stood still.
#[derive(Clone, Copy, Debug)]
struct Stall {
    start: Micros,
    end: Micros,
}

impl StallDetector {
    /// A detector whose timer ticks once in each `tick_interval` from now on.
    pub fn new(now: Micros, tick_interval: Micros) -> Self {
        StallDetector { tick_interval, last_tick: now, last_stall: None }
    }

    /// The timer ticks.
    pub fn tick(&mut self, now: Micros) {
        if self.is_tick_overdue(now) {
            self.last_stall = Some(Stall { start: self.last_tick, end: now });
        }
        self.last_tick = self.last_tick.max(now);
    }

    /// When bytes that are read now arrived, at the earliest.
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
