//! Whether replies are acknowledged to backends as soon as they are received.
//!
//! A backend's system without `TCP_NODELAY` holds a small second reply back until the first one is acknowledged. If the
//! acknowledgement is delayed until the connection's next request, the second reply arrives after that request was written and
//! would be taken for its reply. Acknowledged at once, the second reply arrives while the connection is idle and is detected.

use chalkgap_runtime::Stream;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

/// Acknowledges replies and records whether the system supports that. Shared by all connections of an ingress.
#[derive(Default)]
pub(super) struct Acknowledgements {
    delayed: AtomicBool,
}

impl Acknowledgements {
    /// Acknowledges a reply that was received in whole. The first failure is logged.
    pub(super) fn send(&self, stream: &dyn Stream, backend: SocketAddr) {
        let Err(error) = stream.acknowledge() else { return };
        // The release of the connection, after this, is a message to the driver and orders this store before its load.
        if !self.delayed.swap(true, Ordering::Relaxed) {
            tracing::warn!(%backend, %error, "replies cannot be acknowledged at once, connections are reused later");
        }
    }

    /// Whether an acknowledgement has failed, so that the system may delay those of all connections.
    pub(super) fn are_delayed(&self) -> bool {
        self.delayed.load(Ordering::Relaxed)
    }
}
