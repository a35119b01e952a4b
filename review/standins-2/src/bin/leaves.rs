//! A client that sends much at once and goes.
//!
//! With TROUBLE=0 it sends no more than the first 32 commands, and goes as well.

use review_standins_2::*;
use std::collections::HashMap;
use std::io::Write;
use std::sync::Arc;

/// Valid requests, which are sent first.
const FIRST: u64 = 32;
/// "Hundreds of commands at once", of 64 KiB each, behind them.
const BEHIND: u64 = 300;
const ROUNDS: u64 = 6;
/// An attempt that begins later than this after the close is a break; each time limit is 50 ms longer.
const LATEST: f64 = 0.1 + 0.05;

fn main() {
    let case = Case::begin();
    let record = case.record.clone();
    let backends: Vec<Backend> =
        (0..9).map(|n| Backend::start(&record, &format!("s{n}"), Arc::new(|_: &Arrived| Reaction::Serve(0.4)))).collect();
    let hosts = backends.iter().enumerate().map(|(n, backend)| Host::ready(backend, "bldg-a", 1 + n as u16 / 3)).collect();
    let discovery = Discovery::start(&record, 41, hosts);
    let peers = peer_addresses(3);
    let mut ingresses = Vec::new();
    for number in 0..3 {
        match Ingress::start(&case, Config::new(number, &peers, &discovery)) {
            Ok(ingress) => ingresses.push(ingress),
            Err(error) => case.end(ingresses, &[], &[error]),
        }
    }
    let address = ingresses[0].config.listen;
    // When the client of each request closed its connection.
    let mut closed: HashMap<String, f64> = HashMap::new();
    for round in 0..ROUNDS {
        let mut client = Client::connect(address).unwrap();
        let mut ids = Vec::new();
        let mut bytes = Vec::new();
        for number in 0..FIRST {
            let id = new_id();
            let customer = 1000 * (round + 1) + number;
            let list = format!("c=report-upload,t=enterprise,d=5000,k={customer:016x},units=1,spread=3,first=0");
            bytes.extend(encode(&[b"SVC.SUBMIT", format!("{customer:016x}").as_bytes(), id.as_bytes(), list.as_bytes(), b"BODY"]));
            ids.push(id);
        }
        client.send(&bytes).unwrap();
        record.line(format!("round {round}: {FIRST} commands sent"));
        if trouble() {
            client.stream.set_nonblocking(true).unwrap();
            let mut written = 0;
            for number in 0..BEHIND {
                let list = format!("c=report-upload,t=enterprise,d=5000,k={number:016x},units=1,spread=3,first=0");
                let customer = format!("{:016x}", 1000 * (round + 1));
                let command = encode(&[b"SVC.SUBMIT", customer.as_bytes(), new_id().as_bytes(), list.as_bytes(), &vec![b'x'; 64 << 10]]);
                if client.stream.write_all(&command).is_err() {
                    break; // the system takes no more
                }
                written += 1;
            }
            record.line(format!("round {round}: {written} commands of 64 KiB behind them"));
        }
        drop(client);
        let now = record.now();
        record.line(format!("round {round}: the client has closed its connection"));
        closed.extend(ids.into_iter().map(|id| (id, now)));
        sleep(4.0);
    }
    let mut broken = Vec::new();
    let mut arrived: Vec<Arrived> = backends.iter().flat_map(|backend| backend.arrived.lock().unwrap().clone()).collect();
    arrived.sort_by(|left, right| left.at.total_cmp(&right.at));
    for attempt in &arrived {
        let Some(closed_at) = closed.get(&attempt.id) else { continue };
        let after = attempt.at - closed_at;
        if after > LATEST {
            broken.push(format!("{} begins at {} {after:.3} s after its client closed its connection", attempt.id, attempt.backend));
        }
    }
    record.line(format!("{} attempts arrived", arrived.len()));
    let invalid = if arrived.is_empty() { vec!["no attempt arrived".to_owned()] } else { Vec::new() };
    case.end(ingresses, &broken, &invalid);
}
