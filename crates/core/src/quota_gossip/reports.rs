//! Reports to owners: their content, when they are sent, and when customers are removed.

use super::next_round_robin;
use crate::customer::{Customer, PendingReport};
use crate::decay::to_micros;
use crate::gossip::{
    incarnation_at, wrap_units, Body, Message, UsageReport, MAX_FILL_LEVEL, MAX_IN_FLIGHT, MAX_PLAN,
    MAX_REPORTS,
};
use crate::interface::{Action, CustomerId, GatewayId, Micros, Plan};
use crate::ownership::CUSTOMER_IDLE_TIME;
use crate::random::unit_hash;
use crate::Gateway;

/// How long results of attempts are sent to peers: about as long as they affect the pressure.
const SAMPLE_LIFETIME: Micros = 1_000_000;
/// Interval at which reports that may have been lost are repeated, and customers that are no longer needed are removed.
const MAINTENANCE_INTERVAL: Micros = 1_000_000;
/// Time without a report of a peer after which its attempts in flight no longer count.
const PEER_IN_FLIGHT_LIFETIME: Micros = 1_500_000;
/// A gateway that does not own the quota reports a bucket's fill level for this long after an owner's reply: the idle
/// time divided by this.
const FILL_LEVEL_VALIDITY_DIVISOR: u64 = 10;
/// Customers are kept for at least this many idle times, and until their buckets are certainly full.
const RETENTION_IDLE_TIMES: u64 = 2;
/// Maximum time to fill a bucket that is taken into account, in seconds.
const MAX_REFILL_SECONDS: f64 = 1e6;

/// Returns the seconds until both buckets of a plan are full, whatever they held. A customer that is removed and seen
/// again starts with full buckets.
fn refill_seconds(plan: &Plan) -> f64 {
    let quota = plan.quota_burst / plan.quota_rate;
    let hard_limit = plan.hard_limit_burst / plan.hard_limit_rate;
    quota.max(hard_limit).clamp(0.0, MAX_REFILL_SECONDS) // 0 / 0 is NaN, which `max` ignores
}

impl Customer {
    /// At an owner, stops counting the attempts of peers that have not reported for a while. Removes peers that have
    /// not reported for a long time.
    fn expire_peers(&mut self, now: Micros, plan: &Plan) {
        if plan.max_in_flight > 0 && self.is_owner {
            let usages = self.usage_by_peer.values_mut();
            let silent = usages.filter(|usage| now - usage.reported_at > PEER_IN_FLIGHT_LIFETIME);
            silent.for_each(|usage| usage.in_flight = 0);
            self.peers_in_flight = self.usage_by_peer.values().map(|usage| u32::from(usage.in_flight)).sum();
        }
        self.usage_by_peer
            .retain(|_, usage| now - usage.reported_at <= RETENTION_IDLE_TIMES * CUSTOMER_IDLE_TIME);
    }

    /// Returns whether the customer must be kept.
    fn is_needed(&self, now: Micros, plan: &Plan) -> bool {
        let lifetime = RETENTION_IDLE_TIMES * CUSTOMER_IDLE_TIME.max(to_micros(refill_seconds(plan)));
        self.in_flight > 0 || !self.awaiting_owner.is_empty() || now - self.last_request_at <= lifetime
    }

    /// Returns how full the quota's bucket is, in 254ths; `None` if no owner has replied recently.
    fn reported_fill_level(&self, now: Micros, plan: &Plan) -> Option<u8> {
        let reply_age = now - self.owner_reply_at.min(now);
        let is_known = self.is_owner || reply_age < CUSTOMER_IDLE_TIME / FILL_LEVEL_VALIDITY_DIVISOR;
        let levels = f64::from(MAX_FILL_LEVEL);
        let level = (self.tokens / plan.quota_burst.max(1e-9) * levels).clamp(0.0, levels) as u8;
        is_known.then_some(level)
    }
}

impl Gateway {
    /// Queues a report of a customer to those of its owners for which `wants` returns true.
    pub(crate) fn report(&mut self, id: CustomerId, wants: impl Fn(GatewayId) -> bool) {
        if !self.settings.limits.gossip {
            return;
        }
        let Some(customer) = self.customers.get(&id) else { return };
        // Sent twice if the plan limits attempts in flight: if the report of an ended attempt were lost, the attempt
        // would keep counting against the limit.
        let counts_attempts = self.settings.plans[customer.plan].max_in_flight > 0;
        let remaining_sends = 1 + u8::from(counts_attempts);
        let owners = customer.owners.iter().copied();
        for owner in owners.filter(|owner| *owner != self.settings.self_id && wants(*owner)) {
            let outbox = &mut self.peers.entry(owner).or_default().outbox;
            outbox.entry(id).or_default().remaining_sends = remaining_sends;
            self.peers_to_notify.insert(owner);
        }
    }

