//! The server of unary calls.

use super::CLOSE_TIMEOUT_MICROS;
use crate::{while_alive, Pipe, Turn};
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use chalkgap_runtime::{BoxFuture, Listener, Micros, Shared, Stream};
use chalkgap_wire::grpc::{Code, Deframer, Status};
use chalkgap_wire::http2::{Config, Connection, Event, Field};
use futures_lite::future;
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Delay after a failed accept. The usual cause is a lack of file descriptors.
const ACCEPT_BACKOFF_MICROS: Micros = 10_000;

/// The limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open connections. Further connections are closed at once.
    pub connections: usize,
    /// Maximum number of concurrent calls per connection.
    pub calls: u32,
    /// Maximum length of a request message, in bytes.
    pub message: usize,
    /// Maximum time without a running call after which a connection is closed, in microseconds. A call whose message is
    /// incomplete does not count as running.
    pub idle: Micros,
}

/// Answers a call, given its path and its message without the gRPC prefix. The response must have its prefix.
pub type Handler = Arc<dyn Fn(String, Bytes) -> BoxFuture<'static, Result<Bytes, Status>> + Send + Sync>;

/// Accepts connections and answers their calls with `handler`. The tasks of connections and calls are dropped when the
/// sender of `kill` is dropped; the returned future itself does not end.
pub async fn serve(
    runtime: Shared,
    listener: Box<dyn Listener>,
    limits: Limits,
    handler: Handler,
    kill: Receiver<()>,
) {
    let open_connections = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok(stream) = listener.accept().await else {
            runtime.sleep_until(runtime.now() + ACCEPT_BACKOFF_MICROS).await;
            continue;
        };
        future::yield_now().await; // clients may connect without end
        if open_connections.fetch_add(1, Ordering::Relaxed) >= limits.connections {
            open_connections.fetch_sub(1, Ordering::Relaxed);
            continue;
        }
        let task = serve_connection(runtime.clone(), stream, limits, handler.clone(), kill.clone());
        let open_connections = open_connections.clone();
        let kill = kill.clone();
        let task = async move {
            while_alive(kill, task).await;
            open_connections.fetch_sub(1, Ordering::Relaxed);
        };
        runtime.spawn(Box::pin(task)).detach();
    }
}

async fn serve_connection(
    runtime: Shared,
    stream: Box<dyn Stream>,
    limits: Limits,
    handler: Handler,
    kill: Receiver<()>,
) {
    ServerConnection::new(runtime, stream, limits, handler, kill).run().await;
}

/// A handler's response and the stream of its call.
struct Finished {
    stream: u32,
    response: Result<Bytes, Status>,
}

/// A call whose message is incomplete.
struct IncomingCall {
    path: String,
    body: Deframer,
}

struct ServerConnection {
    runtime: Shared,
    limits: Limits,
    handler: Handler,
    kill: Receiver<()>,
    pipe: Pipe<Finished>,
    finished: Sender<Finished>,
    incoming: HashMap<u32, IncomingCall>,
    /// Number of calls that handlers are processing.
    running: u32,
    /// The time at which the last call finished, or at which the connection was accepted.
    idle_since: Micros,
}

impl ServerConnection {
    fn new(
        runtime: Shared,
        stream: Box<dyn Stream>,
        limits: Limits,
        handler: Handler,
        kill: Receiver<()>,
    ) -> Self {
        let config = Config { max_streams: limits.calls, ..Config::default() };
        // The channel has capacity for the responses of all permitted calls, so that handlers do not wait to send.
        let (finished, responses) = async_channel::bounded(2 * limits.calls as usize);
        let connection = Connection::server(config);
        let pipe = Pipe::new(runtime.clone(), stream, connection, responses, kill.clone());
        let idle_since = runtime.now();
        let incoming = HashMap::new();
        ServerConnection { runtime, limits, handler, kill, pipe, finished, incoming, running: 0, idle_since }
    }

    async fn run(mut self) {
        loop {
            let until = (self.running == 0).then_some(self.idle_since + self.limits.idle);
            match self.pipe.turn(until, self.running < self.limits.calls).await {
                Turn::Command(Finished { stream, response }) => {
                    self.running -= 1;
                    self.idle_since = self.runtime.now();
                    self.respond(stream, response);
                }
                Turn::Read => {}
                Turn::Time | Turn::Signal | Turn::Closed | Turn::ProtocolError(_) => break,
            }
            while let Some(event) = self.pipe.conn.event() {
                self.handle(event);
            }
            if self.pipe.conn.finished() {
                break;
            }
        }
        self.pipe.close(self.runtime.now() + CLOSE_TIMEOUT_MICROS).await;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Headers { stream, end: true, .. } => {
                let text = "expected one message, found none";
                self.respond(stream, Err(Status::new(Code::InvalidArgument, text)));
            }
            Event::Headers { stream, fields, end: false } => {
                let path = fields.iter().find(|field| field.name == ":path").map(|field| &field.value[..]);
                let path = String::from_utf8_lossy(path.unwrap_or_default()).into_owned();
                let body = Deframer::new(self.limits.message);
                self.incoming.entry(stream).or_insert(IncomingCall { path, body });
            }
            Event::Data { stream, data, end } => self.receive_data(stream, &data, end),
            Event::Reset { stream, .. } => drop(self.incoming.remove(&stream)),
            _ => {}
        }
    }

    fn receive_data(&mut self, stream: u32, data: &[u8], end: bool) {
        self.pipe.conn.consumed(stream, data.len());
        let Some(call) = self.incoming.get_mut(&stream) else { return };
        call.body.push(data);
        let message = match call.body.message() {
            Ok(None) if !end => return,
            Ok(message) => message.ok_or(Status::new(Code::InvalidArgument, "expected a whole message")),
            Err(status) => Err(status),
        };
        let Some(call) = self.incoming.remove(&stream) else { return };
        match message {
            Ok(message) => self.start(stream, call.path, message),
            Err(status) => self.respond(stream, Err(status)),
        }
    }

    /// Runs the handler as a task, which is dropped when the server is killed.
    fn start(&mut self, stream: u32, path: String, message: Bytes) {
        self.running += 1;
        let response = (self.handler)(path, message);
        let finished = self.finished.clone();
        let task = async move {
            let response = response.await;
            let _ = finished.send(Finished { stream, response }).await; // fails if the connection was closed
        };
        self.runtime.spawn(Box::pin(while_alive(self.kill.clone(), task))).detach();
    }

    /// Ends a call with its response.
    fn respond(&mut self, stream: u32, response: Result<Bytes, Status>) {
        let connection = &mut self.pipe.conn;
        let mut fields =
            vec![Field::constant(":status", "200"), Field::constant("content-type", "application/grpc")];
        // Fails only if the caller has reset the call.
        let _ = match response {
            Ok(message) => connection
                .headers(stream, fields, false)
                .and_then(|()| connection.data(stream, message, false))
                .and_then(|()| connection.headers(stream, vec![Field::constant("grpc-status", "0")], true)),
            Err(status) => {
                fields.extend(status.fields());
                connection.headers(stream, fields, true)
            }
        };
    }
}
