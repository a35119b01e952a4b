//! The adapter between the simulator's wire and the decision module: it translates and decides nothing.
//!
//! Batches come on standard input; each is answered by one reply on standard output. The process ends with success at
//! the end of its input, and with a message on standard error after a malformed batch.

mod error;
mod wire;

use chalkgap_core::{Action, Gateway, Micros};
use error::AdapterError;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;
use wire::{Batch, Decoded, FieldError, Record, Reply, WireError};

/// A running gateway, and how to read the load reports that are sent to it.
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
    /// The actions of one event, held here to reuse their memory.
    actions: Vec<Action>,
}

impl Adapter {
    /// Handles the events of a batch in their order and returns the reply.
    fn answer(&mut self, batch: &Batch) -> Result<Reply, WireError> {
        let mut reply = Reply::new(batch.number);
        for record in batch.records() {
            self.handle(&record, batch.clock, &mut reply)?;
        }
        Ok(reply)
    }

    fn handle(&mut self, record: &Record, now: Micros, reply: &mut Reply) -> Result<(), WireError> {
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
                None => eprintln!("{}", record.error("ingress", FieldError::UnknownInstance)),
            },
        }
        Ok(())
    }
}

/// Reads a whole frame; `None` at the end of the input.
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
    // Memory grows with the bytes that arrive, so that a false length cannot claim any.
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
        let reply = adapter.answer(&Batch::parse(&frame)?)?;
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
