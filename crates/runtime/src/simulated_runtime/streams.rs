//! Streams of the simulation, and the listeners that accept them.

use super::{lock, Cut, State, WINDOW_BYTES};
use crate::link_faults::CUT_POLL_INTERVAL_MICROS;
use crate::{BoxFuture, Listener, Micros, Stream};
use futures_lite::future;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};

/// One direction of a stream.
#[derive(Default)]
pub(super) struct Direction {
    /// Writes that were not read yet, each with its arrival time.
    pub(super) in_flight: VecDeque<(Micros, Vec<u8>)>,
    /// Number of bytes in `in_flight`.
    pub(super) in_flight_bytes: usize,
    /// The writer has closed; the reader sees the end of the stream after all bytes.
    pub(super) closed: bool,
    /// The reader was dropped, a host was killed or the link was reset.
    pub(super) reset: bool,
    pub(super) reader: Option<Waker>,
    pub(super) writer: Option<Waker>,
}

impl Direction {
    pub(super) fn wake(&mut self) {
        self.reader.take().into_iter().chain(self.writer.take()).for_each(Waker::wake);
    }
}

/// One end of a stream.
pub(super) struct SimulatedStream {
    pub(super) state: Arc<Mutex<State>>,
    /// The host of this end.
    pub(super) local_host: u32,
    /// The host of the other end.
    pub(super) peer_host: u32,
    pub(super) peer: SocketAddr,
    pub(super) read: Arc<Mutex<Direction>>,
    pub(super) write: Arc<Mutex<Direction>>,
}

impl Stream for SimulatedStream {
    fn peer(&self) -> SocketAddr {
        self.peer
    }

    fn peer_closed(&self) -> bool {
        let state = lock(&self.state);
        let link = state.link(self.peer_host, self.local_host);
        let direction = lock(&self.read);
        // The end of the stream arrives after all bytes sent before it.
        let all_arrived = direction.in_flight.back().is_none_or(|(at, _)| *at <= state.now);
        link.cut != Some(Cut::Silent)
            && !link.half_open
            && (direction.reset || direction.closed && all_arrived)
    }

    fn acknowledge(&self) -> io::Result<()> {
        Ok(()) // no write of the simulation waits for an acknowledgement
    }
}

impl futures_lite::AsyncRead for SimulatedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        let mut state = lock(&self.state);
        let link = state.link(self.peer_host, self.local_host);
        let mut direction = lock(&self.read);
        let ended = direction.reset || direction.closed && direction.in_flight.is_empty();
        if link.cut == Some(Cut::Silent) || link.half_open && ended {
            let next_poll = state.now + CUT_POLL_INTERVAL_MICROS;
            state.wake_at(next_poll, cx.waker().clone());
            return Poll::Pending;
        }
        if direction.reset {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let closed = direction.closed;
        match direction.in_flight.front_mut() {
            Some((at, bytes)) if *at <= state.now => {
                let len = bytes.len().min(buffer.len());
                buffer[..len].copy_from_slice(&bytes[..len]);
                bytes.drain(..len);
                if bytes.is_empty() {
                    direction.in_flight.pop_front();
                }
                direction.in_flight_bytes -= len;
                if let Some(writer) = direction.writer.take() {
                    writer.wake();
                }
                Poll::Ready(Ok(len))
            }
            Some((at, _)) => {
                state.wake_at(*at, cx.waker().clone());
                direction.reader = Some(cx.waker().clone());
                Poll::Pending
            }
            None if closed => Poll::Ready(Ok(0)),
            None => {
                direction.reader = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }
}

impl futures_lite::AsyncWrite for SimulatedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let mut state = lock(&self.state);
        let mut direction = lock(&self.write);
        if direction.reset || direction.closed {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let len = bytes.len().min(WINDOW_BYTES - direction.in_flight_bytes.min(WINDOW_BYTES));
        if len == 0 {
            direction.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        // Streams are not reordered: a write arrives after all earlier ones.
        let last_arrival = direction.in_flight.back().map_or(0, |write| write.0);
        let link = state.link(self.local_host, self.peer_host);
        let arrival = state.now + link.sample_stream_delay(&mut state.rng);
        let arrival = arrival.max(last_arrival) + link.transmission_time(len);
        direction.in_flight.push_back((arrival, bytes[..len].to_vec()));
        direction.in_flight_bytes += len;
        if let Some(reader) = direction.reader.take() {
            state.wake_at(arrival, reader);
        }
        Poll::Ready(Ok(len))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut direction = lock(&self.write);
        direction.closed = true;
        direction.wake();
        Poll::Ready(Ok(()))
    }
}

impl Drop for SimulatedStream {
    fn drop(&mut self) {
        let mut write = lock(&self.write);
        write.closed = true;
        write.wake();
        drop(write);
        let mut read = lock(&self.read);
        read.reset = true;
        read.wake();
    }
}

pub(super) struct SimulatedListener {
    pub(super) state: Arc<Mutex<State>>,
    pub(super) at: SocketAddr,
    pub(super) generation: u64,
}

impl Listener for SimulatedListener {
    fn address(&self) -> SocketAddr {
        self.at
    }

    fn accept(&self) -> BoxFuture<'_, io::Result<Box<dyn Stream>>> {
        Box::pin(future::poll_fn(|cx| {
            let mut state = lock(&self.state);
            let listener = state.listeners.get_mut(&self.at);
            let Some(listener) = listener.filter(|l| l.generation == self.generation) else {
                return Poll::Pending;
            };
            if let Some(stream) = listener.pending.pop_front() {
                return Poll::Ready(Ok(Box::new(stream) as Box<dyn Stream>));
            }
            listener.waker = Some(cx.waker().clone());
            Poll::Pending
        }))
    }
}

impl Drop for SimulatedListener {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        if state.listeners.get(&self.at).is_some_and(|l| l.generation == self.generation) {
            state.listeners.remove(&self.at);
        }
    }
}
