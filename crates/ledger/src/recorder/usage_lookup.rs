//! Requests whose outcome the ingress did not see: nodes are asked whether they ran. After a timeout the outcome is
//! presumed; an answer after that becomes a correction.

use super::Recorder;
use crate::entry::{Correction, Entry, EntryBody, EntryId, RequestOpened};
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A node's answer about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStatus {
    /// The request ran.
    Ran,
    /// The request has not run and will not run.
    NeverRan,
    /// The request is being processed.
    Running,
    /// The node has no records of the time of the request, so it cannot tell whether the request ran.
    Unknown,
}

/// A request about which a node is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupRequest {
    /// Id of the request's open entry.
    pub id: EntryId,
    /// The identifier of the request at the nodes.
    pub request: String,
}

/// A request whose outcome is unknown or presumed.
#[derive(Clone, Debug)]
pub(super) struct UnsettledRequest {
    request: String,
    account: String,
    plan: String,
    units: u64,
    opened_at: Micros,
    /// Nodes that may have run the request and have not answered.
    pub(super) nodes: BTreeSet<String>,
    /// When the outcome is presumed; if it is presumed already, when nodes are no longer asked.
    expires_at: Micros,
    pub(super) presumed: bool,
}

impl UnsettledRequest {
    pub(super) fn new(
        opened: &RequestOpened,
        opened_at: Micros,
        nodes: BTreeSet<String>,
        expires_at: Micros,
    ) -> Self {
        UnsettledRequest {
            request: opened.request.clone(),
            account: opened.account.clone(),
            plan: opened.plan.clone(),
            units: opened.units,
            opened_at,
            nodes,
            expires_at,
            presumed: false,
        }
    }
}

#[derive(Default)]
pub(super) struct UnsettledRequests {
    requests: BTreeMap<EntryId, UnsettledRequest>,
    /// The earliest time of the next lookup, for each node that was asked.
    next_lookup_at: BTreeMap<String, Micros>,
}

impl UnsettledRequests {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn insert(&mut self, id: EntryId, request: UnsettledRequest) {
        self.requests.insert(id, request);
    }

    fn expired(&self, now: Micros) -> Vec<EntryId> {
        let expired = self.requests.iter().filter(|(_, request)| request.expires_at <= now);
        expired.map(|(id, _)| *id).collect()
    }

    /// Drops requests with a presumed outcome, oldest first, until at most `limit` requests are left or none is
    /// presumed.
    fn drop_presumed_above(&mut self, limit: usize) {
        let excess = self.requests.len().saturating_sub(limit);
        let presumed = self.requests.iter().filter(|(_, request)| request.presumed);
        let dropped: Vec<EntryId> = presumed.map(|(id, _)| *id).take(excess).collect();
        for id in dropped {
            self.requests.remove(&id);
        }
    }

    fn lookups_due(
        &mut self,
        now: Micros,
        max_requests: usize,
        max_nodes: usize,
    ) -> BTreeMap<String, Vec<LookupRequest>> {
        let mut lookups: BTreeMap<String, Vec<LookupRequest>> = BTreeMap::new();
        self.next_lookup_at.retain(|_, at| *at > now);
        for (id, unsettled) in &self.requests {
            for node in unsettled.nodes.iter().filter(|node| !self.next_lookup_at.contains_key(*node)) {
                if lookups.len() >= max_nodes && !lookups.contains_key(node) {
                    continue;
                }
                let list = lookups.entry(node.clone()).or_default();
                if list.len() < max_requests {
                    list.push(LookupRequest { id: *id, request: unsettled.request.clone() });
                }
            }
        }
        lookups
    }
}

impl Recorder {
    /// Returns the lookups that are due, by node: at most `max_nodes` nodes, with at most `max_requests` requests each.
    /// The next lookup at these nodes is due after [`super::Config::lookup_interval`].
    pub fn lookups_due(
        &mut self,
        now: Micros,
        max_requests: usize,
        max_nodes: usize,
    ) -> BTreeMap<String, Vec<LookupRequest>> {
        if self.disk_failed {
            return BTreeMap::new();
        }
        let lookups = self.unsettled.lookups_due(now, max_requests, max_nodes);
        for node in lookups.keys() {
            let next_at = now + self.config.lookup_interval;
            self.unsettled.next_lookup_at.insert(node.clone(), next_at);
        }
        lookups
    }

