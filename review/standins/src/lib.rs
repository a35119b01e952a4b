//! Stand-ins for the review cases: backends, discovery, clients and the platform that starts the ingresses. Standard library
//! only. They follow the platform's pages (protocol and deployment); where a page is silent they do what a sound party does.

use std::collections::HashMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Time in seconds since 1970.
pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---- the record of a run ----

/// `record.txt`: one line for each event, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    begin: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = File::create(path).unwrap_or_else(|error| unable(&format!("{path}: {error}")));
        Record { begin: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> f64 {
        self.begin.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:10.1} ms  {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Ends the run with 2: the case could not run.
pub fn unable(why: &str) -> ! {
    eprintln!("case could not run: {why}");
    Kids::end_all();
    std::process::exit(2)
}

/// Ends the run with `code`, after all started processes were ended.
pub fn finish(code: i32) -> ! {
    Kids::end_all();
    std::process::exit(code)
}

// ---- processes ----

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// `prctl`: the signal that a process gets when the thread that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;
pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

static KIDS: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// The processes that this run has started and that may still run.
struct Kids;

impl Kids {
    fn end_all() {
        for pid in KIDS.lock().unwrap().drain(..) {
            // SAFETY: `kill` has no memory effects; the pid is a child that has not been waited for.
            unsafe { kill(pid, SIGKILL) };
        }
    }
}

/// One ingress: a process started with the deploy file's `run`.
pub struct Ingress {
    pub name: String,
    pub address: SocketAddr,
    pub child: Child,
    pub log: PathBuf,
    pub config: PathBuf,
}

/// The `run` command of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml")
        .unwrap_or_else(|error| unable(&format!("deploy/balancer.toml: {error}; start from the repository's root")));
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")).unwrap_or_else(|| unable("no run line"));
    line.trim_end().trim_end_matches('"').to_owned()
}

impl Ingress {
    /// Starts an ingress with this configuration and waits until it answers `PING`.
    pub fn start(record: &Record, folder: &Path, name: &str, address: SocketAddr, config: &str) -> Ingress {
        let config_path = folder.join(format!("{name}.json"));
        std::fs::write(&config_path, config).unwrap();
        let log = folder.join(format!("{name}.log"));
        let stderr = std::fs::OpenOptions::new().create(true).append(true).open(&log).unwrap();
        let private = folder.join(format!("{name}.tmp"));
        let _ = std::fs::create_dir_all(&private);
        let mut command = Command::new("/bin/sh");
        // SAFETY: `prctl` with this option has no memory effects. The ingress is ended if this run is cut short.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            })
        };
        let child = command
            .arg("-c")
            .arg(run_command())
            .env("RELAY_CONFIG", &config_path)
            .env("RELAY_NAME", name)
            .env("RELAY_LISTEN", address.to_string())
            .env("TMPDIR", &private)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(stderr)
            .spawn()
            .unwrap_or_else(|error| unable(&format!("ingress: {error}")));
        KIDS.lock().unwrap().push(child.id() as i32);
        record.line(&format!("{name}: started as process {}, listens on {address}", child.id()));
        let mut ingress = Ingress { name: name.to_owned(), address, child, log, config: config_path };
        let until = Instant::now() + ms(10_000);
        while Instant::now() < until {
            if let Ok(Some(status)) = ingress.child.try_wait() {
                let log = std::fs::read_to_string(&ingress.log).unwrap_or_default();
                unable(&format!("{name} ended at its start: {status}: {log}"));
            }
            if let Some(mut client) = Client::connect(address) {
                client.send(&[b"PING"]);
                if client.reply_within(ms(1000)) == Some(Reply::Simple("PONG".into())) {
                    record.line(&format!("{name}: ready"));
                    return ingress;
                }
            }
            std::thread::sleep(ms(20));
        }
        unable(&format!("{name} is not ready"))
    }

    pub fn signal(&self, record: &Record, signal: i32, name: &str) {
        record.line(&format!("{}: {name}", self.name));
        // SAFETY: as above.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Waits for the process to end; `None` if it still runs then.
    pub fn wait_end(&mut self, within: Duration) -> Option<String> {
        let until = Instant::now() + within;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                let pid = self.child.id() as i32;
                KIDS.lock().unwrap().retain(|kid| *kid != pid);
                return Some(status.to_string());
            }
            if Instant::now() >= until {
                return None;
            }
            std::thread::sleep(ms(5));
        }
    }

    /// Resident memory now and at most, in kB.
    pub fn memory_kb(&self) -> (u64, u64) {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|line| line.trim().split(' ').next().and_then(|n| n.parse().ok())).unwrap_or(0)
        };
        (field("VmRSS:"), field("VmHWM:"))
    }
}

