//! Decides which of discovery's lists are applied, and translates them for the core. Performs no I/O and reads no clock.

use crate::endpoint_list::{backend_id, EndpointList, EndpointRecord};
use chalkgap_core::{Availability, BackendId, Endpoint, EndpointUpdate, Micros};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of backends in a list.
const MAX_ENDPOINTS: usize = 20_000;
/// A list that is older than the current one is applied only if older lists, and no others, have arrived for this time. Usually
/// such a list comes from a discovery agent that serves outdated data, but the discovery service may also have restarted its
/// version numbers.
const STALE_LIST_DELAY_MICROS: Micros = 3_000_000;
/// For this time after an older list is applied, backends that the newer list had withdrawn stay unavailable, unless they have
/// restarted. The older list may be outdated: an agent that has served outdated data for long looks the same as a discovery
/// service that has restarted its version numbers.
const WITHDRAWAL_MICROS: Micros = 60_000_000;

/// An update of the endpoints, for the core.
#[derive(Clone, Debug)]
pub struct EndpointChange {
    /// Whether the update replaces all endpoints or changes some of them.
    pub update: EndpointUpdate,
    /// The endpoints and their addresses.
    pub endpoints: Vec<(Endpoint, SocketAddr)>,
}

/// Why a list is not applied. The current list stays in effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectedList {
    /// The list is older than the current one. It could make backends available again that are draining or removed.
    #[error("list {found} is older than the current one, {current}: the agent serves outdated data")]
    Stale {
        /// The version of the rejected list.
        found: u64,
        /// The version of the current list.
        current: u64,
    },
    /// The list names too many backends.
    #[error("list {found}: expected at most {MAX_ENDPOINTS} backends, found {endpoints}")]
    TooLong {
        /// The version of the rejected list.
        found: u64,
        /// The number of backends that it names.
        endpoints: usize,
    },
}

/// A backend that a list reported as draining or removed, or no longer names.
struct Withdrawal {
    /// When the backend had been started. A later start ends the withdrawal.
    started_at: Micros,
    withdrawn_at: Micros,
}

/// The state of the endpoints after the lists applied so far.
#[derive(Default)]
pub struct EndpointSet {
    zone_names: Vec<String>,
    machine_kinds: Vec<String>,
    /// The version of the current list.
    version: u64,
    /// When the first older list since the last applied one arrived; `None` if none has arrived.
    stale_since: Option<Micros>,
    /// The ready backends and when each was started.
    ready: BTreeMap<BackendId, Micros>,
    /// The withdrawn backends, at most `MAX_ENDPOINTS`.
    withdrawn: BTreeMap<BackendId, Withdrawal>,
    /// The highest version applied since discovery's version numbers last restarted.
    newest_version: u64,
    /// When a list older than `newest_version` was first applied; `None` if the current list is the newest.
    rolled_back_at: Option<Micros>,
}

impl EndpointSet {
    /// Creates an empty set. The names are those of the settings, in the same order.
    pub fn new(zone_names: Vec<String>, machine_kinds: Vec<String>) -> Self {
        EndpointSet { zone_names, machine_kinds, ..EndpointSet::default() }
    }

    /// Returns the number of known backends, withdrawn ones included.
    pub fn len(&self) -> usize {
        self.ready.len() + self.withdrawn.len()
    }

    /// Whether no backend is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether a list has been applied.
    pub fn has_list(&self) -> bool {
        !self.is_empty()
    }

    /// Returns the version of the current list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies the list that was cached before the ingress restarted.
    pub fn restore_cached(&mut self, now: Micros, list: &EndpointList) -> EndpointChange {
        self.version = list.version;
        self.newest_version = list.version;
        let endpoints = self.translate(list);
        self.record(now, list.is_complete, &endpoints);
        EndpointChange { update: EndpointUpdate::Cached, endpoints }
    }

    /// Applies a list from discovery.
    ///
    /// # Errors
    /// [`RejectedList::Stale`] if the list is older than the current one, [`RejectedList::TooLong`] if it names more than
    /// 20,000 backends.
    pub fn apply(&mut self, now: Micros, list: &EndpointList) -> Result<EndpointChange, RejectedList> {
        self.check(now, list)?;
        self.stale_since = None;
        Ok(self.accept(now, list))
    }

    /// Applies a list from an address of discovery that is no longer the current one. `base` is the version that the same call
    /// had told before, or that was current when the call was made. Returns `None` if the list brings nothing new: only a newer
    /// version counts, and changes only if no change between `base` and the current version is missing.
    pub fn apply_from_former_address(
        &mut self,
        now: Micros,
        list: &EndpointList,
        base: u64,
    ) -> Option<EndpointChange> {
        let is_usable = list.endpoints.len() <= MAX_ENDPOINTS && (list.is_complete || base <= self.version);
        (is_usable && list.version > self.version).then(|| self.accept(now, list))
    }

