//! A client's request, and the command that is forwarded to backends.

use crate::open_ids::IdReservation;
use bytes::{Buf, Bytes, BytesMut};
use chalkgap_core::Micros;
use chalkgap_resp::{put_array_header, put_bulk, put_bulk_header};
use std::io::Write;
use std::ops::Range;
use std::sync::Arc;

/// Index of the attribute list among a command's arguments.
pub(crate) const ATTRIBUTES_INDEX: usize = 3;
/// Maximum length of a number in the attribute list, in characters.
pub(crate) const MAX_DIGITS: usize = 15;

/// A body of at least this length is not copied when the command is forwarded.
const MIN_LONG_BODY_BYTES: usize = 4 << 10;

/// Why a command is not a valid request. The error text is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// The command is unknown.
    #[error("unknown command, expected SVC.QUERY, SVC.SUBMIT or PING")]
    UnknownCommand,
    /// The command has too few or too many arguments.
    #[error("wrong number of words: expected customer, id, list and, with SVC.SUBMIT, a body")]
    ArgumentCount,
    /// The customer number is malformed or too large.
    #[error("customer: expected 16 hexadecimal digits of a number below 2^33")]
    Customer,
    /// The request id is malformed.
    #[error("id: expected 16 hexadecimal digits")]
    Id,
    /// Another open request has the same id.
    #[error("id: a request of this id is open")]
    DuplicateId,
    /// The attribute list is malformed or too long, or has unknown or repeated attributes.
    #[error("list: expected NAME=VALUE, joined by commas, each name once")]
    Attributes,
    /// The request class is missing or unknown, or does not match the command.
    #[error("c: no such class, or it goes by the other command")]
    Class,
    /// The plan is missing or unknown.
    #[error("t: no such plan")]
    Plan,
    /// The deadline is missing or malformed.
    #[error("d: expected milliseconds")]
    Deadline,
    /// The idempotency key is malformed, or missing although the class requires one, or present although it does not.
    #[error("k: expected 16 hexadecimal digits, with a keyed class only")]
    IdempotencyKey,
    /// The units are missing, malformed or out of range.
    #[error("units: expected a number within the settings' limit")]
    Units,
    /// The set of ingresses that share the customer's requests is missing or out of range.
    #[error("spread, first: expected a set of the ingresses there are")]
    Spread,
}

/// A client's request.
#[derive(Debug)]
pub struct Request {
    /// The customer number.
    pub customer: u64,
    /// The id that the client gave the request.
    pub id: u64,
    /// Index of the request class in the settings.
    pub class: u8,
    /// Index of the customer's plan in the settings.
    pub plan: u16,
    /// How long the client waits for the answer, in microseconds; at most the deadline of the request class.
    pub timeout: Micros,
    /// The number of units that the request consumes of the customer's quota.
    pub units: f64,
    /// The number of ingresses that share the customer's requests.
    pub spread: f64,
    /// The number of the first of these ingresses.
    pub first_ingress: f64,
    /// The command that is forwarded to backends.
    pub command: ForwardedCommand,
}

#[derive(Debug)]
struct CommandParts {
    arguments: Vec<Bytes>,
    /// Range of the deadline's digits in the attribute list.
    deadline: Range<usize>,
}

/// A client's command, which is forwarded unchanged except for the deadline: it is replaced by the remaining time.
#[derive(Clone, Debug)]
pub struct ForwardedCommand {
    parts: Arc<CommandParts>,
    /// Keeps the request's id reserved for as long as a copy of the command exists.
    id: Option<Arc<IdReservation>>,
}

impl ForwardedCommand {
    /// Creates a command. `deadline` is the range of the deadline's digits in the attribute list.
    pub(crate) fn new(arguments: Vec<Bytes>, deadline: Range<usize>) -> ForwardedCommand {
        ForwardedCommand { parts: Arc::new(CommandParts { arguments, deadline }), id: None }
    }

    /// Holds the reservation of the request's id until the last copy of the command is dropped.
    pub(crate) fn hold_id(&mut self, id: Option<IdReservation>) {
        self.id = id.map(Arc::new);
    }

    /// Keeps the request's id reserved until this time, because a backend may begin to run the command until then.
    pub(crate) fn keep_id_until(&self, until: Micros) {
        if let Some(id) = &self.id {
            id.keep_until(until);
        }
    }

    /// Writes the command, with `remaining_millis` in place of the client's deadline.
    pub fn encode(&self, out: &mut BytesMut, remaining_millis: u64) {
        put_array_header(out, self.parts.arguments.len());
        self.encode_arguments(out, self.parts.arguments.len(), remaining_millis);
    }

    /// Writes the first `count` arguments.
    fn encode_arguments(&self, out: &mut BytesMut, count: usize, remaining_millis: u64) {
        let CommandParts { arguments, deadline } = &*self.parts;
        for (index, argument) in arguments[..count].iter().enumerate() {
            if index != ATTRIBUTES_INDEX {
                put_bulk(out, argument);
                continue;
            }
            let mut attributes = Vec::with_capacity(argument.len() + MAX_DIGITS);
            attributes.extend_from_slice(&argument[..deadline.start]);
            let _ = write!(attributes, "{remaining_millis}"); // writing to a Vec cannot fail
            attributes.extend_from_slice(&argument[deadline.end..]);
            put_bulk(out, &attributes);
        }
    }

    /// Returns the command as [`encode`](ForwardedCommand::encode) writes it, without a copy of a long body.
    pub(crate) fn to_unwritten(&self, remaining_millis: u64) -> UnwrittenCommand {
        let arguments = &self.parts.arguments;
        let mut first = BytesMut::with_capacity(256);
        let body = match arguments.last() {
            Some(body) if arguments.len() > ATTRIBUTES_INDEX + 1 && body.len() >= MIN_LONG_BODY_BYTES => body,
            _ => {
                self.encode(&mut first, remaining_millis);
                return UnwrittenCommand::new([first.freeze(), Bytes::new(), Bytes::new()]);
            }
        };
        put_array_header(&mut first, arguments.len());
        self.encode_arguments(&mut first, arguments.len() - 1, remaining_millis);
        put_bulk_header(&mut first, body.len());
        UnwrittenCommand::new([first.freeze(), body.clone(), Bytes::from_static(b"\r\n")])
    }
}

/// The bytes of a command that have not been written to a backend yet.
pub(crate) struct UnwrittenCommand {
    parts: [Bytes; 3],
    is_untouched: bool,
}

impl UnwrittenCommand {
    fn new(parts: [Bytes; 3]) -> Self {
        UnwrittenCommand { parts, is_untouched: true }
    }

    /// Whether no byte has been written.
    pub(crate) fn is_untouched(&self) -> bool {
        self.is_untouched
    }

    /// Whether all bytes have been written.
    pub(crate) fn is_empty(&self) -> bool {
        self.parts.iter().all(Bytes::is_empty)
    }

    /// Returns the bytes that are written next.
    pub(crate) fn next(&self) -> &[u8] {
        self.parts.iter().find(|part| !part.is_empty()).map_or(&[], |part| part)
    }

    /// Removes `count` bytes of [`next`](UnwrittenCommand::next), which have been written.
    pub(crate) fn advance(&mut self, count: usize) {
        self.is_untouched = false;
        if let Some(part) = self.parts.iter_mut().find(|part| !part.is_empty()) {
            part.advance(count);
        }
    }
}
