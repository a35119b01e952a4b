//! Unary gRPC calls between programs of one fleet: a client that makes one call, and a server for few and well-behaved
//! callers. Both are bounded in bytes, calls and time.

use crate::{while_alive, Pipe, Turn};
use async_channel::Receiver;
use bytes::Bytes;
use chalkgap_runtime::{BoxFuture, Listener, Micros, Shared, Stream};
use chalkgap_wire::grpc::{Code, Deframer, Status};
use chalkgap_wire::http2::{Config, Connection, Event, Field};
use futures_lite::future;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

fn unavailable(text: impl Into<std::borrow::Cow<'static, str>>) -> Status {
    Status::new(Code::Unavailable, text)
}

/// Makes one call on a connection of its own: `message` is framed, the answer is not and has at most `most` bytes.
///
/// # Errors
/// The other's status; UNAVAILABLE where there was none, DEADLINE_EXCEEDED at `until`.
pub async fn call(
    runtime: &Shared,
    to: SocketAddr,
    path: &str,
    message: Bytes,
    most: usize,
    until: Micros,
) -> Result<Bytes, Status> {
    let late = || Status::new(Code::DeadlineExceeded, "no answer in time");
    let patience = async {
        runtime.sleep_until(until).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let stream = future::or(runtime.connect(to), patience).await.map_err(|e| unavailable(e.to_string()))?;
    let (_commands, none) = async_channel::bounded::<()>(1);
    let (_keep, signal) = async_channel::bounded(1);
    let window = u32::try_from(most + 1024).unwrap_or(u32::MAX >> 1).clamp(65_535, u32::MAX >> 1);
    let config =
        Config { max_streams: 0, stream_window: window, connection_window: window, ..Config::default() };
    let mut pipe = Pipe::new(runtime.clone(), stream, Connection::client(config), none, signal);
    let (mut id, mut body, mut answer) = (None, Deframer::new(most), None);
    loop {
        match pipe.turn(Some(until), true).await {
            Turn::Time => return Err(late()),
            Turn::Bad(e) => return Err(unavailable(e.to_string())),
            Turn::Closed | Turn::Signal => return Err(unavailable("the connection was closed")),
            Turn::Read | Turn::Command(()) => {}
        }
        while let Some(event) = pipe.conn.event() {
            match event {
                Event::Data { stream, data, .. } => {
                    pipe.conn.consumed(stream, data.len());
                    body.push(&data);
                    if let Some(m) = body.message()? {
                        answer = Some(m);
                    }
                }
                Event::Headers { fields, end: true, .. } => {
                    let status = Status::from_fields(&fields);
                    pipe.conn.shutdown();
                    pipe.close(runtime.now() + 100_000).await;
                    return match (status.code, answer) {
                        (Code::Ok, Some(m)) => Ok(m),
                        (Code::Ok, None) => Err(Status::new(Code::Internal, "an OK without a message")),
                        _ => Err(status),
                    };
                }
                Event::Reset { code, .. } => return Err(unavailable(format!("the call was reset: {code}"))),
                Event::GoAway(code) if id.is_none() => {
                    return Err(unavailable(format!("it goes away: {code}")))
                }
                _ => {}
            }
        }
        if id.is_none() && pipe.conn.greeted() && pipe.conn.can_open().is_ok() {
            let fields = [
                Field::constant(":method", "POST"),
                Field::constant(":scheme", "http"),
                Field::new(":path", path.to_owned()),
                Field::new(":authority", to.to_string()),
                Field::constant("content-type", "application/grpc"),
                Field::constant("te", "trailers"),
            ];
            let Ok(stream) = pipe.conn.open(&fields, false) else {
                return Err(unavailable("no call could be opened"));
            };
            let _ = pipe.conn.data(stream, message.clone(), true); // the stream is new
            id = Some(stream);
        }
    }
}

/// What a server allows.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections at once; more are closed.
    pub connections: usize,
    /// Calls at once on a connection.
    pub calls: u32,
    /// Bytes of a message.
    pub message: usize,
    /// How long a connection may be without a call, or a call without its message.
    pub idle: Micros,
}

/// Answers a call: its path and its message; the answer is framed.
pub type Handler = Arc<dyn Fn(String, Bytes) -> BoxFuture<'static, Result<Bytes, Status>> + Send + Sync>;

