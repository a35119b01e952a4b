//! Decides whether this member's side of a possible partition has a quorum. A member cannot distinguish dead members
//! from members that it cannot reach. A side with more than half of the members therefore continues as the fleet, and
//! the other sides take over nothing until the partition heals.

use crate::view::{MemberState, View};
use crate::MemberId;
use std::collections::BTreeSet;

#[cfg(test)]
mod tests;

/// The part of the fleet that a member can reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionStatus {
    /// All members are live, or have left gracefully.
    Complete,
    /// Some members are dead, but more than half are live: this side continues as the fleet.
    Majority,
    /// At most half of the members are live, or no member answers: this member has to assume that it is cut off from
    /// the fleet. Decisions agreed on earlier stay valid.
    NoQuorum,
}

/// Whether other members answer this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Contact {
    /// A member has answered within the last protocol periods, or no answer is expected.
    Answered,
    /// No member has answered for several protocol periods.
    Unanswered,
}

/// The members that count towards a majority: all that were ever alive and have not left gracefully.
///
/// Dead members stay voters indefinitely. If a side removed the members that it considers dead, then after a second
/// partition it could have a majority of its remaining voters while another side has a majority of its own. Ids are
/// kept across restarts, so a dead member that restarts is the same voter.
#[derive(Clone, Debug, Default)]
pub(crate) struct Voters {
    members: BTreeSet<MemberId>,
}

impl Voters {
    /// Updates the voters from the view and returns the partition status.
    pub(crate) fn update(&mut self, view: &View, contact: Contact) -> PartitionStatus {
        for member in view.members().filter(|member| member.record.state == MemberState::Left) {
            self.members.remove(&member.record.id);
        }
        let live = self.live_count(view);
        // New members become voters only while more than half of the present voters are live. Otherwise a minority could
        // become a majority by starting new members.
        if 2 * live > self.members.len() || self.members.len() <= 1 {
            let not_left = view.members().filter(|member| member.record.state != MemberState::Left);
            self.members.extend(not_left.map(|member| member.record.id));
        }
        let live = self.live_count(view);
        let voters = self.members.len();
        if contact == Contact::Unanswered || 2 * live <= voters {
            return PartitionStatus::NoQuorum;
        }
        if live == voters {
            return PartitionStatus::Complete;
        }
        PartitionStatus::Majority
    }

    /// Returns the number of voters that are live in the view.
    fn live_count(&self, view: &View) -> usize {
        let is_live = |id: &&MemberId| view.get(**id).is_some_and(|member| member.record.state.is_live());
        self.members.iter().filter(is_live).count()
    }

    /// Returns the number of voters.
    pub(crate) fn count(&self) -> usize {
        self.members.len()
    }
}
