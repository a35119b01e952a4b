//! The times at which the driver has to act: timers that the core has set, and deadlines of attempts.

use chalkgap_core::RequestId;
use chalkgap_runtime::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A timer of the core. Timers that are due at the same time fire in the order in which they were set.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CoreTimer {
    due_at: Micros,
    sequence: u64,
    token: u32,
}

/// Deadline of an attempt. The attempt times out if it has no result by then.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptDeadline {
    due_at: Micros,
    pub id: RequestId,
    pub attempt: u16,
}

/// Pending timers of the core and pending deadlines of attempts, each queue ordered by time.
#[derive(Default)]
pub(super) struct Timers {
    core_timers: BinaryHeap<Reverse<CoreTimer>>,
    attempt_deadlines: BinaryHeap<Reverse<AttemptDeadline>>,
    last_sequence: u64,
}

/// A queue of this capacity keeps it however few entries it has.
const MIN_CAPACITY: usize = 1024;
/// A queue gives memory back when fewer entries than its capacity divided by this are left.
const SHRINK_DIVISOR: usize = 8;

/// Gives back most of the memory of a queue that was much longer before.
fn shrink<T: Ord>(queue: &mut BinaryHeap<T>) {
    if queue.capacity() > MIN_CAPACITY && queue.len() < queue.capacity() / SHRINK_DIVISOR {
        queue.shrink_to(MIN_CAPACITY.max(2 * queue.len()));
    }
}

impl Timers {
    /// Sets a timer of the core.
    pub fn set_core_timer(&mut self, due_at: Micros, token: u32) {
        self.last_sequence += 1;
        self.core_timers.push(Reverse(CoreTimer { due_at, sequence: self.last_sequence, token }));
    }

    /// Sets the deadline of an attempt. It is not removed when the attempt ends earlier.
    pub fn set_attempt_deadline(&mut self, due_at: Micros, id: RequestId, attempt: u16) {
        self.attempt_deadlines.push(Reverse(AttemptDeadline { due_at, id, attempt }));
    }

    /// Returns the earliest time in either queue.
    pub fn next_due(&self) -> Option<Micros> {
        let next_timer = self.core_timers.peek().map(|timer| timer.0.due_at);
        let next_deadline = self.attempt_deadlines.peek().map(|deadline| deadline.0.due_at);
        [next_timer, next_deadline].into_iter().flatten().min()
    }

    /// Removes and returns the next deadline that is due at `now`.
    pub fn pop_attempt_deadline(&mut self, now: Micros) -> Option<AttemptDeadline> {
        self.attempt_deadlines.peek().filter(|deadline| deadline.0.due_at <= now)?;
        let deadline = self.attempt_deadlines.pop().map(|deadline| deadline.0);
        shrink(&mut self.attempt_deadlines);
        deadline
    }

    /// Removes the next timer of the core that is due at `now` and returns its token.
    pub fn pop_core_timer(&mut self, now: Micros) -> Option<u32> {
        self.core_timers.peek().filter(|timer| timer.0.due_at <= now)?;
        let token = self.core_timers.pop().map(|timer| timer.0.token);
        shrink(&mut self.core_timers);
        token
    }
}
