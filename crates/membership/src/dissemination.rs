//! Piggybacking updates on messages (SWIM, section 4.1). Each update is sent a number of times that is proportional to
//! the logarithm of the fleet's size. Updates that were sent least often go first.

use crate::membership::Membership;
use crate::view::{MemberRecord, MemberState};
use crate::wire::{Kind, Message};
use crate::{MemberId, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The number of transmissions of each update, as a multiple of the logarithm of the fleet's size.
const RETRANSMIT_MULTIPLIER: u32 = 3;
/// Maximum number of updates considered for one message; fewer than this fit.
const MAX_UPDATES_PER_MESSAGE: usize = 16;

/// The members whose updates are still being disseminated.
#[derive(Default)]
pub(crate) struct Broadcasts {
    /// Number of transmissions and member id, so that the update sent least often comes first.
    queue: BTreeSet<(u32, MemberId)>,
    /// The number of transmissions of each update in the queue.
    transmissions: BTreeMap<MemberId, u32>,
}

impl Broadcasts {
    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    pub(crate) fn contains(&self, id: MemberId) -> bool {
        self.transmissions.contains_key(&id)
    }

    /// Queues the update of a member whose record has changed, with its number of transmissions reset to 0.
    pub(crate) fn add(&mut self, id: MemberId) {
        let transmissions = self.transmissions.insert(id, 0).unwrap_or(0);
        self.queue.remove(&(transmissions, id));
        self.queue.insert((0, id));
    }

    /// Drops the updates of all members for which `keep` returns false.
    pub(crate) fn retain(&mut self, keep: impl Fn(&MemberId) -> bool) {
        self.transmissions.retain(|id, _| keep(id));
        self.queue.retain(|(_, id)| keep(id));
    }

    /// Records one more transmission of an update that was sent `transmissions` times before. The update is removed
    /// after `max_transmissions`.
    fn record_transmission(&mut self, transmissions: u32, id: MemberId, max_transmissions: u32) {
        self.queue.remove(&(transmissions, id));
        if transmissions + 1 < max_transmissions {
            self.queue.insert((transmissions + 1, id));
            self.transmissions.insert(id, transmissions + 1);
        } else {
            self.transmissions.remove(&id);
        }
    }
}

impl Membership {
    /// Sends a message to a member of the view. Returns false if the member is unknown or [`Membership::transmit`] drops
    /// the message.
    pub(crate) fn send(&mut self, now: Micros, to: MemberId, kind: Kind, nonce: u32) -> bool {
        let address = self.address_of(to);
        address.is_some_and(|address| self.send_to(now, to, address, kind, nonce))
    }

    /// Sends a message with this member's own record, the receiver's record if the receiver may have to refute it, and
    /// pending updates. Returns false if [`Membership::transmit`] drops the message.
    pub(crate) fn send_to(
        &mut self,
        now: Micros,
        to: MemberId,
        address: SocketAddr,
        kind: Kind,
        nonce: u32,
    ) -> bool {
        let mut message = Message::new(kind, nonce, self.view.digest());
        message.add(self.own_record, 0);
        if !matches!(kind, Kind::Digests { .. }) {
            self.add_receivers_record(to, &mut message);
            self.piggyback_updates(&mut message);
        }
        self.transmit(now, to, address, &message)
    }

    /// Adds the receiver's record if it says that the receiver is not alive, or if the receiver has sent an outdated
    /// record of itself, so that the receiver can refute the record.
    fn add_receivers_record(&self, to: MemberId, message: &mut Message) {
        let Some(record) = self.view.get(to).map(|member| member.record) else { return };
        if record.state != MemberState::Alive || self.outdated_members.contains(&to) {
            message.add(record, 0);
        }
    }

    /// Adds the pending updates that fit, those sent least often first.
    fn piggyback_updates(&mut self, message: &mut Message) {
        let max_transmissions = RETRANSMIT_MULTIPLIER * self.log_fleet_size();
        let updates: Vec<(u32, MemberId)> =
            self.broadcasts.queue.iter().take(MAX_UPDATES_PER_MESSAGE).copied().collect();
        for (transmissions, id) in updates {
            let Some(record) = self.view.get(id).map(|member| member.record) else { continue };
            let suspicion = self.suspicions.get(&id);
            let reporter = suspicion.and_then(|suspicion| suspicion.reporter(transmissions));
            let reported_by = reporter.unwrap_or(record.reported_by);
            if !message.add(MemberRecord { reported_by, ..record }, 0) {
                break;
            }
            self.broadcasts.record_transmission(transmissions, id, max_transmissions);
        }
    }
}
