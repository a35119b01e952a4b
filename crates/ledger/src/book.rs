//! Adds entries up. They may come in any order and any number of copies, from this ingress's log and from others'.

use crate::entry::{Entry, Id, What};
use crate::Micros;
use std::collections::BTreeMap;

/// Numbers from one to another, both in.
pub type Span = (u64, u64);

/// An account's use in a period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sum {
    /// Units of settled requests, corrections in.
    pub units: i64,
    /// Requests that used any.
    pub requests: u64,
    /// Units settled by the rule, with no truth so far.
    pub presumed: i64,
    /// Units of requests that are still open.
    pub open: u64,
}

/// What became of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It is in.
    New,
    /// It was in already: nothing changed.
    Known,
    /// It was in already and said something else: an ingress used a number twice. The first one stays.
    Conflict,
}

struct Use {
    account: String,
    period: u64,
    units: u64,
    /// None while open; the units, and whether they were presumed.
    end: Option<(u64, bool)>,
}

/// Adds up use by account and period.
pub struct Book {
    period: Micros,
    /// Which numbers are in, by ingress and incarnation; spans that do not touch, in order.
    have: BTreeMap<(u16, u64), Vec<Span>>,
    /// A short hash of each entry that is in, to tell a copy from a conflict.
    marks: BTreeMap<Id, u64>,
    uses: BTreeMap<Id, Use>,
    /// Ends and corrections that came before what they belong to.
    early: BTreeMap<Id, Vec<(Id, What)>>,
    /// Ends that were taken, by the open entry: the lowest number counts where there are two.
    ends: BTreeMap<Id, u64>,
    sums: BTreeMap<(String, u64), Sum>,
}

fn mark(entry: &Entry) -> u64 {
    let hash = blake3::hash(&entry.encode());
    let mut word = [0; 8];
    word.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(word)
}

impl Book {
    /// An empty book with periods of this length, counted from 1970 (UTC).
    pub fn new(period: Micros) -> Self {
        Book {
            period: period.max(1),
            have: BTreeMap::new(),
            marks: BTreeMap::new(),
            uses: BTreeMap::new(),
            early: BTreeMap::new(),
            ends: BTreeMap::new(),
            sums: BTreeMap::new(),
        }
    }

    /// The period of a time.
    pub fn period_of(&self, at: Micros) -> u64 {
        at / self.period
    }

    /// Takes an entry.
    pub fn take(&mut self, entry: &Entry) -> Taken {
        let mark = mark(entry);
        if let Some(old) = self.marks.get(&entry.id) {
            return if *old == mark { Taken::Known } else { Taken::Conflict };
        }
        self.marks.insert(entry.id, mark);
        add(self.have.entry((entry.id.ingress, entry.id.incarnation)).or_default(), entry.id.number);
        match &entry.what {
            What::Open { account, units, .. } => {
                let period = self.period_of(entry.at);
                let one = Use { account: account.clone(), period, units: *units, end: None };
                self.sums.entry((account.clone(), period)).or_default().open += units;
                self.uses.insert(entry.id, one);
                for (id, what) in self.early.remove(&entry.id).unwrap_or_default() {
                    self.follow(entry.id, id, &what);
                }
            }
            What::Settled { open, .. } => {
                let of = Id { number: *open, ..entry.id };
                self.follow(of, entry.id, &entry.what);
            }
            What::Correction { of, .. } => self.follow(*of, entry.id, &entry.what),
        }
        Taken::New
    }

    /// What belongs to an open entry: now, or when that comes.
    fn follow(&mut self, of: Id, id: Id, what: &What) {
        let Some(u) = self.uses.get_mut(&of) else {
            self.early.entry(of).or_default().push((id, what.clone()));
            return;
        };
        let sum = self.sums.entry((u.account.clone(), u.period)).or_default();
        match what {
            What::Settled { units, presumed, .. } => {
                // A request has one end. Where two were written, whatever the order they come in, the first counts.
                let first = self.ends.get(&of).is_none_or(|n| id.number < *n);
                if !first {
                    return;
                }
                self.ends.insert(of, id.number);
                match u.end.replace((*units, *presumed)) {
                    None => sum.open -= u.units,
                    Some((old, was_presumed)) => {
                        sum.units -= old as i64;
                        sum.requests -= u64::from(old > 0);
                        sum.presumed -= if was_presumed { old as i64 } else { 0 };
                    }
                }
                sum.units += *units as i64;
                sum.requests += u64::from(*units > 0);
                sum.presumed += if *presumed { *units as i64 } else { 0 };
            }
            What::Correction { units, .. } => sum.units += units,
            What::Open { .. } => {}
        }
    }

    /// An account's use in a period.
    pub fn sum(&self, account: &str, period: u64) -> Sum {
        self.sums.get(&(account.to_owned(), period)).copied().unwrap_or_default()
    }

    /// All sums, by account and period.
    pub fn sums(&self) -> impl Iterator<Item = (&str, u64, Sum)> {
        self.sums.iter().map(|((account, period), sum)| (account.as_str(), *period, *sum))
    }

    /// Requests of an incarnation that are open.
    pub fn open(&self, ingress: u16, incarnation: u64) -> Vec<Id> {
        let from = Id { ingress, incarnation, number: 0 };
        let to = Id { number: u64::MAX, ..from };
        self.uses.range(from..=to).filter(|(_, u)| u.end.is_none()).map(|(id, _)| *id).collect()
    }

    /// What is in, by ingress and incarnation.
    pub fn have(&self) -> impl Iterator<Item = ((u16, u64), &[Span])> {
        self.have.iter().map(|(k, v)| (*k, v.as_slice()))
    }

    /// What another has of an incarnation and this book lacks: to be asked for, at most `most` numbers.
    pub fn lacks(&self, ingress: u16, incarnation: u64, theirs: &[Span], most: u64) -> Vec<Span> {
        let ours = self.have.get(&(ingress, incarnation)).map(Vec::as_slice).unwrap_or_default();
        let (mut list, mut left) = (Vec::new(), most);
        for (from, to) in theirs {
            let mut at = *from;
            for (a, b) in ours.iter().filter(|s| s.1 >= *from && s.0 <= *to) {
                ask(&mut list, at, a.saturating_sub(1), &mut left);
                at = at.max(b.saturating_add(1));
            }
            ask(&mut list, at, *to, &mut left);
        }
        list
    }
}

fn ask(list: &mut Vec<Span>, from: u64, to: u64, left: &mut u64) {
    if *left > 0 && from <= to {
        let to = to.min(from.saturating_add(*left - 1));
        *left -= to - from + 1;
        list.push((from, to));
    }
}

/// Puts a number into spans.
fn add(spans: &mut Vec<Span>, n: u64) {
    let at = spans.partition_point(|s| s.1 < n);
    if spans.get(at).is_some_and(|s| s.0 <= n) {
        return;
    }
    let before = at > 0 && spans[at - 1].1 + 1 == n;
    let after = spans.get(at).is_some_and(|s| n + 1 == s.0);
    match (before, after) {
        (true, true) => {
            spans[at - 1].1 = spans[at].1;
            spans.remove(at);
        }
        (true, false) => spans[at - 1].1 = n,
        (false, true) => spans[at].0 = n,
        (false, false) => spans.insert(at, (n, n)),
    }
}
