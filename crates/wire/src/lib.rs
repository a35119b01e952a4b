//! Codecs without input or output: bytes go in, events come out, and the other way round. No clock is read and no
//! socket is known here; whoever moves the bytes passes the time where a limit by time needs it.
//!
//! - [`http2`]: frames, HPACK, flow control and the state of a connection (RFC 9113, RFC 7541), both sides
//! - [`grpc`]: gRPC over HTTP/2: message framing, time-outs, status and its trailers
//! - [`ratelimit`]: the messages of `envoy.service.ratelimit.v3.RateLimitService` and of `grpc.health.v1`
//! - [`intake`]: the messages between ingress and intake node
//! - [`orca`]: load reports of nodes (the text form of `endpoint-load-metrics`)
//! - [`roster`]: the messages of a roster that pushes node lists
//! - [`mqtt`]: MQTT 5.0 and 3.1.1
//! - [`truth`]: what a node says about requests that it was sent
//! - [`billing`]: what a billing consumer is told
//! - [`fleet`]: calls between ingresses

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
