//! Traits for the operating system services that a program uses: [`Runtime`] provides a clock with timers, tasks, streams
//! and listeners, datagrams, files and randomness. Crates that build on this one use no socket type of the operating system
//! and do not read its clock, so that they also run in a simulation.
//!
//! - [`system::System`]: the operating system, by async-io and futures-lite
//! - [`simulated_runtime::Simulation`]: a deterministic simulation in memory
//! - [`faulty_runtime::FaultyRuntime`]: wraps a runtime and replaces its files or listeners, for tests of system failures
//! - [`link_faults`]: faults of network links, such as loss and delay

pub mod faulty_runtime;
pub mod link_faults;
pub mod simulated_runtime;
pub mod system;

use futures_lite::{AsyncRead, AsyncWrite};
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// Microseconds: a duration, or a time since the Unix epoch.
pub type Micros = u64;

/// A boxed future that can be sent between threads.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// A spawned task. Dropping it cancels the task; `detach` lets it run to its end.
pub type Task = async_executor::Task<()>;

/// A runtime that is shared by all of its tasks.
pub type Shared = Arc<dyn Runtime>;

/// A bidirectional byte stream.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {
    /// Returns the address of the peer.
    fn peer(&self) -> SocketAddr;
    /// Returns whether the peer is known to have shut down its write side or reset the stream, even if bytes received
    /// earlier are still unread. Consumes no bytes.
    fn peer_closed(&self) -> bool;
    /// Acknowledges all received bytes at once. The system may otherwise delay the acknowledgement and send it with the next
    /// write; until it arrives, the peer's system may hold back further small writes (Nagle's algorithm).
    ///
    /// # Errors
    /// `Unsupported` if the system has no such operation; otherwise the system's error.
    fn acknowledge(&self) -> io::Result<()>;
}

/// A socket that accepts streams.
pub trait Listener: Send + Sync {
    /// Returns the bound address; if port 0 was requested, with the assigned port.
    fn address(&self) -> SocketAddr;
    /// Waits for the next stream.
    fn accept(&self) -> BoxFuture<'_, io::Result<Box<dyn Stream>>>;
}

/// A datagram socket.
pub trait Datagrams: Send + Sync {
    /// Returns the bound address.
    fn address(&self) -> SocketAddr;
    /// Sends a datagram; it may be lost without an error.
    fn send<'a>(&'a self, bytes: &'a [u8], to: SocketAddr) -> BoxFuture<'a, io::Result<()>>;
    /// Waits for the next datagram and returns its length and sender. A datagram longer than `buffer` is truncated.
    fn receive<'a>(&'a self, buffer: &'a mut [u8]) -> BoxFuture<'a, io::Result<(usize, SocketAddr)>>;
}

/// An append-only file.
pub trait Append: Send {
    /// Appends all of `bytes`. After an error, any part of them may have been written.
    fn append<'a>(&'a mut self, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<()>>;
    /// Waits until all bytes appended so far are on disk. After an error some may never be, even if a later call succeeds.
    fn sync<'a>(&'a mut self) -> BoxFuture<'a, io::Result<()>>;
    /// Appends `bytes` and syncs.
    fn commit<'a>(&'a mut self, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            self.append(bytes).await?;
            self.sync().await
        })
    }
}

