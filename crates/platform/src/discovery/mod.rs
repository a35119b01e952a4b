//! Follows discovery as long as the ingress runs: requests the complete list of endpoints, then watches for changes.
//!
//! With [`Discovery::Push`](chalkgap_core::Discovery::Push) every attempt begins with the complete list. That also covers
//! changes missed between two watches, truncated lists and restarted version numbers. With
//! [`Discovery::Poll`](chalkgap_core::Discovery::Poll) a watch from the version of the current list covers them in one
//! request.

mod address_follower;
mod answer_times;
mod applied_lists;
mod backoff;
mod call;
mod error;
mod former_calls;
mod hedged_request;
mod hedging;
mod shared_state;
mod timeouts;

pub use timeouts::DiscoveryTimeouts;

use crate::endpoint_set::EndpointSet;
use address_follower::{AddressFollower, OpenCalls, Stopped};
use applied_lists::AppliedLists;
use async_channel::{Receiver, Sender};
use backoff::Backoff;
use call::FailedCall;
use chalkgap::frontend::EndpointPublisher;
use chalkgap_runtime::{Micros, Shared};
use chalkgap_transport::MemoryReservation;
use former_calls::FormerCalls;
use futures_lite::future;
use shared_state::SharedState;
use std::future::poll_fn;
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
///
/// A new address takes effect at once. The open calls to the former one are answered all the same for 2 s, or until the new address
/// has told a list that is applied. While addresses change in quick succession, a change is used at the latest twice the longest
/// answer time after all addresses have it: a call that was made before it, then the watch. This holds if each answer arrives
/// before its address closes its connections, and as long as no more than eight calls to former addresses are open.
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

impl DiscoveryFollower {
    /// Follows discovery until the ingress stops. A new address takes effect at once.
    pub async fn run(self, new_addresses: Receiver<SocketAddr>) {
        let DiscoveryFollower {
            runtime,
            endpoints,
            mut address,
            timeouts,
            driver,
            first_list,
            endpoint_memory,
        } = self;
        let lists = AppliedLists::new(runtime.clone(), endpoints, driver, first_list, endpoint_memory);
        let mut backoff = Backoff::new(timeouts, lists.has_list());
        let memory = lists.memory().clone();
        let state = SharedState::new(lists, FormerCalls::new(runtime.clone()));
        let mut open_calls = OpenCalls::default();
        loop {
            let mut current = AddressFollower {
                runtime: &runtime,
                memory: &memory,
                state: &state,
                address,
                timeouts,
                backoff: &mut backoff,
                open_calls: &mut open_calls,
            };
            let followed = async {
                let Err(Stopped) = current.follow().await;
                None
            };
            let former = poll_fn(|cx| state.poll_former_calls(cx).map(|never| match never {}));
            let next_address = next_address(&new_addresses, address);
            // Each of these may be dropped at any time: calls are kept in `open_calls` and `state`, and a list is applied in the
            // poll that receives it.
            let next_address = future::or(next_address, future::or(former, followed)).await;
            let Some(new_address) = next_address else { return };
            let calls = std::mem::take(&mut open_calls);
            tracing::info!(from = %address, to = %new_address, "discovery address changed");
            state.lock().former.add(address, calls.into_iter());
            address = new_address;
            backoff.address_changed();
        }
    }
}

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
