//! An ingress for the users' platform. It accepts the platform's protocol (RESP2 over TCP), reads the platform's configuration
//! file, follows the platform's discovery service and shuts down gracefully on its signals. The driver, the connection gate
//! and the core are the gateway's; the core makes all decisions on requests.
//!
//! - [`Ingress`]: a running ingress
//! - [`config`]: the configuration that the platform provides
//! - [`session`], [`request`], [`request_parser`]: client connections and their commands
//! - [`pool`], [`backend_reply`]: connections to backends and their replies
//! - [`discovery`], [`discovery_client`]: requests to the discovery service
//! - [`endpoint_list`], [`endpoint_set`]: the lists of backends, and which of them are applied
//! - [`shutdown`]: the timeouts of a graceful shutdown

mod backend;
pub mod backend_reply;
mod client_connection;
mod command_buffer;
pub mod config;
mod connection_limits;
pub mod discovery;
pub mod discovery_client;
pub mod endpoint_list;
pub mod endpoint_set;
mod frontend;
mod gossip;
mod ingress;
mod memory_plan;
mod open_ids;
pub mod pool;
mod reply_queue;
pub mod request;
pub mod request_parser;
pub mod session;
pub mod shutdown;
mod stale_connections;

pub use config::{Config, ConfigError};
pub use ingress::{Ingress, StartError};
