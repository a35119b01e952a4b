//! An ingress on loopback whose world the test holds in its hands: backends that go on by the test's word, listeners that
//! let a connection come up late, a system thread that stands still. Orders are forced by these, not hoped for.
#![allow(dead_code)] // each test file uses its part

use crate::common::{
    backend, command_words, config, discovery, known, Act, Client, Discovery, Journal, PATIENCE,
};
use chalkgap_platform::{Config, Ingress};
use chalkgap_resp::put_command;
use chalkgap_runtime::system::System;
use chalkgap_runtime::Runtime;
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub type Script = Box<dyn Fn(usize, &[String]) -> Act + Send + Sync>;

pub fn always(act: Act) -> Script {
    Box::new(move |_, _| act)
}

/// Does one thing with the first request and another with all later ones.
pub fn first(act: Act, then: Act) -> Script {
    Box::new(move |n, _| if n == 0 { act } else { then })
}

pub struct Fixture {
    pub address: SocketAddr,
    pub journal: Journal,
    pub discovery: Discovery,
    pub end: Arc<AtomicBool>,
    pub drain: async_channel::Sender<()>,
    open: Arc<AtomicUsize>,
    stall: async_channel::Sender<Duration>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Fixture {
    /// An ingress over backends that follow their scripts.
    pub fn start(scripts: Vec<Script>) -> Fixture {
        Fixture::with(scripts, &[])
    }

    /// The same with changes to the text of its configuration.
    pub fn with(scripts: Vec<Script>, changes: &[(&str, &str)]) -> Fixture {
        let journal = Journal::default();
        let ports: Vec<u16> = scripts.into_iter().map(|s| backend(journal.clone(), s)).collect();
        Fixture::over(journal, &ports, changes)
    }

    pub fn over(journal: Journal, ports: &[u16], changes: &[(&str, &str)]) -> Fixture {
        Fixture::from(journal, discovery(known(ports)), ports, changes)
    }

    pub fn from(journal: Journal, discovery: Discovery, ports: &[u16], changes: &[(&str, &str)]) -> Fixture {
        let mut text = config(1, discovery.port, ports);
        for (from, to) in changes {
            assert!(text.contains(from), "{from}");
            text = text.replace(from, to);
        }
        let config = Config::parse("test", text.as_bytes()).unwrap();
        let (tell, told) = std::sync::mpsc::channel();
        let (end, (drain, drained)) = (Arc::new(AtomicBool::new(false)), async_channel::bounded::<()>(1));
        let (stall, stalls) = async_channel::bounded::<Duration>(1);
        let (ended, open) = (end.clone(), Arc::new(AtomicUsize::new(0)));
        let connections = open.clone();
        let thread = std::thread::spawn(move || {
            let system = System::new();
            let still = async move {
                while let Ok(span) = stalls.recv().await {
                    std::thread::sleep(span); // the only thread there is
                }
                std::future::pending().await
            };
            let life = async {
                let mut ingress = Ingress::start(config, system.clone()).await.unwrap();
                tell.send(ingress.address()).unwrap();
                let look = async {
                    loop {
                        connections.store(ingress.open_connections(), Ordering::SeqCst);
                        system.sleep_until(system.now() + 2000).await;
                    }
                };
                let told = async {
                    let _ = drained.recv().await;
                };
                futures_lite::future::or(told, look).await;
                ingress.drain().await;
                ended.store(true, Ordering::SeqCst);
            };
            // In one future, and in this order: what of its life came due meanwhile goes on before any other task.
            system.run(futures_lite::future::or(still, life));
        });
        let address = told.recv_timeout(PATIENCE).unwrap();
        Fixture { address, journal, discovery, end, drain, open, stall, thread: Some(thread) }
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    pub fn seen(&self) -> usize {
        self.journal.lock().unwrap().len()
    }

    /// Clients' connections that the ingress holds.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// The whole ingress stands still for so long from now on.
    pub fn stand_still(&self, span: Duration) {
        self.stall.send_blocking(span).unwrap();
    }

    /// A connection that was served and rests; it sees the end of its other side when the ingress closes what rests.
    pub fn resting(&self) -> Client {
        let mut client = self.client();
        client.send(&["PING"]);
        assert_eq!(client.text(), "+PONG");
        client
    }

    pub fn ended(&self) -> bool {
        self.end.load(Ordering::SeqCst)
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

/// Waits until something holds.
pub fn until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A backend whose connections are served by `serve`, each on a thread of its own; its port.
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

/// The next command on a backend's connection; none at its end.
pub fn next_command(stream: &mut TcpStream, buffer: &mut bytes::BytesMut) -> Option<Vec<String>> {
    let mut piece = [0; 4096];
    loop {
        if let Some(words) = command_words(buffer) {
            return Some(words);
        }
        match stream.read(&mut piece) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&piece[..n]),
            _ => return None,
        }
    }
}

/// A backend whose connections do not come up until the test lets them: the system's line of accepted connections is full, so
/// it drops what asks for a further one, which asks again after a second.
pub struct Late {
    listener: TcpListener,
    filler: TcpStream,
    pub port: u16,
}

impl Late {
    pub fn new() -> Late {
        use socket2::{Domain, Socket, Type};
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let filler = TcpStream::connect(address).unwrap();
        Late { listener, filler, port: address.port() }
    }

    /// Waits until a connection asks to come up, in vain.
    pub fn asked(&self) {
        let port = format!(":{:04X} 02 ", self.port); // the state after it: its word was sent, and not answered
        until("a connection on its way", || {
            std::fs::read_to_string("/proc/net/tcp").unwrap().lines().any(|l| l.contains(&port))
        });
    }

    /// Lets the next connection come up, waits until it has, and gives the bytes that come on it until it ends or `patience`
    /// is over.
    pub fn let_up(&self, patience: Duration) -> Vec<u8> {
        let (first, _) = self.listener.accept().unwrap();
        assert_eq!(first.peer_addr().unwrap(), self.filler.local_addr().unwrap());
        let end = Instant::now() + patience;
        self.listener.set_nonblocking(true).unwrap();
        while Instant::now() < end {
            if let Ok((mut stream, _)) = self.listener.accept() {
                stream.set_nonblocking(false).unwrap();
                let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
                stream.set_read_timeout(Some(left)).unwrap();
                let (mut all, mut piece) = (Vec::new(), [0; 4096]);
                while let Ok(n) = stream.read(&mut piece) {
                    if n == 0 {
                        break;
                    }
                    all.extend_from_slice(&piece[..n]);
                }
                return all;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        Vec::new()
    }
}

const LIST: &str = "c=sig-check,t=team,d=4000,units=1,spread=1,first=0";

/// Milliseconds.
pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn query(id: u64) -> Vec<u8> {
    let mut out = bytes::BytesMut::new();
    let id = format!("{id:016x}");
    let words = [&b"SVC.QUERY"[..], b"0000000000000007", id.as_bytes(), LIST.as_bytes()];
    put_command(&mut out, &words);
    out.to_vec()
}

pub fn queries(from: u64, count: u64) -> Vec<u8> {
    (from..from + count).flat_map(query).collect()
}
