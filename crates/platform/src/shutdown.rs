//! The timetable of a graceful shutdown, set by the platform: free of I/O and clock.

use chalkgap_core::Micros;

/// New connections arrive for up to 0.4 s after SIGTERM, from clients that do not know of it yet; the rest is latency.
const ACCEPT_MICROS: Micros = 450_000;
/// The platform kills the process no sooner than the longest deadline after SIGTERM, of which at most this counts, ...
const MAX_COUNTED_DEADLINE_MICROS: Micros = 3_000_000;
/// ... and this.
const KILL_DELAY_MICROS: Micros = 700_000;
/// How long before the kill pending requests are answered as failed. A request that arrived in the last moment of
/// `ACCEPT_MICROS` has had its whole deadline by then.
const FAIL_PENDING_RESERVE_MICROS: Micros = 250_000;
/// How long before the kill the process exits by itself.
const EXIT_RESERVE_MICROS: Micros = 50_000;

/// Times after SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimeouts {
    /// Connections are accepted until then.
    pub accept: Micros,
    /// Requests still pending then are answered as failed.
    pub fail_pending: Micros,
    /// The process exits then at the latest.
    pub exit: Micros,
}

impl ShutdownTimeouts {
    /// By the longest deadline of the settings' request classes.
    pub fn new(longest_deadline: Micros) -> ShutdownTimeouts {
        let kill = longest_deadline.min(MAX_COUNTED_DEADLINE_MICROS) + KILL_DELAY_MICROS;
        ShutdownTimeouts {
            accept: ACCEPT_MICROS,
            fail_pending: kill - FAIL_PENDING_RESERVE_MICROS,
            exit: kill - EXIT_RESERVE_MICROS,
        }
    }
}
