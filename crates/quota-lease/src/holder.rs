//! Who spends. One holder for one account and one limit.

use crate::{Epoch, Grant, Micros, Number, Terms, Units};

/// Grants that a holder has at once at most; more are given back unspent.
pub const MOST_GRANTS: usize = 8;

/// Closed questions that are told with each question: one of so many gets through.
pub const MOST_CLOSED: usize = 8;
/// The part of a term that an answer may take before another question is asked.
const ANSWER: u64 = 10;

/// What a holder asks its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Comes back with the answer.
    pub question: u64,
    /// Questions whose answers did not come, and will not be taken any more; 0: none.
    pub closed: [u64; MOST_CLOSED],
    /// The epoch that the holder goes by.
    pub epoch: Epoch,
}

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
    /// The question that is open, and when it was asked.
    open: Option<(u64, Micros)>,
    /// The last ones that were closed without an answer.
    closed: [u64; MOST_CLOSED],
    questions: u64,
}

impl Holder {
    /// A holder of nothing. `start`: later than at all starts before, as its questions are numbered from there: what an
    /// earlier one asked and spent must not be taken for a question of this one.
    pub fn new(me: Number, terms: Terms, start: u64) -> Holder {
        Holder {
            me,
            terms,
            epoch: 0,
            held: Vec::new(),
            highest: 0,
            taken: 0,
            open: None,
            closed: [0; MOST_CLOSED],
            questions: start,
        }
    }

    /// Asks. None: a question is open, and its answer may still come. One that was open for long is closed: its answer is
    /// never taken from now on, and the owner may have back what it granted.
    pub fn ask(&mut self, now: Micros) -> Option<Ask> {
        if let Some((question, asked)) = self.open {
            if now < asked + self.terms.term / ANSWER {
                return None;
            }
            self.closed.rotate_right(1);
            self.closed[0] = question;
        }
        self.questions += 1;
        self.open = Some((self.questions, now));
        Some(Ask { question: self.questions, closed: self.closed, epoch: self.epoch })
    }

    /// Takes the answer to a question. False: late, doubled, of a lower epoch, or another's; it is not spent here, and
    /// ends by its term.
    pub fn take(&mut self, now: Micros, question: u64, grant: Grant) -> bool {
        let Some((_, asked)) = self.open.filter(|o| o.0 == question) else { return false };
        let until = self.terms.holder_until(asked);
        self.drop_over(now);
        if grant.holder != self.me || now >= until || self.held.len() >= MOST_GRANTS || !self.is_new(grant) {
            return false;
        }
        self.open = None;
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
}
