//! Settings: what a gateway is told at its start.

use super::{GatewayId, Micros};

/// Which endpoints recognize a repeated request by its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    Fleet,
    /// Those in the zone of the first one that got the request.
    Zone,
    /// Those in the cell of the first one that got the request.
    Cell,
}

/// Whether a request that may have run may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// At any time, anywhere.
    Idempotent,
    /// To endpoints that know its idempotency key, as long as they remember it.
    IdempotencyKey {
        /// The endpoints that know the key.
        scope: DeduplicationScope,
        /// How long they remember it, from the start of the first attempt that may have run.
        window: Micros,
    },
    /// Only with proof that no earlier attempt ran.
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// An answer within this time has its full value.
    pub latency_objective: Micros,
    /// The objective grows by this multiple of a request's own work. No decision uses it so far.
    pub objective_per_work: f64,
    /// The longest that a client waits, over all its tries.
    pub deadline: Micros,
    /// The value of an answer in time. No decision uses it so far.
    pub priority_weight: f64,
    /// The share of that value that is left after the latency objective. No decision uses it so far.
    pub late_priority_weight: f64,
    /// Whether a request may run again.
    pub retry_safety: RetrySafety,
    /// The answer is a stream.
    pub streaming: bool,
}

/// A plan, and the quotas that each of its customers has over all gateways together.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Units a second that refill the quota's token bucket; 0 for no quota on the rate.
    pub quota_rate: f64,
    /// Units that the bucket holds.
    pub quota_burst: f64,
    /// Attempts in flight at once; 0 for no limit.
    pub max_in_flight: u32,
    /// Units a second that refill the hard limit's bucket; 0 for no hard limit.
    pub hard_limit_rate: f64,
    /// Units that the hard limit's bucket holds.
    pub hard_limit_burst: f64,
    /// Units by which the hard limit's bucket may go below 0. No decision uses it so far.
    pub hard_limit_slack: f64,
    /// Factor on the value of answers; customers of the plans with the highest factor are preferred.
    pub priority_factor: f64,
    /// Share of the value that an answer beyond the quota has. No decision uses it so far.
    pub over_quota_weight: f64,
    /// Share of the value that sending beyond the quota costs. No decision uses it so far.
    pub over_quota_penalty: f64,
}

/// What the deployment permits.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Attempts for a request.
    pub max_attempts: u32,
    /// Two attempts of one request may be in flight together.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Endpoints may be health-checked.
    pub health_checks: bool,
    /// Gateways may send each other messages.
    pub gossip: bool,
    /// Messages a second that a gateway receives.
    pub gossip_receive_rate: f64,
    /// Rejections may tell clients when to come back.
    pub retry_after: bool,
    /// The longest such advice that clients follow.
    pub max_retry_after: Micros,
    /// A shared counter may be used.
    pub shared_counter: bool,
    /// Requests in flight at once. No decision uses it so far.
    pub max_in_flight: u32,
}

/// The figures of the rules that the deployment is judged by.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// A final answer counts until this long past the deadline. No decision uses it so far.
    pub answer_grace: Micros,
    /// New work to a draining endpoint must have ended after this.
    pub drain_grace: Micros,
    /// An endpoint starts with this share of its capacity or more.
    pub slow_start_min_capacity: f64,
    /// It has its full capacity after this.
    pub slow_start_window: Micros,
    /// A starting endpoint fails when it is sent more than this multiple of its capacity ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_window: Micros,
    /// Where discovery is polled, it must be polled at least this often.
    pub max_poll_interval: Micros,
}

/// How the list of endpoints comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Discovery {
    /// By itself.
    #[default]
    Push,
    /// Only when asked for.
    Poll,
}

/// What the `weight` of an [`Endpoint`](super::Endpoint) means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum WeightMeaning {
    /// Nothing, it is always 1.
    #[default]
    None,
    /// The capacity as registered, or roughly.
    Capacity,
    /// Capacity over load, as of some time ago.
    Live,
}

/// What a gateway is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// How many gateways there are.
    pub gateways: u16,
    /// This one.
    pub self_id: GatewayId,
    /// The zone of this gateway.
    pub zone: u8,
    /// The resolution of the host's clock.
    pub tick: Micros,
    /// The request classes.
    pub classes: Vec<RequestClass>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// What is permitted.
    pub limits: Limits,
    /// The figures of the rules.
    pub rules: Rules,
    /// How the list of endpoints comes.
    pub discovery: Discovery,
    /// What the endpoints' weights mean.
    pub weight_meaning: WeightMeaning,
    /// The period of the meter that reports use; 0 for none.
    pub meter_period: Micros,
    /// A request's units are an estimate, settled with the answer.
    pub post_paid: bool,
}
