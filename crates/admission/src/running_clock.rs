//! A clock that leaves out the time in which this process was stopped or starved: clients' deadlines do not run then.

use crate::Micros;

/// The caller reads the clock every tenth of a second; a longer gap is a stall of this process.
const MIN_STALL: Micros = 400_000;

#[derive(Default)]
pub(crate) struct RunningClock {
    last_reading: Micros,
    stalled_for: Micros,
}

impl RunningClock {
    /// The time without all stalls so far.
    pub(crate) fn read(&mut self, now: Micros) -> Micros {
        if self.last_reading > 0 && now > self.last_reading + MIN_STALL {
            self.stalled_for += now - self.last_reading;
        }
        self.last_reading = self.last_reading.max(now);
        now.saturating_sub(self.stalled_for)
    }
}
