//! Quotas: the token bucket of a customer's plan, its hard limit, and how requests are charged and refunded.
//!
//! A customer's quota applies to all gateways together. Its owners keep the token bucket (see
//! [`ownership`](crate::ownership)); other gateways estimate the bucket from the owners' latest reply. No gateway knows
//! the latest use at its peers, so each deducts what the peers have probably admitted since their last reports.

use crate::customer::Customer;
use crate::decay::{decay_factor, to_seconds, MICROS_PER_SECOND};
use crate::interface::{CustomerId, Micros, Plan, Request};
use crate::{FleetSize, Gateway};

/// Time constant of all usage rates, in seconds: longer than a customer's pauses between requests, shorter than the
/// time in which its traffic shifts between gateways.
pub const RATE_TIME_CONSTANT: f64 = 2.0;
/// Time beyond the report period for which a peer's use may stay unreported: an allowance for lost messages and random
/// variation.
const REPORT_DELAY: Micros = 350_000;
/// Minimum usage rate that a gateway assumes for itself, as a share of its equal part of the quota's rate. It applies
/// once owners count the use of the other gateways.
const MIN_SHARE_OF_FAIR_PART: f64 = 0.1;
/// Tolerance for rounding errors of the buckets, in units.
const ROUNDING: f64 = 1e-9;
/// Minimum number of units that one unreported attempt of a peer is assumed to use.
const MIN_UNITS_PER_ATTEMPT: f64 = 0.1;
/// Minimum share of the hard limit that is assumed when the wait for it is computed.
const MIN_HARD_LIMIT_SHARE: f64 = 0.01;

/// Time until a request may fit its customer's limits, in seconds; `None` if it fits now.
#[derive(Clone, Copy)]
pub struct QuotaWait {
    /// Wait for the quota and the limit on attempts in flight.
    pub quota: Option<f64>,
    /// Wait for the hard limit.
    pub hard_limit: Option<f64>,
}

impl QuotaWait {
    /// Returns the longer of the two waits.
    pub fn longest(self) -> Option<f64> {
        self.quota.into_iter().chain(self.hard_limit).reduce(f64::max)
    }
}

impl Customer {
    /// Returns this gateway's share of the customer's use at all gateways, from 0 to 1.
    fn use_share(&self, plan: &Plan) -> f64 {
        let owners_count_the_rest = self.is_owner || self.owner_reply_at > 0;
        let floor = if owners_count_the_rest { MIN_SHARE_OF_FAIR_PART } else { 1.0 };
        let fair_rate = plan.quota_rate / self.gateway_count.max(1.0);
        let own_rate = self.use_rate.max(fair_rate * floor);
        own_rate / (own_rate + self.peer_rate).max(1e-9)
    }

    /// Refills both buckets up to `now` and lets the usage rates decay.
    pub fn refill(&mut self, plan: &Plan, now: Micros) {
        let elapsed = to_seconds(now - self.refilled_at);
        let decay = decay_factor(self.refilled_at, now, RATE_TIME_CONSTANT);
        self.use_rate *= decay;
        let refill_rate = if self.is_owner {
            self.peer_rate *= decay;
            plan.quota_rate
        } else {
            // Peers keep using the quota between two replies of an owner: their rate is deducted from the refill.
            (plan.quota_rate - self.peer_rate).max(plan.quota_rate * self.use_share(plan))
        };
        self.tokens = (self.tokens + refill_rate * elapsed).min(plan.quota_burst);
        let hard_limit_refill = plan.hard_limit_rate * self.hard_limit_share * elapsed;
        let hard_limit_burst = plan.hard_limit_burst * self.hard_limit_share;
        self.hard_limit_tokens = (self.hard_limit_tokens + hard_limit_refill).min(hard_limit_burst);
        self.refilled_at = now;
    }

    /// Returns the time until a request of `units` fits the plan's limits. The buckets must be refilled up to `now`.
    ///
    /// `report_period` is the time between two reports of a peer, and `unloaded_latency` the latency of the request's
    /// class on unloaded endpoints; both are in microseconds.
    fn wait_for(
        &self,
        plan: &Plan,
        units: f64,
        now: Micros,
        report_period: Micros,
        unloaded_latency: f64,
    ) -> QuotaWait {
        let unreported = self.unreported_by_peers(now, report_period);
        let mut quota = None;
        if plan.quota_rate > 0.0 {
            // The deduction for unreported use is limited to the peers' part of the remaining tokens.
            let peers_part = self.tokens.max(0.0) * (1.0 - self.use_share(plan));
            let available = self.tokens - unreported.min(peers_part);
            if available + ROUNDING < units {
                quota = Some((units - available) / plan.quota_rate);
            }
        }
        // A customer at its limit waits at every gateway for the same free slot: attempts that peers have probably
        // started count as well.
        let unreported_attempts = (unreported / units.max(MIN_UNITS_PER_ATTEMPT)) as u32;
        let in_flight = self.in_flight + self.peers_in_flight + unreported_attempts;
        if plan.max_in_flight > 0 && in_flight >= plan.max_in_flight {
            quota = Some(quota.unwrap_or(0.0).max(unloaded_latency / MICROS_PER_SECOND));
        }
        QuotaWait { quota, hard_limit: self.wait_for_hard_limit(plan, units) }
    }

