//! Simulation of all state machines of the ledger: three ingresses, nodes, a consumer, network partitions, crashes that
//! lose unsynced writes, disks that are restored from an old copy or empty, and clocks that differ. Each seed gives a
//! sequence of events. After a phase without new requests, crashes and partitions, the billed units must equal those of
//! the requests that ran.

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

/// The units that a request uses if it runs.
struct Usage {
    account: String,
    period: u64,
    units: u64,
}

/// The nodes' requests, by identifier.
#[derive(Default)]
struct Nodes {
    ran: BTreeMap<String, Usage>,
    /// Requests that a node has reported as never run, and that therefore must not run later.
    reported_never_ran: BTreeSet<String>,
    /// Requests that were sent and have neither run nor been lost.
    running: BTreeMap<String, Usage>,
}

/// A request that an ingress has opened and not settled.
struct Pending {
    handle: EntryHandle,
    opened: RequestOpened,
}

struct Ingress {
    id: u16,
    /// By how much its clock is ahead of the simulated time, in microseconds.
    clock_offset: u64,
    log: Vec<Entry>,
    recorder: Recorder,
    totals: UsageTotals,
    exporter: Exporter,
    /// One for each other ingress, by its id.
    reconcilers: Vec<(u16, Reconciler)>,
    /// Requests that were opened and not sent, as their open entry may not be durable yet.
    opened: Vec<Pending>,
    sent: Vec<Pending>,
    /// Number of requests that were opened.
    request_count: u64,
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
    fn start(id: u16, clock_offset: u64, log: Vec<Entry>, now: u64, request_count: u64) -> Ingress {
        let mut totals = UsageTotals::new(PERIODS);
        let mut recovery = Recovery::new(id);
        for entry in &log {
            assert_ne!(totals.add(entry), AddOutcome::Conflict, "a sequence number was used twice");
            recovery.add(entry);
        }
        let incarnation = store::next_incarnation(recovery.latest_incarnation(), now + clock_offset);
        let recorder = Recorder::new(id, incarnation, PERIODS, config(), recovery, now + clock_offset);
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
        let own = IncarnationId { ingress: id, incarnation };
        let peers = (0..3).filter(|peer| *peer != id);
        Ingress {
            id,
            clock_offset,
            log,
            recorder,
            totals,
            exporter: Exporter::new(id, vec![0, 1, 2], export),
            reconcilers: peers.map(|peer| (peer, Reconciler::new(own, fetch))).collect(),
            opened: Vec::new(),
            sent: Vec::new(),
            request_count,
        }
    }

    /// Commits all written entries to the disk, so that they are durable.
    fn sync(&mut self) {
        let group = self.recorder.take_pending();
        for entry in &group {
            assert_eq!(self.totals.add(entry), AddOutcome::Added);
        }
        if let Some(last) = group.last() {
            self.recorder.mark_durable(last.id.number);
        }
        self.log.extend(group);
    }

    fn add_copies(&mut self, now: u64, entries: &[Entry]) {
        let new: Vec<Entry> =
            entries.iter().filter(|entry| !self.totals.contains(entry.id)).cloned().collect();
        for entry in &new {
            assert_eq!(self.totals.add(entry), AddOutcome::Added);
        }
        self.recorder.add_returned(now, &new);
        self.log.extend(new);
    }
}

/// What is left of an ingress that is down.
#[derive(Default)]
struct Disk {
    log: Vec<Entry>,
    request_count: u64,
}

