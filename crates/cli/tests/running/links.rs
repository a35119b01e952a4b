//! Datagram links between processes on the platform, which a test can cut and heal by direction. A process reaches each peer
//! at the address of a link, and receives its peer's datagrams from that address.

use std::collections::BTreeSet;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub struct Links {
    /// Address on which each process receives datagrams.
    addresses: Vec<SocketAddr>,
    /// `[from][to]`: datagrams that `from` sends to this socket are forwarded to `to`, from the address that `to` knows as
    /// `from`.
    sockets: Arc<Vec<Vec<UdpSocket>>>,
    /// Directions that are cut, as (from, to).
    cut: Arc<Mutex<BTreeSet<(usize, usize)>>>,
    /// Ends the forwarding threads.
    stopped: Arc<AtomicBool>,
}

impl Links {
    /// Creates links between processes that receive datagrams at these addresses.
    pub fn between(addresses: Vec<SocketAddr>) -> Links {
        let socket = |_| {
            let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
            socket.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
            socket
        };
        let n = addresses.len();
        let sockets: Vec<Vec<UdpSocket>> = (0..n).map(|_| (0..n).map(socket).collect()).collect();
        let links =
            Links { addresses, sockets: Arc::new(sockets), cut: Arc::default(), stopped: Arc::default() };
        for (from, to) in (0..n).flat_map(|f| (0..n).map(move |t| (f, t))).filter(|(f, t)| f != t) {
            let sockets = links.sockets.clone();
            let cut = links.cut.clone();
            let stopped = links.stopped.clone();
            let address = links.addresses[to];
            std::thread::spawn(move || {
                let mut buffer = [0; 512];
                while !stopped.load(Ordering::SeqCst) {
                    let Ok((n, _)) = sockets[from][to].recv_from(&mut buffer) else { continue };
                    if !cut.lock().unwrap().contains(&(from, to)) {
                        let _ = sockets[to][from].send_to(&buffer[..n], address);
                        // lost if the process is down
                    }
                }
            });
        }
        links
    }

    /// Returns the addresses at which a process reaches all processes, by number; its own one is its real address.
    pub fn peers_of(&self, no: usize) -> Vec<SocketAddr> {
        let link = |to: usize| self.sockets[no][to].local_addr().unwrap();
        (0..self.addresses.len()).map(|to| if to == no { self.addresses[no] } else { link(to) }).collect()
    }

    /// Drops all datagrams in one direction.
    pub fn cut(&self, from: usize, to: usize) {
        self.cut.lock().unwrap().insert((from, to));
    }

    /// Separates the processes in `side` from all others: drops all datagrams between them, in both directions.
    pub fn partition(&self, side: &[usize]) {
        for other in (0..self.addresses.len()).filter(|n| !side.contains(n)) {
            for one in side {
                self.cut(*one, other);
                self.cut(other, *one);
            }
        }
    }

    /// Removes all cuts.
    pub fn heal(&self) {
        self.cut.lock().unwrap().clear();
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}
