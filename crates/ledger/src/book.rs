//! Adds entries up. They may come in any order and any number of copies, from this ingress's log and from others', and
//! the same entries give the same sums. It also knows what has been exported, as far as the consumer's acknowledgements
//! say, and which periods are complete.

use crate::entry::{Batch, Correction, Entry, EntryError, Id, Line, Range, Settled, What};
use crate::period::Periods;
use crate::spans::{self, Span};
use crate::Micros;
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};

/// An account's use under a plan in a period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sum {
    /// Units of settled requests, corrections in.
    pub units: i64,
    /// Requests that used any.
    pub requests: u64,
    /// Requests settled by the rule, whose truth is not known so far.
    pub presumed: u64,
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

/// Where a stream of batches stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Batches that the consumer has, from 1 to here.
    pub done: u64,
    /// The next one, if it has been written and not acknowledged.
    pub pending: Option<Batch>,
    /// Entries that batches were added up from and that are not here: nothing is exported before they are.
    pub lacks: Vec<Range>,
    /// Up to which period it has told.
    pub until: Option<u64>,
}

#[derive(Clone, Copy)]
struct End {
    /// Incarnation and number of the entry that said so.
    by: (u64, u64),
    units: u64,
    presumed: bool,
}

struct Use {
    payer: u32,
    period: u64,
    units: u64,
    end: Option<End>,
    corrected: bool,
}

/// Marks are kept in blocks of this many numbers.
const BLOCK: u64 = 256;

#[derive(Default)]
struct Life {
    have: Vec<Span>,
    /// A short hash of each entry that is in, to tell a copy from a conflict.
    marks: BTreeMap<u64, Box<[u32; BLOCK as usize]>>,
    uses: BTreeMap<u64, Use>,
    /// The incarnation before it, and the last number of that one.
    before: Option<(u64, u64)>,
}

#[derive(Default)]
struct Stream {
    done: u64,
    until: Option<u64>,
    batches: BTreeMap<u64, Vec<([u8; 32], Batch)>>,
    acknowledged: BTreeMap<u64, [u8; 32]>,
}

/// Something that came before the open entry that it belongs to.
enum Early {
    Ended(End),
    Corrected,
}

type Payer = u32;

/// Adds up use by account, plan and period.
pub struct Book {
    periods: Periods,
    lives: BTreeMap<(u16, u64), Life>,
    payers: Vec<(String, String)>,
    numbers: BTreeMap<(String, String), Payer>,
    sums: BTreeMap<(u64, Payer), Sum>,
    /// Requests that are open, by period.
    open: BTreeMap<u64, u64>,
    early: BTreeMap<Id, Vec<Early>>,
    /// The latest period that each ingress has closed, and by which entry.
    closed: BTreeMap<u16, (u64, u64, u64)>,
    streams: BTreeMap<String, Stream>,
    exported: BTreeMap<(u64, Payer), (i64, i64)>,
    /// Where sums and exports may differ.
    dirty: BTreeSet<(u64, Payer)>,
    basis: BTreeMap<(u16, u64), Vec<Span>>,
    /// Uses before this period are put away.
    trimmed: u64,
    strays: u64,
    /// The latest time that each ingress wrote at.
    at: BTreeMap<u16, Micros>,
}

#[derive(Clone, PartialEq, Message)]
struct RawSum {
    #[prost(uint64, tag = "1")]
    period: u64,
    #[prost(string, tag = "2")]
    account: String,
    #[prost(string, tag = "3")]
    plan: String,
    #[prost(sint64, tag = "4")]
    units: i64,
    #[prost(uint64, tag = "5")]
    requests: u64,
    #[prost(uint64, tag = "6")]
    presumed: u64,
    #[prost(sint64, tag = "7")]
    exported_units: i64,
    #[prost(sint64, tag = "8")]
    exported_requests: i64,
}

