//! Several processes on the platform with faults between them: links cut in one or both directions, processes killed, stopped
//! for a while, restarted in order, backends that drain, hang and fail. What must hold all the same is judged from outside, by
//! what clients and backends saw.

use common::{discovery, Act, Client, Discovery, Journal, Latch};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use running::Running;
use rustix::process::Signal;
use std::collections::btree_map::{BTreeMap, Entry};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{sleep, JoinHandle};
use std::time::{Duration, Instant};
use wires::Wires;

#[path = "../../platform/tests/common/mod.rs"]
mod common;
mod running;
#[path = "running/wires.rs"]
mod wires;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A whole command as a backend got it.
#[derive(Clone, Debug)]
struct Arrival {
    /// Seconds of the test.
    at: f64,
    backend: usize,
    customer: u64,
    id: u64,
    class: String,
}

type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// What a backend does with its n-th request.
type Mood = Arc<dyn Fn(usize) -> Act + Send + Sync>;

/// Fleets play one after the other: what is judged is theirs, not the machine's.
static ALONE: Mutex<()> = Mutex::new(());

struct Fleet {
    begin: Instant,
    no: u8,
    ports: Vec<u16>,
    known: String,
    changes: Vec<(String, String)>,
    arrivals: Arrivals,
    discovery: Discovery,
    wires: Wires,
    processes: Vec<Option<Running>>,
    _alone: MutexGuard<'static, ()>,
}

impl Fleet {
    /// `n` processes, fleet number `no` of this file, over backends with these moods.
    fn start(no: u8, n: usize, moods: Vec<Mood>, changes: &[(&str, &str)]) -> Fleet {
        let alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
        let (begin, arrivals) = (Instant::now(), Arrivals::default());
        let backend = |(number, mood): (usize, Mood)| {
            let seen = arrivals.clone();
            common::backend(Journal::default(), move |count, words| {
                let entry = |name: &str| {
                    words[3].split(',').find_map(|e| e.strip_prefix(name)).unwrap_or_default().to_owned()
                };
                seen.lock().unwrap().push(Arrival {
                    at: begin.elapsed().as_secs_f64(),
                    backend: number,
                    customer: u64::from_str_radix(&words[1], 16).unwrap(),
                    id: u64::from_str_radix(&words[2], 16).unwrap(),
                    class: entry("c="),
                });
                mood(count)
            })
        };
        let ports: Vec<u16> = moods.into_iter().enumerate().map(backend).collect();
        let known = common::known(&ports);
        let hears = (0..n).map(|i| running::hears(no, i)).collect();
        let mut fleet = Fleet {
            begin,
            no,
            ports,
            known: known.clone(),
            changes: changes.iter().map(|(a, b)| ((*a).to_owned(), (*b).to_owned())).collect(),
            arrivals,
            discovery: discovery(known),
            wires: Wires::between(hears),
            processes: (0..n).map(|_| None).collect(),
            _alone: alone,
        };
        (0..n).for_each(|i| fleet.run(i));
        fleet
    }

    fn listens(&self, i: usize) -> SocketAddr {
        running::listens(self.no, i)
    }

    /// Starts a process, which is ready then; one that runs under its number is killed.
    fn run(&mut self, i: usize) {
        self.processes[i] = None;
        let text = running::member(self.no, i, &self.wires.peers_of(i), self.discovery.port, &self.ports);
        let text = running::changed(text, &self.changes);
        let running = Running::start(&format!("faults-{}-{i}", self.no), &text);
        let mut client = Client::connect(running.address);
        client.send(&["PING"]);
        assert_eq!(client.text(), "+PONG");
        self.processes[i] = Some(running);
    }

    fn kill(&mut self, i: usize) {
        self.processes[i] = None;
    }

    fn now(&self) -> f64 {
        self.begin.elapsed().as_secs_f64()
    }

    /// Units that came to backends for a customer in a span.
    fn through(&self, customer: u64, from: f64, to: f64) -> f64 {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|a| a.customer == customer && a.at >= from && a.at < to).count() as f64
    }
}

// ---- quotas of the fleet ----

