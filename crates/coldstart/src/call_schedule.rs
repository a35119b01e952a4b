//! Whose turn it is. Time is cut into slots of `1 / C` s, and slots go round by rank: a member may call in its own slot alone. A
//! member that starts anew ten times in a round still has the one slot, so restarts call no more often than lives do.
//!
//! The bound: members that share a view call at most C times a second. One that is cut off, or does not know how many others
//! there are, goes by the most that there may be, so all of these together call at most C times more: `2 C` a second with any
//! cuts, and one more for each member whose clock or view changes within that second.

use crate::{Micros, Number};

const SECOND: Micros = 1_000_000;

/// What a member knows of its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fleet {
    /// It is not known who is there, or this one is cut off: all that the settings name may be.
    Unknown,
    /// Those that count as in, this one included, and this one's place among them by number.
    Known {
        /// How many.
        members: u16,
        /// From 0.
        rank: u16,
    },
}

/// The turns of one member.
#[derive(Clone, Copy, Debug)]
pub struct Turns {
    me: Number,
    most: u16,
    per_second: u32,
    last: Option<Micros>,
}

impl Turns {
    /// `most`: how many members there may be; `per_second`: C, how many calls the fleet may make.
    pub fn new(me: Number, most: u16, per_second: u32) -> Turns {
        Turns { me, most: most.max(1), per_second: per_second.clamp(1, 1_000_000), last: None }
    }

    fn place(&self, fleet: Fleet) -> (u64, u64) {
        let (members, rank) = match fleet {
            Fleet::Known { members, rank } if rank < members && members <= self.most => (members, rank),
            _ => (self.most, self.me % self.most),
        };
        (u64::from(members), u64::from(rank))
    }

    /// How long a round takes: each member has one slot in it.
    pub fn round(&self, fleet: Fleet) -> Micros {
        self.place(fleet).0 * SECOND / u64::from(self.per_second)
    }

    /// The next time, from `now` on, at which this one may call.
    pub fn next(&self, now: Micros, fleet: Fleet) -> Micros {
        let ((members, rank), round) = (self.place(fleet), self.round(fleet).max(1));
        let slot = round * rank / members;
        let from = match self.last {
            // A view that changes moves the slots: not two of them in one round, or a view in motion would call without
            // end. Half of it, as slots of a smaller fleet come sooner with good reason.
            Some(last) => now.max(last + round / 2),
            None => now,
        };
        let at = from / round * round + slot;
        if at < from {
            at + round
        } else {
            at
        }
    }

    /// It calls.
    pub fn called(&mut self, now: Micros) {
        self.last = Some(now);
    }
}
