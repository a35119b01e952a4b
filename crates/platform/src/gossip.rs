//! Gossip between ingresses, as datagrams of the core's bytes. A sender is known by its address; what a forged message
//! could do is bounded by the core, which decides nothing by messages alone.

use crate::request::ForwardedCommand;
use async_channel::{Receiver, Sender};
use chalkgap::frontend::{DriverEvent, TokenBucket};
use chalkgap::telemetry::{add, Telemetry};
use chalkgap_runtime::{Datagrams, Micros, Shared};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Bytes of a datagram, by the platform's limit and the core's.
const MAX_DATAGRAM_BYTES: usize = 256;
/// The delay after a failed receive.
const RECEIVE_ERROR_DELAY_MICROS: Micros = 1000;

/// A message for the gateway of this number.
pub type OutgoingGossip = (u16, Vec<u8>);

/// Sends messages until their channel is closed; `peers` are the addresses of the gateways by their numbers.
pub async fn send(socket: Arc<dyn Datagrams>, peers: Vec<SocketAddr>, outgoing: Receiver<OutgoingGossip>) {
    while let Ok((peer, message)) = outgoing.recv().await {
        let address = peers.get(usize::from(peer));
        if let Some(address) = address.filter(|_| message.len() <= MAX_DATAGRAM_BYTES) {
            // Any datagram may be lost: the core tolerates that.
            let _ = socket.send(&message, *address).await;
        }
    }
}

/// Receives messages of peers, at most `max_per_second`, until the driver stops.
pub async fn receive(
    runtime: Shared,
    socket: Arc<dyn Datagrams>,
    peers: Vec<SocketAddr>,
    max_per_second: f64,
    telemetry: Arc<Telemetry>,
    driver: Sender<DriverEvent<ForwardedCommand>>,
) {
    let peers_by_address: HashMap<SocketAddr, u16> = peers.into_iter().zip(0u16..).collect();
    let mut rate_limit = TokenBucket::new(max_per_second);
    // One byte more, so that a longer datagram is recognised.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((length, address)) = socket.receive(&mut buffer).await else {
            // A peer that is down may show as an error of the socket; the next receive succeeds.
            runtime.sleep_until(runtime.now() + RECEIVE_ERROR_DELAY_MICROS).await;
            continue;
        };
        // Unknown senders are dropped first: they must not use up what peers may send.
        let peer = peers_by_address.get(&address).copied().filter(|_| length <= MAX_DATAGRAM_BYTES);
        let Some(from) = peer.filter(|_| rate_limit.take(runtime.now())) else {
            add(&telemetry.peer_dropped);
            continue;
        };
        let message = DriverEvent::Gossip { from, bytes: buffer[..length].to_vec() };
        if driver.send(message).await.is_err() {
            return;
        }
    }
}
