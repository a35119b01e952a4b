//! Election of owners. Accounts are assigned to slots; each slot has a fixed committee of ingresses. A candidate with the
//! votes of a majority of the committee is the owner until those votes expire. Two candidates cannot both have a majority:
//! some voter would have to vote for both. The election does not depend on a view of the fleet, which may differ between
//! two ingresses; the view only determines who should be a candidate.

use crate::{Epoch, IngressId, LeaseTerms, Micros};
use std::collections::BTreeMap;

/// A member of a committee.
#[derive(Clone, Debug)]
pub struct Voter {
    terms: LeaseTerms,
    /// No vote is given before this time: a vote given before a restart, which is not stored, has expired by then.
    votes_from: Micros,
    highest_epoch: Epoch,
    /// The candidate that has the vote, and when the vote expires.
    vote: Option<(IngressId, Micros)>,
}

/// A voter's answer to a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Vote {
    /// The voter.
    pub voter: IngressId,
    /// The candidate's round of voting.
    pub round: u64,
    /// The candidate's epoch.
    pub epoch: Epoch,
    /// Whether the candidate has the vote.
    pub granted: bool,
    /// The highest epoch in which the voter has given its vote.
    pub highest_epoch: Epoch,
}

impl Voter {
    /// Creates a voter that starts at `now`.
    pub fn new(terms: LeaseTerms, now: Micros) -> Voter {
        Voter { terms, votes_from: terms.grantor_expiry(now), highest_epoch: 0, vote: None }
    }

    /// Answers a candidate's request for a vote. The vote is granted, or renewed, if no other candidate has it and the
    /// epoch is new or already this candidate's.
    pub fn request_vote(
        &mut self,
        now: Micros,
        voter: IngressId,
        candidate: IngressId,
        round: u64,
        epoch: Epoch,
    ) -> Vote {
        let is_free = self.vote.is_none_or(|(holder, expires_at)| holder == candidate || expires_at <= now);
        let is_renewal = epoch == self.highest_epoch && self.vote.is_some_and(|vote| vote.0 == candidate);
        let granted = now >= self.votes_from && is_free && (epoch > self.highest_epoch || is_renewal);
        if granted {
            self.highest_epoch = epoch;
            self.vote = Some((candidate, self.terms.grantor_expiry(now)));
        }
        Vote { voter, round, epoch, granted, highest_epoch: self.highest_epoch }
    }
}

/// A candidate for the ownership of a slot.
#[derive(Clone, Debug)]
pub struct Candidate {
    terms: LeaseTerms,
    committee_size: usize,
    /// Number of ingresses that take precedence over this one as the owner.
    rank: u32,
    epoch: Epoch,
    /// The highest epoch reported by voters and holders.
    highest_seen_epoch: Epoch,
    round: u64,
    round_started_at: Option<Micros>,
    /// The votes of this round: whether each voter granted its vote.
    votes: BTreeMap<IngressId, bool>,
    /// When the ownership expires; 0: not the owner.
    owner_until: Micros,
}

impl Candidate {
    /// Creates a candidate for a slot. `rank`: the number of ingresses that take precedence as the owner.
    pub fn new(terms: LeaseTerms, committee_size: usize, rank: u32) -> Candidate {
        Candidate {
            terms,
            committee_size,
            rank,
            epoch: 0,
            highest_seen_epoch: 0,
            round: 0,
            round_started_at: None,
            votes: BTreeMap::new(),
            owner_until: 0,
        }
    }

    /// Starts a round of voting, to become the owner or to renew the ownership. Returns the round and the epoch to send to
    /// every committee member.
    ///
    /// Returns `None` after a lost round, until the votes given in it have expired, plus half a lease duration for each
    /// ingress that takes precedence. Otherwise two candidates that each have some of the votes could renew them and block
    /// each other for ever.
    pub fn start_round(&mut self, now: Micros) -> Option<(u64, Epoch)> {
        if now >= self.owner_until {
            let rank_delay = self.terms.duration / 2 * u64::from(self.rank);
            let is_waiting = |started_at| now < self.terms.grantor_expiry(started_at) + rank_delay;
            if self.round_started_at.is_some_and(is_waiting) {
                return None;
            }
            // Higher than any epoch seen. At least the time, because all members that saw the last epoch may have restarted.
            self.epoch = self.highest_seen_epoch.max(self.epoch).saturating_add(1).max(now);
        }
        self.round += 1;
        self.round_started_at = Some(now);
        self.votes.clear();
        Some((self.round, self.epoch))
    }

    /// Records a vote. If this candidate has a majority of the current round, returns its epoch and the time until which
    /// it is the owner.
    pub fn record_vote(&mut self, now: Micros, vote: Vote) -> Option<(Epoch, Micros)> {
        self.highest_seen_epoch = self.highest_seen_epoch.max(vote.highest_epoch);
        if vote.round != self.round || vote.epoch != self.epoch {
            return None; // of an earlier round, whose start time is not stored
        }
        self.votes.insert(vote.voter, vote.granted);
        let granted = self.votes.values().filter(|granted| **granted).count();
        let owner_until = self.terms.holder_expiry(self.round_started_at?);
        if 2 * granted <= self.committee_size || now >= owner_until {
            return None;
        }
        self.owner_until = owner_until;
        Some((self.epoch, owner_until))
    }

    /// Records the epoch that a holder has seen. If it is higher than this candidate's, that holder does not accept its
    /// grants: the candidate gives up the ownership and continues with a higher epoch. This happens after a restart of
    /// several members.
    pub fn observe_epoch(&mut self, epoch: Epoch) {
        self.highest_seen_epoch = self.highest_seen_epoch.max(epoch);
        if epoch > self.epoch {
            self.owner_until = 0;
        }
    }

    /// Returns the epoch of the ownership, if this candidate is the owner at `now`.
    pub fn owned_epoch(&self, now: Micros) -> Option<Epoch> {
        (now < self.owner_until).then_some(self.epoch)
    }
}
