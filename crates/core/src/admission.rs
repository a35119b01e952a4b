//! Admission: rejects, holds or queues a request when it arrives.
//!
//! In order:
//! 1. A malformed request, or one whose deadline is too close for it to be served, is rejected.
//! 2. Under an alert, load shedding rejects the requests of some customers for an epoch (see
//!    [`load_shedding`](crate::load_shedding)).
//! 3. If this gateway has no recent view of the customer's quota, or holds too few hard-limit units for the request,
//!    the request is held for a short time until an owner of the quota replies (see
//!    [`quota_gossip`](crate::quota_gossip)). Without a reply it is decided from local state.
//! 4. A request over its quota or hard limit ("red") is rejected, with the time until its limits may allow it.
//! 5. A request within its limits is rejected if the queue is too long for its customer; otherwise its units are
//!    charged and it is queued for an endpoint (see [`load_balancing`](crate::load_balancing)).

use crate::customer::{Customer, OwnerQuery};
use crate::decay::to_micros;
use crate::interface::{Action, CustomerId, GatewayId, Micros, Request, RequestId};
use crate::load_shedding::{shedding_draw, SHEDDING_EPOCH};
use crate::quota::QuotaWait;
use crate::request::InFlightRequest;
use crate::{FleetSize, Gateway};
use std::cmp::Reverse;

/// Maximum age of an owner's reply that is used without another query.
const REPLY_VALIDITY: Micros = 100_000;
/// Maximum age of an owner's reply that is used without another query if the quota is used up. It is longer, so that
/// not every retry of a red customer causes a query.
const NEGATIVE_REPLY_VALIDITY: Micros = 500_000;
/// Maximum age of a query to the owners that also serves requests that arrive after it.
const QUERY_VALIDITY: Micros = 100_000;
/// Share of the maximum wait for owners after which the second owner is queried as well.
const SECOND_OWNER_DELAY_SHARE: f64 = 0.4;
/// Maximum queue length as a multiple of the concurrency limit. A longer queue would not be served within the maximum
/// wait.
const MAX_QUEUE_PER_LIMIT: f64 = 0.3;
/// Number of unanswered queries to the first owner above which the second owner is queried at once.
const MAX_UNANSWERED_QUERIES: u32 = 2;

/// Whether further replies of owners are expected for a held request.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum OwnerReplies {
    /// Replies are still expected: a request without quota stays held.
    Pending,
    /// No further reply is expected: the request is decided now.
    Complete,
}

/// Owners that count a request's units as used.
#[derive(Default)]
struct Reservations {
    /// Owners whose reply confirmed the reservation.
    confirmed: Vec<GatewayId>,
    /// Owners that were queried and have not replied.
    unknown: Vec<GatewayId>,
}

