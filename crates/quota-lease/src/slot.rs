//! Who may be the owner. Accounts fall into slots; a slot has a fixed committee of numbers, and whoever has the votes of
//! most of it is the owner for as long as they last. Two cannot have them at once: some voter would have to have voted for
//! both. Nothing of it rests on a view of the fleet, which may differ between two; the view says who should stand.

use crate::{Epoch, Micros, Number, Terms};
use std::collections::BTreeMap;

/// A member of a committee.
#[derive(Clone, Debug)]
pub struct Voter {
    terms: Terms,
    /// No vote before: one given before this start, and forgotten, is over by then.
    opens: Micros,
    highest: Epoch,
    given: Option<(Number, Micros)>,
}

/// A voter's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vote {
    /// Whose.
    pub voter: Number,
    /// The question.
    pub question: u64,
    /// The epoch that was asked for.
    pub epoch: Epoch,
    /// Yes.
    pub given: bool,
    /// The highest epoch that the voter has given its vote in.
    pub highest: Epoch,
}

impl Voter {
    /// A voter that starts now.
    pub fn new(terms: Terms, now: Micros) -> Voter {
        Voter { terms, opens: terms.giver_until(now), highest: 0, given: None }
    }

    /// Somebody stands for an epoch.
    pub fn ask(&mut self, now: Micros, me: Number, candidate: Number, question: u64, epoch: Epoch) -> Vote {
        let free = self.given.is_none_or(|(whom, until)| whom == candidate || until <= now);
        let same = epoch == self.highest && self.given.is_some_and(|g| g.0 == candidate);
        let given = now >= self.opens && free && (epoch > self.highest || same);
        if given {
            self.highest = epoch;
            self.given = Some((candidate, self.terms.giver_until(now)));
        }
        Vote { voter: me, question, epoch, given, highest: self.highest }
    }
}

/// Whoever stands for a slot.
#[derive(Clone, Debug)]
pub struct Candidate {
    terms: Terms,
    committee: usize,
    /// Who should be the owner rather than this one: so many.
    rank: u32,
    epoch: Epoch,
    /// Epochs that others had.
    seen: Epoch,
    question: u64,
    asked: Option<Micros>,
    votes: BTreeMap<Number, bool>,
    until: Micros,
}

impl Candidate {
    /// A candidate for a slot with a committee of so many.
    pub fn new(terms: Terms, committee: usize, rank: u32) -> Candidate {
        let votes = BTreeMap::new();
        Candidate { terms, committee, rank, epoch: 0, seen: 0, question: 0, asked: None, votes, until: 0 }
    }

    /// Stands, or stands again to stay: the question's number and the epoch, for all of the committee. None: it has lost,
    /// and rests until the votes that it got are over, longer the lower its rank. Two that both went on with a part of the
    /// votes each would keep each other out for ever.
    pub fn stand(&mut self, now: Micros) -> Option<(u64, Epoch)> {
        if now >= self.until {
            let rest = self.terms.term / 2 * u64::from(self.rank);
            if self.asked.is_some_and(|asked| now < self.terms.giver_until(asked) + rest) {
                return None;
            }
            // Beyond all that were seen. The clock is in it, as those who saw the last one may all have been started again.
            self.epoch = self.seen.max(self.epoch).saturating_add(1).max(now);
        }
        self.question += 1;
        self.asked = Some(now);
        self.votes.clear();
        Some((self.question, self.epoch))
    }

    /// A vote has come. The time until which this one is the owner, if it now is, or still.
    pub fn vote(&mut self, now: Micros, vote: Vote) -> Option<(Epoch, Micros)> {
        self.seen = self.seen.max(vote.highest);
        if vote.question != self.question || vote.epoch != self.epoch {
            return None; // of an earlier question: its time is not known
        }
        self.votes.insert(vote.voter, vote.given);
        let yes = self.votes.values().filter(|v| **v).count();
        let until = self.terms.holder_until(self.asked?);
        if 2 * yes <= self.committee || now >= until {
            return None;
        }
        self.until = until;
        Some((self.epoch, until))
    }

    /// A holder goes by an epoch: where it is beyond this one's, which it would not honour, this one gives up and stands
    /// anew. That can be after many were started again.
    pub fn saw(&mut self, epoch: Epoch) {
        self.seen = self.seen.max(epoch);
        if epoch > self.epoch {
            self.until = 0;
        }
    }

    /// Whether it is the owner.
    pub fn owns(&self, now: Micros) -> Option<Epoch> {
        (now < self.until).then_some(self.epoch)
    }
}
