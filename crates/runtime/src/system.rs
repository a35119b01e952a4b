//! The runtime of the operating system: sockets by async-io, tasks by async-executor, files on a pool of blocking threads.

use super::*;
use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::future;
use socket2::{Domain, Protocol, Socket, Type};
use std::fs;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum number of connections that wait to be accepted; the system may lower it to its own limit.
const BACKLOG: i32 = 4096;

/// Number of polls of tasks after which [`System::run`] looks for events of timers and sockets. It limits how late a timer
/// fires while all tasks are busy.
const TASK_POLLS_PER_TURN: usize = 32;

/// The operating system's runtime. Its tasks run in [`System::run`] and on the threads of [`System::threads`].
pub struct System {
    executor: Executor<'static>,
    start: Instant,
    epoch: Micros,
    files: Disk,
}

impl System {
    /// Creates a runtime whose clock starts at the system's time.
    pub fn new() -> Arc<System> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let epoch = since.as_micros() as Micros;
        Arc::new(System { executor: Executor::new(), start: Instant::now(), epoch, files: Disk })
    }

    /// Runs tasks on this thread until `main` completes. `main`, timers and sockets get a turn after a limited number of
    /// polls of tasks, however many tasks are ready.
    pub fn run<T>(self: &Arc<Self>, main: impl Future<Output = T>) -> T {
        let tasks = async {
            loop {
                for _ in 0..TASK_POLLS_PER_TURN {
                    self.executor.tick().await;
                }
                future::yield_now().await;
            }
        };
        async_io::block_on(future::or(main, tasks))
    }

    /// Starts `count` threads that run tasks until the process exits.
    pub fn threads(self: &Arc<Self>, count: usize) {
        for n in 0..count {
            let system = self.clone();
            let thread = std::thread::Builder::new().name(format!("chalkgap-{n}"));
            // If the thread cannot be started, the other threads run its tasks.
            let _ = thread.spawn(move || async_io::block_on(system.executor.run(future::pending::<()>())));
        }
    }
}

struct TcpConnection {
    stream: Async<TcpStream>,
    peer: SocketAddr,
}

impl TcpConnection {
    fn boxed(stream: Async<TcpStream>, peer: SocketAddr) -> io::Result<Box<dyn Stream>> {
        stream.get_ref().set_nodelay(true)?; // each message is written at once; Nagle's algorithm would only delay it
        Ok(Box::new(TcpConnection { stream, peer }))
    }
}

impl AsyncRead for TcpConnection {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for TcpConnection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // `Async::poll_close` only flushes; without the shutdown the write side would stay open until the socket is dropped.
        let flushed = Pin::new(&mut self.stream).poll_close(cx);
        flushed.map(|result| result.and_then(|()| self.stream.get_ref().shutdown(Shutdown::Write)))
    }
}

impl Stream for TcpConnection {
    fn peer(&self) -> SocketAddr {
        self.peer
    }

    fn peer_closed(&self) -> bool {
        use rustix::event::{poll, PollFd, PollFlags};
        let mut descriptors = [PollFd::new(self.stream.get_ref(), PollFlags::RDHUP)];
        let no_wait = rustix::event::Timespec { tv_sec: 0, tv_nsec: 0 };
        // An error of `poll` counts as not closed: a read reports the close in the end.
        let ready = poll(&mut descriptors, Some(&no_wait)).is_ok_and(|count| count > 0);
        ready && descriptors[0].revents().intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
    }

    #[cfg(any(target_os = "linux", target_os = "android"))]
    fn acknowledge(&self) -> io::Result<()> {
        // Sends a delayed acknowledgement now. The option is not permanent: the next write may reset it.
        Ok(rustix::net::sockopt::set_tcp_quickack(self.stream.get_ref(), true)?)
    }

    #[cfg(not(any(target_os = "linux", target_os = "android")))]
    fn acknowledge(&self) -> io::Result<()> {
        Err(io::ErrorKind::Unsupported.into())
    }
}

struct TcpAcceptor {
    listener: Async<TcpListener>,
    address: SocketAddr,
}

impl Listener for TcpAcceptor {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn accept(&self) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            let (stream, peer) = self.listener.accept().await?;
            TcpConnection::boxed(stream, peer)
        })
    }
}

struct UdpDatagrams {
    socket: Async<UdpSocket>,
    address: SocketAddr,
}

impl Datagrams for UdpDatagrams {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn send<'a>(&'a self, bytes: &'a [u8], to: SocketAddr) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move { self.socket.send_to(bytes, to).await.map(|_| ()) })
    }

    fn receive<'a>(&'a self, buffer: &'a mut [u8]) -> BoxFuture<'a, io::Result<(usize, SocketAddr)>> {
        Box::pin(self.socket.recv_from(buffer))
    }
}

