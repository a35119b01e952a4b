//! The real world: sockets by async-io, tasks by async-executor, files on a pool of threads that may block.

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

/// Connections that may wait to be accepted; the system may cut it to its own limit.
const BACKLOG: i32 = 4096;

/// The system's runtime. Its tasks run in [`System::run`] and on the threads of [`System::threads`].
pub struct System {
    executor: Executor<'static>,
    start: Instant,
    epoch: Micros,
    files: Disk,
}

impl System {
    /// A runtime whose clock begins at the system's time.
    pub fn new() -> Arc<System> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let epoch = since.as_micros() as Micros;
        Arc::new(System { executor: Executor::new(), start: Instant::now(), epoch, files: Disk })
    }

    /// Runs tasks on this thread until `main` ends.
    pub fn run<T>(self: &Arc<Self>, main: impl Future<Output = T>) -> T {
        async_io::block_on(self.executor.run(main))
    }

    /// Starts threads that run tasks for as long as the process lives.
    pub fn threads(self: &Arc<Self>, count: usize) {
        for n in 0..count {
            let system = self.clone();
            let thread = std::thread::Builder::new().name(format!("chalkgap-{n}"));
            // Without it there is one thread less; the ones that run take its tasks.
            let _ = thread.spawn(move || system.run(future::pending::<()>()));
        }
    }
}

struct Tcp {
    stream: Async<TcpStream>,
    peer: SocketAddr,
}

impl Tcp {
    fn boxed(stream: Async<TcpStream>, peer: SocketAddr) -> io::Result<Box<dyn Stream>> {
        stream.get_ref().set_nodelay(true)?; // answers are small and whole
        Ok(Box::new(Tcp { stream, peer }))
    }
}

impl AsyncRead for Tcp {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Tcp {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The stream's own only flushes: the write side would stay open until the socket is dropped.
        let flushed = Pin::new(&mut self.stream).poll_close(cx);
        flushed.map(|f| f.and_then(|()| self.stream.get_ref().shutdown(Shutdown::Write)))
    }
}

impl Stream for Tcp {
    fn peer(&self) -> SocketAddr {
        self.peer
    }

    fn left(&self) -> bool {
        use rustix::event::{poll, PollFd, PollFlags};
        let mut asked = [PollFd::new(self.stream.get_ref(), PollFlags::RDHUP)];
        let at_once = rustix::event::Timespec { tv_sec: 0, tv_nsec: 0 };
        // A system that cannot say it says nothing: reading tells in the end.
        let said = poll(&mut asked, Some(&at_once)).is_ok_and(|n| n > 0);
        said && asked[0].revents().intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
    }
}

struct TcpDoor {
    listener: Async<TcpListener>,
    address: SocketAddr,
}

impl Listener for TcpDoor {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn accept(&self) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            let (stream, peer) = self.listener.accept().await?;
            Tcp::boxed(stream, peer)
        })
    }
}

struct Udp {
    socket: Async<UdpSocket>,
    address: SocketAddr,
}

impl Datagrams for Udp {
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

/// Tells files apart that are written beside the same one at the same time.
static BESIDE: AtomicU64 = AtomicU64::new(0);

fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    whole(path, bytes, |beside| fs::rename(beside, path)).map(drop)
}

/// A link is made by one alone: the others find the name taken. What is there may be of a writer who crashed before its
/// folder was synced: that is done here, whoever made it.
fn create(path: &Path, bytes: &[u8]) -> io::Result<bool> {
    whole(path, bytes, |beside| match fs::hard_link(beside, path) {
        Err(e) if e.kind() == io::ErrorKind::AlreadyExists => fs::remove_file(beside).map(|()| false),
        made => made.and_then(|()| fs::remove_file(beside)).map(|()| true),
    })
}

/// Writes a file beside another, synced, puts it in its place and syncs the folder.
fn whole<T>(path: &Path, bytes: &[u8], place: impl FnOnce(&Path) -> io::Result<T>) -> io::Result<T> {
    let mut beside = path.as_os_str().to_owned();
    beside.push(format!(".{}.{}.new", std::process::id(), BESIDE.fetch_add(1, Ordering::Relaxed)));
    let beside = PathBuf::from(beside);
    let written = (|| {
        let mut file = fs::File::create(&beside)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        let placed = place(&beside)?;
        let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        fs::File::open(folder)?.sync_all()?;
        Ok(placed)
    })();
    if written.is_err() {
        let _ = fs::remove_file(&beside); // the error that counts is the one before
    }
    written
}

/// Locks a file. Its last owner in this process may have been dropped in the middle of a write, which ends first.
fn alone(file: &fs::File) -> io::Result<()> {
    use rustix::fs::{flock, FlockOperation};
    for _ in 0..LOCK_TRIES {
        match flock(file, FlockOperation::NonBlockingLockExclusive) {
            Err(e) if e == rustix::io::Errno::WOULDBLOCK => std::thread::sleep(Duration::from_millis(20)),
            done => return Ok(done?),
        }
    }
    Err(io::Error::new(io::ErrorKind::ResourceBusy, "somebody else is writing to it"))
}

