//! Timeouts of a graceful shutdown, derived from the platform's rules. Performs no I/O and reads no clock.

use chalkgap_core::Micros;

/// How long after SIGTERM connections are accepted. Clients that have not learned of the shutdown connect for up to 0.4 s
/// after SIGTERM; the remaining 50 ms allow for latency.
const ACCEPT_MICROS: Micros = 450_000;
/// Upper limit of the request deadline in the platform's rule for SIGKILL: the platform sends it no sooner than the longest
/// request deadline, but at most this value, plus [`KILL_DELAY_MICROS`] after SIGTERM.
const MAX_COUNTED_DEADLINE_MICROS: Micros = 3_000_000;
/// Shortest time from SIGTERM to SIGKILL, in addition to the longest request deadline.
const KILL_DELAY_MICROS: Micros = 700_000;
/// How long before SIGKILL pending requests are answered as failed. A request that arrived at the end of `ACCEPT_MICROS` has
/// had its whole deadline by that time.
const FAIL_PENDING_RESERVE_MICROS: Micros = 250_000;
/// How long before SIGKILL the process exits on its own.
const EXIT_RESERVE_MICROS: Micros = 50_000;

/// Timeouts of a graceful shutdown, counted from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimeouts {
    /// When the ingress stops accepting connections.
    pub accept: Micros,
    /// When pending requests are answered as failed.
    pub fail_pending: Micros,
    /// When the process exits at the latest.
    pub exit: Micros,
}

impl ShutdownTimeouts {
    /// Creates timeouts for a deployment whose request classes have at most `longest_deadline`.
    pub fn new(longest_deadline: Micros) -> ShutdownTimeouts {
        let kill = longest_deadline.min(MAX_COUNTED_DEADLINE_MICROS) + KILL_DELAY_MICROS;
        ShutdownTimeouts {
            accept: ACCEPT_MICROS,
            fail_pending: kill - FAIL_PENDING_RESERVE_MICROS,
            exit: kill - EXIT_RESERVE_MICROS,
        }
    }
}
