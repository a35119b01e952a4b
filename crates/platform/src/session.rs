//! A client's connection, free of I/O: bytes go in, requests come out, answers go back in the order of the commands.

use crate::request::{Grammar, Invalid, Request};
use bytes::{Bytes, BytesMut};
use chalkgap::frontend::Answer;
use chalkgap_core::Micros;
use chalkgap_resp::{command, put_bulk, put_line, Limits};
use chalkgap_transport::Machine;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::sync::Arc;

/// What a command may have: the longest is a SUBMIT with a body of 64 KiB.
pub const COMMANDS: Limits =
    Limits { elements: 8, depth: 1, bulk: 64 << 10, line: 24, whole: (64 << 10) + 4096 };
/// Commands of one connection that may wait for their answers; more are not read meanwhile.
pub const MOST_OPEN: usize = 32;
/// Unread bytes from which no more are taken: commands lie there that wait for room.
const FULL: usize = COMMANDS.whole;

enum Slot {
    /// Its request is out.
    Waiting(u64),
    Done(Bytes),
    Answered(Answer),
}

/// The state of a connection.
pub struct Session {
    grammar: Arc<Grammar>,
    input: BytesMut,
    output: BytesMut,
    /// In the order of the commands; the first has the number `first`.
    slots: VecDeque<Slot>,
    first: u32,
    /// Nothing more is read: the client broke the form, or is not to ask any more.
    over: bool,
    /// Its end has begun: what has come or has begun to come is answered, nothing else is waited for.
    closing: bool,
    /// Nothing more is read, and half a command is waited for no longer; whole ones that came are still answered.
    shut: bool,
    /// Whole commands that came.
    commands: u64,
}

/// A command that needs somebody else's word.
pub struct Heard {
    /// The number of its slot.
    pub token: u32,
    /// What is asked.
    pub request: Request,
}

fn line(kind: u8, text: &str) -> Bytes {
    let mut out = BytesMut::with_capacity(text.len() + 3);
    put_line(&mut out, kind, text);
    out.freeze()
}

/// Writes an answer.
fn put(out: &mut BytesMut, answer: &Answer) {
    match answer {
        Answer::Served { body, .. } => {
            out.reserve(body.len() + 16);
            put_bulk(out, body);
        }
        Answer::Rejected { retry_after: 0 } => put_line(out, b'-', "BUSY"),
        // Up: who comes too early is refused again.
        Answer::Rejected { retry_after: pause } => {
            put_line(out, b'-', &format!("BUSY {}", pause.div_ceil(1000)))
        }
        Answer::Failed { late: true } => put_line(out, b'-', "ERR no answer in time"),
        Answer::Failed { late: false } => put_line(out, b'-', "ERR failed, it may have run"),
        Answer::ClientGone => {}
    }
}

impl Session {
    /// A new connection.
    pub fn new(grammar: Arc<Grammar>) -> Self {
        let (input, output, slots) = (BytesMut::new(), BytesMut::new(), VecDeque::new());
        Session {
            grammar,
            input,
            output,
            slots,
            first: 0,
            over: false,
            closing: false,
            shut: false,
            commands: 0,
        }
    }

    /// The next request. `take` reserves its id, or says why it may not be had; all that can be answered without
    /// anybody's word is.
    pub fn next(&mut self, mut take: impl FnMut(u64) -> bool) -> Option<Heard> {
        while !self.over && self.slots.len() < MOST_OPEN {
            let command = match command(&mut self.input, &COMMANDS) {
                Ok(Some(command)) => command,
                Ok(None) => break,
                Err(e) => {
                    self.fail(&format!("ERR unreadable command: {e}"));
                    break;
                }
            };
            self.commands += 1;
            if command.words.len() == 1 && command.words[0].eq_ignore_ascii_case(b"PING") {
                self.slots.push_back(Slot::Done(Bytes::from_static(b"+PONG\r\n")));
                continue;
            }
            let token = self.first.wrapping_add(self.slots.len() as u32);
            let read = self.grammar.read(command);
            match read.and_then(|r| if take(r.id) { Ok(r) } else { Err(Invalid::Open) }) {
                Ok(request) => {
                    self.slots.push_back(Slot::Waiting(request.id));
                    return Some(Heard { token, request });
                }
                Err(e) => self.slots.push_back(Slot::Done(line(b'-', &format!("ERR {e}")))),
            }
        }
        if self.shut && self.slots.len() < MOST_OPEN {
            self.stop(); // what is left is half a command
        }
        if self.input.is_empty() {
            self.input = BytesMut::new(); // an idle connection holds no buffer
        }
        self.flush();
        None
    }