    /// Whether a list of the current address, told by a call that knew the version `base`, is older than the current list only
    /// because a former address has told a newer one meanwhile. It is not outdated then, and brings nothing new.
    pub fn is_overtaken(&self, list: &EndpointList, base: u64) -> bool {
        base <= list.version && list.version < self.version
    }

    fn accept(&mut self, now: Micros, list: &EndpointList) -> EndpointChange {
        self.version = list.version;
        self.track_rollback(now, list.version);
        let mut endpoints = self.translate(list);
        if self.rolled_back_at.is_some() {
            self.keep_withdrawn(&mut endpoints);
        }
        self.record(now, list.is_complete, &endpoints);
        let update = if list.is_complete { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta };
        EndpointChange { update, endpoints }
    }

    fn check(&mut self, now: Micros, list: &EndpointList) -> Result<(), RejectedList> {
        if list.endpoints.len() > MAX_ENDPOINTS {
            return Err(RejectedList::TooLong { found: list.version, endpoints: list.endpoints.len() });
        }
        if list.version >= self.version {
            return Ok(());
        }
        let stale_since = *self.stale_since.get_or_insert(now);
        if !list.is_complete || now < stale_since + STALE_LIST_DELAY_MICROS {
            return Err(RejectedList::Stale { found: list.version, current: self.version });
        }
        Ok(())
    }

    /// Records whether the applied version is older than one applied before. For `WITHDRAWAL_MICROS` it is unknown whether
    /// discovery has restarted its version numbers or an agent serves outdated data; after that, a restart is assumed.
    fn track_rollback(&mut self, now: Micros, version: u64) {
        if version < self.newest_version {
            let rolled_back_at = *self.rolled_back_at.get_or_insert(now);
            if now < rolled_back_at + WITHDRAWAL_MICROS {
                return;
            }
        }
        self.newest_version = version;
        self.rolled_back_at = None;
    }

    /// Marks backends of an older list as draining if a newer list has withdrawn them and they have not restarted since.
    fn keep_withdrawn(&self, endpoints: &mut [(Endpoint, SocketAddr)]) {
        for (endpoint, _) in endpoints {
            let withdrawal = self.withdrawn.get(&endpoint.backend);
            let same_start = withdrawal.is_some_and(|w| w.started_at == endpoint.started_at);
            if endpoint.availability == Availability::Ready && same_start {
                endpoint.availability = Availability::Draining;
            }
        }
    }

    /// Records which backends are ready and which have been withdrawn.
    fn record(&mut self, now: Micros, is_complete: bool, endpoints: &[(Endpoint, SocketAddr)]) {
        let mut no_longer_listed =
            if is_complete { std::mem::take(&mut self.ready) } else { BTreeMap::new() };
        for (endpoint, _) in endpoints {
            no_longer_listed.remove(&endpoint.backend);
            if endpoint.availability == Availability::Ready {
                self.withdrawn.remove(&endpoint.backend);
                self.ready.insert(endpoint.backend, endpoint.started_at);
            } else {
                let started_at = self.ready.remove(&endpoint.backend).unwrap_or(endpoint.started_at);
                let withdrawal = Withdrawal { started_at, withdrawn_at: now };
                self.withdrawn.entry(endpoint.backend).or_insert(withdrawal);
            }
        }
        for (backend, started_at) in no_longer_listed {
            self.withdrawn.insert(backend, Withdrawal { started_at, withdrawn_at: now });
        }
        // During a rollback no withdrawal expires: the current list may be outdated, and would otherwise make the withdrawn
        // backends available again.
        let rolled_back = self.rolled_back_at.is_some();
        self.withdrawn.retain(|_, w| rolled_back || now < w.withdrawn_at + WITHDRAWAL_MICROS);
        // Limits the size of the map. Those with the lowest backend ids are dropped, regardless of their age.
        while self.withdrawn.len() > MAX_ENDPOINTS {
            self.withdrawn.pop_first();
        }
    }

    fn translate(&self, list: &EndpointList) -> Vec<(Endpoint, SocketAddr)> {
        list.endpoints.iter().map(|record| (self.endpoint(record), record.address)).collect()
    }

    fn endpoint(&self, record: &EndpointRecord) -> Endpoint {
        // A name that is not in the settings gets an index beyond all of theirs.
        let zone = index_of(&self.zone_names, &record.zone);
        let kind = index_of(&self.machine_kinds, &record.machine_kind);
        Endpoint {
            backend: backend_id(&record.name),
            zone: zone.min(255) as u8,
            cell: record.cell,
            kind: kind.min(65_535) as u16,
            availability: record.health.into(),
            weight: record.weight,
            started_at: record.started_at_millis.saturating_mul(1000),
        }
    }
}

/// Returns the index of a name, or the number of names if it is not among them.
fn index_of(names: &[String], name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or(names.len())
}
