//! Stand-ins of the platform around an ingress, on loopback and the real clock, written from the users' pages: discovery (an
//! agent that answers at once), backends, clients, and the start and end of the ingress's process. Blocking threads, no
//! dependencies.

use std::fs;
use std::io::{Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    /// Of the C library, which the standard library is linked with.
    fn prctl(option: i32, a: u64, b: u64, c: u64, d: u64) -> i32;
    fn listen(socket: i32, backlog: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn bind(socket: i32, address: *const u8, length: u32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
}
const AF_INET: i32 = 2;
const SOCK_STREAM_CLOEXEC: i32 = 0o2000001;
const SOL_SOCKET: i32 = 1;
const SO_REUSEADDR: i32 = 2;
const SO_REUSEPORT: i32 = 15;
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// What was sent, answered and run, with the seconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { start: Instant::now(), lines: Arc::default() }
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.4}  {}", self.now(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &Path) {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        fs::write(path, text).unwrap();
    }
}

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Whether the disruption is played (`TROUBLE` is not 0).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// The loopback address of this run's ingresses. Runs at the same time have different ones, so that a port that is free in one of
/// them is not taken by another before the ingress listens.
fn own_loopback() -> IpAddr {
    let process = std::process::id();
    IpAddr::from([127, 100 + (process / 250 % 100) as u8, 1 + (process % 250) as u8, 1])
}

/// An address for an ingress that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind((own_loopback(), 0)).unwrap().local_addr().unwrap()
}

/// The processes that the case has started and not ended.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A case: its record, a temporary folder, and how it ends.
pub struct Case {
    pub record: Record,
    pub temp: PathBuf,
    folder: PathBuf,
}

impl Case {
    /// The first argument is the folder of the case. The working folder is the repository's root.
    pub fn begin() -> Case {
        let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
        let temp = std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&temp).unwrap();
        let record = Record::new();
        thread::spawn(|| {
            sleep(110.0);
            for process in PROCESSES.lock().unwrap().iter() {
                let _ = Command::new("kill").args(["-KILL", &process.to_string()]).status();
            }
            println!("could not run: not finished after 110 s");
            std::process::exit(2);
        });
        record.line(if trouble() { "with the disruption" } else { "without the disruption (TROUBLE=0)" });
        Case { record, temp, folder }
    }

    /// Ends the case. `broken`: what broke the rule; `invalid`: why the case could not run.
    pub fn end(self, mut ingresses: Vec<Ingress>, broken: &[String], invalid: &[String]) -> ! {
        for ingress in &mut ingresses {
            ingress.kill();
        }
        for text in invalid {
            self.record.line(format!("COULD NOT RUN: {text}"));
        }
        for text in broken.iter().take(400) {
            self.record.line(format!("RULE BROKEN: {text}"));
        }
        let code = if !invalid.is_empty() { 2 } else if broken.is_empty() { 0 } else { 1 };
        self.record.line(format!("breaks: {}, exit code {code}", broken.len()));
        self.record.write(&self.folder.join("record.txt"));
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.temp);
        } else {
            eprintln!("{}", self.temp.display());
        }
        println!("breaks: {}, exit code {code}", broken.len());
        std::process::exit(code)
    }
}

// ---------------------------------------------------------------- RESP2

/// A value read from a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Simple(String),
    Error(String),
    Integer(i64),
    Bulk(Option<Vec<u8>>),
    Array(Vec<Value>),
}

