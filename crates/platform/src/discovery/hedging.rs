//! Decides when a request is made again, and which of its calls stay open. Performs no I/O and reads no clock.
//!
//! Discovery never answers a call that was made while it was down, so a call without an answer is followed by another one after
//! a short time. The older call stays open beside it, as discovery may only be slow: if every call was given up after the
//! short time, no list would arrive from a discovery that takes longer.

use chalkgap_runtime::Micros;
use std::collections::VecDeque;

/// How many calls may be open, and for how long.
#[derive(Clone, Copy, Debug)]
pub(super) struct HedgingLimits {
    pub(super) max_open: usize,
    /// A call is given up at this age.
    pub(super) max_age: Micros,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Make a call and report it by [`HedgedCalls::called`].
    Call,
    /// The newest call is late. Report the time of the next call by [`HedgedCalls::call_at`].
    Late,
    /// Give up the call with this index, oldest first, and report it by [`HedgedCalls::ended`].
    GiveUp(usize),
    /// Wait for answers until this time.
    WaitUntil(Micros),
}

#[derive(Clone, Copy, Debug)]
enum NextCall {
    At(Micros),
    /// After the newest call, which counts as late from this time.
    AfterNewest {
        late_at: Micros,
    },
}

/// The open calls of a request, by their start times.
pub(super) struct HedgedCalls {
    /// Oldest first, at most `HedgingLimits::max_open`.
    started_at: VecDeque<Micros>,
    next_call: NextCall,
}

impl HedgedCalls {
    /// Begins with a call at `now`.
    pub(super) fn new(now: Micros) -> HedgedCalls {
        HedgedCalls { started_at: VecDeque::new(), next_call: NextCall::At(now) }
    }

    /// Returns what to do at `now`.
    pub(super) fn step(&self, now: Micros, limits: HedgingLimits) -> Step {
        let oldest_ends_at = self.started_at.front().map_or(Micros::MAX, |at| at + limits.max_age);
        let wait_until = match self.next_call {
            NextCall::At(at) if now >= at && self.started_at.len() < limits.max_open => return Step::Call,
            NextCall::At(at) if now >= at => return Step::GiveUp(self.started_at.len() - 1),
            NextCall::AfterNewest { late_at } if now >= late_at => return Step::Late,
            NextCall::At(at) | NextCall::AfterNewest { late_at: at } => at,
        };
        if now >= oldest_ends_at {
            return Step::GiveUp(0);
        }
        Step::WaitUntil(wait_until.min(oldest_ends_at))
    }

    /// A call was made at `now`. It counts as late from `late_at`.
    pub(super) fn called(&mut self, now: Micros, late_at: Micros) {
        self.started_at.push_back(now);
        self.next_call = NextCall::AfterNewest { late_at };
    }

    /// The next call is to be made at `at`.
    pub(super) fn call_at(&mut self, at: Micros) {
        self.next_call = NextCall::At(at);
    }

    /// The call with this index failed or was given up. Returns whether the time of the next call has to be reported by
    /// [`Self::call_at`].
    pub(super) fn ended(&mut self, index: usize) -> bool {
        let was_newest = index + 1 == self.started_at.len();
        self.started_at.remove(index);
        was_newest && matches!(self.next_call, NextCall::AfterNewest { .. })
    }
}