struct Simulation {
    rng: SmallRng,
    now: u64,
    nodes: Nodes,
    ingresses: Vec<Option<Ingress>>,
    /// Disks of the ingresses that are down.
    disks: Vec<Disk>,
    /// The batches that the consumer has stored, by stream.
    consumer: BTreeMap<String, Vec<Batch>>,
    /// An ingress that can reach neither the other ingresses nor the consumer.
    isolated: Option<u16>,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut rng = SmallRng::seed_from_u64(seed);
        let start = |id| Some(Ingress::start(id, rng.random_range(0..3) * SECOND / 2, Vec::new(), START, 0));
        let ingresses = (0..3).map(start).collect();
        Simulation {
            rng,
            now: START,
            nodes: Nodes::default(),
            ingresses,
            disks: (0..3).map(|_| Disk::default()).collect(),
            consumer: BTreeMap::new(),
            isolated: None,
        }
    }

    /// Opens a request with some probability, sends requests whose open entry is durable, and ends one of the sent
    /// requests with some probability.
    fn process_requests(&mut self, index: usize) {
        let rng = &mut self.rng;
        let nodes = &mut self.nodes;
        let Some(ingress) = &mut self.ingresses[index] else { return };
        let now = self.now + ingress.clock_offset;
        if rng.random_bool(0.6) {
            if ingress.recorder.reserve(now) != Reservation::Recorded {
                return;
            }
            ingress.request_count += 1;
            let opened = RequestOpened {
                account: format!("account-{}", rng.random_range(0..4)),
                plan: "p".into(),
                class: "c".into(),
                units: rng.random_range(1..5),
                request: format!("{}-{}", ingress.id, ingress.request_count),
                node: "n".into(),
            };
            if let Some(handle) = ingress.recorder.open_request(now, opened.clone()) {
                ingress.opened.push(Pending { handle, opened });
            }
        }
        // Only requests whose open entry is durable are sent.
        let durable = ingress.recorder.durable_up_to();
        let opened = std::mem::take(&mut ingress.opened);
        let (ready, waiting) = opened.into_iter().partition(|pending| pending.handle.number <= durable);
        ingress.opened = waiting;
        for pending in ready {
            let usage = Usage {
                account: pending.opened.account.clone(),
                period: PERIODS.of(pending.handle.at),
                units: pending.opened.units,
            };
            nodes.running.insert(pending.opened.request.clone(), usage);
            ingress.sent.push(pending);
        }
        if !ingress.sent.is_empty() && rng.random_bool(0.7) {
            let pending = ingress.sent.swap_remove(rng.random_range(0..ingress.sent.len()));
            let request = pending.opened.request.clone();
            let usage = nodes.running.remove(&request);
            let ran = rng.random_bool(0.8) && usage.is_some() && !nodes.reported_never_ran.contains(&request);
            if let Some(usage) = usage.filter(|_| ran) {
                nodes.ran.insert(request, usage);
            }
            let answered = rng.random_bool(0.7);
            let settlement = match (answered, ran) {
                (true, true) => Settlement::Ran { node: "n".into() },
                (true, false) => Settlement::NeverRan,
                (false, _) => Settlement::Unknown {
                    nodes: BTreeSet::from(["n".into()]),
                    opened: Box::new(pending.opened.clone()),
                },
            };
            ingress.recorder.settle(now, pending.handle, pending.opened.units, settlement);
        }
    }

    /// Looks up requests with an unknown outcome at the nodes.
    fn look_up(&mut self, index: usize) {
        let nodes = &mut self.nodes;
        let Some(ingress) = &mut self.ingresses[index] else { return };
        let now = self.now + ingress.clock_offset;
        ingress.recorder.tick(now);
        for (node, requests) in ingress.recorder.lookups_due(now, 10, 10) {
            for LookupRequest { id, request } in requests {
                let status = if nodes.ran.contains_key(&request) {
                    RequestStatus::Ran
                } else if nodes.running.contains_key(&request) {
                    RequestStatus::Running
                } else {
                    nodes.reported_never_ran.insert(request);
                    RequestStatus::NeverRan
                };
                ingress.recorder.lookup_answered(now, id, &node, status);
            }
        }
    }

    /// Fetches missing entries from the other ingresses.
    fn reconcile(&mut self, index: usize) {
        let Some(mut ingress) = self.ingresses[index].take() else { return };
        let now = self.now + ingress.clock_offset;
        let mut reconcilers = std::mem::take(&mut ingress.reconcilers);
        for (peer_id, reconciler) in &mut reconcilers {
            let NextAction::Send(request) = reconciler.next_action(now, &ingress.totals) else { continue };
            let isolated = self.isolated.is_some_and(|id| id == ingress.id || id == *peer_id);
            let unreachable = isolated || self.rng.random_bool(0.1);
            let peer = self.ingresses[usize::from(*peer_id)].as_ref();
            let Some(peer) = peer.filter(|_| !unreachable) else {
                reconciler.failed(now);
                continue;
            };
            match request {
                PeerRequest::List => {
                    let last_written = ingress.recorder.last_number();
                    let listed = reconciler.listed(&peer.totals.ranges(), last_written);
                    listed.expect("the peer lists valid ranges");
                }
                PeerRequest::Fetch(ranges) => {
                    let requested = |entry: &&Entry| ranges.iter().any(|range| range.contains(entry.id));
                    let entries: Vec<Entry> = peer.log.iter().filter(requested).cloned().collect();
                    reconciler.fetched(&entries).expect("only requested entries are returned");
                    ingress.add_copies(now, &entries);
                }
            }
        }
        ingress.reconcilers = reconcilers;
        self.ingresses[index] = Some(ingress);
    }

    fn export(&mut self, index: usize) {
        let Some(ingress) = &mut self.ingresses[index] else { return };
        let now = self.now + ingress.clock_offset;
        match ingress.exporter.next_step(now, &ingress.totals) {
            None => {}
            Some(ExportStep::Write(batch)) => {
                ingress.recorder.append(now, EntryBody::BatchPrepared(batch));
            }
            Some(ExportStep::Send(batch)) => {
                let mut reply = ConsumerReply::None;
                if self.isolated != Some(ingress.id) && self.rng.random_bool(0.8) {
                    let batches = self.consumer.entry(batch.stream.clone()).or_default();
                    if batch.number == batches.len() as u64 + 1 {
                        batches.push(batch.clone());
                    }
                    reply = match batches.get(batch.number as usize - 1) {
                        Some(stored) if *stored == batch => ConsumerReply::Stored,
                        Some(stored) => ConsumerReply::StoredOther(stored.clone()),
                        None => ConsumerReply::Gap { last: batches.len() as u64 },
                    };
                    assert!(!matches!(reply, ConsumerReply::Gap { .. }), "no batch number is skipped");
                    if self.rng.random_bool(0.2) {
                        reply = ConsumerReply::None; // the batch is stored and the reply is lost
                    }
                }
                for body in ingress.exporter.replied(now, &batch, reply) {
                    ingress.recorder.append(now, body);
                }
            }
        }
    }

    /// Returns whether other ingresses have copies of all entries on an ingress's disk.
    fn is_replicated(&self, index: usize) -> bool {
        let Some(ingress) = &self.ingresses[index] else { return false };
        let peers = || self.ingresses.iter().flatten().filter(|peer| peer.id != ingress.id);
        ingress.log.iter().all(|entry| peers().any(|peer| peer.totals.contains(entry.id)))
    }

    /// Runs one event. With `drain`, opens no request, and neither crashes nor isolates an ingress.
    fn step(&mut self, drain: bool) {
        self.now += self.rng.random_range(1..SECOND / 4);
        let index = self.rng.random_range(0..3);
        let events: &[u8] = if drain { &[1, 2, 3, 4] } else { &[0, 0, 0, 0, 1, 1, 1, 2, 3, 3, 4, 4] };
        match events.choose(&mut self.rng) {
            Some(0) => self.process_requests(index),
            Some(1) => {
                if let Some(ingress) = &mut self.ingresses[index] {
                    ingress.sync();
                }
            }
            Some(2) => self.look_up(index),
            Some(3) => self.reconcile(index),
            _ => self.export(index),
        }
        if drain {
            return;
        }
        match self.rng.random_range(0..400) {
            0 | 1 => self.crash(index),
            2 => self.isolated = Some(index as u16),
            3..6 => self.isolated = None,
            _ => {}
        }
        if self.ingresses[index].is_none() && self.rng.random_bool(0.03) {
            self.restart(index);
        }
    }

    /// Crashes an ingress. Its disk may be emptied or restored from an old copy, if other ingresses have all its
    /// entries.
    fn crash(&mut self, index: usize) {
        let disk_fault = self.rng.random_range(0..3);
        let replicated = self.is_replicated(index);
        let Some(mut ingress) = self.ingresses[index].take() else { return };
        // The nodes either run or lose the requests that the ingress has sent.
        if self.rng.random_bool(0.5) {
            for pending in ingress.sent.drain(..) {
                if let Some(usage) = self.nodes.running.remove(&pending.opened.request) {
                    self.nodes.ran.insert(pending.opened.request, usage);
                }
            }
        }
        ingress.sent.iter().for_each(|pending| drop(self.nodes.running.remove(&pending.opened.request)));
        match disk_fault {
            0 if replicated => ingress.log.clear(),
            1 if replicated => ingress.log.truncate(self.rng.random_range(0..=ingress.log.len())),
            _ => {}
        }
        self.disks[index] = Disk { log: ingress.log, request_count: ingress.request_count };
    }

    fn restart(&mut self, index: usize) {
        let Disk { log, request_count } = std::mem::take(&mut self.disks[index]);
        let clock_offset = self.rng.random_range(0..3) * SECOND / 2;
        let ingress = Ingress::start(index as u16, clock_offset, log, self.now, request_count);
        self.ingresses[index] = Some(ingress);
    }
}

