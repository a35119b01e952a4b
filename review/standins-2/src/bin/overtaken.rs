//! Connections to a backend come up late, and the attempt that waits for one is overtaken by a further attempt of its request.
//!
//! With TROUBLE=0 the same requests are sent while all connections come up at once.

use review_standins_2::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How long the backends remember a key, in seconds.
const WINDOW: f64 = 0.25;
/// Each time limit is 50 ms longer on sockets.
const SLACK: f64 = 0.05;
/// The work of the class, in seconds.
const WORK: f64 = 0.4;
/// How late the connections to one of the backends come up, in seconds.
const LATE: f64 = 0.56;
const REQUESTS: u64 = 12;
const TIMEOUT_MS: u64 = 1000;

fn main() {
    let case = Case::begin();
    let record = case.record.clone();
    let script: Script = Arc::new(|_: &Arrived| Reaction::Serve(WORK));
    let backends: Vec<Backend> = (0..4).map(|n| Backend::start(&record, &format!("s{n}"), script.clone())).collect();
    let hosts = backends.iter().map(|backend| Host::ready(backend, "bldg-a", 1)).collect();
    let discovery = Discovery::start(&record, 41, hosts);
    let peers = peer_addresses(2);
    let mut ingresses = Vec::new();
    for number in 0..2 {
        let mut config = Config::new(number, &peers, &discovery);
        config.grades = grade("order", "by_key", 500_000, 1_000_000, (WINDOW * 1e6) as u64, 3.0);
        config.connect_timeout_us = 600_000;
        match Ingress::start(&case, config) {
            Ok(ingress) => ingresses.push(ingress),
            Err(error) => case.end(ingresses, &[], &[error]),
        }
    }
    let mut invalid = Vec::new();
    if trouble() {
        if backends[0].come_up_late() {
            record.line("connections to s0 come up late from now on");
        } else {
            invalid.push("the queue of s0 does not fill".to_owned());
        }
    }
    let address = ingresses[0].config.listen;
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let record = record.clone();
            std::thread::spawn(move || {
                let mut client = Client::connect(address).unwrap();
                client.stream.set_read_timeout(Some(Duration::from_secs(6))).unwrap();
                let id = new_id();
                record.line(format!("{id} sent, d={TIMEOUT_MS}"));
                client.send(&submit(1000 + number, &id, "enterprise", "order", TIMEOUT_MS, 2, 0)).unwrap();
                let answer = client.reader.value().map_or_else(|error| error.to_string(), |value| format!("{value:?}").chars().take(90).collect());
                record.line(format!("{id} answered {answer}"));
            })
        })
        .collect();
    sleep(LATE);
    if trouble() {
        let count = backends[0].bring_up(&record, &script);
        record.line(format!("{count} connections to s0 come up, new ones come up at once again"));
    }
    clients.into_iter().for_each(|client| client.join().unwrap());
    sleep(1.5);
    let mut attempts: BTreeMap<String, Vec<Arrived>> = BTreeMap::new();
    for attempt in backends.iter().flat_map(|backend| backend.arrived.lock().unwrap().clone()) {
        attempts.entry(attempt.id.clone()).or_default().push(attempt);
    }
    let mut broken = Vec::new();
    for (id, arrived) in &mut attempts {
        arrived.sort_by(|left, right| left.at.total_cmp(&right.at));
        let first = &arrived[0];
        for further in &arrived[1..] {
            let after = further.at - first.at;
            if after > WINDOW + SLACK {
                broken.push(format!(
                    "{id} ran at {} from {:.3} and again at {} from {:.3}, {after:.3} s later; the key is remembered for {WINDOW} s",
                    first.backend, first.at, further.backend, further.at
                ));
            }
        }
    }
    if attempts.is_empty() {
        invalid.push("no attempt arrived".to_owned());
    }
    case.end(ingresses, &broken, &invalid);
}