/// Serves until `kill`'s other end is dropped.
pub async fn serve(
    runtime: Shared,
    listener: Box<dyn Listener>,
    limits: Limits,
    handler: Handler,
    kill: Receiver<()>,
) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok(stream) = listener.accept().await else {
            runtime.sleep_until(runtime.now() + 10_000).await; // out of descriptors, most likely
            continue;
        };
        if open.fetch_add(1, Ordering::Relaxed) >= limits.connections {
            open.fetch_sub(1, Ordering::Relaxed);
            continue;
        }
        let task = connection(runtime.clone(), stream, limits, handler.clone(), kill.clone());
        let (open, kill) = (open.clone(), kill.clone());
        let task = async move {
            while_alive(kill, task).await;
            open.fetch_sub(1, Ordering::Relaxed);
        };
        runtime.spawn(Box::pin(task)).detach();
    }
}

async fn connection(
    runtime: Shared,
    stream: Box<dyn Stream>,
    limits: Limits,
    handler: Handler,
    kill: Receiver<()>,
) {
    let config = Config { max_streams: limits.calls, ..Config::default() };
    // A word for each call that the limit allows.
    let (answered, answers) =
        async_channel::bounded::<(u32, Result<Bytes, Status>)>(2 * limits.calls as usize);
    let mut pipe = Pipe::new(runtime.clone(), stream, Connection::server(config), answers, kill.clone());
    let mut calls: HashMap<u32, (String, Deframer)> = HashMap::new();
    let (mut working, mut quiet) = (0u32, runtime.now());
    loop {
        let until = (working == 0).then_some(quiet + limits.idle);
        match pipe.turn(until, working < limits.calls).await {
            Turn::Command((stream, answer)) => {
                working -= 1;
                quiet = runtime.now();
                finish(&mut pipe, stream, answer);
            }
            Turn::Read => {}
            Turn::Time | Turn::Signal | Turn::Closed | Turn::Bad(_) => break,
        }
        while let Some(event) = pipe.conn.event() {
            match event {
                Event::Headers { stream, fields, end } => {
                    let path = fields.iter().find(|f| f.name == ":path").map(|f| &f.value[..]);
                    let path = String::from_utf8_lossy(path.unwrap_or_default()).into_owned();
                    if end {
                        let text = "expected one message, found none";
                        finish(&mut pipe, stream, Err(Status::new(Code::InvalidArgument, text)));
                    } else {
                        calls.entry(stream).or_insert_with(|| (path, Deframer::new(limits.message)));
                    }
                }
                Event::Data { stream, data, end } => {
                    pipe.conn.consumed(stream, data.len());
                    let Some((_, body)) = calls.get_mut(&stream) else { continue };
                    body.push(&data);
                    let message = match body.message() {
                        Ok(Some(message)) => message,
                        Ok(None) if !end => continue,
                        other => {
                            calls.remove(&stream);
                            let text = "expected a whole message";
                            let status = other.err().unwrap_or(Status::new(Code::InvalidArgument, text));
                            finish(&mut pipe, stream, Err(status));
                            continue;
                        }
                    };
                    let Some((path, _)) = calls.remove(&stream) else { continue };
                    working += 1;
                    let (answer, answered) = (handler(path, message), answered.clone());
                    let task = async move {
                        let answer = answer.await;
                        let _ = answered.send((stream, answer)).await; // closed: the caller has left
                    };
                    runtime.spawn(Box::pin(while_alive(kill.clone(), task))).detach();
                }
                Event::Reset { stream, .. } => drop(calls.remove(&stream)),
                _ => {}
            }
        }
        if pipe.conn.finished() {
            break;
        }
    }
    pipe.close(runtime.now() + 100_000).await;
}

/// Ends a call. Errors: its caller has reset it.
fn finish<C>(pipe: &mut Pipe<C>, stream: u32, answer: Result<Bytes, Status>) {
    let head = vec![Field::constant(":status", "200"), Field::constant("content-type", "application/grpc")];
    let _ = match answer {
        Ok(message) => {
            let sent = pipe.conn.headers(stream, head, false);
            let sent = sent.and_then(|()| pipe.conn.data(stream, message, false));
            sent.and_then(|()| pipe.conn.headers(stream, vec![Field::constant("grpc-status", "0")], true))
        }
        Err(status) => {
            let mut fields = head;
            fields.extend(status.fields());
            pipe.conn.headers(stream, fields, true)
        }
    };
}
