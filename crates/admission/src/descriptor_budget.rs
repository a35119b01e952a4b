//! How the limit of a process's descriptors is split. Upstream nodes, peers and files have a reservation whatever clients
//! do; clients have the rest. A few are spare: for rejecting connections, and for a new connection while the one that is
//! evicted for it still closes.

/// Descriptors that clients cannot use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorReservations {
    /// Listeners and what a runtime needs for itself.
    pub listeners: u64,
    /// Connections to upstream nodes.
    pub nodes: u64,
    /// Sockets and streams between ingresses.
    pub peers: u64,
    /// Files: node lists, snapshots, logs.
    pub files: u64,
    /// Connections that are being rejected, and new ones while others are being evicted.
    pub spare: u64,
    /// The most that clients may have, however many descriptors there are.
    pub max_clients: u64,
}

/// The budget that a limit leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Connections of clients.
    pub clients: u64,
    /// Connections to upstream nodes.
    pub nodes: u64,
    /// Connections that are being rejected, and new ones while others are being evicted.
    pub spare: u64,
}

/// The limit is too low for the reservations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{limit} descriptors, but {reserved} are set aside (listeners, nodes, peers, files, spare) and clients need \
     {min_clients}: raise the limit or lower `descriptors`"
)]
pub struct BudgetError {
    /// The process's limit.
    pub limit: u64,
    /// The sum of the reservations.
    pub reserved: u64,
    /// The least that clients need.
    pub min_clients: u64,
}

impl DescriptorReservations {
    /// Splits a limit; clients must get at least `min_clients`, and at least one.
    ///
    /// # Errors
    /// The reservations leave fewer.
    pub fn split(&self, limit: u64, min_clients: u64) -> Result<DescriptorBudget, BudgetError> {
        let min_clients = min_clients.max(1);
        let reserved = [self.listeners, self.nodes, self.peers, self.files, self.spare]
            .iter()
            .fold(0u64, |sum, reservation| sum.saturating_add(*reservation));
        let clients = limit.saturating_sub(reserved).min(self.max_clients);
        if clients < min_clients {
            return Err(BudgetError { limit, reserved, min_clients });
        }
        Ok(DescriptorBudget { clients, nodes: self.nodes, spare: self.spare })
    }
}
