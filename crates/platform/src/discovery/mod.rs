//! Follows discovery as long as the ingress runs: requests the complete list of endpoints, then watches for changes.
//!
//! With [`Discovery::Push`] every attempt begins with the complete list. That also covers
//! changes missed between two watches, truncated lists and restarted version numbers. With
//! [`Discovery::Poll`] a watch from the version of the current list covers them in one
//! request.

mod answer_times;
mod backoff;
mod call;
mod error;
mod hedged_request;
mod hedging;
mod timeouts;

pub use timeouts::DiscoveryTimeouts;

use crate::endpoint_list::EndpointList;
use crate::endpoint_set::{EndpointChange, EndpointSet};
use async_channel::{Receiver, Sender};
use backoff::{Backoff, FirstRequest};
use call::{DiscoveryCall, FailedCall, ListRequest};
use chalkgap::frontend::EndpointPublisher;
use chalkgap_core::Discovery;
use chalkgap_runtime::{Micros, Shared};
use chalkgap_transport::MemoryReservation;
use error::DiscoveryError;
use futures_lite::future;
use hedged_request::HedgedRequest;
use std::convert::Infallible;
use std::net::SocketAddr;

/// Keeps the driver's endpoints up to date with discovery.
///
/// Longest time until a change reaches the driver, where `call` and `max_backoff` are those of [`DiscoveryTimeouts`]:
///
/// - a change on a working watch, or a new address of discovery: no delay
/// - a watch that is reset: 50 ms
/// - a watch that falls silent: 2.6 s, then `call` and a backoff for each further request that hangs
/// - the end of an outage: `call` and `max_backoff`
///
/// These are the times of a discovery that answers at once. One that takes longer, up to `max_answer`, adds the time of its
/// answer and, after an outage, the rest of a call that was made in it: `max_answer` at most.
pub struct DiscoveryFollower {
    /// Provides the clock, randomness and connections.
    pub runtime: Shared,
    /// The endpoints of the lists applied so far.
    pub endpoints: EndpointSet,
    /// Address of discovery.
    pub address: SocketAddr,
    /// Timeouts of the requests to discovery.
    pub timeouts: DiscoveryTimeouts,
    /// Publishes endpoint updates to the driver.
    pub driver: EndpointPublisher,
    /// Closed when the first list from discovery has been applied.
    pub first_list: Sender<()>,
    /// The memory of the known endpoints. Its budget limits lists that are being received, too.
    pub endpoint_memory: MemoryReservation,
}

/// Upper bound of the memory of an endpoint: its records in the endpoint set, the driver and the core, and its share of a list
/// that is being applied.
const ENDPOINT_BYTES: usize = 1536;

impl DiscoveryFollower {
    /// Follows discovery until the ingress stops. A new address takes effect at once: the calls in progress are cancelled.
    pub async fn run(mut self, new_addresses: Receiver<SocketAddr>) {
        let mut backoff = Backoff::new(self.timeouts, self.endpoints.has_list());
        self.count_endpoints();
        loop {
            let next_address = next_address(&new_addresses, self.address);
            let followed = async {
                let Err(Stopped) = self.follow(&mut backoff).await;
                None
            };
            let Some(new_address) = future::or(next_address, followed).await else { return };
            tracing::info!(from = %self.address, to = %new_address, "discovery address changed");
            self.address = new_address;
            backoff.address_changed();
        }
    }

    /// Follows discovery at its current address.
    async fn follow(&mut self, backoff: &mut Backoff) -> Result<Infallible, Stopped> {
        loop {
            let Err(failed) = self.follow_lists(backoff).await;
            if self.driver.is_closed() {
                return Err(Stopped);
            }
            let is_first = backoff.record_failure(&failed, self.endpoints.has_list());
            log_failure(self.address, &failed, is_first);
            let delay = backoff.delay_after(&failed.error);
            self.runtime.sleep_until(self.runtime.now() + jittered(&self.runtime, delay)).await;
        }
    }

