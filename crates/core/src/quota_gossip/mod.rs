//! Quota gossip: gateways report to each other the units that they admit for each customer.
//!
//! Each gateway reports the use of its customers to their owners ([`reports`]). An owner counts the reports and replies
//! to gateways that query it ([`owner`]). The querying gateway updates its view and decides the requests that it held
//! ([`requester`]). Messages may be lost, late, repeated or reordered: totals are cumulative, so that the next report
//! makes up for a lost one, and messages that are repeated or out of order are recognized by sequence numbers and
//! incarnations.
//! An owner that does not reply delays a request for a limited time only. In a small fleet both hard-limit owners are
//! queried at once, in a large one the second owner after a part of the wait. At the end of the wait the request is
//! admitted or rejected according to local state.

mod owner;
mod reports;
mod requester;

use crate::customer::PendingReport;
use crate::endpoints::{AnswerSample, SampleSource};
use crate::gossip::{incarnation_at, is_later, Body, Message, Sample};
use crate::interface::{Action, CustomerId, GatewayId, Micros};
use crate::ownership::CUSTOMER_IDLE_TIME;
use crate::{FleetSize, Gateway};
use std::collections::BTreeMap;

/// A peer is older than this gateway if it started more than this many milliseconds earlier: the gateways of a fleet do
/// not all start at the same instant.
const MIN_AGE_DIFFERENCE_MILLIS: u32 = 1_000;
/// A message of an earlier incarnation is late if it arrives within this time of the latest message of the current one.
/// Otherwise the sender has restarted, and its clock was set back before.
const MAX_MESSAGE_DELAY: Micros = 3_000_000;
/// Customers that were active within the idle time divided by this are reported to a peer that has restarted.
const RECENT_ACTIVITY_DIVISOR: u64 = 5;

/// Whether a message is newer than all earlier ones of its sender.
#[derive(PartialEq)]
enum Freshness {
    /// It is the newest message of its sender.
    New,
    /// It is a repeat, arrived out of order, or was sent before the sender's restart.
    Stale,
}

impl Gateway {
    /// Handles a message from a peer. Messages that cannot be decoded, are stale or have an invalid sender are ignored.
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

    /// Records a sender's incarnation and sequence number. If the sender has restarted, it has lost all reports that it
    /// received before.
    fn note_sender(&mut self, from: GatewayId, message: &Message) -> Freshness {
        let own_incarnation = incarnation_at(self.started_at);
        let peer_start_with_margin = message.incarnation.wrapping_add(MIN_AGE_DIFFERENCE_MILLIS);
        self.older_peer_seen |= is_later(own_incarnation, peer_start_with_margin);
        let peer = self.peers.entry(from).or_default();
        if peer.incarnation != message.incarnation {
            let is_first_contact = peer.incarnation == 0;
            let is_earlier = !is_first_contact && is_later(peer.incarnation, message.incarnation);
            if is_earlier && self.now < peer.heard_at + MAX_MESSAGE_DELAY {
                return Freshness::Stale;
            }
            peer.incarnation = message.incarnation;
            peer.last_received = message.sequence.wrapping_sub(1);
            // In a large fleet the first message of a peer is not taken as a restart: reporting to it again would undo
            // its reservations.
            if !is_first_contact || self.fleet_size == FleetSize::Small {
                self.on_peer_restart(from);
            }
        }
        let Some(peer) = self.peers.get_mut(&from) else { return Freshness::Stale };
        peer.heard_at = self.now;
        if message.sequence.wrapping_sub(peer.last_received) as i16 <= 0 {
            return Freshness::Stale;
        }
        peer.last_received = message.sequence;
        Freshness::New
    }

    /// Discards what a peer reported before its restart, and queues reports of the active customers that it owns.
    fn on_peer_restart(&mut self, from: GatewayId) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        for (id, customer) in &mut self.customers {
            if let Some(usage) = customer.usage_by_peer.remove(&from) {
                let in_flight = u32::from(usage.in_flight);
                customer.peers_in_flight -= in_flight.min(customer.peers_in_flight);
            }
            let idle_time = self.now - customer.last_request_at;
            let is_recently_active = idle_time < CUSTOMER_IDLE_TIME / RECENT_ACTIVITY_DIVISOR;
            if is_recently_active && customer.owners.contains(&from) {
                peer.outbox.insert(*id, PendingReport { remaining_sends: 1, wants_reply: false });
                self.peers_to_notify.insert(from);
            }
        }
    }

    /// Records the result of a peer's attempt.
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

    /// Returns whether the membership view, if there is one, lists a peer as unreachable.
    pub(crate) fn is_unreachable(&self, peer: GatewayId) -> bool {
        self.peers.get(&peer).is_some_and(|peer| peer.unreachable)
    }

    /// Records a change of a peer's reachability in the membership view.
    pub(crate) fn on_reachability(&mut self, peer: GatewayId, reachable: bool) {
        if peer.0 < self.settings.gateways {
            self.peers.entry(peer).or_default().unreachable = !reachable;
        }
    }

    /// Sends the reports that are due. Once a second, queues reports again that may have been lost, and removes
    /// customers whose state is no longer needed.
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

/// Returns the next customers of an outbox, at most `limit`, in a round-robin order that continues after the last
/// message: otherwise the last customers would never be reported while more of them change than fit into a message.
fn next_round_robin(
    outbox: &BTreeMap<CustomerId, PendingReport>,
    start: CustomerId,
    limit: usize,
) -> Outgoing {
    let round_robin = outbox.range(start..).chain(outbox.range(..start));
    round_robin.take(limit).map(|(id, pending)| (*id, *pending)).collect()
}
