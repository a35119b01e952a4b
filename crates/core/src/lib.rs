//! The decisions of an admission gateway for services sold by plan: which requests to admit, which endpoint gets them,
//! when to retry, and what to report to peers. This crate does no input or output and reads no clock: the host passes
//! [`Event`]s with the current time, and carries out the returned [`Action`]s in order. The same events produce the
//! same actions.
//!
//! [`Gateway::handle`] orders the steps; each rule is in one module. Only retry safety is used in three: `retry` (may
//! the request run again), `load_balancing` (which endpoints know its idempotency key), `completion` (may the client
//! send it again).
//!
//! | module | rule |
//! | --- | --- |
//! | `admission` | whether an arriving request is rejected, held or queued |
//! | `quota`, `ownership` | token buckets and hard limits; which gateways keep them |
//! | `customer_limit` | how many customers are kept, and which make room for others |
//! | `quota_gossip` | reports of use to the owners of a quota, and their replies |
//! | `load_shedding` | the steps of an alert, and which customers they reject |
//! | `concurrency`, `latency` | the pressure on the endpoints, and the limit on attempts in flight |
//! | `load_balancing` | the choice of an endpoint |
//! | `slow_start` | limits for endpoints that started recently |
//! | `outlier` | failure rates, and ejection |
//! | `retry` | retries and hedged requests |
//! | `completion` | the one final answer of each request |
//! | `endpoints` | the list of endpoints, and the state of each |
//!
//! `customer` and `request` are records that these modules share, `gossip` is the format of messages, `interface` holds
//! the public types, `random` and `decay` are arithmetic.
//!
//! One request, from its arrival to its answer:
//!
//! ```
//! use chalkgap_core::*;
//!
//! let plan = Plan {
//!     quota_rate: 10.0,
//!     quota_burst: 20.0,
//!     max_in_flight: 0,
//!     hard_limit_rate: 0.0,
//!     hard_limit_burst: 0.0,
//!     hard_limit_slack: 0.0,
//!     priority_factor: 1.0,
//!     over_quota_weight: 0.0,
//!     over_quota_penalty: 1.0,
//! };
//! let class = RequestClass {
//!     latency_objective: 500_000,
//!     objective_per_work: 0.0,
//!     deadline: 2_000_000,
//!     priority_weight: 1.0,
//!     late_priority_weight: 0.0,
//!     retry_safety: RetrySafety::Idempotent,
//!     streaming: false,
//! };
//! let settings = Settings {
//!     gateways: 1,
//!     tick: 4_000,
//!     classes: vec![class],
//!     plans: vec![plan],
//!     ..Settings::default()
//! };
//! let start = 1_000_000;
//! let mut gateway = Gateway::new(settings, 42, start);
//! let mut actions = Vec::new();
//!
//! let backend = BackendId(7);
//! let list = vec![Endpoint { backend, weight: 1.0, ..Endpoint::default() }];
//! gateway.handle(start, Event::Endpoints(EndpointUpdate::Snapshot, list), &mut actions);
//! // The gateway requests a wake-up; the host sends an `Event::Timer` when the timer is due.
//! assert!(matches!(actions[..], [Action::SetTimer { .. }]));
//!
//! actions.clear();
//! let id = RequestId(1);
//! let deadline = start + 2_000_000;
//! let request = Request { id, deadline, units: 1.0, gateway_count: 1.0, ..Request::default() };
//! gateway.handle(start + 4_000, Event::Request(request), &mut actions);
//! assert_eq!(actions, [Action::StartAttempt { id, backend, give_up_at: 0, start_by: 0 }]);
//!
//! actions.clear();
//! let answer = Event::AttemptFinished {
//!     id,
//!     attempt: 0,
//!     backend,
//!     outcome: Outcome::Ok,
//!     answered: true,
//!     elapsed: 12_000,
//!     metered: None,
//!     charged_units: None,
//!     report: None,
//! };
//! gateway.handle(start + 16_000, answer, &mut actions);
//! assert!(actions.is_empty(), "the client has its answer; no action is needed");
//! ```

mod admission;
mod completion;
mod concurrency;
mod customer;
mod customer_limit;
mod decay;
mod endpoints;
mod gateway;
mod gossip;
mod interface;
mod latency;
mod load_balancing;
mod load_shedding;
mod outlier;
mod ownership;
mod quota;
mod quota_gossip;
mod random;
mod request;
mod retry;
mod slow_start;

pub use customer_limit::CUSTOMER_RECORD_BYTES;
pub(crate) use gateway::FleetSize;
pub use gateway::Gateway;
pub use interface::*;