#[derive(Clone, PartialEq, Message)]
struct RawLife {
    #[prost(message, repeated, tag = "1")]
    have: Vec<Range>,
    #[prost(uint64, tag = "2")]
    before: u64,
    #[prost(uint64, tag = "3")]
    number: u64,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct RawIngress {
    #[prost(uint32, tag = "1")]
    ingress: u32,
    #[prost(uint64, tag = "2")]
    at: u64,
    #[prost(uint64, optional, tag = "3")]
    closed: Option<u64>,
    #[prost(uint64, tag = "4")]
    incarnation: u64,
    #[prost(uint64, tag = "5")]
    number: u64,
}

/// A request that was open.
#[derive(Clone, PartialEq, Message)]
struct RawUse {
    #[prost(message, optional, tag = "1")]
    range: Option<Range>,
    #[prost(string, tag = "2")]
    account: String,
    #[prost(string, tag = "3")]
    plan: String,
    #[prost(uint64, tag = "4")]
    period: u64,
    #[prost(uint64, tag = "5")]
    units: u64,
    #[prost(bool, tag = "6")]
    corrected: bool,
}

#[derive(Clone, PartialEq, Message)]
struct RawStream {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    done: u64,
    #[prost(uint64, optional, tag = "3")]
    until: Option<u64>,
}

/// A book as bytes.
#[derive(Clone, PartialEq, Message)]
struct RawBook {
    #[prost(uint64, tag = "1")]
    trimmed: u64,
    #[prost(message, repeated, tag = "2")]
    sums: Vec<RawSum>,
    #[prost(message, repeated, tag = "3")]
    lives: Vec<RawLife>,
    #[prost(message, repeated, tag = "4")]
    ingresses: Vec<RawIngress>,
    #[prost(message, repeated, tag = "5")]
    streams: Vec<RawStream>,
    #[prost(message, repeated, tag = "6")]
    basis: Vec<Range>,
    #[prost(uint64, tag = "7")]
    strays: u64,
    #[prost(message, repeated, tag = "8")]
    open: Vec<RawUse>,
}

fn ranges(lives: &BTreeMap<(u16, u64), Vec<Span>>) -> Vec<Range> {
    lives.iter().flat_map(|(life, spans)| of_life(*life, spans)).collect()
}

fn of_life((ingress, incarnation): (u16, u64), spans: &[Span]) -> Vec<Range> {
    let ingress = u32::from(ingress);
    spans.iter().map(|(from, to)| Range { ingress, incarnation, from: *from, to: *to }).collect()
}

fn mark(entry: &Entry) -> u32 {
    let hash = blake3::hash(&entry.encode());
    let mut word = [0; 4];
    word.copy_from_slice(&hash.as_bytes()[..4]);
    u32::from_le_bytes(word)
}

impl Book {
    /// An empty book.
    pub fn new(periods: Periods) -> Self {
        Book {
            periods,
            lives: BTreeMap::new(),
            payers: Vec::new(),
            numbers: BTreeMap::new(),
            sums: BTreeMap::new(),
            open: BTreeMap::new(),
            early: BTreeMap::new(),
            closed: BTreeMap::new(),
            streams: BTreeMap::new(),
            exported: BTreeMap::new(),
            dirty: BTreeSet::new(),
            basis: BTreeMap::new(),
            trimmed: 0,
            strays: 0,
            at: BTreeMap::new(),
        }
    }

    /// The book as bytes. Requests that are open are in it. None where it would lose something: requests that have ended
    /// and were not put away, what came before what it belongs to, batches without a word.
    pub fn snapshot(&self) -> Option<Vec<u8>> {
        let unfinished = |s: &Stream| !s.batches.is_empty() || !s.acknowledged.is_empty();
        let single = self.lives.values().any(|l| l.uses.values().any(|u| u.end.is_some()));
        if single || !self.early.is_empty() || self.streams.values().any(unfinished) {
            return None;
        }
        let sum = |(period, payer): &(u64, Payer)| {
            let key = (*period, *payer);
            let (account, plan) = self.payers[*payer as usize].clone();
            let s = self.sums.get(&key).copied().unwrap_or_default();
            let (exported_units, exported_requests) = self.exported.get(&key).copied().unwrap_or_default();
            let Sum { units, requests, presumed, .. } = s;
            RawSum {
                period: *period,
                account,
                plan,
                units,
                requests,
                presumed,
                exported_units,
                exported_requests,
            }
        };
        let keys: BTreeSet<(u64, Payer)> = self.sums.keys().chain(self.exported.keys()).copied().collect();
        let life = |(key, l): (&(u16, u64), &Life)| {
            let (before, number) = l.before.unwrap_or_default();
            RawLife { have: of_life(*key, &l.have), before, number }
        };
        let ingress = |(no, at): (&u16, &Micros)| {
            let closed = self.closed.get(no);
            let (_, incarnation, number) = closed.copied().unwrap_or_default();
            let closed = closed.map(|c| c.0);
            RawIngress { ingress: (*no).into(), at: *at, closed, incarnation, number }
        };
        let stream =
            |(name, s): (&String, &Stream)| RawStream { name: name.clone(), done: s.done, until: s.until };
        let mut open = Vec::new();
        for ((ingress, incarnation), life) in &self.lives {
            for (number, u) in &life.uses {
                let (ingress, incarnation) = (u32::from(*ingress), *incarnation);
                let range = Some(Range { ingress, incarnation, from: *number, to: *number });
                let (account, plan) = self.payers[u.payer as usize].clone();
                let Use { period, units, corrected, .. } = *u;
                open.push(RawUse { range, account, plan, period, units, corrected });
            }
        }
        let raw = RawBook {
            open,
            trimmed: self.trimmed,
            sums: keys.iter().map(sum).collect(),
            lives: self.lives.iter().map(life).collect(),
            ingresses: self.at.iter().map(ingress).collect(),
            streams: self.streams.iter().map(stream).collect(),
            basis: ranges(&self.basis),
            strays: self.strays,
        };
        Some(raw.encode_to_vec())
    }

