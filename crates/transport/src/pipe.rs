//! A stream together with the state machine of its protocol.

use crate::connection_memory::ConnectionMemory;
use crate::linger::linger;
use crate::machine::Machine;
use crate::memory_budget::MemoryBudget;
use async_channel::{Receiver, Sender, TrySendError};
use bytes::Buf;
use chalkgap_runtime::{Alarm, Micros, Shared, Stream};
use chalkgap_wire::http2::{ConnError, Connection};
use futures_lite::{future, AsyncRead, AsyncWrite, Stream as _};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// While this many bytes or more are unwritten, because the peer reads too slowly, a pipe neither reads bytes nor takes
/// commands.
const HIGH_WATER_BYTES: usize = 256 << 10;
/// Maximum number of bytes per read. The buffer is on the stack, so that an idle connection holds no read buffer.
const READ_BYTES: usize = 4 << 10;
/// Maximum number of consecutive turns without a wait before the task yields. With [`READ_BYTES`] it limits how long a peer that
/// sends without end can keep other tasks of the thread waiting.
const TURNS_BEFORE_YIELD: u32 = 2;
/// Interval at which a stream that is not read is checked for whether the peer has left. The end of the stream does not
/// wake the task while unread bytes precede it, and a client that leaves has to be noticed within 100 ms.
const PEER_LEFT_CHECK_MICROS: Micros = 25_000;

/// The event with which a [`Pipe::turn`] ended.
pub enum Turn<C, E = ConnError> {
    /// The state machine may have events: it has processed received bytes, or has given up an unfinished message.
    Read,
    /// A command arrived.
    Command(C),
    /// The time passed as `until` was reached.
    Time,
    /// The sender of the signal was dropped.
    Signal,
    /// The peer violated the protocol. The state machine's output reports that to the peer.
    ProtocolError(E),
    /// The stream ended or failed, the peer has closed it while it was not read, or all senders of commands were dropped.
    Closed,
}

/// Error of a write to a stream that has ended or failed.
struct StreamEnded;

/// What the owner of a pipe holds for the peer beside the state machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnerState {
    /// Bytes of messages that are not complete.
    pub unfinished_bytes: usize,
    /// Whether the owner has requests of the peer to complete.
    pub has_requests: bool,
}

/// A stream and its state machine, with a channel of commands from other tasks. The pipe also reports a signal: that the
/// sender of another channel was dropped.
pub struct Pipe<C, M = Connection> {
    runtime: Shared,
    stream: Box<dyn Stream>,
    /// The state machine.
    pub conn: M,
    commands: Pin<Box<Receiver<C>>>,
    /// `None` once the signal was reported.
    signal: Option<Pin<Box<Receiver<()>>>>,
    alarm: Alarm,
    /// The time since which there have been unwritten bytes, and the number of bytes written since then.
    backlog: Option<(Micros, u64)>,
    /// The time of the next check for whether the peer has left. `None` while the stream is read.
    next_peer_check: Option<Micros>,
    /// The time since which the stream has been read without a pause. `None` while it is not read.
    reading_since: Option<Micros>,
    /// Number of turns that ended without a wait since the last wait.
    turns_without_wait: u32,
    /// `None` if no budget limits the connection.
    memory: Option<ConnectionMemory>,
    owner_state: OwnerState,
    /// Whether the stream is not read because the budget does not allow it.
    awaits_memory: bool,
}

impl<C, M: Machine> Pipe<C, M> {
    /// Creates a pipe. [`Pipe::turn`] returns [`Turn::Closed`] when `commands` is closed, and [`Turn::Signal`] once
    /// when the sender of `signal` is dropped.
    pub fn new(
        runtime: Shared,
        stream: Box<dyn Stream>,
        conn: M,
        commands: Receiver<C>,
        signal: Receiver<()>,
    ) -> Self {
        Pipe {
            alarm: Alarm::new(runtime.clone()),
            runtime,
            stream,
            conn,
            commands: Box::pin(commands),
            signal: Some(Box::pin(signal)),
            backlog: None,
            next_peer_check: None,
            reading_since: None,
            turns_without_wait: 0,
            memory: None,
            owner_state: OwnerState::default(),
            awaits_memory: false,
        }
    }

    /// Limits what the connection holds beyond `guaranteed_bytes` by a budget. While the budget does not allow it to hold more,
    /// the stream is not read.
    #[must_use]
    pub fn with_memory(mut self, budget: Arc<MemoryBudget>, guaranteed_bytes: usize) -> Self {
        self.memory = Some(ConnectionMemory::new(budget, guaranteed_bytes));
        self
    }

    /// Tells the pipe what its owner holds for the peer beside the state machine.
    pub fn set_owner_state(&mut self, state: OwnerState) {
        self.owner_state = state;
    }

    /// Whether the stream is not read because the budget does not allow the connection to hold more.
    pub fn awaits_memory(&self) -> bool {
        self.awaits_memory
    }

    /// Returns the time since which there have been unwritten bytes without interruption, and the number of bytes
    /// written since then. Returns `None` if the last turn left no unwritten bytes.
    pub fn backlog(&self) -> Option<(Micros, u64)> {
        self.backlog
    }

