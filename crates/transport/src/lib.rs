//! Moves bytes between a stream and a connection's state machine, for both sides: the one place that reads and writes.
//! A task owns a [`Pipe`] and takes turns on it; others reach it by a bounded channel of commands.

pub mod unary;

use async_channel::{Receiver, Sender, TrySendError};
use bytes::{Buf, BytesMut};
use chalkgap_runtime::{Alarm, Micros, Shared, Stream};
use chalkgap_wire::http2::{ConnError, Connection};
use chalkgap_wire::mqtt;
use futures_lite::{future, AsyncRead, AsyncWrite, Stream as _};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Unwritten bytes from which nothing more is read or taken: the peer reads too slowly.
const HIGH_WATER: usize = 256 << 10;
/// What is read at once. On the stack: an idle connection holds no buffer.
const READ: usize = 16 << 10;
/// How often it is looked whether a peer has left while nothing is read from it: nothing wakes a task for that where bytes
/// lie before the end. A client that left is to be known of within a tenth of a second.
const LOOK: Micros = 25_000;
/// Pieces of what is thrown away at once, before others have their turn.
const PIECES: usize = 16;

/// Runs a task until it ends, or until the other end of `life` is dropped, at its next pause then.
pub async fn while_alive(life: Receiver<()>, task: impl Future<Output = ()>) {
    let over = async move {
        let _ = life.recv().await; // nothing is ever sent: it ends when the sender is gone
    };
    future::or(over, task).await;
}

/// Shuts the write side of a stream, once, then reads and throws away until the other side is shut as well.
pub fn linger(stream: &mut dyn Stream, cx: &mut Context<'_>) -> Poll<()> {
    // Shut twice it is shut once; one that has ended already has nothing to be waited for.
    match Pin::new(&mut *stream).poll_close(cx) {
        Poll::Ready(Ok(())) => {}
        Poll::Ready(Err(_)) => return Poll::Ready(()),
        Poll::Pending => return Poll::Pending,
    }
    let mut buffer = [0; READ];
    for _ in 0..PIECES {
        match Pin::new(&mut *stream).poll_read(cx, &mut buffer) {
            Poll::Ready(Ok(n)) if n > 0 => {}
            Poll::Ready(_) => return Poll::Ready(()),
            Poll::Pending => return Poll::Pending,
        }
    }
    cx.waker().wake_by_ref();
    Poll::Pending
}

/// A side of a connection that takes bytes and gives bytes, free of I/O.
pub trait Machine {
    /// Why a connection cannot go on.
    type Error;
    /// Bytes came, at a time in microseconds.
    ///
    /// # Errors
    /// The peer broke a rule; what is to be said of it is in the output.
    fn receive(&mut self, now: Micros, bytes: &[u8]) -> Result<(), Self::Error>;
    /// Bytes to be written.
    fn output(&mut self) -> &mut BytesMut;
}

impl Machine for Connection {
    type Error = ConnError;
    fn receive(&mut self, now: Micros, bytes: &[u8]) -> Result<(), ConnError> {
        Connection::receive(self, now, bytes)
    }
    fn output(&mut self) -> &mut BytesMut {
        Connection::output(self)
    }
}

impl Machine for mqtt::server::Server {
    type Error = mqtt::Error;
    fn receive(&mut self, _: Micros, bytes: &[u8]) -> Result<(), mqtt::Error> {
        mqtt::server::Server::receive(self, bytes)
    }
    fn output(&mut self) -> &mut BytesMut {
        mqtt::server::Server::output(self)
    }
}

/// What ended a turn.
pub enum Turn<C, E = ConnError> {
    /// Bytes came: there may be events.
    Read,
    /// A command came.
    Command(C),
    /// The time that was asked for has come.
    Time,
    /// The signal's other end was dropped.
    Signal,
    /// The peer broke a rule; the GOAWAY is to be written.
    Bad(E),
    /// The stream ended, or nobody can send commands any more.
    Closed,
}

/// A stream with its state machine, commands from inside and a signal.
pub struct Pipe<C, M = Connection> {
    runtime: Shared,
    stream: Box<dyn Stream>,
    /// The protocol.
    pub conn: M,
    commands: Pin<Box<Receiver<C>>>,
    signal: Option<Pin<Box<Receiver<()>>>>,
    alarm: Alarm,
    /// Since when unwritten bytes lie, and how many were written meanwhile.
    backlog: Option<(Micros, u64)>,
    /// When it is looked next whether the peer has left, while nothing is read.
    look: Option<Micros>,
}

impl<C, M: Machine> Pipe<C, M> {
    /// A pipe that ends when `commands` is closed; `signal` is told once when its other end is dropped.
    pub fn new(
        runtime: Shared,
        stream: Box<dyn Stream>,
        conn: M,
        commands: Receiver<C>,
        signal: Receiver<()>,
    ) -> Self {
        let alarm = Alarm::new(runtime.clone());
        let (commands, signal) = (Box::pin(commands), Some(Box::pin(signal)));
        Pipe { runtime, stream, conn, commands, signal, alarm, backlog: None, look: None }
    }

