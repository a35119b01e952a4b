//! When bytes that are read now may have come. A process that stood still finds what came meanwhile in its sockets, and
//! nothing there says when: a time-out that counts from the reading would promise the client time that it has not got.
//! So what is read when a beat is overdue, or just after one was, counts as come at the beat before.

use crate::Micros;

/// Beats of a steady timer, and the last pause between them.
#[derive(Clone, Copy, Debug)]
pub struct Pulse {
    /// How often it beats.
    every: Micros,
    last: Micros,
    pause: (Micros, Micros),
}

/// How late a beat may be on a busy machine.
const LATE: Micros = 30_000;
/// After a pause, what is read for so long may have come in it.
const AFTER: Micros = 50_000;

impl Pulse {
    /// A pulse that is to beat `every` so often, from now on.
    pub fn new(now: Micros, every: Micros) -> Self {
        Pulse { every, last: now, pause: (0, 0) }
    }

    fn overdue(&self, now: Micros) -> bool {
        now > self.last + self.every + LATE
    }

    /// The timer beats.
    pub fn beat(&mut self, now: Micros) {
        if self.overdue(now) {
            self.pause = (self.last, now);
        }
        self.last = self.last.max(now);
    }

    /// When bytes that are read now came, at the earliest.
    pub fn came(&self, now: Micros) -> Micros {
        if self.overdue(now) {
            self.last
        } else if self.pause.1 > 0 && now < self.pause.1 + AFTER {
            self.pause.0
        } else {
            now
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_read_after_a_pause_came_before_it_at_the_worst() {
        let (ms, mut p) = (1000, Pulse::new(0, 100_000));
        for n in 1..=10 {
            p.beat(n * 100 * ms);
        }
        assert_eq!(p.came(1050 * ms), 1050 * ms, "in time");
        assert_eq!(p.came(1125 * ms), 1125 * ms, "a little late");
        assert_eq!(p.came(2200 * ms), 1000 * ms, "read before the beat that is overdue");
        p.beat(2200 * ms);
        assert_eq!(p.came(2201 * ms), 1000 * ms, "read right after it");
        assert_eq!(p.came(2250 * ms), 2250 * ms, "what comes now comes now");
        p.beat(2300 * ms);
        assert_eq!(p.came(2310 * ms), 2310 * ms);
    }
}
