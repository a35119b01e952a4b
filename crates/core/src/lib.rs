//! chalkgap decides for an admission gateway of a service sold by plan: which requests to let in, which backend
//! gets them, when to try again, what to tell the peers. It does no input or output and reads no clock: the
//! host feeds [`Event`]s with the time and carries out the [`Action`]s that come back, in their order.
//!
//! One request, from its arrival to its answer:
//!
//! ```
//! use chalkgap_core::*;
//!
//! let plan = Plan {
//!     rate: 10.0, burst: 20.0, open_cap: 0, ceiling_rate: 0.0, ceiling_burst: 0.0, ceiling_slack: 0.0,
//!     price: 1.0, over_worth: 0.0, over_cost: 1.0,
//! };
//! let class = Class {
//!     aim: 500_000, aim_stretch: 0.0, deadline: 2_000_000, worth: 1.0, late_worth: 0.0,
//!     repeat: Repeat::Safe, stream: false,
//! };
//! let settings = Settings {
//!     gateways: 1, tick: 4_000, classes: vec![class], plans: vec![plan], ..Settings::default()
//! };
//! let start = 1_000_000;
//! let mut gateway = Gateway::new(settings, 42, start);
//! let mut actions = Vec::new();
//!
//! let backend = BackendId(7);
//! let list = vec![Listed { backend, size: 1.0, ..Listed::default() }];
//! gateway.handle(start, Event::Roster(RosterKind::Full, list), &mut actions);
//! // The gateway asks to be woken; the host answers each `SetTimer` with an `Event::Timer` when it is due.
//! assert!(matches!(actions[..], [Action::SetTimer { .. }]));
//!
//! actions.clear();
//! let id = RequestId(1);
//! let request = Request { id, deadline: start + 2_000_000, units: 1.0, width: 1.0, ..Request::default() };
//! gateway.handle(start + 4_000, Event::Request(request), &mut actions);
//! assert_eq!(actions, [Action::Send { id, backend, expires: 0, begin_by: 0 }]);
//!
//! actions.clear();
//! let answer = Event::Settled {
//!     id, attempt: 0, backend, outcome: Outcome::Ok, complete: true, took: 12_000,
//!     metered: None, charged: None, report: None,
//! };
//! gateway.handle(start + 16_000, answer, &mut actions);
//! assert!(actions.is_empty(), "the answer went to the client; nothing is left to do");
//! ```

mod control;
mod gossip;
mod interface;
mod state;

pub use interface::*;
pub use state::Gateway;
