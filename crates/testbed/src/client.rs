//! A stand-in client of the rate limit service: one connection to one ingress, many calls at once.

use crate::journal::{self, Journal, Seen, CALL_ENTRY};
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use chalkgap_runtime::{Micros, Shared};
use chalkgap_transport::{Pipe, Turn};
use chalkgap_wire::grpc::{self, Deframer, Status};
use chalkgap_wire::http2::{Code, Config, Connection, Event, Field};
use chalkgap_wire::ratelimit::{
    Descriptor, Entry, RateLimitRequest, RateLimitResponse, Verdict, SHOULD_RATE_LIMIT,
};
use futures_lite::future;
use prost::Message;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

/// What a call asks.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Unique over all tries of all clients.
    pub call: u64,
    /// Whose.
    pub account: String,
    /// The class.
    pub class: String,
    /// Units.
    pub units: u32,
    /// The request's key.
    pub key: Option<String>,
    /// How long the client waits; it is told to the ingress.
    pub timeout: Micros,
}

impl Ask {
    /// What the journal has of it when it is sent.
    pub(crate) fn seen(&self, ingress: u16, now: Micros) -> Seen {
        Seen::Asked {
            call: self.call,
            ingress,
            account: self.account.clone(),
            class: self.class.clone(),
            units: self.units,
            key: self.key.clone(),
            deadline: now + self.timeout,
        }
    }
}

/// How a call ended, and what came along.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// As the journal has it.
    pub answer: journal::Answer,
    /// The whole answer, where one came.
    pub response: Option<RateLimitResponse>,
    /// The status's text, where it failed.
    pub message: String,
}

fn outcome(answer: journal::Answer) -> Outcome {
    Outcome { answer, response: None, message: String::new() }
}

enum Command {
    Start(Bytes, Micros, Sender<Outcome>),
}

/// A connection to an ingress.
pub struct Client {
    runtime: Shared,
    journal: Journal,
    ingress: u16,
    commands: Sender<Command>,
}

impl Client {
    /// Connects to ingress `ingress` at an address.
    ///
    /// # Errors
    /// There is no connection.
    pub async fn connect(
        runtime: Shared,
        to: SocketAddr,
        ingress: u16,
        journal: Journal,
    ) -> io::Result<Client> {
        let stream = runtime.connect(to).await?;
        let (commands, receiver) = async_channel::bounded(1000);
        let (_keep, signal) = async_channel::bounded(1);
        let config = Config { max_streams: 0, ..Config::default() };
        let pipe = Pipe::new(runtime.clone(), stream, Connection::client(config), receiver.clone(), signal);
        runtime.spawn(Box::pin(run(runtime.clone(), pipe, to, receiver, ingress, journal.clone()))).detach();
        Ok(Client { runtime, journal, ingress, commands })
    }

    /// Whether the connection is gone.
    pub fn closed(&self) -> bool {
        self.commands.is_closed()
    }

    /// Makes a call and waits for its end.
    pub async fn call(&self, ask: &Ask) -> Outcome {
        let entry = |key: &str, value: String| Entry { key: key.into(), value };
        let mut entries = vec![
            entry("account", ask.account.clone()),
            entry("class", ask.class.clone()),
            entry(CALL_ENTRY, ask.call.to_string()),
        ];
        entries.extend(ask.key.iter().map(|k| entry("key", k.clone())));
        let descriptors = vec![Descriptor { entries, hits_addend: None }];
        let request = RateLimitRequest { domain: "chalkgap".into(), descriptors, hits_addend: ask.units };
        let now = self.runtime.now();
        let (sender, receiver) = async_channel::bounded(1);
        self.journal.note(now, ask.seen(self.ingress, now));
        let sent = self.commands.send(Command::Start(grpc::frame(&request), now + ask.timeout, sender)).await;
        let end = match sent {
            Ok(()) => receiver.recv().await.unwrap_or_else(|_| outcome(journal::Answer::Broken)),
            Err(_) => outcome(journal::Answer::NotTaken),
        };
        let answered = Seen::Answered { call: ask.call, answer: end.answer.clone() };
        self.journal.note(self.runtime.now(), answered);
        end
    }
}

struct Open {
    reply: Sender<Outcome>,
    until: Micros,
    body: Deframer,
    response: Option<RateLimitResponse>,
}

