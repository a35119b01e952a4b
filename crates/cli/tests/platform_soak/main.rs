//! Seeded soak of restarts: processes are told to end in the middle of their work, by signals in series, while clients use their
//! connections until the kill and backends and discovery have faults. The rules are checked from outside.
//!
//! By hand, 50 seeds of each kind: `SOAK_SEEDS=50 cargo test --release --locked -p chalkgap-cli --test platform_soak -- --ignored
//! --nocapture`; `SOAK_FROM` is the first seed.

use backends::Shared as BackendsShared;
use clients::{Record, Shared as ClientsShared, Target};
use common::{discovery, Discovery};
use history::{Arrival, Ending, History, ProcessEnd};
use running::{command, file, member_config, peer_address, with_replacements, Running};
use rustix::process::{kill_process, Pid, Signal};
use scenario::{BackendKind, DiscoveryKind, FileChange, Scenario};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

mod backends;
mod clients;
#[path = "../../../platform/tests/common/mod.rs"]
mod common;
mod history;
mod pipelining;
#[path = "../running/mod.rs"]
mod running;
mod scenario;
mod violations;

/// Seeds of each kind of run in CI.
const SHORT_SEEDS: std::ops::Range<u64> = 1..7;
/// Time from the start of the clients to the first SIGTERM.
const WARM_UP: Duration = Duration::from_millis(600);
/// Interval at which a process is checked for its end.
const END_CHECK: Duration = Duration::from_millis(2);
/// Processes of a fleet.
const FLEET: usize = 4;
/// Sleep of the thread that measures how late threads of the test run.
const PROBE_SLEEP: Duration = Duration::from_millis(1);

/// Held during a run, so that runs do not compete for the machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// The processes of a run and what surrounds them.
struct Rig {
    plan: Plan,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    processes: Vec<Running>,
}

/// What the threads of a run share.
#[derive(Clone)]
struct Plan {
    scenario: Scenario,
    begin: Instant,
    /// Ports of the backends.
    ports: Vec<u16>,
    /// Discovery services: the one of the first configuration, and one that works.
    discoveries: [Discovery; 2],
}

impl Rig {
    fn start(scenario: Scenario) -> Rig {
        let begin = Instant::now();
        let arrivals = Arc::default();
        let shared = BackendsShared {
            begin,
            arrivals: Arc::clone(&arrivals),
            longest_work: Duration::from_millis(scenario.deadline_ms),
        };
        let ports: Vec<u16> =
            scenario.backends.iter().map(|kind| backends::start(*kind, shared.clone())).collect();
        let list = common::known(&ports);
        let discoveries = [start_discovery(scenario.discovery, list.clone()), discovery(list)];
        let plan = Plan { scenario, begin, ports, discoveries };
        let start = |number| {
            let text = plan.config(number, plan.discoveries[0].port);
            Running::start(&format!("soak-{}-{number}", plan.scenario.seed), &text)
        };
        let processes = (0..plan.scenario.processes).map(start).collect();
        Rig { plan, arrivals, processes }
    }
}

impl Plan {
    fn config(&self, number: usize, discovery: u16) -> String {
        config(&self.scenario, number, discovery, &self.ports)
    }

    /// Prepares the file that process `number` reads at SIGHUP.
    fn change_file(&self, number: usize, path: &Path) {
        match self.scenario.file_change {
            FileChange::Replaced => {
                std::fs::write(path, self.config(number, self.discoveries[1].port)).unwrap();
            }
            FileChange::Broken => std::fs::write(path, "{\"name\":").unwrap(),
            FileChange::Unchanged => {}
        }
    }

