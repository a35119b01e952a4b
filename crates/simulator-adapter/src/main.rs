//! Adapter between the simulator's wire protocol and the decision module. It translates and makes no decisions.
//!
//! It reads batches of events from standard input and answers each with one reply on standard output. At the end of
//! its input it exits with success; after a malformed batch it exits with failure and an error message on standard
//! error.

mod error;
mod wire;

use chalkgap_core::{Action, Gateway, Micros};
use error::AdapterError;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;
use wire::{Batch, Decoded, FieldError, Record, Reply, WireError};

/// A running gateway and the names of the values in its load reports.
struct Instance {
    gateway: Gateway,
    load_report_fields: Vec<String>,
}

impl Instance {
    fn start(record: &Record, seed: u64, settings: &str, now: Micros) -> Result<Self, WireError> {
        let config = chalkgap_deployment_config::parse(settings)
            .map_err(|error| record.error("conf", FieldError::Settings(error)))?;
        let gateway = Gateway::new(config.settings, seed, now);
        Ok(Instance { gateway, load_report_fields: config.load_report_fields })
    }
}

/// The gateways of this process, by their numbers on the wire.
#[derive(Default)]
struct Adapter {
    instances: BTreeMap<u16, Instance>,
    /// Buffer for the actions of one event, kept to reuse its memory.
    actions: Vec<Action>,
}

impl Adapter {
    /// Handles the events of a batch in their order and returns the reply.
    fn handle_batch(&mut self, batch: &Batch) -> Result<Reply, WireError> {
        let mut reply = Reply::new(batch.number);
        for record in batch.records() {
            self.handle_record(&record, batch.clock, &mut reply)?;
        }
        Ok(reply)
    }

    fn handle_record(&mut self, record: &Record, now: Micros, reply: &mut Reply) -> Result<(), WireError> {
        let number = record.instance();
        let instance = self.instances.get_mut(&number);
        let fields = instance.as_ref().map_or(&[][..], |instance| &instance.load_report_fields);
        match record.decode(fields)? {
            None => {}
            Some(Decoded::Start { seed, settings }) => {
                let started = Instance::start(record, seed, settings, now)?;
                self.instances.insert(number, started);
            }
            Some(Decoded::Stop) => {
                self.instances.remove(&number);
            }
            Some(Decoded::Event(event)) => match instance {
                Some(instance) => {
                    self.actions.clear();
                    instance.gateway.handle(now, event, &mut self.actions);
                    reply.push(number, &self.actions);
                }
                None => eprintln!("{}", record.error("ingress", FieldError::UnknownInstance(number))),
            },
        }
        Ok(())
    }
}

/// Reads one frame, with its header. Returns `None` at the end of the input.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, AdapterError> {
    let mut frame = vec![0; wire::BATCH_HEADER_BYTES];
    let mut read = 0;
    while read < frame.len() {
        match input.read(&mut frame[read..]) {
            Ok(0) if read == 0 => return Ok(None),
            Ok(0) => return Err(AdapterError::IncompleteHeader { read }),
            Ok(count) => read += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(AdapterError::ReadHeader(error)),
        }
    }
    let expected = (wire::frame_length(&frame)? - wire::BATCH_HEADER_BYTES) as u64;
    // The buffer grows with the bytes that arrive, so that a false length alone allocates no memory.
    let read = input.take(expected).read_to_end(&mut frame).map_err(AdapterError::ReadBatch)? as u64;
    if read < expected {
        return Err(AdapterError::IncompleteBatch { read, expected });
    }
    Ok(Some(frame))
}

fn run() -> Result<(), AdapterError> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut adapter = Adapter::default();
    while let Some(frame) = read_frame(&mut input)? {
        let reply = adapter.handle_batch(&Batch::parse(&frame)?)?;
        output.write_all(&reply.finish()).map_err(AdapterError::WriteReply)?;
        output.flush().map_err(AdapterError::WriteReply)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chalkgap-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
