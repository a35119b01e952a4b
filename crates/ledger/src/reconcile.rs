//! How an ingress gets what others have and it lacks: it asks each what it has, then fetches what is missing, in parts
//! and at a bounded rate. Free of I/O and clock. Nothing is pushed: who asks decides how much comes.

use crate::book::Book;
use crate::entry::{Entry, Id, Range};
use crate::spans::{self, Span};
use crate::Micros;
use std::collections::BTreeMap;

/// What is allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// How often another is asked what it has.
    pub every: Micros,
    /// Entries fetched a second, from one other.
    pub per_second: f64,
    /// Entries fetched at once.
    pub part: u64,
    /// Ranges that another may tell of: more are no honest fleet's.
    pub ranges: usize,
}

/// What is to be asked of the other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// What it has.
    Have,
    /// These entries.
    Fetch(Vec<Range>),
}

/// Why another's word is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// It tells of more ranges than are allowed.
    #[error("it tells of {0} ranges")]
    Ranges(usize),
    /// A range is no range.
    #[error("a range from {0} to {1} of ingress {2}")]
    Range(u64, u64, u32),
    /// An entry came that was not asked for.
    #[error("entry {} of ingress {} came unasked", .0.number, .0.ingress)]
    Unasked(Id),
    /// It says to have entries of this very incarnation that were never written here.
    #[error("it has entry {0} of this start, and only {1} were written")]
    Mine(u64, u64),
}

/// Reconciles with one other ingress.
pub struct Reconciler {
    me: (u16, u64),
    rules: Rules,
    theirs: BTreeMap<(u16, u64), Vec<Span>>,
    next: Micros,
    allowance: f64,
    at: Micros,
    asked: Vec<Range>,
    fetched: u64,
}

impl Reconciler {
    /// For ingress and incarnation `me`.
    pub fn new(me: (u16, u64), rules: Rules) -> Self {
        let (theirs, asked) = (BTreeMap::new(), Vec::new());
        Reconciler { me, rules, theirs, next: 0, allowance: 0.0, at: 0, asked, fetched: 0 }
    }

    /// What to ask now, or when to look again.
    ///
    /// # Errors
    /// The time to look again at.
    pub fn ask(&mut self, now: Micros, book: &Book) -> Result<Ask, Micros> {
        let span = now.saturating_sub(self.at) as f64 / 1e6;
        (self.at, self.allowance) =
            (now, (self.allowance + span * self.rules.per_second).min(self.rules.per_second.max(1.0)));
        let mut left = self.rules.part.min(self.allowance as u64);
        let (mut list, mut lacking) = (Vec::new(), false);
        for ((ingress, incarnation), spans) in self.theirs.iter().filter(|t| *t.0 != self.me) {
            let lacks = book.lacks(*ingress, *incarnation, spans, left.max(1));
            lacking |= !lacks.is_empty();
            for (from, to) in lacks {
                if left > 0 {
                    left -= (to - from + 1).min(left);
                    list.push(Range { ingress: (*ingress).into(), incarnation: *incarnation, from, to });
                }
            }
        }
        // Few at a time are not worth a call of their own: the allowance is saved up for a tenth of a second.
        let worth = (self.rules.part as f64).min(self.rules.per_second / 10.0).max(1.0);
        if lacking && self.allowance >= worth {
            self.asked.clone_from(&list);
            return Ok(Ask::Fetch(list));
        }
        if now >= self.next {
            self.next = now + self.rules.every;
            return Ok(Ask::Have);
        }
        Err(if lacking { self.next.min(now + 100_000) } else { self.next })
    }

    /// What the other says to have; `written`: how many entries of this incarnation there are.
    ///
    /// # Errors
    /// See [`Refused`]; nothing of it is taken then.
    pub fn have(&mut self, ranges: &[Range], written: u64) -> Result<(), Refused> {
        if ranges.len() > self.rules.ranges {
            return Err(Refused::Ranges(ranges.len()));
        }
        let mut theirs: BTreeMap<(u16, u64), Vec<Span>> = BTreeMap::new();
        for r in ranges {
            let ingress = u16::try_from(r.ingress);
            let (Ok(ingress), true) = (ingress, r.from > 0 && r.from <= r.to && r.to < u64::MAX) else {
                return Err(Refused::Range(r.from, r.to, r.ingress));
            };
            if (ingress, r.incarnation) == self.me && r.to > written {
                return Err(Refused::Mine(r.to, written));
            }
            spans::add_span(theirs.entry((ingress, r.incarnation)).or_default(), (r.from, r.to));
        }
        self.theirs = theirs;
        Ok(())
    }

    /// Entries that came for what was asked. Those that it does not have after all are asked for again later.
    ///
    /// # Errors
    /// See [`Refused`]; none of them is taken then.
    pub fn fetched(&mut self, entries: &[Entry]) -> Result<(), Refused> {
        for e in entries {
            let asked = |r: &Range| {
                (r.ingress, r.incarnation) == (e.id.ingress.into(), e.id.incarnation)
                    && (r.from..=r.to).contains(&e.id.number)
            };
            if !self.asked.iter().any(asked) {
                return Err(Refused::Unasked(e.id));
            }
        }
        self.allowance -= entries.len() as f64;
        self.fetched += entries.len() as u64;
        if entries.is_empty() {
            self.theirs.clear(); // it said to have what it does not give: asked anew at the next round
        }
        Ok(())
    }

    /// The other did not answer, or not well: left alone until the next round.
    pub fn failed(&mut self, now: Micros) {
        self.theirs.clear();
        self.next = now + self.rules.every;
    }

    /// Entries that came so far.
    pub fn count(&self) -> u64 {
        self.fetched
    }
}
