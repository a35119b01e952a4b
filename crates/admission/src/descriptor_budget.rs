//! Division of the process's file descriptor limit. Upstream nodes, peers and files have fixed reservations; clients get
//! the rest. Spare descriptors serve connections that are being rejected, and new connections while the connection
//! evicted for them is still closing.

/// Descriptors reserved for other uses than clients, and the maximum for clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorReservations {
    /// Listeners, and the descriptors of the runtime itself.
    pub listeners: u64,
    /// Connections to upstream nodes.
    pub nodes: u64,
    /// Sockets and streams between ingresses.
    pub peers: u64,
    /// Files, such as node lists, snapshots and logs.
    pub files: u64,
    /// Connections that are being rejected, and new connections while those evicted for them are closing.
    pub spare: u64,
    /// Maximum number of client connections, even if more descriptors are left.
    pub max_clients: u64,
}

/// The descriptors for each use under a given limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBudget {
    /// Client connections.
    pub clients: u64,
    /// Connections to upstream nodes.
    pub nodes: u64,
    /// Connections that are being rejected, and new connections while those evicted for them are closing.
    pub spare: u64,
}

/// Error: the descriptor limit is too low for the reservations and the minimum for clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{limit} descriptors, but {reserved} are set aside (listeners, nodes, peers, files, spare) and clients need \
     {min_clients}: raise the limit or lower `descriptors`"
)]
pub struct BudgetError {
    /// The descriptor limit of the process.
    pub limit: u64,
    /// The sum of the reservations.
    pub reserved: u64,
    /// The minimum for clients.
    pub min_clients: u64,
}

impl DescriptorReservations {
    /// Splits a descriptor limit. Clients must get at least `min_clients`, and at least one.
    ///
    /// # Errors
    /// The reservations leave fewer than that for clients.
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