impl Drop for Ingress {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.child.id() as i32;
        KIDS.lock().unwrap().retain(|kid| *kid != pid);
    }
}

/// A temporary folder, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Folder {
        let path = std::env::temp_dir().join(format!("chalkgap-review-{}-{}", std::process::id(), unix_millis()));
        std::fs::create_dir_all(&path).unwrap_or_else(|error| unable(&format!("temporary folder: {error}")));
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A free loopback address for a TCP listener and a datagram socket.
pub fn free_address() -> SocketAddr {
    for _ in 0..100 {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap_or_else(|e| unable(&e.to_string()));
        let address = listener.local_addr().unwrap();
        if std::net::UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    unable("no free address")
}

// ---- the protocol ----

#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Simple(String),
    Error(String),
    Bulk(Vec<u8>),
    Other,
    Closed,
}

impl Reply {
    pub fn text(&self) -> String {
        match self {
            Reply::Simple(text) => format!("+{text}"),
            Reply::Error(text) => format!("-{text}"),
            Reply::Bulk(bytes) if bytes.len() <= 80 => format!("value {}", String::from_utf8_lossy(bytes)),
            Reply::Bulk(bytes) => format!("value of {} bytes", bytes.len()),
            Reply::Other => "something else".into(),
            Reply::Closed => "closed".into(),
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

fn line_end(buffer: &[u8], from: usize) -> Option<usize> {
    buffer[from..].windows(2).position(|pair| pair == b"\r\n").map(|at| from + at)
}

fn number(buffer: &[u8], from: usize) -> Option<(i64, usize)> {
    let end = line_end(buffer, from)?;
    let text = std::str::from_utf8(&buffer[from..end]).ok()?;
    Some((text.parse().ok()?, end + 2))
}

/// Takes a command off the front of a buffer.
pub fn take_command(buffer: &mut Vec<u8>) -> Option<Vec<Vec<u8>>> {
    if buffer.first() != Some(&b'*') {
        return None;
    }
    let (count, mut at) = number(buffer, 1)?;
    let mut words = Vec::new();
    for _ in 0..count {
        if *buffer.get(at)? != b'$' {
            return None;
        }
        let (length, start) = number(buffer, at + 1)?;
        let end = start + length as usize;
        if buffer.len() < end + 2 {
            return None;
        }
        words.push(buffer[start..end].to_vec());
        at = end + 2;
    }
    buffer.drain(..at);
    Some(words)
}

fn take_reply(buffer: &mut Vec<u8>) -> Option<Reply> {
    let kind = *buffer.first()?;
    let end = line_end(buffer, 1)?;
    let text = String::from_utf8_lossy(&buffer[1..end]).into_owned();
    let (reply, used) = match kind {
        b'+' => (Reply::Simple(text), end + 2),
        b'-' => (Reply::Error(text), end + 2),
        b'$' => {
            let length: i64 = text.parse().unwrap_or(-1);
            if length < 0 {
                (Reply::Other, end + 2)
            } else {
                let stop = end + 2 + length as usize;
                if buffer.len() < stop + 2 {
                    return None;
                }
                (Reply::Bulk(buffer[end + 2..stop].to_vec()), stop + 2)
            }
        }
        _ => (Reply::Other, end + 2),
    };
    buffer.drain(..used);
    Some(reply)
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, ms(1000)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Client { stream, buffer: Vec::new() })
    }

    /// Sends a command. Returns whether the system took all of it.
    pub fn send(&mut self, words: &[&[u8]]) -> bool {
        self.write(&encode(words))
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// The next reply; `Closed` at the connection's end, `None` if none comes in time.
    pub fn reply_within(&mut self, within: Duration) -> Option<Reply> {
        let until = Instant::now() + within;
        let mut chunk = vec![0; 65536];
        loop {
            if let Some(reply) = take_reply(&mut self.buffer) {
                return Some(reply);
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            let _ = self.stream.set_read_timeout(Some(left.max(ms(1))));
            match self.stream.read(&mut chunk) {
                Ok(0) => return Some(Reply::Closed),
                Ok(count) => self.buffer.extend_from_slice(&chunk[..count]),
                Err(error) => match error.kind() {
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => return None,
                    std::io::ErrorKind::Interrupted => {}
                    _ => return Some(Reply::Closed),
                },
            }
        }
    }
}

// ---- backends ----

/// A command that arrived whole at a backend.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: f64,
    pub backend: usize,
    pub customer: String,
    pub id: String,
    pub attributes: HashMap<String, String>,
    pub body_bytes: usize,
}

impl Arrival {
    pub fn attribute(&self, name: &str) -> &str {
        self.attributes.get(name).map_or("", String::as_str)
    }
}

/// What a backend does with a command.
pub enum Work {
    /// Answers after this time with this value.
    Serve(Duration, Vec<u8>),
    /// Writes these bytes after this time.
    Raw(Duration, Vec<u8>),
    /// Never answers; the connection stays open until the other side ends it.
    Hang,
}

/// A backend's answer: the value, no figure on use, the load report.
pub fn served(value: &[u8]) -> Vec<u8> {
    let mut out = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n$-1\r\n$7\r\ndepth=0\r\n");
    out
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

pub struct Backend {
    pub number: usize,
    pub address: SocketAddr,
}

impl Backend {
    /// Starts a backend that does `work` on each command.
    pub fn start(
        record: &Record,
        number: usize,
        arrivals: Arrivals,
        work: impl Fn(&Arrival) -> Work + Send + Sync + 'static,
    ) -> Backend {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap_or_else(|e| unable(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let work = Arc::new(work);
        let record = record.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, arrivals, work) = (record.clone(), arrivals.clone(), work.clone());
                let _ = std::thread::Builder::new()
                    .stack_size(256 << 10)
                    .spawn(move || serve_backend(stream, &record, number, &arrivals, &*work));
            }
        });
        Backend { number, address }
    }

    /// The backend's entry in a list.
    pub fn entry(&self, zone: usize, cell: usize, health: &str, born_ms: u64) -> String {
        format!(
            r#"{{"host":"s-{:08x}","dial":"{}","site":"bldg-{}","class":"std-node","block":{cell},"health":"{health}","share":1.0,"born_ms":{born_ms}}}"#,
            0x5be2_a000 + self.number,
            self.address,
            ["a", "b", "c"][zone]
        )
    }
}

fn serve_backend(
    mut stream: TcpStream,
    record: &Record,
    number: usize,
    arrivals: &Arrivals,
    work: &dyn Fn(&Arrival) -> Work,
) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    let mut chunk = vec![0; 65536];
    loop {
        while let Some(words) = take_command(&mut buffer) {
            let text = |index: usize| {
                words.get(index).map(|word| String::from_utf8_lossy(word).into_owned()).unwrap_or_default()
            };
            let attributes = text(3);
            let attributes = attributes.split(',').filter_map(|item| item.split_once('='));
            let arrival = Arrival {
                at_ms: record.now(),
                backend: number,
                customer: text(1),
                id: text(2),
                attributes: attributes.map(|(name, value)| (name.to_owned(), value.to_owned())).collect(),
                body_bytes: words.get(4).map_or(0, Vec::len),
            };
            record.line(&format!("backend {number}: begins {} ({})", arrival.id, text(3)));
            arrivals.lock().unwrap().push(arrival.clone());
            let (after, bytes) = match work(&arrival) {
                Work::Serve(after, value) => (after, served(&value)),
                Work::Raw(after, bytes) => (after, bytes),
                Work::Hang => continue,
            };
            std::thread::sleep(after);
            if stream.write_all(&bytes).is_err() {
                return;
            }
        }
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => buffer.extend_from_slice(&chunk[..count]),
            _ => return,
        }
    }
}

