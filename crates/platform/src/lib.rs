//! An ingress for the users' platform: it speaks the platform's protocol (RESP2 over TCP), reads its configuration, follows
//! its discovery and obeys its signals. The driver, the connection gate and the core are those of the gateway; all
//! decisions on requests are the core's.
//!
//! - [`Ingress`]: all parts, running
//! - [`config`]: what the platform tells an ingress
//! - [`session`], [`request`], [`request_parser`]: a client's connection and its commands
//! - [`pool`], [`backend_reply`], [`memory_budget`]: connections to backends and what arrives on them
//! - [`discovery`], [`discovery_client`]: follows the list of backends
//! - [`endpoint_list`], [`endpoint_set`]: the list, and which of its versions are applied
//! - [`shutdown`]: the timetable of a graceful shutdown

mod backend;
pub mod backend_reply;
mod client_connection;
pub mod config;
mod connection_limits;
pub mod discovery;
pub mod discovery_client;
pub mod endpoint_list;
pub mod endpoint_set;
mod frontend;
mod gossip;
mod ingress;
pub mod memory_budget;
pub mod pool;
pub mod request;
pub mod request_parser;
pub mod session;
pub mod shutdown;
mod stale_connections;

pub use config::{Config, ConfigError};
pub use ingress::{Ingress, StartError};
