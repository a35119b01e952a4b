//! What is exported, by whom and when. Free of I/O and clock.
//!
//! Accounts are dealt out to streams, one for each ingress of a group. A stream is a sequence of numbered batches at the
//! consumer, which takes the batch of a number once and gives back the one that it has to whoever brings another. So two
//! exporters of one stream cannot both be believed, whether or not they hear each other: each batch says what is to be
//! added after all before it, and only one of them becomes the next. The home of a stream exports it; the others wait
//! and step in one after the other only where it does not.

use crate::book::{Book, Place};
use crate::entry::{Acknowledged, Batch, Range, What};
use crate::Micros;
use std::collections::BTreeMap;

/// What is allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// How long after its end a period is final even if some ingress has not said that it is complete.
    pub after: Micros,
    /// How often a stream is looked at.
    pub every: Micros,
    /// How long what is due stays untouched before the next ingress steps in.
    pub takeover: Micros,
    /// Lines of a batch.
    pub lines: usize,
}

/// The consumer's word on a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Word {
    /// It has this very batch.
    Taken,
    /// It has another one of this number.
    Other(Batch),
    /// It lacks some before it; its last is this one.
    Ahead(u64),
    /// No word: nobody knows whether it has it.
    None,
}

/// What is to be done for a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// To be written, durable before the next step.
    Write(Batch),
    /// To be handed to the consumer: it is durable here.
    Hand(Batch),
}

/// Why nothing is exported of a stream though something is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stuck {
    /// Batches were added up from entries that are not here.
    Lacks(Vec<Range>),
    /// The consumer does not have what it had acknowledged: its last batch, and the one that was to come.
    ConsumerLost {
        /// Its last.
        last: u64,
        /// The next one here.
        next: u64,
    },
}

#[derive(Default)]
struct State {
    next: Micros,
    /// Since when the same has been to do, and what: batches done, whether one is pending.
    same: Option<((u64, bool), Micros)>,
    stuck: Option<Stuck>,
}

/// Decides exports for one ingress.
pub struct Exporter {
    me: u16,
    group: Vec<u16>,
    rules: Rules,
    states: BTreeMap<usize, State>,
}

/// The stream that an account's use is exported in, as an index into the group.
pub fn shard(account: &str, group: usize) -> usize {
    let hash = blake3::hash(account.as_bytes());
    let mut word = [0; 8];
    word.copy_from_slice(&hash.as_bytes()[..8]);
    (u64::from_le_bytes(word) % group.max(1) as u64) as usize
}

impl Exporter {
    /// For ingress `me` of a group; all of it have the same list.
    pub fn new(me: u16, mut group: Vec<u16>, rules: Rules) -> Self {
        group.sort_unstable();
        group.dedup();
        Exporter { me, group, rules, states: BTreeMap::new() }
    }

    /// A stream's name: the group's ingresses and the place in it.
    pub fn stream(&self, shard: usize) -> String {
        let list: Vec<String> = self.group.iter().map(u16::to_string).collect();
        format!("{}.{shard}", list.join("-"))
    }

    /// Up to which period all is final.
    pub fn until(&self, now: Micros, book: &Book) -> Option<u64> {
        let complete = self.group.iter().map(|n| book.complete(*n)).min().flatten();
        // Complete, and nothing open in it.
        let complete = complete.and_then(|p| match book.first_open() {
            Some(open) => p.min(open.checked_sub(1)?).into(),
            None => Some(p),
        });
        let timed = now.checked_sub(self.rules.after).and_then(|t| book.periods().of(t).checked_sub(1));
        complete.max(timed)
    }

    /// What is to be done now; none: nothing, or not yet. A stream's step is to be followed by [`Exporter::handed`]
    /// or by the entry in the book before it is asked about again.
    pub fn next(&mut self, now: Micros, book: &Book) -> Option<Step> {
        (0..self.group.len()).find_map(|shard| self.step(now, shard, book))
    }

    fn step(&mut self, now: Micros, shard: usize, book: &Book) -> Option<Step> {
        let stream = self.stream(shard);
        if self.states.get(&shard).is_some_and(|s| s.next > now) {
            return None;
        }
        let Place { done, pending, lacks, until: told } = book.place(&stream);
        let until = self.until(now, book);
        let (count, most) = (self.group.len(), self.rules.lines);
        let mine = |account: &str| self::shard(account, count) == shard;
        let mut lines = until.map(|u| book.due(u, mine, most)).unwrap_or_default();
        let (rules, rank) = (self.rules, self.rank(shard));
        let state = self.states.entry(shard).or_default();
        state.next = now + rules.every;
        if pending.is_none() && lines.is_empty() {
            (state.same, state.stuck) = (None, None);
            return None;
        }
        let what = (done, pending.is_some());
        let since = state.same.filter(|s| s.0 == what).map_or(now, |s| s.1);
        state.same = Some((what, since));
        // The home at once; the one after it when nothing has moved for a while, and so on.
        if now < since + rules.takeover.saturating_mul(rank) {
            return None;
        }
        if let Some(batch) = pending {
            return Some(Step::Hand(batch));
        }
        if !lacks.is_empty() {
            state.stuck = Some(Stuck::Lacks(lacks));
            return None;
        }
        state.stuck = None;
        let (open, until) = (book.periods().of(now), until.unwrap_or(0));
        for line in &mut lines {
            // A period that was told before is told no more: what came later is billed in the present one.
            if told.is_some_and(|t| line.period <= t) {
                line.billed = open;
            }
        }
        let basis = book.ranges();
        // At once again: written, it is to be handed over.
        state.next = now;
        Some(Step::Write(Batch { stream, number: done + 1, lines, basis, until }))
    }

    /// How far this ingress is from a stream's home.
    fn rank(&self, shard: usize) -> u64 {
        let n = self.group.len().max(1);
        let at = self.group.iter().position(|g| *g == self.me).unwrap_or(0);
        ((at + n - shard) % n) as u64
    }

    /// The consumer's word on a batch: what is to be written for it.
    pub fn handed(&mut self, now: Micros, batch: &Batch, word: Word) -> Vec<What> {
        let shard = (0..self.group.len()).find(|n| self.stream(*n) == batch.stream).unwrap_or(0);
        let (every, state) = (self.rules.every, self.states.entry(shard).or_default());
        let acknowledged = |b: &Batch| {
            let (stream, number, digest) = (b.stream.clone(), b.number, b.digest().to_vec());
            What::Acknowledged(Acknowledged { stream, number, digest })
        };
        state.next = now;
        state.stuck = None;
        match word {
            Word::Taken => vec![acknowledged(batch)],
            Word::Other(other) if other.stream == batch.stream && other.number == batch.number => {
                vec![acknowledged(&other), What::Exported(other)]
            }
            Word::Ahead(last) => {
                state.next = now + every;
                state.stuck = Some(Stuck::ConsumerLost { last, next: batch.number });
                Vec::new()
            }
            Word::Other(_) | Word::None => {
                state.next = now + every;
                Vec::new()
            }
        }
    }

    /// Streams that cannot go on, and why.
    pub fn stuck(&self) -> impl Iterator<Item = (String, &Stuck)> {
        self.states.iter().filter_map(|(n, s)| Some((self.stream(*n), s.stuck.as_ref()?)))
    }
}
