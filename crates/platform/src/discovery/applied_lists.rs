//! The lists that are in effect: records which of discovery's lists are applied, and publishes them to the driver in the same step.

use super::call::ReceivedList;
use super::error::DiscoveryError;
use crate::endpoint_set::{EndpointChange, EndpointSet};
use async_channel::Sender;
use chalkgap::frontend::EndpointPublisher;
use chalkgap_runtime::Shared;
use chalkgap_transport::{MemoryBudget, MemoryReservation};
use std::net::SocketAddr;
use std::sync::Arc;

/// Upper bound of the memory of an endpoint: its records in the endpoint set, the driver and the core, and its share of a list
/// that is being applied.
const ENDPOINT_BYTES: usize = 1536;

/// What became of a list of the current address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListOutcome {
    Applied,
    /// A former address has told a newer list meanwhile.
    Overtaken,
}

/// The only owner of the endpoint set and of the way to the driver. No method waits, so that a list is either recorded and
/// published, or neither.
pub(super) struct AppliedLists {
    runtime: Shared,
    endpoints: EndpointSet,
    driver: EndpointPublisher,
    /// Closed when the first list has been applied.
    first_list: Sender<()>,
    /// The memory of the known endpoints.
    memory: MemoryReservation,
}

impl AppliedLists {
    pub(super) fn new(
        runtime: Shared,
        endpoints: EndpointSet,
        driver: EndpointPublisher,
        first_list: Sender<()>,
        memory: MemoryReservation,
    ) -> AppliedLists {
        let mut lists = AppliedLists { runtime, endpoints, driver, first_list, memory };
        lists.count_endpoints();
        lists
    }

    /// Whether a list has been applied.
    pub(super) fn has_list(&self) -> bool {
        self.endpoints.has_list()
    }

    /// Returns the version of the current list.
    pub(super) fn version(&self) -> u64 {
        self.endpoints.version()
    }

    /// Returns the budget that limits lists which are being received.
    pub(super) fn memory(&self) -> &Arc<MemoryBudget> {
        self.memory.budget()
    }

    /// Whether the driver has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.driver.is_closed()
    }

    /// Applies a list of the current address.
    pub(super) fn apply(
        &mut self,
        address: SocketAddr,
        received: &ReceivedList,
    ) -> Result<ListOutcome, DiscoveryError> {
        if self.is_closed() {
            return Err(DiscoveryError::Stopped);
        }
        let ReceivedList { list, base } = received;
        if self.endpoints.is_overtaken(list, *base) {
            let current = self.endpoints.version();
            tracing::debug!(discovery = %address, version = list.version, current, "endpoint list overtaken by a former address");
            return Ok(ListOutcome::Overtaken);
        }
        let change = self.endpoints.apply(self.runtime.now(), list)?;
        self.publish(address, received, change);
        Ok(ListOutcome::Applied)
    }

    /// Applies a list of a former address if it brings something new.
    pub(super) fn apply_from_former_address(&mut self, address: SocketAddr, received: &ReceivedList) {
        let ReceivedList { list, base } = received;
        match self.endpoints.apply_from_former_address(self.runtime.now(), list, *base) {
            Some(change) => self.publish(address, received, change),
            None => {
                let current = self.endpoints.version();
                tracing::debug!(discovery = %address, version = list.version, base, current, "endpoint list of a former address not applied");
            }
        }
    }

    fn publish(&mut self, address: SocketAddr, received: &ReceivedList, change: EndpointChange) {
        let EndpointChange { update, endpoints } = change;
        self.count_endpoints();
        let list = &received.list;
        tracing::debug!(
            discovery = %address,
            version = list.version,
            endpoints = endpoints.len(),
            complete = list.is_complete,
            "endpoint list accepted"
        );
        self.driver.publish(update, endpoints);
        self.first_list.close();
    }

    /// Counts the memory of the endpoints. They are known whether there is memory or not: without them no request is served.
    fn count_endpoints(&mut self) {
        self.memory.resize(self.endpoints.len() * ENDPOINT_BYTES);
    }
}
