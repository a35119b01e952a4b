//! Memory of a `chalkgap platform` process whose clients form a crowd. The whole process has to stay below its limit, and the
//! usual clients are served meanwhile.

use common::{backend, config, discovery, known, BackendAction, Journal, GOOD_REPLY};
use crowd::{Behaviour, Crowd};
use process_memory::resident_bytes;
use running::Running;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

mod commands;
#[path = "../../../platform/tests/common/mod.rs"]
mod common;
mod crowd;
#[path = "../running/process_memory.rs"]
mod process_memory;
#[path = "../running/mod.rs"]
mod running;

/// More clients than the ingress has descriptors for.
const CROWD_CLIENTS: usize = 950;
const USUAL_CLIENTS: u64 = 6;
/// How long the usual clients are alone before: long enough to use all connections to backends.
const CALM_DURATION: Duration = Duration::from_secs(3);
/// How long a crowd stays: longer than two rounds of connections that end with the timeout for a command.
const CROWD_DURATION: Duration = Duration::from_secs(5);
/// How long after a crowd the process may hold more than before.
const QUIET_DURATION: Duration = Duration::from_secs(10);
/// How much more the process may hold after that time.
const MAX_KEPT_BYTES: u64 = 4 << 20;
/// The longest time to an answer for a usual client.
const LATEST_ANSWER: Duration = Duration::from_millis(500);
/// Time in which a backend answers.
const BACKEND_DELAY: Duration = Duration::from_millis(5);
/// Pause of a usual client between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
const MEGABYTE: u64 = 1_000_000;

/// Held while a crowd is there: crowds do not compete for the machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A limit of the process.
#[derive(Clone, Copy)]
struct Limits {
    memory_mb: u64,
    descriptors: u64,
    /// Number of backends that discovery lists. They share the sockets of two.
    backends: usize,
}

/// Samples the resident memory of a process.
struct MemoryWatch {
    stop: Arc<AtomicBool>,
    peak: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

impl MemoryWatch {
    fn start(process: u32) -> MemoryWatch {
        let (stop, peak) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let thread = spawn({
            let (stop, peak) = (stop.clone(), peak.clone());
            move || {
                while !stop.load(Ordering::Relaxed) {
                    peak.fetch_max(resident_bytes(process), Ordering::Relaxed);
                    sleep(Duration::from_millis(5));
                }
            }
        });
        MemoryWatch { stop, peak, thread: Some(thread) }
    }

    fn end(mut self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.take().unwrap().join().unwrap();
        self.peak.load(Ordering::Relaxed)
    }
}

/// Reads a value of one line, or an error line.
fn read_answer(stream: &mut TcpStream) -> String {
    let mut answer = String::new();
    let lines = |answer: &str| if answer.starts_with('$') { 2 } else { 1 };
    while answer.matches('\n').count() < lines(&answer) {
        let mut chunk = [0; 256];
        let count = stream.read(&mut chunk).unwrap();
        assert!(count > 0, "the connection of a usual client ended");
        answer.push_str(&String::from_utf8_lossy(&chunk[..count]));
    }
    answer
}

/// Sends one request after the other; a refusal is a final answer. Returns the slowest answer.
fn run_usual_client(address: SocketAddr, number: u64, is_over: &AtomicBool) -> Duration {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(common::TEST_TIMEOUT)).unwrap();
    let mut slowest = Duration::ZERO;
    for sequence in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let sent_at = Instant::now();
        stream.write_all(&commands::query(number << 32 | sequence)).unwrap();
        let answer = read_answer(&mut stream);
        assert!(answer == "$5\r\nvalue\r\n" || answer.starts_with("-BUSY"), "{answer}");
        slowest = slowest.max(sent_at.elapsed());
        sleep(REQUEST_INTERVAL);
    }
    slowest
}

/// A complete list of `count` backends, which listen on `ports` in turn.
fn list_of(ports: &[u16], count: usize) -> String {
    let of_two = known(ports);
    let first = of_two.find('[').unwrap() + 1;
    let record = &of_two[first..=of_two.find('}').unwrap()];
    let records = (0..count).map(|number| {
        let port = ports[number % ports.len()];
        let dial = format!("\"dial\":\"127.0.0.1:{port}\"");
        let name = format!("{{\"host\":\"s-{number:08x}\",{dial}");
        format!("{name}{}", &record[record.find(",\"site\"").unwrap()..])
    });
    format!("{{\"seq\":2,\"whole\":true,\"hosts\":[{}]}}", records.collect::<Vec<_>>().join(","))
}

/// An ingress with two backends and usual clients.
struct Scene {
    process: Running,
    is_over: Arc<AtomicBool>,
    usual_clients: Vec<JoinHandle<Duration>>,
    _guard: MutexGuard<'static, ()>,
}

