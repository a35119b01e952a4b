//! Timeouts of the requests to discovery, and the limit of the backoff between them.

use super::backoff::MIN_BACKOFF_MICROS;
use chalkgap_core::Discovery;
use chalkgap_runtime::Micros;

/// Longest time a request waits in the queue of a polled discovery service, as specified by the platform.
pub(super) const POLL_QUEUE_MICROS: Micros = 2_000_000;

/// A call for the complete list stays open for this time where lists are pushed. A change must be known 6 s after discovery had
/// it and could be reached: one call that hangs, or a watch that falls silent, and an answer that takes this time fit into that.
const MAX_PUSH_ANSWER_MICROS: Micros = 2_500_000;
/// The same where lists are polled: a request may wait in the queue, and be answered 2 s late in addition.
const MAX_POLL_ANSWER_MICROS: Micros = 2 * POLL_QUEUE_MICROS;

/// Timeouts of the requests to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryTimeouts {
    /// Time after which a call for the complete list, counted from its start, is late and another one is made; also the timeout
    /// for connecting a watch and for the rest of a partly received change.
    pub call: Micros,
    /// Time for which a call stays open although it is late.
    pub max_answer: Micros,
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
    /// when it ends. The rest of such a request's time and one backoff take at most five eighths of the grace. A change
    /// that a silent watch missed counts as known after 6 s: the watch's timeout and three further requests that hang, with
    /// their backoffs, fit into that.
    ///
    /// With [`Discovery::Poll`], the timeout is as long as the queue: a request that is repeated goes to the end of the queue, and
    /// the service does the work of both.
    pub fn new(drain_grace: Micros, mode: Discovery) -> DiscoveryTimeouts {
        let call = match mode {
            Discovery::Poll => POLL_QUEUE_MICROS,
            Discovery::Push => (drain_grace / 2).clamp(100_000, 750_000),
        };
        let max_answer = match mode {
            Discovery::Poll => MAX_POLL_ANSWER_MICROS,
            Discovery::Push => MAX_PUSH_ANSWER_MICROS,
        };
        let max_backoff = (drain_grace / 8).clamp(2 * MIN_BACKOFF_MICROS, 250_000);
        DiscoveryTimeouts { call, max_answer, max_backoff, mode }
    }
}