    /// Returns the time since which the peer has had to wait for nothing but its own bytes, if they are awaited since `since`. A
    /// timeout for bytes of the peer starts there: while the stream is not read, the bytes may have arrived.
    pub fn awaiting_since(&self, since: Micros) -> Micros {
        since.max(self.reading_since.unwrap_or_else(|| self.runtime.now()))
    }

    /// Watches another signal instead of the one passed before. It is reported once, as [`Turn::Signal`].
    pub fn watch(&mut self, signal: Receiver<()>) {
        self.signal = Some(Box::pin(signal));
    }

    /// Returns a command that has already arrived, if any.
    pub fn command(&self) -> Option<C> {
        self.commands.try_recv().ok()
    }

    /// Sends `item` on a channel as soon as the channel has capacity. Nothing is read from the stream meanwhile.
    ///
    /// Returns `Some(true)` if the item was sent, `Some(false)` if the channel is closed, and `None` if the peer left
    /// before the channel had capacity.
    pub async fn hand_over<T>(&mut self, channel: &Sender<T>, item: T) -> Option<bool> {
        let item = match channel.try_send(item) {
            Ok(()) => return Some(true),
            Err(TrySendError::Closed(_)) => return Some(false),
            Err(TrySendError::Full(item)) => item,
        };
        self.reading_since = None;
        let sent = async { Some(channel.send(item).await.is_ok()) };
        let runtime = &self.runtime;
        let stream = &mut self.stream;
        let peer_left = async move {
            while !stream.peer_closed() {
                runtime.sleep_until(runtime.now() + PEER_LEFT_CHECK_MICROS).await;
            }
            None
        };
        future::or(sent, peer_left).await
    }

    /// Writes the output, then waits for the next [`Turn`]. Returns [`Turn::Time`] if none occurs before `until`. Bytes
    /// are read only if `read` is true; a peer that leaves is noticed in either case. A pipe that always has something to do
    /// yields to other tasks between turns.
    ///
    /// The future may be dropped at any time: all state is kept in the pipe.
    pub async fn turn(&mut self, until: Option<Micros>, read: bool) -> Turn<C, M::Error> {
        self.yield_if_busy().await;
        future::poll_fn(|cx| self.poll_turn(cx, until, read)).await
    }

    /// The same as [`Pipe::turn`] for a connection that is to be closed. Returns `None` once all output is written and, if `read`
    /// is true, no received byte is unread: a close at that instant loses nothing that had arrived.
    pub async fn turn_before_close(
        &mut self,
        until: Option<Micros>,
        read: bool,
    ) -> Option<Turn<C, M::Error>> {
        self.yield_if_busy().await;
        future::poll_fn(|cx| match self.poll_turn(cx, until, read) {
            Poll::Ready(turn) => Poll::Ready(Some(turn)),
            Poll::Pending if self.backlog.is_none() => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        })
        .await
    }

    /// Closes the connection gracefully: writes the remaining output, shuts the write side, and discards what the peer
    /// still sends until the peer shuts its write side. Gives up at the time `until`.
    ///
    /// Closing a stream that has unread bytes would reset the connection, and the last answer could be lost in transit.
    pub async fn close(mut self, until: Micros) {
        let timeout = self.runtime.sleep_until(until);
        let end = future::poll_fn(|cx| match self.poll_write_output(cx) {
            Poll::Ready(Ok(())) => linger(&mut *self.stream, cx),
            Poll::Ready(Err(StreamEnded)) => Poll::Ready(()),
            Poll::Pending => Poll::Pending,
        });
        future::or(end, timeout).await;
    }

    /// Yields to other tasks if the last turns ended without a wait.
    async fn yield_if_busy(&mut self) {
        if self.turns_without_wait >= TURNS_BEFORE_YIELD {
            self.turns_without_wait = 0;
            future::yield_now().await;
        }
    }

    fn poll_turn(
        &mut self,
        cx: &mut Context<'_>,
        until: Option<Micros>,
        read: bool,
    ) -> Poll<Turn<C, M::Error>> {
        let turn = self.poll_next_event(cx, until, read);
        self.turns_without_wait = if turn.is_ready() { self.turns_without_wait + 1 } else { 0 };
        turn
    }