    /// Begins its end, when nothing is there to be read any more: what has come or has begun to come is still taken and
    /// answered, also the first command of a connection that has sent none.
    pub fn close(&mut self) {
        self.closing = true;
    }

    /// Whether its end has begun.
    pub fn closing(&self) -> bool {
        self.closing
    }

    /// Ends the wait for the rest of a command; whole ones that came before are still answered.
    pub fn shut(&mut self) {
        (self.closing, self.shut) = (true, true);
    }

    /// Refuses the whole commands that came and were not begun, in their order: nothing of them has left.
    pub fn refuse_rest(&mut self) {
        while let Ok(Some(_)) = command(&mut self.input, &COMMANDS) {
            self.slots.push_back(Slot::Done(line(b'-', "BUSY")));
        }
        self.stop();
        self.flush();
    }

    /// A request's answer; gives the id that it had.
    pub fn answered(&mut self, token: u32, answer: Answer) -> Option<u64> {
        let slot = self.slots.get_mut(token.wrapping_sub(self.first) as usize)?;
        let Slot::Waiting(id) = *slot else { return None };
        *slot = Slot::Answered(answer);
        self.flush();
        Some(id)
    }

    /// Says why nothing more is read, behind the answers that are still owed.
    pub fn fail(&mut self, text: &str) {
        if !self.over {
            self.slots.push_back(Slot::Done(line(b'-', text)));
        }
        self.stop();
        self.flush();
    }

    /// Reads nothing more.
    pub fn stop(&mut self) {
        self.over = true;
        self.input = BytesMut::new();
    }

    /// Whether it reads nothing more.
    pub fn stopped(&self) -> bool {
        self.over
    }

    /// Whether it may be closed, once its output is written.
    pub fn over(&self) -> bool {
        let answered = self.closing && self.input.is_empty() && self.commands > 0;
        (self.over || answered) && self.slots.is_empty()
    }

    /// Whether bytes may be read.
    pub fn reads(&self) -> bool {
        let room = self.slots.len() < MOST_OPEN && self.input.len() < FULL;
        let wanted = !self.closing || !self.input.is_empty() || self.commands == 0;
        !self.over && !self.shut && room && wanted
    }

    /// Whether a command has begun and is not whole.
    pub fn partial(&self) -> bool {
        !self.input.is_empty()
    }

    /// How many whole commands came.
    pub fn commands(&self) -> u64 {
        self.commands
    }

    /// Whether nothing is owed.
    pub fn idle(&self) -> bool {
        self.slots.is_empty()
    }

    /// The requests that are out: the numbers of their slots and their ids.
    pub fn waiting(&self) -> impl Iterator<Item = (u32, u64)> + '_ {
        let number = |n: usize| self.first.wrapping_add(n as u32);
        self.slots.iter().enumerate().filter_map(move |(n, s)| match s {
            Slot::Waiting(id) => Some((number(n), *id)),
            Slot::Done(_) | Slot::Answered(_) => None,
        })
    }

    fn flush(&mut self) {
        while let Some(slot) = self.slots.front() {
            match slot {
                Slot::Waiting(_) => return,
                Slot::Done(bytes) => self.output.extend_from_slice(bytes),
                Slot::Answered(answer) => put(&mut self.output, answer),
            }
            self.slots.pop_front();
            self.first = self.first.wrapping_add(1);
        }
    }
}

impl Machine for Session {
    type Error = Infallible;

    fn receive(&mut self, _: Micros, bytes: &[u8]) -> Result<(), Infallible> {
        if !self.over {
            self.input.extend_from_slice(bytes);
        }
        Ok(())
    }

    fn output(&mut self) -> &mut BytesMut {
        &mut self.output
    }
}
