//! Owners: grant units to holders. One owner for each account and limit.

use crate::{Epoch, GrantRequest, IngressId, LeaseTerms, Limit, Micros, TokenBucket, Units};
use std::collections::BTreeMap;

/// Units granted to a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Grant {
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Number of the grant, unique within the epoch.
    pub id: u64,
    /// The holder.
    pub holder: IngressId,
    /// The granted units.
    pub units: Units,
}

/// Why a request is not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GrantError {
    /// Grants of earlier owners may be unexpired for this long, in microseconds.
    #[error("grants of an earlier owner may be unexpired for {0} us")]
    EarlierGrants(Micros),
    /// No unit is available, or too many grants are outstanding; the time until the next unit, in microseconds.
    #[error("no units available, the next one in {0} us")]
    Exhausted(Micros),
    /// This request, or a later one of its holder, was received before.
    #[error("this request or a later one of its holder was received before")]
    StaleRequest,
    /// The ownership has expired.
    #[error("the ownership has expired")]
    NotOwner,
}

struct OutstandingGrant {
    holder: IngressId,
    request_id: u64,
    units: Units,
    expires_at: Micros,
}

/// Grants the units of one limit.
pub struct Owner {
    terms: LeaseTerms,
    epoch: Epoch,
    bucket: TokenBucket,
    /// Nothing is granted before this time: grants of earlier owners have expired by then.
    grants_from: Micros,
    /// When the ownership expires; extended when the votes for it are renewed.
    expires_at: Micros,
    /// Unexpired grants by id.
    outstanding: BTreeMap<u64, OutstandingGrant>,
    /// The last request of each holder: a duplicated or reordered request is not granted again.
    last_request_ids: BTreeMap<IngressId, u64>,
    /// Sum of the units in `outstanding`.
    outstanding_units: Units,
    next_grant_id: u64,
}

/// A request gets at most the level of the bucket divided by this, so that units are left for other holders.
const MAX_GRANT_DIVISOR: Units = 2;
/// Maximum number of outstanding grants of one account.
const MAX_OUTSTANDING: usize = 4096;

impl Owner {
    /// Creates an owner whose ownership expires at `expires_at`, with the votes for it.
    ///
    /// It grants nothing for the duration of a lease: it does not know of the grants of an earlier owner, which have all
    /// expired after that. Until then its bucket stays empty, as those grants may add up to the whole burst.
    pub fn new(limit: Limit, terms: LeaseTerms, epoch: Epoch, now: Micros, expires_at: Micros) -> Owner {
        let grants_from = terms.grantor_expiry(now);
        Owner {
            terms,
            epoch,
            bucket: TokenBucket::empty(limit, grants_from),
            grants_from,
            expires_at,
            outstanding: BTreeMap::new(),
            last_request_ids: BTreeMap::new(),
            outstanding_units: 0,
            next_grant_id: 1,
        }
    }

    /// Returns the epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Extends the ownership: the votes for it were renewed until `expires_at`.
    pub fn renew(&mut self, expires_at: Micros) {
        self.expires_at = self.expires_at.max(expires_at);
    }

    /// Refills the bucket and removes expired grants: their units count as spent, and the bucket can refill by
    /// as many.
    fn expire_grants(&mut self, now: Micros) {
        // Grants that expired since the last refill count as outstanding for all of that time. This can only refill less.
        self.bucket.refill(now, self.outstanding_units);
        // Grants expire in the order of their ids, so the first unexpired one ends the loop.
        while let Some(expired) = self.outstanding.first_entry().filter(|entry| entry.get().expires_at <= now)
        {
            self.outstanding_units -= expired.remove().units;
        }
    }

    /// Grants up to `max_units` units to a holder. Units granted to requests that the holder has abandoned return to the
    /// bucket first.
    ///
    /// # Errors
    /// The ownership has expired, earlier grants may be unexpired, the request is a duplicate or out of order, or no unit is
    /// available; see [`GrantError`].
    pub fn grant(
        &mut self,
        now: Micros,
        holder: IngressId,
        request: &GrantRequest,
        max_units: Units,
    ) -> Result<Grant, GrantError> {
        // Checked first: a process that was suspended until after its ownership expired still receives the requests that
        // arrived during the suspension.
        if now >= self.expires_at {
            return Err(GrantError::NotOwner);
        }
        if now < self.grants_from {
            return Err(GrantError::EarlierGrants(self.grants_from - now));
        }
        self.expire_grants(now);
        let is_abandoned = |grant: &OutstandingGrant| {
            grant.holder == holder && request.abandoned.contains(&grant.request_id)
        };
        let abandoned = self.outstanding.iter().filter(|entry| is_abandoned(entry.1));
        let abandoned: Vec<u64> = abandoned.map(|entry| *entry.0).collect();
        for grant in abandoned.iter().filter_map(|id| self.outstanding.remove(id)) {
            self.outstanding_units -= grant.units;
            self.bucket.put_back(grant.units);
        }
        let last_request_id = self.last_request_ids.entry(holder).or_default();
        if request.id <= *last_request_id {
            return Err(GrantError::StaleRequest);
        }
        *last_request_id = request.id;
        let units = max_units.min(self.bucket.level().div_ceil(MAX_GRANT_DIVISOR));
        if units == 0 || self.outstanding.len() >= MAX_OUTSTANDING || !self.bucket.take(units) {
            return Err(GrantError::Exhausted(1_000_000 / self.bucket.limit().rate.max(1)));
        }
        let id = self.next_grant_id;
        self.next_grant_id += 1;
        self.outstanding_units += units;
        let expires_at = self.terms.grantor_expiry(now);
        let grant = OutstandingGrant { holder, request_id: request.id, units, expires_at };
        self.outstanding.insert(id, grant);
        Ok(Grant { epoch: self.epoch, id, holder, units })
    }

    /// Takes back a grant of which its holder has spent `spent` units; the rest returns to the bucket.
    ///
    /// Returns `false`, and takes nothing back, if the grant is not outstanding (returned before, expired, or of another
    /// owner) or the ownership has expired.
    pub fn take_back(&mut self, now: Micros, grant: Grant, spent: Units) -> bool {
        self.expire_grants(now);
        let is_outstanding = grant.epoch == self.epoch
            && self
                .outstanding
                .get(&grant.id)
                .is_some_and(|own| own.holder == grant.holder && own.units == grant.units);
        if !is_outstanding || now >= self.expires_at {
            return false;
        }
        self.outstanding.remove(&grant.id);
        self.outstanding_units -= grant.units;
        self.bucket.put_back(grant.units - spent.min(grant.units));
        true
    }
}
