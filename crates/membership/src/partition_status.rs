//! Whether the fleet has shrunk, or this member is cut off from it. No member can tell these apart at one moment: a side
//! with more than half of the members goes on as the fleet, all other sides take nothing over until they meet again.

use crate::view::{MemberState, View};
use crate::MemberId;
use std::collections::BTreeSet;

#[cfg(test)]
mod tests;

/// Which part of the fleet a member can reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionStatus {
    /// All members are alive, or left gracefully.
    Complete,
    /// Some are dead, and more than half are alive: this side is the fleet.
    Majority,
    /// Half or fewer are alive, or no member answers: cut off, as far as this member can know. Earlier agreements hold.
    NoQuorum,
}

/// Whether any member answers this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Contact {
    /// Some member answered lately, or there is none to answer.
    Answered,
    /// No member has answered for several protocol periods.
    Unanswered,
}

/// The members among which a majority is counted: all that were ever alive and did not leave gracefully. Dead members
/// stay, however long: a side that removed its dead by itself could, after a second partition, hold a majority of the
/// rest while another side holds a majority of its own rest. Ids are kept over restarts, so the dead come back as
/// themselves.
#[derive(Clone, Debug, Default)]
pub(crate) struct Voters {
    members: BTreeSet<MemberId>,
}

impl Voters {
    /// Updates the voters from the view, and derives the status.
    pub(crate) fn update(&mut self, view: &View, contact: Contact) -> PartitionStatus {
        for member in view.members().filter(|member| member.record.state == MemberState::Left) {
            self.members.remove(&member.record.id);
        }
        let live = self.live(view);
        // A new member becomes a voter only where most of the old ones are alive, or a minority would grow into a
        // majority by what is started in it.
        if 2 * live > self.members.len() || self.members.len() <= 1 {
            let not_left = view.members().filter(|member| member.record.state != MemberState::Left);
            self.members.extend(not_left.map(|member| member.record.id));
        }
        let live = self.live(view);
        let voters = self.members.len();
        if contact == Contact::Unanswered || 2 * live <= voters {
            return PartitionStatus::NoQuorum;
        }
        if live == voters {
            return PartitionStatus::Complete;
        }
        PartitionStatus::Majority
    }

    /// How many voters the view holds for live.
    fn live(&self, view: &View) -> usize {
        let is_live = |id: &&MemberId| view.get(**id).is_some_and(|member| member.record.state.is_live());
        self.members.iter().filter(is_live).count()
    }

    /// How many there are.
    pub(crate) fn count(&self) -> usize {
        self.members.len()
    }
}
