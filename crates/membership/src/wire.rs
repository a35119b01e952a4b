//! The messages: one datagram each, within the room that the datagrams between ingresses have. Numbers are big-endian.
//!
//! A message is its kind (1 byte), a nonce (4), the sender's digest (8), what belongs to the kind, then facts to the end.
//! A fact is number (2), state with the address's family (1), turn (4), start (8), by whom (2), address (6 or 18).

use crate::view::{Fact, State, BUCKETS, LAST_TURN};
use crate::{Micros, Number};
use std::net::{IpAddr, SocketAddr};

/// Bytes of a message at most.
pub const MOST: usize = 256;

/// Why a message is not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("message of a member, byte {at}: expected {expected}")]
pub struct Malformed {
    /// Where.
    pub at: usize,
    /// What should be there.
    pub expected: &'static str,
}

/// What a message is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Are you there?
    Ping,
    /// I am.
    Ack,
    /// Ask that one for me.
    Ask {
        /// Whom.
        target: Number,
        /// Where it is.
        at: SocketAddr,
    },
    /// It has answered.
    Heard,
    /// It has not answered in time, but I am here.
    Unheard,
    /// The parts of my digest.
    Sums {
        /// Tell me yours, too.
        ask: bool,
        /// The parts.
        sums: [u32; BUCKETS],
    },
    /// Facts alone.
    Facts,
    /// A visitor wants to see the view, from this number on.
    Show {
        /// The first number.
        from: Number,
    },
    /// A part of the view.
    Shown(Shown),
}

/// What is said of a view beside its facts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Shown {
    /// Whose view it is.
    pub owner: Number,
    /// The view's number.
    pub number: u64,
    /// How many members it counts.
    pub counting: u16,
    /// How many it would have to count to be the greater part.
    pub of: u16,
    /// 0: whole; 1: the greater part; 2: cut off.
    pub standing: u8,
    /// How late it may be about a death.
    pub late: Micros,
    /// The number to go on from; none: that was all.
    pub next: Option<Number>,
}

/// A message.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// What it is for.
    pub kind: Kind,
    /// Names a question; its answer has the same.
    pub nonce: u32,
    /// The sender's digest.
    pub digest: u64,
    /// Facts, with how long each state has held where they are shown to a visitor.
    pub facts: Vec<(Fact, Micros)>,
}

const HEAD: usize = 13;

/// Bytes of a fact.
fn length(fact: &Fact, shown: bool) -> usize {
    17 + if fact.address.is_ipv4() { 6 } else { 18 } + if shown { 8 } else { 0 }
}

impl Message {
    /// A message without facts.
    pub fn new(kind: Kind, nonce: u32, digest: u64) -> Message {
        Message { kind, nonce, digest, facts: Vec::new() }
    }

    fn own(&self) -> usize {
        HEAD + match self.kind {
            Kind::Ping | Kind::Ack | Kind::Heard | Kind::Unheard | Kind::Facts => 0,
            Kind::Ask { at, .. } => 2 + if at.is_ipv4() { 7 } else { 19 },
            Kind::Sums { .. } => 1 + 4 * BUCKETS,
            Kind::Show { .. } => 2,
            Kind::Shown(_) => 2 + 8 + 2 + 2 + 1 + 8 + 2,
        }
    }

