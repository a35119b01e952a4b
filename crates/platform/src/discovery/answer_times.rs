//! How long discovery took for its latest answers. Performs no I/O and reads no clock.

use chalkgap_runtime::Micros;
use std::collections::VecDeque;

/// Maximum number of answers that are remembered.
const MAX_ANSWERS: usize = 8;
/// Answers are forgotten after this time, so that a slow period that is over does not delay calls.
const ANSWER_LIFETIME_MICROS: Micros = 30_000_000;
/// The reserve beyond the longest of these answers is its length divided by this.
const RESERVE_DIVISOR: Micros = 4;

struct Answer {
    received_at: Micros,
    /// Time from the start of the call.
    elapsed: Micros,
}

/// The latest answers of discovery. Calls without an answer do not count: during an outage they would say nothing about the
/// time after it.
#[derive(Default)]
pub(super) struct AnswerTimes {
    /// Oldest first, at most `MAX_ANSWERS`.
    answers: VecDeque<Answer>,
}

impl AnswerTimes {
    /// Records an answer that arrived at `now`, `elapsed` after its call began.
    pub(super) fn record(&mut self, now: Micros, elapsed: Micros) {
        if self.answers.len() == MAX_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back(Answer { received_at: now, elapsed });
    }

    /// Returns the time within which the next answer is expected; 0 if there are no recent answers.
    pub(super) fn expected(&self, now: Micros) -> Micros {
        let recent = self.answers.iter().filter(|answer| now < answer.received_at + ANSWER_LIFETIME_MICROS);
        let longest = recent.map(|answer| answer.elapsed).max().unwrap_or(0);
        longest + longest / RESERVE_DIVISOR
    }

    /// Forgets all answers.
    pub(super) fn clear(&mut self) {
        self.answers.clear();
    }
}
