//! The state machine of one client connection, without I/O. It parses received bytes into requests and encodes the replies in
//! the order of the commands.

use crate::command_buffer::CommandBuffer;
use crate::reply_queue::ReplyQueue;
use crate::request::{InvalidRequest, Request};
use crate::request_parser::RequestParser;
use bytes::{Bytes, BytesMut};
use chalkgap::frontend::Answer;
use chalkgap_core::Micros;
use chalkgap_resp::{put_error, Command, Limits};
use chalkgap_transport::{Machine, MemoryBudget, MemoryOwner};
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
/// Maximum number of commands of one connection that await their replies. While it is reached, further ones stay unparsed.
pub const MAX_PENDING_COMMANDS: usize = 32;
/// While this many bytes are unparsed, commands are rejected. Reading goes on, because the end of a connection stands behind its
/// last byte.
const MAX_BUFFERED_BYTES: usize = COMMAND_LIMITS.max_item_bytes;
/// Maximum number of commands that are rejected behind pending ones. Beyond it no further bytes are read.
const MAX_REJECTED_COMMANDS: usize = 8192;

/// About this many commands are parsed after one read, if all are short.
const COMMANDS_PER_READ: u64 = 32;
/// The least and the greatest number of bytes that are read at once.
const READ_BYTES: std::ops::RangeInclusive<usize> = 256..=4096;

/// The reply to one command, in the order of the commands.
enum ReplySlot {
    /// The request of this id is in flight.
    Pending(u64),
    /// The encoded reply to a command that needs no backend.
    Encoded(Bytes),
    /// The request's answer, which is not encoded yet.
    Answered(Answer),
    /// A number of commands that were rejected because too many were pending before them.
    Rejected(usize),
}

/// What happens to the client's input. A connection passes through the phases in this order and may skip some.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ReadPhase {
    Open,
    /// As `Open`, until no command is pending or partly received.
    Draining,
    /// As `Draining`, but commands are rejected and not forwarded.
    Rejecting,
    Stopped,
}

/// The protocol state of a client connection.
pub struct Session {
    parser: Arc<RequestParser>,
    memory: Arc<MemoryBudget>,
    input: CommandBuffer,
    replies: ReplyQueue,
    /// Replies that have not been encoded yet, in the order of the commands. The first one has the token `first_token`.
    slots: VecDeque<ReplySlot>,
    first_token: u32,
    phase: ReadPhase,
    commands_received: u64,
    /// Number of commands that had been parsed at the last read.
    commands_at_read: u64,
    /// How many bytes may be read at once.
    max_read_bytes: usize,
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

fn push_answer(replies: &mut ReplyQueue, answer: Answer) {
    let error = match answer {
        Answer::Served { body, .. } => return replies.push_value(body),
        Answer::Rejected { retry_after: 0 } => "BUSY",
        // Rounded up: a client that returns too early is rejected again.
        Answer::Rejected { retry_after } => &format!("BUSY {}", retry_after.div_ceil(1000)),
        Answer::Failed { late: true } => "ERR no answer in time",
        Answer::Failed { late: false } => "ERR failed, it may have run",
        Answer::ClientGone => return,
    };
    replies.push(|out| put_error(out, error));
}

impl Session {
    /// The state of a new connection.
    pub fn new(parser: Arc<RequestParser>) -> Self {
        Session {
            parser,
            memory: MemoryBudget::unlimited(),
            input: CommandBuffer::default(),
            replies: ReplyQueue::default(),
            slots: VecDeque::new(),
            first_token: 0,
            phase: ReadPhase::Open,
            commands_received: 0,
            commands_at_read: 0,
            max_read_bytes: *READ_BYTES.end(),
        }
    }

    /// Counts the memory of commands in a budget, instead of without a limit.
    #[must_use]
    pub fn with_memory(mut self, memory: Arc<MemoryBudget>) -> Self {
        self.memory = memory;
        self
    }

