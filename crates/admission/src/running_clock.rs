//! A clock that does not advance while this process is stopped or gets no CPU time, so that clients' deadlines do not
//! expire because of it.

use crate::Micros;

/// A longer gap between two readings is a stall of this process: the caller reads the clock every 100 ms.
const MIN_STALL: Micros = 400_000;

/// Time without the stalls of this process.
#[derive(Default)]
pub(crate) struct RunningClock {
    last_reading: Micros,
    stalled_for: Micros,
}

impl RunningClock {
    /// Returns `now` minus all stalls so far.
    pub(crate) fn read(&mut self, now: Micros) -> Micros {
        if self.last_reading > 0 && now > self.last_reading + MIN_STALL {
            self.stalled_for += now - self.last_reading;
        }
        self.last_reading = self.last_reading.max(now);
        now.saturating_sub(self.stalled_for)
    }
}
