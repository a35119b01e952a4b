//! Errors of requests to discovery.

use super::call::CallPhase;
use crate::discovery_client::ResponseError;
use crate::endpoint_set::RejectedList;
use chalkgap_runtime::Micros;

/// Why a request to discovery failed. The current list stays in effect.
#[derive(Debug, thiserror::Error)]
pub(super) enum DiscoveryError {
    /// What the call waited for did not arrive within this time.
    #[error("timed out after {} ms while {phase}", .within / 1000)]
    Timeout { phase: CallPhase, within: Micros },
    #[error("{phase}: {error}")]
    Io { phase: CallPhase, error: std::io::Error },
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