    /// Returns how many commands may await their replies. While memory is short a connection has one at a time.
    fn max_pending_commands(&self) -> usize {
        if self.memory.is_exhausted_for(MemoryOwner::Requests) {
            1
        } else {
            MAX_PENDING_COMMANDS
        }
    }

    /// Parses buffered commands up to the next request, which it returns. Answers commands that need no backend.
    ///
    /// `reserve_id` is called with the id of each valid request. It returns false if another open request has the same id.
    pub fn next_request(&mut self, mut reserve_id: impl FnMut(u64) -> bool) -> Option<IncomingRequest> {
        while self.parses_commands() || self.rejects_commands() {
            let is_rejected = !self.parses_commands();
            let command = match self.input.take_command(&COMMAND_LIMITS, &self.memory) {
                Ok(Some(command)) => command,
                Ok(None) => break,
                Err(error) => {
                    self.fail(&format!("ERR unreadable command: {error}"));
                    break;
                }
            };
            self.commands_received += 1;
            if is_rejected {
                self.reject_command();
                continue;
            }
            match self.parse_command(command, &mut reserve_id) {
                Ok(request) => {
                    let token = self.first_token.wrapping_add(self.slots.len() as u32);
                    self.slots.push_back(ReplySlot::Pending(request.id));
                    return Some(IncomingRequest { token, request });
                }
                Err(reply) => self.slots.push_back(ReplySlot::Encoded(reply)),
            }
            self.flush(); // the reply holds no slot if no request is pending before it
        }
        None
    }

    /// Whether the next command is parsed when it is complete.
    pub fn parses_commands(&self) -> bool {
        self.phase != ReadPhase::Stopped && self.slots.len() < self.max_pending_commands()
    }

    /// Whether the next command is rejected because the buffer is full of commands behind pending ones.
    fn rejects_commands(&self) -> bool {
        self.phase != ReadPhase::Stopped && self.input.len() >= MAX_BUFFERED_BYTES && self.may_reject()
    }

    fn may_reject(&self) -> bool {
        !matches!(self.slots.back(), Some(ReplySlot::Rejected(MAX_REJECTED_COMMANDS..)))
    }

    /// Rejects a command behind pending ones.
    fn reject_command(&mut self) {
        match self.slots.back_mut() {
            Some(ReplySlot::Rejected(count)) => *count += 1,
            _ => self.slots.push_back(ReplySlot::Rejected(1)),
        }
    }

    /// Parses a command into a request. Returns the encoded reply to a command that needs no backend.
    fn parse_command(
        &self,
        command: Command,
        reserve_id: &mut impl FnMut(u64) -> bool,
    ) -> Result<Request, Bytes> {
        if self.phase == ReadPhase::Rejecting {
            return Err(encode_error("BUSY"));
        }
        if command.arguments.len() == 1 && command.arguments[0].eq_ignore_ascii_case(b"PING") {
            return Err(Bytes::from_static(b"+PONG\r\n"));
        }
        let request = self.parser.parse(command).map_err(|error| encode_error(&format!("ERR {error}")))?;
        if reserve_id(request.id) {
            return Ok(request);
        }
        Err(encode_error(&format!("ERR {}", InvalidRequest::DuplicateId)))
    }

    /// Starts the graceful shutdown. Commands are read and answered as before; the session can be closed between two of them,
    /// see [`Session::can_close`].
    pub fn start_draining(&mut self) {
        self.phase = self.phase.max(ReadPhase::Draining);
    }

    /// Rejects the commands that are not parsed yet, for which no attempt has been made, and all that are read from now on.
    pub fn start_rejecting(&mut self) {
        self.phase = self.phase.max(ReadPhase::Rejecting);
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
        self.input.clear();
    }

    /// Whether the session has stopped reading; it does not start again.
    pub fn has_stopped_reading(&self) -> bool {
        self.phase == ReadPhase::Stopped
    }

