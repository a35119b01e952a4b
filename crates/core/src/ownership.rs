//! Ownership: which gateways keep a customer's quota, and which share of its hard limit each gateway may spend.
//!
//! A customer's requests come to a known set of gateways, a contiguous range of their numbers. In a small fleet all of
//! them own its quota: each receives the usage reports of all others. In a large fleet two of them own it, chosen by a
//! hash of the customer's id, so that every gateway can determine them without a message. The others report their use
//! to the owners and query them before they admit requests (see [`quota_gossip`](crate::quota_gossip)).
//!
//! The hard limit is divided among the gateways instead, so that it holds even if messages are lost: half of it is
//! spread over all gateways of the customer, and half is held by its two owners, which transfer units on demand.

use crate::customer::Customer;
use crate::decay::{to_seconds, MICROS_PER_SECOND};
use crate::interface::{CustomerId, GatewayId, Micros, Plan, Request};
use crate::random::unit_hash;
use crate::{FleetSize, Gateway};

/// A customer that has sent nothing for this long is green, and is removed once its buckets are full.
pub const CUSTOMER_IDLE_TIME: Micros = 10_000_000;
/// Share of a hard limit that the two owners hold together.
const OWNERS_HARD_LIMIT_PART: f64 = 0.5;

/// The gateways that receive a customer's requests: a range of numbers that continues at 0 after the last gateway.
#[derive(Clone, Copy)]
pub struct GatewayRange {
    /// Number of the first gateway.
    pub first: u16,
    /// Number of gateways in the range.
    pub count: f64,
}

impl GatewayRange {
    /// Returns the range that a request specifies; all gateways if its values are invalid.
    fn of_request(request: &Request, gateways: u16) -> Self {
        let all = f64::from(gateways.max(1));
        if !request.gateway_count.is_finite() || !(0.0..all).contains(&request.first_gateway) {
            return GatewayRange { first: 0, count: all };
        }
        let first = request.first_gateway.floor() as u16;
        GatewayRange { first, count: request.gateway_count.clamp(1.0, all) }
    }
}

impl Customer {
    /// Assigns the customer's owners and this gateway's share of its hard limit. The assignment is permanent, because a
    /// share must not be handed out twice. Does nothing if the owners are already assigned.
    fn assign_owners(&mut self, id: CustomerId, range: GatewayRange, fleet: &FleetState, plan: &Plan) {
        if !self.owners.is_empty() {
            return;
        }
        let count = u64::from((range.count as u16).clamp(1, fleet.gateways));
        let member = |offset: u64| {
            let number = (u64::from(range.first) + offset % count) % u64::from(fleet.gateways);
            GatewayId(number as u16)
        };
        let first_owner = (unit_hash(id.0) * count as f64) as u64;
        let distance = 1 + (unit_hash(!id.0) * (count as f64 - 1.0)) as u64;
        self.first_gateway = range.first;
        self.gateway_count = count as f64;
        self.hard_limit_owners = [member(first_owner), member(first_owner + distance)];
        self.owners = match fleet.size {
            FleetSize::Small => (0..count).map(member).collect(),
            FleetSize::Large => self.hard_limit_owners.to_vec(),
        };
        self.owners.dedup();
        self.is_owner = self.owners.contains(&fleet.self_id);
        let owner_positions =
            self.hard_limit_owners.iter().filter(|owner| **owner == fleet.self_id).count() as f64;
        self.hard_limit_share = (1.0 - OWNERS_HARD_LIMIT_PART) / self.gateway_count
            + owner_positions * OWNERS_HARD_LIMIT_PART / 2.0;
        // The bucket was empty when this gateway started, because what was spent before that is unknown.
        let refilled = plan.hard_limit_rate * fleet.since_start as f64 / MICROS_PER_SECOND;
        self.hard_limit_tokens = refilled.min(plan.hard_limit_burst) * self.hard_limit_share;
        // If no peer is older than this gateway, the fleet started with it and the bucket is full.
        if self.is_owner && !fleet.older_peer_seen {
            self.tokens = plan.quota_burst;
        }
    }
}

/// The inputs of the assignment of owners, apart from the customer.
struct FleetState {
    gateways: u16,
    self_id: GatewayId,
    size: FleetSize,
    /// Microseconds since this gateway started.
    since_start: Micros,
    older_peer_seen: bool,
}

impl Gateway {
    /// Adds or updates the customer of a request. Returns whether it is green: it has sent no request for
    /// [`CUSTOMER_IDLE_TIME`].
    pub(crate) fn register_customer(&mut self, request: &Request) -> bool {
        let now = self.now;
        let since_start = to_seconds(now - self.started_at);
        let range = GatewayRange::of_request(request, self.settings.gateways);
        let plan = &self.settings.plans[usize::from(request.plan)];
        let new_customer = || {
            // An equal part of the burst, or the units of one request, and the refill since this gateway started.
            let fair_part = (plan.quota_burst / range.count).max(request.units);
            Customer {
                tokens: (fair_part + plan.quota_rate * since_start).min(plan.quota_burst),
                peer_rate: plan.quota_rate * (1.0 - 1.0 / range.count),
                refilled_at: now,
                ..Customer::default()
            }
        };
        let customer = self.customers.entry(request.customer).or_insert_with(new_customer);
        let last_request_at = customer.last_request_at;
        let is_green = last_request_at == 0 || now - last_request_at > CUSTOMER_IDLE_TIME;
        customer.plan = usize::from(request.plan);
        customer.last_request_at = now;
        self.assign_owners(request.customer, range);
        is_green
    }

    /// Assigns the owners of a known customer, see [`Customer::assign_owners`].
    pub(crate) fn assign_owners(&mut self, id: CustomerId, range: GatewayRange) {
        let fleet = FleetState {
            gateways: self.settings.gateways,
            self_id: self.settings.self_id,
            size: self.fleet_size,
            since_start: self.now - self.started_at,
            older_peer_seen: self.older_peer_seen,
        };
        if let Some(customer) = self.customers.get_mut(&id) {
            let plan = &self.settings.plans[customer.plan];
            customer.assign_owners(id, range, &fleet, plan);
        }
    }
}
