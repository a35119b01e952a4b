//! The platform's state machines, without sockets.

mod any_bytes;
mod backend_replies;
mod builders;
#[path = "../common/mod.rs"]
mod common;
mod configuration;
mod connection_pool;
mod discovery_responses;
mod endpoint_sets;
mod requests;
mod sessions;
mod shutdown;
