//! The querying gateway's side: queries a customer's owners, and decides held requests by their replies.

use crate::admission::OwnerReplies;
use crate::customer::{Customer, PendingReport};
use crate::gossip::{incarnation_at, is_later, units_between, wrap_units, OwnerReply};
use crate::interface::{Action, CustomerId, GatewayId, Micros, Plan, RequestId};
use crate::ownership::CUSTOMER_IDLE_TIME;
use crate::request::InFlightRequest;
use crate::{FleetSize, Gateway};
use std::cmp::Reverse;

/// Maximum wait for a reply in a small fleet, where all gateways own the quota and rarely need to query.
const MAX_REPLY_WAIT_IN_SMALL_FLEET: Micros = 100_000;
/// Maximum wait for a reply in a large fleet, where two owners may be queried one after the other.
const MAX_REPLY_WAIT_IN_LARGE_FLEET: Micros = 150_000;
/// A request waits for a reply for at most its useful lifetime divided by this.
const REPLY_WAIT_DIVISOR: f64 = 5.0;
/// Time after the query at which transferred hard-limit units are no longer accepted.
const TRANSFER_LIFETIME: Micros = 250_000;

impl Customer {
    /// Applies an owner's reply. A gateway that is an owner itself keeps its own count of the quota.
    fn apply_reply(&mut self, from: GatewayId, reply: &OwnerReply, plan: &Plan, now: Micros) {
        let fits_quota = plan.quota_burst == 0.0 || reply.tokens >= self.owner_query.units;
        let in_flight = u32::from(reply.peers_in_flight) + self.in_flight;
        let fits_in_flight = plan.max_in_flight == 0 || in_flight < plan.max_in_flight;
        if fits_quota && fits_in_flight {
            self.owner_query.reserving.push(from);
        }
        if !self.is_owner {
            self.peer_rate = reply.peer_rate;
            self.peers_in_flight = u32::from(reply.peers_in_flight);
            self.owner_reply_at = now;
            // Use that the owner has not yet counted is deducted.
            self.tokens = reply.tokens - units_between(reply.receiver_total, wrap_units(self.used_units));
        }
        self.owner_query.replied.push(from);
        // A transfer is for the requests that are held now. A late transfer is ignored: added to a full bucket, it would
        // exceed the bucket's capacity.
        if now - self.owner_query.started_at < TRANSFER_LIFETIME {
            self.transferred_tokens += reply.transferred_tokens;
        }
    }
}

impl Gateway {
    /// Returns the time until which a held request waits for a reply.
    pub(crate) fn owner_reply_deadline(&self, held: &InFlightRequest) -> Micros {
        let max_wait = match self.fleet_size {
            FleetSize::Small => MAX_REPLY_WAIT_IN_SMALL_FLEET,
            FleetSize::Large => MAX_REPLY_WAIT_IN_LARGE_FLEET,
        };
        let class = &self.settings.classes[usize::from(held.request.class)];
        let lifetime = held.useful_lifetime(class.latency_objective);
        held.arrived_at + max_wait.min((lifetime / REPLY_WAIT_DIVISOR) as Micros)
    }

    /// Queries an owner unless the current query has already been sent to it. The message also reports the customer's
    /// use.
    pub(crate) fn query_owner(&mut self, id: CustomerId, owner: GatewayId, actions: &mut Vec<Action>) {
        if !self.settings.limits.gossip || owner == self.settings.self_id || self.is_unreachable(owner) {
            return;
        }
        let Some(customer) = self.customers.get_mut(&id) else { return };
        if customer.owner_query.queried.contains(&owner) {
            return;
        }
        customer.owner_query.queried.push(owner);
        let peer = self.peers.entry(owner).or_default();
        peer.unanswered = peer.unanswered.saturating_add(1);
        peer.outbox.insert(id, PendingReport { remaining_sends: 1, wants_reply: true });
        self.peers_to_notify.insert(owner);
        self.send_reports(owner, actions);
    }

    /// Checks a held request: queries the owners that have not been queried yet or, at the end of the wait, decides the
    /// request from local state.
    pub(crate) fn check_held(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(held) = self.requests.get(&id) else { return };
        let deadline = self.owner_reply_deadline(held);
        let customer = held.request.customer;
        if self.now >= deadline {
            return self.admit(id, OwnerReplies::Complete, actions);
        }
        self.checks.push(Reverse((deadline, id)));
        let self_id = self.settings.self_id;
        let owners =
            self.customers.get(&customer).map_or([self_id; 2], |customer| customer.hard_limit_owners);
        owners.into_iter().for_each(|owner| self.query_owner(customer, owner, actions));
    }

    /// Handles an owner's reply: applies it, and decides the held requests of the customer.
    pub(crate) fn on_reply(&mut self, from: GatewayId, reply: OwnerReply, actions: &mut Vec<Action>) {
        let now = self.now;
        self.peers.entry(from).or_default().unanswered = 0;
        if self.refill(reply.customer).is_none() {
            return;
        }
        let Some(customer) = self.customers.get_mut(&reply.customer) else { return };
        if !customer.owners.contains(&from) {
            return;
        }
        customer.apply_reply(from, &reply, &self.settings.plans[customer.plan], now);
        let held = customer.awaiting_owner.clone();
        let owners = customer.hard_limit_owners;
        let replies = self.replies_after(from, reply.customer);
        held.iter().for_each(|id| self.admit(*id, replies, actions));
        let is_still_held = |id: &RequestId| self.requests.get(id).is_some_and(|held| held.awaiting_owner);
        if held.iter().any(is_still_held) {
            owners.into_iter().for_each(|owner| self.query_owner(reply.customer, owner, actions));
        }
    }

    /// Returns whether further replies are expected after one of the owner `from`. In a large fleet the first owner's
    /// reply suffices, unless that owner started too recently to know enough, or hard-limit units are needed, which
    /// both owners hold.
    fn replies_after(&self, from: GatewayId, id: CustomerId) -> OwnerReplies {
        let Some(customer) = self.customers.get(&id) else { return OwnerReplies::Complete };
        let owners = customer.hard_limit_owners;
        let query = &customer.owner_query;
        let has_replied = |owner: &GatewayId| {
            *owner == self.settings.self_id || query.replied.contains(owner) || self.is_unreachable(*owner)
        };
        let is_first_owner = from == owners[0] || self.is_unreachable(owners[0]);
        let first_suffices = self.fleet_size == FleetSize::Large
            && !self.is_newly_started(from)
            && is_first_owner
            && !query.wants_hard_limit_tokens;
        if owners.iter().all(has_replied) || first_suffices {
            OwnerReplies::Complete
        } else {
            OwnerReplies::Pending
        }
    }

    /// Returns whether a peer started within the idle time and well after this gateway.
    fn is_newly_started(&self, peer: GatewayId) -> bool {
        let Some(peer) = self.peers.get(&peer) else { return false };
        let age_millis = incarnation_at(self.now).wrapping_sub(peer.incarnation);
        let is_recent = age_millis < (CUSTOMER_IDLE_TIME / 1_000) as u32;
        let own_incarnation = incarnation_at(self.started_at);
        is_recent
            && is_later(peer.incarnation, own_incarnation.wrapping_add(super::MIN_AGE_DIFFERENCE_MILLIS))
    }
}
