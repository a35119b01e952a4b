//! Datagrams between ingresses: the module's bytes as they are. Who sent one is known by its address; what anybody could
//! do with it is bounded by the module, as no rule rests on a message.

use crate::request::Work;
use async_channel::{Receiver, Sender};
use chalkgap::frontend::{DriverEvent, TokenBucket};
use chalkgap::telemetry::{add, Telemetry};
use chalkgap_runtime::{Datagrams, Shared};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Bytes of a datagram: the platform's limit and the module's.
const MOST: usize = 256;

/// Sends messages to peers by their numbers.
pub async fn tell(socket: Arc<dyn Datagrams>, peers: Vec<SocketAddr>, told: Receiver<(u16, Vec<u8>)>) {
    while let Ok((to, message)) = told.recv().await {
        if let Some(address) = peers.get(usize::from(to)).filter(|_| message.len() <= MOST) {
            // Lost without a word, as any datagram may be: the module reckons with it.
            let _ = socket.send(&message, *address).await;
        }
    }
}

/// Hears messages of peers.
pub async fn hear(
    runtime: Shared,
    socket: Arc<dyn Datagrams>,
    peers: Vec<SocketAddr>,
    per_second: f64,
    telemetry: Arc<Telemetry>,
    driver: Sender<DriverEvent<Work>>,
) {
    let numbers: HashMap<SocketAddr, u16> = peers.into_iter().zip(0u16..).collect();
    let mut rate_limit = TokenBucket::new(per_second);
    let mut buffer = [0; MOST + 1];
    loop {
        let (n, from) = match socket.receive(&mut buffer).await {
            Ok(got) => got,
            Err(_) => {
                // A peer that is down comes back as an error of the socket: the next receive is fine.
                runtime.sleep_until(runtime.now() + 1000).await;
                continue;
            }
        };
        // Strangers first: they do not use up what peers may send.
        let sender = numbers.get(&from).copied().filter(|_| n <= MOST);
        let Some(from) = sender.filter(|_| rate_limit.take(runtime.now())) else {
            add(&telemetry.peer_dropped);
            continue;
        };
        if driver.send(DriverEvent::Gossip { from, bytes: buffer[..n].to_vec() }).await.is_err() {
            return;
        }
    }
}