/// How long past its time a client still looks for an answer, to see a late one. The auditor judges by the times.
const LOOK: Micros = 300_000;

async fn run(
    runtime: Shared,
    mut pipe: Pipe<Command>,
    to: SocketAddr,
    commands: Receiver<Command>,
    ingress: u16,
    journal: Journal,
) {
    let mut open: HashMap<u32, Open> = HashMap::new();
    let mut waiting = Vec::new();
    loop {
        let until = open.values().map(|o| o.until + LOOK).min();
        match pipe.turn(until, true).await {
            Turn::Command(c) => waiting.push(c),
            Turn::Read | Turn::Signal => {}
            Turn::Time => {
                let now = runtime.now();
                let late: Vec<u32> = open.iter().filter(|o| o.1.until + LOOK <= now).map(|o| *o.0).collect();
                for id in late {
                    pipe.conn.reset(id, Code::CANCEL);
                    if let Some(o) = open.remove(&id) {
                        let _ = o.reply.try_send(outcome(journal::Answer::Left));
                    }
                }
            }
            Turn::Bad(e) => {
                journal.note(runtime.now(), Seen::Broke { ingress, what: e.to_string() });
                break;
            }
            Turn::Closed => break,
        }
        while let Some(event) = pipe.conn.event() {
            match event {
                Event::Data { stream, data, .. } => {
                    pipe.conn.consumed(stream, data.len());
                    let Some(o) = open.get_mut(&stream) else { continue };
                    o.body.push(&data);
                    if let Ok(Some(m)) = o.body.message() {
                        o.response = RateLimitResponse::decode(m).ok();
                    }
                }
                Event::Headers { stream, fields, end: true } => {
                    if let Some(o) = open.remove(&stream) {
                        let _ = o.reply.try_send(read(&fields, o.response));
                    }
                }
                Event::Reset { stream, code, .. } => {
                    // A server that needs no more of the request says so after its answer.
                    if let Some(o) = open.remove(&stream) {
                        let message = format!("reset: {code}");
                        let refused = code == Code::REFUSED_STREAM;
                        let answer =
                            if refused { journal::Answer::NotTaken } else { journal::Answer::Broken };
                        let _ = o.reply.try_send(Outcome { message, ..outcome(answer) });
                    }
                }
                _ => {}
            }
        }
        while pipe.conn.greeted() && pipe.conn.can_open().is_ok() && !waiting.is_empty() {
            let Command::Start(message, until, reply) = waiting.remove(0);
            let left = until.saturating_sub(runtime.now());
            let fields = [
                Field::constant(":method", "POST"),
                Field::constant(":scheme", "http"),
                Field::constant(":path", SHOULD_RATE_LIMIT),
                Field::new(":authority", to.to_string()),
                Field::constant("content-type", "application/grpc"),
                Field::constant("te", "trailers"),
                Field::new("grpc-timeout", grpc::format_timeout(left)),
            ];
            let Ok(stream) = pipe.conn.open(&fields, false) else { break };
            let _ = pipe.conn.data(stream, message, true); // the stream is new
            open.insert(stream, Open { reply, until, body: Deframer::new(4 << 20), response: None });
        }
        if pipe.conn.finished() {
            break;
        }
    }
    commands.close();
    waiting.extend(std::iter::from_fn(|| commands.try_recv().ok()));
    for Command::Start(_, _, reply) in waiting {
        let _ = reply.try_send(outcome(journal::Answer::NotTaken));
    }
    let _ = future::poll_once(pipe.close(runtime.now() + 100_000)).await; // a last word, if it can go at once
}

fn read(trailers: &[Field], response: Option<RateLimitResponse>) -> Outcome {
    let status = Status::from_fields(trailers);
    let answer = match &response {
        Some(r) if status.code == grpc::Code::Ok && r.overall_code == i32::from(Verdict::Ok) => {
            journal::Answer::Served
        }
        Some(r) if status.code == grpc::Code::Ok && r.overall_code == i32::from(Verdict::OverLimit) => {
            let reset = r.statuses.first().and_then(|s| s.duration_until_reset);
            let pause =
                reset.map_or(0, |d| d.seconds.max(0) as u64 * 1_000_000 + d.nanos.max(0) as u64 / 1000);
            journal::Answer::Refused { pause }
        }
        _ => journal::Answer::Failed { code: status.code as u32 },
    };
    Outcome { answer, response, message: status.message.into_owned() }
}