/// Counts of one simulation.
struct Counts {
    requests_ran: usize,
    batches: usize,
}

fn run(seed: u64) -> Counts {
    let mut simulation = Simulation::new(seed);
    for _ in 0..2500 {
        simulation.step(false);
    }
    simulation.isolated = None;
    for index in 0..3 {
        if simulation.ingresses[index].is_none() {
            simulation.restart(index);
        }
        if let Some(ingress) = &mut simulation.ingresses[index] {
            // The nodes run all requests that were sent, and the ingress does not see their outcomes.
            ingress.sync();
            let now = simulation.now + ingress.clock_offset;
            for pending in ingress.opened.drain(..).chain(ingress.sent.drain(..)) {
                if let Some(usage) = simulation.nodes.running.remove(&pending.opened.request) {
                    simulation.nodes.ran.insert(pending.opened.request.clone(), usage);
                }
                let units = pending.opened.units;
                let nodes = BTreeSet::from(["n".into()]);
                let settlement = Settlement::Unknown { nodes, opened: Box::new(pending.opened) };
                ingress.recorder.settle(now, pending.handle, units, settlement);
            }
        }
    }
    for _ in 0..6000 {
        simulation.step(true);
    }
    let mut ran: BTreeMap<(String, u64), i64> = BTreeMap::new();
    for usage in simulation.nodes.ran.values() {
        *ran.entry((usage.account.clone(), usage.period)).or_default() += usage.units as i64;
    }
    let lines = || simulation.consumer.values().flatten().flat_map(|batch| &batch.lines);
    let mut billed: BTreeMap<(String, u64), i64> = BTreeMap::new();
    for line in lines() {
        *billed.entry((line.account.clone(), line.period)).or_default() += line.units;
    }
    billed.retain(|_, units| *units != 0);
    assert_eq!(billed, ran, "seed {seed}");
    // No outcome is presumed or corrected here. A negative line would come from an exporter that lacks entries from
    // which earlier batches were computed.
    assert!(
        lines().all(|line| line.units >= 0 && line.requests >= 0),
        "seed {seed}: a batch takes back billed units or requests"
    );
    let sums = |totals: &UsageTotals| {
        totals.sums().map(|(account, _, period, sum)| (account.to_owned(), period, sum)).collect::<Vec<_>>()
    };
    for ingress in simulation.ingresses.iter().flatten() {
        assert_eq!(ingress.totals.unmatched_updates(), 0, "seed {seed}");
        assert_eq!(ingress.exporter.blocked().count(), 0, "seed {seed}");
        assert_eq!(
            sums(&ingress.totals),
            sums(&simulation.ingresses[0].as_ref().unwrap().totals),
            "seed {seed}: all ingresses have the same sums"
        );
    }
    Counts {
        requests_ran: simulation.nodes.ran.len(),
        batches: simulation.consumer.values().map(Vec::len).sum(),
    }
}

#[test]
fn billed_units_equal_those_of_requests_that_ran() {
    let seeds = std::env::var("CHALKGAP_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(20u64);
    let mut requests_ran = 0;
    let mut batches = 0;
    for seed in 1..=seeds {
        let counts = run(seed);
        requests_ran += counts.requests_ran as u64;
        batches += counts.batches as u64;
    }
    assert!(
        requests_ran > 100 * seeds && batches > 10 * seeds,
        "{requests_ran} requests ran, {batches} batches were exported"
    );
}
