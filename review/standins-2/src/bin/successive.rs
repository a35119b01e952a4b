//! New configurations in quick succession, each with another address of discovery, while discovery answers slowly; and a backend
//! that begins to drain.
//!
//! With TROUBLE=0 discovery answers at once, and there is one new configuration.

use review_standins_2::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Discovery's answer to each call comes after so many milliseconds.
const SLOW_MS: u64 = 1900;
/// Seconds between two configurations.
const PAUSE: f64 = 1.8;
const CONFIGURATIONS: usize = 6;
const GRACE: f64 = 0.25;
/// "a change counts as told at the latest 6 s after discovery had it and could be reached"; each time limit is 50 ms longer.
const LATEST: f64 = 6.0 + GRACE + 0.05;

fn main() {
    let case = Case::begin();
    let record = case.record.clone();
    let backends: Vec<Backend> =
        (0..9).map(|n| Backend::start(&record, &format!("s{n}"), Arc::new(|_: &Arrived| Reaction::Serve(0.15)))).collect();
    let hosts: Vec<Host> = backends.iter().enumerate().map(|(n, backend)| Host::ready(backend, "bldg-a", 1 + n as u16 / 3)).collect();
    let discovery = Discovery::start(&record, 41, hosts.clone());
    let peers = peer_addresses(3);
    let mut ingresses = Vec::new();
    for number in 0..3 {
        let mut config = Config::new(number, &peers, &discovery);
        config.drain_grace_us = (GRACE * 1e6) as u64;
        match Ingress::start(&case, config) {
            Ok(ingress) => ingresses.push(ingress),
            Err(error) => case.end(ingresses, &[], &[error]),
        }
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..12u64)
        .map(|number| {
            let (record, stop, address) = (record.clone(), stop.clone(), ingresses[number as usize % 3].config.listen);
            thread::spawn(move || {
                let Ok(mut client) = Client::connect(address) else { return };
                let _ = client.stream.set_read_timeout(Some(Duration::from_secs(8)));
                let mut count = 0;
                while !stop.load(Ordering::Relaxed) {
                    count += 1;
                    let id = new_id();
                    let request = query(100_000 * (number + 1) + count, &id, "enterprise", "sig-check", 3000, 3, 0);
                    if client.send(&request).is_err() {
                        return;
                    }
                    let answer = client.reader.value();
                    let text: String = format!("{answer:?}").chars().take(40).collect();
                    record.line(format!("{id} answered {text}"));
                    if answer.is_err() {
                        return;
                    }
                    sleep(0.1);
                }
            })
        })
        .collect();
    sleep(3.0);

    let begin = record.now();
    if trouble() {
        discovery.slow_ms.store(SLOW_MS, Ordering::Relaxed);
        record.line(format!("discovery answers each new call after {SLOW_MS} ms"));
    }
    let configurations = if trouble() { CONFIGURATIONS } else { 1 };
    let mut address = discovery.address;
    let mut told_at = None;
    let drain = |told_at: &mut Option<f64>| {
        let mut host = hosts[0].clone();
        host.health = "draining".to_owned();
        *told_at = Some(record.now());
        discovery.change(vec![host]);
    };
    for number in 0..configurations {
        let new = discovery.open();
        for ingress in &mut ingresses {
            let mut config = ingress.config.clone();
            config.discovery = new;
            ingress.reload(config);
        }
        discovery.retire(address);
        record.line(format!("new configuration {number}: discovery is at {new}, no longer at {address}; SIGHUP"));
        address = new;
        // The drain begins when the first address has closed its connections.
        if told_at.is_none() {
            sleep(1.6);
            drain(&mut told_at);
        }
        sleep(begin + PAUSE * (number + 1) as f64 - record.now());
    }
    sleep(5.0);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().unwrap());

    let told_at = told_at.unwrap_or_default();
    let at_drained = backends[0].arrived.lock().unwrap().clone();
    let mut broken = Vec::new();
    for attempt in &at_drained {
        let after = attempt.at - told_at;
        if after > LATEST {
            broken.push(format!("{} begins at {} {after:.3} s after discovery had the drain, {LATEST} s allowed", attempt.id, attempt.backend));
        }
    }
    let last = at_drained.last().map_or(0.0, |attempt| attempt.at - told_at);
    record.line(format!("last attempt at the draining backend {last:.3} s after discovery had the drain"));
    let invalid = if at_drained.is_empty() { vec!["the backend got no request".to_owned()] } else { Vec::new() };
    case.end(ingresses, &broken, &invalid);
}
