//! Datagram sockets of the simulation.

use super::{host_at, lock, State};
use crate::{BoxFuture, Datagrams};
use futures_lite::future;
use rand::RngExt;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::task::Poll;

pub(super) struct SimulatedSocket {
    pub(super) state: Arc<Mutex<State>>,
    pub(super) at: SocketAddr,
    pub(super) generation: u64,
}

impl Datagrams for SimulatedSocket {
    fn address(&self) -> SocketAddr {
        self.at
    }

    fn send<'a>(&'a self, bytes: &'a [u8], to: SocketAddr) -> BoxFuture<'a, io::Result<()>> {
        Box::pin(async move {
            let mut state = lock(&self.state);
            let link = state.link(host_at(self.at), host_at(to));
            if state.rng.random::<f64>() < link.loss || link.cut.is_some() {
                return Ok(());
            }
            let copies = 1 + u32::from(state.rng.random::<f64>() < link.double);
            for _ in 0..copies {
                let delay = link.sample_delay(&mut state.rng) + link.transmission_time(bytes.len());
                state.sequence += 1;
                let key = (state.now + delay, state.sequence);
                state.datagrams.insert(key, (self.at, to, bytes.to_vec()));
            }
            Ok(())
        })
    }

    fn receive<'a>(&'a self, buffer: &'a mut [u8]) -> BoxFuture<'a, io::Result<(usize, SocketAddr)>> {
        Box::pin(future::poll_fn(move |cx| {
            let mut state = lock(&self.state);
            let socket = state.sockets.get_mut(&self.at);
            let Some(socket) = socket.filter(|s| s.generation == self.generation) else {
                return Poll::Pending;
            };
            if let Some((from, bytes)) = socket.received.pop_front() {
                let len = bytes.len().min(buffer.len());
                buffer[..len].copy_from_slice(&bytes[..len]);
                return Poll::Ready(Ok((len, from)));
            }
            socket.waker = Some(cx.waker().clone());
            Poll::Pending
        }))
    }
}

impl Drop for SimulatedSocket {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        if state.sockets.get(&self.at).is_some_and(|s| s.generation == self.generation) {
            state.sockets.remove(&self.at);
        }
    }
}
