//! Probing dead members and seeds, by which partitions heal and a new member finds the fleet.

use crate::membership::Membership;
use crate::probing::Purpose;
use crate::view::MemberState;
use crate::{MemberId, Micros, ANY_MEMBER};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Interval between probes of dead members and seeds, in protocol periods.
const RECONNECT_INTERVAL_PERIODS: u64 = 4;

impl Membership {
    /// Probes the next dead member or seed every [`RECONNECT_INTERVAL_PERIODS`] periods, or in each period while this
    /// member knows no other live member. Called once per period.
    pub(crate) fn reconnect_if_due(&mut self, now: Micros) {
        if self.periods % RECONNECT_INTERVAL_PERIODS != 0 && self.view.live_count() != 1 {
            return;
        }
        let candidates = self.reconnect_candidates();
        if candidates.is_empty() {
            return;
        }
        self.reconnect_index = (self.reconnect_index + 1) % candidates.len();
        let (target, address) = candidates[self.reconnect_index];
        self.probe(now, target, address, Purpose::Reconnect);
    }

    /// Returns the dead members, and the seeds at whose addresses no member is known.
    fn reconnect_candidates(&self) -> Vec<(MemberId, SocketAddr)> {
        let known_addresses: BTreeSet<SocketAddr> =
            self.view.members().map(|member| member.record.address).collect();
        let dead = self.view.members().filter(|member| member.record.state == MemberState::Dead);
        let dead = dead.map(|member| (member.record.id, member.record.address));
        let seeds = self.config.seeds.iter().filter(|seed| !known_addresses.contains(*seed));
        dead.chain(seeds.map(|seed| (ANY_MEMBER, *seed))).collect()
    }
}
