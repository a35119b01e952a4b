//! chalkgap as a library: an ingress that keeps quotas and priorities over a fleet of instances.
//!
//! An [`Instance`] is started from [`settings::Settings`] on a [`runtime`]; it serves the public gRPC rate limit
//! service, sends what the module lets in to nodes, talks to its peers, and is drained or stopped through its handle.
//! All decisions on requests are those of `chalkgap-core`; the driver inside carries them out.
//!
//! - [`frontend`]: the driver, the gate and the traits of ways in and out, for other protocols' packages
//! - [`fleet`]: who is there, as any ingress shows it
//! - [`settings`]: what an instance is told, as a script or in place
//! - [`node_list`]: the list of nodes
//! - [`peers`]: authenticated datagrams between ingresses
//! - [`telemetry`]: what is counted

mod connection_gate;
mod discovery;
mod driver;
mod error;
pub mod fleet;
mod frontends;

mod instance;
mod ledger;
mod messages;
pub mod node_list;
pub mod peers;
pub mod settings;

pub mod telemetry;
mod upstream;

/// What a protocol in a package of its own is built on: the driver that owns the module, what goes in and out of it, and
/// the gate that lets connections in. An [`Instance`] is put together from the same parts.
pub mod frontend {
    pub use crate::connection_gate::{ConnectionGate, ConnectionGateConfig, Permit, RequestEnd};
    pub use crate::driver::{Driver, DriverLimits};
    pub use crate::frontends::{listen, Acceptor, Frontend};
    pub use crate::messages::{
        Answer, AttemptResult, DriverEvent, OutboundAttempt, PendingRequest, Response, Upstream,
    };
    pub use crate::peers::TokenBucket;
    pub use crate::settings::Customer;
}

pub use chalkgap_runtime as runtime;
pub use error::StartError;
pub use instance::Instance;
pub use ledger::periods;
