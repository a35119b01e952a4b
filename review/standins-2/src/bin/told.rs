//! A client that sends many commands at once, and what the attempts tell the backends about the time that is left.
//!
//! With TROUBLE=0 the same number of commands is sent one at a time on several connections.

use review_standins_2::*;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// "Hundreds of commands at once".
const COMMANDS: usize = 300;
/// Milliseconds that the client waits for each answer, from when it sent the request.
const TIMEOUT_MS: u64 = 1000;
/// The usual work of the class.
const WORK: f64 = 0.15;
/// The page's slack, and the 50 ms by which each time limit is longer.
const SLACK: f64 = 0.15 + 0.05;

fn main() {
    let case = Case::begin();
    let record = case.record.clone();
    let backends: Vec<Backend> =
        (0..12).map(|n| Backend::start(&record, &format!("s{n}"), Arc::new(|_: &Arrived| Reaction::Serve(WORK)))).collect();
    let hosts = backends.iter().enumerate().map(|(n, backend)| Host::ready(backend, "bldg-a", 1 + n as u16 / 4)).collect();
    let discovery = Discovery::start(&record, 41, hosts);
    let peers = peer_addresses(2);
    let mut ingresses = Vec::new();
    for number in 0..2 {
        match Ingress::start(&case, Config::new(number, &peers, &discovery)) {
            Ok(ingress) => ingresses.push(ingress),
            Err(error) => case.end(ingresses, &[], &[error]),
        }
    }
    let address = ingresses[0].config.listen;
    // When the last byte of each request was written.
    let sent: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    let request = |number: usize, id: &str| query(1000 + number as u64, id, "enterprise", "sig-check", TIMEOUT_MS, 2, 0);
    let read = |record: &Record, client: &mut Client, id: &str| {
        let answer = client.reader.value().map_or_else(|error| error.to_string(), |value| format!("{value:?}").chars().take(70).collect());
        record.line(format!("{id} answered {answer}"));
    };
    if trouble() {
        let mut client = Client::connect(address).unwrap();
        client.stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        let ids: Vec<String> = (0..COMMANDS).map(|_| new_id()).collect();
        let bytes: Vec<u8> = ids.iter().enumerate().flat_map(|(number, id)| request(number, id)).collect();
        client.send(&bytes).unwrap();
        let now = record.now();
        record.line(format!("{COMMANDS} commands sent at once, d={TIMEOUT_MS}"));
        sent.lock().unwrap().extend(ids.iter().map(|id| (id.clone(), now)));
        ids.iter().for_each(|id| read(&record, &mut client, id));
    } else {
        let threads: Vec<_> = (0..15)
            .map(|thread| {
                let (record, sent) = (record.clone(), sent.clone());
                std::thread::spawn(move || {
                    let mut client = Client::connect(address).unwrap();
                    client.stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
                    for number in (thread * COMMANDS / 15)..((thread + 1) * COMMANDS / 15) {
                        let id = new_id();
                        client.send(&request(number, &id)).unwrap();
                        sent.lock().unwrap().insert(id.clone(), record.now());
                        read(&record, &mut client, &id);
                    }
                })
            })
            .collect();
        threads.into_iter().for_each(|thread| thread.join().unwrap());
    }
    let sent = sent.lock().unwrap();
    let mut broken = Vec::new();
    let mut too_late = 0;
    let mut arrived: Vec<Arrived> = backends.iter().flat_map(|backend| backend.arrived.lock().unwrap().clone()).collect();
    arrived.sort_by(|left, right| left.at.total_cmp(&right.at));
    for attempt in &arrived {
        let Some(sent_at) = sent.get(&attempt.id) else { continue };
        let left = sent_at + TIMEOUT_MS as f64 / 1e3 - attempt.at;
        let told = attempt.attribute("d").and_then(|d| d.parse::<f64>().ok()).unwrap_or(0.0) / 1e3;
        too_late += usize::from(left < 0.0);
        if told > left + SLACK {
            broken.push(format!(
                "{} at {:.3}: the attempt at {} tells d={:.0} ms, {:.0} ms are left to the client",
                attempt.id, attempt.at, attempt.backend, told * 1e3, left * 1e3
            ));
        }
    }
    record.line(format!("{} attempts arrived, {too_late} of them after the client's time was over", arrived.len()));
    case.end(ingresses, &broken, if arrived.is_empty() { vec!["no attempt arrived".to_owned()] } else { vec![] }.as_slice());
}
