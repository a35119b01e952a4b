//! Timeouts of the requests to discovery, and the limit of the backoff between them.

use super::backoff::MIN_BACKOFF_MICROS;
use chalkgap_core::Discovery;
use chalkgap_runtime::Micros;

/// Longest time a request waits in the queue of a polled discovery service, as specified by the platform.
pub(super) const POLL_QUEUE_MICROS: Micros = 2_000_000;

/// Timeouts of the requests to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryTimeouts {
    /// Timeout for a complete list, from connecting to the end of the list, and for the rest of a partly received change.
    pub call: Micros,
    /// Maximum backoff between failed requests.
    pub max_backoff: Micros,
    /// How discovery is served. With [`Discovery::Poll`], it is one service for all ingresses. It serves requests one after
    /// the other, including those whose client has given up. An ingress that has a list then refreshes it by a watch only, in
    /// one request.
    pub mode: Discovery,
}

impl DiscoveryTimeouts {
    /// Creates timeouts that meet the settings' drain grace, in microseconds: how long the ingress may still send new requests
    /// to a draining backend once the drain counts as known.
    ///
    /// With [`Discovery::Push`], requests made during an outage are never answered, and changes made during it count as known
    /// when it ends. The rest of such a request's timeout and one backoff take at most five eighths of the grace. A change
    /// that a silent watch missed counts as known after 6 s: the watch's timeout and three further requests that hang, with
    /// their backoffs, fit into that.
    ///
    /// With [`Discovery::Poll`], the timeout is as long as the queue: a request that is given up and repeated goes to the end
    /// of the queue, and the service still does the work of both.
    pub fn new(drain_grace: Micros, mode: Discovery) -> DiscoveryTimeouts {
        let call = match mode {
            Discovery::Poll => POLL_QUEUE_MICROS,
            Discovery::Push => (drain_grace / 2).clamp(100_000, 750_000),
        };
        let max_backoff = (drain_grace / 8).clamp(2 * MIN_BACKOFF_MICROS, 250_000);
        DiscoveryTimeouts { call, max_backoff, mode }
    }
}
