//! What an ingress decides about its own entries: whether a request may be taken at all, what is written when, what
//! becomes of requests whose end nobody saw, when a period is closed. Free of I/O and clock.
//!
//! An entry is *written* when the clerk makes it and *durable* when the disk has it; a request goes to a node only after
//! its open entry is durable. Entries become durable in the order of their numbers.

use crate::book::Book;
use crate::entry::{Again, Closed, Correction, Entry, Id, Open, Opened, Settled, What};
use crate::period::Periods;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What is allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Open entries that may wait for the disk.
    pub waiting: usize,
    /// From which wait on the disk counts as slow.
    pub slow: Micros,
    /// What is told to those who are refused for it: when to come back.
    pub pause: Micros,
    /// Requests are taken without an entry where the disk has failed, and not refused.
    pub serve_without: bool,
    /// How long nodes are asked about a request before its end is presumed.
    pub truth: Micros,
    /// How long they are asked about it after that.
    pub later: Micros,
    /// How long to wait before a node is asked again.
    pub again: Micros,
    /// Requests in doubt that are remembered; beyond these, the oldest are presumed, and not asked about any more.
    pub remembered: usize,
}

/// What may be promised to a request that comes now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Promise {
    /// Its use will be in the ledger.
    Kept,
    /// It is served without: the disk has failed, and the settings want it so.
    Without,
    /// It is not taken; to come back after so long.
    Refused {
        /// Microseconds.
        pause: Micros,
    },
}

/// What is known of the end of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fate {
    /// A node answered.
    Used {
        /// Which.
        node: String,
    },
    /// No attempt reached a node.
    Never,
    /// These nodes may have run it.
    Doubtful {
        /// They.
        nodes: BTreeSet<String>,
        /// What its open entry said.
        open: Box<Open>,
    },
}

/// An open entry, for the one who wrote it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Its number.
    pub number: u64,
    /// When it was written.
    pub at: Micros,
}

/// A node's word on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Truth {
    /// It ran.
    Ran,
    /// It has not run and will not.
    Never,
    /// It is in work.
    Running,
    /// The node cannot say: it knows nothing from so long ago.
    Unknown,
}

/// A request whose end is not known.
#[derive(Clone, Debug)]
struct Doubt {
    request: String,
    account: String,
    plan: String,
    units: u64,
    at: Micros,
    /// Nodes that have not said; and when they may be asked.
    nodes: BTreeSet<String>,
    /// When its end is presumed, and, once it is, when it is left at that.
    until: Micros,
    presumed: bool,
}

/// An open entry of an earlier incarnation, as the log is read.
#[derive(Clone, Debug)]
struct Found {
    doubt: Doubt,
    ended: Option<bool>,
}

/// Gathers, while the log is read, what a new incarnation must know.
#[derive(Default)]
pub struct Recovery {
    me: u16,
    latest: u64,
    last_at: Micros,
    last_number: u64,
    found: BTreeMap<Id, Found>,
    early: BTreeMap<Id, Vec<Entry>>,
}

impl Recovery {
    /// For this ingress.
    pub fn new(me: u16) -> Self {
        Recovery { me, ..Recovery::default() }
    }

    /// What a snapshot stands for. What is open in it is ended in the segments that follow: it is made of what is exported.
    pub fn restore(&mut self, book: &Book) {
        (self.latest, self.last_number, self.last_at) = book.latest(self.me);
    }

