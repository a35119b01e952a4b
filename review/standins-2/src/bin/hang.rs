//! Bad clients that send hundreds of commands at once, of a class that does not exist, and send the same again as soon as it is
//! turned away; and usual clients, whose requests need their final answers.
//!
//! With TROUBLE=0 the bad clients send the same commands one at a time.

use review_standins_2::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const BAD_CLIENTS: u64 = 12;
/// "Hundreds of commands at once": so many commands of a bad client have no answer at any time.
const AT_ONCE: u64 = 300;
/// A value holds at most 64 KiB.
const BODY: usize = 64 << 10;
const USUAL_CLIENTS: u64 = 8;
/// Milliseconds that a usual client waits: the deadline of its class.
const TIMEOUT_MS: u64 = 1000;
/// A final answer is lost half a second after the request's time; each time limit is 50 ms longer.
const LATEST: f64 = TIMEOUT_MS as f64 / 1e3 + 0.5 + 0.05;
const SECONDS: f64 = 30.0;

fn bad_client(address: SocketAddr, number: u64, at_once: u64, stop: Arc<AtomicBool>, turned_away: Arc<AtomicU64>, connections: Arc<AtomicU64>) {
    let list = "c=no-such-class,t=starter,d=3000,k=00000000000000aa,units=1,spread=3,first=0";
    let command = encode(&[b"SVC.SUBMIT", format!("{:016x}", 1 + number).as_bytes(), new_id().as_bytes(), list.as_bytes(), &vec![b'x'; BODY]]);
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = std::net::TcpStream::connect(address) else { return };
        connections.fetch_add(1, Ordering::Relaxed);
        let mut reader = stream.try_clone().unwrap();
        let _ = reader.set_read_timeout(Some(Duration::from_millis(500)));
        let answered = Arc::new(AtomicU64::new(0));
        let ended = Arc::new(AtomicBool::new(false));
        let (counted, closed, stopped, all) = (answered.clone(), ended.clone(), stop.clone(), turned_away.clone());
        let reading = thread::spawn(move || {
            // It reads what it is sent: error lines.
            let mut bytes = [0; 64 << 10];
            while !stopped.load(Ordering::Relaxed) {
                match reader.read(&mut bytes) {
                    Ok(0) => break,
                    Ok(count) => {
                        let lines = bytes[..count].iter().filter(|byte| **byte == b'\n').count() as u64;
                        counted.fetch_add(lines, Ordering::Relaxed);
                        all.fetch_add(lines, Ordering::Relaxed);
                    }
                    Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                    Err(_) => break,
                }
            }
            closed.store(true, Ordering::Relaxed);
        });
        let _ = stream.set_write_timeout(Some(Duration::from_secs(2)));
        let mut sent = 0;
        while !stop.load(Ordering::Relaxed) && !ended.load(Ordering::Relaxed) {
            if sent >= answered.load(Ordering::Relaxed) + at_once {
                thread::sleep(Duration::from_micros(20));
                continue;
            }
            if stream.write_all(&command).is_err() {
                break;
            }
            sent += 1;
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
        let _ = reading.join();
    }
}

fn main() {
    let case = Case::begin();
    let record = case.record.clone();
    let backends: Vec<Backend> =
        (0..9).map(|n| Backend::start(&record, &format!("s{n}"), Arc::new(|_: &Arrived| Reaction::Serve(0.05)))).collect();
    let hosts = backends.iter().enumerate().map(|(n, backend)| Host::ready(backend, "bldg-a", 1 + n as u16 / 3)).collect();
    let discovery = Discovery::start(&record, 41, hosts);
    let peers = peer_addresses(3);
    let mut ingresses = Vec::new();
    for number in 0..3 {
        let mut config = Config::new(number, &peers, &discovery);
        config.grades = quick_grades();
        config.drain_grace_us = 1_000_000;
        match Ingress::start(&case, config) {
            Ok(ingress) => ingresses.push(ingress),
            Err(error) => case.end(ingresses, &[], &[error]),
        }
    }
    let address = ingresses[0].config.listen;
    let stop = Arc::new(AtomicBool::new(false));
    let bad_stop = Arc::new(AtomicBool::new(false));
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let answers = Arc::new(AtomicU64::new(0));

    // Usual clients: each sends a request, reads its answer and pauses.
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let (record, stop, broken, answers) = (record.clone(), stop.clone(), broken.clone(), answers.clone());
            thread::spawn(move || {
                let Ok(mut client) = Client::connect(address) else { return };
                let _ = client.stream.set_read_timeout(Some(Duration::from_secs(12)));
                while !stop.load(Ordering::Relaxed) {
                    let id = new_id();
                    let request = query((1 << 32) + number, &id, "enterprise", "quote", TIMEOUT_MS, 3, 0);
                    if client.send(&request).is_err() {
                        return record.line(format!("usual client {number}: cannot send"));
                    }
                    let sent = record.now();
                    let answer = client.reader.value();
                    let waited = record.now() - sent;
                    let text: String = match &answer {
                        Ok(Value::Bulk(Some(value))) => format!("served {}", String::from_utf8_lossy(value)),
                        other => format!("{other:?}"),
                    };
                    record.line(format!("usual client {number}: {id} sent at {sent:.3}, after {waited:.3} s: {text}"));
                    answers.fetch_add(1, Ordering::Relaxed);
                    if waited > LATEST || answer.is_err() {
                        broken.lock().unwrap().push(format!(
                            "{id}, sent at {sent:.3} with d={TIMEOUT_MS}: final answer after {waited:.3} s, at most {LATEST:.2} s allowed"
                        ));
                    }
                    if answer.is_err() {
                        return;
                    }
                    sleep(0.25);
                }
            })
        })
        .collect();
    sleep(2.0);

    let at_once = if trouble() { AT_ONCE } else { 1 };
    record.line(format!("{BAD_CLIENTS} bad clients, {at_once} commands of {BODY} bytes at once each"));
    let turned_away = Arc::new(AtomicU64::new(0));
    let connections = Arc::new(AtomicU64::new(0));
    let bad: Vec<_> = (0..BAD_CLIENTS)
        .map(|number| {
            let (stop, turned_away, connections) = (bad_stop.clone(), turned_away.clone(), connections.clone());
            thread::spawn(move || bad_client(address, number, at_once, stop, turned_away, connections))
        })
        .collect();
    sleep(SECONDS);
    bad_stop.store(true, Ordering::Relaxed);
    bad.into_iter().for_each(|client| client.join().unwrap());
    record.line(format!("the bad clients end: {} commands turned away on {} connections", turned_away.load(Ordering::Relaxed), connections.load(Ordering::Relaxed)));
    stop.store(true, Ordering::Relaxed);
    usual.into_iter().for_each(|client| client.join().unwrap());
    let mut invalid = Vec::new();
    if let Some(status) = ingresses[0].ended() {
        broken.lock().unwrap().push(format!("n0 ended: {status}"));
    }
    if answers.load(Ordering::Relaxed) == 0 {
        invalid.push("no usual request was answered".to_owned());
    }
    let broken = broken.lock().unwrap().clone();
    case.end(ingresses, &broken, &invalid);
}