/// A stream with a read buffer.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
    at: usize,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new(), at: 0 }
    }

    fn fill(&mut self) -> std::io::Result<()> {
        if self.at > 0 {
            self.buffer.drain(..self.at);
            self.at = 0;
        }
        let mut bytes = [0; 32 << 10];
        let count = self.stream.read(&mut bytes)?;
        if count == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(())
    }

    pub fn line(&mut self) -> std::io::Result<String> {
        loop {
            let rest = &self.buffer[self.at..];
            if let Some(end) = rest.windows(2).position(|pair| pair == b"\r\n") {
                let text = String::from_utf8_lossy(&rest[..end]).into_owned();
                self.at += end + 2;
                return Ok(text);
            }
            self.fill()?;
        }
    }

    fn bytes(&mut self, count: usize) -> std::io::Result<Vec<u8>> {
        while self.buffer.len() - self.at < count + 2 {
            self.fill()?;
        }
        let bytes = self.buffer[self.at..self.at + count].to_vec();
        self.at += count + 2;
        Ok(bytes)
    }

    pub fn value(&mut self) -> std::io::Result<Value> {
        let line = self.line()?;
        let (kind, rest) = line.split_at(1.min(line.len()));
        let number = || rest.parse::<i64>().map_err(|_| std::io::ErrorKind::InvalidData);
        Ok(match kind {
            "+" => Value::Simple(rest.to_owned()),
            "-" => Value::Error(rest.to_owned()),
            ":" => Value::Integer(number()?),
            "$" => match number()? {
                length if length < 0 => Value::Bulk(None),
                length => Value::Bulk(Some(self.bytes(length as usize)?)),
            },
            "*" => {
                let mut items = Vec::new();
                for _ in 0..number()?.max(0) {
                    items.push(self.value()?);
                }
                Value::Array(items)
            }
            _ => return Err(std::io::ErrorKind::InvalidData.into()),
        })
    }

    /// Reads a command: an array of bulk strings.
    pub fn command(&mut self) -> std::io::Result<Vec<Vec<u8>>> {
        match self.value()? {
            Value::Array(items) => Ok(items
                .into_iter()
                .map(|item| match item {
                    Value::Bulk(Some(bytes)) => bytes,
                    _ => Vec::new(),
                })
                .collect()),
            _ => Err(std::io::ErrorKind::InvalidData.into()),
        }
    }
}

pub fn encode(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
    out
}

// ---------------------------------------------------------------- backends

/// A command as a backend received it.
#[derive(Clone, Debug)]
pub struct Arrived {
    /// Seconds since the start of the case at which the last byte arrived.
    pub at: f64,
    pub backend: String,
    pub id: String,
    /// The attribute list.
    pub list: String,
    /// The number of the connection.
    pub connection: u64,
}

impl Arrived {
    pub fn attribute(&self, name: &str) -> Option<&str> {
        self.list.split(',').find_map(|item| item.strip_prefix(name)?.strip_prefix('='))
    }
}

/// What a backend does with a command.
pub enum Reaction {
    /// Works for so many seconds, then serves it.
    Serve(f64),
    /// Never answers.
    Hang,
    /// Works for so many seconds, then writes these bytes.
    Raw(f64, Vec<u8>),
}

pub type Script = Arc<dyn Fn(&Arrived) -> Reaction + Send + Sync>;

/// A backend that begins a command when its last byte has arrived, and answers the commands of a connection in order.
#[derive(Clone)]
pub struct Backend {
    pub name: String,
    pub address: SocketAddr,
    pub arrived: Arc<Mutex<Vec<Arrived>>>,
    listener: Arc<TcpListener>,
    /// Connections that fill the queue of the listener while it is late.
    filling: Arc<Mutex<Vec<TcpStream>>>,
    late: Arc<AtomicBool>,
}

