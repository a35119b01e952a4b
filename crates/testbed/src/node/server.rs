//! The node's gRPC server: receives calls, executes them and sends the responses.

use super::engine::Engine;
use super::Usage;
use crate::journal::{Journal, Seen, CALL_ENTRY};
use crate::lock;
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use chalkgap_runtime::{Listener, Micros, Shared, Stream};
use chalkgap_transport::{while_alive, Pipe, Turn};
use chalkgap_wire::grpc::{self, Deframer, Status};
use chalkgap_wire::http2::{Code, Config, Connection, Event, Field, SendError};
use chalkgap_wire::intake::{self, Done, Work};
use chalkgap_wire::orca;
use chalkgap_wire::truth::{self, Answer, ExecutionStatus, Question};
use prost::Message;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

const MAX_STREAMS: u32 = 1000;
const MAX_MESSAGE_BYTES: usize = 1 << 20;
const ACCEPT_BACKOFF_MICROS: Micros = 10_000;
/// How long a mute node keeps a connection open.
const MUTE_MICROS: Micros = 60_000_000;
const CLOSE_TIMEOUT_MICROS: Micros = 1_000_000;

/// The state that all tasks of a node share.
pub(super) struct Context {
    pub runtime: Shared,
    pub journal: Journal,
    pub engine: Arc<Mutex<Engine>>,
    pub address: SocketAddr,
    /// Closed when the node starts to drain.
    pub drain: Receiver<()>,
    /// Closed when the node is killed.
    pub kill: Receiver<()>,
}

/// Accepts connections until the node is killed.
pub(super) fn start(context: Arc<Context>, listener: Box<dyn Listener>) {
    spawn(&context, accept(context.clone(), listener));
}

fn spawn(context: &Context, task: impl Future<Output = ()> + Send + 'static) {
    context.runtime.spawn(Box::pin(while_alive(context.kill.clone(), task))).detach();
}

async fn accept(context: Arc<Context>, listener: Box<dyn Listener>) {
    let runtime = &context.runtime;
    loop {
        let Ok(stream) = listener.accept().await else {
            runtime.sleep_until(runtime.now() + ACCEPT_BACKOFF_MICROS).await;
            continue;
        };
        let (refuse, mute) = {
            let engine = lock(&context.engine);
            (engine.faults.refuse || engine.overloaded, engine.faults.mute)
        };
        if mute {
            spawn(&context, hold(runtime.clone(), stream));
        } else if !refuse {
            spawn(&context, ServerConnection::new(context.clone(), stream).run());
        }
    }
}

/// Keeps a connection open without reading or writing.
async fn hold(runtime: Shared, stream: Box<dyn Stream>) {
    runtime.sleep_until(runtime.now() + MUTE_MICROS).await;
    drop(stream);
}

/// The response to a call, sent to the task of its connection.
struct Finished {
    stream: u32,
    response: Response,
}

enum Response {
    Complete(Done),
    /// Half of the message, followed by a stream reset.
    Truncated(Done),
    Failed,
    UsageLookup(Answer),
}

/// A call whose request message is incomplete.
struct IncomingCall {
    fields: Vec<Field>,
    body: Deframer,
}

/// A gateway's attempt, as received.
struct Attempt {
    class: String,
    key: Option<String>,
    /// Number of the client's call, for the journal.
    call: u64,
    /// The gateway's name for the request.
    request: String,
    usage: Usage,
}

impl Attempt {
    fn new(fields: &[Field], work: &Work) -> Attempt {
        let text = |name: &str| {
            let field = fields.iter().find(|field| field.name == name)?;
            Some(String::from_utf8_lossy(&field.value).into_owned())
        };
        let path = text(":path").unwrap_or_default();
        let call = work.entries.iter().find(|entry| entry.key == CALL_ENTRY);
        let entered = text(truth::ACCEPTED_AT_HEADER).and_then(|text| text.parse().ok()).unwrap_or(0);
        Attempt {
            class: path.strip_prefix(intake::PATH_PREFIX).unwrap_or_default().to_owned(),
            key: text(intake::IDEMPOTENCY_KEY_HEADER),
            call: call.and_then(|entry| entry.value.parse().ok()).unwrap_or_default(),
            request: text(intake::REQUEST_ID_HEADER).unwrap_or_default(),
            usage: Usage { account: work.account.clone(), units: work.units.into(), entered },
        }
    }
}

