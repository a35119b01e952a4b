//! A client sends commands behind others on its connection; the ingress is restarted with SIGTERM while they wait.

use review_standins::*;
use std::sync::{Arc, Mutex};

/// Commands that the client sends at once.
const FIRST: usize = 40;
/// Commands that it sends on the same connection 100 ms later, 150 ms before SIGTERM.
const SECOND: usize = 20;
const CONNECTIONS: usize = 1;

struct Sent {
    id: String,
    at_ms: f64,
    answer: Option<(f64, String)>,
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| unable("no path of the record")));
    let _done = watchdog(ms(60_000));
    let folder = Folder::create();
    let arrivals = Arrivals::default();
    // Sound backends. The first request is a costly one, with 1.5 s of work; the others take 0.1 s.
    let slow: Arc<Mutex<Vec<String>>> = Arc::default();
    let backends: Vec<Backend> = (0..9)
        .map(|number| {
            let slow = slow.clone();
            Backend::start(&record, number, arrivals.clone(), move |arrival| {
                let is_slow = slow.lock().unwrap().contains(&arrival.id);
                let value = format!("of {}", arrival.id).into_bytes();
                Work::Serve(if is_slow { ms(1500) } else { ms(100) }, value)
            })
        })
        .collect();
    let hosts: Vec<String> =
        backends.iter().map(|backend| backend.entry(backend.number / 3, backend.number / 3 + 1, "ready", 0)).collect();
    let discovery = Discovery::start(41, hosts.clone());
    let deployment = Deployment::new(3, discovery.address, hosts, 41);
    let mut ingresses = deployment.start(&record, &folder.0);

    let mut connections: Vec<Client> = (0..CONNECTIONS)
        .map(|_| Client::connect(ingresses[0].address).unwrap_or_else(|| unable("no connection")))
        .collect();
    let mut sent: Vec<Vec<Sent>> = (0..CONNECTIONS).map(|_| Vec::new()).collect();
    let mut send = |connection: usize, client: &mut Client, count: usize, first_is_slow: bool| {
        let mut bytes = Vec::new();
        let mut ids = Vec::new();
        for index in 0..count {
            let id = new_id();
            let customer = format!("{:016x}", 0xb4d6_5000 + connection * 100 + index);
            if first_is_slow && index == 0 {
                slow.lock().unwrap().push(id.clone());
            }
            let attributes = "c=sig-check,t=enterprise,d=4000,units=1,spread=3,first=0";
            bytes.extend(encode(&[b"SVC.QUERY", customer.as_bytes(), id.as_bytes(), attributes.as_bytes()]));
            ids.push(id);
        }
        if !client.write(&bytes) {
            unable("the ingress closed the connection while the client wrote");
        }
        for id in ids {
            record.line(&format!("client {connection}: sent {id}"));
            sent[connection].push(Sent { id, at_ms: record.now(), answer: None });
        }
    };
    for (number, client) in connections.iter_mut().enumerate() {
        send(number, client, FIRST, true);
    }
    std::thread::sleep(ms(100));
    for (number, client) in connections.iter_mut().enumerate() {
        send(number, client, SECOND, false);
    }
    std::thread::sleep(ms(150));
    let term_at = record.now();
    if trouble() {
        ingresses[0].signal(&record, SIGTERM, "SIGTERM");
    }
    // Reads until everything is answered, the connection ends, or every request's time is up by half a second.
    let mut ends = Vec::new();
    for (number, client) in connections.iter_mut().enumerate() {
        let mut end = "stays open".to_owned();
        for request in sent[number].iter_mut() {
            let within = (request.at_ms + 4500.0 - record.now()).max(1.0);
            match client.reply_within(ms(within as u64)) {
                Some(Reply::Closed) => {
                    end = format!("closed by the ingress at {:.0} ms", record.now());
                    record.line(&format!("client {number}: connection {end}"));
                    break;
                }
                Some(reply) => {
                    record.line(&format!("client {number}: {} answered: {}", request.id, reply.text()));
                    request.answer = Some((record.now(), reply.text()));
                }
                None => {
                    end = "no answer in time".to_owned();
                    record.line(&format!("client {number}: {} has no answer in time", request.id));
                    break;
                }
            }
        }
        ends.push(end);
    }
    if trouble() {
        match ingresses[0].wait_end(ms((term_at + 3700.0 - record.now()).max(1.0) as u64)) {
            Some(status) => record.line(&format!("n0 ended by itself: {status}")),
            None => record.line("n0 still runs 3.7 s after SIGTERM: the platform kills it"),
        }
    }
    // Rule: each request that was taken gets a final answer. Excused on each connection that the ingress closed: the first
    // request with no answer, which the client sends once more on a new connection.
    let mut lost = 0;
    for (number, requests) in sent.iter().enumerate() {
        let open: Vec<&Sent> = requests.iter().filter(|request| request.answer.is_none()).collect();
        let excused = usize::from(!open.is_empty() && ends[number].starts_with("closed"));
        let arrived = |request: &&Sent| arrivals.lock().unwrap().iter().any(|arrival| arrival.id == request.id);
        record.say(&format!(
            "connection {number}: {} requests written before {term_at:.0} ms (SIGTERM), {} answered, {} without an answer ({} of them reached a backend), {} excused; {}",
            requests.len(),
            requests.len() - open.len(),
            open.len(),
            open.iter().filter(|request| arrived(request)).count(),
            excused,
            ends[number],
        ));
        lost += open.len() - excused;
        // What the ingress may not have read, the client sends once more on a new connection: the first one.
        if let Some(first) = open.first().filter(|_| excused > 0) {
            let attributes = "c=sig-check,t=enterprise,d=4000,units=1,spread=3,first=0";
            let mut client = Client::connect(ingresses[1].address).unwrap_or_else(|| unable("n1 is not there"));
            client.send(&[b"SVC.QUERY", b"00000000b4d65000", first.id.as_bytes(), attributes.as_bytes()]);
            let reply = client.reply_within(ms(4500)).map_or("no answer".to_owned(), |reply| reply.text());
            record.line(&format!("client {number}: {} sent once more, through n1: {reply}", first.id));
        }
    }
    record.say(&format!("{lost} accepted requests were lost"));
    drop(ingresses);
    drop(folder);
    finish(i32::from(lost > 0))
}