    /// If several turns are possible, the order of the checks decides which is returned: a command, then received bytes,
    /// then the signal, then the time.
    fn poll_next_event(
        &mut self,
        cx: &mut Context<'_>,
        until: Option<Micros>,
        read: bool,
    ) -> Poll<Turn<C, M::Error>> {
        if let Some(turn) = self.poll_reclaimed(cx) {
            return Poll::Ready(turn);
        }
        match self.poll_write_output(cx) {
            Poll::Ready(Ok(())) => {
                self.backlog = None;
                self.conn.on_output_written();
            }
            Poll::Ready(Err(StreamEnded)) => return Poll::Ready(Turn::Closed),
            Poll::Pending => self.backlog = self.backlog.or_else(|| Some((self.runtime.now(), 0))),
        }
        let below_high_water = self.conn.unwritten_bytes() < HIGH_WATER_BYTES;
        if below_high_water {
            match self.commands.as_mut().poll_next(cx) {
                Poll::Ready(Some(command)) => return Poll::Ready(Turn::Command(command)),
                Poll::Ready(None) => return Poll::Ready(Turn::Closed),
                Poll::Pending => {}
            }
        }
        self.update_memory();
        let reads = below_high_water && read;
        self.awaits_memory = false;
        if !reads {
            self.reading_since = None;
        } else {
            let runtime = &self.runtime;
            self.reading_since.get_or_insert_with(|| runtime.now());
            if let Poll::Ready(turn) = self.poll_read(cx) {
                return Poll::Ready(turn);
            }
            self.update_memory();
        }
        if let Some(signal) = &mut self.signal {
            if signal.as_mut().poll_next(cx).is_ready() {
                self.signal = None;
                return Poll::Ready(Turn::Signal);
            }
        }
        self.poll_time(cx, until, reads)
    }

    /// Writes as much of the output as the stream accepts. Ready when all of it is written.
    fn poll_write_output(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), StreamEnded>> {
        loop {
            let output = self.conn.output();
            if output.is_empty() {
                return Poll::Ready(Ok(()));
            }
            match Pin::new(&mut self.stream).poll_write(cx, output) {
                Poll::Ready(Ok(count)) if count > 0 => {
                    output.advance(count);
                    if let Some((_, written)) = &mut self.backlog {
                        *written += count as u64;
                    }
                }
                Poll::Ready(_) => return Poll::Ready(Err(StreamEnded)),
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    /// Returns a turn if the state machine was told to give up an unfinished message.
    fn poll_reclaimed(&mut self, cx: &mut Context<'_>) -> Option<Turn<C, M::Error>> {
        let is_reclaimed = self.memory.as_mut().is_some_and(|memory| memory.poll_reclaimed(cx));
        let is_reclaimed = is_reclaimed && !self.owner_state.has_requests;
        is_reclaimed.then(|| self.conn.reclaim().map_or_else(Turn::ProtocolError, |()| Turn::Read))
    }

    /// Tells the budget what the connection holds.
    fn update_memory(&mut self) {
        if let Some(memory) = &mut self.memory {
            let OwnerState { unfinished_bytes, has_requests } = self.owner_state;
            let conn = &self.conn;
            let unfinished = || if has_requests { 0 } else { conn.unfinished_bytes() + unfinished_bytes };
            memory.update(&*self.runtime, conn.held_bytes() + unfinished_bytes, unfinished);
        }
    }

    /// Returns how many bytes may be read now, after reserving memory for them.
    fn reserve_for_read(&mut self) -> usize {
        let max_bytes = READ_BYTES.min(self.conn.max_read_bytes());
        let Some(memory) = &mut self.memory else { return max_bytes };
        let owned = self.owner_state.unfinished_bytes;
        if memory.reserve(&*self.runtime, self.conn.held_bytes_after(max_bytes) + owned) {
            return max_bytes;
        }
        max_bytes.min(memory.guaranteed_rest(self.conn.held_bytes() + owned))
    }

    fn poll_read(&mut self, cx: &mut Context<'_>) -> Poll<Turn<C, M::Error>> {
        let max_bytes = self.reserve_for_read();
        self.awaits_memory = max_bytes == 0;
        if self.awaits_memory {
            return Poll::Pending;
        }
        let mut buffer = [0; READ_BYTES];
        match Pin::new(&mut self.stream).poll_read(cx, &mut buffer[..max_bytes]) {
            Poll::Ready(Ok(count)) if count > 0 => {
                let received = self.conn.receive(self.runtime.now(), &buffer[..count]);
                Poll::Ready(received.map_or_else(Turn::ProtocolError, |()| Turn::Read))
            }
            Poll::Ready(_) => Poll::Ready(Turn::Closed),
            Poll::Pending => Poll::Pending,
        }
    }

    /// Waits for the time `until` and, if the stream is not read, for the peer to leave or for memory.
    fn poll_time(
        &mut self,
        cx: &mut Context<'_>,
        until: Option<Micros>,
        reads: bool,
    ) -> Poll<Turn<C, M::Error>> {
        loop {
            self.next_peer_check = if reads && !self.awaits_memory {
                None
            } else {
                self.next_peer_check.or_else(|| Some(self.runtime.now() + PEER_LEFT_CHECK_MICROS))
            };
            let wake_at = until.into_iter().chain(self.next_peer_check).min();
            if self.alarm.poll(wake_at, cx).is_pending() {
                return Poll::Pending;
            }
            let now = self.runtime.now();
            if until.is_some_and(|until| until <= now) {
                return Poll::Ready(Turn::Time);
            }
            if self.stream.peer_closed() {
                return Poll::Ready(Turn::Closed);
            }
            self.next_peer_check = None;
            if self.awaits_memory {
                cx.waker().wake_by_ref(); // the next poll tries to read again
                return Poll::Pending;
            }
        }
    }
}
