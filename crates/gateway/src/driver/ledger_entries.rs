//! Ledger entries of requests. An attempt is handed to a connection only after the entry that names its node is
//! durable, and the end of a request is recorded once.

use super::Driver;
use crate::ledger::LedgerHandle;
use crate::messages::{node_request_id, OutboundAttempt, PendingRequest, Upstream};
use crate::settings::Compiled;
use chalkgap_core::RequestId;
use chalkgap_ledger::entry::RequestOpened as OpenEntry;
use chalkgap_ledger::recorder::{EntryHandle, Reservation, Settlement};
use chalkgap_runtime::Micros;
use std::sync::Arc;

/// State of a request in the ledger.
pub(super) enum LedgerState {
    /// Nothing is recorded yet.
    Unrecorded,
    /// Nothing will be recorded: there is no ledger, or it has failed and the settings permit to serve without it.
    Unbilled,
    /// The entry that opens the request is recorded.
    Open(EntryHandle),
    /// The end of the request is recorded.
    Settled,
}

/// The ledger's decision on a new request.
pub(super) enum LedgerDecision {
    /// The request is accepted, with this initial state.
    Accept(LedgerState),
    /// The request is rejected; the client may retry after this time.
    Reject { retry_after: Micros },
}

/// Result of recording an attempt.
pub(super) enum Recorded {
    /// No entry is needed: the attempt may start at once.
    NotNeeded,
    /// The attempt may start when the entry with this sequence number is durable.
    Pending { sequence: u64 },
    /// The ledger's disk has failed: the attempt must not start.
    Failed,
}

/// An attempt whose ledger entry is not durable yet.
pub(super) struct AttemptAwaitingLedger<W> {
    pub sequence: u64,
    pub call: OutboundAttempt<W>,
}

/// The ledger of an instance, and the data from which its entries are made.
pub(super) struct LedgerRecorder {
    pub handle: Arc<LedgerHandle>,
    pub settings: Arc<Compiled>,
    /// Prefix of the ids by which nodes know requests; it differs between instances and between starts of one instance.
    pub instance_name: String,
}

impl LedgerRecorder {
    /// Returns the entry that opens a request whose first attempt goes to `node`.
    fn open_entry<W>(&self, request: &PendingRequest<W>, node: String) -> OpenEntry {
        let settings = &self.settings.settings;
        let plan = settings.plans.get(usize::from(request.customer.plan));
        let class = settings.classes.get(usize::from(request.class));
        OpenEntry {
            account: request.account.clone(),
            plan: plan.map(|plan| plan.name.clone()).unwrap_or_default(),
            class: class.map(|class| class.name.clone()).unwrap_or_default(),
            units: request.units as u64,
            request: node_request_id(&self.instance_name, request.id),
            node,
        }
    }
}

impl<U: Upstream> Driver<U> {
    /// Asks the ledger whether a new request may be accepted.
    pub(super) fn reserve_in_ledger(&self) -> LedgerDecision {
        let Some(ledger) = &self.ledger else { return LedgerDecision::Accept(LedgerState::Unbilled) };
        match ledger.handle.reserve() {
            Reservation::Recorded => LedgerDecision::Accept(LedgerState::Unrecorded),
            Reservation::Unrecorded => LedgerDecision::Accept(LedgerState::Unbilled),
            Reservation::Rejected { retry_after } => LedgerDecision::Reject { retry_after },
        }
    }

    /// Records that an attempt is about to be made.
    pub(super) fn record_attempt(&mut self, call: &OutboundAttempt<U::Work>) -> Recorded {
        let Some(ledger) = &self.ledger else { return Recorded::NotNeeded };
        let Some(in_flight) = self.in_flight.get_mut(call.id) else { return Recorded::NotNeeded };
        let attempt = in_flight.attempts.get(usize::from(call.attempt));
        let node = attempt.map_or_else(String::new, |attempt| attempt.address.to_string());
        let sequence = match &in_flight.ledger {
            LedgerState::Unbilled => return Recorded::NotNeeded,
            // Another attempt of a request whose use is already recorded.
            LedgerState::Settled => return Recorded::NotNeeded,
            LedgerState::Open(entry) => ledger.handle.add_attempt(*entry, node),
            LedgerState::Unrecorded => {
                let entry = ledger.handle.open_request(ledger.open_entry(&in_flight.request, node));
                if let Some(entry) = entry {
                    in_flight.ledger = LedgerState::Open(entry);
                }
                entry.map(|entry| entry.number)
            }
        };
        match sequence {
            Some(sequence) => Recorded::Pending { sequence },
            None if ledger.handle.reserve() == Reservation::Unrecorded => {
                in_flight.ledger = LedgerState::Unbilled;
                Recorded::NotNeeded
            }
            None => Recorded::Failed,
        }
    }

    /// Hands over the waiting attempts whose entries have become durable. If the ledger's disk has failed, hands over
    /// all waiting attempts where the settings permit to serve without the ledger, and ends them unsent otherwise.
    pub(super) fn on_ledger_progress(&mut self) {
        let Some(ledger) = self.ledger.as_ref().map(|ledger| ledger.handle.clone()) else { return };
        let durable_to = ledger.durable_up_to();
        let serve_unbilled = durable_to.is_none() && ledger.reserve() == Reservation::Unrecorded;
        while let Some(first) = self.awaiting_ledger.front() {
            if durable_to.is_some_and(|durable_to| first.sequence > durable_to) {
                break;
            }
            let Some(AttemptAwaitingLedger { call, .. }) = self.awaiting_ledger.pop_front() else { break };
            let id = call.id;
            let attempt = call.attempt;
            if serve_unbilled {
                if let Some(in_flight) = self.in_flight.get_mut(id) {
                    in_flight.ledger = LedgerState::Unbilled;
                }
            }
            if durable_to.is_some() || serve_unbilled {
                self.hand_to_connection(call);
            } else {
                self.end_unsent(id, attempt);
            }
            if self.in_flight.attempt(id, attempt).is_none_or(|attempt| attempt.finished) {
                self.remove_if_finished(id);
            }
        }
        self.process_queue();
    }

    /// Records the end of a request, once.
    pub(super) fn settle(&mut self, id: RequestId, reported_units: Option<u32>, settlement: Settlement) {
        let Some(ledger) = &self.ledger else { return };
        let Some(in_flight) = self.in_flight.get_mut(id) else { return };
        let LedgerState::Open(entry) = in_flight.ledger else { return };
        in_flight.ledger = LedgerState::Settled;
        // A node may report fewer units than were admitted. A report of more is capped at the admitted units.
        let admitted_units = in_flight.request.units as u64;
        let units = reported_units.map_or(admitted_units, |reported| admitted_units.min(reported.into()));
        ledger.handle.settle(entry, units, settlement);
    }

    /// Records the end of an answered request for which no result names the node that ran it.
    ///
    /// Returns false if the request has an open entry, but there is no ledger in which to settle it.
    pub(super) fn settle_without_result(&mut self, id: RequestId) -> bool {
        let Some(in_flight) = self.in_flight.get(id) else { return true };
        let LedgerState::Open(_) = in_flight.ledger else { return true };
        let nodes = in_flight.nodes_that_may_have_run();
        let settlement = if nodes.is_empty() {
            Settlement::NeverRan
        } else {
            let Some(ledger) = &self.ledger else { return false };
            let opened = Box::new(ledger.open_entry(&in_flight.request, String::new()));
            Settlement::Unknown { nodes, opened }
        };
        self.settle(id, None, settlement);
        true
    }
}
