//! Several processes on the platform under faults: links cut in one or both directions, processes killed, suspended and
//! restarted, backends that drain, hang and fail. The rules are checked from outside, against what clients and backends
//! recorded.

use common::{discovery, BackendAction, Client, Discovery, Journal, Latch};
use links::Links;
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

#[path = "../../platform/tests/common/mod.rs"]
mod common;
#[path = "running/links.rs"]
mod links;
mod running;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A request that arrived at a backend.
#[derive(Clone, Debug)]
struct Arrival {
    /// Time in seconds since the start of the test.
    at: f64,
    backend: usize,
    customer: u64,
    id: u64,
    class: String,
}

type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// Decides what a backend does with its n-th request, counted from 0.
type BackendScript = Arc<dyn Fn(usize) -> BackendAction + Send + Sync>;

/// Held while a fleet runs, so that fleets do not compete for the machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

struct Fleet {
    begin: Instant,
    /// Number of the fleet, which determines its addresses.
    no: u8,
    /// Ports of the backends.
    ports: Vec<u16>,
    /// The initial list of backends.
    backend_list: String,
    /// Replacements in the configuration.
    changes: Vec<(String, String)>,
    arrivals: Arrivals,
    discovery: Discovery,
    links: Links,
    processes: Vec<Option<Running>>,
    _guard: MutexGuard<'static, ()>,
}

impl Fleet {
    /// Starts fleet number `no` with `n` processes and one backend for each script.
    fn start(no: u8, n: usize, scripts: Vec<BackendScript>, changes: &[(&str, &str)]) -> Fleet {
        let guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let begin = Instant::now();
        let arrivals = Arrivals::default();
        let backend = |(number, script): (usize, BackendScript)| {
            let arrivals = arrivals.clone();
            common::backend(Journal::default(), move |count, words| {
                let attribute = |name: &str| {
                    words[3].split(',').find_map(|e| e.strip_prefix(name)).unwrap_or_default().to_owned()
                };
                arrivals.lock().unwrap().push(Arrival {
                    at: begin.elapsed().as_secs_f64(),
                    backend: number,
                    customer: u64::from_str_radix(&words[1], 16).unwrap(),
                    id: u64::from_str_radix(&words[2], 16).unwrap(),
                    class: attribute("c="),
                });
                script(count)
            })
        };
        let ports: Vec<u16> = scripts.into_iter().enumerate().map(backend).collect();
        let backend_list = common::known(&ports);
        let peer_addresses = (0..n).map(|i| running::peer_address(no, i)).collect();
        let mut fleet = Fleet {
            begin,
            no,
            ports,
            backend_list: backend_list.clone(),
            changes: changes.iter().map(|(from, to)| ((*from).to_owned(), (*to).to_owned())).collect(),
            arrivals,
            discovery: discovery(backend_list),
            links: Links::between(peer_addresses),
            processes: (0..n).map(|_| None).collect(),
            _guard: guard,
        };
        (0..n).for_each(|i| fleet.start_process(i));
        fleet
    }

    fn client_address(&self, i: usize) -> SocketAddr {
        running::client_address(self.no, i)
    }

    /// Starts process `i` and waits until it answers. A running process of that number is killed first.
    fn start_process(&mut self, i: usize) {
        self.processes[i] = None;
        let text =
            running::member_config(self.no, i, &self.links.peers_of(i), self.discovery.port, &self.ports);
        let text = running::with_replacements(text, &self.changes);
        let running = Running::start(&format!("faults-{}-{i}", self.no), &text);
        let mut client = Client::connect(running.address);
        client.send(&["PING"]);
        assert_eq!(client.reply_text(), "+PONG");
        self.processes[i] = Some(running);
    }

    fn kill(&mut self, i: usize) {
        self.processes[i] = None;
    }

    fn now(&self) -> f64 {
        self.begin.elapsed().as_secs_f64()
    }

    /// Returns the units of a customer that arrived at backends from `from` until before `to`.
    fn admitted_units(&self, customer: u64, from: f64, to: f64) -> f64 {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|a| a.customer == customer && a.at >= from && a.at < to).count() as f64
    }
}

// ---- quotas of the fleet ----

/// Quota of each customer in units per second.
const RATE: f64 = 10.0;
/// Burst of each customer in units.
const BURST: f64 = 5.0;
/// Number of processes that each customer's requests are spread over.
const SPREAD: usize = 4;
/// Customers that request three times their quota.
const HEAVY: std::ops::Range<u64> = 0..6;
/// Customers that request half of their quota.
const LIGHT: std::ops::Range<u64> = 6..12;

