//! Log lines about connections that were not accepted: at most one line a second, with counts.

use chalkgap_admission::Reason;
use chalkgap_runtime::Micros;
use std::net::IpAddr;

/// Minimum time between two log lines, in microseconds.
const MIN_LOG_INTERVAL: Micros = 1_000_000;

/// Counts rejections between log lines.
#[derive(Default)]
pub(super) struct RejectionLog {
    /// Rejections by reason since the last log line.
    unlogged: [u64; 5],
    /// Time of the last log line.
    logged_at: Micros,
}

impl RejectionLog {
    /// Counts a rejection, and logs the counts if [`MIN_LOG_INTERVAL`] has passed since the last line.
    pub fn rejected(&mut self, now: Micros, address: IpAddr, reason: Reason) {
        self.unlogged[reason as usize] += 1;
        if !self.is_due(now) {
            return;
        }
        let [address_cap, prefix, rate, handshakes, full] = std::mem::take(&mut self.unlogged);
        let last = (address, reason_text(reason));
        tracing::warn!(address_cap, prefix, rate, handshakes, full, ?last, "connections rejected");
    }

    /// Logs that the listener could not accept, if [`MIN_LOG_INTERVAL`] has passed since the last line.
    pub fn accept_failed(&mut self, now: Micros, error: &std::io::Error) {
        if self.is_due(now) {
            tracing::error!(%error, "accept failed, listener backs off");
        }
    }

    fn is_due(&mut self, now: Micros) -> bool {
        let due = now >= self.logged_at + MIN_LOG_INTERVAL;
        if due {
            self.logged_at = now;
        }
        due
    }
}

fn reason_text(reason: Reason) -> &'static str {
    match reason {
        Reason::Address => "too many from one address",
        Reason::Prefix => "too many from one prefix",
        Reason::Rate => "too fast from one address",
        Reason::Handshakes => "too many handshakes",
        Reason::Full => "no capacity",
    }
}
