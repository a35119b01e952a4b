//! Gossip between ingresses. Each datagram holds one message, encoded by the core. Senders are identified by their address
//! only. The core limits the effect of forged messages: it bases no decision on gossip alone.

use crate::request::ForwardedCommand;
use async_channel::{Receiver, Sender};
use chalkgap::frontend::{DriverEvent, TokenBucket};
use chalkgap::telemetry::{add, Telemetry};
use chalkgap_runtime::{Datagrams, Micros, Shared};
use futures_lite::future;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum size of a datagram in bytes, which is both the platform's limit and the core's.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Delay after a failed receive.
const RECEIVE_ERROR_DELAY_MICROS: Micros = 1000;

/// A message, with the number of the gateway that it is sent to.
pub type OutgoingGossip = (u16, Vec<u8>);

/// Sends messages until `outgoing` is closed. `peers` are the addresses of all gateways, indexed by gateway number.
pub async fn send(socket: Arc<dyn Datagrams>, peers: Vec<SocketAddr>, outgoing: Receiver<OutgoingGossip>) {
    while let Ok((peer, message)) = outgoing.recv().await {
        let address = peers.get(usize::from(peer));
        if let Some(address) = address.filter(|_| message.len() <= MAX_DATAGRAM_BYTES) {
            // Send errors are ignored: the core tolerates the loss of any datagram.
            let _ = socket.send(&message, *address).await;
        }
    }
}

/// Receives messages from peers and passes them to the driver, at most `max_per_second`, until the driver stops.
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
    // One byte longer than the limit, so that datagrams over the limit can be recognised.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((length, address)) = socket.receive(&mut buffer).await else {
            // A peer that is down may cause a socket error. The next receive succeeds.
            runtime.sleep_until(runtime.now() + RECEIVE_ERROR_DELAY_MICROS).await;
            continue;
        };
        future::yield_now().await; // datagrams may arrive without end
                                   // Datagrams from unknown senders are dropped before the rate limit, so that they do not use up the peers' share.
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