impl Backend {
    pub fn start(record: &Record, name: &str, script: Script) -> Backend {
        let listener = Arc::new(TcpListener::bind("127.0.0.1:0").unwrap());
        // SAFETY: an option of an open socket. See `bring_up`.
        unsafe { setsockopt(listener.as_raw_fd(), SOL_SOCKET, SO_REUSEPORT, &1, 4) };
        let backend = Backend {
            name: name.to_owned(),
            address: listener.local_addr().unwrap(),
            arrived: Arc::default(),
            listener: listener.clone(),
            filling: Arc::default(),
            late: Arc::default(),
        };
        let (record, served) = (record.clone(), backend.clone());
        let connections = AtomicU64::new(0);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                while served.late.load(Ordering::Relaxed) {
                    sleep(0.001);
                }
                let connection = connections.fetch_add(1, Ordering::Relaxed);
                let (record, backend, script) = (record.clone(), served.clone(), script.clone());
                thread::spawn(move || {
                    let _ = backend.serve(&record, stream, connection, &script);
                });
            }
        });
        backend
    }

    /// New connections come up late: the queue of connections that nobody has taken is full, so the system drops the first
    /// packet of each. They come up with [`Backend::bring_up`]. Returns whether the queue is full.
    pub fn come_up_late(&self) -> bool {
        self.late.store(true, Ordering::Relaxed);
        // SAFETY: the socket listens already; this changes the length of its queue.
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        let mut filling = self.filling.lock().unwrap();
        for _ in 0..10 {
            match TcpStream::connect_timeout(&self.address, Duration::from_millis(200)) {
                Ok(stream) => filling.push(stream),
                // The first one may have been dropped before the thread of the listener took the one before it.
                Err(_) if filling.len() < 2 => {}
                Err(_) => return true,
            }
        }
        false
    }

    /// The connections that have been begun since [`Backend::come_up_late`] come up now, and new ones come up at once again.
    /// Returns how many came up.
    pub fn bring_up(&self, record: &Record, script: &Script) -> usize {
        let begun = self.begun_connections();
        let mut count = 0;
        for port in &begun {
            match open_towards(self.address, *port) {
                Ok(stream) => {
                    count += 1;
                    let (record, backend, script, number) = (record.clone(), self.clone(), script.clone(), 1000 + count as u64);
                    thread::spawn(move || {
                        let _ = backend.serve(&record, stream, number, &script);
                    });
                }
                Err(error) => record.line(format!("a connection to {} does not come up: {error}", self.name)),
            }
        }
        self.late.store(false, Ordering::Relaxed);
        self.filling.lock().unwrap().clear();
        // SAFETY: as above.
        unsafe { listen(self.listener.as_raw_fd(), 128) };
        count
    }

    /// The ports of the connections to this backend whose first packet has got no answer (state SYN_SENT).
    fn begun_connections(&self) -> Vec<u16> {
        let here = format!("0100007F:{:04X}", self.address.port());
        let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let fields = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        let begun = fields.filter(|fields| fields.len() > 3 && fields[2] == here && fields[3] == "02");
        begun.filter_map(|fields| u16::from_str_radix(fields[1].split(':').nth(1)?, 16).ok()).collect()
    }

    fn serve(&self, record: &Record, mut stream: TcpStream, connection: u64, script: &Script) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream.try_clone()?);
        loop {
            let words = reader.command()?;
            let text = |index: usize| words.get(index).map_or(String::new(), |word| String::from_utf8_lossy(word).into_owned());
            let arrived = Arrived {
                at: record.now(),
                backend: self.name.clone(),
                id: text(2),
                list: text(3),
                connection,
            };
            record.line(format!("{} connection {connection} runs {} {}", self.name, arrived.id, arrived.list));
            self.arrived.lock().unwrap().push(arrived.clone());
            match script(&arrived) {
                Reaction::Serve(work) => {
                    sleep(work);
                    let value = format!("{}:{}", self.name, arrived.id);
                    let reply = format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$7\r\ndepth=0\r\n", value.len());
                    stream.write_all(reply.as_bytes())?;
                }
                Reaction::Raw(work, bytes) => {
                    sleep(work);
                    stream.write_all(&bytes)?;
                }
                Reaction::Hang => loop {
                    // Until the ingress closes the connection.
                    let mut byte = [0; 64];
                    if stream.read(&mut byte)? == 0 {
                        return Ok(());
                    }
                },
            }
        }
    }
}

