//! A fake client of the rate limit service: one connection to a gateway, with concurrent calls.

use crate::journal::{Answer, Journal, Seen, CALL_ENTRY};
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
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;

/// Maximum number of calls that wait for the connection's task.
const MAX_PENDING_CALLS: usize = 1000;
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// How long a client waits after a call's deadline, so that the journal contains late answers. The auditor compares the times.
const LATE_ANSWER_MICROS: Micros = 300_000;
const CLOSE_TIMEOUT_MICROS: Micros = 100_000;

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Unique over all requests of all clients.
    pub call: u64,
    /// The account that it is charged to.
    pub account: String,
    /// The request class.
    pub class: String,
    /// Number of quota units.
    pub units: u32,
    /// The idempotency key.
    pub key: Option<String>,
    /// How long the client waits, in microseconds. Sent to the gateway as the call's timeout.
    pub timeout: Micros,
}

impl Request {
    /// Returns the journal entry for sending it at `now` to the gateway of this number.
    pub(crate) fn seen(&self, gateway: u16, now: Micros) -> Seen {
        Seen::Asked {
            call: self.call,
            ingress: gateway,
            account: self.account.clone(),
            class: self.class.clone(),
            units: self.units,
            key: self.key.clone(),
            deadline: now + self.timeout,
        }
    }

    fn message(&self) -> RateLimitRequest {
        let entry = |key: &str, value: String| Entry { key: key.into(), value };
        let mut entries = vec![
            entry("account", self.account.clone()),
            entry("class", self.class.clone()),
            entry(CALL_ENTRY, self.call.to_string()),
        ];
        entries.extend(self.key.iter().map(|key| entry("key", key.clone())));
        let descriptors = vec![Descriptor { entries, hits_addend: None }];
        RateLimitRequest { domain: "chalkgap".into(), descriptors, hits_addend: self.units }
    }
}

/// The result of a call.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The result as it is noted in the journal.
    pub answer: Answer,
    /// The response message, if there was one.
    pub response: Option<RateLimitResponse>,
    /// The gRPC status message, or the reason of a reset; empty if there is none.
    pub message: String,
}

impl Outcome {
    fn without_response(answer: Answer) -> Outcome {
        Outcome { answer, response: None, message: String::new() }
    }

    fn from_trailers(trailers: &[Field], response: Option<RateLimitResponse>) -> Outcome {
        let status = Status::from_fields(trailers);
        let answer = match &response {
            Some(response) if status.code == grpc::Code::Ok => verdict(response),
            _ => None,
        };
        let answer = answer.unwrap_or(Answer::Failed { code: status.code as u32 });
        Outcome { answer, response, message: status.message.into_owned() }
    }
}

fn verdict(response: &RateLimitResponse) -> Option<Answer> {
    if response.overall_code == i32::from(Verdict::Ok) {
        return Some(Answer::Served);
    }
    if response.overall_code != i32::from(Verdict::OverLimit) {
        return None;
    }
    let reset = response.statuses.first().and_then(|status| status.duration_until_reset);
    let pause = reset.map_or(0, |duration| {
        duration.seconds.max(0) as u64 * 1_000_000 + duration.nanos.max(0) as u64 / 1000
    });
    Some(Answer::Refused { pause })
}

/// A connection to a gateway.
pub struct Client {
    runtime: Shared,
    journal: Journal,
    gateway: u16,
    calls: Sender<NewCall>,
}

impl Client {
    /// Connects to gateway number `gateway` at the address `to`.
    ///
    /// # Errors
    /// Returns the system's error if the connection fails.
    pub async fn connect(
        runtime: Shared,
        to: SocketAddr,
        gateway: u16,
        journal: Journal,
    ) -> io::Result<Client> {
        let stream = runtime.connect(to).await?;
        let (calls, new_calls) = async_channel::bounded(MAX_PENDING_CALLS);
        let (_signal_sender, signal) = async_channel::bounded(1);
        let config = Config { max_streams: 0, ..Config::default() };
        let connection = Connection::client(config);
        let pipe = Pipe::new(runtime.clone(), stream, connection, new_calls.clone(), signal);
        let connection = ClientConnection {
            runtime: runtime.clone(),
            journal: journal.clone(),
            to,
            gateway,
            pipe,
            open: HashMap::new(),
            waiting: VecDeque::new(),
        };
        runtime.spawn(Box::pin(connection.run(new_calls))).detach();
        Ok(Client { runtime, journal, gateway, calls })
    }

    /// Returns whether the connection is closed.
    pub fn closed(&self) -> bool {
        self.calls.is_closed()
    }

    /// Makes a call and waits for its result. Notes both in the journal.
    pub async fn call(&self, request: &Request) -> Outcome {
        let message = grpc::frame(&request.message());
        let now = self.runtime.now();
        let (sender, receiver) = async_channel::bounded(1);
        self.journal.note(now, request.seen(self.gateway, now));
        let call = NewCall { message, deadline: now + request.timeout, outcome: sender };
        let outcome = match self.calls.send(call).await {
            Ok(()) => receiver.recv().await.unwrap_or_else(|_| Outcome::without_response(Answer::Broken)),
            Err(_) => Outcome::without_response(Answer::NotTaken),
        };
        let answered = Seen::Answered { call: request.call, answer: outcome.answer.clone() };
        self.journal.note(self.runtime.now(), answered);
        outcome
    }
}

