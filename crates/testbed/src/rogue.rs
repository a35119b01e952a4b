//! A gateway that violates one rule on purpose, to test the auditor. It serves the rate limit service and forwards all calls
//! to nodes, without any admission decision.

use crate::journal::CALL_ENTRY;
use async_channel::Sender;
use bytes::Bytes;
use chalkgap_runtime::{Micros, Shared, Stream};
use chalkgap_transport::{Pipe, Turn};
use chalkgap_wire::grpc::{self, Deframer};
use chalkgap_wire::http2::{Config, Connection, Event, Field};
use chalkgap_wire::intake::{self, Work};
use chalkgap_wire::ratelimit::{RateLimitRequest, RateLimitResponse, Verdict};
use futures_lite::future;
use prost::Message;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

/// Maximum number of answers that wait for the task of their connection.
const MAX_PENDING_ANSWERS: usize = 100;
const MAX_REQUEST_BYTES: usize = 100_000;
const DEFAULT_TIMEOUT_MICROS: Micros = 1_000_000;
const ATTEMPT_TIMEOUT_MICROS: Micros = 1_000_000;
/// How long after the deadline [`Defect::Late`] answers.
const LATE_BY_MICROS: Micros = 50_000;
/// Number of attempts per call of [`Defect::Floods`].
const FLOOD_ATTEMPTS: usize = 40;

/// The rule that a rogue gateway violates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// No rule is violated.
    None,
    /// Each call gets a second answer.
    AnswersTwice,
    /// Calls are forwarded and never answered.
    Drops,
    /// Calls are answered after their deadline.
    Late,
    /// Each call is forwarded to two nodes.
    SendsTwice,
    /// Calls are forwarded and then answered with OVER_LIMIT.
    RefusesWhatRan,
    /// Each call is forwarded to the first node forty times.
    Floods,
    /// Calls are answered as served and never forwarded.
    Invents,
}

/// Starts a rogue gateway and returns its address. It runs until the runtime stops.
///
/// # Errors
/// Returns the system's error if no address can be bound.
pub fn start(runtime: Shared, nodes: Vec<SocketAddr>, defect: Defect) -> io::Result<SocketAddr> {
    let listener = runtime.listen(([127, 0, 0, 1], 0).into())?;
    let address = listener.address();
    let gateway = Rogue { runtime: runtime.clone(), nodes, defect };
    let accept = async move {
        while let Ok(stream) = listener.accept().await {
            let connection = ServerConnection::new(gateway.clone(), stream);
            gateway.runtime.spawn(Box::pin(connection.run())).detach();
        }
    };
    runtime.spawn(Box::pin(accept)).detach();
    Ok(address)
}

#[derive(Clone)]
struct Rogue {
    runtime: Shared,
    nodes: Vec<SocketAddr>,
    defect: Defect,
}

/// The answer to a call, sent to the task of its connection.
struct Answer {
    stream: u32,
    verdict: Verdict,
}

/// A call whose request message is incomplete.
struct IncomingCall {
    body: Deframer,
    deadline: Micros,
}

struct ServerConnection {
    gateway: Rogue,
    pipe: Pipe<Answer>,
    answers: Sender<Answer>,
    incoming: HashMap<u32, IncomingCall>,
    /// Kept open, so that the pipe reports no signal.
    _signal_sender: Sender<()>,
}

impl ServerConnection {
    fn new(gateway: Rogue, stream: Box<dyn Stream>) -> Self {
        let (answers, commands) = async_channel::bounded(MAX_PENDING_ANSWERS);
        let (signal_sender, signal) = async_channel::bounded(1);
        let connection = Connection::server(Config::default());
        let pipe = Pipe::new(gateway.runtime.clone(), stream, connection, commands, signal);
        ServerConnection { gateway, pipe, answers, incoming: HashMap::new(), _signal_sender: signal_sender }
    }

