//! The adapter between the simulator's wire and the decision module. Translation only.

mod wire;

use chalkgap_core::{Action, Event, Gateway};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;

fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, String> {
    let mut frame = vec![0u8; wire::EVENT_HEADER];
    let mut got = 0;
    while got < frame.len() {
        match input.read(&mut frame[got..]) {
            Ok(0) if got == 0 => return Ok(None),
            Ok(0) => return Err(format!("input ended after {got} bytes of a batch header")),
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("cannot read a batch header: {e}")),
        }
    }
    let size = wire::frame_size(&frame)?;
    let body = (size - wire::EVENT_HEADER) as u64;
    // Read by what comes, not by what the header claims, so a false length cannot claim memory.
    let read = input.take(body).read_to_end(&mut frame).map_err(|e| format!("cannot read a batch: {e}"))?;
    if (read as u64) < body {
        return Err(format!("input ended inside a batch: {read} of {body} bytes after its header"));
    }
    Ok(Some(frame))
}

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut gateways: BTreeMap<u16, Gateway> = BTreeMap::new();
    let mut actions: Vec<Action> = Vec::new();
    let mut fields: BTreeMap<u16, Vec<String>> = BTreeMap::new();
    while let Some(frame) = read_frame(&mut input)? {
        let batch = wire::Batch::parse(&frame)?;
        let mut reply = wire::Reply::new(batch.number);
        for index in 0..batch.count {
            let record = batch.record(index);
            let event = match record.decode(&fields)? {
                None => continue,
                Some(wire::Decoded::Start { instance, seed, conf }) => {
                    let terms = chalkgap_deployment_config::parse(conf)
                        .map_err(|e| record.error("conf", &e.to_string()))?;
                    fields.insert(instance, terms.load_report_fields);
                    gateways.insert(instance, Gateway::new(terms.settings, seed, batch.clock));
                    continue;
                }
                Some(wire::Decoded::Stop { instance }) => {
                    gateways.remove(&instance);
                    continue;
                }
                Some(wire::Decoded::Event { instance, event }) => (instance, event),
            };
            let (instance, event): (u16, Event) = event;
            match gateways.get_mut(&instance) {
                Some(gateway) => {
                    actions.clear();
                    gateway.handle(batch.clock, event, &mut actions);
                    reply.push(instance, &actions);
                }
                None => eprintln!("{}", record.error("ingress", "no such instance is running; ignored")),
            }
        }
        output.write_all(&reply.finish()).map_err(|e| format!("cannot write a reply: {e}"))?;
        output.flush().map_err(|e| format!("cannot write a reply: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("chalkgap-simulator-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}
