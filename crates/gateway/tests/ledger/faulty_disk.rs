//! A runtime's file operations with injected disk faults.

use chalkgap::runtime::{Append, BoxFuture, Files, Micros, Shared};
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Faults of a disk. The default has none.
#[derive(Default)]
pub struct DiskFaults {
    /// Delay before each sync, in microseconds.
    pub sync_micros: AtomicU64,
    /// `errno` that appends fail with. 0: appends succeed.
    pub errno: AtomicU64,
}

/// File operations of a runtime, with faults in the appends and syncs of files that [`Files::append`] opens.
pub struct FaultyFiles {
    runtime: Shared,
    faults: Arc<DiskFaults>,
}

impl FaultyFiles {
    pub fn new(runtime: Shared, faults: Arc<DiskFaults>) -> Self {
        FaultyFiles { runtime, faults }
    }
}

struct FaultyAppend {
    file: Box<dyn Append>,
    runtime: Shared,
    faults: Arc<DiskFaults>,
}

impl Append for FaultyAppend {
    fn append<'a>(&'a mut self, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            match self.faults.errno.load(Ordering::Relaxed) {
                0 => self.file.append(bytes).await,
                errno => Err(io::Error::from_raw_os_error(errno as i32)),
            }
        })
    }
    fn sync<'a>(&'a mut self) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            let delay = self.faults.sync_micros.load(Ordering::Relaxed);
            self.runtime.sleep_until(self.runtime.now() + delay).await;
            self.file.sync().await
        })
    }
}

impl Files for FaultyFiles {
    fn append<'a>(&'a self, path: &'a Path, len: u64) -> BoxFuture<'a, io::Result<Box<dyn Append>>> {
        Box::pin(async move {
            let file = self.runtime.files().append(path, len).await?;
            let runtime = self.runtime.clone();
            let faults = self.faults.clone();
            Ok(Box::new(FaultyAppend { file, runtime, faults }) as Box<dyn Append>)
        })
    }
    fn names<'a>(&'a self, folder: &'a Path) -> BoxFuture<'a, io::Result<Vec<String>>> {
        self.runtime.files().names(folder)
    }
    fn read<'a>(&'a self, path: &'a Path, most: u64) -> BoxFuture<'a, io::Result<Vec<u8>>> {
        self.runtime.files().read(path, most)
    }
    fn replace<'a>(&'a self, path: &'a Path, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<()>> {
        self.runtime.files().replace(path, bytes)
    }
    fn create<'a>(&'a self, path: &'a Path, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<bool>> {
        self.runtime.files().create(path, bytes)
    }
    fn remove<'a>(&'a self, path: &'a Path) -> BoxFuture<'a, io::Result<()>> {
        self.runtime.files().remove(path)
    }
    fn stamp<'a>(&'a self, path: &'a Path) -> BoxFuture<'a, io::Result<(Micros, u64)>> {
        self.runtime.files().stamp(path)
    }
}