/// With pauses of 20 ms: two seconds.
const LOCK_TRIES: usize = 100;

/// The file and whether a write or sync of it has failed.
struct Log(Option<fs::File>);

impl Log {
    /// Does something with the file on a thread that may block. A file is never used again after an error: the system
    /// may have dropped what it could not write, and would say that all is well the next time.
    async fn with(
        &mut self,
        act: impl FnOnce(&mut fs::File) -> io::Result<()> + Send + 'static,
    ) -> io::Result<()> {
        let Some(mut file) = self.0.take() else { return Err(io::Error::other("an earlier write failed")) };
        let file = blocking::unblock(move || act(&mut file).map(|()| file)).await?;
        self.0 = Some(file);
        Ok(())
    }
}

impl Append for Log {
    fn append<'a>(&'a mut self, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(self.with(move |file| file.write_all(&bytes)))
    }

    fn sync<'a>(&'a mut self) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(self.with(|file| file.sync_data()))
    }

    fn commit<'a>(&'a mut self, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<()>> {
        // One way to the other thread and back, not two.
        Box::pin(self.with(move |file| file.write_all(&bytes).and_then(|()| file.sync_data())))
    }
}

impl Files for Disk {
    fn append<'a>(&'a self, path: &'a Path, len: u64) -> BoxFuture<'a, io::Result<Box<dyn Append>>> {
        let path = path.to_owned();
        Box::pin(blocking::unblock(move || {
            let file = fs::OpenOptions::new().create(true).append(true).open(&path)?;
            alone(&file)?;
            if file.metadata()?.len() > len {
                file.set_len(len)?;
            }
            file.sync_all()?;
            let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
            fs::File::open(folder)?.sync_all()?;
            Ok(Box::new(Log(Some(file))) as Box<dyn Append>)
        }))
    }

    fn names<'a>(&'a self, folder: &'a Path) -> BoxFuture<'a, io::Result<Vec<String>>> {
        let folder = folder.to_owned();
        Box::pin(blocking::unblock(move || {
            fs::create_dir_all(&folder)?;
            let mut names = Vec::new();
            for entry in fs::read_dir(&folder)? {
                names.extend(entry?.file_name().into_string().ok()); // others are not ours
            }
            names.sort();
            Ok(names)
        }))
    }

    fn read<'a>(&'a self, path: &'a Path, most: u64) -> BoxFuture<'a, io::Result<Vec<u8>>> {
        let path = path.to_owned();
        Box::pin(blocking::unblock(move || {
            let mut bytes = Vec::new();
            fs::File::open(path)?.take(most.saturating_add(1)).read_to_end(&mut bytes)?;
            if bytes.len() as u64 > most {
                let text = format!("the file has more than {most} bytes");
                return Err(io::Error::new(io::ErrorKind::FileTooLarge, text));
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
        // The standard library's line of 128 is soon full when clients reconnect together; who finds it full tries
        // again a second later.
        let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&at.into())?;
        socket.listen(BACKLOG)?;
        let listener = Async::new(TcpListener::from(socket))?;
        let address = listener.get_ref().local_addr()?;
        Ok(Box::new(TcpDoor { listener, address }))
    }

    fn connect_from(
        &self,
        from: Option<IpAddr>,
        to: SocketAddr,
    ) -> BoxFuture<'static, io::Result<Box<dyn Stream>>> {
        Box::pin(async move {
            let Some(from) = from else { return Tcp::boxed(Async::<TcpStream>::connect(to).await?, to) };
            let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
            socket.bind(&SocketAddr::new(from, 0).into())?;
            socket.set_nonblocking(true)?;
            match socket.connect(&to.into()) {
                Err(e) if e.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {
                    return Err(e)
                }
                _ => {}
            }
            let stream = Async::new(TcpStream::from(socket))?;
            stream.writable().await?;
            match stream.get_ref().take_error()? {
                Some(e) => Err(e),
                None => Tcp::boxed(stream, to),
            }
        })
    }

    fn datagrams(&self, at: SocketAddr) -> io::Result<Box<dyn Datagrams>> {
        let socket = Async::<UdpSocket>::bind(at)?;
        let address = socket.get_ref().local_addr()?;
        Ok(Box::new(Udp { socket, address }))
    }

    fn files(&self) -> &dyn Files {
        &self.files
    }

    fn random(&self) -> u64 {
        rand::random()
    }

    fn descriptors(&self) -> u64 {
        // None: no limit.
        rustix::process::getrlimit(rustix::process::Resource::Nofile).current.unwrap_or(u64::MAX)
    }
}
