//! The users' platform: an ingress that speaks its protocol (RESP2 over TCP), takes its configuration, follows its
//! discovery and obeys its signals. It is one more way in and out of the gateway: the driver, the gate and the module
//! are the same, and every decision on requests is the module's.
//!
//! - [`config`]: what the platform tells an ingress
//! - [`list`]: the list of backends, and which of it is taken
//! - [`feed`]: one call to discovery, and the values of its answer
//! - [`discovery`]: follows it, within stated waits
//! - [`request`]: a client's command
//! - [`session`]: a client's connection
//! - [`backend_reply`]: a backend's reply
//! - [`ending`]: when an ingress that was told to end does what
//! - [`pool`]: which connection an attempt goes by
//! - [`Ingress`]: all of it, running

mod backend;
pub mod backend_reply;
pub mod config;
pub mod discovery;
pub mod discovery_client;
pub mod endpoint_list;
pub mod endpoint_set;
mod front;
mod ingress;
pub mod memory_budget;
mod peers;
pub mod pool;
pub mod request;
pub mod session;
pub mod shutdown;
mod stale_connections;

pub use config::{Config, ConfigError};
pub use ingress::{Ingress, StartError};
