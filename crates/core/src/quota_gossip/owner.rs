//! The owner's side: counts the use that peers report for a customer, and replies to their queries.

use crate::customer::{Customer, PeerUsage};
use crate::decay::{decay_factor, to_seconds};
use crate::gossip::{
    round_down_units, units_between, OwnerReply, UsageReport, MAX_FILL_LEVEL, MAX_IN_FLIGHT,
};
use crate::interface::{GatewayId, Micros, Plan};
use crate::ownership::GatewayRange;
use crate::quota::{min_tokens, RATE_TIME_CONSTANT};
use crate::Gateway;

/// Maximum first report of a peer that counts as new use, as a share of the burst: a larger one includes use from
/// before this gateway's start.
const MAX_FIRST_REPORT: f64 = 0.25;

/// The inputs for counting a report, apart from the customer.
struct ReportContext<'a> {
    now: Micros,
    plan: &'a Plan,
    from: GatewayId,
    /// Whether the sender started after this gateway, so that its whole count is new.
    sender_is_younger: bool,
    min_tokens: f64,
}

/// Returns the units in the bucket according to the sender's fill level; `None` if the sender does not know it.
fn reported_tokens(report: &UsageReport, plan: &Plan) -> Option<f64> {
    let level = report.fill_level?;
    Some(f64::from(level) / f64::from(MAX_FILL_LEVEL) * plan.quota_burst)
}

impl Customer {
    /// Returns the units that a peer has used since its last report; negative if its count fell by up to the burst.
    fn newly_used(
        &mut self,
        context: &ReportContext,
        report: &UsageReport,
        known: Option<&PeerUsage>,
    ) -> f64 {
        let burst = context.plan.quota_burst;
        let counted = known.map_or(0, |usage| usage.total);
        let used = units_between(counted, report.total_units);
        let is_older_count = known.is_none() && !context.sender_is_younger;
        if is_older_count && used.abs() > burst * MAX_FIRST_REPORT {
            // The count began before this gateway started: the sender's view of the bucket is used instead.
            if let Some(tokens) = reported_tokens(report, context.plan) {
                self.tokens = self.tokens.min((tokens - self.used_units).max(0.0));
            }
            return 0.0;
        }
        if used < -burst {
            return 0.0; // the peer has started a new count
        }
        used
    }

    /// Applies a report to the bucket and the rates.
    ///
    /// Use that is reported later than the bucket takes to fill is spread over the time without reports: most of it has
    /// been refilled, and use beyond the quota was not deducted.
    fn count_report(&mut self, context: &ReportContext, report: &UsageReport) -> PeerUsage {
        let now = context.now;
        let plan = context.plan;
        let known = self.usage_by_peer.get(&context.from).copied();
        let mut usage = known.unwrap_or_default();
        let mut used = self.newly_used(context, report, known.as_ref());
        let since_last_report = to_seconds(now - usage.reported_at.min(now));
        let refill_time = plan.quota_burst / plan.quota_rate.max(1e-9);
        let is_late = known.is_some() && since_last_report > refill_time && used > usage.reserved;
        if is_late {
            used = usage.reserved + (used - usage.reserved) * refill_time / since_last_report;
        }
        let before = self.tokens + usage.reserved;
        let lowest = if is_late { before.min(0.0).max(context.min_tokens) } else { context.min_tokens };
        self.tokens = (before - used).clamp(lowest, plan.quota_burst);
        let decay = decay_factor(usage.reported_at, now, RATE_TIME_CONSTANT);
        usage.rate = (usage.rate * decay + used / RATE_TIME_CONSTANT).max(0.0);
        self.peer_rate = (self.peer_rate + used / RATE_TIME_CONSTANT).max(0.0);
        usage.total = report.total_units;
        usage.reported_at = now;
        usage
    }