/// Answers a connection from `port` of 127.0.0.1 to `address` that waits for an answer: opens it from this side too.
fn open_towards(address: SocketAddr, port: u16) -> std::io::Result<TcpStream> {
    let encode = |port: u16| {
        let mut bytes = [0u8; 16];
        bytes[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
        bytes[2..4].copy_from_slice(&port.to_be_bytes());
        bytes[4..8].copy_from_slice(&[127, 0, 0, 1]);
        bytes
    };
    let (here, there) = (encode(address.port()), encode(port));
    // SAFETY: calls of the system on a new socket, which the stream owns; the addresses are 16 bytes long.
    unsafe {
        let number = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
        if number < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(number);
        for option in [SO_REUSEADDR, SO_REUSEPORT] {
            setsockopt(number, SOL_SOCKET, option, &1, 4);
        }
        if bind(number, here.as_ptr(), 16) != 0 || connect(number, there.as_ptr(), 16) != 0 {
            return Err(std::io::Error::last_os_error());
        }
        Ok(stream)
    }
}

// ---------------------------------------------------------------- discovery

#[derive(Clone, Debug)]
pub struct Host {
    pub name: String,
    pub dial: SocketAddr,
    pub zone: String,
    pub cell: u16,
    pub health: String,
    pub born_ms: u64,
}

impl Host {
    pub fn ready(backend: &Backend, zone: &str, cell: u16) -> Host {
        Host {
            name: backend.name.clone(),
            dial: backend.address,
            zone: zone.to_owned(),
            cell,
            health: "ready".to_owned(),
            born_ms: 0,
        }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"std","block":{},"health":"{}","share":1.0,"born_ms":{}}}"#,
            self.name, self.dial, self.zone, self.cell, self.health, self.born_ms
        )
    }
}