    /// Adds a fact if there is room for it.
    pub fn add(&mut self, fact: Fact, held: Micros) -> bool {
        let shown = matches!(self.kind, Kind::Shown(_));
        let used: usize = self.own() + self.facts.iter().map(|f| length(&f.0, shown)).sum::<usize>();
        let fits = used + length(&fact, shown) <= MOST;
        if fits {
            self.facts.push((fact, held));
        }
        fits
    }

    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(MOST);
        let kind = match self.kind {
            Kind::Ping => 1,
            Kind::Ack => 2,
            Kind::Ask { .. } => 3,
            Kind::Heard => 4,
            Kind::Unheard => 5,
            Kind::Sums { .. } => 6,
            Kind::Facts => 7,
            Kind::Show { .. } => 8,
            Kind::Shown(_) => 9,
        };
        out.push(kind);
        out.extend_from_slice(&self.nonce.to_be_bytes());
        out.extend_from_slice(&self.digest.to_be_bytes());
        match self.kind {
            Kind::Ask { target, at } => {
                out.extend_from_slice(&target.to_be_bytes());
                out.push(u8::from(at.is_ipv6()));
                put_address(&mut out, at);
            }
            Kind::Sums { ask, sums } => {
                out.push(u8::from(ask));
                sums.iter().for_each(|s| out.extend_from_slice(&s.to_be_bytes()));
            }
            Kind::Show { from } => out.extend_from_slice(&from.to_be_bytes()),
            Kind::Shown(s) => {
                out.extend_from_slice(&s.owner.to_be_bytes());
                out.extend_from_slice(&s.number.to_be_bytes());
                out.extend_from_slice(&s.counting.to_be_bytes());
                out.extend_from_slice(&s.of.to_be_bytes());
                out.push(s.standing);
                out.extend_from_slice(&s.late.to_be_bytes());
                out.extend_from_slice(&s.next.unwrap_or(Number::MAX).to_be_bytes());
            }
            _ => {}
        }
        for (fact, held) in &self.facts {
            out.extend_from_slice(&fact.number.to_be_bytes());
            out.push(fact.state as u8 | u8::from(fact.address.is_ipv6()) << 7);
            out.extend_from_slice(&fact.turn.to_be_bytes());
            out.extend_from_slice(&fact.start.to_be_bytes());
            out.extend_from_slice(&fact.by.to_be_bytes());
            put_address(&mut out, fact.address);
            if matches!(self.kind, Kind::Shown(_)) {
                out.extend_from_slice(&held.to_be_bytes());
            }
        }
        out
    }

    /// Reads a message.
    ///
    /// # Errors
    /// The first byte that cannot be, and what should be there.
    pub fn decode(bytes: &[u8]) -> Result<Message, Malformed> {
        if bytes.len() > MOST {
            return Err(Malformed { at: MOST, expected: "its end" });
        }
        let mut r = Reader { bytes, at: 0 };
        let [code] = r.take()?;
        let (nonce, digest) = (u32::from_be_bytes(r.take()?), u64::from_be_bytes(r.take()?));
        let kind = match code {
            1 => Kind::Ping,
            2 => Kind::Ack,
            3 => {
                let target = r.short()?;
                let six = r.flag()?;
                Kind::Ask { target, at: r.address(six)? }
            }
            4 => Kind::Heard,
            5 => Kind::Unheard,
            6 => {
                let ask = r.flag()?;
                let mut sums = [0; BUCKETS];
                for s in &mut sums {
                    *s = u32::from_be_bytes(r.take()?);
                }
                Kind::Sums { ask, sums }
            }
            7 => Kind::Facts,
            8 => Kind::Show { from: r.short()? },
            9 => Kind::Shown(Shown {
                owner: r.short()?,
                number: u64::from_be_bytes(r.take()?),
                counting: r.short()?,
                of: r.short()?,
                standing: r.take::<1>()?[0],
                late: u64::from_be_bytes(r.take()?),
                next: Some(r.short()?).filter(|n| *n != Number::MAX),
            }),
            _ => return Err(Malformed { at: 0, expected: "a kind from 1 to 9" }),
        };
        let mut facts = Vec::new();
        while r.at < bytes.len() {
            let number = r.short()?;
            let [byte] = r.take()?;
            let state = match byte & 0x7f {
                0 => State::In,
                1 => State::Suspected,
                2 => State::Lost,
                3 => State::Left,
                _ => return Err(Malformed { at: r.at - 1, expected: "a state from 0 to 3" }),
            };
            let turn = u32::from_be_bytes(r.take()?);
            if turn >= LAST_TURN || (turn % 2 == 0) != state.counts() {
                return Err(Malformed { at: r.at - 4, expected: "a turn, even while in, odd once gone" });
            }
            let (start, by) = (u64::from_be_bytes(r.take()?), r.short()?);
            let address = r.address(byte & 0x80 != 0)?;
            let held = if matches!(kind, Kind::Shown(_)) { u64::from_be_bytes(r.take()?) } else { 0 };
            facts.push((Fact { number, state, turn, start, address, by }, held));
        }
        Ok(Message { kind, nonce, digest, facts })
    }
}

fn put_address(out: &mut Vec<u8>, at: SocketAddr) {
    match at.ip() {
        IpAddr::V4(ip) => out.extend_from_slice(&ip.octets()),
        IpAddr::V6(ip) => out.extend_from_slice(&ip.octets()),
    }
    out.extend_from_slice(&at.port().to_be_bytes());
}

struct Reader<'b> {
    bytes: &'b [u8],
    at: usize,
}

impl Reader<'_> {
    fn take<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        let part = self.bytes.get(self.at..self.at + N).and_then(|p| <[u8; N]>::try_from(p).ok());
        let part = part.ok_or(Malformed { at: self.bytes.len(), expected: "more bytes" })?;
        self.at += N;
        Ok(part)
    }

    fn short(&mut self) -> Result<u16, Malformed> {
        Ok(u16::from_be_bytes(self.take()?))
    }

    fn flag(&mut self) -> Result<bool, Malformed> {
        match self.take()? {
            [0] => Ok(false),
            [1] => Ok(true),
            _ => Err(Malformed { at: self.at - 1, expected: "0 or 1" }),
        }
    }

    fn address(&mut self, six: bool) -> Result<SocketAddr, Malformed> {
        let ip: IpAddr = if six { self.take::<16>()?.into() } else { self.take::<4>()?.into() };
        Ok(SocketAddr::new(ip, self.short()?))
    }
}
