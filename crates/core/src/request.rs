//! Requests that have no final answer yet, and the attempts made for them. Plain records: the decisions about them are in
//! the policy modules.

use crate::interface::{Action, Endpoint, Micros, Request};

/// One send of a request to an endpoint.
pub struct Attempt {
    /// The endpoint as it was listed when the attempt started.
    pub endpoint: Endpoint,
    /// When the attempt started.
    pub sent_at: Micros,
    /// Its outcome is not known yet.
    pub in_flight: bool,
    /// Its cancellation has been requested.
    pub cancelled: bool,
    /// Its outcome proves that the endpoint never ran it.
    pub never_ran: bool,
}

/// A request between its arrival and its final answer.
#[derive(Default)]
pub struct InFlightRequest {
    /// What the client sent.
    pub request: Request,
    /// When it arrived.
    pub arrived_at: Micros,
    /// Its attempts, in the order in which they started.
    pub attempts: Vec<Attempt>,
    /// It has its final answer, or its client left; only the outcomes of attempts are still expected.
    pub finished: bool,
    /// Its answer has begun to stream to the client: its attempt is no longer checked or cancelled. Should it fail all the
    /// same, the request is retried like any other.
    pub streaming: bool,
    /// It is held until an owner of its customer's quota replies.
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

    /// The number of attempts in flight.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.in_flight).count()
    }

    /// The first attempt that ran or may have run.
    pub fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| !attempt.never_ran)
    }

    /// For how long an answer has its full value, in microseconds from the arrival: the latency objective, or the
    /// client's deadline if that is sooner.
    pub fn useful_lifetime(&self, latency_objective: Micros) -> f64 {
        latency_objective.min(self.request.deadline.saturating_sub(self.arrived_at)) as f64
    }
}