pub fn list_json(seq: u64, whole: bool, hosts: &[Host]) -> String {
    let hosts: Vec<String> = hosts.iter().map(Host::json).collect();
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

struct Told {
    seq: u64,
    hosts: Vec<Host>,
    /// The changes after each version.
    changes: Vec<(u64, Vec<Host>)>,
}

/// Discovery, behind one agent or more: an agent answers at once, and a watch gets each change at once and an empty line every
/// 2 s.
#[derive(Clone)]
pub struct Discovery {
    /// The address of the first agent.
    pub address: SocketAddr,
    told: Arc<(Mutex<Told>, Condvar)>,
    record: Record,
    /// Milliseconds after which each new call is answered.
    pub slow_ms: Arc<AtomicU64>,
    agents: Arc<Mutex<Vec<Agent>>>,
}

/// An address of discovery.
struct Agent {
    address: SocketAddr,
    retired: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Discovery {
    pub fn start(record: &Record, seq: u64, hosts: Vec<Host>) -> Discovery {
        let mut discovery = Discovery {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            told: Arc::new((Mutex::new(Told { seq, hosts, changes: Vec::new() }), Condvar::new())),
            record: record.clone(),
            slow_ms: Arc::default(),
            agents: Arc::default(),
        };
        discovery.address = discovery.open();
        discovery
    }

    /// Opens a further address of discovery.
    pub fn open(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let agent = Agent { address, retired: Arc::default(), open: Arc::default() };
        let (retired, open, discovery) = (agent.retired.clone(), agent.open.clone(), self.clone());
        self.agents.lock().unwrap().push(agent);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if retired.load(Ordering::Relaxed) {
                    return; // takes no new connection
                }
                open.lock().unwrap().push(stream.try_clone().unwrap());
                let discovery = discovery.clone();
                thread::spawn(move || {
                    let _ = discovery.serve(stream);
                });
            }
        });
        address
    }

    /// The agent at this address takes no new connection, and closes the open ones after 1.5 s.
    pub fn retire(&self, address: SocketAddr) {
        let agents = self.agents.lock().unwrap();
        let Some(agent) = agents.iter().find(|agent| agent.address == address) else { return };
        agent.retired.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(address); // wakes the listener, which is closed then
        let open = agent.open.clone();
        thread::spawn(move || {
            sleep(1.5);
            for stream in open.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
    }

    pub fn list(&self) -> String {
        let told = self.told.0.lock().unwrap();
        list_json(told.seq, true, &told.hosts)
    }

    /// Changes hosts: each replaces the one of its name; one that is `gone` is taken away.
    pub fn change(&self, changed: Vec<Host>) {
        let (told, waits) = &*self.told;
        let mut told = told.lock().unwrap();
        told.seq += 1;
        for host in &changed {
            told.hosts.retain(|known| known.name != host.name);
            if host.health != "gone" {
                told.hosts.push(host.clone());
            }
            self.record.line(format!("discovery tells {} {} {}", told.seq, host.name, host.health));
        }
        let seq = told.seq;
        told.changes.push((seq, changed));
        waits.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream.try_clone()?);
        let request = reader.line()?;
        while !reader.line()?.is_empty() {}
        self.record.line(format!("discovery is asked at {}: {request}", stream.local_addr()?));
        thread::sleep(Duration::from_millis(self.slow_ms.load(Ordering::Relaxed)));
        let Some(from) = request.split("from=").nth(1).and_then(|rest| rest.split(' ').next()?.parse::<u64>().ok()) else {
            let list = self.list();
            let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
            return stream.write_all(format!("{head}Content-Length: {}\r\n\r\n{list}", list.len()).as_bytes());
        };
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut seen = from;
        loop {
            let (told, waits) = &*self.told;
            let mut guard = told.lock().unwrap();
            if guard.seq <= seen {
                guard = waits.wait_timeout(guard, Duration::from_secs(2)).unwrap().0;
            }
            let mut lines: Vec<String> =
                guard.changes.iter().filter(|(seq, _)| *seq > seen).map(|(seq, hosts)| list_json(*seq, false, hosts)).collect();
            seen = guard.seq.max(seen);
            drop(guard);
            if lines.is_empty() {
                lines.push(String::new());
            }
            for line in lines {
                stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())?;
            }
        }
    }
}

// ---------------------------------------------------------------- ingresses

/// The configuration of an ingress. The settings are those of the users' pages for a small deployment.
#[derive(Clone)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub memory_mb: u64,
    pub sockets: u64,
    pub peers: Vec<SocketAddr>,
    pub number: usize,
    pub known: String,
    /// Settings that differ from the usual ones: path and JSON value.
    pub grades: String,
    pub contracts: String,
    pub second_copies: bool,
    pub cancelling: bool,
    pub most_tries: u64,
    pub speaks: bool,
    pub cold_from: f64,
    pub cold_us: u64,
    pub drain_grace_us: u64,
    pub connect_timeout_us: u64,
}

pub fn grade(name: &str, effect: &str, objective: u64, give_up: u64, window: u64, worth: f64) -> String {
    format!(
        r#"{{"name":"{name}","effect":"{effect}","group":"cell","objective_us":{objective},"give_up_us":{give_up},"worth":{worth:.1},"late_worth":0.2,"window_us":{window},"stream":false}}"#
    )
}

/// The classes of the users' third deployment: a quick one that is safe to repeat, a keyed one, and one that must never run twice.
pub fn quick_grades() -> String {
    [
        grade("quote", "repeatable", 400_000, 1_000_000, 0, 2.0),
        grade("save-scenario", "by_key", 1_200_000, 3_000_000, 3_000_000, 2.0),
        grade("lender-referral", "once", 2_000_000, 8_000_000, 0, 3.0),
    ]
    .join(",")
}

/// The two classes of the users' first deployment, and a class that must never run twice.
pub fn usual_grades() -> String {
    [
        grade("sig-check", "repeatable", 1_000_000, 4_000_000, 0, 1.0),
        grade("report-upload", "by_key", 2_500_000, 7_500_000, 5_000_000, 3.0),
        grade("referral", "once", 2_000_000, 4_000_000, 0, 3.0),
    ]
    .join(",")
}

