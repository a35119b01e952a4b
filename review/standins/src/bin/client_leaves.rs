//! A client sends much at once and goes.

use review_standins::*;
use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};

/// Commands of the client, and the length of each one's value.
const COMMANDS: usize = 300;
const BODY_BYTES: usize = 60_000;
/// The first of them are costly requests, with 1.5 s of work.
const COSTLY: usize = 2;
/// The client goes this long after it began to send.
const LEAVES_AFTER_MS: u64 = 200;
/// An attempt that begins later than this after the close is a break; 50 ms more on sockets.
const LIMIT_MS: f64 = 100.0 + 50.0;

fn main() {
    let record = Record::create(&std::env::args().nth(1).unwrap_or_else(|| unable("no path of the record")));
    let _done = watchdog(ms(90_000));
    let folder = Folder::create();
    let arrivals = Arrivals::default();
    let slow: Arc<Mutex<HashSet<String>>> = Arc::default();
    let backends: Vec<Backend> = (0..9)
        .map(|number| {
            let slow = slow.clone();
            Backend::start(&record, number, arrivals.clone(), move |arrival| {
                let is_slow = slow.lock().unwrap().contains(&arrival.id);
                Work::Serve(if is_slow { ms(1500) } else { ms(100) }, format!("of {}", arrival.id).into_bytes())
            })
        })
        .collect();
    let hosts: Vec<String> =
        backends.iter().map(|backend| backend.entry(backend.number / 3, backend.number / 3 + 1, "ready", 0)).collect();
    let discovery = Discovery::start(41, hosts.clone());
    let deployment = Deployment::new(3, discovery.address, hosts, 41);
    let ingresses = deployment.start(&record, &folder.0);

    let mut commands = Vec::new();
    let mut ids = HashSet::new();
    let body = vec![b'x'; BODY_BYTES];
    for index in 0..COMMANDS {
        let id = new_id();
        let customer = format!("{:016x}", 0xb4d6_5000 + index);
        if index < COSTLY {
            slow.lock().unwrap().insert(id.clone());
            let attributes = "c=sig-check,t=enterprise,d=4000,units=1,spread=3,first=0";
            commands.extend(encode(&[b"SVC.QUERY", customer.as_bytes(), id.as_bytes(), attributes.as_bytes()]));
        } else {
            let attributes = "c=report-upload,t=enterprise,d=7500,k=5c0f6e1a2b3d4c59,units=1,spread=3,first=0";
            commands.extend(encode(&[b"SVC.SUBMIT", customer.as_bytes(), id.as_bytes(), attributes.as_bytes(), &body]));
        }
        ids.insert(id);
    }
    let mut stream = TcpStream::connect(ingresses[0].address).unwrap_or_else(|error| unable(&error.to_string()));
    let mut answers = stream.try_clone().unwrap();
    // It reads what it is sent, as long as it stays.
    std::thread::spawn(move || {
        let mut chunk = [0; 65536];
        while let Ok(1..) = answers.read(&mut chunk) {}
    });
    let begin = record.now();
    let mut written = 0;
    stream.set_write_timeout(Some(ms(50))).unwrap();
    let until = begin + if trouble() { LEAVES_AFTER_MS as f64 } else { 30_000.0 };
    while record.now() < until && written < commands.len() {
        match stream.write(&commands[written..]) {
            Ok(count) => written += count,
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(error) => {
                record.line(&format!("client: {error}"));
                break;
            }
        }
    }
    record.say(&format!("client: {written} bytes written in {:.0} ms", record.now() - begin));
    let left_at;
    if trouble() {
        while record.now() < until {
            std::thread::sleep(ms(5));
        }
        let _ = stream.shutdown(Shutdown::Both);
        drop(stream);
        left_at = record.now();
        record.say(&format!("client: closed its connection at {left_at:.0} ms"));
        std::thread::sleep(ms(6000));
    } else {
        std::thread::sleep(ms(6000));
        left_at = record.now();
        drop(stream);
    }
    let arrivals = arrivals.lock().unwrap();
    let own: Vec<_> = arrivals.iter().filter(|arrival| ids.contains(&arrival.id)).collect();
    let late: Vec<_> = own.iter().filter(|arrival| arrival.at_ms > left_at + LIMIT_MS).collect();
    for arrival in &late {
        record.line(&format!("{} began {:.0} ms after the close", arrival.id, arrival.at_ms - left_at));
    }
    let last = late.iter().map(|arrival| arrival.at_ms - left_at).fold(0.0, f64::max);
    record.say(&format!(
        "{} attempts for the client, {} of them began later than {LIMIT_MS} ms after its close, the last {last:.0} ms after it",
        own.len(),
        late.len()
    ));
    drop(ingresses);
    drop(folder);
    finish(i32::from(!late.is_empty()))
}
