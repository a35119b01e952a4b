//! Doors for clients. A front turns calls of its protocol into asks for the driver and the one answer of each back.

pub(crate) mod grpc;
