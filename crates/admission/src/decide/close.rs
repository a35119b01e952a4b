//! Eviction, lingering and the close of connections.

use super::{prefixes_of, Admission, ConnId, Priority, Stage};
use crate::{DescriptorBudget, Micros};

impl Admission {
    /// Moves a connection from [`Stage::Serving`] to [`Stage::Closing`].
    pub(super) fn start_closing(&mut self, id: ConnId) {
        let Some(connection) = self.connections.get_mut(&id).filter(|c| c.stage == Stage::Serving) else {
            return;
        };
        connection.stage = Stage::Closing;
        self.closing += 1;
        self.idle_by_priority[connection.priority as usize].remove(&(connection.since, id));
        self.idle_before_handshake.remove(&(connection.since, id));
        self.idle_after_handshake.remove(&(connection.since, id));
    }

    /// Records that the last bytes of a connection are written and that it only waits for the peer to close its side; an
    /// earlier close could reset the connection before the peer has read those bytes. A lingering connection can lose its
    /// descriptor to another one, see [`Admission::take_lingering_to_abort`].
    pub fn linger_started(&mut self, now: Micros, id: ConnId) {
        self.time_without_stalls(now);
        self.start_closing(id);
        if let Some(connection) = self.connections.get_mut(&id).filter(|c| c.stage == Stage::Closing) {
            connection.stage = Stage::Lingering;
            connection.since = now;
            self.lingering.insert((now, id));
        }
    }

    /// Returns the lingering connections that the caller must close now because their descriptors are needed, the longest
    /// lingering first: as many as it takes until half of the spare descriptors are free for evictions.
    pub fn take_lingering_to_abort(&mut self) -> Vec<ConnId> {
        let max_open = self.budget.clients + self.budget.spare / 2;
        let excess = (self.open_connections() - self.aborting).saturating_sub(max_open);
        let aborted: Vec<ConnId> = std::iter::from_fn(|| self.lingering.pop_first())
            .take(excess as usize)
            .map(|(_, id)| id)
            .collect();
        for id in &aborted {
            if let Some(connection) = self.connections.get_mut(id) {
                connection.stage = Stage::Aborting;
                self.aborting += 1;
            }
        }
        aborted
    }

    /// Records that an evicted connection stays open because it has a request, or is receiving one. It counts as idle
    /// from `now` on, so it is the last to be selected for eviction again.
    pub fn eviction_refused(&mut self, now: Micros, id: ConnId) {
        if let Some(connection) = self.connections.get_mut(&id).filter(|c| c.stage == Stage::Closing) {
            connection.stage = Stage::Serving;
            self.closing -= 1;
            if connection.open_requests == 0 {
                connection.since = now;
                self.idle_by_priority[connection.priority as usize].insert((now, id));
                let idle = if connection.handshaking {
                    &mut self.idle_before_handshake
                } else {
                    &mut self.idle_after_handshake
                };
                idle.insert((now, id));
            }
        }
    }

    /// Records that a connection is closed, and its descriptor free.
    pub fn closed(&mut self, now: Micros, id: ConnId) {
        self.time_without_stalls(now);
        // Releases the handshake counts of a connection that closes before its handshake is complete.
        self.handshake_completed(now, id);
        let Some(connection) = self.connections.remove(&id) else { return };
        self.closing -= u64::from(connection.stage != Stage::Serving);
        self.aborting -= u64::from(connection.stage == Stage::Aborting);
        self.lingering.remove(&(connection.since, id));
        self.open_by_priority[connection.priority as usize] -= 1;
        self.idle_by_priority[connection.priority as usize].remove(&(connection.since, id));
        self.idle_after_handshake.remove(&(connection.since, id));
        for (block, _) in prefixes_of(connection.address, 0).into_iter().flatten() {
            if let Some(open) = self.prefixes.get_mut(&block) {
                *open -= 1;
                if *open == 0 {
                    self.prefixes.remove(&block);
                }
            }
        }
        if let Some(state) = self.addresses.get_mut(&connection.address) {
            state.open -= 1;
            if state.open == 0 {
                self.unconnected_addresses.insert((state.last_attempt, connection.address));
            }
        }
        self.remove_excess_addresses();
    }

    /// Sets a new budget. Returns the idle connections that the caller must evict for it. Connections with an open request
    /// are not evicted, even if they exceed the budget.
    pub fn set_budget(&mut self, now: Micros, budget: DescriptorBudget) -> Vec<ConnId> {
        self.time_without_stalls(now);
        self.budget = budget;
        let mut evicted = Vec::new();
        let order = [Priority::Red, Priority::Unknown, Priority::Known, Priority::Preferred];
        for priority in order {
            while self.open_connections() - self.closing > self.budget.clients {
                let Some((_, id)) = self.idle_by_priority[priority as usize].first().copied() else { break };
                self.start_closing(id);
                evicted.push(id);
            }
        }
        evicted
    }
}