    /// A book that was made bytes of.
    ///
    /// # Errors
    /// They are none.
    pub fn restore(periods: Periods, bytes: &[u8]) -> Result<Book, EntryError> {
        let raw = RawBook::decode(bytes)?;
        let mut book = Book::new(periods);
        let small =
            |n: u32| u16::try_from(n).map_err(|_| EntryError::Value("ingress", n.into(), "at most 65,535"));
        let range = |r: &Range| -> Result<((u16, u64), Span), EntryError> {
            if r.from == 0 || r.from > r.to || r.to == u64::MAX {
                return Err(EntryError::Value("range's end", r.to, "its beginning or more"));
            }
            Ok(((small(r.ingress)?, r.incarnation), (r.from, r.to)))
        };
        for s in raw.sums {
            let key = (s.period, book.payer(&s.account, &s.plan));
            let sum = Sum { units: s.units, requests: s.requests, presumed: s.presumed, open: 0 };
            book.sums.insert(key, sum);
            book.exported.insert(key, (s.exported_units, s.exported_requests));
            book.dirty.insert(key);
        }
        for l in raw.lives {
            for r in &l.have {
                let (key, span) = range(r)?;
                let life = book.lives.entry(key).or_default();
                spans::add_span(&mut life.have, span);
                life.before = (l.before > 0).then_some((l.before, l.number));
            }
        }
        for i in raw.ingresses {
            let no = small(i.ingress)?;
            book.at.insert(no, i.at);
            if let Some(period) = i.closed {
                book.closed.insert(no, (period, i.incarnation, i.number));
            }
        }
        for s in raw.streams {
            let stream = Stream { done: s.done, until: s.until, ..Stream::default() };
            book.streams.insert(s.name, stream);
        }
        for r in &raw.basis {
            let (key, span) = range(r)?;
            spans::add_span(book.basis.entry(key).or_default(), span);
        }
        for u in raw.open {
            let (key, (number, _)) = range(&u.range.unwrap_or_default())?;
            let (payer, RawUse { period, units, corrected, .. }) = (book.payer(&u.account, &u.plan), u);
            let sum = book.sums.entry((period, payer)).or_default();
            sum.open = sum.open.saturating_add(units);
            *book.open.entry(period).or_default() += 1;
            let life = book.lives.entry(key).or_default();
            life.uses.insert(number, Use { payer, period, units, end: None, corrected });
        }
        (book.trimmed, book.strays) = (raw.trimmed, raw.strays);
        book.tidy();
        Ok(book)
    }

    /// The latest incarnation of an ingress, the last of its numbers and the latest time that it wrote at.
    pub fn latest(&self, ingress: u16) -> (u64, u64, Micros) {
        let life = self.lives.range((ingress, 0)..=(ingress, u64::MAX)).next_back();
        let (incarnation, number) = life.map_or((0, 0), |(k, l)| (k.1, l.have.last().map_or(0, |s| s.1)));
        (incarnation, number, self.at.get(&ingress).copied().unwrap_or(0))
    }

    /// How it cuts time.
    pub fn periods(&self) -> Periods {
        self.periods
    }

    /// Whether an entry is in.
    pub fn has(&self, id: Id) -> bool {
        self.lives.get(&(id.ingress, id.incarnation)).is_some_and(|l| spans::contains(&l.have, id.number))
    }

