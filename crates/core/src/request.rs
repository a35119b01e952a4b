//! Requests that have no final answer yet, and the attempts made for them. Plain records: the decisions about them are in
//! the policy modules.

use crate::interface::{Action, Endpoint, Micros, Request};

/// One send of a request to an endpoint.
pub struct Attempt {
    /// The endpoint's entry in the list when the attempt started.
    pub endpoint: Endpoint,
    /// When the attempt started.
    pub sent_at: Micros,
    /// Whether its outcome is still unknown.
    pub in_flight: bool,
    /// Whether its cancellation has been requested.
    pub cancelled: bool,
    /// Whether its outcome proves that the endpoint never ran it.
    pub never_ran: bool,
}

/// A request between its arrival and its final answer.
#[derive(Default)]
pub struct InFlightRequest {
    /// The request as the client sent it.
    pub request: Request,
    /// When the request arrived.
    pub arrived_at: Micros,
    /// Its attempts, in the order in which they started.
    pub attempts: Vec<Attempt>,
    /// Whether it has its final answer or its client left; only the outcomes of attempts are still expected.
    pub finished: bool,
    /// Whether its answer has begun to stream to the client. Its attempt is then no longer checked for silence or
    /// cancelled; if it fails nevertheless, the request is not retried, as the client has a part of the answer.
    pub streaming: bool,
    /// Whether it is held until an owner of its customer's quota replies.
    pub awaiting_owner: bool,
}

impl InFlightRequest {
    /// Cancels the attempts that are in flight, except for the one numbered `keep`.
    pub fn cancel_attempts(&mut self, keep: Option<u16>, actions: &mut Vec<Action>) {
        for (number, attempt) in (0u16..).zip(&mut self.attempts) {
            if attempt.in_flight && !attempt.cancelled && keep != Some(number) {
                attempt.cancelled = true;
                actions.push(Action::Cancel { id: self.request.id, attempt: number });
            }
        }
    }

    /// Returns the number of attempts in flight.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.in_flight).count()
    }

    /// Returns the first attempt that ran or may have run.
    pub fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| !attempt.never_ran)
    }

    /// Returns how long an answer has its full value, in microseconds from the arrival: the latency objective, or the
    /// time until the client's deadline if that is shorter.
    pub fn useful_lifetime(&self, latency_objective: Micros) -> f64 {
        latency_objective.min(self.request.deadline.saturating_sub(self.arrived_at)) as f64
    }
}
