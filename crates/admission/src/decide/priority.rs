//! The admission priority of addresses.

use super::{Admission, ConnId, REQUEST_COUNT_DECAY_MICROS};
use crate::cidr_block::canonical;
use crate::known_clients::KnownTier;
use crate::Micros;
use std::net::IpAddr;

/// An address is red only with more rejected requests than this, after decay.
const RED_MIN_REJECTED: f64 = 8.0;

/// An address is red only with more rejected requests than this for each served one.
const RED_REJECTED_PER_SERVED: f64 = 4.0;

/// The admission priority of an address, lowest first: connections of the lowest priority are rejected first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Many more of its recent requests were rejected than served.
    Red,
    /// No recent request was served within quota.
    Unknown,
    /// A recent request was served within quota, or the settings name the address.
    Known,
    /// Known through an account with a preferred plan.
    Preferred,
}

impl Admission {
    /// Returns the priority of an address.
    pub fn priority(&self, now: Micros, address: IpAddr) -> Priority {
        let address = canonical(address);
        if let Some(state) = self.addresses.get(&address) {
            let decay = (-(now.saturating_sub(state.counted_at) as f64) / REQUEST_COUNT_DECAY_MICROS).exp();
            if state.rejected * decay > RED_MIN_REJECTED
                && state.rejected > RED_REJECTED_PER_SERVED * state.served
            {
                return Priority::Red;
            }
        }
        match self.known_clients.lookup(now, address) {
            Some(KnownTier::Preferred) => Priority::Preferred,
            Some(KnownTier::Standard) => Priority::Known,
            None => Priority::Unknown,
        }
    }

    /// Counts a connection under the current priority of its address.
    pub(super) fn update_priority(&mut self, now: Micros, id: ConnId) {
        let Some(address) = self.connections.get(&id).map(|c| c.address) else { return };
        let priority = self.priority(now, address);
        let Some(connection) = self.connections.get_mut(&id).filter(|c| c.priority != priority) else {
            return;
        };
        self.open_by_priority[connection.priority as usize] -= 1;
        self.open_by_priority[priority as usize] += 1;
        if self.idle_by_priority[connection.priority as usize].remove(&(connection.since, id)) {
            self.idle_by_priority[priority as usize].insert((connection.since, id));
        }
        connection.priority = priority;
    }
}
