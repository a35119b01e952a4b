//! All state machines of the ledger together: three ingresses, nodes that ran what they ran, a consumer, a network that cuts,
//! disks that lose what was not synced, come back old or empty, clocks that differ. Each seed is a history; at its end,
//! after a quiet while, what was billed is what ran.

use chalkgap_ledger::entry::{Batch, Entry, EntryBody, RequestOpened};
use chalkgap_ledger::export::{self, ConsumerReply, ExportStep, Exporter};
use chalkgap_ledger::reconcile::{self, NextAction, PeerRequest, Reconciler};
use chalkgap_ledger::recorder::{
    Config, EntryHandle, LookupRequest, Recorder, Recovery, RequestStatus, Reservation, Settlement,
};
use chalkgap_ledger::usage_totals::{AddOutcome, UsageTotals};
use chalkgap_ledger::{store, IncarnationId, Periods};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const SECOND: u64 = 1_000_000;
const PERIODS: Periods = Periods::Every(10 * SECOND);
const START: u64 = 1_000 * SECOND;

/// What ran, by request: account, period, units; and what was said never to run.
#[derive(Default)]
struct Nodes {
    ran: BTreeMap<String, (String, u64, u64)>,
    barred: BTreeSet<String>,
    /// Sent, and neither run nor lost so far.
    working: BTreeMap<String, (String, u64, u64)>,
}

struct Pending {
    handle: EntryHandle,
    opened: RequestOpened,
}

struct Ingress {
    me: u16,
    /// What its clock is ahead by.
    ahead: u64,
    log: Vec<Entry>,
    recorder: Recorder,
    totals: UsageTotals,
    exporter: Exporter,
    others: Vec<(u16, Reconciler)>,
    /// Opened; not sent as long as they are not durable.
    opened: Vec<Pending>,
    sent: Vec<Pending>,
    requests: u64,
}

fn config() -> Config {
    Config {
        max_waiting: 100,
        slow_disk_after: 60 * SECOND,
        retry_after: SECOND,
        serve_unrecorded: false,
        lookup_timeout: 3600 * SECOND,
        correction_window: 3600 * SECOND,
        lookup_interval: SECOND,
        max_unsettled: 1000,
    }
}

impl Ingress {
    fn start(me: u16, ahead: u64, log: Vec<Entry>, now: u64, requests: u64) -> Ingress {
        let (mut totals, mut recovery) = (UsageTotals::new(PERIODS), Recovery::new(me));
        for e in &log {
            assert_ne!(totals.add(e), AddOutcome::Conflict, "a number used twice");
            recovery.add(e);
        }
        let incarnation = store::next_incarnation(recovery.latest_incarnation(), now + ahead);
        let recorder = Recorder::new(me, incarnation, PERIODS, config(), recovery, now + ahead);
        let export = export::Config {
            final_after: 200 * SECOND,
            check_interval: SECOND,
            takeover_delay: 5 * SECOND,
            max_lines: 3,
        };
        let fetch = reconcile::Config {
            list_interval: SECOND,
            max_entries_per_second: 50.0,
            max_entries_per_fetch: 20,
            max_ranges: 1000,
        };
        let own = IncarnationId { ingress: me, incarnation };
        let others = (0..3).filter(|n| *n != me);
        let others = others.map(|n| (n, Reconciler::new(own, fetch))).collect();
        let (opened, sent) = (Vec::new(), Vec::new());
        let exporter = Exporter::new(me, vec![0, 1, 2], export);
        Ingress { me, ahead, log, recorder, totals, exporter, others, opened, sent, requests }
    }

    /// The disk takes what was written: all of it is durable.
    fn sync(&mut self) {
        let group = self.recorder.take_pending();
        for e in &group {
            assert_eq!(self.totals.add(e), AddOutcome::Added);
        }
        if let Some(last) = group.last() {
            self.recorder.mark_durable(last.id.number);
        }
        self.log.extend(group);
    }

