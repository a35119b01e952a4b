//! The checks of a new connection.

use super::{prefixes_of, Admission, ConnId, Priority, Reason};
use crate::cidr_block::CidrBlock;
use crate::Micros;
use std::net::IpAddr;

/// The fraction of the capacity of unknown addresses that red ones may use.
const RED_CAPACITY_FRACTION: f64 = 0.5;

/// The limits by address are multiplied by this for known addresses.
const KNOWN_LIMIT_FACTOR: u32 = 4;

/// Time after which a rejected client may connect again, unless it was rejected for its rate of attempts.
const DEFAULT_RETRY_AFTER: Micros = 1_000_000;

impl Admission {
    /// Returns the number of open connections, of all priorities, at which a new connection of this priority is rejected.
    fn capacity_for(&self, priority: Priority) -> u64 {
        let all = self.budget.clients as f64;
        let reserved_fraction = match priority {
            Priority::Preferred => 0.0,
            Priority::Known => self.caps.preferred_reserve,
            Priority::Unknown | Priority::Red => self.caps.reserve.max(self.caps.preferred_reserve),
        };
        let capacity = all - (all * reserved_fraction).ceil();
        (if priority == Priority::Red { capacity * RED_CAPACITY_FRACTION } else { capacity }).max(0.0) as u64
    }

    /// Checks a new connection against all limits. Returns the connection to evict for it, if one must be.
    ///
    /// # Errors
    /// The connection is rejected: the reason, and the time after which the client may connect again.
    pub(super) fn check(
        &mut self,
        now: Micros,
        address: IpAddr,
        priority: Priority,
    ) -> Result<Option<ConnId>, (Reason, Micros)> {
        let caps = self.caps;
        let known = priority >= Priority::Known;
        let factor = if known { KNOWN_LIMIT_FACTOR } else { 1 };
        let is_new = !self.addresses.contains_key(&address);
        let state = self.addresses.entry(address).or_default();
        // Rejected attempts take a token too: a client that retries without a pause waits the longest.
        let rate = (caps.per_second * f64::from(factor)).max(1.0);
        if is_new {
            state.attempt_tokens = rate;
        }
        let elapsed_seconds = now.saturating_sub(state.last_attempt) as f64 / 1e6;
        state.attempt_tokens = (state.attempt_tokens + elapsed_seconds * rate).min(rate);
        let previous_attempt = state.last_attempt;
        state.last_attempt = state.last_attempt.max(now);
        let has_token = state.attempt_tokens >= 1.0;
        if has_token {
            state.attempt_tokens -= 1.0;
        }
        if state.open == 0 {
            self.unconnected_addresses.remove(&(previous_attempt, address));
            self.unconnected_addresses.insert((state.last_attempt, address));
        }
        if !has_token {
            return Err((Reason::Rate, (1e6 / rate) as Micros));
        }
        if state.open >= caps.per_address.saturating_mul(factor) {
            return Err((Reason::Address, DEFAULT_RETRY_AFTER));
        }
        let address_handshakes_full = state.handshaking >= caps.handshakes_per_address;
        if !known && (address_handshakes_full || self.handshaking >= caps.handshakes) {
            return Err((Reason::Handshakes, DEFAULT_RETRY_AFTER));
        }
        // Known clients get a quarter more, so that a flood of incomplete handshakes does not keep them out.
        if known && self.handshaking > caps.handshakes + caps.handshakes / 4 {
            return Err((Reason::Handshakes, DEFAULT_RETRY_AFTER));
        }
        if !known {
            let is_full =
                |(block, max): (CidrBlock, u32)| self.prefixes.get(&block).is_some_and(|n| *n >= max);
            if prefixes_of(address, caps.per_prefix).into_iter().flatten().any(is_full) {
                return Err((Reason::Prefix, DEFAULT_RETRY_AFTER));
            }
        }
        // An evicted connection holds its descriptor until it is closed; the new one uses a spare descriptor meanwhile.
        // Lingering connections do not count, because they are aborted when descriptors are needed.
        let not_yet_lingering = self.closing - self.lingering.len() as u64 - self.aborting;
        let has_free_descriptor = self.open_connections() < self.budget.clients + self.budget.spare;
        let may_evict = has_free_descriptor && not_yet_lingering < self.budget.spare;
        let serving = self.open_connections() - self.closing;
        if may_evict && caps.idle_eviction.is_some_and(|eviction| serving >= eviction.min_open_connections) {
            if let Some(evicted) = self.longest_idle(now) {
                return Ok(Some(evicted));
            }
        }
        if serving < self.capacity_for(priority) {
            return if has_free_descriptor { Ok(None) } else { Err((Reason::Full, DEFAULT_RETRY_AFTER)) };
        }
        // A known client may evict an idle connection of a red or unknown address.
        if !known || !may_evict {
            return Err((Reason::Full, DEFAULT_RETRY_AFTER));
        }
        let evictable = [Priority::Red, Priority::Unknown];
        let evicted = evictable.iter().find_map(|priority| self.idle_by_priority[*priority as usize].first());
        evicted.map(|(_, id)| Some(*id)).ok_or((Reason::Full, DEFAULT_RETRY_AFTER))
    }

    /// Returns the connection that [`IdleEviction`] selects: the longest idle one, if it has been idle for long enough.
    /// Connections with a completed handshake are selected first: their requests were answered, while one with an
    /// incomplete handshake may be about to send its first request.
    fn longest_idle(&self, now: Micros) -> Option<ConnId> {
        let eviction = self.caps.idle_eviction?;
        let is_due = |entry: &&(Micros, ConnId), after: Micros| entry.0.saturating_add(after) <= now;
        let idle = self.idle_after_handshake.first().filter(|entry| is_due(entry, eviction.idle_after));
        let handshaking =
            || self.idle_before_handshake.first().filter(|entry| is_due(entry, eviction.handshake_after));
        idle.or_else(handshaking).map(|entry| entry.1)
    }
}