    fn wait_for_hard_limit(&self, plan: &Plan, units: f64) -> Option<f64> {
        let available = self.hard_limit_tokens + self.transferred_tokens;
        if plan.hard_limit_rate <= 0.0 || available + ROUNDING >= units {
            return None;
        }
        let refill_rate = plan.hard_limit_rate * self.hard_limit_share.max(MIN_HARD_LIMIT_SHARE);
        Some((units - available) / refill_rate)
    }

    /// Estimates the units that peers have admitted and not yet reported. At a gateway that does not own the quota,
    /// only the time since the latest owner reply counts, because the peers query the owners as well.
    fn unreported_by_peers(&self, now: Micros, report_period: Micros) -> f64 {
        let mut delay = report_period + REPORT_DELAY;
        if !self.is_owner {
            delay = delay.min(now - self.owner_reply_at.min(now));
        }
        self.peer_rate * delay as f64 / MICROS_PER_SECOND
    }

    /// Deducts units from both buckets, transferred hard-limit units first. Negative `units` are refunded.
    ///
    /// `min_tokens` is the lowest level of the quota's bucket, 0 or less.
    fn charge(&mut self, plan: &Plan, units: f64, min_tokens: f64) {
        self.tokens = (self.tokens - units).clamp(min_tokens, plan.quota_burst);
        let transferred = units.clamp(0.0, self.transferred_tokens);
        self.transferred_tokens -= transferred;
        let hard_limit_burst = plan.hard_limit_burst * self.hard_limit_share;
        self.hard_limit_tokens = (self.hard_limit_tokens - units + transferred).min(hard_limit_burst);
        self.used_units += units;
        self.use_rate = (self.use_rate + units / RATE_TIME_CONSTANT).max(0.0);
    }
}

/// Returns the lowest level of a quota's bucket, 0 or less. In a small fleet use beyond the quota is not deducted. In a
/// large fleet the bucket may go below 0, because gateways owe the units that owners have reserved for them, used or
/// not.
pub(crate) fn min_tokens(plan: &Plan, fleet_size: FleetSize) -> f64 {
    match fleet_size {
        FleetSize::Small => 0.0,
        FleetSize::Large => -plan.quota_burst,
    }
}

impl Gateway {
    /// Refills the buckets of a customer and returns it; `None` if the customer is unknown.
    pub(crate) fn refill(&mut self, id: CustomerId) -> Option<&mut Customer> {
        let customer = self.customers.get_mut(&id)?;
        customer.refill(&self.settings.plans[customer.plan], self.now);
        Some(customer)
    }

    /// Returns the time until a request of a known customer fits its limits.
    pub(crate) fn quota_wait(&mut self, request: &Request) -> QuotaWait {
        self.refill(request.customer);
        let customer = &self.customers[&request.customer];
        let plan = &self.settings.plans[customer.plan];
        let unloaded_latency = self.latency_baselines[usize::from(request.class)].unloaded;
        customer.wait_for(plan, request.units, self.now, self.report_period, unloaded_latency)
    }

    /// Charges the units of an admitted request.
    pub(crate) fn charge(&mut self, request: &Request) {
        self.charge_units(request, request.units);
    }

    /// Refunds the units of a request that was never sent.
    pub(crate) fn refund(&mut self, request: &Request) {
        self.charge_units(request, -request.units);
    }

    fn charge_units(&mut self, request: &Request, units: f64) {
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        let plan = &self.settings.plans[customer.plan];
        customer.charge(plan, units, min_tokens(plan, self.fleet_size));
    }

    /// Updates a customer after one of its attempts ended. If the deployment settles units afterwards, the charge of
    /// `units` is corrected to the units that the endpoint counted. Returns true if the owners must get a report.
    pub(crate) fn settle_attempt_usage(&mut self, id: CustomerId, units: f64, counted: Option<f64>) -> bool {
        let settles = self.settings.post_paid;
        let correction = counted.filter(|_| settles).map_or(0.0, |counted| counted - units);
        let mut must_report = correction != 0.0;
        if let Some(customer) = self.customers.get_mut(&id) {
            customer.in_flight = customer.in_flight.saturating_sub(1);
            customer.tokens -= correction;
            customer.used_units += correction;
            must_report |= self.settings.plans[customer.plan].max_in_flight > 0;
        }
        must_report
    }
}

#[cfg(test)]
mod tests;