    async fn run(mut self) {
        loop {
            match self.pipe.turn(None, true).await {
                Turn::Command(answer) => self.respond(&answer),
                Turn::Read | Turn::Time | Turn::Signal => {}
                Turn::ProtocolError(_) | Turn::Closed => return,
            }
            while let Some(event) = self.pipe.conn.event() {
                self.handle(event);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Headers { stream, fields, .. } => {
                let timeout = fields.iter().find(|field| field.name == "grpc-timeout");
                let timeout = timeout.and_then(|field| grpc::parse_timeout(&field.value));
                let deadline = self.gateway.runtime.now() + timeout.unwrap_or(DEFAULT_TIMEOUT_MICROS);
                let body = Deframer::new(MAX_REQUEST_BYTES);
                self.incoming.insert(stream, IncomingCall { body, deadline });
            }
            Event::Data { stream, data, .. } => self.receive_data(stream, &data),
            _ => {}
        }
    }

    fn receive_data(&mut self, stream: u32, data: &[u8]) {
        self.pipe.conn.consumed(stream, data.len());
        let Some(call) = self.incoming.get_mut(&stream) else { return };
        call.body.push(data);
        let Ok(Some(message)) = call.body.message() else { return };
        let Ok(request) = RateLimitRequest::decode(message) else { return };
        let deadline = call.deadline;
        let gateway = self.gateway.clone();
        let answers = self.answers.clone();
        let forward = async move {
            if let Some(verdict) = gateway.forward(&request, deadline).await {
                let _ = answers.send(Answer { stream, verdict }).await; // fails only if the connection is closed
            }
        };
        self.gateway.runtime.spawn(Box::pin(forward)).detach();
    }

    fn respond(&mut self, answer: &Answer) {
        let stream = answer.stream;
        let response = RateLimitResponse { overall_code: answer.verdict.into(), ..Default::default() };
        let fields =
            vec![Field::constant(":status", "200"), Field::constant("content-type", "application/grpc")];
        let trailers = vec![Field::constant("grpc-status", "0")];
        let connection = &mut self.pipe.conn;
        // Fails only if the client has reset the call.
        let _ = connection
            .headers(stream, fields, false)
            .and_then(|()| connection.data(stream, grpc::frame(&response), false))
            .and_then(|()| connection.headers(stream, trailers, true));
        if self.gateway.defect == Defect::AnswersTwice {
            // A second HEADERS frame with END_STREAM and `:status: 200`, written directly as the HTTP/2 connection would not
            // send it.
            let mut frame = vec![0, 0, 1, 1, 0x5];
            frame.extend_from_slice(&stream.to_be_bytes());
            frame.push(0x88);
            connection.output().extend_from_slice(&frame);
        }
    }
}

impl Rogue {
    /// Forwards a call according to the defect, and returns the answer, or `None` if the call is not to be answered.
    async fn forward(&self, request: &RateLimitRequest, deadline: Micros) -> Option<Verdict> {
        let entries = request.descriptors.first().map(|descriptor| descriptor.entries.clone());
        let entries = entries.unwrap_or_default();
        let value = |key: &str| {
            let entry = entries.iter().find(|entry| entry.key == key);
            entry.map(|entry| entry.value.clone()).unwrap_or_default()
        };
        let class = value("class");
        let name = format!("0-rogue-{}", value(CALL_ENTRY));
        let work = Work {
            account: value("account"),
            units: request.hits_addend,
            entries: entries.iter().filter(|entry| entry.key == CALL_ENTRY).cloned().collect(),
            ..Work::default()
        };
        let attempts = match self.defect {
            Defect::Invents => 0,
            Defect::SendsTwice => 2,
            Defect::Floods => FLOOD_ATTEMPTS,
            _ => 1,
        };
        for number in 0..attempts {
            let index = if self.defect == Defect::Floods { 0 } else { number % self.nodes.len() };
            // Ignores nodes that cannot be reached.
            let _ = attempt(&self.runtime, self.nodes[index], &class, &work, &name).await;
        }
        match self.defect {
            Defect::Drops => None,
            Defect::Late => {
                self.runtime.sleep_until(deadline + LATE_BY_MICROS).await;
                Some(Verdict::Ok)
            }
            Defect::RefusesWhatRan => Some(Verdict::OverLimit),
            _ => Some(Verdict::Ok),
        }
    }
}

/// Sends one attempt on a new connection and waits for the node's answer, at most [`ATTEMPT_TIMEOUT_MICROS`].
async fn attempt(runtime: &Shared, node: SocketAddr, class: &str, work: &Work, name: &str) -> io::Result<()> {
    let stream = runtime.connect(node).await?;
    let (_commands, no_commands) = async_channel::bounded::<()>(1);
    let (_signal_sender, signal) = async_channel::bounded(1);
    let connection = Connection::client(Config { max_streams: 0, ..Config::default() });
    let mut pipe = Pipe::new(runtime.clone(), stream, connection, no_commands, signal);
    let fields = [
        Field::constant(":method", "POST"),
        Field::constant(":scheme", "http"),
        Field::new(":path", format!("{}{class}", intake::PATH_PREFIX)),
        Field::new(intake::REQUEST_ID_HEADER, Bytes::from(name.to_owned())),
    ];
    let deadline = runtime.now() + ATTEMPT_TIMEOUT_MICROS;
    let served = async {
        let mut sent = false;
        loop {
            if !sent && pipe.conn.settings_received() {
                if let Ok(stream) = pipe.conn.open(&fields, false) {
                    let _ = pipe.conn.data(stream, grpc::frame(work), true); // cannot fail: the stream was just opened
                    sent = true;
                }
            }
            if matches!(pipe.turn(None, true).await, Turn::Closed | Turn::ProtocolError(_)) {
                return;
            }
            while let Some(event) = pipe.conn.event() {
                if matches!(event, Event::Headers { end: true, .. } | Event::Reset { .. }) {
                    return;
                }
            }
        }
    };
    future::or(served, runtime.sleep_until(deadline)).await;
    Ok(())
}
