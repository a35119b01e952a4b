//! Suspecting a member, and declaring it dead. The time to refute shrinks with each member that confirms the suspicion
//! (Lifeguard); then the suspecting member probes the suspect a last time.

use crate::membership::Membership;
use crate::probing::Purpose;
use crate::view::{MemberRecord, MemberState};
use crate::{MemberId, Micros};

/// Members whose suspicion of one suspect is counted; more of them do not shorten the time to refute.
const SUSPICION_CONFIRMATIONS: usize = 3;

/// A suspicion that is not yet refuted.
pub(crate) struct Suspicion {
    pub(crate) since: Micros,
    /// The members that suspect it, in the order in which they reported it.
    reporters: Vec<MemberId>,
    /// The state in which others have it already, if they do: dead or left. They have given it time to refute, so a
    /// refutation needs only the time to arrive here; a member that left has nothing to refute.
    reported_state: Option<MemberState>,
    pub(crate) last_probe_sent: bool,
    /// No last probe before then, as one could not be sent.
    retry_at: Micros,
}

impl Suspicion {
    /// One of those that suspect it, in turn for each transmission of the update.
    pub(crate) fn reporter(&self, transmissions: u32) -> Option<MemberId> {
        self.reporters.get(transmissions as usize % self.reporters.len().max(1)).copied()
    }
}

impl Membership {
    /// The time that a suspect has to refute, by how many members suspect it.
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

    /// When the time to refute is over, and the last probe is due.
    pub(crate) fn last_probe_due(&self, suspicion: &Suspicion) -> Micros {
        let timeout = self.suspicion_timeout(suspicion.reporters.len());
        let timeout = match suspicion.reported_state {
            Some(MemberState::Left) => 0,
            Some(_) => timeout.min(self.scaled_period() * u64::from(2 + self.log_fleet_size())),
            None => timeout,
        };
        (suspicion.since + timeout).max(suspicion.retry_at)
    }

    /// Suspects a live member, or confirms the suspicion, on the report of the member `by`; `reported_state` is the
    /// state in which that one has it, if it is dead or left there.
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
            last_probe_sent: false,
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
            // While the first report is still being disseminated, both are: see `Suspicion::reporter`.
            self.broadcasts.add(id);
        }
    }

    /// Sends the last probe of each suspect whose time to refute is over.
    pub(crate) fn send_last_probes(&mut self, now: Micros) {
        let is_due =
            |suspicion: &Suspicion| !suspicion.last_probe_sent && now >= self.last_probe_due(suspicion);
        let due = self.suspicions.iter().filter(|(_, suspicion)| is_due(suspicion));
        let suspects: Vec<MemberId> = due.map(|(id, _)| *id).collect();
        for id in suspects {
            let pending_before = self.probes.len();
            self.probe_member(now, id, Purpose::Last);
            if let Some(suspicion) = self.suspicions.get_mut(&id) {
                suspicion.last_probe_sent = self.probes.len() > pending_before;
                suspicion.retry_at = now + self.config.protocol_period / 2;
            }
        }
    }

    /// A suspect has not answered its last probe: it is dead, or has left where others reported that.
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