    /// Takes an entry.
    pub fn take(&mut self, entry: &Entry) -> Taken {
        let (mark, id) = (mark(entry), entry.id);
        let life = self.lives.entry((id.ingress, id.incarnation)).or_default();
        let slot = (id.number / BLOCK, (id.number % BLOCK) as usize);
        if spans::contains(&life.have, id.number) {
            let same = life.marks.get(&slot.0).is_none_or(|b| b[slot.1] == mark);
            return if same { Taken::Known } else { Taken::Conflict };
        }
        life.marks.entry(slot.0).or_insert_with(|| Box::new([0; BLOCK as usize]))[slot.1] = mark;
        spans::add(&mut life.have, id.number);
        let at = self.at.entry(id.ingress).or_default();
        *at = (*at).max(entry.at);
        match &entry.what {
            What::Open(o) => {
                let (period, payer) = (self.periods.of(entry.at), self.payer(&o.account, &o.plan));
                let one = Use { payer, period, units: o.units, end: None, corrected: false };
                let sum = self.sums.entry((period, payer)).or_default();
                sum.open = sum.open.saturating_add(o.units);
                *self.open.entry(period).or_default() += 1;
                if let Some(life) = self.lives.get_mut(&(id.ingress, id.incarnation)) {
                    life.uses.insert(id.number, one);
                }
                for early in self.early.remove(&id).unwrap_or_default() {
                    self.follow(id, early);
                }
            }
            What::Settled(s) => {
                let Settled { open, units, presumed, incarnation, .. } = s;
                let incarnation = if *incarnation == 0 { id.incarnation } else { *incarnation };
                let of = Id { incarnation, number: *open, ..id };
                let by = (id.incarnation, id.number);
                self.follow(of, Early::Ended(End { by, units: *units, presumed: *presumed }));
            }
            What::Correction(c) => {
                let payer = self.payer(&c.account, &c.plan);
                let sum = self.sums.entry((c.period, payer)).or_default();
                sum.units = sum.units.saturating_add(c.units);
                self.dirty.insert((c.period, payer));
                let Correction { ingress, incarnation, number, .. } = c;
                let of = Id { ingress: *ingress as u16, incarnation: *incarnation, number: *number };
                self.follow(of, Early::Corrected);
            }
            What::Again(_) => {}
            What::Opened(o) => {
                if let Some(life) = self.lives.get_mut(&(id.ingress, id.incarnation)) {
                    life.before = (o.incarnation > 0).then_some((o.incarnation, o.number));
                }
            }
            What::Closed(c) => {
                let new = (c.period, id.incarnation, id.number);
                let old = self.closed.entry(id.ingress).or_insert(new);
                *old = (*old).max(new);
            }
            What::Exported(b) => {
                let list = self.streams.entry(b.stream.clone()).or_default();
                if b.number > list.done {
                    list.batches.entry(b.number).or_default().push((b.digest(), b.clone()));
                }
                self.apply(&b.stream);
            }
            What::Acknowledged(a) => {
                let list = self.streams.entry(a.stream.clone()).or_default();
                if let Ok(digest) = <[u8; 32]>::try_from(&a.digest[..]) {
                    if a.number > list.done {
                        list.acknowledged.entry(a.number).or_insert(digest);
                    }
                }
                self.apply(&a.stream);
            }
        }
        Taken::New
    }

    fn payer(&mut self, account: &str, plan: &str) -> Payer {
        let key = (account.to_owned(), plan.to_owned());
        if let Some(n) = self.numbers.get(&key) {
            return *n;
        }
        let n = self.payers.len() as Payer;
        self.payers.push(key.clone());
        self.numbers.insert(key, n);
        n
    }