// ---- discovery ----

/// Discovery's agent: the whole list, and watches with an empty line every 2 s.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<DiscoveryState>>,
}

struct DiscoveryState {
    /// How long a call waits for its answer to begin.
    answer_after: Duration,
    record: Option<Record>,
    version: u64,
    hosts: Vec<String>,
    watches: Vec<TcpStream>,
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

impl Discovery {
    pub fn start(version: u64, hosts: Vec<String>) -> Discovery {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap_or_else(|e| unable(&e.to_string()));
        let state = DiscoveryState { answer_after: ms(0), record: None, version, hosts, watches: Vec::new() };
        let discovery = Discovery { address: listener.local_addr().unwrap(), state: Arc::new(Mutex::new(state)) };
        let state = discovery.state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = state.clone();
                std::thread::spawn(move || serve_discovery(stream, &state));
            }
        });
        let state = discovery.state.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(ms(2000));
            state.lock().unwrap().watches.retain_mut(|watch| watch.write_all(chunk("\n").as_bytes()).is_ok());
        });
        discovery
    }

    /// From now on each call is answered after this time; calls and answers are recorded.
    pub fn answer_after(&self, record: &Record, after: Duration) {
        let mut state = self.state.lock().unwrap();
        state.answer_after = after;
        state.record = Some(record.clone());
    }

    pub fn list(version: u64, whole: bool, hosts: &[String]) -> String {
        format!(r#"{{"seq":{version},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
    }

    /// Makes a change: `hosts` is the whole list from now on, `changed` are the entries that watches are told.
    pub fn change(&self, record: &Record, hosts: Vec<String>, changed: &[String]) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        state.hosts = hosts;
        let line = chunk(&format!("{}\n", Discovery::list(state.version, false, changed)));
        record.line(&format!("discovery: {}", line.trim()));
        state.watches.retain_mut(|watch| watch.write_all(line.as_bytes()).is_ok());
    }
}