const QUOTA: [(&str, &str); 1] =
    [("\"quota_rate\":1000000.0,\"burst\":1000000.0", "\"quota_rate\":10.0,\"burst\":5.0")];

/// A backend that answers immediately. Without load on the backends, requests are refused only because of the quota.
fn immediate_answers() -> BackendScript {
    Arc::new(|_| BackendAction::Reply(common::GOOD_REPLY))
}

/// Starts clients that send each customer's requests at a steady rate, spread over its processes, until `stop` is set. Each
/// thread returns its customer and the number of requests.
fn start_customers(fleet: &Fleet, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<(u64, u64)>> {
    static IDS: AtomicU64 = AtomicU64::new(1);
    let n = fleet.processes.len();
    let start = |customer: u64| {
        let addresses: Vec<SocketAddr> = (0..n).map(|i| fleet.client_address(i)).collect();
        let stop = stop.clone();
        std::thread::spawn(move || {
            let rate = if HEAVY.contains(&customer) { 3.0 * RATE } else { 0.5 * RATE };
            let first = customer as usize % n;
            let mut connections = BTreeMap::new();
            let mut requests = 0;
            let pause = Duration::from_secs_f64(1.0 / rate);
            let mut next = Instant::now() + pause.mul_f64(customer as f64 / 12.0);
            while !stop.load(Ordering::SeqCst) {
                sleep(next.saturating_duration_since(Instant::now()));
                next += pause;
                let id = IDS.fetch_add(1, Ordering::SeqCst);
                let address = addresses[(first + (id as usize * 7 / 3) % SPREAD) % n];
                let client = match connections.entry(address) {
                    Entry::Occupied(entry) => entry.into_mut(),
                    Entry::Vacant(entry) => match Client::try_connect(address) {
                        Some(client) => entry.insert(client),
                        None => continue, // the process is down
                    },
                };
                let attributes = format!("c=sig-check,t=team,d=2000,units=1,spread={SPREAD},first={first}");
                client.send(&["SVC.QUERY", &format!("{customer:016x}"), &format!("{id:016x}"), &attributes]);
                requests += 1;
                if client.reply_text() == "closed" {
                    connections.remove(&address);
                }
            }
            (customer, requests)
        })
    };
    (HEAVY.start..LIGHT.end).map(start).collect()
}

/// Returns the share of the admitted units that exceeds the customers' quotas between two times, in seconds since the start of
/// the test. A quota includes one burst, as for a token bucket that is full at the first time.
fn share_beyond_quota(fleet: &Fleet, from: f64, to: f64) -> f64 {
    let mut excess = 0.0;
    let mut all_admitted = 0.0;
    for customer in HEAVY.start..LIGHT.end {
        let admitted = fleet.admitted_units(customer, from, to);
        all_admitted += admitted;
        excess += (admitted - (RATE * (to - from) + BURST)).max(0.0);
    }
    println!("{from:.1} to {to:.1} s: {excess:.0} of {all_admitted} units beyond quotas");
    excess / all_admitted
}

/// Without faults, at most a tenth of the admitted units exceeds the quotas, although processes learn of each other's usage
/// with a delay. At least 75% of the units that the quotas allow are admitted.
#[test]
fn quotas_hold_for_the_fleet_without_faults() {
    let fleet =
        Fleet::start(0, 4, vec![immediate_answers(), immediate_answers(), immediate_answers()], &QUOTA);
    let stop = Arc::new(AtomicBool::new(false));
    let from = fleet.now();
    let clients = start_customers(&fleet, &stop);
    sleep(ms(6000));
    stop.store(true, Ordering::SeqCst);
    let to = fleet.now();
    let requests: Vec<(u64, u64)> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    assert!(share_beyond_quota(&fleet, from, to) <= 0.1);
    for (customer, requests) in requests {
        let allowed = (requests as f64).min(RATE * (to - from) + BURST);
        let admitted = fleet.admitted_units(customer, from, to);
        assert!(
            admitted >= 0.75 * allowed,
            "customer {customer}: {admitted} units admitted of {allowed} that its quota allows"
        );
    }
}

/// [`share_beyond_quota`] exceeds the limit of the other tests if processes receive nothing from each other.
#[test]
fn a_fleet_without_links_exceeds_its_quotas() {
    let fleet =
        Fleet::start(15, 4, vec![immediate_answers(), immediate_answers(), immediate_answers()], &QUOTA);
    (0..4).for_each(|i| fleet.links.partition(&[i]));
    let stop = Arc::new(AtomicBool::new(false));
    let from = fleet.now();
    let clients = start_customers(&fleet, &stop);
    sleep(ms(4000));
    stop.store(true, Ordering::SeqCst);
    let to = fleet.now();
    clients.into_iter().for_each(|c| {
        c.join().unwrap();
    });
    assert!(share_beyond_quota(&fleet, from, to) > 0.1);
}

/// The fleet is partitioned into two halves. Each half, not each process, admits a customer's quota. Within a second after the
/// partition is healed the quota holds again.
#[test]
fn each_side_of_a_partition_admits_one_quota_until_it_is_healed() {
    let fleet =
        Fleet::start(1, 4, vec![immediate_answers(), immediate_answers(), immediate_answers()], &QUOTA);
    let stop = Arc::new(AtomicBool::new(false));
    let clients = start_customers(&fleet, &stop);
    sleep(ms(2500));
    fleet.links.partition(&[0, 1]);
    let cut = fleet.now();
    sleep(ms(4000));
    fleet.links.heal();
    let healed = fleet.now();
    sleep(ms(4500));
    stop.store(true, Ordering::SeqCst);
    let end = fleet.now();
    clients.into_iter().for_each(|c| {
        c.join().unwrap();
    });
    for customer in HEAVY {
        let admitted = fleet.admitted_units(customer, cut, healed);
        let max = 2.0 * (RATE * (healed - cut) + BURST);
        println!("customer {customer}: {admitted} units of at most {max:.0} during the partition");
        // A tenth more is tolerated.
        assert!(
            admitted <= 1.1 * max,
            "customer {customer}: {admitted} units during the partition, at most {max}"
        );
    }
    assert!(share_beyond_quota(&fleet, healed + 1.0, end) <= 0.1, "after the partition");
}

/// Half of the processes are killed and restarted, twice, while links are cut in one direction. Besides the units of its rate,
/// a customer gets at most one burst at the start and one for each restarted process.
#[test]
fn quotas_hold_while_processes_are_restarted() {
    let mut fleet =
        Fleet::start(2, 4, vec![immediate_answers(), immediate_answers(), immediate_answers()], &QUOTA);
    let stop = Arc::new(AtomicBool::new(false));
    let from = fleet.now();
    let clients = start_customers(&fleet, &stop);
    sleep(ms(1500));
    for round in 0..2 {
        fleet.links.cut(round, 3);
        for i in [round, round + 2] {
            fleet.kill(i);
            sleep(ms(200));
            fleet.start_process(i);
        }
        sleep(ms(1000));
        fleet.links.heal();
        sleep(ms(500));
    }
    stop.store(true, Ordering::SeqCst);
    let to = fleet.now();
    clients.into_iter().for_each(|c| {
        c.join().unwrap();
    });
    for customer in HEAVY {
        let admitted = fleet.admitted_units(customer, from, to);
        let max = RATE * (to - from) + BURST * 5.0;
        println!("customer {customer}: {admitted} units of at most {max:.0} with four restarts");
        // A tenth more is tolerated.
        assert!(admitted <= 1.1 * max, "customer {customer}: {admitted} units, at most {max}");
    }
    assert!(share_beyond_quota(&fleet, from, to) <= 0.1);
}

// ---- rules for each request ----

/// A request and its answer, as the client saw them. Times are in seconds since the start of the test.
#[derive(Clone, Debug)]
struct ClientRecord {
    id: u64,
    process: usize,
    sent: f64,
    ended: f64,
    /// Timeout in seconds.
    timeout: f64,
    /// The answer, or `closed` if the connection ended.
    text: String,
}

/// Starts four clients for each process, each with one open request at a time, until `stop` is set. Half of the requests may
/// be retried by the gateway.
fn start_clients(fleet: &Fleet, seed: u64, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<Vec<ClientRecord>>> {
    let n = fleet.processes.len();
    let begin = fleet.begin;
    let ids = Arc::new(AtomicU64::new(seed << 32 | 1));
    let start = |t: usize| {
        let at = fleet.client_address(t % n);
        let ids = ids.clone();
        let stop = stop.clone();
        std::thread::spawn(move || {
            let mut rng = SmallRng::seed_from_u64(seed << 8 | t as u64);
            let mut connection: Option<Client> = None;
            let mut records: Vec<ClientRecord> = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                sleep(ms(rng.random_range(5..60)));
                let Some(mut client) = connection.take().or_else(|| Client::try_connect(at)) else {
                    continue;
                };
                let id = ids.fetch_add(1, Ordering::SeqCst);
                let timeout_ms = [600, 1500, 2500][rng.random_range(0..3)];
                let customer = format!("{:016x}", rng.random_range(0..40u64));
                let class = if rng.random() { "sig-check" } else { "report-upload" };
                let attributes =
                    format!("c={class},t=team,d={timeout_ms},units=1,spread={n},first={}", t % n);
                let id_text = format!("{id:016x}");
                let sent = begin.elapsed().as_secs_f64();
                match class {
                    "sig-check" => client.send(&["SVC.QUERY", &customer, &id_text, &attributes]),
                    _ => client.send(&["SVC.SUBMIT", &customer, &id_text, &attributes, "body"]),
                }
                let text = client.reply_text();
                let ended = begin.elapsed().as_secs_f64();
                if text != "closed" {
                    connection = Some(client);
                }
                let timeout = timeout_ms as f64 / 1e3;
                records.push(ClientRecord { id, process: t % n, sent, ended, timeout, text });
            }
            records
        })
    };
    (0..4 * n).map(start).collect()
}

/// Backends at which some requests hang, fail, or get truncated answers. The last backend has no faults; it drains during the
/// test.
fn faulty_backends() -> Vec<BackendScript> {
    let never = Latch::closed();
    let every_nth = |every: usize, act: BackendAction| -> BackendScript {
        Arc::new(move |n| {
            sleep(ms(8));
            if n % every == every - 1 {
                act
            } else {
                BackendAction::Reply(common::GOOD_REPLY)
            }
        })
    };
    vec![
        every_nth(9, BackendAction::ReplyWhen(never, common::GOOD_REPLY)),
        every_nth(7, BackendAction::ReplyAndClose(b"")),
        every_nth(5, BackendAction::Reply(b"-ERR failed\r\n")),
        every_nth(11, BackendAction::ReplyAndClose(b"*3\r\n$5\r\nva")),
        every_nth(usize::MAX, BackendAction::NoReply),
    ]
}

/// Maximum time in seconds during which a backend may receive new requests after it began to drain.
const DRAIN_GRACE_S: f64 = 1.0;

/// Record of a test: the clients' requests, the arrivals at backends, the kills, and the backend that drained.
#[derive(Clone)]
struct History {
    requests: Vec<ClientRecord>,
    arrivals: Vec<Arrival>,
    /// Killed processes: number, time before the kill, and time when the process had ended.
    killed: Vec<(usize, f64, f64)>,
    /// The backend that drained, and the time when that was announced.
    drained: (usize, f64),
}

impl History {
    /// Returns a description of each violation of a rule.
    fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let mut arrivals: BTreeMap<u64, Vec<&Arrival>> = BTreeMap::new();
        self.arrivals.iter().for_each(|a| arrivals.entry(a.id).or_default().push(a));
        for request in &self.requests {
            let mut report = |what: &str| violations.push(format!("{what}: {request:?}"));
            // An answer that is up to half a second late is useless to the client, but violates no rule.
            if request.ended - request.sent > request.timeout + 0.5 {
                report("answered too late");
            }
            match request.text.as_str() {
                "value" if !arrivals.contains_key(&request.id) => report("an answer that no backend sent"),
                "closed" => {
                    // A killed process need not answer. A process that drained closes the connection before it reads the
                    // request.
                    let by_kill = |(i, before, dead): &(usize, f64, f64)| {
                        *i == request.process && request.sent <= *dead && request.ended >= *before
                    };
                    if arrivals.contains_key(&request.id) && !self.killed.iter().any(by_kill) {
                        report("accepted, but not answered");
                    }
                }
                "value" => {}
                text if text.starts_with('-') => {}
                _ => report("not an answer of this protocol"),
            }
        }
        for list in arrivals.values().filter(|list| list.len() > 1 && list[0].class == "report-upload") {
            violations.push(format!("sent more than once: {list:?}"));
        }
        let (drained_backend, drained_at) = self.drained;
        let last_allowed = drained_at + DRAIN_GRACE_S + 0.05;
        for a in self.arrivals.iter().filter(|a| a.backend == drained_backend && a.at > last_allowed) {
            violations.push(format!("sent to a backend that drains since {drained_at:.2} s: {a:?}"));
        }
        violations
    }
}