    /// Whether the connection can be closed once its output is written and no byte that the client has sent is unread: an unread
    /// command would get no answer. A draining connection first waits for the client's first command.
    pub fn can_close(&self) -> bool {
        let is_drained = self.phase >= ReadPhase::Draining && !self.awaits_command();
        (self.phase == ReadPhase::Stopped || is_drained) && self.is_idle()
    }

    /// Whether the caller should read bytes from the client now.
    pub fn wants_input(&self) -> bool {
        self.phase != ReadPhase::Stopped && (self.input.len() < MAX_BUFFERED_BYTES || self.rejects_commands())
    }

    /// Whether the client has sent a part of a command, or no command yet.
    fn awaits_command(&self) -> bool {
        !self.input.is_empty() || self.commands_received == 0
    }

    /// Whether the buffer holds an incomplete or unparsed command.
    pub fn has_partial_command(&self) -> bool {
        !self.input.is_empty()
    }

    /// Whether nothing keeps the connection open but a command that has not arrived completely.
    pub fn awaits_only_input(&self) -> bool {
        self.phase != ReadPhase::Stopped && self.is_idle() && self.awaits_command()
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
            ReplySlot::Encoded(_) | ReplySlot::Answered(_) | ReplySlot::Rejected(_) => None,
        })
    }

    /// Adapts the length of reads to the number of commands that the last one contained.
    fn adapt_read_length(&mut self) {
        let commands = self.commands_received - self.commands_at_read;
        self.commands_at_read = self.commands_received;
        let fitting = if commands > COMMANDS_PER_READ {
            self.max_read_bytes * COMMANDS_PER_READ as usize / commands as usize
        } else if commands < COMMANDS_PER_READ / 2 {
            2 * self.max_read_bytes
        } else {
            self.max_read_bytes
        };
        self.max_read_bytes = fitting.clamp(*READ_BYTES.start(), *READ_BYTES.end());
    }

    /// Encodes the replies that are ready, up to the first pending request.
    fn flush(&mut self) {
        while !matches!(self.slots.front(), None | Some(ReplySlot::Pending(_))) {
            match self.slots.pop_front() {
                Some(ReplySlot::Encoded(bytes)) => self.replies.push(|out| out.extend_from_slice(&bytes)),
                Some(ReplySlot::Answered(answer)) => push_answer(&mut self.replies, answer),
                Some(ReplySlot::Rejected(count)) => {
                    self.replies.push(|out| (0..count).for_each(|_| put_error(out, "BUSY")));
                }
                Some(ReplySlot::Pending(_)) | None => {}
            }
            self.first_token = self.first_token.wrapping_add(1);
        }
    }
}

impl Machine for Session {
    type Error = Infallible;

    fn receive(&mut self, _: Micros, bytes: &[u8]) -> Result<(), Infallible> {
        self.adapt_read_length();
        if self.phase != ReadPhase::Stopped {
            self.input.receive(bytes);
        }
        Ok(())
    }

    fn output(&mut self) -> &mut BytesMut {
        self.replies.output()
    }

    fn unwritten_bytes(&mut self) -> usize {
        self.replies.unwritten_bytes()
    }

    fn on_output_written(&mut self) {
        self.replies.release_unused();
    }

    fn max_read_bytes(&self) -> usize {
        self.max_read_bytes
    }

    fn held_bytes(&self) -> usize {
        self.input.capacity() + self.replies.capacity()
    }

    fn held_bytes_after(&self, count: usize) -> usize {
        self.input.capacity_after(count) + self.replies.capacity()
    }

    fn unfinished_bytes(&self) -> usize {
        if self.is_idle() && self.phase != ReadPhase::Stopped {
            self.input.len()
        } else {
            0
        }
    }

    fn reclaim(&mut self) -> Result<(), Infallible> {
        if self.unfinished_bytes() > 0 {
            self.fail("BUSY");
        }
        Ok(())
    }
}