/// What the node does with an arriving attempt.
enum Arrival {
    /// Refuses it without processing, as the queue is full.
    Refused,
    /// Never answers it.
    Unanswered,
    /// Responds at once.
    Finished(Response),
    /// Executes it as soon as it has a core.
    Accepted(Execution),
}

struct Execution {
    core: Receiver<()>,
    micros: f64,
    truncated: bool,
}

impl Context {
    fn receive(&self, attempt: &Attempt, now: Micros) -> Arrival {
        let mut engine = lock(&self.engine);
        if engine.queued() >= engine.machine.queue {
            return Arrival::Refused;
        }
        let cell = engine.machine.cell.clone();
        self.journal.note(
            now,
            Seen::Arrived {
                node: self.address,
                cell: cell.name.clone(),
                call: attempt.call,
                request: attempt.request.clone(),
                key: attempt.key.clone(),
            },
        );
        let was_overloaded = engine.overloaded;
        let micros = engine.arrive(&attempt.class, now);
        if engine.overloaded {
            if !was_overloaded {
                self.journal.note(now, Seen::Fell { node: self.address });
            }
            return Arrival::Unanswered;
        }
        let faults = engine.faults.clone();
        if faults.hang {
            return Arrival::Unanswered;
        }
        let class_fails = faults.fail_class.as_ref().is_none_or(|class| *class == attempt.class);
        if class_fails && engine.chance(faults.fail) {
            return Arrival::Finished(Response::Failed);
        }
        let truncated = engine.chance(faults.halfway);
        let key = attempt.key.as_ref();
        if let Some(first) = key.and_then(|key| cell.first_request(key, &attempt.request, now)) {
            // A duplicate from another request used no units. A repeat of the same request may have used some: the node does
            // not know how its first attempt ended.
            let units = (first != attempt.request).then_some(0);
            let done = Done { body: Bytes::from_static(b"known"), units, repeat: true };
            return Arrival::Finished(Response::Complete(done));
        }
        if !engine.machine.executions.begin(&attempt.request) {
            return Arrival::Finished(Response::Failed);
        }
        Arrival::Accepted(Execution { core: engine.request_core(), micros, truncated })
    }

    /// Executes an accepted attempt.
    async fn execute(&self, attempt: Attempt, execution: Execution) -> Response {
        let _ = execution.core.recv().await; // cannot fail: the queue keeps each sender until it sends
        if execution.micros >= 1.0 {
            self.runtime.sleep_until(self.runtime.now() + execution.micros as Micros).await;
        }
        let executions = {
            let mut engine = lock(&self.engine);
            engine.release_core();
            engine.machine.executions.clone()
        };
        let Attempt { call, key, request, usage, .. } = attempt;
        if !executions.complete(&request, usage) {
            return Response::Failed;
        }
        self.journal.note(self.runtime.now(), Seen::Ran { node: self.address, call, key });
        let done = Done { body: Bytes::from(format!("done {call}")), ..Done::default() };
        if execution.truncated {
            Response::Truncated(done)
        } else {
            Response::Complete(done)
        }
    }

    fn look_up(&self, question: &Question) -> Answer {
        let (executions, forgets) = {
            let engine = lock(&self.engine);
            (engine.machine.executions.clone(), engine.faults.forgets)
        };
        let status =
            |request: &String| if forgets { ExecutionStatus::Unknown } else { executions.look_up(request) };
        Answer { statuses: question.requests.iter().map(|request| status(request).into()).collect() }
    }
}

struct ServerConnection {
    context: Arc<Context>,
    pipe: Pipe<Finished>,
    finished: Sender<Finished>,
    incoming: HashMap<u32, IncomingCall>,
}

impl ServerConnection {
    fn new(context: Arc<Context>, stream: Box<dyn Stream>) -> Self {
        let (finished, commands) = async_channel::bounded(MAX_STREAMS as usize);
        let config = Config { max_streams: MAX_STREAMS, ..Config::default() };
        let connection = Connection::server(config);
        let pipe = Pipe::new(context.runtime.clone(), stream, connection, commands, context.drain.clone());
        ServerConnection { context, pipe, finished, incoming: HashMap::new() }
    }