pub fn contract(name: &str, rate: f64, burst: f64, ceiling_rate: f64, ceiling_burst: f64, slack: f64) -> String {
    format!(
        r#"{{"name":"{name}","quota_rate":{rate:.3},"burst":{burst:.3},"max_out":0,"never_over_rate":{ceiling_rate:.3},"ceiling_burst":{ceiling_burst:.3},"ceiling_slack":{slack:.3},"worth_factor":1.0,"over_worth":0.0,"beyond_costs":0.8}}"#
    )
}

impl Config {
    pub fn new(number: usize, peers: &[SocketAddr], discovery: &Discovery) -> Config {
        Config {
            name: format!("n{number}"),
            listen: free_address(),
            discovery: discovery.address,
            seed: 0x8c1f_30d2_7a5b_e964 ^ ((number as u64) << 8) ^ (unix_ms() << 20),
            memory_mb: 64,
            sockets: 512,
            peers: peers.to_vec(),
            number,
            known: discovery.list(),
            grades: usual_grades(),
            contracts: [contract("starter", 1.6, 7.0, 0.0, 0.0, 0.0), contract("enterprise", 25.0, 60.0, 0.0, 0.0, 0.0)].join(","),
            second_copies: true,
            cancelling: true,
            most_tries: 3,
            speaks: true,
            cold_from: 0.19,
            cold_us: 18_000_000,
            drain_grace_us: 2_000_000,
            connect_timeout_us: 250_000,
        }
    }

    pub fn json(&self) -> String {
        let peers: Vec<String> = self.peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        let settings = format!(
            r#"{{"n_instances":{},"slot_no":{},"zone":0,"tick_us":4000,"tier":0,"layers":["intake-fleet"],"domain_type":"gate",
"zones":["bldg-a","bldg-b","bldg-c"],"skus":["std"],"clients":{{"marks_retry":false}},
"grades":[{}],
"contracts":[{}],
"limits":{{"most_tries":{},"second_copies":{},"cancelling":{},"may_probe":false,"peers":{},"retry_after":true,"max_retry_after_us":2000000,
"max_open":20000,"max_streams":100,"keepalive_us":15000000,"connect_timeout_us":{},"cpu_us_per_request":0.0,"cpu_us_per_s":400000}},
"family_info":{{"peer_in_per_s":100.0,"has_counter":false,"count_wait_us":0,"counter_price":0.0,"meter_period_us":0,"post_paid":false,"most_units":4}},
"rules":{{"answer_slack_us":16000,"drain_grace_us":{},"cold_from":{},"cold_us":{},"overload_factor":3.0,"fall_us":2000000,"must_ask_in_us":10000000}},
"objective_mix":{{"whole":0.65,"worst_class":0.0,"worst_tenant":0.15,"worst_window":0.2}},
"membership_mode":"push","weights":"rough","reporting":{{"how":"answers","fields":["depth"]}}}}"#,
            self.peers.len(),
            self.number,
            self.grades,
            self.contracts,
            self.most_tries,
            self.second_copies,
            self.cancelling,
            self.speaks,
            self.connect_timeout_us,
            self.drain_grace_us,
            self.cold_from,
            self.cold_us,
        );
        let own = self.peers[self.number];
        format!(
            r#"{{"name":"{}","listen":"{}","discovery":"{}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
"peer_listen":"{own}","peers":[{}],"known":{},"settings":{settings}}}"#,
            self.name,
            self.listen,
            self.discovery,
            self.seed,
            self.memory_mb,
            self.sockets,
            peers.join(","),
            self.known,
        )
    }
}

