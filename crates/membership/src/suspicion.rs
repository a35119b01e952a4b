//! Suspecting a member, and declaring it dead. The suspicion timeout shrinks with each member that confirms the
//! suspicion (Lifeguard). After the timeout, the suspecting member sends the suspect a final probe.

use crate::membership::Membership;
use crate::probing::Purpose;
use crate::view::{MemberRecord, MemberState};
use crate::{MemberId, Micros};

/// Maximum number of members that are counted as reporters of one suspicion. Further ones do not shorten the timeout.
const SUSPICION_CONFIRMATIONS: usize = 3;

/// A pending suspicion of a live member.
pub(crate) struct Suspicion {
    pub(crate) since: Micros,
    /// The members that suspect it, in the order in which their reports arrived.
    reporters: Vec<MemberId>,
    /// The state that other members reported, if it is dead or left. They have given the suspect time to refute, so
    /// here the timeout only has to cover the arrival of a refutation; a member that left will not refute.
    reported_state: Option<MemberState>,
    pub(crate) final_probe_sent: bool,
    /// The earliest time of the final probe. It is postponed when the probe could not be sent.
    retry_at: Micros,
}

impl Suspicion {
    /// Returns the reporter to name in the next transmission of the update. Successive transmissions name the reporters
    /// in turn.
    pub(crate) fn reporter(&self, transmissions: u32) -> Option<MemberId> {
        self.reporters.get(transmissions as usize % self.reporters.len().max(1)).copied()
    }
}

impl Membership {
    /// Returns the time in microseconds that a suspect has to refute, given the number of members that suspect it.
    pub(crate) fn suspicion_timeout(&self, reporters: usize) -> Micros {
        let periods = u64::from(4 + 2 * self.log_fleet_size());
        let unscaled = (self.config.protocol_period * periods).max(self.config.min_suspicion_timeout);
        let timeout = unscaled * u64::from(self.health.multiplier());
        match reporters {
            0 | 1 => timeout * 2,
            2 => timeout * 7 / 5,
            _ => timeout,
        }
    }

    /// Returns the time at which the suspicion times out and the final probe is due.
    pub(crate) fn final_probe_due(&self, suspicion: &Suspicion) -> Micros {
        let timeout = self.suspicion_timeout(suspicion.reporters.len());
        let timeout = match suspicion.reported_state {
            Some(MemberState::Left) => 0,
            Some(_) => timeout.min(self.scaled_period() * u64::from(2 + self.log_fleet_size())),
            None => timeout,
        };
        (suspicion.since + timeout).max(suspicion.retry_at)
    }

    /// Starts or confirms the suspicion of a live member, as reported by the member `by`. `reported_state` is the state
    /// that `by` reported, if it is dead or left.
    pub(crate) fn suspect(
        &mut self,
        now: Micros,
        id: MemberId,
        by: MemberId,
        reported_state: Option<MemberState>,
    ) {
        let Some(record) = self.view.get(id).map(|member| member.record) else { return };
        if !record.state.is_live() {
            return;
        }
        let is_new = !self.suspicions.contains_key(&id);
        let suspicion = self.suspicions.entry(id).or_insert(Suspicion {
            since: now,
            reporters: Vec::new(),
            reported_state,
            final_probe_sent: false,
            retry_at: now,
        });
        suspicion.reported_state = suspicion.reported_state.max(reported_state);
        let confirms =
            suspicion.reporters.len() < SUSPICION_CONFIRMATIONS && !suspicion.reporters.contains(&by);
        if confirms {
            suspicion.reporters.push(by);
        }
        if is_new {
            self.apply(now, MemberRecord { state: MemberState::Suspect, reported_by: by, ..record });
        } else if confirms && !self.broadcasts.contains(id) {
            // An update that is still being disseminated names all reporters in turn, see `Suspicion::reporter`, and
            // need not be added again.
            self.broadcasts.add(id);
        }
    }

    /// Sends a final probe to each suspect whose suspicion has timed out.
    pub(crate) fn send_final_probes(&mut self, now: Micros) {
        let is_due =
            |suspicion: &Suspicion| !suspicion.final_probe_sent && now >= self.final_probe_due(suspicion);
        let due = self.suspicions.iter().filter(|(_, suspicion)| is_due(suspicion));
        let suspects: Vec<MemberId> = due.map(|(id, _)| *id).collect();
        for id in suspects {
            let pending_before = self.probes.len();
            self.probe_member(now, id, Purpose::Final);
            if let Some(suspicion) = self.suspicions.get_mut(&id) {
                suspicion.final_probe_sent = self.probes.len() > pending_before;
                suspicion.retry_at = now + self.config.protocol_period / 2;
            }
        }
    }

    /// Declares a suspect that has not answered its final probe dead, or left if other members reported that.
    pub(crate) fn declare_dead(&mut self, now: Micros, id: MemberId) {
        let Some(suspicion) = self.suspicions.remove(&id) else { return };
        let Some(record) = self.view.get(id).map(|member| member.record) else { return };
        if !record.state.is_live() {
            return;
        }
        let state = suspicion.reported_state.unwrap_or(MemberState::Dead);
        let reported_by = suspicion.reporters.first().copied().unwrap_or(self.config.self_id);
        self.apply(now, MemberRecord { state, version: record.version + 1, reported_by, ..record });
    }
}
