//! Requests: arrival, cancellation by the client, final answer and removal.

use super::in_flight::InFlightRequest;
use super::ledger_entries::{LedgerDecision, LedgerState};
use super::Driver;
use crate::messages::{Answer, PendingRequest, Response, Upstream};
use crate::repeat_window::RepeatWindow;
use crate::telemetry::add;
use chalkgap_core::{Event, Request, RequestId};
use chalkgap_runtime::Micros;

impl<U: Upstream> Driver<U> {
    /// Passes a new request to the core, or rejects it if too many are in flight or the ledger cannot record it.
    pub(super) fn on_request(&mut self, request: Box<PendingRequest<U::Work>>) {
        add(&self.telemetry.requests);
        if self.in_flight.len() >= self.limits.max_in_flight {
            // The core never gets more requests than the limit that it is configured with.
            add(&self.telemetry.refused);
            return reject_before_core(&request, self.limits.rejection_retry_after);
        }
        let ledger = match self.reserve_in_ledger() {
            LedgerDecision::Accept(state) => state,
            LedgerDecision::Reject { retry_after } => {
                add(&self.telemetry.ledger_refused);
                return reject_before_core(&request, retry_after);
            }
        };
        if self.ledger.is_some() && matches!(ledger, LedgerState::Unbilled) {
            add(&self.telemetry.ledger_without);
        }
        let core_request = Request {
            id: request.id,
            class: request.class,
            plan: request.customer.plan,
            customer: request.customer.id,
            deadline: request.deadline,
            units: request.units,
            gateway_count: request.customer.gateway_count,
            first_gateway: request.customer.first_gateway,
        };
        let repeat_window = self.core.repeat_window(request.class).map(RepeatWindow::new);
        let in_flight =
            InFlightRequest { request, attempts: Vec::new(), answered: false, ledger, repeat_window };
        self.in_flight.insert(core_request.id, in_flight);
        self.handle(Event::Request(core_request));
    }

    /// Cancels a request whose client has cancelled it or has disconnected, unless it is already answered.
    pub(super) fn on_client_gone(&mut self, id: RequestId) {
        if self.in_flight.get(id).is_none_or(|in_flight| in_flight.answered) {
            return;
        }
        add(&self.telemetry.withdrawn);
        self.answer(id, Answer::ClientGone);
        self.handle(Event::ClientCancelled(id));
        self.remove_if_finished(id);
    }

    /// Carries out the core's `Action::Reject`.
    pub(super) fn reject(&mut self, id: RequestId, retry_after: Micros) {
        add(&self.telemetry.refused);
        self.answer(id, Answer::Rejected { retry_after });
        self.remove_if_finished(id);
    }

    /// Carries out the core's `Action::Fail`: the request failed and may have run.
    pub(super) fn fail(&mut self, id: RequestId) {
        add(&self.telemetry.failed);
        let now = self.runtime.now();
        let late = self.in_flight.get(id).is_some_and(|in_flight| now >= in_flight.request.deadline);
        self.answer(id, Answer::Failed { late });
        self.remove_if_finished(id);
    }

    /// Sends the final answer of a request. A second one is logged and dropped.
    pub(super) fn answer(&mut self, id: RequestId, answer: Answer) {
        let Some(in_flight) = self.in_flight.get_mut(id) else { return };
        let already_answered = std::mem::replace(&mut in_flight.answered, true);
        if already_answered {
            return tracing::error!(id = id.0, ?answer, "second final answer dropped");
        }
        // Attempts that are not written yet are no longer needed. The settings may forbid to cancel an attempt that has
        // begun, but not one that is still unsent.
        for (number, attempt) in in_flight.attempts_on_connections() {
            self.connections.cancel_unsent(attempt.connection, id, number);
        }
        send_response(&in_flight.request, answer);
    }

    /// Removes a request that is answered and has no open attempt, and settles it in the ledger.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        if !self.in_flight.get(id).is_some_and(InFlightRequest::is_finished) {
            return;
        }
        if self.settle_without_result(id) {
            self.in_flight.remove(id);
        }
    }
}

/// Rejects a request that is not passed to the core.
fn reject_before_core<W>(request: &PendingRequest<W>, retry_after: Micros) {
    send_response(request, Answer::Rejected { retry_after });
}

fn send_response<W>(request: &PendingRequest<W>, answer: Answer) {
    let response = Response { token: request.token, id: request.id, answer };
    // The channel is never full, as the frontend bounds its open requests by the capacity. It is closed if the client
    // has disconnected.
    let _ = request.response_sender.try_send(response);
}