/// Whether the other side has ended its sending.
fn peer_has_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let ended = matches!(stream.peek(&mut [0]), Ok(0));
    let _ = stream.set_nonblocking(false);
    ended
}

fn serve_discovery(mut stream: TcpStream, state: &Mutex<DiscoveryState>) {
    let _ = stream.set_nodelay(true);
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return,
        }
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let (after, record) = {
        let state = state.lock().unwrap();
        (state.answer_after, state.record.clone())
    };
    let request = head.lines().next().unwrap_or_default().to_owned();
    let note = |text: &str| record.iter().for_each(|record| record.line(&format!("discovery: {request}: {text}")));
    note("call");
    std::thread::sleep(after);
    let mut state = state.lock().unwrap();
    let list = Discovery::list(state.version, true, &state.hosts);
    if head.contains("watch=1") {
        let from = head.split("from=").nth(1).unwrap_or_default();
        let from: u64 = from.chars().take_while(char::is_ascii_digit).collect::<String>().parse().unwrap_or(0);
        let mut out =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
        if from != state.version {
            out.push_str(&chunk(&format!("{list}\n")));
        } else {
            out.push_str(&chunk("\n"));
        }
        if stream.write_all(out.as_bytes()).is_ok() {
            note("answered, watch open");
            state.watches.push(stream);
        }
    } else {
        let head =
            format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", list.len());
        let gone = peer_has_closed(&stream);
        let _ = stream.write_all((head + &list).as_bytes());
        note(&format!(
            "answered with version {}{}",
            state.version,
            if gone { "; the ingress had closed the call" } else { "" }
        ));
        let _ = stream.shutdown(Shutdown::Write);
    }
}

// ---- the configuration ----

/// The settings of a small deployment, in the form of the platform's configuration file.
pub struct Deployment {
    pub ingresses: usize,
    pub memory_mb: u64,
    pub sockets: u64,
    pub hosts: Vec<String>,
    pub version: u64,
    pub discovery: SocketAddr,
    pub listen: Vec<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    /// Replacements in the settings: (old text, new text).
    pub changes: Vec<(String, String)>,
}

impl Deployment {
    pub fn new(ingresses: usize, discovery: SocketAddr, hosts: Vec<String>, version: u64) -> Deployment {
        Deployment {
            ingresses,
            memory_mb: 192,
            sockets: 1024,
            hosts,
            version,
            discovery,
            listen: (0..ingresses).map(|_| free_address()).collect(),
            peers: (0..ingresses).map(|_| free_address()).collect(),
            changes: Vec::new(),
        }
    }

    pub fn change(&mut self, from: &str, to: &str) {
        self.changes.push((from.to_owned(), to.to_owned()));
    }

