//! A stream with the state machine of its protocol.

use crate::linger::linger;
use crate::machine::Machine;
use async_channel::{Receiver, Sender, TrySendError};
use bytes::Buf;
use chalkgap_runtime::{Alarm, Micros, Shared, Stream};
use chalkgap_wire::http2::{ConnError, Connection};
use futures_lite::{future, AsyncRead, AsyncWrite, Stream as _};
use std::pin::Pin;
use std::task::{Context, Poll};

/// With so many unwritten bytes nothing more is read or taken: the peer reads too slowly.
const HIGH_WATER_BYTES: usize = 256 << 10;
/// Bytes of one read. The buffer is on the stack, so that an idle connection holds none.
const READ_BYTES: usize = 16 << 10;
/// How often a stream that is not read is checked for a peer that has left: bytes that lie before the end of the stream
/// keep it from waking the task. Clients that leave have to be noticed within a tenth of a second.
const PEER_LEFT_CHECK_MICROS: Micros = 25_000;

/// What ended a [`Pipe::turn`].
pub enum Turn<C, E = ConnError> {
    /// Bytes were received: the state machine may have events.
    Read,
    /// A command arrived.
    Command(C),
    /// The requested time has come.
    Time,
    /// The signal's other end was dropped.
    Signal,
    /// The peer broke the protocol; the state machine's output says so to the peer.
    Bad(E),
    /// The stream ended, or nobody can send commands any more.
    Closed,
}

/// A stream has ended, or failed, while it was written to.
struct StreamEnded;

/// A stream with its state machine, commands from other tasks, and a signal.
pub struct Pipe<C, M = Connection> {
    runtime: Shared,
    stream: Box<dyn Stream>,
    /// The state machine.
    pub conn: M,
    commands: Pin<Box<Receiver<C>>>,
    signal: Option<Pin<Box<Receiver<()>>>>,
    alarm: Alarm,
    /// Since when there have been unwritten bytes, and how many were written since.
    backlog: Option<(Micros, u64)>,
    /// When to check next whether the peer has left, while nothing is read.
    next_peer_check: Option<Micros>,
}

impl<C, M: Machine> Pipe<C, M> {
    /// A pipe that ends when `commands` is closed. The `signal` is reported once, when its other end is dropped.
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
        }
    }

    /// Since when there have been unwritten bytes without a pause, and how many bytes the peer has taken since.
    pub fn backlog(&self) -> Option<(Micros, u64)> {
        self.backlog
    }

    /// Replaces the signal.
    pub fn watch(&mut self, signal: Receiver<()>) {
        self.signal = Some(Box::pin(signal));
    }

    /// A command that has arrived already.
    pub fn command(&self) -> Option<C> {
        self.commands.try_recv().ok()
    }

    /// Sends `item` as soon as the channel has capacity. `Some(true)` if it was taken, `Some(false)` if the channel is
    /// closed, `None` if the peer left first. Nothing is read meanwhile.
    pub async fn hand_over<T>(&mut self, channel: &Sender<T>, item: T) -> Option<bool> {
        let item = match channel.try_send(item) {
            Ok(()) => return Some(true),
            Err(TrySendError::Closed(_)) => return Some(false),
            Err(TrySendError::Full(item)) => item,
        };
        let sent = async { Some(channel.send(item).await.is_ok()) };
        let runtime = &self.runtime;
        let stream = &mut self.stream;
        let peer_left = async move {
            while !stream.left() {
                runtime.sleep_until(runtime.now() + PEER_LEFT_CHECK_MICROS).await;
            }
            None
        };
        future::or(sent, peer_left).await
    }

    /// Writes the output, then waits until something happens, at the latest until `until`. Bytes are read only where
    /// `read` is set; a peer that leaves is noticed either way.
    ///
    /// Dropping the future loses nothing: state stays in the pipe.
    pub async fn turn(&mut self, until: Option<Micros>, read: bool) -> Turn<C, M::Error> {
        future::poll_fn(|cx| self.poll_turn(cx, until, read)).await
    }

    /// Closes the connection in order: writes the remaining output as far as the peer reads it, shuts the write side, and
    /// discards what the peer still sends until it shuts its own side, or until `until`. To close over unread bytes would
    /// reset the connection and destroy the last answer on its way.
    pub async fn close(mut self, until: Micros) {
        let timeout = self.runtime.sleep_until(until);
        let end = future::poll_fn(|cx| match self.poll_write_output(cx) {
            Poll::Ready(Ok(())) => linger(&mut *self.stream, cx),
            Poll::Ready(Err(StreamEnded)) => Poll::Ready(()),
            Poll::Pending => Poll::Pending,
        });
        future::or(end, timeout).await;
    }

    /// The order of the checks decides what is reported first: commands, then bytes, then the signal, then the time.
    fn poll_turn(
        &mut self,
        cx: &mut Context<'_>,
        until: Option<Micros>,
        read: bool,
    ) -> Poll<Turn<C, M::Error>> {
        match self.poll_write_output(cx) {
            Poll::Ready(Ok(())) => self.backlog = None,
            Poll::Ready(Err(StreamEnded)) => return Poll::Ready(Turn::Closed),
            Poll::Pending => self.backlog = self.backlog.or_else(|| Some((self.runtime.now(), 0))),
        }
        let below_high_water = self.conn.output().len() < HIGH_WATER_BYTES;
        if below_high_water {
            match self.commands.as_mut().poll_next(cx) {
                Poll::Ready(Some(command)) => return Poll::Ready(Turn::Command(command)),
                Poll::Ready(None) => return Poll::Ready(Turn::Closed),
                Poll::Pending => {}
            }
        }
        let reads = below_high_water && read;
        if reads {
            if let Poll::Ready(turn) = self.poll_read(cx) {
                return Poll::Ready(turn);
            }
        }
        if let Some(signal) = &mut self.signal {
            if signal.as_mut().poll_next(cx).is_ready() {
                self.signal = None;
                return Poll::Ready(Turn::Signal);
            }
        }
        self.poll_time(cx, until, reads)
    }

    /// Writes as much of the output as the stream takes; ready when all is written.
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

    fn poll_read(&mut self, cx: &mut Context<'_>) -> Poll<Turn<C, M::Error>> {
        let mut buffer = [0; READ_BYTES];
        match Pin::new(&mut self.stream).poll_read(cx, &mut buffer) {
            Poll::Ready(Ok(count)) if count > 0 => {
                let received = self.conn.receive(self.runtime.now(), &buffer[..count]);
                Poll::Ready(received.map_or_else(Turn::Bad, |()| Turn::Read))
            }
            Poll::Ready(_) => Poll::Ready(Turn::Closed),
            Poll::Pending => Poll::Pending,
        }
    }

    /// Waits for `until` and, where the stream is not read, for a peer that leaves.
    fn poll_time(
        &mut self,
        cx: &mut Context<'_>,
        until: Option<Micros>,
        reads: bool,
    ) -> Poll<Turn<C, M::Error>> {
        loop {
            self.next_peer_check = if reads {
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
            if self.stream.left() {
                return Poll::Ready(Turn::Closed);
            }
            self.next_peer_check = None;
        }
    }
}
