//! A world in which something is not as in another one: its files, or what becomes of its listeners. For tests of what
//! happens when the system fails.

use crate::{BoxFuture, Datagrams, Files, Listener, Micros, Runtime, Shared, Stream, Task};
use std::io;
use std::net::{IpAddr, SocketAddr};

/// What is made of a listener.
type Doors = Box<dyn Fn(Box<dyn Listener>) -> Box<dyn Listener> + Send + Sync>;

/// Another world, but for what is said here.
pub struct FaultyRuntime {
    inner: Shared,
    files: Option<Box<dyn Files>>,
    doors: Option<Doors>,
}

impl FaultyRuntime {
    /// A world that is like `inner` in all.
    pub fn new(inner: Shared) -> FaultyRuntime {
        FaultyRuntime { inner, files: None, doors: None }
    }

    /// With these files.
    pub fn files(mut self, files: impl Files + 'static) -> FaultyRuntime {
        self.files = Some(Box::new(files));
        self
    }

    /// With something else in place of each listener.
    pub fn listeners(
        mut self,
        change: impl Fn(Box<dyn Listener>) -> Box<dyn Listener> + Send + Sync + 'static,
    ) -> FaultyRuntime {
        self.doors = Some(Box::new(change));
        self
    }
}

impl Runtime for FaultyRuntime {
    fn now(&self) -> Micros {
        self.inner.now()
    }

    fn sleep_until(&self, at: Micros) -> BoxFuture<'static, ()> {
        self.inner.sleep_until(at)
    }

    fn spawn(&self, task: BoxFuture<'static, ()>) -> Task {
        self.inner.spawn(task)
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Listener>> {
        let listener = self.inner.listen(at)?;
        Ok(match &self.doors {
            Some(change) => change(listener),
            None => listener,
        })
    }

    fn connect_from(
        &self,
        from: Option<IpAddr>,
        to: SocketAddr,
    ) -> BoxFuture<'static, io::Result<Box<dyn Stream>>> {
        self.inner.connect_from(from, to)
    }

    fn datagrams(&self, at: SocketAddr) -> io::Result<Box<dyn Datagrams>> {
        self.inner.datagrams(at)
    }

    fn files(&self) -> &dyn Files {
        self.files.as_deref().unwrap_or_else(|| self.inner.files())
    }

    fn random(&self) -> u64 {
        self.inner.random()
    }

    fn descriptors(&self) -> u64 {
        self.inner.descriptors()
    }
}
