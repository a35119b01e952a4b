//! The attempts of a request: start, cancellation, deadline and result.

use super::in_flight::Attempt;
use super::ledger_entries::{AttemptAwaitingLedger, LedgerState, Recorded};
use super::Driver;
use crate::messages::{Answer, AttemptResult, OutboundAttempt, Upstream};
use crate::telemetry::add;
use chalkgap_core::{BackendId, Event, Outcome, RequestId};
use chalkgap_ledger::recorder::Settlement;
use chalkgap_runtime::Micros;
use std::net::{Ipv4Addr, SocketAddr};

/// Placeholder address of an attempt whose backend is no longer in the endpoint list.
const NO_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

impl<U: Upstream> Driver<U> {
    /// Starts the next attempt of a request.
    ///
    /// The attempt ends at `give_up_at` or at the request's deadline, whichever is earlier, and must not be written to
    /// a connection after `start_by`. Both are absolute times in microseconds; 0 means that there is no such limit.
    pub(super) fn start_attempt(
        &mut self,
        id: RequestId,
        backend: BackendId,
        give_up_at: Micros,
        start_by: Micros,
    ) {
        let now = self.runtime.now();
        let address = self.listed.get(&backend).map(|process| process.address);
        let Some(in_flight) = self.in_flight.get_mut(id) else { return };
        let attempt = in_flight.attempts.len() as u16;
        let request = &in_flight.request;
        let deadline = if give_up_at == 0 { request.deadline } else { give_up_at.min(request.deadline) };
        let call = OutboundAttempt {
            id,
            attempt,
            class: request.class,
            work: request.work.clone(),
            ledger_entry_at: None,
            deadline,
            start_by: (start_by > 0).then_some(start_by),
            repeat_window: in_flight.repeat_window.clone(),
        };
        add(&self.telemetry.attempts);
        in_flight.attempts.push(Attempt {
            backend,
            address: address.unwrap_or(NO_ADDRESS),
            connection: 0,
            started_at: now,
            finished: false,
            awaiting_ledger: false,
            may_have_run: false,
        });
        self.timers.set_attempt_deadline(deadline, id, attempt);
        if address.is_none() {
            return self.hand_to_connection(call); // ends it with `Outcome::NotSent`
        }
        match self.record_attempt(&call) {
            Recorded::NotNeeded => self.hand_to_connection(call),
            Recorded::Pending { sequence } => {
                if let Some(attempt) = self.in_flight.open_attempt_mut(id, attempt) {
                    attempt.awaiting_ledger = true;
                }
                self.awaiting_ledger.push_back(AttemptAwaitingLedger { sequence, call });
            }
            Recorded::Failed => self.end_unsent(id, attempt),
        }
    }

    /// Hands an attempt to a connection. Does nothing if the attempt has already ended.
    pub(super) fn hand_to_connection(&mut self, mut call: OutboundAttempt<U::Work>) {
        let id = call.id;
        let attempt_number = call.attempt;
        let now = self.runtime.now();
        let Some(in_flight) = self.in_flight.get_mut(id) else { return };
        if let LedgerState::Open(entry) = in_flight.ledger {
            call.ledger_entry_at = Some(entry.at);
        }
        let Some(attempt) = in_flight.open_attempt_mut(attempt_number) else { return };
        attempt.awaiting_ledger = false;
        attempt.started_at = now;
        let backend = attempt.backend;
        let address = self.listed.get(&backend).map(|process| process.address);
        match address.and_then(|address| self.connections.start(backend, address, call)) {
            Some(connection) => attempt.connection = connection,
            // No connection has capacity, or the backend is no longer listed: nothing was written.
            None => self.end_unsent(id, attempt_number),
        }
    }

    /// Carries out the core's `Action::Cancel`.
    pub(super) fn cancel_attempt(&mut self, id: RequestId, attempt_number: u16) {
        let Some(attempt) = self.in_flight.open_attempt_mut(id, attempt_number) else { return };
        if attempt.awaiting_ledger {
            self.end_unsent(id, attempt_number);
            return self.remove_if_finished(id);
        }
        self.connections.cancel(attempt.connection, id, attempt_number);
    }

    /// Ends the attempts whose deadline has passed, without waiting for results from their connections.
    pub(super) fn expire_attempts(&mut self, now: Micros) {
        while let Some(deadline) = self.timers.pop_attempt_deadline(now) {
            let id = deadline.id;
            let Some(attempt) = self.in_flight.open_attempt_mut(id, deadline.attempt) else { continue };
            let outcome = if attempt.awaiting_ledger { Outcome::NotSent } else { Outcome::TimedOut };
            self.connections.cancel(attempt.connection, id, deadline.attempt);
            add(&self.telemetry.timed_out);
            self.on_attempt_result(AttemptResult::without_answer(id, deadline.attempt, outcome));
        }
    }

    /// Ends an attempt with [`Outcome::NotSent`], as nothing of it was written, and queues the event for the core.
    pub(super) fn end_unsent(&mut self, id: RequestId, attempt_number: u16) {
        let Some(attempt) = self.in_flight.open_attempt_mut(id, attempt_number) else { return };
        attempt.finished = true;
        let backend = attempt.backend;
        self.queue.push_back(Event::AttemptFinished {
            id,
            attempt: attempt_number,
            backend,
            outcome: Outcome::NotSent,
            answered: self.in_flight.is_answered(id),
            elapsed: 0,
            metered: None,
            charged_units: None,
            report: None,
        });
    }

    /// Handles the result of an attempt: answers the client if the attempt succeeded, settles the request in the
    /// ledger, and passes the result to the core.
    pub(super) fn on_attempt_result(&mut self, result: AttemptResult) {
        let id = result.id;
        let outcome = result.outcome;
        let reported_units = result.used_units;
        let Some(in_flight) = self.in_flight.get_mut(id) else { return };
        let was_answered = in_flight.answered;
        let Some(attempt) = in_flight.open_attempt_mut(result.attempt) else { return };
        attempt.finished = true;
        // The node dropped a duplicate and reports no units for the original, which may have run or may have failed.
        let original_unknown = outcome == Outcome::Ok && result.deduplicated && reported_units.is_none();
        attempt.may_have_run = original_unknown || result_unknown(outcome);
        let backend = attempt.backend;
        let node = attempt.address;
        let elapsed = self.runtime.now().saturating_sub(attempt.started_at);
        self.connections.attempt_finished(attempt.connection);
        if outcome == Outcome::ConnectFailed {
            add(&self.telemetry.connect_failed);
        }
        if outcome == Outcome::Ok && !was_answered {
            add(&self.telemetry.served);
            self.answer(id, Answer::Served { body: result.body, node });
        }
        if outcome == Outcome::Ok && !original_unknown {
            self.settle(id, reported_units, Settlement::Ran { node: node.to_string() });
        }
        let answered = self.in_flight.is_answered(id);
        self.handle(Event::AttemptFinished {
            id,
            attempt: result.attempt,
            backend,
            outcome,
            answered,
            elapsed,
            metered: result.metered_use,
            charged_units: reported_units.map(f64::from),
            report: result.report,
        });
        self.remove_if_finished(id);
    }
}

/// Returns true if an attempt with this outcome may have run although its result is not known.
fn result_unknown(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Error | Outcome::Reset | Outcome::TimedOut | Outcome::Cancelled)
}