    /// Announces that the draining backends drain, each at its time.
    fn announce_drains(&self, sigterm_at: Duration) -> Vec<JoinHandle<()>> {
        let drains = self.scenario.backends.iter().zip(&self.ports).filter_map(|(kind, port)| match kind {
            BackendKind::Draining { at } => Some((*at, *port)),
            _ => None,
        });
        // A silent service, the first one, announces nothing.
        let silent = usize::from(self.scenario.discovery == DiscoveryKind::Silent);
        let announce = |(number, (at, port)): (usize, (i64, u16))| {
            let (begin, discoveries) = (self.begin, self.discoveries.clone());
            let change = common::known(&[port])
                .replace("\"ready\"", "\"draining\"")
                .replace("\"whole\":true", "\"whole\":false")
                .replace("\"seq\":1", &format!("\"seq\":{}", number + 2));
            spawn(move || {
                sleep_until(begin, sigterm_at, at);
                discoveries.iter().skip(silent).for_each(|discovery| discovery.send_change(&change));
            })
        };
        drains.enumerate().map(announce).collect()
    }

    /// Sends a process its signals and waits for its end, at most until the kill.
    fn end_process(&self, process: &mut Running, sigterm_at: Duration, target: &Target) -> ProcessEnd {
        let mut first_sigterm = None;
        for (at, signal) in &self.scenario.signals {
            sleep_until(self.begin, sigterm_at, *at);
            if *signal == Signal::HUP {
                self.change_file(target.process, &process.file);
            }
            if *signal == Signal::TERM && first_sigterm.is_none() {
                let now = self.begin.elapsed();
                first_sigterm = Some(now);
                target.sigterm_at.store(now.as_micros() as u64, Ordering::SeqCst);
            }
            // Fails if the process has ended.
            let _ = kill_process(Pid::from_child(&process.child), *signal);
        }
        let sigterm_at = first_sigterm.unwrap();
        let kill_at = sigterm_at + Duration::from_millis(self.scenario.kill_after_ms());
        let (ended_at, exit_code) = wait_for_end(process, self.begin, kill_at);
        ProcessEnd {
            sigterm_at: sigterm_at.as_secs_f64(),
            kill_at: kill_at.as_secs_f64(),
            ended_at,
            exit_code,
        }
    }
}

/// Waits until the process ends, and kills it at `kill_at`. Returns when it ended by itself, and its exit code.
fn wait_for_end(running: &mut Running, begin: Instant, kill_at: Duration) -> (Option<f64>, Option<i32>) {
    loop {
        if let Some(status) = running.child.try_wait().unwrap() {
            return (Some(begin.elapsed().as_secs_f64()), status.code());
        }
        if begin.elapsed() >= kill_at {
            running.child.kill().unwrap();
            running.child.wait().unwrap();
            return (None, None);
        }
        sleep(END_CHECK);
    }
}

fn sleep_until(begin: Instant, sigterm_at: Duration, relative_ms: i64) {
    let at = Duration::from_millis((sigterm_at.as_millis() as i64 + relative_ms).max(0) as u64);
    sleep(at.saturating_sub(begin.elapsed()));
}

fn start_discovery(kind: DiscoveryKind, list: String) -> Discovery {
    match kind {
        DiscoveryKind::Working | DiscoveryKind::Silent => discovery(list),
        DiscoveryKind::Hanging => {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let port = listener.local_addr().unwrap().port();
            spawn(move || listener.incoming().flatten().collect::<Vec<_>>());
            Discovery { port, ..Discovery::default() }
        }
    }
}

/// Returns the configuration of a scenario's process.
fn config(scenario: &Scenario, number: usize, discovery: u16, ports: &[u16]) -> String {
    let fleet = fleet_number(scenario);
    let peers: Vec<SocketAddr> = (0..scenario.processes).map(|no| peer_address(fleet, no)).collect();
    let text = match scenario.processes {
        1 => common::config(1, discovery, ports),
        _ => member_config(fleet, number, &peers, discovery, ports),
    };
    let deadline = format!("\"give_up_us\":{}", scenario.deadline_ms * 1000);
    let objective = scenario.deadline_ms.min(2000) / 2;
    let mut changes = vec![
        ("\"give_up_us\":4000000".to_owned(), deadline.clone()),
        ("\"give_up_us\":7500000".to_owned(), deadline),
        ("\"objective_us\":1000000".to_owned(), format!("\"objective_us\":{}", objective * 1000)),
        ("\"window_us\":5000000".to_owned(), format!("\"window_us\":{}", scenario.repeat_window_ms() * 1000)),
    ];
    if scenario.once {
        changes.push(("\"effect\":\"by_key\"".to_owned(), "\"effect\":\"once\"".to_owned()));
    }
    with_replacements(text, &changes)
}