    /// Applies lists from discovery until a watch fails or a list is rejected.
    async fn follow_lists(&mut self, backoff: &mut Backoff) -> Result<Infallible, FailedCall> {
        let runtime = self.runtime.clone();
        if backoff.first_request() == FirstRequest::CompleteList {
            self.request(&runtime, ListRequest::Complete, backoff).await?;
        }
        let request = ListRequest::Watch { from: self.endpoints.version() };
        let mut watch = match self.timeouts.mode {
            Discovery::Push => {
                DiscoveryCall::start(&runtime, self.endpoint_memory.budget(), self.address, request)?
            }
            Discovery::Poll => self.request(&runtime, request, backoff).await?,
        };
        let timeouts = backoff.watch_timeouts();
        loop {
            let list = watch.next_list(timeouts).await;
            let applied = match list {
                Ok(list) => self.apply(&list),
                Err(error) => Err(error),
            };
            applied.map_err(|error| watch.failed(error))?;
            backoff.list_applied();
        }
    }

    /// Makes a request until it is answered, and applies the list of the answer. Returns the call that was answered.
    async fn request(
        &mut self,
        runtime: &Shared,
        request: ListRequest,
        backoff: &mut Backoff,
    ) -> Result<DiscoveryCall, FailedCall> {
        let has_list = self.endpoints.has_list();
        let memory = self.endpoint_memory.budget().clone();
        let hedged = HedgedRequest::new(runtime, &memory, self.address, request, has_list, backoff);
        let (call, list) = hedged.answer().await;
        if let Some(list) = list {
            self.apply(&list).map_err(|error| call.failed(error))?;
            backoff.list_applied();
        }
        Ok(call)
    }

    /// Counts the memory of the endpoints. They are known whether there is memory or not: without them no request is served.
    fn count_endpoints(&mut self) {
        self.endpoint_memory.resize(self.endpoints.len() * ENDPOINT_BYTES);
    }

    /// Records a list as applied and publishes it, in one step that no new address can interrupt.
    fn apply(&mut self, list: &EndpointList) -> Result<(), DiscoveryError> {
        let EndpointChange { update, endpoints } = self.endpoints.apply(self.runtime.now(), list)?;
        self.count_endpoints();
        let count = endpoints.len();
        tracing::debug!(
            version = list.version,
            endpoints = count,
            complete = list.is_complete,
            "endpoint list accepted"
        );
        if self.driver.is_closed() {
            return Err(DiscoveryError::Stopped);
        }
        self.driver.publish(update, endpoints);
        self.first_list.close();
        Ok(())
    }
}

/// The ingress has stopped.
struct Stopped;

/// Waits for an address other than `current`. Returns `None` when the ingress stops.
async fn next_address(new_addresses: &Receiver<SocketAddr>, current: SocketAddr) -> Option<SocketAddr> {
    loop {
        // The same address again must not cancel the calls in progress: if it came often, none would ever be answered.
        match new_addresses.recv().await {
            Ok(address) if address == current => {}
            changed => return changed.ok(),
        }
    }
}

/// Adds jitter over half of `delay`, so that ingresses that lost discovery at the same time do not all call it together.
fn jittered(runtime: &Shared, delay: Micros) -> Micros {
    delay / 2 + runtime.random() % (delay / 2)
}

/// Logs a failed call, as a warning if it `is_first` since a list was applied.
fn log_failure(address: SocketAddr, failed: &FailedCall, is_first: bool) {
    let FailedCall { request, phase, age, error } = failed;
    let age_ms = age / 1000;
    if is_first {
        tracing::warn!(discovery = %address, %request, %phase, age_ms, %error, "discovery unavailable, keeping the last endpoint list");
    } else {
        tracing::debug!(discovery = %address, %request, %phase, age_ms, %error, "discovery still unavailable");
    }
}
