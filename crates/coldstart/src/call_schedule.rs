//! Schedule of calls to the service. Time is divided into slots of `1 / C` seconds, which are assigned to the members in
//! the order of their ranks; a round has one slot for each member. A member calls only in its own slot. Slots depend on the
//! clock and not on the start of a member, so a member that restarts ten times in a round still has one slot in it.
//!
//! Bound: members with the same view make at most C calls per second. A member that is disconnected, or does not know the
//! number of members, uses the maximum number instead; all of these together make at most C further calls per second. With
//! any partition, this is `2 C` calls per second, and one more for each member whose clock or view changes in that second.

use crate::{MemberId, Micros};

const SECOND: Micros = 1_000_000;

/// A member's view of its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetView {
    /// The other members are not known, or this one is disconnected from them. The maximum number of members is assumed.
    Unknown,
    /// The members that count as present, including this one.
    Known {
        /// Number of members.
        members: u16,
        /// Position of this member among them by member number, from 0.
        rank: u16,
    },
}

/// The call schedule of one member.
#[derive(Clone, Copy, Debug)]
pub struct CallSchedule {
    member: MemberId,
    max_members: u16,
    calls_per_second: u32,
    last_call: Option<Micros>,
}

impl CallSchedule {
    /// Creates the schedule of a member. `max_members`: maximum number of members; `calls_per_second`: C, the calls that the
    /// fleet may make per second.
    pub fn new(member: MemberId, max_members: u16, calls_per_second: u32) -> CallSchedule {
        CallSchedule {
            member,
            max_members: max_members.max(1),
            calls_per_second: calls_per_second.clamp(1, 1_000_000),
            last_call: None,
        }
    }

    /// Returns the number of slots in a round, and the index of this member's slot.
    fn slots(&self, fleet: FleetView) -> (u64, u64) {
        let (members, rank) = match fleet {
            FleetView::Known { members, rank } if rank < members && members <= self.max_members => {
                (members, rank)
            }
            _ => (self.max_members, self.member % self.max_members),
        };
        (u64::from(members), u64::from(rank))
    }

    /// Returns the duration of a round, in which each member has one slot.
    pub fn round(&self, fleet: FleetView) -> Micros {
        self.slots(fleet).0 * SECOND / u64::from(self.calls_per_second)
    }

    /// Returns the next time, from `now` on, at which this member may call.
    pub fn next_call(&self, now: Micros, fleet: FleetView) -> Micros {
        let (members, rank) = self.slots(fleet);
        let round = self.round(fleet).max(1);
        let slot_offset = round * rank / members;
        let earliest = match self.last_call {
            // A change of the view moves the slots. Without a minimum time between two calls, a view that keeps changing
            // would cause calls without limit. Half a round, because a smaller fleet has shorter rounds.
            Some(last_call) => now.max(last_call + round / 2),
            None => now,
        };
        let slot_start = earliest / round * round + slot_offset;
        if slot_start < earliest {
            slot_start + round
        } else {
            slot_start
        }
    }

    /// Records a call, or a slot in which no call was needed.
    pub fn record_call(&mut self, now: Micros) {
        self.last_call = Some(now);
    }
}
