//! Direct and indirect probes (SWIM, section 3.1). The [`Purpose`] of a probe decides what its failure leads to.

use crate::membership::Membership;
use crate::view::{MemberRecord, MemberState};
use crate::wire::{Kind, Message};
use crate::{MemberId, Micros, ANY_MEMBER};
use rand::RngExt;
use std::net::SocketAddr;

/// Number of members that are asked to probe a target that does not answer.
const INDIRECT_PROBES: usize = 3;
/// Maximum number of pending probes.
const MAX_PENDING_PROBES: usize = 64;
/// Number of suspects above which a final probe is sent through only one intermediary: when half of the fleet dies, the
/// final probes must not use up the message rate.
const MASS_FAILURE_SUSPECTS: usize = 8;

/// The purpose of a probe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Purpose {
    /// The regular probe of a protocol period. If it fails, the target is suspected.
    Periodic,
    /// The final probe of a suspect. If it fails, the suspect is declared dead.
    Final,
    /// Checks whether a dead member or a seed answers. A failure has no effect.
    Reconnect,
    /// A probe that another member requested. The result is sent to the requester with the nonce of its request.
    OnBehalf { requester: MemberId, nonce: u32 },
}

/// A probe that has not been answered yet.
pub(crate) struct Probe {
    target: MemberId,
    purpose: Purpose,
    sent_at: Micros,
    /// The time at which other members are asked to probe the target. `None`: they have been asked already, or a probe
    /// of this purpose has no indirect probes.
    indirect_at: Option<Micros>,
    /// The time at which the probe fails.
    expires_at: Micros,
    /// Whether an intermediary has sent a nack, which shows that it received the request.
    intermediary_answered: bool,
}

impl Probe {
    pub(crate) fn next_timeout(&self) -> Micros {
        self.indirect_at.unwrap_or(self.expires_at)
    }
}

impl Membership {
    /// Probes the member that is due in this period. The live members form a ring in the order of their ids, and the
    /// target's distance from this member grows by one with each period. With equal clocks and views, each member would
    /// be probed exactly once per period. Clocks and views differ, but the probes are still spread more evenly than by a
    /// random choice.
    pub(crate) fn probe_next_member(&mut self, now: Micros) {
        let ring: Vec<MemberId> = self.view.live().map(|member| member.record.id).collect();
        if ring.len() <= 1 {
            return;
        }
        let own_index = ring.iter().position(|id| *id == self.config.self_id).unwrap_or(0);
        let offset = (now / self.config.protocol_period) as usize % (ring.len() - 1);
        self.probe_member(now, ring[(own_index + 1 + offset) % ring.len()], Purpose::Periodic);
    }

    /// Probes a member of the view at its known address.
    pub(crate) fn probe_member(&mut self, now: Micros, target: MemberId, purpose: Purpose) {
        if let Some(address) = self.address_of(target) {
            self.probe(now, target, address, purpose);
        }
    }

    /// Probes the member at an address. Does nothing if too many probes are pending or the rate limit is exceeded, as a
    /// probe that was not sent must not count as failed.
    pub(crate) fn probe(&mut self, now: Micros, target: MemberId, address: SocketAddr, purpose: Purpose) {
        let period = self.scaled_period();
        let indirect_at = match purpose {
            Purpose::Periodic | Purpose::Final => Some(now + period * 3 / 10),
            Purpose::Reconnect | Purpose::OnBehalf { .. } => None,
        };
        let expires_at = match purpose {
            Purpose::Periodic | Purpose::Final => now + period * 9 / 10,
            Purpose::Reconnect => now + 2 * period,
            // Not multiplied by this member's health multiplier: the requester's timeout uses that of the requester.
            Purpose::OnBehalf { .. } => now + self.config.protocol_period / 4,
        };
        let nonce = self.rng.random();
        let probe =
            Probe { target, purpose, sent_at: now, indirect_at, expires_at, intermediary_answered: false };
        if self.probes.len() < MAX_PENDING_PROBES && self.send_to(now, target, address, Kind::Ping, nonce) {
            self.probes.insert(nonce, probe);
        }
    }

    /// Asks other members to probe each target that has not answered a direct probe in time.
    pub(crate) fn send_indirect_probes(&mut self, now: Micros) {
        let is_due = |probe: &Probe| probe.indirect_at.is_some_and(|at| at <= now);
        let due = self.probes.iter().filter(|(_, probe)| is_due(probe));
        let nonces: Vec<u32> = due.map(|(nonce, _)| *nonce).collect();
        for nonce in nonces {
            let Some(probe) = self.probes.get_mut(&nonce) else { continue };
            probe.indirect_at = None;
            let target = probe.target;
            let mass_failure =
                probe.purpose == Purpose::Final && self.suspicions.len() > MASS_FAILURE_SUSPECTS;
            let Some(address) = self.address_of(target) else { continue };
            let intermediaries = if mass_failure { 1 } else { INDIRECT_PROBES };
            self.request_pings(now, target, address, nonce, intermediaries);
            // Repeats the direct probe, as the first message may have been lost. In a mass failure the repetition is left
            // out to save messages.
            if !mass_failure {
                self.send(now, target, Kind::Ping, nonce);
            }
        }
    }