impl Gateway {
    /// Handles a client's request: rejects it, holds it, or decides it from local state.
    pub(crate) fn on_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        if self.requests.contains_key(&request.id) {
            return; // duplicate event: the first one determines the answer
        }
        if !self.is_well_formed(&request) || !self.has_time_to_wait(request.deadline, self.now) {
            return self.reject(request.id, 0, actions);
        }
        if !self.has_room_for(request.customer) {
            return self.reject(request.id, self.room_expected_in(), actions);
        }
        let is_green = self.register_customer(&request);
        let plans = &self.settings.plans;
        let plan = &plans[usize::from(request.plan)];
        if !self.load_shedding.passes(self.now, request.customer, plan, plans, is_green) {
            let until_next_epoch = SHEDDING_EPOCH - self.now % SHEDDING_EPOCH;
            return self.reject(request.id, until_next_epoch, actions);
        }
        let wait = self.quota_wait(&request);
        let customer = &self.customers[&request.customer];
        // The quota suffices but this gateway's part of the hard limit does not: owners may transfer units.
        let lacks_hard_limit = wait.hard_limit.is_some()
            && wait.quota.is_none()
            && customer.hard_limit_owners != [self.settings.self_id; 2];
        let is_decided_here = self.is_quota_known(customer, &wait, &request) && !lacks_hard_limit;
        let in_flight = InFlightRequest { request, arrived_at: self.now, ..InFlightRequest::default() };
        if is_decided_here || !self.has_reachable_owner(customer) {
            self.requests.insert(request.id, in_flight);
            return self.admit(request.id, OwnerReplies::Complete, actions);
        }
        self.hold(in_flight, &wait, lacks_hard_limit, actions);
    }

    fn is_well_formed(&self, request: &Request) -> bool {
        let class_exists = usize::from(request.class) < self.settings.classes.len();
        let plan_exists = usize::from(request.plan) < self.settings.plans.len();
        class_exists && plan_exists && request.units.is_finite() && request.units >= 0.0
    }

    /// Returns whether this gateway can decide on a customer's quota itself: it is an owner, or an owner replied
    /// recently.
    fn is_quota_known(&self, customer: &Customer, wait: &QuotaWait, request: &Request) -> bool {
        let counts_attempts = self.settings.plans[usize::from(request.plan)].max_in_flight > 0;
        let has_no_tokens = wait.quota.is_some() && !counts_attempts;
        let validity = if has_no_tokens { NEGATIVE_REPLY_VALIDITY } else { REPLY_VALIDITY };
        let reply_age = self.now - customer.owner_reply_at.min(self.now);
        customer.is_owner || reply_age < validity
    }

    fn has_reachable_owner(&self, customer: &Customer) -> bool {
        let mut owners = customer.hard_limit_owners.iter();
        owners.any(|owner| *owner != self.settings.self_id && !self.is_unreachable(*owner))
    }

    /// Holds a request and queries the owners of its customer's quota.
    fn hold(
        &mut self,
        held: InFlightRequest,
        wait: &QuotaWait,
        lacks_hard_limit: bool,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let request = held.request;
        let max_wait = self.owner_reply_deadline(&held) - now;
        self.requests.insert(request.id, InFlightRequest { awaiting_owner: true, ..held });
        let query_second_at = now + (max_wait as f64 * SECOND_OWNER_DELAY_SHARE) as Micros;
        self.checks.push(Reverse((query_second_at, request.id)));
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        customer.awaiting_owner.push(request.id);
        let is_first = customer.awaiting_owner.len() == 1;
        if !is_first && now - customer.owner_query.started_at <= QUERY_VALIDITY && !lacks_hard_limit {
            return; // the query in progress serves this request as well
        }
        customer.owner_query = OwnerQuery {
            started_at: now,
            units: request.units,
            wants_hard_limit_tokens: wait.hard_limit.is_some(),
            ..OwnerQuery::default()
        };
        let [first, second] = customer.hard_limit_owners;
        self.query_owner(request.customer, first, actions);
        // In a large fleet all gateways query the first owner, so that it knows the state of the bucket. Admitted units
        // are reported to the second owner, which takes over if the first one fails. Querying both would cost six
        // messages per request. Hard-limit units are requested from both, because each holds a part of them.
        let peer = self.peers.get(&first);
        let is_silent = peer.is_some_and(|peer| peer.unanswered > MAX_UNANSWERED_QUERIES || peer.unreachable);
        if lacks_hard_limit || self.fleet_size == FleetSize::Small || is_silent {
            self.query_owner(request.customer, second, actions);
        }
    }

    /// Admits a request if its limits and the queue allow it, otherwise rejects it. A request over its limits stays
    /// held while owner replies are pending.
    pub(crate) fn admit(&mut self, id: RequestId, replies: OwnerReplies, actions: &mut Vec<Action>) {
        let Some(held) = self.requests.get(&id) else { return };
        let request = held.request;
        let was_held = held.awaiting_owner;
        let wait = self.quota_wait(&request).longest();
        if wait.is_some() && replies == OwnerReplies::Pending {
            return;
        }
        if let Some(held) = self.requests.get_mut(&id) {
            held.awaiting_owner = false;
        }
        let reservations = if was_held { self.take_reservations(&request) } else { Reservations::default() };
        let is_rejected = wait.is_some() || self.is_queue_full_for(request.customer);
        if is_rejected {
            if was_held {
                self.release_hold(request.customer, id);
            }
            return self.reject_without_capacity(&request, wait, &reservations, actions);
        }
        self.load_shedding.record_admission();
        self.admission_rate.record(self.now);
        self.charge(&request);
        if was_held {
            self.release_hold(request.customer, id);
        }
        // Owners that confirmed a reservation have already counted the units.
        self.report(request.customer, |owner| !reservations.confirmed.contains(&owner));
        self.queue.push_back(id);
        self.dispatch(actions);
        self.give_up(id, actions);
    }

    /// Rejects a request that is over its limits or finds the queue full, and reports the customer's use to the owners
    /// that have reserved the request's units or may have.
    ///
    /// `wait` is the time in seconds until the limits may allow the request; `None` if the queue is full.
    fn reject_without_capacity(
        &mut self,
        request: &Request,
        wait: Option<f64>,
        reservations: &Reservations,
        actions: &mut Vec<Action>,
    ) {
        let retry_after = match wait {
            Some(seconds) => to_micros(seconds),
            None => {
                self.load_shedding.record_rejection();
                self.expected_queue_delay(request.class)
            }
        };
        self.requests.remove(&request.id);
        self.reject(request.id, retry_after, actions);
        self.report(request.customer, |owner| {
            reservations.confirmed.contains(&owner) || reservations.unknown.contains(&owner)
        });
    }

    /// Returns whether the queue is full for a customer. The longer the queue, the fewer customers may join it; as in
    /// load shedding, the same customers may join for a whole epoch.
    fn is_queue_full_for(&self, customer: CustomerId) -> bool {
        let limit = self.max_in_flight();
        let queue_utilization = self.queue.len() as f64 / (limit * MAX_QUEUE_PER_LIMIT);
        let limit_reached = f64::from(self.in_flight) >= limit;
        limit_reached && shedding_draw(customer, self.now) >= 1.0 - queue_utilization
    }

    /// Takes the owners that reserved units for a held request or may have. A reservation is valid for one request
    /// only, and only for a request of the queried size.
    fn take_reservations(&mut self, request: &Request) -> Reservations {
        let Some(customer) = self.customers.get_mut(&request.customer) else {
            return Reservations::default();
        };
        let query = &mut customer.owner_query;
        let has_not_replied = |owner: &&GatewayId| !query.replied.contains(owner);
        let unknown = query.queried.iter().filter(has_not_replied).copied().collect();
        let is_for_this_size = request.units == query.units;
        let confirmed = if is_for_this_size { std::mem::take(&mut query.reserving) } else { Vec::new() };
        Reservations { confirmed, unknown }
    }

    /// Removes a request from the held ones. Transferred hard-limit units lapse when the customer has no held request
    /// left.
    pub(crate) fn release_hold(&mut self, customer: CustomerId, id: RequestId) {
        if let Some(customer) = self.customers.get_mut(&customer) {
            customer.awaiting_owner.retain(|held| *held != id);
            if customer.awaiting_owner.is_empty() {
                customer.transferred_tokens = 0.0;
            }
        }
    }

    /// Rejects a request. If the deployment permits retry advice, the rejection tells the client to wait for
    /// `retry_after`, at most `max_retry_after`.
    pub(crate) fn reject(&self, id: RequestId, retry_after: Micros, actions: &mut Vec<Action>) {
        let limits = &self.settings.limits;
        let max_retry_after = if limits.retry_after { limits.max_retry_after } else { 0 };
        actions.push(Action::Reject { id, retry_after: retry_after.min(max_retry_after) });
    }
}
