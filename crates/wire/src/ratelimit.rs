//! Messages of `envoy.service.ratelimit.v3.RateLimitService` and of `grpc.health.v1.Health`, with the field numbers of
//! the published definitions (Envoy's `rls.proto`, `ratelimit.proto` and `base.proto`; gRPC's `health.proto`). Fields
//! that the gateway does not use are not declared; the decoder skips them as unknown fields.
#![allow(missing_docs)] // names and meanings are those of the published definitions

use std::time::Duration;

/// `:path` of a rate limit request.
pub const SHOULD_RATE_LIMIT: &str = "/envoy.service.ratelimit.v3.RateLimitService/ShouldRateLimit";
/// `:path` of a health check.
pub const HEALTH_CHECK: &str = "/grpc.health.v1.Health/Check";

/// `google.protobuf.Duration`.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct ProtoDuration {
    #[prost(int64, tag = "1")]
    pub seconds: i64,
    #[prost(int32, tag = "2")]
    pub nanos: i32,
}

impl From<Duration> for ProtoDuration {
    fn from(d: Duration) -> Self {
        ProtoDuration { seconds: d.as_secs().min(i64::MAX as u64) as i64, nanos: d.subsec_nanos() as i32 }
    }
}

/// `envoy.extensions.common.ratelimit.v3.RateLimitDescriptor`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Descriptor {
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<Entry>,
    #[prost(message, optional, tag = "3")]
    pub hits_addend: Option<UInt64Value>,
}

/// `google.protobuf.UInt64Value`.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct UInt64Value {
    #[prost(uint64, tag = "1")]
    pub value: u64,
}

/// `envoy.extensions.common.ratelimit.v3.RateLimitDescriptor.Entry`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Entry {
    #[prost(string, tag = "1")]
    pub key: String,
    #[prost(string, tag = "2")]
    pub value: String,
}

/// `envoy.service.ratelimit.v3.RateLimitRequest`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RateLimitRequest {
    #[prost(string, tag = "1")]
    pub domain: String,
    #[prost(message, repeated, tag = "2")]
    pub descriptors: Vec<Descriptor>,
    #[prost(uint32, tag = "3")]
    pub hits_addend: u32,
}

/// `RateLimitResponse.Code`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Verdict {
    Unknown = 0,
    Ok = 1,
    OverLimit = 2,
}

/// `RateLimitResponse.DescriptorStatus`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DescriptorStatus {
    #[prost(enumeration = "Verdict", tag = "1")]
    pub code: i32,
    #[prost(uint32, tag = "3")]
    pub limit_remaining: u32,
    #[prost(message, optional, tag = "4")]
    pub duration_until_reset: Option<ProtoDuration>,
}

/// `envoy.config.core.v3.HeaderValue`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HeaderValue {
    #[prost(string, tag = "1")]
    pub key: String,
    #[prost(string, tag = "2")]
    pub value: String,
}

/// `envoy.service.ratelimit.v3.RateLimitResponse`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RateLimitResponse {
    #[prost(enumeration = "Verdict", tag = "1")]
    pub overall_code: i32,
    #[prost(message, repeated, tag = "2")]
    pub statuses: Vec<DescriptorStatus>,
    #[prost(message, repeated, tag = "3")]
    pub response_headers_to_add: Vec<HeaderValue>,
    #[prost(message, repeated, tag = "4")]
    pub request_headers_to_add: Vec<HeaderValue>,
    #[prost(bytes = "bytes", tag = "5")]
    pub raw_body: bytes::Bytes,
}

/// `grpc.health.v1.HealthCheckRequest`.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HealthCheckRequest {
    #[prost(string, tag = "1")]
    pub service: String,
}

/// `grpc.health.v1.HealthCheckResponse`.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct HealthCheckResponse {
    /// `ServingStatus`: 1 for SERVING, 2 for NOT_SERVING, 3 for SERVICE_UNKNOWN.
    #[prost(int32, tag = "1")]
    pub status: i32,
}