/// Takes a history without violations and adds one violation of each rule in turn. Each is reported.
#[test]
fn each_violation_is_reported() {
    let record = |id, text: &str| ClientRecord {
        id,
        process: 1,
        sent: 1.0,
        ended: 1.2,
        timeout: 0.6,
        text: text.to_owned(),
    };
    let arrival = |id, class: &str| Arrival { at: 1.1, backend: 0, customer: 7, id, class: class.to_owned() };
    let good = History {
        requests: vec![
            record(1, "value"),
            record(2, "-BUSY 20"),
            record(3, "closed"),
            record(4, "closed"),
            record(5, "value"),
        ],
        arrivals: vec![
            arrival(1, "report-upload"),
            arrival(4, "sig-check"),
            arrival(5, "sig-check"),
            arrival(5, "sig-check"),
        ],
        killed: vec![(1, 1.15, 1.16)],
        drained: (3, 0.5),
    };
    assert_eq!(good.violations(), Vec::<String>::new());
    type Change = fn(&mut History);
    let changes: [(&str, Change); 6] = [
        ("answered too late", |h| h.requests[1].ended = 2.2),
        ("an answer that no backend sent", |h| drop(h.arrivals.remove(0))),
        ("accepted, but not answered", |h| h.killed[0].0 = 0),
        ("not an answer of this protocol", |h| h.requests[0].text = "+PONG".to_owned()),
        ("sent more than once", |h| h.arrivals.push(h.arrivals[0].clone())),
        ("sent to a backend that drains", |h| (h.arrivals[2].backend, h.arrivals[2].at) = (3, 1.6)),
    ];
    for (what, change) in changes {
        let mut history = good.clone();
        change(&mut history);
        let found = history.violations();
        assert!(found.len() == 1 && found[0].starts_with(what), "{what}: {found:?}");
    }
}