    /// Since when there have always been unwritten bytes, and how many the peer has read since.
    pub fn backlog(&self) -> Option<(Micros, u64)> {
        self.backlog
    }

    /// Waits for another signal's other end from now on.
    pub fn watch(&mut self, signal: Receiver<()>) {
        self.signal = Some(Box::pin(signal));
    }

    /// A command that is there already.
    pub fn command(&self) -> Option<C> {
        self.commands.try_recv().ok()
    }

    /// Hands something over, as soon as there is room for it: whether it was taken, or none where the peer left before.
    /// Nothing is read meanwhile, so leaving is looked for.
    pub async fn hand_over<T>(&mut self, to: &Sender<T>, what: T) -> Option<bool> {
        let what = match to.try_send(what) {
            Ok(()) => return Some(true),
            Err(TrySendError::Closed(_)) => return Some(false),
            Err(TrySendError::Full(what)) => what,
        };
        let sent = async { Some(to.send(what).await.is_ok()) };
        let (runtime, stream) = (&self.runtime, &mut self.stream);
        let left = async move {
            while !stream.left() {
                runtime.sleep_until(runtime.now() + LOOK).await;
            }
            None
        };
        future::or(sent, left).await
    }

    /// Writes what is to be written, then waits for something to happen. `read`: bytes may be taken. A peer that leaves is
    /// noticed all the same.
    pub async fn turn(&mut self, until: Option<Micros>, read: bool) -> Turn<C, M::Error> {
        future::poll_fn(|cx| {
            loop {
                let output = self.conn.output();
                if output.is_empty() {
                    self.backlog = None;
                    break;
                }
                match Pin::new(&mut self.stream).poll_write(cx, output) {
                    Poll::Ready(Ok(n)) if n > 0 => {
                        output.advance(n);
                        if let Some((_, written)) = &mut self.backlog {
                            *written += n as u64;
                        }
                    }
                    Poll::Ready(_) => return Poll::Ready(Turn::Closed),
                    Poll::Pending => {
                        self.backlog = self.backlog.or_else(|| Some((self.runtime.now(), 0)));
                        break;
                    }
                }
            }
            let calm = self.conn.output().len() < HIGH_WATER;
            if calm {
                match self.commands.as_mut().poll_next(cx) {
                    Poll::Ready(Some(c)) => return Poll::Ready(Turn::Command(c)),
                    Poll::Ready(None) => return Poll::Ready(Turn::Closed),
                    Poll::Pending => {}
                }
                let mut buffer = [0; READ];
                if read {
                    match Pin::new(&mut self.stream).poll_read(cx, &mut buffer) {
                        Poll::Ready(Ok(n)) if n > 0 => {
                            return Poll::Ready(match self.conn.receive(self.runtime.now(), &buffer[..n]) {
                                Ok(()) => Turn::Read,
                                Err(e) => Turn::Bad(e),
                            });
                        }
                        Poll::Ready(_) => return Poll::Ready(Turn::Closed),
                        Poll::Pending => {}
                    }
                }
            }
            if let Some(signal) = &mut self.signal {
                if signal.as_mut().poll_next(cx).is_ready() {
                    self.signal = None;
                    return Poll::Ready(Turn::Signal);
                }
            }
            loop {
                let look =
                    if calm && read { None } else { self.look.or_else(|| Some(self.runtime.now() + LOOK)) };
                self.look = look;
                let next = until.into_iter().chain(look).min();
                if self.alarm.poll(next, cx).is_pending() {
                    return Poll::Pending;
                }
                let now = self.runtime.now();
                if until.is_some_and(|u| u <= now) {
                    return Poll::Ready(Turn::Time);
                }
                if self.stream.left() {
                    return Poll::Ready(Turn::Closed);
                }
                self.look = None;
            }
        })
        .await
    }

    /// Ends the connection in order: what is left is written, as far as the peer reads it, the write side is shut, and what
    /// the peer still sends is read and thrown away until it has shut its own, or until a time. A close over unread bytes
    /// would be a reset, which destroys the last answer on its way.
    pub async fn close(mut self, until: Micros) {
        let end = future::poll_fn(|cx| {
            loop {
                let output = self.conn.output();
                if output.is_empty() {
                    break;
                }
                match Pin::new(&mut self.stream).poll_write(cx, output) {
                    Poll::Ready(Ok(n)) if n > 0 => output.advance(n),
                    Poll::Ready(_) => return Poll::Ready(()),
                    Poll::Pending => return Poll::Pending,
                }
            }
            linger(&mut *self.stream, cx)
        });
        future::or(end, self.runtime.sleep_until(until)).await;
    }
}
