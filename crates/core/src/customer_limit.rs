//! The limit on the number of customers that a gateway keeps a record of, and which records are removed to make room for
//! others.
//!
//! A record may be removed only if the customer loses nothing by it: it has no open request here and no attempt in
//! flight at a peer, and either both buckets are full or nothing was ever taken from them. The spent units of a hard limit
//! and a customer over its quota are therefore kept. Records of customers of which nothing was admitted go first, then
//! those that have been idle for the longest time. If no record may be removed, requests of further customers are
//! rejected, and reports of them are ignored.

use crate::customer::Customer;
use crate::interface::{CustomerId, Micros, Plan};
use crate::Gateway;
use std::collections::BTreeSet;

/// Upper bound of the memory that the record of one customer takes, in bytes: its share of the map, what two peers
/// report of it, and the reports of it that wait to be sent.
pub const CUSTOMER_RECORD_BYTES: usize = 1200;
/// The share of all records that is removed at once, as a divisor: the search for them looks at all records.
const BATCH_DIVISOR: usize = 8;
/// Time to the next search for records after one that did not find enough.
const SEARCH_INTERVAL: Micros = 100_000;
/// Tolerance for rounding errors of the buckets, in units.
const ROUNDING: f64 = 1e-6;

/// The order in which records are removed: unused ones first, then by the time of the last request.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RemovalRank {
    is_used: bool,
    last_request_at: Micros,
    id: CustomerId,
}

impl Customer {
    /// Whether nothing was ever taken from the customer's buckets, as far as this gateway knows.
    fn is_unused(&self) -> bool {
        self.used_units == 0.0 && self.usage_by_peer.is_empty() && self.owner_reply_at == 0
    }

    /// Whether both buckets are full. They must be refilled up to now.
    fn has_full_buckets(&self, plan: &Plan) -> bool {
        let hard_limit_burst = plan.hard_limit_burst * self.hard_limit_share;
        let quota_is_full = plan.quota_rate <= 0.0 || self.tokens + ROUNDING >= plan.quota_burst;
        let hard_limit_is_full =
            plan.hard_limit_rate <= 0.0 || self.hard_limit_tokens + ROUNDING >= hard_limit_burst;
        quota_is_full && hard_limit_is_full
    }

    /// Whether the record may be removed before its time if this gateway has no open request of the customer.
    fn is_removable(&mut self, plan: &Plan, now: Micros) -> bool {
        self.refill(plan, now);
        self.peers_in_flight == 0 && (self.is_unused() || self.has_full_buckets(plan))
    }
}

impl Gateway {
    /// Returns whether the customer has a record, or one may be added for it. Removes other records if necessary.
    pub(crate) fn has_room_for(&mut self, id: CustomerId) -> bool {
        let limit = self.settings.max_customers;
        if limit == 0 || self.customers.len() < limit || self.customers.contains_key(&id) {
            return true;
        }
        if self.now >= self.next_removal_search {
            self.remove_batch(limit.div_ceil(BATCH_DIVISOR));
        }
        self.customers.len() < limit
    }

    /// Returns the time until a customer without a record may get one.
    pub(crate) fn room_expected_in(&self) -> Micros {
        self.next_removal_search.saturating_sub(self.now)
    }

    /// Removes up to `count` records.
    fn remove_batch(&mut self, count: usize) {
        let now = self.now;
        let plans = &self.settings.plans;
        let with_open_requests: BTreeSet<CustomerId> =
            self.requests.values().map(|open| open.request.customer).collect();
        let removable = self.customers.iter_mut().filter_map(|(id, customer)| {
            let is_removable =
                !with_open_requests.contains(id) && customer.is_removable(&plans[customer.plan], now);
            is_removable.then(|| RemovalRank {
                is_used: !customer.is_unused(),
                last_request_at: customer.last_request_at,
                id: *id,
            })
        });
        let mut removable: Vec<RemovalRank> = removable.collect();
        removable.sort_unstable();
        if removable.len() < count {
            self.next_removal_search = now + SEARCH_INTERVAL;
        }
        for rank in removable.into_iter().take(count) {
            if let Some(customer) = self.customers.remove(&rank.id) {
                self.drop_reports(rank.id, &customer);
            }
        }
    }

    /// Drops the reports of a removed customer that wait to be sent.
    pub(crate) fn drop_reports(&mut self, id: CustomerId, customer: &Customer) {
        for owner in &customer.owners {
            let Some(peer) = self.peers.get_mut(owner) else { continue };
            peer.outbox.remove(&id);
            if peer.outbox.is_empty() {
                self.peers_to_notify.remove(owner);
            }
        }
    }
}
