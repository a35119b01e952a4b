//! A request to discovery, by more than one call if it is not answered soon.

use super::backoff::Backoff;
use super::call::{CallPhase, DiscoveryCall, ListRequest, ReceivedList};
use super::error::DiscoveryError;
use super::hedging::{HedgedCalls, Step};
use super::{jittered, log_failure};
use chalkgap_runtime::{Alarm, Micros, Shared};
use chalkgap_transport::MemoryBudget;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::Poll;

/// A request and its open calls. The first answer ends all other calls.
pub(super) struct HedgedRequest<'a> {
    runtime: &'a Shared,
    memory: &'a Arc<MemoryBudget>,
    address: SocketAddr,
    request: ListRequest,
    /// Whether the ingress has a list.
    has_list: bool,
    backoff: &'a mut Backoff,
    hedged: HedgedCalls,
    /// In the order of `hedged`. They stay open when the request is dropped.
    calls: &'a mut Vec<DiscoveryCall>,
}

impl<'a> HedgedRequest<'a> {
    pub(super) fn new(
        runtime: &'a Shared,
        memory: &'a Arc<MemoryBudget>,
        address: SocketAddr,
        request: ListRequest,
        has_list: bool,
        backoff: &'a mut Backoff,
        calls: &'a mut Vec<DiscoveryCall>,
    ) -> HedgedRequest<'a> {
        calls.clear();
        let hedged = HedgedCalls::new(runtime.now());
        HedgedRequest { runtime, memory, address, request, has_list, backoff, hedged, calls }
    }

    /// Calls discovery until a call is answered: a watch by any data, another request by a list. Returns the call and its list,
    /// which a watch may not have yet.
    pub(super) async fn answer(mut self) -> (DiscoveryCall, Option<ReceivedList>) {
        loop {
            let now = self.runtime.now();
            match self.hedged.step(now, self.backoff.hedging_limits()) {
                Step::Call => self.call(now),
                Step::Late => self.record_late_call(now),
                Step::GiveUp(index) => {
                    let call = &self.calls[index];
                    let error = DiscoveryError::Timeout { phase: call.phase(), within: call.age() };
                    self.end_failed(index, error);
                }
                Step::WaitUntil(at) => match self.next_answer(at).await {
                    None => {}
                    Some((index, Ok(list))) => {
                        let call = self.calls.swap_remove(index);
                        self.calls.clear();
                        self.backoff.record_answer(self.runtime.now(), call.age());
                        return (call, list);
                    }
                    Some((index, Err(error))) => self.end_failed(index, error),
                },
            }
        }
    }

    fn call(&mut self, now: Micros) {
        match DiscoveryCall::start(self.runtime, self.memory, self.address, self.request) {
            Ok(call) => {
                self.calls.push(call);
                self.hedged.called(now, now + self.backoff.late_after(now, self.request));
            }
            Err(failed) => {
                log_failure(self.address, &failed, self.backoff.record_failure(&failed, self.has_list));
                self.schedule_call(&failed.error);
            }
        }
    }

    fn record_late_call(&mut self, now: Micros) {
        if let Some(call) = self.calls.last() {
            let phase = call.phase();
            let age_ms = call.age() / 1000;
            tracing::debug!(discovery = %self.address, %phase, age_ms, "discovery has not answered yet, calling again");
        }
        self.backoff.record_late_call();
        let delay = self.backoff.delay_after_late_call();
        self.hedged.call_at(now + jittered(self.runtime, delay));
    }

    fn end_failed(&mut self, index: usize, error: DiscoveryError) {
        let failed = self.calls.remove(index).failed(error);
        log_failure(self.address, &failed, self.backoff.record_failure(&failed, self.has_list));
        if self.hedged.ended(index) {
            self.schedule_call(&failed.error);
        }
    }

    fn schedule_call(&mut self, error: &DiscoveryError) {
        let delay = self.backoff.delay_after(error);
        self.hedged.call_at(self.runtime.now() + jittered(self.runtime, delay));
    }

    /// Waits until the time `at` for a call that is answered or fails. Returns its index and its result.
    async fn next_answer(
        &mut self,
        at: Micros,
    ) -> Option<(usize, Result<Option<ReceivedList>, DiscoveryError>)> {
        let mut alarm = Alarm::new(self.runtime.clone());
        poll_fn(|cx| {
            for (index, call) in self.calls.iter_mut().enumerate() {
                if let Poll::Ready(result) = call.poll_list(cx) {
                    return Poll::Ready(Some((index, result.map(Some))));
                }
                let has_answered = matches!(call.phase(), CallPhase::AwaitingList | CallPhase::ReadingList);
                if has_answered && matches!(self.request, ListRequest::Watch { .. }) {
                    return Poll::Ready(Some((index, Ok(None))));
                }
            }
            alarm.poll(Some(at), cx).map(|()| None)
        })
        .await
    }
}
