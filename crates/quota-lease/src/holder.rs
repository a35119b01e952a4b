//! Holders: spend the units granted by owners. One holder for each account and limit.

use crate::{Epoch, Grant, IngressId, LeaseTerms, Micros, Units};

/// Maximum number of grants that a holder has at once. Further ones are not accepted.
pub const MAX_GRANTS: usize = 8;

/// Number of abandoned requests that are reported with each new request. Each is reported several times, so that one
/// message that arrives is enough.
pub const MAX_ABANDONED: usize = 8;
/// A request is abandoned without an answer after the lease duration divided by this.
const ANSWER_TIMEOUT_DIVISOR: u64 = 10;

/// A request of a holder for a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantRequest {
    /// Number of the request, returned with the answer.
    pub id: u64,
    /// Requests that had no answer in time and whose answers are no longer accepted; 0 marks an unused entry.
    pub abandoned: [u64; MAX_ABANDONED],
    /// The highest epoch that the holder has seen.
    pub epoch: Epoch,
}

#[derive(Clone, Copy, Debug)]
struct HeldGrant {
    grant: Grant,
    spent: Units,
    expires_at: Micros,
}

/// Holds and spends the grants of one ingress.
#[derive(Clone, Debug)]
pub struct Holder {
    ingress: IngressId,
    terms: LeaseTerms,
    /// The highest epoch seen; grants of lower epochs are not accepted.
    epoch: Epoch,
    grants: Vec<HeldGrant>,
    /// The highest id of an accepted grant of the epoch.
    highest_grant_id: u64,
    /// Bit `n` is set if the grant with id `highest_grant_id - n` was accepted. Each grant is accepted once, even if its
    /// message is duplicated or reordered.
    accepted_grant_ids: u64,
    /// The request that waits for an answer, and when it was sent.
    open_request: Option<(u64, Micros)>,
    /// The latest requests that were abandoned without an answer.
    abandoned: [u64; MAX_ABANDONED],
    last_request_id: u64,
}

impl Holder {
    /// Creates a holder without grants.
    ///
    /// `start` must be larger than at any earlier start of this ingress, for example a time: request ids continue from it,
    /// so that an answer to a request of an earlier start is never accepted.
    pub fn new(ingress: IngressId, terms: LeaseTerms, start: u64) -> Holder {
        Holder {
            ingress,
            terms,
            epoch: 0,
            grants: Vec::new(),
            highest_grant_id: 0,
            accepted_grant_ids: 0,
            open_request: None,
            abandoned: [0; MAX_ABANDONED],
            last_request_id: start,
        }
    }

    /// Returns a new request to send to the owner; `None` while an answer to the open request may still arrive.
    ///
    /// A request without an answer for a tenth of the lease duration is abandoned: its answer is no longer accepted, and
    /// the owner may reclaim the units granted to it.
    pub fn request(&mut self, now: Micros) -> Option<GrantRequest> {
        if let Some((request_id, sent_at)) = self.open_request {
            if now < sent_at + self.terms.duration / ANSWER_TIMEOUT_DIVISOR {
                return None;
            }
            self.abandoned.rotate_right(1);
            self.abandoned[0] = request_id;
        }
        self.last_request_id += 1;
        self.open_request = Some((self.last_request_id, now));
        Some(GrantRequest { id: self.last_request_id, abandoned: self.abandoned, epoch: self.epoch })
    }

    /// Accepts the grant that answers a request. Returns whether it was accepted.
    ///
    /// A grant that is late, duplicated, of a lower epoch or for another holder is not accepted: it is not spent here, and
    /// expires at the owner.
    pub fn accept(&mut self, now: Micros, request_id: u64, grant: Grant) -> bool {
        let Some((_, sent_at)) = self.open_request.filter(|open| open.0 == request_id) else { return false };
        let expires_at = self.terms.holder_expiry(sent_at);
        self.drop_expired(now);
        if grant.holder != self.ingress
            || now >= expires_at
            || self.grants.len() >= MAX_GRANTS
            || !self.record_if_new(grant)
        {
            return false;
        }
        self.open_request = None;
        self.grants.push(HeldGrant { grant, spent: 0, expires_at });
        true
    }

    /// Returns whether a grant was not accepted before and is not of a lower epoch, and if so records it as accepted.
    fn record_if_new(&mut self, grant: Grant) -> bool {
        if grant.epoch > self.epoch {
            self.epoch = grant.epoch;
            self.highest_grant_id = 0;
            self.accepted_grant_ids = 0;
        }
        let is_current_epoch = grant.epoch == self.epoch;
        if is_current_epoch && grant.id > self.highest_grant_id {
            let shift = grant.id - self.highest_grant_id;
            self.accepted_grant_ids = if shift < 64 { self.accepted_grant_ids << shift | 1 } else { 1 };
            self.highest_grant_id = grant.id;
            return true;
        }
        let bit = self.highest_grant_id.saturating_sub(grant.id);
        let is_new = is_current_epoch && grant.id > 0 && bit < 64 && self.accepted_grant_ids >> bit & 1 == 0;
        if is_new {
            self.accepted_grant_ids |= 1 << bit;
        }
        is_new
    }

    fn drop_expired(&mut self, now: Micros) {
        self.grants.retain(|held| held.expires_at > now);
    }

    /// Spends units if that many are available, from the grants that expire first. Returns whether it spent them.
    pub fn spend(&mut self, now: Micros, units: Units) -> bool {
        // Checked at each call: a process that was suspended past the expiry of its grants must not spend them.
        self.drop_expired(now);
        if self.available(now) < units {
            return false;
        }
        let mut rest = units;
        self.grants.sort_by_key(|held| held.expires_at);
        for held in &mut self.grants {
            let part = rest.min(held.grant.units - held.spent);
            held.spent += part;
            rest -= part;
        }
        true
    }

    /// Returns the units that can be spent at `now`.
    pub fn available(&self, now: Micros) -> Units {
        let unexpired = self.grants.iter().filter(|held| held.expires_at > now);
        unexpired.map(|held| held.grant.units - held.spent).sum()
    }

    /// Removes the grants that are spent in full. Returns them with their spent units, to be returned to the owner:
    /// its bucket is refilled only up to the burst less the outstanding units.
    pub fn take_exhausted(&mut self) -> Vec<(Grant, Units)> {
        let is_exhausted = |held: &HeldGrant| held.spent == held.grant.units;
        let exhausted = self.grants.iter().filter(|held| is_exhausted(held));
        let exhausted = exhausted.map(|held| (held.grant, held.spent)).collect();
        self.grants.retain(|held| !is_exhausted(held));
        exhausted
    }

    /// Removes all grants. Returns them with their spent units, to be returned to the owner.
    pub fn take_all(&mut self) -> Vec<(Grant, Units)> {
        std::mem::take(&mut self.grants).into_iter().map(|held| (held.grant, held.spent)).collect()
    }
}