struct Disk;

/// Makes the names of temporary files unique within the process.
static TEMP_FILE_COUNTER: AtomicU64 = AtomicU64::new(0);

fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    write_atomically(path, bytes, |temp| fs::rename(temp, path)).map(drop)
}

/// Only one of several concurrent calls succeeds in creating the hard link; the others find the name in use. They sync the
/// directory too, as the writer of the existing file may have crashed before it did.
fn create(path: &Path, bytes: &[u8]) -> io::Result<bool> {
    write_atomically(path, bytes, |temp| match fs::hard_link(temp, path) {
        Err(e) if e.kind() == io::ErrorKind::AlreadyExists => fs::remove_file(temp).map(|()| false),
        linked => linked.and_then(|()| fs::remove_file(temp)).map(|()| true),
    })
}

/// Writes and syncs a temporary file beside `path`, moves it to `path` by `install` and syncs the directory.
fn write_atomically<T>(
    path: &Path,
    bytes: &[u8],
    install: impl FnOnce(&Path) -> io::Result<T>,
) -> io::Result<T> {
    let mut temp = path.as_os_str().to_owned();
    let suffix = TEMP_FILE_COUNTER.fetch_add(1, Ordering::Relaxed);
    temp.push(format!(".{}.{suffix}.new", std::process::id()));
    let temp = PathBuf::from(temp);
    let result = (|| {
        let mut file = fs::File::create(&temp)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        let installed = install(&temp)?;
        let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        fs::File::open(folder)?.sync_all()?;
        Ok(installed)
    })();
    if result.is_err() {
        let _ = fs::remove_file(&temp); // the first error is reported
    }
    result
}

/// Locks a file exclusively. Retries for two seconds, as an earlier handle in this process may have been dropped while a
/// write was running on another thread; the lock is released when that write ends.
fn lock_exclusively(file: &fs::File) -> io::Result<()> {
    use rustix::fs::{flock, FlockOperation};
    for _ in 0..LOCK_TRIES {
        match flock(file, FlockOperation::NonBlockingLockExclusive) {
            Err(e) if e == rustix::io::Errno::WOULDBLOCK => std::thread::sleep(LOCK_RETRY_PAUSE),
            result => return Ok(result?),
        }
    }
    Err(io::Error::new(io::ErrorKind::ResourceBusy, "the file is locked by another writer"))
}

const LOCK_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Attempts to lock a file: two seconds, with [`LOCK_RETRY_PAUSE`] between them.
const LOCK_TRIES: usize = 100;

/// An append-only file; `None` while a write or sync runs, and after one that failed or was cancelled.
struct AppendFile(Option<fs::File>);

impl AppendFile {
    /// Runs an operation on the file on a blocking thread. The file is not used again after an error: the system may have
    /// discarded the data that it failed to write, and a later sync would succeed without it.
    async fn with(
        &mut self,
        operation: impl FnOnce(&mut fs::File) -> io::Result<()> + Send + 'static,
    ) -> io::Result<()> {
        let Some(mut file) = self.0.take() else {
            return Err(io::Error::other("an earlier write or sync of the file failed or was cancelled"));
        };
        let file = blocking::unblock(move || operation(&mut file).map(|()| file)).await?;
        self.0 = Some(file);
        Ok(())
    }
}

impl Append for AppendFile {
    fn append<'a>(&'a mut self, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(self.with(move |file| file.write_all(&bytes)))
    }

    fn sync<'a>(&'a mut self) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(self.with(|file| file.sync_data()))
    }

    fn commit<'a>(&'a mut self, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<()>> {
        // One round trip to the blocking thread instead of two.
        Box::pin(self.with(move |file| file.write_all(&bytes).and_then(|()| file.sync_data())))
    }
}

impl Files for Disk {
    fn append<'a>(&'a self, path: &'a Path, len: u64) -> BoxFuture<'a, io::Result<Box<dyn Append>>> {
        let path = path.to_owned();
        Box::pin(blocking::unblock(move || {
            let file = fs::OpenOptions::new().create(true).append(true).open(&path)?;
            lock_exclusively(&file)?;
            if file.metadata()?.len() > len {
                file.set_len(len)?;
            }
            file.sync_all()?;
            let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
            fs::File::open(folder)?.sync_all()?;
            Ok(Box::new(AppendFile(Some(file))) as Box<dyn Append>)
        }))
    }