    async fn run(mut self) {
        loop {
            match self.pipe.turn(None, true).await {
                Turn::Command(Finished { stream, response }) => self.respond(stream, response),
                Turn::Read | Turn::Time => {}
                Turn::Signal => self.pipe.conn.shutdown(),
                Turn::ProtocolError(_) | Turn::Closed => break,
            }
            while let Some(event) = self.pipe.conn.event() {
                self.handle(event);
            }
            if self.pipe.conn.finished() || lock(&self.context.engine).overloaded {
                break;
            }
        }
        self.pipe.close(self.context.runtime.now() + CLOSE_TIMEOUT_MICROS).await;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Headers { stream, fields, end: false } => {
                let body = Deframer::new(MAX_MESSAGE_BYTES);
                self.incoming.entry(stream).or_insert(IncomingCall { fields, body });
            }
            Event::Headers { stream, .. } => self.pipe.conn.reset(stream, Code::PROTOCOL_ERROR),
            Event::Data { stream, data, .. } => self.receive_data(stream, &data),
            Event::Reset { stream, .. } => {
                self.incoming.remove(&stream);
            }
            _ => {}
        }
    }

    fn receive_data(&mut self, stream: u32, data: &[u8]) {
        self.pipe.conn.consumed(stream, data.len());
        let Some(call) = self.incoming.get_mut(&stream) else { return };
        call.body.push(data);
        let Some(message) = call.body.message().ok().flatten() else { return };
        let Some(IncomingCall { fields, .. }) = self.incoming.remove(&stream) else { return };
        if fields.iter().any(|field| field.name == ":path" && field.value == truth::ASK) {
            if let Ok(question) = Question::decode(message) {
                self.look_up(stream, &question);
            }
        } else if let Ok(work) = Work::decode(message) {
            self.receive_attempt(stream, Attempt::new(&fields, &work));
        }
    }

    fn look_up(&mut self, stream: u32, question: &Question) {
        let response = Response::UsageLookup(self.context.look_up(question));
        let delay = lock(&self.context.engine).faults.lookup_delay;
        if delay == 0 {
            return self.respond(stream, response);
        }
        let runtime = self.context.runtime.clone();
        let finished = self.finished.clone();
        spawn(&self.context, async move {
            runtime.sleep_until(runtime.now() + delay).await;
            let _ = finished.send(Finished { stream, response }).await; // fails only if the connection is closed
        });
    }

    fn receive_attempt(&mut self, stream: u32, attempt: Attempt) {
        let now = self.context.runtime.now();
        match self.context.receive(&attempt, now) {
            Arrival::Refused => self.pipe.conn.reset(stream, Code::REFUSED_STREAM),
            Arrival::Unanswered => {}
            Arrival::Finished(response) => self.respond(stream, response),
            Arrival::Accepted(execution) => {
                let context = self.context.clone();
                let finished = self.finished.clone();
                spawn(&self.context, async move {
                    let response = context.execute(attempt, execution).await;
                    let _ = finished.send(Finished { stream, response }).await; // fails only if the connection is closed
                });
            }
        }
    }

    fn respond(&mut self, stream: u32, response: Response) {
        let queued = lock(&self.context.engine).queued() as f64;
        let load = orca::format(&orca::Load { queue: Some(queued), ..orca::Load::default() });
        let load = Field::new(orca::TRAILER, load);
        let connection = &mut self.pipe.conn;
        // Fails only if the gateway has reset the call.
        let _ = match response {
            Response::UsageLookup(answer) => send_message(connection, stream, grpc::frame(&answer), load),
            Response::Complete(done) => send_message(connection, stream, grpc::frame(&done), load),
            Response::Truncated(done) => {
                let message = grpc::frame(&done);
                let half = message.slice(..message.len() / 2);
                let sent = connection
                    .headers(stream, response_headers(), false)
                    .and_then(|()| connection.data(stream, half, false));
                connection.output(); // moves the half message to the output before the reset
                connection.reset(stream, Code::INTERNAL_ERROR);
                sent
            }
            Response::Failed => {
                let mut fields = response_headers();
                fields.extend(Status::new(grpc::Code::Internal, "injected fault").fields());
                fields.push(load);
                connection.headers(stream, fields, true)
            }
        };
    }
}

fn response_headers() -> Vec<Field> {
    vec![Field::constant(":status", "200"), Field::constant("content-type", "application/grpc")]
}

fn send_message(
    connection: &mut Connection,
    stream: u32,
    message: Bytes,
    load: Field,
) -> Result<(), SendError> {
    connection.headers(stream, response_headers(), false)?;
    connection.data(stream, message, false)?;
    let mut trailers = Status::new(grpc::Code::Ok, "").fields();
    trailers.push(load);
    connection.headers(stream, trailers, true)
}