/// Units a second, and at once, of each customer; how many processes each one's requests come over.
const RATE: f64 = 10.0;
const BURST: f64 = 5.0;
const SPREAD: usize = 4;
/// Customers that ask for three times their quota, and as many that ask for half of it.
const HEAVY: std::ops::Range<u64> = 0..6;
const LIGHT: std::ops::Range<u64> = 6..12;

const QUOTA: [(&str, &str); 1] =
    [("\"quota_rate\":1000000.0,\"burst\":1000000.0", "\"quota_rate\":10.0,\"burst\":5.0")];

/// Answers that come at once leave no pressure on the ladder: what is refused is refused by the quota.
fn quick() -> Mood {
    Arc::new(|_| Act::Say(common::GOOD))
}

/// Customers ask at a steady pace, round the processes of their sets, until told to stop; gives what each of them asked.
fn customers(fleet: &Fleet, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<(u64, u64)>> {
    static IDS: AtomicU64 = AtomicU64::new(1);
    let n = fleet.processes.len();
    let ask = |customer: u64| {
        let all: Vec<SocketAddr> = (0..n).map(|i| fleet.listens(i)).collect();
        let stop = stop.clone();
        std::thread::spawn(move || {
            let rate = if HEAVY.contains(&customer) { 3.0 * RATE } else { 0.5 * RATE };
            let first = customer as usize % n;
            let (mut kept, mut asked) = (BTreeMap::new(), 0);
            let pause = Duration::from_secs_f64(1.0 / rate);
            let mut next = Instant::now() + pause.mul_f64(customer as f64 / 12.0);
            while !stop.load(Ordering::SeqCst) {
                sleep(next.saturating_duration_since(Instant::now()));
                next += pause;
                let id = IDS.fetch_add(1, Ordering::SeqCst);
                let at = all[(first + (id as usize * 7 / 3) % SPREAD) % n];
                let client = match kept.entry(at) {
                    Entry::Occupied(place) => place.into_mut(),
                    Entry::Vacant(place) => match Client::try_connect(at) {
                        Some(client) => place.insert(client),
                        None => continue, // it is down
                    },
                };
                let list = format!("c=sig-check,t=team,d=2000,units=1,spread={SPREAD},first={first}");
                client.send(&["SVC.QUERY", &format!("{customer:016x}"), &format!("{id:016x}"), &list]);
                asked += 1;
                if client.text() == "closed" {
                    kept.remove(&at);
                }
            }
            (customer, asked)
        })
    };
    (HEAVY.start..LIGHT.end).map(ask).collect()
}

/// The share of what was let through that is beyond quotas, over a span that begins with full stores.
fn beyond(fleet: &Fleet, from: f64, to: f64) -> f64 {
    let (mut over, mut all) = (0.0, 0.0);
    for customer in HEAVY.start..LIGHT.end {
        let through = fleet.through(customer, from, to);
        all += through;
        over += (through - (RATE * (to - from) + BURST)).max(0.0);
    }
    println!("{from:.1} to {to:.1} s: {over:.0} of {all} units beyond quotas");
    over / all
}

/// A quiet day: no more than a tenth of what is let through is beyond quotas, whatever a policy that sees the state late
/// pays; and quotas are not held by refusing what they allow.
#[test]
fn quotas_hold_for_the_fleet_on_a_quiet_day() {
    let fleet = Fleet::start(0, 4, vec![quick(), quick(), quick()], &QUOTA);
    let stop = Arc::new(AtomicBool::new(false));
    let (from, clients) = (fleet.now(), customers(&fleet, &stop));
    sleep(ms(6000));
    stop.store(true, Ordering::SeqCst);
    let to = fleet.now();
    let asked: Vec<(u64, u64)> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    assert!(beyond(&fleet, from, to) <= 0.1);
    for (customer, asked) in asked {
        let allowed = (asked as f64).min(RATE * (to - from) + BURST);
        let through = fleet.through(customer, from, to);
        assert!(
            through >= 0.75 * allowed,
            "customer {customer}: {through} of {allowed} that its quota allows"
        );
    }
}

/// The judge finds a fleet whose processes hear nothing of each other.
#[test]
fn a_fleet_that_does_not_hear_itself_is_found() {
    let fleet = Fleet::start(15, 4, vec![quick(), quick(), quick()], &QUOTA);
    (0..4).for_each(|i| fleet.wires.part(&[i]));
    let stop = Arc::new(AtomicBool::new(false));
    let (from, clients) = (fleet.now(), customers(&fleet, &stop));
    sleep(ms(4000));
    stop.store(true, Ordering::SeqCst);
    let to = fleet.now();
    clients.into_iter().for_each(|c| {
        c.join().unwrap();
    });
    assert!(beyond(&fleet, from, to) > 0.1);
}

/// The fleet falls into two halves that do not hear each other: each half lets a customer have its quota, not each process.
/// When they hear each other again the quota holds again, within a second.
#[test]
fn a_cut_costs_each_side_its_quota_and_ends_when_it_ends() {
    let fleet = Fleet::start(1, 4, vec![quick(), quick(), quick()], &QUOTA);
    let stop = Arc::new(AtomicBool::new(false));
    let clients = customers(&fleet, &stop);
    sleep(ms(2500));
    fleet.wires.part(&[0, 1]);
    let cut = fleet.now();
    sleep(ms(4000));
    fleet.wires.heal();
    let healed = fleet.now();
    sleep(ms(4500));
    stop.store(true, Ordering::SeqCst);
    let end = fleet.now();
    clients.into_iter().for_each(|c| {
        c.join().unwrap();
    });
    for customer in HEAVY {
        let through = fleet.through(customer, cut, healed);
        let most = 2.0 * (RATE * (healed - cut) + BURST);
        println!("customer {customer}: {through} of {most:.0} in the cut");
        assert!(through <= 1.1 * most, "customer {customer}: {through} in the cut, {most} at most");
    }
    assert!(beyond(&fleet, healed + 1.0, end) <= 0.1, "after the cut");
}

/// Half of the processes are killed and start anew, twice, with links that are cut in one direction meanwhile: a customer gets
/// no more than a burst for each of its processes that starts anew, beside what fills.
#[test]
fn quotas_hold_while_processes_start_anew() {
    let mut fleet = Fleet::start(2, 4, vec![quick(), quick(), quick()], &QUOTA);
    let stop = Arc::new(AtomicBool::new(false));
    let (from, clients) = (fleet.now(), customers(&fleet, &stop));
    sleep(ms(1500));
    for round in 0..2 {
        fleet.wires.cut(round, 3);
        for i in [round, round + 2] {
            fleet.kill(i);
            sleep(ms(200));
            fleet.run(i);
        }
        sleep(ms(1000));
        fleet.wires.heal();
        sleep(ms(500));
    }
    stop.store(true, Ordering::SeqCst);
    let to = fleet.now();
    clients.into_iter().for_each(|c| {
        c.join().unwrap();
    });
    for customer in HEAVY {
        let through = fleet.through(customer, from, to);
        let most = RATE * (to - from) + BURST * 5.0;
        println!("customer {customer}: {through} of {most:.0} with four starts");
        assert!(through <= 1.1 * most, "customer {customer}: {through}, {most} at most");
    }
    assert!(beyond(&fleet, from, to) <= 0.1);
}

// ---- the rules ----

/// How a request ended for its client.
#[derive(Clone, Debug)]
struct End {
    id: u64,
    process: usize,
    sent: f64,
    ended: f64,
    wait: f64,
    text: String,
}

/// Clients of the processes that wait in turn, with requests that may and may not be repeated, until told to stop.
fn askers(fleet: &Fleet, seed: u64, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<Vec<End>>> {
    let n = fleet.processes.len();
    let begin = fleet.begin;
    let ids = Arc::new(AtomicU64::new(seed << 32 | 1));
    let ask = |t: usize| {
        let at = fleet.listens(t % n);
        let (ids, stop) = (ids.clone(), stop.clone());
        std::thread::spawn(move || {
            let mut rng = SmallRng::seed_from_u64(seed << 8 | t as u64);
            let (mut kept, mut ends): (Option<Client>, Vec<End>) = (None, Vec::new());
            while !stop.load(Ordering::SeqCst) {
                sleep(ms(rng.random_range(5..60)));
                let Some(mut client) = kept.take().or_else(|| Client::try_connect(at)) else { continue };
                let id = ids.fetch_add(1, Ordering::SeqCst);
                let wait = [600, 1500, 2500][rng.random_range(0..3)];
                let customer = format!("{:016x}", rng.random_range(0..40u64));
                let class = if rng.random() { "sig-check" } else { "report-upload" };
                let list = format!("c={class},t=team,d={wait},units=1,spread={n},first={}", t % n);
                let id_text = format!("{id:016x}");
                let sent = begin.elapsed().as_secs_f64();
                match class {
                    "sig-check" => client.send(&["SVC.QUERY", &customer, &id_text, &list]),
                    _ => client.send(&["SVC.SUBMIT", &customer, &id_text, &list, "body"]),
                }
                let text = client.text();
                let ended = begin.elapsed().as_secs_f64();
                if text != "closed" {
                    kept = Some(client);
                }
                ends.push(End { id, process: t % n, sent, ended, wait: wait as f64 / 1e3, text });
            }
            ends
        })
    };
    (0..4 * n).map(ask).collect()
}

/// Backends that hang, break off, and fail now and then; the last one is sound, and is told to drain in the middle.
fn moods() -> Vec<Mood> {
    let never = Latch::closed();
    let now_and_then = |every: usize, act: Act| -> Mood {
        Arc::new(move |n| {
            sleep(ms(8));
            if n % every == every - 1 {
                act
            } else {
                Act::Say(common::GOOD)
            }
        })
    };
    vec![
        now_and_then(9, Act::SayWhen(never, common::GOOD)),
        now_and_then(7, Act::SayAndEnd(b"")),
        now_and_then(5, Act::Say(b"-ERR failed\r\n")),
        now_and_then(11, Act::SayAndEnd(b"*3\r\n$5\r\nva")),
        now_and_then(usize::MAX, Act::Nothing),
    ]
}

/// Seconds within which work to a backend that drains must have begun.
const GRACE: f64 = 1.0;

/// What came to pass: how requests ended, what came to backends, when which processes were killed, which backend was told to
/// drain and when.
#[derive(Clone)]
struct History {
    ends: Vec<End>,
    arrivals: Vec<Arrival>,
    /// From just before until it was dead.
    killed: Vec<(usize, f64, f64)>,
    drained: (usize, f64),
}

impl History {
    /// Every broken rule, in words.
    fn broken(&self) -> Vec<String> {
        let mut broken = Vec::new();
        let mut came: BTreeMap<u64, Vec<&Arrival>> = BTreeMap::new();
        self.arrivals.iter().for_each(|a| came.entry(a.id).or_default().push(a));
        for e in &self.ends {
            let mut breaks = |what: &str| broken.push(format!("{what}: {e:?}"));
            // Up to half a second late it only earns nothing.
            if e.ended - e.sent > e.wait + 0.5 {
                breaks("answered too late");
            }
            match e.text.as_str() {
                "value" if !came.contains_key(&e.id) => breaks("an answer that nobody made"),
                "closed" => {
                    // A process that was killed owes nothing; one that ended in order had not taken it.
                    let fell = |(i, before, dead): &(usize, f64, f64)| {
                        *i == e.process && e.sent <= *dead && e.ended >= *before
                    };
                    if came.contains_key(&e.id) && !self.killed.iter().any(fell) {
                        breaks("taken, and not answered");
                    }
                }
                "value" => {}
                text if text.starts_with('-') => {}
                _ => breaks("no answer of this platform"),
            }
        }
        for came in came.values().filter(|came| came.len() > 1 && came[0].class == "report-upload") {
            broken.push(format!("an effect twice: {came:?}"));
        }
        let (last, at) = self.drained;
        for a in self.arrivals.iter().filter(|a| a.backend == last && a.at > at + GRACE + 0.05) {
            broken.push(format!("sent to a backend that drains since {at:.2}: {a:?}"));
        }
        broken
    }
}

/// Each rule, broken once in a history in which none is, is found.
#[test]
fn the_judge_finds_each_broken_rule() {
    let end =
        |id, text: &str| End { id, process: 1, sent: 1.0, ended: 1.2, wait: 0.6, text: text.to_owned() };
    let arrival = |id, class: &str| Arrival { at: 1.1, backend: 0, customer: 7, id, class: class.to_owned() };
    let good = History {
        ends: vec![end(1, "value"), end(2, "-BUSY 20"), end(3, "closed"), end(4, "closed"), end(5, "value")],
        arrivals: vec![
            arrival(1, "report-upload"),
            arrival(4, "sig-check"),
            arrival(5, "sig-check"),
            arrival(5, "sig-check"),
        ],
        killed: vec![(1, 1.15, 1.16)],
        drained: (3, 0.5),
    };
    assert_eq!(good.broken(), Vec::<String>::new());
    type Break = fn(&mut History);
    let breaks: [(&str, Break); 6] = [
        ("answered too late", |h| h.ends[1].ended = 2.2),
        ("an answer that nobody made", |h| drop(h.arrivals.remove(0))),
        ("taken, and not answered", |h| h.killed[0].0 = 0),
        ("no answer of this platform", |h| h.ends[0].text = "+PONG".to_owned()),
        ("an effect twice", |h| h.arrivals.push(h.arrivals[0].clone())),
        ("sent to a backend that drains", |h| (h.arrivals[2].backend, h.arrivals[2].at) = (3, 1.6)),
    ];
    for (what, act) in breaks {
        let mut h = good.clone();
        act(&mut h);
        let found = h.broken();
        assert!(found.len() == 1 && found[0].starts_with(what), "{what}: {found:?}");
    }
}

/// Plays a fleet whose processes are killed, stopped for a while and restarted in order, whose links are cut by direction, and
/// whose backends fail, while one of them drains; judges each request by what its client and the backends saw.
fn rules_hold(seed: u64) {
    let unsafe_class = ("\"effect\":\"by_key\"", "\"effect\":\"once\"");
    let grace = ("\"drain_grace_us\":2000000", "\"drain_grace_us\":1000000");
    let mut fleet = Fleet::start(3 + seed as u8, 4, moods(), &[unsafe_class, grace]);
    let mut rng = SmallRng::seed_from_u64(seed);
    let stop = Arc::new(AtomicBool::new(false));
    let clients = askers(&fleet, seed, &stop);
    let (mut killed, mut drained) = (Vec::new(), None);
    for round in 0..10 {
        sleep(ms(rng.random_range(200..500)));
        let i = rng.random_range(0..4);
        match rng.random_range(0..4) {
            0 => {
                let before = fleet.now();
                fleet.kill(i);
                killed.push((i, before, fleet.now()));
                sleep(ms(rng.random_range(0..300)));
                fleet.run(i);
            }
            1 => {
                let process = fleet.processes[i].as_ref().unwrap();
                process.signal(Signal::STOP);
                sleep(ms(250));
                process.signal(Signal::CONT);
            }
            2 => {
                let mut process = fleet.processes[i].take().unwrap();
                process.signal(Signal::TERM);
                assert_eq!(process.ended(), Some(0), "seed {seed}: told to end");
                fleet.run(i);
            }
            _ => {
                fleet.wires.heal();
                fleet.wires.cut(i, rng.random_range(0..4));
                fleet.wires.part(&[rng.random_range(0..4)]);
            }
        }
        if round == 4 {
            let last = fleet.ports.len() - 1;
            let line = fleet.known[fleet.known.rfind("{\"host\"").unwrap()..fleet.known.len() - 2].to_owned();
            let draining = line.replace("\"ready\"", "\"draining\"");
            let list = fleet.known.replace(&line, &draining).replace("\"seq\":1", "\"seq\":2");
            *fleet.discovery.list.lock().unwrap() = list;
            fleet.discovery.tell(&format!("{{\"seq\":2,\"whole\":false,\"hosts\":[{draining}]}}"));
            drained = Some((last, fleet.now()));
        }
    }
    sleep(ms(300));
    stop.store(true, Ordering::SeqCst);
    let ends: Vec<End> = clients.into_iter().flat_map(|c| c.join().unwrap()).collect();
    sleep(ms(300));
    let arrivals = fleet.arrivals.lock().unwrap().clone();
    let served = ends.iter().filter(|e| e.text == "value").count();
    println!("seed {seed}: {served} of {} served, {} killed", ends.len(), killed.len());
    let (all, drained) = (ends.len(), drained.unwrap());
    let broken = History { ends, arrivals, killed, drained }.broken();
    assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
    assert!(served * 4 > all * 3, "seed {seed}: {served} of {all} served");
}

#[test]
fn rules_hold_while_processes_links_and_backends_fail() {
    (0..3).for_each(rules_hold);
}
