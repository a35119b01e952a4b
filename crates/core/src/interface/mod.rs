//! The types at the border of the decision module: what a gateway is told at its start ([`Settings`]), what it sees
//! ([`Event`]) and what it asks its host to do ([`Action`]). No decision lives here.
//!
//! Times are in microseconds on the host's clock, rates are a second.

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

/// A request, as named by the host. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct RequestId(pub u64);

/// The identity of an endpoint, a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct BackendId(pub u64);

/// A customer, the holder of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct CustomerId(pub u64);

/// A gateway among its peers, numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct GatewayId(pub u16);
