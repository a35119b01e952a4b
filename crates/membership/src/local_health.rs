//! Local health (Lifeguard): a member that is slow itself uses longer periods and timeouts for other members.

use crate::membership::Membership;
use crate::Micros;

/// Maximum factor by which a slow member multiplies its periods and timeouts.
const MAX_HEALTH_MULTIPLIER: u32 = 8;

/// The factor by which this member multiplies its periods and timeouts. It is 1 while the member is healthy.
pub(crate) struct LocalHealth {
    multiplier: u32,
}

impl Default for LocalHealth {
    fn default() -> LocalHealth {
        LocalHealth { multiplier: 1 }
    }
}

impl LocalHealth {
    pub(crate) fn multiplier(&self) -> u32 {
        self.multiplier
    }

    pub(crate) fn degrade(&mut self) {
        self.multiplier = (self.multiplier + 1).min(MAX_HEALTH_MULTIPLIER);
    }

    pub(crate) fn improve(&mut self) {
        self.multiplier = (self.multiplier - 1).max(1);
    }
}

impl Membership {
    /// Discounts the time for which this process was stopped or starved of CPU time, as it could not receive messages
    /// then. It must run before any message is handled: messages that waited in the socket would hide the delay.
    pub(crate) fn account_for_stall(&mut self, now: Micros) {
        let stalled_for = now.saturating_sub(self.expected_wake);
        if stalled_for <= self.config.protocol_period / 2 {
            return;
        }
        self.probes.clear();
        for suspicion in self.suspicions.values_mut() {
            suspicion.since = (suspicion.since + stalled_for).min(now);
            suspicion.final_probe_sent = false;
        }
        self.last_answer += stalled_for.min(now.saturating_sub(self.last_answer));
        self.health.degrade();
    }
}