    /// An entry of the log: any ingress's, in any order.
    pub fn take(&mut self, entry: &Entry) {
        if entry.id.ingress != self.me {
            return;
        }
        let Id { incarnation, number, .. } = entry.id;
        self.last_at = self.last_at.max(entry.at);
        (self.latest, self.last_number) = (self.latest, self.last_number).max((incarnation, number));
        let of = match &entry.what {
            What::Open(o) => {
                let doubt = Doubt {
                    request: o.request.clone(),
                    account: o.account.clone(),
                    plan: o.plan.clone(),
                    units: o.units,
                    at: entry.at,
                    nodes: BTreeSet::from([o.node.clone()]),
                    until: 0,
                    presumed: false,
                };
                self.found.insert(entry.id, Found { doubt, ended: None });
                // Entries that were fetched back from others may be in any order.
                for e in self.early.remove(&entry.id).unwrap_or_default() {
                    self.take(&e);
                }
                return;
            }
            What::Again(a) => Id { number: a.open, ..entry.id },
            What::Settled(s) => {
                let incarnation = if s.incarnation == 0 { incarnation } else { s.incarnation };
                Id { incarnation, number: s.open, ..entry.id }
            }
            What::Correction(c) => {
                Id { ingress: c.ingress as u16, incarnation: c.incarnation, number: c.number }
            }
            _ => return,
        };
        let Some(found) = self.found.get_mut(&of) else {
            if of.ingress == self.me {
                self.early.entry(of).or_default().push(entry.clone());
            }
            return;
        };
        match &entry.what {
            What::Again(a) => drop(found.doubt.nodes.insert(a.node.clone())),
            // What is known counts before what is presumed.
            What::Settled(s) if s.presumed && found.ended.is_none() => found.ended = Some(true),
            What::Settled(s) if s.presumed => {}
            _ => found.ended = Some(false),
        }
        if found.ended == Some(false) {
            self.found.remove(&of); // most of a log is such: only what is in doubt is held
        }
    }

    /// The latest incarnation that is in the log.
    pub fn latest(&self) -> u64 {
        self.latest
    }
}

/// Keeps an ingress's own entries in order.
pub struct Clerk {
    me: u16,
    incarnation: u64,
    periods: Periods,
    rules: Rules,
    number: u64,
    last_at: Micros,
    /// Written, not yet handed to the disk.
    out: Vec<Entry>,
    /// Numbers of open entries that the disk does not have, and since when.
    waiting: VecDeque<(u64, Micros)>,
    durable: u64,
    stopped: bool,
    /// Nothing is opened in this period or before.
    closed: u64,
    doubts: BTreeMap<Id, Doubt>,
    /// When each node may be asked again.
    asked: BTreeMap<String, Micros>,
    presumed: u64,
    corrected: u64,
    log: Recovery,
}

impl Clerk {
    /// A clerk for a new incarnation, with what is in its log.
    pub fn new(
        me: u16,
        incarnation: u64,
        periods: Periods,
        rules: Rules,
        log: Recovery,
        now: Micros,
    ) -> Self {
        let last_at = now.max(log.last_at);
        let period = periods.of(last_at);
        let mut clerk = Clerk {
            me,
            incarnation,
            periods,
            rules,
            number: 0,
            last_at,
            out: Vec::new(),
            waiting: VecDeque::new(),
            durable: 0,
            stopped: false,
            closed: period.saturating_sub(1),
            doubts: BTreeMap::new(),
            asked: BTreeMap::new(),
            presumed: 0,
            corrected: 0,
            log: Recovery::new(me),
        };
        let (incarnation, number) = (log.latest, log.last_number);
        clerk.write(now, What::Opened(Opened { period, incarnation, number }));
        if let Some(before) = period.checked_sub(1) {
            // Whatever it had open before its end was opened in this period or before; nothing is opened there again.
            clerk.write(now, What::Closed(Closed { period: before }));
        }
        clerk.log = log;
        clerk.doubt_found(now);
        clerk
    }