    /// What belongs to an open entry: now, or when that comes.
    fn follow(&mut self, of: Id, early: Early) {
        let life = self.lives.get_mut(&(of.ingress, of.incarnation));
        let there = life.as_ref().is_some_and(|l| spans::contains(&l.have, of.number));
        let Some(u) = life.and_then(|l| l.uses.get_mut(&of.number)) else {
            if there {
                self.strays += 1; // put away with its period, or no open entry
            } else {
                self.early.entry(of).or_default().push(early);
            }
            return;
        };
        let key = (u.period, u.payer);
        let sum = self.sums.entry(key).or_default();
        match early {
            Early::Corrected => {
                let doubtful = !u.corrected && u.end.is_some_and(|e| e.presumed);
                sum.presumed -= u64::from(doubtful);
                u.corrected = true;
            }
            Early::Ended(end) => {
                // A request has one end. Where two were written (a disk restored from an old copy), whatever the order
                // they come in: one that knows counts before one that presumes, then the earlier one.
                let rank = |e: &End| (e.presumed, e.by);
                if u.end.as_ref().is_some_and(|old| rank(old) <= rank(&end)) {
                    return;
                }
                match u.end.replace(end) {
                    None => {
                        sum.open = sum.open.saturating_sub(u.units);
                        if let Some(n) = self.open.get_mut(&u.period) {
                            *n -= 1;
                            if *n == 0 {
                                self.open.remove(&u.period);
                            }
                        }
                    }
                    Some(old) => {
                        sum.units = sum.units.saturating_sub_unsigned(old.units);
                        sum.requests -= u64::from(old.units > 0);
                        sum.presumed -= u64::from(old.presumed && !u.corrected);
                    }
                }
                sum.units = sum.units.saturating_add_unsigned(end.units);
                sum.requests += u64::from(end.units > 0);
                sum.presumed += u64::from(end.presumed && !u.corrected);
                self.dirty.insert(key);
            }
        }
    }

    /// Counts batches that the consumer has, in their order.
    fn apply(&mut self, stream: &str) {
        loop {
            let Some(s) = self.streams.get_mut(stream) else { return };
            let next = s.done + 1;
            let Some(digest) = s.acknowledged.get(&next) else { return };
            let list = s.batches.get(&next).map(Vec::as_slice).unwrap_or_default();
            let Some((_, batch)) = list.iter().find(|b| b.0 == *digest).cloned() else { return };
            s.done = next;
            s.until = s.until.max(Some(batch.until));
            s.batches.remove(&next);
            s.acknowledged.remove(&next);
            for line in &batch.lines {
                let key = (line.period, self.payer(&line.account, &line.plan));
                let e = self.exported.entry(key).or_default();
                *e = (e.0.saturating_add(line.units), e.1.saturating_add(line.requests));
                self.dirty.insert(key);
            }
            for r in &batch.basis {
                if let Ok(ingress) = u16::try_from(r.ingress) {
                    let all = self.basis.entry((ingress, r.incarnation)).or_default();
                    spans::add_span(all, (r.from, r.to));
                }
            }
        }
    }

    /// An account's use in a period, under all plans.
    pub fn sum(&self, account: &str, period: u64) -> Sum {
        let mut all = Sum::default();
        for (a, _, p, s) in self.sums() {
            if a == account && p == period {
                all.units = all.units.saturating_add(s.units);
                all.requests += s.requests;
                all.presumed += s.presumed;
                all.open += s.open;
            }
        }
        all
    }

    /// All sums, by account, plan and period.
    pub fn sums(&self) -> impl Iterator<Item = (&str, &str, u64, Sum)> {
        let mut list: Vec<_> = self
            .sums
            .iter()
            .map(|((period, payer), sum)| {
                let (account, plan) = &self.payers[*payer as usize];
                (account.as_str(), plan.as_str(), *period, *sum)
            })
            .collect();
        list.sort_unstable_by_key(|s| (s.0, s.1, s.2));
        list.into_iter()
    }

    /// Requests of an ingress that are open, of all its incarnations.
    pub fn open(&self, ingress: u16) -> Vec<Id> {
        let lives = self.lives.range((ingress, 0)..=(ingress, u64::MAX));
        let open = |((ingress, incarnation), life): (&(u16, u64), &Life)| {
            let (ingress, incarnation) = (*ingress, *incarnation);
            let list = life.uses.iter().filter(|u| u.1.end.is_none());
            list.map(move |u| Id { ingress, incarnation, number: *u.0 }).collect::<Vec<_>>()
        };
        lives.flat_map(open).collect()
    }

    /// What is in, by ingress and incarnation.
    pub fn have(&self) -> impl Iterator<Item = ((u16, u64), &[Span])> {
        self.lives.iter().filter(|l| !l.1.have.is_empty()).map(|(k, v)| (*k, v.have.as_slice()))
    }

    /// The same as ranges.
    pub fn ranges(&self) -> Vec<Range> {
        self.have().flat_map(|(life, spans)| of_life(life, spans)).collect()
    }

    /// The numbers of an incarnation that are in.
    pub fn spans(&self, ingress: u16, incarnation: u64) -> &[Span] {
        self.lives.get(&(ingress, incarnation)).map(|l| l.have.as_slice()).unwrap_or_default()
    }

