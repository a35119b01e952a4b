//! Follows discovery as long as the ingress runs: requests the complete list of endpoints, then watches for changes.
//!
//! With [`Discovery::Push`](chalkgap_core::Discovery::Push) every attempt begins with the complete list. That also covers
//! changes missed between two watches, truncated lists and restarted version numbers. With
//! [`Discovery::Poll`](chalkgap_core::Discovery::Poll) a watch from the version of the current list covers them in one
//! request.

mod backoff;
mod call;
mod error;
mod timeouts;

pub use timeouts::DiscoveryTimeouts;

use crate::endpoint_list::EndpointList;
use crate::endpoint_set::{EndpointChange, EndpointSet};
use crate::request::ForwardedCommand;
use async_channel::{Receiver, Sender};
use backoff::{Backoff, FirstRequest};
use call::{CallTimeouts, DiscoveryCall, FailedCall, ListRequest};
use chalkgap::frontend::DriverEvent;
use chalkgap_runtime::{Micros, Shared};
use error::DiscoveryError;
use futures_lite::future;
use std::convert::Infallible;
use std::net::SocketAddr;

/// A watch that receives nothing for this time has failed: discovery sends an empty line at least every 2 s. Changes that the
/// watch missed must be known within 6 s. The remaining time is for further requests, of which three in a row may also hang.
const WATCH_SILENCE_MICROS: Micros = 2_600_000;

/// Keeps the driver's endpoints up to date with discovery.
///
/// Longest time until a change reaches the driver, where `call` and `max_backoff` are those of [`DiscoveryTimeouts`]:
///
/// - a change on a working watch, or a new address of discovery: no delay
/// - a watch that is reset: 50 ms
/// - a watch that falls silent: 2.6 s, then `call` and a backoff for each further request that hangs
/// - the end of an outage: `call` and `max_backoff`
pub struct DiscoveryFollower {
    /// Provides the clock, randomness and connections.
    pub runtime: Shared,
    /// The endpoints of the lists applied so far.
    pub endpoints: EndpointSet,
    /// Address of discovery.
    pub address: SocketAddr,
    /// Timeouts of the requests to discovery.
    pub timeouts: DiscoveryTimeouts,
    /// Channel to the driver, which receives the endpoint updates.
    pub driver: Sender<DriverEvent<ForwardedCommand>>,
    /// Closed when the first list from discovery has been applied.
    pub first_list: Sender<()>,
}

impl DiscoveryFollower {
    /// Follows discovery until the driver stops. A new address takes effect at once: the request in progress is cancelled.
    pub async fn run(mut self, new_addresses: Receiver<SocketAddr>) {
        let mut backoff = Backoff::new(self.timeouts, self.endpoints.has_list());
        loop {
            let address_change = async { new_addresses.recv().await.ok() };
            let mut list_applied = false;
            let attempt = async {
                self.attempt(&mut backoff, &mut list_applied).await;
                None
            };
            let new_address = future::or(address_change, attempt).await;
            if self.driver.is_closed() {
                return;
            }
            if list_applied {
                backoff.reset();
            } else {
                backoff.increase();
            }
            if let Some(new_address) = new_address {
                tracing::info!(from = %self.address, to = %new_address, "discovery address changed");
                self.address = new_address;
                backoff.address_changed();
            }
        }
    }

    /// Follows discovery until an error occurs, then waits for the backoff.
    async fn attempt(&mut self, backoff: &mut Backoff, list_applied: &mut bool) {
        let call_timeout = backoff.call_timeout();
        let Err(failed) = self.follow_lists(call_timeout, backoff.first_request(), list_applied).await;
        let FailedCall { request, phase, age, error } = failed;
        let age_ms = age / 1000;
        if backoff.record_failure(&error, self.endpoints.has_list()) {
            tracing::warn!(discovery = %self.address, %request, %phase, age_ms, %error, "discovery unavailable, keeping the last endpoint list");
        } else {
            tracing::debug!(discovery = %self.address, %request, %phase, age_ms, %error, "discovery still unavailable");
        }
        let delay = backoff.next_delay(&error);
        // Jitter over half of the delay, so that ingresses that lost discovery at the same time do not all retry together.
        let jitter = self.runtime.random() % (delay / 2);
        self.runtime.sleep_until(self.runtime.now() + delay / 2 + jitter).await;
    }

    /// Applies lists from discovery until an error occurs.
    async fn follow_lists(
        &mut self,
        call_timeout: Micros,
        first_request: FirstRequest,
        list_applied: &mut bool,
    ) -> Result<Infallible, FailedCall> {
        let runtime = self.runtime.clone();
        if first_request == FirstRequest::CompleteList {
            let mut call = DiscoveryCall::start(&runtime, self.address, ListRequest::Complete)?;
            let list = call.complete_list(call_timeout).await;
            let applied = self.apply_result(list).await;
            applied.map_err(|error| call.failed(error))?;
            *list_applied = true;
        }
        let request = ListRequest::Watch { from: self.endpoints.version() };
        let mut watch = DiscoveryCall::start(&runtime, self.address, request)?;
        let timeouts =
            CallTimeouts { connect: call_timeout, silence: WATCH_SILENCE_MICROS, partial_list: call_timeout };
        loop {
            let list = watch.next_list(timeouts).await;
            let applied = self.apply_result(list).await;
            applied.map_err(|error| watch.failed(error))?;
            *list_applied = true;
        }
    }

    async fn apply_result(
        &mut self,
        list: Result<EndpointList, DiscoveryError>,
    ) -> Result<(), DiscoveryError> {
        self.apply(&list?).await
    }

    async fn apply(&mut self, list: &EndpointList) -> Result<(), DiscoveryError> {
        let EndpointChange { update, endpoints } = self.endpoints.apply(self.runtime.now(), list)?;
        let count = endpoints.len();
        tracing::debug!(
            version = list.version,
            endpoints = count,
            complete = list.is_complete,
            "endpoint list accepted"
        );
        let event = DriverEvent::Endpoints { update, endpoints };
        self.driver.send(event).await.map_err(|_| DiscoveryError::Stopped)?;
        self.first_list.close();
        Ok(())
    }
}
