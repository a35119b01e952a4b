//! The few things that the outside world gives, as traits: [`Runtime`] is a clock with timers, tasks, streams and
//! listeners, datagrams, files and randomness. Nothing above this crate names a socket type of the system or asks the
//! system for the time, so that all of it can be played through on another world.
//!
//! [`link_faults`] names what links do to the bytes that cross them; [`faulty_runtime::FaultyRuntime`] is another runtime with
//! a part replaced, for tests of what happens when the system fails.
//!
//! [`system::System`] is the real one, on async-io and futures-lite; [`simulated_runtime::World`] has no system under it.

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

/// Microseconds: a span, or a time since the beginning of 1970 (UTC).
pub type Micros = u64;

/// A future on the heap that may move between threads.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// A task that runs by itself. Dropped it is ended at its next pause; `detach` lets it go on.
pub type Task = async_executor::Task<()>;

/// A runtime that is shared by all that runs on it.
pub type Shared = Arc<dyn Runtime>;

/// A byte stream in both directions.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {
    /// The other end's address.
    fn peer(&self) -> SocketAddr;
    /// Whether the other end has shut its side or reset the stream, as far as the system knows: also where bytes that came
    /// before it lie unread. Takes none of them.
    fn left(&self) -> bool;
}

/// A place where streams arrive.
pub trait Listener: Send + Sync {
    /// The bound address; a port of 0 has become a real one.
    fn address(&self) -> SocketAddr;
    /// The next stream.
    fn accept(&self) -> BoxFuture<'_, io::Result<Box<dyn Stream>>>;
}

/// A socket for datagrams.
pub trait Datagrams: Send + Sync {
    /// The bound address.
    fn address(&self) -> SocketAddr;
    /// Sends one; it may be lost without a word.
    fn send<'a>(&'a self, bytes: &'a [u8], to: SocketAddr) -> BoxFuture<'a, io::Result<()>>;
    /// The next one that came, its length and sender; what does not fit the buffer is cut.
    fn receive<'a>(&'a self, buffer: &'a mut [u8]) -> BoxFuture<'a, io::Result<(usize, SocketAddr)>>;
}

/// A file that grows at its end.
pub trait Append: Send {
    /// Writes all of it at the end. After an error nobody knows how much of it is there.
    fn append<'a>(&'a mut self, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<()>>;
    /// Ends when all that was appended is on the disk. After an error it may not be, whatever a second call says.
    fn sync<'a>(&'a mut self) -> BoxFuture<'a, io::Result<()>>;
    /// Both, one after the other.
    fn commit<'a>(&'a mut self, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            self.append(bytes).await?;
            self.sync().await
        })
    }
}

/// Files: small ones that are kept whole, and logs.
pub trait Files: Send + Sync {
    /// Opens a file to append to, made new and its folder synced where there is none, cut to `len` where it is longer.
    /// It is this one's alone until it is dropped: `ResourceBusy` where somebody else has it.
    fn append<'a>(&'a self, path: &'a Path, len: u64) -> BoxFuture<'a, io::Result<Box<dyn Append>>>;
    /// The names in a folder, sorted; the folder is made where there is none.
    fn names<'a>(&'a self, folder: &'a Path) -> BoxFuture<'a, io::Result<Vec<String>>>;
    /// Reads a whole file of at most `most` bytes; a longer one is an error of kind `FileTooLarge`.
    fn read<'a>(&'a self, path: &'a Path, most: u64) -> BoxFuture<'a, io::Result<Vec<u8>>>;
    /// Puts a file in place of another, whole or not at all: written beside it, synced, renamed, the folder synced.
    fn replace<'a>(&'a self, path: &'a Path, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<()>>;
    /// Puts a new file in place, whole or not at all, and syncs its folder; false where there is one of that name already,
    /// which stays as it is. Of any number that try, one is told true.
    fn create<'a>(&'a self, path: &'a Path, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<bool>>;
    /// Takes a file away; it may be back after a crash. One that is not there is no error.
    fn remove<'a>(&'a self, path: &'a Path) -> BoxFuture<'a, io::Result<()>>;
    /// Something that changes when the file does: its time of change and its length.
    fn stamp<'a>(&'a self, path: &'a Path) -> BoxFuture<'a, io::Result<(Micros, u64)>>;
}

/// A world to run on.
pub trait Runtime: Send + Sync + 'static {
    /// The time: begins at the clock on the wall and never goes back.
    fn now(&self) -> Micros;
    /// Ends at a time, or at once if it has passed.
    fn sleep_until(&self, at: Micros) -> BoxFuture<'static, ()>;
    /// Starts a task.
    fn spawn(&self, task: BoxFuture<'static, ()>) -> Task;
    /// Binds a listener.
    ///
    /// # Errors
    /// The system's.
    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>>;
    /// Connects a stream; `from`: the address of this side, where it matters which of its own it is.
    fn connect_from(
        &self,
        from: Option<IpAddr>,
        to: SocketAddr,
    ) -> BoxFuture<'static, io::Result<Box<dyn Stream>>>;
    /// Connects a stream.
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<Box<dyn Stream>>> {
        self.connect_from(None, to)
    }
    /// Binds a socket for datagrams.
    ///
    /// # Errors
    /// The system's.
    fn datagrams(&self, at: SocketAddr) -> io::Result<Box<dyn Datagrams>>;
    /// The files.
    fn files(&self) -> &dyn Files;
    /// A random number, not to be guessed.
    fn random(&self) -> u64;
    /// How many descriptors the process may have open, as of now.
    fn descriptors(&self) -> u64;
}

/// A timer that is set again and again: the sleeping future is made anew only when it has to end earlier, or ended.
pub struct Alarm {
    runtime: Shared,
    sleep: Option<(Micros, BoxFuture<'static, ()>)>,
}

impl Alarm {
    /// An alarm that is not set.
    pub fn new(runtime: Shared) -> Self {
        Alarm { runtime, sleep: None }
    }

    /// Ready once `at` has passed; wakes the task then. None: pending, whatever was set.
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
