//! The way of endpoint lists from discovery to the driver.
//!
//! A list does not take a place in the driver's queue of requests: it would wait behind them, and discovery with it. The driver
//! takes a published update before its next event. Updates that it has not taken yet are merged into one, so publishing never
//! waits and cannot be interrupted, and at most one entry is held for each endpoint.

use chalkgap_core::{BackendId, Endpoint, EndpointUpdate};
use chalkgap_runtime::{Micros, Shared};
use std::collections::HashMap;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

/// An update that the driver has not taken yet.
#[derive(Debug)]
pub struct PendingUpdate {
    /// The meaning of `endpoints`.
    pub update: EndpointUpdate,
    /// The endpoints with their addresses; at most one entry for each.
    pub endpoints: Vec<(Endpoint, SocketAddr)>,
    /// When the oldest update that is merged into this one was published.
    pub published_at: Micros,
}

impl PendingUpdate {
    /// Applies changed entries.
    fn merge(&mut self, changed: Vec<(Endpoint, SocketAddr)>) {
        let positions = self.endpoints.iter().enumerate();
        let mut positions: HashMap<BackendId, usize> =
            positions.map(|(position, (endpoint, _))| (endpoint.backend, position)).collect();
        for entry in changed {
            let position = *positions.entry(entry.0.backend).or_insert(self.endpoints.len());
            match self.endpoints.get_mut(position) {
                Some(present) => *present = entry,
                None => self.endpoints.push(entry),
            }
        }
    }
}

#[derive(Default)]
struct State {
    pending: Option<PendingUpdate>,
    /// Wakes the driver.
    driver: Option<Waker>,
    /// Whether the driver has ended.
    is_closed: bool,
}

/// Creates both ends of the way from discovery to the driver.
pub fn endpoint_updates(runtime: Shared) -> (EndpointPublisher, EndpointUpdates) {
    let state = Arc::new(Mutex::new(State::default()));
    (EndpointPublisher { runtime, state: state.clone() }, EndpointUpdates { state })
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Discovery's end.
pub struct EndpointPublisher {
    runtime: Shared,
    state: Arc<Mutex<State>>,
}

impl EndpointPublisher {
    /// Publishes a list or changes to it. Never waits: when this returns, the driver handles no further event before the update.
    /// [`EndpointUpdate::Failed`] brings no list and changes nothing.
    pub fn publish(&self, update: EndpointUpdate, endpoints: Vec<(Endpoint, SocketAddr)>) {
        if update == EndpointUpdate::Failed {
            return;
        }
        let mut state = lock(&self.state);
        match (&mut state.pending, update) {
            (Some(pending), EndpointUpdate::Delta) => pending.merge(endpoints),
            (pending, _) => {
                let now = self.runtime.now();
                let published_at = pending.as_ref().map_or(now, |replaced| replaced.published_at);
                *pending = Some(PendingUpdate { update, endpoints, published_at });
            }
        }
        let driver = state.driver.take();
        drop(state);
        driver.into_iter().for_each(Waker::wake);
    }

    /// Whether the driver has ended.
    pub fn is_closed(&self) -> bool {
        lock(&self.state).is_closed
    }
}

/// The driver's end.
pub struct EndpointUpdates {
    state: Arc<Mutex<State>>,
}

impl EndpointUpdates {
    /// Takes the pending update, if there is one.
    pub fn take(&self) -> Option<PendingUpdate> {
        lock(&self.state).pending.take()
    }

    /// Ready with the next update; until then registers the task to be woken.
    pub fn poll_take(&self, cx: &mut Context<'_>) -> Poll<PendingUpdate> {
        let mut state = lock(&self.state);
        match state.pending.take() {
            Some(pending) => Poll::Ready(pending),
            None => {
                state.driver = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    /// Waits for the next update.
    pub async fn next(&self) -> PendingUpdate {
        poll_fn(|cx| self.poll_take(cx)).await
    }
}

impl Drop for EndpointUpdates {
    fn drop(&mut self) {
        lock(&self.state).is_closed = true;
    }
}
