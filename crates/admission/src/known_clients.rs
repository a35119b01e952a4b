//! Known clients: addresses with a recent request that was served within quota, and blocks that the settings name.
//!
//! The table has a maximum size. Only a served request adds an address, so rejected requests cannot evict any. Served
//! requests can, but each account has a limited number of addresses and evicts its own oldest one first. A full table
//! evicts the address whose last served request is the oldest.

use crate::cidr_block::{canonical, CidrBlock};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

mod snapshot;

pub use snapshot::SnapshotError;

/// Minimum time between two updates of an address, so that not every request writes to the table.
const UPDATE_INTERVAL: Micros = 1_000_000;

/// A known address. The serialized field names are part of the snapshot format.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    address: IpAddr,
    #[serde(rename = "served")]
    last_served_at: Micros,
    account: u64,
    preferred: bool,
}

/// Limits of [`KnownClients`].
#[derive(Clone, Copy, Debug)]
pub struct KnownClientLimits {
    /// Maximum number of addresses in the table.
    pub max_addresses: usize,
    /// Maximum number of addresses that become known through one account.
    pub max_per_account: usize,
    /// Time for which an address stays known after its last served request, in microseconds.
    pub remember_for: Micros,
}

/// What kind of plan made a client known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownTier {
    /// A plan that is not preferred, or a block in the settings.
    Standard,
    /// A preferred plan.
    Preferred,
}

/// Addresses by time of their last served request, oldest first.
type ByLastServed = BTreeSet<(Micros, IpAddr)>;

/// The table of known clients.
pub struct KnownClients {
    limits: KnownClientLimits,
    always_known: Vec<CidrBlock>,
    entries: BTreeMap<IpAddr, Entry>,
    by_last_served: ByLastServed,
    by_account: BTreeMap<u64, ByLastServed>,
}

impl KnownClients {
    /// Creates an empty table. Addresses in `always_known` are known without a served request.
    pub fn new(limits: KnownClientLimits, always_known: Vec<CidrBlock>) -> Self {
        KnownClients {
            limits,
            always_known,
            entries: BTreeMap::new(),
            by_last_served: BTreeSet::new(),
            by_account: BTreeMap::new(),
        }
    }

    /// Records that a request from `address` was served within the quota of `account`. `preferred`: whether the account's
    /// plan is preferred.
    pub fn record_served(&mut self, now: Micros, address: IpAddr, account: u64, preferred: bool) {
        let address = canonical(address);
        if let Some(entry) = self.entries.get(&address) {
            let is_same = entry.account == account && entry.preferred >= preferred;
            if is_same && now < entry.last_served_at + UPDATE_INTERVAL {
                return;
            }
        }
        self.remove(address);
        self.evict_for(account);
        if self.limits.max_addresses == 0 || self.limits.max_per_account == 0 {
            return;
        }
        self.entries.insert(address, Entry { address, last_served_at: now, account, preferred });
        self.by_last_served.insert((now, address));
        self.by_account.entry(account).or_default().insert((now, address));
    }

    /// Evicts addresses until one more address of `account` fits the limits.
    fn evict_for(&mut self, account: u64) {
        let own = self.by_account.get(&account).filter(|own| own.len() >= self.limits.max_per_account);
        if let Some((_, oldest)) = own.and_then(BTreeSet::first).copied() {
            self.remove(oldest);
        }
        if self.entries.len() >= self.limits.max_addresses {
            if let Some((_, oldest)) = self.by_last_served.first().copied() {
                self.remove(oldest);
            }
        }
    }

    fn remove(&mut self, address: IpAddr) {
        let Some(entry) = self.entries.remove(&address) else { return };
        self.by_last_served.remove(&(entry.last_served_at, address));
        if let Some(own) = self.by_account.get_mut(&entry.account) {
            own.remove(&(entry.last_served_at, address));
            if own.is_empty() {
                self.by_account.remove(&entry.account);
            }
        }
    }

    /// Returns the kind of plan through which an address is known; `None`: it is unknown.
    pub fn lookup(&self, now: Micros, address: IpAddr) -> Option<KnownTier> {
        let entry = self.entries.get(&canonical(address)).filter(|entry| !self.is_expired(now, entry));
        match entry {
            Some(entry) if entry.preferred => Some(KnownTier::Preferred),
            Some(_) => Some(KnownTier::Standard),
            None => {
                let is_always_known = self.always_known.iter().any(|block| block.contains(address));
                is_always_known.then_some(KnownTier::Standard)
            }
        }
    }

    fn is_expired(&self, now: Micros, entry: &Entry) -> bool {
        now > entry.last_served_at.saturating_add(self.limits.remember_for)
    }

    /// Returns the number of addresses in the table, expired ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