    fn copies(&mut self, now: u64, entries: &[Entry]) {
        let new: Vec<Entry> = entries.iter().filter(|e| !self.totals.contains(e.id)).cloned().collect();
        for e in &new {
            assert_eq!(self.totals.add(e), AddOutcome::Added);
        }
        self.recorder.add_returned(now, &new);
        self.log.extend(new);
    }
}

struct World {
    rng: SmallRng,
    now: u64,
    nodes: Nodes,
    ingresses: Vec<Option<Ingress>>,
    /// Disks of ingresses that are down, and their counts of requests.
    disks: Vec<(Vec<Entry>, u64)>,
    vault: BTreeMap<String, Vec<Batch>>,
    /// Ingresses that hear nobody, and that the consumer does not hear.
    cut: Option<u16>,
}

impl World {
    fn new(seed: u64) -> World {
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = |n| Some(Ingress::start(n, rng.random_range(0..3) * SECOND / 2, Vec::new(), START, 0));
        let ingresses = (0..3).map(start).collect();
        let disks = vec![(Vec::new(), 0); 3];
        let (nodes, vault) = (Nodes::default(), BTreeMap::new());
        World { rng, now: START, nodes, ingresses, disks, vault, cut: None }
    }

    /// A request comes, or moves on.
    fn request(&mut self, n: usize) {
        let (rng, nodes, Some(i)) = (&mut self.rng, &mut self.nodes, &mut self.ingresses[n]) else { return };
        let now = self.now + i.ahead;
        if rng.random_bool(0.6) {
            if i.recorder.reserve(now) != Reservation::Recorded {
                return;
            }
            i.requests += 1;
            let opened = RequestOpened {
                account: format!("account-{}", rng.random_range(0..4)),
                plan: "p".into(),
                class: "c".into(),
                units: rng.random_range(1..5),
                request: format!("{}-{}", i.me, i.requests),
                node: "n".into(),
            };
            if let Some(handle) = i.recorder.open_request(now, opened.clone()) {
                i.opened.push(Pending { handle, opened });
            }
        }
        // What is durable is sent; of what is sent some runs.
        let durable = i.recorder.durable_up_to();
        let (ready, waiting) =
            std::mem::take(&mut i.opened).into_iter().partition(|p| p.handle.number <= durable);
        i.opened = waiting;
        for p in ready {
            let used = (p.opened.account.clone(), PERIODS.of(p.handle.at), p.opened.units);
            nodes.working.insert(p.opened.request.clone(), used);
            i.sent.push(p);
        }
        if !i.sent.is_empty() && rng.random_bool(0.7) {
            let p = i.sent.swap_remove(rng.random_range(0..i.sent.len()));
            let name = p.opened.request.clone();
            let used = nodes.working.remove(&name);
            let ran = rng.random_bool(0.8) && used.is_some() && !nodes.barred.contains(&name);
            if let Some(used) = used.filter(|_| ran) {
                nodes.ran.insert(name, used);
            }
            let heard = rng.random_bool(0.7);
            let settlement = match (heard, ran) {
                (true, true) => Settlement::Ran { node: "n".into() },
                (true, false) => Settlement::NeverRan,
                (false, _) => Settlement::Unknown {
                    nodes: BTreeSet::from(["n".into()]),
                    opened: Box::new(p.opened.clone()),
                },
            };
            i.recorder.settle(now, p.handle, p.opened.units, settlement);
        }
    }

    fn ask(&mut self, n: usize) {
        let (nodes, Some(i)) = (&mut self.nodes, &mut self.ingresses[n]) else { return };
        let now = self.now + i.ahead;
        i.recorder.tick(now);
        for (node, list) in i.recorder.lookups_due(now, 10, 10) {
            for LookupRequest { id, request } in list {
                let status = if nodes.ran.contains_key(&request) {
                    RequestStatus::Ran
                } else if nodes.working.contains_key(&request) {
                    RequestStatus::Running
                } else {
                    nodes.barred.insert(request);
                    RequestStatus::NeverRan
                };
                i.recorder.lookup_answered(now, id, &node, status);
            }
        }
    }