    /// Its incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    fn write(&mut self, now: Micros, what: What) -> u64 {
        self.number += 1;
        // Never back: what a closed period was told to hold stays all that it holds.
        self.last_at = self.last_at.max(now);
        let id = Id { ingress: self.me, incarnation: self.incarnation, number: self.number };
        if !self.stopped {
            self.out.push(Entry { id, at: self.last_at, what });
        }
        self.number
    }

    /// What may be promised to a request that comes now: decided before it is taken.
    pub fn promise(&self, now: Micros) -> Promise {
        if self.stopped {
            let pause = self.rules.pause;
            return if self.rules.serve_without { Promise::Without } else { Promise::Refused { pause } };
        }
        let oldest = self.waiting.front().map_or(0, |w| now.saturating_sub(w.1));
        if self.waiting.len() >= self.rules.waiting || oldest > self.rules.slow {
            return Promise::Refused { pause: self.rules.pause };
        }
        Promise::Kept
    }

    /// Writes a request's open entry; it may be sent when this number is durable. None: the disk has failed.
    pub fn open(&mut self, now: Micros, open: Open) -> Option<Ticket> {
        if self.stopped {
            return None;
        }
        let number = self.write(now, What::Open(open));
        self.waiting.push_back((number, now));
        Some(Ticket { number, at: self.last_at })
    }

    /// Writes that an open request goes to one more node; it may be sent when this number is durable.
    pub fn again(&mut self, now: Micros, open: u64, node: String) -> Option<u64> {
        if self.stopped {
            return None;
        }
        let number = self.write(now, What::Again(Again { open, node }));
        self.waiting.push_back((number, now));
        Some(number)
    }

    /// The end of a request of this incarnation, as far as it was seen.
    pub fn end(&mut self, now: Micros, ticket: Ticket, units: u64, fate: Fate) {
        let id = Id { ingress: self.me, incarnation: self.incarnation, number: ticket.number };
        match fate {
            _ if self.stopped => {}
            Fate::Used { node } => self.settle(now, id, units, false, node),
            Fate::Never => self.settle(now, id, 0, false, String::new()),
            Fate::Doubtful { nodes, open } => {
                let Open { request, account, plan, units, .. } = *open;
                let (at, until) = (ticket.at, now + self.rules.truth);
                let doubt = Doubt { request, account, plan, units, at, nodes, until, presumed: false };
                self.doubts.insert(id, doubt);
            }
        }
    }

    /// Copies of this ingress's own entries of earlier incarnations, that its disk had lost, have come from others.
    pub fn returned(&mut self, now: Micros, entries: &[Entry]) {
        for e in entries.iter().filter(|e| e.id.ingress == self.me && e.id.incarnation != self.incarnation) {
            self.log.take(e);
            let of = match &e.what {
                What::Settled(s) if !s.presumed => (s.incarnation, s.open),
                What::Correction(c) if c.ingress == u32::from(self.me) => (c.incarnation, c.number),
                _ => continue,
            };
            let incarnation = if of.0 == 0 { e.id.incarnation } else { of.0 };
            self.doubts.remove(&Id { incarnation, number: of.1, ..e.id });
        }
        self.doubt_found(now);
    }

    fn doubt_found(&mut self, now: Micros) {
        for (id, f) in std::mem::take(&mut self.log.found) {
            let presumed = f.ended.is_some();
            let until = now + if presumed { self.rules.later } else { self.rules.truth };
            self.doubts.entry(id).or_insert(Doubt { until, presumed, ..f.doubt });
        }
    }

    /// Entries for the disk, in order, as one group; more may be written before it is durable.
    pub fn take(&mut self) -> Vec<Entry> {
        std::mem::take(&mut self.out)
    }

    /// The disk has all up to this number.
    pub fn durable(&mut self, number: u64) {
        self.durable = self.durable.max(number);
        while self.waiting.front().is_some_and(|w| w.0 <= self.durable) {
            self.waiting.pop_front();
        }
    }

    /// Up to which number the disk has all.
    pub fn durable_to(&self) -> u64 {
        self.durable
    }

    /// A write or sync has failed: nothing is written any more. What waits for the disk is never sent.
    pub fn failed(&mut self) {
        self.stopped = true;
        self.out.clear();
        self.waiting.clear();
    }

    /// Whether the disk has failed.
    pub fn stopped(&self) -> bool {
        self.stopped
    }

    /// Time passes: periods are closed, what nobody could say is presumed.
    pub fn tick(&mut self, now: Micros) {
        if self.stopped {
            return;
        }
        self.last_at = self.last_at.max(now);
        let period = self.periods.of(self.last_at);
        if period > self.closed + 1 {
            self.closed = period - 1;
            self.write(now, What::Closed(Closed { period: period - 1 }));
        }
        let over: Vec<Id> = self.doubts.iter().filter(|d| d.1.until <= now).map(|d| *d.0).collect();
        for id in over {
            let Some(mut doubt) = self.doubts.remove(&id) else { continue };
            if doubt.presumed {
                continue; // asked long enough: it stays presumed
            }
            // The rule: nobody is billed for what cannot be shown to have run.
            self.presumed += 1;
            self.settle(now, id, 0, true, String::new());
            doubt.presumed = true;
            doubt.until = now + self.rules.later;
            self.doubts.insert(id, doubt);
        }
        if self.doubts.len() > self.rules.remembered {
            let presumed = self.doubts.iter().filter(|d| d.1.presumed).map(|d| *d.0);
            let list: Vec<Id> = presumed.take(self.doubts.len() - self.rules.remembered).collect();
            list.iter().for_each(|id| drop(self.doubts.remove(id)));
            // More in doubt than there is room for: the oldest are presumed at once, and left at that.
            while self.doubts.len() > self.rules.remembered {
                let Some((id, _)) = self.doubts.pop_first() else { break };
                self.presumed += 1;
                self.settle(now, id, 0, true, String::new());
            }
        }
    }

    fn settle(&mut self, now: Micros, id: Id, units: u64, presumed: bool, node: String) {
        let incarnation = if id.incarnation == self.incarnation { 0 } else { id.incarnation };
        let settled = Settled { open: id.number, units, presumed, node, incarnation };
        self.write(now, What::Settled(settled));
    }

    /// The number of the last entry that was written.
    pub fn written(&self) -> u64 {
        self.number
    }

    /// Which nodes are to be asked about which requests now: at most `nodes` of them, about at most `most` each. They
    /// are not asked again for a while.
    pub fn ask(&mut self, now: Micros, most: usize, nodes: usize) -> BTreeMap<String, Vec<(Id, String)>> {
        let mut asks: BTreeMap<String, Vec<(Id, String)>> = BTreeMap::new();
        if self.stopped {
            return asks;
        }
        self.asked.retain(|_, at| *at > now);
        for (id, doubt) in &self.doubts {
            for node in doubt.nodes.iter().filter(|n| !self.asked.contains_key(*n)) {
                if asks.len() >= nodes && !asks.contains_key(node) {
                    continue;
                }
                let list = asks.entry(node.clone()).or_default();
                if list.len() < most {
                    list.push((*id, doubt.request.clone()));
                }
            }
        }
        for node in asks.keys() {
            self.asked.insert(node.clone(), now + self.rules.again);
        }
        asks
    }

    /// A node's word on a request that it was asked about.
    pub fn truth(&mut self, now: Micros, id: Id, node: &str, truth: Truth) {
        let Some(doubt) = self.doubts.get_mut(&id).filter(|d| d.nodes.contains(node)) else { return };
        match truth {
            Truth::Running | Truth::Unknown => {}
            Truth::Ran => {
                let Some(doubt) = self.doubts.remove(&id) else { return };
                if doubt.presumed {
                    self.corrected += 1;
                    let correction = Correction {
                        ingress: id.ingress.into(),
                        incarnation: id.incarnation,
                        number: id.number,
                        units: i64::try_from(doubt.units).unwrap_or(i64::MAX),
                        why: format!("{node} says that it ran"),
                        account: doubt.account,
                        plan: doubt.plan,
                        period: self.periods.of(doubt.at),
                    };
                    self.write(now, What::Correction(correction));
                } else {
                    self.settle(now, id, doubt.units, false, node.to_owned());
                }
            }
            Truth::Never => {
                doubt.nodes.remove(node);
                if doubt.nodes.is_empty() {
                    let presumed = doubt.presumed;
                    self.doubts.remove(&id);
                    // Presumed nought, and it was nought: the same end, now known.
                    self.settle(now, id, 0, false, String::new());
                    self.corrected += u64::from(presumed);
                }
            }
        }
    }

    /// An entry that is not about a request: an export's.
    pub fn note(&mut self, now: Micros, what: What) -> u64 {
        self.write(now, what)
    }

    /// Requests whose end is not known; ends that were presumed, and those that became known later, since the start.
    pub fn doubts(&self) -> (usize, u64, u64) {
        (self.doubts.len(), self.presumed, self.corrected)
    }
}
