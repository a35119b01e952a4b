//! Clients that send hundreds of commands at once, and the platform that kills an ingress over its memory limit.
//!
//! With TROUBLE=0 the same clients send the same commands one after the other.

use review_standins_2::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Under a third of the descriptors.
const CLIENTS: u64 = 200;
/// "Hundreds of commands at once".
const COMMANDS: u64 = 300;
/// A value holds at most 64 KiB.
const BODY: usize = 64 << 10;
const MEMORY_MB: u64 = 48;
const SOCKETS: u64 = 640;
const SECONDS: f64 = 12.0;

/// A command of the client's one customer.
fn submit(number: u64) -> Vec<u8> {
    let list = format!("c=report-upload,t=starter,d=7000,k={number:016x},units=1,spread=3,first=0");
    let customer = format!("{:016x}", 1 + number / COMMANDS);
    encode(&[b"SVC.SUBMIT", customer.as_bytes(), new_id().as_bytes(), list.as_bytes(), &vec![b'x'; BODY]])
}

fn main() {
    let case = Case::begin();
    let record = case.record.clone();
    let quiet = Record::new(); // the commands of the flood are counted, not listed
    let backends: Vec<Backend> =
        (0..12).map(|n| Backend::start(&quiet, &format!("s{n}"), Arc::new(|_: &Arrived| Reaction::Serve(0.3)))).collect();
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
    record.line(format!("limits: memory_mb {MEMORY_MB}, sockets {SOCKETS}; resident without files: {:?} kB", ingresses[0].memory_kb("RssAnon")));

    // A usual client: one request at a time.
    let stop = Arc::new(AtomicBool::new(false));
    let usual = {
        let (record, stop) = (record.clone(), stop.clone());
        std::thread::spawn(move || {
            let Ok(mut client) = Client::connect(address) else { return };
            let _ = client.stream.set_read_timeout(Some(Duration::from_secs(5)));
            while !stop.load(Ordering::Relaxed) {
                let id = new_id();
                let sent = client.send(&query(1 << 32, &id, "enterprise", "sig-check", 3000, 3, 0));
                match sent.and_then(|()| client.reader.value()) {
                    Ok(value) => {
                        let text: String = format!("{value:?}").chars().take(60).collect();
                        record.line(format!("usual client: {id} answered {text}"));
                    }
                    Err(error) => {
                        record.line(format!("usual client: {id} got no answer: {error}"));
                        return;
                    }
                }
                sleep(0.2);
            }
        })
    };
    sleep(1.0);

    let sent = Arc::new(AtomicU64::new(0));
    let answered = Arc::new(AtomicU64::new(0));
    record.line(format!("{CLIENTS} clients, {COMMANDS} commands each, {} of {BODY} bytes", if trouble() { "all at once," } else { "one at a time," }));
    for client in 0..CLIENTS {
        let (sent, answered, stop) = (sent.clone(), answered.clone(), stop.clone());
        std::thread::spawn(move || {
            let Ok(mut connection) = Client::connect(address) else { return };
            let _ = connection.stream.set_read_timeout(Some(Duration::from_secs(10)));
            let numbers = (0..COMMANDS).map(move |command| client * COMMANDS + command);
            if trouble() {
                let mut writer = connection.stream.try_clone().unwrap();
                let sent = sent.clone();
                std::thread::spawn(move || {
                    use std::io::Write;
                    for number in numbers {
                        if writer.write_all(&submit(number)).is_err() {
                            return;
                        }
                        sent.fetch_add(1, Ordering::Relaxed);
                    }
                });
                // It reads what it is sent.
                while connection.reader.value().is_ok() {
                    answered.fetch_add(1, Ordering::Relaxed);
                }
                return;
            }
            for number in numbers {
                if stop.load(Ordering::Relaxed) || connection.send(&submit(number)).is_err() {
                    return;
                }
                sent.fetch_add(1, Ordering::Relaxed);
                if connection.reader.value().is_err() {
                    return;
                }
                answered.fetch_add(1, Ordering::Relaxed);
            }
        });
    }

    // The platform: over `memory_mb` the ingress is killed. Files (the program's own pages too) are not counted here.
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
            next_line += 0.25;
        }
        if resident > MEMORY_MB * 1024 {
            record.line(format!("n0 holds {resident} kB, over memory_mb: the platform kills it"));
            ingresses[0].kill();
            broken.push(format!("n0 was killed for memory: {resident} kB without files, {MEMORY_MB} MB allowed"));
            break;
        }
        if let Some(status) = ingresses[0].ended() {
            broken.push(format!("n0 ended: {status}"));
            break;
        }
        sleep(0.005);
    }
    stop.store(true, Ordering::Relaxed);
    let _ = usual.join();
    let (sent, answered) = (sent.load(Ordering::Relaxed), answered.load(Ordering::Relaxed));
    let ran: usize = backends.iter().map(|backend| backend.arrived.lock().unwrap().len()).sum();
    record.line(format!("most: {most} kB; {sent} commands sent, {answered} answered, {ran} attempts arrived at backends"));
    case.end(ingresses, &broken, &[]);
}