/// Number of a scenario's fleet, which determines its addresses.
fn fleet_number(scenario: &Scenario) -> u8 {
    (scenario.seed % 200) as u8
}

/// Measures until `stop` is set how much longer than asked for a thread of this process sleeps, at most.
fn measure_lateness(stop: Arc<AtomicBool>) -> JoinHandle<Duration> {
    spawn(move || {
        let mut longest = Duration::ZERO;
        while !stop.load(Ordering::SeqCst) {
            let before = Instant::now();
            sleep(PROBE_SLEEP);
            longest = longest.max(before.elapsed() - PROBE_SLEEP);
        }
        longest
    })
}

/// Runs a scenario. Returns the violations of the rules.
fn run(scenario: Scenario) -> Vec<String> {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    println!("{scenario:?}");
    let rig = Rig::start(scenario);
    let (plan, scenario) = (&rig.plan, &rig.plan.scenario);
    let shared = ClientsShared {
        begin: plan.begin,
        next_id: Arc::new(AtomicU64::new(scenario.seed << 32 | 1)),
        stop: Arc::default(),
        deadline_ms: scenario.deadline_ms,
    };
    let lateness = measure_lateness(shared.stop.clone());
    let target = |(process, running): (usize, &Running)| Target {
        process,
        address: running.address,
        sigterm_at: Arc::new(AtomicU64::new(u64::MAX)),
    };
    let targets: Vec<Target> = rig.processes.iter().enumerate().map(target).collect();
    let first_sigterm = plan.begin.elapsed() + WARM_UP;
    let clients = start_clients(plan, &shared, &targets, first_sigterm);
    let drains = plan.announce_drains(first_sigterm);
    let processes = end_processes(plan, rig.processes, first_sigterm, &targets);
    shared.stop.store(true, Ordering::SeqCst);
    drains.into_iter().for_each(|drain| drain.join().unwrap());
    let Record { requests, refused } = join_records(clients);
    let lateness = lateness.join().unwrap();
    let arrivals = rig.arrivals.lock().unwrap().clone();
    let unanswered = requests.iter().filter(|request| request.ending == Ending::Closed).count();
    println!(
        "  {} requests ({unanswered} unanswered), {} arrivals, lateness of the test {lateness:?}",
        requests.len(),
        arrivals.len()
    );
    let repeat_window = scenario.repeat_window_ms() as f64 / 1e3;
    let history = History { requests, arrivals, refused, processes, once: scenario.once, repeat_window };
    let violations = history.violations();
    violations.iter().for_each(|violation| println!("  VIOLATION {violation}"));
    violations
}

/// Starts the steady clients of all processes, and the crowd of the first one.
fn start_clients(
    plan: &Plan,
    shared: &ClientsShared,
    targets: &[Target],
    first_sigterm: Duration,
) -> Vec<JoinHandle<Record>> {
    let scenario = &plan.scenario;
    let mut clients: Vec<JoinHandle<Record>> = Vec::new();
    for target in targets {
        clients.extend((0..scenario.clients as u64).map(|number| {
            let seed = scenario.seed << 16 | (target.process as u64) << 8 | number;
            clients::steady(shared.clone(), target.clone(), seed)
        }));
        let pipelining = scenario.pipelining.into_iter();
        clients.extend(
            pipelining.flat_map(|drawn| (0..drawn.clients as u64).map(move |number| (drawn, number))).map(
                |(drawn, number)| {
                    let seed = !(scenario.seed << 16 | (target.process as u64) << 8 | number);
                    pipelining::start(shared.clone(), target.clone(), drawn, seed)
                },
            ),
        );
    }
    if let Some(crowd) = scenario.crowd {
        let (shared, target, seed) = (shared.clone(), targets[0].clone(), scenario.seed);
        clients.push(spawn(move || {
            sleep_until(shared.begin, first_sigterm, crowd.at);
            join_records(clients::crowd(&shared, &target, crowd, seed))
        }));
    }
    clients
}

