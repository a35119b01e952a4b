//! The ways of datagrams between processes on the platform, in the test's hands: each is cut and healed by direction. A
//! process knows its peers by the addresses of these ways, and hears each from there.

use std::collections::BTreeSet;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub struct Wires {
    /// Where each process hears.
    hears: Vec<SocketAddr>,
    /// `[from][to]`: what `from` sends there goes on to `to`, from the address by which `to` knows `from`.
    ways: Arc<Vec<Vec<UdpSocket>>>,
    cut: Arc<Mutex<BTreeSet<(usize, usize)>>>,
    over: Arc<AtomicBool>,
}

impl Wires {
    /// Ways between processes that hear at these addresses.
    pub fn between(hears: Vec<SocketAddr>) -> Wires {
        let socket = |_| {
            let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
            socket.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
            socket
        };
        let n = hears.len();
        let ways: Vec<Vec<UdpSocket>> = (0..n).map(|_| (0..n).map(socket).collect()).collect();
        let wires = Wires { hears, ways: Arc::new(ways), cut: Arc::default(), over: Arc::default() };
        for (from, to) in (0..n).flat_map(|f| (0..n).map(move |t| (f, t))).filter(|(f, t)| f != t) {
            let (ways, cut, over, at) =
                (wires.ways.clone(), wires.cut.clone(), wires.over.clone(), wires.hears[to]);
            std::thread::spawn(move || {
                let mut buffer = [0; 512];
                while !over.load(Ordering::SeqCst) {
                    let Ok((n, _)) = ways[from][to].recv_from(&mut buffer) else { continue };
                    if !cut.lock().unwrap().contains(&(from, to)) {
                        let _ = ways[to][from].send_to(&buffer[..n], at); // nobody there: lost
                    }
                }
            });
        }
        wires
    }

    /// The peers of a process, as its configuration names them.
    pub fn peers_of(&self, no: usize) -> Vec<SocketAddr> {
        let way = |to: usize| self.ways[no][to].local_addr().unwrap();
        (0..self.hears.len()).map(|to| if to == no { self.hears[no] } else { way(to) }).collect()
    }

    /// Nothing passes in one direction.
    pub fn cut(&self, from: usize, to: usize) {
        self.cut.lock().unwrap().insert((from, to));
    }

    /// Nothing passes between these and all others.
    pub fn part(&self, side: &[usize]) {
        for other in (0..self.hears.len()).filter(|n| !side.contains(n)) {
            for one in side {
                self.cut(*one, other);
                self.cut(other, *one);
            }
        }
    }

    pub fn heal(&self) {
        self.cut.lock().unwrap().clear();
    }
}

impl Drop for Wires {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
    }
}
