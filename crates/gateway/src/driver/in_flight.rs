//! State of the requests in flight. A request is kept until it is answered and all its attempts have ended.

use super::ledger_entries::LedgerState;
use crate::messages::PendingRequest;
use crate::repeat_window::RepeatWindow;
use chalkgap_core::{BackendId, RequestId};
use chalkgap_runtime::Micros;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// One attempt of a request.
pub(super) struct Attempt {
    pub backend: BackendId,
    pub address: SocketAddr,
    /// Number of the connection that it was handed to; 0 before that.
    pub connection: u64,
    pub started_at: Micros,
    pub finished: bool,
    /// Its ledger entry is not durable yet, so it has not been handed to a connection.
    pub awaiting_ledger: bool,
    /// It ended without a usable answer, and the node may have run it.
    pub may_have_run: bool,
}

impl Attempt {
    /// Returns true if the attempt was handed to a connection and has not ended.
    pub fn is_on_connection(&self) -> bool {
        !self.finished && !self.awaiting_ledger
    }
}

/// A request and its attempts.
pub(super) struct InFlightRequest<W> {
    pub request: Box<PendingRequest<W>>,
    pub attempts: Vec<Attempt>,
    pub answered: bool,
    pub ledger: LedgerState,
    /// The window in which its attempts have to be written; `None` if it has no idempotency key.
    pub repeat_window: Option<RepeatWindow>,
}

impl<W> InFlightRequest<W> {
    /// Returns an attempt by its number, if it has not ended.
    pub fn open_attempt_mut(&mut self, attempt: u16) -> Option<&mut Attempt> {
        self.attempts.get_mut(usize::from(attempt)).filter(|attempt| !attempt.finished)
    }

    /// Returns the attempts that were handed to a connection and have not ended, with their numbers.
    pub fn attempts_on_connections(&self) -> impl Iterator<Item = (u16, &Attempt)> {
        (0..).zip(&self.attempts).filter(|(_, attempt)| attempt.is_on_connection())
    }

    /// Returns true if the request is answered and all its attempts have ended.
    pub fn is_finished(&self) -> bool {
        self.answered && self.attempts.iter().all(|attempt| attempt.finished)
    }

    /// Returns the addresses of the nodes that may have run the request although its result is not known.
    pub fn nodes_that_may_have_run(&self) -> BTreeSet<String> {
        let attempts = self.attempts.iter().filter(|attempt| attempt.may_have_run);
        attempts.map(|attempt| attempt.address.to_string()).collect()
    }
}

/// All requests in flight.
pub(super) struct InFlightRequests<W>(HashMap<RequestId, InFlightRequest<W>>);

impl<W> InFlightRequests<W> {
    pub fn new() -> Self {
        InFlightRequests(HashMap::new())
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn insert(&mut self, id: RequestId, request: InFlightRequest<W>) {
        self.0.insert(id, request);
    }

    pub fn remove(&mut self, id: RequestId) {
        self.0.remove(&id);
    }

    pub fn get(&self, id: RequestId) -> Option<&InFlightRequest<W>> {
        self.0.get(&id)
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut InFlightRequest<W>> {
        self.0.get_mut(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (RequestId, &InFlightRequest<W>)> {
        self.0.iter().map(|(id, request)| (*id, request))
    }

    pub fn attempt(&self, id: RequestId, attempt: u16) -> Option<&Attempt> {
        self.get(id)?.attempts.get(usize::from(attempt))
    }

    /// Returns an attempt by its request and number, if it has not ended.
    pub fn open_attempt_mut(&mut self, id: RequestId, attempt: u16) -> Option<&mut Attempt> {
        self.get_mut(id)?.open_attempt_mut(attempt)
    }

    pub fn is_answered(&self, id: RequestId) -> bool {
        self.get(id).is_some_and(|request| request.answered)
    }
}