    /// Returns whether a peer's request fits the quota and the limit on attempts in flight. `others_in_flight` is the
    /// number of attempts of all gateways but the peer.
    fn fits_limits(&self, plan: &Plan, report: &UsageReport, others_in_flight: u32) -> bool {
        let fits_quota = plan.quota_burst == 0.0 || self.tokens >= report.requested_units;
        let in_flight = others_in_flight + u32::from(report.in_flight);
        let fits_in_flight = plan.max_in_flight == 0 || in_flight < plan.max_in_flight;
        fits_quota && fits_in_flight
    }

    /// Takes hard-limit units from the bucket for a peer. They are deducted before they are sent: if the message is
    /// lost, the units are lost too.
    fn transfer_hard_limit(&mut self, report: &UsageReport) -> f64 {
        let is_asked = report.wants_reply && report.wants_hard_limit_tokens;
        if !is_asked || self.hard_limit_tokens < report.requested_units {
            return 0.0;
        }
        let transferred = round_down_units(report.requested_units);
        self.hard_limit_tokens -= transferred;
        transferred
    }
}

impl Gateway {
    /// Handles a peer's report of its use for a customer. Returns the reply if the peer asked for one and this gateway
    /// is an owner.
    pub(crate) fn on_report(
        &mut self,
        from: GatewayId,
        sender_is_younger: bool,
        report: UsageReport,
    ) -> Option<OwnerReply> {
        if !self.has_room_for(report.customer) {
            return None;
        }
        let now = self.now;
        let plan_index = usize::from(report.plan);
        let plan = self.settings.plans.get(plan_index)?;
        let since_start = to_seconds(now - self.started_at);
        // The bucket of a customer without requests here starts at the sender's view, or at what has been refilled
        // since this gateway started.
        let new_customer = || Customer {
            plan: plan_index,
            tokens: reported_tokens(&report, plan)
                .unwrap_or_else(|| (plan.quota_rate * since_start).min(plan.quota_burst)),
            refilled_at: now,
            ..Customer::default()
        };
        self.customers.entry(report.customer).or_insert_with(new_customer);
        let count = f64::from(report.gateway_count);
        self.assign_owners(report.customer, GatewayRange { first: report.first_gateway, count });
        self.refill(report.customer);
        let plan = self.settings.plans.get(plan_index)?;
        let customer = self.customers.get_mut(&report.customer)?;
        if customer.plan != plan_index || !customer.is_owner {
            return None;
        }
        customer.last_request_at = customer.last_request_at.max(now);
        let min_tokens = min_tokens(plan, self.fleet_size);
        let context = ReportContext { now, plan, from, sender_is_younger, min_tokens };
        let mut usage = customer.count_report(&context, &report);
        let others_in_flight =
            customer.in_flight + customer.peers_in_flight.saturating_sub(u32::from(usage.in_flight));
        // A request that fits is reserved at once, because other gateways may query before the peer's next message
        // arrives.
        let reserves = report.wants_reply && customer.fits_limits(plan, &report, others_in_flight);
        usage.in_flight = report.in_flight + u8::from(reserves && report.in_flight < MAX_IN_FLIGHT);
        customer.peers_in_flight = others_in_flight - customer.in_flight + u32::from(usage.in_flight);
        // The reply carries the bucket's level before the reservation, which is made for the peer's own request.
        let tokens = customer.tokens;
        usage.reserved = if reserves { report.requested_units } else { 0.0 };
        customer.tokens -= usage.reserved;
        customer.usage_by_peer.insert(from, usage);
        let transferred_tokens = customer.transfer_hard_limit(&report);
        report.wants_reply.then(|| OwnerReply {
            customer: report.customer,
            receiver_total: report.total_units,
            tokens,
            peer_rate: (customer.use_rate + customer.peer_rate - usage.rate).max(0.0),
            peers_in_flight: others_in_flight.min(u32::from(MAX_IN_FLIGHT)) as u8,
            transferred_tokens,
        })
    }
}
