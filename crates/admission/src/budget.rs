//! How a process's descriptors are split. Nodes, peers and files have theirs whatever clients do; clients have what
//! is left, and a few are spare, to refuse with and to bridge an eviction.

/// What is set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Split {
    /// Listeners and what a runtime needs for itself.
    pub listeners: u64,
    /// Connections to nodes.
    pub nodes: u64,
    /// Sockets and streams between ingresses.
    pub peers: u64,
    /// Files: node lists, snapshots, logs.
    pub files: u64,
    /// Connections that are being refused, and those that come in while another is evicted.
    pub spare: u64,
    /// The most that clients may have, however many descriptors there are.
    pub most_clients: u64,
}

/// The split of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Clients' connections.
    pub clients: u64,
    /// Connections to nodes.
    pub nodes: u64,
    /// Connections that are being refused or come in early.
    pub spare: u64,
}

/// The limit is too low for what is set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{limit} descriptors, but {aside} are set aside (listeners, nodes, peers, files, spare) and clients need {least}: \
     raise the limit or lower `descriptors`"
)]
pub struct BudgetError {
    /// The process's limit.
    pub limit: u64,
    /// The sum of what is set aside.
    pub aside: u64,
    /// The least that clients need.
    pub least: u64,
}

impl Split {
    /// Splits a limit; `least` is what clients need at the very least.
    ///
    /// # Errors
    /// What is set aside leaves less.
    pub fn of(&self, limit: u64, least: u64) -> Result<Budget, BudgetError> {
        let aside = [self.listeners, self.nodes, self.peers, self.files, self.spare]
            .iter()
            .fold(0u64, |sum, n| sum.saturating_add(*n));
        let clients = limit.saturating_sub(aside).min(self.most_clients);
        if clients < least.max(1) {
            return Err(BudgetError { limit, aside, least: least.max(1) });
        }
        Ok(Budget { clients, nodes: self.nodes, spare: self.spare })
    }
}
