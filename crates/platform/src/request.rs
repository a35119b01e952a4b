//! A client's request, and the command that is forwarded to backends for it.

use bytes::{Bytes, BytesMut};
use chalkgap_core::Micros;
use chalkgap_resp::{put_array_header, put_bulk};
use std::io::Write;
use std::ops::Range;
use std::sync::Arc;

/// Which argument of a command is the list of attributes.
pub(crate) const ATTRIBUTES_INDEX: usize = 3;
/// Digits that any number may have.
pub(crate) const MAX_DIGITS: usize = 15;

/// Why a command is no valid request: what is wrong, and what was expected. The texts are sent to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// The command is not known.
    #[error("unknown command, expected SVC.QUERY, SVC.SUBMIT or PING")]
    UnknownCommand,
    /// Too few or too many arguments.
    #[error("wrong number of words: expected customer, id, list and, with SVC.SUBMIT, a body")]
    ArgumentCount,
    /// The customer's number.
    #[error("customer: expected 16 hexadecimal digits of a number below 2^33")]
    Customer,
    /// The request's id.
    #[error("id: expected 16 hexadecimal digits")]
    Id,
    /// Another open request has the id.
    #[error("id: a request of this id is open")]
    DuplicateId,
    /// The list of attributes.
    #[error("list: expected NAME=VALUE, joined by commas, each name once")]
    Attributes,
    /// The request class.
    #[error("c: no such class, or it goes by the other command")]
    Class,
    /// The plan.
    #[error("t: no such plan")]
    Plan,
    /// The deadline.
    #[error("d: expected milliseconds")]
    Deadline,
    /// The idempotency key.
    #[error("k: expected 16 hexadecimal digits, with a keyed class only")]
    IdempotencyKey,
    /// The units.
    #[error("units: expected a number within the settings' limit")]
    Units,
    /// The ingresses that share the customer's requests.
    #[error("spread, first: expected a set of the ingresses there are")]
    Spread,
}

/// A client's request.
#[derive(Debug)]
pub struct Request {
    /// The customer's number.
    pub customer: u64,
    /// Its id.
    pub id: u64,
    /// Index of its class.
    pub class: u8,
    /// Index of its plan.
    pub plan: u16,
    /// How long its client waits.
    pub timeout: Micros,
    /// What it takes from the quota.
    pub units: f64,
    /// How many ingresses share the customer's requests.
    pub spread: f64,
    /// The first of these.
    pub first_ingress: f64,
    /// What backends get.
    pub command: ForwardedCommand,
}

#[derive(Debug)]
struct CommandParts {
    arguments: Vec<Bytes>,
    /// Where the digits of the deadline are in the attributes.
    deadline: Range<usize>,
}

/// A command as it arrived, to be forwarded with what remains of its deadline.
#[derive(Clone, Debug)]
pub struct ForwardedCommand(Arc<CommandParts>);

impl ForwardedCommand {
    /// `deadline` is where the digits of the deadline are in the attributes.
    pub(crate) fn new(arguments: Vec<Bytes>, deadline: Range<usize>) -> ForwardedCommand {
        ForwardedCommand(Arc::new(CommandParts { arguments, deadline }))
    }

    /// Writes the command, with `remaining_millis` in the place of the client's deadline.
    pub fn encode(&self, out: &mut BytesMut, remaining_millis: u64) {
        let CommandParts { arguments, deadline } = &*self.0;
        put_array_header(out, arguments.len());
        for (index, argument) in arguments.iter().enumerate() {
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
}