    /// Handles a node's answer to a lookup of a request.
    pub fn lookup_answered(&mut self, now: Micros, id: EntryId, node: &str, status: RequestStatus) {
        let unsettled = self.unsettled.requests.get_mut(&id);
        let Some(unsettled) = unsettled.filter(|request| request.nodes.contains(node)) else { return };
        match status {
            RequestStatus::Running | RequestStatus::Unknown => {}
            RequestStatus::Ran => self.record_late_run(now, id, node),
            RequestStatus::NeverRan => {
                unsettled.nodes.remove(node);
                if !unsettled.nodes.is_empty() {
                    return;
                }
                let presumed = unsettled.presumed;
                self.unsettled.requests.remove(&id);
                // If the outcome was presumed, with 0 units, this settlement confirms it.
                self.write_never_ran(now, id);
                self.corrected += u64::from(presumed);
            }
        }
    }

    /// Records that an unsettled request ran, as a settlement or, if the outcome was presumed, as a correction.
    fn record_late_run(&mut self, now: Micros, id: EntryId, node: &str) {
        let Some(unsettled) = self.unsettled.requests.remove(&id) else { return };
        if !unsettled.presumed {
            return self.write_ran(now, id, unsettled.units, node.to_owned());
        }
        self.corrected += 1;
        let correction = Correction {
            ingress: id.ingress.into(),
            incarnation: id.incarnation,
            number: id.number,
            units: i64::try_from(unsettled.units).unwrap_or(i64::MAX),
            why: format!("{node} says that it ran"),
            account: unsettled.account,
            plan: unsettled.plan,
            period: self.periods.of(unsettled.opened_at),
        };
        self.append(now, EntryBody::Correction(correction));
    }

    /// Adds entries of earlier incarnations of this ingress that its disk had lost and other ingresses have returned.
    pub fn add_returned(&mut self, now: Micros, entries: &[Entry]) {
        let own = entries.iter().filter(|entry| entry.id.ingress == self.ingress);
        for entry in own.filter(|entry| entry.id.incarnation != self.incarnation) {
            self.recovery.add(entry);
            let opened_by = match &entry.body {
                EntryBody::RequestSettled(settled) if !settled.presumed => settled.opened_by(entry.id),
                // A correction without an incarnation is for a request of the incarnation that wrote the correction.
                EntryBody::Correction(correction)
                    if correction.incarnation == 0 && correction.ingress == u32::from(self.ingress) =>
                {
                    EntryId { number: correction.number, ..entry.id }
                }
                EntryBody::Correction(correction) => correction.opened_by(),
                _ => continue,
            };
            self.unsettled.requests.remove(&opened_by);
        }
        self.look_up_recovered(now);
    }

    /// Adds the unsettled requests of earlier incarnations, so that nodes are asked about them.
    pub(super) fn look_up_recovered(&mut self, now: Micros) {
        for (id, mut request) in self.recovery.take_unsettled() {
            let timeout = match request.presumed {
                true => self.config.correction_window,
                false => self.config.lookup_timeout,
            };
            request.expires_at = now + timeout;
            self.unsettled.requests.entry(id).or_insert(request);
        }
    }

    /// Presumes the outcomes of requests whose lookup has timed out, and drops requests whose correction window has
    /// ended.
    pub(super) fn presume_expired(&mut self, now: Micros) {
        for id in self.unsettled.expired(now) {
            let Some(mut request) = self.unsettled.requests.remove(&id) else { continue };
            if request.presumed {
                continue;
            }
            self.write_presumed(now, id);
            request.presumed = true;
            request.expires_at = now + self.config.correction_window;
            self.unsettled.requests.insert(id, request);
        }
    }

    /// Keeps the number of unsettled requests within its limit: drops requests with a presumed outcome first, then
    /// presumes the outcomes of the oldest requests and drops them.
    pub(super) fn presume_excess(&mut self, now: Micros) {
        let limit = self.config.max_unsettled;
        self.unsettled.drop_presumed_above(limit);
        while self.unsettled.len() > limit {
            let Some((id, _)) = self.unsettled.requests.pop_first() else { break };
            self.write_presumed(now, id);
        }
    }
}
