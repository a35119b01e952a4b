//! Clients that send rejected commands at full speed. They guard against a connection that keeps the only thread to itself.

use common::{backend, discovery, known, BackendAction, Client, Discovery, Journal, GOOD_REPLY};
use rig::{always, ms, wait_until, Fixture};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

mod common;
mod rig;

/// Number of flooding clients, with one connection each.
const FLOODING_CLIENTS: usize = 12;
/// The same if the floods use nearly all descriptors that the configuration has for clients.
const MANY_FLOODING_CLIENTS: usize = 120;
/// Maximum number of unanswered commands of a flooding client.
const UNANSWERED_COMMANDS: usize = 300;
/// Time that the other clients give their requests.
const DEADLINE_MS: u64 = 1000;
/// The final answer is due half a second after the deadline; each time limit is 50 ms longer on sockets.
const LATEST_ANSWER: Duration = Duration::from_millis(DEADLINE_MS + 500 + 50);
/// Time for which each flood lasts.
const FLOOD_DURATION: Duration = Duration::from_millis(2500);
/// The drain grace of the configuration, and 50 ms.
const DRAIN_GRACE: Duration = Duration::from_millis(2050);
/// The kill comes 0.7 s plus the longest deadline, three seconds at most, after SIGTERM.
const TIME_TO_KILL: Duration = Duration::from_millis(3700);
/// Request ids from here on are unused by the floods.
const FIRST_REQUEST_ID: u64 = 1 << 40;

/// The command that a flood consists of.
#[derive(Clone, Copy, Debug)]
enum FloodCommand {
    Ping,
    /// A submit of a class that does not exist, with a body of this many bytes.
    UnknownClass(usize),
    /// A query with a plan that does not exist, with a body of this many bytes.
    UnknownPlan(usize),
}

impl FloodCommand {
    fn encode(self) -> Vec<u8> {
        let submit = |name: &[u8], attributes: &[u8], body: usize| {
            let body = vec![b'x'; body];
            let arguments = [name, b"0000000000000009", b"00000000000000ff", attributes, &body];
            let mut out = bytes::BytesMut::new();
            chalkgap_resp::put_command(&mut out, &arguments);
            out.to_vec()
        };
        match self {
            FloodCommand::Ping => b"*1\r\n$4\r\nPING\r\n".to_vec(),
            FloodCommand::UnknownClass(body) => {
                submit(b"SVC.SUBMIT", b"c=none,t=team,d=3000,units=1,spread=1,first=0", body)
            }
            FloodCommand::UnknownPlan(body) => {
                submit(b"SVC.QUERY", b"c=sig-check,t=none,d=3000,units=1,spread=1,first=0", body)
            }
        }
    }
}

/// Clients that send a command again as soon as it is answered. Dropping it ends them.
struct Flood {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    streams: Vec<TcpStream>,
    threads: Vec<JoinHandle<()>>,
}

impl Flood {
    fn start(address: SocketAddr, command: FloodCommand, clients: usize) -> Flood {
        let mut flood = Flood {
            stop: Arc::default(),
            answered: Arc::default(),
            streams: Vec::new(),
            threads: Vec::new(),
        };
        for _ in 0..clients {
            flood.add_client(address, command);
        }
        wait_until("the flood to be answered", || {
            flood.answered.load(Ordering::Relaxed) > UNANSWERED_COMMANDS
        });
        flood
    }

    fn add_client(&mut self, address: SocketAddr, command: FloodCommand) {
        let stream = TcpStream::connect(address).unwrap();
        let own_answers = Arc::new(AtomicUsize::new(0));
        let reader = read_answers(stream.try_clone().unwrap(), own_answers.clone(), self.answered.clone());
        let writer = write_commands(stream.try_clone().unwrap(), command, own_answers, self.stop.clone());
        self.streams.push(stream);
        self.threads.extend([reader, writer]);
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for stream in &self.streams {
            let _ = stream.shutdown(Shutdown::Both); // the ingress may have closed it
        }
        self.threads.drain(..).for_each(|thread| thread.join().unwrap());
    }
}

/// Counts the answers, each of which is one line, until the connection ends.
fn read_answers(
    mut stream: TcpStream,
    own_answers: Arc<AtomicUsize>,
    all_answers: Arc<AtomicUsize>,
) -> JoinHandle<()> {
    spawn(move || {
        let mut chunk = [0; 64 << 10];
        while let Ok(count) = stream.read(&mut chunk) {
            if count == 0 {
                return;
            }
            let lines = chunk[..count].iter().filter(|byte| **byte == b'\n').count();
            own_answers.fetch_add(lines, Ordering::Relaxed);
            all_answers.fetch_add(lines, Ordering::Relaxed);
        }
    })
}

fn write_commands(
    mut stream: TcpStream,
    command: FloodCommand,
    own_answers: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
) -> JoinHandle<()> {
    spawn(move || {
        let bytes = command.encode();
        let mut sent = 0;
        while !stop.load(Ordering::Relaxed) {
            let free = (own_answers.load(Ordering::Relaxed) + UNANSWERED_COMMANDS).saturating_sub(sent);
            if free == 0 {
                sleep(Duration::from_micros(20));
                continue;
            }
            let batch = free.min((16 << 10) / bytes.len()).max(1);
            if stream.write_all(&bytes.repeat(batch)).is_err() {
                return;
            }
            sent += batch;
        }
    })
}

