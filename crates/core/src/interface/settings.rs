//! Settings: the configuration that a gateway starts with.

use super::{GatewayId, Micros};

/// The endpoints that recognize a repeated request by its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    Fleet,
    /// The endpoints in the zone of the first endpoint that got the request.
    Zone,
    /// The endpoints in the cell of the first endpoint that got the request.
    Cell,
}

/// Whether and where a request that may have run may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// It may be sent again at any time, to any endpoint.
    Idempotent,
    /// It may be sent again to endpoints that know its idempotency key, as long as they remember the key.
    IdempotencyKey {
        /// The endpoints that know the key.
        scope: DeduplicationScope,
        /// How long these endpoints remember the key, from the start of the first attempt that may have run.
        window: Micros,
    },
    /// It may be sent again only if it is certain that no earlier attempt ran.
    NotIdempotent,
}

/// A class of requests, with its time limits and retry rules.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Time within which an answer has its full value.
    pub latency_objective: Micros,
    /// The objective grows by this multiple of a request's own work. No decision uses it so far.
    pub objective_per_work: f64,
    /// Maximum time that a client waits, over all its tries.
    pub deadline: Micros,
    /// The value of an answer in time. No decision uses it so far.
    pub priority_weight: f64,
    /// The share of that value that is left after the latency objective. No decision uses it so far.
    pub late_priority_weight: f64,
    /// Whether a request of this class may be sent again.
    pub retry_safety: RetrySafety,
    /// Whether the answer is a stream.
    pub streaming: bool,
}

/// A plan, and the limits that each of its customers has over all gateways together.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Refill rate of the quota's token bucket, in units per second; 0 for no limit on the rate.
    pub quota_rate: f64,
    /// Capacity of the quota's token bucket, in units.
    pub quota_burst: f64,
    /// Maximum number of a customer's attempts in flight; 0 for no limit.
    pub max_in_flight: u32,
    /// Refill rate of the hard limit's token bucket, in units per second; 0 for no hard limit.
    pub hard_limit_rate: f64,
    /// Capacity of the hard limit's token bucket, in units.
    pub hard_limit_burst: f64,
    /// Units by which the hard limit's bucket may go below 0. No decision uses it so far.
    pub hard_limit_slack: f64,
    /// Factor on the value of answers; customers of the plans with the highest factor are preferred.
    pub priority_factor: f64,
    /// Share of the value that an answer beyond the quota has. No decision uses it so far.
    pub over_quota_weight: f64,
    /// Share of the value that is lost by sending beyond the quota. No decision uses it so far.
    pub over_quota_penalty: f64,
}

/// Actions that the deployment permits, and their limits.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Maximum number of attempts for a request.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at the same time.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether endpoints may be health-checked.
    pub health_checks: bool,
    /// Whether gateways may send each other messages.
    pub gossip: bool,
    /// Maximum rate of messages that a gateway receives, per second.
    pub gossip_receive_rate: f64,
    /// Whether rejections may tell clients how long to wait.
    pub retry_after: bool,
    /// Longest retry advice that clients follow; longer advice is cut to this.
    pub max_retry_after: Micros,
    /// Whether a shared counter may be used.
    pub shared_counter: bool,
    /// Maximum number of requests in flight. No decision uses it so far.
    pub max_in_flight: u32,
}

/// Parameters of the rules that the deployment is evaluated by.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Time after the deadline for which a final answer still counts. No decision uses it so far.
    pub answer_grace: Micros,
    /// Time after which new work sent to a draining endpoint must have ended.
    pub drain_grace: Micros,
    /// Minimum share of its capacity that an endpoint has when it starts.
    pub slow_start_min_capacity: f64,
    /// Time after its start at which an endpoint has its full capacity.
    pub slow_start_window: Micros,
    /// A starting endpoint fails if it is sent more than this multiple of its capacity within `overload_window`.
    pub overload_factor: f64,
    /// Length of the window in which the requests to a starting endpoint are counted.
    pub overload_window: Micros,
    /// Maximum time between two polls of discovery, if it is polled.
    pub max_poll_interval: Micros,
}

/// How a gateway obtains the list of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Discovery {
    /// Discovery sends changes by itself.
    #[default]
    Push,
    /// Discovery has to be polled.
    Poll,
}

/// What the `weight` of an [`Endpoint`](super::Endpoint) means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum WeightMeaning {
    /// No meaning: it is always 1.
    #[default]
    None,
    /// The capacity as registered, or an estimate of it.
    Capacity,
    /// Capacity divided by load at some earlier time.
    Live,
}

/// The configuration of a gateway.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of gateways in the fleet.
    pub gateways: u16,
    /// Id of this gateway.
    pub self_id: GatewayId,
    /// The zone of this gateway.
    pub zone: u8,
    /// The resolution of the host's clock.
    pub tick: Micros,
    /// The request classes.
    pub classes: Vec<RequestClass>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// Permitted actions and their limits.
    pub limits: Limits,
    /// Parameters of the rules.
    pub rules: Rules,
    /// How the gateway obtains the list of endpoints.
    pub discovery: Discovery,
    /// The meaning of the endpoints' weights.
    pub weight_meaning: WeightMeaning,
    /// Reporting period of the meter; 0 if there is none.
    pub meter_period: Micros,
    /// Maximum number of customers that the gateway keeps a record of; 0 for no limit. A record takes up to
    /// [`CUSTOMER_RECORD_BYTES`](crate::CUSTOMER_RECORD_BYTES).
    pub max_customers: usize,
    /// Whether a request's units are an estimate that is settled with the answer.
    pub post_paid: bool,
}
