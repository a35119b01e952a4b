//! Who spends. One holder for one account and one limit.

use crate::{Epoch, Grant, Micros, Number, Terms, Units};
use std::collections::VecDeque;

/// Grants that a holder has at once at most; more are given back unspent.
pub const MOST_GRANTS: usize = 8;

/// Questions whose answers are still taken.
const MOST_ASKED: usize = 4;
/// The part of a term that an answer may take before another question is asked.
const ANSWER: u64 = 10;

#[derive(Clone, Copy, Debug)]
struct Held {
    grant: Grant,
    spent: Units,
    until: Micros,
}

/// A holder.
#[derive(Clone, Debug)]
pub struct Holder {
    me: Number,
    terms: Terms,
    /// The highest epoch that was seen: grants of lower ones are not taken.
    epoch: Epoch,
    held: Vec<Held>,
    /// Grants that were taken, by the highest id of the epoch, and a bit for each of those below it: each counts once,
    /// however often it comes, and may overtake others.
    highest: u64,
    taken: u64,
    /// Questions that are open, and when they were asked, the last one at the end.
    asked: VecDeque<(u64, Micros)>,
    questions: u64,
}

impl Holder {
    /// A holder of nothing.
    pub fn new(me: Number, terms: Terms) -> Holder {
        Holder {
            me,
            terms,
            epoch: 0,
            held: Vec::new(),
            highest: 0,
            taken: 0,
            asked: VecDeque::new(),
            questions: 0,
        }
    }

    /// Asks: the question's number goes with it, and comes back with the answer, which is dated by it. None: one is open,
    /// and its answer may still come. What is granted twice is taken once, and lost for a term.
    pub fn ask(&mut self, now: Micros) -> Option<u64> {
        if self.asked.back().is_some_and(|a| now < a.1 + self.terms.term / ANSWER) {
            return None;
        }
        if self.asked.len() >= MOST_ASKED {
            self.asked.pop_front();
        }
        self.questions += 1;
        self.asked.push_back((self.questions, now));
        Some(self.questions)
    }

    /// Takes the answer to a question. False: late, doubled, of a lower epoch, or another's; it is not spent here, and
    /// ends by its term.
    pub fn take(&mut self, now: Micros, question: u64, grant: Grant) -> bool {
        let Some(at) = self.asked.iter().position(|a| a.0 == question) else { return false };
        let asked = self.asked[at].1;
        let until = self.terms.holder_until(asked);
        self.drop_over(now);
        if grant.holder != self.me || now >= until || self.held.len() >= MOST_GRANTS || !self.is_new(grant) {
            return false;
        }
        self.asked.remove(at);
        self.held.push(Held { grant, spent: 0, until });
        true
    }

    /// Whether a grant was not taken yet, and is of no lower epoch; notes it.
    fn is_new(&mut self, grant: Grant) -> bool {
        if grant.epoch > self.epoch {
            (self.epoch, self.highest, self.taken) = (grant.epoch, 0, 0);
        }
        let known = grant.epoch == self.epoch;
        if known && grant.id > self.highest {
            let by = grant.id - self.highest;
            self.taken = if by < 64 { self.taken << by | 1 } else { 1 };
            self.highest = grant.id;
            return true;
        }
        let behind = self.highest.saturating_sub(grant.id);
        let new = known && grant.id > 0 && behind < 64 && self.taken >> behind & 1 == 0;
        if new {
            self.taken |= 1 << behind;
        }
        new
    }

    fn drop_over(&mut self, now: Micros) {
        self.held.retain(|h| h.until > now);
    }

    /// Spends units if that much is held: of what ends soonest first.
    pub fn spend(&mut self, now: Micros, units: Units) -> bool {
        // The clock is looked at with each spending: one that slept wakes with nothing.
        self.drop_over(now);
        if self.left(now) < units {
            return false;
        }
        let mut rest = units;
        self.held.sort_by_key(|h| h.until);
        for h in &mut self.held {
            let part = rest.min(h.grant.units - h.spent);
            h.spent += part;
            rest -= part;
        }
        true
    }

    /// What may be spent now.
    pub fn left(&self, now: Micros) -> Units {
        self.held.iter().filter(|h| h.until > now).map(|h| h.grant.units - h.spent).sum()
    }

    /// The epoch that it goes by: told with each question.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Grants of which nothing is left, to be told to the owner: what is out takes the room of what could be granted.
    pub fn done(&mut self) -> Vec<(Grant, Units)> {
        let all = |h: &Held| h.spent == h.grant.units;
        let done = self.held.iter().filter(|h| all(h)).map(|h| (h.grant, h.spent)).collect();
        self.held.retain(|h| !all(h));
        done
    }

    /// Gives up what it holds, with what was spent of each: to be told to the owner. From now on nothing of it is spent.
    pub fn give_up(&mut self) -> Vec<(Grant, Units)> {
        std::mem::take(&mut self.held).into_iter().map(|h| (h.grant, h.spent)).collect()
    }

    /// How old the oldest of what it goes by is: since when it may not have heard of its owner.
    pub fn stale(&self, now: Micros) -> Option<Micros> {
        let asked = self.held.iter().map(|h| h.until - (self.terms.holder_until(0)));
        asked.min().map(|a| now.saturating_sub(a))
    }
}
