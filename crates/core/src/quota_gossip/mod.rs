//! Quota gossip: how gateways tell each other what they admit for whom.
//!
//! Each gateway reports the use of its customers to their owners ([`reports`]); an owner counts the reports and replies
//! to those that ask ([`owner`]); the asking gateway updates its view and decides the requests that it held
//! ([`requester`]). Messages may be lost, late, repeated or reordered: totals are cumulative, so that the next report
//! makes up for a lost one, and sequence numbers and incarnations sort out the rest.
//!
//! An owner that is silent holds nobody up. In a small fleet both hard-limit owners are asked at once, in a large one the
//! second after a part of the wait; at its end the request is admitted or rejected by what is known locally.

mod owner;
mod reports;
mod requester;

use crate::customer::PendingReport;
use crate::endpoints::{AnswerSample, SampleSource};
use crate::gossip::{incarnation_at, is_later, Body, Message, Sample};
use crate::interface::{Action, CustomerId, GatewayId};
use crate::ownership::CUSTOMER_IDLE_TIME;
use crate::{FleetSize, Gateway};
use std::collections::BTreeMap;

/// A peer is older than this gateway if it started this many milliseconds before: fleets do not start in one instant.
const MIN_AGE_DIFFERENCE_MILLIS: u32 = 1_000;
/// A peer that restarts hears of customers that were active within one part in this of the idle time.
const RECENT_ACTIVITY_DIVISOR: u64 = 5;

/// What became of a message's sequence number and incarnation.
#[derive(PartialEq)]
enum Freshness {
    /// It is the newest of its sender.
    New,
    /// It is a repeat, was overtaken, or is from before the sender's restart.
    Stale,
}

impl Gateway {
    /// A message of a peer came.
    pub(crate) fn on_gossip(&mut self, from: GatewayId, bytes: &[u8], actions: &mut Vec<Action>) {
        let Some(message) = Message::unpack(bytes) else { return };
        if from == self.settings.self_id || from.0 >= self.settings.gateways {
            return;
        }
        if self.note_sender(from, &message) == Freshness::Stale {
            return;
        }
        for sample in &message.samples {
            self.on_sample(sample);
        }
        let own_incarnation = incarnation_at(self.started_at);
        match message.body {
            Body::Reports(reports) => {
                let is_younger = !is_later(own_incarnation, message.incarnation);
                let replies =
                    reports.into_iter().filter_map(|report| self.on_report(from, is_younger, report));
                let replies: Vec<_> = replies.collect();
                if !replies.is_empty() {
                    self.send_message(from, Body::Replies(message.incarnation, replies), actions);
                }
            }
            // A reply to an earlier incarnation of this gateway transfers nothing to this one.
            Body::Replies(to, replies) => {
                if to == own_incarnation {
                    replies.into_iter().for_each(|reply| self.on_reply(from, reply, actions));
                }
            }
        }
    }

    /// Notes a sender's incarnation and sequence number. One that has restarted has forgotten what it was told.
    fn note_sender(&mut self, from: GatewayId, message: &Message) -> Freshness {
        let own_incarnation = incarnation_at(self.started_at);
        let starts_before = message.incarnation.wrapping_add(MIN_AGE_DIFFERENCE_MILLIS);
        self.older_peer_seen |= is_later(own_incarnation, starts_before);
        let peer = self.peers.entry(from).or_default();
        if peer.incarnation != message.incarnation {
            let is_first_contact = peer.incarnation == 0;
            if !is_first_contact && is_later(peer.incarnation, message.incarnation) {
                return Freshness::Stale;
            }
            peer.incarnation = message.incarnation;
            peer.last_received = message.sequence.wrapping_sub(1);
            // In a large fleet a peer that is heard for the first time has not restarted: reporting to it again would
            // undo its reservations.
            if !is_first_contact || self.fleet_size == FleetSize::Small {
                self.on_peer_restart(from);
            }
        }
        let Some(peer) = self.peers.get_mut(&from) else { return Freshness::Stale };
        if message.sequence.wrapping_sub(peer.last_received) as i16 <= 0 {
            return Freshness::Stale;
        }
        peer.last_received = message.sequence;
        Freshness::New
    }

    /// Forgets what a peer reported before its restart, and reports the active customers that it owns.
    fn on_peer_restart(&mut self, from: GatewayId) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        for (id, customer) in &mut self.customers {
            if let Some(usage) = customer.usage_by_peer.remove(&from) {
                let in_flight = u32::from(usage.in_flight);
                customer.peers_in_flight -= in_flight.min(customer.peers_in_flight);
            }
            let idle_time = self.now - customer.last_request_at;
            let is_recent = idle_time < CUSTOMER_IDLE_TIME / RECENT_ACTIVITY_DIVISOR;
            if is_recent && customer.owners.contains(&from) {
                peer.outbox.insert(*id, PendingReport { remaining_sends: 1, wants_reply: false });
                self.peers_to_notify.insert(from);
            }
        }
    }

    /// A peer tells how one of its attempts went.
    fn on_sample(&mut self, sample: &Sample) {
        let class = usize::from(sample.class);
        let Some(backend) = self.endpoints.by_tag(sample.tag) else { return };
        let Some(settings) = self.settings.classes.get(class) else { return };
        let answer = match sample.elapsed {
            Some(share) => AnswerSample::Answered(share * settings.latency_objective as f64),
            None => AnswerSample::Failed,
        };
        self.record_answer(backend, class, answer, SampleSource::Peer);
    }

    /// Whether the membership view, if there is one, has lost a peer.
    pub(crate) fn is_unreachable(&self, peer: GatewayId) -> bool {
        self.peers.get(&peer).is_some_and(|peer| peer.unreachable)
    }

    /// The membership view has lost a peer, or has it again.
    pub(crate) fn on_reachability(&mut self, peer: GatewayId, reachable: bool) {
        if peer.0 < self.settings.gateways {
            self.peers.entry(peer).or_default().unreachable = !reachable;
        }
    }

    /// Reports to peers what is due, and once a second what may have been lost.
    pub(crate) fn gossip_tick(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let is_due = |peer: &&GatewayId| {
            let state = self.peers.get(*peer);
            state.is_some_and(|state| state.next_message_at <= now)
        };
        let due: Vec<GatewayId> = self.peers_to_notify.iter().filter(is_due).copied().collect();
        due.into_iter().for_each(|peer| self.send_reports(peer, actions));
        self.expire_customers();
    }
}

/// The customers of one message: `(customer, pending report)` in the order of sending.
type Outgoing = Vec<(CustomerId, PendingReport)>;

/// The next customers of an outbox, at most `limit`, counted round from where the last message ended: otherwise the last
/// ones would never be reported where more change than fit.
fn next_round_robin(
    outbox: &BTreeMap<CustomerId, PendingReport>,
    start: CustomerId,
    limit: usize,
) -> Outgoing {
    let round_robin = outbox.range(start..).chain(outbox.range(..start));
    round_robin.take(limit).map(|(id, pending)| (*id, *pending)).collect()
}