/// A call that has no stream yet.
struct NewCall {
    message: Bytes,
    deadline: Micros,
    outcome: Sender<Outcome>,
}

/// A call on its stream.
struct OpenCall {
    outcome: Sender<Outcome>,
    deadline: Micros,
    body: Deframer,
    response: Option<RateLimitResponse>,
}

impl OpenCall {
    fn gives_up_at(&self) -> Micros {
        self.deadline + LATE_ANSWER_MICROS
    }

    fn end(self, outcome: Outcome) {
        let _ = self.outcome.try_send(outcome); // closed: the caller was dropped
    }
}

struct ClientConnection {
    runtime: Shared,
    journal: Journal,
    to: SocketAddr,
    gateway: u16,
    pipe: Pipe<NewCall>,
    open: HashMap<u32, OpenCall>,
    waiting: VecDeque<NewCall>,
}

impl ClientConnection {
    async fn run(mut self, new_calls: Receiver<NewCall>) {
        loop {
            let until = self.open.values().map(OpenCall::gives_up_at).min();
            match self.pipe.turn(until, true).await {
                Turn::Command(call) => self.waiting.push_back(call),
                Turn::Read | Turn::Signal => {}
                Turn::Time => self.give_up(),
                Turn::ProtocolError(error) => {
                    let broke = Seen::Broke { ingress: self.gateway, what: error.to_string() };
                    self.journal.note(self.runtime.now(), broke);
                    break;
                }
                Turn::Closed => break,
            }
            while let Some(event) = self.pipe.conn.event() {
                self.handle(event);
            }
            self.open_waiting();
            if self.pipe.conn.finished() {
                break;
            }
        }
        new_calls.close();
        self.waiting.extend(std::iter::from_fn(|| new_calls.try_recv().ok()));
        for call in self.waiting {
            let _ = call.outcome.try_send(Outcome::without_response(Answer::NotTaken));
        }
        // Polled once: writes what the socket accepts now and discards the rest.
        let _ = future::poll_once(self.pipe.close(self.runtime.now() + CLOSE_TIMEOUT_MICROS)).await;
    }

    /// Resets the calls whose deadline passed at least [`LATE_ANSWER_MICROS`] ago.
    fn give_up(&mut self) {
        let now = self.runtime.now();
        let late = self.open.iter().filter(|(_, call)| call.gives_up_at() <= now);
        let late: Vec<u32> = late.map(|(stream, _)| *stream).collect();
        for stream in late {
            self.pipe.conn.reset(stream, Code::CANCEL);
            if let Some(call) = self.open.remove(&stream) {
                call.end(Outcome::without_response(Answer::Left));
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Data { stream, data, .. } => {
                self.pipe.conn.consumed(stream, data.len());
                let Some(call) = self.open.get_mut(&stream) else { return };
                call.body.push(&data);
                if let Ok(Some(message)) = call.body.message() {
                    call.response = RateLimitResponse::decode(message).ok();
                }
            }
            Event::Headers { stream, fields, end: true } => {
                if let Some(mut call) = self.open.remove(&stream) {
                    let response = call.response.take();
                    call.end(Outcome::from_trailers(&fields, response));
                }
            }
            Event::Reset { stream, code, .. } => {
                // After its answer a server may reset the stream to stop the request (RFC 9113, section 8.1); the call is no
                // longer open then.
                if let Some(call) = self.open.remove(&stream) {
                    let refused = code == Code::REFUSED_STREAM;
                    let answer = if refused { Answer::NotTaken } else { Answer::Broken };
                    let message = format!("reset: {code}");
                    call.end(Outcome { message, ..Outcome::without_response(answer) });
                }
            }
            _ => {}
        }
    }

    /// Opens streams for pending calls, up to the gateway's limit on concurrent streams.
    fn open_waiting(&mut self) {
        while self.pipe.conn.settings_received() && self.pipe.conn.can_open().is_ok() {
            let Some(NewCall { message, deadline, outcome }) = self.waiting.pop_front() else { return };
            let time_left = deadline.saturating_sub(self.runtime.now());
            let fields = [
                Field::constant(":method", "POST"),
                Field::constant(":scheme", "http"),
                Field::constant(":path", SHOULD_RATE_LIMIT),
                Field::new(":authority", self.to.to_string()),
                Field::constant("content-type", "application/grpc"),
                Field::constant("te", "trailers"),
                Field::new("grpc-timeout", grpc::format_timeout(time_left)),
            ];
            let Ok(stream) = self.pipe.conn.open(&fields, false) else { return };
            let _ = self.pipe.conn.data(stream, message, true); // cannot fail: the stream was just opened
            let body = Deframer::new(MAX_RESPONSE_BYTES);
            self.open.insert(stream, OpenCall { outcome, deadline, body, response: None });
        }
    }
}
