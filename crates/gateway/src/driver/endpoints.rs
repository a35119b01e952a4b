//! Applies endpoint lists and changes to them.

use super::{Driver, ListedProcess, PendingUpdate};
use crate::messages::Upstream;
use crate::node_list::NodeList;
use crate::telemetry::add;
use chalkgap_core::{Availability, BackendId, Endpoint, EndpointUpdate, Event};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

impl<U: Upstream> Driver<U> {
    /// Applies a complete node list. An invalid list is dropped, and the last valid one stays in force.
    pub(super) fn on_node_list(&mut self, list: &NodeList, cached: bool) {
        let endpoints = match self.endpoint_ids.convert(list) {
            Ok(endpoints) => endpoints,
            Err(error) => {
                add(&self.telemetry.lists_bad);
                tracing::warn!(revision = list.revision, %error, "node list rejected, keeping the last one");
                return;
            }
        };
        add(&self.telemetry.lists);
        tracing::info!(revision = list.revision, nodes = endpoints.len(), cached, "node list");
        if let Some(cache) = self.list_cache.as_ref().filter(|_| !cached) {
            // If the channel is full, this drops its oldest list: only the newest has to be stored.
            let _ = cache.force_send(list.clone());
        }
        let ids = &self.endpoint_ids;
        let endpoints = endpoints
            .into_iter()
            .filter_map(|endpoint| Some((endpoint, ids.address(endpoint.backend)?)))
            .collect();
        let update = if cached { EndpointUpdate::Cached } else { EndpointUpdate::Snapshot };
        self.on_endpoints(update, endpoints);
    }

    /// Applies what discovery has published.
    pub(super) fn on_endpoint_update(&mut self, pending: PendingUpdate) {
        let PendingUpdate { update, endpoints, published_at } = pending;
        let waited_us = self.runtime.now().saturating_sub(published_at);
        let queued_events = self.events.len();
        tracing::debug!(
            ?update,
            endpoints = endpoints.len(),
            waited_us,
            queued_events,
            "endpoint list taken by the driver"
        );
        self.on_endpoints(update, endpoints);
    }

    /// Applies a snapshot of the endpoints or a change to them.
    fn on_endpoints(&mut self, update: EndpointUpdate, endpoints: Vec<(Endpoint, SocketAddr)>) {
        let mut before = match update {
            EndpointUpdate::Snapshot | EndpointUpdate::Cached => std::mem::take(&mut self.listed),
            EndpointUpdate::Delta | EndpointUpdate::Failed => BTreeMap::new(),
        };
        // Another process is at the end of their connections now.
        let mut replaced = BTreeSet::new();
        for (endpoint, address) in &endpoints {
            if endpoint.availability == Availability::Gone {
                let removed = self.listed.remove(&endpoint.backend);
                before.extend(removed.map(|process| (endpoint.backend, process)));
                continue;
            }
            let process = ListedProcess { address: *address, started_at: endpoint.started_at };
            let previous = self.listed.insert(endpoint.backend, process);
            let previous = previous.or_else(|| before.get(&endpoint.backend).copied());
            if previous.is_some_and(|previous| previous != process) {
                replaced.insert(endpoint.backend);
            }
        }
        let listed = &self.listed;
        self.connections.retain(&|backend| listed.contains_key(&backend) && !replaced.contains(&backend));
        let not_ready = endpoints.iter().filter(|(endpoint, _)| endpoint.availability != Availability::Ready);
        let not_ready = not_ready.map(|(endpoint, _)| endpoint.backend);
        self.cancel_unsent_attempts_to(&not_ready.chain(replaced).collect());
        let endpoints = endpoints.into_iter().map(|(endpoint, _)| endpoint).collect();
        self.handle(Event::Endpoints(update, endpoints));
    }

    /// Cancels the attempts that are not written yet and whose backend is one of `unusable` or no longer listed. Otherwise
    /// they would reach a draining backend, possibly after its grace period, or another process than the one chosen.
    fn cancel_unsent_attempts_to(&mut self, unusable: &BTreeSet<BackendId>) {
        for (id, in_flight) in self.in_flight.iter() {
            for (number, attempt) in in_flight.attempts_on_connections() {
                let listed = self.listed.contains_key(&attempt.backend);
                if !listed || unusable.contains(&attempt.backend) {
                    self.connections.cancel_unsent(attempt.connection, id, number);
                }
            }
        }
    }
}
