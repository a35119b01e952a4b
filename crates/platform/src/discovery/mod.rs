//! Follows discovery as long as the ingress runs: requests the complete list of endpoints, then watches for changes.
//!
//! With [`Discovery::Push`] every attempt begins with the complete list. That also covers
//! changes missed between two watches, truncated lists and restarted version numbers. With
//! [`Discovery::Poll`] a watch from the version of the current list covers them in one
//! request.

mod answer_times;
mod applied_lists;
mod backoff;
mod call;
mod error;
mod former_calls;
mod hedged_request;
mod hedging;
mod timeouts;

pub use timeouts::DiscoveryTimeouts;

use crate::endpoint_set::EndpointSet;
use applied_lists::{AppliedLists, ListOutcome};
use async_channel::{Receiver, Sender};
use backoff::{Backoff, FirstRequest};
use call::{DiscoveryCall, FailedCall, ListRequest, ReceivedList};
use chalkgap::frontend::EndpointPublisher;
use chalkgap_core::Discovery;
use chalkgap_runtime::{Micros, Shared};
use chalkgap_transport::{MemoryBudget, MemoryReservation};
use error::DiscoveryError;
use former_calls::FormerCalls;
use futures_lite::future;
use hedged_request::HedgedRequest;
use std::convert::Infallible;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};

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

/// What the follower of the current address shares with the calls to former ones. Both run in one task, and lock it only within a
/// poll.
struct SharedState(Mutex<FollowerState>);

struct FollowerState {
    lists: AppliedLists,
    former: FormerCalls,
}

impl SharedState {
    fn new(lists: AppliedLists, former: FormerCalls) -> SharedState {
        SharedState(Mutex::new(FollowerState { lists, former }))
    }

    fn lock(&self) -> MutexGuard<'_, FollowerState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a list of the current address. It is authoritative: the calls to former addresses have nothing to add then.
    fn apply(&self, address: SocketAddr, received: &ReceivedList) -> Result<(), DiscoveryError> {
        let mut state = self.lock();
        if state.lists.apply(address, received)? == ListOutcome::Applied {
            state.former.clear();
        }
        Ok(())
    }

    /// Applies the lists of former addresses. Never ready.
    fn poll_former_calls(&self, cx: &mut Context<'_>) -> Poll<Infallible> {
        let mut state = self.lock();
        loop {
            let (address, received) = ready!(state.former.poll_list(cx));
            state.lists.apply_from_former_address(address, &received);
        }
    }
}

/// The open calls to the current address.
#[derive(Default)]
struct OpenCalls {
    /// The calls of a request that is not answered yet, the one made first first.
    requests: Vec<DiscoveryCall>,
    watch: Option<DiscoveryCall>,
}

impl OpenCalls {
    fn into_iter(self) -> impl Iterator<Item = DiscoveryCall> {
        self.watch.into_iter().chain(self.requests)
    }
}

/// Follows discovery at one address. When it is dropped, its open calls stay open.
struct AddressFollower<'a> {
    runtime: &'a Shared,
    /// Limits lists that are being received.
    memory: &'a Arc<MemoryBudget>,
    state: &'a SharedState,
    address: SocketAddr,
    timeouts: DiscoveryTimeouts,
    backoff: &'a mut Backoff,
    open_calls: &'a mut OpenCalls,
}

impl AddressFollower<'_> {
    /// Follows discovery until the ingress stops.
    async fn follow(&mut self) -> Result<Infallible, Stopped> {
        loop {
            let Err(failed) = self.follow_lists().await;
            *self.open_calls = OpenCalls::default();
            let has_list = {
                let state = self.state.lock();
                if state.lists.is_closed() {
                    return Err(Stopped);
                }
                state.lists.has_list()
            };
            let is_first = self.backoff.record_failure(&failed, has_list);
            log_failure(self.address, &failed, is_first);
            let delay = self.backoff.delay_after(&failed.error);
            self.runtime.sleep_until(self.runtime.now() + jittered(self.runtime, delay)).await;
        }
    }

    /// Applies lists from discovery until a watch fails or a list is rejected.
    async fn follow_lists(&mut self) -> Result<Infallible, FailedCall> {
        let mut version = self.state.lock().lists.version();
        if self.backoff.first_request() == FirstRequest::CompleteList {
            // The watch continues this list, also if a former address has told a newer one.
            version = self.request(ListRequest::Complete { current: version }).await?.version();
        }
        let request = ListRequest::Watch { from: version };
        let watch = match self.timeouts.mode {
            Discovery::Push => DiscoveryCall::start(self.runtime, self.memory, self.address, request)?,
            Discovery::Poll => self.request(request).await?,
        };
        let watch = self.open_calls.watch.insert(watch);
        let timeouts = self.backoff.watch_timeouts();
        loop {
            let received = watch.next_list(timeouts).await;
            let applied = received.and_then(|received| self.state.apply(self.address, &received));
            applied.map_err(|error| watch.failed(error))?;
            self.backoff.list_applied();
        }
    }

    /// Makes a request until it is answered, and applies the list of the answer. Returns the call that was answered.
    async fn request(&mut self, request: ListRequest) -> Result<DiscoveryCall, FailedCall> {
        let has_list = self.state.lock().lists.has_list();
        let calls = &mut self.open_calls.requests;
        let hedged = HedgedRequest::new(
            self.runtime,
            self.memory,
            self.address,
            request,
            has_list,
            self.backoff,
            calls,
        );
        let (call, received) = hedged.answer().await;
        if let Some(received) = received {
            self.state.apply(self.address, &received).map_err(|error| call.failed(error))?;
            self.backoff.list_applied();
        }
        Ok(call)
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