fn join_records(clients: Vec<JoinHandle<Record>>) -> Record {
    let mut all = Record::default();
    for client in clients {
        let record = client.join().unwrap();
        all.requests.extend(record.requests);
        all.refused.extend(record.refused);
    }
    all
}

/// Ends all processes, one after the other begins to end.
fn end_processes(
    plan: &Plan,
    processes: Vec<Running>,
    first_sigterm: Duration,
    targets: &[Target],
) -> Vec<ProcessEnd> {
    let stagger = Duration::from_millis(plan.scenario.stagger_ms);
    let end = |(mut process, target): (Running, &Target)| {
        let (plan, target) = (plan.clone(), target.clone());
        let sigterm_at = first_sigterm + stagger * target.process as u32;
        spawn(move || plan.end_process(&mut process, sigterm_at, &target))
    };
    let ends: Vec<JoinHandle<ProcessEnd>> = processes.into_iter().zip(targets).map(end).collect();
    ends.into_iter().map(|end| end.join().unwrap()).collect()
}

/// Signals in series to a process that has not started. It ends by itself, before the kill.
fn signals_during_the_start(seed: u64) -> Vec<String> {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut scenario = Scenario::draw(seed, 1);
    scenario.signals.retain(|(at, _)| *at >= 0);
    let discovery = start_discovery(scenario.discovery, common::known(&[1]));
    let path = file(&format!("soak-early-{seed}"), &config(&scenario, 0, discovery.port, &[1]));
    let child = command().env("RELAY_CONFIG", &path).stderr(Stdio::null()).spawn().unwrap();
    let mut process = Running { child, address: ([127, 0, 0, 1], 0).into(), file: path };
    while !running::handles_sigterm(&process.child) {
        sleep(END_CHECK);
    }
    sleep(Duration::from_millis(scenario.stagger_ms));
    let begin = Instant::now();
    for (at, signal) in &scenario.signals {
        sleep_until(begin, Duration::ZERO, *at);
        let _ = kill_process(Pid::from_child(&process.child), *signal); // fails if the process has ended
    }
    let kill_at = Duration::from_millis(scenario.kill_after_ms());
    match wait_for_end(&mut process, begin, kill_at) {
        (Some(_), Some(0)) => Vec::new(),
        end => vec![format!("signals during the start: {end:?}, {scenario:?}")],
    }
}

/// Runs seeds of both kinds, and fails if a rule was violated in any of them.
fn check_seeds(seeds: std::ops::Range<u64>) {
    let mut violations = Vec::new();
    for seed in seeds {
        for processes in [1, FLEET] {
            let found = run(Scenario::draw(seed, processes));
            violations
                .extend(found.into_iter().map(|what| format!("seed {seed}, {processes} processes: {what}")));
        }
        violations.extend(signals_during_the_start(seed));
    }
    assert!(violations.is_empty(), "{} violations: {violations:#?}", violations.len());
}

/// Restarts lose no accepted request and break no rule, in a few seeds.
#[test]
fn restarts_keep_the_rules() {
    check_seeds(SHORT_SEEDS);
}

/// The same in as many seeds as `SOAK_SEEDS` says, from `SOAK_FROM` on.
#[test]
#[ignore = "takes ten seconds for each seed; started by hand"]
fn restarts_keep_the_rules_for_many_seeds() {
    let number = |name: &str, default: u64| std::env::var(name).map_or(default, |text| text.parse().unwrap());
    let from = number("SOAK_FROM", 1);
    check_seeds(from..from + number("SOAK_SEEDS", 50));
}
