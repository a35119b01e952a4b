//! An ingress on loopback whose surroundings the test controls: backends that reply when the test says so, listeners that accept
//! connections late, a blocked system thread. Tests use these to force an order of events on each run.
#![allow(dead_code)] // each test file uses a part of this module

use crate::common::{
    backend, command_arguments, config, discovery, known, BackendAction, Client, Discovery, Journal,
    TEST_TIMEOUT,
};
use chalkgap_platform::{Config, Ingress};
use chalkgap_resp::put_command;
use chalkgap_runtime::system::System;
use chalkgap_runtime::{Runtime, Shared, Stream};
use futures_lite::{AsyncRead, AsyncWrite};
use std::io::{self, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Chooses a backend's action for its n-th command.
pub type Script = Box<dyn Fn(usize, &[String]) -> BackendAction + Send + Sync>;

/// Takes the same action for each command.
pub fn always(action: BackendAction) -> Script {
    Box::new(move |_, _| action)
}

/// Takes one action for the first command and another for all later ones.
pub fn first(first: BackendAction, later: BackendAction) -> Script {
    Box::new(move |n, _| if n == 0 { first } else { later })
}

/// A running ingress with its backends and its discovery service.
pub struct Fixture {
    pub address: SocketAddr,
    pub journal: Journal,
    pub discovery: Discovery,
    /// Set when the ingress has completed its drain.
    pub stopped: Arc<AtomicBool>,
    /// Closing it starts the drain.
    pub drain: async_channel::Sender<()>,
    open: Arc<AtomicUsize>,
    block: async_channel::Sender<Duration>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Fixture {
    /// Starts an ingress with one backend for each script.
    pub fn start(scripts: Vec<Script>) -> Fixture {
        Fixture::start_with_changes(scripts, &[])
    }

    /// Starts the same as [`Fixture::start`], with replacements (from, to) in the text of its configuration.
    pub fn start_with_changes(scripts: Vec<Script>, changes: &[(&str, &str)]) -> Fixture {
        let journal = Journal::default();
        let ports: Vec<u16> = scripts.into_iter().map(|s| backend(journal.clone(), s)).collect();
        Fixture::start_with_ports(journal, &ports, changes)
    }

    /// Starts an ingress whose backends listen on `ports` of the loopback address.
    pub fn start_with_ports(journal: Journal, ports: &[u16], changes: &[(&str, &str)]) -> Fixture {
        Fixture::start_with_discovery(journal, discovery(known(ports)), ports, changes)
    }

    /// Starts an ingress that follows `discovery`.
    pub fn start_with_discovery(
        journal: Journal,
        discovery: Discovery,
        ports: &[u16],
        changes: &[(&str, &str)],
    ) -> Fixture {
        Fixture::start_on(|system| system, journal, discovery, ports, changes)
    }

    /// Starts an ingress on the runtime that `wrap` makes of the operating system's.
    pub fn start_on(
        wrap: impl FnOnce(Shared) -> Shared + Send + 'static,
        journal: Journal,
        discovery: Discovery,
        ports: &[u16],
        changes: &[(&str, &str)],
    ) -> Fixture {
        let mut text = config(1, discovery.port, ports);
        for (from, to) in changes {
            assert!(text.contains(from), "not in the configuration: {from}");
            text = text.replace(from, to);
        }
        let config = Config::parse("test", text.as_bytes()).unwrap();
        let (address_sender, address) = std::sync::mpsc::channel();
        let stopped = Arc::new(AtomicBool::new(false));
        let (drain, drain_closed) = async_channel::bounded::<()>(1);
        let (block, block_requests) = async_channel::bounded::<Duration>(1);
        let set_stopped = stopped.clone();
        let open = Arc::new(AtomicUsize::new(0));
        let open_connections = open.clone();
        let thread = std::thread::spawn(move || {
            let system = System::new();
            let block_thread = async move {
                while let Ok(span) = block_requests.recv().await {
                    std::thread::sleep(span); // blocks the ingress, as the system runs on this thread alone
                }
                std::future::pending().await
            };
            let run_ingress = async {
                let mut ingress = Ingress::start(config, wrap(system.clone())).await.unwrap();
                address_sender.send(ingress.address()).unwrap();
                let publish_open = async {
                    loop {
                        open_connections.store(ingress.open_connections(), Ordering::SeqCst);
                        system.sleep_until(system.now() + 2000).await;
                    }
                };
                let drain_requested = async {
                    let _ = drain_closed.recv().await;
                };
                futures_lite::future::or(drain_requested, publish_open).await;
                ingress.drain().await;
                set_stopped.store(true, Ordering::SeqCst);
            };
            // One future, in this order: after a block, the ingress's main task runs before any other task.
            system.run(futures_lite::future::or(block_thread, run_ingress));
        });
        let address = address.recv_timeout(TEST_TIMEOUT).unwrap();
        Fixture { address, journal, discovery, stopped, drain, open, block, thread: Some(thread) }
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Number of commands that backends have received.
    pub fn received_commands(&self) -> usize {
        self.journal.lock().unwrap().len()
    }

    /// Number of client connections that the ingress has open.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Blocks the only thread of the ingress for `span`.
    pub fn block_thread(&self, span: Duration) {
        self.block.send_blocking(span).unwrap();
    }

    /// Returns a client whose connection is idle after a PING. It reads the end of the stream when the ingress closes idle
    /// connections.
    pub fn idle_client(&self) -> Client {
        let mut client = self.client();
        client.send(&["PING"]);
        assert_eq!(client.reply_text(), "+PONG");
        client
    }

    /// Whether the ingress has completed its drain.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.drain.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Waits until `condition` holds.
///
/// # Panics
///
/// If it does not hold within [`TEST_TIMEOUT`].
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Starts a backend that calls `serve` for each connection, on a separate thread. Returns its port.
pub fn scripted(serve: impl Fn(usize, TcpStream) + Send + Sync + 'static) -> u16 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let port = listener.local_addr().unwrap().port();
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for (n, stream) in listener.incoming().flatten().enumerate() {
            let serve = serve.clone();
            std::thread::spawn(move || serve(n, stream));
        }
    });
    port
}

/// Reads the next command from a backend's connection. `None` at the end of the stream.
pub fn next_command(stream: &mut TcpStream, buffer: &mut bytes::BytesMut) -> Option<Vec<String>> {
    let mut chunk = [0; 4096];
    loop {
        if let Some(arguments) = command_arguments(buffer) {
            return Some(arguments);
        }
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
            _ => return None,
        }
    }
}

/// A backend whose connections are not established until the test accepts one. The accept queue of its listener is full, so the
/// system drops the SYN of a further connection, which is sent again after a second.
pub struct FullListener {
    listener: TcpListener,
    /// Occupies the accept queue.
    filler: TcpStream,
    pub port: u16,
}

impl FullListener {
    pub fn new() -> FullListener {
        use socket2::{Domain, Socket, Type};
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let filler = TcpStream::connect(address).unwrap();
        FullListener { listener, filler, port: address.port() }
    }

    /// Waits until a connection has sent its SYN, which is not answered.
    pub fn wait_for_syn(&self) {
        let port = format!(":{:04X} 02 ", self.port); // the state that follows the port: SYN_SENT
        wait_until("a connection in SYN_SENT", || {
            std::fs::read_to_string("/proc/net/tcp").unwrap().lines().any(|l| l.contains(&port))
        });
    }

    /// Frees the accept queue and accepts the connection that waits. Returns the bytes that it receives until it ends or `timeout`
    /// has passed; none if no connection is established.
    pub fn accept_and_read(&self, timeout: Duration) -> Vec<u8> {
        let (first, _) = self.listener.accept().unwrap();
        assert_eq!(first.peer_addr().unwrap(), self.filler.local_addr().unwrap());
        let deadline = Instant::now() + timeout;
        self.listener.set_nonblocking(true).unwrap();
        while Instant::now() < deadline {
            if let Ok((mut stream, _)) = self.listener.accept() {
                stream.set_nonblocking(false).unwrap();
                let remaining =
                    deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
                stream.set_read_timeout(Some(remaining)).unwrap();
                let mut all = Vec::new();
                let mut chunk = [0; 4096];
                while let Ok(n) = stream.read(&mut chunk) {
                    if n == 0 {
                        break;
                    }
                    all.extend_from_slice(&chunk[..n]);
                }
                return all;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        Vec::new()
    }
}

/// A stream whose system cannot acknowledge at once.
pub struct UnacknowledgedStream(pub Box<dyn Stream>);

impl Stream for UnacknowledgedStream {
    fn peer(&self) -> SocketAddr {
        self.0.peer()
    }

    fn peer_closed(&self) -> bool {
        self.0.peer_closed()
    }

    fn acknowledge(&self) -> io::Result<()> {
        Err(io::ErrorKind::Unsupported.into())
    }
}

impl AsyncRead for UnacknowledgedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_read(cx, buffer)
    }
}

impl AsyncWrite for UnacknowledgedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_close(cx)
    }
}

