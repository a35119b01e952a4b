//! This member's own slowness (Lifeguard's local health): a member that is slow itself waits longer for others.

use crate::membership::Membership;
use crate::Micros;

/// A slow member stretches periods and timeouts by this factor at most.
const MAX_HEALTH_MULTIPLIER: u32 = 8;

/// The factor by which periods and timeouts are stretched; 1 is healthy.
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
    /// Discounts the time in which this process was stopped or starved, as it could not receive what others sent then.
    /// Must run before any message is handled: messages that waited in the socket would hide how late it is.
    pub(crate) fn account_for_stall(&mut self, now: Micros) {
        let stalled_for = now.saturating_sub(self.expected_wake);
        if stalled_for <= self.config.protocol_period / 2 {
            return;
        }
        self.probes.clear();
        for suspicion in self.suspicions.values_mut() {
            suspicion.since = (suspicion.since + stalled_for).min(now);
            suspicion.last_probe_sent = false;
        }
        self.last_answer += stalled_for.min(now.saturating_sub(self.last_answer));
        self.health.degrade();
    }
}