    /// Asks random members to probe `target`, as many as `intermediaries` if the view has them.
    fn request_pings(
        &mut self,
        now: Micros,
        target: MemberId,
        address: SocketAddr,
        nonce: u32,
        intermediaries: usize,
    ) {
        let mut excluded = vec![target];
        for _ in 0..intermediaries {
            let Some(intermediary) = self.random_member(&excluded) else { break };
            excluded.push(intermediary);
            self.send(now, intermediary, Kind::PingRequest { target, address }, nonce);
        }
    }

    /// Removes the probes that have failed, and acts on each according to its purpose.
    pub(crate) fn expire_probes(&mut self, now: Micros) {
        let expired = self.probes.iter().filter(|(_, probe)| probe.expires_at <= now);
        let nonces: Vec<u32> = expired.map(|(nonce, _)| *nonce).collect();
        for nonce in nonces {
            let Some(probe) = self.probes.remove(&nonce) else { continue };
            match probe.purpose {
                Purpose::Reconnect => {}
                Purpose::OnBehalf { requester, nonce } => {
                    self.send(now, requester, Kind::IndirectNack, nonce);
                }
                Purpose::Periodic => {
                    // If no intermediary has answered and no other message has arrived either, the fault is probably
                    // this member's: it may not receive anything. Missing answers of the intermediaries alone do not
                    // show that, as most of them are unreachable from the small side of a partition.
                    let is_isolated = now - self.last_message > 2 * self.scaled_period();
                    if !probe.intermediary_answered && is_isolated {
                        self.health.degrade();
                    }
                    self.suspect(now, probe.target, self.config.self_id, None);
                }
                Purpose::Final => self.declare_dead(now, probe.target),
            }
        }
    }

    /// Answers a ping at the address in the sender's own record. The view may have the address of another process with
    /// the same id; a superseded process still has to receive the answer, to learn that it is superseded.
    pub(crate) fn answer_ping(&mut self, now: Micros, from: MemberId, source: SocketAddr, message: &Message) {
        let own_record = message.records.iter().find(|(record, _)| record.id == from);
        let address = own_record.map_or(source, |(record, _)| record.address);
        self.send_to(now, from, address, Kind::Ack, message.nonce);
    }

    /// Handles the answer of a probed member itself.
    pub(crate) fn handle_ack(&mut self, now: Micros, nonce: u32, from: MemberId) {
        let Some(probe) = self.probes.get(&nonce) else { return };
        if probe.target != from && probe.target != ANY_MEMBER {
            return; // another member answered at the target's address, or the nonce was guessed
        }
        self.handle_answer(now, nonce);
    }

    /// Handles an answer to a probe, whether it came from the target itself or through an intermediary.
    pub(crate) fn handle_answer(&mut self, now: Micros, nonce: u32) {
        let Some(probe) = self.probes.remove(&nonce) else { return };
        self.last_answer = now;
        if let Purpose::OnBehalf { requester, nonce } = probe.purpose {
            self.send(now, requester, Kind::IndirectAck, nonce);
            return;
        }
        if probe.purpose == Purpose::Periodic && now - probe.sent_at < self.config.protocol_period / 2 {
            self.health.improve();
        }
        // The target is alive, so this member drops its suspicion. Other members that suspect the target probe it
        // themselves, and the target is notified of their suspicion by this member's messages. If the target is leaving,
        // its own record says so and was merged before this point.
        if self.suspicions.remove(&probe.target).is_none() {
            return;
        }
        let Some(record) = self.view.get(probe.target).map(|member| member.record) else { return };
        if record.state == MemberState::Suspect {
            let reported_by = self.config.self_id;
            self.apply(now, MemberRecord { state: MemberState::Alive, reported_by, ..record });
        }
    }

    /// Handles an intermediary's report that the target has not answered it: the intermediary itself is reachable.
    pub(crate) fn handle_indirect_nack(&mut self, now: Micros, nonce: u32) {
        if let Some(probe) = self.probes.get_mut(&nonce) {
            probe.intermediary_answered = true;
            self.last_answer = now;
        }
    }

    /// Probes `target` for the member `from`, or answers at once if this member is the target.
    pub(crate) fn handle_ping_request(
        &mut self,
        now: Micros,
        from: MemberId,
        target: MemberId,
        address: SocketAddr,
        nonce: u32,
    ) {
        if target == self.config.self_id {
            self.send(now, from, Kind::IndirectAck, nonce);
        } else {
            self.probe(now, target, address, Purpose::OnBehalf { requester: from, nonce });
        }
    }

    pub(crate) fn address_of(&self, id: MemberId) -> Option<SocketAddr> {
        self.view.get(id).map(|member| member.record.address)
    }
}