    fn names<'a>(&'a self, folder: &'a Path) -> BoxFuture<'a, io::Result<Vec<String>>> {
        let folder = folder.to_owned();
        Box::pin(blocking::unblock(move || {
            fs::create_dir_all(&folder)?;
            let mut names = Vec::new();
            for entry in fs::read_dir(&folder)? {
                names.extend(entry?.file_name().into_string().ok()); // names that are not UTF-8 belong to other programs
            }
            names.sort();
            Ok(names)
        }))
    }

    fn read<'a>(&'a self, path: &'a Path, max_len: u64) -> BoxFuture<'a, io::Result<Vec<u8>>> {
        let path = path.to_owned();
        Box::pin(blocking::unblock(move || {
            let mut bytes = Vec::new();
            fs::File::open(path)?.take(max_len.saturating_add(1)).read_to_end(&mut bytes)?;
            if bytes.len() as u64 > max_len {
                let message = format!("the file is longer than {max_len} bytes");
                return Err(io::Error::new(io::ErrorKind::FileTooLarge, message));
            }
            Ok(bytes)
        }))
    }

    fn replace<'a>(&'a self, path: &'a Path, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<()>> {
        let path = path.to_owned();
        Box::pin(blocking::unblock(move || replace(&path, &bytes)))
    }

    fn create<'a>(&'a self, path: &'a Path, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<bool>> {
        let path = path.to_owned();
        Box::pin(blocking::unblock(move || create(&path, &bytes)))
    }

    fn remove<'a>(&'a self, path: &'a Path) -> BoxFuture<'a, io::Result<()>> {
        let path = path.to_owned();
        Box::pin(blocking::unblock(move || match fs::remove_file(path) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }))
    }

    fn stamp<'a>(&'a self, path: &'a Path) -> BoxFuture<'a, io::Result<(Micros, u64)>> {
        let path = path.to_owned();
        Box::pin(blocking::unblock(move || {
            let meta = fs::metadata(path)?;
            let since = meta.modified()?.duration_since(UNIX_EPOCH).unwrap_or_default();
            Ok((since.as_micros() as Micros, meta.len()))
        }))
    }
}

impl Runtime for System {
    fn now(&self) -> Micros {
        self.epoch + self.start.elapsed().as_micros() as Micros
    }

    fn sleep_until(&self, at: Micros) -> BoxFuture<'static, ()> {
        let end = self.start + Duration::from_micros(at.saturating_sub(self.epoch));
        Box::pin(async move {
            Timer::at(end).await;
        })
    }

    fn spawn(&self, task: BoxFuture<'static, ()>) -> Task {
        self.executor.spawn(task)
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        // The standard library's backlog of 128 overflows when many clients reconnect at once; a client whose connection
        // does not fit retries a second later.
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&at.into())?;
        socket.listen(BACKLOG)?;
        let listener = Async::new(TcpListener::from(socket))?;
        let address = listener.get_ref().local_addr()?;
        Ok(Box::new(TcpAcceptor { listener, address }))
    }

    fn connect_from(
        &self,
        from: Option<IpAddr>,
        to: SocketAddr,
    ) -> BoxFuture<'static, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            let Some(from) = from else {
                return TcpConnection::boxed(Async::<TcpStream>::connect(to).await?, to);
            };
            let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
            socket.bind(&SocketAddr::new(from, 0).into())?;
            socket.set_nonblocking(true)?;
            match socket.connect(&to.into()) {
                Err(error) if error.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {
                    return Err(error)
                }
                _ => {}
            }
            let stream = Async::new(TcpStream::from(socket))?;
            stream.writable().await?;
            match stream.get_ref().take_error()? {
                Some(error) => Err(error),
                None => TcpConnection::boxed(stream, to),
            }
        })
    }

    fn datagrams(&self, at: SocketAddr) -> io::Result<Box<dyn Datagrams>> {
        let socket = Async::<UdpSocket>::bind(at)?;
        let address = socket.get_ref().local_addr()?;
        Ok(Box::new(UdpDatagrams { socket, address }))
    }

    fn files(&self) -> &dyn Files {
        &self.files
    }

    fn random(&self) -> u64 {
        rand::random()
    }

    fn descriptors(&self) -> u64 {
        // `None` is no limit.
        rustix::process::getrlimit(rustix::process::Resource::Nofile).current.unwrap_or(u64::MAX)
    }

    fn resident_bytes(&self) -> u64 {
        // The second number is that of resident pages (proc_pid_statm(5)). A system without the file does not tell.
        let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
        let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
        pages.unwrap_or_default() * rustix::param::page_size() as u64
    }

    fn release_free_memory(&self) {
        chalkgap_heap::release_free_memory();
    }
}