/// A stream whose peer takes some bytes and, after a pause, the others.
pub struct StallingStream {
    stream: Box<dyn Stream>,
    bytes_before_stall: usize,
    stall: Duration,
    resumes_at: Option<Instant>,
}

impl StallingStream {
    pub fn new(stream: Box<dyn Stream>, bytes_before_stall: usize, stall: Duration) -> StallingStream {
        StallingStream { stream, bytes_before_stall, stall, resumes_at: None }
    }
}

impl Stream for StallingStream {
    fn peer(&self) -> SocketAddr {
        self.stream.peer()
    }

    fn peer_closed(&self) -> bool {
        self.stream.peer_closed()
    }

    fn acknowledge(&self) -> io::Result<()> {
        self.stream.acknowledge()
    }
}

impl AsyncRead for StallingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for StallingStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let count = bytes.len().min(self.bytes_before_stall);
        if count > 0 {
            self.bytes_before_stall -= count;
            return Pin::new(&mut self.stream).poll_write(cx, &bytes[..count]);
        }
        let resumes_at = Instant::now() + self.stall;
        let resumes_at = *self.resumes_at.get_or_insert(resumes_at);
        let remaining = resumes_at.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Pin::new(&mut self.stream).poll_write(cx, bytes);
        }
        let waker = cx.waker().clone();
        std::thread::spawn(move || {
            std::thread::sleep(remaining);
            waker.wake();
        });
        Poll::Pending
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

const ATTRIBUTES: &str = "c=sig-check,t=team,d=4000,units=1,spread=1,first=0";

/// Creates a duration from milliseconds.
pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Encodes a query with this id and a deadline of four seconds.
pub fn query(id: u64) -> Vec<u8> {
    let mut out = bytes::BytesMut::new();
    let id = format!("{id:016x}");
    let arguments = [&b"SVC.QUERY"[..], b"0000000000000007", id.as_bytes(), ATTRIBUTES.as_bytes()];
    put_command(&mut out, &arguments);
    out.to_vec()
}

/// Encodes a submit of the customer `id` with this id, key and body, and a deadline of five seconds.
pub fn submit(id: u64, body: &str) -> Vec<u8> {
    let mut out = bytes::BytesMut::new();
    let id = format!("{id:016x}");
    let attributes = format!("c=report-upload,t=team,d=5000,k={id},units=1,spread=1,first=0");
    put_command(&mut out, &["SVC.SUBMIT", &id, &id, &attributes, body].map(str::as_bytes));
    out.to_vec()
}

/// Encodes `count` queries with ids from `first` on.
pub fn queries(first: u64, count: u64) -> Vec<u8> {
    (first..first + count).flat_map(query).collect()
}