/// Free loopback addresses for the messages between `count` ingresses.
pub fn peer_addresses(count: usize) -> Vec<SocketAddr> {
    let sockets: Vec<_> = (0..count).map(|_| std::net::UdpSocket::bind((own_loopback(), 0)).unwrap()).collect();
    sockets.iter().map(|socket| socket.local_addr().unwrap()).collect()
}

/// A process of the ingress, started as the deploy file's `run` does.
pub struct Ingress {
    pub config: Config,
    child: Child,
    config_path: PathBuf,
}

impl Ingress {
    /// Starts it and waits until it has replied to PING.
    pub fn start(case: &Case, config: Config) -> Result<Ingress, String> {
        let config_path = case.temp.join(format!("{}.json", config.name));
        fs::write(&config_path, config.json()).map_err(|error| error.to_string())?;
        let log = fs::OpenOptions::new().create(true).append(true).open(case.temp.join(format!("{}.log", config.name))).unwrap();
        let mut command = Command::new("/bin/sh");
        // SAFETY: only a system call, between fork and exec. The ingress is killed when the case ends, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = command
            .args(["-c", "exec target/release/chalkgap platform"])
            .env("RELAY_CONFIG", &config_path)
            .env("RELAY_NAME", &config.name)
            .env("RELAY_LISTEN", config.listen.to_string())
            .env("RELAY_DISCOVERY", config.discovery.to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .map_err(|error| error.to_string())?;
        PROCESSES.lock().unwrap().push(child.id());
        case.record.line(format!("{} started", config.name));
        let mut ingress = Ingress { config, child, config_path };
        for _ in 0..300 {
            if let Ok(mut client) = Client::connect(ingress.config.listen) {
                client.stream.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
                if client.send(&encode(&[b"PING"])).is_ok() && client.reader.value().is_ok() {
                    case.record.line(format!("{} ready", ingress.config.name));
                    return Ok(ingress);
                }
            }
            if let Ok(Some(status)) = ingress.child.try_wait() {
                return Err(format!("{} ended at its start: {status}", ingress.config.name));
            }
            sleep(0.05);
        }
        ingress.kill();
        Err(format!("{} was not ready within 15 s", ingress.config.name))
    }

    pub fn process(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
    }

    /// Replaces the file of the configuration and sends SIGHUP.
    pub fn reload(&mut self, config: Config) {
        let new = self.config_path.with_extension("new");
        fs::write(&new, config.json()).unwrap();
        fs::rename(&new, &self.config_path).unwrap();
        self.config = config;
        self.signal("HUP");
    }

    /// The exit status, if the process has ended.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// A field of /proc/PID/status in kB, for example `VmRSS`.
    pub fn memory_kb(&self, field: &str) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with(&format!("{field}:")))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    pub fn kill(&mut self) {
        let process = self.child.id();
        PROCESSES.lock().unwrap().retain(|started| *started != process);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Ingress {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---------------------------------------------------------------- clients

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new request id, 16 hexadecimal digits.
pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// A connection of a client.
pub struct Client {
    pub stream: TcpStream,
    pub reader: Reader,
}

impl Client {
    pub fn connect(address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let reader = Reader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// A request of a keyed class, with its key.
pub fn submit(customer: u64, id: &str, plan: &str, class: &str, d: u64, spread: usize, first: usize) -> Vec<u8> {
    let list = format!("c={class},t={plan},d={d},k={id},units=1,spread={spread},first={first}");
    encode(&[b"SVC.SUBMIT", format!("{customer:016x}").as_bytes(), id.as_bytes(), list.as_bytes(), b"body"])
}

/// A request of a class that is safe to repeat.
pub fn query(customer: u64, id: &str, plan: &str, class: &str, d: u64, spread: usize, first: usize) -> Vec<u8> {
    let list = format!("c={class},t={plan},d={d},units=1,spread={spread},first={first}");
    encode(&[b"SVC.QUERY", format!("{customer:016x}").as_bytes(), id.as_bytes(), list.as_bytes()])
}
