//! Errors of requests to discovery.

use crate::discovery_client::ResponseError;
use crate::endpoint_set::RejectedList;
use chalkgap_runtime::Micros;

/// Why a request to discovery failed. The current list stays in effect.
#[derive(Debug, thiserror::Error)]
pub(super) enum DiscoveryError {
    #[error("no {what} within {} ms", .within / 1000)]
    Timeout { what: &'static str, within: Micros },
    /// Only a part of the list arrived before the timeout.
    #[error("only part of the list arrived within {} ms", .within / 1000)]
    SlowList { within: Micros },
    #[error("{what}: {error}")]
    Io { what: &'static str, error: std::io::Error },
    /// Discovery answered with an error status, `waited` microseconds after the request.
    #[error("{error}; after {} ms", .waited / 1000)]
    ErrorStatus { error: ResponseError, waited: Micros },
    #[error(transparent)]
    Response(#[from] ResponseError),
    #[error("the connection ended before a list was complete")]
    ConnectionEnded,
    #[error(transparent)]
    RejectedList(#[from] RejectedList),
    #[error("the ingress has stopped")]
    Stopped,
}
