//! Bad clients send hundreds of commands at once and read their answers. The platform kills an ingress that is over its memory
//! limit.

use review_standins::*;
use std::io::{Read, Write};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Barrier, Mutex};

/// The ingress's limits in its configuration.
const MEMORY_MB: u64 = 64;
const SOCKETS: u64 = 512;
/// The bad clients, the commands that each sends at once, and the length of each command's value.
const BAD_CLIENTS: usize = 60;
const COMMANDS: usize = 100;
const BODY_BYTES: usize = 65_000;
/// Usual clients of the same ingress.
const CLIENTS: usize = 6;

struct Open {
    id: String,
    answer: Option<String>,
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| unable("no path of the record")));
    let _done = watchdog(ms(90_000));
    let folder = Folder::create();
    let arrivals = Arrivals::default();
    let backends: Vec<Backend> = (0..9)
        .map(|number| {
            Backend::start(&record, number, arrivals.clone(), |arrival| {
                Work::Serve(ms(100), format!("of {}", arrival.id).into_bytes())
            })
        })
        .collect();
    let hosts: Vec<String> =
        backends.iter().map(|backend| backend.entry(backend.number / 3, backend.number / 3 + 1, "ready", 0)).collect();
    let discovery = Discovery::start(41, hosts.clone());
    let mut deployment = Deployment::new(3, discovery.address, hosts, 41);
    deployment.memory_mb = MEMORY_MB;
    deployment.sockets = SOCKETS;
    let mut ingresses = deployment.start(&record, &folder.0);
    let address = ingresses[0].address;

    // Usual clients: one request after the other on a connection each.
    let stop = Arc::new(AtomicBool::new(false));
    let requests: Arc<Mutex<Vec<Open>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, stop, requests) = (record.clone(), stop.clone(), requests.clone());
            std::thread::spawn(move || {
                let mut client = Client::connect(address).unwrap_or_else(|| unable("no connection"));
                let mut turn = 0;
                while !stop.load(Ordering::SeqCst) {
                    turn += 1;
                    let id = new_id();
                    let customer = format!("{:016x}", 0xb4d6_5000 + number * 100 + turn % 20);
                    let attributes = "c=sig-check,t=enterprise,d=4000,units=1,spread=3,first=0";
                    record.line(&format!("client {number}: sends {id}"));
                    if !client.send(&[b"SVC.QUERY", customer.as_bytes(), id.as_bytes(), attributes.as_bytes()]) {
                        record.line(&format!("client {number}: connection ended before {id} was sent"));
                        return;
                    }
                    let reply = client.reply_within(ms(4500));
                    let text = reply.as_ref().map_or("no answer".to_owned(), Reply::text);
                    record.line(&format!("client {number}: {id}: {text}"));
                    let is_answer = reply.as_ref().is_some_and(|reply| *reply != Reply::Closed);
                    requests.lock().unwrap().push(Open { id, answer: is_answer.then_some(text) });
                    if !is_answer {
                        return;
                    }
                    std::thread::sleep(ms(20));
                }
            })
        })
        .collect();
    std::thread::sleep(ms(1000));
    let (before_kb, _) = ingresses[0].memory_kb();
    record.say(&format!("n0 holds {before_kb} kB before the bad clients, its limit is {} kB", MEMORY_MB * 1024));

    let all_connected = Arc::new(Barrier::new(BAD_CLIENTS));
    let bad_answers = Arc::new(AtomicUsize::new(0));
    if trouble() {
        for number in 0..BAD_CLIENTS {
            let (record, bad_answers) = (record.clone(), bad_answers.clone());
            let all_connected = all_connected.clone();
            std::thread::spawn(move || {
                let Ok(mut stream) = std::net::TcpStream::connect(address) else { return };
                let Ok(mut answers) = stream.try_clone() else { return };
                // It reads what it is sent.
                std::thread::spawn(move || {
                    let mut chunk = [0; 65536];
                    while let Ok(count @ 1..) = answers.read(&mut chunk) {
                        let lines = chunk[..count].iter().filter(|byte| **byte == b'\n').count();
                        bad_answers.fetch_add(lines, Ordering::SeqCst);
                    }
                });
                let body = vec![b'x'; BODY_BYTES];
                let mut commands = Vec::new();
                for index in 0..COMMANDS {
                    let customer = format!("{:016x}", 0xb5d6_0000 + number * 1000 + index);
                    let attributes = "c=report-upload,t=enterprise,d=7500,k=5c0f6e1a2b3d4c59,units=1,spread=3,first=0";
                    let id = new_id();
                    let words: [&[u8]; 5] =
                        [b"SVC.SUBMIT", customer.as_bytes(), id.as_bytes(), attributes.as_bytes(), &body];
                    commands.extend(encode(&words));
                }
                all_connected.wait();
                record.line(&format!("bad client {number}: sends {COMMANDS} commands, {} bytes", commands.len()));
                match stream.write_all(&commands) {
                    Ok(()) => record.line(&format!("bad client {number}: all is written")),
                    Err(error) => record.line(&format!("bad client {number}: {error}")),
                }
                std::thread::sleep(ms(20_000)); // stays and reads
            });
        }
    }

    // The platform: an ingress over its memory limit is killed.
    let limit_kb = MEMORY_MB * 1024;
    let mut most_kb = 0;
    let mut killed = false;
    let begin = record.now();
    let mut noted = begin;
    while record.now() < begin + 8000.0 && !killed {
        if let Some(status) = ingresses[0].wait_end(ms(0)) {
            record.say(&format!("n0 ended by itself: {status}"));
            killed = true;
            break;
        }
        let (now_kb, _) = ingresses[0].memory_kb();
        most_kb = most_kb.max(now_kb);
        if record.now() >= noted {
            noted += 100.0;
            record.line(&format!("n0 holds {now_kb} kB"));
        }
        if now_kb > limit_kb {
            record.say(&format!("n0 holds {now_kb} kB, over its limit of {limit_kb} kB: the platform kills it"));
            ingresses[0].signal(&record, SIGKILL, "SIGKILL, over its memory limit");
            killed = true;
        }
        std::thread::sleep(ms(1));
    }
    std::thread::sleep(ms(200));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    let requests = requests.lock().unwrap();
    let open: Vec<&str> =
        requests.iter().filter(|request| request.answer.is_none()).map(|request| request.id.as_str()).collect();
    record.say(&format!(
        "at most {most_kb} kB; {} answers to bad clients; usual clients: {} requests, {} without an answer ({})",
        bad_answers.load(Ordering::SeqCst),
        requests.len(),
        open.len(),
        open.join(" ")
    ));
    record.say(if killed { "the ingress has crashed" } else { "the ingress stayed within its limit" });
    drop(ingresses);
    drop(folder);
    finish(i32::from(killed))
}
