//! Who hands out. One owner for one account and one limit.

use crate::{Ask, Epoch, Limit, Micros, Number, Store, Terms, Units};
use std::collections::BTreeMap;

/// What a holder gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Grant {
    /// Of which owner.
    pub epoch: Epoch,
    /// Names it among that owner's.
    pub id: u64,
    /// To whom.
    pub holder: Number,
    /// How much.
    pub units: Units,
}

/// Why nothing is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// What earlier owners granted may still be spent.
    #[error("grants of an earlier owner may be out for {0} us more")]
    Waiting(Micros),
    /// There is nothing to give; when there is a unit again.
    #[error("nothing is left, until in {0} us")]
    Empty(Micros),
    /// It has answered this question, or a later one.
    #[error("a question that was answered, or is overtaken")]
    Again,
    /// It is the owner no longer.
    #[error("no owner any more")]
    Over,
}

struct Out {
    holder: Number,
    question: u64,
    units: Units,
    until: Micros,
}

/// An owner.
pub struct Owner {
    terms: Terms,
    epoch: Epoch,
    store: Store,
    /// Nothing is granted before: an earlier owner's grants are over by then.
    opens: Micros,
    /// It may grant until then; renewed with the votes that made it the owner.
    until: Micros,
    out: BTreeMap<u64, Out>,
    /// The last question of each holder: one that comes again, or late, gets nothing new.
    asked: BTreeMap<Number, u64>,
    /// Their units.
    outstanding: Units,
    next: u64,
}

/// The share of what is there that one ask gets at most: others come, too.
const PART: Units = 2;
/// Grants of one account that are out at once at most.
const MOST_OUT: usize = 4096;

impl Owner {
    /// An owner from now on, by votes that hold until `until`.
    ///
    /// It knows nothing of what an earlier one gave, nor whether there was one. All that is over after a term; until then
    /// its store stays empty, as what is out may take all the room.
    pub fn new(limit: Limit, terms: Terms, epoch: Epoch, now: Micros, until: Micros) -> Owner {
        let opens = terms.giver_until(now);
        Owner {
            terms,
            epoch,
            store: Store::empty(limit, opens),
            opens,
            until,
            out: BTreeMap::new(),
            asked: BTreeMap::new(),
            outstanding: 0,
            next: 1,
        }
    }

    /// Its epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The votes that make it the owner have been renewed.
    pub fn renew(&mut self, until: Micros) {
        self.until = self.until.max(until);
    }

    /// What is over is over: it counts as spent, and takes no room any more.
    fn settle(&mut self, now: Micros) {
        // Up to now what was out took its room; how long each of them did does not matter, as less comes in this way.
        self.store.fill(now, self.outstanding);
        // By id is by time: the first that is not over ends the search.
        while let Some(over) = self.out.first_entry().filter(|o| o.get().until <= now) {
            self.outstanding -= over.remove().units;
        }
    }

    /// Grants up to `want` units to a holder that asks. What was granted to questions that it has closed comes back.
    ///
    /// # Errors
    /// See [`Refused`].
    pub fn grant(&mut self, now: Micros, holder: Number, ask: &Ask, want: Units) -> Result<Grant, Refused> {
        // Looked at first: one that slept past its term wakes with the asks that waited for it.
        if now >= self.until {
            return Err(Refused::Over);
        }
        if now < self.opens {
            return Err(Refused::Waiting(self.opens - now));
        }
        self.settle(now);
        let closed = |o: &Out| o.holder == holder && ask.closed.contains(&o.question);
        let back: Vec<u64> = self.out.iter().filter(|o| closed(o.1)).map(|o| *o.0).collect();
        for out in back.iter().filter_map(|id| self.out.remove(id)) {
            self.outstanding -= out.units;
            self.store.put_back(out.units);
        }
        let last = self.asked.entry(holder).or_default();
        if ask.question <= *last {
            return Err(Refused::Again);
        }
        *last = ask.question;
        let units = want.min(self.store.level().div_ceil(PART));
        if units == 0 || self.out.len() >= MOST_OUT || !self.store.take(units) {
            return Err(Refused::Empty(1_000_000 / self.store.limit().rate.max(1)));
        }
        let id = self.next;
        self.next += 1;
        self.outstanding += units;
        self.out
            .insert(id, Out { holder, question: ask.question, units, until: self.terms.giver_until(now) });
        Ok(Grant { epoch: self.epoch, id, holder, units })
    }

    /// A holder gives a grant up, having spent so much of it. Once: a second word, or one after the term, changes nothing.
    pub fn give_back(&mut self, now: Micros, grant: Grant, spent: Units) -> bool {
        self.settle(now);
        let fits = grant.epoch == self.epoch
            && self.out.get(&grant.id).is_some_and(|o| o.holder == grant.holder && o.units == grant.units);
        if !fits || now >= self.until {
            return false;
        }
        self.out.remove(&grant.id);
        self.outstanding -= grant.units;
        self.store.put_back(grant.units - spent.min(grant.units));
        true
    }
}
