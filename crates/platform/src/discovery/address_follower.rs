//! Follows discovery at one address.

use super::backoff::Backoff;
use super::call::{DiscoveryCall, FailedCall, ListRequest};
use super::hedged_request::HedgedRequest;
use super::shared_state::SharedState;
use super::timeouts::DiscoveryTimeouts;
use super::{jittered, log_failure};
use chalkgap_core::Discovery;
use chalkgap_runtime::Shared;
use chalkgap_transport::MemoryBudget;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

/// The ingress has stopped.
pub(super) struct Stopped;

/// The open calls to the current address.
#[derive(Default)]
pub(super) struct OpenCalls {
    /// The calls of a request that is not answered yet, the one made first first.
    requests: Vec<DiscoveryCall>,
    watch: Option<DiscoveryCall>,
}

impl OpenCalls {
    pub(super) fn into_iter(self) -> impl Iterator<Item = DiscoveryCall> {
        self.watch.into_iter().chain(self.requests)
    }
}

/// Follows discovery at one address. When it is dropped, its open calls stay open.
pub(super) struct AddressFollower<'a> {
    pub(super) runtime: &'a Shared,
    /// Limits lists that are being received.
    pub(super) memory: &'a Arc<MemoryBudget>,
    pub(super) state: &'a SharedState,
    pub(super) address: SocketAddr,
    pub(super) timeouts: DiscoveryTimeouts,
    pub(super) backoff: &'a mut Backoff,
    pub(super) open_calls: &'a mut OpenCalls,
}

impl AddressFollower<'_> {
    /// Follows discovery until the ingress stops.
    pub(super) async fn follow(&mut self) -> Result<Infallible, Stopped> {
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
        if self.backoff.begins_with_complete_list() {
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
