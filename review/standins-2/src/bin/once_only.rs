//! Clients that send hundreds of commands at once, each of a customer that comes only once, and the platform that kills an
//! ingress over its memory limit.
//!
//! With TROUBLE=0 the same clients send the same commands, all of one customer a client.

use review_standins_2::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

const CLIENTS: u64 = 30;
/// "Hundreds of commands at once".
const COMMANDS: u64 = 400;
const MEMORY_MB: u64 = 48;
const SOCKETS: u64 = 640;
const SECONDS: f64 = 25.0;

fn main() {
    let case = Case::begin();
    let record = case.record.clone();
    let quiet = Record::new(); // the commands of the flood are counted, not listed
    let backends: Vec<Backend> =
        (0..12).map(|n| Backend::start(&quiet, &format!("s{n}"), Arc::new(|_: &Arrived| Reaction::Serve(0.15)))).collect();
    let hosts = backends.iter().enumerate().map(|(n, backend)| Host::ready(backend, "bldg-a", 1 + n as u16 / 4)).collect();
    let discovery = Discovery::start(&record, 41, hosts);
    let peers = peer_addresses(3);
    let mut ingresses = Vec::new();
    for number in 0..3 {
        let mut config = Config::new(number, &peers, &discovery);
        config.memory_mb = MEMORY_MB;
        config.sockets = SOCKETS;
        match Ingress::start(&case, config) {
            Ok(ingress) => ingresses.push(ingress),
            Err(error) => case.end(ingresses, &[], &[error]),
        }
    }
    let address = ingresses[0].config.listen;
    let stop = Arc::new(AtomicBool::new(false));
    let (sent, answered) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    for client in 0..CLIENTS {
        let (sent, answered, stop) = (sent.clone(), answered.clone(), stop.clone());
        std::thread::spawn(move || {
            let Ok(mut connection) = Client::connect(address) else { return };
            let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(10)));
            let mut next = 0;
            while !stop.load(Ordering::Relaxed) {
                let mut bytes = Vec::new();
                for _ in 0..COMMANDS {
                    next += 1;
                    let customer = if trouble() { (client << 26) + next } else { 1 + client };
                    bytes.extend(query(customer, &new_id(), "starter", "sig-check", 2000, 3, 0));
                }
                if connection.send(&bytes).is_err() {
                    return;
                }
                sent.fetch_add(COMMANDS, Ordering::Relaxed);
                for _ in 0..COMMANDS {
                    if connection.reader.value().is_err() {
                        return;
                    }
                    answered.fetch_add(1, Ordering::Relaxed);
                }
                sleep(1.0);
            }
        });
    }
    let mut broken = Vec::new();
    let mut most = 0;
    let end = record.now() + SECONDS;
    let mut next_line = record.now();
    while record.now() < end {
        let resident = ingresses[0].memory_kb("RssAnon").unwrap_or(0);
        most = most.max(resident);
        if record.now() >= next_line {
            record.line(format!(
                "n0 holds {resident} kB, {} commands sent, {} answered",
                sent.load(Ordering::Relaxed),
                answered.load(Ordering::Relaxed)
            ));
            next_line += 0.5;
        }
        if resident > MEMORY_MB * 1024 {
            record.line(format!("n0 holds {resident} kB, over memory_mb: the platform kills it"));
            ingresses[0].kill();
            broken.push(format!("n0 was killed for memory: {resident} kB without files, {MEMORY_MB} MB allowed"));
            break;
        }
        sleep(0.01);
    }
    stop.store(true, Ordering::Relaxed);
    record.line(format!("most: {most} kB; {} commands sent, {} answered", sent.load(Ordering::Relaxed), answered.load(Ordering::Relaxed)));
    case.end(ingresses, &broken, &[]);
}
