//! Limits shared through leased grants. An owner has the token bucket of an account and grants units of it to holders,
//! each grant for the duration of a lease. A holder spends a grant until, by its own clock, the lease ends, less a margin
//! for clock drift. Performs no I/O and reads no clock.
//!
//! Granted units are taken from the bucket at once, and the bucket is refilled only up to its burst less the
//! outstanding units. Together the holders can therefore never spend more than a single process with the whole bucket
//! would allow. Units return to the bucket only when their holder returns them; units of an expired grant count as
//! spent. So the limit is never exceeded, whichever members fail, are suspended or are disconnected; a failure makes
//! fewer units available instead.
//!
//! - [`token_bucket`]: token bucket in whole units
//! - [`owner`]: grants units to holders
//! - [`holder`]: spends granted units
//! - [`slot`]: election of owners by a majority of a fixed committee, for the duration of a lease

pub mod holder;
pub mod owner;
pub mod slot;
pub mod token_bucket;

pub use holder::{GrantRequest, Holder};
pub use owner::{Grant, GrantError, Owner};
pub use slot::{Candidate, Voter};
pub use token_bucket::{Limit, TokenBucket};

/// A duration, or a time on the clock of one ingress, in microseconds.
pub type Micros = u64;

/// Units of a limit. Integers, so that the parts of a split amount add up to it exactly.
pub type Units = u64;

/// Number of an ownership of a slot. Grants of a lower epoch than the highest seen are not accepted.
pub type Epoch = u64;

/// Number of an ingress.
pub type IngressId = u16;

/// Duration of grants and votes, and the tolerated clock drift.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Duration of a grant or a vote.
    pub duration: Micros,
    /// Maximum drift between two clocks, in thousandths.
    pub max_drift_permille: u32,
}

impl LeaseTerms {
    /// Returns the time at which the receiver of a grant or vote stops using it, by its own clock: after less than the
    /// duration, because that clock may be slow. The time is counted from the request: the receiver does not know when the
    /// sender granted it, only that this was after the request.
    pub fn holder_expiry(&self, requested_at: Micros) -> Micros {
        requested_at + self.duration * u64::from(1000 - self.max_drift_permille.min(999)) / 1000
    }

    /// Returns the time at which the sender of a grant or vote treats it as expired, by its own clock: after more than the
    /// duration, because that clock may be fast.
    pub fn grantor_expiry(&self, granted_at: Micros) -> Micros {
        granted_at + self.duration * u64::from(1000 + self.max_drift_permille) / 1000
    }
}