    /// Sends a peer its pending reports, as many as fit into a message.
    pub(crate) fn send_reports(&mut self, to: GatewayId, actions: &mut Vec<Action>) {
        let Some(peer) = self.peers.get_mut(&to) else { return };
        let outgoing = next_round_robin(&peer.outbox, peer.next_customer, MAX_REPORTS);
        if let Some((last, _)) = outgoing.last() {
            peer.next_customer = CustomerId(last.0 + 1);
        }
        for (id, pending) in &outgoing {
            let remaining_sends = pending.remaining_sends - 1;
            peer.outbox.insert(*id, PendingReport { remaining_sends, wants_reply: false });
        }
        peer.outbox.retain(|_, pending| pending.remaining_sends > 0);
        if peer.outbox.is_empty() {
            self.peers_to_notify.remove(&to);
        }
        let reports =
            outgoing.into_iter().filter_map(|(id, pending)| self.usage_report(id, to, pending.wants_reply));
        let reports: Vec<UsageReport> = reports.collect();
        self.send_message(to, Body::Reports(reports), actions);
    }

    fn usage_report(&mut self, id: CustomerId, to: GatewayId, wants_reply: bool) -> Option<UsageReport> {
        let now = self.now;
        let self_id = self.settings.self_id;
        self.refill(id)?;
        let customer = self.customers.get(&id)?;
        let plan = &self.settings.plans[customer.plan];
        // One of the two owners is drawn to transfer hard-limit units, because two transfers would waste one of them.
        // If this gateway is one of the owners, the other one may always transfer.
        let owners = customer.hard_limit_owners;
        let drawn_owner = owners[usize::from(unit_hash(now ^ id.0) < 0.5)];
        let may_transfer = drawn_owner == to || owners.contains(&self_id);
        Some(UsageReport {
            customer: id,
            plan: customer.plan.min(MAX_PLAN) as u8,
            total_units: wrap_units(customer.used_units),
            in_flight: customer.in_flight.min(u32::from(MAX_IN_FLIGHT)) as u8,
            fill_level: customer.reported_fill_level(now, plan),
            first_gateway: customer.first_gateway,
            gateway_count: customer.gateway_count as u16,
            wants_reply,
            requested_units: customer.owner_query.units,
            wants_hard_limit_tokens: wants_reply
                && customer.owner_query.wants_hard_limit_tokens
                && may_transfer,
        })
    }

    /// Sends a message to a peer, with the latest results of attempts.
    pub(crate) fn send_message(&mut self, to: GatewayId, body: Body, actions: &mut Vec<Action>) {
        let now = self.now;
        self.samples.retain(|(sampled_at, _)| now < sampled_at + SAMPLE_LIFETIME);
        let samples = self.samples.iter().map(|(_, sample)| *sample).collect();
        let peer = self.peers.entry(to).or_default();
        peer.last_sent = peer.last_sent.wrapping_add(1);
        peer.next_message_at = now + self.report_period;
        let incarnation = incarnation_at(self.started_at);
        let bytes = Message { incarnation, sequence: peer.last_sent, samples, body }.pack();
        actions.push(Action::SendGossip { to: Some(to), bytes });
    }

    /// Once a second, queues reports of customers with attempts in flight again, and removes customers whose
    /// state is no longer needed.
    pub(crate) fn expire_customers(&mut self) {
        let now = self.now;
        if now < self.next_maintenance {
            return;
        }
        self.next_maintenance = now + MAINTENANCE_INTERVAL;
        let plans = &self.settings.plans;
        let mut to_report = Vec::new();
        let mut expired = Vec::new();
        self.customers.retain(|id, customer| {
            let plan = &plans[customer.plan];
            if plan.max_in_flight > 0 && customer.in_flight > 0 {
                to_report.push(*id);
            }
            customer.expire_peers(now, plan);
            let is_needed = customer.is_needed(now, plan);
            if !is_needed {
                expired.push((*id, std::mem::take(customer)));
            }
            is_needed
        });
        expired.iter().for_each(|(id, customer)| self.drop_reports(*id, customer));
        to_report.into_iter().for_each(|id| self.report(id, |_| true));
    }
}
