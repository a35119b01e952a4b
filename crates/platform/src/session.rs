//! The state machine of one client connection, without I/O. It parses received bytes into requests and encodes the replies in
//! the order of the commands.

use crate::request::{InvalidRequest, Request};
use crate::request_parser::RequestParser;
use bytes::{Bytes, BytesMut};
use chalkgap::frontend::Answer;
use chalkgap_core::Micros;
use chalkgap_resp::{decode_command, put_bulk, put_error, Limits};
use chalkgap_transport::Machine;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::sync::Arc;

/// Limits of a command. The longest is `SVC.SUBMIT` with a body of 64 KiB.
pub const COMMAND_LIMITS: Limits = Limits {
    max_elements: 8,
    max_depth: 1,
    max_bulk_bytes: 64 << 10,
    max_line_bytes: 24,
    max_item_bytes: (64 << 10) + 4096,
};
/// Maximum number of commands of one connection that await their replies. While it is reached, no further commands are read.
pub const MAX_PENDING_COMMANDS: usize = 32;
/// No further bytes are read while this many are unparsed. Bytes stay unparsed while `MAX_PENDING_COMMANDS` is reached.
const MAX_BUFFERED_BYTES: usize = COMMAND_LIMITS.max_item_bytes;

/// The reply to one command, in the order of the commands.
enum ReplySlot {
    /// The request of this id is in flight.
    Pending(u64),
    /// The encoded reply to a command that needs no backend.
    Encoded(Bytes),
    /// The request's answer, which is not encoded yet.
    Answered(Answer),
}

/// How much of the client's input is still read. A connection passes through the phases in this order and may skip some.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ReadPhase {
    Open,
    /// Only commands that have already been received, completely or in part, are still parsed, and the first command of
    /// a connection that has sent none.
    Draining,
    /// Only complete commands in the buffer are still parsed.
    BufferedOnly,
    Stopped,
}

/// The protocol state of a client connection.
pub struct Session {
    parser: Arc<RequestParser>,
    input: BytesMut,
    output: BytesMut,
    /// Replies that have not been encoded yet, in the order of the commands. The first one has the token `first_token`.
    slots: VecDeque<ReplySlot>,
    first_token: u32,
    phase: ReadPhase,
    commands_received: u64,
}

/// A request for the driver.
pub struct IncomingRequest {
    /// Identifies the request's reply slot, see [`Session::answer`].
    pub token: u32,
    /// The parsed request.
    pub request: Request,
}

/// Encodes an error reply.
fn encode_error(text: &str) -> Bytes {
    let mut out = BytesMut::with_capacity(text.len() + 3);
    put_error(&mut out, text);
    out.freeze()
}

fn encode_answer(out: &mut BytesMut, answer: &Answer) {
    match answer {
        Answer::Served { body, .. } => {
            out.reserve(body.len() + 16);
            put_bulk(out, body);
        }
        Answer::Rejected { retry_after: 0 } => put_error(out, "BUSY"),
        // Rounded up: a client that returns too early is rejected again.
        Answer::Rejected { retry_after } => put_error(out, &format!("BUSY {}", retry_after.div_ceil(1000))),
        Answer::Failed { late: true } => put_error(out, "ERR no answer in time"),
        Answer::Failed { late: false } => put_error(out, "ERR failed, it may have run"),
        Answer::ClientGone => {}
    }
}

impl Session {
    /// The state of a new connection.
    pub fn new(parser: Arc<RequestParser>) -> Self {
        Session {
            parser,
            input: BytesMut::new(),
            output: BytesMut::new(),
            slots: VecDeque::new(),
            first_token: 0,
            phase: ReadPhase::Open,
            commands_received: 0,
        }
    }

    /// Parses buffered commands up to the next request, which it returns. Answers commands that need no backend.
    ///
    /// `reserve_id` is called with the id of each valid request. It returns false if another open request has the same id.
    pub fn next_request(&mut self, mut reserve_id: impl FnMut(u64) -> bool) -> Option<IncomingRequest> {
        while self.phase != ReadPhase::Stopped && self.slots.len() < MAX_PENDING_COMMANDS {
            let command = match decode_command(&mut self.input, &COMMAND_LIMITS) {
                Ok(Some(command)) => command,
                Ok(None) => break,
                Err(error) => {
                    self.fail(&format!("ERR unreadable command: {error}"));
                    break;
                }
            };
            self.commands_received += 1;
            if command.arguments.len() == 1 && command.arguments[0].eq_ignore_ascii_case(b"PING") {
                self.slots.push_back(ReplySlot::Encoded(Bytes::from_static(b"+PONG\r\n")));
                continue;
            }
            let token = self.first_token.wrapping_add(self.slots.len() as u32);
            let parsed = self.parser.parse(command);
            match parsed.and_then(|request| {
                if reserve_id(request.id) {
                    Ok(request)
                } else {
                    Err(InvalidRequest::DuplicateId)
                }
            }) {
                Ok(request) => {
                    self.slots.push_back(ReplySlot::Pending(request.id));
                    return Some(IncomingRequest { token, request });
                }
                Err(error) => {
                    self.slots.push_back(ReplySlot::Encoded(encode_error(&format!("ERR {error}"))));
                }
            }
        }
        if self.phase == ReadPhase::BufferedOnly && self.slots.len() < MAX_PENDING_COMMANDS {
            self.stop_reading(); // the rest of the buffer is an incomplete command
        }
        if self.input.is_empty() {
            self.input = BytesMut::new(); // an idle connection holds no buffer
        }
        self.flush();
        None
    }

