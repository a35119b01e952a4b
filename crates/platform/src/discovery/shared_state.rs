//! What the follower of the current address shares with the calls to former ones.

use super::applied_lists::{AppliedLists, ListOutcome};
use super::call::ReceivedList;
use super::error::DiscoveryError;
use super::former_calls::FormerCalls;
use futures_lite::ready;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

/// The lists and the former calls. Their users run in one task, and lock them only within a poll.
pub(super) struct SharedState(Mutex<FollowerState>);

pub(super) struct FollowerState {
    pub(super) lists: AppliedLists,
    pub(super) former: FormerCalls,
}

impl SharedState {
    pub(super) fn new(lists: AppliedLists, former: FormerCalls) -> SharedState {
        SharedState(Mutex::new(FollowerState { lists, former }))
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, FollowerState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a list of the current address. It is authoritative: the calls to former addresses have nothing to add then.
    pub(super) fn apply(&self, address: SocketAddr, received: &ReceivedList) -> Result<(), DiscoveryError> {
        let mut state = self.lock();
        if state.lists.apply(address, received)? == ListOutcome::Applied {
            state.former.clear();
        }
        Ok(())
    }

    /// Applies the lists of former addresses. Never ready.
    pub(super) fn poll_former_calls(&self, cx: &mut Context<'_>) -> Poll<Infallible> {
        let mut state = self.lock();
        loop {
            let (address, received) = ready!(state.former.poll_list(cx));
            state.lists.apply_from_former_address(address, &received);
        }
    }
}