    fn reconcile(&mut self, n: usize) {
        let Some(mut i) = self.ingresses[n].take() else { return };
        let (now, mut others) = (self.now + i.ahead, std::mem::take(&mut i.others));
        for (no, r) in &mut others {
            let NextAction::Send(request) = r.next_action(now, &i.totals) else { continue };
            let cut = self.cut.is_some_and(|c| c == i.me || c == *no) || self.rng.random_bool(0.1);
            let Some(other) = self.ingresses[usize::from(*no)].as_ref().filter(|_| !cut) else {
                r.failed(now);
                continue;
            };
            match request {
                PeerRequest::List => {
                    let last_written = i.recorder.last_number();
                    r.listed(&other.totals.ranges(), last_written).expect("an honest fleet");
                }
                PeerRequest::Fetch(list) => {
                    let wanted = |e: &&Entry| list.iter().any(|range| range.contains(e.id));
                    let entries: Vec<Entry> = other.log.iter().filter(wanted).cloned().collect();
                    r.fetched(&entries).expect("what was asked for");
                    i.copies(now, &entries);
                }
            }
        }
        i.others = others;
        self.ingresses[n] = Some(i);
    }

    fn export(&mut self, n: usize) {
        let Some(i) = &mut self.ingresses[n] else { return };
        let now = self.now + i.ahead;
        match i.exporter.next_step(now, &i.totals) {
            None => {}
            Some(ExportStep::Write(batch)) => {
                i.recorder.append(now, EntryBody::BatchPrepared(batch));
            }
            Some(ExportStep::Send(batch)) => {
                let mut reply = ConsumerReply::None;
                if self.cut != Some(i.me) && self.rng.random_bool(0.8) {
                    let list = self.vault.entry(batch.stream.clone()).or_default();
                    if batch.number == list.len() as u64 + 1 {
                        list.push(batch.clone());
                    }
                    reply = match list.get(batch.number as usize - 1) {
                        Some(there) if *there == batch => ConsumerReply::Stored,
                        Some(there) => ConsumerReply::StoredOther(there.clone()),
                        None => ConsumerReply::Gap { last: list.len() as u64 },
                    };
                    assert!(!matches!(reply, ConsumerReply::Gap { .. }), "nothing is skipped");
                    if self.rng.random_bool(0.2) {
                        reply = ConsumerReply::None; // stored, and the reply is lost
                    }
                }
                for body in i.exporter.replied(now, &batch, reply) {
                    i.recorder.append(now, body);
                }
            }
        }
    }

    /// Whether all that an ingress's disk has is on another's as well.
    fn safe(&self, n: usize) -> bool {
        let Some(i) = &self.ingresses[n] else { return false };
        i.log.iter().all(|e| self.ingresses.iter().flatten().any(|o| o.me != i.me && o.totals.contains(e.id)))
    }

    fn step(&mut self, quiet: bool) {
        self.now += self.rng.random_range(1..SECOND / 4);
        let n = self.rng.random_range(0..3);
        let acts: &[u8] = if quiet { &[1, 2, 3, 4] } else { &[0, 0, 0, 0, 1, 1, 1, 2, 3, 3, 4, 4] };
        match acts.choose(&mut self.rng) {
            Some(0) => self.request(n),
            Some(1) => {
                if let Some(i) = &mut self.ingresses[n] {
                    i.sync();
                }
            }
            Some(2) => self.ask(n),
            Some(3) => self.reconcile(n),
            _ => self.export(n),
        }
        if quiet {
            return;
        }
        match self.rng.random_range(0..400) {
            0 | 1 => {
                let lost = self.rng.random_range(0..3);
                let safe = self.safe(n);
                if let Some(mut i) = self.ingresses[n].take() {
                    // Requests at nodes run on, or die, without it.
                    if self.rng.random_bool(0.5) {
                        for p in i.sent.drain(..) {
                            if let Some(used) = self.nodes.working.remove(&p.opened.request) {
                                self.nodes.ran.insert(p.opened.request, used);
                            }
                        }
                    }
                    i.sent.iter().for_each(|p| drop(self.nodes.working.remove(&p.opened.request)));
                    match lost {
                        0 if safe => i.log.clear(),
                        1 if safe => i.log.truncate(self.rng.random_range(0..=i.log.len())),
                        _ => {}
                    }
                    self.disks[n] = (i.log, i.requests);
                }
            }
            2 => self.cut = Some(n as u16),
            3..6 => self.cut = None,
            _ => {}
        }
        if self.ingresses[n].is_none() && self.rng.random_bool(0.03) {
            self.back(n);
        }
    }