impl Scene {
    fn start(limits: Limits) -> Scene {
        let guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let long_reply: &'static [u8] = Vec::leak(
            [
                format!("*3\r\n${}\r\n", commands::LONG_BODY_BYTES).as_bytes(),
                &vec![b'y'; commands::LONG_BODY_BYTES],
                b"\r\n$-1\r\n$7\r\ndepth=2\r\n",
            ]
            .concat(),
        );
        let start_backend = || {
            let journal = Journal::default();
            backend(journal.clone(), move |_, arguments| {
                journal.lock().unwrap().clear(); // it would grow with each body
                sleep(BACKEND_DELAY);
                let is_long = arguments[1] == commands::LONG_VALUE_CUSTOMER;
                BackendAction::Reply(if is_long { long_reply } else { GOOD_REPLY })
            })
        };
        let ports = [start_backend(), start_backend()];
        let Limits { memory_mb, descriptors, backends } = limits;
        let text = config(1, discovery(list_of(&ports, backends)).port, &ports);
        let limits = format!("\"memory_mb\":{memory_mb},\"sockets\":{descriptors}");
        let process = Running::start("crowd", &text.replace("\"memory_mb\":64,\"sockets\":256", &limits));
        let is_over = Arc::new(AtomicBool::new(false));
        let usual_clients = (1..=USUAL_CLIENTS).map(|number| {
            let (address, is_over) = (process.address, is_over.clone());
            spawn(move || run_usual_client(address, number, &is_over))
        });
        let usual_clients = usual_clients.collect();
        Scene { process, is_over, usual_clients, _guard: guard }
    }

    /// Ends the usual clients. Returns the slowest answer.
    fn end_usual_clients(&mut self) -> Duration {
        self.is_over.store(true, Ordering::Relaxed);
        self.usual_clients.drain(..).map(|client| client.join().unwrap()).max().unwrap()
    }
}

/// Waits until the process holds `expected` bytes at most, but for no longer than it may take. Returns what it holds then.
fn memory_after_quiet(process: u32, expected: u64) -> u64 {
    let deadline = Instant::now() + QUIET_DURATION;
    loop {
        let held = resident_bytes(process);
        if held <= expected || Instant::now() >= deadline {
            return held;
        }
        sleep(Duration::from_millis(50));
    }
}

/// Plays a crowd of `behaviours` and checks the process's memory during it and after it.
fn check_crowd(limits: Limits, behaviours: &'static [Behaviour]) {
    let mut scene = Scene::start(limits);
    let process = scene.process.child.id();
    sleep(CALM_DURATION);
    let before = resident_bytes(process);
    let watch = MemoryWatch::start(process);
    let crowd = Crowd::start(scene.process.address, CROWD_CLIENTS, behaviours);
    sleep(CROWD_DURATION);
    drop(crowd);
    let after = memory_after_quiet(process, before + MAX_KEPT_BYTES);
    let peak = watch.end();
    let slowest = scene.end_usual_clients();
    let limit = limits.memory_mb * MEGABYTE;
    println!(
        "{behaviours:?} at {} MB, {} descriptors: {} kB before, {} kB at the peak, {} kB after, slowest answer {slowest:?}",
        limits.memory_mb,
        limits.descriptors,
        before / 1000,
        peak / 1000,
        after / 1000,
    );
    assert!(peak <= limit / 10 * 9, "{} kB at the peak of {behaviours:?}", peak / 1000);
    assert!(after <= before + MAX_KEPT_BYTES, "{} kB are kept after {behaviours:?}", (after - before) / 1000);
    assert!(slowest <= LATEST_ANSWER, "an answer took {slowest:?} beside {behaviours:?}");
}

const LEAST: Limits = Limits { memory_mb: 32, descriptors: 1024, backends: 2 };

/// Commands that stop half way were held without a bound in bytes: the process passed its limit and was killed.
#[test]
fn half_commands_of_a_crowd_stay_below_the_memory_limit() {
    check_crowd(LEAST, &[Behaviour::HalfSubmit]);
    check_crowd(LEAST, &[Behaviour::SlowSubmit]);
    check_crowd(LEAST, &[Behaviour::ShortAttributes]);
}

/// The requests of whole commands were held without a bound in bytes.
#[test]
fn whole_commands_of_a_crowd_stay_below_the_memory_limit() {
    check_crowd(LEAST, &[Behaviour::WholeSubmits]);
}

/// Complete answers that nobody reads were held without a bound in bytes.
#[test]
fn unread_answers_of_a_crowd_stay_below_the_memory_limit() {
    check_crowd(LEAST, &[Behaviour::UnreadLongValues]);
    check_crowd(LEAST, &[Behaviour::UnreadShortValues]);
    check_crowd(LEAST, &[Behaviour::UnreadErrors]);
}

/// Connections that hold next to nothing.
#[test]
fn connections_of_a_crowd_stay_below_the_memory_limit() {
    check_crowd(LEAST, &[Behaviour::OneByte]);
}

/// The largest list of backends that the pages name leaves less room for clients.
#[test]
fn a_crowd_beside_3200_backends_stays_below_the_memory_limit() {
    check_crowd(Limits { backends: 3200, ..LEAST }, &Behaviour::ALL);
}

/// All of it at once, at each limit of memory and descriptors that the pages name.
#[test]
fn a_mixed_crowd_stays_below_each_memory_limit() {
    for memory_mb in [32, 64, 192] {
        for descriptors in [256, 1024] {
            check_crowd(Limits { memory_mb, descriptors, ..LEAST }, &Behaviour::ALL);
        }
    }
}