    pub fn config(&self, number: usize) -> String {
        let plan = |name: &str, rate: f64, burst: f64, out: u32, worth: f64, costs: f64| {
            format!(
                r#"{{"name":"{name}","quota_rate":{rate:?},"burst":{burst:?},"max_out":{out},"never_over_rate":0.0,"ceiling_burst":0.0,"ceiling_slack":0.0,"worth_factor":{worth:?},"over_worth":0.0,"beyond_costs":{costs:?}}}"#
            )
        };
        let plans = [
            plan("starter", 1.6, 7.0, 0, 0.5, 0.8),
            plan("team", 2.5, 12.0, 0, 0.8, 1.2),
            plan("studio", 0.0, 0.0, 30, 1.3, 1.2),
            plan("enterprise", 25.0, 60.0, 0, 1.6, 0.8),
        ];
        let class = |name: &str, effect: &str, group: &str, aim: u64, limit: u64, worth: f64, late: f64| {
            format!(
                r#"{{"name":"{name}","effect":"{effect}","group":"{group}","objective_us":{aim},"give_up_us":{limit},"worth":{worth:?},"late_worth":{late:?},"window_us":5000000,"stream":false}}"#
            )
        };
        let classes = [
            class("sig-check", "repeatable", "all", 1_000_000, 4_000_000, 1.0, 0.0),
            class("report-upload", "by_key", "cell", 2_500_000, 7_500_000, 3.0, 0.2),
        ];
        let mut settings = format!(
            r#"{{"domain_type":"gate","n_instances":{},"slot_no":{number},"zone":{},"tick_us":4000,"zones":["bldg-a","bldg-b","bldg-c"],"skus":["fast-node","std-node"],"grades":[{}],"contracts":[{}],"limits":{{"most_tries":3,"second_copies":true,"cancelling":true,"may_probe":false,"peers":true,"retry_after":true,"max_retry_after_us":2000000,"max_open":20000,"max_streams":100,"keepalive_us":15000000,"connect_timeout_us":250000,"cpu_us_per_request":0.0,"cpu_us_per_s":400000}},"family_info":{{"peer_in_per_s":100.0,"has_counter":false,"meter_period_us":0,"post_paid":false,"most_units":4,"count_wait_us":0,"counter_price":0.0}},"rules":{{"answer_slack_us":16000,"drain_grace_us":2000000,"cold_from":0.19,"cold_us":18000000,"overload_factor":3.0,"fall_us":2000000,"must_ask_in_us":10000000}},"membership_mode":"push","weights":"rough","clients":{{"marks_retry":false}},"tier":0,"reporting":{{"how":"answers","fields":["depth"]}}}}"#,
            self.ingresses,
            number % 3,
            classes.join(","),
            plans.join(","),
        );
        for (from, to) in &self.changes {
            if !settings.contains(from.as_str()) {
                unable(&format!("the settings have no {from}"));
            }
            settings = settings.replace(from.as_str(), to);
        }
        let peers: Vec<String> = self.peers.iter().map(|peer| format!("\"{peer}\"")).collect();
        format!(
            r#"{{"name":"n{number}","listen":"{}","discovery":"{}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"peer_listen":"{}","peers":[{}],"known":{},"settings":{settings}}}"#,
            self.listen[number],
            self.discovery,
            unix_millis() * 7919 + number as u64,
            self.memory_mb,
            self.sockets,
            self.peers[number],
            peers.join(","),
            Discovery::list(self.version, true, &self.hosts),
        )
    }

    pub fn start(&self, record: &Record, folder: &Path) -> Vec<Ingress> {
        let start =
            |number| Ingress::start(record, folder, &format!("n{number}"), self.listen[number], &self.config(number));
        (0..self.ingresses).map(start).collect()
    }
}

static IDS: AtomicU64 = AtomicU64::new(1);

/// A new id, as 16 hexadecimal digits.
pub fn new_id() -> String {
    format!("{:016x}", 0x9b1f_0000_0000_0000 | IDS.fetch_add(1, Ordering::SeqCst))
}

/// Ends the whole run with 2 if it takes longer than this.
pub fn watchdog(limit: Duration) -> Arc<AtomicBool> {
    let done = Arc::new(AtomicBool::new(false));
    let seen = done.clone();
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        if !seen.load(Ordering::SeqCst) {
            unable("it took too long");
        }
    });
    done
}
