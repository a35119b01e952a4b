//! Discovery answers each call a little late. A backend begins to drain, and discovery tells so to each call.

use review_standins::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// The settings' drain grace.
const GRACE_MS: f64 = 250.0;
/// How long discovery takes for each answer.
const ANSWER_AFTER_MS: u64 = 300;
/// A change counts as told at the latest this long after discovery had it and could be reached.
const TOLD_AFTER_MS: f64 = 6000.0;
/// Each time limit is this much longer on sockets.
const SOCKET_SLACK_MS: f64 = 50.0;
/// How long clients send after the drain has begun.
const WATCHED_MS: u64 = 12_000;
const CLIENTS: usize = 6;

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| unable("no path of the record")));
    let _done = watchdog(ms(90_000));
    let folder = Folder::create();
    let arrivals = Arrivals::default();
    let backends: Vec<Backend> = (0..9)
        .map(|number| {
            Backend::start(&record, number, arrivals.clone(), |arrival| {
                Work::Serve(ms(20), format!("of {}", arrival.id).into_bytes())
            })
        })
        .collect();
    let hosts = |drained: Option<usize>| -> Vec<String> {
        let entry = |backend: &Backend| {
            let health = if drained == Some(backend.number) { "draining" } else { "ready" };
            backend.entry(backend.number / 3, backend.number / 3 + 1, health, 0)
        };
        backends.iter().map(entry).collect()
    };
    let discovery = Discovery::start(41, hosts(None));
    discovery.answer_after(&record, if trouble() { ms(ANSWER_AFTER_MS) } else { ms(0) });
    let mut deployment = Deployment::new(3, discovery.address, hosts(None), 41);
    // The figures of catania-letture that differ: its grace, one attempt at a time, four at most.
    deployment.change("\"drain_grace_us\":2000000", &format!("\"drain_grace_us\":{}", GRACE_MS as u64 * 1000));
    deployment.change("\"second_copies\":true", "\"second_copies\":false");
    deployment.change("\"most_tries\":3", "\"most_tries\":4");
    deployment.change("\"peer_in_per_s\":100.0", "\"peer_in_per_s\":60.0");
    let ingresses = deployment.start(&record, &folder.0);

    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<Vec<String>>> = Arc::default();
    let addresses: Vec<_> = ingresses.iter().map(|ingress| ingress.address).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, stop, answers) = (record.clone(), stop.clone(), answers.clone());
            let address = addresses[number % addresses.len()];
            std::thread::spawn(move || {
                let mut client = Client::connect(address).unwrap_or_else(|| unable("no connection"));
                let mut turn = 0;
                while !stop.load(Ordering::SeqCst) {
                    turn += 1;
                    let id = new_id();
                    let customer = format!("{:016x}", 0xb4d6_5000 + number * 100 + turn % 20);
                    record.line(&format!("client {number}: sends {id}"));
                    let attributes = "c=sig-check,t=enterprise,d=4000,units=1,spread=3,first=0";
                    client.send(&[b"SVC.QUERY", customer.as_bytes(), id.as_bytes(), attributes.as_bytes()]);
                    let reply = client.reply_within(ms(4500)).unwrap_or(Reply::Other);
                    record.line(&format!("client {number}: {id} answered: {}", reply.text()));
                    answers.lock().unwrap().push(reply.text());
                    if reply == Reply::Closed {
                        unable("an ingress closed a connection");
                    }
                    std::thread::sleep(ms(100));
                }
            })
        })
        .collect();

    std::thread::sleep(ms(3000));
    let drained = backends[4].number;
    let told_at = record.now();
    discovery.change(&record, hosts(Some(drained)), &[backends[4].entry(1, 2, "draining", 0)]);
    record.say(&format!("backend {drained} drains; discovery has it at {told_at:.0} ms"));
    std::thread::sleep(ms(WATCHED_MS));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));

    let limit = told_at + TOLD_AFTER_MS + GRACE_MS + SOCKET_SLACK_MS;
    let arrivals = arrivals.lock().unwrap();
    let late: Vec<f64> =
        arrivals.iter().filter(|a| a.backend == drained && a.at_ms > limit).map(|a| a.at_ms - told_at).collect();
    let last = arrivals.iter().filter(|a| a.backend == drained).map(|a| a.at_ms - told_at).fold(f64::MIN, f64::max);
    let served = answers.lock().unwrap().iter().filter(|text| text.starts_with("value")).count();
    record.say(&format!(
        "{} requests sent, {served} served; the drained backend's last request began {last:.0} ms after discovery had the drain",
        answers.lock().unwrap().len()
    ));
    record.say(&format!(
        "{} requests began at the drained backend later than {:.0} ms after that",
        late.len(),
        limit - told_at
    ));
    drop(ingresses);
    drop(folder);
    finish(i32::from(!late.is_empty()))
}
