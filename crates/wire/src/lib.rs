//! Sans-I/O codecs and protocol state machines: received bytes are turned into events, and messages into bytes to send.
//! This crate uses neither sockets nor a clock. Functions with a limit that depends on time take the time as an
//! argument.
//!
//! - [`http2`]: frames, HPACK, flow control and connection state of clients and servers (RFC 9113, RFC 7541)
//! - [`grpc`]: gRPC over HTTP/2: message framing, timeouts, status codes and trailers
//! - [`ratelimit`]: messages of `envoy.service.ratelimit.v3.RateLimitService` and of `grpc.health.v1.Health`
//! - [`intake`]: messages between ingresses and nodes
//! - [`orca`]: load reports of nodes, in the text format of `endpoint-load-metrics`
//! - [`roster`]: messages of the registry that pushes node lists
//! - [`mqtt`]: MQTT 5.0 and 3.1.1
//! - [`truth`]: queries to nodes about the execution of requests
//! - [`billing`]: messages to the consumer of billing batches
//! - [`fleet`]: messages between ingresses about their ledgers

pub mod billing;
pub mod fleet;
pub mod grpc;
pub mod http2;
pub mod intake;
pub mod mqtt;
pub mod orca;
pub mod ratelimit;
pub mod roster;
pub mod truth;