    fn back(&mut self, n: usize) {
        let (log, requests) = std::mem::take(&mut self.disks[n]);
        let ahead = self.rng.random_range(0..3) * SECOND / 2;
        self.ingresses[n] = Some(Ingress::start(n as u16, ahead, log, self.now, requests));
    }
}

fn play(seed: u64) -> (usize, usize) {
    let mut w = World::new(seed);
    for _ in 0..2500 {
        w.step(false);
    }
    w.cut = None;
    for n in 0..3 {
        if w.ingresses[n].is_none() {
            w.back(n);
        }
        if let Some(i) = &mut w.ingresses[n] {
            // Nothing is under way any more: all that was sent ends, and nobody hears how.
            i.sync();
            let now = w.now + i.ahead;
            for p in i.opened.drain(..).chain(i.sent.drain(..)) {
                if let Some(used) = w.nodes.working.remove(&p.opened.request) {
                    w.nodes.ran.insert(p.opened.request.clone(), used);
                }
                let nodes = BTreeSet::from(["n".into()]);
                i.recorder.settle(
                    now,
                    p.handle,
                    p.opened.units,
                    Settlement::Unknown { nodes, opened: Box::new(p.opened) },
                );
            }
        }
    }
    for _ in 0..6000 {
        w.step(true);
    }
    let mut ran: BTreeMap<(String, u64), i64> = BTreeMap::new();
    for (account, period, units) in w.nodes.ran.values() {
        *ran.entry((account.clone(), *period)).or_default() += *units as i64;
    }
    let mut billed: BTreeMap<(String, u64), i64> = BTreeMap::new();
    for line in w.vault.values().flatten().flat_map(|b| &b.lines) {
        *billed.entry((line.account.clone(), line.period)).or_default() += line.units;
    }
    billed.retain(|_, n| *n != 0);
    assert_eq!(billed, ran, "seed {seed}");
    // Nothing here is ever presumed or corrected: who takes back what was billed had not all that it was added up from.
    let lines = || w.vault.values().flatten().flat_map(|b| &b.lines);
    assert!(lines().all(|l| l.units >= 0 && l.requests >= 0), "seed {seed}: billed, and taken back");
    for i in w.ingresses.iter().flatten() {
        assert_eq!(i.totals.unmatched_updates(), 0, "seed {seed}");
        assert_eq!(i.exporter.blocked().count(), 0, "seed {seed}");
        let sums = |b: &UsageTotals| b.sums().map(|(a, _, p, s)| (a.to_owned(), p, s)).collect::<Vec<_>>();
        assert_eq!(
            sums(&i.totals),
            sums(&w.ingresses[0].as_ref().unwrap().totals),
            "seed {seed}: all have the same"
        );
    }
    (w.nodes.ran.len(), w.vault.values().map(Vec::len).sum())
}

#[test]
fn what_is_billed_is_what_ran() {
    let seeds = std::env::var("CHALKGAP_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(20u64);
    let (mut ran, mut batches) = (0, 0);
    for seed in 1..=seeds {
        let (r, b) = play(seed);
        (ran, batches) = (ran + r, batches + b);
    }
    assert!(ran as u64 > 100 * seeds && batches as u64 > 10 * seeds, "{ran} ran, {batches} batches");
}