fn fixture() -> Fixture {
    Fixture::start(vec![always(BackendAction::Reply(GOOD_REPLY))])
}

/// Sends requests one after the other for `span`. Returns the longest time to an answer.
fn slowest_answer(client: &mut Client, first_id: u64, span: Duration) -> Duration {
    let began = Instant::now();
    let mut slowest = Duration::ZERO;
    for id in first_id.. {
        let sent_at = Instant::now();
        client.query(id, DEADLINE_MS);
        let reply = client.reply_text();
        assert!(reply == "value" || reply.starts_with("-BUSY"), "{reply}");
        slowest = slowest.max(sent_at.elapsed());
        if began.elapsed() >= span {
            break;
        }
        sleep(ms(20));
    }
    slowest
}

/// A client whose commands are rejected at once kept all others waiting for seconds if fewer than 32 fitted into one read.
#[test]
fn floods_of_rejected_commands_delay_no_other_client() {
    let floods = [
        (FloodCommand::Ping, FLOODING_CLIENTS),
        (FloodCommand::UnknownClass(100), FLOODING_CLIENTS),
        (FloodCommand::UnknownClass(500), FLOODING_CLIENTS),
        (FloodCommand::UnknownPlan(1000), FLOODING_CLIENTS),
        (FloodCommand::UnknownClass(64 << 10), FLOODING_CLIENTS),
        (FloodCommand::UnknownPlan(1000), MANY_FLOODING_CLIENTS),
    ];
    for (command, clients) in floods {
        let fixture = fixture();
        let mut client = fixture.client();
        let _flood = Flood::start(fixture.address, command, clients);
        let slowest = slowest_answer(&mut client, FIRST_REQUEST_ID, FLOOD_DURATION);
        assert!(slowest <= LATEST_ANSWER, "{clients} of {command:?}: an answer took {slowest:?}");
        let began = Instant::now();
        let mut newcomer = fixture.client();
        slowest_answer(&mut newcomer, 2 * FIRST_REQUEST_ID, Duration::ZERO);
        assert!(began.elapsed() <= LATEST_ANSWER, "{command:?}: a new client waited {:?}", began.elapsed());
    }
}

/// While a client floods the ingress, a drain that discovery tells is kept, and the ingress itself drains in time.
#[test]
fn drains_are_kept_in_a_flood() {
    let fixture = Fixture::start(vec![
        always(BackendAction::Reply(GOOD_REPLY)),
        always(BackendAction::Reply(GOOD_REPLY)),
    ]);
    let mut client = fixture.client();
    wait_until("a watch", || !fixture.discovery.watches.lock().unwrap().is_empty());
    let _flood = Flood::start(fixture.address, FloodCommand::UnknownPlan(1000), FLOODING_CLIENTS);
    slowest_answer(&mut client, FIRST_REQUEST_ID, ms(200));
    assert!(!fixture.journal.lock().unwrap().is_empty());
    let all_drain = fixture.discovery.list.lock().unwrap().replace("\"ready\"", "\"draining\"");
    fixture.discovery.send_change(&all_drain.replace("\"seq\":1", "\"seq\":2"));
    sleep(DRAIN_GRACE);
    let received = fixture.received_commands();
    slowest_answer(&mut client, 2 * FIRST_REQUEST_ID, ms(300));
    assert_eq!(fixture.received_commands(), received, "sent to draining backends");
    fixture.drain.close();
    let began = Instant::now();
    wait_until("the end of the drain", || fixture.is_stopped());
    assert!(began.elapsed() <= TIME_TO_KILL, "the drain took {:?}", began.elapsed());
}

/// A watch of discovery that sends without end kept all clients waiting.
#[test]
fn a_watch_that_sends_without_end_delays_no_client() {
    let list = discovery(String::new());
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let endless = Discovery { port: listener.local_addr().unwrap().port(), ..list };
    let backend_port = backend(Journal::default(), always(BackendAction::Reply(GOOD_REPLY)));
    let complete = known(&[backend_port]);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let complete = complete.clone();
            spawn(move || serve_endless_watch(stream, &complete));
        }
    });
    let fixture = Fixture::start_with_discovery(Journal::default(), endless, &[backend_port], &[]);
    let mut client = fixture.client();
    let slowest = slowest_answer(&mut client, FIRST_REQUEST_ID, FLOOD_DURATION);
    assert!(slowest <= LATEST_ANSWER, "an answer took {slowest:?}");
}

/// Answers a request for the list, and sends empty lines without end to a watch.
fn serve_endless_watch(mut stream: TcpStream, list: &str) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|count| count > 0) {
        head.push(byte[0]);
    }
    if !head.starts_with(b"GET /api/targets?watch=1") {
        let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
        return;
    }
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let chunk = format!("{:x}\r\n{}\r\n", 1000, "\n".repeat(1000)).repeat(64);
    while stream.write_all(chunk.as_bytes()).is_ok() {}
}
