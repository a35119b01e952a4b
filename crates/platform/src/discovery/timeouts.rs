//! How long requests to discovery may take, and the backoff between them.

use super::backoff::MIN_BACKOFF_MICROS;
use chalkgap_core::Discovery;
use chalkgap_runtime::Micros;

/// How long a request may wait where discovery serves requests in turn; given by the platform.
pub(super) const POLL_TURN_MICROS: Micros = 2_000_000;

/// Timeouts of the requests to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryTimeouts {
    /// For a complete list, from the connection to the list's end, or for a change that has begun to arrive.
    pub call: Micros,
    /// The longest backoff between failed requests.
    pub max_backoff: Micros,
    /// With [`Discovery::Poll`], discovery is one service for the whole fleet that serves requests in turn, including
    /// those whose client has given up. A list that is held is then refreshed by a watch alone, in one request.
    pub mode: Discovery,
}

impl DiscoveryTimeouts {
    /// Timeouts that meet the settings' drain grace.
    ///
    /// With [`Discovery::Push`], requests made during an outage are never answered, and changes count as known from the
    /// outage's end: the rest of such a request and a backoff take at most five eighths of the grace. Three requests that
    /// hang after a silent watch, with their backoffs, fit into the 6 s within which a change must be known.
    ///
    /// With [`Discovery::Poll`], giving up a request and making another means being served later, by a service that does
    /// the work of both.
    pub fn new(drain_grace: Micros, mode: Discovery) -> DiscoveryTimeouts {
        let call = match mode {
            Discovery::Poll => POLL_TURN_MICROS,
            Discovery::Push => (drain_grace / 2).clamp(100_000, 750_000),
        };
        let max_backoff = (drain_grace / 8).clamp(2 * MIN_BACKOFF_MICROS, 250_000);
        DiscoveryTimeouts { call, max_backoff, mode }
    }
}