/// File operations: small files that are read and replaced as a whole, and append-only files.
pub trait Files: Send + Sync {
    /// Opens a file for appending. Creates it and syncs its directory if it does not exist, and truncates it to `len` bytes
    /// if it is longer.
    ///
    /// The returned handle locks the file until it is dropped.
    ///
    /// # Errors
    /// `ResourceBusy` if another handle holds the lock; otherwise the system's error.
    fn append<'a>(&'a self, path: &'a Path, len: u64) -> BoxFuture<'a, io::Result<Box<dyn Append>>>;
    /// Lists the file names in a directory, sorted. Creates the directory if it does not exist.
    fn names<'a>(&'a self, folder: &'a Path) -> BoxFuture<'a, io::Result<Vec<String>>>;
    /// Reads a whole file.
    ///
    /// # Errors
    /// `FileTooLarge` if the file is longer than `max_len` bytes; otherwise the system's error.
    fn read<'a>(&'a self, path: &'a Path, max_len: u64) -> BoxFuture<'a, io::Result<Vec<u8>>>;
    /// Replaces a file atomically: writes a temporary file beside it, syncs it, renames it and syncs the directory.
    fn replace<'a>(&'a self, path: &'a Path, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<()>>;
    /// Creates a file atomically and syncs its directory. Returns false, and leaves the file as it is, if one of that name
    /// exists. Of concurrent calls for the same path, exactly one returns true.
    fn create<'a>(&'a self, path: &'a Path, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<bool>>;
    /// Removes a file; a missing file is not an error. The directory is not synced, so a crash may restore the file.
    fn remove<'a>(&'a self, path: &'a Path) -> BoxFuture<'a, io::Result<()>>;
    /// Returns the modification time and the length of a file, to detect that it was changed.
    fn stamp<'a>(&'a self, path: &'a Path) -> BoxFuture<'a, io::Result<(Micros, u64)>>;
}

/// The services of an operating system.
pub trait Runtime: Send + Sync + 'static {
    /// Returns the current time. It starts at the wall clock's time and never decreases.
    fn now(&self) -> Micros;
    /// Waits until the time `at`; returns at once if it has passed.
    fn sleep_until(&self, at: Micros) -> BoxFuture<'static, ()>;
    /// Spawns a task.
    fn spawn(&self, task: BoxFuture<'static, ()>) -> Task;
    /// Binds a listener.
    ///
    /// # Errors
    /// The system's error if the address cannot be bound.
    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>>;
    /// Connects a stream from the local address `from`; `None` lets the system choose one.
    fn connect_from(
        &self,
        from: Option<IpAddr>,
        to: SocketAddr,
    ) -> BoxFuture<'static, io::Result<Box<dyn Stream>>>;
    /// Connects a stream from a local address that the system chooses.
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<Box<dyn Stream>>> {
        self.connect_from(None, to)
    }
    /// Binds a datagram socket.
    ///
    /// # Errors
    /// The system's error if the address cannot be bound.
    fn datagrams(&self, at: SocketAddr) -> io::Result<Box<dyn Datagrams>>;
    /// Returns the file operations.
    fn files(&self) -> &dyn Files;
    /// Returns an unpredictable random number.
    fn random(&self) -> u64;
    /// Returns the current limit on the number of file descriptors that the process may have open.
    fn descriptors(&self) -> u64;
    /// Returns the resident memory of the process in bytes; 0 if it is not known.
    fn resident_bytes(&self) -> u64 {
        0
    }
    /// Returns memory that was freed to the system.
    fn release_free_memory(&self) {}
}

/// A timer for a deadline that changes often. It starts a new sleep only if the current one ended or would end too late.
pub struct Alarm {
    runtime: Shared,
    sleep: Option<(Micros, BoxFuture<'static, ()>)>,
}

impl Alarm {
    /// Creates an alarm without a deadline.
    pub fn new(runtime: Shared) -> Self {
        Alarm { runtime, sleep: None }
    }

    /// Ready once the time `at` has passed; until then registers the task to be woken. `None` is always pending.
    pub fn poll(&mut self, at: Option<Micros>, cx: &mut Context<'_>) -> Poll<()> {
        let Some(at) = at else { return Poll::Pending };
        if self.runtime.now() >= at {
            return Poll::Ready(());
        }
        loop {
            let (end, sleep) = match &mut self.sleep {
                Some((end, sleep)) if *end <= at => (*end, sleep),
                other => {
                    let sleep = self.runtime.sleep_until(at);
                    let (end, sleep) = other.insert((at, sleep));
                    (*end, sleep)
                }
            };
            if sleep.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            self.sleep = None;
            if end >= at {
                return Poll::Ready(());
            }
        }
    }
}
