//! The client of unary calls. Each call has its own connection.

use super::CLOSE_TIMEOUT_MICROS;
use crate::{Pipe, Turn};
use bytes::Bytes;
use chalkgap_runtime::{Micros, Shared, Stream};
use chalkgap_wire::grpc::{Code, Deframer, Status};
use chalkgap_wire::http2::{Config, Connection, Event, Field};
use futures_lite::future;
use std::net::SocketAddr;

/// Size of the flow-control window beyond the maximum response, in bytes. It leaves space for the gRPC prefix.
const WINDOW_MARGIN_BYTES: usize = 1024;
/// Initial flow-control window of HTTP/2 (RFC 9113, section 6.9.2).
const MIN_WINDOW_BYTES: u32 = 65_535;
/// Maximum flow-control window of HTTP/2 (RFC 9113, section 6.9.1).
const MAX_WINDOW_BYTES: u32 = u32::MAX >> 1;

/// The longest times of a call. A slow server answers pings during the call; one that is down answers nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTimeouts {
    /// Maximum time for connecting, and then without any data, in microseconds. The server is pinged after half of it.
    pub silence: Micros,
    /// Maximum duration of the call, in microseconds.
    pub total: Micros,
}

/// How long a server has been silent.
struct Silence {
    timeouts: CallTimeouts,
    started_at: Micros,
    /// When data arrived last; at first the start of the call.
    last_data_at: Micros,
    /// Whether the server has been pinged since then.
    ping_sent: bool,
}

impl Silence {
    /// Returns when to ping the server or to give up. A server is pinged only during a call.
    fn next_check_at(&self, call_opened: bool) -> Micros {
        match call_opened && !self.ping_sent {
            true => (self.last_data_at + self.timeouts.silence / 2).min(self.ends_at()),
            false => self.ends_at(),
        }
    }

    fn ends_at(&self) -> Micros {
        (self.last_data_at + self.timeouts.silence).min(self.started_at + self.timeouts.total)
    }

    fn is_over(&self, now: Micros) -> bool {
        now >= self.ends_at()
    }

    fn data_received(&mut self, now: Micros) {
        self.last_data_at = now;
        self.ping_sent = false;
    }
}

/// Makes one call on a new connection. The request `message` must already have its gRPC prefix; the response is returned
/// without its prefix.
///
/// `max_response` is the maximum length of the response in bytes.
///
/// # Errors
/// Returns the status that the server sent, if it is not OK. Returns
/// - UNAVAILABLE if the connection cannot be established in time, fails or is closed, if the server violates HTTP/2, or if
///   the call is reset;
/// - DEADLINE_EXCEEDED if the status has not arrived within `timeouts` on the established connection;
/// - INTERNAL if the server sent OK without a response;
/// - UNKNOWN if the response ends without trailers;
/// - the status of [`Deframer::message`] if the response cannot be unframed or is too long.
pub async fn call(
    runtime: &Shared,
    to: SocketAddr,
    path: &str,
    message: Bytes,
    max_response: usize,
    timeouts: CallTimeouts,
) -> Result<Bytes, Status> {
    let started_at = runtime.now();
    let stream = connect(runtime, to, started_at + timeouts.silence).await?;
    let (_commands, no_commands) = async_channel::bounded::<()>(1);
    let (_signal_sender, no_signal) = async_channel::bounded(1);
    let connection = Connection::client(config(max_response));
    let mut pipe = Pipe::new(runtime.clone(), stream, connection, no_commands, no_signal);
    let mut call = PendingCall { opened: false, body: Deframer::new(max_response), response: None };
    let mut silence = Silence { timeouts, started_at, last_data_at: started_at, ping_sent: false };
    loop {
        match pipe.turn(Some(silence.next_check_at(call.opened)), true).await {
            Turn::Time if silence.is_over(runtime.now()) => {
                return Err(Status::new(Code::DeadlineExceeded, "the call has not ended by its deadline"))
            }
            Turn::Time => {
                pipe.conn.ping();
                silence.ping_sent = true;
            }
            Turn::ProtocolError(error) => return Err(unavailable(error.to_string())),
            Turn::Closed | Turn::Signal => return Err(unavailable("the connection was closed")),
            Turn::Read => silence.data_received(runtime.now()),
            Turn::Command(()) => {}
        }
        while let Some(event) = pipe.conn.event() {
            if let Some(status) = call.handle(&mut pipe.conn, event)? {
                pipe.conn.shutdown();
                pipe.close(runtime.now() + CLOSE_TIMEOUT_MICROS).await;
                return call.result(status);
            }
        }
        // The request is sent only after the server's SETTINGS: if they do not arrive, the call has certainly not run.
        if !call.opened && pipe.conn.settings_received() && pipe.conn.can_open().is_ok() {
            open_call(&mut pipe.conn, to, path, message.clone())?;
            call.opened = true;
        }
    }
}

async fn connect(runtime: &Shared, to: SocketAddr, deadline: Micros) -> Result<Box<dyn Stream>, Status> {
    let timeout = async {
        runtime.sleep_until(deadline).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    future::or(runtime.connect(to), timeout).await.map_err(|error| unavailable(error.to_string()))
}

fn config(max_response: usize) -> Config {
    let window = u32::try_from(max_response + WINDOW_MARGIN_BYTES).unwrap_or(MAX_WINDOW_BYTES);
    let window = window.clamp(MIN_WINDOW_BYTES, MAX_WINDOW_BYTES);
    Config { max_streams: 0, stream_window: window, connection_window: window, ..Config::default() }
}

fn open_call(connection: &mut Connection, to: SocketAddr, path: &str, message: Bytes) -> Result<(), Status> {
    let fields = [
        Field::constant(":method", "POST"),
        Field::constant(":scheme", "http"),
        Field::new(":path", path.to_owned()),
        Field::new(":authority", to.to_string()),
        Field::constant("content-type", "application/grpc"),
        Field::constant("te", "trailers"),
    ];
    let Ok(stream) = connection.open(&fields, false) else {
        return Err(unavailable("could not open an HTTP/2 stream for the call"));
    };
    let _ = connection.data(stream, message, true); // cannot fail: the stream was just opened
    Ok(())
}

/// The state of a call that has not ended.
struct PendingCall {
    /// Whether the request was sent.
    opened: bool,
    body: Deframer,
    response: Option<Bytes>,
}

impl PendingCall {
    /// Processes an event of the connection. Returns the final status once it has arrived.
    fn handle(&mut self, connection: &mut Connection, event: Event) -> Result<Option<Status>, Status> {
        match event {
            Event::Data { stream, data, end } => {
                connection.consumed(stream, data.len());
                self.body.push(&data);
                if let Some(message) = self.body.message()? {
                    self.response = Some(message);
                }
                // A response that ends without trailers has no status.
                Ok(end.then(|| Status::from_fields(&[])))
            }
            Event::Headers { fields, end: true, .. } => Ok(Some(Status::from_fields(&fields))),
            Event::Reset { code, .. } => Err(unavailable(format!("the call was reset: {code}"))),
            Event::GoAway(code) if !self.opened => {
                Err(unavailable(format!("the server sent GOAWAY before the call: {code}")))
            }
            _ => Ok(None),
        }
    }

    fn result(self, status: Status) -> Result<Bytes, Status> {
        match (status.code, self.response) {
            (Code::Ok, Some(message)) => Ok(message),
            (Code::Ok, None) => Err(Status::new(Code::Internal, "status OK without a response message")),
            _ => Err(status),
        }
    }
}

fn unavailable(text: impl Into<std::borrow::Cow<'static, str>>) -> Status {
    Status::new(Code::Unavailable, text)
}
