//! Calls to addresses of discovery that are no longer the current one.
//!
//! A discovery that is slow answers a call after its address has changed: the platform closes the connections of an old address
//! only after 1.5 s. If each new address ended the calls before it, no list would arrive while addresses change faster than
//! discovery answers. No new call is made to a former address.

use super::call::{DiscoveryCall, ReceivedList};
use chalkgap_runtime::{Alarm, Micros, Shared};
use futures_lite::ready;
use std::net::SocketAddr;
use std::task::{Context, Poll};

/// Maximum number of calls to former addresses. Beyond it the one that was made last is dropped: the one made first is the next to
/// be answered, and if it were dropped, addresses that change fast enough would end every call before its answer.
const MAX_FORMER_CALLS: usize = 8;
/// A call is given up this long after its address has changed.
const FORMER_CALL_LIFETIME_MICROS: Micros = 2_000_000;

struct FormerCall {
    address: SocketAddr,
    call: DiscoveryCall,
    give_up_at: Micros,
}

/// The open calls to former addresses.
pub(super) struct FormerCalls {
    runtime: Shared,
    /// In the order in which their addresses changed, so the first one is given up first.
    calls: Vec<FormerCall>,
    alarm: Alarm,
}

impl FormerCalls {
    pub(super) fn new(runtime: Shared) -> FormerCalls {
        let alarm = Alarm::new(runtime.clone());
        FormerCalls { runtime, calls: Vec::new(), alarm }
    }

    /// Adds the calls to an address that has just changed, the one made first first.
    pub(super) fn add(&mut self, address: SocketAddr, calls: impl Iterator<Item = DiscoveryCall>) {
        let give_up_at = self.runtime.now() + FORMER_CALL_LIFETIME_MICROS;
        self.calls.extend(calls.map(|call| FormerCall { address, call, give_up_at }));
        if self.calls.len() > MAX_FORMER_CALLS {
            tracing::debug!(
                calls = self.calls.len(),
                "too many calls to former addresses, dropping the last ones"
            );
            self.calls.truncate(MAX_FORMER_CALLS);
        }
    }

    /// Ends all calls.
    pub(super) fn clear(&mut self) {
        self.calls.clear();
    }

    /// Ready with the next list and its address.
    pub(super) fn poll_list(&mut self, cx: &mut Context<'_>) -> Poll<(SocketAddr, ReceivedList)> {
        loop {
            if let Some(received) = self.poll_calls(cx) {
                return Poll::Ready(received);
            }
            let next_end = self.calls.first().map(|first| first.give_up_at);
            ready!(self.alarm.poll(next_end, cx));
            let now = self.runtime.now();
            self.calls.retain(|former| now < former.give_up_at);
        }
    }

    /// Polls each call, and removes the ones that have ended.
    fn poll_calls(&mut self, cx: &mut Context<'_>) -> Option<(SocketAddr, ReceivedList)> {
        let mut index = 0;
        while let Some(former) = self.calls.get_mut(index) {
            match former.call.poll_list(cx) {
                Poll::Pending => index += 1,
                Poll::Ready(Ok(received)) => return Some((former.address, received)),
                Poll::Ready(Err(error)) => {
                    tracing::debug!(discovery = %former.address, %error, "call to a former address ended");
                    self.calls.remove(index);
                }
            }
        }
        None
    }
}
