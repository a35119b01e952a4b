//! A runtime wrapper that replaces the files, the listeners or the outgoing streams of another runtime, for tests of system
//! failures.

use crate::{BoxFuture, Datagrams, Files, Listener, Micros, Runtime, Shared, Stream, Task};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// Wraps each listener that the inner runtime binds.
type WrapListener = Box<dyn Fn(Box<dyn Listener>) -> Box<dyn Listener> + Send + Sync>;
/// Wraps each stream that the inner runtime connects.
type WrapStream = Arc<dyn Fn(Box<dyn Stream>) -> Box<dyn Stream> + Send + Sync>;

/// A runtime that delegates to another one, except for the parts that are replaced.
pub struct FaultyRuntime {
    inner: Shared,
    files: Option<Box<dyn Files>>,
    wrap_listener: Option<WrapListener>,
    wrap_connected: Option<WrapStream>,
}

impl FaultyRuntime {
    /// Creates a runtime that delegates everything to `inner`.
    pub fn new(inner: Shared) -> FaultyRuntime {
        FaultyRuntime { inner, files: None, wrap_listener: None, wrap_connected: None }
    }

    /// Replaces the file operations.
    pub fn files(mut self, files: impl Files + 'static) -> FaultyRuntime {
        self.files = Some(Box::new(files));
        self
    }

    /// Replaces each listener with the result of `wrap`.
    pub fn listeners(
        mut self,
        wrap: impl Fn(Box<dyn Listener>) -> Box<dyn Listener> + Send + Sync + 'static,
    ) -> FaultyRuntime {
        self.wrap_listener = Some(Box::new(wrap));
        self
    }

    /// Replaces each connected stream with the result of `wrap`.
    pub fn connected_streams(
        mut self,
        wrap: impl Fn(Box<dyn Stream>) -> Box<dyn Stream> + Send + Sync + 'static,
    ) -> FaultyRuntime {
        self.wrap_connected = Some(Arc::new(wrap));
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
        Ok(match &self.wrap_listener {
            Some(wrap) => wrap(listener),
            None => listener,
        })
    }

    fn connect_from(
        &self,
        from: Option<IpAddr>,
        to: SocketAddr,
    ) -> BoxFuture<'static, io::Result<Box<dyn Stream>>> {
        let connected = self.inner.connect_from(from, to);
        match self.wrap_connected.clone() {
            Some(wrap) => Box::pin(async move { connected.await.map(|stream| wrap(stream)) }),
            None => connected,
        }
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

    fn resident_bytes(&self) -> u64 {
        self.inner.resident_bytes()
    }

    fn release_free_memory(&self) {
        self.inner.release_free_memory();
    }
}