/// Runs a fleet whose processes are killed, suspended and restarted, whose links are cut by direction, and whose backends
/// fail, while one of them drains. Checks each request against what its client and the backends recorded.
fn check_rules_under_faults(seed: u64) {
    let unsafe_class = ("\"effect\":\"by_key\"", "\"effect\":\"once\"");
    let grace = ("\"drain_grace_us\":2000000", "\"drain_grace_us\":1000000");
    let mut fleet = Fleet::start(3 + seed as u8, 4, faulty_backends(), &[unsafe_class, grace]);
    let mut rng = SmallRng::seed_from_u64(seed);
    let stop = Arc::new(AtomicBool::new(false));
    let clients = start_clients(&fleet, seed, &stop);
    let mut killed = Vec::new();
    let mut drained = None;
    for round in 0..10 {
        sleep(ms(rng.random_range(200..500)));
        let i = rng.random_range(0..4);
        match rng.random_range(0..4) {
            0 => {
                let before = fleet.now();
                fleet.kill(i);
                killed.push((i, before, fleet.now()));
                sleep(ms(rng.random_range(0..300)));
                fleet.start_process(i);
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
                assert_eq!(process.exit_code(), Some(0), "seed {seed}: exit code after SIGTERM");
                fleet.start_process(i);
            }
            _ => {
                fleet.links.heal();
                fleet.links.cut(i, rng.random_range(0..4));
                fleet.links.partition(&[rng.random_range(0..4)]);
            }
        }
        if round == 4 {
            let last = fleet.ports.len() - 1;
            let list = &fleet.backend_list;
            let entry = list[list.rfind("{\"host\"").unwrap()..list.len() - 2].to_owned();
            let draining = entry.replace("\"ready\"", "\"draining\"");
            let list = list.replace(&entry, &draining).replace("\"seq\":1", "\"seq\":2");
            *fleet.discovery.list.lock().unwrap() = list;
            fleet.discovery.send_change(&format!("{{\"seq\":2,\"whole\":false,\"hosts\":[{draining}]}}"));
            drained = Some((last, fleet.now()));
        }
    }
    sleep(ms(300));
    stop.store(true, Ordering::SeqCst);
    let requests: Vec<ClientRecord> = clients.into_iter().flat_map(|c| c.join().unwrap()).collect();
    sleep(ms(300));
    let arrivals = fleet.arrivals.lock().unwrap().clone();
    let served = requests.iter().filter(|r| r.text == "value").count();
    println!("seed {seed}: {served} of {} served, {} killed", requests.len(), killed.len());
    let all = requests.len();
    let violations = History { requests, arrivals, killed, drained: drained.unwrap() }.violations();
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    assert!(served * 4 > all * 3, "seed {seed}: {served} of {all} served");
}

#[test]
fn rules_hold_while_processes_links_and_backends_fail() {
    (0..3).for_each(check_rules_under_faults);
}