    /// What another has of an incarnation and this book lacks: to be asked for, at most `most` numbers.
    pub fn lacks(&self, ingress: u16, incarnation: u64, theirs: &[Span], most: u64) -> Vec<Span> {
        spans::lacks(self.spans(ingress, incarnation), theirs, most)
    }

    /// The latest period that an ingress has closed, where all that it wrote up to then is here.
    pub fn complete(&self, ingress: u16) -> Option<u64> {
        let (period, incarnation, number) = *self.closed.get(&ingress)?;
        let (mut incarnation, mut number) = (incarnation, number);
        // As many as there are: an incarnation that names itself or a later one before it does not go on for ever.
        for _ in 0..=self.lives.len() {
            let life = self.lives.get(&(ingress, incarnation))?;
            if !spans::whole(&life.have, number) {
                return None;
            }
            match life.before {
                Some(before) => (incarnation, number) = before,
                None => return Some(period),
            }
        }
        None
    }

    /// The first period that has requests that are open.
    pub fn first_open(&self) -> Option<u64> {
        self.open.keys().next().copied()
    }

    /// Where a stream stands.
    pub fn place(&self, stream: &str) -> Place {
        let s = self.streams.get(stream);
        let done = s.map_or(0, |s| s.done);
        let pending = s.and_then(|s| s.batches.get(&(done + 1))?.first().map(|b| b.1.clone()));
        let mut missing = Vec::new();
        for ((ingress, incarnation), need) in &self.basis {
            for (from, to) in self.lacks(*ingress, *incarnation, need, u64::MAX) {
                missing.push(Range { ingress: (*ingress).into(), incarnation: *incarnation, from, to });
            }
        }
        Place { done, pending, lacks: missing, until: s.and_then(|s| s.until) }
    }

    /// What is to be exported of periods up to `until`, for accounts that `mine` says, at most `most` lines.
    pub fn due(&self, until: u64, mine: impl Fn(&str) -> bool, most: usize) -> Vec<Line> {
        let mut lines = Vec::new();
        for (period, payer) in self.dirty.range(..=(until, Payer::MAX)) {
            let (account, plan) = &self.payers[*payer as usize];
            if !mine(account) {
                continue;
            }
            let sum = self.sums.get(&(*period, *payer)).copied().unwrap_or_default();
            let (units, requests) = self.exported.get(&(*period, *payer)).copied().unwrap_or_default();
            let units = sum.units.saturating_sub(units);
            let requests = i64::try_from(sum.requests).unwrap_or(i64::MAX).saturating_sub(requests);
            if (units, requests) != (0, 0) {
                let (account, plan) = (account.clone(), plan.clone());
                lines.push(Line { account, plan, period: *period, billed: *period, units, requests });
            }
            if lines.len() >= most {
                break;
            }
        }
        lines
    }

    /// Forgets what need not be looked at again: sums that are exported as they stand.
    pub fn tidy(&mut self) {
        let (sums, exported) = (&self.sums, &self.exported);
        self.dirty.retain(|key| {
            let sum = sums.get(key).copied().unwrap_or_default();
            let done = exported.get(key).copied().unwrap_or_default();
            (sum.units, i64::try_from(sum.requests).unwrap_or(i64::MAX)) != done
        });
    }

    /// Puts away the single requests of periods before one; their sums stay. Those that are open stay as well.
    pub fn trim(&mut self, before: u64) {
        self.trimmed = self.trimmed.max(before);
        for life in self.lives.values_mut() {
            life.uses.retain(|_, u| u.period >= before || u.end.is_none());
        }
    }

    /// Whether all that was used before a period is exported.
    pub fn exported_before(&self, period: u64) -> bool {
        let due = self.dirty.range(..(period, 0)).any(|key| {
            let sum = self.sums.get(key).copied().unwrap_or_default();
            let done = self.exported.get(key).copied().unwrap_or_default();
            (sum.units, i64::try_from(sum.requests).unwrap_or(i64::MAX)) != done
        });
        !due && self.open.range(..period).next().is_none()
    }

    /// What has been exported of an account's use in a period: units and requests.
    pub fn exported(&self, account: &str, period: u64) -> (i64, i64) {
        let of = self.numbers.range((account.to_owned(), String::new())..);
        let of = of.take_while(|(k, _)| k.0 == account).filter_map(|(_, n)| self.exported.get(&(period, *n)));
        of.fold((0, 0), |all, e| (all.0 + e.0, all.1 + e.1))
    }

    /// Ends and corrections of what had been put away: counted, not added up.
    pub fn strays(&self) -> u64 {
        self.strays
    }
}
