//! The public types of this crate: the settings that a gateway starts with ([`Settings`]), its inputs ([`Event`]) and
//! its outputs ([`Action`]). This module makes no decisions.
//!
//! Times are in microseconds on the host's clock, rates are per second.

mod actions;
mod endpoints;
mod events;
mod settings;

pub use actions::Action;
pub use endpoints::{Availability, Endpoint, EndpointUpdate, LoadReport, Outcome};
pub use events::{Event, Request};
pub use settings::{
    DeduplicationScope, Discovery, Limits, Plan, RequestClass, RetrySafety, Rules, Settings, WeightMeaning,
};

/// A time on the host's clock, or a span of it, in microseconds.
pub type Micros = u64;

/// The id of a request, assigned by the host and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct RequestId(pub u64);

/// The id of an endpoint, a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct BackendId(pub u64);

/// The id of a customer, the holder of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct CustomerId(pub u64);

/// The number of a gateway in the fleet, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct GatewayId(pub u16);
