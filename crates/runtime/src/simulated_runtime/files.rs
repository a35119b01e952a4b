//! Files of the simulation: a disk in memory that loses what was not synced when its host is killed.

use super::{check_running, lock, State};
use crate::{Append, BoxFuture, Files, Micros};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

#[derive(Default)]
pub(super) struct FileContent {
    pub(super) synced: Vec<u8>,
    /// Appended and not yet synced; lost when the host is killed.
    pub(super) unsynced: Vec<u8>,
}

/// The files of one generation of a host.
pub(super) struct Disk {
    pub(super) state: Arc<Mutex<State>>,
    pub(super) host: u32,
    pub(super) generation: u64,
}

struct AppendFile {
    state: Arc<Mutex<State>>,
    host: u32,
    generation: u64,
    path: PathBuf,
}

impl Append for AppendFile {
    fn append<'a>(&'a mut self, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            let mut state = lock(&self.state);
            check_running(&state, self.host, self.generation)?;
            state.disks.entry((self.host, self.path.clone())).or_default().unsynced.extend(bytes);
            Ok(())
        })
    }

    fn sync<'a>(&'a mut self) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            let mut state = lock(&self.state);
            check_running(&state, self.host, self.generation)?;
            let file = state.disks.entry((self.host, self.path.clone())).or_default();
            let unsynced = std::mem::take(&mut file.unsynced);
            file.synced.extend(unsynced);
            Ok(())
        })
    }
}

impl Disk {
    /// Calls `operation` with the state and the host's number, unless the host was killed.
    fn with<T>(&self, operation: impl FnOnce(&mut State, u32) -> io::Result<T>) -> io::Result<T> {
        let mut state = lock(&self.state);
        check_running(&state, self.host, self.generation)?;
        operation(&mut state, self.host)
    }
}

impl Files for Disk {
    fn append<'a>(&'a self, path: &'a Path, len: u64) -> BoxFuture<'a, io::Result<Box<dyn Append>>> {
        Box::pin(async move {
            self.with(|state, host| {
                let file = state.disks.entry((host, path.to_owned())).or_default();
                let unsynced = std::mem::take(&mut file.unsynced);
                file.synced.extend(unsynced);
                file.synced.truncate(usize::try_from(len).unwrap_or(usize::MAX));
                Ok(())
            })?;
            let file = AppendFile {
                state: self.state.clone(),
                host: self.host,
                generation: self.generation,
                path: path.to_owned(),
            };
            Ok(Box::new(file) as Box<dyn Append>)
        })
    }

    fn names<'a>(&'a self, folder: &'a Path) -> BoxFuture<'a, io::Result<Vec<String>>> {
        Box::pin(async move {
            self.with(|state, host| {
                let files = state.disks.keys().filter(|k| k.0 == host && k.1.parent() == Some(folder));
                Ok(files.filter_map(|k| Some(k.1.file_name()?.to_str()?.to_owned())).collect())
            })
        })
    }

    fn read<'a>(&'a self, path: &'a Path, max_len: u64) -> BoxFuture<'a, io::Result<Vec<u8>>> {
        Box::pin(async move {
            self.with(|state, host| {
                let file = state.disks.get(&(host, path.to_owned())).ok_or(io::ErrorKind::NotFound)?;
                let bytes = [&file.synced[..], &file.unsynced].concat();
                if bytes.len() as u64 > max_len {
                    return Err(io::ErrorKind::FileTooLarge.into());
                }
                Ok(bytes)
            })
        })
    }

    fn replace<'a>(&'a self, path: &'a Path, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            self.with(|state, host| {
                state
                    .disks
                    .insert((host, path.to_owned()), FileContent { synced: bytes, unsynced: Vec::new() });
                Ok(())
            })
        })
    }

    fn create<'a>(&'a self, path: &'a Path, bytes: Vec<u8>) -> BoxFuture<'a, io::Result<bool>> {
        Box::pin(async move {
            self.with(|state, host| {
                let key = (host, path.to_owned());
                let new = !state.disks.contains_key(&key);
                if new {
                    state.disks.insert(key, FileContent { synced: bytes, unsynced: Vec::new() });
                }
                Ok(new)
            })
        })
    }

    fn remove<'a>(&'a self, path: &'a Path) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            self.with(|state, host| {
                state.disks.remove(&(host, path.to_owned()));
                Ok(())
            })
        })
    }

    fn stamp<'a>(&'a self, path: &'a Path) -> BoxFuture<'a, io::Result<(Micros, u64)>> {
        Box::pin(async move {
            self.with(|state, host| {
                let file = state.disks.get(&(host, path.to_owned())).ok_or(io::ErrorKind::NotFound)?;
                Ok((0, (file.synced.len() + file.unsynced.len()) as u64))
            })
        })
    }
}
