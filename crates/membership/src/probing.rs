//! Direct and indirect probes (SWIM, section 3.1). What a failed probe leads to depends on its [`Purpose`].

use crate::membership::Membership;
use crate::view::{MemberRecord, MemberState};
use crate::wire::{Kind, Message};
use crate::{MemberId, Micros, ANY_MEMBER};
use rand::RngExt;
use std::net::SocketAddr;

/// Members that are asked to probe a target that does not answer.
const INDIRECT_PROBES: usize = 3;
/// Probes that may be pending at once.
const MAX_PENDING_PROBES: usize = 64;
/// With more suspects than this, a last probe is sent through one other member only: when half of the fleet dies, last
/// probes must not use up the message rate.
const MASS_FAILURE_SUSPECTS: usize = 8;

/// What a probe is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Purpose {
    /// The probe of a protocol period; if it fails the target is suspected.
    Periodic,
    /// The last probe of a suspect; if it fails the suspect is declared dead.
    Last,
    /// Whether a dead member or a seed answers again; nothing if it fails.
    Reconnect,
    /// For another member, which is sent the result.
    OnBehalf { requester: MemberId, nonce: u32 },
}

/// A probe that is not answered yet.
pub(crate) struct Probe {
    target: MemberId,
    purpose: Purpose,
    sent_at: Micros,
    /// When others are asked to probe the target; none if they have been, or never will.
    indirect_at: Option<Micros>,
    /// When it fails.
    expires_at: Micros,
    /// A member that was asked to probe the target has answered anything.
    intermediary_answered: bool,
}

impl Probe {
    pub(crate) fn next_timeout(&self) -> Micros {
        self.indirect_at.unwrap_or(self.expires_at)
    }
}

impl Membership {
    /// Probes this period's member. Members are in a ring, each with another offset at the same time: were all clocks
    /// and views alike, each would be probed exactly once in a period. They are not, but it is still more even than a
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

    /// Probes a member of the view.
    pub(crate) fn probe_member(&mut self, now: Micros, target: MemberId, purpose: Purpose) {
        if let Some(address) = self.address_of(target) {
            self.probe(now, target, address, purpose);
        }
    }

    /// Probes whoever is at an address. Does nothing if too many probes are pending or the message rate is used up: a
    /// probe that was not sent must not count as failed.
    pub(crate) fn probe(&mut self, now: Micros, target: MemberId, address: SocketAddr, purpose: Purpose) {
        let period = self.scaled_period();
        let indirect_at = match purpose {
            Purpose::Periodic | Purpose::Last => Some(now + period * 3 / 10),
            Purpose::Reconnect | Purpose::OnBehalf { .. } => None,
        };
        let expires_at = match purpose {
            Purpose::Periodic | Purpose::Last => now + period * 9 / 10,
            Purpose::Reconnect => now + 2 * period,
            // Not stretched by this member's slowness: the requester waits by its own.
            Purpose::OnBehalf { .. } => now + self.config.protocol_period / 4,
        };
        let nonce = self.rng.random();
        let probe =
            Probe { target, purpose, sent_at: now, indirect_at, expires_at, intermediary_answered: false };
        if self.probes.len() < MAX_PENDING_PROBES && self.send_to(now, target, address, Kind::Ping, nonce) {
            self.probes.insert(nonce, probe);
        }
    }

    /// Asks other members to probe the targets that have not answered a direct probe in time.
    pub(crate) fn send_indirect_probes(&mut self, now: Micros) {
        let is_due = |probe: &Probe| probe.indirect_at.is_some_and(|at| at <= now);
        let due = self.probes.iter().filter(|(_, probe)| is_due(probe));
        let nonces: Vec<u32> = due.map(|(nonce, _)| *nonce).collect();
        for nonce in nonces {
            let Some(probe) = self.probes.get_mut(&nonce) else { continue };
            probe.indirect_at = None;
            let target = probe.target;
            let mass_failure =
                probe.purpose == Purpose::Last && self.suspicions.len() > MASS_FAILURE_SUSPECTS;
            let Some(address) = self.address_of(target) else { continue };
            let intermediaries = if mass_failure { 1 } else { INDIRECT_PROBES };
            self.request_pings(now, target, address, nonce, intermediaries);
            // Once more directly, as the first message may have been lost.
            if !mass_failure {
                self.send(now, target, Kind::Ping, nonce);
            }
        }
    }

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

    /// Acts on the probes that have failed.
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
                    // Where no intermediary answers, and no other member sends anything, it may well be this member
                    // that receives nothing. Intermediaries alone would not show it: on the small side of a partition
                    // most of them are out of reach.
                    let is_isolated = now - self.last_message > 2 * self.scaled_period();
                    if !probe.intermediary_answered && is_isolated {
                        self.health.degrade();
                    }
                    self.suspect(now, probe.target, self.config.self_id, None);
                }
                Purpose::Last => self.declare_dead(now, probe.target),
            }
        }
    }

    /// Answers to the address that the sender gives of itself: an earlier process of the same id has another one, and
    /// has to learn that it is superseded.
    pub(crate) fn answer_ping(&mut self, now: Micros, from: MemberId, source: SocketAddr, message: &Message) {
        let own_record = message.records.iter().find(|(record, _)| record.id == from);
        let address = own_record.map_or(source, |(record, _)| record.address);
        self.send_to(now, from, address, Kind::Ack, message.nonce);
    }

    /// The target itself has answered a probe.
    pub(crate) fn handle_ack(&mut self, now: Micros, nonce: u32, from: MemberId) {
        let Some(probe) = self.probes.get(&nonce) else { return };
        if probe.target != from && probe.target != ANY_MEMBER {
            return; // another member at the target's address, or a guessed nonce
        }
        self.handle_answer(now, nonce);
    }

    /// The target of a probe has answered, directly or through another member.
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
        // The target is alive. Others that suspect it find that out by themselves, and the target learns of their
        // suspicion from this member's messages. A member that is leaving says so in its own record, merged before this.
        if self.suspicions.remove(&probe.target).is_none() {
            return;
        }
        let Some(record) = self.view.get(probe.target).map(|member| member.record) else { return };
        if record.state == MemberState::Suspect {
            let reported_by = self.config.self_id;
            self.apply(now, MemberRecord { state: MemberState::Alive, reported_by, ..record });
        }
    }

    pub(crate) fn handle_indirect_nack(&mut self, now: Micros, nonce: u32) {
        if let Some(probe) = self.probes.get_mut(&nonce) {
            probe.intermediary_answered = true;
            self.last_answer = now;
        }
    }

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
