//! A crowd of clients that use memory of an ingress in some way and return as soon as their connection is closed.

use crate::commands;
use chalkgap_runtime::system::System;
use chalkgap_runtime::{Runtime, Shared, Stream};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;

/// Interval at which a slow client sends the next part of its command.
const SLOW_PART_MICROS: u64 = 60_000;
/// Length of such a part.
const SLOW_PART_BYTES: usize = 1 << 10;
/// Pause of a client before it returns.
const RETURN_MICROS: u64 = 2_000;
/// Interval at which a client that reads nothing looks whether its connection was closed.
const CHECK_MICROS: u64 = 20_000;
/// Number of whole submits that a client sends at once.
const SUBMITS_AT_ONCE: u64 = 4;
/// Number of queries with long values that a client sends at once.
const LONG_QUERIES_AT_ONCE: u64 = 8;
/// Number of queries with short values that a client sends at once.
const SHORT_QUERIES_AT_ONCE: u64 = 300;
/// Number of unsound commands that a client sends at once.
const UNSOUND_COMMANDS_AT_ONCE: usize = 10_000;

/// What the clients of a crowd send.
#[derive(Clone, Copy, Debug)]
pub enum Behaviour {
    /// Half of a submit of 64 KiB, then nothing.
    HalfSubmit,
    /// A submit of 64 KiB in small parts.
    SlowSubmit,
    /// A command with a list of very many short attributes, without its end.
    ShortAttributes,
    /// Whole submits of 64 KiB at once; the answers are read.
    WholeSubmits,
    /// Queries with values of 64 KiB; nothing is read.
    UnreadLongValues,
    /// Many queries with short values; nothing is read.
    UnreadShortValues,
    /// As many unsound commands as the connection takes; nothing is read.
    UnreadErrors,
    /// One byte, then nothing.
    OneByte,
}

/// The ids of the crowd's requests. Those of the usual clients are smaller.
static NEXT_ID: AtomicU64 = AtomicU64::new(1 << 40);

fn take_ids(count: u64) -> impl Iterator<Item = u64> {
    let first = NEXT_ID.fetch_add(count, Ordering::Relaxed);
    first..first + count
}

impl Behaviour {
    /// All of them.
    pub const ALL: [Behaviour; 8] = [
        Behaviour::HalfSubmit,
        Behaviour::SlowSubmit,
        Behaviour::ShortAttributes,
        Behaviour::WholeSubmits,
        Behaviour::UnreadLongValues,
        Behaviour::UnreadShortValues,
        Behaviour::UnreadErrors,
        Behaviour::OneByte,
    ];

    /// Plays one connection. Returns when the connection ends.
    async fn play(self, runtime: &Shared, stream: &mut Box<dyn Stream>) -> io::Result<()> {
        let long_submits =
            |count| take_ids(count).flat_map(|id| commands::submit(id, commands::LONG_BODY_BYTES));
        match self {
            Behaviour::HalfSubmit => {
                let submit: Vec<u8> = long_submits(1).collect();
                stream.write_all(&submit[..submit.len() / 2]).await?;
            }
            Behaviour::SlowSubmit => {
                let submit: Vec<u8> = long_submits(1).collect();
                for part in submit.chunks(SLOW_PART_BYTES) {
                    stream.write_all(part).await?;
                    let pause = runtime.sleep_until(runtime.now() + SLOW_PART_MICROS);
                    let paused = async {
                        pause.await;
                        Ok(())
                    };
                    future::or(read_to_end(stream), paused).await?;
                }
            }
            Behaviour::ShortAttributes => stream.write_all(&commands::unfinished_attributes()).await?,
            Behaviour::WholeSubmits => {
                let batch: Vec<u8> = long_submits(SUBMITS_AT_ONCE).collect();
                stream.write_all(&batch).await?;
                return read_answers(stream, SUBMITS_AT_ONCE).await;
            }
            Behaviour::UnreadLongValues => {
                let batch: Vec<u8> =
                    take_ids(LONG_QUERIES_AT_ONCE).flat_map(commands::query_with_long_value).collect();
                stream.write_all(&batch).await?;
                return wait_for_close(runtime, stream).await;
            }
            Behaviour::UnreadShortValues => {
                let batch: Vec<u8> = take_ids(SHORT_QUERIES_AT_ONCE).flat_map(commands::query).collect();
                stream.write_all(&batch).await?;
                return wait_for_close(runtime, stream).await;
            }
            Behaviour::UnreadErrors => {
                let batch = commands::unsound().repeat(UNSOUND_COMMANDS_AT_ONCE);
                stream.write_all(&batch).await?;
                return wait_for_close(runtime, stream).await;
            }
            Behaviour::OneByte => stream.write_all(b"*").await?,
        }
        read_to_end(stream).await
    }
}

async fn read_to_end(stream: &mut Box<dyn Stream>) -> io::Result<()> {
    let mut chunk = [0; 4096];
    while stream.read(&mut chunk).await? > 0 {}
    Err(io::ErrorKind::UnexpectedEof.into())
}

/// Reads `count` answers. Each has one of the bytes that begin a value and an error.
async fn read_answers(stream: &mut Box<dyn Stream>, count: u64) -> io::Result<()> {
    let mut chunk = [0; 4096];
    let mut answers = 0;
    while answers < count {
        let length = stream.read(&mut chunk).await?;
        if length == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        answers += chunk[..length].iter().filter(|byte| matches!(byte, b'$' | b'-')).count() as u64;
    }
    Ok(())
}

async fn wait_for_close(runtime: &Shared, stream: &mut Box<dyn Stream>) -> io::Result<()> {
    while !stream.peer_closed() {
        runtime.sleep_until(runtime.now() + CHECK_MICROS).await;
    }
    Ok(())
}

/// A running crowd. All its connections are closed when it is dropped.
pub struct Crowd {
    stop: async_channel::Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Starts `clients` clients, which have the behaviours in turn.
    pub fn start(address: SocketAddr, clients: usize, behaviours: &'static [Behaviour]) -> Crowd {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let thread = std::thread::spawn(move || {
            let system = System::new();
            let runtime: Shared = system.clone();
            let start = |number: usize| {
                let client = run_client(runtime.clone(), address, behaviours[number % behaviours.len()]);
                let stopped = stopped.clone();
                let stop = async move {
                    let _ = stopped.recv().await; // nothing is sent
                };
                system.spawn(Box::pin(future::or(stop, client)))
            };
            let clients: Vec<_> = (0..clients).map(start).collect();
            system.run(async {
                for client in clients {
                    client.await;
                }
            });
        });
        Crowd { stop, thread: Some(thread) }
    }
}

async fn run_client(runtime: Shared, address: SocketAddr, behaviour: Behaviour) {
    loop {
        if let Ok(mut stream) = runtime.connect(address).await {
            let _ = behaviour.play(&runtime, &mut stream).await; // ends with the connection
        }
        runtime.sleep_until(runtime.now() + RETURN_MICROS).await;
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
