//! Follows discovery for as long as the instance lives: the complete list first, then its changes.
//!
//! With [`Discovery::Push`](chalkgap_core::Discovery::Push) every attempt begins with the complete list, so changes missed
//! between two watches, lists that were cut off and restarted version numbers need no handling of their own. With
//! [`Discovery::Poll`](chalkgap_core::Discovery::Poll) a watch from the version that is held does the same in one request.

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
use call::DiscoveryCall;
use chalkgap::frontend::DriverEvent;
use chalkgap_runtime::{Micros, Shared};
use error::DiscoveryError;
use futures_lite::future;
use std::convert::Infallible;
use std::net::SocketAddr;

/// A watch on which nothing arrives for so long has failed: an empty line is due every 2 s. Changes that it misses must be
/// known 6 s after discovery had them; the rest of that is for further requests, of which three in a row may hang as well.
const WATCH_SILENCE_MICROS: Micros = 2_600_000;

/// Keeps the driver's endpoints as discovery has them.
///
/// The longest time from a change to the driver, with the timeouts `call` and `max_backoff`: at once for a change on a watch
/// and for a new address; 50 ms for a watch that is reset; 2.6 s for one that falls silent, and `call` and a backoff for
/// each request after it that hangs; `call` and `max_backoff` at the end of an outage.
pub struct DiscoveryFollower {
    /// Clock, randomness and connections.
    pub runtime: Shared,
    /// The endpoints known so far.
    pub endpoints: EndpointSet,
    /// Discovery's address.
    pub address: SocketAddr,
    /// Timeouts of its requests.
    pub timeouts: DiscoveryTimeouts,
    /// Gets the changes.
    pub driver: Sender<DriverEvent<ForwardedCommand>>,
    /// Closed when the first list has been applied.
    pub first_list: Sender<()>,
}

impl DiscoveryFollower {
    /// Follows discovery until the driver stops. A new address takes effect at once: the request in progress is dropped.
    pub async fn run(mut self, new_addresses: Receiver<SocketAddr>) {
        let mut backoff = Backoff::new(self.timeouts, self.endpoints.has_list());
        loop {
            let moved = async { new_addresses.recv().await.ok() };
            let mut list_applied = false;
            let attempt = async {
                self.attempt(&mut backoff, &mut list_applied).await;
                None
            };
            let new_address = future::or(moved, attempt).await;
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

    /// Follows discovery until an error, then waits for the backoff.
    async fn attempt(&mut self, backoff: &mut Backoff, list_applied: &mut bool) {
        let call_timeout = backoff.call_timeout();
        let result = self.follow_lists(call_timeout, backoff.first_request(), list_applied).await;
        let Err(error) = result;
        if backoff.record_failure(&error, self.endpoints.has_list()) {
            tracing::warn!(discovery = %self.address, %error, "discovery unavailable, keeping the last endpoint list");
        } else {
            tracing::debug!(discovery = %self.address, %error, "discovery still unavailable");
        }
        let delay = backoff.next_delay(&error);
        // Jitter over half of it: ingresses that lost discovery together do not return together.
        let jitter = self.runtime.random() % (delay / 2);
        self.runtime.sleep_until(self.runtime.now() + delay / 2 + jitter).await;
    }

    /// Applies lists until something goes wrong.
    async fn follow_lists(
        &mut self,
        call_timeout: Micros,
        first_request: FirstRequest,
        list_applied: &mut bool,
    ) -> Result<Infallible, DiscoveryError> {
        let runtime = self.runtime.clone();
        if first_request == FirstRequest::CompleteList {
            let call = DiscoveryCall::start(&runtime, self.address, "", call_timeout).await?;
            let list = call.complete_list().await?;
            self.apply(&list).await?;
            *list_applied = true;
        }
        let query = format!("?watch=1&from={}", self.endpoints.version());
        let mut watch = DiscoveryCall::start(&runtime, self.address, &query, call_timeout).await?;
        loop {
            let list = watch.next_list(WATCH_SILENCE_MICROS).await?;
            self.apply(&list).await?;
            *list_applied = true;
        }
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
