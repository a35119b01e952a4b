//! chalkgap as a library: an API gateway that enforces quotas and priorities over a fleet of instances.
//!
//! An [`Instance`] is started from [`settings::Settings`] on a [`runtime`]. It serves Envoy's gRPC rate limit service
//! and MQTT, forwards admitted requests to nodes, exchanges gossip with its peers, and is drained or stopped
//! through its handle. `chalkgap-core` decides on requests, and the driver carries out its decisions.
//!
//! - [`frontend`]: the driver, the connection gate and the traits for further protocols
//! - [`fleet`]: membership of the fleet
//! - [`settings`]: the settings of an instance
//! - [`memory`]: the memory limit
//! - [`node_list`]: the list of nodes
//! - [`peers`]: authenticated datagrams between gateways
//! - [`telemetry`]: the counters of an instance

mod connection_gate;
mod discovery;
mod driver;
mod error;
pub mod fleet;
mod frontends;
mod instance;
mod ledger;
pub mod memory;
mod messages;
pub mod node_list;
pub mod peers;
mod repeat_window;
pub mod settings;
pub mod telemetry;
mod upstream;

/// The parts from which a crate builds a further protocol: the driver that owns the core, the messages to and from it,
/// and the gate that admits connections. An [`Instance`] consists of the same parts.
pub mod frontend {
    pub use crate::connection_gate::{ConnectionGate, ConnectionGateConfig, Permit, RequestEnd};
    pub use crate::driver::{
        endpoint_updates, Driver, DriverLimits, EndpointPublisher, EndpointUpdates, PendingUpdate,
    };
    pub use crate::frontends::{listen, Acceptor, Frontend};
    pub use crate::messages::{
        Answer, AttemptResult, DriverEvent, OutboundAttempt, PendingRequest, Response, Upstream,
    };
    pub use crate::peers::TokenBucket;
    pub use crate::repeat_window::RepeatWindow;
    pub use crate::settings::Customer;
}

pub use chalkgap_runtime as runtime;
pub use error::StartError;
pub use instance::Instance;
pub use ledger::periods;