    /// Starts the graceful shutdown. Must be called when all received bytes have been read. Commands that have been received,
    /// completely or in part, are still answered, as is the first command of a connection that has sent none.
    pub fn start_draining(&mut self) {
        self.phase = self.phase.max(ReadPhase::Draining);
    }

    /// Stops waiting for the rest of an incomplete command. Complete commands in the buffer are still answered.
    pub fn abandon_partial_command(&mut self) {
        self.phase = self.phase.max(ReadPhase::BufferedOnly);
    }

    /// Rejects the complete commands in the buffer, for which no attempt has been made, and stops reading.
    pub fn reject_buffered_commands(&mut self) {
        while let Ok(Some(_)) = decode_command(&mut self.input, &COMMAND_LIMITS) {
            self.slots.push_back(ReplySlot::Encoded(encode_error("BUSY")));
        }
        self.stop_reading();
        self.flush();
    }

    /// Sets the answer to a request. Returns the request's id, or `None` if no request of this token is pending.
    pub fn answer(&mut self, token: u32, answer: Answer) -> Option<u64> {
        let slot = self.slots.get_mut(token.wrapping_sub(self.first_token) as usize)?;
        let ReplySlot::Pending(id) = *slot else { return None };
        *slot = ReplySlot::Answered(answer);
        self.flush();
        Some(id)
    }

    /// Stops reading and appends `error` as the last reply. Pending requests are still answered before it.
    pub fn fail(&mut self, error: &str) {
        if self.phase != ReadPhase::Stopped {
            self.slots.push_back(ReplySlot::Encoded(encode_error(error)));
        }
        self.stop_reading();
        self.flush();
    }

    /// Stops reading and discards the unparsed input. Pending requests are still answered.
    pub fn stop_reading(&mut self) {
        self.phase = ReadPhase::Stopped;
        self.input = BytesMut::new();
    }

    /// Whether the session has stopped reading; it does not start again.
    pub fn has_stopped_reading(&self) -> bool {
        self.phase == ReadPhase::Stopped
    }

    /// Whether the connection can be closed once its output is written. A draining connection first waits for the client's
    /// first command.
    pub fn is_finished(&self) -> bool {
        let drained =
            self.phase >= ReadPhase::Draining && self.input.is_empty() && self.commands_received > 0;
        (self.phase == ReadPhase::Stopped || drained) && self.slots.is_empty()
    }

    /// Whether the caller should read bytes from the client now.
    pub fn wants_input(&self) -> bool {
        let has_room = self.slots.len() < MAX_PENDING_COMMANDS && self.input.len() < MAX_BUFFERED_BYTES;
        match self.phase {
            ReadPhase::Open => has_room,
            ReadPhase::Draining => has_room && (!self.input.is_empty() || self.commands_received == 0),
            ReadPhase::BufferedOnly | ReadPhase::Stopped => false,
        }
    }

    /// Whether the buffer holds an incomplete or unparsed command.
    pub fn has_partial_command(&self) -> bool {
        !self.input.is_empty()
    }

    /// Returns the number of complete commands that have been parsed.
    pub fn commands_received(&self) -> u64 {
        self.commands_received
    }

    /// Whether all commands have been answered.
    pub fn is_idle(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns the tokens and ids of the requests in flight.
    pub fn pending_requests(&self) -> impl Iterator<Item = (u32, u64)> + '_ {
        self.slots.iter().zip(0u32..).filter_map(|(slot, offset)| match slot {
            ReplySlot::Pending(id) => Some((self.first_token.wrapping_add(offset), *id)),
            ReplySlot::Encoded(_) | ReplySlot::Answered(_) => None,
        })
    }

    /// Encodes the replies that are ready, up to the first pending request.
    fn flush(&mut self) {
        while let Some(slot) = self.slots.front() {
            match slot {
                ReplySlot::Pending(_) => return,
                ReplySlot::Encoded(bytes) => self.output.extend_from_slice(bytes),
                ReplySlot::Answered(answer) => encode_answer(&mut self.output, answer),
            }
            self.slots.pop_front();
            self.first_token = self.first_token.wrapping_add(1);
        }
    }
}

impl Machine for Session {
    type Error = Infallible;

    fn receive(&mut self, _: Micros, bytes: &[u8]) -> Result<(), Infallible> {
        if self.phase != ReadPhase::Stopped {
            self.input.extend_from_slice(bytes);
        }
        Ok(())
    }

    fn output(&mut self) -> &mut BytesMut {
        &mut self.output
    }
}
