//! What is known of whom: facts with a turn, and the digest by which two views are found equal.

use crate::{Micros, Number};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Parts of a view that are compared by themselves, so that little is sent where little differs.
pub const BUCKETS: usize = 16;
/// Turns from here on are not believed: a member must always have a next one.
pub const LAST_TURN: u32 = 1 << 30;

/// How a member is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It answers, as far as is known.
    In,
    /// It did not answer somebody. It counts as in until the time to object is over.
    Suspected,
    /// It did not object in time.
    Lost,
    /// It went in order.
    Left,
}

impl State {
    /// Whether it counts as one of the fleet.
    pub fn counts(self) -> bool {
        matches!(self, State::In | State::Suspected)
    }
}

/// A fact about a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fact {
    /// Whom it is about.
    pub number: Number,
    /// How it is.
    pub state: State,
    /// Even while it is in or suspected, odd once it is gone.
    pub turn: u32,
    /// Its incarnation: when it last started, in microseconds.
    pub start: u64,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Who says so.
    pub by: Number,
}

impl Fact {
    /// The later fact of two is the one with the later turn, then the later start; who left is not lost any more.
    pub fn order(&self) -> (u32, u64, bool) {
        (self.turn, self.start, self.state == State::Left)
    }

    fn hash(&self) -> u64 {
        let mut bytes = [0; 15];
        bytes[..2].copy_from_slice(&self.number.to_be_bytes());
        bytes[2..6].copy_from_slice(&self.turn.to_be_bytes());
        bytes[6..14].copy_from_slice(&self.start.to_be_bytes());
        bytes[14] = u8::from(self.state == State::Left);
        let mut short = [0; 8];
        short.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..8]);
        u64::from_be_bytes(short)
    }
}

/// A member as one view has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// The fact.
    pub fact: Fact,
    /// Since when it is in this state, on the clock of the view's owner.
    pub since: Micros,
}

/// A view, as one member has it.
#[derive(Clone, Debug, Default)]
pub struct View {
    members: BTreeMap<Number, Member>,
    sums: [u64; BUCKETS],
    number: u64,
    counting: usize,
}

impl View {
    /// What is known of a member.
    pub fn get(&self, number: Number) -> Option<&Member> {
        self.members.get(&number)
    }

    /// All that are known, by number.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Those that count as in, by number.
    pub fn counted(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| m.fact.state.counts())
    }

    /// How many count as in.
    pub fn counting(&self) -> usize {
        self.counting
    }

    /// How many are known.
    pub fn known(&self) -> usize {
        self.members.len()
    }

    /// Grows with each turn of each member: of two views of one fleet the one with the higher number knows more.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Equal where two views hold the same of everybody, suspicions aside: these are one's own.
    pub fn digest(&self) -> u64 {
        self.sums.iter().fold(0, |all, sum| all.rotate_left(5) ^ sum)
    }

    /// The digest's parts.
    pub fn sums(&self) -> [u32; BUCKETS] {
        self.sums.map(|s| (s >> 32) as u32 ^ s as u32)
    }

    /// The facts of one part.
    pub fn bucket(&self, bucket: usize) -> impl Iterator<Item = &Fact> {
        self.members.values().map(|m| &m.fact).filter(move |f| usize::from(f.number) % BUCKETS == bucket)
    }

    pub(crate) fn put(&mut self, fact: Fact, now: Micros) {
        let bucket = usize::from(fact.number) % BUCKETS;
        self.sums[bucket] ^= fact.hash();
        self.number = self.number.saturating_add(u64::from(fact.turn) + 1);
        self.counting += usize::from(fact.state.counts());
        let before = self.members.get(&fact.number);
        let since = before.filter(|m| m.fact.state == fact.state).map_or(now, |m| m.since);
        if let Some(m) = self.members.insert(fact.number, Member { fact, since }) {
            self.sums[bucket] ^= m.fact.hash();
            self.number = self.number.saturating_sub(u64::from(m.fact.turn) + 1);
            self.counting -= usize::from(m.fact.state.counts());
        }
    }
}
